//! Tests decisions on how many engines prefill prompts, under several load patterns.
//!
//! The figures of a pattern are requests per second, multiplied by the time that each keeps an
//! engine busy: prompts of 2,900 to 3,700 uncached tokens, prefilled at 37 tokens per ms by engines
//! with 64 slots, or at 700 and more by engines with 6 to 12 slots.

use gateway::division::{Basis, Demand, Division, EngineUse, WantedChange};
use gateway::duty::lease::{Candidate, Decision, HeldLease, decide};
use platform::{Duty, Lease, LeaseRead, Position, Stage};
use std::time::{Duration, Instant};

/// Position of the lease's row.
const ROW: Position = Position { era: 1, version: 9 };

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the use of engines of which the given numbers prefill, while `answers` are generated.
fn uses(
    current: Division,
    prefill_busy: u32,
    generators_busy: u32,
    answers: u32,
) -> Vec<EngineUse> {
    let prefill_engines = (0..current.prefill_engines).map(|n| EngineUse {
        is_prefill_only: true,
        is_prefilling: n < prefill_busy,
        generating: 0,
    });
    let generators = (0..current.generators).map(|n| EngineUse {
        is_prefill_only: false,
        is_prefilling: n < generators_busy,
        generating: answers / current.generators + u32::from(n < answers % current.generators),
    });
    prefill_engines.chain(generators).collect()
}

/// Returns the demand after some seconds of constant use.
fn demand(uses: &[EngineUse], seconds: u32) -> Demand {
    let mut demand = Demand::default();
    for _ in 0..seconds * 20 {
        demand.sample(uses.iter().copied(), SAMPLE_INTERVAL);
    }
    demand
}

fn division(prefill_engines: u32, generators: u32, slots: u32) -> Division {
    Division {
        prefill_engines,
        generators,
        slots,
    }
}

/// Long prompts and short answers with many slots: 43 requests per second keep 4 of 5 prefill
/// engines busy, and about 35 answers run where 448 would fit.
#[test]
fn full_prefill_engines_get_engines_that_generate_little() {
    let current = division(5, 7, 64);
    let demand = demand(&uses(current, 4, 2, 35), 6);
    let wanted = demand.wanted_change(current, false).unwrap();
    assert_eq!(wanted.stage, Stage::Prefill);
    assert_eq!(wanted.basis, Basis::Prefilling);
    // A quarter of the engines may change at once, and a third continues to generate.
    assert_eq!(wanted.changes, 3);
    let next = division(8, 4, 64);
    let further = demand.wanted_change(next, false);
    assert_eq!(further, None, "a third still generates");
}

/// Engines with few slots: 16 long answers in 30 slots, and prefill engines half busy. Another
/// prefill engine served less there, since answers then wait for slots.
#[test]
fn no_order_is_given_when_slots_are_the_bottleneck() {
    for (current, busy, answers) in [
        (division(3, 5, 6), 2, 16),
        (division(3, 6, 8), 2, 21),
        (division(10, 18, 12), 6, 60),
        (division(9, 16, 6), 6, 35),
    ] {
        let demand = demand(&uses(current, busy, current.generators / 2, answers), 20);
        assert_eq!(demand.wanted_change(current, false), None, "{current:?}");
        let empty = Demand::default();
        assert_eq!(
            idle(empty, current).wanted_change(current, true),
            None,
            "{current:?}"
        );
    }
}

/// Returns the demand after three more seconds without a request.
fn idle(mut demand: Demand, current: Division) -> Demand {
    for _ in 0..60 {
        demand.sample(uses(current, 0, 0, 0).into_iter(), SAMPLE_INTERVAL);
    }
    demand
}

#[test]
fn before_the_first_request_the_division_follows_the_slots() {
    let current = division(5, 7, 64);
    let demand = idle(Demand::default(), current);
    let expected = WantedChange {
        changes: 3,
        stage: Stage::Prefill,
        basis: Basis::Slots,
    };
    assert_eq!(demand.wanted_change(current, true), Some(expected));
    // A process that restarts in a running system doesn't know that the system is idle.
    assert_eq!(demand.wanted_change(current, false), None);
}

