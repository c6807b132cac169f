//! Refusals by the gateway itself, and when clients may retry.

use crate::account::Account;
use crate::answer::{self, Reason};
use crate::state::Gateway;
use hyper::Response;
use net::Body;
use platform::BadRequest;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which a client may retry while this process has no configuration.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after which a client may retry if no upstream is usable, or all that were tried rejected
/// the request.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after which a client may retry if no grantor of its quota can be reached.
const NO_QUOTA_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time after which a client may retry if the memory budget has too little left for its body.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after which a client may retry while a trial determines whether its request crashes
/// upstreams. A trial takes as long as an answer.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// A response by the gateway itself instead of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    reason: Reason,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal after which the client may retry in `retry_after`.
    pub(super) fn with_retry_after(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        let retry_after = match reason {
            Reason::NoConfig | Reason::ConfigBehind => Some(NO_CONFIG_RETRY_AFTER),
            Reason::NoUpstream | Reason::Rejected => Some(NO_UPSTREAM_RETRY_AFTER),
            // The hosts that know the stream may answer later.
            Reason::StreamUnknown => Some(NO_UPSTREAM_RETRY_AFTER),
            Reason::Stopping | Reason::ProcessEnds => Some(NO_UPSTREAM_RETRY_AFTER),
            Reason::QuotaUnknown => Some(NO_QUOTA_RETRY_AFTER),
            Reason::NoMemory => Some(NO_MEMORY_RETRY_AFTER),
            Reason::CrashSuspected | Reason::PartCrashSuspected => Some(SUSPECT_RETRY_AFTER),
            _ => None,
        };
        Self {
            reason,
            retry_after,
        }
    }
}

pub(super) fn refuse_malformed(
    gateway: &Arc<Gateway>,
    since: Instant,
    e: BadRequest,
) -> Response<Body> {
    refuse(
        Account::open(gateway, "", since),
        Reason::Malformed(e).into(),
    )
}

pub(super) fn refuse(mut account: Account, refusal: Refusal) -> Response<Body> {
    let outcome = account.outcome();
    let res = answer::gateway_response(&account.id, outcome, refusal.reason, refusal.retry_after);
    account.status = res.status().as_u16();
    account.close(outcome, Some(refusal.reason));
    res
}
