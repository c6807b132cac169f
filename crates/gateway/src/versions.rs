//! Record of the versions of all services, kept in the store across restarts of hosts.
//!
//! A stream of unknown origin is resumed only while its service is known to have had a single
//! version for longer than any stream lasts; see [`crate::origins`]. A host determines that from
//! its own reads of the registry and from the stored record. The host of rank 0 writes the record;
//! a host that starts reads it and the changes of the registry since.
//!
//! At the first start of the whole system there is no record. A process whose settings claim the
//! first start begins no stream before the record exists, so its absence shows that no stream began.

use crate::fleet::{Fleet, version_of};
use crate::follow::{Dependency, StoreClient};
use crate::monotonic;
use crate::state::{CoveredSince, Gateway, RegistryState};
use observe::{Event, emit};
use origins::{
    Continuation, Continued, FormerVersion, KnownSince, MAX_RECORD_AGE, NameHash, NotContinued,
    ServiceVersion, StorePosition, UpstreamChange, UpstreamHash, VersionRecord,
};
use platform::{
    Cursor, Instance, LeftVersion, Position, PresentVersion, Registration, Start, StoreError,
    StoredVersions, VersionsRow, VersionsWrite,
};
use quick_error::quick_error;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Interval between two writes of the record. Half of the time for which the store keeps changes
/// remains for a restart of all hosts.
const WRITE_EVERY: Duration = Duration::from_secs(10);
/// Delay before the record is read again after another host has replaced it.
const REREAD_DELAY: Duration = Duration::from_secs(1);
/// Interval between checks whether this process should read or write the record.
const CHECK_EVERY: Duration = Duration::from_millis(100);
/// Timeout for a call to the store.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait of a request for the first attempt to read the record.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Added when times of this host's clock are converted to the store's. A registry read that a
/// peer reports is older than its receipt by the transit time of the datagram.
const CLOCK_MARGIN: Duration = Duration::from_secs(1);
/// Time per host over which processes spread the creation of the record, so that few of them write.
const CREATE_SPREAD_PER_HOST: Duration = Duration::from_millis(5);
/// Maximum number of reads of the registry's changes since the record.
const MAX_FEED_READS: usize = 8;

/// What this process knows of the stored record.
#[derive(Debug)]
pub struct Versions {
    /// Whether the first attempt to read it has ended.
    is_attempted: watch::Sender<bool>,
    /// Whether streams may begin here. If the settings claim the first start of the whole system,
    /// they may only once the record exists.
    may_begin_streams: watch::Sender<bool>,
}

quick_error! {
    /// Reason why a record wasn't used.
    #[derive(Debug)]
    enum ContinueError {
        Store(e: StoreError) {
            display("{e}")
            from()
        }
        NotContinued(why: NotContinued) {
            display("{why}")
            from()
        }
        Absent { display("there is no record") }
        FirstStart { display("there is no record, as the system starts for the first time") }
        Undecodable(why: String) { display("the record can't be decoded: {why}") }
        Gap { display("this process missed reads of the registry meanwhile") }
    }
}

/// Time of the store's clock, and the same time by this host's clock.
#[derive(Debug, Clone, Copy)]
struct StoreTime {
    ms: u64,
    at: Instant,
}

/// Last known state of the stored record.
#[derive(Debug, Default)]
enum Stored {
    /// It must be read.
    #[default]
    Unknown,
    /// Version of its row, and the record unless it is absent or can't be decoded.
    Known(u64, Option<VersionRecord>),
}

impl Versions {
    /// Creates the state of a process. Streams may begin at once unless its settings claim the first
    /// start of the whole system.
    pub fn new(is_first_start_claimed: bool) -> Self {
        Self {
            is_attempted: watch::Sender::new(false),
            may_begin_streams: watch::Sender::new(!is_first_start_claimed),
        }
    }

    /// Waits until streams may begin, for `READ_TIMEOUT` at most, and returns whether they may.
    pub async fn wait_until_streams_may_begin(&self) -> bool {
        let mut may_begin = self.may_begin_streams.subscribe();
        let allowed = may_begin.wait_for(|may_begin| *may_begin);
        tokio::time::timeout(READ_TIMEOUT, allowed).await.is_ok()
    }

    /// Whether streams may begin.
    fn may_streams_begin(&self) -> bool {
        *self.may_begin_streams.borrow()
    }

