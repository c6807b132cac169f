//! Reports of usage: how many requests of each tenant began to run in each window.
//!
//! Each process numbers its requests as they begin. Collectors, the first two of all
//! processes, ask each for what they don't have yet; the first also decides each window's
//! report, and sends it. See `docs/design/duties.md`.

pub mod clock;
pub mod exchange;
pub mod holder;
pub mod ledger;
pub mod message;
mod reports;
pub mod request_log;

use crate::state::Gateway;
use clock::FleetClock;
use ledger::Ledger;
use observe::{Event, emit};
use request_log::RequestLog;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use reports::run;

/// Processes that collect, so that what they know outlasts one of them.
const COLLECTORS: u32 = 2;
/// A process that no collector has asked for this long collects itself, and so long
/// further for each place that it has behind the first.
const POLL_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_TIMEOUT_PER_PLACE: Duration = Duration::from_millis(500);

/// What a process knows of usage.
#[derive(Debug)]
pub struct Usage {
    request_log: Mutex<RequestLog>,
    ledger: Mutex<Ledger>,
    clock: Mutex<FleetClock>,
    polls: Mutex<Polls>,
    /// Last window whose report is through, by what this process found or heard.
    done_window: AtomicU64,
}

/// Who has asked this process.
#[derive(Debug)]
struct Polls {
    last_at: Instant,
    /// The collectors of late, with the number of the first request that they lack.
    collectors: Vec<Collector>,
}

/// A collector that has asked.
#[derive(Debug, Clone, Copy)]
struct Collector {
    ip: IpAddr,
    polled_at: Instant,
    /// Number of the first request that it lacks.
    next_needed: u64,
    start: u32,
}

impl Default for Usage {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            request_log: Mutex::new(RequestLog::new(fastrand::u32(1..), time_of_day_ms)),
            ledger: Mutex::default(),
            clock: Mutex::new(FleetClock::new(now)),
            polls: Mutex::new(Polls {
                last_at: now,
                collectors: Vec::new(),
            }),
            done_window: AtomicU64::new(0),
        }
    }
}

impl Usage {
    /// Notes a request of a tenant that began to run at a time.
    pub fn record(&self, at: Instant, tenant: &Arc<str>) {
        lock(&self.request_log).record(at, tenant.clone());
    }

    fn request_log(&self) -> MutexGuard<'_, RequestLog> {
        lock(&self.request_log)
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }

    fn clock(&self) -> MutexGuard<'_, FleetClock> {
        lock(&self.clock)
    }

    fn polls(&self) -> MutexGuard<'_, Polls> {
        lock(&self.polls)
    }

    fn done_window(&self) -> u64 {
        self.done_window.load(Ordering::Relaxed)
    }

    fn set_done_window(&self, window: u64) {
        self.done_window.fetch_max(window, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}

/// This process's time of day, in Unix milliseconds.
fn time_of_day_ms() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as i64)
}

/// Whether usage is to be reported: the platform asks for it, and tenants are in force.
fn is_enabled(gateway: &Gateway) -> bool {
    let has_duty = gateway
        .host()
        .cloud
        .as_ref()
        .is_some_and(|c| c.usage.is_some());
    has_duty
        && gateway
            .routes()
            .is_some_and(|table| table.tenants().is_some())
}

/// Whether this process collects.
fn is_collector(gateway: &Gateway, now: Instant) -> bool {
    let rank = gateway.rank();
    let unpolled = now.saturating_duration_since(gateway.usage.polls().last_at);
    rank < COLLECTORS || unpolled > POLL_TIMEOUT + POLL_TIMEOUT_PER_PLACE * rank
}

/// Tells the collectors what they lack of this process's requests, before it ends. What
/// nobody has asked for is lost with it, which is logged.
pub async fn hand_over(gateway: &Arc<Gateway>) {
    if !is_enabled(gateway) {
        return;
    }
    let lost = exchange::send_remaining(gateway).await;
    if lost > 0 {
        emit(&Event::UsageLost {
            requests: lost,
            why: "the process ends, and no collector has asked for them",
        });
    }
}

/// A request that is counted once, when an upstream begins to run it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum UsageState {
    /// It has not been sent.
    #[default]
    NotSent,
    /// It was sent at a time, and its upstream may run it.
    Sent(Instant),
    /// It has been counted.
    Counted,
}
