//! Tests the rows in the store that keep the origins of streams while no host runs.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::versions::{Bed, EVENTS_BEFORE_BREAK, ONCE};
use common::{address, exchange, host, wait_for};
use gateway::origins::rows::{self, StoredOrigin};
use gateway::state::Gateway;
use net::{Meter, Stop};
use origins::{MAX_STREAM_LIFETIME, NameHash, Origin, OriginRecord, StreamId};
use platform::{
    CallCounts, EraTracker, MAX_STREAM_RECORDS, Position, StoreError, StreamRecord, StreamRow,
};
use standin::{Store, StoreMode};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Table of the rows.
const TABLE: &str = "streams";
/// Timeout of writes.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Time since streams began, long enough for the starts of their upstreams to be verified.
const AGE: Duration = Duration::from_secs(30);
/// Time for which streams can be continued.
const REMAINING: Duration = Duration::from_secs(60);
/// Maximum error of times that are converted to milliseconds of the store's clock and back.
const ROUNDING: Duration = Duration::from_millis(100);

/// Starts a store whose clock is past the maximum lifetime of a stream.
fn store() -> Store {
    let store = Store::start(SocketAddr::new(IpAddr::V4(address()), 7003)).unwrap();
    store.advance_clock(MAX_STREAM_LIFETIME * 2);
    store
}

/// Creates a process on host `name` that doesn't serve requests.
fn process(store: &Store, name: &str) -> Arc<Gateway> {
    let settings = platform::HostSettings {
        name: name.into(),
        ..host(address(), store.addr)
    };
    Gateway::new(settings, Stop::default())
}

fn origin(n: usize) -> Origin {
    Origin {
        route: NameHash(1),
        service: NameHash(2),
        version: NameHash(3),
        upstream: n as u32,
    }
}

/// Returns streams that expire after `remaining`, stream `n` another `n` milliseconds later.
fn streams(numbers: std::ops::Range<usize>, remaining: Duration) -> Vec<(StreamId, OriginRecord)> {
    let now = Instant::now();
    let record = |n: usize| OriginRecord {
        origin: origin(n),
        began_at: now - AGE,
        expires_at: now + remaining + Duration::from_millis(n as u64),
    };
    numbers.map(|n| (StreamId(n as u128), record(n))).collect()
}

/// Returns the sorted numbers of the streams that were read.
fn numbers(stored: &[StoredOrigin]) -> Vec<usize> {
    let mut all: Vec<usize> = stored.iter().map(|s| s.stream.0 as usize).collect();
    all.sort_unstable();
    all
}

async fn write_row(store: &Store, row: &StreamRow) {
    let client = platform::Store::new(
        store.addr,
        &Meter::default(),
        &CallCounts::default(),
        &EraTracker::default(),
    );
    let absent = Position { era: 1, version: 0 };
    let written = client.write_stream_row(row, absent, TIMEOUT).await;
    assert!(
        matches!(written, Ok(platform::StreamWrite::Applied(_))),
        "{written:?}"
    );
}

/// Guards against origins that other hosts read differently from how they were written.
#[tokio::test]
async fn another_host_reads_what_a_host_wrote() {
    let store = store();
    let written = streams(0..20, REMAINING);
    let earlier = process(&store, "a");
    assert_eq!(rows::write(&earlier, &written, TIMEOUT).await, Ok(20));
    let read = rows::read(&process(&store, "b")).await.unwrap();
    assert_eq!(read.len(), written.len());
    for found in read {
        let (_, record) = written.iter().find(|(s, _)| *s == found.stream).unwrap();
        assert_eq!(found.host, "a");
        assert_eq!(found.record.origin, record.origin);
        let difference = |a: Instant, b: Instant| a.max(b) - a.min(b);
        assert!(difference(found.record.began_at, record.began_at) < ROUNDING);
        assert!(difference(found.record.expires_at, record.expires_at) < ROUNDING);
    }
    assert_eq!(rows::write(&earlier, &[], TIMEOUT).await, Ok(0));
    assert!(store.keys(TABLE).is_empty(), "the row is removed");
}

