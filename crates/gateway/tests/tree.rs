//! Tests 300 processes that exchange their load through trees, one for each availability zone,
//! without a network.
//!
//! This models the largest fleet: six zones, and each upstream is used by every host. Each process
//! must soon know the sum of the load of all others, even when hosts are lost, and what one process
//! sends must not grow with their number.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::instance;
use gateway::fleet::Fleet;
use gateway::peers::{Load, Location, PeerStatus, Peers, Scope};
use net::Meter;
use platform::{Instance, Position, Stage};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

const ZONES: u16 = 6;
const UPSTREAMS: u16 = 60;
/// Interval between two datagrams over a link.
const TICK: Duration = Duration::from_millis(25);
/// Ticks in which a status reaches all processes: seven hops, and as many again in case of loss.
const PROPAGATION_TICKS: u32 = 14;
/// Ticks until a silent process is replaced: 0.6 s without a datagram, as much again if the next
/// one is silent too, and the propagation of a status.
const REPLACEMENT_TICKS: u32 = 48 + PROPAGATION_TICKS;

/// The state of one process that concerns its peers.
struct Process {
    location: Location,
    peers: Peers,
    fleet: Fleet,
    own_loads: Vec<Load>,
    is_alive: bool,
    sent_bytes: usize,
    datagrams: usize,
}

struct System {
    processes: Vec<Process>,
    now: Instant,
    number: u64,
    rng: fastrand::Rng,
    /// Fraction of the datagrams that are lost.
    loss_rate: f64,
}

fn ip(n: u16) -> IpAddr {
    let (zone, host) = (n % ZONES, n / ZONES);
    IpAddr::V4(Ipv4Addr::new(10, zone as u8, 0, host as u8))
}

fn upstream(n: u16) -> Instance {
    Instance {
        id: format!("i-{n}"),
        ..instance(1, Stage::Decode)
    }
}

impl System {
    fn new(count: u16) -> Self {
        let processes = (0..count).map(|n| Process::new(n, count)).collect();
        Self {
            processes,
            now: Instant::now(),
            number: 0,
            rng: fastrand::Rng::with_seed(1),
            loss_rate: 0.0,
        }
    }

    /// Gives each process random load of its own on up to four upstreams.
    fn randomize_loads(&mut self) {
        for process in &mut self.processes {
            let tags: Vec<u32> = process.fleet.iter().map(|(_, u)| u.tag()).collect();
            let mut own_loads: Vec<Load> = Vec::new();
            for _ in 0..4 {
                let at = self.rng.usize(0..tags.len());
                own_loads.push(Load {
                    upstream: tags[at],
                    waiting: 1,
                    tokens: self.rng.u32(1..5000),
                    running: 2,
                    streams: 0,
                });
            }
            own_loads.sort_by_key(|load| load.upstream);
            own_loads.dedup_by_key(|load| load.upstream);
            process.own_loads = own_loads;
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.number += 1;
        for from in 0..self.processes.len() {
            for (to, status) in self.processes[from].send_status(self.number, self.now) {
                if self.rng.f64() < self.loss_rate {
                    continue;
                }
                let sender = self.processes[from].location.ip;
                let to = self
                    .processes
                    .iter_mut()
                    .find(|p| p.location.ip == to && p.is_alive);
                if let Some(to) = to {
                    to.peers.receive(sender, status, &mut to.fleet, self.now);
                }
            }
        }
    }

    fn ticks(&mut self, count: u32) {
        (0..count).for_each(|_| self.tick());
    }

    /// Number of live processes that don't know the sum of the load of all others.
    fn count_wrong_views(&self) -> usize {
        let live: Vec<&Process> = self.processes.iter().filter(|p| p.is_alive).collect();
        let mut sums = vec![0u32; UPSTREAMS.into()];
        let tags: Vec<u32> = live[0].fleet.iter().map(|(_, u)| u.tag()).collect();
        let index_of = |load: &Load| tags.iter().position(|t| *t == load.upstream).unwrap();
        for load in live.iter().flat_map(|p| &p.own_loads) {
            sums[index_of(load)] += load.tokens;
        }
        let is_wrong = |p: &&&Process| {
            let mut expected = sums.clone();
            p.own_loads
                .iter()
                .for_each(|load| expected[index_of(load)] -= load.tokens);
            let seen: Vec<u32> = p.fleet.iter().map(|(_, u)| u.peer_load.tokens).collect();
            seen != expected
        };
        live.iter().filter(is_wrong).count()
    }
}

impl Process {
    fn new(n: u16, processes: u16) -> Self {
        let mut fleet = Fleet::default();
        for n in 0..UPSTREAMS {
            fleet.merge(upstream(n), &Meter::default());
        }
        let mut peers = Peers::default();
        for other in (0..processes).filter(|other| *other != n) {
            let zone = u32::from(other % ZONES) + 1;
            peers.add(&format!("edge-{other}"), ip(other), zone);
        }
        peers.set_membership_known(Instant::now());
        Self {
            location: Location {
                ip: ip(n),
                zone: u32::from(n % ZONES) + 1,
            },
            peers,
            fleet,
            own_loads: Vec::new(),
            is_alive: true,
            sent_bytes: 0,
            datagrams: 0,
        }
    }

