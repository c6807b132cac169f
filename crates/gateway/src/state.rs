//! State of a gateway process, shared by all requests and background tasks.

mod coverage;
mod guards;

pub use coverage::{CoveredSince, RegistryCoverage};
pub use guards::{LoadGuard, RunningGuard};

use crate::choose::Requirements;
use crate::crashes::SharedCrashes;
use crate::duty::usage::Usage;
use crate::fleet::{Fleet, ServiceKey, UpstreamKey};
use crate::follow::{self, RegistryFallback};
use crate::history::ChangeHistory;
use crate::missing::MissingUpstreams;
use crate::monotonic;
use crate::origins::Origins;
use crate::origins::rows::StreamRows;
use crate::peers::catch_up::RegistryChanges;
use crate::peers::startup_load::StartupLoad;
use crate::peers::{Location, Peers, zone_hash};
use crate::queue::ServiceQueues;
use crate::quota::Quotas;
use crate::routes::RouteTable;
use crate::stop::{MAX_UNDETECTED_DELAY, ShutdownSchedule, StallDetector};
use crate::versions::Versions;
use net::{BufferBudget, HeadLimits, Meter, Stop};
use observe::Metrics;
use platform::{CallCounts, EraTracker, HostSettings, Position};
use quota::ReturnTimes;
use resilience::RetryBudget;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Maximum number of tenants with their own histograms. Each takes about 2 KB of memory and of
/// each scrape.
const MAX_TENANT_METRICS: u32 = 100;

/// Longest interval between the returns of two callers that were refused because of upstreams'
/// limits.
const MAX_RETURN_GAP: Duration = Duration::from_secs(1);

/// Limits on request heads until a configuration is loaded, equal to the users' own defaults.
const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const INITIAL_MAX_HEAD_BYTES: usize = 16 << 10;

/// Fraction of the memory limit that buffered bodies may use. The rest is left for process state,
/// connections, and chunks of streamed bodies.
const BUFFER_MEMORY_SHARE: f64 = 0.5;

/// Delay of a request received after a pause of this process, so that a stop signal sent during the
/// pause is noticed first.
const PENDING_SIGNAL_DELAY: Duration = Duration::from_millis(10);

/// State of a gateway process.
#[derive(Debug)]
pub struct Gateway {
    host: Mutex<Arc<HostSettings>>,
    routes: Mutex<Option<Arc<RouteTable>>>,
    /// Grace period before its last change, and the time of that change.
    previous_grace: Mutex<Option<(Duration, Instant)>>,
    /// Time at which the current routes were applied.
    config_applied_at: Mutex<Option<Instant>>,
    fleet: Mutex<Fleet>,
    budgets: Mutex<Vec<(ServiceKey, RetryBudget)>>,
    /// Return times of refused callers, sorted by service.
    return_times: Mutex<Vec<(ServiceKey, ReturnTimes)>>,
    registry: Mutex<RegistryState>,
    coverage: Mutex<RegistryCoverage>,
    /// Notified when this process should read the registry now.
    pub registry_wanted: Notify,
    history: Mutex<ChangeHistory>,
    missing: Mutex<MissingUpstreams>,
    unreadable: Mutex<follow::unreadable::UnreadableLog>,
    peers: Mutex<Peers>,
    live_peers: AtomicU32,
    members_position: Mutex<Position>,
    /// Loading of the initial state from peers.
    pub startup_load: StartupLoad,
    /// Reads of the registry from the store because no peer supplied it.
    pub registry_fallback: RegistryFallback,
    running: AtomicU64,
    /// Requests that wait for upstreams of plain services.
    pub queues: ServiceQueues,
    /// Requests during which upstreams crashed.
    pub crashes: SharedCrashes,
    /// Requests of tenants that started to run, for usage reports.
    pub usage: Usage,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// Where streams began.
    pub origins: Origins,
    /// Rows in the store with the origins of streams.
    pub stream_rows: StreamRows,
    /// What is known of the version record in the store.
    pub versions: Versions,
    is_first_start: OnceLock<bool>,
    /// Notified when a peer has newer state than this process.
    pub catch_up: Notify,
    /// Limits on request heads, set by the current configuration.
    pub head_limits: HeadLimits,
    /// Memory budget for buffered bodies of requests and answers.
    pub buffer_budget: BufferBudget,
    /// Metrics.
    pub metrics: Metrics,
    /// Bytes exchanged with upstreams.
    pub upstream_bytes: Meter,
    /// Bytes exchanged with peers.
    pub peer_bytes: Meter,
    /// Bytes exchanged with the store.
    pub store_bytes: Meter,
    /// Counts of calls to the store.
    pub store_calls: CallCounts,
    /// Era of the store.
    pub store_era: EraTracker,
    /// Set when the process should stop.
    pub stop: Stop,
    stalls: Mutex<StallDetector>,
    shutdown_schedule: OnceLock<ShutdownSchedule>,
}

