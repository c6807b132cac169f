//! The guarantee of a planned stop: the process answers each request that it accepted, or
//! reports that the request hasn't run.

use crate::checker::{ClientRequest, RequestEnd, WorkerRun};
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
/// Duration from which on a request counts as ended by its own deadline of 4 s. The difference
/// allows for rounding.
const REQUEST_DEADLINE: Duration = Duration::from_millis(3900);

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
    /// Returns the stop that must have cut a request. Returns none if the request ended before
    /// the stop, reached its own deadline, met another disruption, or was sent soon after the
    /// signal and lasted almost until the kill.
    pub fn stop_to_blame(
        &self,
        request: &ClientRequest,
        own_runs: &[&WorkerRun],
    ) -> Option<&PlannedStop> {
        let Delivery {
            gateway,
            sent: Some(sent),
            ended,
            ..
        } = request.delivery
        else {
            return None;
        };
        let covers = |s: &&PlannedStop| {
            s.gateway == gateway && s.signal <= ended && s.until.is_none_or(|u| sent < u)
        };
        let stop = self.stops.iter().find(covers)?;
        let may_be_aborted = sent <= stop.signal + BALANCER_DELAY
            && ended >= stop.signal + STOP_GRACE.mul_f64(ABORT_FRACTION);
        let is_past_deadline = ended.duration_since(sent) >= REQUEST_DEADLINE;
        let is_broken = own_runs.iter().any(|r| r.by_script);
        // A process that was paused learns late of its own stop.
        let since = |t: &Disruption| t.gateway.map_or(sent, |_| sent.min(stop.signal));
        let is_disrupted = self
            .disruptions
            .iter()
            .filter(|t| t.gateway.is_none_or(|g| g == gateway))
            .any(|t| t.overlaps(since(t), ended));
        (!may_be_aborted && !is_past_deadline && !is_broken && !is_disrupted).then_some(stop)
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
