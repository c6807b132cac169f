//! Tests that streams can be resumed at their version after all hosts are killed while several
//! versions are in service.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::continued::{DEADLINE_MS, ONE_VERSION, STREAMS, TWO_VERSIONS, begin, count_resumed};
use common::versions::{Bed, ONCE};
use std::time::Duration;

/// Time between the start of the last stream and the kill.
const STREAM_AGE: Duration = Duration::from_secs(1);
/// Minimum number of streams that must be resumed: 90% of all.
const MIN_RESUMED: usize = STREAMS * 9 / 10;

/// Guards against streams being unknown after all hosts are killed at once, if only hosts that stop
/// store origins.
#[tokio::test]
async fn streams_of_two_versions_go_on_after_all_hosts_were_killed() {
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    tokio::time::sleep(STREAM_AGE).await;
    bed.kill_all_and_restart().await;
    let resumed = count_resumed(&bed, true).await;
    assert!(resumed >= MIN_RESUMED, "{resumed} of {STREAMS}");
}

/// Guards against a restarted writer overwriting the streams that were stored before it was killed.
#[tokio::test]
async fn streams_go_on_after_all_hosts_were_killed_twice() {
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    tokio::time::sleep(STREAM_AGE).await;
    bed.kill_all_and_restart().await;
    for n in 0..3 {
        bed.send(n, ONCE, &format!("between-{n}"), "").await;
    }
    tokio::time::sleep(STREAM_AGE).await;
    bed.kill_all_and_restart().await;
    let resumed = count_resumed(&bed, true).await;
    assert!(resumed >= MIN_RESUMED, "{resumed} of {STREAMS}");
}

/// Guards against streams being lost if their origins are stored by a single host that is killed
/// before the others.
#[tokio::test]
async fn streams_go_on_after_hosts_were_killed_one_after_the_other() {
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    tokio::time::sleep(STREAM_AGE).await;
    for host in &mut bed.hosts {
        host.kill();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bed.kill_all_and_restart().await;
    let resumed = count_resumed(&bed, true).await;
    assert!(resumed >= MIN_RESUMED, "{resumed} of {STREAMS}");
}

/// Guards against origins not being stored by a host that has no peers.
#[tokio::test]
async fn streams_go_on_after_the_only_host_was_killed() {
    let mut bed = Bed::start_system(1, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    tokio::time::sleep(STREAM_AGE).await;
    bed.kill_all_and_restart().await;
    let resumed = count_resumed(&bed, true).await;
    assert!(resumed >= MIN_RESUMED, "{resumed} of {STREAMS}");
}

/// Guards against writes to the store while a single version is in service, as origins aren't
/// needed then.
#[tokio::test]
async fn streams_of_a_single_version_are_not_stored() {
    let mut bed = Bed::start_system(3, &ONE_VERSION).await;
    begin(&mut bed).await;
    tokio::time::sleep(STREAM_AGE).await;
    assert!(bed.store.keys("streams").is_empty());
}

/// Guards against streams of stopping hosts being unknown after a kill, as no running host is left
/// that stores their origins.
#[tokio::test]
async fn streams_of_stopping_hosts_go_on_after_they_were_killed() {
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    for host in &bed.hosts {
        host.stop();
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    begin(&mut bed).await;
    tokio::time::sleep(STREAM_AGE).await;
    bed.kill_all_and_restart().await;
    let resumed = count_resumed(&bed, true).await;
    assert!(resumed >= MIN_RESUMED, "{resumed} of {STREAMS}");
}

/// Guards against a stream of two versions where one attempt began two streams and the writers know
/// only the origin of the first one.
#[tokio::test]
async fn streams_of_an_attempt_that_began_two_are_not_mixed_after_all_hosts_were_killed() {
    const ATTEMPTS: usize = 8;
    const MAX_REPEATS: usize = 12;
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    bed.deadline_ms = DEADLINE_MS;
    let mut repeated = Vec::new();
    for n in 0..ATTEMPTS {
        let id = format!("twice-{n}");
        for _ in 0..MAX_REPEATS {
            bed.send(0, ONCE, &id, "").await;
            if bed.versions_of(&[&id]).len() == 2 {
                repeated.push(id);
                break;
            }
        }
    }
    assert!(!repeated.is_empty());
    tokio::time::sleep(STREAM_AGE).await;
    bed.kill_all_and_restart().await;
    for id in &repeated {
        let rest = bed.resume(0, &format!("next-{id}"), id).await;
        assert!(!rest.is_whole(), "{rest:?}");
    }
}

/// Guards against most streams being unknown after a kill of all hosts where they began shortly
/// before it: at least half of them go on.
#[tokio::test]
async fn streams_that_began_just_before_all_hosts_were_killed_go_on() {
    let mut bed = Bed::start_system(3, &TWO_VERSIONS).await;
    tokio::time::sleep(STREAM_AGE).await;
    begin(&mut bed).await;
    bed.kill_all_and_restart().await;
    let resumed = count_resumed(&bed, true).await;
    assert!(resumed >= STREAMS / 2, "{resumed} of {STREAMS}");
}
