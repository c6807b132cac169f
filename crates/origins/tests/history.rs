//! Simulates random sequences of events in virtual time: hosts start, are killed one by one or all
//! at once, or are disconnected; upstreams of several versions are added and removed; the store is
//! unavailable, loses or delays writes, discards its history or is restored from an older snapshot.
//! The origins of streams are unknown. A stream must be resumed only at the version at which it
//! began, and must be resumed if there was a single version.

use origins::{
    Continuation, FormerVersion, KnownSince, MAX_LINGER, MAX_RECORD_AGE, MAX_STREAM_LIFETIME,
    NameHash, NotContinued, ServiceVersion, StorePosition, UpstreamChange, UpstreamHash,
    VERSION_LIFETIME, VersionHistory, VersionRecord,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

const HOSTS: usize = 4;
const VERSIONS: usize = 3;
/// Gap between two reads of the registry after which a host's coverage starts again.
const MAX_GAP: Duration = Duration::from_secs(3);
/// Interval between a host's reads of the registry.
const READ_EVERY: Duration = Duration::from_millis(2500);
/// Interval between two writes of the record.
const WRITE_EVERY: Duration = Duration::from_secs(10);
/// Shortest time for which a start of an upstream is in the registry.
const MIN_PRESENCE: Duration = Duration::from_secs(4);
/// Time for which the store keeps changes.
const HISTORY_RETENTION: Duration = Duration::from_secs(20);
const SERVICE: NameHash = NameHash(7);

/// Outcome of the next writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Writes {
    Done,
    Lost,
    /// They are done, without an answer.
    Unanswered,
    /// They are done after this time if their condition holds then, without an answer.
    Delayed(Duration),
}

/// An event.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A stream begins at a host, at its nth upstream.
    Begin {
        host: usize,
        upstream: usize,
    },
    /// A client continues a stream, counted from the latest, without naming it.
    Continue {
        host: usize,
        stream: usize,
    },
    Kill(usize),
    KillAll,
    /// A host starts without state.
    Start(usize),
    StartAll,
    /// A host loses its connection to the store.
    Disconnect(usize),
    Reconnect(usize),
    /// An upstream starts, with or without a stated start.
    Add {
        version: usize,
        states_start: bool,
    },
    /// The nth upstream restarts under its identifier, if it states its start.
    Restart {
        upstream: usize,
        version: usize,
    },
    /// The nth upstream leaves.
    Remove(usize),
    /// All upstreams of a version leave.
    RemoveAll(usize),
    /// An entry that can't be decoded is written.
    AddUnreadable,
    /// Sets whether the store is unavailable.
    SetUnavailable(bool),
    SetWrites(Writes),
    /// The store discards its history.
    DiscardHistory,
    /// The store is restored from a snapshot of this age, in seconds; its clock is set back by the
    /// same time.
    Restore(u64),
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// Steps with upstreams of a number of versions.
fn step(versions: usize) -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    let writes = prop_oneof![
        4 => Just(Writes::Done),
        1 => Just(Writes::Lost),
        1 => Just(Writes::Unanswered),
        1 => (1..40u64).prop_map(|s| Writes::Delayed(Duration::from_secs(s))),
    ];
    prop_oneof![
        6 => (host.clone(), 0..6usize).prop_map(|(host, upstream)| Step::Begin { host, upstream }),
        8 => (host.clone(), 0..6usize).prop_map(|(host, stream)| Step::Continue { host, stream }),
        1 => host.clone().prop_map(Step::Kill),
        1 => Just(Step::KillAll),
        2 => host.clone().prop_map(Step::Start),
        3 => Just(Step::StartAll),
        1 => host.clone().prop_map(Step::Disconnect),
        3 => host.prop_map(Step::Reconnect),
        2 => (0..versions, any::<bool>())
            .prop_map(|(version, states_start)| Step::Add { version, states_start }),
        1 => (0..6usize, 0..versions)
            .prop_map(|(upstream, version)| Step::Restart { upstream, version }),
        2 => (0..6usize).prop_map(Step::Remove),
        2 => (0..versions).prop_map(Step::RemoveAll),
        1 => prop_oneof![9 => Just(Step::SetUnavailable(false)), 1 => Just(Step::SetUnavailable(true))],
        1 => writes.prop_map(Step::SetWrites),
        1 => prop_oneof![
            3 => Just(Step::SetUnavailable(false)),
            1 => Just(Step::DiscardHistory),
            1 => Just(Step::AddUnreadable),
            1 => (0..60u64).prop_map(Step::Restore),
        ],
        8 => (1..3_000u64).prop_map(Step::Wait),
        4 => (3_000..12_000u64).prop_map(Step::Wait),
        1 => prop_oneof![Just(300_000u64), Just(600_000), Just(665_000)].prop_map(Step::Wait),
    ]
}

