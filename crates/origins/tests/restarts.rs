//! Runs random series of stops, kills, restarts, losses, cuts and membership changes with 1 to 629
//! hosts in virtual time: a stream goes on while any running host has its origin, or else by the rows
//! that stopping hosts write to the store.

#[path = "fleet/mod.rs"]
mod fleet;

use fleet::{Fleet, Network};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::cell::Cell;
use std::time::Duration;

/// Number of steps in a series.
const STEPS: std::ops::Range<usize> = 10..60;

/// Maximum number of streams that begin before the first step.
const FIRST_STREAMS: usize = 60;

/// A step of a series.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A stream begins at a host.
    Begin(usize),
    /// A client continues a stream, counted from the latest, at a host.
    TakeUp(usize, usize),
    /// A host is told to stop; it starts again after some time.
    Stop(usize),
    /// Several hosts in a row are told to stop, with a gap in milliseconds.
    StopSeries(usize, usize, u64),
    /// All hosts are told to stop, with a gap in milliseconds.
    StopAll(u64),
    /// A host is killed, and starts again after some time.
    Kill(usize),
    /// A host is removed permanently, and another one joins.
    Replace(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// Random steps. Without `with_kills`, hosts end only after a stop signal.
fn step(with_kills: bool) -> impl Strategy<Value = Step> {
    let host = any::<usize>();
    let kills = u32::from(with_kills);
    prop_oneof![
        12 => host.prop_map(Step::Begin),
        12 => (host, 0..12usize).prop_map(|(host, stream)| Step::TakeUp(host, stream)),
        2 => host.prop_map(Step::Stop),
        2 => (host, 2..12usize, 0..3000u64).prop_map(|(host, n, gap)| Step::StopSeries(host, n, gap)),
        1 => (0..400u64).prop_map(Step::StopAll),
        1 => host.prop_map(Step::Replace),
        kills => host.prop_map(Step::Kill),
        8 => (1..1500u64).prop_map(Step::Wait),
        2 => (1500..9000u64).prop_map(Step::Wait),
    ]
}

fn run_steps(fleet: &mut Fleet, steps: &[Step]) {
    for host in 0..fleet.len().min(FIRST_STREAMS) {
        fleet.begin(host);
    }
    for step in steps {
        match *step {
            Step::Begin(host) => fleet.begin(host),
            Step::TakeUp(host, stream) => fleet.take_up(host, stream),
            Step::Stop(host) => fleet.stop(host),
            Step::StopSeries(first, count, gap_ms) => {
                for n in 0..count {
                    fleet.stop(first.wrapping_add(n));
                    fleet.wait(Duration::from_millis(gap_ms));
                }
            }
            Step::StopAll(gap_ms) => {
                for n in 0..fleet.len() {
                    fleet.stop(n);
                    fleet.wait(Duration::from_millis(gap_ms) / fleet.len() as u32);
                }
            }
            Step::Kill(host) => fleet.kill(host),
            Step::Replace(host) => fleet.replace(host),
            Step::Wait(ms) => fleet.wait(Duration::from_millis(ms)),
        }
    }
    fleet.wait(Duration::from_secs(15));
    fleet.take_up_all();
}

/// Runs random series. Returns the numbers of streams that went on and that were continued.
fn run_random(
    cases: u32,
    hosts: std::ops::Range<usize>,
    network: Network,
    kills: bool,
) -> (usize, usize) {
    let default = Config::default();
    let config = Config {
        // `PROPTEST_CASES` overrides the default.
        cases: match std::env::var_os("PROPTEST_CASES") {
            Some(_) => default.cases,
            None => cases,
        },
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6701),
        ..default
    };
    let counts = Cell::new((0, 0));
    let steps = proptest::collection::vec(step(kills), STEPS);
    TestRunner::new(config)
        .run(
            &(hosts.clone(), steps, any::<u64>()),
            |(hosts, steps, seed)| {
                let mut fleet = Fleet::new(hosts, network, seed);
                run_steps(&mut fleet, &steps);
                if network == Network::Reliable && !kills {
                    prop_assert!(
                        fleet.unknown.is_empty(),
                        "{} hosts: {:?}",
                        hosts,
                        fleet.unknown
                    );
                }
                let (resumed, taken_up) = counts.get();
                counts.set((resumed + fleet.resumed, taken_up + fleet.taken_up));
                Ok(())
            },
        )
        .unwrap();
    let (resumed, taken_up) = counts.get();
    println!(
        "{resumed} of {taken_up} streams went on, {hosts:?} hosts, {network:?}, kills: {kills}"
    );
    counts.get()
}

/// Guards against unknown streams after planned stops that overlap in any way, while the store is
/// available.
#[test]
fn all_streams_go_on_after_planned_stops() {
    let (_, taken_up) = run_random(100, 1..9, Network::Reliable, false);
    assert!(taken_up > 1_000, "{taken_up}");
    run_random(10, 9..40, Network::Reliable, false);
}

/// Guards against unknown streams after planned stops in a large fleet.
#[test]
fn all_streams_of_a_large_fleet_go_on_after_planned_stops() {
    run_random(2, 300..301, Network::Reliable, false);
    run_random(1, 629..630, Network::Reliable, false);
}

/// Guards against unknown streams after kills of single hosts during a series of stops.
#[test]
fn nearly_all_streams_go_on_after_kills_during_planned_stops() {
    let (resumed, taken_up) = run_random(100, 3..12, Network::Reliable, true);
    assert!(resumed * 100 >= taken_up * 99, "{resumed} of {taken_up}");
}

/// Guards against unknown streams when datagrams are lost, hosts are cut off and the store fails.
#[test]
fn most_streams_go_on_despite_losses_and_cuts() {
    let (resumed, taken_up) = run_random(100, 2..12, Network::Faulty, true);
    assert!(resumed * 2 >= taken_up, "{resumed} of {taken_up}");
}
