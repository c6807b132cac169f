//! Tests that streams go on at their version where one host is left, where the store fails while
//! hosts stop, where hosts that hold copies are killed, and where upstreams leave meanwhile.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::continued::{
    DEADLINE_MS, STOP_GAP, STREAMS, TWO_VERSIONS, begin, begin_one, count_resumed,
    count_resumed_at, goes_on, restart_in_series,
};
use common::versions::Bed;
use standin::StoreMode;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Times between the end of a host, or its signal, and the kill of another one.
const KILL_DELAYS: [u64; 3] = [0, 300, 1000];
/// Time between two streams that begin while hosts stop.
const BEGIN_GAP: Duration = Duration::from_millis(150);

/// How the second of two hosts ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SecondEnd {
    /// It is told to stop after the first one.
    Stopped,
    /// It is killed while the first one stops.
    KilledDuringStop,
    /// It is killed as the first one has ended.
    KilledAfterStop,
}

/// Ends two of three hosts and returns how many streams go on at the third. A third of the streams
/// begin at all hosts before, a third at the two just before their ends, and the others while these
/// stop.
async fn count_resumed_at_last_host(second_end: SecondEnd) -> usize {
    let mut bed = Bed::start(3, &TWO_VERSIONS).await;
    bed.deadline_ms = DEADLINE_MS;
    let mut streams = 0..STREAMS;
    for n in streams.by_ref().take(8) {
        begin_one(&bed, n % 3, n).await;
    }
    for n in streams.by_ref().take(4) {
        begin_one(&bed, 0, n).await;
    }
    bed.hosts[0].stop();
    match second_end {
        SecondEnd::Stopped => tokio::time::sleep(STOP_GAP).await,
        SecondEnd::KilledDuringStop => {}
        SecondEnd::KilledAfterStop => bed.hosts[0].wait_for_end().await,
    }
    for n in streams.by_ref().take(4) {
        begin_one(&bed, 1, n).await;
    }
    match second_end {
        SecondEnd::Stopped => bed.hosts[1].stop(),
        SecondEnd::KilledDuringStop | SecondEnd::KilledAfterStop => bed.hosts[1].kill(),
    }
    for n in streams {
        let host = match second_end {
            SecondEnd::Stopped => n % 2,
            SecondEnd::KilledDuringStop => 0,
            SecondEnd::KilledAfterStop => 2,
        };
        begin_one(&bed, host, n).await;
        tokio::time::sleep(BEGIN_GAP).await;
    }
    for host in &mut bed.hosts[..2] {
        host.wait_for_end().await;
    }
    count_resumed_at(&bed, &[2]).await
}

/// Guards against the only host that is left not knowing streams of two that were told to stop, or
/// of which one was killed.
#[tokio::test]
async fn the_last_host_continues_streams_of_two_that_ended() {
    let ends = [
        SecondEnd::Stopped,
        SecondEnd::KilledDuringStop,
        SecondEnd::KilledAfterStop,
    ];
    for end in ends {
        let resumed = count_resumed_at_last_host(end).await;
        assert_eq!(resumed, STREAMS, "{end:?}");
    }
}

