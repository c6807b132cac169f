//! For how long a process has known all upstreams.

use std::time::{Duration, Instant};

/// Longest time between two reads of the registry in which no upstream comes and goes unnoticed.
const MAX_GAP: Duration = Duration::from_secs(3);

/// Reads of the registry, as far as they show since when no upstream can have been missed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RegistryCoverage {
    since: Option<CoveredSince>,
    read_at: Option<Instant>,
    own_read_at: Option<Instant>,
}

/// Start of the period in which every upstream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoveredSince {
    /// The first start of the whole system, before which there were no streams.
    SystemStart,
    /// The first read, the first one after a gap, or the start of the coverage that was taken from
    /// the version record of another process.
    Read(Instant),
}

impl RegistryCoverage {
    /// Records a read that was requested at a time, by this process or by a peer.
    pub fn record_read(&mut self, at: Instant, is_own: bool) {
        let gap = self.read_at.map(|last| at.saturating_duration_since(last));
        match gap {
            Some(gap) if gap <= MAX_GAP && self.since.is_some() => {}
            None | Some(_) => self.since = Some(CoveredSince::Read(at)),
        }
        self.read_at = self.read_at.max(Some(at));
        if is_own {
            self.own_read_at = self.own_read_at.max(Some(at));
        }
    }

    /// Records that upstreams may be missing from the registry, as the store was restored.
    pub fn record_restore(&mut self) {
        self.since = None;
    }

    /// Whether all upstreams of the last `time` are known, up to the last read.
    pub fn covers(&self, time: Duration, now: Instant) -> bool {
        match self.since {
            None => false,
            Some(CoveredSince::SystemStart) => true,
            Some(CoveredSince::Read(at)) => now.saturating_duration_since(at) >= time,
        }
    }

    /// Start of the coverage; `None` if upstreams may be missing.
    pub fn since(&self) -> Option<CoveredSince> {
        self.since
    }

    /// Whether the last read is at most `MAX_GAP` old.
    pub fn is_current(&self, now: Instant) -> bool {
        let age = self.read_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age <= MAX_GAP)
    }

    /// Moves the start of the coverage from `own_since` back to `since`. Returns false, without
    /// effect, if the coverage no longer starts at `own_since` because of a gap.
    pub fn extend(&mut self, own_since: CoveredSince, since: CoveredSince) -> bool {
        let is_unbroken = self.since == Some(own_since);
        if is_unbroken {
            self.since = Some(since);
        }
        is_unbroken
    }

    /// Time at which this process requested its last read.
    pub fn own_read_at(&self) -> Option<Instant> {
        self.own_read_at
    }
}
