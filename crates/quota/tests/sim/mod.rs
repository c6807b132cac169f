//! Simulates a fleet of hosts and the network between them in virtual time, with faults.

use quota::lending::Zone;
use quota::{Collect, Lending, Limit, TenantId};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

/// Rate and burst of the only tenant, and the slack and overage allowed in a window.
pub const QUOTA: f64 = 270_000.0;
pub const SLACK: f64 = 120_000.0;
pub const OVERAGE: f64 = 0.1;
/// Length of the windows in which usage is checked.
pub const WINDOW_MS: u64 = 8000;
/// Limit that the hosts enforce.
pub fn limit() -> Limit {
    let window = Duration::from_millis(WINDOW_MS);
    Limit::for_window(QUOTA, QUOTA, window, OVERAGE, SLACK)
}

/// Simulation step.
const STEP_MS: u64 = 10;
/// Latency of a datagram.
const LATENCY_MS: u64 = 10;
/// Time until all shares are lent and all buckets are full.
const WARM_UP_MS: u64 = 12_000;
const TENANT: TenantId = TenantId(1);

/// A fault or restart.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Pauses a host; datagrams to it are delivered afterwards.
    Freeze { host: usize, ms: u64 },
    /// Kills the process of a host, and restarts it after a delay.
    Kill { host: usize, ms: u64 },
    /// Stops the process of a host gracefully, and restarts it immediately.
    Stop { host: usize },
    /// Tells a host to stop, which serves for some time before it ends and restarts.
    Drain { host: usize, ms: u64 },
    /// Partitions the hosts whose bit is set from the others.
    Partition { side: u64, ms: u64 },
    /// Adds a random latency of up to `delay_ms` to datagrams.
    Delay { delay_ms: u64, ms: u64 },
    /// Drops datagrams at random.
    Loss { percent: u32, ms: u64 },
    /// Delivers each datagram again half a second later.
    Duplicate { ms: u64 },
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Collect(Collect),
    Lend { round: u64, share: f64 },
    Refund { number: u64 },
}

#[derive(Debug)]
struct Host {
    lending: Lending,
    zone: usize,
    /// Hosts of the zone, in order of address.
    peers: Vec<usize>,
    frozen_until: u64,
    dead_until: u64,
    /// End of the process, if it was told to stop.
    ends_at: Option<u64>,
    next_round_at: u64,
}

/// Units that a host was granted by a pool.
#[derive(Debug, Clone, Copy)]
struct Grant {
    at: u64,
    units: f64,
    from: usize,
    pool: usize,
    number: u64,
}

#[derive(Debug)]
pub struct Sim {
    base: Instant,
    now: u64,
    hosts: Vec<Host>,
    scheduled: Vec<(u64, Event)>,
    /// Delivery time, sender, receiver and content of datagrams in flight.
    sent: Vec<(u64, usize, usize, Message)>,
    partitions: Vec<(u64, u64)>,
    delay: (u64, u64),
    loss: (u32, u64),
    duplicate_until: u64,
    limit: Limit,
    seed: u64,
    number: u64,
    grants: Vec<Grant>,
    refused: usize,
    arrival_carry: f64,
}

fn ip(host: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0001 + host as u32))
}

impl Sim {
    /// A fleet with zones of the given sizes. All hosts start at the same time and know each
    /// other.
    pub fn new(zones: &[usize], seed: u64) -> Self {
        let base = Instant::now();
        let mut hosts = Vec::new();
        for (zone, count) in zones.iter().enumerate() {
            let first = hosts.len();
            for host in first..first + count {
                hosts.push(Host {
                    lending: Lending::new(ip(host), seed, base),
                    zone,
                    peers: (first..first + count).collect(),
                    frozen_until: 0,
                    dead_until: 0,
                    ends_at: None,
                    next_round_at: 0,
                });
            }
        }
        Self {
            base,
            now: 0,
            hosts,
            scheduled: Vec::new(),
            sent: Vec::new(),
            partitions: Vec::new(),
            delay: (0, 0),
            loss: (0, 0),
            duplicate_until: 0,
            limit: limit(),
            seed: seed | 1,
            number: 0,
            grants: Vec::new(),
            refused: 0,
            arrival_carry: 0.0,
        }
    }

    /// Schedules an event after the given time from now.
    pub fn schedule(&mut self, after_ms: u64, event: Event) {
        self.scheduled.push((self.now + after_ms, event));
    }

    /// Runs without load until all shares are lent and all buckets are full.
    pub fn warm_up(&mut self) {
        self.run(WARM_UP_MS, |_| {});
    }