    /// Allows streams to begin.
    fn allow_streams(&self) {
        self.may_begin_streams.send_replace(true);
    }

    /// Waits until the first attempt to read the record has ended, for `READ_TIMEOUT` at most.
    pub async fn wait_until_read(&self) {
        let mut is_attempted = self.is_attempted.subscribe();
        let attempted = is_attempted.wait_for(|is_attempted| *is_attempted);
        // After the timeout, only this process's own reads of the registry are used.
        let _ = tokio::time::timeout(READ_TIMEOUT, attempted).await;
    }
}

/// Reads the record once, creates it at a first start, and writes it while this process has rank 0,
/// until the process ends.
pub async fn follow(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    read(&gateway, &mut client).await;
    gateway.versions.is_attempted.send_replace(true);
    create(&gateway, &mut client).await;
    write(&gateway, &mut client).await;
}

/// Checks a read of the record for a first start of the whole system. Returns why it isn't
/// confirmed, or `None` if it is. Allows streams to begin if the record exists or the store was
/// restored, as its absence shows nothing then.
pub(crate) fn check_first_start(
    gateway: &Gateway,
    read: &Result<StoredVersions, StoreError>,
) -> Option<String> {
    let why = match read {
        Ok(stored) if stored.row.is_some() => "there is a version record",
        Ok(_) if !gateway.store_era.is_first() => "the store was restored from a copy",
        Ok(_) => return None,
        Err(e) => return Some(e.to_string()),
    };
    gateway.versions.allow_streams();
    Some(why.to_owned())
}

/// Continues the record, and retries temporary failures until it would be too old.
async fn read(gateway: &Arc<Gateway>, client: &mut StoreClient) {
    let mut dependency = Dependency::new("store/versions");
    let since = monotonic::now();
    loop {
        let Some(own_since) = wait_for_coverage(gateway).await else {
            return;
        };
        match continue_record(gateway, client, own_since).await {
            Ok(()) => return,
            Err(ContinueError::FirstStart)
                if gateway.extend_coverage(own_since, CoveredSince::SystemStart) =>
            {
                emit(&Event::FirstStart {
                    is_shown: true,
                    why: "no version record since all upstreams are known".to_owned(),
                });
                return;
            }
            Err(ContinueError::Gap | ContinueError::FirstStart) => {}
            Err(ContinueError::Store(e)) if is_temporary(&e) => {
                dependency.record_failure(&e);
            }
            Err(e) => {
                log_not_continued(&e);
                return;
            }
        }
        // Requests wait for the first attempt only.
        gateway.versions.is_attempted.send_replace(true);
        if monotonic::elapsed(since) >= MAX_RECORD_AGE {
            log_not_continued(&"not read in time");
            return;
        }
        dependency.pause(gateway).await;
    }
}

/// Waits for the routes and for coverage of the registry, and returns the start of the coverage.
/// `None` if no route has resumable streams or the process stops.
async fn wait_for_coverage(gateway: &Gateway) -> Option<CoveredSince> {
    loop {
        let routes = gateway.routes();
        if gateway.stop.is_stopped() || routes.as_ref().is_some_and(|r| !r.has_resumable()) {
            return None;
        }
        if let (Some(_), Some(since)) = (routes, gateway.registry_coverage().since()) {
            return Some(since);
        }
        tokio::time::sleep(CHECK_EVERY).await;
    }
}

fn is_temporary(e: &StoreError) -> bool {
    match e {
        StoreError::Unreachable(_) | StoreError::Refused(_) => true,
        StoreError::HistoryGone
        | StoreError::EraChanged
        | StoreError::OldEra(_)
        | StoreError::Malformed(_) => false,
    }
}

fn log_not_continued(why: &dyn std::fmt::Display) {
    emit(&Event::VersionsNotContinued {
        why: why.to_string(),
    });
}