/// Start of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Upstream {
    id: String,
    /// The stated start, if the upstream may restart under its identifier.
    start: Option<u64>,
    version: NameHash,
}

impl Upstream {
    fn hash(&self) -> UpstreamHash {
        match self.start {
            Some(start) => UpstreamHash::of_start(&self.id, start, self.version),
            None => UpstreamHash::of_id(&self.id),
        }
    }

    fn of(&self) -> ServiceVersion {
        ServiceVersion {
            service: SERVICE,
            version: self.version,
        }
    }
}

#[derive(Debug, Clone)]
enum Entry {
    Registered(Upstream),
    Removed,
    Unreadable,
}

/// Rows of the store, as in its snapshots.
#[derive(Debug, Clone, Default)]
struct Rows {
    version: u64,
    /// Entries of the registry with the versions of their last writes.
    registry: BTreeMap<String, (Entry, u64)>,
    /// The record with the version of its row.
    record: Option<(VersionRecord, u64)>,
}

struct Store {
    rows: Rows,
    era: u64,
    /// State after each change, with its time.
    snapshots: Vec<(Instant, Rows)>,
    /// Version before which the history was discarded.
    history_from: u64,
    /// Time at which the store's clock was 0.
    clock_start: Instant,
    is_unavailable: bool,
    writes: Writes,
    /// Writes that are done later: when, with the expected version.
    delayed: VecDeque<(Instant, VersionRecord, u64)>,
}

impl Store {
    fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            version: self.rows.version,
        }
    }

    fn ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.clock_start).as_millis() as u64
    }

    fn set_entry(&mut self, id: &str, entry: Entry, now: Instant) {
        self.rows.version += 1;
        let row = (entry, self.rows.version);
        self.rows.registry.insert(id.to_owned(), row);
        self.snapshots.push((now, self.rows.clone()));
    }

    fn upstreams(&self) -> Vec<Upstream> {
        let entries = self.rows.registry.values();
        let present = entries.filter_map(|(entry, _)| match entry {
            Entry::Registered(upstream) => Some(upstream.clone()),
            Entry::Removed | Entry::Unreadable => None,
        });
        present.collect()
    }

    /// Changes of the registry after a version; `None` if they may have been discarded.
    fn changes(&self, after: u64, now: Instant) -> Option<Vec<UpstreamChange>> {
        let is_old = |at: Instant| now - at >= HISTORY_RETENTION;
        let old = self.snapshots.iter().rfind(|(at, _)| is_old(*at));
        let discarded = old.map_or(0, |(_, rows)| rows.version);
        if after < discarded.max(self.history_from) {
            return None;
        }
        let rows = self.rows.registry.iter();
        let changed = rows.filter(|(_, (_, version))| *version > after);
        let changes = changed.map(|(id, (entry, _))| match entry {
            Entry::Removed => UpstreamChange::Removed(UpstreamHash::of_id(id)),
            Entry::Unreadable => UpstreamChange::Unreadable,
            Entry::Registered(upstream) => match upstream.start {
                None => UpstreamChange::Registered(upstream.of()),
                Some(_) => UpstreamChange::RegisteredStart(upstream.hash(), upstream.of()),
            },
        });
        Some(changes.collect())
    }

    /// Writes the record if its row has the expected version; returns whether it had.
    fn write(&mut self, record: VersionRecord, expected: u64, now: Instant) -> bool {
        let version = self.rows.record.as_ref().map_or(0, |(_, version)| *version);
        if version != expected {
            return false;
        }
        self.rows.version += 1;
        self.rows.record = Some((record, self.rows.version));
        self.snapshots.push((now, self.rows.clone()));
        true
    }

    fn write_delayed(&mut self, now: Instant) {
        while let Some(at) = self.delayed.iter().position(|(due, ..)| *due <= now) {
            if let Some((_, record, expected)) = self.delayed.remove(at) {
                self.write(record, expected, now);
            }
        }
    }

    fn restore(&mut self, age: Duration, now: Instant) {
        self.snapshots.retain(|(at, _)| now - *at >= age);
        let snapshot = self.snapshots.last().map(|(_, rows)| rows.clone());
        self.rows = snapshot.unwrap_or_default();
        self.history_from = self.history_from.min(self.rows.version);
        self.clock_start += age;
        self.era += 1;
    }
}

