//! Workers that state something of themselves in their answers: that they leave, how many requests
//! they accept, or that they want a pause. Checks from what clients and workers saw that gateways
//! comply.

use crate::checker::{ClientRequest, PIECES, RequestEnd};
use crate::cluster::{Cluster, Upstream};
use crate::disruption::Timeline;
use standin::fixture::{
    DRAIN_BOUND, LEAVING_HEADER, pause_header, pause_in, request_limit_header, request_limit_in,
};
use standin::{Action, ReceivedRequest};
use std::io;
use std::time::{Duration, Instant};

/// Margin for a busy machine after the bound for requests to a leaving worker.
const LEAVING_MARGIN: Duration = Duration::from_millis(500);
/// Time after a statement within which a gateway need not comply.
const TRANSIT_TIME: Duration = Duration::from_millis(500);
/// Requests that may arrive within a pause.
const MAX_IN_PAUSE: usize = 2;
/// Time after a worker first named its limit from which the limit must be kept.
const LIMIT_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Length of the windows in which requests to a worker with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in a window: the limit times `LIMIT_OVERAGE`, and `LIMIT_SLACK`.
const LIMIT_OVERAGE: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Limits that workers name, in requests per second.
const LIMITS: [&str; 4] = ["0", "1.2", "5", "20"];

/// Numbers of requests that a worker got in spite of its statements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatementViolations {
    /// Requests that reached a worker long after its answer that it leaves.
    pub sent_to_leaving: usize,
    /// Pauses in which a worker got too many requests.
    pub sent_in_pause: usize,
    /// Workers that got more requests in some window than their limit allows.
    pub over_limit: usize,
}

/// Changes what a worker states.
pub async fn change(cluster: &mut Cluster, n: usize, rng: &mut fastrand::Rng) -> io::Result<()> {
    let is_leaving = cluster.upstreams[n].is_leaving;
    let serve = || Box::new(Action::ServeFor(PIECES));
    let kind = rng.u32(..6);
    let worker = &cluster.upstreams[n].worker;
    match kind {
        _ if is_leaving => {}
        0 => {
            worker.set_default_action(Action::WithHeaders(LEAVING_HEADER.into(), serve()));
            cluster.upstreams[n].is_leaving = true;
            cluster.add_worker().await?;
        }
        1 | 2 => {
            let limit = request_limit_header(LIMITS[rng.usize(..LIMITS.len())]);
            worker.set_default_action(Action::WithHeaders(limit, serve()));
        }
        3 | 4 => {
            let header = pause_header(&format!("{:.1}", rng.f64() * 2.5 + 0.5));
            let refusal = Action::WithHeaders(header, Box::new(Action::Reject(503)));
            worker.script(vec![refusal; rng.usize(1..4)]);
        }
        _ => worker.set_default_action(*serve()),
    }
    Ok(())
}

/// Ends all statements. Leaving workers are removed.
pub fn clear(cluster: &mut Cluster) {
    for n in (0..cluster.upstreams.len()).rev() {
        match cluster.upstreams[n].is_leaving {
            true => cluster.retire(n),
            false => {
                let serve = Action::ServeFor(PIECES);
                cluster.upstreams[n].worker.set_default_action(serve);
            }
        }
    }
}

/// A request that a worker got from a gateway.
struct Arrival<'a> {
    request: &'a ReceivedRequest,
    client: &'a ClientRequest,
    /// Time at which its gateway had surely passed on this worker's answer, if it did.
    passed_on: Option<Instant>,
}

impl Arrival<'_> {
    fn states(&self, header: &str) -> bool {
        self.request.added_headers.contains(header)
    }

    fn gateway(&self) -> usize {
        self.client.delivery.gateway
    }
}

/// Checks what workers got against what they had stated. Restarts and pauses of a gateway excuse
/// that gateway.
pub fn check<'a>(
    workers: impl Iterator<Item = &'a Upstream>,
    requests: &[ClientRequest],
    timeline: &Timeline,
) -> StatementViolations {
    let mut clients: Vec<&ClientRequest> = requests.iter().collect();
    clients.sort_unstable_by(|a, b| a.id.cmp(&b.id));
    let mut out = StatementViolations::default();
    for worker in workers {
        let received = worker.worker.requests();
        let last_start = received.iter().map(|r| r.restarts).max().unwrap_or(0);
        for start in 0..=last_start {
            let of_start = received.iter().filter(|r| r.restarts == start);
            let arrivals: Vec<_> = of_start.filter_map(|r| arrival(r, &clients)).collect();
            let before = out;
            check_leaving(&arrivals, timeline, &mut out);
            check_pauses(&arrivals, timeline, &mut out);
            check_limit(&arrivals, timeline, &mut out);
            if out != before {
                println!("{} start {start}: statements ignored: {out:?}", worker.id);
            }
        }
    }
    out
}

