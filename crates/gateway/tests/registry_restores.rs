//! Tests the registry of many hosts without a network, while the store is restored from copies of
//! any age, hosts restart, and reads and messages of peers are lost.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{gateway_with, instance, runner};
use gateway::follow::merge_from_store;
use gateway::peers::catch_up::apply_changes;
use gateway::state::Gateway;
use platform::{Instance, Position, Registration, Stage, Start};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const HOSTS: usize = 12;
const UPSTREAMS: u8 = 6;
/// Time after which no upstream is kept without a row.
const GRACE_OVER: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
enum Step {
    /// An upstream writes its row.
    Heartbeat(u8),
    /// An upstream announces that it will stop.
    Drain(u8),
    /// An upstream starts again.
    Restart(u8),
    /// The row of an upstream is removed.
    Remove(u8),
    /// The store is restored from the copy that was made so many steps ago.
    Restore(usize),
    /// A host reads the store.
    Read(usize),
    /// A host fetches changes from a peer, and confirms its registry.
    Fetch { to: usize, from: usize },
    /// A host's process restarts.
    RestartHost(usize),
}

/// Row of an upstream, or the mark of a removed one.
#[derive(Debug, Clone)]
struct Row {
    version: u64,
    instance: Option<Instance>,
}

/// Start and state of an upstream, as it would write them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UpstreamState {
    start: u64,
    is_draining: bool,
    is_gone: bool,
}

struct Simulation {
    hosts: Vec<Arc<Gateway>>,
    upstreams: Vec<UpstreamState>,
    rows: BTreeMap<u8, Row>,
    position: Position,
    /// Rows and version before each step.
    copies: Vec<(BTreeMap<u8, Row>, u64)>,
    reads: u64,
}

impl Simulation {
    fn new() -> Self {
        let state = UpstreamState {
            start: 1,
            is_draining: false,
            is_gone: false,
        };
        let mut simulation = Self {
            hosts: (0..HOSTS).map(|_| gateway_with(&[])).collect(),
            upstreams: vec![state; UPSTREAMS.into()],
            rows: BTreeMap::new(),
            position: Position { era: 1, version: 0 },
            copies: Vec::new(),
            reads: 0,
        };
        (0..UPSTREAMS).for_each(|n| simulation.write(n));
        (0..HOSTS).for_each(|n| simulation.read(n, Instant::now()));
        simulation
    }

    fn step(&mut self, step: Step) {
        self.copies.push((self.rows.clone(), self.position.version));
        match step {
            Step::Heartbeat(n) => self.write(n),
            Step::Drain(n) => {
                self.upstreams[usize::from(n)].is_draining = true;
                self.write(n);
            }
            Step::Restart(n) => {
                let state = &mut self.upstreams[usize::from(n)];
                *state = UpstreamState {
                    start: state.start + 1,
                    is_draining: false,
                    is_gone: false,
                };
                self.write(n);
            }
            Step::Remove(n) => {
                self.upstreams[usize::from(n)].is_gone = true;
                self.write(n);
            }
            Step::Restore(ago) => {
                let at = self.copies.len().saturating_sub(ago + 1);
                let (rows, version) = self.copies[at].clone();
                self.rows = rows;
                self.position = Position {
                    era: self.position.era + 1,
                    version,
                };
            }
            Step::Read(n) => self.read(n, Instant::now()),
            Step::Fetch { to, from } => self.fetch(to, from),
            Step::RestartHost(n) => self.hosts[n] = gateway_with(&[]),
        }
    }

    /// Writes the row of an upstream, or removes it.
    fn write(&mut self, n: u8) {
        self.position.version += 1;
        let state = self.upstreams[usize::from(n)];
        let row = Instance {
            start: Some(Start(state.start)),
            row: self.position,
            is_draining: state.is_draining,
            ..instance(n, Stage::Decode)
        };
        let row = Row {
            version: self.position.version,
            instance: (!state.is_gone).then_some(row),
        };
        self.rows.insert(n, row);
    }

    /// Reads the changes since the host's position, or all rows if the store doesn't have them.
    fn read(&mut self, n: usize, now: Instant) {
        self.reads += 1;
        let gateway = &self.hosts[n];
        gateway.store_era.raise(self.position.era);
        let known = gateway.registry().position;
        let is_whole = known.era != self.position.era || gateway.missing().needs_whole_read(now);
        let rows = self
            .rows
            .iter()
            .filter(|(_, row)| is_whole || row.version > known.version);
        let changes = rows.filter_map(|(n, row)| match &row.instance {
            Some(instance) => Some(Registration::Registered(Instance {
                row: Position {
                    version: row.version,
                    ..self.position
                },
                ..instance.clone()
            })),
            None if is_whole => None,
            None => Some(Registration::Removed {
                id: instance(*n, Stage::Decode).id,
            }),
        });
        merge_from_store(gateway, changes.collect(), is_whole, self.position, now);
        gateway.record_read(self.position, now, self.reads);
    }

    /// What a datagram of a peer causes.
    fn fetch(&mut self, to: usize, from: usize) {
        let (to, from) = (&self.hosts[to], &self.hosts[from]);
        to.store_era.raise(from.store_era.current());
        let Some(shared) = from.shareable_registry() else {
            return;
        };
        let known = to.registry().position;
        if shared.position > known && to.missing().is_empty() {
            for since in [known, Position::NONE] {
                let Some(changes) = from.changes_since(since) else {
                    return;
                };
                if apply_changes(to, changes, Instant::now()) {
                    break;
                }
            }
        }
        to.confirm_registry(shared);
    }

    /// What a host knows of an upstream: its start, and whether it leaves.
    fn known(&self, host: usize, n: u8) -> Option<(u64, bool)> {
        let fleet = self.hosts[host].fleet();
        let upstream = fleet.get(fleet.find(&instance(n, Stage::Decode).id)?)?;
        let Start(start) = upstream.instance.start?;
        let is_leaving = upstream.instance.is_draining || upstream.stated.is_leaving;
        Some((start, is_leaving))
    }
}

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
            let now = Instant::now();
            for host in 0..HOSTS {
                simulation.read(host, now);
                simulation.read(host, now + GRACE_OVER);
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
