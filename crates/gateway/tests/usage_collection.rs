//! Tests in virtual time that each report has all requests that any process still knows, while
//! processes are killed, stopped and started and the store is unavailable.

mod collectors;

use collectors::{Fault, Fleet, POLL_MS, PROCESSES, TICK_MS, copy_log, ip};
use gateway::duty::usage::collection::{Collection, Readiness, Span};
use gateway::duty::usage::ledger::Ledger;
use gateway::duty::usage::request_log::RequestLog;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::{Duration, Instant};

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        2 => (0..PROCESSES).prop_map(Fault::Kill),
        3 => (0..PROCESSES).prop_map(Fault::Stop),
        6 => (0..PROCESSES).prop_map(Fault::Start),
        3 => (0..PROCESSES).prop_map(Fault::Pause),
        2 => Just(Fault::StoreDown),
        4 => Just(Fault::StoreUp),
    ];
    let pause = prop_oneof![3 => 0u64..600, 3 => 600u64..3000, 1 => 3000u64..9000];
    vec((pause, fault), 1..30)
}

#[test]
fn each_report_has_all_requests_that_any_running_process_knows() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(200), rng);
    let decided = std::cell::Cell::new(0);
    runner
        .run(&(any::<u64>(), faults()), |(seed, faults)| {
            let mut fleet = Fleet::new(seed);
            for (pause, fault) in faults {
                (0..pause / TICK_MS).for_each(|_| fleet.tick());
                fleet.inject(fault);
            }
            fleet.is_store_up = true;
            (0..200).for_each(|_| fleet.tick());
            decided.set(decided.get() + fleet.decided);
            Ok(())
        })
        .unwrap();
    // Otherwise the cases above prove nothing.
    assert!(decided.get() > 2000, "{} windows", decided.get());
}

fn span(base: Instant) -> Span {
    Span {
        from: base,
        until: base + Duration::from_secs(1),
    }
}

/// Guards against reports by a process that has just become a collector, or was paused: it must
/// hear each known process first, for a limited time.
#[test]
fn reports_wait_for_the_first_answers_of_each_known_process() {
    let base = Instant::now();
    let at = |ms| base + Duration::from_millis(ms);
    let interval = Duration::from_millis(POLL_MS);
    let peers = [ip(1), ip(2)];
    let (mut collection, mut ledger) = (Collection::default(), Ledger::default());
    let readiness = |collection: &Collection, ledger: &Ledger, now| {
        collection.readiness(ledger, &peers, span(base), now)
    };
    assert_eq!(readiness(&collection, &ledger, at(5000)), Readiness::Wait);
    collection.record_poll(&peers[..1], interval, at(5000));
    let log = RequestLog::new(1, || 0);
    ledger.add(ip(1), &log.read_from(0, 0, 1, at(5000)), at(5000));
    collection.record_held(ip(1), false);
    // The other process has just become known.
    assert_eq!(readiness(&collection, &ledger, at(5100)), Readiness::Wait);
    collection.record_poll(&peers, interval, at(5250));
    assert_eq!(readiness(&collection, &ledger, at(5250)), Readiness::Wait);
    for ms in (5500..8250).step_by(250) {
        collection.record_poll(&peers, interval, at(ms));
        assert_eq!(readiness(&collection, &ledger, at(ms)), Readiness::Wait);
    }
    // It doesn't answer.
    collection.record_poll(&peers, interval, at(8250));
    assert_eq!(readiness(&collection, &ledger, at(8250)), Readiness::Ready);
    // A pause of this process.
    assert_eq!(readiness(&collection, &ledger, at(9500)), Readiness::Wait);
    collection.record_poll(&peers, interval, at(9500));
    assert_eq!(readiness(&collection, &ledger, at(9500)), Readiness::Wait);
}

