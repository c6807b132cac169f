//! Follows the configuration and the registry in the store.
//!
//! The configuration is awaited by a read that the store answers when it
//! changes. The registry changes with each heartbeat of each upstream, so its
//! changes are fetched at intervals instead. While the store doesn't answer, the
//! process goes on with what it knows.

use crate::fleet::{Merged, UpstreamKey};
use crate::missing::Missing;
use crate::routes::RouteTable;
use crate::state::Gateway;
use net::Meter;
use observe::{Event, emit};
use platform::{Config, Feed, Instance, Registration, Store, StoreError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Processes that read the store often. The others hear from them and read it
/// themselves only when these fall silent: each call is paid for, and 31
/// processes that all read made it the dearest of all prices (0.042 of the worth).
const READERS: u32 = 2;
/// How long the store may hold a reader's read of the configuration. A read on a
/// connection that was cut is noticed after this time and [`ANSWER_TIMEOUT`],
/// within the time after a cut in which bounds don't count yet (3 s).
const CONFIG_WAIT: Duration = Duration::from_millis(2000);
/// The same for the others, whom the readers tell of a new version.
const LONG_CONFIG_WAIT: Duration = Duration::from_millis(10_000);
/// Longest wait for an answer of the store, besides the time that it may hold a
/// read. Answers take some 5 ms, and some 300 ms while it is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Age of the registry at which a reader reads it anew: with an answer's time,
/// well under the 2 s within which a leaving upstream must get no new request.
const REGISTRY_AGE: Duration = Duration::from_millis(600);
/// Age at which the others read it, and what each place adds, so that one of
/// them reads first and the rest hear of it.
const OLD_REGISTRY_AGE: Duration = Duration::from_millis(1000);
const REGISTRY_AGE_PER_PLACE: Duration = Duration::from_millis(100);
/// Places beyond this one add nothing more.
const MAX_PLACES: u32 = 5;
/// Pause after a read that failed, and the most that chance adds: processes that
/// lose the store together mustn't come back together.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(250));
/// A read that failed counts as a loss of the store after this long without one.
const LOST_AFTER: Duration = Duration::from_millis(1000);

/// Whether the store answers one kind of read.
pub(crate) struct Dependency {
    name: &'static str,
    last_good: Instant,
    last_bad: Instant,
    is_lost: bool,
}

impl Dependency {
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            last_good: Instant::now(),
            last_bad: Instant::now(),
            is_lost: false,
        }
    }

    /// Notes a good read; if the store was lost before it, gives the time of the
    /// last read that failed.
    pub(crate) fn good(&mut self) -> Option<Instant> {
        let lost = std::mem::take(&mut self.is_lost);
        if lost {
            emit(&Event::DependencyBack {
                dependency: self.name,
                lost_ms: self.last_good.elapsed().as_millis() as u64,
            });
        }
        self.last_good = Instant::now();
        lost.then_some(self.last_bad)
    }

    /// Notes a failed read, and says so when the store is lost by it.
    pub(crate) fn bad(&mut self, e: &StoreError) {
        self.last_bad = Instant::now();
        if !self.is_lost && self.last_good.elapsed() >= LOST_AFTER {
            self.is_lost = true;
            emit(&Event::DependencyLost {
                dependency: self.name,
                why: e.to_string(),
            });
        }
    }
}

/// Waits before the next try, with chance.
pub(crate) async fn pause() {
    let (least, spread) = RETRY_PAUSE;
    tokio::time::sleep(least + spread.mul_f64(fastrand::f64())).await;
}

/// The store's client for the settings in use, made anew when they change.
pub(crate) struct Client {
    gateway: Arc<Gateway>,
    addr: SocketAddr,
    store: Store,
}

impl Client {
    pub(crate) fn new(gateway: &Arc<Gateway>) -> Self {
        let addr = gateway.host().store;
        Self {
            store: Store::new(addr, &gateway.store_bytes),
            gateway: gateway.clone(),
            addr,
        }
    }

    pub(crate) fn store(&mut self) -> &Store {
        if self.gateway.host().store != self.addr {
            *self = Self::new(&self.gateway);
        }
        &self.store
    }
}

/// Follows the configuration until the process ends.
pub async fn follow_config(gateway: Arc<Gateway>) {
    let mut client = Client::new(&gateway);
    let mut dependency = Dependency::new("store/configuration");
    let mut from = Feed::Start;
    loop {
        let wait = config_wait(&gateway);
        let timeout = wait + ANSWER_TIMEOUT;
        match client.store().config(&from, wait, timeout).await {
            Ok(change) => {
                dependency.good();
                tell_malformed("configuration", change.malformed);
                if let Some(newest) = change.items.into_iter().max_by_key(|c| c.version) {
                    put_in_force(&gateway, newest, "store");
                }
                from = change.next;
            }
            Err(StoreError::HistoryGone) => from = Feed::Start,
            Err(e) => {
                dependency.bad(&e);
                pause().await;
            }
        }
    }
}

fn config_wait(gateway: &Gateway) -> Duration {
    if gateway.rank() < READERS {
        CONFIG_WAIT
    } else {
        LONG_CONFIG_WAIT
    }
}

/// Puts a configuration in force, if it is newer than the one that is.
pub fn put_in_force(gateway: &Gateway, config: Config, source: &str) {
    let over = gateway.config_version();
    let version = config.version;
    if version <= over {
        return;
    }
    let table = RouteTable::new(config, &mut gateway.fleet());
    let routes = table.len();
    gateway.set_routes(table);
    emit(&Event::ConfigInForce {
        version,
        over,
        routes,
        source,
    });
}

