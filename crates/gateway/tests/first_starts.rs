//! Tests that a host decides from the store, and not from its settings alone, whether the whole
//! system starts for the first time.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::continued::{DEADLINE_MS, ONE_VERSION, STREAMS, TWO_VERSIONS, begin, begin_one};
use common::versions::{Bed, EVENTS_BEFORE_BREAK, ONCE};
use common::{join_all, wait_for};
use serde_json::json;
use standin::{StoreMode, fixture};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Time since before the start of the store.
const SINCE_START: Duration = Duration::from_secs(3600);

fn kill_all(bed: &mut Bed) {
    for host in &mut bed.hosts {
        host.kill();
    }
}

/// Restarts all hosts with settings that still claim the first start of the system.
async fn restart_all(bed: &mut Bed) {
    let restarts = bed.hosts.iter_mut();
    join_all(restarts.map(async |host| host.restart_with_same_settings().await)).await;
}

/// Removes the entries of the upstreams of the first version.
fn remove_first_version(bed: &Bed) {
    for id in ["i-0", "i-1"] {
        bed.store.remove("servers", id);
    }
}

/// Continues the first streams and returns how many hold events of two versions. `is_named` is
/// false if the clients don't name the attempts that began the streams.
async fn count_mixed(bed: &Bed, streams: usize, is_named: bool) -> usize {
    let mut mixed = 0;
    for n in 0..streams {
        let (begun, next) = (format!("begun-{n}"), format!("next-{n}"));
        let resumes = match is_named {
            true => format!("resumes: {begun}\r\n"),
            false => String::new(),
        };
        let more = format!("{resumes}last-event-id: {EVENTS_BEFORE_BREAK}\r\n");
        bed.send(n % bed.hosts.len(), ONCE, &next, &more).await;
        mixed += usize::from(bed.versions_of(&[&begun, &next]).len() > 1);
    }
    mixed
}

/// Guards against streams of two versions after a kill of all hosts whose settings still say that
/// the system starts for the first time, so that the version in service counted as the only one
/// there ever was.
#[tokio::test]
async fn no_stream_holds_two_versions_after_a_restart_that_claims_to_be_the_first_start() {
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    for id in ["i-0", "i-1"] {
        bed.retire(id).await;
    }
    kill_all(&mut bed);
    restart_all(&mut bed).await;
    assert_eq!(count_mixed(&bed, STREAMS, true).await, 0);
}

/// Guards against the same for clients that name no attempt.
#[tokio::test]
async fn no_unnamed_stream_holds_two_versions_after_such_a_restart() {
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    kill_all(&mut bed);
    remove_first_version(&bed);
    restart_all(&mut bed).await;
    assert_eq!(count_mixed(&bed, STREAMS, false).await, 0);
}

/// Guards against the same where hosts are killed within the first second after the first stream,
/// when the version record has just been created, and once more as they have restarted.
#[tokio::test]
async fn no_stream_holds_two_versions_after_two_kills_right_after_its_first_event() {
    const BEGUN: usize = 12;
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    bed.deadline_ms = DEADLINE_MS;
    let begins = (0..BEGUN).map(|n| begin_one(&bed, n % 3, n));
    join_all(begins).await;
    kill_all(&mut bed);
    remove_first_version(&bed);
    restart_all(&mut bed).await;
    kill_all(&mut bed);
    restart_all(&mut bed).await;
    assert_eq!(count_mixed(&bed, BEGUN, true).await, 0);
}

/// Guards against the same where the store was restored from a copy that is older than the version
/// record.
#[tokio::test]
async fn no_stream_holds_two_versions_after_a_restore_without_the_record() {
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    kill_all(&mut bed);
    remove_first_version(&bed);
    for row in bed.store.restore(SINCE_START) {
        if row.table != "versions" {
            bed.store.write_again(&row);
        }
    }
    assert!(bed.store.keys("versions").is_empty());
    restart_all(&mut bed).await;
    assert_eq!(count_mixed(&bed, STREAMS, true).await, 0);
}

/// Guards against the same where the store doesn't return the version record as hosts restart.
#[tokio::test]
async fn no_stream_holds_two_versions_if_the_record_cant_be_read() {
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    kill_all(&mut bed);
    remove_first_version(&bed);
    bed.store.set_mode(StoreMode::SilentReads("versions"));
    restart_all(&mut bed).await;
    assert_eq!(count_mixed(&bed, STREAMS, true).await, 0);
    bed.store.set_mode(StoreMode::Serve);
    wait_for("a stream", || async {
        bed.send(0, ONCE, "new", "").await.status == 200
    })
    .await;
}

