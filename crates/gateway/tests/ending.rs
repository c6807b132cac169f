//! The moments of a process's end.

use gateway::stop::{ShutdownSchedule, StallDetector};
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_secs(8);

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

#[test]
fn the_moments_follow_each_other_whatever_the_grace() {
    let now = Instant::now();
    for grace in [0.0, 0.1, 0.25, 1.0, 3.0, 8.0, 60.0] {
        let ending = ShutdownSchedule::new(now, now, secs(grace));
        let order = [
            now,
            ending.drain_at,
            ending.close_at,
            ending.exit_at.max(ending.close_at),
        ];
        assert!(order.is_sorted(), "grace of {grace} s: {ending:?}");
        assert!(ending.finish_by >= now, "grace of {grace} s");
        assert!(ending.finish_by <= ending.refuse_at, "grace of {grace} s");
        assert!(ending.refuse_at <= ending.abort_at, "grace of {grace} s");
        assert!(ending.drain_at <= now + secs(grace), "grace of {grace} s");
    }
}

#[test]
fn a_signal_that_came_during_a_standstill_may_be_as_old_as_that() {
    let start = Instant::now();
    let mut stalls = StallDetector::new(start);
    let mut now = start;
    for _ in 0..100 {
        now += secs(0.02);
        stalls.tick(now);
    }
    assert_eq!(stalls.earliest_signal(now + secs(0.01)), now + secs(0.01));
    let asleep = now + secs(0.01);
    let awake = asleep + secs(5.0);
    // Whether a timer or the signal is seen first.
    stalls.tick(awake);
    let seen = awake + secs(0.05);
    let earliest = stalls.earliest_signal(seen);
    assert_eq!(earliest, asleep);
    let ending = ShutdownSchedule::new(seen, earliest, GRACE);
    let left = ending.finish_by - seen;
    let bounds = secs(2.0)..secs(3.0);
    assert!(
        bounds.contains(&left),
        "it may be killed 3 s from now: {left:?}"
    );
    // What runs isn't broken off for it.
    assert!(ending.abort_at > seen + secs(7.0));
    // Long after it a signal is as old as it seems.
    let later = awake + secs(2.0);
    let mut beat = awake;
    while beat < later {
        beat += secs(0.02);
        stalls.tick(beat);
    }
    assert_eq!(stalls.earliest_signal(beat), beat);
}

/// A host that was frozen for 3 s took datagrams from before for news.
#[test]
fn what_waited_while_a_process_stood_still_is_known() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut stalls = StallDetector::new(start);
    stalls.tick(at(200));
    assert!(!stalls.may_have_waited(at(400)));
    // Before its timers have had a turn, and shortly after.
    assert!(stalls.may_have_waited(at(3200)));
    stalls.tick(at(3200));
    assert!(stalls.may_have_waited(at(3390)));
    stalls.tick(at(3400));
    assert!(!stalls.may_have_waited(at(3450)));
}
