//! Tests what processes learn from their peers: load, reads of the registry and changes of it.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{at, gateway_with, instance, peer_status, runner};
use gateway::fleet::Fleet;
use gateway::follow::{merge_from_peer, merge_from_store, retry_pause};
use gateway::peers::Peers;
use gateway::peers::catch_up::apply_changes;
use gateway::peers::exchange::UnreadableSenders;
use gateway::state::{Gateway, RegistryState};
use net::Meter;
use platform::{Instance, Registration, Stage};
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn peers_that_send_at_the_full_mesh_interval_count_as_live() {
    let mut fleet = Fleet::default();
    let mut peers = Peers::default();
    let start = Instant::now();
    let ip = |n: u16| IpAddr::V4(Ipv4Addr::new(10, 1, (n >> 8) as u8, n as u8));
    // The size of the largest full mesh. Each peer sends one status per round.
    const PEERS: u16 = 16;
    let round_time = gateway::peers::exchange::direct_send_interval(PEERS.into()) * 3;
    let pause = round_time / u32::from(PEERS);
    for round in 0..3u64 {
        for n in 0..PEERS {
            let nth = u32::try_from(round).unwrap() * u32::from(PEERS) + u32::from(n);
            let now = start + pause * nth;
            peers.receive(ip(n), peer_status(1, round, &[]), &mut fleet, now);
            peers.expire(&mut fleet, now);
            let expected = if round == 0 { n + 1 } else { PEERS };
            assert_eq!(peers.live(now).count(), usize::from(expected));
        }
    }
    let later = start + round_time * 3 + Duration::from_secs(10);
    peers.expire(&mut fleet, later);
    assert_eq!(peers.live(later).count(), 0);
}

/// Number, time and loads of the last status of a peer.
type KnownStatus = (u64, Instant, Vec<(u32, u32)>);

