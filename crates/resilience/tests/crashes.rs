//! Sequences of crashes, answers and trials, and which requests are blocked after them.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use resilience::crashes::{
    BLOCK_THRESHOLD, Change, Confidence, CrashRecord, CrashTracker, Observation, RECORD_THRESHOLD,
    Run, STORED_TRIALS, Source,
};
use resilience::{Fingerprint, Verdict};
use std::time::{Duration, Instant};

const REQUEST: Fingerprint = Fingerprint(7);
const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

fn crash(fingerprint: Fingerprint, upstream: u32, at: Instant) -> Observation {
    Observation::Crash {
        run: Run::from(fingerprint),
        upstream,
        at,
        in_trial: false,
    }
}

/// A crash while the request was running in a trial.
fn crash_in_trial(fingerprint: Fingerprint, upstream: u32, at: Instant) -> Observation {
    Observation::Crash {
        run: Run::from(fingerprint),
        upstream,
        at,
        in_trial: true,
    }
}

/// Applies crashes of upstreams with these identifiers, observed by this host.
fn crash_upstreams(tracker: &mut CrashTracker, upstreams: &[u32], now: Instant) -> Change {
    let crashes = upstreams.iter().map(|u| crash(REQUEST, *u, now));
    let changes = crashes.map(|observation| tracker.apply(observation, Source::Local, true, now));
    changes.last().expect("some upstreams")
}

fn answer(tracker: &mut CrashTracker, now: Instant) -> Change {
    let observation = Observation::answer(Run::from(REQUEST), now);
    tracker.apply(observation, Source::Local, true, now)
}

#[test]
fn a_crash_counts_once_per_upstream_start() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    assert_eq!(
        crash_upstreams(&mut tracker, &[1, 2], now),
        Change::Counted(2)
    );
    for source in [Source::Local, Source::Peer, Source::Store] {
        let again = tracker.apply(crash(REQUEST, 2, now + MS), source, true, now + MS);
        assert_eq!(again, Change::Unchanged);
    }
    assert_eq!(tracker.verdict(REQUEST, now), Verdict::Suspected);
    assert_eq!(
        crash_upstreams(&mut tracker, &[3], now),
        Change::Blocked(BLOCK_THRESHOLD)
    );
    assert_eq!(
        tracker.verdict(REQUEST, now),
        Verdict::Trial(0, Confidence::Unconfirmed)
    );
    assert_eq!(tracker.verdict(Fingerprint(8), now), Verdict::Allowed);
}

#[test]
fn a_request_answered_between_crashes_is_never_blocked() {
    let (mut tracker, mut now) = (CrashTracker::default(), Instant::now());
    for n in 0..100 {
        crash_upstreams(&mut tracker, &[2 * n, 2 * n + 1], now);
        assert_eq!(tracker.verdict(REQUEST, now), Verdict::Suspected);
        now += MS;
        assert_eq!(answer(&mut tracker, now), Change::Cleared);
        assert_eq!(tracker.verdict(REQUEST, now), Verdict::Allowed);
        now += MS;
    }
}

#[test]
fn a_repeated_crash_report_after_the_answer_adds_no_suspect() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1, 2, 3], now);
    answer(&mut tracker, now + 5 * MS);
    for n in 1..=3 {
        // A forwarding host measured the age again, so the crash seems later than the answer.
        let late = crash(REQUEST, n, now + 9 * MS);
        tracker.apply(late, Source::Peer, true, now + 20 * MS);
    }
    assert_eq!(tracker.verdict(REQUEST, now + 20 * MS), Verdict::Allowed);
    tracker.expire(now + 9 * S);
    assert_eq!(tracker.len(), 1);
    tracker.expire(now + 11 * S);
    assert!(tracker.is_empty());
}

#[test]
fn crashes_before_the_answer_are_no_longer_sent() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1], now);
    assert_eq!(tracker.due_observations(now).len(), 1);
    answer(&mut tracker, now + MS);
    // Applied only now, as the host detected the crash late.
    crash_upstreams(&mut tracker, &[2], now);
    for ms in [2, 600, 1200, 2500, 4500] {
        let observations = tracker.due_observations(now + ms * MS);
        assert!(
            !observations
                .iter()
                .any(|w| matches!(w, Observation::Crash { .. })),
            "{observations:?}"
        );
    }
}