/// Start of the period in which a host knows all upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Since {
    SystemStart,
    Read(Instant),
}

#[derive(Default)]
struct Host {
    is_up: bool,
    is_disconnected: bool,
    started_at: Option<Instant>,
    has_attempted: bool,
    history: VersionHistory,
    view: Vec<Upstream>,
    position: Option<StorePosition>,
    read_ms: u64,
    read_at: Option<Instant>,
    since: Option<Since>,
    /// Version of the record's row, and the record.
    stored: Option<(u64, Option<VersionRecord>)>,
    written_at: Option<Instant>,
}

impl Host {
    fn read_registry(&mut self, store: &Store, now: Instant) {
        let position = store.position();
        if self.position.is_some_and(|known| known.era < position.era) {
            self.since = None;
            // A snapshot may lack upstreams that are about to register again.
            self.stored = None;
        }
        let gap = self.read_at.map(|at| now - at);
        if self.since.is_none() || gap.is_none_or(|gap| gap > MAX_GAP) {
            self.since = Some(Since::Read(now));
        }
        self.read_ms = store.ms(now);
        self.read_at = Some(now);
        if self.position == Some(position) {
            return;
        }
        let present = store.upstreams();
        for upstream in self.view.iter().filter(|u| !present.contains(u)) {
            self.history.record_left(upstream.version, now);
        }
        self.view = present;
        self.position = Some(position);
    }

    fn record(&self, now: Instant) -> Option<VersionRecord> {
        let (read_at, read_ms) = (self.read_at?, self.read_ms);
        let to_ms = |at: Instant| read_ms.saturating_sub((read_at - at).as_millis() as u64);
        let mut upstreams: Vec<UpstreamHash> = self.view.iter().map(Upstream::hash).collect();
        upstreams.sort_unstable();
        let former = self.history.former(now);
        Some(VersionRecord {
            position: self.position?,
            read_ms,
            since: match self.since? {
                Since::SystemStart => KnownSince::SystemStart,
                Since::Read(at) => KnownSince::At(to_ms(at)),
            },
            present: self.view.iter().map(Upstream::of).collect(),
            former: former
                .map(|(version, at)| FormerVersion {
                    of: ServiceVersion {
                        service: SERVICE,
                        version,
                    },
                    left_ms: to_ms(at),
                })
                .collect(),
            upstreams,
        })
    }

    /// Continues the record. `None` if there is none.
    fn continue_stored_record(
        &mut self,
        store: &Store,
        now: Instant,
    ) -> Option<Result<(), NotContinued>> {
        let (record, _) = store.rows.record.clone()?;
        Some(self.continue_record(record, store, now))
    }

