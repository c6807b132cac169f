//! Origins of streams in the store.
//!
//! The store keeps origins while no host runs. A host that stops writes to its own row the origins
//! that would otherwise be lost, and writers of checkpoints write those of open streams while
//! they run (see [`super::checkpoint`]); hosts that start read all rows once. A lookup of a stream that no
//! host knows triggers another read, one at a time. Rows are removed once their streams have
//! expired: each host removes its own, and the host of rank 0 removes those of hosts that didn't
//! restart.
//!
//! Each write is conditional on the row version that this process knows, so that a delayed write
//! never replaces a later one. An origin never changes, so a row can be missing or incomplete but
//! not outdated. An upstream may have restarted with another version before a stream began, without
//! any host having noticed before it stopped. A row therefore records until when its writer knew
//! the starts of upstreams; later streams are used only if their upstream's start is still current.

use super::record_stored;
use crate::follow::registry::last_known_running;
use crate::follow::{StoreClient, retry_pause};
use crate::monotonic;
use crate::state::Gateway;
use crate::store_clock::StoreClock;
use observe::{Event, emit};
use origins::{MAX_STREAM_LIFETIME, NameHash, Origin, OriginRecord, StreamId};
use platform::{
    Cursor, MAX_STREAM_RECORDS, Position, StoreError, StoredStreamRow, StreamRecord, StreamRow,
    StreamWrite,
};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// Timeout for the read of a page and the removal of rows, and minimum timeout of an attempt to
/// save them.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of pages of a read. Full rows of 629 hosts take 42 MB.
const MAX_PAGES: u32 = 64;
/// Maximum random delay of the first read, per host, as hosts may start at the same time.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(5);
/// Maximum number of doublings of the pause after a failed first read.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Minimum interval between reads for lookups: a fixed part, and a part per host.
const READ_INTERVAL: Duration = Duration::from_secs(1);
const READ_INTERVAL_PER_HOST: Duration = Duration::from_millis(5);
/// Maximum time for which a lookup waits for a read.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between checks whether the registry has been read.
const REGISTRY_CHECK_EVERY: Duration = Duration::from_millis(20);
/// Maximum number of attempts to write a row that is changed concurrently.
const MAX_WRITE_ATTEMPTS: u32 = 3;
/// Maximum number of attempts to save, as the store may refuse writes when many hosts stop at once.
const MAX_SAVE_ATTEMPTS: u32 = 4;
/// Pause before another attempt to save: a fixed part, and the maximum of a random part, per host.
const SAVE_RETRY_PAUSE: Duration = Duration::from_millis(50);
const SAVE_RETRY_SPREAD: Duration = Duration::from_millis(5);
/// Maximum number of other hosts' rows that are removed after a read.
const MAX_REMOVED_ROWS: usize = 32;
/// Pause after a failed removal of this host's row.
const REMOVAL_RETRY_PAUSE: Duration = Duration::from_secs(60);

/// Origin of a stream that was read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredOrigin {
    /// Host that wrote it.
    pub host: String,
    /// The stream.
    pub stream: StreamId,
    /// Where and when it began.
    pub record: OriginRecord,
}

/// This process's state for the rows.
#[derive(Debug)]
pub struct StreamRows {
    state: Mutex<State>,
    /// Notified when a lookup requests a read of the rows.
    read_requested: Notify,
    last_read: watch::Sender<LastRead>,
    /// Held while the row of this host is written or removed.
    write_lock: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct State {
    own: Option<OwnRow>,
    /// Whether a read is running or requested.
    is_reading: bool,
    /// Earliest time of the next read for a lookup; `None` before the first one.
    next_read_at: Option<Instant>,
}

/// Number of completed reads, and whether the last one succeeded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LastRead {
    completed: u64,
    succeeded: bool,
}

/// The row of this host as it was last read or written.
#[derive(Debug, Clone)]
struct OwnRow {
    /// Position of the row; its version is 0 if there is no row.
    position: Position,
    clock: StoreClock,
    /// Time at which its last stream expires; `None` if there is no row, or it was read on its own.
    expires_at: Option<Instant>,
    /// Streams that this process has written, sorted.
    written: Vec<StreamId>,
    /// Records of an earlier process that this one hasn't read with the other rows.
    unread: Vec<StreamRecord>,
    /// Time until which the writer of `unread` knew the starts of upstreams.
    unread_verified_ms: u64,
}

impl Default for StreamRows {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            read_requested: Notify::new(),
            last_read: watch::Sender::default(),
            write_lock: tokio::sync::Mutex::default(),
        }
    }
}

