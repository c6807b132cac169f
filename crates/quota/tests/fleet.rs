//! Simulated fleets: usage in every window stays within the limit under faults of hosts,
//! links and datagrams, and requests within the quota are admitted.

mod sim;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use quota::Limit;
use sim::{Event, OVERAGE, QUOTA, SLACK, Sim, WINDOW_MS, limit};

/// Relative tolerance for rounding errors.
const ROUNDING: f64 = 1e-6;

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(Cases::with_cases(cases), rng)
}

/// Maximum usage in a window over all hosts.
fn window_bound() -> f64 {
    (QUOTA * WINDOW_MS as f64 / 1000.0 + QUOTA) * (1.0 + OVERAGE) + SLACK
}

/// Maximum usage in a window in which no host restarts and no grantor changes.
fn strict_window_bound(limit: Limit) -> f64 {
    (limit.rate * WINDOW_MS as f64 / 1000.0 + limit.burst) * (1.0 + ROUNDING)
}

fn event(hosts: usize) -> impl Strategy<Value = (u64, Event)> {
    let host = 0..hosts;
    let kind = prop_oneof![
        (host.clone(), 100u64..6000).prop_map(|(host, ms)| Event::Freeze { host, ms }),
        (host.clone(), 0u64..3000).prop_map(|(host, ms)| Event::Kill { host, ms }),
        (host.clone(), any::<u64>(), 500u64..8000).prop_map(|(host, side, ms)| Event::Partition {
            side: side | 1 << host,
            ms
        }),
        (0u64..3000, 200u64..5000).prop_map(|(delay_ms, ms)| Event::Delay { delay_ms, ms }),
        (host.clone(), 0u32..100, 200u64..5000)
            .prop_map(|(_, percent, ms)| Event::Loss { percent, ms }),
        (200u64..5000).prop_map(|ms| Event::Duplicate { ms }),
        host.clone().prop_map(|host| Event::Stop { host }),
        (host, 500u64..8000).prop_map(|(host, ms)| Event::Drain { host, ms }),
    ];
    (0u64..25_000, kind)
}

#[test]
fn usage_in_every_window_stays_within_the_limit_under_faults() {
    let events = vec(event(9), 0..14);
    runner(60)
        .run(&(events, any::<u64>()), |(events, seed)| {
            let mut sim = Sim::new(&[3, 3, 3], seed);
            for (at, event) in events {
                sim.schedule(at, event);
            }
            sim.run(30_000, |sim| sim.drain_all_pools());
            let most = sim.max_window_usage();
            prop_assert!(most <= window_bound(), "{most} over {}", window_bound());
            Ok(())
        })
        .unwrap();
}