/// Reads the record and the changes since, and extends this process's coverage of the registry,
/// which starts at `own_since`.
async fn continue_record(
    gateway: &Arc<Gateway>,
    client: &mut StoreClient,
    own_since: CoveredSince,
) -> Result<(), ContinueError> {
    gateway.metrics.count_store_read("versions", "initial");
    let is_first_start_claimed = !gateway.versions.may_streams_begin();
    let read = client.store().versions(ANSWER_TIMEOUT).await;
    if check_first_start(gateway, &read).is_none() && is_first_start_claimed {
        return Err(ContinueError::FirstStart);
    }
    let stored = read?;
    let now = StoreTime::now(stored.now_ms);
    let row = stored.row.ok_or(ContinueError::Absent)?;
    let row = row.map_err(ContinueError::Undecodable)?;
    let (host, read_ms) = (row.host.clone(), row.read_ms);
    let read_at = to_store_position(stored.position);
    let mut continuation = Continuation::new(to_record(row), read_at, stored.now_ms)?;
    // This process's own view begins at this position or before.
    let view = to_store_position(gateway.registry().position);
    for _ in 0..MAX_FEED_READS {
        let cursor = Cursor::Since(to_position(continuation.reached()));
        gateway.metrics.count_store_read("registry", "versions");
        let read = client.store().upstreams(&cursor, ANSWER_TIMEOUT);
        let read = read.await?;
        if !matches!(read.next, Cursor::Since(_)) {
            return Err(NotContinued::Incomplete.into());
        }
        let changes = read.items.iter().map(to_change);
        continuation.apply(changes, to_store_position(read.position))?;
        if continuation.reached() >= view {
            break;
        }
    }
    let continued = continuation.finish(view)?;
    if !extend(gateway, &continued, own_since, now) {
        return Err(ContinueError::Gap);
    }
    emit(&Event::VersionsContinued {
        host: &host,
        known_ms: match continued.since {
            KnownSince::SystemStart => None,
            KnownSince::At(ms) => Some(now.ms.saturating_sub(ms)),
        },
        record_ms: now.ms.saturating_sub(read_ms),
        changes: continued.changes,
        versions: continued.seen.len(),
        former: continued.former.len(),
    });
    Ok(())
}

/// Adds the versions of a record, and then extends the coverage. Returns false if this process
/// missed reads of the registry meanwhile. The added versions are harmless then, as they can only
/// prevent streams from being resumed.
fn extend(
    gateway: &Gateway,
    continued: &Continued,
    own_since: CoveredSince,
    now: StoreTime,
) -> bool {
    {
        let mut fleet = gateway.fleet();
        let present = fleet.present_versions();
        let left_at = monotonic::now();
        for of in &continued.seen {
            if present.binary_search(of).is_err() {
                fleet.record_left(*of, left_at, left_at);
            }
        }
        for former in &continued.former {
            fleet.record_left(former.of, now.to_instant(former.left_ms), left_at);
        }
    }
    let since = match continued.since {
        KnownSince::SystemStart => CoveredSince::SystemStart,
        KnownSince::At(ms) => CoveredSince::Read(now.to_instant(ms)),
    };
    gateway.extend_coverage(own_since, since)
}

/// Creates the record unless it exists, if the settings claim the first start of the whole system.
/// Streams may begin afterwards.
async fn create(gateway: &Arc<Gateway>, client: &mut StoreClient) {
    let mut dependency = Dependency::new("store/versions");
    while !gateway.versions.may_streams_begin() {
        let hosts = gateway.peers().len() as u32 + 1;
        let pause = (CHECK_EVERY + CREATE_SPREAD_PER_HOST * hosts).mul_f64(fastrand::f64());
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = gateway.stop.stopped() => return,
        }
        if !gateway.routes().is_some_and(|r| r.has_resumable()) {
            continue;
        }
        let Some(record) = own_record(gateway) else {
            continue;
        };
        if let Err(e) = create_once(gateway, client, record).await {
            dependency.record_failure(&e);
            dependency.pause(gateway).await;
        }
    }
}

/// Creates the record unless it exists, and allows streams to begin.
async fn create_once(
    gateway: &Gateway,
    client: &mut StoreClient,
    record: VersionRecord,
) -> Result<(), StoreError> {
    gateway.metrics.count_store_read("versions", "initial");
    let read = client.store().versions(ANSWER_TIMEOUT).await;
    if check_first_start(gateway, &read).is_some() {
        return read.map(|_| ());
    }
    let mut row = to_row(&record, &gateway.host().name);
    loop {
        let write = client.store().write_versions(&row, 0, ANSWER_TIMEOUT);
        match write.await? {
            VersionsWrite::Written(_) | VersionsWrite::Superseded => {
                gateway.versions.allow_streams();
                return Ok(());
            }
            // A record without upstreams isn't continued once one of them has left.
            VersionsWrite::TooLong(_) if !row.upstreams.is_empty() => row.upstreams.clear(),
            VersionsWrite::TooLong(bytes) => {
                let why = format!("the record has {bytes} bytes, more than a row can hold");
                return Err(StoreError::Malformed(why));
            }
        }
    }
}