impl StreamRows {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    fn end_read(&self, succeeded: bool) {
        self.state().is_reading = false;
        self.last_read.send_modify(|last| {
            last.completed += 1;
            last.succeeded = succeeded;
        });
    }

    /// Returns the row of this host, unless the store was restored since it was read or written.
    fn own(&self, gateway: &Gateway) -> Option<OwnRow> {
        let own = self.state().own.clone();
        own.filter(|own| own.position.era == gateway.store_era.current())
    }

    fn set_own(&self, own: Option<OwnRow>) {
        self.state().own = own;
    }

    /// Returns the time at which this host's row is to be removed.
    fn remove_at(&self) -> Option<Instant> {
        let state = self.state();
        state.own.as_ref().and_then(|own| own.expires_at)
    }
}

impl OwnRow {
    fn new(position: Position, clock: StoreClock) -> Self {
        Self {
            position,
            clock,
            expires_at: None,
            written: Vec::new(),
            unread: Vec::new(),
            unread_verified_ms: u64::MAX,
        }
    }

    fn exists(&self) -> bool {
        self.position.version > 0
    }

    fn has_written(&self, records: &[(StreamId, OriginRecord)]) -> bool {
        let is_written = |stream: &StreamId| self.written.binary_search(stream).is_ok();
        records.iter().all(|(stream, _)| is_written(stream))
    }

    /// Builds the row with these records and the unexpired ones of `unread`.
    fn updated(&self, gateway: &Gateway, records: &[(StreamId, OriginRecord)]) -> StreamRow {
        let clock = self.clock;
        let mut streams: Vec<StreamId> = records.iter().map(|(stream, _)| *stream).collect();
        streams.sort_unstable();
        let now_ms = clock.to_store_ms(monotonic::now());
        let is_kept = |r: &&StreamRecord| {
            r.expires_ms > now_ms && streams.binary_search(&StreamId(r.stream)).is_err()
        };
        let unread = self.unread.iter().filter(is_kept).copied();
        let mut all: Vec<StreamRecord> = records
            .iter()
            .map(|(stream, record)| encode(*stream, record, clock))
            .chain(unread)
            .collect();
        all.sort_by_key(|r| std::cmp::Reverse(r.expires_ms));
        all.truncate(MAX_STREAM_RECORDS);
        let verified_ms = clock.to_store_ms(last_known_running(gateway));
        StreamRow {
            host: gateway.host().name.clone(),
            written_ms: now_ms,
            verified_ms: verified_ms.min(self.unread_verified_ms),
            records: all,
        }
    }
}