#[test]
fn a_blocked_request_that_keeps_crashing_gets_three_trials() {
    let (mut tracker, start) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1, 2, 3], start);
    let mut trials = Vec::new();
    for second in 0..1800 {
        let now = start + second * S;
        if let Verdict::Trial(number, _) = tracker.verdict(REQUEST, now) {
            assert_eq!(number, trials.len());
            tracker.trial_requested(REQUEST, now);
            // Other requests of the host wait; a trial that wasn't taken is requested again.
            assert!(matches!(tracker.verdict(REQUEST, now), Verdict::Blocked(_)));
            assert!(matches!(
                tracker.verdict(REQUEST, now + S),
                Verdict::Trial(..)
            ));
            tracker.trial_taken(REQUEST, number, now);
            let crash = crash_in_trial(REQUEST, 100 + second, now + MS);
            tracker.apply(crash, Source::Local, true, now + MS);
            let confidence = match number {
                0 => Confidence::Unconfirmed,
                _ => Confidence::Confirmed,
            };
            assert_eq!(
                tracker.verdict(REQUEST, now + MS),
                Verdict::Blocked(confidence)
            );
            trials.push(second);
        }
    }
    assert_eq!(trials.len(), 3);
    assert_eq!(trials[0], 0);
    assert!(trials[1] <= 3 && trials[2] >= 60);
}

#[test]
fn an_answered_trial_unblocks_and_a_trial_by_another_host_counts() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1, 2, 3, 4, 5], now);
    assert_eq!(
        tracker.verdict(REQUEST, now),
        Verdict::Trial(0, Confidence::Unconfirmed)
    );
    tracker.trial_taken(REQUEST, 0, now + 100 * MS);
    let blocked = Verdict::Blocked(Confidence::Unconfirmed);
    assert_eq!(tracker.verdict(REQUEST, now + S), blocked);
    assert_eq!(answer(&mut tracker, now + 7 * S), Change::Cleared);
    assert_eq!(tracker.verdict(REQUEST, now + 8 * S), Verdict::Allowed);
}

#[test]
fn a_trial_that_reached_no_upstream_is_due_again() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1, 2, 3], now);
    let now = now + 100 * MS;
    tracker.trial_requested(REQUEST, now);
    tracker.trial_taken(REQUEST, 0, now);
    tracker.trial_returned(REQUEST, 0);
    assert_eq!(
        tracker.verdict(REQUEST, now),
        Verdict::Blocked(Confidence::Unconfirmed)
    );
    let later = now + S;
    assert_eq!(
        tracker.verdict(REQUEST, later),
        Verdict::Trial(0, Confidence::Unconfirmed)
    );
    // The late return of a trial has no effect on a later trial.
    tracker.trial_taken(REQUEST, 0, later);
    tracker.trial_taken(REQUEST, 1, later);
    tracker.trial_returned(REQUEST, 0);
    assert_eq!(
        tracker.verdict(REQUEST, later + S),
        Verdict::Blocked(Confidence::Unconfirmed)
    );
    assert_eq!(
        tracker.verdict(REQUEST, later + 2 * S),
        Verdict::Trial(2, Confidence::Unconfirmed)
    );
}

/// Takes the trial that is due, in which an upstream crashes.
fn crash_in_due_trial(tracker: &mut CrashTracker, upstream: u32, now: Instant) {
    let Verdict::Trial(number, _) = tracker.verdict(REQUEST, now) else {
        panic!("no trial is due");
    };
    tracker.trial_taken(REQUEST, number, now);
    let crash = crash_in_trial(REQUEST, upstream, now + MS);
    tracker.apply(crash, Source::Local, true, now + MS);
}

#[test]
fn crashes_outside_trials_confirm_nothing() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1, 2, 3], now);
    for number in 0..3 {
        tracker.trial_taken(REQUEST, number, now + S);
    }
    // Sent by a host that didn't know of the earlier crashes.
    let observation = crash(REQUEST, 4, now + 2 * S);
    tracker.apply(observation, Source::Peer, true, now + 2 * S);
    assert_eq!(
        tracker.verdict(REQUEST, now + 2 * S),
        Verdict::Blocked(Confidence::Unconfirmed)
    );
}

