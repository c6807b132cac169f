//! Decides the next step of the host that reports usage. It performs no I/O, so that tests can
//! try any order of holders, losses and late writes.
//!
//! A report is decided by a conditional write together with the lease, and is sent only
//! afterwards, exactly as written. The next report is decided once the last one is done, which
//! means that it was delivered or is too late to be useful. Two reports of the same window are
//! therefore identical, regardless of who sends them.

use crate::duty::lease::{self, Candidate, Decision, HeldLease};
use platform::usage::{UsageRead, UsageReport};
use platform::{Duty, Lease, LeaseRead, Position, WriteAck};
use std::time::{Duration, Instant};

/// Next step of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Do nothing.
    Idle,
    /// Another host may hold the lease; wait for this time.
    Wait(Duration),
    /// Read the rows.
    Read,
    /// Write the lease, and together with it the report of a window if one is given.
    Write {
        /// The new lease.
        lease: Lease,
        /// Position of its row that the write requires.
        expected: Position,
        /// Window whose report is decided.
        window: Option<u64>,
        /// A report to write again, as the store has lost it.
        lost: Option<UsageReport>,
    },
    /// Send the report that was written.
    Send {
        /// Token of the lease.
        token: u64,
        /// The report.
        report: UsageReport,
    },
}

/// Known content of the rows.
#[derive(Debug, Clone)]
struct Rows {
    lease: Option<Lease>,
    /// Position of the lease's row.
    row: Position,
    report: Option<UsageReport>,
    /// Upper bound of the store's clock at `asked_at`, in milliseconds.
    now_ms: u64,
    asked_at: Instant,
    /// Time at which the era of the store became known.
    era_known_at: Instant,
}

/// A host that may hold the duty.
#[derive(Debug)]
pub struct Holder {
    /// Address of the host, as text.
    name: String,
    /// Minimum time between calls of two hosts.
    gap: Duration,
    rows: Option<Rows>,
    held: Option<HeldLease>,
    /// The report of the latest window that this host has read or written. A restored store may
    /// have lost it.
    latest: Option<UsageReport>,
    /// Last window whose report was delivered or is too late to be useful.
    done_window: u64,
}

impl Holder {
    /// A host without any known state.
    pub fn new(name: String, gap: Duration) -> Self {
        Self {
            name,
            gap,
            rows: None,
            held: None,
            latest: None,
            done_window: 0,
        }
    }

    /// Last window whose report was delivered or is too late to be useful.
    pub fn done_window(&self) -> u64 {
        self.done_window
    }

    /// Records that a window's report was delivered or is too late to be useful, as this host or
    /// another one found.
    pub fn set_done_window(&mut self, window: u64) {
        self.done_window = self.done_window.max(window);
    }

    /// Last window whose report is decided, as far as known; `None` if there is none.
    pub fn decided_window(&self) -> Option<u64> {
        self.latest.as_ref().map(|r| r.window)
    }

    /// The window whose report is to be decided next, where `first` is the first possible one;
    /// `None` before the rows are known.
    pub fn next_window(&self, first: u64) -> Option<u64> {
        self.rows.as_ref()?;
        let decided = self.decided_window().unwrap_or(0);
        Some(first.max(decided.max(self.done_window).saturating_add(1)))
    }

    /// The report that was written and isn't done.
    pub fn pending(&self) -> Option<&UsageReport> {
        self.rows.as_ref()?;
        let report = self.latest.as_ref();
        report.filter(|r| r.window > self.done_window)
    }

    /// The pending report, if the store has lost it.
    fn lost(&self) -> Option<&UsageReport> {
        let stored = self.rows.as_ref()?.report.as_ref().map(|r| r.window);
        self.pending().filter(|r| stored < Some(r.window))
    }

    /// The next step. Reports of windows up to `ready` may be decided, and `first` is the first
    /// window that this host can have data for.
    pub fn next_action(&self, first: u64, ready: Option<u64>, now: Instant) -> Action {
        if ready.is_none_or(|ready| ready <= self.done_window) && self.pending().is_none() {
            return Action::Idle;
        }
        let Some(rows) = &self.rows else {
            return Action::Read;
        };
        let pending = self.pending();
        let window = self.next_window(first);
        let window = window.filter(|w| pending.is_none() && ready.is_some_and(|r| *w <= r));
        let held = self.held.filter(|held| held.is_valid(now));
        match (pending, held) {
            // It is written again first, so that another host sends the same report.
            (Some(_), _) if self.lost().is_some() => self.write(rows, None, now),
            (Some(report), Some(held)) => Action::Send {
                token: held.token,
                report: report.clone(),
            },
            (None, _) if window.is_none() => Action::Idle,
            _ => self.write(rows, window, now),
        }
    }

    fn write(&self, rows: &Rows, window: Option<u64>, now: Instant) -> Action {
        let elapsed = now.saturating_duration_since(rows.asked_at);
        let read = LeaseRead {
            lease: rows.lease.clone(),
            row: rows.row,
            now_ms: rows.now_ms.saturating_add(elapsed.as_millis() as u64),
        };
        let candidate = Candidate {
            host: &self.name,
            gap: self.gap,
            era_age: now.saturating_duration_since(rows.era_known_at),
        };
        match lease::decide(Duty::Usage, &read, &candidate) {
            Decision::Wait(pause) => Action::Wait(pause),
            Decision::Take(lease) => Action::Write {
                lease,
                expected: rows.row,
                window,
                lost: self.lost().cloned(),
            },
        }
    }

    /// Records a read that was requested at `asked_at`. The era of the store that it shows became
    /// known at `era_known_at`.
    pub fn on_read(&mut self, read: UsageRead, asked_at: Instant, era_known_at: Instant) {
        if let Some(report) = &read.report {
            self.record_report(report);
        }
        self.rows = Some(Rows {
            lease: read.lease,
            row: read.row,
            report: read.report,
            now_ms: read.now_ms,
            asked_at,
            era_known_at,
        });
    }

    /// Records a successful write that was requested at `asked_at`.
    pub fn on_written(
        &mut self,
        lease: Lease,
        report: Option<UsageReport>,
        written: WriteAck,
        asked_at: Instant,
    ) {
        self.held = Some(HeldLease::new(Duty::Usage, lease.token, asked_at));
        if let Some(report) = &report {
            self.record_report(report);
        }
        let before = self.rows.take();
        self.rows = Some(Rows {
            era_known_at: before.as_ref().map_or(asked_at, |rows| rows.era_known_at),
            lease: Some(lease),
            row: written.position,
            report: report.or_else(|| before.and_then(|rows| rows.report)),
            now_ms: written.now_ms,
            asked_at,
        });
    }

    /// Records a stored report. One of a window that was already known replaces it, as it was
    /// decided again after the store had lost it.
    fn record_report(&mut self, stored: &UsageReport) {
        let is_newer = |known: &UsageReport| stored.window >= known.window;
        if self.latest.as_ref().is_none_or(is_newer) {
            self.latest = Some(stored.clone());
        }
    }

    /// Discards the known rows, after another host wrote them or a write's outcome is unknown.
    pub fn invalidate(&mut self) {
        self.rows = None;
        self.held = None;
    }
}
