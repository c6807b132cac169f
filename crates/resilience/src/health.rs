//! Upstreams that fail are found by use.
//!
//! Each request's end is a success or a failure of the upstream. One that fails
//! far more often than it should gets no requests for a while, and then a few:
//! if these fail too, the while doubles.

use std::time::{Duration, Instant};

/// Weight of the newest request in the share of failures. A quarter reaches
/// [`SUSPEND_OVER`] after three failures in a row, which an upstream with one
/// failure in fifty does once in a hundred thousand requests.
const NEWEST: f64 = 0.25;
/// Share of failures over which an upstream is suspended.
const SUSPEND_OVER: f64 = 0.55;
/// First suspension. A burst of failures that a restart explains is over by then.
const FIRST: Duration = Duration::from_millis(500);
/// Longest suspension: a mended upstream waits no longer for its first request.
const LONGEST: Duration = Duration::from_secs(4);

/// What came of the last requests to an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failures: f64,
    until: Option<Instant>,
    last: Duration,
}

/// An upstream has just been suspended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Suspended {
    /// Share of failures that led to it.
    pub failures: f64,
    /// For how long.
    pub pause: Duration,
}

impl Health {
    /// Notes an answer.
    pub fn succeeded(&mut self) {
        self.failures *= 1.0 - NEWEST;
        if self.failures < SUSPEND_OVER / 4.0 {
            self.last = Duration::ZERO;
        }
    }

    /// Notes a failure by its weight in the share of failures, from 0 to 1; says so
    /// if the upstream is suspended by it.
    pub fn failed(&mut self, weight: f64, now: Instant) -> Option<Suspended> {
        self.failures += (1.0 - self.failures) * weight.clamp(0.0, 1.0);
        if self.failures < SUSPEND_OVER || self.is_suspended(now) {
            return None;
        }
        let pause = (self.last * 2).clamp(FIRST, LONGEST);
        let failures = self.failures;
        self.last = pause;
        self.until = Some(now + pause);
        // The next failure after the pause suspends it again.
        self.failures = SUSPEND_OVER - NEWEST / 4.0;
        Some(Suspended { failures, pause })
    }

    /// Whether it gets no requests at a time.
    pub fn is_suspended(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
