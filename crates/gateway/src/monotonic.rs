//! Current time of the process by the clock of its timers, which tests can replace.

use std::time::{Duration, Instant};

/// Current time. Timers of the runtime expire by the same clock.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Time that has passed since an earlier one; zero if it is later than now.
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}
