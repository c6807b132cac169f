//! Decides the next step of the host that reports usage. It performs no I/O, so that tests can
//! try any order of holders, losses and late writes.
//!
//! A report is decided by a conditional write together with the lease, and is sent only
//! afterwards, exactly as written. The next report is decided once the last one is done, which
//! means that it was delivered or is too late to be useful. Two reports of the same window are
//! therefore identical, regardless of who sends them.
//!
//! A store that is restored from a copy may have lost the last reports. Each report is therefore
//! announced to other hosts before it is sent, and the first windows that are decided in a new era
//! need a survey of all hosts. If one of them doesn't answer, it may have sent reports that nobody
//! knows of; windows that ended before the era was known are then skipped, as no report is better
//! than two that differ.

use crate::duty::lease::{self, Candidate, Decision, HeldLease};
use platform::usage::{UsageRead, UsageReport};
use platform::{Duty, FIRST_ERA, Lease, LeaseRead, Position, WriteAck};
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
    /// Announce the report that was written to other hosts.
    Announce(UsageReport),
    /// Ask all hosts for the last report that they know of, as the store may have lost some.
    Survey {
        /// The current era of the store.
        era: u64,
        /// First window whose report may be lost.
        from: u64,
    },
    /// Send the report that was written.
    Send {
        /// Token of the lease.
        token: u64,
        /// The report.
        report: UsageReport,
    },
}

/// Windows that a host may decide.
#[derive(Debug, Clone, Copy)]
pub struct Windows {
    /// First window that this host can have data for.
    pub first: u64,
    /// First window that ended after the era of the store became known.
    pub first_of_era: u64,
    /// Last window whose report may be decided.
    pub ready: Option<u64>,
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

impl Rows {
    /// Whether a report in the rows is the one that was decided: it was written in their era, or the
    /// store was never restored.
    fn is_certain(&self, report: &UsageReport) -> bool {
        self.row.era <= FIRST_ERA || report.era == self.row.era
    }
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
    /// The report of the latest window that is known to be decided. A restored store may have lost
    /// it.
    latest: Option<UsageReport>,
    /// Last window whose report was delivered or is too late to be useful.
    done_window: u64,
    /// Last window whose report was announced to other hosts.
    announced_window: u64,
    /// Last survey of all hosts.
    survey: Option<Survey>,
}

/// Survey of all hosts for reports that the store may have lost.
#[derive(Debug, Clone, Copy)]
struct Survey {
    /// Era of the store in which it was made.
    era: u64,
    /// Whether no report of an earlier era is unknown.
    is_complete: bool,
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
            announced_window: 0,
            survey: None,
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

    /// The window whose report is to be decided next; `None` before the rows are known.
    pub fn next_window(&self, windows: Windows) -> Option<u64> {
        let rows = self.rows.as_ref()?;
        let decided = self.decided_window().unwrap_or(0);
        let next = decided.max(self.done_window).saturating_add(1);
        let first = match self.survey.filter(|survey| survey.era == rows.row.era) {
            Some(survey) if !survey.is_complete && self.may_lack_reports(rows) => {
                windows.first.max(windows.first_of_era)
            }
            _ => windows.first,
        };
        Some(first.max(next))
    }

    /// Whether the store may have lost reports that were decided after the latest known one.
    fn may_lack_reports(&self, rows: &Rows) -> bool {
        let decided_in = self.latest.as_ref().map_or(0, |report| report.era);
        rows.row.era > FIRST_ERA && decided_in < rows.row.era
    }

    /// Whether a survey of all hosts is needed before a window is decided.
    fn needs_survey(&self, rows: &Rows, window: u64, windows: Windows) -> bool {
        let is_surveyed = self.survey.is_some_and(|s| s.era == rows.row.era);
        !is_surveyed && window < windows.first_of_era && self.may_lack_reports(rows)
    }