fn arrival<'a>(request: &'a ReceivedRequest, clients: &[&'a ClientRequest]) -> Option<Arrival<'a>> {
    let at = clients.binary_search_by(|c| c.id.as_str().cmp(request.id()));
    let client = clients[at.ok()?];
    // The body of a plain answer is the request's id, so it tells nothing of the worker; only an
    // answer that came after this arrival can be this worker's.
    let is_whole = matches!(client.end, RequestEnd::Whole(200, _));
    let passed_on = (is_whole && request.ran).then_some(client.delivery.ended);
    Some(Arrival {
        request,
        client,
        passed_on,
    })
}

/// Whether a gateway was restarted or paused, or links to workers were disrupted, in a period.
fn is_excused(timeline: &Timeline, gateway: usize, from: Instant, to: Instant) -> bool {
    let overlaps =
        |begin: Instant, end: Option<Instant>| begin <= to && end.is_none_or(|end| end >= from);
    let disrupted = timeline
        .disruptions
        .iter()
        .any(|d| d.gateway.is_none_or(|g| g == gateway) && overlaps(d.from, d.until));
    let stopped = timeline
        .stops
        .iter()
        .any(|s| s.gateway == gateway && overlaps(s.signal, s.until));
    disrupted || stopped
}

fn check_leaving(all: &[Arrival<'_>], timeline: &Timeline, out: &mut StatementViolations) {
    for answer in all.iter().filter(|a| a.states(LEAVING_HEADER)) {
        let Some(answered_at) = answer.passed_on else {
            continue;
        };
        let late = all.iter().filter(|a| {
            let sent = a.client.delivery.sent;
            a.gateway() == answer.gateway()
                && sent.is_some_and(|at| at > answered_at + DRAIN_BOUND + LEAVING_MARGIN)
                && !is_excused(timeline, a.gateway(), answered_at, a.request.at)
        });
        out.sent_to_leaving += late.count();
    }
}

fn check_pauses(all: &[Arrival<'_>], timeline: &Timeline, out: &mut StatementViolations) {
    for refused in all {
        let Some(pause) = pause_in(&refused.request.added_headers) else {
            continue;
        };
        let begin = refused.request.at;
        let end = begin + Duration::from_secs_f64(pause);
        let in_pause = all.iter().filter(|a| {
            a.gateway() == refused.gateway()
                && a.request.at > begin + TRANSIT_TIME
                && a.request.at < end
        });
        let is_excused = is_excused(timeline, refused.gateway(), begin, end);
        out.sent_in_pause += usize::from(in_pause.count() > MAX_IN_PAUSE && !is_excused);
    }
}

fn check_limit(all: &[Arrival<'_>], timeline: &Timeline, out: &mut StatementViolations) {
    // A change of the limit begins a new period, as the bound changes.
    let per_s = |a: &Arrival<'_>| request_limit_in(&a.request.added_headers);
    for period in all.chunk_by(|a, b| per_s(a) == per_s(b)) {
        let Some(limit) = per_s(&period[0]) else {
            continue;
        };
        let named_at = period[0].request.at;
        let bound = limit * LIMIT_WINDOW.as_secs_f64() * LIMIT_OVERAGE + LIMIT_SLACK;
        let is_counted = |a: &&Arrival<'_>| {
            let at = a.request.at;
            let knows_limit = period.iter().any(|answer| {
                let answered_at = answer.passed_on.filter(|_| answer.gateway() == a.gateway());
                answered_at.is_some_and(|answered_at| answered_at + TRANSIT_TIME <= at)
            });
            knows_limit
                && at >= named_at + LIMIT_SETTLE_TIME
                && !is_excused(timeline, a.gateway(), named_at, at)
        };
        let times: Vec<Instant> = period
            .iter()
            .filter(is_counted)
            .map(|a| a.request.at)
            .collect();
        let in_window = |from: &Instant| {
            let end = *from + LIMIT_WINDOW;
            times.iter().filter(|t| *t >= from && **t < end).count()
        };
        let most = times.iter().map(in_window).max().unwrap_or(0);
        if most as f64 > bound {
            println!("{most} requests in a window, {bound} allowed");
            out.over_limit += 1;
        }
    }
}
