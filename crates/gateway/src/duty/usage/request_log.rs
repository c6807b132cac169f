//! Requests of this process that began to run, by tenant.
//!
//! Each is numbered, so that who collects them asks for those after the last that it has
//! and an answer that is lost or comes twice changes nothing.

use super::message::{BegunAt, Told};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a request is kept: its window's end, its report's time to be due and as much
/// again, for a new collector after a loss of the store.
pub const RETENTION: Duration = Duration::from_secs(40);
/// Most requests that are kept: 3 MB, 2,500 requests a second over all of that time.
const MAX_ENTRIES: usize = 100_000;
/// Most requests that one answer tells of, and most bytes of tenants' names in it, so that
/// it stays a datagram of some 8 KB.
const MAX_REQUESTS_PER_ANSWER: usize = 800;
const MAX_NAME_BYTES: usize = 3000;

/// A request that began to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// When.
    pub at: Instant,
    /// Name of its tenant.
    pub tenant: Arc<str>,
}

/// The requests of this process that began of late.
#[derive(Debug)]
pub struct RequestLog {
    start: u32,
    /// Number of the first that is kept.
    first_number: u64,
    entries: VecDeque<Entry>,
    /// Time of day by this process, in Unix milliseconds, for who collects.
    time_of_day: fn() -> i64,
}

impl RequestLog {
    /// None yet, for a start of the process.
    pub fn new(start: u32, time_of_day: fn() -> i64) -> Self {
        Self {
            start,
            first_number: 0,
            entries: VecDeque::new(),
            time_of_day,
        }
    }

    /// Notes a request that began at a time.
    pub fn record(&mut self, at: Instant, tenant: Arc<str>) {
        if self.entries.len() >= MAX_ENTRIES {
            self.drop_oldest();
        }
        self.entries.push_back(Entry { at, tenant });
    }

    /// Drops what is too old to be reported.
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

    /// Requests that are kept and began at a time or later; all that are kept if none is
    /// given.
    pub fn count_since(&self, at: Option<Instant>) -> u64 {
        let kept = self.entries.iter();
        kept.filter(|e| at.is_none_or(|at| e.at >= at)).count() as u64
    }

    /// Number of the next request.
    pub fn next_number(&self) -> u64 {
        self.first_number + self.entries.len() as u64
    }

    /// The requests from a number on, of a start of this process; all that are kept, if it
    /// is another start.
    pub fn read_from(&self, start: u32, from: u64, number: u32, now: Instant) -> Told {
        let from = match start == self.start {
            true => from.clamp(self.first_number, self.next_number()),
            false => self.first_number,
        };
        let mut told = Told {
            number,
            start: self.start,
            from,
            next: self.next_number(),
            time_of_day_ms: (self.time_of_day)(),
            tenants: Vec::new(),
            begun: Vec::new(),
        };
        let mut name_bytes = 0;
        let skipped = (from - self.first_number) as usize;
        for entry in self
            .entries
            .iter()
            .skip(skipped)
            .take(MAX_REQUESTS_PER_ANSWER)
        {
            let known = told.tenants.iter().position(|name| **name == *entry.tenant);
            if known.is_none()
                && name_bytes + entry.tenant.len() > MAX_NAME_BYTES
                && !told.begun.is_empty()
            {
                break;
            }
            let tenant = known.unwrap_or_else(|| {
                name_bytes += entry.tenant.len();
                told.tenants.push(entry.tenant.to_string());
                told.tenants.len() - 1
            });
            let ago = now.saturating_duration_since(entry.at);
            told.begun.push(BegunAt {
                ago_ms: ago.as_millis() as u32,
                tenant: tenant as u16,
            });
        }
        told
    }
}
