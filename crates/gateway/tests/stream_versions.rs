//! Tests that a stream goes on only at the software version that began it.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::versions::{Bed, EVENTS_BEFORE_BREAK, ONCE, OTHER, RESUMABLE};
use origins::{NameHash, StreamId};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Guards against a stream that is resumed inside one answer at another version. With one upstream
/// of each version, it can't go on.
#[tokio::test]
async fn a_stream_is_not_resumed_inside_its_answer_at_another_version() {
    let bed = Bed::start(1, &["v1", "v1.1"]).await;
    for n in 0..6 {
        let id = format!("id-{n}");
        let res = bed.send(0, RESUMABLE, &id, "").await;
        assert_eq!(bed.versions_of(&[&id]).len(), 1, "{res:?}");
        assert!(!res.is_whole(), "{res:?}");
    }
}

/// Guards against the same while another upstream of its own version is free: the stream goes on
/// there.
#[tokio::test]
async fn a_stream_is_resumed_inside_its_answer_at_its_own_version() {
    let bed = Bed::start(1, &["v1", "v1", "v1.1", "v1.1"]).await;
    for n in 0..6 {
        let id = format!("id-{n}");
        let res = bed.send(0, RESUMABLE, &id, "").await;
        assert_eq!(bed.versions_of(&[&id]).len(), 1, "{res:?}");
        assert!(res.is_whole(), "{res:?}");
    }
}

/// Guards against a client's next try at another version, at the host that began the stream.
#[tokio::test]
async fn a_stream_that_is_taken_up_at_its_host_goes_on_at_its_version() {
    let bed = Bed::start(1, &["v1", "v1", "v1.1", "v1.1"]).await;
    let (mixed, resumed) = bed.take_up_streams(0, 0).await;
    assert_eq!(mixed, 0, "streams over two versions");
    assert!(resumed >= 6, "{resumed} of 12 go on");
}

/// Guards against the same at another host, which hasn't seen the first event.
#[tokio::test]
async fn a_stream_that_is_taken_up_at_another_host_goes_on_at_its_version() {
    let bed = Bed::start(3, &["v1", "v1", "v1.1", "v1.1"]).await;
    let (mixed, resumed) = bed.take_up_streams(0, 1).await;
    assert_eq!(mixed, 0, "streams over two versions");
    assert!(resumed >= 6, "{resumed} of 12 go on");
}

/// Guards against the same after the host that began the streams was killed: it can't be asked, so
/// others must know by then.
#[tokio::test]
async fn streams_of_a_killed_host_go_on_at_their_version() {
    let mut bed = Bed::start(3, &["v1", "v1", "v1.1", "v1.1"]).await;
    for n in 0..12 {
        let part = bed.send(0, ONCE, &format!("begun-{n}"), "").await;
        assert_eq!(part.events() as u64, EVENTS_BEFORE_BREAK, "{part:?}");
    }
    bed.hosts[0].kill();
    let (mut mixed, mut resumed) = (0, 0);
    for n in 0..12 {
        let (begun, next) = (format!("begun-{n}"), format!("next-{n}"));
        let rest = bed.resume(1 + n % 2, &next, &begun).await;
        resumed += usize::from(rest.is_whole());
        mixed += usize::from(bed.versions_of(&[&begun, &next]).len() > 1);
    }
    assert_eq!(mixed, 0, "streams over two versions");
    assert!(resumed >= 6, "{resumed} of 12 go on");
}

/// Guards against an unknown version being taken for any: with two versions in service, a stream
/// that no host knows is rejected as not run.
#[tokio::test]
async fn a_stream_of_unknown_version_is_not_run() {
    let bed = Bed::start(2, &["v1", "v1.1"]).await;
    for n in 0..4 {
        let id = format!("id-{n}");
        let res = bed.resume(n % 2, &id, "nobody-knows").await;
        assert_eq!(res.status, 503, "{res:?}");
        assert!(res.text.contains("not_run"), "{res:?}");
        assert!(bed.versions_of(&[&id]).is_empty(), "it ran");
    }
    // Without the header, nothing is known of the stream either.
    let res = bed.send(0, ONCE, "unnamed", "last-event-id: 2\r\n").await;
    assert_eq!(res.status, 503, "{res:?}");
    assert!(bed.versions_of(&["unnamed"]).is_empty(), "it ran");
}

/// Guards against running the rest of another route's stream, or of one that isn't named clearly.
#[tokio::test]
async fn a_stream_of_another_route_or_without_a_clear_name_is_not_run() {
    let bed = Bed::start(1, &["v1", "v1", "v1.1", "v1.1"]).await;
    bed.send(0, OTHER, "begun", "").await;
    // Routes may be split while a stream is open, so this isn't final.
    let res = bed.resume(0, "next", "begun").await;
    assert_eq!(res.status, 503, "{res:?}");
    let twice = "resumes: a\r\nresumes: b\r\nlast-event-id: 2\r\n";
    let long = format!("resumes: {}\r\nlast-event-id: 2\r\n", "a".repeat(300));
    let none = "resumes: begun\r\n";
    for (n, more) in [twice, "resumes: \r\nlast-event-id: 2\r\n", &long, none]
        .iter()
        .enumerate()
    {
        let res = bed.send(0, ONCE, &format!("bad-{n}"), more).await;
        assert_eq!(res.status, 400, "{more}: {res:?}");
    }
    let ids = ["next", "bad-0", "bad-1", "bad-2", "bad-3"];
    assert!(bed.versions_of(&ids).is_empty(), "one of them ran");
}

