//! Turns of requests, which all hosts compute alike without communication.
//!
//! Each request has a turn in each cycle of a common clock. Its beginning depends on the hash of the
//! request's content and sender, which stays the same when it is sent again. How long turns last is adapted
//! at each host, so that the requests in their turn are as many as can be served.

use std::time::{Duration, Instant};

/// Length of a cycle in milliseconds.
const CYCLE_MS: u64 = 2000;
/// Shortest turn in milliseconds.
const MIN_TURN_MS: f64 = 20.0;
/// Factors by which turns are shortened if requests in their turn wait for long, and extended if
/// others are served.
const SHORTEN: f64 = 0.9;
const EXTEND: f64 = 1.05;
/// Part of the time for which a request may wait that is long.
const LONG_WAIT: f64 = 0.8;
/// Minimum interval between two changes.
const CHANGE_EVERY: Duration = Duration::from_millis(50);
/// Time without rejections after which turns are extended, and after which an overload is over.
const CALM_AFTER: Duration = Duration::from_millis(CYCLE_MS);
const OVER_AFTER: Duration = Duration::from_millis(2 * CYCLE_MS);

/// When a request is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// Beginning of its current turn, or of the next one.
    pub at: Instant,
    /// End of that turn.
    pub until: Instant,
    /// Beginning of the turn after that.
    pub next: Instant,
}

impl Turn {
    /// Whether the request is in its turn.
    pub fn has_begun(&self, now: Instant) -> bool {
        self.at <= now
    }

    /// The turn of a client that was asked to return at a later time.
    pub fn early(self, return_at: Instant) -> Self {
        Self {
            at: return_at,
            ..self
        }
    }

    /// Time at which the request may return if it is rejected now, and there is room at `room_at`.
    pub fn return_at(&self, room_at: Instant, now: Instant) -> Instant {
        match self.has_begun(now) {
            true if room_at < self.until => room_at,
            true => self.next,
            false => self.at,
        }
    }
}

/// Length of the turns of one priority at a host.
#[derive(Debug, Clone, Copy)]
pub struct Turns {
    length_ms: f64,
    changed_at: Option<Instant>,
    rejected_at: Option<Instant>,
}

impl Default for Turns {
    fn default() -> Self {
        Self {
            length_ms: CYCLE_MS as f64,
            changed_at: None,
            rejected_at: None,
        }
    }
}

impl Turns {
    /// Turn of a request with a hash that arrives `now`, which is `clock_ms` by the common clock.
    /// Without an overload each request is in its turn when it arrives.
    pub fn turn(&self, hash: u64, clock_ms: u64, now: Instant) -> Turn {
        let since_ms = clock_ms.wrapping_sub(hash) % CYCLE_MS;
        let next = now + Duration::from_millis(CYCLE_MS - since_ms);
        let length = Duration::from_secs_f64(self.length_ms / 1000.0);
        let turn = |at: Instant, next| Turn {
            at,
            until: at + length,
            next,
        };
        if !self.is_in_use() {
            return turn(now, next);
        }
        if (since_ms as f64) < self.length_ms {
            let since = Duration::from_millis(since_ms);
            return turn(now.checked_sub(since).unwrap_or(now), next);
        }
        turn(next, next + Duration::from_millis(CYCLE_MS))
    }

    /// Records the rejection of a request.
    pub fn record_rejection(&mut self, now: Instant) {
        self.rejected_at = Some(now);
        if !self.is_in_use() {
            self.scale(SHORTEN, now);
        }
    }

    /// Records that a request is sent after it has waited for a part of the time for which it may.
    pub fn record_sent(&mut self, was_in_turn: bool, waited_part: f64, now: Instant) {
        if !was_in_turn {
            self.scale(EXTEND, now);
        } else if waited_part > LONG_WAIT && self.has_rejected_within(CALM_AFTER, now) {
            self.scale(SHORTEN, now);
        }
    }

    /// Records that a request of a lower priority is sent as none of this one waits.
    pub fn record_unused(&mut self, now: Instant) {
        self.scale(EXTEND, now);
    }

    /// Extends the turns if no request has been rejected for a while.
    pub fn relax(&mut self, now: Instant) {
        if !self.is_in_use() || self.has_rejected_within(CALM_AFTER, now) {
            return;
        }
        match self.has_rejected_within(OVER_AFTER, now) {
            true => self.scale(EXTEND, now),
            false => *self = Self::default(),
        }
    }

    fn has_rejected_within(&self, time: Duration, now: Instant) -> bool {
        self.rejected_at
            .is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// The part of all requests that are in their turn at any time.
    pub fn part_in_turn(&self) -> f64 {
        self.length_ms / CYCLE_MS as f64
    }

    /// Whether requests go by turn instead of their arrival.
    pub fn is_in_use(&self) -> bool {
        self.length_ms < CYCLE_MS as f64
    }

    fn scale(&mut self, factor: f64, now: Instant) {
        let may_change = self
            .changed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= CHANGE_EVERY);
        if may_change {
            self.length_ms = (self.length_ms * factor).clamp(MIN_TURN_MS, CYCLE_MS as f64);
            self.changed_at = Some(now);
        }
    }
}
