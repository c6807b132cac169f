//! Answers of the system's own, and what each says.

use crate::routes::Denied;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Response, StatusCode};
use net::{Body, full};
use platform::{BadRequest, header};
use serde::Serialize;
use std::time::Duration;

const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Why a request didn't get an upstream's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The headers are wrong.
    Malformed(BadRequest),
    /// The body is over the limit.
    TooLarge,
    /// The body didn't arrive in time.
    SlowBody,
    /// The body broke off.
    BrokenBody,
    /// No route matches.
    NoRoute,
    /// The route needs a key that a tenant holds, and the request bears none or another.
    NoTenant(Denied),
    /// The request's key is unknown, but a peer has a newer configuration than this process.
    ConfigBehind,
    /// The request's tenant has used up its quota.
    OverQuota,
    /// No grantor of the tenant's quota can be reached, and this host has no share.
    QuotaUnknown,
    /// No configuration has been read yet.
    NoConfig,
    /// No upstream of the service is usable.
    NoUpstream,
    /// The process is stopping, and the answer would take longer than it has left.
    Stopping,
    /// All upstreams have too much to do for an answer in time.
    Overloaded,
    /// Each upstream that was tried said that it didn't run the request.
    Rejected,
    /// Upstreams ended under it, also when it was tried alone: it is sent to none any more.
    CrashesUpstreams,
    /// Upstreams ended under it, maybe by chance: it is tried whether they do so again.
    CrashSuspected,
    /// An upstream was lost with the request, which may have run there.
    UpstreamLost,
    /// The time is up before an answer came.
    TimedOut,
    /// The process ends before the answer did.
    ProcessEnds,
    /// The client went away.
    ClientGone,
}

/// Whether a request has run, as far as this process can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream's answer was passed on whole.
    Answered,
    /// It has not run, and never will.
    NotRun,
    /// It may have run.
    Unknown,
    /// An answer was begun and broken off.
    BrokenOff,
}

impl Outcome {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::BrokenOff => "broken_off",
        }
    }
}

impl Reason {
    /// Name in logs, metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::TooLarge => "too_large",
            Self::SlowBody => "slow_body",
            Self::BrokenBody => "broken_body",
            Self::NoRoute => "no_route",
            Self::NoTenant(Denied::NoKey) => "no_key",
            Self::NoTenant(Denied::UnknownKey) => "unknown_key",
            Self::NoTenant(Denied::RemovedKey) => "removed_key",
            Self::ConfigBehind => "config_behind",
            Self::OverQuota => "over_quota",
            Self::QuotaUnknown => "quota_unknown",
            Self::NoConfig => "no_config",
            Self::NoUpstream => "no_upstream",
            Self::Stopping => "stopping",
            Self::Overloaded => "overloaded",
            Self::Rejected => "rejected",
            Self::CrashesUpstreams => "crashes_upstreams",
            Self::CrashSuspected => "crash_suspected",
            Self::UpstreamLost => "upstream_lost",
            Self::TimedOut => "timed_out",
            Self::ProcessEnds => "process_ends",
            Self::ClientGone => "client_gone",
        }
    }

    /// The status, which follows from the outcome first: those that promise that
    /// a request hasn't run are only for requests that haven't.
    pub fn status(self, outcome: Outcome) -> StatusCode {
        let may_have_run = outcome != Outcome::NotRun;
        match self {
            Self::TimedOut | Self::ProcessEnds if may_have_run => StatusCode::GATEWAY_TIMEOUT,
            _ if may_have_run => StatusCode::BAD_GATEWAY,
            // Clients take 400 as final: with 503 they would come back, for the same.
            Self::Malformed(_) | Self::BrokenBody | Self::CrashesUpstreams => {
                StatusCode::BAD_REQUEST
            }
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoTenant(_) => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn message(self) -> String {
        match self {
            Self::Malformed(e) => e.to_string(),
            Self::TooLarge => "the body is over the size limit".into(),
            Self::SlowBody => "the body took too long to arrive".into(),
            Self::BrokenBody => "the body is malformed or incomplete".into(),
            Self::NoRoute => "no route matches the host and path".into(),
            Self::NoTenant(Denied::NoKey) => "the route needs a key".into(),
            Self::NoTenant(_) => "no tenant holds the key".into(),
            Self::ConfigBehind => "a newer configuration is on its way".into(),
            Self::OverQuota => "the tenant's quota is used up".into(),
            Self::QuotaUnknown => "what is left of the tenant's quota is unknown".into(),
            Self::NoConfig => "no configuration has been read yet".into(),
            Self::NoUpstream => "no upstream of the service is usable".into(),
            Self::Stopping => "the process is stopping".into(),
            Self::Overloaded => "all upstreams are busy beyond the latency target".into(),
            Self::Rejected => "the upstreams rejected the request".into(),
            Self::CrashesUpstreams => "upstreams have crashed each time they ran this".into(),
            Self::CrashSuspected => "upstreams have crashed while they ran this".into(),
            Self::UpstreamLost => "the connection to the upstream was lost".into(),
            Self::TimedOut => "no answer came in time".into(),
            Self::ProcessEnds => "the process ends before the answer came".into(),
            Self::ClientGone => "the client went away".into(),
        }
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    message: String,
    request: &'a str,
    outcome: &'a str,
}

/// Builds an answer of the system's own. Only a request that hasn't run may be
/// asked to come back.
pub fn own(
    id: &str,
    outcome: Outcome,
    reason: Reason,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let text = serde_json::to_vec(&ErrorBody {
        error: reason.name(),
        message: reason.message(),
        request: id,
        outcome: outcome.name(),
    });
    let text = text.expect("a struct of texts always encodes");
    let status = reason.status(outcome);
    let may_return = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let mut res = Response::new(full(text));
    *res.status_mut() = status;
    *res.headers_mut() = header::own_response_headers(id, retry_after.filter(|_| may_return));
    if may_return {
        // A client that was refused comes back on a new connection. Kept open, the
        // old ones took 20 of 28 MB and 680 of 890 descriptors in an overload.
        res.headers_mut().insert(CONNECTION, CLOSE);
    }
    res
}
