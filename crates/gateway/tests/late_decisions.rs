//! Tests which requests a stopping host accepts, with drawn pauses of the host, paces, hints and
//! steps, and without a network. All times count from when the stop signal was sent, which the host
//! notices later.

use gateway::fleet::durations::{Durations, Length};
use gateway::serve::{FinishEstimate, PendingAnswer};
use gateway::stop::{ShutdownSchedule, StallDetector};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time after the stop signal from which no accepted answer may be cut off.
const LATE_AFTER: Duration = Duration::from_secs(3);
/// Longest pause that the host doesn't detect, and the longest one drawn.
const MAX_UNDETECTED_S: f64 = 0.5;
const MAX_PAUSE_S: f64 = 8.0;
/// Shortest grace period drawn.
const MIN_GRACE_S: f64 = 4.0;
/// Time after a detected pause within which the host notices a signal.
const MAX_NOTICE_S: f64 = 0.5;
/// Interval at which a running host ticks.
const TICK: Duration = Duration::from_millis(10);
/// Longest interval between two events of a stream.
const MAX_GAP_MS: f64 = 1500.0;

/// A pause of the host during which its stop signal is sent.
#[derive(Debug, Clone, Copy)]
struct Pause {
    length: Duration,
    /// Part of the pause that has passed when the signal is sent.
    signal_share: f64,
    /// Time from the end of the pause until the signal is noticed.
    notice: Duration,
}

/// A request that a stopping host receives, and its answer.
#[derive(Debug, Clone)]
struct LateRequest {
    grace: Duration,
    pause: Pause,
    /// Time from the signal until the request is sent, and from then until its body is read.
    sent_after: Duration,
    read_after: Duration,
    is_streamed: bool,
    is_engine: bool,
    /// Answers that were observed before the signal: their number, the time over which they were, and
    /// the interval between events.
    observed: u32,
    uptime: Duration,
    observed_gap_ms: f64,
    events: u32,
    /// Length hint as a multiple of the length.
    hint_factor: f64,
    gap_ms: f64,
    first_byte: Duration,
    first_byte_estimate: Duration,
    own_time_left: Duration,
    /// Times after the receipt at which the estimate is repeated.
    steps: Vec<Duration>,
}

/// Numbers of late requests by decision.
#[derive(Debug, Default)]
struct Counts {
    accepted_streams: Cell<u32>,
    rejected_streams: Cell<u32>,
    accepted_plain: Cell<u32>,
    rejected_plain: Cell<u32>,
    /// Accepted plain requests whose answer isn't complete in time, so that they get a complete 504.
    unanswered_plain: Cell<u32>,
    /// Requests that are read before the host notices the signal, and ones that are sent after it has
    /// closed its listener.
    unnoticed: Cell<u32>,
    too_late: Cell<u32>,
}

fn secs(range: std::ops::Range<f64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_secs_f64)
}

/// Draws numbers of any magnitude within a range.
fn magnitude(min: f64, max: f64) -> impl Strategy<Value = f64> {
    (min.ln()..max.ln()).prop_map(f64::exp)
}

fn pauses() -> impl Strategy<Value = Pause> {
    let lengths = prop_oneof![
        (0.0..=MAX_UNDETECTED_S).prop_map(|s| (s, 0.0)),
        (MAX_UNDETECTED_S..MAX_PAUSE_S, 0.0..MAX_NOTICE_S),
    ];
    (lengths, 0.0..=1.0).prop_map(|((length, notice), signal_share)| Pause {
        length: Duration::from_secs_f64(length),
        signal_share,
        notice: Duration::from_secs_f64(notice),
    })
}

fn late_requests() -> impl Strategy<Value = LateRequest> {
    let stop = (
        prop_oneof![Just(8.0), MIN_GRACE_S..60.0].prop_map(Duration::from_secs_f64),
        pauses(),
        secs(3.0..8.0),
        prop_oneof![Just(Duration::ZERO), secs(0.0..3.0)],
    );
    let observed = (
        0..400_u32,
        secs(1.0..86_400.0),
        magnitude(0.5, MAX_GAP_MS),
        any::<bool>(),
        any::<bool>(),
    );
    let answer = (
        1..600_u32,
        magnitude(1e-4, 1e4),
        magnitude(0.5, MAX_GAP_MS),
        secs(0.0..3.0),
        secs(0.0..3.0),
        secs(0.05..20.0),
        proptest::collection::vec(secs(0.0..6.0), 0..5),
    );
    (stop, observed, answer).prop_map(|(stop, observed, answer)| LateRequest {
        grace: stop.0,
        pause: stop.1,
        sent_after: stop.2,
        read_after: stop.3,
        observed: observed.0,
        uptime: observed.1,
        observed_gap_ms: observed.2,
        is_streamed: observed.3,
        is_engine: observed.3 && observed.4,
        events: answer.0,
        hint_factor: answer.1,
        gap_ms: answer.2,
        first_byte: answer.3,
        first_byte_estimate: answer.4,
        own_time_left: answer.5,
        steps: answer.6,
    })
}

impl Pause {
    /// Returns when the signal is noticed, and the earliest time at which the host thinks that it was
    /// sent.
    fn notice(self, signal_at: Instant) -> (Instant, Instant) {
        let from = signal_at - self.length.mul_f64(self.signal_share);
        let mut stalls = StallDetector::new(from);
        let resumed_at = from + self.length;
        let noticed_at = resumed_at + self.notice;
        let mut at = resumed_at;
        while at < noticed_at {
            stalls.tick(at);
            at += TICK;
        }
        (noticed_at, stalls.earliest_signal(noticed_at))
    }
}