/// Guards against store calls by a host that has nothing to save.
#[tokio::test]
async fn nothing_is_written_without_streams() {
    let store = store();
    let process = process(&store, "a");
    assert_eq!(rows::write(&process, &[], TIMEOUT).await, Ok(0));
    rows::save(&process, &[], Instant::now() + TIMEOUT).await;
    assert_eq!(store.calls(), 0);
}

/// Guards against writing the same streams twice while a host stops.
#[tokio::test]
async fn the_same_streams_are_saved_once() {
    let store = store();
    let process = process(&store, "a");
    let all = streams(0..1000, REMAINING);
    rows::save(&process, &all, Instant::now() + TIMEOUT).await;
    let calls = store.calls();
    assert_eq!(calls, 2, "a read of its row and a write");
    rows::save(&process, &all, Instant::now() + TIMEOUT).await;
    assert_eq!(store.calls(), calls);
    rows::save(
        &process,
        &streams(0..1001, REMAINING),
        Instant::now() + TIMEOUT,
    )
    .await;
    assert_eq!(store.calls(), calls + 1);
}

/// Guards against a row that is too large, and against dropping the streams that expire last.
#[tokio::test]
async fn a_full_row_keeps_the_streams_that_expire_last() {
    let store = store();
    let count = MAX_STREAM_RECORDS + 300;
    let written = rows::write(
        &process(&store, "a"),
        &streams(0..count, REMAINING),
        TIMEOUT,
    )
    .await;
    assert_eq!(written, Ok(MAX_STREAM_RECORDS));
    let read = rows::read(&process(&store, "b")).await.unwrap();
    let kept: Vec<usize> = (300..count).collect();
    assert_eq!(numbers(&read), kept);
}

/// Guards against losing the records of an earlier process that its host couldn't read.
#[tokio::test]
async fn a_host_that_has_not_read_its_row_keeps_its_records() {
    let store = store();
    let earlier = process(&store, "a");
    rows::write(&earlier, &streams(0..5, REMAINING), TIMEOUT)
        .await
        .unwrap();
    let next = process(&store, "a");
    rows::write(&next, &streams(3..8, REMAINING), TIMEOUT)
        .await
        .unwrap();
    let read = rows::read(&process(&store, "b")).await.unwrap();
    assert_eq!(numbers(&read), (0..8).collect::<Vec<_>>());
}

/// Guards against a second write dropping the records of an earlier process that weren't read.
#[tokio::test]
async fn a_host_that_has_not_read_its_row_keeps_its_records_in_later_writes() {
    let store = store();
    let earlier = process(&store, "a");
    rows::write(&earlier, &streams(0..5, REMAINING), TIMEOUT)
        .await
        .unwrap();
    let next = process(&store, "a");
    for end in [8, 9] {
        rows::write(&next, &streams(5..end, REMAINING), TIMEOUT)
            .await
            .unwrap();
    }
    let read = rows::read(&process(&store, "b")).await.unwrap();
    assert_eq!(numbers(&read), (0..9).collect::<Vec<_>>());
}

/// Guards against a delayed write replacing a later one, and against a wrong origin from it.
#[tokio::test]
async fn a_delayed_write_replaces_nothing() {
    let store = store();
    let earlier = process(&store, "a");
    rows::write(&earlier, &streams(0..2, REMAINING), TIMEOUT)
        .await
        .unwrap();
    let next = process(&store, "a");
    rows::read(&next).await.unwrap();
    rows::write(&next, &streams(2..4, REMAINING), TIMEOUT)
        .await
        .unwrap();
    // The earlier process's expected version is outdated, so its write only adds to the row.
    rows::write(&earlier, &streams(4..6, REMAINING), TIMEOUT)
        .await
        .unwrap();
    let read = rows::read(&process(&store, "b")).await.unwrap();
    assert_eq!(numbers(&read), (2..6).collect::<Vec<_>>());
    assert!(
        read.iter()
            .all(|s| s.record.origin == origin(s.stream.0 as usize))
    );
    // The later process's expected version is outdated in turn, so it keeps the unread records.
    rows::write(&next, &streams(2..4, REMAINING), TIMEOUT)
        .await
        .unwrap();
    let read = rows::read(&process(&store, "b")).await.unwrap();
    assert_eq!(numbers(&read), (2..6).collect::<Vec<_>>());
}

