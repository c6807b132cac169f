//! Refusals sent to callers: a status code, a JSON body and a retry delay.

use crate::reply::set_request_id;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use net::{Body, full};
use serde::Serialize;
use wire::{Outcome, Reason, Refusal, RequestId};

/// JSON body of a refusal.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// Details of the refusal.
    pub error: ErrorDetail<'a>,
}

/// Details of a refusal.
#[derive(Debug, Serialize)]
pub struct ErrorDetail<'a> {
    /// `not-run` or `unknown`.
    pub outcome: Outcome,
    /// Reason of the refusal.
    pub reason: Reason,
    /// Description of the reason.
    pub message: &'a str,
    /// Request id, as in logs and records.
    pub request_id: String,
    /// Delay after which a retry may succeed, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// JSON body of a refusal.
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

/// HTTP response for a refused request.
pub fn response(id: RequestId, refusal: &Refusal) -> Response<Body> {
    let mut res = Response::new(full(json(id, refusal)));
    *res.status_mut() = status(refusal);
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(ms) = refusal.retry_ms {
        // The header is in whole seconds; the body has the exact value.
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
        // Status 400 is final: a retry by the caller would crash the next upstream.
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

/// Whether a status promises callers that their request hasn't run, so that they repeat it.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
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

/// Whether another upstream may accept the request. Errors of the caller would be refused there
/// too.
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