impl LateRequest {
    fn length(&self) -> Length {
        let expected = f64::from(self.events) * self.hint_factor;
        match self.is_engine {
            true => Length::Tokens {
                expected: expected as u32,
                max: self.events,
            },
            false => Length::Plain { route: 1 },
        }
    }

    fn lasts(&self, gap_ms: f64) -> Duration {
        Duration::from_secs_f64(f64::from(self.events) * gap_ms / 1000.0)
    }

    fn observed_durations(&self, signal_at: Instant) -> Durations {
        let mut all = Durations::default();
        for n in 0..self.observed {
            let share = f64::from(n + 1) / f64::from(self.observed);
            let at = signal_at - self.uptime + self.uptime.mul_f64(share);
            all.record(self.length(), self.lasts(self.observed_gap_ms), at);
        }
        all
    }

    /// Fails if the process could exit before an accepted stream ends, or before a plain answer that
    /// isn't sent at its end, or if an accepted stream is rejected at a later step.
    fn check(&self, counts: &Counts) -> Result<(), TestCaseError> {
        let count = |of: &Cell<u32>| of.set(of.get() + 1);
        let signal_at = Instant::now() + Duration::from_secs(100_000);
        let (noticed_at, earliest_signal) = self.pause.notice(signal_at);
        let schedule = ShutdownSchedule::new(noticed_at, earliest_signal, self.grace);
        let sent_at = signal_at + self.sent_after;
        let received_at = sent_at + self.read_after;
        if received_at < noticed_at {
            count(&counts.unnoticed);
            return Ok(());
        }
        if sent_at >= schedule.close_at {
            count(&counts.too_late);
            return Ok(());
        }
        prop_assert!(self.sent_after >= LATE_AFTER);
        let ends_at = schedule.hand_over_at.min(signal_at + self.grace);
        let observed = self.observed_durations(signal_at);
        let is_in_time = |after: Duration| {
            let pending = PendingAnswer {
                received_at,
                length: self.length(),
                is_streamed: self.is_streamed,
                first_byte: self.first_byte_estimate,
                own_time_left: self.own_time_left.saturating_sub(after),
            };
            FinishEstimate::new(&schedule, &observed, &pending, received_at + after).is_in_time()
        };
        let is_accepted = is_in_time(Duration::ZERO);
        let own_end = received_at + self.own_time_left;
        let answer_end = received_at + self.first_byte + self.lasts(self.gap_ms);
        prop_assert!(
            is_accepted || own_end > schedule.finish_by,
            "rejected although its own deadline is before the exit"
        );
        if !self.is_streamed {
            // Only answers to requests received from then on are sent when they are complete.
            prop_assert!(received_at >= schedule.own_deadline_from, "{schedule:?}");
            match is_accepted {
                true => count(&counts.accepted_plain),
                false => count(&counts.rejected_plain),
            }
            if is_accepted && answer_end.min(own_end) > schedule.refuse_at {
                count(&counts.unanswered_plain);
            }
            return Ok(());
        }
        if !is_accepted {
            count(&counts.rejected_streams);
            return Ok(());
        }
        count(&counts.accepted_streams);
        prop_assert!(
            answer_end.min(own_end) <= ends_at,
            "cut off: {schedule:?}, signal at {signal_at:?}"
        );
        for step in self.steps.iter().filter(|s| **s < self.own_time_left) {
            prop_assert!(is_in_time(*step), "rejected after {step:?}");
        }
        Ok(())
    }
}

/// Guards against accepting a stream sent 3 s after a signal that the host noticed late, and against
/// forwarding a plain answer to such a request in parts.
#[test]
fn no_stream_sent_late_in_a_stop_is_cut_off_however_late_the_signal_is_noticed() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let counts = Counts::default();
    let result = runner.run(&late_requests(), |request| request.check(&counts));
    println!("{counts:?}");
    result.unwrap_or_else(|e| panic!("{e}"));
    assert!(counts.accepted_streams.get() > 0, "{counts:?}");
    assert!(counts.rejected_streams.get() > 0, "{counts:?}");
    assert!(counts.accepted_plain.get() > 0, "{counts:?}");
}

/// Guards against a host that was paused, noticed its signal later than 0.3 s after the pause, and
/// accepted streams by observed durations later than 3 s after the signal.
#[test]
fn a_signal_noticed_late_after_a_pause_counts_from_the_pause() {
    for notice_ms in [299, 301, 350, 400, 499] {
        let pause = Pause {
            length: Duration::from_secs(5),
            signal_share: 0.0,
            notice: Duration::from_millis(notice_ms),
        };
        let signal_at = Instant::now();
        let (noticed_at, earliest_signal) = pause.notice(signal_at);
        let schedule = ShutdownSchedule::new(noticed_at, earliest_signal, Duration::from_secs(8));
        let late_from = (signal_at + LATE_AFTER).max(noticed_at);
        assert!(schedule.own_deadline_from <= late_from, "{notice_ms} ms");
    }
}

/// Guards against accepting streams that end after the host is killed, as it noticed its signal late.
#[test]
fn accepted_streams_end_before_the_host_is_killed_for_any_grace_period() {
    for grace in [4.0, 5.0, 6.0, 6.6, 6.7, 8.0, 30.0].map(Duration::from_secs_f64) {
        let signal_at = Instant::now();
        let noticed_at = signal_at + Duration::from_secs_f64(MAX_UNDETECTED_S);
        let earliest_signal = StallDetector::new(signal_at).earliest_signal(noticed_at);
        let schedule = ShutdownSchedule::new(noticed_at, earliest_signal, grace);
        assert!(schedule.finish_by <= signal_at + grace, "{grace:?}");
    }
}