/// Writes the record at intervals while this process has rank 0, and once more as it stops.
async fn write(gateway: &Arc<Gateway>, client: &mut StoreClient) {
    let mut dependency = Dependency::new("store/versions");
    let mut stored = Stored::default();
    let mut due_at = monotonic::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_EVERY) => {}
            () = gateway.stop.stopped() => {}
        }
        let is_stopping = gateway.stop.is_stopped();
        if is_writer(gateway) && (is_stopping || monotonic::now() >= due_at) {
            match write_once(gateway, client, &mut stored).await {
                Ok(Some(delay)) => {
                    dependency.record_success();
                    due_at = monotonic::now() + delay;
                }
                Ok(None) => {}
                Err(e) => {
                    // The row may have been written.
                    stored = Stored::Unknown;
                    dependency.record_failure(&e);
                    if !is_stopping {
                        dependency.pause(gateway).await;
                    }
                }
            }
        }
        if is_stopping {
            return;
        }
    }
}

fn is_writer(gateway: &Gateway) -> bool {
    let has_resumable = gateway.routes().is_some_and(|r| r.has_resumable());
    has_resumable && gateway.peers().is_membership_known() && gateway.rank() == 0
}

/// Writes the record if there is one that may replace the stored one. Returns the delay until the
/// next attempt; `None` if there is no record to write.
async fn write_once(
    gateway: &Gateway,
    client: &mut StoreClient,
    stored: &mut Stored,
) -> Result<Option<Duration>, StoreError> {
    if own_record(gateway).is_none() {
        return Ok(None);
    }
    if let Stored::Unknown = stored {
        gateway.metrics.count_store_read("versions", "changes");
        *stored = Stored::from_read(client.store().versions(ANSWER_TIMEOUT).await?);
    }
    let (Stored::Known(revision, known), Some(record)) = (&*stored, own_record(gateway)) else {
        return Ok(None);
    };
    if known
        .as_ref()
        .is_some_and(|known| !record.may_replace(known))
    {
        return Ok(Some(WRITE_EVERY));
    }
    let row = to_row(&record, &gateway.host().name);
    let write = client
        .store()
        .write_versions(&row, *revision, ANSWER_TIMEOUT);
    match write.await? {
        VersionsWrite::Written(revision) => *stored = Stored::Known(revision, Some(record)),
        VersionsWrite::Superseded => {
            *stored = Stored::Unknown;
            return Ok(Some(REREAD_DELAY));
        }
        VersionsWrite::TooLong(bytes) => emit(&Event::VersionsNotWritten {
            why: format!("the record has {bytes} bytes, more than a row can hold"),
        }),
    }
    Ok(Some(WRITE_EVERY))
}

/// Builds the record as of the last read of the registry; `None` if upstreams may be missing.
fn own_record(gateway: &Gateway) -> Option<VersionRecord> {
    // The upstreams may be of a later position than the registry state. That only adds versions, or
    // makes a reader reject the record because of an unseen upstream.
    let (registry, coverage) = gateway.covered_registry();
    let since = coverage.since()?;
    let is_current = coverage.is_current(monotonic::now());
    if !is_current || !gateway.missing().is_empty() || !registry.position.is_known() {
        return None;
    }
    let fleet = gateway.fleet();
    let read = StoreTime::of_read(&registry);
    let former = fleet.former_versions(monotonic::now()).into_iter();
    Some(VersionRecord {
        position: to_store_position(registry.position),
        read_ms: registry.store_ms,
        since: match since {
            CoveredSince::SystemStart => KnownSince::SystemStart,
            CoveredSince::Read(at) => KnownSince::At(read.to_upper_bound_ms(at)),
        },
        present: fleet.present_versions(),
        former: former
            .map(|(of, left_at)| FormerVersion {
                of,
                left_ms: read.to_upper_bound_ms(left_at),
            })
            .collect(),
        upstreams: upstream_hashes(&fleet),
    })
}