#[test]
fn trial_crashes_shared_with_another_suspect_confirm_nothing() {
    let (mut tracker, mut now) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1, 2, 3], now);
    let other = Fingerprint(8);
    for upstream in [11, 12] {
        now += 2 * S;
        crash_in_due_trial(&mut tracker, upstream, now);
        tracker.apply(crash(other, upstream, now), Source::Peer, true, now);
    }
    let assert_blocked = |tracker: &CrashTracker, confidence| {
        assert_eq!(
            tracker.verdict(REQUEST, now + MS),
            Verdict::Blocked(confidence)
        );
    };
    assert_blocked(&tracker, Confidence::Unconfirmed);
    // The other request is answered, so it didn't cause the crashes.
    let answer = Observation::answer(Run::from(other), now + MS);
    tracker.apply(answer, Source::Peer, true, now + MS);
    assert_blocked(&tracker, Confidence::Confirmed);
}

#[test]
fn requests_with_one_crash_do_not_prevent_confirmation() {
    let (mut tracker, mut now) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1, 2, 3], now);
    for upstream in [11, 12] {
        now += 2 * S;
        crash_in_due_trial(&mut tracker, upstream, now);
        let unrelated = Fingerprint(100 + u128::from(upstream));
        tracker.apply(crash(unrelated, upstream, now), Source::Peer, true, now);
    }
    assert_eq!(
        tracker.verdict(REQUEST, now + MS),
        Verdict::Blocked(Confidence::Confirmed)
    );
}

/// As long as trials have no answer, the request is tried again: within seconds at first, and
/// later at least once a minute.
#[test]
fn a_trial_without_crash_or_answer_is_followed_by_another() {
    let (mut tracker, start) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1, 2, 3], start);
    let mut trials = Vec::new();
    for second in 0..600 {
        let now = start + second * S;
        if let Verdict::Trial(number, confidence) = tracker.verdict(REQUEST, now) {
            assert_eq!(confidence, Confidence::Unconfirmed);
            tracker.trial_requested(REQUEST, now);
            tracker.trial_taken(REQUEST, number, now);
            trials.push(second);
        }
    }
    assert!(trials.len() > STORED_TRIALS, "{trials:?}");
    assert!(trials[3] <= 10, "{trials:?}");
    let longest = trials.windows(2).map(|two| two[1] - two[0]).max();
    assert!(longest <= Some(60), "{trials:?}");
}

/// A request crashes each upstream, but other suspects run in each of its trials, so that it is
/// never confirmed.
#[test]
fn an_unconfirmed_request_crashes_at_most_three_upstreams_in_late_trials() {
    let (mut tracker, start) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1, 2, 3], start);
    let mut late = 0;
    for tenth in 0..36_000u32 {
        let now = start + tenth * 100 * MS;
        let Verdict::Trial(..) = tracker.verdict(REQUEST, now) else {
            continue;
        };
        let upstream = 100 + tenth;
        crash_in_due_trial(&mut tracker, upstream, now);
        for other in [50, 51] {
            let crash = crash(Fingerprint(other), upstream, now);
            tracker.apply(crash, Source::Peer, true, now);
        }
        late += usize::from(now > start + 3 * S);
    }
    assert_eq!(late, 3);
}

#[test]
fn an_answer_applies_to_rows_read_after_it() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    // A host that has just started receives the answer from a peer before it reads the rows.
    let observation = Observation::answer(Run::from(REQUEST), now);
    tracker.apply(observation, Source::Peer, true, now);
    for upstream in 1..=3 {
        let row = crash(REQUEST, upstream, now - S);
        tracker.apply(row, Source::Store, false, now + 5 * S);
    }
    assert_eq!(tracker.verdict(REQUEST, now + 5 * S), Verdict::Allowed);
}

