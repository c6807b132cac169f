//! Keeps upstreams whose registry entries are missing just after an outage or a restore of the store.
//!
//! Entries expire while the store is unavailable, or are absent from the copy from which it was
//! restored, and are rewritten soon after its return, so a missing upstream isn't removed at once. Until it returns or is removed, the process knows more
//! upstreams than the version of its last read contains, and reports no read to its peers.

use std::time::{Duration, Instant};

/// Time for which an upstream remains in use if its entry expired during the outage. Entries of
/// live upstreams are rewritten within about two seconds. The time counts from the last failed
/// read, at most 0.8 s after the store's return, so that stopped upstreams get no requests from 3
/// s after it, when the usual bounds apply again.
const RETURN_GRACE: Duration = Duration::from_millis(2000);

/// Upstreams that are missing but may come back.
#[derive(Debug, Default)]
pub struct MissingUpstreams {
    until: Option<Instant>,
    /// End of the grace period if it began with a restore of the store.
    restore_until: Option<Instant>,
    ids: Vec<String>,
    /// Whether rows of the restored store were left out that may be out of date.
    has_left_out: bool,
}

impl MissingUpstreams {
    /// Starts the grace period after an outage; `last_bad` is the time of the last failed read.
    pub fn begin_grace_period(&mut self, last_bad: Instant) {
        self.until = Some(last_bad + RETURN_GRACE);
    }

    /// Starts the grace period after a restore of the store, which became known at `known_at`. The
    /// rows that the copy lacks are written again.
    pub fn begin_grace_period_after_restore(&mut self, known_at: Instant) {
        self.begin_grace_period(known_at);
        self.restore_until = self.until;
    }

    /// Whether a missing upstream is kept even if a peer doesn't know it.
    pub fn is_in_grace_period_after_restore(&self, now: Instant) -> bool {
        self.restore_until.is_some_and(|until| now < until)
    }

    /// Records that rows of the restored store were left out.
    pub fn set_left_out(&mut self) {
        self.has_left_out = true;
    }

    /// Whether rows were left out that are up to date if they still exist, so that the whole registry
    /// must be read.
    pub fn needs_whole_read(&self, now: Instant) -> bool {
        self.has_left_out && !self.is_in_grace_period(now)
    }

    /// Records a read of the whole registry in which no row was left out.
    pub fn record_whole_read(&mut self) {
        self.has_left_out = false;
    }

    /// End of the grace period; `None` if no upstream is missing and no row was left out.
    pub fn expires_at(&self) -> Option<Instant> {
        self.until.filter(|_| !self.is_empty())
    }

    /// Whether a missing upstream is kept at the given time.
    pub fn is_in_grace_period(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Adds a missing upstream, unless it is known to be missing.
    pub fn add(&mut self, id: String) {
        if !self.ids.contains(&id) {
            self.ids.push(id);
        }
    }

    /// Number of missing upstreams.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Removes an upstream whose entry was found.
    pub fn remove(&mut self, id: &str) {
        self.ids.retain(|missing| missing != id);
    }

    /// Takes the missing upstreams once the grace period is over.
    pub fn take_expired(&mut self, now: Instant) -> Vec<String> {
        if self.is_in_grace_period(now) {
            return Vec::new();
        }
        std::mem::take(&mut self.ids)
    }

    /// Whether no upstream is missing and no row was left out.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty() && !self.has_left_out
    }
}