    fn continue_record(
        &mut self,
        record: VersionRecord,
        store: &Store,
        now: Instant,
    ) -> Result<(), NotContinued> {
        let now_ms = store.ms(now);
        let mut continuation = Continuation::new(record, store.position(), now_ms)?;
        let changes = store.changes(continuation.reached().version, now);
        let changes = changes.ok_or(NotContinued::TooOld)?;
        continuation.apply(changes, store.position())?;
        let view = self.position.ok_or(NotContinued::Incomplete)?;
        let continued = continuation.finish(view)?;
        let ago = |ms: u64| Duration::from_millis(now_ms.saturating_sub(ms));
        for of in &continued.seen {
            if !self.view.iter().any(|u| u.version == of.version) {
                self.history.record_left(of.version, now);
            }
        }
        for former in &continued.former {
            let left_at = now - ago(former.left_ms);
            self.history.record_left_at(former.of.version, left_at, now);
        }
        self.since = Some(match continued.since {
            KnownSince::SystemStart => Since::SystemStart,
            KnownSince::At(ms) => Since::Read(now - ago(ms)),
        });
        Ok(())
    }

    fn write(&mut self, store: &mut Store, now: Instant) {
        let Some(record) = self.record(now) else {
            return;
        };
        let (expected, known) = self
            .stored
            .take()
            .unwrap_or_else(|| match &store.rows.record {
                Some((record, version)) => (*version, Some(record.clone())),
                None => (0, None),
            });
        self.written_at = Some(now);
        if known
            .as_ref()
            .is_some_and(|known| !record.may_replace(known))
        {
            self.stored = Some((expected, known));
            return;
        }
        match store.writes {
            Writes::Done => {
                if store.write(record.clone(), expected, now) {
                    self.stored = Some((store.rows.version, Some(record)));
                }
            }
            Writes::Lost => {}
            Writes::Unanswered => {
                store.write(record, expected, now);
            }
            Writes::Delayed(by) => store.delayed.push_back((now + by, record, expected)),
        }
    }
}

/// A stream, and the version that began it.
struct Stream {
    version: NameHash,
    began_at: Instant,
}

/// Streams that clients continued at hosts that can reach the store.
#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    /// All of them.
    continued: usize,
    /// Those that were resumed.
    resumed: usize,
    /// Those that were resumed because the host had continued a record.
    by_record: usize,
}

struct Sim {
    now: Instant,
    store: Store,
    hosts: Vec<Host>,
    /// Upstreams that run and are registered or about to be, with the times of their starts.
    running: Vec<(Upstream, Instant)>,
    /// Upstreams that have left the registry, with the times.
    former: Vec<(Upstream, Instant)>,
    streams: Vec<Stream>,
    next_id: u64,
    counts: Counts,
    /// Number of records that were continued.
    records_continued: usize,
    rejections: Vec<NotContinued>,
}

fn version(n: usize) -> NameHash {
    NameHash::of(&format!("v{n}"))
}

impl Sim {
    fn new() -> Self {
        // An hour after its start, so that records can reach back.
        let now = Instant::now() + Duration::from_secs(3600);
        let mut sim = Self {
            now,
            store: Store {
                rows: Rows::default(),
                era: 1,
                snapshots: Vec::new(),
                history_from: 0,
                clock_start: now - Duration::from_secs(100),
                is_unavailable: false,
                writes: Writes::Done,
                delayed: VecDeque::new(),
            },
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            running: Vec::new(),
            former: Vec::new(),
            streams: Vec::new(),
            next_id: 0,
            counts: Counts::default(),
            records_continued: 0,
            rejections: Vec::new(),
        };
        sim.add(0, false);
        sim.add(0, true);
        for host in &mut sim.hosts {
            host.is_up = true;
            host.has_attempted = true;
            host.read_registry(&sim.store, now);
            host.since = Some(Since::SystemStart);
        }
        sim.wait(Duration::from_millis(1));
        sim
    }

    fn add(&mut self, n: usize, states_start: bool) {
        self.next_id += 1;
        let upstream = Upstream {
            id: format!("i-{}", self.next_id),
            start: states_start.then_some(self.next_id),
            version: version(n),
        };
        self.register(&upstream);
        self.running.push((upstream, self.now));
    }