/// Reads the rows when this process starts and when lookups request it, and removes the row of this
/// host once it has expired, until the process ends.
pub async fn follow(gateway: Arc<Gateway>) {
    read_first(&gateway).await;
    loop {
        let remove_at = gateway.stream_rows.remove_at();
        let expiry = async {
            match remove_at {
                Some(at) => tokio::time::sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = gateway.stream_rows.read_requested.notified() => {
                read_and_record(&gateway).await;
            }
            () = expiry => remove_own(&gateway).await,
        }
    }
}

/// Reads the rows once. A failed read is retried while the rows may hold unexpired streams.
async fn read_first(gateway: &Arc<Gateway>) {
    let started_at = monotonic::now();
    gateway.startup_load.finished(false).await;
    let spread = FIRST_READ_SPREAD * host_count(gateway);
    // A lookup ends the delay.
    let requested = gateway.stream_rows.read_requested.notified();
    let _ = tokio::time::timeout(spread.mul_f64(fastrand::f64()), requested).await;
    let mut failures = 0;
    while !read_and_record(gateway).await && monotonic::elapsed(started_at) < MAX_STREAM_LIFETIME {
        failures += 1;
        let pause = retry_pause(failures, true, fastrand::f64());
        let pause = pause * 2u32.pow(failures.min(MAX_PAUSE_DOUBLINGS));
        // A lookup that needs the rows ends the pause.
        let requested = gateway.stream_rows.read_requested.notified();
        let _ = tokio::time::timeout(pause, requested).await;
    }
}

/// Waits until the first read of the rows has succeeded or failed.
pub async fn wait_for_first_read(gateway: &Gateway) {
    let mut last_read = gateway.stream_rows.last_read.subscribe();
    // An error means that the process is ending.
    let _ = last_read.wait_for(|last| last.completed > 0).await;
}

fn host_count(gateway: &Gateway) -> u32 {
    u32::try_from(gateway.peers().len()).unwrap_or(u32::MAX - 1) + 1
}

/// Reads the rows and records their origins. Returns whether the read succeeded.
async fn read_and_record(gateway: &Arc<Gateway>) -> bool {
    let rows = &gateway.stream_rows;
    rows.state().is_reading = true;
    // The registry shows which upstream starts are still current.
    while !gateway.registry().position.is_known() {
        tokio::time::sleep(REGISTRY_CHECK_EVERY).await;
    }
    let read = read(gateway).await;
    let succeeded = read.is_ok();
    match read {
        Ok(stored) => record_stored(gateway, stored),
        Err(e) => emit(&Event::StreamRowsNotRead { why: e.to_string() }),
    }
    rows.end_read(succeeded);
    succeeded
}

/// Requests a read of the rows for a lookup and waits for it. Returns `None` if none is due, or if
/// it failed or timed out.
pub async fn request_read(gateway: &Arc<Gateway>) -> Option<()> {
    let rows = &gateway.stream_rows;
    let mut last_read = rows.last_read.subscribe();
    let before = *last_read.borrow_and_update();
    {
        let mut state = rows.state();
        let now = monotonic::now();
        if !state.is_reading {
            if state.next_read_at.is_some_and(|at| now < at) {
                return None;
            }
            state.is_reading = true;
            let interval = READ_INTERVAL + READ_INTERVAL_PER_HOST * host_count(gateway);
            state.next_read_at = Some(now + interval);
            rows.read_requested.notify_one();
        }
    }
    let completed = last_read.wait_for(|last| last.completed > before.completed);
    let last = tokio::time::timeout(LOOKUP_TIMEOUT, completed).await;
    let succeeded = last.ok()?.is_ok_and(|last| last.succeeded);
    succeeded.then_some(())
}

/// Reads all rows, and returns the origins of streams that haven't expired.
pub async fn read(gateway: &Arc<Gateway>) -> Result<Vec<StoredOrigin>, StoreError> {
    let mut client = StoreClient::new(gateway);
    let (mut rows, mut cursor) = (Vec::new(), Cursor::Start);
    let (mut now_ms, mut pages) = (0, 0);
    while !matches!(cursor, Cursor::Since(_)) {
        if pages == MAX_PAGES {
            return Err(StoreError::Malformed(format!("more than {pages} pages")));
        }
        gateway.metrics.count_store_read("streams", "lookup");
        let page = client.store().streams(&cursor, CALL_TIMEOUT).await?;
        for why in page.malformed {
            let what = "streams";
            emit(&Event::Undecodable { what, why });
        }
        rows.extend(page.items);
        (cursor, now_ms, pages) = (page.next, page.now_ms, pages + 1);
    }
    let clock = StoreClock::new(now_ms);
    let own_host = gateway.host().name.clone();
    let own = rows.iter().find(|stored| stored.row.host == own_host);
    let era = gateway.store_era.current();
    let position = own.map_or(Position { era, version: 0 }, |stored| stored.position);
    let mut own_row = OwnRow::new(position, clock);
    own_row.expires_at = own.map(|stored| clock.stream_expiry(stored.row.expires_ms()));

    let valid = rows.iter().filter(|s| s.row.expires_ms() > now_ms);
    let age = valid.map(|s| now_ms.saturating_sub(s.row.written_ms)).max();
    let records = rows
        .iter()
        .flat_map(|s| s.row.records.iter().map(move |r| (&s.row, r)));
    let valid = records.filter(|(_, r)| r.expires_ms > now_ms);
    let (verified, unverified): (Vec<_>, Vec<_>) =
        valid.partition(|(row, r)| is_verified(gateway, row, r));
    emit(&Event::StreamRowsRead {
        rows: rows.len(),
        streams: verified.len(),
        unverified: unverified.len(),
        age_ms: age,
    });
    let stored = verified
        .iter()
        .map(|(row, r)| decode(&row.host, r, clock))
        .collect();
    remove_expired(gateway, &mut client, &rows, now_ms).await;
    // Set last, so that the streams are recorded before another write.
    gateway.stream_rows.set_own(Some(own_row));
    Ok(stored)
}

fn decode(host: &str, record: &StreamRecord, clock: StoreClock) -> StoredOrigin {
    StoredOrigin {
        host: host.to_owned(),
        stream: StreamId(record.stream),
        record: OriginRecord {
            origin: Origin {
                route: NameHash(record.route),
                service: NameHash(record.service),
                version: NameHash(record.version),
                upstream: record.upstream,
            },
            // A time that this host's clock can't represent is replaced by a later one, which can
            // only make the origin uncertain.
            began_at: clock
                .to_instant(record.began_ms)
                .unwrap_or_else(monotonic::now),
            expires_at: clock.stream_expiry(record.expires_ms),
        },
    }
}

/// Whether it is certain that the stream began at the upstream start that the record names: the
/// writer of the row knew the starts of upstreams until later, or that start is still current.
fn is_verified(gateway: &Gateway, row: &StreamRow, record: &StreamRecord) -> bool {
    record.began_ms < row.verified_ms || gateway.fleet().has_start(record.upstream)
}

/// Removes expired rows of other hosts. Only the process of rank 0 does so.
async fn remove_expired(
    gateway: &Gateway,
    client: &mut StoreClient,
    rows: &[StoredStreamRow],
    now_ms: u64,
) {
    let own = gateway.host().name.clone();
    let is_expired = |s: &&StoredStreamRow| s.row.expires_ms() <= now_ms && s.row.host != own;
    let expired = rows.iter().filter(is_expired).take(MAX_REMOVED_ROWS);
    let expired: Vec<(&str, Position)> =
        expired.map(|s| (s.row.host.as_str(), s.position)).collect();
    if expired.is_empty() || gateway.rank() != 0 {
        return;
    }
    let removal = client.store().remove_stream_rows(&expired, CALL_TIMEOUT);
    log_removal(expired.len(), &removal.await);
}

/// Removes the row of this host if all of its streams have expired.
async fn remove_own(gateway: &Arc<Gateway>) {
    let rows = &gateway.stream_rows;
    let _write_guard = rows.write_lock.lock().await;
    let is_due = |own: &OwnRow| own.expires_at.is_some_and(|at| at <= monotonic::now());
    let Some(mut own) = rows.own(gateway).filter(is_due) else {
        // After a restore of the store, the row is read again before it is changed.
        if rows.remove_at().is_some_and(|at| at <= monotonic::now()) {
            rows.set_own(None);
        }
        return;
    };
    let host = gateway.host().name.clone();
    let mut client = StoreClient::new(gateway);
    let row = [(host.as_str(), own.position)];
    let removal = client.store().remove_stream_rows(&row, CALL_TIMEOUT).await;
    log_removal(row.len(), &removal);
    let next = match removal {
        Ok(StreamWrite::Applied(position)) => {
            let era = position.era;
            Some(OwnRow::new(Position { era, version: 0 }, own.clock))
        }
        Ok(StreamWrite::Conflict) => None,
        Err(_) => {
            own.expires_at = Some(monotonic::now() + REMOVAL_RETRY_PAUSE);
            Some(own)
        }
    };
    rows.set_own(next);
}

fn log_removal(rows: usize, removal: &Result<StreamWrite, StoreError>) {
    let why = match removal {
        Ok(StreamWrite::Applied(_)) => None,
        Ok(StreamWrite::Conflict) => Some("rows changed since they were read".to_owned()),
        Err(e) => Some(e.to_string()),
    };
    emit(&Event::StreamRowsRemoved { rows, why });
}

/// Writes the row of this host as it stops, and logs the outcome. Nothing is written if this
/// process has already written the records that fit, or has none and knows of no row.
pub async fn save(gateway: &Arc<Gateway>, records: &[(StreamId, OriginRecord)], until: Instant) {
    let own = gateway.stream_rows.own(gateway);
    let is_saved = match &own {
        Some(own) if records.is_empty() => !own.exists(),
        Some(own) => own.has_written(last_to_expire(&mut records.to_vec())),
        None => records.is_empty(),
    };
    if is_saved {
        return;
    }
    let began_at = monotonic::now();
    // Limits each attempt, so that an unresponsive store leaves time for the remaining ones.
    let attempt_timeout = |attempts_left: u32| {
        let time_left = until.saturating_duration_since(monotonic::now());
        (time_left / attempts_left).max(CALL_TIMEOUT).min(time_left)
    };
    let mut written = write(gateway, records, attempt_timeout(MAX_SAVE_ATTEMPTS)).await;
    for attempts_left in (1..MAX_SAVE_ATTEMPTS).rev() {
        let pause =
            SAVE_RETRY_PAUSE + (SAVE_RETRY_SPREAD * host_count(gateway)).mul_f64(fastrand::f64());
        let retry_at = monotonic::now() + pause;
        if written.is_ok() || retry_at >= until {
            break;
        }
        tokio::time::sleep_until(retry_at.into()).await;
        written = write(gateway, records, attempt_timeout(attempts_left)).await;
    }
    emit(&Event::StreamsSaved {
        streams: *written.as_ref().unwrap_or(&0),
        total: records.len(),
        took_ms: monotonic::elapsed(began_at).as_millis() as u64,
        why: written.err().map(|e| e.to_string()),
    });
}

/// Returns the records that fit into a row, preferring the streams that expire last.
fn last_to_expire(records: &mut [(StreamId, OriginRecord)]) -> &[(StreamId, OriginRecord)] {
    records.sort_by_key(|(stream, record)| (std::cmp::Reverse(record.expires_at), *stream));
    &records[..records.len().min(MAX_STREAM_RECORDS)]
}

/// Writes the row of this host, or removes it if there are no records. Returns the number of
/// records that fit. After an error, the row may have been written, or may still be.
pub async fn write(
    gateway: &Arc<Gateway>,
    records: &[(StreamId, OriginRecord)],
    timeout: Duration,
) -> Result<usize, StoreError> {
    let until = monotonic::now() + timeout;
    let written = write_until(gateway, records, until);
    let written = tokio::time::timeout_at(until.into(), written).await;
    let written =
        written.unwrap_or_else(|_| Err(StoreError::Unreachable("no answer in time".into())));
    if let Err(StoreError::Unreachable(_)) = written {
        // The row may have been written, so it is read again before the next write.
        gateway.stream_rows.set_own(None);
    }
    written
}

async fn write_until(
    gateway: &Arc<Gateway>,
    records: &[(StreamId, OriginRecord)],
    until: Instant,
) -> Result<usize, StoreError> {
    let rows = &gateway.stream_rows;
    let mut records = records.to_vec();
    let records = last_to_expire(&mut records);
    let _write_guard = rows.write_lock.lock().await;
    let mut client = StoreClient::new(gateway);
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let own = match rows.own(gateway) {
            Some(own) => own,
            // Only an earlier process can have written the row, which is removed after its expiry.
            None if records.is_empty() => return Ok(0),
            None => read_own(gateway, &mut client, until).await?,
        };
        let row = own.updated(gateway, records);
        let timeout = until.saturating_duration_since(monotonic::now());
        let store = client.store();
        let written = match (row.records.is_empty(), own.exists()) {
            (true, false) => return Ok(0),
            (true, true) => {
                let row = [(row.host.as_str(), own.position)];
                store.remove_stream_rows(&row, timeout).await?
            }
            (false, _) => store.write_stream_row(&row, own.position, timeout).await?,
        };
        match written {
            StreamWrite::Applied(position) => {
                let has_records = !row.records.is_empty();
                let version = if has_records { position.version } else { 0 };
                let era = position.era;
                let mut next = OwnRow::new(Position { era, version }, own.clock);
                next.expires_at = has_records.then(|| own.clock.stream_expiry(row.expires_ms()));
                next.written = row.records.iter().map(|r| StreamId(r.stream)).collect();
                next.written.sort_unstable();
                next.unread_verified_ms = own.unread_verified_ms;
                next.unread = own.unread;
                rows.set_own(Some(next));
                return Ok(records.len());
            }
            // Caused by a delayed write of an earlier process, an unread row, or a restore.
            StreamWrite::Conflict => rows.set_own(None),
        }
    }
    Err(StoreError::Refused(412))
}