    pub fn now_ms(&self) -> u64 {
        self.now
    }

    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    pub fn granted(&self) -> f64 {
        self.grants.iter().map(|g| g.units).sum()
    }

    pub fn refused(&self) -> usize {
        self.refused
    }

    fn random(&mut self) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed
    }

    /// Returns a random host among the first `hosts`.
    pub fn random_host(&mut self, hosts: usize) -> usize {
        self.random() as usize % hosts
    }

    /// Number of requests that arrive in this step at the given rate.
    pub fn arrivals(&mut self, per_s: f64) -> usize {
        self.arrival_carry += per_s * STEP_MS as f64 / 1000.0;
        let arrived = self.arrival_carry.floor();
        self.arrival_carry -= arrived;
        arrived as usize
    }

    fn at(&self, ms: u64) -> Instant {
        self.base + Duration::from_millis(ms)
    }

    fn is_running(&self, host: usize) -> bool {
        let host = &self.hosts[host];
        host.frozen_until <= self.now && host.dead_until <= self.now
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let side = |side: u64, host: usize| side >> (host % 64) & 1;
        self.partitions.iter().any(|(partition, until)| {
            *until > self.now && side(*partition, a) != side(*partition, b)
        })
    }

    fn zone(&self, host: usize) -> Zone {
        let peers = &self.hosts[host].peers;
        Zone {
            hosts: peers.len() as u32,
            place: peers.iter().filter(|p| **p > host).count() as u32,
        }
    }

    /// Runs for the given time, and calls `load` in each step.
    pub fn run(&mut self, ms: u64, mut load: impl FnMut(&mut Self)) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.apply_events();
            self.deliver();
            for host in 0..self.hosts.len() {
                if self.is_running(host) {
                    self.tick_host(host);
                }
            }
            load(self);
        }
    }

    fn apply_events(&mut self) {
        let now = self.now;
        let (due, rest) = self.scheduled.iter().partition(|(at, _)| *at <= now);
        self.scheduled = rest;
        let due: Vec<(u64, Event)> = due;
        for (_, event) in due {
            match event {
                Event::Freeze { host, ms } => self.hosts[host].frozen_until = now + ms,
                Event::Kill { host, ms } => self.restart(host, now + ms),
                Event::Stop { host } => {
                    self.release_shares(host);
                    self.restart(host, now);
                }
                Event::Drain { host, ms } => {
                    if self.hosts[host].lending.is_grantor() {
                        self.release_shares(host);
                    }
                    self.hosts[host].ends_at = Some(now + ms);
                }
                Event::Partition { side, ms } => self.partitions.push((side, now + ms)),
                Event::Delay { delay_ms, ms } => self.delay = (delay_ms, now + ms),
                Event::Loss { percent, ms } => self.loss = (percent, now + ms),
                Event::Duplicate { ms } => self.duplicate_until = now + ms,
            }
        }
    }

    fn release_shares(&mut self, host: usize) {
        let at = self.at(self.now);
        let collect = self.hosts[host].lending.stop_collecting(at);
        for peer in self.hosts[host].peers.clone() {
            self.send(host, peer, Message::Collect(collect));
        }
    }

    fn restart(&mut self, host: usize, at: u64) {
        self.hosts[host].ends_at = None;
        let (started, round) = (self.at(at), self.random());
        self.hosts[host].lending = Lending::new(ip(host), round, started);
        self.hosts[host].dead_until = at;
        self.hosts[host].next_round_at = at;
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from == to {
            return;
        }
        let (percent, until) = self.loss;
        if until > self.now && self.random() % 100 < u64::from(percent) {
            return;
        }
        let (delay, until) = self.delay;
        let mut at = self.now + LATENCY_MS;
        if until > self.now {
            at += self.random() % (delay + 1);
        }
        self.sent.push((at, from, to, message));
        if self.duplicate_until > self.now {
            self.sent.push((at + 500, from, to, message));
        }
    }

    fn deliver(&mut self) {
        let sent = std::mem::take(&mut self.sent);
        for (at, from, to, message) in sent {
            if at > self.now || self.hosts[to].frozen_until > self.now {
                self.sent.push((at, from, to, message));
                continue;
            }
            if self.hosts[to].dead_until > self.now || self.is_partitioned(from, to) {
                continue;
            }
            let now = self.at(self.now);
            let lending = &mut self.hosts[to].lending;
            match message {
                Message::Collect(collect) => {
                    let share = lending.answer_collect(ip(from), collect, from > to, now);
                    if let Some(share) = share {
                        let round = collect.round;
                        self.send(to, from, Message::Lend { round, share });
                    }
                }
                Message::Lend { round, share } => {
                    lending.receive_share(ip(from), round, share, now);
                }
                Message::Refund { number } => lending.pool.refund(ip(from), number, now),
            }
        }
    }

    fn tick_host(&mut self, host: usize) {
        if self.hosts[host].ends_at.is_some_and(|at| at <= self.now) {
            self.restart(host, self.now);
        }
        if self.hosts[host].next_round_at > self.now {
            return;
        }
        let (zone, now) = (self.zone(host), self.at(self.now));
        let hosts = self.hosts.len() as u32;
        let pause = quota::lending::collect_pause(zone.hosts).as_millis() as u64;
        self.hosts[host].next_round_at = self.now + pause;
        let is_stopping = self.hosts[host].ends_at.is_some();
        let lending = &mut self.hosts[host].lending;
        if is_stopping {
            lending.reclaim_share(now);
            return;
        }
        lending.set_host_count(hosts, false, now);
        lending.tick(zone, now);
        if !lending.is_grantor() {
            return;
        }
        let collect = lending.begin_round(zone.hosts, now);
        for peer in self.hosts[host].peers.clone() {
            self.send(host, peer, Message::Collect(collect));
        }
    }

    /// Requests units for host `from` from the pool of host `at`; `None` if it is unreachable.
    fn spend(&mut self, from: usize, at: usize, cost: f64) -> Option<bool> {
        if !self.is_running(from) || !self.is_running(at) || self.is_partitioned(from, at) {
            return None;
        }
        self.number += 1;
        let (number, limit, now) = (self.number, self.limit, self.at(self.now));
        let pool = &mut self.hosts[at].lending.pool;
        let spent = pool.spend(ip(from), number, TENANT, limit, cost, now);
        if spent.is_ok() {
            self.grants.push(Grant {
                at: self.now,
                units: cost,
                from,
                pool: at,
                number,
            });
        }
        Some(spent.is_ok())
    }

    /// Submits a request to a host, which tries its own pool if that has a share, its grantor's
    /// and those of the grantors of other zones.
    pub fn submit(&mut self, host: usize, cost: f64) {
        let now = self.at(self.now);
        let pool_has_share = self.hosts[host].lending.pool.share(now) > 0.0;
        let grantor = self.hosts[host].lending.grantor(self.zone(host), now);
        let own = self.hosts[host].zone;
        let others = (0..self.hosts.len()).filter(|h| self.hosts[*h].zone != own);
        let others = others.filter(|h| self.hosts[*h].lending.is_grantor());
        let mut targets: Vec<usize> = pool_has_share.then_some(host).into_iter().collect();
        targets.extend((0..self.hosts.len()).find(|h| Some(ip(*h)) == grantor));
        targets.extend(others);
        let is_granted = targets
            .into_iter()
            .any(|at| self.spend(host, at, cost) == Some(true));
        self.refused += usize::from(!is_granted);
    }

    /// Lets every host take all units of every reachable pool, and refunds some grants.
    pub fn drain_all_pools(&mut self) {
        for from in 0..self.hosts.len() {
            for at in 0..self.hosts.len() {
                for cost in [40_000.0, 9000.0, 300.0] {
                    while self.spend(from, at, cost) == Some(true) {}
                }
            }
        }
        // The refund is sent twice: a duplicate must have no effect.
        let is_unused = self.random().is_multiple_of(8);
        if let Some(grant) = self.grants.pop_if(|g| is_unused && g.at == self.now) {
            let refund = Message::Refund {
                number: grant.number,
            };
            self.send(grant.from, grant.pool, refund);
            self.send(grant.from, grant.pool, refund);
        }
    }

    /// Returns the maximum number of units granted within any window.
    pub fn max_window_usage(&self) -> f64 {
        self.max_usage_within(WINDOW_MS, 0)
    }

    /// Returns the maximum number of units granted within any window of the given length that
    /// begins at `from_ms` or later.
    pub fn max_usage_within(&self, window_ms: u64, from_ms: u64) -> f64 {
        let mut most: f64 = 0.0;
        let mut sum = 0.0;
        let mut first = 0;
        let grants: Vec<&Grant> = self.grants.iter().filter(|g| g.at >= from_ms).collect();
        for grant in &grants {
            sum += grant.units;
            while grants[first].at + window_ms <= grant.at {
                sum -= grants[first].units;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}