    fn register(&mut self, upstream: &Upstream) {
        let entry = Entry::Registered(upstream.clone());
        self.store.set_entry(&upstream.id, entry, self.now);
    }

    fn can_reach_store(&self, n: usize) -> bool {
        self.hosts[n].is_up && !self.hosts[n].is_disconnected && !self.store.is_unavailable
    }

    /// Ends a start that was registered for long enough; returns whether it was.
    fn end(&mut self, at: usize) -> bool {
        let (upstream, since) = &self.running[at];
        if self.now - *since < MIN_PRESENCE {
            return false;
        }
        self.former.push((upstream.clone(), self.now));
        self.running.remove(at);
        true
    }

    fn remove(&mut self, at: usize) {
        let id = self.running[at].0.id.clone();
        if self.end(at) {
            self.store.set_entry(&id, Entry::Removed, self.now);
        }
    }

    fn restart_upstream(&mut self, at: usize, n: usize) {
        let mut upstream = self.running[at].0.clone();
        if upstream.start.is_none() || !self.end(at) {
            return;
        }
        self.next_id += 1;
        upstream.start = Some(self.next_id);
        upstream.version = version(n);
        self.register(&upstream);
        self.running.push((upstream, self.now));
    }

    fn begin(&mut self, n: usize, nth: usize) {
        let host = &self.hosts[n];
        if !host.is_up || host.view.is_empty() {
            return;
        }
        let known = &host.view[nth % host.view.len()];
        let now = self.now;
        let running = self.running.iter().find(|(u, _)| u.id == known.id);
        let lingering = self.former.iter().rfind(|(u, left_at)| {
            u.id == known.id && u.start == known.start && now - *left_at < MAX_LINGER
        });
        let Some((upstream, _)) = running.or(lingering) else {
            return;
        };
        self.streams.push(Stream {
            version: upstream.version,
            began_at: now,
        });
    }

    fn continue_stream(&mut self, n: usize, back: usize) -> Result<(), TestCaseError> {
        let Some(at) = self.streams.len().checked_sub(back + 1) else {
            return Ok(());
        };
        let Stream { version, began_at } = self.streams[at];
        if !self.can_reach_store(n) || self.now - began_at >= MAX_STREAM_LIFETIME {
            return Ok(());
        }
        self.counts.continued += 1;
        let host = &mut self.hosts[n];
        host.read_registry(&self.store, self.now);
        let is_covered = match host.since {
            None => false,
            Some(Since::SystemStart) => true,
            Some(Since::Read(at)) => self.now - at >= VERSION_LIFETIME,
        };
        let present = host.view.iter().map(|u| u.version);
        let only = host.history.only_version(present, self.now);
        if let Some(only) = only.filter(|_| is_covered) {
            prop_assert_eq!(only, version, "a stream over two versions");
            self.counts.resumed += 1;
            // Without a record, the coverage begins at the start of the host.
            let has_own_coverage = host
                .started_at
                .is_none_or(|at| self.now - at >= VERSION_LIFETIME);
            self.counts.by_record += usize::from(!has_own_coverage);
        }
        Ok(())
    }

    fn start(&mut self, n: usize) {
        if self.hosts[n].is_up {
            return;
        }
        let is_disconnected = self.hosts[n].is_disconnected;
        self.hosts[n] = Host {
            is_up: true,
            is_disconnected,
            started_at: Some(self.now),
            ..Host::default()
        };
        self.read_store(n);
    }

    fn kill(&mut self, n: usize) {
        let is_disconnected = self.hosts[n].is_disconnected;
        self.hosts[n] = Host {
            is_disconnected,
            ..Host::default()
        };
    }

