//! Log of this process's requests that started to run, by tenant.
//!
//! Requests are numbered, so that a collector can query those after the last one that it has.
//! Lost and duplicate answers therefore have no effect.
//!
//! A plain request counts from when it was sent, but whether it ran is known only when it ends. It
//! is open from before its first byte is sent until then. The log is complete up to the time at
//! which the oldest open request was sent, and says so in each answer. A request that stays open
//! for too long is entered as one that ran, so that no report waits for it beyond its due time.

use super::message::{QueryAnswer, StartedRequest};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Retention of a request: the time to the end of its window, the time until its report is due,
/// and the same again for a new collector after an outage of the store.
pub const RETENTION: Duration = Duration::from_secs(40);
/// Maximum number of requests in the log: 3 MB, or 2,500 requests per second over the whole
/// retention.
const MAX_ENTRIES: usize = 100_000;
/// Maximum number of requests in one answer, and maximum total length of the tenant names in it,
/// which keep the datagram at about 8 KB.
const MAX_REQUESTS_PER_ANSWER: usize = 800;
const MAX_NAME_BYTES: usize = 3000;

/// A request that started to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Time at which it started.
    pub at: Instant,
    /// Name of its tenant.
    pub tenant: Arc<str>,
}

/// Identifies a request that was sent. Keys rise in the order of sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OpenKey(u64);

/// A request that was sent, and of which it isn't known yet whether it ran.
#[derive(Debug)]
struct OpenRequest {
    key: OpenKey,
    at: Instant,
    tenant: Arc<str>,
}

/// Recent requests of this process.
#[derive(Debug)]
pub struct RequestLog {
    start: u32,
    /// Number of the oldest entry.
    first_number: u64,
    entries: VecDeque<Entry>,
    /// Sorted by key, and so by time.
    open: VecDeque<OpenRequest>,
    next_key: OpenKey,
    /// Requests that were entered without an outcome since the last call of `take_overdue`.
    overdue: u64,
    /// Returns this process's wall-clock time for collectors, in Unix milliseconds.
    time_of_day: fn() -> i64,
}

impl RequestLog {
    /// An empty log for a start of the process.
    pub fn new(start: u32, time_of_day: fn() -> i64) -> Self {
        Self {
            start,
            first_number: 0,
            entries: VecDeque::new(),
            open: VecDeque::new(),
            next_key: OpenKey(0),
            overdue: 0,
            time_of_day,
        }
    }

    /// Identifier of the process's start.
    pub fn start(&self) -> u32 {
        self.start
    }

    /// Adds a request that started at `at`.
    pub fn record(&mut self, at: Instant, tenant: Arc<str>) {
        if self.entries.len() >= MAX_ENTRIES {
            self.drop_oldest();
        }
        self.entries.push_back(Entry { at, tenant });
    }

    /// Registers a request that is about to be sent. `now` mustn't precede that of earlier calls.
    pub fn open(&mut self, now: Instant, tenant: Arc<str>) -> OpenKey {
        let key = self.next_key;
        self.next_key = OpenKey(key.0 + 1);
        self.open.push_back(OpenRequest {
            key,
            at: now,
            tenant,
        });
        key
    }

    /// Enters an open request that may have run, with the time at which it was sent. Has no effect
    /// on one that isn't open any more.
    pub fn settle(&mut self, key: OpenKey) {
        if let Some(req) = self.remove_open(key) {
            self.record(req.at, req.tenant);
        }
    }

    /// Removes an open request that didn't run. Returns false if it isn't open any more, which
    /// means that it was counted.
    pub fn withdraw(&mut self, key: OpenKey) -> bool {
        self.remove_open(key).is_some()
    }

    fn remove_open(&mut self, key: OpenKey) -> Option<OpenRequest> {
        let at = self.open.binary_search_by_key(&key, |req| req.key).ok()?;
        self.open.remove(at)
    }

    /// Enters all open requests, as their outcome won't be known.
    pub fn settle_all(&mut self) {
        while let Some(req) = self.open.pop_front() {
            self.record(req.at, req.tenant);
        }
    }

    /// Enters the requests that have been open for at least `max_open`.
    pub fn settle_overdue(&mut self, max_open: Duration, now: Instant) {
        let is_overdue = |req: &OpenRequest| now.saturating_duration_since(req.at) >= max_open;
        while self.open.front().is_some_and(is_overdue) {
            let req = self.open.pop_front().expect("it has a front");
            self.record(req.at, req.tenant);
            self.overdue += 1;
        }
    }

    /// Takes the number of requests that were entered without an outcome since the last call.
    pub fn take_overdue(&mut self) -> u64 {
        std::mem::take(&mut self.overdue)
    }

    /// Time up to which each request that was sent is in the log or didn't run.
    pub fn complete_until(&self, now: Instant) -> Instant {
        self.open.front().map_or(now, |req| req.at.min(now))
    }

    /// Drops entries that are too old to be reported.
    pub fn expire(&mut self, now: Instant) {
        while self
            .entries
            .front()
            .is_some_and(|e| now.saturating_duration_since(e.at) > RETENTION)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        self.entries.pop_front();
        self.first_number += 1;
    }

    /// Number of entries that started at or after `at`; of all entries if it is `None`.
    pub fn count_since(&self, at: Option<Instant>) -> u64 {
        let kept = self.entries.iter();
        kept.filter(|e| at.is_none_or(|at| e.at >= at)).count() as u64
    }

    /// Number that the next request will get.
    pub fn next_number(&self) -> u64 {
        self.first_number + self.entries.len() as u64
    }

    /// An answer with the requests from number `from` of this process's start `start`, or from
    /// the oldest entry if `start` is another one. `number` identifies the query.
    pub fn read_from(&self, start: u32, from: u64, number: u32, now: Instant) -> QueryAnswer {
        let from = match start == self.start {
            true => from.clamp(self.first_number, self.next_number()),
            false => self.first_number,
        };
        let mut answer = QueryAnswer {
            number,
            start: self.start,
            from,
            next: self.next_number(),
            time_of_day_ms: (self.time_of_day)(),
            tenants: Vec::new(),
            begun: Vec::new(),
            complete_ms_ago: Some(millis_rounded_up(now - self.complete_until(now))),
        };
        let mut name_bytes = 0;
        let skipped = (from - self.first_number) as usize;
        for entry in self
            .entries
            .iter()
            .skip(skipped)
            .take(MAX_REQUESTS_PER_ANSWER)
        {
            let known = answer
                .tenants
                .iter()
                .position(|name| **name == *entry.tenant);
            if known.is_none()
                && name_bytes + entry.tenant.len() > MAX_NAME_BYTES
                && !answer.begun.is_empty()
            {
                break;
            }
            let tenant = known.unwrap_or_else(|| {
                name_bytes += entry.tenant.len();
                answer.tenants.push(entry.tenant.to_string());
                answer.tenants.len() - 1
            });
            let ago = now.saturating_duration_since(entry.at);
            answer.begun.push(StartedRequest {
                ago_ms: ago.as_millis() as u32,
                tenant: tenant as u16,
            });
        }
        answer
    }
}

fn millis_rounded_up(duration: Duration) -> u32 {
    duration.as_micros().div_ceil(1000) as u32
}
