//! Waiting between tries.

use std::time::Duration;

/// Growing waits with full jitter: each is drawn between zero and a bound that
/// doubles, so that processes that failed together don't return together.
#[derive(Debug, Clone)]
pub struct Backoff {
    bound: Duration,
    max: Duration,
}

impl Backoff {
    /// Waits that grow from `first` to `most`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            bound: initial,
            max,
        }
    }

    /// The next wait.
    pub fn next_delay(&mut self) -> Duration {
        let delay = jitter(self.bound);
        self.bound = (self.bound * 2).min(self.max);
        delay
    }
}

/// A duration drawn between zero and `bound`.
pub fn jitter(bound: Duration) -> Duration {
    bound.mul_f64(fastrand::f64())
}

/// A duration drawn within a fifth of `mean`, for polls.
pub fn jittered_interval(mean: Duration) -> Duration {
    mean.mul_f64(0.8 + 0.4 * fastrand::f64())
}
