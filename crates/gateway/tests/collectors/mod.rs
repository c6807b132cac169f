//! Four processes that collect usage, in virtual time, with a store and datagrams that get lost.

use gateway::duty::usage::collection::{Collection, MaxWaits, Readiness, Span};
use gateway::duty::usage::holder::{Action, Holder, Windows};
use gateway::duty::usage::ledger::Ledger;
use gateway::duty::usage::request_log::RequestLog;
use gateway::follow::outage::OutageTracker;
use platform::usage::{UsageRead, UsageReport};
use platform::{Lease, Position, WriteAck};
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

pub const PROCESSES: usize = 4;
const COLLECTORS: usize = 2;
const WINDOW_MS: u64 = 1000;
pub const TICK_MS: u64 = 50;
pub const POLL_MS: u64 = 250;
const SETTLE_MS: u64 = 1600;
const DUE: Duration = Duration::from_secs(10);
const UNPOLLED_MS: u64 = 3000;
const STOP_MS: u64 = 1500;
/// Time in which a process that was paused is polled.
const ANSWERING_MS: u64 = 2000;

#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Kill(usize),
    Stop(usize),
    Start(usize),
    /// Pauses or resumes a process.
    Pause(usize),
    StoreDown,
    StoreUp,
}

pub fn ip(n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, n as u8 + 1))
}

/// A process. Its start's number is the only tenant, so that a report shows whose requests it has.
struct Process {
    start: u32,
    log: RequestLog,
    ledger: Ledger,
    collection: Collection,
    holder: Holder,
    peers: BTreeSet<usize>,
    is_membership_known: bool,
    polled_at: u64,
    collectors: BTreeSet<usize>,
    is_paused: bool,
    resumed_at: u64,
    /// Whether it was told to stop, which it notices when it runs.
    is_stopping: bool,
    stops_at: Option<u64>,
    outage: OutageTracker,
}

/// Position of a version in the only era of the store.
fn position(version: u64) -> Position {
    Position { era: 1, version }
}

#[derive(Default)]
struct Rows {
    processes: BTreeSet<usize>,
    lease: Option<Lease>,
    version: u64,
    report: Option<UsageReport>,
}

