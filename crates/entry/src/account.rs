//! The account of a request at its end: metrics, a log line, a record.

use crate::state::Entry;
use observe::log_line::now_ms;
use observe::{Event, Labels, Seconds, emit};
use records::{Record, Side};
use std::time::{Duration, Instant};
use wire::{Outcome, Reason, RequestId};

/// A request at its end.
#[derive(Debug, Clone)]
pub struct Ended<'a> {
    /// The request's id.
    pub id: RequestId,
    /// The service.
    pub service: &'a str,
    /// The tenant.
    pub tenant: &'a str,
    /// The class.
    pub class: &'a str,
    /// What became of it.
    pub outcome: Outcome,
    /// Why, if it wasn't answered.
    pub reason: Option<Reason>,
    /// The upstream that was tried last.
    pub upstream: Option<&'a str>,
    /// Tries.
    pub attempts: u32,
    /// Time in agents' queues, in milliseconds.
    pub queue_ms: u64,
    /// Time to the first byte.
    pub first: Option<Duration>,
    /// When it was received.
    pub since: Instant,
    /// Its deadline.
    pub deadline: Duration,
    /// Tokens that the caller has.
    pub count: u64,
}

/// Writes a request's account.
pub fn close(entry: &Entry, e: &Ended<'_>) {
    let total = e.since.elapsed();
    measure(entry, e, total);
    emit(&Event::Request {
        request: e.id.to_string(),
        service: e.service,
        tenant: e.tenant,
        class: e.class,
        outcome: e.outcome.to_string(),
        reason: e.reason.map(|r| r.to_string()),
        upstream: e.upstream,
        attempts: e.attempts,
        queue_ms: e.queue_ms,
        first_ms: e.first.map(millis),
        total_ms: millis(total),
        stopping_ms: entry.node.since_stop(e.since).map(millis),
    });
    entry.node.recorder.record(Record {
        request: e.id,
        side: Side::Entry,
        service: e.service.to_owned(),
        tenant: e.tenant.to_owned(),
        class: e.class.to_owned(),
        outcome: e.outcome,
        reason: e.reason,
        upstream: e.upstream.map(str::to_owned),
        attempts: e.attempts,
        queue_ms: e.queue_ms,
        first_ms: e.first.map(millis),
        total_ms: millis(total),
        deadline_ms: millis(e.deadline),
        count: e.count,
        ended_ms: now_ms(),
    });
}

fn measure(entry: &Entry, e: &Ended<'_>, total: Duration) {
    let who = Labels {
        service: e.service,
        class: e.class,
        tenant: e.tenant,
    };
    let metrics = &entry.node.metrics;
    let reason = e.reason.map(|r| r.to_string()).unwrap_or_default();
    metrics.count(who, &e.outcome.to_string(), &reason);
    metrics.time(who, Seconds::Total, total.as_secs_f64());
    metrics.time(who, Seconds::Queue, e.queue_ms as f64 / 1000.0);
    if let Some(first) = e.first {
        metrics.time(who, Seconds::First, first.as_secs_f64());
    }
}

fn millis(d: Duration) -> u64 {
    d.as_millis() as u64
}
