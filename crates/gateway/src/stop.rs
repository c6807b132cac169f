//! The end of a process, from the stop signal on.
//!
//! Other hosts should take over, but when all are stopped in turn clients still come here,
//! as no host is ready. So a stopping process goes on taking requests as long as it can end
//! them, and refuses those that it can't at once: a client that is refused comes back
//! elsewhere, one whose answer is cut off has lost it.
//!
//! With a grace of 8 s, in seconds after the signal: 2.3 connections close after a request
//! (`drain_at`), 6.56 none is taken any more (`closed_at`), 7.46 what was begun after the
//! signal should have ended, and what has no answer gets one (`work_by`, `answers_by`), 7.71
//! answers are broken off (`cut_at`), 7.76 the process ends (`ends_at`), 8 it would be killed.

use std::time::{Duration, Instant};

/// How long requests are served as before after the stop signal, while the
/// balancer notices that this host isn't ready: it asks once a second and takes
/// a host out after two misses.
const DRAIN_DELAY: Duration = Duration::from_millis(2300);
/// The same at most, as a part of the grace: with a grace of 2 s, half of it is left for
/// what runs.
const MAX_DRAIN_DELAY_SHARE: f64 = 0.5;
/// Part of the time between SIGTERM and SIGKILL after which the process ends
/// whatever still runs.
const GRACE_SHARE: f64 = 0.97;
/// Time kept at the end of it in which no connection is taken: a plain request or
/// a short answer is through by then.
const CLOSE_MARGIN: Duration = Duration::from_millis(1200);
/// Time before the process's end at which answers must have ended that are begun after the
/// signal, and at which whatever has no answer gets the system's own.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Time before the process's end at which an answer that has begun is broken off: its last
/// bytes must still reach the client. The 250 ms between the two are what an estimate of an
/// answer's end may be wrong.
const ABORT_MARGIN: Duration = Duration::from_millis(50);
/// Time without a turn of this process's timers after which it stood still, as a host that
/// is paused does: five times the longest wait of a process with a tenth of a core.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Time after a stall within which a signal that came during it is seen.
const SIGNAL_DELAY: Duration = Duration::from_millis(300);

/// Time after a stall within which datagrams from before it are taken.
const QUEUE_DRAIN_TIME: Duration = Duration::from_millis(200);

/// The moments of a process's end.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSchedule {
    /// When the stop signal came.
    pub signal_at: Instant,
    /// From when on connections close when idle, and new ones after one request.
    pub drain_at: Instant,
    /// From when on no connection is taken.
    pub close_at: Instant,
    /// Until when answers must have ended that are begun from the signal on.
    pub finish_by: Instant,
    /// When whatever has no answer gets the system's own.
    pub refuse_at: Instant,
    /// When answers that have begun are broken off.
    pub abort_at: Instant,
    /// When the process ends.
    pub exit_at: Instant,
}

impl ShutdownSchedule {
    /// The end of a process that was told to stop at a time, and is killed a grace later.
    ///
    /// A process that stood still when the signal came sees it late, and may be killed that
    /// much sooner than it thinks. `earliest_signal` is when the signal may have come: work that is
    /// taken on must end by that; what runs goes on, as it may be in time.
    pub fn new(signal_at: Instant, earliest_signal: Instant, grace: Duration) -> Self {
        let exit_at = signal_at + grace.mul_f64(GRACE_SHARE);
        let drain_at = signal_at + DRAIN_DELAY.min(grace.mul_f64(MAX_DRAIN_DELAY_SHARE));
        let before_end = |margin| {
            exit_at
                .checked_sub(margin)
                .unwrap_or(signal_at)
                .max(signal_at)
        };
        Self {
            signal_at,
            drain_at,
            close_at: before_end(CLOSE_MARGIN).max(drain_at),
            finish_by: before_end(ANSWER_MARGIN + (signal_at - earliest_signal)),
            refuse_at: before_end(ANSWER_MARGIN),
            abort_at: before_end(ABORT_MARGIN),
            exit_at,
        }
    }
}

/// A time in which a process stood still.
#[derive(Debug, Clone, Copy)]
struct Stall {
    from: Instant,
    until: Instant,
}

/// Notices when this process stands still.
#[derive(Debug)]
pub struct StallDetector {
    last_tick: Instant,
    last_stall: Option<Stall>,
}

impl StallDetector {
    /// The detector of a process that runs at a time.
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: now,
            last_stall: None,
        }
    }

    /// Notes that the process runs.
    pub fn tick(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_tick) > MIN_STALL {
            let from = self.last_tick;
            self.last_stall = Some(Stall { from, until: now });
        }
        self.last_tick = now;
    }

    /// Whether what is taken from a queue now may have waited there while the process stood
    /// still.
    pub fn may_have_waited(&self, now: Instant) -> bool {
        let is_stalled = now.saturating_duration_since(self.last_tick) > MIN_STALL;
        let was_stalled = |s: Stall| now.saturating_duration_since(s.until) <= QUEUE_DRAIN_TIME;
        is_stalled || self.last_stall.is_some_and(was_stalled)
    }

    /// When a signal that is seen now may have come at the earliest.
    pub fn earliest_signal(&mut self, now: Instant) -> Instant {
        self.tick(now);
        match self.last_stall {
            Some(stall) if now - stall.until <= SIGNAL_DELAY => stall.from,
            _ => now,
        }
    }
}
