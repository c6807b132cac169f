//! Follows the configuration and the registry in the store.
//!
//! The configuration is read by long polling: the store answers when it changes. While the store
//! is unavailable, the process continues with its last known state.

pub(crate) mod cursor;
pub mod era;
pub mod outage;
pub mod registry;
pub mod unreadable;

pub use registry::{follow_registry, merge_from_peer, merge_from_store};

use crate::monotonic;
use crate::routes::RouteTable;
use crate::state::Gateway;
use cursor::{RESTORE_READ_SPREAD, TableCursor};
use observe::{Event, emit};
use platform::{Config, Cursor, Store, StoreError};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Processes that read the store frequently. The others receive updates from them, and read the
/// store themselves only if these stop sending: each call to the store is charged, and with 31
/// processes that all read, calls were the largest cost of all.
const FREQUENT_READERS: u32 = 2;
/// Time for which the store may hold a reader's read of the configuration. A broken connection is
/// noticed after this time plus [`ANSWER_TIMEOUT`], within the 3 s after an interruption in which
/// no time limits apply.
const CONFIG_WAIT: Duration = Duration::from_millis(2000);
/// Hold time for all other processes, which the readers notify of a new version. It is the
/// maximum that the store allows, as each call is charged. The read ends early if its process becomes
/// a reader, as nobody else may notice that its connection is broken.
const LONG_CONFIG_WAIT: Duration = Duration::from_millis(30_000);
/// Time after a read of the registry in place of the readers for which a process also reads the
/// configuration like one of them.
const FALLBACK_TIME: Duration = Duration::from_secs(3);
/// Timeout for an answer of the store, in addition to the time that it may hold a read. Answers
/// take about 5 ms, and about 300 ms while the store is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a failed read. Random jitter of up to the same length is added, so that processes
/// that lose the store together don't retry together.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Number of times that a process which isn't a reader doubles the pause while reads fail, up to
/// 1 s. The readers notify it when the store is back. With 103 processes that all retried
/// every 0.4 s, retries were 6,000 of 9,500 calls in an outage of 8 s.
const RETRY_DOUBLINGS: u32 = 2;
/// Interval at which a process checks whether it has become a feed reader or a frequent one.
const READER_CHECK_EVERY: Duration = Duration::from_millis(500);
/// Time without a successful read after which a failed read counts as loss of the store.
const LOST_AFTER: Duration = Duration::from_millis(1000);

/// Availability of the store for one kind of read.
pub(crate) struct Dependency {
    name: &'static str,
    last_success: Instant,
    last_failure: Instant,
    is_lost: bool,
    /// Consecutive failed reads.
    failures: u32,
}

impl Dependency {
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            last_success: monotonic::now(),
            last_failure: monotonic::now(),
            is_lost: false,
            failures: 0,
        }
    }

    /// Records a successful read. If the store was lost before it, returns the time of the last
    /// failed read.
    pub(crate) fn record_success(&mut self) -> Option<Instant> {
        self.failures = 0;
        let lost = std::mem::take(&mut self.is_lost);
        if lost {
            emit(&Event::DependencyBack {
                dependency: self.name,
                lost_ms: monotonic::elapsed(self.last_success).as_millis() as u64,
            });
        }
        self.last_success = monotonic::now();
        lost.then_some(self.last_failure)
    }

    /// Records a failed read, and logs the loss of the store if this read establishes it.
    pub(crate) fn record_failure(&mut self, e: &StoreError) {
        self.last_failure = monotonic::now();
        self.failures = self.failures.saturating_add(1);
        if !self.is_lost && monotonic::elapsed(self.last_success) >= LOST_AFTER {
            self.is_lost = true;
            emit(&Event::DependencyLost {
                dependency: self.name,
                why: e.to_string(),
            });
        }
    }

    /// Whether the last read failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Waits before the next attempt.
    pub(crate) async fn pause(&self, gateway: &Gateway) {
        let is_reader = gateway.rank() < FREQUENT_READERS;
        tokio::time::sleep(retry_pause(self.failures, is_reader, fastrand::f64())).await;
    }
}

/// Pause after a number of consecutive failed reads; `jitter` is a random number from 0 to 1.
pub fn retry_pause(failures: u32, is_reader: bool, jitter: f64) -> Duration {
    let doublings = match is_reader {
        true => 0,
        false => failures.saturating_sub(1).min(RETRY_DOUBLINGS),
    };
    (RETRY_PAUSE * 2u32.pow(doublings)).mul_f64(1.0 + jitter)
}

/// Client of the store for the current settings, replaced when its address changes.
pub(crate) struct StoreClient {
    gateway: Arc<Gateway>,
    addr: SocketAddr,
    store: Store,
}

impl StoreClient {
    pub(crate) fn new(gateway: &Arc<Gateway>) -> Self {
        let addr = gateway.host().store_addr;
        Self {
            store: Store::new(
                addr,
                &gateway.store_bytes,
                &gateway.store_calls,
                &gateway.store_era,
            ),
            gateway: gateway.clone(),
            addr,
        }
    }

    pub(crate) fn store(&mut self) -> &Store {
        if self.gateway.host().store_addr != self.addr {
            *self = Self::new(&self.gateway);
        }
        &self.store
    }
}

