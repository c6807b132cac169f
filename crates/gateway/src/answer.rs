//! Responses that the gateway generates itself.

use crate::routes::Denied;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Response, StatusCode};
use net::{Body, full};
use platform::{BadRequest, header};
use serde::Serialize;
use std::time::Duration;

const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Reason why a request has no complete answer from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The headers are invalid.
    Malformed(BadRequest),
    /// The body exceeds the size limit.
    TooLarge,
    /// The body didn't arrive in time.
    SlowBody,
    /// The body is malformed or incomplete.
    BrokenBody,
    /// The memory budget has too little left to buffer the body.
    NoMemory,
    /// No route matches.
    NoRoute,
    /// The route requires the key of a tenant, and the request has none or another one.
    NoTenant(Denied),
    /// The request's key is unknown, but a peer has a newer configuration than this process.
    ConfigBehind,
    /// The tenant's quota is exhausted.
    OverQuota,
    /// No quota grantor is reachable, and this host has no share of its own.
    QuotaUnknown,
    /// No configuration has been read yet, or no version record at a first start.
    NoConfig,
    /// No upstream of the service is available.
    NoUpstream,
    /// The process is stopping before the answer would end.
    Stopping,
    /// All upstreams are too busy to answer in time.
    Overloaded,
    /// All upstreams that could run the request are at the limits that they name.
    UpstreamLimit,
    /// All upstreams that could run the request asked this process for a pause.
    UpstreamPause,
    /// It isn't known at which software version the stream began that the client resumes.
    StreamUnknown,
    /// No upstream is available of the software version at which the stream began.
    StreamVersionGone,
    /// The stream that the client resumes began on another route, or its service isn't the route's.
    OtherStream,
    /// Each upstream that was tried reported that it didn't run the request.
    Rejected,
    /// Upstreams crashed while they ran the request, also when it ran alone. It is not sent
    /// again.
    CrashesUpstreams,
    /// Upstreams crashed while they ran the request, possibly by coincidence. Trials are in
    /// progress.
    CrashSuspected,
    /// Upstreams crashed while they ran prompts with a part that the request has, also when one ran
    /// alone. It is not sent.
    PartCrashesUpstreams,
    /// Upstreams crashed while they ran prompts with a part that the request has, possibly by
    /// coincidence. Trials are in progress.
    PartCrashSuspected,
    /// The connection to an upstream was lost while it may have run the request.
    UpstreamLost,
    /// The upstream that may have run the request answered with a status that would promise its client
    /// the opposite.
    UpstreamFailed,
    /// The deadline or the timeout passed without an answer.
    TimedOut,
    /// The process ends before the answer.
    ProcessEnds,
    /// The client disconnected.
    ClientGone,
}

/// Whether a request has run, as far as this process can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream's answer was relayed completely.
    Answered,
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer was begun, but not completed.
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
    /// Name in logs, metrics and responses.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::TooLarge => "too_large",
            Self::SlowBody => "slow_body",
            Self::BrokenBody => "broken_body",
            Self::NoMemory => "no_memory",
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
            Self::UpstreamLimit => "upstream_limit",
            Self::UpstreamPause => "upstream_pause",
            Self::StreamUnknown => "stream_unknown",
            Self::StreamVersionGone => "stream_version_gone",
            Self::OtherStream => "other_stream",
            Self::Rejected => "rejected",
            Self::CrashesUpstreams => "crashes_upstreams",
            Self::CrashSuspected => "crash_suspected",
            Self::PartCrashesUpstreams => "part_crashes_upstreams",
            Self::PartCrashSuspected => "part_crash_suspected",
            Self::UpstreamLost => "upstream_lost",
            Self::UpstreamFailed => "upstream_failed",
            Self::TimedOut => "timed_out",
            Self::ProcessEnds => "process_ends",
            Self::ClientGone => "client_gone",
        }
    }

    /// Status of the response. It depends on the outcome first: statuses which promise that the
    /// request hasn't run are used only if that is certain.
    pub fn status(self, outcome: Outcome) -> StatusCode {
        let may_have_run = outcome != Outcome::NotRun;
        match self {
            Self::TimedOut | Self::ProcessEnds if may_have_run => StatusCode::GATEWAY_TIMEOUT,
            _ if may_have_run => StatusCode::BAD_GATEWAY,
            // Clients treat 400 as final. With 503 they would retry, with the same result.
            Self::Malformed(_)
            | Self::BrokenBody
            | Self::CrashesUpstreams
            | Self::PartCrashesUpstreams => StatusCode::BAD_REQUEST,
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
            Self::NoMemory => "the process has too little memory left for the body".into(),
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
            Self::UpstreamLimit => "all upstreams are at the limits that they name".into(),
            Self::UpstreamPause => "all upstreams have asked for a pause".into(),
            Self::StreamUnknown => "it isn't known where the resumed stream began".into(),
            Self::StreamVersionGone => {
                "no upstream is usable of the version at which the stream began".into()
            }
            Self::OtherStream => "the resumed stream began on another route".into(),
            Self::Rejected => "the upstreams rejected the request".into(),
            Self::CrashesUpstreams => "upstreams have crashed each time they ran this".into(),
            Self::CrashSuspected => "upstreams have crashed while they ran this".into(),
            Self::PartCrashesUpstreams => {
                "upstreams have crashed each time they ran a prompt with one of the parts".into()
            }
            Self::PartCrashSuspected => {
                "upstreams have crashed while they ran prompts with one of the parts".into()
            }
            Self::UpstreamLost => "the connection to the upstream was lost".into(),
            Self::UpstreamFailed => "the upstream failed and may have run the request".into(),
            Self::TimedOut => "no answer came in time".into(),
            Self::ProcessEnds => "the process ends before the answer came".into(),
            Self::ClientGone => "the client went away".into(),
        }
    }
}

/// Whether a status promises clients that their request hasn't run and won't, so that they repeat it.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    message: String,
    request: &'a str,
    outcome: &'a str,
}

/// Builds a response for a request that an upstream did not answer. `retry_after` is sent only
/// for a status that allows a retry, so only if the request hasn't run.
pub fn gateway_response(
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
    let text = text.expect("a struct of strings is always serializable");
    let status = reason.status(outcome);
    let may_return = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let mut res = Response::new(full(text));
    *res.status_mut() = status;
    *res.headers_mut() = header::own_response_headers(id, retry_after.filter(|_| may_return));
    if may_return {
        // Refused clients retry on a new connection. In an overload, the old connections used 20
        // of 28 MB of memory and 680 of 890 file descriptors when they were kept open.
        res.headers_mut().insert(CONNECTION, CLOSE);
    }
    res
}