    /// Reads the registry and, once after the start, the record, if the host can reach the store.
    fn read_store(&mut self, n: usize) {
        if !self.can_reach_store(n) {
            return;
        }
        let now = self.now;
        let host = &mut self.hosts[n];
        host.read_registry(&self.store, now);
        let Some(started_at) = host.started_at.filter(|_| !host.has_attempted) else {
            return;
        };
        host.has_attempted = true;
        if now - started_at >= MAX_RECORD_AGE {
            return;
        }
        match host.continue_stored_record(&self.store, now) {
            Some(Ok(())) => self.records_continued += 1,
            Some(Err(why)) => self.rejections.push(why),
            None => {}
        }
    }

    fn write(&mut self) {
        let Some(first) = (0..HOSTS).find(|n| self.can_reach_store(*n)) else {
            return;
        };
        let host = &mut self.hosts[first];
        let is_due = |at: Instant| self.now - at >= WRITE_EVERY;
        if host.written_at.is_none_or(is_due) {
            host.write(&mut self.store, self.now);
        }
    }

    fn run_step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Begin { host, upstream } => self.begin(host, upstream),
            Step::Continue { host, stream } => self.continue_stream(host, stream)?,
            Step::Kill(n) => self.kill(n),
            Step::KillAll => (0..HOSTS).for_each(|n| self.kill(n)),
            Step::Start(n) => self.start(n),
            Step::StartAll => (0..HOSTS).for_each(|n| self.start(n)),
            Step::Disconnect(n) => self.hosts[n].is_disconnected = true,
            Step::Reconnect(n) => self.hosts[n].is_disconnected = false,
            // Upstreams can't register while the store is unavailable.
            Step::Add { .. }
            | Step::Restart { .. }
            | Step::Remove(_)
            | Step::RemoveAll(_)
            | Step::AddUnreadable
                if self.store.is_unavailable => {}
            Step::Add {
                version,
                states_start,
            } => self.add(version, states_start),
            Step::Restart { upstream, version } if !self.running.is_empty() => {
                self.restart_upstream(upstream % self.running.len(), version);
            }
            Step::Remove(n) if !self.running.is_empty() => self.remove(n % self.running.len()),
            Step::Restart { .. } | Step::Remove(_) => {}
            Step::RemoveAll(n) => {
                for at in (0..self.running.len()).rev() {
                    if self.running[at].0.version == version(n) {
                        self.remove(at);
                    }
                }
            }
            Step::AddUnreadable => self
                .store
                .set_entry("unreadable", Entry::Unreadable, self.now),
            Step::SetUnavailable(is_unavailable) => self.store.is_unavailable = is_unavailable,
            Step::SetWrites(writes) => self.store.writes = writes,
            Step::DiscardHistory => {
                self.store.rows.version += 1;
                self.store.history_from = self.store.rows.version;
            }
            Step::Restore(s) => {
                self.store.restore(Duration::from_secs(s), self.now);
                self.register_again();
            }
            Step::Wait(ms) => self.wait(Duration::from_millis(ms)),
        }
        Ok(())
    }

    /// Upstreams that a restored store lacks register again, and entries of others expire.
    fn register_again(&mut self) {
        let present = self.store.upstreams();
        let running: Vec<Upstream> = self.running.iter().map(|(u, _)| u.clone()).collect();
        for upstream in running.iter().filter(|u| !present.contains(u)) {
            self.register(upstream);
        }
        for upstream in present {
            if !running.iter().any(|u| u.id == upstream.id) {
                self.store.set_entry(&upstream.id, Entry::Removed, self.now);
            }
        }
    }

    /// Lets time pass. Hosts that can reach the store read the registry and write the record.
    fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = until.min(self.now + READ_EVERY);
            let kept_from = self.now - Duration::from_secs(90);
            if let Some(at) = self
                .store
                .snapshots
                .iter()
                .rposition(|(at, _)| *at < kept_from)
            {
                self.store.snapshots.drain(..at);
            }
            self.store.write_delayed(self.now);
            (0..HOSTS).for_each(|n| self.read_store(n));
            self.write();
        }
    }
}