/// Guards against a stream that waits, or goes on elsewhere, when no upstream of its version is left.
#[tokio::test]
async fn a_stream_whose_version_has_gone_is_rejected_at_once() {
    let mut bed = Bed::start(2, &["v1"]).await;
    let part = bed.send(0, ONCE, "begun", "").await;
    assert_eq!(part.events() as u64, EVENTS_BEFORE_BREAK, "{part:?}");
    bed.add_worker("v2").await;
    bed.retire("i-0").await;
    for n in 0..2 {
        let id = format!("next-{n}");
        let since = std::time::Instant::now();
        let res = bed.resume(n, &id, "begun").await;
        assert_eq!(res.status, 503, "{res:?}");
        assert!(since.elapsed().as_millis() < 1000, "it waited");
        assert!(bed.versions_of(&[&id]).is_empty(), "it ran");
    }
}

/// Guards against streams being rejected where there is only one version.
#[tokio::test]
async fn streams_go_on_with_one_version_in_service() {
    let bed = Bed::start(2, &["v1", "v1"]).await;
    let (_, resumed) = bed.take_up_streams(0, 1).await;
    assert_eq!(resumed, 12);
}

/// Guards against rejecting streams where there can't have been another version, and against taking
/// the only known version for the only one when another has just appeared: the host that is asked
/// hasn't read of it, but streams may have begun there.
#[tokio::test]
async fn a_stream_nobody_knows_goes_on_only_while_there_was_one_version() {
    let mut bed = Bed::start(0, &["v1"]).await;
    bed.add_host(true).await;
    let res = bed.resume(0, "next-0", "nobody-knows").await;
    assert!(res.is_whole(), "{res:?}");
    bed.add_worker("v2").await;
    for n in 1..20 {
        let id = format!("next-{n}");
        let res = bed.resume(0, &id, "nobody-knows").await;
        assert_eq!(res.status, 503, "{res:?}");
    }
    bed.retire("i-1").await;
    let res = bed.resume(0, "next-20", "nobody-knows").await;
    assert_eq!(res.status, 503, "{res:?}");
}

/// Guards against a host that has just started taking its first view for all that there was.
#[tokio::test]
async fn a_host_that_starts_later_does_not_run_a_stream_nobody_knows() {
    let bed = Bed::start(1, &["v1", "v1"]).await;
    let res = bed.resume(0, "next", "nobody-knows").await;
    assert_eq!(res.status, 503, "{res:?}");
    assert!(bed.versions_of(&["next"]).is_empty(), "it ran");
}

/// Datagrams that copy origins to another host and confirm the copies.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
enum Datagram {
    Keep((u32, bool, u32), Vec<RawCopy>),
    Kept((u32, bool, u32), Vec<(u64, u64)>),
}

/// Stream, origin, and whether the upstream's start is verified.
type RawCopy = ((u64, u64), (u64, u64, u64, u32, u32, u32), bool);

/// Sends a copy from the address of a killed host and returns whether it was confirmed.
async fn send_copy(bed: &Bed, from: usize, to: usize, attempt: &str, is_verified: bool) -> bool {
    let origin_port = 7006;
    let [from, to] = [from, to].map(|n| SocketAddr::new(bed.hosts[n].callers.ip(), origin_port));
    let socket = UdpSocket::bind(from).await.unwrap();
    let StreamId(stream) = StreamId::of(attempt);
    let [route, service, version] = ["once", "plain", "v1"].map(|name| NameHash::of(name).0);
    let unknown_start = 77;
    let stream = ((stream >> 64) as u64, stream as u64);
    let record = (route, service, version, unknown_start, 1000, 60_000);
    let copy = (stream, record, is_verified);
    let buf = wire::encode_compact(&Datagram::Keep((1, false, 5000), vec![copy]));
    socket.send_to(&buf, to).await.unwrap();
    let mut buf = vec![0; 1200];
    loop {
        let len = socket.recv(&mut buf).await.unwrap();
        if let Some(Datagram::Kept(_, streams)) = wire::decode(&buf[..len]) {
            return streams == [stream];
        }
    }
}

/// Guards against continuing a stream at another version after its upstream restarted under the
/// same id: a host that started later can't have seen the restart, and the sender of the copy may
/// not know of it yet.
#[tokio::test]
async fn a_copy_whose_upstream_may_have_restarted_is_not_recorded() {
    let mut bed = Bed::start(2, &["v1", "v1", "v1.1", "v1.1"]).await;
    bed.hosts[0].kill();
    bed.hosts[0].wait_for_shutdown().await;
    assert!(!send_copy(&bed, 0, 1, "begun-0", false).await);
    let res = bed.resume(1, "next-0", "begun-0").await;
    assert_eq!(res.status, 503, "{res:?}");
    assert!(bed.versions_of(&["next-0"]).is_empty(), "it ran");
    assert!(send_copy(&bed, 0, 1, "begun-1", true).await);
    let res = bed.resume(1, "next-1", "begun-1").await;
    assert!(res.is_whole(), "{res:?}");
    assert_eq!(bed.versions_of(&["next-1"]), ["v1"]);
}
