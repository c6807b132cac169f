//! Tests which state is kept when an upstream restarts under its id, and which of two rows of an id
//! counts.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{at, gateway_with, instance};
use gateway::choose::{Choice, Requirements, choose};
use gateway::fleet::{Fleet, MergeOutcome};
use gateway::follow::unreadable::{LogAction, UnreadableLog};
use gateway::follow::{merge_from_peer, merge_from_store};
use gateway::peers::catch_up::{RegistryChanges, apply_changes};
use gateway::peers::{Load, PeerStatus, Peers, Scope};
use gateway::state::Gateway;
use net::Meter;
use platform::{
    Instance, Position, PromptPart, Registration, RowError, Stage, Start, UnreadableRow,
};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A row of the upstream `i-1`.
fn row(start: Option<u64>, row: u64) -> Instance {
    Instance {
        start: start.map(Start),
        row: at(row),
        ..instance(1, Stage::Decode)
    }
}

fn draining(start: Option<u64>, version: u64) -> Instance {
    Instance {
        is_draining: true,
        ..row(start, version)
    }
}

fn unreadable(id: &str, row: u64) -> Registration {
    let why = RowError::Field("missing field `State`".into());
    let id = id.to_owned();
    Registration::Unreadable(UnreadableRow {
        id,
        position: at(row),
        error: why,
    })
}

/// A fleet after merging rows in order, with the outcome of the last one.
fn fleet_from_rows(rows: impl IntoIterator<Item = Instance>) -> (Fleet, MergeOutcome) {
    let mut fleet = Fleet::default();
    let mut last = MergeOutcome::Unchanged;
    for row in rows {
        last = fleet.merge(row, &Meter::default());
    }
    (fleet, last)
}

/// The start of `i-1` in a fleet, and whether it is draining.
fn start_and_draining(fleet: &Fleet) -> Option<(Option<u64>, bool)> {
    let upstream = fleet.get(fleet.find("i-1")?)?;
    let start = upstream.instance.start.map(|Start(ms)| ms);
    Some((start, upstream.instance.is_draining))
}

#[test]
fn the_version_of_a_row_decides_and_not_the_time_of_its_start() {
    // The clock of either start may be ahead.
    for (first, second) in [(100, 200), (200, 100)] {
        let (fleet, merged) = fleet_from_rows([row(Some(first), 1), row(Some(second), 2)]);
        let before = Some(Start(first));
        assert!(matches!(merged, MergeOutcome::Restarted { before: b, .. } if b == before));
        assert_eq!(start_and_draining(&fleet), Some((Some(second), false)));
        // The same rows in reverse order.
        let (fleet, merged) = fleet_from_rows([row(Some(second), 2), row(Some(first), 1)]);
        assert_eq!(merged, MergeOutcome::Unchanged);
        assert_eq!(start_and_draining(&fleet), Some((Some(second), false)));
    }
}

#[test]
fn a_replaced_start_is_never_restored() {
    let (mut fleet, _) = fleet_from_rows([row(Some(1), 1), row(Some(2), 2)]);
    // A heartbeat of the earlier start that reached the store late.
    assert_eq!(
        fleet.merge(row(Some(1), 3), &Meter::default()),
        MergeOutcome::StaleStart
    );
    assert_eq!(start_and_draining(&fleet), Some((Some(2), false)));
    // This also holds once the later start was removed.
    let key = fleet.find("i-1").unwrap();
    fleet.remove(key);
    assert_eq!(
        fleet.merge(row(Some(1), 4), &Meter::default()),
        MergeOutcome::StaleStart
    );
    assert_eq!(start_and_draining(&fleet), None);
    // The later start itself is added again, for example after its entry expired.
    let merged = fleet.merge(row(Some(2), 5), &Meter::default());
    assert!(matches!(merged, MergeOutcome::Added(_)));
}

#[test]
fn replaced_starts_are_remembered_for_a_limited_number_of_ids() {
    let mut fleet = Fleet::default();
    let meter = Meter::default();
    for n in 0..6000u64 {
        let id = format!("i-{n}");
        for start in [1, 2] {
            let row = Instance {
                id: id.clone(),
                ..row(Some(start), start)
            };
            fleet.merge(row, &meter);
        }
        let key = fleet.find(&id).unwrap();
        fleet.remove(key);
    }
    let late = |n: u64| Instance {
        id: format!("i-{n}"),
        ..row(Some(1), 9)
    };
    // The first ids are evicted, the last ones are not.
    assert!(matches!(
        fleet.merge(late(0), &meter),
        MergeOutcome::Added(_)
    ));
    assert_eq!(fleet.merge(late(5999), &meter), MergeOutcome::StaleStart);
}

