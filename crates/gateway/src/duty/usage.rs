//! Usage reports: the number of requests per tenant that started to run in each window.
//!
//! Each process numbers its requests as it becomes known that they ran, and says up to which time
//! it has numbered all that were sent. The collectors, which are the first two of
//! all processes, poll each process for requests that they don't have yet. The first collector
//! also decides each window's report and sends it. See `docs/design/duties.md`.

pub mod clock;
pub mod collection;
pub mod decisions;
pub mod exchange;
mod hand_over;
pub mod holder;
pub mod ledger;
pub mod message;
mod reports;
pub mod request_log;
pub mod transfer;

use crate::monotonic;
use crate::state::Gateway;
use clock::FleetClock;
use collection::Collection;
use ledger::Ledger;
use message::QueryAnswer;
use observe::{Event, emit};
use platform::usage::{ReportKey, UsageReport};
use request_log::{OpenKey, RequestLog};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use reports::run;

/// Number of collectors, so that collected data survives the loss of one of them.
const COLLECTORS: u32 = 2;
/// Time without a poll by a collector after which a process becomes a collector itself, and the
/// time added per place behind the first.
const POLL_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_TIMEOUT_PER_PLACE: Duration = Duration::from_millis(500);

/// Share of the time until a report is due after which an open request is entered as one that ran.
/// The rest is left to collect the requests, and to decide and deliver the report.
const MAX_OPEN_SHARE: f64 = 0.4;

/// A process's state for usage reports.
#[derive(Debug)]
pub struct Usage {
    request_log: Mutex<RequestLog>,
    ledger: Mutex<Ledger>,
    collection: Mutex<Collection>,
    clock: Mutex<FleetClock>,
    polls: Mutex<Polls>,
    started_at: Instant,
    /// Last window whose report is done, as found by this process or learned from a collector.
    done_window: AtomicU64,
    /// Last report that is known to be decided, by this process or another one.
    decided: Mutex<Option<UsageReport>>,
    /// Whether the final hand-over of this process has begun. It is set while the ledger is locked.
    is_closed: AtomicBool,
}

/// Polls that this process has received.
#[derive(Debug)]
struct Polls {
    last_at: Instant,
    /// Recent collectors, with the first request that each one needs next.
    collectors: Vec<Collector>,
}

/// A collector that has polled this process.
#[derive(Debug, Clone, Copy)]
struct Collector {
    ip: IpAddr,
    polled_at: Instant,
    /// Number of the first request that it doesn't have.
    next_needed: u64,
    start: u32,
    /// Whether it reads up to which time requests are complete.
    reads_complete: bool,
}

impl Default for Usage {
    fn default() -> Self {
        let now = monotonic::now();
        Self {
            request_log: Mutex::new(RequestLog::new(fastrand::u32(1..), time_of_day_ms)),
            ledger: Mutex::default(),
            collection: Mutex::default(),
            clock: Mutex::new(FleetClock::new(now)),
            polls: Mutex::new(Polls {
                last_at: now,
                collectors: Vec::new(),
            }),
            started_at: now,
            done_window: AtomicU64::new(0),
            decided: Mutex::default(),
            is_closed: AtomicBool::new(false),
        }
    }
}

impl Usage {
    /// Records that a request of a tenant started to run at `at`.
    pub fn record(&self, at: Instant, tenant: &Arc<str>) {
        self.request_log().record(at, tenant.clone());
    }

    /// Records that a request of a tenant starts to run now.
    pub fn record_now(&self, tenant: &Arc<str>) {
        let mut request_log = self.request_log();
        // The log may have been read up to an earlier time.
        request_log.record(monotonic::now(), tenant.clone());
    }

    /// Registers a request that is about to be sent.
    pub fn open(&self, tenant: &Arc<str>) -> OpenKey {
        let mut request_log = self.request_log();
        request_log.open(monotonic::now(), tenant.clone())
    }

    /// Counts an open request that may have run, from when it was sent.
    pub fn settle(&self, key: OpenKey) {
        self.request_log().settle(key);
    }

    /// Removes an open request that didn't run. Returns false if it has been counted, as it was
    /// open for too long.
    pub fn withdraw(&self, key: OpenKey) -> bool {
        self.request_log().withdraw(key)
    }

