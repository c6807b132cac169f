//! The limit on requests that an upstream names in its answers.

use platform::header::RequestRate;
use std::time::Instant;

/// The limit that one start of an upstream names, as known to this process.
#[derive(Debug, Default)]
pub struct NamedLimit {
    rate: Option<RequestRate>,
    /// Time at which this process learned the rate; `None` if no answer has named one.
    changed_at: Option<Instant>,
}

impl NamedLimit {
    /// The limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
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
        if rate == self.rate || is_outdated {
            return false;
        }
        self.rate = rate;
        self.changed_at = Some(now);
        true
    }
}
