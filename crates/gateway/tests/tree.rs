//! Three hundred processes that tell each other of their load through trees, one for
//! each availability zone, without a network.
//!
//! The pattern is the large fleet: six zones, each upstream used by every host. What
//! each hears must be the sum of what all others do, soon, also when hosts are lost;
//! and what one host sends must not grow with their number.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::instance;
use gateway::fleet::Fleet;
use gateway::peers::{Load, Location, PeerStatus, Peers, Scope};
use net::Meter;
use platform::{Instance, Stage};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

const ZONES: u16 = 6;
const UPSTREAMS: u16 = 60;
/// Time between two datagrams over a link.
const TICK: Duration = Duration::from_millis(25);
/// Ticks in which a word reaches everybody: seven steps, and as many again for a loss.
const SPREAD: u32 = 14;
/// Ticks until one that fell silent is replaced: 0.6 s without a word, as much again
/// if the next is silent too, and the time for a word.
const REPLACED: u32 = 48 + SPREAD;

/// One process, as far as its peers are concerned.
struct Process {
    place: Location,
    peers: Peers,
    fleet: Fleet,
    own: Vec<Load>,
    is_alive: bool,
    sent: usize,
    datagrams: usize,
}

struct System {
    all: Vec<Process>,
    now: Instant,
    number: u64,
    rng: fastrand::Rng,
    /// Share of datagrams that are lost.
    loss: f64,
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
    fn new(processes: u16) -> Self {
        let all = (0..processes).map(|n| Process::new(n, processes)).collect();
        Self {
            all,
            now: Instant::now(),
            number: 0,
            rng: fastrand::Rng::with_seed(1),
            loss: 0.0,
        }
    }

