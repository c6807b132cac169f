//! The limit on requests that an upstream names in its answers.
//!
//! Processes advertise the limits that they know to each other. Each change of an upstream's limit has a
//! version, one above that of the limit which the process knew before, so that processes agree
//! whatever the order in which they learn of changes. Ages wouldn't do: the same statement would
//! seem newer the longer it was on its way, as processes pass it on in circles.

use platform::header::RequestRate;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time for which the end of a limit is advertised to peers, also after a peer sent an outdated version.
const ENDED_TTL: Duration = Duration::from_secs(5);

/// A version of the limit that an upstream names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitVersion {
    /// Number of changes up to this one.
    pub version: u32,
    /// Thousandths of requests per second; `None` if there is no limit.
    pub rate: Option<u32>,
}

impl LimitVersion {
    /// Whether it replaces another version. Of two changes with the same number, the one with the
    /// lower limit holds until the next answer.
    fn replaces(self, other: Self) -> bool {
        let strictness = |l: Self| std::cmp::Reverse(l.rate.unwrap_or(u32::MAX));
        (self.version, strictness(self)) > (other.version, strictness(other))
    }
}

/// The limit that one start of an upstream names, as known to this process.
#[derive(Debug, Default)]
pub struct NamedLimit {
    current: LimitVersion,
    /// Time at which this process learned the rate; `None` if no limit was named.
    changed_at: Option<Instant>,
    /// Time until which the version is advertised to peers although there is no limit.
    advertised_until: Option<Instant>,
}

impl NamedLimit {
    /// The limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.current.rate.map(RequestRate)
    }

    /// Applies an answer to a request that was sent at `sent_at`, and returns whether the limit
    /// changed. Answers may overtake each other, so one whose request was sent before the last
    /// change is ignored.
    pub fn record_answer(
        &mut self,
        rate: Option<RequestRate>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let is_outdated = self.changed_at.is_some_and(|at| sent_at < at);
        if rate == self.rate() || is_outdated {
            return false;
        }
        let version = self.current.version.saturating_add(1);
        let rate = rate.map(|RequestRate(thousandths)| thousandths);
        self.set(LimitVersion { version, rate }, now);
        true
    }

    /// Applies the version that a peer knows, and returns whether the limit changed.
    pub fn merge(&mut self, peer: LimitVersion, now: Instant) -> bool {
        if self.current.replaces(peer) {
            self.advertised_until = Some(now + ENDED_TTL);
        }
        if !peer.replaces(self.current) {
            return false;
        }
        let is_changed = peer.rate != self.current.rate;
        self.set(peer, now);
        is_changed
    }

    fn set(&mut self, limit: LimitVersion, now: Instant) {
        if limit.rate != self.current.rate {
            self.changed_at = Some(now);
        }
        self.current = limit;
        self.advertised_until = Some(now + ENDED_TTL);
    }

    /// The version to advertise to peers, if any.
    pub fn advertised_version(&self, now: Instant) -> Option<LimitVersion> {
        let is_advertised =
            self.current.rate.is_some() || self.advertised_until.is_some_and(|at| now < at);
        is_advertised.then_some(self.current)
    }
}
