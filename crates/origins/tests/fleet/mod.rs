//! Simulates hosts that replicate origins, their network and the store in virtual time.

use origins::{
    HostLocation, HostStart, HostStatus, Lookup, MAX_STREAM_LIFETIME, NameHash, Origin,
    OriginRecord, Replicas, ReplicatedBy, StreamId,
};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

/// Interval between two rounds of datagrams.
const TICK: Duration = Duration::from_millis(40);
const ZONES: usize = 3;
/// Maximum number of origins in a row.
const MAX_ROW_RECORDS: usize = 799;
/// Time from a stop signal to the end of the process, in milliseconds.
const STOP_MS: std::ops::Range<u64> = 2300..7800;
/// Time from the end of a process to the next start, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 100..2000;
/// Longest time for which a host is cut off, in milliseconds.
const MAX_CUT_MS: u64 = 3000;
/// In a faulty network, one in this many ticks cuts a host off or makes the store fail.
const FAULT_ONE_IN: u32 = 40;
/// In a faulty network, one in this many datagrams is lost.
const LOSS_ONE_IN: u32 = 20;

/// Reliability of the network and the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Network {
    /// Nothing is lost.
    Reliable,
    /// Datagrams are lost, hosts are cut off, and the store fails.
    Faulty,
}

struct Process {
    start: u32,
    started_at: Instant,
    /// Time at which it ends, if it was told to stop.
    ends_at: Option<Instant>,
    replicas: Replicas,
}

struct Host {
    location: HostLocation,
    process: Option<Process>,
    starts_at: Option<Instant>,
    cut_until: Option<Instant>,
    /// Whether the list of processes contains it.
    is_listed: bool,
    is_removed: bool,
}

/// A stream that was begun.
#[derive(Debug, Clone, Copy)]
struct Stream {
    id: StreamId,
    began_at: Instant,
}

/// Origins in a row of a host in the store.
struct Row {
    ip: IpAddr,
    streams: Vec<(StreamId, OriginRecord)>,
}

/// Hosts, their network and the store.
pub struct Fleet {
    now: Instant,
    hosts: Vec<Host>,
    streams: Vec<Stream>,
    rows: Vec<Row>,
    store_fails_until: Option<Instant>,
    network: Network,
    next_start: u32,
    rng: fastrand::Rng,
    /// Number of streams that were continued at running hosts that weren't cut off.
    pub taken_up: usize,
    /// Number of those that went on.
    pub resumed: usize,
    /// Streams whose origins weren't found, with the time since they began.
    pub unknown: Vec<(usize, Duration)>,
}

fn location(n: usize) -> HostLocation {
    let ip = Ipv4Addr::from(0x0a00_0001 + n as u32);
    HostLocation {
        ip: IpAddr::V4(ip),
        zone: (n % ZONES) as u32,
    }
}

impl Process {
    fn status(&self, now: Instant) -> HostStatus {
        HostStatus {
            start: self.start,
            is_stopping: self.ends_at.is_some(),
            running_for: now - self.started_at,
        }
    }
}

