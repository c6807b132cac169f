//! Tests the decoding of peer messages and lease rows: any bytes are decoded or refused, and the
//! decoded value is no larger than the message allows.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{at, gateway_with, instance, runner};
use gateway::duty::lease::{Candidate, decide};
use gateway::fleet::durations::{DurationSnapshot, Durations, Length};
use gateway::fleet::named_limit::LimitVersion;
use gateway::peers::catch_up::{RegistryChanges, apply_changes};
use gateway::peers::{
    CrashReport, Load, PeerStatus, Peers, Placement, Scope, StageChange, UpstreamStatement,
};
use platform::{Duty, Lease, LeaseRead, Stage, Start};
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

fn peer_status(upstream: u32) -> PeerStatus {
    PeerStatus {
        start: 1,
        number: 1,
        scope: Scope::Direct,
        zone: 3,
        processes: 1,
        config: 1,
        era: 1,
        members: at(1),
        registry: at(1),
        registry_ms: 20,
        registry_at_ms: 0,
        view: 7,
        loads: vec![Load {
            upstream,
            waiting: 1,
            tokens: 800,
            running: 1,
            streams: 0,
        }],
        changing: vec![StageChange {
            upstream,
            left_ms: 500,
        }],
        placements: vec![Placement {
            upstream,
            part: 9,
            tokens: 300,
        }],
        crashes: vec![CrashReport {
            work: [u64::MAX, 5],
            upstream: Some(upstream),
            in_trial: true,
            parts: vec![3, 4],
            ago_ms: 90,
        }],
        statements: vec![UpstreamStatement {
            upstream,
            is_leaving: true,
            limit: LimitVersion {
                version: 2,
                rate: Some(1200),
            },
        }],
    }
}

fn registry_changes() -> RegistryChanges {
    let mut present = instance(1, Stage::Decode);
    present.start = Some(Start(1_700_000_000_000));
    RegistryChanges {
        read_ms_ago: 20,
        store_ms: 1000,
        position: at(9),
        view: 1,
        is_whole: false,
        present: vec![present, instance(2, Stage::Prefill)],
        gone: vec!["i-3".into()],
    }
}

/// Generates random bytes, and valid messages of which some bytes were changed or cut off.
fn valid_or_random_bytes(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let any_bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let changes = proptest::collection::vec((any::<usize>(), any::<u8>()), 0..4);
    let changed = (changes, any::<usize>()).prop_map(move |(changes, cut)| {
        let mut bytes = valid.clone();
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        if cut % 3 == 0 {
            bytes.truncate(cut % bytes.len());
        }
        bytes
    });
    prop_oneof![1 => any_bytes, 3 => changed]
}

#[test]
fn any_datagram_is_decoded_or_refused_and_keeps_load_sums_consistent() {
    let gateway = gateway_with(&[Stage::Decode]);
    let tag = gateway.fleet().iter().next().unwrap().1.tag();
    let valid = wire::encode_compact(&peer_status(tag));
    assert!(wire::decode::<PeerStatus>(&valid).is_some());
    let datagrams = proptest::collection::vec(valid_or_random_bytes(valid), 1..30);
    runner()
        .run(&datagrams, |datagrams| {
            let mut peers = Peers::default();
            let now = Instant::now();
            for (n, bytes) in datagrams.iter().enumerate() {
                let Some(status) = wire::decode::<PeerStatus>(bytes) else {
                    continue;
                };
                let entries = status.loads.len() + status.changing.len() + status.placements.len();
                prop_assert!(entries <= bytes.len());
                let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, n as u8));
                let mut fleet = gateway.fleet();
                peers.receive(ip, status, &mut fleet, now);
                peers.choose_parent(gateway.location(), &mut fleet, now);
                drop(fleet);
                peers.process_count(now);
                let own = peer_status(tag);
                peers.outgoing(gateway.location(), &own, now);
            }
            let mut fleet = gateway.fleet();
            for (_, upstream) in fleet.iter() {
                upstream.backlog(u32::MAX);
            }
            peers.expire(&mut fleet, now + Duration::from_secs(60));
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_sum_of_maximum_peer_loads_saturates() {
    let gateway = gateway_with(&[Stage::Decode]);
    let tag = gateway.fleet().iter().next().unwrap().1.tag();
    let mut peers = Peers::default();
    let now = Instant::now();
    for n in 0..4 {
        let mut status = peer_status(tag);
        status.processes = u32::MAX;
        status.scope = match n {
            0 | 1 => Scope::Direct,
            _ => Scope::Up,
        };
        let load = &mut status.loads[0];
        (load.waiting, load.tokens) = (u16::MAX, u32::MAX);
        (load.running, load.streams) = (u16::MAX, u16::MAX);
        let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, n));
        peers.receive(ip, status, &mut gateway.fleet(), now);
    }
    gateway.set_live_peers(peers.process_count(now));
    peers.outgoing(gateway.location(), &peer_status(tag), now);
    let fleet = gateway.fleet();
    let (_, upstream) = fleet.iter().next().unwrap();
    assert_eq!(upstream.all_waiting_tokens(), u32::MAX);
    upstream.backlog(u32::MAX);
}

