//! What a gateway is and knows.

mod guards;

pub use guards::{LoadGuard, RunningGuard};

use crate::crashes::Shared;
use crate::duty::usage::Usage;
use crate::fleet::{Fleet, ServiceKey, UpstreamKey};
use crate::follow;
use crate::history::History;
use crate::missing::Missing;
use crate::peers::catch_up::RegistryChanges;
use crate::peers::first_look::StartupLoad;
use crate::peers::{Location, Peers, zone_hash};
use crate::quota::Quotas;
use crate::routes::RouteTable;
use crate::stop::{Ending, StallDetector};
use net::{HeadLimits, Meter, Stop};
use observe::Metrics;
use platform::{CallCounts, HostSettings};
use resilience::RetryBudget;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Tenants with histograms of their own: each takes some 2 KB of memory and of a scrape.
const TENANT_METRICS: u32 = 100;

/// Limits on clients' heads until a configuration is read: the users' own.
const FIRST_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const FIRST_MAX_HEAD: usize = 16 << 10;

/// A gateway.
#[derive(Debug)]
pub struct Gateway {
    host: Mutex<Arc<HostSettings>>,
    routes: Mutex<Option<Arc<RouteTable>>>,
    /// Since when these routes are in force.
    config_since: Mutex<Option<Instant>>,
    fleet: Mutex<Fleet>,
    budgets: Mutex<Vec<(ServiceKey, RetryBudget)>>,
    registry: Mutex<Registry>,
    history: Mutex<History>,
    missing: Mutex<Missing>,
    unreadable: Mutex<follow::unreadable::Told>,
    peers: Mutex<Peers>,
    live_peers: AtomicU32,
    members_version: AtomicU64,
    /// Loading of the initial state from peers.
    pub startup_load: StartupLoad,
    /// Notified when this process has read the registry from the store because no peer
    /// supplied it.
    pub registry_fallback: Notify,
    running: AtomicU64,
    /// Work under which upstreams end.
    pub crashes: Shared,
    /// Requests of tenants that began to run.
    pub usage: Usage,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// Given when a peer knows something newer than this process.
    pub behind: Notify,
    /// Limits on clients' heads, by the configuration in force.
    pub heads: HeadLimits,
    /// Metrics.
    pub metrics: Metrics,
    /// Bytes between this process and upstreams.
    pub upstream_bytes: Meter,
    /// Bytes between this process and its peers.
    pub peer_bytes: Meter,
    /// Bytes between this process and the store.
    pub store_bytes: Meter,
    /// Counts of the calls to the store.
    pub store_calls: CallCounts,
    /// Given when the process should end.
    pub stop: Stop,
    stalls: Mutex<StallDetector>,
    ending: OnceLock<Ending>,
}

/// How fresh this process's view of the upstreams is.
#[derive(Debug, Clone, Copy)]
pub struct Registry {
    /// The store's version of the last read; 0 before the first.
    pub version: u64,
    /// When that was, by this process or by a peer that knows the same.
    pub read_at: Instant,
    /// The same by the store's clock, in milliseconds: which of two reads is later.
    pub store_ms: u64,
    /// Hash of what it told; see [`Fleet::view`].
    pub view: u64,
}

impl Gateway {
    /// A gateway that has yet to read its configuration.
    pub fn new(host: HostSettings, stop: Stop) -> Arc<Self> {
        Arc::new(Self {
            quotas: Quotas::new(host.ip),
            host: Mutex::new(Arc::new(host)),
            routes: Mutex::default(),
            config_since: Mutex::default(),
            fleet: Mutex::default(),
            budgets: Mutex::default(),
            registry: Mutex::new(Registry {
                version: 0,
                read_at: Instant::now(),
                store_ms: 0,
                view: 0,
            }),
            history: Mutex::default(),
            missing: Mutex::default(),
            unreadable: Mutex::default(),
            peers: Mutex::default(),
            live_peers: AtomicU32::new(0),
            members_version: AtomicU64::new(0),
            startup_load: StartupLoad::default(),
            registry_fallback: Notify::new(),
            running: AtomicU64::new(0),
            crashes: Shared::default(),
            usage: Usage::default(),
            behind: Notify::new(),
            heads: HeadLimits::new(FIRST_IDLE_TIMEOUT, FIRST_MAX_HEAD),
            metrics: Metrics::new(TENANT_METRICS),
            upstream_bytes: Meter::default(),
            peer_bytes: Meter::default(),
            store_bytes: Meter::default(),
            store_calls: CallCounts::default(),
            stop,
            stalls: Mutex::new(StallDetector::new(Instant::now())),
            ending: OnceLock::new(),
        })
    }

