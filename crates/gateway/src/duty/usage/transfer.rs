//! Transfers the requests that one process holds of others to another process, over HTTP on the
//! port for peers.
//!
//! A collector fetches them from those that collected before. A collector that exits sends them
//! to those that remain. Only answers to requests whose query says so have up to which time the
//! requests are complete, as processes of former versions can't decode that.

use super::message::{HeldLog, KnownLog};
use crate::monotonic;
use crate::peers::catch_up;
use crate::state::Gateway;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use net::{Body, empty, full};
use observe::{Event, emit};
use serde::Serialize;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Path of requests about the requests that a process holds.
pub const PATH: &str = "/usage";
/// The path, for a sender that reads [`HeldLog::complete_ms_ago`]. Processes of former versions
/// ignore the query.
const PATH_WITH_COMPLETE: &str = "/usage?complete";
/// Timeout of a request for what another process holds, whose answer may be long.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a request of a process that exits.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a body, enough for the requests of the whole retention.
const MAX_BYTES: usize = 8 << 20;

/// Fetches the requests that a process holds and this one doesn't. Returns whether it answered.
pub async fn fetch_held(gateway: &Gateway, from: IpAddr) -> bool {
    let known = gateway.usage.ledger().known_logs();
    let asked_at = monotonic::now();
    let call = call::<Vec<HeldLog>>(
        gateway,
        from,
        Method::POST,
        PATH_WITH_COMPLETE,
        &known,
        FETCH_TIMEOUT,
    );
    let fetched = call.await;
    let now = monotonic::now();
    let added = fetched.and_then(|held| match gateway.may_have_waited(now) {
        // The time at which the answer was made is unknown.
        true => Err("this process was paused".to_owned()),
        false => {
            let at = asked_at + now.saturating_duration_since(asked_at) / 2;
            add(gateway, &held, at).ok_or_else(|| "this process is stopping".to_owned())
        }
    });
    let is_done = added.is_ok();
    emit(&Event::UsageFetched {
        peer: from.to_string(),
        requests: added.as_ref().copied().unwrap_or(0),
        error: added.err(),
    });
    is_done
}

/// Sends a process the requests that this one holds and the other doesn't. Returns their number.
pub async fn send_held(gateway: &Gateway, to: IpAddr) -> Result<u64, String> {
    let own = gateway.usage.own_log(gateway);
    let holds_others = gateway.usage.ledger().other_logs(own) > 0;
    let known: Vec<KnownLog> = match holds_others {
        true => {
            call(
                gateway,
                to,
                Method::GET,
                PATH_WITH_COMPLETE,
                &(),
                SEND_TIMEOUT,
            )
            .await?
        }
        // This process's own requests are few, and the receiver ignores those that it knows.
        false => Vec::new(),
    };
    let mut held = gateway.usage.ledger().held_beyond(&known, monotonic::now());
    held.iter_mut().for_each(|log| log.complete_ms_ago = None);
    call(
        gateway,
        to,
        Method::PUT,
        PATH_WITH_COMPLETE,
        &held,
        SEND_TIMEOUT,
    )
    .await
}

/// Handles a request of another process.
pub async fn handle_request(gateway: &Gateway, req: Request<Incoming>) -> Response<Body> {
    let method = req.method().clone();
    let reads_complete = req.uri().query().is_some();
    let body = Limited::new(req.into_body(), MAX_BYTES).collect().await;
    let body = body.ok().map(|body| body.to_bytes());
    let answer = match (method, body) {
        (Method::GET, _) => Some(wire::encode_compact(&gateway.usage.ledger().known_logs())),
        (Method::POST, Some(body)) => wire::decode::<Vec<KnownLog>>(&body).map(|known| {
            let mut held = gateway.usage.ledger().held_beyond(&known, monotonic::now());
            if !reads_complete {
                held.iter_mut().for_each(|log| log.complete_ms_ago = None);
            }
            wire::encode_compact(&held)
        }),
        (Method::PUT, Some(body)) => wire::decode::<Vec<HeldLog>>(&body)
            .and_then(|held| add(gateway, &held, monotonic::now()))
            .map(|added| wire::encode_compact(&added)),
        _ => None,
    };
    match answer {
        Some(body) => Response::new(full(body)),
        None => {
            let mut res = Response::new(empty());
            *res.status_mut() = StatusCode::BAD_REQUEST;
            res
        }
    }
}

/// Adds requests that another process holds; returns the number of those that weren't known, or
/// `None` if the final hand-over of this process has begun.
fn add(gateway: &Gateway, held: &[HeldLog], at: Instant) -> Option<u64> {
    let own = gateway.usage.own_log(gateway);
    let mut ledger = gateway.usage.ledger();
    if gateway.usage.is_closed.load(Ordering::Relaxed) {
        return None;
    }
    let others = held.iter().filter(|log| (log.ip, log.start) != own);
    Some(others.map(|log| ledger.add_held(log, at)).sum())
}

/// Sends a process a request, and decodes its answer.
pub(super) async fn call<T: serde::de::DeserializeOwned>(
    gateway: &Gateway,
    ip: IpAddr,
    method: Method,
    path: &str,
    body: &impl Serialize,
    timeout: Duration,
) -> Result<T, String> {
    let addr = SocketAddr::new(ip, gateway.host().peer_port);
    let body = wire::encode_compact(body);
    match catch_up::call(gateway, addr, method, path, body, timeout).await {
        Ok((StatusCode::OK, body)) => {
            wire::decode(&body).ok_or_else(|| "malformed answer".to_owned())
        }
        Ok((status, _)) => Err(format!("status {status}")),
        Err(e) => Err(e.to_string()),
    }
}
