//! Tests that hosts with the same position in the store have the same registry, while rows expire
//! during outages, are written again, and reach hosts from the store and from peers in any order.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;
#[expect(dead_code, reason = "each test file uses some of them")]
mod registry_fleet;

use fixtures::runner;
use proptest::collection::vec;
use proptest::prelude::*;
use registry_fleet::{GRACE_OVER, HOSTS, Simulation, Step, UPSTREAMS};
use std::time::Duration;

fn step() -> impl Strategy<Value = Step> {
    let upstream = 0..UPSTREAMS;
    prop_oneof![
        4 => upstream.clone().prop_map(Step::Heartbeat),
        1 => upstream.clone().prop_map(Step::Drain),
        1 => upstream.clone().prop_map(Step::Restart),
        1 => upstream.clone().prop_map(Step::Remove),
        2 => upstream.prop_map(Step::Lapse),
        2 => (0..HOSTS).prop_map(Step::EndOutage),
        2 => (0u64..3000).prop_map(|ms| Step::Wait(Duration::from_millis(ms))),
        6 => (0..HOSTS).prop_map(Step::Read),
        12 => (0..HOSTS, 0..HOSTS).prop_map(|(to, from)| Step::Fetch { to, from }),
    ]
}

/// Hosts with the same position but other rows, of which none waits for missing upstreams.
fn differing_hosts(simulation: &Simulation) -> Option<(usize, usize)> {
    let shared = |n: usize| simulation.hosts[n].shareable_registry();
    let pairs = (0..HOSTS).flat_map(|a| (0..a).map(move |b| (a, b)));
    let mut differing = pairs.filter(|(a, b)| match (shared(*a), shared(*b)) {
        (Some(a), Some(b)) => a.position == b.position && a.view != b.view,
        _ => false,
    });
    differing.next()
}

/// Guards against hosts whose registry differs from their peers' for good: they send requests to
/// upstreams that have left, and none to others.
#[test]
fn hosts_with_the_same_position_have_the_same_registry() {
    runner()
        .run(&vec(step(), 1..250), |steps| {
            let mut simulation = Simulation::new();
            for step in steps {
                simulation.step(step);
                let differing = differing_hosts(&simulation);
                prop_assert_eq!(differing, None, "after {:?}", step);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against changes of a peer that lack an upstream which the peer never removed.
#[test]
fn a_host_that_removed_an_upstream_gets_it_back_from_a_peer_that_kept_it() {
    const REMOVING: usize = 0;
    const KEEPING: usize = 1;
    const FOLLOWING: usize = 2;
    let mut simulation = Simulation::new();
    // The row expires during an outage. One host notices, and another host learns it from that one.
    simulation.step(Step::Lapse(0));
    simulation.step(Step::Read(REMOVING));
    simulation.step(Step::Fetch {
        to: FOLLOWING,
        from: REMOVING,
    });
    assert_eq!(simulation.known(FOLLOWING, 0), None);
    // The third one reads only after the row was written again, so for it nothing has changed.
    simulation.step(Step::Heartbeat(0));
    simulation.step(Step::Remove(1));
    simulation.step(Step::Read(KEEPING));
    simulation.step(Step::Fetch {
        to: FOLLOWING,
        from: KEEPING,
    });
    assert!(simulation.known(FOLLOWING, 0).is_some());
    assert_eq!(differing_hosts(&simulation), None);
    // The same in the other direction: an upstream that only one of them knows leaves.
    simulation.step(Step::Wait(GRACE_OVER));
    simulation.step(Step::Lapse(2));
    simulation.step(Step::Read(REMOVING));
    simulation.step(Step::Fetch {
        to: KEEPING,
        from: REMOVING,
    });
    simulation.step(Step::Heartbeat(2));
    simulation.step(Step::Read(FOLLOWING));
    simulation.step(Step::Fetch {
        to: KEEPING,
        from: FOLLOWING,
    });
    simulation.step(Step::Remove(2));
    simulation.step(Step::Read(KEEPING));
    simulation.step(Step::Fetch {
        to: FOLLOWING,
        from: KEEPING,
    });
    assert_eq!(simulation.known(FOLLOWING, 2), None);
}