    fn request_log(&self) -> MutexGuard<'_, RequestLog> {
        lock(&self.request_log)
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }

    fn collection(&self) -> MutexGuard<'_, Collection> {
        lock(&self.collection)
    }

    fn clock(&self) -> MutexGuard<'_, FleetClock> {
        lock(&self.clock)
    }

    fn polls(&self) -> MutexGuard<'_, Polls> {
        lock(&self.polls)
    }

    /// Stops confirming requests of other processes, which would be lost when this one exits.
    fn close(&self) {
        let _ledger = self.ledger();
        self.is_closed.store(true, Ordering::Relaxed);
    }

    fn done_window(&self) -> u64 {
        self.done_window.load(Ordering::Relaxed)
    }

    /// The last report that is known to be decided.
    fn decided(&self) -> Option<UsageReport> {
        lock(&self.decided).clone()
    }

    /// Key of the last report that is known to be decided.
    fn last_decided(&self) -> Option<ReportKey> {
        lock(&self.decided).as_ref().map(UsageReport::key)
    }

    /// Records a decided report. Returns whether it is the last one that is known.
    fn record_decided(&self, report: &UsageReport) -> bool {
        let mut decided = lock(&self.decided);
        if decided.as_ref().map(UsageReport::key) < Some(report.key()) {
            *decided = Some(report.clone());
        }
        decided.as_ref() == Some(report)
    }

    /// Address and start of this process, by which its requests are known.
    fn own_log(&self, gateway: &Gateway) -> (IpAddr, u32) {
        (gateway.host().ip, self.request_log().start())
    }

    fn set_done_window(&self, window: u64) {
        self.done_window.fetch_max(window, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}

/// This process's wall-clock time, in Unix milliseconds.
fn time_of_day_ms() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as i64)
}

/// Whether usage is to be reported: the platform requires it, and the current configuration has
/// tenants.
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

/// Whether this process is a collector.
fn is_collector(gateway: &Gateway, now: Instant) -> bool {
    let rank = gateway.rank();
    let unpolled = now.saturating_duration_since(gateway.usage.polls().last_at);
    rank < COLLECTORS || unpolled > POLL_TIMEOUT + POLL_TIMEOUT_PER_PLACE * rank
}

/// Reads this process's requests from number `from` of its start `start` on. `number` identifies
/// the query.
fn read_log(gateway: &Gateway, start: u32, from: u64, number: u32, now: Instant) -> QueryAnswer {
    // Answers of upstreams may wait to be read.
    let is_behind = gateway.may_have_waited(now);
    let max_open = max_open(gateway).filter(|_| !is_behind);
    let mut request_log = gateway.usage.request_log();
    if let Some(max_open) = max_open {
        request_log.settle_overdue(max_open, now);
    }
    request_log.expire(now);
    let mut answer = request_log.read_from(start, from, number, now);
    if is_behind {
        answer.complete_ms_ago = None;
    }
    answer
}

/// Maximum time for which a request is open.
fn max_open(gateway: &Gateway) -> Option<Duration> {
    let bounds = gateway.host().cloud.as_ref()?.usage?;
    Some(bounds.due.mul_f64(MAX_OPEN_SHARE))
}

/// Sends the collectors the requests that they may not have, while this process stops accepting
/// requests.
pub async fn hand_over_first(gateway: &Arc<Gateway>) {
    if is_enabled(gateway) {
        hand_over::send_remaining(gateway).await;
    }
}

/// Sends the collectors this process's last requests, after it has stopped to accept requests.
/// Logs and returns the number of those that are lost, as nobody receives them.
pub async fn hand_over_last(gateway: &Arc<Gateway>) -> u64 {
    if !is_enabled(gateway) {
        return 0;
    }
    // Their outcome won't be known to anyone.
    gateway.usage.request_log().settle_all();
    gateway.usage.close();
    let lost = hand_over::send_remaining(gateway).await;
    if lost > 0 {
        emit(&Event::UsageLost {
            peer: gateway.host().ip.to_string(),
            requests: lost,
            why: "the process exits and no other process received them",
        });
    }
    lost
}

/// Whether a request has been counted; each is counted once, when an upstream starts to run it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum UsageState {
    /// The request hasn't been sent.
    #[default]
    NotSent,
    /// The request was sent, and its upstream may be running it.
    Sent(OpenKey),
    /// The request has been counted.
    Counted,
}
