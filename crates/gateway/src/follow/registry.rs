//! Follows the registry of upstreams.
//!
//! Its changes are fetched at intervals by two processes. The others hear from them and
//! fetch it themselves when these fall silent.

use super::{ANSWER_TIMEOUT, Client, Dependency, READERS, tell_malformed};
use crate::fleet::{Fleet, Merged, UpstreamKey};
use crate::missing::Missing;
use crate::state::Gateway;
use net::Meter;
use observe::{Event, emit};
use platform::{Cursor, Instance, Registration, RowError, Start, StoreError, UnreadableRow};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Age of the registry at which a reader reads it anew: with an answer's time,
/// well under the 2 s within which a leaving upstream must get no new request.
const REGISTRY_AGE: Duration = Duration::from_millis(600);
/// Age at which the others read it, and what each place adds, so that one of
/// them reads first and the rest hear of it.
const OLD_REGISTRY_AGE: Duration = Duration::from_millis(1000);
const REGISTRY_AGE_PER_PLACE: Duration = Duration::from_millis(100);
/// Places beyond this one add nothing more.
const MAX_PLACES: u32 = 5;
/// Processes of each zone that read a long registry from the store when all start.
const FIRST_READERS: u32 = 2;
/// How long the others wait for a peer that tells them, and what each place in the zone
/// adds: 3,000 upstreams are 250 KB, 0.1 s over a link of 20 Mbit/s, and four processes
/// ask the same one, three levels deep.
const FIRST_WAIT: Duration = Duration::from_millis(1500);
const FIRST_WAIT_PER_PLACE: Duration = Duration::from_millis(50);
/// Pause between two looks whether one has.
const FIRST_LOOK_EVERY: Duration = Duration::from_millis(20);

/// Why an upstream is out whose entry was removed, in the log.
const GONE: &str = "not registered";

/// Follows the registry until the process ends.
pub async fn follow_registry(gateway: Arc<Gateway>) {
    let mut client = Client::new(&gateway);
    let mut dependency = Dependency::new("store/registry");
    let mut from = Cursor::Start;
    // Pages of a table that is being read in full, and when the first was asked for.
    let mut pages = Vec::new();
    let mut first_asked: Option<(Instant, u64)> = None;
    // Whether peers were given time to tell a long registry at the start.
    let mut has_waited = false;
    gateway
        .startup_load
        .finished(gateway.host().is_first_start)
        .await;
    if gateway.registry().version > 0 {
        from = Cursor::Since(gateway.registry().version);
        wait_until_old(&gateway).await;
    }
    loop {
        let asked_at = Instant::now();
        match client.store().upstreams(&from, ANSWER_TIMEOUT).await {
            Ok(change) => {
                let (asked_at, store_ms) = *first_asked.get_or_insert((asked_at, change.now_ms));
                if let Some(last_bad) = dependency.good() {
                    gateway.missing().open(last_bad);
                }
                tell_malformed("registry", change.malformed);
                pages.extend(change.items);
                let is_whole = !matches!(from, Cursor::Since(_));
                from = change.next;
                if matches!(from, Cursor::NextPage { .. }) {
                    let is_first = gateway.registry().version == 0 && !has_waited;
                    if is_first && wait_for_peers(&gateway).await {
                        pages.clear();
                        first_asked = None;
                        from = Cursor::Since(gateway.registry().version);
                    }
                    has_waited = true;
                    continue;
                }
                let changes = std::mem::take(&mut pages);
                let now = Instant::now();
                merge(&gateway, changes, is_whole, change.version, now);
                gateway.note_read(change.version, asked_at, store_ms);
                first_asked = None;
                if gateway.rank() >= READERS {
                    gateway.registry_fallback.notify_waiters();
                }
            }
            Err(StoreError::HistoryGone) => {
                from = Cursor::Start;
                pages.clear();
                first_asked = None;
                continue;
            }
            Err(e) => {
                dependency.bad(&e);
                dependency.pause(&gateway).await;
                // Only the page that failed is read again: a table of thousands of
                // rows would else never be whole while the store turns calls down.
                if !matches!(from, Cursor::Since(_)) {
                    continue;
                }
            }
        }
        let version = gateway.registry().version;
        if version > 0 {
            from = Cursor::Since(version);
            wait_until_old(&gateway).await;
        }
    }
}