#[test]
fn draining_is_never_revoked_within_a_start() {
    for start in [None, Some(7)] {
        let (fleet, _) = fleet_from_rows([draining(start, 1), row(start, 2)]);
        assert_eq!(start_and_draining(&fleet), Some((start, true)));
        let (fleet, merged) = fleet_from_rows([row(start, 2), draining(start, 1)]);
        assert!(matches!(merged, MergeOutcome::Draining(_)));
        assert_eq!(start_and_draining(&fleet), Some((start, true)));
    }
    let (fleet, _) = fleet_from_rows([draining(Some(7), 1), row(Some(8), 2)]);
    assert_eq!(start_and_draining(&fleet), Some((Some(8), false)));
    // An older row of an earlier start has no effect on this one.
    let (fleet, merged) = fleet_from_rows([row(Some(8), 2), draining(Some(7), 1)]);
    assert_eq!(merged, MergeOutcome::Unchanged);
    assert_eq!(start_and_draining(&fleet), Some((Some(8), false)));
}

#[test]
fn a_row_without_a_start_counts_only_until_the_start_is_known() {
    let (mut fleet, merged) = fleet_from_rows([row(None, 1), row(Some(1), 2)]);
    assert!(matches!(
        merged,
        MergeOutcome::Restarted { before: None, .. }
    ));
    assert_eq!(
        fleet.merge(row(None, 2), &Meter::default()),
        MergeOutcome::Unchanged
    );
    assert_eq!(
        fleet.merge(row(None, 3), &Meter::default()),
        MergeOutcome::MissingStart
    );
}

fn uncached_tokens(gateway: &Gateway, parts: &[PromptPart]) -> Option<u32> {
    let service = gateway.fleet().intern_service("s");
    let requirements = Requirements {
        rank: 0,
        service,
        parts,
        prompt_tokens: parts.iter().map(|p| p.tokens).sum(),
        max_output_tokens: 10,
        latency_target: Duration::from_secs(10),
        is_resumed: false,
        is_isolated: false,
        version: None,
        tried: &[],
        has_permit: false,
    };
    match choose(gateway, &requirements) {
        Choice::Send(plan) => Some(plan.inputs.uncached),
        Choice::Full | Choice::Busy(..) | Choice::Later(..) | Choice::NoUpstream => None,
    }
}

/// A gateway that knows the first start of `i-1`, with all the state that a start accumulates.
fn gateway_with_used_upstream() -> Arc<Gateway> {
    let gateway = gateway_with(&[]);
    gateway.fleet().assume_empty_caches();
    let now = Instant::now();
    merge_from_store(
        &gateway,
        vec![Registration::Registered(row(Some(1), 1))],
        true,
        at(1),
        now,
    );
    let mut fleet = gateway.fleet();
    let key = fleet.find("i-1").unwrap();
    fleet.record_parts(key, &prompt(), now);
    let upstream = fleet.get_mut(key).unwrap();
    for _ in 0..20 {
        upstream.health.record_failure(1.0, now);
    }
    upstream.set_changing(now + Duration::from_secs(600), Stage::Prefill);
    upstream.running = 3;
    upstream.waiting = 2;
    upstream.tokens = 5000;
    drop(fleet);
    gateway
}

fn prompt() -> [PromptPart; 2] {
    [(7, 900), (1 << 40, 100)].map(|(id, tokens)| PromptPart { id, tokens })
}

#[test]
fn a_restart_drops_the_state_of_the_earlier_start() {
    let gateway = gateway_with_used_upstream();
    let before = gateway.fleet().find("i-1").unwrap();
    assert_eq!(
        uncached_tokens(&gateway, &prompt()),
        None,
        "it is suspended"
    );
    let restarted = vec![Registration::Registered(row(Some(2), 2))];
    merge_from_store(&gateway, restarted, false, at(2), Instant::now());
    // The new start is used at once, with an empty cache and no load.
    assert_eq!(uncached_tokens(&gateway, &prompt()), Some(1000));
    let fleet = gateway.fleet();
    assert!(
        fleet.get(before).is_none(),
        "the key belongs to the earlier start"
    );
    let upstream = fleet.get(fleet.find("i-1").unwrap()).unwrap();
    assert_eq!(
        (upstream.all_running(), upstream.all_waiting_tokens()),
        (0, 0)
    );
    assert!(upstream.load().is_none());
    assert!(!upstream.is_suspended(Instant::now()) && !upstream.is_changing(Instant::now()));
}

