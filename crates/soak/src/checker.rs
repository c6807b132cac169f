//! Checks the guarantees by comparing what clients got with what workers ran.

use crate::disruption::{Delivery, Timeline, is_aborted};
use crate::keys::{Key, Keys, check_keys};
use serde::Serialize;
use std::time::Instant;

/// Kind of a request, which decides how often it may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run at most once.
    NonIdempotent,
    /// A stream that may be resumed at another worker.
    Resumable,
    /// A stream that may run at most once.
    Stream,
    /// The rest of a stream, which its client takes up after an event.
    Rest {
        /// The last event that the client has.
        after: u64,
    },
}

impl RequestKind {
    /// Returns whether it may run at most once.
    fn is_once(self) -> bool {
        matches!(self, Self::NonIdempotent | Self::Stream)
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream | Self::Rest { .. })
    }

    /// The first event of a whole answer.
    fn first_event(self) -> u64 {
        match self {
            Self::Rest { after } => after + 1,
            Self::Idempotent | Self::NonIdempotent | Self::Resumable | Self::Stream => 1,
        }
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete answer with its status and body.
    Whole(u16, String),
    /// The connection broke, or no complete answer came in time.
    Broken,
    /// The client closed the connection before the answer was complete.
    Abandoned,
}

/// A request as observed by its client.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// How it ended.
    pub end: RequestEnd,
    /// Where and when it was sent.
    pub delivery: Delivery,
    /// The API key that it carried.
    pub key: Key,
}

/// A request as observed by the worker that ran it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRun {
    /// Its id.
    pub id: String,
    /// Id of the event after which a stream was resumed.
    pub resumed_after: Option<u64>,
    /// Whether the worker was told to misbehave instead of serving it.
    pub by_script: bool,
    /// The tenant that the gateway passed to the worker.
    pub tenant: Option<String>,
    /// Whether the gateway passed the API key to the worker.
    pub shows_key: bool,
}

/// A period after the notice of a leaving worker in which it should get no new request.
#[derive(Debug, Clone)]
pub struct Departure {
    /// Requests that it got in that period.
    pub late_requests: usize,
    /// When the period began.
    pub since: Instant,
}

/// Numbers of violations. All must be 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Answers whose body belongs to another request.
    pub mixed: usize,
    /// Requests that ran more than once but may run at most once.
    pub twice: usize,
    /// Requests that were refused as not run but had run.
    pub refused_but_ran: usize,
    /// Runs of requests that no client sent.
    pub unasked: usize,
    /// Streams that looked complete but had a missing, doubled or misplaced piece.
    pub disordered: usize,
    /// Requests that reached a worker long after its notice that it leaves.
    pub late_at_leaving: usize,
    /// Requests that got no complete answer because of a planned stop, though they could have
    /// been refused as not run.
    pub cut_by_stop: usize,
    /// Requests that crash workers and were still sent to workers after this was known.
    pub sent_again: usize,
    /// Harmless requests that were blocked as if they crashed workers.
    pub held_wrongly: usize,
    /// 1 if some gateway didn't serve after the last fault, else 0.
    pub not_recovered: usize,
    /// Runs whose worker got another tenant than the key's, or got the key itself.
    pub told_wrongly: usize,
    /// Requests that ran though their key had been revoked for longer than the bound.
    pub ran_without_key: usize,
    /// Requests that were refused as unauthorized though their key was always valid.
    pub denied: usize,
    /// Reports of a usage window that differ from an earlier report of it.
    pub reported_twice: usize,
    /// Reports with an outdated fencing token, or from two holders that overlap.
    pub badly_fenced: usize,
    /// 1 if the usage reported for the last phase is wrong, else 0.
    pub usage_off: usize,
    /// Logs that contain an API key.
    pub keys_logged: usize,
    /// Requests that reached a worker long after its answer that it leaves.
    pub sent_to_leaving: usize,
    /// Pauses in which a worker got too many requests.
    pub sent_in_pause: usize,
    /// Workers that got more requests than the limit that they named.
    pub over_limit: usize,
    /// Streams with events of two software versions, in one answer or over a client's tries.
    pub mixed_versions: usize,
    /// Streams that clients couldn't continue if fewer went on than the bound requires, else 0.
    pub streams_lost: usize,
}

impl Verdict {
    /// Returns whether there was no violation.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Number of pieces in each stream.
pub const PIECES: u64 = 4;

/// A stream with all events that its client got, also over several tries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedStream {
    /// Id of the first try.
    pub id: String,
    /// The events.
    pub events: String,
    /// Number of tries.
    pub tries: u32,
    /// Whether it has its last event.
    pub is_whole: bool,
}

/// Counts streams with events of two software versions, and prints them.
pub fn count_mixed_versions(streams: &[ReceivedStream]) -> usize {
    let is_mixed = |stream: &&ReceivedStream| {
        let lines = stream.events.lines();
        let mut versions: Vec<&str> = lines.filter_map(|l| l.strip_prefix("data: by ")).collect();
        versions.sort_unstable();
        versions.dedup();
        versions.len() > 1
    };
    let mixed = streams.iter().filter(is_mixed);
    mixed
        .inspect(|stream| println!("events of two versions: {stream:?}"))
        .count()
}

/// Checks the requests of clients against the runs of workers.
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
        // A request that can't run anywhere because its key was revoked isn't cut by the stop.
        let is_aborted = is_aborted(request, own_runs) && !keys.is_revoked_during(request);
        out.cut_by_stop += usize::from(is_aborted && is_stopped());
    }
    out
}

/// Sorts runs by request id.
pub fn sort_by_id(runs: &[WorkerRun]) -> Vec<&WorkerRun> {
    let mut sorted: Vec<&WorkerRun> = runs.iter().collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    sorted
}

/// Returns the runs of a request. `runs` must be sorted by request id.
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
        // All requests are valid, so a 400 means that the request was blocked.
        (400, _) => out.held_wrongly += 1,
        (200, kind) if kind.is_stream() && !is_ordered(body, kind.first_event()) => {
            out.disordered += 1;
        }
        (200, _) if has_foreign_body(request) => out.mixed += 1,
        (429 | 503 | 408 | 421, kind) if kind.is_once() && runs > 0 => out.refused_but_ran += 1,
        _ => {}
    }
}

/// Returns whether a plain request got a successful answer with another request's body.
pub fn has_foreign_body(request: &ClientRequest) -> bool {
    let is_plain = !request.kind.is_stream();
    is_plain && matches!(&request.end, RequestEnd::Whole(200, body) if *body != request.id)
}

fn is_ordered(body: &str, first: u64) -> bool {
    let pieces = body.lines().filter_map(|l| l.strip_prefix("id: "));
    pieces.map(str::parse).eq((first..=PIECES).map(Ok))
}