pub struct Fleet {
    base: Instant,
    now_ms: u64,
    starts: u32,
    processes: Vec<Option<Process>>,
    rows: Rows,
    pub is_store_up: bool,
    rng: fastrand::Rng,
    pub decided: usize,
    requests: u64,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        let mut fleet = Self {
            base: Instant::now(),
            now_ms: 0,
            starts: 0,
            processes: (0..PROCESSES).map(|_| None).collect(),
            rows: Rows::default(),
            is_store_up: true,
            rng: fastrand::Rng::with_seed(seed),
            decided: 0,
            requests: 0,
        };
        (0..PROCESSES).for_each(|n| fleet.start(n));
        fleet
    }

    fn at(&self, ms: u64) -> Instant {
        self.base + Duration::from_millis(ms)
    }

    fn start(&mut self, n: usize) {
        if self.processes[n].is_some() {
            return;
        }
        self.starts += 1;
        self.processes[n] = Some(Process {
            start: self.starts,
            log: RequestLog::new(self.starts, || 0),
            ledger: Ledger::default(),
            collection: Collection::default(),
            holder: Holder::new(ip(n).to_string(), Duration::from_millis(500)),
            peers: BTreeSet::new(),
            is_membership_known: false,
            polled_at: self.now_ms,
            collectors: BTreeSet::new(),
            is_paused: false,
            resumed_at: 0,
            is_stopping: false,
            stops_at: None,
            outage: OutageTracker::default(),
        });
    }

    pub fn inject(&mut self, fault: Fault) {
        let now_ms = self.now_ms;
        match fault {
            Fault::Kill(n) => self.processes[n] = None,
            Fault::Stop(n) => {
                if let Some(process) = &mut self.processes[n] {
                    process.is_stopping = true;
                }
            }
            Fault::Start(n) => self.start(n),
            Fault::Pause(n) => {
                if let Some(process) = &mut self.processes[n] {
                    process.is_paused = !process.is_paused;
                    process.resumed_at = now_ms;
                }
            }
            Fault::StoreDown => self.is_store_up = false,
            Fault::StoreUp => self.is_store_up = true,
        }
    }

    fn process(&mut self, n: usize) -> &mut Process {
        self.processes[n].as_mut().unwrap()
    }

    fn running(&self) -> Vec<usize> {
        let is_running = |n: &usize| self.processes[*n].as_ref().is_some_and(|p| !p.is_paused);
        (0..PROCESSES).filter(is_running).collect()
    }

    /// Known peers that run, which send datagrams to the peers that they know.
    fn live(&self, n: usize) -> Vec<usize> {
        let knows = |a: usize, b: usize| {
            let process = self.processes[a].as_ref();
            process.is_some_and(|p| !p.is_paused && p.peers.contains(&b))
        };
        let live = (0..PROCESSES).filter(|peer| knows(n, *peer) && knows(*peer, n));
        live.collect()
    }

    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for n in self.running() {
            self.exchange_members(n);
            let count = self.rng.u64(..3);
            let now = self.at(self.now_ms);
            let process = self.process(n);
            let tenant = process.start.to_string();
            (0..count).for_each(|_| process.log.record(now, tenant.as_str().into()));
            self.requests += count;
        }
        for n in self.running() {
            if self.now_ms.is_multiple_of(POLL_MS) {
                self.poll(n);
            }
            if self.is_collector(n) {
                self.fetch(n, None);
                self.step(n);
            }
            let now_ms = self.now_ms;
            let process = self.process(n);
            if process.is_stopping && *process.stops_at.get_or_insert(now_ms + STOP_MS) <= now_ms {
                self.exit(n);
            }
        }
    }

    fn exchange_members(&mut self, n: usize) {
        let now = self.at(self.now_ms);
        if self.is_store_up && self.rng.u8(..5) == 0 {
            self.rows.processes.insert(n);
            let rows = self.rows.processes.clone();
            let process = self.process(n);
            process
                .peers
                .extend(rows.into_iter().filter(|peer| *peer != n));
            process.is_membership_known = true;
            process.outage.record_success(now);
        } else if !self.is_store_up && self.rng.u8(..5) == 0 {
            self.process(n).outage.record_failure(now);
        }
        for peer in self.process(n).peers.clone() {
            if let Some(process) = &mut self.processes[peer] {
                process.peers.insert(n);
            } else if !self.rows.processes.contains(&peer) {
                self.process(n).peers.remove(&peer);
            }
        }
    }

    fn rank(&self, n: usize) -> usize {
        self.live(n).iter().filter(|peer| **peer < n).count()
    }

    fn is_collector(&self, n: usize) -> bool {
        let rank = self.rank(n);
        let polled_at = self.processes[n].as_ref().unwrap().polled_at;
        rank < COLLECTORS || self.now_ms - polled_at > UNPOLLED_MS + 500 * rank as u64
    }

    fn poll(&mut self, n: usize) {
        let now = self.at(self.now_ms);
        if !self.is_collector(n) {
            self.process(n).collection.clear();
            return;
        }
        let process = self.process(n);
        let peers: Vec<IpAddr> = process.peers.iter().map(|peer| ip(*peer)).collect();
        let interval = Duration::from_millis(POLL_MS);
        process.collection.record_poll(&peers, interval, now);
        let asked = process.collection.held_unknown(now);
        copy_log(&process.log, &mut process.ledger, n, now);
        for peer in self.live(n) {
            // A lost datagram.
            if self.rng.u8(..3) == 0 {
                continue;
            }
            let now_ms = self.now_ms;
            let mut ledger = std::mem::take(&mut self.process(n).ledger);
            let polled = self.process(peer);
            copy_log(&polled.log, &mut ledger, peer, now);
            let held = polled.ledger.other_logs((ip(peer), polled.start));
            polled.polled_at = now_ms;
            polled.collectors.insert(n);
            polled.collection.record_held(ip(n), true);
            let process = self.process(n);
            process.ledger = ledger;
            if asked.contains(&ip(peer)) {
                process.collection.record_held(ip(peer), held > 0);
            }
        }
    }

    /// Fetches what processes hold; by default from those that are due.
    fn fetch(&mut self, n: usize, from: Option<Vec<IpAddr>>) {
        let from = from.unwrap_or_else(|| self.process(n).collection.to_fetch());
        let now = self.at(self.now_ms);
        for peer in (0..PROCESSES).filter(|peer| from.contains(&ip(*peer))) {
            let known = self.process(n).ledger.known_logs();
            let holder = self.processes[peer].as_ref().filter(|p| !p.is_paused);
            let held = holder.map(|p| p.ledger.held_beyond(&known, now));
            let process = self.process(n);
            process
                .collection
                .record_fetch(ip(peer), held.is_some(), now);
            for log in held.iter().flatten() {
                if (log.ip, log.start) != (ip(n), process.start) {
                    process.ledger.add_held(log, now);
                }
            }
        }
    }

    fn step(&mut self, n: usize) {
        let now = self.at(self.now_ms);
        let settle = SETTLE_MS + 2500 * self.rank(n) as u64;
        let ready = (self.now_ms.saturating_sub(settle) / WINDOW_MS).checked_sub(1);
        let (is_store_up, now_ms, base) = (self.is_store_up, self.now_ms, self.base);
        let process = self.processes[n].as_mut().unwrap();
        let windows = Windows {
            first: 0,
            first_of_era: 0,
            ready,
        };
        match process.holder.next_action(windows, now) {
            Action::Idle => {}
            Action::Announce(report) => process.holder.on_announced(report.window),
            Action::Survey { .. } => unreachable!("the store isn't restored"),
            Action::Wait(_) => process.holder.invalidate(),
            // The platform accepts each report at once.
            Action::Send { report, .. } => process.holder.set_done_window(report.window),
            Action::Read | Action::Write { window: None, .. } if !is_store_up => {
                process.outage.record_failure(now);
            }
            Action::Read => {
                process.outage.record_success(now);
                let read = UsageRead {
                    lease: self.rows.lease.clone(),
                    row: position(self.rows.version),
                    report: self.rows.report.clone(),
                    now_ms,
                };
                process.holder.on_read(read, now, base);
            }
            Action::Write {
                lease,
                expected,
                window,
                lost: _,
            } => {
                if window.is_none_or(|window| self.is_complete(n, window)) {
                    self.write(n, lease, expected, window);
                }
            }
        }
    }

    fn span(&self, window: u64) -> Span {
        Span {
            from: self.at(window * WINDOW_MS),
            until: self.at((window + 1) * WINDOW_MS),
        }
    }

    fn is_complete(&mut self, n: usize, window: u64) -> bool {
        let now = self.at(self.now_ms);
        let span = self.span(window);
        let live: Vec<IpAddr> = self.live(n).into_iter().map(ip).collect();
        let process = self.process(n);
        if !process.is_membership_known || !process.outage.covers(span.until, now) {
            return false;
        }
        let missing = process
            .collection
            .missing(&process.ledger, &live, span, now);
        if now < span.until + MaxWaits::new(DUE, Duration::ZERO).of(missing) {
            return false;
        }
        let peers: Vec<IpAddr> = process.peers.iter().map(|peer| ip(*peer)).collect();
        let readiness = process
            .collection
            .readiness(&process.ledger, &peers, span, now);
        match readiness {
            Readiness::Ready => true,
            Readiness::Wait => false,
            Readiness::Fetch(from) => {
                self.fetch(n, Some(from));
                false
            }
        }
    }

    fn write(&mut self, n: usize, lease: Lease, expected: Position, window: Option<u64>) {
        let now = self.at(self.now_ms);
        if !self.is_store_up || position(self.rows.version) != expected {
            let is_lost = !self.is_store_up;
            let process = self.process(n);
            process.holder.invalidate();
            if is_lost {
                process.outage.record_failure(now);
            }
            return;
        }
        let report = window.map(|window| self.report(n, window));
        self.rows.version += 1;
        self.rows.lease = Some(lease.clone());
        if let Some(report) = &report {
            self.rows.report = Some(report.clone());
        }
        let written = WriteAck {
            position: position(self.rows.version),
            now_ms: self.now_ms,
        };
        let process = self.process(n);
        process.holder.on_written(lease, report, written, now);
    }

    /// Counts a window, and compares it with what all running processes know, except those that
    /// were paused a moment ago.
    fn report(&mut self, n: usize, window: u64) -> UsageReport {
        let now = self.at(self.now_ms);
        let span = self.span(window);
        let now_ms = self.now_ms;
        let mut all = Ledger::default();
        for peer in self.running() {
            let process = self.process(peer);
            if process.resumed_at > 0 && now_ms < process.resumed_at + ANSWERING_MS {
                continue;
            }
            copy_log(&process.log, &mut all, peer, now);
            let held = process.ledger.held_beyond(&[], now);
            held.iter().for_each(|log| {
                all.add_held(log, now);
            });
        }
        let expected = all.count(span.from, span.until).counts;
        let process = self.process(n);
        let counted = process.ledger.count(span.from, span.until).counts;
        for known in &expected {
            let found = counted.iter().find(|c| c.tenant == known.tenant);
            let found = found.map_or(0, |c| c.requests);
            assert!(
                found >= known.requests,
                "window {window}, decided by {n}: {counted:?} of {expected:?}"
            );
        }
        process.ledger.set_decided(span.from, span.until);
        self.decided += 1;
        UsageReport::new(window, 0, &counted)
    }

    /// Ends a process that was told to stop. It sends what others may not have.
    fn exit(&mut self, n: usize) {
        let now = self.at(self.now_ms);
        let mut process = self.processes[n].take().unwrap();
        if self.is_store_up {
            self.rows.processes.remove(&n);
        }
        copy_log(&process.log, &mut process.ledger, n, now);
        let to = match process.collectors.is_empty() {
            true => process.peers,
            false => process.collectors,
        };
        for receiver in to {
            if let Some(receiver) = self.processes[receiver].as_mut().filter(|p| !p.is_paused) {
                let known = receiver.ledger.known_logs();
                for log in process.ledger.held_beyond(&known, now) {
                    receiver.ledger.add_held(&log, now);
                }
            }
        }
    }
}

/// Polls a process until all its requests are known.
pub fn copy_log(log: &RequestLog, ledger: &mut Ledger, n: usize, now: Instant) {
    loop {
        let from = ledger.position(ip(n));
        let answer = log.read_from(from.start, from.next, 1, now);
        if !ledger.add(ip(n), &answer, now) {
            break;
        }
    }
}
