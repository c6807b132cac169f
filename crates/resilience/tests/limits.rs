//! The retry budget compared to direct counts, and suspensions of failing upstreams.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use resilience::{Health, RetryBudget};
use std::time::{Duration, Instant};

/// Test runner with a fixed seed, so that all runs have the same cases.
fn runner() -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(Config::with_cases(300), rng)
}

#[test]
fn retries_stay_within_the_budget_in_every_window() {
    let steps = proptest::collection::vec((0u64..400, any::<bool>()), 1..400);
    runner()
        .run(&(steps, 1u32..6), |(steps, processes)| {
            let window = Duration::from_secs(10);
            let mut budget = RetryBudget::new(0.2, 54.0, window, processes);
            let start = Instant::now();
            let mut at = Duration::ZERO;
            let mut requests: Vec<Duration> = Vec::new();
            let mut retries: Vec<Duration> = Vec::new();
            for (pause, is_retry) in steps {
                at += Duration::from_millis(pause);
                if !is_retry {
                    budget.record_request(start + at);
                    requests.push(at);
                } else if budget.try_retry(start + at) {
                    retries.push(at);
                }
                let from = at.saturating_sub(window);
                let recent = retries.iter().filter(|t| **t >= from).count() as f64;
                // Requests may be counted in the current window or the previous one.
                let from = at.saturating_sub(window * 2);
                let earned = requests.iter().filter(|t| **t >= from).count() as f64;
                let bound = 0.2 * earned + 54.0 / f64::from(processes);
                prop_assert!(recent <= bound, "{recent} retries, {bound} allowed");
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn failing_upstreams_are_suspended_longer_each_time_and_healthy_ones_never() {
    let start = Instant::now();
    let mut health = Health::default();
    let mut pauses = Vec::new();
    let mut now = start;
    for _ in 0..12 {
        if let Some(s) = health.record_failure(0.25, now) {
            pauses.push(s.duration);
            assert!(health.is_suspended(now));
            now += s.duration;
            assert!(!health.is_suspended(now));
        }
    }
    assert!(pauses.len() >= 4, "{pauses:?}");
    assert!(pauses.windows(2).all(|p| p[1] >= p[0]), "{pauses:?}");
    assert_eq!(*pauses.last().unwrap(), Duration::from_secs(4));

    // One in seven requests fails with a low weight, which is normal for this upstream.
    let mut health = Health::default();
    for n in 0..5000 {
        if n % 7 == 0 {
            assert!(health.record_failure(0.06, start).is_none());
        } else {
            health.record_success();
        }
    }
}
