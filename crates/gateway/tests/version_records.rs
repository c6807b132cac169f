//! Tests of the version record: hosts that start later resume streams of a service that has had a
//! single version throughout, and no others.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::versions::{Bed, EVENTS_BEFORE_BREAK, Host, ONCE};
use platform::{CallCounts, EraTracker, Position, Store, VersionsRow, VersionsWrite};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

const STREAMS: usize = 8;
/// Two upstreams of one version.
const ONE_VERSION: [&str; 2] = ["v1", "v1"];
const TIMEOUT: Duration = Duration::from_secs(2);

async fn begin(bed: &Bed) {
    for n in 0..STREAMS {
        let host = n % bed.hosts.len();
        let part = bed.send(host, ONCE, &format!("begun-{n}"), "").await;
        assert_eq!(part.events() as u64, EVENTS_BEFORE_BREAK, "{part:?}");
    }
}

/// Continues the streams at all hosts in turn; returns how many went on.
async fn count_resumed(bed: &Bed) -> usize {
    let mut resumed = 0;
    for n in 0..STREAMS {
        let (begun, next) = (format!("begun-{n}"), format!("next-{n}"));
        let rest = bed.resume(n % bed.hosts.len(), &next, &begun).await;
        assert_eq!(bed.versions_of(&[&begun, &next]).len(), 1, "two versions");
        match rest.is_whole() {
            true => resumed += 1,
            false => assert!(rest.text.contains("not_run"), "{rest:?}"),
        }
    }
    resumed
}

/// Kills all hosts, and waits until their sockets are closed.
async fn kill_all(bed: &mut Bed) {
    const CLOSE_TIME: Duration = Duration::from_millis(200);
    bed.hosts.iter_mut().for_each(Host::kill);
    tokio::time::sleep(CLOSE_TIME).await;
}

async fn restart_all(bed: &mut Bed) {
    let restarts = bed.hosts.iter_mut().map(async |host| host.restart().await);
    common::join_all(restarts).await;
}

/// Guards against the coverage being lost in repeated restarts of all hosts.
#[tokio::test]
async fn streams_of_the_only_version_go_on_after_all_hosts_were_killed_repeatedly() {
    let mut bed = Bed::start_system(2, &ONE_VERSION).await;
    bed.deadline_ms = 60_000;
    begin(&bed).await;
    for _ in 0..3 {
        kill_all(&mut bed).await;
        restart_all(&mut bed).await;
    }
    assert_eq!(count_resumed(&bed).await, STREAMS);
}

/// Guards against resuming streams at a version that replaced theirs while all hosts were down.
#[tokio::test]
async fn streams_do_not_go_on_at_a_version_that_came_while_all_hosts_were_down() {
    let mut bed = Bed::start_system(2, &ONE_VERSION).await;
    begin(&bed).await;
    kill_all(&mut bed).await;
    bed.add_worker("v1.1").await;
    for id in ["i-0", "i-1"] {
        bed.store.remove("servers", id);
    }
    restart_all(&mut bed).await;
    assert_eq!(count_resumed(&bed).await, 0);
}

/// Guards against resuming streams at another version if theirs left before the hosts were killed, so
/// that only the record contains it.
#[tokio::test]
async fn streams_do_not_go_on_if_their_version_left_before_all_hosts_were_killed() {
    let mut bed = Bed::start_system(2, &["v1"]).await;
    begin(&bed).await;
    bed.add_worker("v1.1").await;
    bed.retire("i-0").await;
    // Longer than the interval between two writes of the record.
    const WRITE_TIME: Duration = Duration::from_secs(11);
    tokio::time::sleep(WRITE_TIME).await;
    kill_all(&mut bed).await;
    restart_all(&mut bed).await;
    assert_eq!(count_resumed(&bed).await, 0);
}

/// Guards against continuing a record if an upstream was added and removed while all hosts were
/// down.
#[tokio::test]
async fn a_record_is_not_continued_after_an_unseen_upstream() {
    let mut bed = Bed::start_system(2, &ONE_VERSION).await;
    begin(&bed).await;
    kill_all(&mut bed).await;
    bed.add_worker("v1.1").await;
    bed.store.remove("servers", "i-2");
    restart_all(&mut bed).await;
    assert_eq!(count_resumed(&bed).await, 0);
}

/// Guards against continuing a record if the store was restored, its history was discarded, or the
/// row is damaged.
#[tokio::test]
async fn a_record_is_not_continued_without_the_history_since() {
    type Damage = fn(&Bed);
    let damages: [Damage; 3] = [
        |bed| {
            bed.store.restore(Duration::ZERO);
        },
        |bed| bed.store.forget_history(),
        |bed| {
            bed.store.put_raw("versions", "history", "AAAA");
        },
    ];
    for damage in damages {
        let mut bed = Bed::start_system(1, &ONE_VERSION).await;
        begin(&bed).await;
        kill_all(&mut bed).await;
        damage(&bed);
        restart_all(&mut bed).await;
        assert_eq!(count_resumed(&bed).await, 0);
    }
}

fn row(upstreams: u64) -> VersionsRow {
    VersionsRow {
        host: "edge-1".to_owned(),
        position: Position { era: 1, version: 7 },
        read_ms: 1000,
        since_ms: None,
        present: Vec::new(),
        former: Vec::new(),
        upstreams: (0..upstreams).collect(),
    }
}

/// Guards against a late write replacing a newer row, and against a write that the store would
/// refuse.
#[tokio::test]
async fn a_record_is_written_only_over_the_version_that_was_read() {
    let stored =
        standin::Store::start(SocketAddr::new(IpAddr::V4(common::address()), 7003)).unwrap();
    let meter = net::Meter::default();
    let (calls, era) = (CallCounts::default(), EraTracker::default());
    let store = Store::new(stored.addr, &meter, &calls, &era);
    let read = store.versions(TIMEOUT).await.unwrap();
    assert_eq!((read.revision, read.row), (0, None));
    let write = async |row: &VersionsRow, expected| {
        let written = store.write_versions(row, expected, TIMEOUT).await;
        written.unwrap()
    };
    let VersionsWrite::Written(revision) = write(&row(1), 0).await else {
        panic!("not written");
    };
    assert_eq!(write(&row(2), 0).await, VersionsWrite::Superseded);
    let read = store.versions(TIMEOUT).await.unwrap();
    assert_eq!((read.revision, read.row), (revision, Some(Ok(row(1)))));
    let VersionsWrite::Written(_) = write(&row(3000), revision).await else {
        panic!("3,000 upstreams don't fit");
    };
    assert_eq!(write(&row(3), revision).await, VersionsWrite::Superseded);
    let VersionsWrite::TooLong(bytes) = write(&row(5000), revision).await else {
        panic!("written");
    };
    assert!(bytes > 48_000);
    stored.put_raw("versions", "history", "bm90IGEgcm93");
    let read = store.versions(TIMEOUT).await.unwrap();
    assert!(read.row.unwrap().is_err());
    assert!(read.revision > revision);
}