    /// A report in a restored store that this host doesn't know otherwise. A write that was made before
    /// the restore and took effect after it may have replaced one that the store had lost.
    fn uncertain(&self) -> Option<&UsageReport> {
        let rows = self.rows.as_ref()?;
        let report = rows.report.as_ref()?;
        let known = self.decided_window().max(Some(self.done_window));
        (!rows.is_certain(report) && Some(report.window) > known).then_some(report)
    }

    /// The report that was written and isn't done.
    pub fn pending(&self) -> Option<&UsageReport> {
        self.rows.as_ref()?;
        let report = self.latest.as_ref();
        report.filter(|r| r.window > self.done_window)
    }

    /// The pending report, if the store has lost it.
    fn lost(&self) -> Option<&UsageReport> {
        let stored = self.rows.as_ref()?.report.as_ref();
        self.pending().filter(|report| stored != Some(report))
    }

    /// The next step.
    pub fn next_action(&self, windows: Windows, now: Instant) -> Action {
        let ready = windows.ready;
        if ready.is_none_or(|ready| ready <= self.done_window) && self.pending().is_none() {
            return Action::Idle;
        }
        let Some(rows) = &self.rows else {
            return Action::Read;
        };
        let pending = self.pending();
        if let Some(report) = self.uncertain().filter(|_| pending.is_none()) {
            return self.survey_under_lease(rows, report.window, now);
        }
        let window = self.next_window(windows);
        let window = window.filter(|w| pending.is_none() && ready.is_some_and(|r| *w <= r));
        let held = self.held.filter(|held| held.is_valid(now));
        match (pending, held) {
            // It is written again first, so that another host sends the same report.
            (Some(_), _) if self.lost().is_some() => self.write(rows, None, now),
            (Some(report), _) if self.announced_window < report.window => {
                Action::Announce(report.clone())
            }
            (Some(report), Some(held)) => Action::Send {
                token: held.token,
                report: report.clone(),
            },
            (None, _) if window.is_none() => Action::Idle,
            (None, _) if window.is_some_and(|w| self.needs_survey(rows, w, windows)) => {
                self.survey_under_lease(rows, window.unwrap_or_default(), now)
            }
            _ => self.write(rows, window, now),
        }
    }

    /// A survey of the reports from a window on, once the lease is available. No host of an earlier
    /// era decides then.
    fn survey_under_lease(&self, rows: &Rows, from: u64, now: Instant) -> Action {
        match self.write(rows, None, now) {
            Action::Write { .. } => Action::Survey {
                era: rows.row.era,
                from,
            },
            action => action,
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
        let rows = Rows {
            lease: read.lease,
            row: read.row,
            report: read.report,
            now_ms: read.now_ms,
            asked_at,
            era_known_at,
        };
        if let Some(report) = rows
            .report
            .as_ref()
            .filter(|report| rows.is_certain(report))
        {
            self.record_report(report);
        }
        self.rows = Some(rows);
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

    /// Records a report that is known to be decided.
    pub fn record_report(&mut self, report: &UsageReport) {
        if self.latest.as_ref().map(UsageReport::key) < Some(report.key()) {
            self.latest = Some(report.clone());
        }
    }

    /// Records that other hosts know the report of a window, or that it is sent although none does.
    pub fn on_announced(&mut self, window: u64) {
        self.announced_window = self.announced_window.max(window);
    }

    /// Records a survey that was made in an era of the store. It is complete if all hosts have
    /// answered that may have decided reports of earlier eras; what they know is recorded before.
    pub fn on_surveyed(&mut self, era: u64, is_complete: bool) {
        self.survey = Some(Survey { era, is_complete });
        let Some(report) = self.uncertain().cloned() else {
            return;
        };
        match is_complete {
            true => self.record_report(&report),
            // A lost host may have sent another report of this window.
            false => self.set_done_window(report.window),
        }
    }

    /// Discards the known rows, after another host wrote them or a write's outcome is unknown.
    pub fn invalidate(&mut self) {
        self.rows = None;
        self.held = None;
    }
}
