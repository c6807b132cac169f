//! Follows the registry of upstreams.
//!
//! Two processes fetch its changes at intervals. The others receive them from these, and fetch
//! changes themselves only if these stop sending.

use super::cursor::{RESTORE_READ_SPREAD, TableCursor};
use super::{ANSWER_TIMEOUT, Dependency, FREQUENT_READERS, StoreClient, log_malformed};
use crate::fleet::{Fleet, MergeOutcome, UpstreamKey};
use crate::missing::MissingUpstreams;
use crate::monotonic;
use crate::state::Gateway;
use net::Meter;
use observe::{Event, emit};
use platform::{
    Cursor, Instance, Position, Registration, RowError, Start, StoreError, UnreadableRow,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Age of the registry at which a reader reads it again. Including the time of an answer, it is
/// well below the 2 s within which a leaving upstream must stop getting new requests.
const MAX_REGISTRY_AGE: Duration = Duration::from_millis(600);
/// Age at which the other processes read the registry, and the age added per place, so that one
/// of them reads first and the others receive its result.
const FALLBACK_REGISTRY_AGE: Duration = Duration::from_millis(1000);
const FALLBACK_AGE_PER_PLACE: Duration = Duration::from_millis(100);
/// Highest place that adds to the age.
const MAX_PLACES: u32 = 5;
/// Processes of each zone that read a long registry from the store at startup.
const STARTUP_READERS: u32 = 2;
/// Time that the others wait for the registry from a peer at startup, and the time added per
/// place in the zone: 3,000 upstreams are 250 KB, which take 0.1 s over a link of 20 Mbit/s, and
/// four processes query the same peer, three levels deep.
const STARTUP_WAIT: Duration = Duration::from_millis(1500);
const STARTUP_WAIT_PER_PLACE: Duration = Duration::from_millis(50);
/// Interval between checks whether a peer has sent it.
const STARTUP_CHECK_EVERY: Duration = Duration::from_millis(20);

/// Longest time for which the entry of an upstream stays after its last heartbeat.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(5);

/// Logged reason for an upstream whose entry was removed from the registry.
const NOT_REGISTERED: &str = "not registered";

/// Follows the registry until the process ends.
pub async fn follow_registry(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    let mut dependency = Dependency::new("store/registry");
    let mut cursor = TableCursor::new("registry");
    // Pages of a whole-table read in progress, and the time at which its first page was
    // requested.
    let mut pages = Vec::new();
    let mut first_page: Option<(Instant, u64)> = None;
    // Whether this process has waited for peers to send a long registry at startup.
    let mut has_waited = false;
    gateway
        .startup_load
        .finished(gateway.is_first_start())
        .await;
    if gateway.registry().position.is_known() {
        cursor.advance(Cursor::Since(gateway.registry().position));
        wait_until_stale(&gateway).await;
    }
    loop {
        if !cursor.is_whole_read() && gateway.missing().needs_whole_read(monotonic::now()) {
            cursor.restart_after_restore(Duration::ZERO).await;
        }
        cursor.begin_read(&gateway).await;
        let asked_at = monotonic::now();
        let read = client.store().upstreams(cursor.from(), ANSWER_TIMEOUT);
        match cursor.run(&gateway, read).await {
            Ok(change) => {
                let (asked_at, store_ms) = *first_page.get_or_insert((asked_at, change.now_ms));
                if let Some(last_failure) = dependency.record_success() {
                    gateway.missing().begin_grace_period(last_failure);
                }
                log_malformed("registry", change.malformed);
                pages.extend(change.items);
                let is_whole = cursor.is_whole_read();
                cursor.advance(change.next);
                if cursor.has_more_pages() {
                    let is_initial = !gateway.registry().position.is_known() && !has_waited;
                    if is_initial && wait_for_peers(&gateway).await {
                        pages.clear();
                        first_page = None;
                        cursor.advance(Cursor::Since(gateway.registry().position));
                    }
                    has_waited = true;
                    continue;
                }
                let changes = std::mem::take(&mut pages);
                let now = monotonic::now();
                merge_from_store(&gateway, changes, is_whole, change.position, now);
                gateway.record_read(change.position, asked_at, store_ms);
                first_page = None;
                if gateway.rank() >= FREQUENT_READERS {
                    gateway.registry_fallback.record(is_whole);
                }
            }
            Err(StoreError::HistoryGone) => {
                cursor.restart_after_lost_history().await;
                pages.clear();
                first_page = None;
                continue;
            }
            Err(StoreError::EraChanged) => {
                let spread = match gateway.rank() < FREQUENT_READERS {
                    true => Duration::ZERO,
                    false => RESTORE_READ_SPREAD,
                };
                cursor.restart_after_restore(spread).await;
                pages.clear();
                first_page = None;
                continue;
            }
            Err(e) => {
                cursor.record_failure();
                dependency.record_failure(&e);
                dependency.pause(&gateway).await;
                // Only the failed page is read again. Otherwise a table of thousands of rows
                // would never be read completely while the store rejects calls.
                if cursor.is_whole_read() {
                    continue;
                }
            }
        }
        let position = gateway.registry().position;
        if position.is_known() {
            cursor.advance(Cursor::Since(position));
            wait_until_stale(&gateway).await;
        }
    }
}

/// Waits for peers to send a long registry, which others of the zone read first; returns whether
/// one has. When all of 300 hosts read 3,000 upstreams themselves, at 180 bytes each, they
/// transferred 160 MB from the store.
async fn wait_for_peers(gateway: &Gateway) -> bool {
    let started_at = monotonic::now();
    while !gateway.registry().position.is_known() {
        let longest = match gateway.startup_read_place() {
            Some(place) if place < STARTUP_READERS => return false,
            Some(place) => STARTUP_WAIT + STARTUP_WAIT_PER_PLACE * place,
            None => STARTUP_WAIT,
        };
        if monotonic::elapsed(started_at) >= longest {
            return false;
        }
        tokio::time::sleep(STARTUP_CHECK_EVERY).await;
    }
    true
}

/// Waits until this process should read the registry itself.
async fn wait_until_stale(gateway: &Gateway) {
    loop {
        let rank = gateway.rank();
        let (era, known_era) = (gateway.registry().position.era, gateway.store_era.current());
        if rank < FREQUENT_READERS && era < known_era {
            return;
        }
        let bound = match rank.checked_sub(FREQUENT_READERS) {
            None => MAX_REGISTRY_AGE,
            Some(place) => FALLBACK_REGISTRY_AGE + FALLBACK_AGE_PER_PLACE * place.min(MAX_PLACES),
        };
        let mut left = bound.saturating_sub(gateway.registry_age());
        if let Some(until) = gateway.missing().expires_at() {
            // Upstreams that haven't returned by then must be removed without delay.
            left = left.min(until.saturating_duration_since(monotonic::now()));
        }
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left) => {}
            () = gateway.store_era.later_than(known_era) => {}
            () = gateway.registry_wanted.notified() => return,
        }
    }
}

