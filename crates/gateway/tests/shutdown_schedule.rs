//! Tests the shutdown schedule of a process, and the detection of stalls.

use gateway::stop::{ShutdownSchedule, StallDetector};
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_secs(8);

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

#[test]
fn the_points_in_time_are_in_order_for_any_grace_period() {
    let now = Instant::now();
    for grace in [0.0, 0.1, 0.25, 1.0, 3.0, 8.0, 60.0] {
        let schedule = ShutdownSchedule::new(now, now, secs(grace));
        let order = [
            now,
            schedule.drain_at,
            schedule.close_at,
            schedule.exit_at.max(schedule.close_at),
        ];
        assert!(order.is_sorted(), "grace of {grace} s: {schedule:?}");
        assert!(schedule.finish_by >= now, "grace of {grace} s");
        assert!(
            schedule.finish_by <= schedule.refuse_at,
            "grace of {grace} s"
        );
        assert!(
            schedule.refuse_at <= schedule.abort_at,
            "grace of {grace} s"
        );
        let last = [schedule.refuse_at, schedule.hand_over_at, schedule.abort_at];
        assert!(last.is_sorted(), "grace of {grace} s: {schedule:?}");
        assert!(schedule.drain_at <= now + secs(grace), "grace of {grace} s");
    }
}

#[test]
fn a_signal_seen_after_a_stall_may_be_as_old_as_the_stall() {
    let start = Instant::now();
    let mut stalls = StallDetector::new(start);
    let mut now = start;
    for _ in 0..100 {
        now += secs(0.02);
        stalls.tick(now);
    }
    assert_eq!(stalls.earliest_signal(now + secs(0.01)), now + secs(0.01));
    let paused_at = now + secs(0.01);
    let resumed_at = paused_at + secs(5.0);
    // This holds whether a timer or the signal is processed first.
    stalls.tick(resumed_at);
    let signal_seen = resumed_at + secs(0.05);
    let earliest = stalls.earliest_signal(signal_seen);
    assert_eq!(earliest, paused_at);
    let schedule = ShutdownSchedule::new(signal_seen, earliest, GRACE);
    let left = schedule.finish_by - signal_seen;
    let bounds = secs(2.0)..secs(3.0);
    assert!(
        bounds.contains(&left),
        "the process may be killed 3 s from now: {left:?}"
    );
    // Running answers aren't aborted early because of the stall.
    assert!(schedule.abort_at > signal_seen + secs(7.0));
    // Long after the stall, a signal counts from when it is seen.
    let later = resumed_at + secs(2.0);
    let mut tick = resumed_at;
    while tick < later {
        tick += secs(0.02);
        stalls.tick(tick);
    }
    assert_eq!(stalls.earliest_signal(tick), tick);
}

/// Guards against being killed before streams and usage are first saved, which begins once the
/// listener is closed, if the signal was sent at the start of a pause.
#[test]
fn the_listener_closes_before_a_host_that_was_paused_may_be_killed() {
    let signal_at = Instant::now();
    for delay in [0.0, 0.1, 0.5, 1.9, 2.1, 3.0, 5.0] {
        let schedule = ShutdownSchedule::new(signal_at + secs(delay), signal_at, GRACE);
        let left = (signal_at + GRACE).saturating_duration_since(schedule.close_at);
        assert!(left >= secs(0.5), "{delay} s: {left:?}");
    }
}

/// Guards against a host that was frozen for 3 s and took datagrams from before as new.
#[test]
fn datagrams_that_may_have_waited_during_a_stall_are_recognized() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut stalls = StallDetector::new(start);
    stalls.tick(at(200));
    assert!(!stalls.may_have_waited(at(400)));
    // Both before its timers have ticked, and shortly after.
    assert!(stalls.may_have_waited(at(3200)));
    stalls.tick(at(3200));
    assert!(stalls.may_have_waited(at(3390)));
    stalls.tick(at(3400));
    assert!(!stalls.may_have_waited(at(3450)));
}

/// Guards against accepting streams by observed durations if they were sent 3 s after a signal that
/// the process noticed late.
#[test]
fn streams_sent_3_s_after_a_signal_that_is_noticed_late_need_their_own_deadline() {
    let signal_at = Instant::now();
    for delay in [0.0, 0.001, 0.014, 0.1, 0.3, 0.499] {
        let noticed_at = signal_at + secs(delay);
        let mut stalls = StallDetector::new(noticed_at - secs(delay));
        let schedule = ShutdownSchedule::new(noticed_at, stalls.earliest_signal(noticed_at), GRACE);
        assert!(
            schedule.own_deadline_from <= signal_at + secs(3.0),
            "{delay} s"
        );
    }
}
