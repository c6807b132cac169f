//! Shutdown schedule of a process, starting at the stop signal.
//!
//! Other hosts normally take over, but when all hosts are stopped in turn, no host is ready and
//! clients still connect to this one. A stopping process therefore accepts requests as long as it
//! can complete them, and refuses others at once: a refused client can retry at another host,
//! while an answer that is cut off is lost.
//!
//! Example for a grace period of 8 s, in seconds after the signal: at 2.3 connections close after
//! their request (`drain_at`), at 6.56 no connection is accepted any more (`close_at`), at 7.46
//! answers that were started after the signal should have ended and requests without an answer
//! are refused (`finish_by`, `refuse_at`), at 7.71 answers are aborted (`abort_at`), at 7.76 the
//! process exits (`exit_at`), and at 8 it would be killed.

use std::time::{Duration, Instant};

/// Time after the stop signal during which requests are served as before, until the balancer
/// notices that this host isn't ready. The balancer checks once a second and removes a host after
/// two failed checks.
const DRAIN_DELAY: Duration = Duration::from_millis(2300);
/// Time after the stop signal by which clients are expected to use other hosts.
const REDIRECT_DELAY: Duration = Duration::from_secs(3);
/// Upper limit of [`DRAIN_DELAY`] as a fraction of the grace period. With a grace period of 2 s,
/// half of it remains for running requests.
const MAX_DRAIN_DELAY_SHARE: f64 = 0.5;
/// Fraction of the time between SIGTERM and SIGKILL after which the process exits, even if
/// requests are still running.
const GRACE_SHARE: f64 = 0.97;
/// Time before the exit from which no connection is accepted, enough for a plain request or a
/// short answer.
const CLOSE_MARGIN: Duration = Duration::from_millis(1200);
/// Time before the exit by which answers started after the signal must have ended, and at which
/// requests without an answer are refused.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Time before the exit from which the last requests are sent to the collectors of usage, which
/// takes 60 ms if all answer at once.
const HAND_OVER_MARGIN: Duration = Duration::from_millis(150);
/// Time before the exit at which answers in progress are aborted, so that their last bytes still
/// reach the client. The 250 ms between this and [`ANSWER_MARGIN`] allow for errors in the
/// estimated end of an answer.
const ABORT_MARGIN: Duration = Duration::from_millis(50);
/// Time without a timer tick after which the process counts as having been paused, as on a
/// suspended host. It is five times the longest delay seen with a tenth of a core.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Longest time without a timer tick after which a stop signal still counts as noticed without
/// delay. With a grace period of 8 s, it is shorter than the time between the exit of the process
/// and SIGKILL.
pub const MAX_UNDETECTED_DELAY: Duration = Duration::from_millis(200);
/// Longest signal delay, as a fraction of the grace period, that is subtracted from the exit time.
/// Subtracting a longer delay would leave answers in progress too little time, although the
/// signal may have been sent at the end of the delay.
const MAX_EARLY_EXIT_SHARE: f64 = 0.25;
/// Time after a stall within which a signal sent during the stall is noticed, even if a shorter
/// stall follows.
const SIGNAL_DELAY: Duration = Duration::from_millis(500);

/// Time after a stall within which datagrams from before it are still received.
const QUEUE_DRAIN_TIME: Duration = Duration::from_millis(200);

/// Points in time of a shutdown.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSchedule {
    /// Arrival of the stop signal.
    pub signal_at: Instant,
    /// From here on, idle connections are closed and new ones close after one request.
    pub drain_at: Instant,
    /// Streamed answers to requests received from here on must end by the request's own deadline or
    /// timeout. This is at most `REDIRECT_DELAY` after the signal was sent, as it allows for a
    /// signal that is noticed late because of a stall too short to be detected.
    pub own_deadline_from: Instant,
    /// From here on, no connection is accepted.
    pub close_at: Instant,
    /// Answers that start after the signal must end by this time.
    pub finish_by: Instant,
    /// Requests that have no answer yet are refused.
    pub refuse_at: Instant,
    /// The last requests are sent to the collectors of usage. None starts any more.
    pub hand_over_at: Instant,
    /// Answers in progress are aborted.
    pub abort_at: Instant,
    /// The process exits.
    pub exit_at: Instant,
}

