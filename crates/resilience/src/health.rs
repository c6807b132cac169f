//! Upstreams that fail are found by use.
//!
//! Each request's end is a success or a failure of the upstream. One that fails
//! far more often than it should gets no requests for a while, and then a few:
//! if these fail too, the while doubles.

use std::time::{Duration, Instant};

/// Weight of the newest request in the share of failures. A quarter reaches
/// [`SUSPEND_THRESHOLD`] after three failures in a row, which an upstream with one
/// failure in fifty does once in a hundred thousand requests.
const NEWEST_WEIGHT: f64 = 0.25;
/// Share of failures over which an upstream is suspended.
const SUSPEND_THRESHOLD: f64 = 0.55;
/// First suspension. A burst of failures that a restart explains is over by then.
const MIN_SUSPENSION: Duration = Duration::from_millis(500);
/// Longest suspension: a mended upstream waits no longer for its first request.
const MAX_SUSPENSION: Duration = Duration::from_secs(4);

/// What came of the last requests to an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failure_rate: f64,
    suspended_until: Option<Instant>,
    last_suspension: Duration,
}

/// An upstream has just been suspended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Suspension {
    /// Share of failures that led to it.
    pub failure_rate: f64,
    /// For how long.
    pub duration: Duration,
}

impl Health {
    /// Notes an answer.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - NEWEST_WEIGHT;
        if self.failure_rate < SUSPEND_THRESHOLD / 4.0 {
            self.last_suspension = Duration::ZERO;
        }
    }

    /// Notes a failure by its weight in the share of failures, from 0 to 1; says so
    /// if the upstream is suspended by it.
    pub fn record_failure(&mut self, weight: f64, now: Instant) -> Option<Suspension> {
        self.failure_rate += (1.0 - self.failure_rate) * weight.clamp(0.0, 1.0);
        if self.failure_rate < SUSPEND_THRESHOLD || self.is_suspended(now) {
            return None;
        }
        let duration = (self.last_suspension * 2).clamp(MIN_SUSPENSION, MAX_SUSPENSION);
        let failure_rate = self.failure_rate;
        self.last_suspension = duration;
        self.suspended_until = Some(now + duration);
        // The next failure after the pause suspends it again.
        self.failure_rate = SUSPEND_THRESHOLD - NEWEST_WEIGHT / 4.0;
        Some(Suspension {
            failure_rate,
            duration,
        })
    }

    /// Whether it gets no requests at a time.
    pub fn is_suspended(&self, now: Instant) -> bool {
        self.suspended_until
            .is_some_and(|suspended_until| now < suspended_until)
    }
}