/// Position and age of this process's view of the upstreams.
#[derive(Debug, Clone, Copy)]
pub struct RegistryState {
    /// The store's position at the last read.
    pub position: Position,
    /// Time of that read, by this process or by a peer with an identical view.
    pub read_at: Instant,
    /// The same time by the store's clock, in milliseconds. It determines which of two reads in the
    /// same era is later.
    pub store_ms: u64,
    /// Hash of the registry's content; see [`Fleet::view`].
    pub view: u64,
}

/// Returns the maximum memory of buffered bodies, in bytes.
fn buffer_limit(host: &HostSettings) -> usize {
    host.memory.map_or(usize::MAX, |limit| {
        (limit as f64 * BUFFER_MEMORY_SHARE) as usize
    })
}

impl Gateway {
    /// Creates a gateway that has no configuration yet.
    pub fn new(host: HostSettings, stop: Stop) -> Arc<Self> {
        let location = Location {
            ip: host.ip,
            zone: zone_hash(&host.zone),
        };
        let buffer_budget = BufferBudget::default();
        buffer_budget.set_limit(buffer_limit(&host));
        let is_first_start_claimed = host.is_first_start;
        Arc::new(Self {
            buffer_budget,
            quotas: Quotas::new(host.ip),
            host: Mutex::new(Arc::new(host)),
            previous_grace: Mutex::default(),
            routes: Mutex::default(),
            config_applied_at: Mutex::default(),
            fleet: Mutex::default(),
            budgets: Mutex::default(),
            return_times: Mutex::default(),
            registry: Mutex::new(RegistryState {
                position: Position::NONE,
                read_at: monotonic::now(),
                store_ms: 0,
                view: 0,
            }),
            coverage: Mutex::default(),
            registry_wanted: Notify::new(),
            history: Mutex::default(),
            missing: Mutex::default(),
            unreadable: Mutex::default(),
            peers: Mutex::default(),
            live_peers: AtomicU32::new(0),
            members_position: Mutex::default(),
            startup_load: StartupLoad::default(),
            registry_fallback: RegistryFallback::default(),
            running: AtomicU64::new(0),
            queues: ServiceQueues::default(),
            crashes: SharedCrashes::default(),
            usage: Usage::default(),
            origins: Origins::new(location),
            stream_rows: StreamRows::default(),
            versions: Versions::new(is_first_start_claimed),
            is_first_start: OnceLock::new(),
            catch_up: Notify::new(),
            head_limits: HeadLimits::new(INITIAL_IDLE_TIMEOUT, INITIAL_MAX_HEAD_BYTES),
            metrics: Metrics::new(MAX_TENANT_METRICS),
            upstream_bytes: Meter::default(),
            peer_bytes: Meter::default(),
            store_bytes: Meter::default(),
            store_calls: CallCounts::default(),
            store_era: EraTracker::default(),
            stop,
            stalls: Mutex::new(StallDetector::new(monotonic::now())),
            shutdown_schedule: OnceLock::new(),
        })
    }

    /// The current settings.
    pub fn host(&self) -> Arc<HostSettings> {
        lock(&self.host).clone()
    }

    /// Whether the whole system starts for the first time, as checked against the store; false until
    /// that is decided. See [`crate::first_start`].
    pub fn is_first_start(&self) -> bool {
        self.is_first_start.get().copied().unwrap_or_default()
    }