/// Applies registry changes from the store. In a whole read, upstreams that are absent are
/// removed. A read that is older than a peer's later update is skipped: it would bring back
/// upstreams whose removal isn't sent again.
pub fn merge_from_store(
    gateway: &Arc<Gateway>,
    mut changes: Vec<Registration>,
    is_whole: bool,
    position: Position,
    now: Instant,
) {
    let known = gateway.registry().position;
    let is_old = position < known;
    if is_old {
        emit(&Event::RegistryReadDiscarded {
            registry: position.version,
            known: known.version,
            is_whole,
        });
    }
    let is_restored = begin_era(gateway, position, now);
    let is_in_grace_period = gateway.missing().is_in_grace_period_after_restore(now);
    match is_whole && !is_old {
        true if is_in_grace_period => leave_out_former(gateway, &mut changes),
        true => gateway.missing().record_whole_read(),
        false => {}
    }
    let gone = match is_old {
        true => Vec::new(),
        false => apply_changes(gateway, changes, is_whole, position),
    };
    let mut missing = gateway.missing();
    let mut gone = match missing.is_in_grace_period(now) {
        true => hold_back(&mut missing, gone, position),
        false => gone,
    };
    gone.append(&mut missing.take_expired(now));
    let kept = missing.len();
    drop(missing);
    for id in &gone {
        remove(gateway, id, NOT_REGISTERED, position);
    }
    if !is_old {
        gateway.set_registry(position);
        gateway.fleet().assume_empty_caches();
    }
    if is_restored {
        log_restored(gateway, known, position, kept);
    }
}

/// Prepares for the first registry of a restored store; returns whether it is the first one. The
/// copy may lack upstreams that register again soon, so they aren't removed at once.
fn begin_era(gateway: &Gateway, position: Position, now: Instant) -> bool {
    let known = gateway.registry().position;
    let is_restored = known.is_known() && position.era > known.era;
    if is_restored {
        let known_at = gateway.store_era.state().known_at.unwrap_or(now);
        gateway.missing().begin_grace_period_after_restore(known_at);
    }
    is_restored
}

