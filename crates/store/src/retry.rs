//! Delays between retries and between polls.

use std::time::Duration;

/// Exponential backoff with full jitter. Each delay is random between zero and a bound that
/// doubles, so that processes that failed at the same time don't retry at the same time.
#[derive(Debug, Clone)]
pub struct Backoff {
    bound: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates a backoff whose bound grows from `initial` to `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            bound: initial,
            max,
        }
    }

    /// Returns the next delay.
    pub fn next_delay(&mut self) -> Duration {
        let delay = jitter(self.bound);
        self.bound = (self.bound * 2).min(self.max);
        delay
    }
}

/// Returns a random duration between zero and `bound`.
pub fn jitter(bound: Duration) -> Duration {
    bound.mul_f64(fastrand::f64())
}

/// Returns a random duration within 20% of `mean`, for polls.
pub fn jittered_interval(mean: Duration) -> Duration {
    mean.mul_f64(0.8 + 0.4 * fastrand::f64())
}
