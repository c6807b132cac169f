//! Follows the configuration and the registry in the store.
//!
//! The configuration is awaited by a read that the store answers when it changes.
//! While the store doesn't answer, the process goes on with what it knows.

pub mod registry;
pub mod unreadable;

pub use registry::{follow_registry, merge, merge_peers};

use crate::routes::RouteTable;
use crate::state::Gateway;
use observe::{Event, emit};
use platform::{Config, Cursor, Store, StoreError};
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
/// The same for the others, whom the readers tell of a new version: as long as the
/// store allows, as each call is paid for.
const LONG_CONFIG_WAIT: Duration = Duration::from_millis(30_000);
/// Longest wait for an answer of the store, besides the time that it may hold a
/// read. Answers take some 5 ms, and some 300 ms while it is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a read that failed. Chance adds up to as much again: processes that lose
/// the store together mustn't come back together.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// How often a process that isn't a reader doubles it while reads go on failing, up to
/// 1 s; it hears from the readers when the store is back. 103 processes that all tried
/// each 0.4 s made 6,000 of 9,500 calls in an outage of 8 s.
const RETRY_DOUBLINGS: u32 = 2;
/// Interval at which a process checks whether it has become a feed reader.
const READER_CHECK_EVERY: Duration = Duration::from_millis(500);
/// A read that failed counts as a loss of the store after this long without one.
const LOST_AFTER: Duration = Duration::from_millis(1000);

/// Whether the store answers one kind of read.
pub(crate) struct Dependency {
    name: &'static str,
    last_good: Instant,
    last_bad: Instant,
    is_lost: bool,
    /// Reads that failed in a row.
    failures: u32,
}

impl Dependency {
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            last_good: Instant::now(),
            last_bad: Instant::now(),
            is_lost: false,
            failures: 0,
        }
    }

    /// Notes a good read; if the store was lost before it, gives the time of the
    /// last read that failed.
    pub(crate) fn good(&mut self) -> Option<Instant> {
        self.failures = 0;
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
        self.failures = self.failures.saturating_add(1);
        if !self.is_lost && self.last_good.elapsed() >= LOST_AFTER {
            self.is_lost = true;
            emit(&Event::DependencyLost {
                dependency: self.name,
                why: e.to_string(),
            });
        }
    }

    /// Waits before the next try.
    pub(crate) async fn pause(&self, gateway: &Gateway) {
        let is_reader = gateway.rank() < READERS;
        tokio::time::sleep(retry_pause(self.failures, is_reader, fastrand::f64())).await;
    }
}

/// Pause after so many reads that failed in a row, with a number from 0 to 1 that
/// chance draws.
pub fn retry_pause(failures: u32, is_reader: bool, chance: f64) -> Duration {
    let doublings = match is_reader {
        true => 0,
        false => failures.saturating_sub(1).min(RETRY_DOUBLINGS),
    };
    (RETRY_PAUSE * 2u32.pow(doublings)).mul_f64(1.0 + chance)
}

/// The store's client for the settings in use, made anew when they change.
pub(crate) struct Client {
    gateway: Arc<Gateway>,
    addr: SocketAddr,
    store: Store,
}

impl Client {
    pub(crate) fn new(gateway: &Arc<Gateway>) -> Self {
        let addr = gateway.host().store_addr;
        Self {
            store: Store::new(addr, &gateway.store_bytes, &gateway.store_calls),
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
    let mut client = Client::new(&gateway);
    let mut dependency = Dependency::new("store/configuration");
    let mut from = Cursor::Start;
    gateway
        .startup_load
        .finished(gateway.host().is_first_start)
        .await;
    loop {
        wait_until_reader(&gateway, gateway.config_version() == 0).await;
        let wait = held_for(&from, config_wait(&gateway));
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
            Err(StoreError::HistoryGone) => from = Cursor::Start,
            Err(e) => {
                dependency.bad(&e);
                dependency.pause(&gateway).await;
            }
        }
    }
}

/// Waits until this process should read a table from the store: it is a feed reader, this is
/// its initial read of the table, or it had to read the registry from the store itself.
pub(crate) async fn wait_until_reader(gateway: &Gateway, is_initial: bool) {
    while !is_initial && !gateway.is_feed_reader() {
        tokio::select! {
            () = gateway.registry_fallback.notified() => return,
            () = tokio::time::sleep(READER_CHECK_EVERY) => {}
        }
    }
}

/// How long the store may hold a read from where a reader stands. One of a whole table isn't
/// held: taken for held, a host that started while the store was silent waited 30.8 s for an
/// answer that never came, and knew nothing for so long after the store's return.
pub(crate) fn held_for(from: &Cursor, longest: Duration) -> Duration {
    match from {
        Cursor::Since(_) => longest,
        Cursor::Start | Cursor::NextPage { .. } => Duration::ZERO,
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
    let before = gateway.routes();
    let table = RouteTable::new(config, &mut gateway.fleet(), before.as_deref());
    let routes = table.len();
    let tenants = table.tenants();
    let (keys, removed) = tenants.map_or((0, 0), |t| (t.keys(), t.removed_by(version)));
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

fn tell_malformed(what: &str, malformed: Vec<String>) {
    for why in malformed {
        emit(&Event::Undecodable { what, why });
    }
}
