//! The guarantee of a planned stop: the process answers each request that it accepted, or
//! reports that the request hasn't run.

use crate::checker::{ClientRequest, RequestEnd, WorkerRun, runs_of};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Time between SIGTERM and SIGKILL, as in the gateways' settings.
pub const STOP_GRACE: Duration = Duration::from_secs(8);
/// Time after the signal within which clients may still send requests that last too long to be
/// finished. By its end the balancer has noticed the stop.
const BALANCER_DELAY: Duration = Duration::from_secs(3);
/// Part of the grace period after which such a request may be aborted.
const ABORT_FRACTION: f64 = 5.0 / 6.0;
/// Time after a disruption in which its effects still excuse a cut answer.
const DISRUPTION_AFTEREFFECT: Duration = Duration::from_secs(3);
/// A request counts as ended by its deadline from this long before it, to allow for rounding.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(100);

/// Where and when a request was sent, and when it ended.
#[derive(Debug, Clone)]
pub struct Delivery {
    /// Number of the gateway.
    pub gateway: usize,
    /// When the client had written all of it, or none if it couldn't.
    pub sent: Option<Instant>,
    /// When the request ended for the client.
    pub ended: Instant,
    /// Whether any byte of an answer arrived.
    pub answer_started: bool,
    /// Deadline of the request, relative to its start. No route has a shorter timeout.
    pub deadline: Duration,
}

/// A planned stop of a gateway process.
#[derive(Debug, Clone)]
pub struct PlannedStop {
    /// Number of the gateway.
    pub gateway: usize,
    /// When the process got the first signal.
    pub signal: Instant,
    /// When a new process replaced it, or none if that hasn't happened.
    pub until: Option<Instant>,
}

/// A fault that excuses cut answers.
#[derive(Debug, Clone)]
pub struct Disruption {
    /// Number of the gateway that was killed or paused, or none for a link to a worker, as all
    /// gateways use those.
    pub gateway: Option<usize>,
    /// When it began.
    pub from: Instant,
    /// When it ended, or none if it hasn't.
    pub until: Option<Instant>,
}

impl Disruption {
    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to
            && self
                .until
                .is_none_or(|u| u + DISRUPTION_AFTEREFFECT >= from)
    }
}

/// All planned stops and disruptions of a run.
#[derive(Debug, Clone, Default)]
pub struct Timeline {
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Disruptions that excuse cut answers.
    pub disruptions: Vec<Disruption>,
}

impl Timeline {
    /// Returns the stop that must have cut a request. Returns none if
    /// `overlapping_stop` does, or if the request was sent soon after the signal and
    /// lasted almost until the kill.
    pub fn stop_to_blame(
        &self,
        request: &ClientRequest,
        own_runs: &[&WorkerRun],
    ) -> Option<&PlannedStop> {
        let stop = self.overlapping_stop(request, own_runs)?;
        let may_be_aborted = request.delivery.sent <= Some(stop.signal + BALANCER_DELAY)
            && request.delivery.ended >= stop.signal + STOP_GRACE.mul_f64(ABORT_FRACTION);
        (!may_be_aborted).then_some(stop)
    }

    /// Returns the stop of its gateway that overlaps a request. Returns none if the request ended
    /// before the stop, reached its own deadline, or met another disruption.
    fn overlapping_stop(
        &self,
        request: &ClientRequest,
        own_runs: &[&WorkerRun],
    ) -> Option<&PlannedStop> {
        let Delivery {
            gateway,
            sent: Some(sent),
            ended,
            deadline,
            ..
        } = request.delivery
        else {
            return None;
        };
        let covers = |s: &&PlannedStop| {
            s.gateway == gateway && s.signal <= ended && s.until.is_none_or(|u| sent < u)
        };
        let stop = self.stops.iter().find(covers)?;
        let is_past_deadline = ended.duration_since(sent) + DEADLINE_TOLERANCE >= deadline;
        let is_broken = own_runs.iter().any(|r| r.by_script);
        // A process that was paused learns late of its own stop.
        let since = |t: &Disruption| t.gateway.map_or(sent, |_| sent.min(stop.signal));
        let is_disrupted = self
            .disruptions
            .iter()
            .filter(|t| t.gateway.is_none_or(|g| g == gateway))
            .any(|t| t.overlaps(since(t), ended));
        (!is_past_deadline && !is_broken && !is_disrupted).then_some(stop)
    }
}

/// Returns whether a request that its process had read got no complete answer, or an answer
/// that the request may have run.
pub fn is_aborted(request: &ClientRequest, own_runs: &[&WorkerRun]) -> bool {
    match &request.end {
        RequestEnd::Broken => request.delivery.answer_started || !own_runs.is_empty(),
        RequestEnd::Whole(502 | 504, _) => true,
        RequestEnd::Whole(..) | RequestEnd::Abandoned => false,
    }
}

/// Numbers of requests to stopping processes, by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EndCounts {
    /// All requests. Each is also in one of the numbers below.
    pub sent: usize,
    /// Answered with status 200.
    pub served: usize,
    /// Rejected with status 503, as not run.
    pub rejected: usize,
    /// Answered with status 502 or 504 by the gateway itself.
    pub failed: usize,
    /// Cut before the answer was complete.
    pub cut: usize,
    /// Not answered and not received by a worker, as the connection was closed before.
    pub unread: usize,
    /// Given up by the client.
    pub abandoned: usize,
    /// Answered with another status.
    pub other: usize,
}

impl EndCounts {
    fn add(&mut self, request: &ClientRequest, own_runs: &[&WorkerRun]) {
        self.sent += 1;
        match &request.end {
            RequestEnd::Whole(200, _) => self.served += 1,
            RequestEnd::Whole(503, _) => self.rejected += 1,
            RequestEnd::Whole(502 | 504, _) => self.failed += 1,
            RequestEnd::Broken if is_aborted(request, own_runs) => self.cut += 1,
            RequestEnd::Broken => self.unread += 1,
            RequestEnd::Abandoned => self.abandoned += 1,
            RequestEnd::Whole(..) => self.other += 1,
        }
    }
}

/// Requests to stopping processes, by when they were sent. Includes those that may be aborted,
/// but none that reached their own deadline or met another disruption.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct StopCounts {
    /// Sent before the signal and in progress when it arrived.
    pub running: EndCounts,
    /// Sent after the signal, at most `BALANCER_DELAY` later.
    pub early: EndCounts,
    /// Sent more than `BALANCER_DELAY` after the signal.
    pub late: EndCounts,
}

impl StopCounts {
    /// Counts requests. `runs` must be sorted by request id.
    pub fn count(requests: &[ClientRequest], runs: &[&WorkerRun], timeline: &Timeline) -> Self {
        let mut counts = Self::default();
        for request in requests {
            let own_runs = runs_of(runs, &request.id);
            let Some(stop) = timeline.overlapping_stop(request, own_runs) else {
                continue;
            };
            let period = match request.delivery.sent {
                Some(sent) if sent > stop.signal + BALANCER_DELAY => &mut counts.late,
                Some(sent) if sent > stop.signal => &mut counts.early,
                _ => &mut counts.running,
            };
            period.add(request, own_runs);
        }
        counts
    }
}
