//! Waiting between tries.

use std::time::Duration;

/// Growing waits with full jitter: each is drawn between zero and a bound that
/// doubles, so that processes that failed together don't return together.
#[derive(Debug, Clone)]
pub struct Backoff {
    bound: Duration,
    most: Duration,
}

impl Backoff {
    /// Waits that grow from `first` to `most`.
    pub fn new(first: Duration, most: Duration) -> Self {
        Self { bound: first, most }
    }

    /// The next wait.
    pub fn wait(&mut self) -> Duration {
        let wait = jitter(self.bound);
        self.bound = (self.bound * 2).min(self.most);
        wait
    }
}

/// A duration drawn between zero and `bound`.
pub fn jitter(bound: Duration) -> Duration {
    bound.mul_f64(fastrand::f64())
}

/// A duration drawn within a fifth of `mean`, for polls.
pub fn around(mean: Duration) -> Duration {
    mean.mul_f64(0.8 + 0.4 * fastrand::f64())
}
