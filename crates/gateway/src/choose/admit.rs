//! Chooses an upstream whose limit has room for the request.

use super::{Choice, Plan, Requirements};
use crate::quota::{AcquireError, Grant, acquire_request};
use crate::state::Gateway;
use observe::{Event, emit};
use platform::header::RequestRate;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of upstreams whose limits are asked for room for one request.
const MAX_ASKED: usize = 8;
/// Time until a limit is asked again if no host answered that holds shares of it.
const UNKNOWN_ROOM: Duration = Duration::from_millis(200);

/// Chooses an upstream with `choose`, and takes the request from its limit if it names one. If
/// there is no room, other upstreams are chosen.
pub async fn choose_with_room(
    gateway: &Arc<Gateway>,
    requirements: &Requirements<'_>,
    request: &str,
    choose: impl Fn() -> Choice,
) -> (Choice, Option<Grant>) {
    let mut choice = choose();
    for _ in 0..MAX_ASKED {
        let Choice::Send(plan) = &choice else {
            break;
        };
        let Some(rate) = named_rate(gateway, plan) else {
            return (choice, None);
        };
        match acquire_request(gateway, plan.tag, rate, requirements.rank).await {
            // The upstream may have been closed while its limit was asked.
            Ok(grant) if is_available(gateway, plan) => return (choice, Some(grant)),
            Ok(_) => {}
            Err(e) => record_at_limit(gateway, plan, requirements.rank, rate, request, e),
        }
        choice = choose();
    }
    match &choice {
        Choice::Send(plan) if named_rate(gateway, plan).is_some() => (Choice::NoUpstream, None),
        _ => (choice, None),
    }
}

fn named_rate(gateway: &Gateway, plan: &Plan) -> Option<RequestRate> {
    let fleet = gateway.fleet();
    fleet.get(plan.key).and_then(|u| u.stated.limit.rate())
}

fn is_available(gateway: &Gateway, plan: &Plan) -> bool {
    let fleet = gateway.fleet();
    let upstream = fleet.get(plan.key);
    upstream.is_some_and(|u| u.is_open() && u.pause_end(Instant::now()).is_none())
}

fn record_at_limit(
    gateway: &Gateway,
    plan: &Plan,
    rank: u32,
    rate: RequestRate,
    request: &str,
    error: AcquireError,
) {
    let now = Instant::now();
    let (wait, share, by) = match error {
        AcquireError::OverQuota(refusal) => {
            let by = Some(refusal.grantor.to_string());
            (refusal.wait, refusal.share, by)
        }
        AcquireError::Unavailable => (UNKNOWN_ROOM, 0.0, None),
    };
    if let Some(upstream) = gateway.fleet().get_mut(plan.key) {
        upstream.set_at_limit(rank, now + wait, now);
    }
    emit(&Event::UpstreamAtLimit {
        request,
        upstream: &plan.instance,
        per_s: rate.per_s(),
        rank,
        wait_ms: wait.as_millis() as u64,
        share,
        by,
    });
}
