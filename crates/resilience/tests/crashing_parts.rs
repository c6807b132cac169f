//! Fleets in which parts of prompts crash engines: hardly any prompt with such a part is sent once
//! the hosts can know, and prompts without one are served.

mod fleet;

use fleet::{MS, ONSET, Outcome, Position, S, Scenario, crashing_part, scenarios, simulate};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use resilience::Fingerprint;
use resilience::crashes::{CrashTracker, Observation, RECORD_THRESHOLD, Run, Source, Subject};
use std::time::{Duration, Instant};

/// Number of crashes after which sends are limited, the time until then, and their number.
const CRASHES: usize = 5;
const WINDOW: Duration = Duration::from_secs(3);
const MAX_LATER_SENDS: usize = 3;

/// A fleet under load without other disturbances.
fn scenario(position: Position) -> Scenario {
    Scenario {
        seed: 1,
        hosts: 4,
        engines: 8,
        downtime: 2 * S,
        sound_per_s: 95,
        crashing_per_s: 5,
        crashing_parts: 1,
        long_per_s: 4,
        position,
        loss: 0,
        max_latency: 300 * MS,
        turns_bad: false,
        other_ends: Vec::new(),
        restart_all: None,
    }
}

/// Number of prompts with a part that were sent after hosts must know, if there were enough crashes.
fn later_sends(outcome: &Outcome, part: u64) -> usize {
    let Some(part) = outcome.parts.get(&part) else {
        return 0;
    };
    let Some(fifth) = part.crashes.get(CRASHES - 1) else {
        return 0;
    };
    part.sends
        .iter()
        .filter(|at| **at >= *fifth + WINDOW)
        .count()
}

/// Share of the sound prompts served before the onset, and from twice the window after the fifth
/// crash on, or the last one if there were fewer.
fn sound_shares(outcome: &Outcome) -> (f64, f64) {
    let crashes = outcome.parts.values().filter_map(|part| {
        let fifth = part.crashes.get(CRASHES - 1);
        fifth.or(part.crashes.last())
    });
    let from = crashes.max().copied().unwrap_or(ONSET) + 2 * WINDOW;
    let share = |is_in: &dyn Fn(Duration) -> bool| {
        let all: Vec<bool> = outcome
            .sound
            .iter()
            .filter(|(at, _)| is_in(*at))
            .map(|(_, begun)| *begun)
            .collect();
        match all.len() {
            n if n < 20 => 1.0,
            n => all.iter().filter(|begun| **begun).count() as f64 / n as f64,
        }
    };
    (share(&|at| at < ONSET), share(&|at| at >= from))
}

fn check(scenario: &Scenario) {
    let outcome = simulate(scenario);
    for n in 0..scenario.crashing_parts {
        let later = later_sends(&outcome, crashing_part(n));
        assert!(
            later <= MAX_LATER_SENDS,
            "{later} more sends of part {n}: {:?}",
            outcome.parts
        );
    }
    let (before, after) = sound_shares(&outcome);
    assert!(
        after >= before / 2.0,
        "{after} of the sound prompts served, {before} before"
    );
}

#[test]
fn a_part_is_blocked_and_sound_prompts_are_served_wherever_it_stands() {
    for position in [Position::First, Position::Middle, Position::AmongNew] {
        for turns_bad in [false, true] {
            check(&Scenario {
                turns_bad,
                ..scenario(position)
            });
        }
    }
}

#[test]
fn two_crashing_parts_below_one_first_part_are_both_blocked() {
    for seed in 0..20 {
        let scenario = Scenario {
            seed,
            crashing_parts: 2,
            ..scenario(Position::Middle)
        };
        check(&scenario);
    }
}

/// Engines end one after another for reasons of their own, and answers are slow. None of the parts
/// is the cause.
#[test]
fn parts_are_not_blocked_for_ends_that_no_part_causes() {
    for seed in 0..20 {
        let scenario = Scenario {
            seed,
            crashing_parts: 0,
            // More would fill the engines that are left.
            long_per_s: 1,
            max_latency: 2 * S,
            other_ends: (0..20).map(|n| (400 * n, 2)).collect(),
            ..scenario(Position::Middle)
        };
        let outcome = simulate(&scenario);
        let (before, _) = sound_shares(&outcome);
        let during = outcome.sound.iter().filter(|(at, _)| *at >= ONSET);
        let begun = during.clone().filter(|(_, begun)| *begun).count() as f64;
        let share = begun / during.count() as f64;
        assert!(
            share >= 0.95 * before,
            "{share} of the sound prompts served"
        );
    }
}

