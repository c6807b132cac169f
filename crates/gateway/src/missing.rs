//! Upstreams whose entries were found missing just after the store's return.
//!
//! Entries lapse while the store is away and are written again soon after its
//! return, so an upstream isn't taken for gone at once. Until that is settled this
//! process knows more upstreams than the version of its last read says, and tells
//! its peers of no read.

use std::time::{Duration, Instant};

/// How long after the store's return an upstream whose entry lapsed meanwhile is
/// still used: entries of live upstreams are back within about two seconds. It
/// counts from the last read that failed, at most 0.8 s after the return, so that
/// what is gone gets no request 3 s after it, when bounds count again.
const RETURN_GRACE: Duration = Duration::from_millis(2000);

/// Upstreams that are missing and may come back.
#[derive(Debug, Default)]
pub struct MissingUpstreams {
    until: Option<Instant>,
    ids: Vec<String>,
}

impl MissingUpstreams {
    /// The store is back: entries may have lapsed meanwhile. Reads failed until
    /// `last_bad`.
    pub fn begin_grace_period(&mut self, last_bad: Instant) {
        self.until = Some(last_bad + RETURN_GRACE);
    }

    /// When what is held back must have come back; none if nothing is.
    pub fn expires_at(&self) -> Option<Instant> {
        self.until.filter(|_| !self.ids.is_empty())
    }

    /// Whether what is missing at a time may come back.
    pub fn is_in_grace_period(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Holds back an upstream that is missing.
    pub fn add(&mut self, id: String) {
        self.ids.push(id);
    }

    /// Notes that an upstream is there.
    pub fn remove(&mut self, id: &str) {
        self.ids.retain(|missing| missing != id);
    }

    /// Takes out the upstreams that haven't come back in time.
    pub fn take_expired(&mut self, now: Instant) -> Vec<String> {
        if self.is_in_grace_period(now) {
            return Vec::new();
        }
        std::mem::take(&mut self.ids)
    }

    /// Whether any upstream is held back.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