/// Guards against a wrong origin, and against a row that is never removed, if the write of an
/// earlier process takes effect only after its host has restarted.
#[tokio::test]
async fn a_write_after_a_restart_is_read_and_removed() {
    const SHORT: Duration = Duration::from_millis(800);
    let store = store();
    let (earlier, next) = (process(&store, "a"), process(&store, "a"));
    assert!(rows::read(&earlier).await.unwrap().is_empty());
    assert!(rows::read(&next).await.unwrap().is_empty());
    rows::write(&earlier, &streams(0..2, SHORT), TIMEOUT)
        .await
        .unwrap();
    let other = process(&store, "b");
    let read = rows::read(&other).await.unwrap();
    assert_eq!(numbers(&read), [0, 1]);
    assert!(
        read.iter()
            .all(|s| s.record.origin == origin(s.stream.0 as usize))
    );
    assert_eq!(rows::write(&next, &[], TIMEOUT).await, Ok(0));
    tokio::time::sleep(SHORT * 2).await;
    assert!(rows::read(&other).await.unwrap().is_empty());
    assert!(store.keys(TABLE).is_empty());
}

/// Guards against a shutdown that is blocked by a store outage, and against failing writes after
/// it.
#[tokio::test]
async fn an_outage_fails_in_time_and_the_next_write_succeeds() {
    let store = store();
    let process = process(&store, "a");
    for mode in [StoreMode::Refuse(503), StoreMode::Silent] {
        store.set_mode(mode);
        let since = Instant::now();
        let written = rows::write(&process, &streams(0..3, REMAINING), TIMEOUT).await;
        assert!(written.is_err(), "{written:?}");
        assert!(since.elapsed() < TIMEOUT * 2);
        assert!(rows::read(&process).await.is_err());
    }
    store.set_mode(StoreMode::Serve);
    rows::write(&process, &streams(0..3, REMAINING), TIMEOUT)
        .await
        .unwrap();
    assert_eq!(numbers(&rows::read(&process).await.unwrap()), [0, 1, 2]);
    // A refused write doesn't invalidate the known version.
    store.set_mode(StoreMode::RefuseWritesTo(TABLE));
    let written = rows::write(&process, &streams(0..4, REMAINING), TIMEOUT).await;
    assert_eq!(written, Err(StoreError::Refused(503)));
    store.set_mode(StoreMode::Serve);
    rows::write(&process, &streams(0..4, REMAINING), TIMEOUT)
        .await
        .unwrap();
    assert_eq!(numbers(&rows::read(&process).await.unwrap()), [0, 1, 2, 3]);
}

/// Guards against losing streams when the store refuses writes of hosts that stop at once, and
/// against unbounded retries.
#[tokio::test]
async fn a_refused_save_is_retried() {
    let store = store();
    let process = process(&store, "a");
    let all = streams(0..3, REMAINING);
    store.set_mode(StoreMode::RefuseWritesTo(TABLE));
    let since = Instant::now();
    rows::save(&process, &all, since + Duration::from_secs(3)).await;
    assert!(since.elapsed() < Duration::from_secs(1));
    assert!(store.calls() <= 5, "{} calls", store.calls());
    let save = rows::save(&process, &all, Instant::now() + Duration::from_secs(3));
    let recover = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        store.set_mode(StoreMode::Serve);
    };
    tokio::join!(save, recover);
    assert_eq!(numbers(&rows::read(&process).await.unwrap()), [0, 1, 2]);
}

/// Guards against losing streams when the store doesn't respond for most of the time that a save
/// has.
#[tokio::test]
async fn a_save_outlasts_a_silent_store() {
    let store = store();
    let process = process(&store, "a");
    let all = streams(0..3, REMAINING);
    store.set_mode(StoreMode::Silent);
    let save = rows::save(&process, &all, Instant::now() + Duration::from_secs(6));
    let recover = async {
        tokio::time::sleep(Duration::from_millis(4500)).await;
        store.set_mode(StoreMode::Serve);
    };
    tokio::join!(save, recover);
    assert_eq!(numbers(&rows::read(&process).await.unwrap()), [0, 1, 2]);
}