/// Gives peers time to tell a long registry that others of the zone read first; says
/// whether one has. All 300 hosts that read 3,000 upstreams themselves, at 180 bytes
/// each, took 160 MB from the store.
async fn wait_for_peers(gateway: &Gateway) -> bool {
    let started_at = Instant::now();
    while gateway.registry().version == 0 {
        let longest = match gateway.place_to_read() {
            Some(place) if place < FIRST_READERS => return false,
            Some(place) => FIRST_WAIT + FIRST_WAIT_PER_PLACE * place,
            None => FIRST_WAIT,
        };
        if started_at.elapsed() >= longest {
            return false;
        }
        tokio::time::sleep(FIRST_LOOK_EVERY).await;
    }
    true
}

/// Waits until this process should read the registry itself.
async fn wait_until_old(gateway: &Gateway) {
    loop {
        let rank = gateway.rank();
        let bound = match rank.checked_sub(READERS) {
            None => REGISTRY_AGE,
            Some(place) => OLD_REGISTRY_AGE + REGISTRY_AGE_PER_PLACE * place.min(MAX_PLACES),
        };
        let mut left = bound.saturating_sub(gateway.registry_age());
        if let Some(until) = gateway.missing().until() {
            // What hasn't come back by then must be gone at once.
            left = left.min(until.saturating_duration_since(Instant::now()));
        }
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left).await;
    }
}

/// Takes changes of the registry from the store; a whole read also tells by
/// absence. A read that is older than what a peer has told since is left out: it
/// would call upstreams back whose removal is never told again.
pub fn merge(
    gateway: &Arc<Gateway>,
    changes: Vec<Registration>,
    is_whole: bool,
    version: u64,
    now: Instant,
) {
    let is_old = version < gateway.registry().version;
    let gone = match is_old {
        true => Vec::new(),
        false => take_present(gateway, changes, is_whole, version),
    };
    let mut missing = gateway.missing();
    let mut gone = match missing.is_open(now) {
        true => hold_back(&mut missing, gone, version),
        false => gone,
    };
    gone.append(&mut missing.take_overdue(now));
    drop(missing);
    for id in &gone {
        remove(gateway, id, GONE, version);
    }
    if !is_old {
        gateway.set_registry(version);
        gateway.fleet().see_starts();
    }
}

/// Keeps upstreams that may come back; gives none, as none is gone yet.
fn hold_back(missing: &mut Missing, gone: Vec<String>, registry: u64) -> Vec<String> {
    for id in gone {
        emit(&Event::UpstreamMissing {
            upstream: &id,
            registry,
        });
        missing.hold(id);
    }
    Vec::new()
}

/// Takes what a peer says of the registry, if it is newer than ours; a whole one also
/// tells by absence. Peers tell of theirs only while they hold nothing back, so what
/// is missing there is gone.
pub fn merge_peers(
    gateway: &Arc<Gateway>,
    changes: Vec<Registration>,
    is_whole: bool,
    version: u64,
) {
    if version <= gateway.registry().version {
        return;
    }
    let gone = take_present(gateway, changes, is_whole, version);
    for id in &gone {
        gateway.missing().found(id);
    }
    for id in &gone {
        remove(gateway, id, GONE, version);
    }
    gateway.set_registry(version);
    gateway.fleet().see_starts();
}

