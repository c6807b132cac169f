//! Records what upstreams state of themselves in their answers.

use crate::choose::Plan;
use crate::state::Gateway;
use observe::{Event, emit};
use platform::header::{RequestRate, Stated, UpstreamResponse};
use std::time::Instant;

/// Source of a statement in logs and metrics.
const FROM_ANSWER: &str = "answer";

/// Records the statements of an answer to a request that was sent at `sent_at`. The answer must
/// have the id of that request.
pub fn record(gateway: &Gateway, plan: &Plan, res: &UpstreamResponse, sent_at: Instant) {
    match res.request_limit {
        Stated::Absent => record_limit(gateway, plan, None, sent_at),
        Stated::Valid(rate) => record_limit(gateway, plan, Some(rate), sent_at),
        Stated::Invalid => record_invalid(gateway, plan, "limit"),
    }
}

fn record_limit(gateway: &Gateway, plan: &Plan, rate: Option<RequestRate>, sent_at: Instant) {
    let before = {
        let mut fleet = gateway.fleet();
        let Some(upstream) = fleet.get_mut(plan.key) else {
            return;
        };
        let before = upstream.limit.rate();
        if !upstream.limit.record_answer(rate, sent_at, Instant::now()) {
            return;
        }
        before
    };
    log_limit(gateway, &plan.instance, rate, before, FROM_ANSWER);
}

fn log_limit(
    gateway: &Gateway,
    upstream: &str,
    rate: Option<RequestRate>,
    before: Option<RequestRate>,
    source: &str,
) {
    let what = match rate {
        Some(_) => "limit",
        None => "limit_ended",
    };
    gateway.metrics.count_statement(what, source);
    emit(&Event::UpstreamLimit {
        upstream,
        per_s: rate.map(RequestRate::per_s),
        before: before.map(RequestRate::per_s),
        source,
    });
}

fn record_invalid(gateway: &Gateway, plan: &Plan, what: &str) {
    gateway.metrics.count_statement("invalid", FROM_ANSWER);
    let is_logged = match gateway.fleet().get_mut(plan.key) {
        Some(upstream) => std::mem::replace(&mut upstream.is_invalid_logged, true),
        None => true,
    };
    if !is_logged {
        emit(&Event::InvalidStatement {
            upstream: &plan.instance,
            what,
        });
    }
}
