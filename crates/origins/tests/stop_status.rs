//! Tests what a stopping host knows of the other hosts that hold its origins.

use origins::{
    HostLocation, HostStart, HostStatus, NameHash, Origin, OriginRecord, Replicas, ReplicatedBy,
    StreamId,
};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

/// Maximum number of origins that a host saves.
const MAX: usize = 10;

fn location(n: usize) -> HostLocation {
    HostLocation {
        ip: IpAddr::V4(Ipv4Addr::from(0x0a00_0001 + n as u32)),
        zone: n as u32,
    }
}

fn status(n: usize, is_stopping: bool, running_for: Duration) -> HostStatus {
    HostStatus {
        start: n as u32,
        is_stopping,
        running_for,
    }
}

fn record(now: Instant) -> OriginRecord {
    OriginRecord {
        origin: Origin {
            route: NameHash(1),
            service: NameHash(2),
            version: NameHash(3),
            upstream: 4,
        },
        began_at: now,
        expires_at: now + Duration::from_secs(600),
    }
}

/// Guards against an origin that isn't saved when all hosts stop, because an answer that a holder
/// sent just before its stop signal arrives after the notification of its stop.
#[test]
fn a_delayed_answer_does_not_hide_the_stop_of_a_holder() {
    let now = Instant::now();
    let mut replicas = Replicas::new(location(0));
    replicas.set_members(vec![location(1), location(2)]);
    let stream = StreamId(1);
    replicas.record(stream, record(now), None, ReplicatedBy::ThisHost, now);
    for n in [1, 2] {
        let ip = location(n).ip;
        replicas.record_heard(ip, status(n, false, Duration::from_secs(9)), now);
        let start = n as u32;
        replicas.confirm(stream, HostStart { ip, start });
    }
    assert!(replicas.under_replicated(MAX, now).is_empty());
    for n in [1, 2] {
        let ip = location(n).ip;
        replicas.record_heard(ip, status(n, true, Duration::from_millis(10_001)), now);
        replicas.record_heard(ip, status(n, false, Duration::from_millis(10_000)), now);
    }
    assert_eq!(replicas.under_replicated(MAX, now).len(), 1);
}

/// Guards against losing streams that fit in the rows of all hosts together: hosts that stop at
/// once hold the same streams, and each saved the same part of them.
#[test]
fn hosts_that_hold_the_same_origins_save_different_ones() {
    const HOSTS: usize = 4;
    let now = Instant::now();
    let mut saved = Vec::new();
    for n in 0..HOSTS {
        let mut replicas = Replicas::new(location(n));
        replicas.set_members((0..HOSTS).map(location).collect());
        for stream in 0..2 * MAX as u128 {
            let replicated_by = ReplicatedBy::ThisHost;
            replicas.record(
                StreamId::of(&stream.to_string()),
                record(now),
                None,
                replicated_by,
                now,
            );
        }
        let own = replicas.under_replicated(MAX, now);
        assert_eq!(own.len(), MAX);
        saved.extend(own.iter().map(|(stream, _)| *stream));
    }
    saved.sort_unstable();
    saved.dedup();
    assert_eq!(saved.len(), 2 * MAX);
}

/// Guards against a delayed datagram of a former start hiding that a host has restarted.
#[test]
fn a_delayed_datagram_of_a_former_start_is_ignored() {
    let now = Instant::now();
    let mut replicas = Replicas::new(location(0));
    let ip = location(1).ip;
    replicas.record_heard(ip, status(1, true, Duration::from_secs(60)), now);
    let restarted = status(2, false, Duration::from_secs(1));
    replicas.record_heard(ip, restarted, now + Duration::from_secs(2));
    replicas.record_heard(
        ip,
        status(1, true, Duration::from_secs(60)),
        now + Duration::from_secs(2),
    );
    assert_eq!(replicas.status(ip).unwrap().0, restarted);
}