#[test]
fn load_that_a_peer_reports_for_the_earlier_start_is_ignored() {
    let (mut fleet, _) = fleet_from_rows([row(Some(1), 1)]);
    let tag = |fleet: &Fleet| fleet.get(fleet.find("i-1").unwrap()).unwrap().tag();
    let home_hash = |fleet: &Fleet| fleet.get(fleet.find("i-1").unwrap()).unwrap().hash;
    let (earlier, home, view) = (tag(&fleet), home_hash(&fleet), fleet.view());
    let status = |number, upstream| PeerStatus {
        start: 1,
        number,
        scope: Scope::Direct,
        zone: 0,
        processes: 1,
        config: 0,
        era: 1,
        members: Position::NONE,
        registry: Position::NONE,
        registry_ms: 0,
        registry_at_ms: 0,
        view: 0,
        loads: vec![Load {
            upstream,
            waiting: 1,
            tokens: 800,
            running: 1,
            streams: 0,
        }],
        changing: Vec::new(),
        placements: Vec::new(),
        crashes: Vec::new(),
        statements: Vec::new(),
    };
    let (mut peers, now) = (Peers::default(), Instant::now());
    let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
    peers.receive(ip, status(1, earlier), &mut fleet, now);
    let tokens = |fleet: &Fleet| {
        fleet
            .get(fleet.find("i-1").unwrap())
            .unwrap()
            .peer_load
            .tokens
    };
    assert_eq!(tokens(&fleet), 800);
    fleet.merge(row(Some(2), 2), &Meter::default());
    assert_eq!(tokens(&fleet), 0);
    peers.receive(ip, status(2, earlier), &mut fleet, now);
    assert_eq!(tokens(&fleet), 0);
    let later = tag(&fleet);
    peers.receive(ip, status(3, later), &mut fleet, now);
    assert_eq!(tokens(&fleet), 800);
    // The hash for choosing home engines stays; the view that processes compare changes.
    assert_eq!(home_hash(&fleet), home);
    assert_ne!(fleet.view(), view);
}

#[test]
fn a_peer_that_knows_the_earlier_start_does_not_restore_it() {
    let gateway = gateway_with(&[]);
    let now = Instant::now();
    let rows = [row(Some(1), 1), row(Some(2), 5)].map(Registration::Registered);
    for (version, row) in [1, 5].into_iter().zip(rows) {
        merge_from_store(&gateway, vec![row], false, at(version), now);
    }
    let earlier = vec![Registration::Registered(draining(Some(1), 4))];
    let view = gateway.fleet().view();
    merge_from_peer(&gateway, earlier, false, at(9), view, Instant::now());
    assert_eq!(start_and_draining(&gateway.fleet()), Some((Some(2), false)));
}

#[test]
fn a_restart_is_sent_to_peers_as_a_change() {
    let (a, b) = (gateway_with(&[]), gateway_with(&[]));
    let first = || vec![Registration::Registered(row(Some(1), 3))];
    for gateway in [&a, &b] {
        merge_from_store(gateway, first(), true, at(3), Instant::now());
    }
    let restarted = vec![Registration::Registered(row(Some(2), 4))];
    merge_from_store(&a, restarted, false, at(4), Instant::now());
    let changes: RegistryChanges = a.changes_since(at(3)).unwrap();
    assert_eq!((changes.is_whole, changes.present.len()), (false, 1));
    assert!(
        apply_changes(&b, changes, Instant::now()),
        "both registries are equal"
    );
    assert_eq!(start_and_draining(&b.fleet()), Some((Some(2), false)));
    // Heartbeats change only the row version, and aren't sent.
    let heartbeat = vec![Registration::Registered(row(Some(2), 6))];
    merge_from_store(&a, heartbeat, false, at(6), Instant::now());
    assert!(a.changes_since(at(4)).unwrap().present.is_empty());
    assert_eq!(a.fleet().view(), b.fleet().view());
}

#[test]
fn an_unreadable_entry_removes_its_upstream_at_once_also_from_peers() {
    let (a, b) = (gateway_with(&[]), gateway_with(&[]));
    let now = Instant::now();
    let other = Instance {
        row: at(1),
        ..instance(2, Stage::Decode)
    };
    let both = || vec![row(Some(1), 1), other.clone()];
    for gateway in [&a, &b] {
        let read = both().into_iter().map(Registration::Registered).collect();
        merge_from_store(gateway, read, true, at(1), now);
        // In the grace period missing entries are kept, but unreadable ones don't count as missing.
        gateway.missing().begin_grace_period(now);
    }
    let read = vec![
        unreadable("i-1", 2),
        Registration::Registered(other.clone()),
    ];
    merge_from_store(&a, read, true, at(2), now);
    assert_eq!(start_and_draining(&a.fleet()), None);
    assert!(a.fleet().find("i-2").is_some());
    assert!(a.missing().is_empty());
    assert!(apply_changes(
        &b,
        a.changes_since(at(1)).unwrap(),
        Instant::now()
    ));
    assert_eq!(start_and_draining(&b.fleet()), None);
    assert!(b.fleet().find("i-2").is_some());
    // An unreadable row with an older version removes nothing.
    let back = vec![Registration::Registered(row(Some(1), 3))];
    merge_from_store(&a, back, false, at(3), now);
    merge_from_store(&a, vec![unreadable("i-1", 2)], false, at(4), now);
    assert_eq!(start_and_draining(&a.fleet()), Some((Some(1), false)));
}