#[test]
fn an_answer_is_resent_while_older_rows_are_stored() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    for upstream in 1..=3 {
        let row = crash(REQUEST, upstream, now);
        tracker.apply(row, Source::Store, false, now);
    }
    answer(&mut tracker, now + MS);
    for second in 10..100 {
        let observations = tracker.due_observations(now + second * S);
        let is_sent = observations
            .iter()
            .any(|observation| matches!(observation, Observation::Answer { .. }));
        assert!(is_sent, "not sent after {second} s");
    }
    let records = tracker.recorded();
    for record in &records {
        tracker.set_recorded(record, false);
    }
    assert_eq!(tracker.due_observations(now + 101 * S), []);
}

#[test]
fn rows_that_a_host_failed_to_remove_are_removed_by_others() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    for upstream in 1..=3 {
        let row = crash(REQUEST, upstream, now);
        tracker.apply(row, Source::Store, false, now);
    }
    let observation = Observation::answer(Run::from(REQUEST), now + MS);
    tracker.apply(observation, Source::Peer, true, now + MS);
    assert_eq!(tracker.obsolete_records(None, 9), []);
    assert_eq!(tracker.obsolete_records(Some(now), 9), []);
    assert_eq!(tracker.obsolete_records(Some(now + S), 9).len(), 3);
}

#[test]
fn repeated_crashes_are_recorded_and_removed_after_an_answer() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1], now);
    assert_eq!(tracker.unrecorded(RECORD_THRESHOLD, None, 9), []);
    assert_eq!(tracker.unrecorded(1, None, 9).len(), 1);
    crash_upstreams(&mut tracker, &[2], now);
    // Crashes that a peer observed are recorded by the peer if it does so in time.
    tracker.apply(crash(REQUEST, 3, now), Source::Peer, true, now);
    assert_eq!(
        tracker
            .unrecorded(RECORD_THRESHOLD, Some(now + MS), 9)
            .len(),
        3
    );
    let due = tracker.unrecorded(RECORD_THRESHOLD, None, 9);
    let upstreams: Vec<u32> = due.iter().map(|r| r.upstream).collect();
    assert_eq!(upstreams, [1, 2]);
    for record in &due {
        tracker.set_recorded(record, true);
    }
    assert_eq!(tracker.unrecorded(RECORD_THRESHOLD, None, 9), []);
    assert_eq!(tracker.obsolete_records(None, 9), []);
    answer(&mut tracker, now + MS);
    assert_eq!(tracker.obsolete_records(None, 9), due);
}

#[test]
fn removed_rows_unblock_the_request() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    for upstream in 1..=3 {
        tracker.apply(crash(REQUEST, upstream, now), Source::Store, false, now);
    }
    assert_eq!(tracker.recorded().len(), 3);
    let gone: Vec<Change> = (1..=3).map(|u| tracker.remove_crash(REQUEST, u)).collect();
    assert_eq!(
        gone,
        [Change::Unchanged, Change::Unchanged, Change::Cleared]
    );
    assert_eq!(tracker.verdict(REQUEST, now), Verdict::Allowed);
}

/// Half of a large fleet crashes at once while each upstream runs many requests: the numbers of
/// suspects, sent observations and recorded crashes are limited, and blocked requests stay
/// blocked.
#[test]
fn a_flood_of_suspects_stays_within_bounds() {
    let (mut tracker, mut now) = (CrashTracker::default(), Instant::now());
    crash_upstreams(&mut tracker, &[1, 2, 3], now);
    let mut sent = 0;
    for n in 0..20_000u32 {
        if n % 50 == 0 {
            now += 10 * MS;
            let observations = tracker.due_observations(now);
            assert!(observations.len() <= 16);
            sent += observations.len();
        }
        let fingerprint = Fingerprint(1000 + u128::from(n));
        tracker.apply(crash(fingerprint, n % 300, now), Source::Local, true, now);
    }
    assert_eq!(tracker.len(), 1024);
    assert_eq!(tracker.crash_count(REQUEST), BLOCK_THRESHOLD);
    assert!(sent <= 64 * 5, "{sent} observations in 4 s");
    assert!(tracker.unrecorded(RECORD_THRESHOLD, None, 1000).len() <= 3);
}