/// Guards against a stream running at two versions, and against records never being continued.
#[test]
fn no_stream_of_unknown_origin_goes_on_at_another_version() {
    let mut runner = TestRunner::new(Config {
        cases: 3000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6703),
        ..Config::default()
    });
    let counts = std::cell::Cell::new((Counts::default(), 0, 0));
    let rejections = std::cell::RefCell::new(Vec::new());
    let steps = (1..=VERSIONS).prop_flat_map(|n| proptest::collection::vec(step(n), 10..150));
    runner
        .run(&steps, |steps| {
            let mut sim = Sim::new();
            for step in steps {
                sim.run_step(step)?;
            }
            let (mut all, records_continued, not_continued) = counts.get();
            all.continued += sim.counts.continued;
            all.resumed += sim.counts.resumed;
            all.by_record += sim.counts.by_record;
            counts.set((
                all,
                records_continued + sim.records_continued,
                not_continued + sim.rejections.len(),
            ));
            rejections.borrow_mut().append(&mut sim.rejections);
            Ok(())
        })
        .unwrap();
    let (all, records_continued, not_continued) = counts.get();
    println!("{all:?}; {records_continued} records continued, {not_continued} not");
    let rejections = rejections.into_inner();
    for why in [
        NotContinued::OtherEra,
        NotContinued::TooOld,
        NotContinued::UnseenUpstream,
    ] {
        let count = rejections.iter().filter(|w| **w == why).count();
        println!("{count} times: {why}");
        assert!(count > 20, "{why}: {count}");
    }
    assert!(all.by_record > 100, "{all:?}");
}

/// Guards against streams being rejected after all hosts were killed and back within some seconds,
/// although the service had a single version all the time.
#[test]
fn streams_of_the_only_version_go_on_after_all_hosts_were_killed() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sim = Sim::new();
        sim.wait(Duration::from_millis(rng.u64(1..60_000)));
        sim.add(0, false);
        for _ in 0..rng.usize(1..5) {
            sim.wait(Duration::from_millis(rng.u64(1..15_000)));
            (0..HOSTS).for_each(|n| sim.begin(n, rng.usize(..6)));
            (0..HOSTS).for_each(|n| sim.kill(n));
            sim.wait(Duration::from_millis(rng.u64(1..8_000)));
            match rng.u32(..3) {
                0 => sim.add(0, false),
                1 if sim.running.len() > 2 && sim.running[0].0.start.is_none() => sim.remove(0),
                _ => {}
            }
            (0..HOSTS).for_each(|n| sim.start(n));
            for n in 0..HOSTS {
                sim.continue_stream(n, rng.usize(..HOSTS)).unwrap();
            }
        }
        let Counts {
            continued, resumed, ..
        } = sim.counts;
        assert!(continued > 0);
        assert_eq!(resumed, continued, "seed {seed}: {:?}", sim.rejections);
    }
}

/// Guards against a record being continued although an unseen upstream may have run another version
/// since, and against losing a version that was registered since.
#[test]
fn a_record_is_not_continued_if_an_upstream_may_be_unseen() {
    let position = |version| StorePosition { era: 1, version };
    let of = |n| ServiceVersion {
        service: SERVICE,
        version: version(n),
    };
    let (single, start) = (
        UpstreamHash::of_id("i-1"),
        UpstreamHash::of_start("i-2", 5, version(0)),
    );
    let mut upstreams = vec![single, start];
    upstreams.sort_unstable();
    let record = VersionRecord {
        position: position(10),
        read_ms: 1000,
        since: KnownSince::SystemStart,
        present: vec![of(0)],
        former: Vec::new(),
        upstreams,
    };
    let continue_with = |change| {
        let mut continuation = Continuation::new(record.clone(), position(12), 2000)?;
        continuation.apply([change], position(12))?;
        continuation.finish(position(11)).map(|c| c.seen)
    };
    let unseen = Err(NotContinued::UnseenUpstream);
    let other_start = UpstreamHash::of_start("i-2", 6, version(0));
    let cases = [
        (UpstreamChange::Registered(of(0)), Ok(vec![of(0)])),
        (UpstreamChange::Registered(of(1)), {
            let mut both = vec![of(0), of(1)];
            both.sort_unstable();
            Ok(both)
        }),
        (
            UpstreamChange::RegisteredStart(start, of(0)),
            Ok(vec![of(0)]),
        ),
        (
            UpstreamChange::RegisteredStart(other_start, of(0)),
            unseen.clone(),
        ),
        (UpstreamChange::Removed(single), Ok(vec![of(0)])),
        (
            UpstreamChange::Removed(UpstreamHash::of_id("i-2")),
            unseen.clone(),
        ),
        (
            UpstreamChange::Removed(UpstreamHash::of_id("i-3")),
            unseen.clone(),
        ),
        (UpstreamChange::Unreadable, unseen),
    ];
    for (change, expected) in cases {
        assert_eq!(continue_with(change), expected, "{change:?}");
    }
}

