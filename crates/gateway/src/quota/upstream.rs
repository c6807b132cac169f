//! Keeps the limits on requests that upstreams name, over all hosts.
//!
//! Every request that is sent to such an upstream takes a unit of its limit first: also a retry,
//! a prefill, and the rest of a broken stream.

use super::{AcquireError, Grant, Query, Request, acquire_units};
use crate::monotonic;
use crate::quota::message::{self, SpendRequest};
use crate::state::Gateway;
use platform::header::RequestRate;
use quota::{Cost, Limit, LimitKey};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

/// Requests are counted in any window of this length. An upstream may get half as many again as
/// its limit allows in it, and a number of requests besides.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 0.5;
const SLACK: f64 = 5.0;
/// Largest fraction of a bucket that is reserved for more urgent requests.
const MAX_RESERVE: f64 = 0.5;

/// The limit that hosts enforce for an upstream that names a rate.
pub fn request_limit(rate: RequestRate) -> Limit {
    Limit::for_requests(rate.per_s(), WINDOW, OVERAGE, SLACK)
}

/// Fraction of a bucket, in percent, that a request of a rank must leave to more urgent ones.
fn reserve_percent(rank: u32) -> u8 {
    let rank = f64::from(rank);
    (100.0 * MAX_RESERVE * rank / (rank + 1.0)) as u8
}

fn request_cost(reserve_percent: u8) -> Cost {
    Cost {
        units: 1.0,
        reserve: f64::from(reserve_percent.min(100)) / 100.0,
    }
}

/// Takes a request from the limit of an upstream's start. `rank` is the request's priority, 0 for
/// the most urgent.
pub async fn acquire_request(
    gateway: &Arc<Gateway>,
    tag: u32,
    rate: RequestRate,
    rank: u32,
) -> Result<Grant, AcquireError> {
    let reserve_percent = reserve_percent(rank);
    let request = Request {
        key: LimitKey::Upstream(tag),
        limit: request_limit(rate),
        cost: request_cost(reserve_percent),
        query: Query::Upstream {
            tag,
            rate: rate.0,
            reserve_percent,
        },
    };
    acquire_units(gateway, &request).await
}

/// Answers a host's query for a request to an upstream. The limit is the one that this host
/// knows, or else the one that the query names.
pub(super) fn spend(gateway: &Gateway, from: IpAddr, query: SpendRequest) -> message::Message {
    let number = query.number;
    let known = {
        let mut fleet = gateway.fleet();
        let upstream = fleet.get_mut_by_tag(query.upstream);
        upstream.and_then(|u| u.stated.limit.rate())
    };
    let limit = request_limit(known.unwrap_or(RequestRate(query.rate)));
    let key = LimitKey::Upstream(query.upstream);
    let cost = request_cost(query.reserve_percent);
    let now = monotonic::now();
    let mut lending = gateway.quotas.lending();
    let share = lending.pool.share(now);
    match lending.pool.spend(from, number, key, limit, cost, now) {
        Ok(()) => message::Message::Granted { number },
        Err(refused) => message::Message::Refused(message::Refused {
            number,
            wait_ms: refused.wait.as_millis() as u32,
            left: refused.left,
            share,
        }),
    }
}
