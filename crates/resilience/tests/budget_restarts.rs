//! Tests in virtual time that hosts stay within the retry budget together while they restart.

use resilience::RetryBudget;
use std::time::{Duration, Instant};

const HOSTS: u32 = 4;
/// Retries that all hosts may send in a window: a fraction of the requests, and an allowance.
const RATIO: f64 = 0.2;
const SLACK: f64 = 50.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Interval between two requests of each host, all of which fail.
const REQUEST_EVERY: Duration = Duration::from_millis(500);
/// Time between two stop signals, and from a host's signal to its restart.
const STOP_GAP: Duration = Duration::from_millis(500);
const STOP_TIME: Duration = Duration::from_millis(2300);
/// Time of the first signal, by which the allowance is used up, and of the end.
const FIRST_STOP: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(20);

/// Guards against exceeding the common retry budget, as each start of a host gets the full
/// allowance again.
#[test]
fn retries_stay_within_the_budget_over_an_overlapping_series_of_restarts() {
    let base = Instant::now();
    let new_budget = || RetryBudget::new(RATIO, SLACK, WINDOW, HOSTS);
    let mut budgets: Vec<RetryBudget> = (0..HOSTS).map(|_| new_budget()).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut age = Duration::ZERO;
    while age < END {
        for (n, budget) in (0..HOSTS).zip(&mut budgets) {
            let restarts_at = FIRST_STOP + STOP_GAP * n + STOP_TIME;
            if age >= restarts_at && age < restarts_at + REQUEST_EVERY {
                *budget = new_budget();
            }
            requests.push(age);
            budget.record_request(base + age);
            // Each request may be sent to two more upstreams.
            let sent = (0..2).filter(|_| budget.try_retry(base + age));
            retries.extend(sent.map(|_| age));
        }
        age += REQUEST_EVERY;
    }
    let within = |times: &[Duration], from: Duration| {
        let is_within = |at: &&Duration| **at >= from && **at < from + WINDOW;
        times.iter().filter(is_within).count() as f64
    };
    for from in &requests {
        let (sent, all) = (within(&retries, *from), within(&requests, *from));
        let allowed = RATIO * all + SLACK;
        assert!(
            sent <= allowed,
            "{sent} retries from {from:?}, {allowed} allowed"
        );
    }
}