/// Guards against continuing a record of another era, or one without all changes since.
#[test]
fn a_record_of_another_history_is_not_continued() {
    let position = |era, version| StorePosition { era, version };
    let record = VersionRecord {
        position: position(2, 10),
        read_ms: 1000,
        since: KnownSince::At(0),
        present: Vec::new(),
        former: Vec::new(),
        upstreams: Vec::new(),
    };
    let begin = |at, ms| Continuation::new(record.clone(), at, ms).map(|_| ());
    let too_late_ms = 1000 + MAX_RECORD_AGE.as_millis() as u64;
    assert_eq!(begin(position(2, 10), 1000), Ok(()));
    assert_eq!(begin(position(2, 10), too_late_ms - 1), Ok(()));
    assert_eq!(
        begin(position(2, 10), too_late_ms),
        Err(NotContinued::TooOld)
    );
    assert_eq!(begin(position(1, 10), 1000), Err(NotContinued::OtherEra));
    assert_eq!(begin(position(3, 10), 1000), Err(NotContinued::OtherEra));
    assert_eq!(begin(position(2, 9), 1000), Err(NotContinued::AheadOfStore));
    assert_eq!(begin(position(2, 10), 999), Err(NotContinued::AheadOfStore));
    let mut continuation = Continuation::new(record, position(2, 12), 2000).unwrap();
    let restored = continuation.apply([], position(3, 12));
    assert_eq!(restored, Err(NotContinued::OtherEra));
    continuation.apply([], position(2, 11)).unwrap();
    assert_eq!(
        continuation.finish(position(2, 12)),
        Err(NotContinued::Incomplete)
    );
}

/// Guards against a host that knows less replacing a record that others can still continue, and
/// against one that can't be continued never being replaced.
#[test]
fn a_record_is_replaced_by_one_that_reaches_as_far_back() {
    let record = |era, version, read_ms, since| VersionRecord {
        position: StorePosition { era, version },
        read_ms,
        since,
        present: Vec::new(),
        former: Vec::new(),
        upstreams: Vec::new(),
    };
    let at = KnownSince::At;
    let stored = record(2, 10, 50_000, at(10_000));
    for (own, may_replace) in [
        (record(2, 11, 60_000, at(10_000)), true),
        (record(2, 10, 60_000, at(11_000)), true),
        (record(2, 11, 60_000, KnownSince::SystemStart), true),
        (record(2, 11, 60_000, at(20_000)), false),
        (record(2, 11, 70_000, at(20_000)), true),
        (record(2, 9, 60_000, at(10_000)), false),
        (record(2, 10, 50_000, at(10_000)), false),
        (record(3, 1, 10, at(5)), true),
        (record(1, 99, 90_000, KnownSince::SystemStart), false),
    ] {
        assert_eq!(own.may_replace(&stored), may_replace, "{own:?}");
    }
    let from_start = record(2, 10, 50_000, KnownSince::SystemStart);
    assert!(!record(2, 11, 60_000, at(0)).may_replace(&from_start));
}
