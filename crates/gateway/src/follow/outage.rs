//! Tracks outages of the store, to tell for which times data that was read from it is complete.

use std::time::{Duration, Instant};

/// Time after an outage until processes that started meanwhile have written their rows: the timeout
/// of a read, and the longest pause before the next one.
const RETURN_PAUSE: Duration = Duration::from_millis(1300);

/// Times of the last outage of the store, as the calls of this process show them.
#[derive(Debug, Default)]
pub struct OutageTracker {
    /// First failed call of the last outage.
    lost_at: Option<Instant>,
    /// First successful call after it, or of this process.
    back_at: Option<Instant>,
}

impl OutageTracker {
    /// Records a failed call.
    pub fn record_failure(&mut self, now: Instant) {
        // An outage soon after another one continues it.
        if self.lost_at.is_none() || self.has_settled(now) {
            self.lost_at = self.back_at.is_some().then_some(now);
        }
        self.back_at = None;
    }

    /// Records a successful call.
    pub fn record_success(&mut self, now: Instant) {
        self.back_at.get_or_insert(now);
    }

    /// Whether the store can be read, as far as known.
    pub fn is_available(&self) -> bool {
        self.back_at.is_some()
    }

    /// Time since which the store can be read, as far as known; `None` while it can't.
    pub fn available_since(&self) -> Option<Instant> {
        self.back_at
    }

    /// Whether rows of all processes that started before `until` can be known: the store could be
    /// read then, or has been back for long enough.
    pub fn covers(&self, until: Instant, now: Instant) -> bool {
        self.lost_at.is_some_and(|lost_at| until <= lost_at) || self.has_settled(now)
    }

    fn has_settled(&self, now: Instant) -> bool {
        let since = self.back_at.map(|at| now.saturating_duration_since(at));
        since.is_some_and(|since| since >= RETURN_PAUSE)
    }
}