/// Guards against reports that are late as each of several windows waits anew until all processes are
/// heard.
#[test]
fn windows_that_wait_for_answers_wait_together() {
    let base = Instant::now();
    let at = |ms| base + Duration::from_millis(ms);
    let window = |n: u64| Span {
        from: at(n * 1000),
        until: at(n * 1000 + 1000),
    };
    let mut collection = Collection::default();
    assert!(collection.may_wait(window(0), None, at(60_000)));
    let interval = Duration::from_millis(POLL_MS);
    (0..9250).step_by(POLL_MS as usize).for_each(|ms| {
        collection.record_poll(&[ip(1)], interval, at(ms));
    });
    for n in 0..3 {
        let waits_until = n * 1000 + 7000;
        assert!(collection.may_wait(window(n), Some(base), at(waits_until - 1)));
        assert!(!collection.may_wait(window(n), Some(base), at(waits_until)));
        // After an outage of the store.
        assert!(collection.may_wait(window(n), Some(at(5000)), at(10_999)));
        assert!(!collection.may_wait(window(n), Some(at(5000)), at(11_000)));
    }
}

/// Guards against counting requests twice that are polled and also fetched from other processes.
#[test]
fn requests_that_arrive_by_several_ways_are_counted_once() {
    let base = Instant::now();
    let (mut log, mut other, mut ledger) = (
        RequestLog::new(7, || 0),
        Ledger::default(),
        Ledger::default(),
    );
    (0..5).for_each(|_| log.record(base, "a".into()));
    copy_log(&log, &mut other, 1, base);
    copy_log(&log, &mut ledger, 1, base);
    (0..3).for_each(|_| log.record(base, "b".into()));
    copy_log(&log, &mut other, 1, base);
    for known in [Vec::new(), ledger.known_logs(), Vec::new()] {
        for held in other.held_beyond(&known, base) {
            ledger.add_held(&held, base);
        }
    }
    copy_log(&log, &mut ledger, 1, base);
    assert_eq!(
        ledger.count(base, base + Duration::from_secs(1)).requests,
        8
    );
    assert_eq!(ledger.held_beyond(&other.known_logs(), base), []);
}

/// Guards against losing the requests of an exiting process that mistakes the collector for a
/// former one at the same address, which had all but the last of them.
#[test]
fn last_requests_without_those_before_them_leave_the_others_to_be_sent() {
    let base = Instant::now();
    let (mut log, mut sender, mut ledger) = (
        RequestLog::new(7, || 0),
        Ledger::default(),
        Ledger::default(),
    );
    (0..5).for_each(|_| log.record(base, "a".into()));
    copy_log(&log, &mut sender, 1, base);
    ledger.add_last(ip(1), &log.read_from(7, 4, 0, base), base);
    for held in sender.held_beyond(&ledger.known_logs(), base) {
        ledger.add_held(&held, base);
    }
    let until = base + Duration::from_secs(1);
    assert_eq!(ledger.count(base, until).requests, 5);
    log.record(base, "b".into());
    ledger.add_last(ip(1), &log.read_from(7, 5, 0, base), base);
    assert_eq!(ledger.count(base, until).requests, 6);
}

/// Guards against losing requests that a process writes to several rows of the store, and against
/// writing those that are already reported.
#[test]
fn requests_in_groups_are_those_that_are_not_reported() {
    let base = Instant::now();
    let at = |ms| base + Duration::from_millis(ms);
    let (mut log, mut sender) = (RequestLog::new(7, || 0), Ledger::default());
    (0..40u64).for_each(|n| log.record(at(n * 100), "a".into()));
    copy_log(&log, &mut sender, 1, at(4000));
    let mut other = RequestLog::new(8, || 0);
    (0..5u64).for_each(|n| other.record(at(3000 + n), "b".into()));
    copy_log(&other, &mut sender, 2, at(4000));
    let groups = sender.held_in_groups(Some(at(2000)), 7, at(4000));
    let sizes: Vec<usize> = groups
        .iter()
        .map(|logs| logs.iter().map(|log| log.begun.len()).sum())
        .collect();
    assert_eq!(sizes, [7, 7, 7, 4]);
    let mut receiver = Ledger::default();
    for _ in 0..2 {
        for log in groups.iter().flatten() {
            receiver.add_held(log, at(4000));
        }
    }
    assert_eq!(receiver.count(base, at(2000)).requests, 0);
    assert_eq!(receiver.count(at(2000), at(4000)).requests, 25);
}
