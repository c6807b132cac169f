//! Simulates hosts that report open streams to checkpoint writers, in virtual time.

use crate::store::{Answer, Call, Position, Store, Streams, draw_ms};
use origins::{
    CONFIRM_TIMEOUT, Checkpoint, HostLocation, HostStart, HostStatus, Lookup, NameHash,
    OpenStreams, Origin, OriginRecord, Replicas, ReplicatedBy, StreamId,
};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::ops::Range;
use std::time::{Duration, Instant};

const ZONES: usize = 3;
/// Maximum number of records in a row.
pub const MAX_ROW_RECORDS: usize = 799;
/// Time after its start in which a stream can be taken up.
pub const DEADLINE: Duration = Duration::from_secs(15);
/// Service of the streams.
const SERVICE: NameHash = NameHash(2);
/// Delay of a datagram, in milliseconds.
const DATAGRAM_MS: Range<u64> = 1..5;
/// Maximum interval between checks for datagrams that are due.
const CHECK_EVERY: Duration = Duration::from_millis(200);
/// Delay with which a process learns of a change of the members, in milliseconds.
const MEMBERS_MS: Range<u64> = 1..500;
/// Timeout of a write with all of its calls.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of attempts at a row that is changed concurrently.
const MAX_WRITE_ATTEMPTS: u32 = 3;
/// Pause before another attempt to read the rows.
const READ_RETRY: Duration = Duration::from_millis(200);
/// Time from a stop signal to the end of the process, in milliseconds.
const STOP_MS: Range<u64> = 1000..3000;
/// Time from the end of a process to the next start, in milliseconds.
const DOWN_MS: Range<u64> = 100..2000;
/// Time from the loss of a stream to its take-up, in milliseconds.
const TAKE_UP_MS: Range<u64> = 50..300;
/// Time from the start of a stream to its end or its first break, in milliseconds.
const DURATION_MS: Range<u64> = 200..12_000;
/// One in so many streams isn't complete before its deadline, and breaks off meanwhile.
const BROKEN_ONE_IN: u32 = 2;

/// Properties of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of streams a second.
    pub rate: u64,
    /// One in so many datagrams is lost; 0 for none.
    pub loss_one_in: u32,
    /// Whether two versions serve from the beginning.
    pub has_two_versions: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Copies(Streams),
    Copied(Vec<StreamId>),
    Probe,
    Status,
    Report(Streams, Vec<StreamId>),
    Reported(Vec<StreamId>),
}

#[derive(Debug)]
enum Event {
    Datagram {
        from: HostStart,
        status: HostStatus,
        to: usize,
        message: Message,
    },
    Members(usize),
    /// The process checks for datagrams that are due.
    Check(HostStart),
    Start(usize),
    End(HostStart),
    ReadRows(HostStart),
    WriteDue(HostStart),
    WriteTimeout(HostStart, u32),
    Call(HostStart, u32, Call, Duration),
    Answer(HostStart, u32, Answer),
    Begin,
    /// The stream is complete.
    EndStream(usize),
    /// The stream breaks off.
    Break(usize),
    TakeUp(usize),
}

/// A write that isn't finished.
#[derive(Debug)]
struct Write {
    id: u32,
    attempts: u32,
    streams: Streams,
}

struct Process {
    start: u32,
    started_at: Instant,
    is_stopping: bool,
    /// Whether it has read the rows.
    is_ready: bool,
    replicas: Replicas,
    open: OpenStreams,
    checkpoint: Checkpoint,
    /// Position of its row as it was last read or written.
    position: Option<Position>,
    /// Streams in its row as they were read on its own.
    unread: Streams,
    writing: Option<Write>,
}