/// Follows the configuration until the process ends.
pub async fn follow_config(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    let mut dependency = Dependency::new("store/configuration");
    let mut cursor = TableCursor::new("configuration");
    gateway
        .startup_load
        .finished(gateway.is_first_start())
        .await;
    loop {
        wait_until_feed_reader(&gateway, gateway.config_version() == 0).await;
        let is_frequent = is_frequent_reader(&gateway);
        let wait = hold_time(cursor.from(), config_wait(is_frequent));
        let timeout = wait + ANSWER_TIMEOUT;
        cursor.begin_read(&gateway).await;
        let read = client.store().config(cursor.from(), wait, timeout);
        let read = tokio::select! {
            read = cursor.run(&gateway, read) => read,
            () = wait_until_frequent_reader(&gateway), if !is_frequent => {
                cursor.record_role_change();
                continue;
            }
        };
        match read {
            Ok(change) => {
                dependency.record_success();
                log_malformed("configuration", change.malformed);
                if let Some(newest) = change.items.into_iter().max_by_key(|c| c.version) {
                    apply_config(&gateway, newest, "store");
                }
                cursor.advance(change.next);
            }
            Err(StoreError::HistoryGone) => cursor.restart_after_lost_history().await,
            Err(StoreError::EraChanged) => cursor.restart_after_restore(RESTORE_READ_SPREAD).await,
            Err(e) => {
                cursor.record_failure();
                dependency.record_failure(&e);
                dependency.pause(&gateway).await;
            }
        }
    }
}

/// Waits until this process should read a table from the store: it is a feed reader, this is
/// its initial read of the table, or it had to read the registry from the store itself.
pub(crate) async fn wait_until_feed_reader(gateway: &Gateway, is_initial: bool) {
    while !is_initial && !gateway.is_feed_reader() {
        tokio::select! {
            () = gateway.registry_fallback.notified() => return,
            () = tokio::time::sleep(READER_CHECK_EVERY) => {}
        }
    }
}

/// Time for which the store may hold a read that continues from `from`. Reads of a whole table
/// aren't held. When they were treated as held, a host that started during an outage of the store
/// waited 30.8 s for an answer that never came, and had no state for that long after the outage.
pub(crate) fn hold_time(from: &Cursor, longest: Duration) -> Duration {
    match from {
        Cursor::Since(_) => longest,
        Cursor::Start | Cursor::NextPage { .. } => Duration::ZERO,
    }
}

fn config_wait(is_frequent: bool) -> Duration {
    match is_frequent {
        true => CONFIG_WAIT,
        false => LONG_CONFIG_WAIT,
    }
}

/// Whether this process reads the store frequently: it is one of the readers, or had to read the
/// registry in their place.
fn is_frequent_reader(gateway: &Gateway) -> bool {
    gateway.rank() < FREQUENT_READERS || gateway.registry_fallback.is_within(FALLBACK_TIME)
}

async fn wait_until_frequent_reader(gateway: &Gateway) {
    while !is_frequent_reader(gateway) {
        tokio::select! {
            () = gateway.registry_fallback.notified() => {}
            () = tokio::time::sleep(READER_CHECK_EVERY) => {}
        }
    }
}

/// Waits until a condition holds, which is checked at intervals.
pub(crate) async fn wait_until(gateway: &Gateway, condition: impl Fn(&Gateway) -> bool) {
    while !condition(gateway) {
        tokio::time::sleep(READER_CHECK_EVERY).await;
    }
}

/// Reads of the registry that this process made in place of the readers.
#[derive(Debug, Default)]
pub struct RegistryFallback {
    last_at: Mutex<Option<Instant>>,
    notify: Notify,
}

impl RegistryFallback {
    /// Records such a read, and wakes tasks that wait for one. A read of the whole registry, as at the
    /// start, doesn't show that the readers have stopped.
    pub(crate) fn record(&self, is_whole: bool) {
        if !is_whole {
            *self.last_at.lock().expect("no panic while locked") = Some(monotonic::now());
        }
        self.notify.notify_waiters();
    }

    /// Waits for the next one.
    pub(crate) async fn notified(&self) {
        self.notify.notified().await;
    }

    fn is_within(&self, time: Duration) -> bool {
        let last_at = *self.last_at.lock().expect("no panic while locked");
        last_at.is_some_and(|at| monotonic::elapsed(at) < time)
    }
}

/// Applies a configuration if it is newer than the current one.
pub fn apply_config(gateway: &Gateway, config: Config, source: &str) {
    let over = gateway.config_version();
    let version = config.version;
    if version <= over {
        return;
    }
    let before = gateway.routes();
    let table = RouteTable::new(config, &mut gateway.fleet(), before.as_deref());
    let routes = table.len();
    let tenants = table.tenants();
    let (keys, removed) = tenants.map_or((0, 0), |t| (t.key_count(), t.removed_count(version)));
    let tenants = tenants.map(|t| t.len());
    gateway.set_routes(table);
    emit(&Event::ConfigInForce {
        version,
        over,
        routes,
        tenants,
        keys,
        keys_removed: removed,
        source,
    });
}

fn log_malformed(what: &str, malformed: Vec<String>) {
    for why in malformed {
        emit(&Event::Undecodable { what, why });
    }
}