/// Guards against a host that can no longer write after the store was restored from a copy in which
/// its row is absent or older.
#[tokio::test]
async fn rows_are_written_again_after_a_restore() {
    const COPY_AGE: Duration = Duration::from_millis(200);
    let store = store();
    let process = process(&store, "a");
    rows::write(&process, &streams(0..2, REMAINING), TIMEOUT)
        .await
        .unwrap();
    store.restore(Duration::from_secs(1));
    assert!(
        rows::read(&process).await.unwrap().is_empty(),
        "the row is lost"
    );
    rows::write(&process, &streams(0..2, REMAINING), TIMEOUT)
        .await
        .unwrap();
    tokio::time::sleep(COPY_AGE * 2).await;
    rows::write(&process, &streams(2..4, REMAINING), TIMEOUT)
        .await
        .unwrap();
    store.restore(COPY_AGE);
    rows::write(&process, &streams(4..6, REMAINING), TIMEOUT)
        .await
        .unwrap();
    let read = rows::read(&process).await.unwrap();
    // The last write was the first call after the restore, so the records of the copy are either
    // kept or replaced; those that aren't in the copy are lost.
    let kept = numbers(&read);
    assert!(kept.ends_with(&[4, 5]), "{kept:?}");
    assert!(!kept.contains(&2) && !kept.contains(&3), "{kept:?}");
}

/// Guards against undecodable rows that hide other rows or prevent their host from writing.
#[tokio::test]
async fn an_undecodable_row_is_skipped_and_replaced_by_its_host() {
    let store = store();
    let process = process(&store, "b");
    rows::write(&process, &streams(0..2, REMAINING), TIMEOUT)
        .await
        .unwrap();
    store.put_raw(TABLE, "a", "AAAA");
    store.put_raw(TABLE, "c", "not base64");
    assert_eq!(numbers(&rows::read(&process).await.unwrap()), [0, 1]);
    for name in ["a", "c"] {
        let process = self::process(&store, name);
        rows::read(&process).await.unwrap();
        let written = rows::write(&process, &streams(2..3, REMAINING), TIMEOUT).await;
        assert_eq!(written, Ok(1));
    }
    assert_eq!(numbers(&rows::read(&process).await.unwrap()), [0, 1, 2, 2]);
}

/// Guards against streams that never expire, or are dropped, because of out-of-range times.
#[tokio::test]
async fn out_of_range_times_are_clamped() {
    let store = store();
    let record = |stream, began_ms, expires_ms| StreamRecord {
        stream,
        route: 1,
        service: 2,
        version: 3,
        upstream: 4,
        began_ms,
        expires_ms,
    };
    let row = StreamRow {
        host: "a".into(),
        written_ms: u64::MAX,
        verified_ms: u64::MAX,
        records: vec![
            record(1, 0, u64::MAX),
            record(2, u64::MAX - 1, 1 << 40),
            record(3, 0, 0),
        ],
    };
    write_row(&store, &row).await;
    let read = rows::read(&process(&store, "b")).await.unwrap();
    assert_eq!(numbers(&read), [1, 2]);
    let now = Instant::now();
    for found in read {
        assert!(found.record.expires_at <= now + MAX_STREAM_LIFETIME);
        assert!(found.record.began_at <= now);
    }
}

/// Guards against continuing a stream at another version, as its upstream may have restarted before
/// it began without any host having noticed.
#[tokio::test]
async fn streams_of_starts_that_were_not_verified_are_unknown() {
    let store = store();
    let mut all = streams(0..2, REMAINING);
    all[1].1.began_at = Instant::now();
    rows::write(&process(&store, "a"), &all, TIMEOUT)
        .await
        .unwrap();
    let read = rows::read(&process(&store, "b")).await.unwrap();
    assert_eq!(numbers(&read), [0]);
}