    fn send_status(&mut self, number: u64, now: Instant) -> Vec<(IpAddr, PeerStatus)> {
        if !self.is_alive {
            return Vec::new();
        }
        self.peers.expire(&mut self.fleet, now);
        self.peers
            .choose_parent(self.location, &mut self.fleet, now);
        let own = PeerStatus {
            start: 1,
            number,
            scope: Scope::Direct,
            zone: self.location.zone,
            processes: 1,
            config: 0,
            era: 1,
            members: Position::NONE,
            registry: Position::NONE,
            registry_ms: 0,
            registry_at_ms: 0,
            view: 0,
            loads: self.own_loads.clone(),
            changing: Vec::new(),
            placements: Vec::new(),
            crashes: Vec::new(),
            statements: Vec::new(),
        };
        let outgoing = self.peers.outgoing(self.location, &own, now);
        let bytes = outgoing.iter().map(|(_, b)| wire::encode_compact(b).len());
        self.sent_bytes += bytes.sum::<usize>();
        self.datagrams += outgoing.len();
        outgoing
    }
}

#[test]
fn three_hundred_processes_know_the_load_of_all_others() {
    let mut system = System::new(300);
    system.randomize_loads();
    system.ticks(PROPAGATION_TICKS);
    assert_eq!(system.count_wrong_views(), 0);
    system.randomize_loads();
    system.ticks(PROPAGATION_TICKS);
    assert_eq!(system.count_wrong_views(), 0);
    let now = system.now;
    let ranks: Vec<u32> = system
        .processes
        .iter()
        .map(|p| p.peers.rank(p.location, now))
        .collect();
    assert_eq!(ranks.iter().filter(|rank| **rank == 0).count(), 1);
    assert_eq!(ranks.iter().filter(|rank| **rank < 2).count(), 2);
    for process in &system.processes {
        assert_eq!(process.peers.process_count(now), 299);
    }
}

#[test]
fn the_datagrams_of_a_process_do_not_grow_with_the_fleet() {
    let mut busiest = Vec::new();
    for processes in [100, 300] {
        let mut system = System::new(processes);
        system.randomize_loads();
        system.ticks(PROPAGATION_TICKS);
        system.processes.iter_mut().for_each(|p| p.datagrams = 0);
        system.ticks(40);
        let mut sent: Vec<usize> = system.processes.iter().map(|p| p.datagrams).collect();
        sent.sort_unstable();
        let most = sent[sent.len() - 1];
        // In each of 40 ticks: one to the parent or five to other roots, and four to children.
        assert!(most <= 9 * 40, "{most}");
        busiest.push(most);
    }
    assert_eq!(busiest[0], busiest[1]);
}

#[test]
fn a_lost_datagram_is_compensated_by_the_next() {
    let mut system = System::new(120);
    system.loss_rate = 0.05;
    system.randomize_loads();
    system.ticks(PROPAGATION_TICKS * 2);
    system.loss_rate = 0.0;
    system.ticks(PROPAGATION_TICKS);
    assert_eq!(system.count_wrong_views(), 0);
}

#[test]
fn the_tree_recovers_when_half_of_the_processes_are_killed() {
    let mut system = System::new(300);
    system.randomize_loads();
    system.ticks(PROPAGATION_TICKS);
    // The first processes of each zone are killed, on which most others depend.
    for n in 0..150 {
        system.processes[n].is_alive = false;
    }
    system.ticks(REPLACEMENT_TICKS * 5);
    assert_eq!(system.count_wrong_views(), 0);
    let now = system.now;
    let alive = system.processes.iter().filter(|p| p.is_alive);
    let first_ranked = alive.filter(|p| p.peers.rank(p.location, now) == 0);
    assert_eq!(first_ranked.count(), 1);
    // They restart and know only what is in the store.
    for n in 0..150u16 {
        system.processes[usize::from(n)] = Process::new(n, 300);
    }
    system.randomize_loads();
    system.ticks(REPLACEMENT_TICKS);
    let avoidance_ticks = MAX_AVOIDANCE_MS / (TICK.as_millis() as u32);
    system.ticks(avoidance_ticks);
    assert_eq!(system.count_wrong_views(), 0);
}

/// Maximum time for which a process that didn't answer is avoided, in milliseconds.
const MAX_AVOIDANCE_MS: u32 = 8000;

#[test]
fn an_isolated_process_uses_only_its_share_of_the_budget() {
    let mut system = System::new(103);
    system.ticks(PROPAGATION_TICKS);
    // One process is isolated from all others.
    let now = system.now + Duration::from_secs(60);
    let isolated = &mut system.processes[5];
    isolated.peers.expire(&mut isolated.fleet, now);
    assert_eq!(isolated.peers.live(now).count(), 0);
    assert_eq!(isolated.peers.process_count(now), 102);
    // A process that doesn't know its peers yet uses even less.
    assert!(Peers::default().process_count(now) >= 1000);
}

#[test]
fn a_process_refused_by_the_store_at_its_start_is_found_by_the_others() {
    let mut system = System::new(120);
    system.randomize_loads();
    system.ticks(PROPAGATION_TICKS);
    // A process at the end of its zone, which has no children, and one in the middle. They are away
    // until their peers no longer send to them.
    for n in [119, 20] {
        system.processes[n].is_alive = false;
    }
    system.ticks(REPLACEMENT_TICKS);
    for n in [119, 20] {
        let at = usize::from(n);
        let own_loads = system.processes[at].own_loads.clone();
        system.processes[at] = Process::new(n, 120);
        system.processes[at].peers = Peers::default();
        system.processes[at].own_loads = own_loads;
    }
    // The usual parent of each contacts it every two seconds.
    system.ticks(80 + REPLACEMENT_TICKS);
    let now = system.now;
    for n in [119, 20] {
        assert!(
            system.processes[n].peers.live(now).count() > 0,
            "{n} receives nothing"
        );
    }
    assert_eq!(system.count_wrong_views(), 0);
}