#[test]
fn a_missing_upstream_is_removed_once_its_entry_is_unreadable() {
    let gateway = gateway_with(&[]);
    let now = Instant::now();
    merge_from_store(
        &gateway,
        vec![Registration::Registered(row(Some(1), 1))],
        true,
        at(1),
        now,
    );
    gateway.missing().begin_grace_period(now);
    merge_from_store(&gateway, Vec::new(), true, at(2), now);
    assert!(
        start_and_draining(&gateway.fleet()).is_some(),
        "it may come back"
    );
    merge_from_store(&gateway, vec![unreadable("i-1", 3)], false, at(3), now);
    assert_eq!(start_and_draining(&gateway.fleet()), None);
    assert!(gateway.missing().is_empty());
}

#[test]
fn a_row_without_a_start_after_one_with_a_start_removes_the_upstream() {
    let gateway = gateway_with(&[]);
    let now = Instant::now();
    for (version, start) in [(1, Some(1)), (2, None), (3, None)] {
        let read = vec![Registration::Registered(row(start, version))];
        merge_from_store(&gateway, read, false, at(version), now);
        assert_eq!(
            start_and_draining(&gateway.fleet()).is_some(),
            start.is_some()
        );
    }
    let read = vec![Registration::Registered(row(Some(1), 4))];
    merge_from_store(&gateway, read, false, at(4), now);
    assert!(start_and_draining(&gateway.fleet()).is_some());
}

#[test]
fn each_version_of_an_unreadable_entry_is_counted_once() {
    let gateway = gateway_with(&[]);
    let counted = || {
        let text = String::from_utf8(gateway.metrics.encode()).unwrap();
        let line = text
            .lines()
            .find(|l| l.starts_with("arbutusquay_unreadable_entries_total"));
        line.and_then(|l| l.split(' ').next_back())
            .map_or(0, |n| n.parse().unwrap())
    };
    for (version, expected) in [(1, 1), (1, 1), (2, 2), (2, 2)] {
        let read = vec![unreadable("bad", version)];
        merge_from_store(&gateway, read, true, at(version), Instant::now());
        assert_eq!(counted(), expected);
    }
    // A flood of keys and versions is counted, although only a limited number is remembered.
    let flood = (0..20_000).map(|n| unreadable(&format!("bad-{n}"), 3));
    merge_from_store(&gateway, flood.collect(), false, at(3), Instant::now());
    assert_eq!(counted(), 20_002);
    // The rows with old versions are forgotten by then, so this one is counted again.
    merge_from_store(
        &gateway,
        vec![unreadable("bad", 2)],
        false,
        at(4),
        Instant::now(),
    );
    assert_eq!(counted(), 20_003);
}

#[test]
fn a_flood_of_unreadable_entries_is_logged_up_to_a_limit() {
    let mut log = UnreadableLog::default();
    let now = Instant::now();
    let mut logged = |versions: std::ops::Range<u64>, now| {
        let rows = versions.map(|version| UnreadableRow {
            id: "bad".into(),
            position: at(version),
            error: RowError::Start,
        });
        let actions = rows.map(|row| log.classify(&row, now));
        actions.filter(|a| *a == LogAction::CountAndLog).count()
    };
    assert_eq!(logged(1..5000, now), 20);
    assert_eq!(logged(1..5000, now + Duration::from_secs(2)), 0);
    assert_eq!(logged(5000..5003, now + Duration::from_secs(2)), 3);
}

/// Upstreams whose ids and starts differed in the same bit once had the same tag, and peers took
/// the load of one for that of the other.
#[test]
fn similar_ids_and_starts_have_distinct_tags() {
    let fleet = gateway_with(&[]);
    let mut fleet = fleet.fleet();
    let mut tags = Vec::new();
    for n in 0..64 {
        for ms in 0..64 {
            let row = Instance {
                id: format!("i-{n}"),
                start: Some(Start(1_700_000_000_000 + ms)),
                row: at(ms + 1),
                ..instance(1, Stage::Decode)
            };
            fleet.merge(row, &Meter::default());
            let key = fleet.find(&format!("i-{n}")).unwrap();
            tags.push(fleet.get(key).unwrap().tag());
        }
    }
    let all = tags.len();
    tags.sort_unstable();
    tags.dedup();
    assert_eq!(tags.len(), all);
}