/// Guards against one read per lookup, and against lookups that wait although no read is due.
#[tokio::test]
async fn lookups_share_reads() {
    let store = store();
    let process = process(&store, "a");
    process.set_registry(Position { era: 1, version: 1 });
    let follow = tokio::spawn(rows::follow(process.clone()));
    rows::wait_for_first_read(&process).await;
    assert_eq!(store.reads(TABLE), 1);
    let request = || async { rows::request_read(&process).await.is_some() };
    let succeeded = tokio::join!(request(), request(), request(), request());
    assert_eq!(succeeded, (true, true, true, true));
    assert_eq!(store.reads(TABLE), 2);
    let since = Instant::now();
    assert!(!request().await, "no read is due");
    assert!(since.elapsed() < Duration::from_millis(50));
    store.set_mode(StoreMode::Silent);
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let since = Instant::now();
    assert!(!request().await);
    assert!(
        since.elapsed() < Duration::from_millis(500),
        "waited past the timeout"
    );
    assert_eq!(store.reads(TABLE), 2);
    follow.abort();
}

/// Guards against rows that are never removed, of hosts that restarted and of hosts that didn't.
#[tokio::test]
async fn expired_rows_are_removed() {
    const SHORT: Duration = Duration::from_millis(1500);
    let store = store();
    // The row of "b" expires first.
    for name in ["b", "a"] {
        rows::write(&process(&store, name), &streams(0..1, SHORT), TIMEOUT)
            .await
            .unwrap();
    }
    let process = process(&store, "a");
    process.set_registry(Position { era: 1, version: 1 });
    let follow = tokio::spawn(rows::follow(process.clone()));
    wait_for("removal of its own row", || async {
        store.keys(TABLE) == ["b"]
    })
    .await;
    assert_eq!(
        store.reads(TABLE),
        3,
        "one by each writer and one of all rows"
    );
    rows::request_read(&process).await.unwrap();
    assert!(
        store.keys(TABLE).is_empty(),
        "the row of another host is removed"
    );
    let calls = store.calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(store.calls(), calls, "no calls without rows");
    follow.abort();
}

/// Guards against periodic store calls, and against writing rows while no host stops.
#[tokio::test]
async fn hosts_read_stream_rows_only_at_startup() {
    let bed = Bed::start(3, &["v1"]).await;
    wait_for("first reads", || async { bed.store.reads(TABLE) == 3 }).await;
    for n in 0..12 {
        let (begun, next) = (format!("begun-{n}"), format!("next-{n}"));
        let part = bed.send(n % 3, ONCE, &begun, "").await;
        assert_eq!(part.events() as u64, EVENTS_BEFORE_BREAK, "{part:?}");
        let rest = bed.resume((n + 1) % 3, &next, &begun).await;
        assert!(rest.is_whole(), "{rest:?}");
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(bed.store.reads(TABLE), 3);
    assert!(bed.store.keys(TABLE).is_empty());
    let ready = SocketAddr::new(bed.hosts[0].callers.ip(), 7001);
    let metrics = exchange(ready, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let is_write = |line: &str| line.contains(TABLE) && line.contains("kind=\"write\"");
    assert!(!metrics.lines().any(is_write));
}

/// Guards against streams that stay unknown after an outage of the store, as a host that failed to
/// read the rows when it started ignored lookups until its next attempt.
#[tokio::test]
async fn lookups_read_the_rows_soon_after_an_outage() {
    /// Time for which the store is unavailable.
    const OUTAGE: Duration = Duration::from_secs(8);
    /// The minimum interval between two reads for lookups, and a margin.
    const RECOVERY: Duration = Duration::from_millis(1500);
    let store = store();
    rows::write(&process(&store, "a"), &streams(0..1, REMAINING), TIMEOUT)
        .await
        .unwrap();
    store.set_mode(StoreMode::Refuse(503));
    let process = process(&store, "b");
    process.set_registry(Position { era: 1, version: 1 });
    let follow = tokio::spawn(rows::follow(process.clone()));
    tokio::time::sleep(OUTAGE).await;
    store.set_mode(StoreMode::Serve);
    let since = Instant::now();
    while rows::request_read(&process).await.is_none() {
        let elapsed = since.elapsed();
        assert!(elapsed < RECOVERY, "no read {elapsed:?} after the outage");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    follow.abort();
}
