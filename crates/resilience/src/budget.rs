//! The retry budget: what this process may send to a second upstream.
//!
//! The bound holds for all processes together and over a sliding window. Each
//! process keeps to a share: the ratio for its own requests, and a part of the
//! fixed allowance.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the bound that is used. The rest covers requests that one process
/// counts in its window and the other side in the next.
const USED_FRACTION: f64 = 0.7;
/// Windows are kept as so many buckets.
const BUCKETS: u32 = 20;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service over the window.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// A budget with the bounds that hold for all processes together, of which
    /// this is one of `processes`.
    pub fn new(ratio: f64, slack: f64, window: Duration, processes: u32) -> Self {
        Self {
            ratio: ratio * USED_FRACTION,
            slack: slack * USED_FRACTION / f64::from(processes.max(1)),
            window,
            buckets: VecDeque::new(),
        }
    }

    /// Takes another number of processes that share the bound.
    pub fn set_processes(&mut self, slack: f64, processes: u32) {
        self.slack = slack * USED_FRACTION / f64::from(processes.max(1));
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        while let Some(first) = self.buckets.front() {
            if now.saturating_duration_since(first.started_at) <= self.window {
                break;
            }
            self.buckets.pop_front();
        }
        let width = self.window / BUCKETS;
        let last = self.buckets.back();
        if last.is_none_or(|b| now.saturating_duration_since(b.started_at) > width) {
            self.buckets.push_back(Bucket {
                started_at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Notes a request.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Takes a retry, if the window has one left.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let allowed = self.ratio * f64::from(requests) + self.slack;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }
}