#[test]
fn no_order_is_given_while_engines_still_register() {
    let mut demand = Demand::default();
    for engines in 1..=12 {
        let current = division(engines / 3, engines - engines / 3, 64);
        for _ in 0..10 {
            demand.sample(uses(current, 0, 0, 0).into_iter(), SAMPLE_INTERVAL);
            assert_eq!(demand.wanted_change(current, true), None);
        }
    }
    let current = division(4, 8, 64);
    assert!(idle(demand, current).wanted_change(current, true).is_some());
}

#[test]
fn a_change_of_load_for_seconds_gives_no_order() {
    let current = division(5, 7, 64);
    let steady = uses(current, 1, 0, 30);
    let mut demand = demand(&steady, 10);
    for _ in 0..56 {
        demand.sample(uses(current, 5, 1, 30).into_iter(), SAMPLE_INTERVAL);
        assert_eq!(demand.wanted_change(current, false), None);
    }
}

/// As when a zone with most of the generators is lost.
#[test]
fn lost_generators_are_replaced_by_prefill_engines() {
    for (current, changes) in [(division(8, 1, 64), 2), (division(7, 0, 64), 1)] {
        let uses = match current.generators {
            0 => uses(division(current.prefill_engines, 1, 64), 3, 0, 0)
                [..current.prefill_engines as usize]
                .to_vec(),
            _ => uses(current, 3, 0, 40),
        };
        let wanted = demand(&uses, 6).wanted_change(current, false).unwrap();
        assert_eq!(wanted.stage, Stage::Decode);
        assert_eq!(wanted.changes, changes);
    }
}

#[test]
fn a_single_engine_gets_no_order() {
    let current = division(0, 1, 8);
    assert_eq!(
        demand(&uses(current, 0, 1, 8), 20).wanted_change(current, false),
        None
    );
}

fn lease_read(holder: &str, until_ms: u64, now_ms: u64) -> LeaseRead {
    LeaseRead {
        lease: Some(Lease {
            holder: holder.into(),
            token: 7,
            until_ms,
            era: ROW.era,
        }),
        row: ROW,
        now_ms,
    }
}

const ORDER_GAP: Duration = Duration::from_secs(3);

fn candidate(host: &str) -> Candidate<'_> {
    Candidate {
        host,
        gap: ORDER_GAP,
        era_age: Duration::ZERO,
    }
}

#[test]
fn the_lease_of_another_host_is_taken_only_a_gap_after_its_end() {
    let wait = |now_ms| match decide(
        Duty::Orders,
        &lease_read("a", 10_000, now_ms),
        &candidate("b"),
    ) {
        Decision::Wait(pause) => Some(pause),
        Decision::Take(_) => None,
    };
    // The last order is sent 1.5 s before the lease ends, so there are 5.5 s between the orders of
    // two hosts.
    assert_eq!(wait(9_000), Some(Duration::from_millis(5_000)));
    assert_eq!(wait(13_999), Some(Duration::from_millis(1)));
    assert_eq!(wait(14_000), None);
}

#[test]
fn each_taken_lease_has_a_higher_fencing_token() {
    let Decision::Take(lease) = decide(
        Duty::Orders,
        &lease_read("a", 10_000, 20_000),
        &candidate("b"),
    ) else {
        panic!("the lease has expired");
    };
    assert_eq!((lease.holder.as_str(), lease.token), ("b", 8));
    let Decision::Take(again) = decide(
        Duty::Orders,
        &lease_read("a", 10_000, 5_000),
        &candidate("a"),
    ) else {
        panic!("the lease is held by this host");
    };
    assert_eq!(again.token, 8);
}

#[test]
fn a_process_that_was_paused_gives_no_order() {
    let since = Instant::now();
    let held = HeldLease::new(Duty::Orders, 1, since);
    assert!(held.is_valid(since + Duration::from_millis(2400)));
    assert!(!held.is_valid(since + Duration::from_millis(2500)));
}