#[test]
fn the_load_of_peers_is_the_sum_of_their_last_statuses() {
    let status = (
        0u8..3,
        0u64..3,
        proptest::collection::vec((0usize..3, 0u32..1000), 0..3),
        0u64..900,
    );
    let statuses = proptest::collection::vec(status, 1..60);
    runner()
        .run(&statuses, |statuses| {
            let mut fleet = Fleet::default();
            let meter = Meter::default();
            for n in 0..3 {
                fleet.merge(instance(n, Stage::Decode), &meter);
            }
            let tags: Vec<u32> = fleet.iter().map(|(_, u)| u.tag()).collect();
            let mut peers = Peers::default();
            let mut now = Instant::now();
            let mut last: Vec<Option<KnownStatus>> = vec![None; 3];
            for (n, (peer, number, loads, pause)) in statuses.into_iter().enumerate() {
                now += Duration::from_millis(pause);
                let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, peer));
                let number = n as u64 + number;
                let loads: Vec<_> = loads.iter().map(|(at, t)| (tags[*at], *t)).collect();
                let is_new = peers.receive(ip, peer_status(1, number, &loads), &mut fleet, now);
                let known = &mut last[usize::from(peer)];
                if known.as_ref().is_none_or(|(k, ..)| *k < number) {
                    prop_assert!(is_new);
                    *known = Some((number, now, loads));
                }
                peers.expire(&mut fleet, now);
                for known in &mut last {
                    let is_silent = known.as_ref().is_some_and(|(_, at, _)| {
                        now.saturating_duration_since(*at) >= gateway::peers::PEER_TIMEOUT
                    });
                    if is_silent {
                        *known = None;
                    }
                }
                for (_, upstream) in fleet.iter() {
                    let known_loads = last.iter().flatten().flat_map(|(_, _, loads)| loads);
                    let sum: u32 = known_loads
                        .filter(|(tag, _)| *tag == upstream.tag())
                        .map(|(_, t)| t)
                        .sum();
                    prop_assert_eq!(upstream.peer_load.tokens, sum);
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_read_older_than_a_peers_view_restores_no_upstream() {
    let gateway = gateway_with(&[]);
    let (kept, removed) = (instance(1, Stage::Decode), instance(2, Stage::Decode));
    let both = || vec![kept.clone(), removed.clone()];
    let now = Instant::now();
    let read = both().into_iter().map(Registration::Registered).collect();
    merge_from_store(&gateway, read, true, at(5), now);
    assert_eq!(gateway.fleet().len(), 2);
    // A peer has read since the removal; then an older read arrives late.
    let view = vec![Registration::Registered(kept.clone())];
    merge_from_peer(&gateway, view, true, at(9), 0, Instant::now());
    let late = both().into_iter().map(Registration::Registered).collect();
    merge_from_store(&gateway, late, false, at(7), now);
    assert!(gateway.fleet().find("i-2").is_none());
    assert!(gateway.fleet().find("i-1").is_some());
}

#[test]
fn a_peers_later_read_counts_if_its_view_is_the_same() {
    let gateway = gateway_with(&[Stage::Decode]);
    gateway.set_registry(at(7));
    gateway.record_read(at(7), Instant::now(), 1000);
    let own = gateway.registry();
    let later = own.read_at + Duration::from_secs(1);
    let read = |version, view, store_ms| RegistryState {
        position: at(version),
        read_at: later,
        store_ms,
        view,
    };
    let confirmed_read_at = |read| {
        gateway.confirm_registry(read);
        gateway.registry().read_at
    };
    // Another view, an older version or an older read confirms nothing.
    assert_eq!(confirmed_read_at(read(8, own.view + 1, 2000)), own.read_at);
    assert_eq!(confirmed_read_at(read(6, own.view, 2000)), own.read_at);
    assert_eq!(confirmed_read_at(read(7, own.view, 999)), own.read_at);
    // While nothing changes, a new read returns the old version.
    assert_eq!(confirmed_read_at(read(7, own.view, 2000)), later);
}

/// Two processes that read the registry were frozen for 3 s. The others reported the last read to
/// each other, and its age lost the transit time of some ms each time, so it never grew. No
/// process read for 4.4 s, and an upstream that had left got requests for too long.
#[test]
fn a_read_reported_in_a_cycle_still_ages() {
    let both = [gateway_with(&[]), gateway_with(&[])];
    let started = Instant::now();
    for gateway in &both {
        gateway.set_registry(at(7));
        gateway.record_read(at(7), started, 1000);
    }
    let transit = Duration::from_millis(8);
    for n in 0..200u32 {
        // A datagram every 10 ms, with the age of the read when it was sent.
        let (from, to) = (&both[n as usize % 2], &both[(n as usize + 1) % 2]);
        let sent_at = started + Duration::from_millis(10) * n;
        let reported = from.registry();
        let age = sent_at.saturating_duration_since(reported.read_at);
        to.confirm_registry(RegistryState {
            read_at: sent_at + transit - age,
            ..reported
        });
    }
    assert!(both.iter().all(|g| g.registry().read_at == started));
}

/// After a pause, a process has old answers and datagrams in its queues.
#[test]
fn the_age_of_a_read_counts_from_its_request() {
    let gateway = gateway_with(&[]);
    let asked_at = Instant::now();
    gateway.set_registry(at(7));
    gateway.record_read(at(7), asked_at, 1000);
    assert_eq!(gateway.registry().read_at, asked_at);
    // An answer that arrives after a later one has no effect.
    gateway.record_read(at(7), asked_at + Duration::from_secs(3), 900);
    assert_eq!(gateway.registry().read_at, asked_at);
}

#[test]
fn a_process_that_keeps_a_missing_upstream_shares_no_read() {
    let gateway = gateway_with(&[]);
    let (kept, expired) = (instance(1, Stage::Decode), instance(2, Stage::Decode));
    let now = Instant::now();
    let read = |all: &[&Instance]| {
        let all = all.iter().map(|i| Registration::Registered((*i).clone()));
        all.collect::<Vec<_>>()
    };
    merge_from_store(&gateway, read(&[&kept, &expired]), true, at(5), now);
    assert_eq!(gateway.shareable_registry().unwrap().position, at(5));
    // The first read after an outage of the store lacks one upstream.
    gateway.missing().begin_grace_period(now);
    merge_from_store(&gateway, read(&[&kept]), true, at(9), now);
    assert!(gateway.fleet().find("i-2").is_some(), "it may come back");
    // The process knows more than version 9 contains, and peers must not adopt that.
    assert!(gateway.shareable_registry().is_none());
    let before = gateway.registry().position;
    gateway.confirm_registry(RegistryState {
        position: at(12),
        read_at: now + Duration::from_secs(1),
        store_ms: u64::MAX,
        view: gateway.registry().view,
    });
    assert_eq!(gateway.registry().position, before);
    // The upstream comes back in time.
    merge_from_store(&gateway, read(&[&expired]), false, at(13), now);
    assert_eq!(gateway.shareable_registry().unwrap().position, at(13));
    // The upstream is removed.
    merge_from_store(
        &gateway,
        vec![Registration::Removed { id: "i-2".into() }],
        false,
        at(14),
        now,
    );
    assert!(gateway.shareable_registry().is_none());
    merge_from_store(
        &gateway,
        Vec::new(),
        false,
        at(14),
        now + Duration::from_secs(3),
    );
    assert!(gateway.fleet().find("i-2").is_none());
    assert_eq!(gateway.shareable_registry().unwrap().position, at(14));
}

#[test]
fn a_peers_view_removes_missing_upstreams() {
    let gateway = gateway_with(&[]);
    let (kept, expired) = (instance(1, Stage::Decode), instance(2, Stage::Decode));
    let now = Instant::now();
    let both = [&kept, &expired].map(|i| Registration::Registered(i.clone()));
    merge_from_store(&gateway, both.to_vec(), true, at(5), now);
    gateway.missing().begin_grace_period(now);
    merge_from_store(
        &gateway,
        vec![Registration::Registered(kept.clone())],
        true,
        at(9),
        now,
    );
    let view = vec![Registration::Registered(kept)];
    merge_from_peer(&gateway, view, true, at(11), 0, Instant::now());
    assert!(gateway.fleet().find("i-2").is_none());
    assert_eq!(gateway.shareable_registry().unwrap().position, at(11));
}

#[test]
fn missing_upstreams_are_removed_two_seconds_after_the_last_failed_read() {
    let gateway = gateway_with(&[]);
    let last_bad = Instant::now();
    let first_good = last_bad + Duration::from_millis(700);
    let both = [1, 2].map(|n| Registration::Registered(instance(n, Stage::Decode)));
    merge_from_store(&gateway, both.to_vec(), true, at(5), last_bad);
    gateway.missing().begin_grace_period(last_bad);
    let one = vec![both[0].clone()];
    merge_from_store(&gateway, one, true, at(9), first_good);
    // A read is due at the end of the grace period, however recent the last one is.
    let until = gateway.missing().expires_at().expect("one is missing");
    assert_eq!(until, last_bad + Duration::from_secs(2));
    merge_from_store(&gateway, Vec::new(), false, at(9), until);
    assert!(gateway.fleet().find("i-2").is_none());
    assert!(gateway.missing().expires_at().is_none());
}

/// An engine with a number that may exceed those of [`instance`].
fn numbered_engine(n: u16) -> Instance {
    Instance {
        id: format!("i-{n}"),
        ..instance(0, Stage::Decode)
    }
}

/// Applies a peer's changes since the known version. Returns whether the registry then equals the
/// peer's, or is newer.
fn apply_changes_from(peer: &Gateway, own: &Arc<Gateway>) -> bool {
    let since = own.registry().position;
    let changes = peer.changes_since(since).expect("the peer knows them");
    apply_changes(own, changes, Instant::now())
}

#[test]
fn one_change_among_thousands_of_upstreams_is_sent_alone() {
    // The largest fleet has 3,000 upstreams, ten for each of 300 hosts. When every host fetched
    // them all at each change, the host that had read the change first had to send 270 KB 190
    // times, which takes half a minute on its link of 20 Mbit/s.
    const UPSTREAMS: u16 = 3000;
    let all: Vec<Instance> = (0..UPSTREAMS).map(numbered_engine).collect();
    let read = || all.iter().cloned().map(Registration::Registered).collect();
    let (peer, own) = (gateway_with(&[]), gateway_with(&[]));
    let now = Instant::now();
    merge_from_store(&peer, read(), true, at(5), now);
    merge_from_store(&own, read(), true, at(5), now);
    let gone = Registration::Removed {
        id: all[7].id.clone(),
    };
    let leaving = Instance {
        is_draining: true,
        ..all[9].clone()
    };
    let changes = vec![gone, Registration::Registered(leaving)];
    merge_from_store(&peer, changes, false, at(8), now);
    let sent = peer.changes_since(at(5)).expect("the peer knows them");
    assert_eq!((sent.present.len(), sent.gone.len()), (1, 1));
    // The size of two upstreams, regardless of how many didn't change.
    assert!(wire::encode_compact(&sent).len() < 256);
    assert!(apply_changes_from(&peer, &own));
    assert_eq!(own.registry().position, at(8));
    assert_eq!(own.fleet().view(), peer.fleet().view());
    // The changes that were applied are sent on to the next process.
    let next = gateway_with(&[]);
    merge_from_store(&next, read(), true, at(5), now);
    assert!(apply_changes_from(&own, &next));
    assert_eq!(next.fleet().view(), peer.fleet().view());
}

#[test]
fn changes_that_lead_to_another_registry_are_detected() {
    let (peer, own) = (gateway_with(&[]), gateway_with(&[]));
    let now = Instant::now();
    let one = |n| Registration::Registered(instance(n, Stage::Decode));
    merge_from_store(&peer, vec![one(1), one(2)], true, at(5), now);
    // This process lacks an upstream, as its row couldn't be decoded.
    merge_from_store(&own, vec![one(1)], true, at(5), now);
    merge_from_store(&peer, vec![one(3)], false, at(6), now);
    assert!(!apply_changes_from(&peer, &own));
}

#[test]
fn a_process_sends_its_whole_registry_if_it_lacks_the_changes() {
    let peer = gateway_with(&[]);
    let now = Instant::now();
    let one = |n| Registration::Registered(instance(n, Stage::Decode));
    merge_from_store(&peer, vec![one(1)], true, at(5), now);
    let is_whole = |since| peer.changes_since(at(since)).unwrap().is_whole;
    assert!(is_whole(0), "a process that has just started knows none");
    assert!(
        is_whole(4),
        "the change was made before this process started"
    );
    assert!(!is_whole(5));
    // Changes beyond the limit of the history aren't known either.
    for version in 6..6000 {
        let leaving = Instance {
            is_draining: version % 2 == 0,
            slots: version as u32,
            row: at(version),
            ..instance(2, Stage::Decode)
        };
        merge_from_store(
            &peer,
            vec![Registration::Registered(leaving)],
            false,
            at(version),
            now,
        );
    }
    assert!(is_whole(100));
    assert!(!is_whole(5990));
    // The whole registry replaces what the receiver knew.
    let own = gateway_with(&[]);
    merge_from_store(&own, vec![one(1), one(7)], true, at(4), now);
    assert!(apply_changes_from(&peer, &own));
    assert!(own.fleet().find("i-7").is_none());
    assert_eq!(own.fleet().view(), peer.fleet().view());
}

#[test]
fn a_process_that_keeps_a_missing_upstream_sends_no_changes() {
    let gateway = gateway_with(&[]);
    let now = Instant::now();
    let one = |n| Registration::Registered(instance(n, Stage::Decode));
    merge_from_store(&gateway, vec![one(1), one(2)], true, at(5), now);
    gateway.missing().begin_grace_period(now);
    merge_from_store(&gateway, vec![one(1)], true, at(9), now);
    assert!(gateway.changes_since(at(5)).is_none());
}

#[test]
fn an_outage_of_the_store_costs_few_calls() {
    // 103 processes each follow three tables during an outage of 8 s. Each call costs money, even
    // if it fails.
    let calls = |is_reader: bool| {
        let (mut left, mut calls) = (8.0, 0);
        while left > 0.0 {
            calls += 1;
            left -= retry_pause(calls, is_reader, 0.5).as_secs_f64();
        }
        calls
    };
    assert!(calls(false) <= 7, "{}", calls(false));
    // The readers, on which the others depend, notice the return within half a second.
    assert!(retry_pause(1000, true, 1.0) <= Duration::from_millis(500));
    // The others notice it within the time after an outage in which the bounds don't apply.
    assert!(retry_pause(1000, false, 1.0) <= Duration::from_secs(2));
}

#[test]
fn a_peer_of_another_version_is_logged_once() {
    let mut unreadable = UnreadableSenders::default();
    let ip = |n: u32| IpAddr::V4(Ipv4Addr::from(n));
    assert!(unreadable.record_failure(ip(1)));
    assert!(!unreadable.record_failure(ip(1)));
    assert!(unreadable.record_failure(ip(2)));
    // The peer restarts with this version, and later with the other one again.
    unreadable.record_success(ip(1));
    assert!(unreadable.record_failure(ip(1)));
    assert!(!unreadable.record_failure(ip(2)));
    // A sender with many addresses can't fill the memory or the log.
    let logged = (10..10_000)
        .filter(|n| unreadable.record_failure(ip(*n)))
        .count();
    assert!(logged < 1024);
}

/// Guards against ending an outage of the store by a list of processes that a peer sent. Reports
/// would then not wait for processes that started in the outage.
#[test]
fn a_list_of_processes_from_a_peer_ends_no_outage_of_the_store() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut peers = Peers::default();
    peers.set_membership_known(now);
    peers.record_store_call(false, at(2000));
    let own = IpAddr::V4(Ipv4Addr::LOCALHOST);
    peers.set_members(own, &[], &mut Fleet::default());
    assert!(!peers.store_outage().is_available());
    // Windows that ended before the outage needn't wait, others do for a while after it.
    peers.record_store_call(true, at(9000));
    assert!(peers.store_outage().covers(at(2000), at(9000)));
    assert!(!peers.store_outage().covers(at(2001), at(9000)));
    assert!(peers.store_outage().covers(at(2001), at(10_300)));
}