/// Takes the upstreams that are present; gives those that are gone.
fn take_present(
    gateway: &Arc<Gateway>,
    changes: Vec<Registration>,
    is_whole: bool,
    version: u64,
) -> Vec<String> {
    let mut gone = if is_whole {
        absent(gateway, &changes)
    } else {
        Vec::new()
    };
    for change in changes {
        match change {
            Registration::Registered(instance) => {
                gateway.missing().found(&instance.id);
                gone.retain(|id| *id != instance.id);
                add(gateway, instance, version, &gateway.upstream_bytes);
            }
            Registration::Removed { id } => gone.push(id),
            Registration::Unreadable(row) => {
                // Its entry is there, so it can't come back as one that lapsed may.
                gateway.missing().found(&row.id);
                gone.retain(|id| *id != row.id);
                take_out(gateway, &row, version);
            }
        }
    }
    gone
}

/// Upstreams that are known and don't stand in a whole read of the registry.
fn absent(gateway: &Gateway, read: &[Registration]) -> Vec<String> {
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

fn add(gateway: &Gateway, instance: Instance, registry: u64, meter: &Meter) {
    let (id, row) = (instance.id.clone(), instance.row);
    let start = instance.start;
    let mut fleet = gateway.fleet();
    let merged = fleet.merge(instance, meter);
    match merged {
        Merged::Added(key) => tell_added(&fleet, key, registry),
        Merged::Restarted { key, before } => tell_restarted(&fleet, key, before, registry),
        Merged::Draining(key) => tell_leaving(&fleet, key, "draining", registry),
        Merged::Restaged(key) => {
            let Some(u) = fleet.get(key) else { return };
            emit(&Event::StageChanged {
                upstream: &u.instance.id,
                stage: u.stage_name(),
                registry,
            });
        }
        Merged::Changed => {}
        Merged::Same => return,
        Merged::Replaced => {
            emit(&Event::UpstreamRowLate {
                upstream: &id,
                start: start.map(|Start(ms)| ms),
                row,
            });
            return;
        }
        Merged::Startless => {
            drop(fleet);
            let why = RowError::Start;
            take_out(
                gateway,
                &UnreadableRow {
                    id,
                    row_version: row,
                    error: why,
                },
                registry,
            );
            return;
        }
    }
    gateway.history().note(registry, &id);
}

fn tell_added(fleet: &Fleet, key: UpstreamKey, registry: u64) {
    let Some(u) = fleet.get(key) else { return };
    emit(&Event::UpstreamAdded {
        upstream: &u.instance.id,
        service: &u.instance.service,
        addr: u.instance.addr.to_string(),
        zone: &u.instance.zone,
        stage: u.stage_name(),
        start: u.instance.start.map(|Start(ms)| ms),
        registry,
    });
}

fn tell_restarted(fleet: &Fleet, key: UpstreamKey, before: Option<Start>, registry: u64) {
    let Some(u) = fleet.get(key) else { return };
    emit(&Event::UpstreamRestarted {
        upstream: &u.instance.id,
        start: u.instance.start.map(|Start(ms)| ms),
        before: before.map(|Start(ms)| ms),
        addr: u.instance.addr.to_string(),
        stage: u.stage_name(),
        registry,
    });
}

fn tell_leaving(fleet: &Fleet, key: UpstreamKey, why: &str, registry: u64) {
    let Some(u) = fleet.get(key) else { return };
    u.pool.close_idle();
    emit(&Event::UpstreamLeaving {
        upstream: &u.instance.id,
        why,
        running: u.running,
        registry,
    });
}

/// Takes out the upstream of a row that names none, unless a newer row does.
fn take_out(gateway: &Gateway, row: &UnreadableRow, registry: u64) {
    let metrics = &gateway.metrics;
    gateway.unreadable().tell(row, metrics, Instant::now());
    let is_newer = {
        let fleet = gateway.fleet();
        let known = fleet.find(&row.id).and_then(|key| fleet.get(key));
        known.is_some_and(|u| u.instance.row < row.row_version)
    };
    if is_newer {
        remove(gateway, &row.id, "unreadable entry", registry);
    }
}

fn remove(gateway: &Gateway, id: &str, why: &str, registry: u64) {
    let mut fleet = gateway.fleet();
    if let Some(key) = fleet.find(id) {
        tell_leaving(&fleet, key, why, registry);
        fleet.remove(key);
        gateway.history().note(registry, id);
    }
}