fn upstream_hashes(fleet: &Fleet) -> Vec<UpstreamHash> {
    let hashes = fleet.iter().map(|(_, u)| match u.instance.start {
        None => UpstreamHash::of_id(&u.instance.id),
        Some(start) => start_hash(&u.instance, start),
    });
    let mut hashes: Vec<UpstreamHash> = hashes.collect();
    hashes.sort_unstable();
    hashes
}

fn start_hash(instance: &Instance, Start(ms): Start) -> UpstreamHash {
    UpstreamHash::of_start(&instance.id, ms, version_of(instance))
}

impl Stored {
    fn from_read(read: StoredVersions) -> Self {
        let record = match read.row {
            Some(Ok(row)) => Some(to_record(row)),
            Some(Err(why)) => {
                let what = "versions";
                emit(&Event::Undecodable { what, why });
                None
            }
            None => None,
        };
        Self::Known(read.revision, record)
    }
}

impl StoreTime {
    fn now(ms: u64) -> Self {
        let at = monotonic::now();
        Self { ms, at }
    }

    fn of_read(registry: &RegistryState) -> Self {
        Self {
            ms: registry.store_ms,
            at: registry.read_at,
        }
    }

    /// Converts a time of the store's clock. A time that this host's clock can't represent becomes a
    /// later one, which shortens the coverage.
    fn to_instant(self, ms: u64) -> Instant {
        let ago = Duration::from_millis(self.ms.saturating_sub(ms));
        self.at.checked_sub(ago).unwrap_or(self.at)
    }

    /// Converts a time of this host's clock to an upper bound in the store's clock. A later time
    /// shortens the coverage.
    fn to_upper_bound_ms(self, at: Instant) -> u64 {
        let after = at.saturating_duration_since(self.at) + CLOCK_MARGIN;
        let before = self.at.saturating_duration_since(at).as_millis() as u64;
        let ms = self.ms.saturating_add(after.as_millis() as u64);
        ms.saturating_sub(before)
    }
}

fn to_store_position(position: Position) -> StorePosition {
    let Position { era, version } = position;
    StorePosition { era, version }
}

fn to_position(position: StorePosition) -> Position {
    let StorePosition { era, version } = position;
    Position { era, version }
}

fn to_service_version(service: u64, version: u64) -> ServiceVersion {
    ServiceVersion {
        service: NameHash(service),
        version: NameHash(version),
    }
}

fn to_change(change: &Registration) -> UpstreamChange {
    match change {
        Registration::Registered(instance) => {
            let of = ServiceVersion {
                service: NameHash::of(&instance.service),
                version: version_of(instance),
            };
            match instance.start {
                None => UpstreamChange::Registered(of),
                Some(start) => UpstreamChange::RegisteredStart(start_hash(instance, start), of),
            }
        }
        Registration::Removed { id } => UpstreamChange::Removed(UpstreamHash::of_id(id)),
        Registration::Unreadable(_) => UpstreamChange::Unreadable,
    }
}

fn to_record(row: VersionsRow) -> VersionRecord {
    let present = row.present.iter();
    let former = row.former.iter();
    VersionRecord {
        position: to_store_position(row.position),
        read_ms: row.read_ms,
        since: row.since_ms.map_or(KnownSince::SystemStart, KnownSince::At),
        present: present
            .map(|v| to_service_version(v.service, v.version))
            .collect(),
        former: former
            .map(|v| FormerVersion {
                of: to_service_version(v.service, v.version),
                left_ms: v.left_ms,
            })
            .collect(),
        upstreams: row.upstreams.into_iter().map(UpstreamHash).collect(),
    }
}

fn to_row(record: &VersionRecord, host: &str) -> VersionsRow {
    let present = record.present.iter();
    let former = record.former.iter();
    VersionsRow {
        host: host.to_owned(),
        position: to_position(record.position),
        read_ms: record.read_ms,
        since_ms: match record.since {
            KnownSince::SystemStart => None,
            KnownSince::At(ms) => Some(ms),
        },
        present: present
            .map(|of| PresentVersion {
                service: of.service.0,
                version: of.version.0,
            })
            .collect(),
        former: former
            .map(|former| LeftVersion {
                service: former.of.service.0,
                version: former.of.version.0,
                left_ms: former.left_ms,
            })
            .collect(),
        upstreams: record.upstreams.iter().map(|hash| hash.0).collect(),
    }
}
