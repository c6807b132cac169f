//! What the holder of the duty does next: pure, so that any order of holders, losses and
//! late writes can be tried.
//!
//! A report is decided by a write under a condition, together with the lease, and only
//! then sent, as it is written. The next one is decided when the last is through or past
//! its use. So no two reports of a window differ, whoever sends them.

use crate::duty::lease::{self, Held, Turn};
use platform::usage::{UsageRead, UsageReport};
use platform::{Duty, Lease, LeaseRead, WriteAck};
use std::time::{Duration, Instant};

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Rest,
    /// Another host may act until some time from now.
    Wait(Duration),
    /// Read the rows.
    Read,
    /// Write the lease over a version, and with it the report of a window if one is named.
    Write {
        /// The lease.
        lease: Lease,
        /// Version of its row that is written over.
        over: u64,
        /// Window whose report is decided.
        window: Option<u64>,
    },
    /// Send the report that is written.
    Send {
        /// Token of the lease.
        token: u64,
        /// The report.
        report: UsageReport,
    },
}

/// What is known of the rows.
#[derive(Debug, Clone)]
struct Rows {
    lease: Option<Lease>,
    version: u64,
    report: Option<UsageReport>,
    /// The store's clock at the latest, when `asked_at` was.
    now_ms: u64,
    asked_at: Instant,
}

/// A host that may hold the duty.
#[derive(Debug)]
pub struct Holder {
    /// Address of the host, as text.
    name: String,
    /// Shortest time between calls of two hosts.
    gap: Duration,
    rows: Option<Rows>,
    held: Option<Held>,
    /// Last window whose report is through or past its use.
    done: u64,
}

impl Holder {
    /// A host that knows nothing yet.
    pub fn new(name: String, gap: Duration) -> Self {
        Self {
            name,
            gap,
            rows: None,
            held: None,
            done: 0,
        }
    }

    /// Last window whose report is through or past its use.
    pub fn done(&self) -> u64 {
        self.done
    }

    /// Notes that a window's report is through or past its use, as this host or another
    /// found.
    pub fn set_done(&mut self, window: u64) {
        self.done = self.done.max(window);
    }

    /// The last window whose report is decided, as far as the rows are known; none if none
    /// ever was.
    pub fn decided(&self) -> Option<u64> {
        let report = self.rows.as_ref()?.report.as_ref();
        report.map(|r| r.window)
    }

    /// The window whose report is to be decided next, given the first that can be; none
    /// before the rows are known.
    pub fn next_window(&self, first: u64) -> Option<u64> {
        let rows = self.rows.as_ref()?;
        let decided = rows.report.as_ref().map_or(0, |r| r.window);
        Some(first.max(decided.max(self.done).saturating_add(1)))
    }

    /// The report that is written and not through.
    pub fn pending(&self) -> Option<&UsageReport> {
        let report = self.rows.as_ref()?.report.as_ref();
        report.filter(|r| r.window > self.done)
    }

    /// What to do, if reports of windows up to `ready` may be decided and `first` is the
    /// first of which this host could know anything.
    pub fn next(&self, first: u64, ready: Option<u64>, now: Instant) -> Action {
        if ready.is_none_or(|ready| ready <= self.done) && self.pending().is_none() {
            return Action::Rest;
        }
        let Some(rows) = &self.rows else {
            return Action::Read;
        };
        let pending = self.pending();
        let window = self.next_window(first);
        let window = window.filter(|w| pending.is_none() && ready.is_some_and(|r| *w <= r));
        let held = self.held.filter(|held| held.is_valid(now));
        match (pending, held) {
            (Some(report), Some(held)) => Action::Send {
                token: held.token,
                report: report.clone(),
            },
            (None, _) if window.is_none() => Action::Rest,
            _ => self.write(rows, window, now),
        }
    }

    fn write(&self, rows: &Rows, window: Option<u64>, now: Instant) -> Action {
        let elapsed = now.saturating_duration_since(rows.asked_at);
        let read = LeaseRead {
            lease: rows.lease.clone(),
            version: rows.version,
            now_ms: rows.now_ms.saturating_add(elapsed.as_millis() as u64),
        };
        match lease::turn(Duty::Usage, &read, &self.name, self.gap) {
            Turn::Wait(pause) => Action::Wait(pause),
            Turn::Take(lease) => Action::Write {
                lease,
                over: rows.version,
                window,
            },
        }
    }

    /// Notes a read that was asked for at a time.
    pub fn was_read(&mut self, read: UsageRead, asked_at: Instant) {
        self.rows = Some(Rows {
            lease: read.lease,
            version: read.version,
            report: read.report,
            now_ms: read.now_ms,
            asked_at,
        });
    }

    /// Notes a write that was asked for at a time and took effect.
    pub fn was_written(
        &mut self,
        lease: Lease,
        report: Option<UsageReport>,
        written: WriteAck,
        asked_at: Instant,
    ) {
        self.held = Some(Held::new(Duty::Usage, lease.token, asked_at));
        let before = self.rows.take();
        self.rows = Some(Rows {
            lease: Some(lease),
            version: written.version,
            report: report.or_else(|| before.and_then(|rows| rows.report)),
            now_ms: written.now_ms,
            asked_at,
        });
    }

    /// Forgets the rows: they were written by another, or a write's outcome isn't known.
    pub fn forget(&mut self) {
        self.rows = None;
        self.held = None;
    }
}