struct Host {
    location: HostLocation,
    process: Option<Process>,
    is_listed: bool,
    is_removed: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamState {
    /// It runs at a host, or its client is about to take it up.
    Open(Option<HostStart>),
    Ended,
    /// Its client was told that it is unknown.
    Lost,
}

#[derive(Debug)]
struct Stream {
    id: StreamId,
    record: OriginRecord,
    state: StreamState,
    ended_at: Option<Instant>,
}

/// Outcome of a take-up after a kill of all hosts.
#[derive(Debug, Clone, Copy)]
pub struct TakenUp {
    /// Age of the stream at the kill.
    pub age: Duration,
    /// Whether it was found.
    pub is_found: bool,
    /// Whether a write that was finished before the kill contained it.
    pub was_written: bool,
}

/// Hosts, their network and the store.
pub struct Fleet {
    pub now: Instant,
    began_at: Instant,
    settings: Settings,
    hosts: Vec<Host>,
    streams: Vec<Stream>,
    pub store: Store,
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
    next_number: u32,
    rng: fastrand::Rng,
    /// Versions at which streams begin.
    pub versions: Vec<NameHash>,
    /// Services whose streams are reported.
    services: Vec<NameHash>,
    /// Whether processes read the rows as they start.
    reads_at_start: bool,
    /// Times of the calls for checkpoints.
    pub calls: Vec<Instant>,
    /// Finished writes.
    finished: Vec<(Instant, Vec<StreamId>)>,
    /// Largest number of records in a row.
    pub max_records: usize,
    /// Number of streams in written rows that had ended a second before the write.
    pub ended_in_rows: usize,
    /// Number of streams in rows that were written before the first kill of all hosts.
    pub records: usize,
    was_killed: bool,
    /// Number of datagrams for checkpoints.
    pub datagrams: usize,
    all_killed_at: Option<Instant>,
}

fn location(n: usize) -> HostLocation {
    HostLocation {
        ip: IpAddr::V4(Ipv4Addr::from(0x0a00_0001 + n as u32)),
        zone: (n % ZONES) as u32,
    }
}

impl Process {
    fn status(&self, now: Instant) -> HostStatus {
        HostStatus {
            start: self.start,
            is_stopping: self.is_stopping,
            running_for: now - self.started_at,
        }
    }
}

impl Fleet {
    /// Starts a fleet.
    pub fn new(settings: Settings) -> Self {
        let now = Instant::now();
        let both = vec![NameHash(1), NameHash(2)];
        let mut fleet = Self {
            now,
            began_at: now,
            settings,
            hosts: Vec::new(),
            streams: Vec::new(),
            store: Store::default(),
            events: BTreeMap::new(),
            next_event: 0,
            next_number: 0,
            rng: fastrand::Rng::with_seed(settings.seed),
            versions: match settings.has_two_versions {
                true => both,
                false => vec![NameHash(1)],
            },
            services: match settings.has_two_versions {
                true => vec![SERVICE],
                false => Vec::new(),
            },
            reads_at_start: false,
            calls: Vec::new(),
            finished: Vec::new(),
            max_records: 0,
            ended_in_rows: 0,
            records: 0,
            was_killed: false,
            datagrams: 0,
            all_killed_at: None,
        };
        for n in 0..settings.hosts {
            fleet.add_host(n);
        }
        for n in 0..settings.hosts {
            fleet.start(n);
        }
        fleet.reads_at_start = true;
        fleet.schedule(Duration::ZERO, Event::Begin);
        fleet
    }

    /// Number of streams that have begun.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Time since the first start.
    pub fn age(&self) -> Duration {
        self.now - self.began_at
    }

