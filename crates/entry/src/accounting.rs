//! Records ended requests as metrics, a log line and a record.

use crate::state::Entry;
use observe::log_line::now_ms;
use observe::{Event, Labels, Latency, emit};
use records::{Record, Side};
use std::time::{Duration, Instant};
use wire::{Outcome, Reason, RequestId};

/// A request that has ended.
#[derive(Debug, Clone)]
pub struct EndedRequest<'a> {
    /// Request id.
    pub id: RequestId,
    /// Name of the service.
    pub service: &'a str,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Name of the class.
    pub class: &'a str,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason, if it wasn't answered.
    pub reason: Option<Reason>,
    /// The last upstream that was tried.
    pub upstream: Option<&'a str>,
    /// Number of attempts.
    pub attempts: u32,
    /// Total time in the queues of agents, in milliseconds.
    pub queue_ms: u64,
    /// Time to the first byte of the response.
    pub first_byte: Option<Duration>,
    /// When the request was received.
    pub received_at: Instant,
    /// Time limit for the start of the response.
    pub deadline: Duration,
    /// Number of tokens sent to the caller.
    pub count: u64,
}

/// Records a request that has ended.
pub fn record(entry: &Entry, request: &EndedRequest<'_>) {
    let total = request.received_at.elapsed();
    update_metrics(entry, request, total);
    emit(&Event::Request {
        request: request.id.to_string(),
        service: request.service,
        tenant: request.tenant,
        class: request.class,
        outcome: request.outcome.to_string(),
        reason: request.reason.map(|r| r.to_string()),
        upstream: request.upstream,
        attempts: request.attempts,
        queue_ms: request.queue_ms,
        first_ms: request.first_byte.map(millis),
        total_ms: millis(total),
        stopping_ms: entry.node.time_since_stop(request.received_at).map(millis),
    });
    entry.node.recorder.record(Record {
        request: request.id,
        side: Side::Entry,
        service: request.service.to_owned(),
        tenant: request.tenant.to_owned(),
        class: request.class.to_owned(),
        outcome: request.outcome,
        reason: request.reason,
        upstream: request.upstream.map(str::to_owned),
        attempts: request.attempts,
        queue_ms: request.queue_ms,
        first_ms: request.first_byte.map(millis),
        total_ms: millis(total),
        deadline_ms: millis(request.deadline),
        count: request.count,
        ended_ms: now_ms(),
    });
}

fn update_metrics(entry: &Entry, request: &EndedRequest<'_>, total: Duration) {
    let labels = Labels {
        service: request.service,
        class: request.class,
        tenant: request.tenant,
    };
    let metrics = &entry.node.metrics;
    let reason = request.reason.map(|r| r.to_string()).unwrap_or_default();
    metrics.count_request(labels, &request.outcome.to_string(), &reason);
    metrics.observe_latency(labels, Latency::Total, total.as_secs_f64());
    metrics.observe_latency(labels, Latency::Queue, request.queue_ms as f64 / 1000.0);
    if let Some(first_byte) = request.first_byte {
        metrics.observe_latency(labels, Latency::FirstByte, first_byte.as_secs_f64());
    }
}

fn millis(d: Duration) -> u64 {
    d.as_millis() as u64
}
