//! Tests the registry of many hosts without a network, while the store is restored from copies of
//! any age, hosts restart, and reads and messages of peers are lost.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;
#[expect(dead_code, reason = "each test file uses some of them")]
mod registry_fleet;

use fixtures::runner;
use platform::Position;
use proptest::collection::vec;
use proptest::prelude::*;
use registry_fleet::{GRACE_OVER, HOSTS, Simulation, Step, UPSTREAMS};

fn step() -> impl Strategy<Value = Step> {
    let upstream = 0..UPSTREAMS;
    prop_oneof![
        6 => upstream.clone().prop_map(Step::Heartbeat),
        2 => upstream.clone().prop_map(Step::Drain),
        1 => upstream.clone().prop_map(Step::Restart),
        1 => upstream.prop_map(Step::Remove),
        1 => (0usize..30).prop_map(Step::Restore),
        8 => (0..HOSTS).prop_map(Step::Read),
        8 => (0..HOSTS, 0..HOSTS).prop_map(|(to, from)| Step::Fetch { to, from }),
        1 => (0..HOSTS).prop_map(Step::RestartHost),
    ]
}

/// Hosts took up state of an earlier era, or revoked that an upstream leaves, and never read what
/// was written at lower versions than before a restore.
#[test]
fn hosts_agree_with_a_restored_store_and_never_go_back() {
    runner()
        .run(&vec(step(), 1..250), |steps| {
            let mut simulation = Simulation::new();
            for step in steps {
                let before: Vec<Position> = simulation
                    .hosts
                    .iter()
                    .map(|h| h.registry().position)
                    .collect();
                let all = (0..HOSTS).flat_map(|host| (0..UPSTREAMS).map(move |n| (host, n)));
                let leaving: Vec<(usize, u8, u64)> = all
                    .filter_map(|(host, n)| match simulation.known(host, n)? {
                        (start, true) => Some((host, n, start)),
                        (_, false) => None,
                    })
                    .collect();
                simulation.step(step);
                let restarted = match step {
                    Step::RestartHost(n) => Some(n),
                    _ => None,
                };
                for (host, position) in before.into_iter().enumerate() {
                    let now = simulation.hosts[host].registry().position;
                    prop_assert!(now >= position || restarted == Some(host), "{step:?}");
                }
                for (host, n, start) in leaving {
                    let is_revoked = simulation.known(host, n) == Some((start, false));
                    prop_assert!(!is_revoked || restarted == Some(host), "{step:?}");
                }
            }
            // Upstreams write again what was lost, and hosts read it.
            (0..UPSTREAMS).for_each(|n| simulation.write(n));
            for host in 0..HOSTS {
                simulation.read(host);
                simulation.now += GRACE_OVER;
                simulation.read(host);
                simulation.now -= GRACE_OVER;
                for n in 0..UPSTREAMS {
                    let state = simulation.upstreams[usize::from(n)];
                    let known = simulation.known(host, n);
                    match state.is_gone {
                        true => prop_assert_eq!(known, None),
                        false => prop_assert_eq!(known.map(|k| k.0), Some(state.start)),
                    }
                    let is_leaving = known.is_some_and(|k| k.1);
                    prop_assert!(is_leaving || !state.is_draining || state.is_gone);
                }
            }
            Ok(())
        })
        .unwrap();
}
