//! Answers of the system's own, and when clients may come back after them.

use crate::account::Account;
use crate::answer::{self, Reason};
use crate::state::Gateway;
use hyper::Response;
use net::Body;
use platform::BadRequest;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When a client may come back while this process knows no configuration.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);
/// The same while no upstream is usable, or those that were tried rejected it.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(300);
/// The same while no grantor of a quota can be reached.
const NO_QUOTA_RETRY: Duration = Duration::from_millis(400);
/// The same while it is tried whether upstreams end by the request: a trial takes as long
/// as an answer does.
const SUSPECT_RETRY: Duration = Duration::from_millis(500);
/// Why a request gets an answer of the system's own.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    reason: Reason,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal after which the client may come back in a time.
    pub(super) fn until(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        let retry_after = match reason {
            Reason::NoConfig | Reason::ConfigBehind => Some(NO_CONFIG_RETRY),
            Reason::NoUpstream | Reason::Rejected => Some(NO_UPSTREAM_RETRY),
            Reason::Stopping | Reason::ProcessEnds => Some(NO_UPSTREAM_RETRY),
            Reason::QuotaUnknown => Some(NO_QUOTA_RETRY),
            Reason::CrashSuspected => Some(SUSPECT_RETRY),
            _ => None,
        };
        Self {
            reason,
            retry_after,
        }
    }
}

pub(super) fn malformed(gateway: &Arc<Gateway>, since: Instant, e: BadRequest) -> Response<Body> {
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