    /// Sets whether the whole system starts for the first time. Only the first call has an effect.
    pub fn set_first_start(&self, is_first_start: bool) {
        self.is_first_start.get_or_init(|| is_first_start);
    }

    /// Replaces the settings.
    pub fn set_host(&self, host: HostSettings) {
        self.buffer_budget.set_limit(buffer_limit(&host));
        let mut current = lock(&self.host);
        if current.stop_grace != host.stop_grace {
            *lock(&self.previous_grace) = Some((current.stop_grace, monotonic::now()));
        }
        *current = Arc::new(host);
    }

    /// The current configuration, if there is one.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        lock(&self.routes).clone()
    }

    /// Version of the current configuration, 0 if there is none.
    pub fn config_version(&self) -> u64 {
        lock(&self.routes).as_ref().map_or(0, |t| t.version)
    }

    /// Time since the current configuration was applied.
    pub fn config_age(&self) -> Duration {
        let since = *lock(&self.config_applied_at);
        since.map_or(Duration::ZERO, monotonic::elapsed)
    }

    /// Whether a peer has a newer configuration.
    pub fn is_config_behind(&self) -> bool {
        let known = self.config_version();
        let peers = self.peers();
        let newest = peers
            .live(monotonic::now())
            .map(|(_, status)| status.config)
            .max();
        newest.is_some_and(|newest| newest > known)
    }

    /// Applies a configuration.
    pub fn set_routes(&self, table: RouteTable) {
        // One timer covers both a connection's idle time and the time to send a head. The longer
        // limit is used, so that no connection is closed that a client expects to reuse.
        self.head_limits
            .set(table.limits.idle_timeout, table.limits.head_bytes);
        *lock(&self.routes) = Some(Arc::new(table));
        *lock(&self.config_applied_at) = Some(monotonic::now());
    }

    /// The upstreams. The lock must not be held across an await.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Position and age of the view of the upstreams.
    pub fn registry(&self) -> RegistryState {
        *lock(&self.registry)
    }

    /// Records the position of a registry read. The position never goes back, as a peer's later
    /// read may arrive while this process's read is in progress.
    pub fn set_registry(&self, position: Position) {
        let view = self.fleet().view();
        let mut registry = lock(&self.registry);
        if !registry.position.is_known() {
            self.history().reset(position);
        }
        if position.era > registry.position.era {
            // The clock of a restored store may show an earlier time.
            registry.store_ms = 0;
            lock(&self.coverage).record_restore();
        }
        registry.position = position.max(registry.position);
        registry.view = view;
    }

    /// Records the time at which a read of the current position was requested; all earlier changes
    /// are known. The time at which the answer arrived isn't used, as the answer may have waited
    /// while this process was paused.
    pub fn record_read(&self, position: Position, asked_at: Instant, store_ms: u64) {
        let mut registry = lock(&self.registry);
        if position == registry.position && store_ms >= registry.store_ms {
            registry.read_at = asked_at;
            registry.store_ms = store_ms;
            lock(&self.coverage).record_read(asked_at, true);
        }
    }

    /// For how long this process has known all upstreams.
    pub fn registry_coverage(&self) -> RegistryCoverage {
        *lock(&self.coverage)
    }

    /// State of the registry and its coverage, read under one lock.
    pub fn covered_registry(&self) -> (RegistryState, RegistryCoverage) {
        let registry = lock(&self.registry);
        (*registry, *lock(&self.coverage))
    }

    /// Extends the coverage to an earlier start; see
    /// [`RegistryCoverage::extend`].
    pub fn extend_coverage(&self, own_since: CoveredSince, since: CoveredSince) -> bool {
        lock(&self.coverage).extend(own_since, since)
    }

    /// Upstreams that are missing from the registry and may return. The lock must not be held
    /// across an await.
    pub fn missing(&self) -> MutexGuard<'_, MissingUpstreams> {
        lock(&self.missing)
    }

    /// Recent changes of the registry. The lock must not be held across an await, and is taken
    /// after the fleet's lock where both are needed.
    pub fn history(&self) -> MutexGuard<'_, ChangeHistory> {
        lock(&self.history)
    }

    /// Registry changes since a position, or the whole registry if that position is no longer in
    /// the history; `None` if the registry can't be shared with peers (see
    /// [`Self::shareable_registry`]).
    pub fn changes_since(&self, since: Position) -> Option<RegistryChanges> {
        let shareable = self
            .shareable_registry()
            .filter(|r| r.position.is_known())?;
        let fleet = self.fleet();
        let history = self.history();
        let mut changes = RegistryChanges {
            position: shareable.position,
            read_ms_ago: monotonic::elapsed(shareable.read_at).as_millis() as u32,
            store_ms: shareable.store_ms,
            view: fleet.view(),
            is_whole: false,
            present: Vec::new(),
            gone: Vec::new(),
        };
        let Some(ids) = history.changed_since(since) else {
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

    /// Registry rows that can't be decoded and have been logged.
    pub fn unreadable(&self) -> MutexGuard<'_, follow::unreadable::UnreadableLog> {
        lock(&self.unreadable)
    }

    /// The registry state that may be sent to peers; `None` while this process still uses
    /// upstreams that its last read didn't find.
    pub fn shareable_registry(&self) -> Option<RegistryState> {
        self.missing().is_empty().then(|| self.registry())
    }

    /// Adopts the time of a peer's registry read if it is later and found identical content. Does
    /// nothing while upstreams are missing: those must be found or removed by this process's own
    /// reads.
    pub fn confirm_registry(&self, read: RegistryState) {
        if !self.missing().is_empty() {
            return;
        }
        let mut registry = lock(&self.registry);
        // Compares by the store's clock. By the processes' clocks, the same read would appear
        // later the longer it was on its way, as processes pass it on in circles.
        let (read_era, era) = (read.position.era, registry.position.era);
        let is_later = read.position >= registry.position
            && (read_era > era || read.store_ms > registry.store_ms);
        if read.view == registry.view && is_later {
            *registry = read;
            lock(&self.coverage).record_read(read.read_at, false);
        }
    }

    /// The host and zone of this process.
    pub fn location(&self) -> Location {
        let host = self.host();
        Location {
            ip: host.ip,
            zone: zone_hash(&host.zone),
        }
    }

    /// Place of this process among all live processes.
    pub fn rank(&self) -> u32 {
        self.peers().rank(self.location(), monotonic::now())
    }

    /// Place of this process in its zone, in the order in which processes read a long registry at
    /// startup; `None` until the store has returned the list of peers.
    pub fn startup_read_place(&self) -> Option<u32> {
        let peers = self.peers();
        peers
            .is_membership_known()
            .then(|| peers.place_in_zone(self.location()))
    }

    /// Age of the view of the upstreams.
    pub fn registry_age(&self) -> Duration {
        monotonic::elapsed(self.registry().read_at)
    }

    /// The other processes of the system. The lock must not be held across an await, and is taken
    /// before the fleet's lock where both are needed.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// The store's position up to which the list of processes is complete.
    pub fn members_position(&self) -> Position {
        *lock(&self.members_position)
    }

    /// Advances the position up to which the list of processes is complete; an earlier one is
    /// ignored.
    pub fn set_members_position(&self, position: Position) {
        let mut known = lock(&self.members_position);
        *known = position.max(*known);
    }

    /// Whether this process keeps long-poll reads of whole tables open at the store: it is one of
    /// the feed readers, or has no live peer.
    pub fn is_feed_reader(&self) -> bool {
        let own = self.host().ip;
        let peers = self.peers();
        peers.is_feed_reader(own) || peers.is_isolated(monotonic::now())
    }

    /// Updates the number of peers that share the retry budget.
    pub fn set_live_peers(&self, peers: u32) {
        if self.live_peers.swap(peers, Ordering::Relaxed) == peers {
            return;
        }
        let slack = self.host().retry_slack;
        for (_, budget) in lock(&self.budgets).iter_mut() {
            budget.set_processes(slack, peers + 1);
        }
    }

    /// Number of processes that share the retry budget and limits.
    pub fn process_count(&self) -> u32 {
        self.live_peers.load(Ordering::Relaxed) + 1
    }

    /// Calls `work` with the retry budget of a service.
    fn with_budget<T>(&self, service: ServiceKey, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        let at = budgets.binary_search_by_key(&service, |(s, _)| *s);
        let at = at.unwrap_or_else(|at| {
            let host = self.host();
            let (ratio, slack) = (host.retry_ratio, host.retry_slack);
            let budget = RetryBudget::new(ratio, slack, host.retry_window, self.process_count());
            budgets.insert(at, (service, budget));
            at
        });
        work(&mut budgets[at].1)
    }

    /// Adds a request to the retry budget of a service.
    pub fn earn_retry(&self, service: ServiceKey) {
        self.with_budget(service, |b| b.record_request(monotonic::now()));
    }

    /// Takes one retry from the budget of a service; returns false if none is left.
    pub fn spend_retry(&self, service: ServiceKey) -> bool {
        self.with_budget(service, |b| b.try_retry(monotonic::now()))
    }

    /// Time after which a caller may return that was refused because of upstreams' limits. The
    /// room that the limits make for this process's callers is assigned to one after the other.
    pub fn assign_return(&self, requirements: &Requirements<'_>, room_at: Instant) -> Duration {
        let service = requirements.service;
        let per_s = self.fleet().limit_sum(service) / f64::from(self.process_count());
        let gap = Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(MAX_RETURN_GAP);
        let gap = gap.min(MAX_RETURN_GAP);
        let mut all = lock(&self.return_times);
        let at = all.binary_search_by_key(&service, |(s, _)| *s);
        let at = at.unwrap_or_else(|at| {
            all.insert(at, (service, ReturnTimes::default()));
            at
        });
        let now = monotonic::now();
        all[at].1.assign(requirements.rank, room_at, gap, now)
    }

    /// Whether this process accepts new connections.
    pub fn is_ready(&self) -> bool {
        let knows_upstreams = self.registry().position.is_known();
        !self.stop.is_stopped() && knows_upstreams && lock(&self.routes).is_some()
    }

    /// The shutdown schedule, once the stop signal has arrived. It is computed on the first call
    /// after the signal, and isn't changed by further signals or reloads.
    pub fn shutdown_schedule(&self) -> Option<ShutdownSchedule> {
        self.stop
            .is_stopped()
            .then(|| self.init_shutdown_schedule())
    }

    /// Waits for the stop signal and returns the shutdown schedule.
    pub async fn wait_for_stop(&self) -> ShutdownSchedule {
        self.stop.stopped().await;
        self.init_shutdown_schedule()
    }

    fn init_shutdown_schedule(&self) -> ShutdownSchedule {
        let compute = || {
            let now = monotonic::now();
            let earliest_signal = lock(&self.stalls).earliest_signal(now);
            let grace = self.grace_for_signal(earliest_signal);
            ShutdownSchedule::new(now, earliest_signal, grace)
        };
        *self.shutdown_schedule.get_or_init(compute)
    }

    /// The shorter of the current and the previous grace period if the last change may have come
    /// after the stop signal was sent, as a reload may run before the signal is noticed. Otherwise
    /// the current one.
    fn grace_for_signal(&self, earliest_signal: Instant) -> Duration {
        let grace = self.host().stop_grace;
        match *lock(&self.previous_grace) {
            Some((previous, changed_at))
                if changed_at + MAX_UNDETECTED_DELAY >= earliest_signal =>
            {
                grace.min(previous)
            }
            _ => grace,
        }
    }

    /// Records that this process is running, to detect pauses.
    pub fn tick(&self) {
        lock(&self.stalls).tick(monotonic::now());
    }

    /// Whether a datagram or request received now may have waited while this process was paused.
    pub fn may_have_waited(&self, now: Instant) -> bool {
        lock(&self.stalls).may_have_waited(now)
    }

    /// After a pause of this process, gives the signal task time to notice a stop signal sent during
    /// the pause, as requests buffered by the kernel may be read before that task runs.
    pub async fn wait_for_pending_signal(&self) {
        if self.may_have_waited(monotonic::now()) {
            tokio::time::sleep(PENDING_SIGNAL_DELAY).await;
        }
    }

    /// Counts a request as running until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard::new(self.clone())
    }

    /// Removes a request from the running count.
    fn end_request(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Number of running requests.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }

    /// Adds a request to the load of an upstream until the guard is dropped.
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
