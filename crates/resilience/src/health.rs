//! Passive health checks of upstreams.
//!
//! Every request counts as a success or a failure of its upstream. An upstream whose failure
//! rate is too high is suspended: it receives no requests for some time. If the first requests
//! after a suspension fail too, the next one is twice as long.

use std::time::{Duration, Instant};

/// Weight of the newest request in the failure rate. With a quarter, three failures in a row
/// reach [`SUSPEND_THRESHOLD`]; an upstream at which one request in fifty fails has such a
/// series once in a hundred thousand requests.
const NEWEST_WEIGHT: f64 = 0.25;
/// Failure rate from which an upstream is suspended.
const SUSPEND_THRESHOLD: f64 = 0.55;
/// Duration of the first suspension. Failures caused by a restart have ended by then.
const MIN_SUSPENSION: Duration = Duration::from_millis(500);
/// Maximum duration of a suspension, and so the longest time that a recovered upstream waits
/// for its next request.
const MAX_SUSPENSION: Duration = Duration::from_secs(4);

/// Health of an upstream, from the results of recent requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failure_rate: f64,
    suspended_until: Option<Instant>,
    last_suspension: Duration,
}

/// Suspension of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Suspension {
    /// Failure rate that caused it, from 0 to 1.
    pub failure_rate: f64,
    /// Time during which the upstream receives no requests.
    pub duration: Duration,
}

impl Health {
    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - NEWEST_WEIGHT;
        if self.failure_rate < SUSPEND_THRESHOLD / 4.0 {
            self.last_suspension = Duration::ZERO;
        }
    }

    /// Records a failed request with its weight in the failure rate, from 0 to 1. Returns the
    /// suspension if the failure causes one.
    pub fn record_failure(&mut self, weight: f64, now: Instant) -> Option<Suspension> {
        self.failure_rate += (1.0 - self.failure_rate) * weight.clamp(0.0, 1.0);
        if self.failure_rate < SUSPEND_THRESHOLD || self.is_suspended(now) {
            return None;
        }
        let duration = (self.last_suspension * 2).clamp(MIN_SUSPENSION, MAX_SUSPENSION);
        let failure_rate = self.failure_rate;
        self.last_suspension = duration;
        self.suspended_until = Some(now + duration);
        // The next failure after the suspension suspends the upstream again.
        self.failure_rate = SUSPEND_THRESHOLD - NEWEST_WEIGHT / 4.0;
        Some(Suspension {
            failure_rate,
            duration,
        })
    }

    /// Whether the upstream must receive no requests at the given time.
    pub fn is_suspended(&self, now: Instant) -> bool {
        self.suspended_until
            .is_some_and(|suspended_until| now < suspended_until)
    }
}