/// Guards against the same for a version that comes back under its name after another one served in
/// between.
#[tokio::test]
async fn no_stream_goes_on_at_a_version_that_came_back() {
    let mut bed = Bed::start_system(3, &["v1"]).await;
    bed.add_worker("v1.1").await;
    bed.retire("i-0").await;
    begin(&mut bed).await;
    bed.add_worker("v1").await;
    bed.retire("i-1").await;
    kill_all(&mut bed);
    restart_all(&mut bed).await;
    assert_eq!(count_mixed(&bed, STREAMS, true).await, 0);
}

/// Guards against the same for an attempt that began two streams at two versions: which one the
/// client has isn't known.
#[tokio::test]
async fn a_stream_of_an_attempt_that_began_two_does_not_go_on() {
    let mut bed = Bed::start_system(2, &["v1"]).await;
    bed.deadline_ms = DEADLINE_MS;
    begin_one(&bed, 0, 0).await;
    bed.add_worker("v1.1").await;
    bed.retire("i-0").await;
    begin_one(&bed, 1, 0).await;
    assert_eq!(bed.versions_of(&["begun-0"]), ["v1", "v1.1"]);
    kill_all(&mut bed);
    restart_all(&mut bed).await;
    for host in 0..2 {
        let res = bed.resume(host, "next", "begun-0").await;
        assert_eq!(res.status, 503, "{res:?}");
    }
    assert!(bed.versions_of(&["next"]).is_empty(), "it ran");
}

/// Guards against the same where the answers to a restarted host are late, and another version
/// registers and leaves before they arrive.
#[tokio::test]
async fn no_stream_holds_two_versions_after_a_late_read_of_the_registry() {
    let mut bed = Bed::start_system(3, &["v1"]).await;
    begin(&mut bed).await;
    kill_all(&mut bed);
    let late = Duration::from_millis(700);
    bed.store.set_mode(StoreMode::Slow(late, late));
    bed.store.remove("servers", "i-0");
    bed.add_worker("v1.1").await;
    let store = bed.store.clone();
    let short_lived = async {
        tokio::time::sleep(late / 2).await;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        let row = fixture::worker_row_with_version("v2", addr);
        store.put("servers", "i-short", &row);
        tokio::time::sleep(late).await;
        store.remove("servers", "i-short");
    };
    tokio::join!(restart_all(&mut bed), short_lived);
    bed.store.set_mode(StoreMode::Serve);
    assert_eq!(count_mixed(&bed, STREAMS, true).await, 0);
}

/// Guards against a restarted host that waits, as at a first start, for other hosts to write their
/// rows.
#[tokio::test]
async fn a_restart_that_claims_to_be_the_first_start_is_ready_soon() {
    const MAX_START_TIME: Duration = Duration::from_secs(2);
    let mut bed = Bed::start_system(2, &ONE_VERSION).await;
    begin_one(&bed, 0, 0).await;
    kill_all(&mut bed);
    for host in &mut bed.hosts {
        host.wait_for_end().await;
    }
    let since = Instant::now();
    restart_all(&mut bed).await;
    assert!(since.elapsed() < MAX_START_TIME, "{:?}", since.elapsed());
}

/// Guards against streams that begin before the version record exists: a host that starts later
/// finds none, and takes its view of the registry for all that there was.
#[tokio::test]
async fn no_stream_begins_at_a_first_start_before_the_record_exists() {
    let mut bed = Bed::start(0, &ONE_VERSION).await;
    bed.store.set_mode(StoreMode::RefuseWritesTo("versions"));
    bed.add_host(true).await;
    let res = bed.send(0, ONCE, "early", "").await;
    assert_eq!(res.status, 503, "{res:?}");
    assert!(res.text.contains("not_run"), "{res:?}");
    assert!(bed.versions_of(&["early"]).is_empty(), "it ran");
    let plain = bed.send(0, "/stream/", "plain", "").await;
    assert_eq!(plain.status, 200, "{plain:?}");
    bed.store.set_mode(StoreMode::Serve);
    wait_for("a stream", || async {
        bed.send(0, ONCE, "late", "").await.status == 200
    })
    .await;
    assert!(bed.store.has("versions", "history"));
}

/// Guards against streams being rejected for good where the record of all upstreams doesn't fit a
/// row.
#[tokio::test]
async fn streams_begin_although_the_record_would_be_too_long() {
    const UPSTREAMS: usize = 5000;
    let mut bed = Bed::start(0, &ONE_VERSION).await;
    let mut row =
        fixture::worker_row_with_version("v1", SocketAddr::from((Ipv4Addr::LOCALHOST, 9)));
    row["State"] = json!("draining");
    for n in 0..UPSTREAMS {
        bed.store.put("servers", &format!("other-{n}"), &row);
    }
    bed.add_host(true).await;
    wait_for("a stream", || async {
        bed.send(0, ONCE, "new", "").await.status == 200
    })
    .await;
    let record = bed.store.value("versions", "history").unwrap();
    assert_eq!(record["upstreams"], json!(""));
}