impl ShutdownSchedule {
    /// Schedule of a process that noticed the stop signal at `signal_at` and is killed `grace`
    /// after the signal.
    ///
    /// A process that was paused when the signal arrived notices it late, and may be killed that
    /// much earlier than it assumes. `earliest_signal` is the earliest time at which the signal
    /// may have arrived. New requests must end, and requests without an answer are refused, within
    /// the schedule counted from that time. If the delay exceeds [`MAX_EARLY_EXIT_SHARE`], answers
    /// in progress continue on the schedule counted from `signal_at`, as they may still end in time.
    pub fn new(signal_at: Instant, earliest_signal: Instant, grace: Duration) -> Self {
        let delay = signal_at - earliest_signal;
        let assumed_signal_at = match delay <= grace.mul_f64(MAX_EARLY_EXIT_SHARE) {
            true => earliest_signal,
            false => signal_at,
        };
        let exit_at = assumed_signal_at + grace.mul_f64(GRACE_SHARE);
        let earliest_exit = earliest_signal + grace.mul_f64(GRACE_SHARE);
        let before_earliest_exit = |margin| {
            earliest_exit
                .checked_sub(margin)
                .unwrap_or(signal_at)
                .max(signal_at)
        };
        let refuse_at = before_earliest_exit(ANSWER_MARGIN);
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
            own_deadline_from: earliest_signal + REDIRECT_DELAY.saturating_sub(MIN_STALL),
            // The first save and hand-over begin then, so they precede a possible SIGKILL.
            close_at: before_earliest_exit(CLOSE_MARGIN).max(drain_at),
            finish_by: refuse_at,
            refuse_at,
            hand_over_at: before_end(HAND_OVER_MARGIN),
            abort_at: before_end(ABORT_MARGIN),
            exit_at,
        }
    }
}

/// A period in which the process was paused.
#[derive(Debug, Clone, Copy)]
struct Stall {
    from: Instant,
    until: Instant,
}

/// Detects pauses of the process.
#[derive(Debug)]
pub struct StallDetector {
    last_tick: Instant,
    /// Last stall longer than [`MAX_UNDETECTED_DELAY`].
    last_stall: Option<Stall>,
    /// Last stall longer than [`MIN_STALL`].
    last_long_stall: Option<Stall>,
}

impl StallDetector {
    /// Creates a detector for a process that is running at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: now,
            last_stall: None,
            last_long_stall: None,
        }
    }

    /// Records that the process is running.
    pub fn tick(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_tick);
        let stall = Stall {
            from: self.last_tick,
            until: now,
        };
        if pause > MIN_STALL {
            self.last_long_stall = Some(stall);
        }
        if pause > MAX_UNDETECTED_DELAY {
            self.last_stall = Some(stall);
        }
        self.last_tick = now;
    }

    /// Whether an item taken from a queue now may have waited there while the process was paused.
    pub fn may_have_waited(&self, now: Instant) -> bool {
        let is_stalled = now.saturating_duration_since(self.last_tick) > MIN_STALL;
        let was_stalled = |s: Stall| now.saturating_duration_since(s.until) <= QUEUE_DRAIN_TIME;
        is_stalled || self.last_long_stall.is_some_and(was_stalled)
    }

    /// Earliest time at which a signal noticed now may have been sent.
    pub fn earliest_signal(&mut self, now: Instant) -> Instant {
        self.tick(now);
        // A short stall may follow a long one before the signal is noticed.
        let stalls = [self.last_long_stall, self.last_stall]
            .into_iter()
            .flatten();
        let recent = stalls.filter(|stall| now - stall.until <= SIGNAL_DELAY);
        recent.map(|stall| stall.from).min().unwrap_or(now)
    }
}