/// Reads the row of this host, with the records that an earlier process wrote.
async fn read_own(
    gateway: &Arc<Gateway>,
    client: &mut StoreClient,
    until: Instant,
) -> Result<OwnRow, StoreError> {
    let host = gateway.host().name.clone();
    let timeout = until.saturating_duration_since(monotonic::now());
    gateway.metrics.count_store_read("streams", "own");
    let read = client.store().stream_row(&host, timeout).await?;
    let mut own = OwnRow::new(read.position, StoreClock::new(read.now_ms));
    match read.row {
        None => {}
        Some(Ok(row)) => {
            own.unread_verified_ms = row.verified_ms;
            own.unread = row.records;
        }
        Some(Err(why)) => emit(&Event::Undecodable {
            what: "streams",
            why: format!("{host}: {why}"),
        }),
    }
    gateway.stream_rows.set_own(Some(own.clone()));
    Ok(own)
}

fn encode(StreamId(stream): StreamId, record: &OriginRecord, clock: StoreClock) -> StreamRecord {
    StreamRecord {
        stream,
        route: record.origin.route.0,
        service: record.origin.service.0,
        version: record.origin.version.0,
        upstream: record.origin.upstream,
        began_ms: clock.to_store_ms(record.began_at),
        expires_ms: clock.to_store_ms(record.expires_at),
    }
}