/// Leaves out rows of starts that were removed, and of starts other than the known one: the copy
/// from which the store was restored may be older than that change. Those that still exist when
/// others have written again what was lost are up to date.
fn leave_out_former(gateway: &Gateway, read: &mut Vec<Registration>) {
    let before = read.len();
    let fleet = gateway.fleet();
    let is_former = |instance: &Instance| match fleet.find(&instance.id) {
        Some(key) => fleet
            .get(key)
            .is_some_and(|u| u.instance.start != instance.start),
        None => fleet.was_removed(instance),
    };
    read.retain(|change| match change {
        Registration::Registered(instance) if is_former(instance) => {
            emit(&Event::UpstreamRowLate {
                upstream: &instance.id,
                start: instance.start.map(|Start(ms)| ms),
                row: instance.row.version,
            });
            false
        }
        Registration::Registered(_)
        | Registration::Removed { .. }
        | Registration::Unreadable(_) => true,
    });
    drop(fleet);
    if read.len() < before {
        gateway.missing().set_left_out();
    }
}

fn log_restored(gateway: &Gateway, before: Position, now: Position, missing: usize) {
    emit(&Event::RegistryRestored {
        era: now.era,
        registry: now.version,
        era_before: before.era,
        registry_before: before.version,
        upstreams: gateway.fleet().len(),
        missing,
    });
}

/// Keeps upstreams that may return. Returns an empty list, as none is to be removed yet.
fn hold_back(missing: &mut MissingUpstreams, gone: Vec<String>, registry: Position) -> Vec<String> {
    for id in gone {
        emit(&Event::UpstreamMissing {
            upstream: &id,
            registry: registry.version,
        });
        missing.add(id);
    }
    Vec::new()
}

/// Applies registry changes from a peer, if they are newer than this process's own state. In a
/// whole registry, upstreams that are absent are removed. Peers share their registry only while
/// no upstream is missing there, so absent ones are really gone, unless the store was restored:
/// then the peer may have started after it and never have known them.
///
/// `view` is the hash of the peer's registry. A peer's changes are those of its own registry, so they
/// lack an upstream that only this process has removed. If they don't lead to the peer's registry,
/// this process stays at its position, and the whole registry must be applied.
pub fn merge_from_peer(
    gateway: &Arc<Gateway>,
    mut changes: Vec<Registration>,
    is_whole: bool,
    position: Position,
    view: u64,
    now: Instant,
) {
    let known = gateway.registry().position;
    if position <= known {
        return;
    }
    let is_restored = begin_era(gateway, position, now);
    let is_in_grace_period = gateway.missing().is_in_grace_period_after_restore(now);
    if is_in_grace_period {
        leave_out_former(gateway, &mut changes);
    }
    let gone = apply_changes(gateway, changes, is_whole, position);
    let mut missing = gateway.missing();
    let gone = match missing.is_in_grace_period_after_restore(now) {
        true => hold_back(&mut missing, gone, position),
        false => gone,
    };
    for id in &gone {
        missing.remove(id);
    }
    let kept = missing.len();
    drop(missing);
    for id in &gone {
        remove(gateway, id, NOT_REGISTERED, position);
    }
    let is_complete = is_whole || gateway.fleet().view() == view;
    gateway.set_registry(if is_complete { position } else { known });
    gateway.fleet().assume_empty_caches();
    if is_restored {
        log_restored(gateway, known, position, kept);
    }
}

/// Applies upstreams that are present and returns the ids of those that are gone.
fn apply_changes(
    gateway: &Arc<Gateway>,
    changes: Vec<Registration>,
    is_whole: bool,
    position: Position,
) -> Vec<String> {
    let mut gone = if is_whole {
        absent_ids(gateway, &changes)
    } else {
        Vec::new()
    };
    for change in changes {
        match change {
            Registration::Registered(instance) => {
                gateway.missing().remove(&instance.id);
                gone.retain(|id| *id != instance.id);
                merge_instance(gateway, instance, position, &gateway.upstream_bytes);
            }
            Registration::Removed { id } => gone.push(id),
            Registration::Unreadable(row) => {
                // The entry exists, so this upstream can't return like one whose entry has
                // expired.
                gateway.missing().remove(&row.id);
                gone.retain(|id| *id != row.id);
                remove_unreadable(gateway, &row, position);
            }
        }
    }
    gone
}

/// Known upstreams that are absent from a whole read of the registry.
fn absent_ids(gateway: &Gateway, read: &[Registration]) -> Vec<String> {
    let present = read.iter().filter_map(|r| match r {
        Registration::Registered(instance) => Some(instance.id.as_str()),
        Registration::Removed { .. } | Registration::Unreadable(_) => None,
    });
    let mut present: Vec<&str> = present.collect();
    present.sort_unstable();
    let is_read = |id: &str| present.binary_search(&id).is_ok();
    let fleet = gateway.fleet();
    let ids = fleet.iter().map(|(_, u)| u.instance.id.clone());
    ids.filter(|id| !is_read(id)).collect()
}

