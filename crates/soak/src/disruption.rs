//! The promise of a planned stop: what the process took on, it ends or says that it
//! hasn't run.

use crate::checker::{ClientRequest, RequestEnd, WorkerRun};
use std::time::{Duration, Instant};

/// Time between SIGTERM and SIGKILL, as the gateways' settings say.
pub const STOP_GRACE: Duration = Duration::from_secs(8);
/// Time after the signal up to which requests may last too long to be ended: the balancer
/// has noticed by then.
const BALANCER_DELAY: Duration = Duration::from_secs(3);
/// Part of the grace after which such a request may be broken off.
const ABORT_FRACTION: f64 = 5.0 / 6.0;
/// Time after a fault in which its effects excuse a request.
const DISRUPTION_AFTEREFFECT: Duration = Duration::from_secs(3);
/// Time that a request may last by its own deadline of 4 s, but for rounding.
const REQUEST_DEADLINE: Duration = Duration::from_millis(3900);

/// Which process a request was sent to, and when.
#[derive(Debug, Clone)]
pub struct Delivery {
    /// Number of the gateway.
    pub gateway: usize,
    /// When it was written whole; none if it wasn't.
    pub sent: Option<Instant>,
    /// When it ended for the client.
    pub ended: Instant,
    /// Whether any byte of an answer came.
    pub answer_started: bool,
}

/// A planned stop of a process.
#[derive(Debug, Clone)]
pub struct PlannedStop {
    /// Number of the gateway.
    pub gateway: usize,
    /// When it was first told.
    pub signal: Instant,
    /// When another process took its place; none if that is still to come.
    pub until: Option<Instant>,
}

/// A fault that excuses an answer which is cut.
#[derive(Debug, Clone)]
pub struct Disruption {
    /// The process that was killed or paused; none for a link to a worker, which all use.
    pub gateway: Option<usize>,
    /// When it began.
    pub from: Instant,
    /// When it ended; none if that is still to come.
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

/// All planned stops, and what excuses a cut.
#[derive(Debug, Clone, Default)]
pub struct Timeline {
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Faults.
    pub disruptions: Vec<Disruption>,
}

impl Timeline {
    /// The stop that alone can have cut a request; none if the request ended before, or
    /// something else was wrong, or it came too early to be ended.
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
        // A pause shifts what the process knows of its own stop.
        let since = |t: &Disruption| t.gateway.map_or(sent, |_| sent.min(stop.signal));
        let is_disrupted = self
            .disruptions
            .iter()
            .filter(|t| t.gateway.is_none_or(|g| g == gateway))
            .any(|t| t.overlaps(since(t), ended));
        (!may_be_aborted && !is_past_deadline && !is_broken && !is_disrupted).then_some(stop)
    }
}

/// Whether a request that its process read whole ended without a whole answer, or with
/// the process's own words that it may have run.
pub fn is_aborted(request: &ClientRequest, own_runs: &[&WorkerRun]) -> bool {
    match &request.end {
        RequestEnd::Broken => request.delivery.answer_started || !own_runs.is_empty(),
        RequestEnd::Whole(502 | 504, _) => true,
        RequestEnd::Whole(..) => false,
    }
}
