//! Records what upstreams state of themselves in their answers, and what peers know of it.

use crate::choose::Plan;
use crate::monotonic;
use crate::peers::UpstreamStatement;
use crate::state::Gateway;
use hyper::StatusCode;
use observe::{Event, emit};
use platform::header::{RequestRate, Stated, UpstreamResponse};
use std::time::{Duration, Instant};

/// Sources of a statement in logs and metrics.
const FROM_ANSWER: &str = "answer";
const FROM_PEER: &str = "peer";

/// Records the statements of an answer to a request that was sent at `sent_at`. The answer must
/// have the id of that request.
pub fn record(
    gateway: &Gateway,
    plan: &Plan,
    status: StatusCode,
    res: &UpstreamResponse,
    sent_at: Instant,
) {
    match res.request_limit {
        // A rejection may come from a queue in front of what the upstream runs.
        Stated::Absent if res.not_executed => {}
        Stated::Absent => record_limit(gateway, plan, None, sent_at),
        Stated::Valid(rate) => record_limit(gateway, plan, Some(rate), sent_at),
        Stated::Invalid => record_invalid(gateway, plan, "limit"),
    }
    match res.is_leaving {
        Stated::Valid(true) => record_leaving(gateway, plan),
        // Leaving is final, so its absence in an answer that was overtaken means nothing.
        Stated::Valid(false) | Stated::Absent => {}
        Stated::Invalid => record_invalid(gateway, plan, "leaving"),
    }
    match res.pause_of(status) {
        Stated::Absent => {}
        Stated::Valid(pause) => record_pause(gateway, plan, pause),
        Stated::Invalid => record_invalid(gateway, plan, "pause"),
    }
}

fn record_pause(gateway: &Gateway, plan: &Plan, pause: Duration) {
    if let Some(upstream) = gateway.fleet().get_mut(plan.key) {
        upstream.set_paused(pause, monotonic::now());
    }
    gateway.metrics.count_statement("pause", FROM_ANSWER);
    emit(&Event::UpstreamPauses {
        upstream: &plan.instance,
        for_ms: pause.as_millis() as u64,
    });
}

fn record_leaving(gateway: &Gateway, plan: &Plan) {
    let was_leaving = match gateway.fleet().get_mut(plan.key) {
        Some(upstream) => std::mem::replace(&mut upstream.stated.is_leaving, true),
        None => true,
    };
    if !was_leaving {
        log_leaving(gateway, &plan.instance, FROM_ANSWER);
    }
}

fn log_leaving(gateway: &Gateway, upstream: &str, source: &str) {
    gateway.metrics.count_statement("leaving", source);
    emit(&Event::UpstreamStatesLeaving { upstream, source });
}

fn record_limit(gateway: &Gateway, plan: &Plan, rate: Option<RequestRate>, sent_at: Instant) {
    let before = {
        let mut fleet = gateway.fleet();
        let Some(upstream) = fleet.get_mut(plan.key) else {
            return;
        };
        let limit = &mut upstream.stated.limit;
        let before = limit.rate();
        if !limit.record_answer(rate, sent_at, monotonic::now()) {
            return;
        }
        before
    };
    log_limit(gateway, &plan.instance, rate, before, FROM_ANSWER);
}

/// Applies what a peer knows of upstreams.
pub fn receive(gateway: &Gateway, statements: &[UpstreamStatement], now: Instant) {
    for statement in statements {
        let Some(changed) = gateway.fleet().merge_statement(statement, now) else {
            continue;
        };
        if let Some((before, after)) = changed.limit {
            log_limit(gateway, &changed.upstream, after, before, FROM_PEER);
        }
        if changed.begins_leaving {
            log_leaving(gateway, &changed.upstream, FROM_PEER);
        }
    }
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
        Some(upstream) => std::mem::replace(&mut upstream.stated.is_invalid_logged, true),
        None => true,
    };
    if !is_logged {
        emit(&Event::InvalidStatement {
            upstream: &plan.instance,
            what,
        });
    }
}
