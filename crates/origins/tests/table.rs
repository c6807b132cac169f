//! Tests of the table of origins, the order of hosts, and the only version.

use origins::{
    HostLocation, Lookup, MAX_STREAM_LIFETIME, NameHash, Origin, OriginRecord, OriginTable,
    StreamId, VERSION_LIFETIME, VersionHistory, host_order,
};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

fn origin(version: &str, upstream: u32) -> Origin {
    Origin {
        route: NameHash::of("route"),
        service: NameHash::of("service"),
        version: NameHash::of(version),
        upstream,
    }
}

fn record(origin: Origin, began_at: Instant, lifetime: Duration) -> OriginRecord {
    OriginRecord {
        origin,
        began_at,
        expires_at: began_at + lifetime,
    }
}

fn hosts(count: u8, zones: u8) -> Vec<HostLocation> {
    let all = 0..count;
    all.map(|n| HostLocation {
        ip: IpAddr::V4(Ipv4Addr::new(10, 0, 0, n)),
        zone: u32::from(n % zones),
    })
    .collect()
}

/// Guards against an identifier that two attempts share naming either of two versions.
#[test]
fn two_origins_of_one_stream_make_it_uncertain() {
    let now = Instant::now();
    let stream = StreamId::of("a");
    let mut table = OriginTable::default();
    let long = Duration::from_secs(10);
    table.record(stream, record(origin("v1", 1), now, long), now);
    table.record(stream, record(origin("v1", 1), now, long), now);
    assert!(matches!(table.find(stream, now), Lookup::Known(_)));
    table.record(stream, record(origin("v2", 1), now, long), now);
    assert_eq!(table.find(stream, now), Lookup::Uncertain);
}

/// Guards against a start that was replaced unnoticed by one of another version: what began there
/// since is uncertain, also if its copy arrives later.
#[test]
fn streams_of_a_replaced_start_are_uncertain() {
    let t0 = Instant::now();
    let at = |s| t0 + Duration::from_secs(s);
    let long = Duration::from_secs(60);
    let mut table = OriginTable::default();
    let streams = ["before", "since", "other", "late", "late-before"].map(StreamId::of);
    table.record(streams[0], record(origin("v1", 1), at(1), long), at(1));
    table.record(streams[1], record(origin("v1", 1), at(6), long), at(6));
    table.record(streams[2], record(origin("v1", 2), at(6), long), at(6));
    table.distrust(1, at(5));
    table.record(streams[3], record(origin("v1", 1), at(7), long), at(8));
    table.record(streams[4], record(origin("v1", 1), at(2), long), at(8));
    let certain = streams.map(|stream| matches!(table.find(stream, at(9)), Lookup::Known(_)));
    assert_eq!(certain, [true, false, true, false, true]);
    assert_eq!(table.all(at(9)).len(), 3);
}

/// Guards against memory that grows with each stream.
#[test]
fn origins_expire_and_are_bounded() {
    let now = Instant::now();
    let mut table = OriginTable::default();
    for n in 0..20_000 {
        let lifetime = Duration::from_millis(10_000 + n);
        let stream = StreamId::of(&n.to_string());
        table.record(stream, record(origin("v1", 1), now, lifetime), now);
    }
    assert_eq!(table.len(), 16_384);
    assert_eq!(table.find(StreamId::of("0"), now), Lookup::Unknown);
    let later = now + Duration::from_secs(40);
    assert_eq!(table.find(StreamId::of("19999"), later), Lookup::Unknown);
    table.record(
        StreamId::of("x"),
        record(origin("v1", 1), later, MAX_STREAM_LIFETIME),
        later,
    );
    assert_eq!(table.len(), 1);
}

/// Guards against copies in one zone only, and against hosts that disagree on the order.
#[test]
fn the_first_hosts_of_a_stream_are_in_different_zones() {
    let all = hosts(30, 5);
    let mut firsts = [0; 30];
    for n in 0..3000 {
        let stream = StreamId::of(&n.to_string());
        let order = host_order(stream, &all);
        let mut reversed = all.clone();
        reversed.reverse();
        assert_eq!(order, host_order(stream, &reversed));
        let zone = |ip: &IpAddr| all.iter().find(|h| h.ip == *ip).unwrap().zone;
        let mut zones: Vec<u32> = order[..5].iter().map(zone).collect();
        zones.sort_unstable();
        assert_eq!(zones, [0, 1, 2, 3, 4]);
        let first = all.iter().position(|h| h.ip == order[0]).unwrap();
        firsts[first] += 1;
    }
    assert!(firsts.iter().all(|n| (50..=150).contains(n)), "{firsts:?}");
}

/// Guards against a single version being concluded while streams of another one may last.
#[test]
fn a_version_is_the_only_one_after_the_lifetime_of_a_stream() {
    let [v1, v2] = ["v1", "v2"].map(NameHash::of);
    let t0 = Instant::now();
    let after = |d: Duration| t0 + d;
    let second = Duration::from_secs(1);
    let mut history = VersionHistory::default();
    let only = |history: &VersionHistory, present: &[NameHash], now| {
        history.only_version(present.iter().copied(), now)
    };
    assert_eq!(only(&history, &[v1, v1], t0), Some(v1));
    assert_eq!(only(&history, &[v1, v2], t0), None);
    assert_eq!(only(&history, &[], t0), None);
    history.record_left(v2, t0);
    assert_eq!(
        only(&history, &[v1], after(VERSION_LIFETIME - second)),
        None
    );
    assert_eq!(only(&history, &[v1], after(VERSION_LIFETIME)), Some(v1));
    history.record_left(v1, after(VERSION_LIFETIME));
    assert_eq!(only(&history, &[v1], after(VERSION_LIFETIME)), Some(v1));
    assert_eq!(only(&history, &[v2], after(VERSION_LIFETIME)), None);
}
