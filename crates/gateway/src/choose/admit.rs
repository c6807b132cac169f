//! Chooses an upstream whose limit has room for the request.

use super::{Choice, Plan, Requirements};
use crate::fleet::AtLimit;
use crate::monotonic;
use crate::quota::{AcquireError, Grant, acquire_request, request_limit};
use crate::state::Gateway;
use observe::{Event, emit};
use platform::header::RequestRate;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of upstreams whose limits are asked for room for one request.
const MAX_ASKED: usize = 8;
/// Time after which there may be room if no host answered that holds shares of the limit.
const UNKNOWN_ROOM: Duration = Duration::from_millis(200);
/// Longest part of the wait that a refusal names in which a host doesn't ask again. Refunds may make
/// room earlier.
const MAX_REFUSAL_AGE: Duration = Duration::from_millis(200);
/// Number of queries of all hosts after refusals for each request that the limit admits. The
/// interval between the queries of a host grows with the number of hosts, so that those who answer
/// aren't overloaded.
const QUERIES_PER_REQUEST: f64 = 4.0;
/// Shortest and longest interval between two queries of a host after a refusal.
const QUERY_INTERVAL: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(5));

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
        let Some(rate) = plan.request_limit else {
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
        Choice::Send(plan) if plan.request_limit.is_some() => (Choice::NoUpstream, None),
        _ => (choice, None),
    }
}

fn is_available(gateway: &Gateway, plan: &Plan) -> bool {
    let fleet = gateway.fleet();
    let upstream = fleet.get(plan.key);
    upstream.is_some_and(|u| u.is_open() && u.pause_end(monotonic::now()).is_none())
}

/// Interval until this host asks for room again after a refusal, with jitter.
fn query_interval(gateway: &Gateway, rate: RequestRate) -> Duration {
    let (min, max) = QUERY_INTERVAL;
    let per_s = request_limit(rate).rate * QUERIES_PER_REQUEST / f64::from(gateway.process_count());
    let interval = Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(max);
    interval
        .clamp(min, max)
        .mul_f64(0.75 + fastrand::f64() / 2.0)
}

fn record_at_limit(
    gateway: &Gateway,
    plan: &Plan,
    rank: u32,
    rate: RequestRate,
    request: &str,
    error: AcquireError,
) {
    let now = monotonic::now();
    let (wait, share, by) = match error {
        AcquireError::OverQuota(refusal) => {
            let by = Some(refusal.grantor.to_string());
            (refusal.wait, refusal.share, by)
        }
        AcquireError::Unavailable => (UNKNOWN_ROOM, 0.0, None),
    };
    let until = now + query_interval(gateway, rate).max(wait.min(MAX_REFUSAL_AGE));
    if let Some(upstream) = gateway.fleet().get_mut(plan.key) {
        upstream.set_at_limit(AtLimit {
            rank,
            rate,
            until,
            room_at: now + wait,
        });
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
