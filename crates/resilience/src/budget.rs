//! Retry budget: limits the requests that a process sends again to another upstream.
//!
//! The limit applies to all processes together over a sliding window. Each process enforces
//! the ratio for its own requests and an equal part of the fixed allowance.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the limit that is used. The rest is for requests that the sender and the
/// receiver count in different windows.
const USED_FRACTION: f64 = 0.7;
/// Number of buckets per window.
const BUCKETS: u32 = 20;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// Counts of a service's requests and retries in the current window.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates the budget of one of `processes` processes. Together they may retry the fraction
    /// `ratio` of all requests in a window, plus `slack` retries.
    pub fn new(ratio: f64, slack: f64, window: Duration, processes: u32) -> Self {
        Self {
            ratio: ratio * USED_FRACTION,
            slack: slack * USED_FRACTION / f64::from(processes.max(1)),
            window,
            buckets: VecDeque::new(),
        }
    }

    /// Sets the fixed allowance and the number of processes that share it.
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

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Counts a retry if the budget allows it, and returns whether it does.
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