#[test]
fn any_registry_changes_are_applied_or_refused() {
    let valid = wire::encode_compact(&registry_changes());
    assert!(wire::decode::<RegistryChanges>(&valid).is_some());
    runner()
        .run(&valid_or_random_bytes(valid), |bytes| {
            let Some(changes) = wire::decode::<RegistryChanges>(&bytes) else {
                return Ok(());
            };
            prop_assert!(changes.present.len() + changes.gone.len() <= bytes.len());
            apply_changes(&gateway_with(&[Stage::Decode]), changes, Instant::now());
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_message_with_a_list_length_beyond_its_size_is_refused() {
    // A list length of 4 billion, as the last field after complete ones.
    let huge_list = [0xdd, 0xff, 0xff, 0xff, 0xff];
    let mut status = wire::encode_compact(&peer_status(1));
    let loads = status.len() - wire::encode_compact(&peer_status_lists()).len() + 1;
    status.truncate(loads);
    status.extend(huge_list);
    assert!(wire::decode::<PeerStatus>(&status).is_none());
    let mut changes = wire::encode_compact(&RegistryChanges {
        present: Vec::new(),
        gone: Vec::new(),
        ..registry_changes()
    });
    changes.truncate(changes.len() - 2);
    changes.extend(huge_list);
    assert!(wire::decode::<RegistryChanges>(&changes).is_none());
}

/// The lists at the end of a peer status.
type PeerStatusLists = (
    Vec<Load>,
    Vec<StageChange>,
    Vec<Placement>,
    Vec<CrashReport>,
    Vec<UpstreamStatement>,
);

/// Returns the lists at the end of a peer status, as one message.
fn peer_status_lists() -> PeerStatusLists {
    let PeerStatus {
        loads,
        changing,
        placements,
        crashes,
        statements,
        ..
    } = peer_status(1);
    (loads, changing, placements, crashes, statements)
}

#[test]
fn any_duration_snapshots_of_a_peer_are_merged_or_refused() {
    let mut durations = Durations::default();
    let now = Instant::now();
    let length = Length::Plain { route: 3 };
    for n in 0..20 {
        durations.record(length, Duration::from_millis(n), now);
    }
    let snapshot = durations.snapshot("s", now);
    let valid = wire::encode_compact(&snapshot.into_iter().collect::<Vec<_>>());
    runner()
        .run(&valid_or_random_bytes(valid), |bytes| {
            if let Some(all) = wire::decode::<Vec<DurationSnapshot>>(&bytes) {
                let mut merged = Durations::default();
                for snapshot in &all {
                    merged.merge(snapshot, now);
                }
                merged.upper_bound(length, now);
                merged.upper_bound(
                    Length::Tokens {
                        expected: 9,
                        max: 9,
                    },
                    now,
                );
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn any_lease_row_is_handled_without_a_panic() {
    let candidate = Candidate {
        host: "10.0.0.1",
        gap: Duration::from_secs(3),
        era_age: Duration::from_secs(60),
    };
    let lease = (any::<u64>(), any::<u64>(), any::<u64>());
    runner()
        .run(&lease, |(token, until_ms, now_ms)| {
            let read = |holder: &str| LeaseRead {
                lease: Some(Lease {
                    holder: holder.into(),
                    token,
                    until_ms,
                    era: token % 3,
                }),
                row: at(1),
                now_ms,
            };
            for holder in ["10.0.0.1", "10.0.0.2"] {
                decide(Duty::Orders, &read(holder), &candidate);
            }
            Ok(())
        })
        .unwrap();
    let maximum = LeaseRead {
        lease: Some(Lease {
            holder: "10.0.0.2".into(),
            token: u64::MAX,
            until_ms: u64::MAX,
            era: 1,
        }),
        row: at(1),
        now_ms: u64::MAX,
    };
    decide(Duty::Orders, &maximum, &candidate);
}