/// Without restarts and initial bursts each share is in one pool at any time, so that none of
/// the overage is used.
#[test]
fn no_share_is_used_twice_without_restarts() {
    let events = event(9).prop_filter("no restarts", |(_, event)| {
        !matches!(event, Event::Kill { .. } | Event::Stop { .. })
    });
    let strict = Limit {
        burst: QUOTA / 10.0,
        initial_burst: 0.0,
        ..limit()
    };
    runner(60)
        .run(&(vec(events, 4..24), any::<u64>()), |(events, seed)| {
            let mut sim = Sim::new(&[5, 4], seed);
            sim.set_limit(strict);
            for (at, event) in events {
                sim.schedule(at, event);
            }
            sim.run(30_000, |sim| sim.drain_all_pools());
            let (most, bound) = (sim.max_window_usage(), strict_window_bound(strict));
            prop_assert!(most <= bound, "{most} over {bound}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn restarting_all_hosts_at_once_grants_no_second_burst() {
    let mut sim = Sim::new(&[8, 8, 8, 7], 1);
    for host in 0..31 {
        sim.schedule(12_000, Event::Kill { host, ms: 300 });
    }
    sim.run(20_000, |sim| {
        // Without earlier usage, all buckets are full when the hosts are killed.
        if sim.now_ms() >= 11_900 {
            sim.drain_all_pools();
        }
    });
    assert!(sim.max_window_usage() <= window_bound());
}

/// Submits the requests of one step, each to a host chosen by `host`.
fn submit_requests(sim: &mut Sim, per_s: f64, cost: f64, host: impl Fn(&mut Sim) -> usize) {
    for _ in 0..sim.arrivals(per_s) {
        let at = host(sim);
        sim.submit(at, cost);
    }
}

/// Cost of each request, in units.
const COST: f64 = 9000.0;

/// Request rate that uses the given fraction of the quota.
fn requests_per_s(fraction: f64) -> f64 {
    QUOTA * fraction / COST
}

#[test]
fn overload_on_few_hosts_gets_the_quota_and_no_more() {
    let mut sim = Sim::new(&[8, 8, 8, 7], 2);
    sim.warm_up();
    sim.run(30_000, |sim| {
        submit_requests(sim, requests_per_s(6.0), COST, |sim| sim.random_host(3));
    });
    assert!(sim.max_window_usage() <= strict_window_bound(limit()));
    let served = sim.granted() / (QUOTA * 30.0);
    assert!(served >= 0.95, "{served}");
}

#[test]
fn overload_on_all_hosts_gets_the_quota_and_no_more() {
    let mut sim = Sim::new(&[8, 8, 8, 7], 3);
    sim.warm_up();
    sim.run(30_000, |sim| {
        submit_requests(sim, requests_per_s(6.0), COST, |sim| sim.random_host(31));
    });
    assert!(sim.max_window_usage() <= strict_window_bound(limit()));
    let served = sim.granted() / (QUOTA * 30.0);
    assert!(served >= 0.95, "{served}");
}

#[test]
fn overload_that_moves_between_hosts_gets_the_quota_and_no_more() {
    let mut sim = Sim::new(&[8, 8, 8, 7], 4);
    sim.warm_up();
    sim.run(30_000, |sim| {
        let host = (sim.now_ms() / 1000 * 7) as usize % 31;
        submit_requests(sim, requests_per_s(6.0), COST, |_| host);
    });
    assert!(sim.max_window_usage() <= strict_window_bound(limit()));
    let served = sim.granted() / (QUOTA * 30.0);
    assert!(served >= 0.95, "{served}");
}

#[test]
fn demand_within_the_quota_is_not_refused_without_faults() {
    for (seed, hosts) in [(5, 31), (6, 3), (7, 1)] {
        let mut sim = Sim::new(&[8, 8, 8, 7], seed);
        sim.warm_up();
        sim.run(30_000, |sim| {
            submit_requests(sim, requests_per_s(0.8), COST, |sim| sim.random_host(hosts));
        });
        assert_eq!(sim.refused(), 0, "over {hosts} hosts");
    }
}

#[test]
fn a_lowered_quota_applies_to_the_next_request() {
    let mut sim = Sim::new(&[8, 8, 8, 7], 8);
    sim.warm_up();
    sim.run(10_000, |sim| {
        submit_requests(sim, requests_per_s(0.9), COST, |sim| sim.random_host(31));
    });
    let lower = Limit {
        rate: limit().rate / 8.0,
        burst: limit().burst / 8.0,
        initial_burst: limit().initial_burst / 8.0,
        ..limit()
    };
    sim.set_limit(lower);
    let before = sim.granted();
    sim.run(16_000, |sim| {
        submit_requests(sim, requests_per_s(0.9), COST, |sim| sim.random_host(31));
    });
    let most = lower.rate * 16.0 + lower.burst;
    let used = sim.granted() - before;
    assert!(used <= most * (1.0 + ROUNDING), "{used} over {most}");
    assert!(used >= lower.rate * 16.0 * 0.95, "{used}");
}

#[test]
fn partitioned_halves_keep_admitting_their_shares() {
    let mut sim = Sim::new(&[8, 8, 8, 7], 9);
    sim.warm_up();
    // The first two of the four zones are partitioned from the others.
    sim.schedule(
        5_000,
        Event::Partition {
            side: 0xffff,
            ms: 6_000,
        },
    );
    sim.run(16_000, |sim| {
        submit_requests(sim, requests_per_s(0.55), COST, |sim| sim.random_host(31));
    });
    assert!(sim.max_window_usage() <= strict_window_bound(limit()));
    let requested = sim.granted() + sim.refused() as f64 * COST;
    let served = sim.granted() / requested;
    assert!(served >= 0.98, "{served}");
}

#[test]
fn requests_are_admitted_half_a_second_after_all_hosts_restart() {
    let mut sim = Sim::new(&[8, 8, 8, 7], 11);
    sim.warm_up();
    for host in 0..31 {
        sim.schedule(2_000, Event::Kill { host, ms: 300 });
    }
    sim.run(2_800, |_| {});
    sim.run(4_000, |sim| {
        submit_requests(sim, requests_per_s(0.55), COST, |sim| sim.random_host(31));
    });
    let requested = sim.granted() + sim.refused() as f64 * COST;
    let served = sim.granted() / requested;
    assert!(served >= 0.95, "{served}");
}

#[test]
fn losing_a_grantor_refuses_few_requests() {
    let mut sim = Sim::new(&[8, 8, 8, 7], 10);
    sim.warm_up();
    // The last host of a zone is its grantor.
    sim.schedule(5_000, Event::Kill { host: 7, ms: 8_000 });
    sim.run(16_000, |sim| {
        submit_requests(sim, requests_per_s(0.55), COST, |sim| sim.random_host(31));
    });
    let requested = sim.granted() + sim.refused() as f64 * COST;
    let served = sim.granted() / requested;
    assert!(served >= 0.98, "{served}");
}

/// Guards against refusals of requests within the quota while all hosts stop: those that had lent
/// their shares to a grantor that stopped as well didn't get them back.
#[test]
fn hosts_that_stop_at_once_admit_requests_until_they_end() {
    let mut sim = Sim::new(&[8, 8, 8, 7], 12);
    sim.warm_up();
    for host in 0..31 {
        sim.schedule(1_000, Event::Drain { host, ms: 7_500 });
    }
    // A request must fit in the share of one host.
    let cost = COST / 10.0;
    sim.run(8_500, |sim| {
        submit_requests(sim, QUOTA * 0.3 / cost, cost, |sim| sim.random_host(31));
    });
    let requested = sim.granted() + sim.refused() as f64 * cost;
    let served = sim.granted() / requested;
    assert!(served >= 0.95, "{served}");
}

/// Guards against refusals between the return of a share by a stopping grantor and the next
/// round of the lender.
#[test]
fn lenders_use_their_shares_as_soon_as_a_stopping_grantor_returns_them() {
    let mut sim = Sim::new(&[4], 13);
    sim.warm_up();
    // Just after a round, when the wait for the next one is longest.
    for host in 0..4 {
        sim.schedule(1_020, Event::Drain { host, ms: 2_000 });
    }
    let cost = COST / 10.0;
    sim.run(2_000, |sim| {
        submit_requests(sim, QUOTA * 0.3 / cost, cost, |sim| sim.random_host(4));
    });
    assert_eq!(sim.refused(), 0);
}
