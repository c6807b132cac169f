//! The promise of a planned stop: what the process took on, it ends or says that it
//! hasn't run.

use crate::judge::{Asked, End, Ran};
use std::time::{Duration, Instant};

/// Time between SIGTERM and SIGKILL, as the gateways' settings say.
pub const GRACE: Duration = Duration::from_secs(8);
/// Time after the signal up to which requests may last too long to be ended: the balancer
/// has noticed by then.
const EARLY: Duration = Duration::from_secs(3);
/// Part of the grace after which such a request may be broken off.
const LAST_SIXTH: f64 = 5.0 / 6.0;
/// Time after a fault in which its effects excuse a request.
const AFTERMATH: Duration = Duration::from_secs(3);
/// Time that a request may last by its own deadline of 4 s, but for rounding.
const OWN_TIME: Duration = Duration::from_millis(3900);

/// Which process a request was sent to, and when.
#[derive(Debug, Clone)]
pub struct Way {
    /// Number of the gateway.
    pub gateway: usize,
    /// When it was written whole; none if it wasn't.
    pub sent: Option<Instant>,
    /// When it ended for the client.
    pub ended: Instant,
    /// Whether any byte of an answer came.
    pub has_begun: bool,
}

/// A planned stop of a process.
#[derive(Debug, Clone)]
pub struct Stopped {
    /// Number of the gateway.
    pub gateway: usize,
    /// When it was first told.
    pub signal: Instant,
    /// When another process took its place; none if that is still to come.
    pub until: Option<Instant>,
}

/// A fault that excuses an answer which is cut.
#[derive(Debug, Clone)]
pub struct Trouble {
    /// The process that was killed or paused; none for a link to a worker, which all use.
    pub gateway: Option<usize>,
    /// When it began.
    pub from: Instant,
    /// When it ended; none if that is still to come.
    pub until: Option<Instant>,
}

impl Trouble {
    fn touches(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.until.is_none_or(|u| u + AFTERMATH >= from)
    }
}

/// All planned stops, and what excuses a cut.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Planned stops.
    pub stops: Vec<Stopped>,
    /// Faults.
    pub troubles: Vec<Trouble>,
}

impl Record {
    /// The stop that alone can have cut a request; none if the request ended before, or
    /// something else was wrong, or it came too early to be ended.
    pub fn stop_of(&self, asked: &Asked, own: &[&Ran]) -> Option<&Stopped> {
        let Way {
            gateway,
            sent: Some(sent),
            ended,
            ..
        } = asked.way
        else {
            return None;
        };
        let is_under = |s: &&Stopped| {
            s.gateway == gateway && s.signal <= ended && s.until.is_none_or(|u| sent < u)
        };
        let stop = self.stops.iter().find(is_under)?;
        let is_early =
            sent <= stop.signal + EARLY && ended >= stop.signal + GRACE.mul_f64(LAST_SIXTH);
        let is_over = ended.duration_since(sent) >= OWN_TIME;
        let is_broken = own.iter().any(|r| r.by_script);
        // A pause shifts what the process knows of its own stop.
        let since = |t: &Trouble| t.gateway.map_or(sent, |_| sent.min(stop.signal));
        let is_troubled = self
            .troubles
            .iter()
            .filter(|t| t.gateway.is_none_or(|g| g == gateway))
            .any(|t| t.touches(since(t), ended));
        (!is_early && !is_over && !is_broken && !is_troubled).then_some(stop)
    }
}

/// Whether a request that its process read whole ended without a whole answer, or with
/// the process's own words that it may have run.
pub fn is_cut(asked: &Asked, own: &[&Ran]) -> bool {
    match &asked.end {
        End::Broken => asked.way.has_begun || !own.is_empty(),
        End::Whole(502 | 504, _) => true,
        End::Whole(..) => false,
    }
}
