//! Simulates the registry of many hosts without a network.

use crate::fixtures::{gateway_with, instance};
use gateway::follow::merge_from_store;
use gateway::peers::catch_up::apply_changes;
use gateway::state::Gateway;
use platform::{Instance, Position, Registration, Stage, Start};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const HOSTS: usize = 12;
pub const UPSTREAMS: u8 = 6;
/// Time after which no upstream is kept without a row.
pub const GRACE_OVER: Duration = Duration::from_secs(10);

/// An event at an upstream, the store or a host.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// An upstream writes its row.
    Heartbeat(u8),
    /// An upstream announces that it will stop.
    Drain(u8),
    /// An upstream starts again.
    Restart(u8),
    /// The row of an upstream is removed.
    Remove(u8),
    /// The row of an upstream expires although it runs, until its next heartbeat.
    Lapse(u8),
    /// A host notices the end of an outage of the store.
    EndOutage(usize),
    /// Time passes.
    Wait(Duration),
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
pub struct UpstreamState {
    pub start: u64,
    pub is_draining: bool,
    pub is_gone: bool,
}

/// Hosts, upstreams and the store.
pub struct Simulation {
    pub hosts: Vec<Arc<Gateway>>,
    pub upstreams: Vec<UpstreamState>,
    pub now: Instant,
    rows: BTreeMap<u8, Row>,
    position: Position,
    /// Rows and version before each step.
    copies: Vec<(BTreeMap<u8, Row>, u64)>,
    reads: u64,
}

impl Simulation {
    pub fn new() -> Self {
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
            now: Instant::now(),
        };
        (0..UPSTREAMS).for_each(|n| simulation.write(n));
        (0..HOSTS).for_each(|n| simulation.read(n));
        simulation
    }

    pub fn step(&mut self, step: Step) {
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
            Step::Lapse(n) => {
                self.position.version += 1;
                let row = Row {
                    version: self.position.version,
                    instance: None,
                };
                self.rows.insert(n, row);
            }
            Step::EndOutage(n) => self.hosts[n].missing().begin_grace_period(self.now),
            Step::Wait(time) => self.now += time,
            Step::Restore(ago) => {
                let at = self.copies.len().saturating_sub(ago + 1);
                let (rows, version) = self.copies[at].clone();
                self.rows = rows;
                self.position = Position {
                    era: self.position.era + 1,
                    version,
                };
            }
            Step::Read(n) => self.read(n),
            Step::Fetch { to, from } => self.fetch(to, from),
            Step::RestartHost(n) => self.hosts[n] = gateway_with(&[]),
        }
    }

    /// Writes the row of an upstream, or removes it.
    pub fn write(&mut self, n: u8) {
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
    pub fn read(&mut self, n: usize) {
        self.reads += 1;
        let now = self.now;
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
    pub fn known(&self, host: usize, n: u8) -> Option<(u64, bool)> {
        let fleet = self.hosts[host].fleet();
        let upstream = fleet.get(fleet.find(&instance(n, Stage::Decode).id)?)?;
        let Start(start) = upstream.instance.start?;
        let is_leaving = upstream.instance.is_draining || upstream.stated.is_leaving;
        Some((start, is_leaving))
    }
}
