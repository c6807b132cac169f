//! Serves calls to plain services.

use crate::refusal;
use crate::reply::set_request_id;
use crate::session::Session;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use net::{Body, full};
use wire::{Part, Reason, Refusal};

/// Header of a response that was stored for an earlier request with the same idempotency key.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Serves a plain call. The whole response is read before its first byte is sent, so that an
/// attempt that breaks off can be retried.
pub async fn serve(mut session: Session) -> Response<Body> {
    let id = session.id();
    let mut res = Response::new(());
    let mut body = Vec::new();
    loop {
        match session.next().await {
            Ok(Part::Head {
                status,
                content_type,
                kept,
            }) => {
                body.clear();
                res = response_head(status, content_type, kept);
            }
            Ok(Part::Body(piece)) => body.extend_from_slice(&piece),
            Ok(Part::End { .. }) => {
                let mut res = res.map(|()| full(body));
                set_request_id(&mut res, id);
                return res;
            }
            Ok(_) => return refusal::response(id, &Refusal::unknown(Reason::UpstreamBroken)),
            Err(r) => return refusal::response(id, &r),
        }
    }
}

fn response_head(status: u16, content_type: Option<String>, kept: bool) -> Response<()> {
    let mut res = Response::new(());
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(content_type) = content_type.and_then(|k| HeaderValue::try_from(k).ok()) {
        res.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    if kept {
        res.headers_mut()
            .insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    res
}
