//! Whether an upstream of a plain service is full, as its rejections show.
//!
//! A full upstream works: it gets as many requests as it has slots and a few more, and none for a
//! moment after each rejection.

use std::time::{Duration, Instant};

/// Time after an upstream was last full for which the number of its requests is limited.
const LIMITED_FOR: Duration = Duration::from_secs(2);
/// Shortest and longest time without requests after a rejection.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));
/// Requests beyond the slots, as a part of these, so that a slot isn't idle until the next request
/// arrives.
const SPARE_PART: u32 = 4;

/// Rejections of an upstream that was full.
#[derive(Debug, Clone, Copy, Default)]
pub struct Saturation {
    limited_until: Option<Instant>,
    rejecting_until: Option<Instant>,
    backoff: Duration,
}

impl Saturation {
    /// Records a rejection. Those after each other without an answer double the backoff.
    pub fn record_rejection(&mut self, now: Instant) {
        self.backoff = (self.backoff * 2).clamp(BACKOFF.0, BACKOFF.1);
        self.rejecting_until = Some(now + self.backoff);
        self.record_full(now);
    }

    /// Records that the upstream has as many requests as it may get.
    pub fn record_full(&mut self, now: Instant) {
        self.limited_until = Some(now + LIMITED_FOR);
    }

    /// Records that the upstream ran a request.
    pub fn record_answer(&mut self) {
        (self.backoff, self.rejecting_until) = (Duration::ZERO, None);
    }

    /// Number of requests that the upstream may have; `None` if it isn't limited.
    pub fn limit(&self, slots: u32, now: Instant) -> Option<u32> {
        let is_limited = self.limited_until.is_some_and(|until| now < until);
        is_limited.then(|| slots + (slots / SPARE_PART).max(1))
    }

    /// Whether the upstream gets no request because it has just rejected one.
    pub fn is_rejecting(&self, now: Instant) -> bool {
        self.rejecting_until.is_some_and(|until| now < until)
    }
}

/// Capacity of a plain service's available upstreams, and how much of it is in use.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainCapacity {
    /// Requests that the upstreams may have; `None` if one of them isn't limited.
    pub limit: Option<u32>,
    /// Further requests that they may get now.
    pub free: u32,
    /// Running requests of this process.
    pub running: u32,
    /// Running and waiting requests of the other processes.
    pub peer_demand: u32,
}

impl PlainCapacity {
    /// The part of the limit that a process with this demand may use, at least one request.
    pub fn share(&self, demand: u32) -> f64 {
        let Some(limit) = self.limit else {
            return f64::INFINITY;
        };
        let all = f64::from(demand) + f64::from(self.peer_demand);
        (f64::from(limit) * f64::from(demand) / all.max(1.0)).max(1.0)
    }

    /// Whether another request may be sent, beside `permits` that are about to be.
    pub fn has_room(&self, share: f64, permits: u32) -> bool {
        if self.limit.is_none() {
            return true;
        }
        let is_within_share = f64::from(self.running + permits) < share.ceil();
        is_within_share && permits < self.free
    }
}