/// 300 engines end at once, each with eight prompts of ten parts: suspects, bytes sent and rows stay
/// within bounds, and the parts that all prompts share are soon cleared.
#[test]
fn a_loss_of_300_engines_stays_within_bounds() {
    let (mut tracker, start) = (CrashTracker::default(), Instant::now());
    tracker.record_answered_parts(0..4, start);
    let at = start + S;
    let mut sent = 0;
    for n in 0..2400u64 {
        let new = (0..5).map(|part| 1000 + 5 * n + part);
        let run = Run::new(Fingerprint(n.into()), (0..4).chain(new));
        let crash = Observation::Crash {
            run,
            upstream: (n % 300) as u32,
            at,
            in_trial: false,
        };
        tracker.apply(crash, Source::Local, true, at);
    }
    assert!(tracker.len() <= 2048);
    for tenth in 0..100 {
        let now = at + tenth * 100 * MS;
        assert_eq!(tracker.update_explanation(now), []);
        for observation in tracker.due_observations(now) {
            sent += 30 + 9 * observation.parts().len();
        }
        assert!(tracker.unrecorded(RECORD_THRESHOLD, None, 1000).is_empty());
    }
    assert!(sent <= 11 * 8000, "{sent} bytes in 10 s");
    let answer = Observation::answer(Run::new(Fingerprint(9999), 0..4), at + S);
    tracker.apply(answer, Source::Local, true, at + S);
    assert_eq!(tracker.crash_count(Subject::Part(0)), 0);
    let prompt = [0, 1, 2, 3];
    assert_eq!(tracker.part_verdict(&prompt, at + S), None);
    assert!(!tracker.has_suspected_part(&prompt));
}

/// Parts that can't be told apart are recorded together. Guards against the rows being removed when
/// one of them is answered, by which all hosts forgot the crashes of the others.
#[test]
fn rows_are_kept_for_the_parts_that_were_not_answered() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    for n in 0..3 {
        let run = Run::new(Fingerprint(n.into()), [1, 2]);
        let crash = Observation::Crash {
            run,
            upstream: n,
            at: now,
            in_trial: false,
        };
        tracker.apply(crash, Source::Local, true, now);
    }
    tracker.update_explanation(now);
    let records = tracker.unrecorded(RECORD_THRESHOLD, None, 9);
    assert_eq!(records.len(), 3);
    for record in &records {
        tracker.set_recorded(record, true);
    }
    let answer = |part| Observation::answer(Run::new(Fingerprint(9), [part]), now + MS);
    tracker.apply(answer(1), Source::Local, true, now + MS);
    tracker.update_explanation(now + S);
    assert_eq!(tracker.obsolete_records(None, 9), []);
    assert!(tracker.part_verdict(&[2], now + S).is_some());
    tracker.apply(answer(2), Source::Local, true, now + S);
    tracker.update_explanation(now + 2 * S);
    assert_eq!(tracker.obsolete_records(None, 9).len(), 6);
}

/// Guards against prompts with parts being sent on that were answered before they turned bad, and
/// that crash all engines within a second, each for longer than hosts have to learn of it.
#[test]
fn parts_that_turned_bad_are_blocked_while_all_engines_are_down() {
    check(&Scenario {
        seed: 9350312347482481232,
        hosts: 5,
        engines: 6,
        downtime: 3912 * MS,
        sound_per_s: 43,
        crashing_per_s: 7,
        long_per_s: 0,
        crashing_parts: 2,
        position: Position::First,
        loss: 2,
        max_latency: 513 * MS,
        turns_bad: true,
        other_ends: vec![(4963, 1)],
        restart_all: None,
    });
}

/// Guards against the first crashes being forgotten when all hosts are restarted before they have
/// recorded them.
#[test]
fn parts_are_blocked_although_all_hosts_restart_after_the_first_crashes() {
    check(&Scenario {
        seed: 8024232000572567397,
        hosts: 2,
        engines: 11,
        downtime: 3221 * MS,
        sound_per_s: 59,
        crashing_per_s: 7,
        long_per_s: 5,
        crashing_parts: 2,
        position: Position::Middle,
        loss: 3,
        max_latency: 910 * MS,
        turns_bad: false,
        other_ends: vec![(2838, 1), (386, 4)],
        restart_all: Some(518),
    });
}

#[test]
fn drawn_fleets_block_crashing_parts_and_serve_sound_prompts() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(cases()), rng);
    let run = runner.run(&scenarios(), |scenario| {
        check(&scenario);
        Ok(())
    });
    run.unwrap();
}

/// Number of drawn fleets; more of them on request.
fn cases() -> u32 {
    let requested = std::env::var("PROPTEST_CASES").ok();
    requested.and_then(|n| n.parse().ok()).unwrap_or(60)
}