fn merge_instance(gateway: &Gateway, instance: Instance, registry: Position, meter: &Meter) {
    let (id, row) = (instance.id.clone(), instance.row);
    let start = instance.start;
    let mut fleet = gateway.fleet();
    let merged = fleet.merge(instance, meter);
    match merged {
        MergeOutcome::Added(key) => log_added(&fleet, key, registry),
        MergeOutcome::Restarted {
            key,
            before,
            replaced,
        } => {
            log_restarted(&fleet, key, before, registry);
            if let Some(tag) = replaced {
                distrust_origins(gateway, tag);
            }
        }
        MergeOutcome::Draining(key) => start_leaving(&fleet, key, "draining", registry),
        MergeOutcome::StageChanged(key) => {
            let Some(u) = fleet.get(key) else { return };
            emit(&Event::StageChanged {
                upstream: &u.instance.id,
                stage: u.stage_name(),
                registry: registry.version,
            });
        }
        MergeOutcome::Changed => {}
        MergeOutcome::Unchanged => return,
        MergeOutcome::StaleStart => {
            emit(&Event::UpstreamRowLate {
                upstream: &id,
                start: start.map(|Start(ms)| ms),
                row: row.version,
            });
            return;
        }
        MergeOutcome::MissingStart => {
            drop(fleet);
            let why = RowError::Start;
            remove_unreadable(
                gateway,
                &UnreadableRow {
                    id,
                    position: row,
                    error: why,
                },
                registry,
            );
            return;
        }
    }
    gateway.history().record(registry, &id);
}

/// Makes the origins of streams uncertain that began at a replaced start after it was last known to
/// run, as the new start may have begun them.
fn distrust_origins(gateway: &Gateway, tag: u32) {
    gateway.origins.distrust(tag, last_known_running(gateway));
}

/// Time at which the upstream starts in the registry were last known to run.
pub(crate) fn last_known_running(gateway: &Gateway) -> Instant {
    let read_at = gateway.registry().read_at;
    read_at.checked_sub(MAX_HEARTBEAT_AGE).unwrap_or(read_at)
}

fn log_added(fleet: &Fleet, key: UpstreamKey, registry: Position) {
    let Some(u) = fleet.get(key) else { return };
    emit(&Event::UpstreamAdded {
        upstream: &u.instance.id,
        service: &u.instance.service,
        addr: u.instance.addr.to_string(),
        zone: &u.instance.zone,
        stage: u.stage_name(),
        start: u.instance.start.map(|Start(ms)| ms),
        version: u.instance.software_version.as_deref(),
        registry: registry.version,
    });
}

fn log_restarted(fleet: &Fleet, key: UpstreamKey, before: Option<Start>, registry: Position) {
    let Some(u) = fleet.get(key) else { return };
    emit(&Event::UpstreamRestarted {
        upstream: &u.instance.id,
        start: u.instance.start.map(|Start(ms)| ms),
        before: before.map(|Start(ms)| ms),
        addr: u.instance.addr.to_string(),
        stage: u.stage_name(),
        registry: registry.version,
    });
}

fn start_leaving(fleet: &Fleet, key: UpstreamKey, why: &str, registry: Position) {
    let Some(u) = fleet.get(key) else { return };
    u.pool.close_idle();
    emit(&Event::UpstreamLeaving {
        upstream: &u.instance.id,
        why,
        running: u.running,
        registry: registry.version,
    });
}

/// Removes the upstream of a row that can't be decoded, if that row is newer than the known one.
fn remove_unreadable(gateway: &Gateway, row: &UnreadableRow, registry: Position) {
    let metrics = &gateway.metrics;
    gateway.unreadable().report(row, metrics, monotonic::now());
    let is_newer = {
        let fleet = gateway.fleet();
        let known = fleet.find(&row.id).and_then(|key| fleet.get(key));
        known.is_some_and(|u| u.instance.row < row.position)
    };
    if is_newer {
        remove(gateway, &row.id, "unreadable entry", registry);
    }
}

fn remove(gateway: &Gateway, id: &str, why: &str, registry: Position) {
    let mut fleet = gateway.fleet();
    if let Some(key) = fleet.find(id) {
        start_leaving(&fleet, key, why, registry);
        fleet.remove(key);
        gateway.history().record(registry, id);
    }
}
