//! Simulated fleets that keep the limit on requests of one upstream.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod sim;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use quota::{Limit, ReturnTimes};
use sim::{Event, Sim};
use std::time::{Duration, Instant};

/// Length of the windows in which requests are counted, and time after which they are counted.
const WINDOW_MS: u64 = 4000;
const SETTLE_MS: u64 = 3000;
const OVERAGE: f64 = 0.5;
const SLACK: f64 = 5.0;
/// Duration of a run.
const RUN_MS: u64 = 20_000;
/// Requests per second that arrive at all hosts together.
const DEMAND: f64 = 400.0;

fn request_limit(rate: f64) -> Limit {
    Limit::for_requests(rate, Duration::from_millis(WINDOW_MS), OVERAGE, SLACK)
}

/// Most requests that an upstream may get in a window.
fn bound(rate: f64) -> f64 {
    rate * WINDOW_MS as f64 / 1000.0 * (1.0 + OVERAGE) + SLACK
}

/// Lets requests for the upstream arrive at random hosts.
fn run(sim: &mut Sim, hosts: usize) {
    sim.run(RUN_MS, |sim| {
        for _ in 0..sim.arrivals(DEMAND) {
            let host = sim.random_host(hosts);
            sim.submit(host, 1.0);
        }
    });
}

/// A burst of one request from each host is more than a low limit allows, and a host's own share
/// of it is used up for minutes after one request.
#[test]
fn fleets_of_any_size_keep_and_use_the_limit_of_an_upstream() {
    let fleets: [&[usize]; 4] = [
        &[1, 1, 1],
        &[8, 8, 7, 7],
        &[50; 6],
        &[105, 105, 105, 105, 105, 104],
    ];
    for zones in fleets {
        for rate in [0.5, 1.2, 5.0, 24.7] {
            let hosts = zones.iter().sum();
            let mut sim = Sim::new(zones, 7);
            sim.set_limit(request_limit(rate));
            run(&mut sim, hosts);
            let most = sim.max_usage_within(WINDOW_MS, SETTLE_MS);
            assert!(most <= bound(rate), "{hosts} hosts, {rate}/s: {most}");
            let served = sim.granted();
            let allowed = rate * RUN_MS as f64 / 1000.0;
            assert!(served >= allowed / 2.0, "{hosts} hosts, {rate}/s: {served}");
        }
    }
}

/// Lost, late and repeated datagrams, and hosts that start at any time.
#[test]
fn the_limit_of_an_upstream_is_kept_under_faults_of_datagrams() {
    let event = prop_oneof![
        (0u64..3000, 200u64..5000).prop_map(|(delay_ms, ms)| Event::Delay { delay_ms, ms }),
        (0u32..100, 200u64..5000).prop_map(|(percent, ms)| Event::Loss { percent, ms }),
        (200u64..5000).prop_map(|ms| Event::Duplicate { ms }),
    ];
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Cases::with_cases(60), rng);
    let rates = prop::sample::select(vec![0.5, 1.2, 5.0, 24.7]);
    let cases = (vec((0u64..15_000, event), 0..8), rates, any::<u64>());
    runner
        .run(&cases, |(events, rate, seed)| {
            let mut sim = Sim::new(&[5, 4, 4], seed);
            sim.set_limit(request_limit(rate));
            for (at, event) in events {
                sim.schedule(at, event);
            }
            run(&mut sim, 13);
            let most = sim.max_usage_within(WINDOW_MS, SETTLE_MS);
            prop_assert!(most <= bound(rate), "{rate}/s: {most}");
            Ok(())
        })
        .unwrap();
}

/// An upstream with a limit of 0 must still get a few requests, or its end is never heard of.
#[test]
fn a_limit_of_zero_lets_few_requests_through() {
    for zones in [1, 3, 4, 6] {
        let mut sim = Sim::new(&vec![5; zones], 3);
        sim.set_limit(request_limit(0.0));
        for _ in 0..5 {
            let before = sim.granted();
            run(&mut sim, 5 * zones);
            assert!(sim.granted() >= before + 2.0, "{zones} zones");
        }
        let most = sim.max_usage_within(WINDOW_MS, 0);
        assert!(most <= SLACK, "{zones} zones: {most}");
    }
}

/// Less urgent callers took the room that urgent ones needed.
#[test]
fn refused_callers_return_one_after_the_other_and_urgent_ones_first() {
    let now = Instant::now();
    let (room_at, gap) = (now + Duration::from_millis(300), Duration::from_millis(100));
    let mut times = ReturnTimes::default();
    let ms = |times: &mut ReturnTimes, rank| times.assign(rank, room_at, gap, now).as_millis();
    assert_eq!(ms(&mut times, 1), 300);
    assert_eq!(ms(&mut times, 1), 400);
    assert_eq!(ms(&mut times, 0), 300, "not after the less urgent");
    assert_eq!(ms(&mut times, 0), 400);
    assert_eq!(ms(&mut times, 1), 500);
    let later = now + Duration::from_secs(60);
    assert_eq!(times.assign(1, now, gap, later), Duration::ZERO);
}