/// Restarts all of four hosts, with a gap between two signals, while the store is in a mode for a
/// part of the stops, and returns how many streams go on.
async fn count_resumed_after_outage(
    gap: Duration,
    mode: StoreMode,
    outage: Range<Duration>,
) -> usize {
    let mut bed = Bed::start(4, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    let store = bed.store.clone();
    let fail = async {
        tokio::time::sleep(outage.start).await;
        store.set_mode(mode);
        tokio::time::sleep(outage.end - outage.start).await;
        store.set_mode(StoreMode::Serve);
    };
    tokio::join!(restart_in_series(&mut bed, 0..4, gap), fail);
    count_resumed(&bed, true).await
}

/// No origins of streams are taken.
const NO_ROWS: StoreMode = StoreMode::RefuseWritesTo("streams");
const SLOW: StoreMode = StoreMode::Slow(Duration::from_millis(200), Duration::from_secs(1));
/// Time after the first signal in which the store is slow or silent. Hosts without requests write
/// their rows from 2.3 s after their signal on.
const SLOW_TIME: Range<Duration> = Duration::ZERO..Duration::from_secs(5);
const SILENT_TIME: Range<Duration> = Duration::from_secs(2)..Duration::from_secs(4);

/// Guards against streams being lost where all hosts stop, at once or in an overlapping series,
/// while the store is slow.
#[tokio::test]
async fn streams_go_on_after_all_hosts_stopped_beside_a_slow_store() {
    for gap in [Duration::ZERO, STOP_GAP] {
        let resumed = count_resumed_after_outage(gap, SLOW, SLOW_TIME).await;
        assert_eq!(resumed, STREAMS, "{gap:?}");
    }
}

/// Guards against streams being lost where all hosts stop at once and the store answers nothing for
/// a part of that time.
#[tokio::test]
async fn streams_go_on_after_all_hosts_stopped_beside_a_silent_store() {
    let silent = StoreMode::Silent;
    let resumed = count_resumed_after_outage(Duration::ZERO, silent, SILENT_TIME).await;
    assert_eq!(resumed, STREAMS);
}

/// Guards against the same in an overlapping series.
#[tokio::test]
async fn streams_go_on_after_a_series_of_stops_beside_a_silent_store() {
    let silent = StoreMode::Silent;
    let resumed = count_resumed_after_outage(STOP_GAP, silent, SILENT_TIME).await;
    assert_eq!(resumed, STREAMS);
}

/// Guards against streams being lost with a host that two stopping ones handed them over to, and
/// that is killed while another one lives and the store takes no rows.
#[tokio::test]
async fn streams_go_on_where_a_receiver_of_copies_is_killed() {
    for delay in KILL_DELAYS {
        let mut bed = Bed::start(4, &TWO_VERSIONS).await;
        begin(&mut bed).await;
        bed.store.set_mode(NO_ROWS);
        let receiver = bed.hosts.remove(2);
        let kill = async {
            let mut receiver = receiver;
            tokio::time::sleep(STOP_GAP + Duration::from_millis(delay)).await;
            receiver.kill();
            receiver.wait_for_end().await;
        };
        tokio::join!(restart_in_series(&mut bed, 0..2, STOP_GAP), kill);
        assert_eq!(count_resumed(&bed, true).await, STREAMS, "{delay} ms");
    }
}

/// Guards against the same where the host that lives has just started when the first one is told to
/// stop.
#[tokio::test]
async fn streams_go_on_where_only_a_new_host_lives() {
    for delay in KILL_DELAYS {
        let mut bed = Bed::start(2, &TWO_VERSIONS).await;
        begin(&mut bed).await;
        bed.store.set_mode(NO_ROWS);
        bed.add_host(false).await;
        bed.hosts[0].stop();
        tokio::time::sleep(Duration::from_millis(delay)).await;
        bed.hosts[1].kill();
        bed.hosts[0].wait_for_end().await;
        let resumed = count_resumed_at(&bed, &[2]).await;
        assert_eq!(resumed, STREAMS, "{delay} ms");
    }
}

/// Guards against the same where the receiver of the copies is killed after the first host has
/// ended, and that one restarts.
#[tokio::test]
async fn streams_go_on_where_a_receiver_is_killed_after_the_stop() {
    for delay in KILL_DELAYS {
        let mut bed = Bed::start(2, &TWO_VERSIONS).await;
        begin(&mut bed).await;
        bed.hosts[0].stop();
        bed.hosts[0].wait_for_end().await;
        bed.add_host(false).await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        bed.hosts[1].kill();
        bed.hosts[0].restart().await;
        let resumed = count_resumed_at(&bed, &[0, 2]).await;
        assert_eq!(resumed, STREAMS, "{delay} ms");
    }
}

/// Time in which a kill is noticed and copies are renewed.
const RENEWAL_TIME: Duration = Duration::from_secs(2);

/// Guards against copies at killed hosts counting as such: three of four are killed one after the
/// other, which were all that knew some of the streams as these began.
#[tokio::test]
async fn the_last_host_continues_streams_of_three_killed_ones() {
    let mut bed = Bed::start(4, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    for host in &mut bed.hosts[..3] {
        host.kill();
        tokio::time::sleep(RENEWAL_TIME).await;
    }
    assert_eq!(count_resumed_at(&bed, &[3]).await, STREAMS);
}

/// Age from which on it is certain at which start of an upstream a stream began.
const CERTAIN_AGE: Duration = Duration::from_secs(6);

/// Begins the streams and restarts the hosts of a range, of four, in an overlapping series, once the
/// streams have an age. Upstreams are removed meanwhile, those of the first version first.
async fn restart_and_retire(restarted: Range<usize>, age: Duration, retired: usize) -> Bed {
    let mut bed = Bed::start(4, &TWO_VERSIONS).await;
    begin(&mut bed).await;
    tokio::time::sleep(age).await;
    let store = bed.store.clone();
    let retire = async {
        tokio::time::sleep(STOP_GAP * 2).await;
        for id in &["i-0", "i-1"][..retired] {
            store.remove("servers", id);
        }
    };
    tokio::join!(restart_in_series(&mut bed, restarted, STOP_GAP), retire);
    bed
}

/// Guards against streams being unknown whose upstream left while hosts restarted, although another
/// one of their version serves.
#[tokio::test]
async fn streams_go_on_at_the_upstream_that_is_left_of_their_version() {
    for restarted in [0..4, 0..3] {
        let bed = restart_and_retire(restarted.clone(), CERTAIN_AGE, 1).await;
        assert_eq!(count_resumed(&bed, true).await, STREAMS, "{restarted:?}");
    }
}

/// Guards against the same where the streams have just begun and no host lives on.
#[tokio::test]
async fn most_new_streams_go_on_at_the_upstream_that_is_left_of_their_version() {
    let bed = restart_and_retire(0..4, Duration::ZERO, 1).await;
    let resumed = count_resumed(&bed, true).await;
    assert!(resumed * 2 >= STREAMS, "{resumed} of {STREAMS}");
}

/// Guards against the same where a host lives on that knows the streams.
#[tokio::test]
async fn new_streams_go_on_at_the_upstream_that_is_left_where_a_host_lives() {
    let bed = restart_and_retire(0..3, Duration::ZERO, 1).await;
    assert_eq!(count_resumed(&bed, true).await, STREAMS);
}

/// Takes up all streams after the first version left. Returns how many of its streams were rejected,
/// and how many of these because it left. Checks that they are rejected at once and run nowhere, and
/// that the others go on.
async fn count_rejected(bed: &Bed) -> (usize, usize) {
    let (mut rejected, mut gone) = (0, 0);
    for n in 0..STREAMS {
        if bed.versions_of(&[&format!("begun-{n}")]) == ["v1.1"] {
            assert!(goes_on(bed, n % 4, n, true).await, "stream {n}");
            continue;
        }
        let next = format!("next-{n}");
        let since = Instant::now();
        let res = bed.resume(n % 4, &next, &format!("begun-{n}")).await;
        assert!(since.elapsed() < Duration::from_secs(1), "it waited");
        assert_eq!(res.status, 503, "{res:?}");
        assert!(res.text.contains("not_run"), "{res:?}");
        assert!(bed.versions_of(&[&next]).is_empty(), "it ran");
        rejected += 1;
        gone += usize::from(res.text.contains("stream_version_gone"));
    }
    assert!(rejected > 0, "no stream began at the first version");
    (rejected, gone)
}

/// Guards against streams that run at another version, wait, or are unknown, after all upstreams of
/// theirs left while hosts restarted.
#[tokio::test]
async fn streams_of_a_version_that_left_are_rejected_at_once() {
    for restarted in [0..4, 0..3] {
        let bed = restart_and_retire(restarted, CERTAIN_AGE, 2).await;
        let (rejected, gone) = count_rejected(&bed).await;
        assert_eq!(gone, rejected);
    }
}

/// Guards against streams that have just begun running at another version, or waiting, after theirs
/// left.
#[tokio::test]
async fn new_streams_of_a_version_that_left_run_at_no_other() {
    for restarted in [0..4, 0..3] {
        let bed = restart_and_retire(restarted, Duration::ZERO, 2).await;
        count_rejected(&bed).await;
    }
}

/// Guards against streams that have just begun being unknown, instead of rejected for their version,
/// although a host that knows them lives on.
#[tokio::test]
async fn new_streams_of_a_version_that_left_are_known_where_a_host_lives() {
    let bed = restart_and_retire(0..3, Duration::ZERO, 2).await;
    let (rejected, gone) = count_rejected(&bed).await;
    assert_eq!(gone, rejected);
}