#[test]
fn requests_with_more_crashes_are_sent_first_and_several_times() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    for n in 0..40 {
        tracker.apply(
            crash(Fingerprint(100 + n), 9, now),
            Source::Local,
            true,
            now,
        );
    }
    crash_upstreams(&mut tracker, &[1, 2, 3], now);
    let mut times = 0;
    for tenth in 0..60 {
        let observations = tracker.due_observations(now + tenth * 100 * MS);
        times += observations
            .iter()
            .filter(|observation| observation.request() == Some(REQUEST))
            .count();
        if tenth == 0 {
            assert!(
                observations[..3]
                    .iter()
                    .all(|observation| observation.request() == Some(REQUEST))
            );
        }
    }
    assert_eq!(times, 3 * 8);
}

/// An event in a system of several hosts.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A host observes a crash of an upstream that was running the request.
    Crash(usize),
    /// All hosts exchange observations; the given number of ten datagrams are lost.
    Exchange(u32),
    /// A host restarts and reads the rows.
    Restart(usize),
}

const HOSTS: usize = 4;

/// Hosts observe crashes, lose datagrams and restart. After the observations have had time to
/// arrive, all hosts must block the request if enough crashes weren't lost in restarts.
#[test]
fn all_hosts_block_a_request_soon_after_the_third_crash() {
    let step = prop_oneof![
        3 => (0..HOSTS).prop_map(Step::Crash),
        3 => (0u32..9).prop_map(Step::Exchange),
        1 => (0..HOSTS).prop_map(Step::Restart),
    ];
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(300), rng);
    let seeds = (proptest::collection::vec(step, 1..40), any::<u64>());
    let run = runner.run(&seeds, |(steps, seed)| {
        run_steps(&steps, seed);
        Ok(())
    });
    run.unwrap();
}

fn run_steps(steps: &[Step], seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut hosts: Vec<CrashTracker> = (0..HOSTS).map(|_| CrashTracker::default()).collect();
    let mut rows: Vec<CrashRecord> = Vec::new();
    let (mut now, mut crashes, mut lost) = (Instant::now(), 0, 0);
    for step in steps {
        now += 20 * MS;
        match step {
            Step::Crash(host) => {
                crashes += 1;
                observe_crash(&mut hosts[*host], crashes, now);
            }
            Step::Exchange(loss) => exchange(&mut hosts, *loss, &mut rng, now),
            Step::Restart(host) => {
                // Crashes that only this host knows of and hasn't recorded are lost.
                lost += hosts[*host].unrecorded(1, None, 99).len();
                hosts[*host] = CrashTracker::default();
            }
        }
        sync_rows(&mut hosts, &mut rows, now);
    }
    for _ in 0..60 {
        now += 100 * MS;
        exchange(&mut hosts, 3, &mut rng, now);
        sync_rows(&mut hosts, &mut rows, now);
    }
    if crashes as usize >= BLOCK_THRESHOLD + lost {
        for host in &hosts {
            assert_ne!(host.verdict(REQUEST, now), Verdict::Suspected);
            assert_ne!(host.verdict(REQUEST, now), Verdict::Allowed);
        }
    }
}

fn observe_crash(host: &mut CrashTracker, upstream: u32, now: Instant) {
    host.apply(crash(REQUEST, upstream, now), Source::Local, true, now);
}

fn exchange(hosts: &mut [CrashTracker], loss: u32, rng: &mut fastrand::Rng, now: Instant) {
    for from in 0..hosts.len() {
        for observation in hosts[from].due_observations(now) {
            for (to, host) in hosts.iter_mut().enumerate() {
                if to != from && rng.u32(..10) >= loss {
                    host.apply(observation.clone(), Source::Peer, false, now);
                }
            }
        }
    }
}

/// Records the crashes that are due, and lets all hosts read all rows.
fn sync_rows(hosts: &mut [CrashTracker], rows: &mut Vec<CrashRecord>, now: Instant) {
    for host in hosts.iter_mut() {
        let due = host.unrecorded(RECORD_THRESHOLD, None, 99);
        for record in &due {
            host.set_recorded(record, true);
        }
        rows.extend(due);
    }
    for host in hosts {
        for row in rows.iter() {
            host.apply(
                crash(row.run.request, row.upstream, row.at),
                Source::Store,
                false,
                now,
            );
        }
    }
}
