//! Refusals to callers: typed JSON, a status, and when to come back.

use crate::reply::set_request_id;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use net::{Body, full};
use serde::Serialize;
use wire::{Outcome, Reason, Refusal, RequestId};

/// Body of a refusal.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// The refusal.
    pub error: ErrorDetail<'a>,
}

/// What a refusal says.
#[derive(Debug, Serialize)]
pub struct ErrorDetail<'a> {
    /// `not-run` or `unknown`.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// The same in words.
    pub message: &'a str,
    /// The request's id, as in logs and records.
    pub request_id: String,
    /// When another try may help, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// The JSON text of a refusal.
pub fn json(id: RequestId, refusal: &Refusal) -> Vec<u8> {
    let error = ErrorDetail {
        outcome: refusal.outcome,
        reason: refusal.reason,
        message: message(refusal.reason),
        request_id: id.to_string(),
        retry_after_ms: refusal.retry_ms,
    };
    serde_json::to_vec(&ErrorBody { error }).expect("refusals always encode")
}

/// The answer to a refused request.
pub fn response(id: RequestId, refusal: &Refusal) -> Response<Body> {
    let mut res = Response::new(full(json(id, refusal)));
    *res.status_mut() = status(refusal);
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(ms) = refusal.retry_ms {
        // The header counts in whole seconds; the body has the exact time.
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
    }
    set_request_id(&mut res, id);
    res
}

fn status(refusal: &Refusal) -> StatusCode {
    if refusal.outcome == Outcome::Unknown {
        return match refusal.reason {
            Reason::KeyInUse => StatusCode::CONFLICT,
            _ => StatusCode::BAD_GATEWAY,
        };
    }
    match refusal.reason {
        // The caller's own retries would end the next upstream: 400 is final.
        Reason::BadRequest | Reason::UnknownClass | Reason::CrashesUpstreams => {
            StatusCode::BAD_REQUEST
        }
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::SlowRequest => StatusCode::REQUEST_TIMEOUT,
        Reason::UnknownService => StatusCode::NOT_FOUND,
        Reason::QueueFull | Reason::TenantLimit => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn message(reason: Reason) -> &'static str {
    match reason {
        Reason::BadRequest => "the request is malformed",
        Reason::TooLarge => "the request is over the size limit",
        Reason::SlowRequest => "the request took too long to arrive",
        Reason::UnknownService => "no such service",
        Reason::UnknownClass => "no such class in the service's document",
        Reason::QueueFull => "the queue of this class is full",
        Reason::TenantLimit => "this tenant's limit is reached",
        Reason::DeadlineUnreachable => "the answer can't begin before the deadline",
        Reason::DeadlinePassed => "the deadline passed while the request waited",
        Reason::Leaving => "the process is stopping",
        Reason::NotReady => "the service isn't ready",
        Reason::NoUpstream => "no upstream takes work now",
        Reason::ClaimUnavailable => "the idempotency key can't be recorded now",
        Reason::KeyInUse => "the idempotency key was used, and its answer isn't known",
        Reason::UpstreamBroken => "the upstream broke off or answered nonsense",
        Reason::UpstreamEnded => "the upstream ended while it ran the request",
        Reason::CrashSuspected => "upstreams have crashed while they ran this",
        Reason::CrashesUpstreams => "upstreams have crashed each time they ran this",
        Reason::PeerLost => "the connection to the agent was lost",
        Reason::CallerGone => "the caller hung up",
        Reason::ProcessEnds => "the process stopped before the answer was whole",
    }
}

/// Whether another upstream may help. What the caller did wrong is wrong there too.
pub fn may_retry_elsewhere(reason: Reason) -> bool {
    match reason {
        Reason::QueueFull
        | Reason::TenantLimit
        | Reason::DeadlineUnreachable
        | Reason::Leaving
        | Reason::NotReady
        | Reason::NoUpstream
        | Reason::UpstreamBroken
        | Reason::UpstreamEnded
        | Reason::PeerLost => true,
        Reason::BadRequest
        | Reason::TooLarge
        | Reason::SlowRequest
        | Reason::UnknownService
        | Reason::UnknownClass
        | Reason::DeadlinePassed
        | Reason::ClaimUnavailable
        | Reason::KeyInUse
        | Reason::CrashesUpstreams
        | Reason::CrashSuspected
        | Reason::CallerGone
        | Reason::ProcessEnds => false,
    }
}