    /// Gives each process some load of its own, a few upstreams each.
    fn draw_loads(&mut self) {
        for process in &mut self.all {
            let tags: Vec<u32> = process.fleet.iter().map(|(_, u)| u.tag()).collect();
            let mut own: Vec<Load> = Vec::new();
            for _ in 0..4 {
                let at = self.rng.usize(0..tags.len());
                own.push(Load {
                    upstream: tags[at],
                    waiting: 1,
                    tokens: self.rng.u32(1..5000),
                    running: 2,
                    streams: 0,
                });
            }
            own.sort_by_key(|load| load.upstream);
            own.dedup_by_key(|load| load.upstream);
            process.own = own;
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.number += 1;
        for from in 0..self.all.len() {
            for (to, beat) in self.all[from].tell(self.number, self.now) {
                if self.rng.f64() < self.loss {
                    continue;
                }
                let sender = self.all[from].place.ip;
                let to = self.all.iter_mut().find(|p| p.place.ip == to && p.is_alive);
                if let Some(to) = to {
                    to.peers.receive(sender, beat, &mut to.fleet, self.now);
                }
            }
        }
    }

    fn ticks(&mut self, count: u32) {
        (0..count).for_each(|_| self.tick());
    }

    /// Processes whose view of the others' load isn't the sum of it.
    fn wrong(&self) -> usize {
        let live: Vec<&Process> = self.all.iter().filter(|p| p.is_alive).collect();
        let mut sums = vec![0u32; UPSTREAMS.into()];
        let tags: Vec<u32> = live[0].fleet.iter().map(|(_, u)| u.tag()).collect();
        let at = |load: &Load| tags.iter().position(|t| *t == load.upstream).unwrap();
        for load in live.iter().flat_map(|p| &p.own) {
            sums[at(load)] += load.tokens;
        }
        let is_wrong = |p: &&&Process| {
            let mut expected = sums.clone();
            p.own
                .iter()
                .for_each(|load| expected[at(load)] -= load.tokens);
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
        peers.set_membership_known();
        Self {
            place: Location {
                ip: ip(n),
                zone: u32::from(n % ZONES) + 1,
            },
            peers,
            fleet,
            own: Vec::new(),
            is_alive: true,
            sent: 0,
            datagrams: 0,
        }
    }

    fn tell(&mut self, number: u64, now: Instant) -> Vec<(IpAddr, PeerStatus)> {
        if !self.is_alive {
            return Vec::new();
        }
        self.peers.expire(&mut self.fleet, now);
        self.peers.choose_parent(self.place, &mut self.fleet, now);
        let own = PeerStatus {
            start: 1,
            number,
            scope: Scope::Direct,
            zone: self.place.zone,
            processes: 1,
            config: 0,
            members: 0,
            registry: 0,
            registry_ms: 0,
            registry_at_ms: 0,
            view: 0,
            loads: self.own.clone(),
            changing: Vec::new(),
            placements: Vec::new(),
            crashes: Vec::new(),
        };
        let told = self.peers.outgoing(self.place, &own, now);
        let bytes = told.iter().map(|(_, b)| wire::encode_compact(b).len());
        self.sent += bytes.sum::<usize>();
        self.datagrams += told.len();
        told
    }
}

#[test]
fn three_hundred_processes_know_the_load_of_all_others() {
    let mut system = System::new(300);
    system.draw_loads();
    system.ticks(SPREAD);
    assert_eq!(system.wrong(), 0);
    system.draw_loads();
    system.ticks(SPREAD);
    assert_eq!(system.wrong(), 0);
    let now = system.now;
    let first: Vec<u32> = system
        .all
        .iter()
        .map(|p| p.peers.rank(p.place, now))
        .collect();
    assert_eq!(first.iter().filter(|rank| **rank == 0).count(), 1);
    assert_eq!(first.iter().filter(|rank| **rank < 2).count(), 2);
    for process in &system.all {
        assert_eq!(process.peers.process_count(now), 299);
    }
}

#[test]
fn what_a_process_sends_does_not_grow_with_their_number() {
    let mut busiest = Vec::new();
    for processes in [100, 300] {
        let mut system = System::new(processes);
        system.draw_loads();
        system.ticks(SPREAD);
        system.all.iter_mut().for_each(|p| p.datagrams = 0);
        system.ticks(40);
        let mut sent: Vec<usize> = system.all.iter().map(|p| p.datagrams).collect();
        sent.sort_unstable();
        let most = sent[sent.len() - 1];
        // One up, or five to other roots, and four down, in each of 40 ticks.
        assert!(most <= 9 * 40, "{most}");
        busiest.push(most);
    }
    assert_eq!(busiest[0], busiest[1]);
}

#[test]
fn a_lost_datagram_is_made_good_by_the_next() {
    let mut system = System::new(120);
    system.loss = 0.05;
    system.draw_loads();
    system.ticks(SPREAD * 2);
    system.loss = 0.0;
    system.ticks(SPREAD);
    assert_eq!(system.wrong(), 0);
}

#[test]
fn half_of_the_processes_are_killed_at_once() {
    let mut system = System::new(300);
    system.draw_loads();
    system.ticks(SPREAD);
    // The first ones of each zone are lost, on which most others depend.
    for n in 0..150 {
        system.all[n].is_alive = false;
    }
    system.ticks(REPLACED * 5);
    assert_eq!(system.wrong(), 0);
    let now = system.now;
    let alive = system.all.iter().filter(|p| p.is_alive);
    let first = alive.filter(|p| p.peers.rank(p.place, now) == 0);
    assert_eq!(first.count(), 1);
    // They come back, knowing only what the store says.
    for n in 0..150u16 {
        system.all[usize::from(n)] = Process::new(n, 300);
    }
    system.draw_loads();
    system.ticks(REPLACED);
    let late = AVOIDED_MOST / (TICK.as_millis() as u32);
    system.ticks(late);
    assert_eq!(system.wrong(), 0);
}

/// Longest time for which one that didn't answer isn't tried again, in milliseconds.
const AVOIDED_MOST: u32 = 8000;

#[test]
fn a_process_that_hears_nobody_takes_its_share_of_the_budget_only() {
    let mut system = System::new(103);
    system.ticks(SPREAD);
    // It is cut off from all others.
    let now = system.now + Duration::from_secs(60);
    let cut = &mut system.all[5];
    cut.peers.expire(&mut cut.fleet, now);
    assert_eq!(cut.peers.live(now).count(), 0);
    assert_eq!(cut.peers.process_count(now), 102);
    // One that knows nothing of its peers yet takes less still.
    assert!(Peers::default().process_count(now) >= 1000);
}

#[test]
fn a_process_that_the_store_refuses_at_its_start_is_found_by_the_others() {
    let mut system = System::new(120);
    system.draw_loads();
    system.ticks(SPREAD);
    // The last of its zone, to which nobody reports, and one in the middle. They are
    // away for longer than their peers go on telling them.
    for n in [119, 20] {
        system.all[n].is_alive = false;
    }
    system.ticks(REPLACED);
    for n in [119, 20] {
        let at = usize::from(n);
        let own = system.all[at].own.clone();
        system.all[at] = Process::new(n, 120);
        system.all[at].peers = Peers::default();
        system.all[at].own = own;
    }
    // Those that it usually reports to ask each two seconds.
    system.ticks(80 + REPLACED);
    let now = system.now;
    for n in [119, 20] {
        assert!(
            system.all[n].peers.live(now).count() > 0,
            "{n} hears nobody"
        );
    }
    assert_eq!(system.wrong(), 0);
}