fn tell_malformed(what: &str, malformed: Vec<String>) {
    for why in malformed {
        emit(&Event::Undecodable { what, why });
    }
}

/// Follows the registry until the process ends.
pub async fn follow_registry(gateway: Arc<Gateway>) {
    let mut client = Client::new(&gateway);
    let mut dependency = Dependency::new("store/registry");
    let mut from = Feed::Start;
    // Pages of a table that is being read in full.
    let mut pages = Vec::new();
    loop {
        match client.store().upstreams(&from, ANSWER_TIMEOUT).await {
            Ok(change) => {
                if let Some(last_bad) = dependency.good() {
                    gateway.missing().open(last_bad);
                }
                tell_malformed("registry", change.malformed);
                pages.extend(change.items);
                let is_whole = !matches!(from, Feed::Since(_));
                from = change.next;
                if matches!(from, Feed::Rest { .. }) {
                    continue;
                }
                let changes = std::mem::take(&mut pages);
                let now = Instant::now();
                merge(&gateway, changes, is_whole, change.version, now);
            }
            Err(StoreError::HistoryGone) => {
                from = Feed::Start;
                pages.clear();
                continue;
            }
            Err(e) => {
                dependency.bad(&e);
                pause().await;
                // Only the page that failed is read again: a table of thousands of
                // rows would else never be whole while the store turns calls down.
                if !matches!(from, Feed::Since(_)) {
                    continue;
                }
            }
        }
        let version = gateway.registry().version;
        if version > 0 {
            from = Feed::Since(version);
            wait_until_old(&gateway).await;
        }
    }
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
        remove(gateway, id, version);
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

/// Takes a peer's view of the registry, if it is newer than ours. Peers tell of
/// theirs only while they hold nothing back, so what is missing there is gone.
pub fn merge_view(gateway: &Arc<Gateway>, instances: Vec<Instance>, version: u64) {
    let changes = instances.into_iter().map(Registration::Present).collect();
    merge_peers(gateway, changes, true, version);
}

/// Takes what a peer says has changed in the registry, if that is newer than ours.
pub fn merge_changes(gateway: &Arc<Gateway>, changes: Vec<Registration>, version: u64) {
    merge_peers(gateway, changes, false, version);
}

fn merge_peers(gateway: &Arc<Gateway>, changes: Vec<Registration>, is_whole: bool, version: u64) {
    if version <= gateway.registry().version {
        return;
    }
    let gone = take_present(gateway, changes, is_whole, version);
    for id in &gone {
        gateway.missing().found(id);
    }
    for id in &gone {
        remove(gateway, id, version);
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
            Registration::Present(instance) => {
                gateway.missing().found(&instance.id);
                gone.retain(|id| *id != instance.id);
                add(gateway, instance, version, &gateway.upstream_bytes);
            }
            Registration::Removed { id } => gone.push(id),
        }
    }
    gone
}

/// Upstreams that are known and don't stand in a whole read of the registry.
fn absent(gateway: &Gateway, read: &[Registration]) -> Vec<String> {
    let present = read.iter().filter_map(|r| match r {
        Registration::Present(instance) => Some(instance.id.as_str()),
        Registration::Removed { .. } => None,
    });
    let mut present: Vec<&str> = present.collect();
    present.sort_unstable();
    let is_read = |id: &str| present.binary_search(&id).is_ok();
    let fleet = gateway.fleet();
    let ids = fleet.iter().map(|(_, u)| u.instance.id.clone());
    ids.filter(|id| !is_read(id)).collect()
}

fn add(gateway: &Gateway, instance: Instance, registry: u64, meter: &Meter) {
    let mut fleet = gateway.fleet();
    let known = fleet.find(&instance.id).and_then(|key| fleet.get(key));
    if known.is_none_or(|u| u.instance != instance) {
        gateway.history().note(registry, &instance.id);
    }
    match fleet.merge(instance, meter) {
        Merged::Added(key) => {
            let Some(u) = fleet.get(key) else { return };
            emit(&Event::UpstreamAdded {
                upstream: &u.instance.id,
                service: &u.instance.service,
                addr: u.instance.addr.to_string(),
                zone: &u.instance.zone,
                stage: u.stage_name(),
                registry,
            });
        }
        Merged::Draining(key) => tell_leaving(&fleet, key, "draining", registry),
        Merged::Restaged(key) => {
            let Some(u) = fleet.get(key) else { return };
            emit(&Event::StageChanged {
                upstream: &u.instance.id,
                stage: u.stage_name(),
                registry,
            });
        }
        Merged::Same => {}
    }
}

fn tell_leaving(fleet: &crate::fleet::Fleet, key: UpstreamKey, why: &str, registry: u64) {
    let Some(u) = fleet.get(key) else { return };
    u.pool.close_idle();
    emit(&Event::UpstreamLeaving {
        upstream: &u.instance.id,
        why,
        running: u.running,
        registry,
    });
}

fn remove(gateway: &Gateway, id: &str, registry: u64) {
    let mut fleet = gateway.fleet();
    if let Some(key) = fleet.find(id) {
        tell_leaving(&fleet, key, "not registered", registry);
        fleet.remove(key);
        gateway.history().note(registry, id);
    }
}
