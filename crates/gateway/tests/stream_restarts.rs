//! Tests that streams go on at their version while hosts restart in series that overlap, or all at
//! once.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::continued::{
    ONE_VERSION, STOP_GAP, STREAMS, TWO_VERSIONS, begin, count_resumed, restart_in_series,
};
use common::versions::Bed;
use standin::StoreMode;
use std::time::{Duration, Instant};

/// Guards against streams being unknown after their hosts were told to stop one after the other,
/// each while the former ones were still stopping: their origins had been handed over to hosts that
/// were about to stop as well.
#[tokio::test]
async fn streams_go_on_after_an_overlapping_series_of_restarts() {
    let mut bed = Bed::start(4, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    restart_in_series(&mut bed, 0..4, STOP_GAP).await;
    assert_eq!(count_resumed(&bed, true).await, STREAMS);
}

/// Guards against the same with a single version in service.
#[tokio::test]
async fn streams_of_one_version_go_on_after_an_overlapping_series_of_restarts() {
    let mut bed = Bed::start(4, &ONE_VERSION).await;
    begin(&mut bed).await;
    restart_in_series(&mut bed, 0..4, STOP_GAP).await;
    assert_eq!(count_resumed(&bed, true).await, STREAMS);
}

/// Guards against the same where one host is killed and has restarted before the others end.
#[tokio::test]
async fn streams_go_on_after_a_series_of_restarts_beside_a_killed_host() {
    let mut bed = Bed::start(4, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    let mut killed = bed.hosts.pop().unwrap();
    let restart_killed = async {
        tokio::time::sleep(STOP_GAP * 2).await;
        killed.kill();
        tokio::time::sleep(STOP_GAP / 2).await;
        killed.restart().await;
    };
    tokio::join!(restart_in_series(&mut bed, 0..3, STOP_GAP), restart_killed);
    bed.hosts.push(killed);
    assert_eq!(count_resumed(&bed, true).await, STREAMS);
}

/// Guards against the same where all hosts are told to stop at once, so that none outlives the
/// others.
#[tokio::test]
async fn streams_go_on_after_all_hosts_restarted_at_once() {
    let mut bed = Bed::start(4, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    restart_in_series(&mut bed, 0..4, Duration::ZERO).await;
    assert_eq!(count_resumed(&bed, true).await, STREAMS);
}

/// Guards against the same at a site of one host.
#[tokio::test]
async fn streams_go_on_after_the_only_host_restarted() {
    let mut bed = Bed::start(1, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    restart_in_series(&mut bed, 0..1, Duration::ZERO).await;
    assert_eq!(count_resumed(&bed, true).await, STREAMS);
}

/// Guards against streams being unknown where one host was stopped and restarted after the other,
/// each once the former one was ready.
#[tokio::test]
async fn streams_go_on_after_a_series_of_restarts_that_does_not_overlap() {
    let mut bed = Bed::start(3, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    for n in 0..3 {
        restart_in_series(&mut bed, n..n + 1, Duration::ZERO).await;
    }
    assert_eq!(count_resumed(&bed, true).await, STREAMS);
}

/// Guards against the same where all hosts are killed. Nothing can be known of single streams then,
/// but the service had a single version all the time.
#[tokio::test]
async fn streams_of_the_only_version_go_on_after_all_hosts_were_killed() {
    let mut bed = Bed::start_system(4, &ONE_VERSION).await;
    begin(&mut bed).await;
    bed.kill_all_and_restart().await;
    assert_eq!(count_resumed(&bed, true).await, STREAMS);
}

/// Guards against hosts that started later rejecting streams whose clients don't name an attempt,
/// although the service had a single version all the time.
#[tokio::test]
async fn unnamed_streams_of_the_only_version_go_on_after_restarts() {
    let mut bed = Bed::start_system(4, &ONE_VERSION).await;
    begin(&mut bed).await;
    restart_in_series(&mut bed, 0..4, STOP_GAP).await;
    assert_eq!(count_resumed(&bed, false).await, STREAMS);
}

/// Guards against a stream of unknown version being run, or kept waiting, after all hosts were
/// killed. The store refuses to write origins, so that they are lost.
#[tokio::test]
async fn streams_of_two_versions_are_rejected_at_once_after_all_hosts_were_killed() {
    let mut bed = Bed::start_system(4, &TWO_VERSIONS).await;
    bed.store.set_mode(StoreMode::RefuseWritesTo("streams"));
    begin(&mut bed).await;
    bed.kill_all_and_restart().await;
    for n in 0..STREAMS {
        let since = Instant::now();
        let res = bed
            .resume(n % 4, &format!("next-{n}"), &format!("begun-{n}"))
            .await;
        assert_eq!(res.status, 503, "{res:?}");
        assert!(res.text.contains("not_run"), "{res:?}");
        assert!(since.elapsed() < Duration::from_secs(1), "it waited");
        assert!(
            bed.versions_of(&[&format!("next-{n}")]).is_empty(),
            "it ran"
        );
    }
}