    /// The settings in use.
    pub fn host(&self) -> Arc<HostSettings> {
        lock(&self.host).clone()
    }

    /// Takes new settings.
    pub fn set_host(&self, host: HostSettings) {
        *lock(&self.host) = Arc::new(host);
    }

    /// The configuration in force, if there is one.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        lock(&self.routes).clone()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        lock(&self.routes).as_ref().map_or(0, |t| t.version)
    }

    /// How long the configuration has been in force.
    pub fn config_age(&self) -> Duration {
        let since = *lock(&self.config_since);
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Whether a peer has a newer configuration in force.
    pub fn is_config_behind(&self) -> bool {
        let known = self.config_version();
        let peers = self.peers();
        let newest = peers
            .live(Instant::now())
            .map(|(_, beat)| beat.config)
            .max();
        newest.is_some_and(|newest| newest > known)
    }

    /// Puts a configuration in force.
    pub fn set_routes(&self, table: RouteTable) {
        // One timer covers a connection's idle time and a head's own, so the longer
        // bound holds: a connection mustn't be closed that a client counts on.
        self.heads
            .set(table.limits.idle_timeout, table.limits.head_bytes);
        *lock(&self.routes) = Some(Arc::new(table));
        *lock(&self.config_since) = Some(Instant::now());
    }

    /// The upstreams. Never held across an await.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// How fresh the view of the upstreams is.
    pub fn registry(&self) -> Registry {
        *lock(&self.registry)
    }

    /// Notes a version of the registry that was read. It never goes back, since a peer's
    /// later read may have been taken while ours was on its way.
    pub fn set_registry(&self, version: u64) {
        let view = self.fleet().view();
        let mut registry = lock(&self.registry);
        if registry.version == 0 {
            self.history().start(version);
        }
        registry.version = version.max(registry.version);
        registry.view = view;
    }

    /// Notes when a read of the version in use was asked for: what came before it is known.
    /// An answer may wait for a process that stands still, so its arrival says nothing.
    pub fn note_read(&self, version: u64, asked_at: Instant, store_ms: u64) {
        let mut registry = lock(&self.registry);
        if version == registry.version && store_ms >= registry.store_ms {
            registry.read_at = asked_at;
            registry.store_ms = store_ms;
        }
    }

    /// Upstreams that are missing and may come back. Never held across an await.
    pub fn missing(&self) -> MutexGuard<'_, Missing> {
        lock(&self.missing)
    }

    /// The latest changes of the registry. Never held across an await; locked after
    /// the fleet where both are needed.
    pub fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.history)
    }

    /// What has changed in the registry since a version, or all of it if that isn't
    /// known; none if peers may not take this process's word for it.
    pub fn changes_since(&self, version: u64) -> Option<RegistryChanges> {
        let settled = self.settled_registry().filter(|r| r.version > 0)?;
        let fleet = self.fleet();
        let history = self.history();
        let mut changes = RegistryChanges {
            version: settled.version,
            read_ms_ago: settled.read_at.elapsed().as_millis() as u32,
            store_ms: settled.store_ms,
            view: fleet.view(),
            is_whole: false,
            present: Vec::new(),
            gone: Vec::new(),
        };
        let Some(ids) = history.since(version) else {
            let all = fleet.iter().map(|(_, u)| u.instance.clone());
            changes.present.extend(all);
            changes.is_whole = true;
            return Some(changes);
        };
        for id in ids {
            match fleet.find(id).and_then(|key| fleet.get(key)) {
                Some(upstream) => changes.present.push(upstream.instance.clone()),
                None => changes.gone.push(id.to_owned()),
            }
        }
        Some(changes)
    }

    /// Rows of the registry that can't be decoded and were told.
    pub fn unreadable(&self) -> MutexGuard<'_, follow::unreadable::Told> {
        lock(&self.unreadable)
    }

    /// What peers may take this process's word for: none while it uses upstreams
    /// that its last read didn't find.
    pub fn settled_registry(&self) -> Option<Registry> {
        self.missing().is_empty().then(|| self.registry())
    }

    /// Notes a peer's read of the registry, if it is later and found the same.
    /// What this process holds back must be found or gone by its own reads.
    pub fn confirm_registry(&self, read: Registry) {
        if !self.missing().is_empty() {
            return;
        }
        let mut registry = lock(&self.registry);
        // By the store's clock: by those of processes the same read, told in a circle, would
        // be the later the longer it was on its way.
        let is_later = read.version >= registry.version && read.store_ms > registry.store_ms;
        if read.view == registry.view && is_later {
            *registry = read;
        }
    }

    /// The host of this process and its zone.
    pub fn location(&self) -> Location {
        let host = self.host();
        Location {
            ip: host.ip,
            zone: zone_hash(&host.zone),
        }
    }

    /// The place of this process among all that are alive.
    pub fn rank(&self) -> u32 {
        self.peers().rank(self.location(), Instant::now())
    }

    /// The place of this process in its zone among those that read a long registry
    /// first; none until the store has told of the peers.
    pub fn place_to_read(&self) -> Option<u32> {
        let peers = self.peers();
        peers
            .is_listed()
            .then(|| peers.place_in_zone(self.location()))
    }

    /// Age of the view of the upstreams.
    pub fn registry_age(&self) -> Duration {
        self.registry().read_at.elapsed()
    }

    /// The other processes of the system. Never held across an await; locked
    /// before the fleet where both are needed.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// The store's version up to which the processes of the system are known; 0 if they aren't
    /// all known.
    pub fn members_version(&self) -> u64 {
        self.members_version.load(Ordering::Relaxed)
    }

    /// Raises the version up to which the processes are known; a lower one is ignored.
    pub fn set_members_version(&self, version: u64) {
        self.members_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Whether this process holds reads of whole tables at the store: it is one of the feed
    /// readers, or hears no peer.
    pub fn is_feed_reader(&self) -> bool {
        let own = self.host().ip;
        let peers = self.peers();
        peers.is_feed_reader(own) || peers.is_alone(Instant::now())
    }

    /// Takes a new number of peers that share the retry budget.
    pub fn set_live_peers(&self, peers: u32) {
        if self.live_peers.swap(peers, Ordering::Relaxed) == peers {
            return;
        }
        let slack = self.host().retry_slack;
        for (_, budget) in lock(&self.budgets).iter_mut() {
            budget.set_processes(slack, peers + 1);
        }
    }

    /// Processes that share the retry budget.
    fn processes(&self) -> u32 {
        self.live_peers.load(Ordering::Relaxed) + 1
    }

    /// Works on the retry budget of a service.
    fn with_budget<T>(&self, service: ServiceKey, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        let at = budgets.binary_search_by_key(&service, |(s, _)| *s);
        let at = at.unwrap_or_else(|at| {
            let host = self.host();
            let (ratio, slack) = (host.retry_ratio, host.retry_slack);
            let budget = RetryBudget::new(ratio, slack, host.retry_window, self.processes());
            budgets.insert(at, (service, budget));
            at
        });
        work(&mut budgets[at].1)
    }

    /// Notes a request for a service.
    pub fn earn_retry(&self, service: ServiceKey) {
        self.with_budget(service, |b| b.record_request(Instant::now()));
    }

    /// Takes a retry at a service, if there is one.
    pub fn spend_retry(&self, service: ServiceKey) -> bool {
        self.with_budget(service, |b| b.try_retry(Instant::now()))
    }

    /// Whether it takes new connections.
    pub fn is_ready(&self) -> bool {
        let knows_upstreams = self.registry().version > 0;
        !self.stop.is_stopped() && knows_upstreams && lock(&self.routes).is_some()
    }

    /// The moments of this process's end, once it was told to stop. They are set by who
    /// asks first after the signal, and stay whatever signal or reload follows.
    pub fn ending(&self) -> Option<Ending> {
        self.stop.is_stopped().then(|| self.set_ending())
    }

    /// Waits for the stop signal; gives the moments of the end.
    pub async fn stopping(&self) -> Ending {
        self.stop.stopped().await;
        self.set_ending()
    }

    fn set_ending(&self) -> Ending {
        let new = || {
            let now = Instant::now();
            let earliest_signal = lock(&self.stalls).earliest_signal(now);
            Ending::new(now, earliest_signal, self.host().stop_grace)
        };
        *self.ending.get_or_init(new)
    }

    /// Notes that this process runs, so that it knows when it stood still.
    pub fn tick(&self) {
        lock(&self.stalls).tick(Instant::now());
    }

    /// Whether a datagram that is taken now may have waited while this process stood still.
    pub fn may_have_waited(&self, now: Instant) -> bool {
        lock(&self.stalls).may_have_waited(now)
    }

    /// Counts a request as running until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard::new(self.clone())
    }

    /// Counts a request as no longer running.
    fn end(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Requests that run.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }

    /// Counts a request at an upstream until the guard is dropped.
    pub fn add_load(self: &Arc<Self>, key: UpstreamKey, tokens: u32, is_long: bool) -> LoadGuard {
        if let Some(upstream) = self.fleet().get_mut(key) {
            upstream.running += 1;
            upstream.waiting += 1;
            upstream.tokens += tokens;
            upstream.streams += u32::from(is_long);
        }
        LoadGuard::new(self.clone(), key, tokens, is_long)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}
