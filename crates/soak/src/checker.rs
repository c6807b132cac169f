//! The promises, checked over what clients got and workers saw.

use crate::disruption::{Delivery, Timeline, is_aborted};
use crate::keys::{Key, Keys, check_keys};
use serde::Serialize;
use std::time::Instant;

/// What a client may expect of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run once.
    NonIdempotent,
    /// A stream that may go on elsewhere.
    Resumable,
    /// A stream that may run once.
    Stream,
}

impl RequestKind {
    /// Whether it may run once at most.
    fn is_once(self) -> bool {
        matches!(self, Self::NonIdempotent | Self::Stream)
    }

    fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// An answer, with its status and body; whole as the protocol has it.
    Whole(u16, String),
    /// The connection broke, or nothing came in time.
    Broken,
}

/// A request as its client saw it.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Its id.
    pub id: String,
    /// What may be done with it.
    pub kind: RequestKind,
    /// How it ended.
    pub end: RequestEnd,
    /// Where it went, and when.
    pub delivery: Delivery,
    /// The key that it bore.
    pub key: Key,
}

/// A request as a worker saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRun {
    /// Its id.
    pub id: String,
    /// Event after which it went on.
    pub resumed_after: Option<u64>,
    /// Whether the worker was told to do something else with it than to serve it.
    pub by_script: bool,
    /// The tenant that the worker was told.
    pub tenant: Option<String>,
    /// Whether the worker was shown the key.
    pub shows_key: bool,
}

/// A time in which a worker should have got no new request.
#[derive(Debug, Clone)]
pub struct Departure {
    /// Requests that it got in that time.
    pub late_requests: usize,
    /// When the time began.
    pub since: Instant,
}

/// Counts of broken promises; all must be 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Answers with a body that isn't the request's own.
    pub mixed: usize,
    /// Requests that ran twice though they may not.
    pub twice: usize,
    /// Requests that were called not run and have run.
    pub refused_but_ran: usize,
    /// Runs of requests that no client sent.
    pub unasked: usize,
    /// Streams that looked whole with a piece missing, doubled or out of order.
    pub disordered: usize,
    /// Requests that reached a worker long after it said that it leaves.
    pub late_at_leaving: usize,
    /// Requests that a planned stop alone had, and that got no whole answer though
    /// they could have been refused as not run.
    pub cut_by_stop: usize,
    /// Requests that crash workers and that were sent on after it was known.
    pub sent_again: usize,
    /// Requests of others that were refused for good as if they crashed workers.
    pub held_wrongly: usize,
    /// Nothing was served after the last fault.
    pub not_recovered: usize,
    /// Runs under another tenant than the key's, or that were shown the key.
    pub told_wrongly: usize,
    /// Requests that ran though their key had been out of force for longer than the bound.
    pub ran_without_key: usize,
    /// Requests with a good key that were refused as if it weren't.
    pub denied: usize,
    /// Windows of usage with two reports that differ.
    pub reported_twice: usize,
    /// Reports under a token that was past, or by holders in turn.
    pub badly_fenced: usize,
    /// The usage after the last fault is off.
    pub usage_off: usize,
    /// Keys that stand in a log.
    pub keys_logged: usize,
}

impl Verdict {
    /// Whether each promise was kept.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Pieces of each stream.
pub const PIECES: u64 = 4;

/// Compares what clients got with what workers saw.
pub fn check_history(
    requests: &[ClientRequest],
    runs: &[WorkerRun],
    departures: &[Departure],
    timeline: &Timeline,
    keys: &Keys,
) -> Verdict {
    let sorted_runs = sort_by_id(runs);
    let key_violations = check_keys(requests, &sorted_runs, keys, timeline);
    let mut ids: Vec<&str> = requests.iter().map(|a| a.id.as_str()).collect();
    ids.sort_unstable();
    let is_unasked = |r: &&WorkerRun| ids.binary_search(&r.id.as_str()).is_err();
    let mut out = Verdict {
        unasked: runs.iter().filter(is_unasked).count(),
        late_at_leaving: departures.iter().map(|d| d.late_requests).sum(),
        told_wrongly: key_violations.told_wrongly,
        ran_without_key: key_violations.ran_without_key,
        denied: key_violations.denied,
        ..Verdict::default()
    };
    for request in requests {
        let own_runs = runs_of(&sorted_runs, &request.id);
        check_answer(request, own_runs.len(), &mut out);
        let is_stopped = || timeline.stop_to_blame(request, own_runs).is_some();
        // What runs nowhere any more as its key was taken away isn't cut by the stop.
        let is_aborted = is_aborted(request, own_runs) && !keys.is_revoked_during(request);
        out.cut_by_stop += usize::from(is_aborted && is_stopped());
    }
    out
}

/// Runs in the order of their requests' ids.
pub fn sort_by_id(runs: &[WorkerRun]) -> Vec<&WorkerRun> {
    let mut sorted: Vec<&WorkerRun> = runs.iter().collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    sorted
}

/// The runs of a request, of all in the order of their ids.
pub fn runs_of<'a, 'b>(runs: &'b [&'a WorkerRun], id: &str) -> &'b [&'a WorkerRun] {
    let from = runs.partition_point(|r| r.id.as_str() < id);
    let len = runs[from..].iter().take_while(|r| r.id == id).count();
    &runs[from..from + len]
}

fn check_answer(request: &ClientRequest, runs: usize, out: &mut Verdict) {
    if request.kind.is_once() && runs > 1 {
        out.twice += 1;
    }
    let RequestEnd::Whole(status, body) = &request.end else {
        return;
    };
    match (*status, request.kind) {
        // Nothing is wrong with any of them, whatever upstreams did.
        (400, _) => out.held_wrongly += 1,
        (200, kind) if kind.is_stream() && !is_ordered(body) => out.disordered += 1,
        (200, _) if has_foreign_body(request) => out.mixed += 1,
        (429 | 503 | 408 | 421, kind) if kind.is_once() && runs > 0 => out.refused_but_ran += 1,
        _ => {}
    }
}

/// Whether a plain request was answered with success and another body than its own.
pub fn has_foreign_body(request: &ClientRequest) -> bool {
    let is_plain = !request.kind.is_stream();
    is_plain && matches!(&request.end, RequestEnd::Whole(200, body) if *body != request.id)
}

fn is_ordered(body: &str) -> bool {
    let pieces = body.lines().filter_map(|l| l.strip_prefix("id: "));
    pieces.map(str::parse).eq((1..=PIECES).map(Ok))
}
