//! Detects requests that crash upstreams, and shares the reports between hosts.
//!
//! A connection that breaks during a request shows that the upstream may have crashed ([`broken`]),
//! as does a request without an answer whose upstream is gone ([`unanswered`]).
//! [`resilience::crashes`] counts crashes per request fingerprint and decides when a request is
//! blocked. This module passes it the reports of this host, of peers and of rows in the store,
//! and applies its decisions ([`admit`]). The rows ([`rows`]) reach hosts without a live peer and
//! survive restarts of all processes.

mod admit;
pub mod broken;
mod fingerprint;
pub mod rows;
pub mod unanswered;

pub use admit::{Admission, admit, return_unused_trial};
pub use fingerprint::fingerprint;

use crate::account::Account;
use crate::peers::{CrashReport, PeerStatus, Scope};
use crate::serve::Call;
use crate::state::Gateway;
use observe::{Event, emit};
use resilience::crashes::{Change, Observation, Source};
use resilience::{CrashTracker, Fingerprint};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Requests that may crash upstreams, as known to this process.
#[derive(Debug, Default)]
pub struct SharedCrashes {
    crashes: Mutex<CrashTracker>,
    clock: Mutex<Option<StoreClock>>,
    /// Notified when there may be rows to write or remove.
    write_pending: Notify,
    watch_permits: unanswered::WatchPermits,
}

/// Reading of the store's monotonic clock.
#[derive(Debug, Clone, Copy)]
struct StoreClock {
    now_ms: u64,
    read_at: Instant,
}

impl StoreClock {
    /// Converts a time of this host to the store's clock.
    fn to_store_ms(self, at: Instant) -> u64 {
        let after = at.saturating_duration_since(self.read_at).as_millis() as u64;
        let before = self.read_at.saturating_duration_since(at).as_millis() as u64;
        self.now_ms.saturating_add(after).saturating_sub(before)
    }

    /// Converts a time of the store's clock; `None` if it is before the start of this host's clock.
    fn to_instant(self, at_ms: u64) -> Option<Instant> {
        let ago = Duration::from_millis(self.now_ms.saturating_sub(at_ms));
        self.read_at.checked_sub(ago)
    }
}

impl SharedCrashes {
    /// Locks the known crashes. Must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, CrashTracker> {
        self.crashes.lock().expect("no panic while locked")
    }

    fn clock(&self) -> Option<StoreClock> {
        *self.clock.lock().expect("no panic while locked")
    }

    /// Sets the current time of the store's clock.
    pub fn set_clock(&self, now_ms: u64) {
        let read_at = Instant::now();
        *self.clock.lock().expect("no panic while locked") = Some(StoreClock { now_ms, read_at });
    }
}

/// Applies an observation, logs the resulting change, and wakes the writer of rows.
fn apply(gateway: &Gateway, observation: Observation, source: Source, forward: bool) -> Change {
    let change = gateway
        .crashes
        .lock()
        .apply(observation, source, forward, Instant::now());
    log_change(observation.fingerprint(), change, source);
    if change != Change::Unchanged {
        gateway.crashes.write_pending.notify_one();
    }
    change
}

/// Logs that a request is blocked, or no longer blocked.
fn log_change(fingerprint: Fingerprint, change: Change, source: Source) {
    let work = fingerprint.to_string();
    let source = source_name(source);
    match change {
        Change::Unchanged | Change::Counted(_) => {}
        Change::Blocked(ends) => emit(&Event::WorkHeldBack { work, ends, source }),
        Change::Cleared => emit(&Event::WorkReleased { work, source }),
    }
}

fn source_name(source: Source) -> &'static str {
    match source {
        Source::Local => "own requests",
        Source::Peer => "peer",
        Source::Store => "store",
    }
}

/// Ids of the parts that the prompt shares with others, as in the log; `None` without such parts.
fn part_names(call: &Call) -> Option<String> {
    let shared = call.parsed_headers.shared_parts();
    let names: Vec<String> = shared.iter().map(|part| format!("{:x}", part.id)).collect();
    (!names.is_empty()).then(|| names.join(","))
}

/// Records that a request was answered completely.
pub fn mark_answered(call: &Call, account: &mut Account) {
    let gateway = &call.gateway;
    if gateway.crashes.lock().is_empty() {
        return;
    }
    account.parts = part_names(call);
    let observation = Observation::Answer {
        fingerprint: call.fingerprint(),
        at: Instant::now(),
    };
    apply(gateway, observation, Source::Local, true);
}

/// Applies the crash reports in a peer's datagram. In a tree they are forwarded.
pub fn receive(gateway: &Gateway, status: &PeerStatus, now: Instant) {
    for report in &status.crashes {
        // A report from before the start of this host's clock is too old to matter.
        if let Some(observation) = from_report(report, now) {
            apply(
                gateway,
                observation,
                Source::Peer,
                status.scope != Scope::Direct,
            );
        }
    }
}

/// Crash reports to include in the next datagrams.
pub fn pending_reports(gateway: &Gateway, now: Instant) -> Vec<CrashReport> {
    let observations = gateway.crashes.lock().due_observations(now);
    observations
        .iter()
        .map(|observation| to_report(observation, now))
        .collect()
}

/// Crashes that are recorded in the store, for a peer that is starting.
pub fn recorded_crashes(gateway: &Gateway, now: Instant) -> Vec<CrashReport> {
    let recorded = gateway.crashes.lock().recorded();
    let observations = recorded.iter().map(|r| Observation::Crash {
        fingerprint: r.fingerprint,
        upstream: r.upstream,
        at: r.at,
        in_trial: r.in_trial,
    });
    observations
        .map(|observation| to_report(&observation, now))
        .collect()
}

/// Applies the recorded crashes received from a peer.
pub fn apply_recorded(gateway: &Gateway, reports: &[CrashReport], now: Instant) {
    for report in reports {
        if let Some(observation) = from_report(report, now) {
            apply(gateway, observation, Source::Peer, false);
        }
    }
}

fn to_report(observation: &Observation, now: Instant) -> CrashReport {
    let (at, upstream, in_trial) = match *observation {
        Observation::Crash {
            upstream,
            at,
            in_trial,
            ..
        } => (at, Some(upstream), in_trial),
        Observation::Answer { at, .. } => (at, None, false),
    };
    let Fingerprint(hash) = observation.fingerprint();
    let ago = now.saturating_duration_since(at).as_millis();
    CrashReport {
        work: [(hash >> 64) as u64, hash as u64],
        upstream,
        ago_ms: u32::try_from(ago).unwrap_or(u32::MAX),
        in_trial,
    }
}

fn from_report(report: &CrashReport, now: Instant) -> Option<Observation> {
    let [high, low] = report.work.map(u128::from);
    let fingerprint = Fingerprint(high << 64 | low);
    let at = now.checked_sub(Duration::from_millis(report.ago_ms.into()))?;
    Some(match report.upstream {
        Some(upstream) => Observation::Crash {
            fingerprint,
            upstream,
            at,
            in_trial: report.in_trial,
        },
        None => Observation::Answer { fingerprint, at },
    })
}