    fn add_host(&mut self, n: usize) {
        self.hosts.push(Host {
            location: location(n),
            process: None,
            is_listed: true,
            is_removed: false,
        });
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + after, self.next_event), event);
    }

    fn draw(&mut self, ms: Range<u64>) -> Duration {
        draw_ms(&mut self.rng, ms)
    }

    fn next_number(&mut self) -> u32 {
        self.next_number += 1;
        self.next_number
    }

    fn number(&self, ip: IpAddr) -> usize {
        let found = self
            .hosts
            .binary_search_by_key(&ip, |host| host.location.ip);
        found.unwrap()
    }

    /// The process of a start, if it is still running.
    fn process(&mut self, of: HostStart) -> Option<&mut Process> {
        let n = self.number(of.ip);
        let process = self.hosts[n].process.as_mut();
        process.filter(|process| process.start == of.start)
    }

    fn start_of(&self, n: usize) -> Option<HostStart> {
        let host = &self.hosts[n];
        host.process.as_ref().map(|process| HostStart {
            ip: host.location.ip,
            start: process.start,
        })
    }

    fn start(&mut self, n: usize) {
        let start = self.next_number();
        let was_listed = std::mem::replace(&mut self.hosts[n].is_listed, true);
        let mut replicas = Replicas::new(self.hosts[n].location);
        replicas.set_members(self.members());
        self.hosts[n].process = Some(Process {
            start,
            started_at: self.now,
            is_stopping: false,
            is_ready: !self.reads_at_start,
            replicas,
            open: OpenStreams::default(),
            checkpoint: Checkpoint::default(),
            position: None,
            unread: Vec::new(),
            writing: None,
        });
        if !was_listed {
            self.announce_members();
        }
        let of = self.start_of(n).unwrap();
        let phase = self.draw(0..CHECK_EVERY.as_millis() as u64);
        self.schedule(phase, Event::Check(of));
        if self.reads_at_start {
            let delay = self.draw(self.store.latency_ms.clone());
            self.schedule(delay, Event::ReadRows(of));
        }
    }

    fn members(&self) -> Vec<HostLocation> {
        let listed = self.hosts.iter().filter(|host| host.is_listed);
        listed.map(|host| host.location).collect()
    }

    fn announce_members(&mut self) {
        for n in 0..self.hosts.len() {
            let delay = self.draw(MEMBERS_MS);
            self.schedule(delay, Event::Members(n));
        }
    }

    /// Kills the process of a host. Its streams break off.
    pub fn kill(&mut self, n: usize) {
        let Some(of) = self.start_of(n) else { return };
        self.hosts[n].process = None;
        self.break_streams(of);
        let down = self.draw(DOWN_MS);
        self.schedule(down, Event::Start(n));
    }

    /// Kills the hosts that write checkpoints, at most `count`.
    pub fn kill_writers(&mut self, count: usize) {
        let process = self.hosts.iter_mut().find_map(|host| host.process.as_mut());
        let writers = process.unwrap().replicas.checkpoint_writers(false);
        for writer in writers.into_iter().take(count) {
            self.kill(self.number(writer.ip));
        }
    }

    /// Kills all hosts at once.
    pub fn kill_all(&mut self) {
        self.all_killed_at = Some(self.now);
        self.was_killed = true;
        for n in 0..self.hosts.len() {
            self.kill(n);
        }
    }

    /// Tells a host to stop; it starts again.
    pub fn stop(&mut self, n: usize) {
        let Some(of) = self.start_of(n) else { return };
        let process = self.hosts[n].process.as_mut().unwrap();
        if std::mem::replace(&mut process.is_stopping, true) {
            return;
        }
        let heard = process.replicas.answering_hosts();
        for ip in heard {
            self.send(n, ip, Message::Status);
        }
        let time = self.draw(STOP_MS);
        self.schedule(time, Event::End(of));
    }

    /// Removes a host permanently, and adds another one.
    pub fn replace(&mut self, n: usize) {
        if std::mem::replace(&mut self.hosts[n].is_removed, true) {
            return;
        }
        self.stop(n);
        let added = self.hosts.len();
        self.add_host(added);
        self.hosts[added].is_listed = false;
        self.start(added);
    }

    fn break_streams(&mut self, of: HostStart) {
        for at in 0..self.streams.len() {
            if self.streams[at].state == StreamState::Open(Some(of)) {
                self.streams[at].state = StreamState::Open(None);
                let delay = self.draw(TAKE_UP_MS);
                self.schedule(delay, Event::TakeUp(at));
            }
        }
    }

    /// Advances the virtual time.
    pub fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(next) = self.events.first_entry() {
            let (at, _) = *next.key();
            if at > until {
                break;
            }
            let event = next.remove();
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Waits until all hosts have read the rows after a kill, and takes up all streams that were
    /// open then.
    pub fn restart_and_take_up_all(&mut self) -> Vec<TakenUp> {
        let is_ready =
            |host: &Host| host.is_removed || host.process.as_ref().is_some_and(|p| p.is_ready);
        while !self.hosts.iter().all(is_ready) {
            self.wait(Duration::from_millis(10));
        }
        let killed_at = self.all_killed_at.take().unwrap();
        let mut all = Vec::new();
        for at in 0..self.streams.len() {
            let stream = &self.streams[at];
            let is_open = matches!(stream.state, StreamState::Open(_));
            let began_before = stream.record.began_at < killed_at;
            if !is_open || !began_before || stream.record.expires_at <= self.now {
                continue;
            }
            let before = self.finished.iter().filter(|(at, _)| *at <= killed_at);
            let was_written = before
                .into_iter()
                .any(|(_, ids)| ids.binary_search(&stream.id).is_ok());
            all.push(TakenUp {
                age: killed_at - stream.record.began_at,
                is_found: self.take_up(at),
                was_written,
            });
        }
        assert_eq!(self.find(0, StreamId(7)), None, "a stream that never began");
        all
    }

    /// Replaces the rows by an older copy.
    pub fn restore_store(&mut self, age: Duration) {
        let to = self.now - age;
        self.store.restore(to);
        self.finished.retain(|(at, _)| *at <= to);
    }

    /// Begins a stream at a random host.
    pub fn begin(&mut self) {
        let ready: Vec<usize> = (0..self.hosts.len())
            .filter(|n| self.is_serving(*n))
            .collect();
        if ready.is_empty() {
            return;
        }
        let n = ready[self.rng.usize(..ready.len())];
        let at = self.streams.len();
        let id = StreamId::of(&at.to_string());
        let record = OriginRecord {
            origin: Origin {
                route: NameHash(1),
                service: SERVICE,
                version: self.versions[self.rng.usize(..self.versions.len())],
                upstream: at as u32,
            },
            began_at: self.now,
            expires_at: self.now + DEADLINE,
        };
        let of = self.start_of(n);
        self.streams.push(Stream {
            id,
            record,
            state: StreamState::Open(of),
            ended_at: None,
        });
        let now = self.now;
        let process = self.hosts[n].process.as_mut().unwrap();
        process
            .replicas
            .record(id, record, None, ReplicatedBy::ThisHost, now);
        for ip in process.replicas.due_copies_of(id, now) {
            self.send(n, ip, Message::Copies(vec![(id, record)]));
        }
        self.open(n, id, record);
        let after = self.draw(DURATION_MS);
        let event = match self.rng.u32(..BROKEN_ONE_IN) {
            0 => Event::Break(at),
            _ => Event::EndStream(at),
        };
        self.schedule(after, event);
    }

    fn is_serving(&self, n: usize) -> bool {
        let process = self.hosts[n].process.as_ref();
        process.is_some_and(|p| p.is_ready && !p.is_stopping)
    }

    fn open(&mut self, n: usize, id: StreamId, record: OriginRecord) {
        let now = self.now;
        let process = self.hosts[n].process.as_mut().unwrap();
        process.open.open(id, record, now);
        self.send_reports(n);
    }

    /// Takes up a stream at a random host. Returns whether it was found.
    fn take_up(&mut self, at: usize) -> bool {
        let ready: Vec<usize> = (0..self.hosts.len())
            .filter(|n| self.is_serving(*n))
            .collect();
        if ready.is_empty() {
            let delay = self.draw(TAKE_UP_MS);
            self.schedule(delay, Event::TakeUp(at));
            return false;
        }
        let n = ready[self.rng.usize(..ready.len())];
        let (id, own) = (self.streams[at].id, self.streams[at].record);
        match self.find(n, id) {
            Some(record) => {
                assert_eq!(record.origin, own.origin, "the origin of another stream");
                self.streams[at].state = StreamState::Open(self.start_of(n));
                self.open(n, id, record);
                true
            }
            None => {
                self.streams[at].state = StreamState::Lost;
                false
            }
        }
    }

    fn find(&mut self, n: usize, id: StreamId) -> Option<OriginRecord> {
        let now = self.now;
        let replicas = &self.hosts[n].process.as_ref()?.replicas;
        let mut search = match replicas.find(id, now) {
            Lookup::Known(record) => return Some(record),
            Lookup::Uncertain => return None,
            Lookup::Unknown => replicas.search(id),
        };
        loop {
            let asked = search.next_round();
            if asked.is_empty() {
                break;
            }
            for ip in asked {
                let to = self.number(ip);
                let Some(process) = &self.hosts[to].process else {
                    continue;
                };
                if let Lookup::Known(record) = process.replicas.find(id, now) {
                    let process = self.hosts[n].process.as_mut()?;
                    process
                        .replicas
                        .record(id, record, None, ReplicatedBy::ThisHost, now);
                    return Some(record);
                }
                search.record_unaware(ip);
            }
        }
        if self.store.is_answering(now) {
            self.record_rows(n);
        }
        let replicas = &self.hosts[n].process.as_ref()?.replicas;
        match replicas.find(id, now) {
            Lookup::Known(record) => Some(record),
            Lookup::Uncertain | Lookup::Unknown => None,
        }
    }

    /// Reads the rows of all hosts.
    fn record_rows(&mut self, n: usize) {
        let (now, own) = (self.now, self.hosts[n].location.ip);
        let rows = self.store.read_all(now);
        let position = self.store.position(own);
        let process = self.hosts[n].process.as_mut().unwrap();
        process.position = Some(position);
        process.unread.clear();
        for (ip, id, record) in rows {
            let replicated_by = match ip == own {
                true => ReplicatedBy::ThisHost,
                false => ReplicatedBy::OtherHost,
            };
            if ip == own {
                process.checkpoint.restore(id, record, now);
            }
            process
                .replicas
                .record(id, record, None, replicated_by, now);
        }
    }

    fn send(&mut self, n: usize, to: IpAddr, message: Message) {
        let Some(from) = self.start_of(n) else { return };
        let is_for_checkpoints = matches!(message, Message::Report(..) | Message::Reported(_));
        self.datagrams += usize::from(is_for_checkpoints);
        let loss = self.settings.loss_one_in;
        if loss > 0 && self.rng.u32(..loss) == 0 {
            return;
        }
        let status = self.hosts[n].process.as_ref().unwrap().status(self.now);
        let to = self.number(to);
        let delay = self.draw(DATAGRAM_MS);
        let event = Event::Datagram {
            from,
            status,
            to,
            message,
        };
        self.schedule(delay, event);
    }

    fn send_reports(&mut self, n: usize) {
        let (now, own) = (self.now, self.start_of(n).unwrap());
        let process = self.hosts[n].process.as_mut().unwrap();
        if process.open.is_empty() {
            return;
        }
        let writers = process.replicas.checkpoint_writers(process.is_stopping);
        for report in process.open.due(&writers, &self.services, now) {
            let process = self.hosts[n].process.as_mut().unwrap();
            if report.to != own.ip {
                if !report.open.is_empty() {
                    process.replicas.record_request(report.to, now);
                }
                self.send(n, report.to, Message::Report(report.open, report.ended));
                continue;
            }
            for (id, record) in &report.open {
                process.checkpoint.add(*id, *record, now);
                process.open.confirm(*id, own);
            }
            for id in &report.ended {
                process.checkpoint.remove(*id);
            }
            self.plan_write(own);
        }
    }

    fn check(&mut self, of: HostStart) {
        let (now, n) = (self.now, self.number(of.ip));
        let Some(process) = self.process(of) else {
            return;
        };
        let due = process.replicas.due(now);
        let pause = match process.replicas.has_missing_copies(now) {
            true => CONFIRM_TIMEOUT,
            false => CHECK_EVERY,
        };
        for (ip, copies) in due.copies {
            self.send(n, ip, Message::Copies(copies));
        }
        for ip in due.probes {
            self.send(n, ip, Message::Probe);
        }
        self.send_reports(n);
        self.schedule(pause, Event::Check(of));
    }

    fn receive(&mut self, from: HostStart, status: HostStatus, to: usize, message: Message) {
        let now = self.now;
        let Some(own) = self.start_of(to) else { return };
        let process = self.hosts[to].process.as_mut().unwrap();
        process.replicas.record_heard(from.ip, status, now);
        match message {
            Message::Copies(copies) => {
                for (id, record) in &copies {
                    let by = ReplicatedBy::ThisHost;
                    process.replicas.record(*id, *record, Some(from), by, now);
                }
                let copied = copies.iter().map(|(id, _)| *id).collect();
                self.send(to, from.ip, Message::Copied(copied));
            }
            Message::Copied(copied) => {
                for id in copied {
                    process.replicas.confirm(id, from);
                }
            }
            Message::Probe => self.send(to, from.ip, Message::Status),
            Message::Status => {}
            Message::Report(open, ended) => {
                for (id, record) in &open {
                    let by = ReplicatedBy::OtherHost;
                    process.replicas.record(*id, *record, None, by, now);
                    process.checkpoint.add(*id, *record, now);
                }
                for id in &ended {
                    process.checkpoint.remove(*id);
                }
                if !open.is_empty() {
                    let reported = open.iter().map(|(id, _)| *id).collect();
                    self.send(to, from.ip, Message::Reported(reported));
                    self.plan_write(own);
                }
            }
            Message::Reported(reported) => {
                for id in reported {
                    process.open.confirm(id, from);
                }
            }
        }
    }

    fn plan_write(&mut self, of: HostStart) {
        let now = self.now;
        let Some(process) = self.process(of) else {
            return;
        };
        if process.writing.is_none()
            && let Some(at) = process
                .checkpoint
                .write_at(process.replicas.checkpoint_place(process.is_stopping))
        {
            self.schedule(at.saturating_duration_since(now), Event::WriteDue(of));
        }
    }

    fn begin_write(&mut self, of: HostStart) {
        let (now, id) = (self.now, self.next_number());
        let Some(process) = self.process(of) else {
            return;
        };
        if process.writing.is_some() || process.is_stopping || !process.is_ready {
            return;
        }
        let place = process.replicas.checkpoint_place(process.is_stopping);
        match process.checkpoint.write_at(place) {
            Some(at) if at <= now => {}
            // The place has changed.
            Some(at) => {
                self.schedule(at - now, Event::WriteDue(of));
                return;
            }
            None => return,
        }
        let mut streams = process.checkpoint.begin_write(now);
        let replicas = &process.replicas;
        streams.retain(|(id, _)| matches!(replicas.find(*id, now), Lookup::Known(_)));
        process.writing = Some(Write {
            id,
            attempts: 0,
            streams,
        });
        self.schedule(WRITE_TIMEOUT, Event::WriteTimeout(of, id));
        self.call_store(of);
    }

    /// Makes the next call of a write.
    fn call_store(&mut self, of: HostStart) {
        let now = self.now;
        let Some(process) = self.process(of) else {
            return;
        };
        let Some(write) = &process.writing else {
            return;
        };
        let id = write.id;
        let call = match process.position {
            None => Call::Read(of.ip),
            Some(position) => {
                let mut streams = write.streams.clone();
                streams.extend(process.unread.iter().filter(|(_, r)| r.expires_at > now));
                streams.sort_unstable_by_key(|(id, _)| *id);
                streams.dedup_by_key(|(id, _)| *id);
                Call::Write(of.ip, position, streams)
            }
        };
        self.calls.push(now);
        if let Call::Write(_, _, streams) = &call {
            self.record_row(streams);
        }
        let latency = self.draw(self.store.latency_ms.clone());
        let until = self.store.silent_until.filter(|until| *until > now);
        match until {
            // It is lost, or carried out later.
            Some(_) if self.rng.bool() => {}
            Some(until) => {
                let after = until - now + latency;
                self.schedule(after, Event::Call(of, id, call, Duration::ZERO));
            }
            None => self.schedule(latency / 2, Event::Call(of, id, call, latency / 2)),
        }
    }

    fn record_row(&mut self, streams: &Streams) {
        self.max_records = self.max_records.max(streams.len());
        // What ended before the kill after the last write stays in the rows until it expires.
        if self.was_killed {
            return;
        }
        self.records += streams.len();
        let second = Duration::from_secs(1);
        for (_, record) in streams {
            let stream = &self.streams[record.origin.upstream as usize];
            let is_over = stream.ended_at.is_some_and(|at| self.now - at >= second);
            self.ended_in_rows += usize::from(is_over);
        }
    }

    fn handle_answer(&mut self, of: HostStart, id: u32, answer: Answer) {
        let now = self.now;
        let Some(process) = self.process(of) else {
            return;
        };
        let Some(write) = process.writing.as_mut().filter(|write| write.id == id) else {
            return;
        };
        match answer {
            Answer::Row(position, streams) => {
                process.position = Some(position);
                process.unread = streams;
                self.call_store(of);
            }
            Answer::Conflict => {
                process.position = None;
                write.attempts += 1;
                match write.attempts < MAX_WRITE_ATTEMPTS {
                    true => self.call_store(of),
                    false => self.fail_write(of, id),
                }
            }
            Answer::Written(position, streams) => {
                process.position = Some(position);
                process.unread.clear();
                process.writing = None;
                let ids = streams.iter().map(|(id, _)| *id).collect();
                self.finished.push((now, ids));
                self.plan_write(of);
            }
        }
    }

    fn fail_write(&mut self, of: HostStart, id: u32) {
        let now = self.now;
        let Some(process) = self.process(of) else {
            return;
        };
        if process.writing.take_if(|write| write.id == id).is_some() {
            process.checkpoint.record_failure(now);
            // The write may have taken effect.
            process.position = None;
            self.plan_write(of);
        }
    }

    /// Ends a process that was told to stop.
    fn end(&mut self, of: HostStart) {
        let (now, n) = (self.now, self.number(of.ip));
        if self.process(of).is_none() {
            return;
        }
        let mut process = self.hosts[n].process.take().unwrap();
        let mut streams = process.checkpoint.streams(now);
        streams.extend(process.replicas.under_replicated(MAX_ROW_RECORDS, now));
        streams.sort_unstable_by_key(|(id, _)| *id);
        streams.dedup_by_key(|(id, _)| *id);
        if self.store.is_answering(now) && !streams.is_empty() {
            let position = self.store.position(of.ip);
            self.store
                .carry_out(Call::Write(of.ip, position, streams), now);
        }
        self.hosts[n].is_listed = false;
        self.announce_members();
        self.break_streams(of);
        if !self.hosts[n].is_removed {
            let down = self.draw(DOWN_MS);
            self.schedule(down, Event::Start(n));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Datagram {
                from,
                status,
                to,
                message,
            } => self.receive(from, status, to, message),
            Event::Members(n) => {
                let members = self.members();
                if let Some(process) = &mut self.hosts[n].process {
                    process.replicas.set_members(members);
                }
            }
            Event::Check(of) => self.check(of),
            Event::Start(n) => {
                if self.hosts[n].process.is_none() && !self.hosts[n].is_removed {
                    self.start(n);
                }
            }
            Event::End(of) => self.end(of),
            Event::ReadRows(of) => match self.store.is_answering(self.now) {
                true if self.process(of).is_some() => {
                    let n = self.number(of.ip);
                    self.record_rows(n);
                    self.process(of).unwrap().is_ready = true;
                    self.plan_write(of);
                }
                true => {}
                false => self.schedule(READ_RETRY, Event::ReadRows(of)),
            },
            Event::WriteDue(of) => self.begin_write(of),
            Event::WriteTimeout(of, id) => self.fail_write(of, id),
            Event::Call(of, id, call, answers_after) => {
                let answer = self.store.carry_out(call, self.now);
                if self.store.is_answering(self.now) {
                    self.schedule(answers_after, Event::Answer(of, id, answer));
                }
            }
            Event::Answer(of, id, answer) => self.handle_answer(of, id, answer),
            Event::Begin => {
                self.begin();
                let mean_ms = 1000 / self.settings.rate;
                let next = self.draw(1..2 * mean_ms);
                self.schedule(next, Event::Begin);
            }
            Event::EndStream(at) => {
                if let StreamState::Open(Some(of)) = self.streams[at].state {
                    self.streams[at].state = StreamState::Ended;
                    self.streams[at].ended_at = Some(self.now);
                    let id = self.streams[at].id;
                    if let Some(process) = self.process(of) {
                        process.open.end(id);
                    }
                }
            }
            Event::Break(at) => {
                if matches!(self.streams[at].state, StreamState::Open(Some(_))) {
                    self.streams[at].state = StreamState::Open(None);
                    let delay = self.draw(TAKE_UP_MS);
                    self.schedule(delay, Event::TakeUp(at));
                }
            }
            Event::TakeUp(at) => {
                let stream = &self.streams[at];
                let is_broken = stream.state == StreamState::Open(None);
                let is_measured = self.all_killed_at.is_some();
                if is_broken && !is_measured && stream.record.expires_at > self.now {
                    self.take_up(at);
                }
            }
        }
    }
}