impl Fleet {
    /// Starts a fleet.
    pub fn new(hosts: usize, network: Network, seed: u64) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            hosts: Vec::new(),
            streams: Vec::new(),
            rows: Vec::new(),
            store_fails_until: None,
            network,
            next_start: 0,
            rng: fastrand::Rng::with_seed(seed),
            taken_up: 0,
            resumed: 0,
            unknown: Vec::new(),
        };
        for n in 0..hosts {
            fleet.add_host(n);
            fleet.start(n);
        }
        fleet.update_members();
        fleet
    }

    /// Number of hosts, including removed ones.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    fn add_host(&mut self, n: usize) {
        self.hosts.push(Host {
            location: location(n),
            process: None,
            starts_at: None,
            cut_until: None,
            is_listed: false,
            is_removed: false,
        });
    }

    fn start(&mut self, n: usize) {
        self.next_start += 1;
        let host = &mut self.hosts[n];
        host.starts_at = None;
        host.is_listed = true;
        let mut replicas = Replicas::new(host.location);
        // Origins in the row that the host's former process wrote.
        for row in self.rows.iter().filter(|row| row.ip == host.location.ip) {
            for (id, record) in &row.streams {
                replicas.record(*id, *record, None, ReplicatedBy::ThisHost, self.now);
            }
        }
        host.process = Some(Process {
            start: self.next_start,
            started_at: self.now,
            ends_at: None,
            replicas,
        });
    }

    fn is_cut(&self, n: usize) -> bool {
        self.hosts[n]
            .cut_until
            .is_some_and(|until| self.now < until)
    }

    fn is_store_available(&self, n: usize) -> bool {
        !self.is_cut(n) && self.store_fails_until.is_none_or(|until| self.now >= until)
    }

    fn number(&self, ip: IpAddr) -> usize {
        let at = self
            .hosts
            .binary_search_by_key(&ip, |host| host.location.ip);
        at.unwrap()
    }

    fn choose(&self, n: usize) -> usize {
        n % self.hosts.len()
    }

    /// Tells a host to stop.
    pub fn stop(&mut self, n: usize) {
        let n = self.choose(n);
        let ends_at = self.now + Duration::from_millis(self.rng.u64(STOP_MS));
        if let Some(process) = &mut self.hosts[n].process {
            process.ends_at.get_or_insert(ends_at);
            self.announce(n);
        }
    }

    /// Notifies the hosts that a process heard recently that it is stopping.
    fn announce(&mut self, n: usize) {
        let now = self.now;
        let Some(process) = &self.hosts[n].process else {
            return;
        };
        let status = process.status(now);
        let heard = process.replicas.answering_hosts();
        let ip = self.hosts[n].location.ip;
        for to in heard {
            let to = self.number(to);
            if self.is_delivered(n, to)
                && let Some(process) = &mut self.hosts[to].process
            {
                process.replicas.record_heard(ip, status, now);
            }
        }
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, n: usize) {
        let n = self.choose(n);
        if self.hosts[n].process.take().is_some() {
            let down = Duration::from_millis(self.rng.u64(DOWN_MS));
            self.hosts[n].starts_at = Some(self.now + down);
        }
    }

    /// Removes a host permanently, and adds another one.
    pub fn replace(&mut self, n: usize) {
        let n = self.choose(n);
        if self.hosts[n].is_removed {
            return;
        }
        self.hosts[n].is_removed = true;
        self.stop(n);
        let added = self.hosts.len();
        self.add_host(added);
        self.start(added);
        self.update_members();
    }

    /// Begins a stream at a host, if its process is running.
    pub fn begin(&mut self, n: usize) {
        let n = self.choose(n);
        let id = StreamId::of(&self.streams.len().to_string());
        let now = self.now;
        let record = OriginRecord {
            origin: Origin {
                route: NameHash(1),
                service: NameHash(2),
                version: NameHash(self.streams.len() as u64),
                upstream: 3,
            },
            began_at: now,
            expires_at: now + MAX_STREAM_LIFETIME,
        };
        let Some(process) = &mut self.hosts[n].process else {
            return;
        };
        process
            .replicas
            .record(id, record, None, ReplicatedBy::ThisHost, now);
        let targets = process.replicas.due_copies_of(id, now);
        self.streams.push(Stream { id, began_at: now });
        for ip in targets {
            self.send_copies(n, self.number(ip), &[(id, record)]);
        }
    }

    /// Continues a stream, counted from the latest, at a host.
    pub fn take_up(&mut self, n: usize, back: usize) {
        let n = self.choose(n);
        if let Some(at) = self.streams.len().checked_sub(back + 1) {
            self.take_up_at(n, at);
        }
    }

    /// Continues all streams, each at a random host.
    pub fn take_up_all(&mut self) {
        for at in 0..self.streams.len() {
            let n = self.rng.usize(..self.hosts.len());
            self.take_up_at(n, at);
        }
    }

    fn take_up_at(&mut self, n: usize, at: usize) {
        let Stream { id, began_at } = self.streams[at];
        let is_up = self.hosts[n].process.is_some() && !self.is_cut(n);
        if !is_up || self.now - began_at >= MAX_STREAM_LIFETIME {
            return;
        }
        self.taken_up += 1;
        match self.find(n, id) {
            Some(version) => {
                assert_eq!(
                    version,
                    NameHash(at as u64),
                    "found the origin of another stream"
                );
                self.resumed += 1;
            }
            None => self.unknown.push((at, self.now - began_at)),
        }
    }

    fn find(&mut self, n: usize, id: StreamId) -> Option<NameHash> {
        let now = self.now;
        let replicas = &self.hosts[n].process.as_ref()?.replicas;
        if let Lookup::Known(record) = replicas.find(id, now) {
            return Some(record.origin.version);
        }
        let mut search = replicas.search(id);
        loop {
            let next = search.next_round();
            if next.is_empty() {
                break;
            }
            for ip in next {
                let to = self.number(ip);
                if !self.is_delivered(n, to) || !self.is_delivered(to, n) {
                    continue;
                }
                let Some(asked) = &self.hosts[to].process else {
                    continue;
                };
                let Lookup::Known(record) = asked.replicas.find(id, now) else {
                    search.record_unaware(ip);
                    continue;
                };
                let holder = HostStart {
                    ip,
                    start: asked.start,
                };
                let process = self.hosts[n].process.as_mut()?;
                process
                    .replicas
                    .record(id, record, Some(holder), ReplicatedBy::ThisHost, now);
                return Some(record.origin.version);
            }
        }
        if !self.is_store_available(n) {
            return None;
        }
        let all = self.rows.iter().flat_map(|row| &row.streams);
        let mut found = all
            .filter(|(stream, _)| *stream == id)
            .map(|(_, record)| *record);
        let record = found.next()?;
        let process = self.hosts[n].process.as_mut()?;
        process
            .replicas
            .record(id, record, None, ReplicatedBy::OtherHost, now);
        Some(record.origin.version)
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_lost = self.network == Network::Faulty && self.rng.u32(..LOSS_ONE_IN) == 0;
        let is_up = |n: usize| self.hosts[n].process.is_some() && !self.is_cut(n);
        !is_lost && is_up(from) && is_up(to)
    }

    /// Sends copies, or a probe if `copies` is empty.
    fn send_copies(&mut self, from: usize, to: usize, copies: &[(StreamId, OriginRecord)]) {
        let now = self.now;
        if !self.is_delivered(from, to) {
            return;
        }
        let [sender, receiver] = [from, to].map(|n| {
            let process = self.hosts[n].process.as_ref().unwrap();
            let holder = HostStart {
                ip: self.hosts[n].location.ip,
                start: process.start,
            };
            (holder, process.status(now))
        });
        if let Some(process) = &mut self.hosts[to].process {
            process.replicas.record_heard(sender.0.ip, sender.1, now);
            for (id, record) in copies {
                let (holder, replicated_by) = (Some(sender.0), ReplicatedBy::ThisHost);
                process
                    .replicas
                    .record(*id, *record, holder, replicated_by, now);
            }
        }
        if self.is_delivered(to, from)
            && let Some(process) = &mut self.hosts[from].process
        {
            process
                .replicas
                .record_heard(receiver.0.ip, receiver.1, now);
            for (id, _) in copies {
                process.replicas.confirm(*id, receiver.0);
            }
        }
    }

    /// Advances the virtual time.
    pub fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = until.min(self.now + TICK);
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.inject_fault();
        let mut has_changed = false;
        for n in 0..self.hosts.len() {
            has_changed |= self.end_or_start(n);
        }
        if has_changed {
            self.update_members();
        }
        for n in 0..self.hosts.len() {
            let Some(process) = &mut self.hosts[n].process else {
                continue;
            };
            let due = process.replicas.due(self.now);
            for (ip, copies) in due.copies {
                self.send_copies(n, self.number(ip), &copies);
            }
            for ip in due.probes {
                self.send_copies(n, self.number(ip), &[]);
            }
        }
    }

    /// Ends or starts the process of a host if that is due; returns whether it did.
    fn end_or_start(&mut self, n: usize) -> bool {
        let now = self.now;
        let host = &mut self.hosts[n];
        if host.starts_at.is_some_and(|at| now >= at) {
            self.start(n);
            return true;
        }
        let is_over = host
            .process
            .as_ref()
            .and_then(|p| p.ends_at)
            .is_some_and(|at| now >= at);
        if !is_over {
            return false;
        }
        let Some(process) = host.process.take() else {
            return false;
        };
        host.is_listed = false;
        if !host.is_removed {
            host.starts_at = Some(now + Duration::from_millis(self.rng.u64(DOWN_MS)));
        }
        let ip = host.location.ip;
        let streams = process.replicas.under_replicated(MAX_ROW_RECORDS, now);
        if self.is_store_available(n) {
            self.rows.retain(|row| row.ip != ip);
            if !streams.is_empty() {
                self.rows.push(Row { ip, streams });
            }
        }
        true
    }

    /// Sends the list of hosts to all processes that aren't cut off.
    fn update_members(&mut self) {
        let listed: Vec<HostLocation> = self
            .hosts
            .iter()
            .filter(|host| host.is_listed)
            .map(|host| host.location)
            .collect();
        for n in 0..self.hosts.len() {
            if !self.is_cut(n)
                && let Some(process) = &mut self.hosts[n].process
            {
                process.replicas.set_members(listed.clone());
            }
        }
    }

    fn inject_fault(&mut self) {
        if self.network == Network::Reliable || self.rng.u32(..FAULT_ONE_IN) > 0 {
            return;
        }
        let until = self.now + Duration::from_millis(self.rng.u64(..MAX_CUT_MS));
        match self.rng.u32(..4) {
            0 => self.store_fails_until = Some(until),
            _ => {
                let n = self.rng.usize(..self.hosts.len());
                self.hosts[n].cut_until = Some(until);
            }
        }
    }
}
