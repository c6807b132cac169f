//! Detects requests and parts of prompts that crash upstreams, and shares the reports between hosts.
//!
//! A connection that breaks during a request shows that the upstream may have crashed ([`broken`]),
//! as does a request without an answer whose upstream is gone ([`unanswered`]).
//! [`resilience::crashes`] counts crashes per request fingerprint and per part of prompts, and decides
//! when a request is blocked. This module passes it the reports of this host, of peers and of rows in the store,
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
use crate::monotonic;
use crate::peers::{CrashReport, PeerStatus, Scope};
use crate::serve::Call;
use crate::state::Gateway;
use crate::store_clock::StoreClock;
use observe::{Event, emit};
use resilience::crashes::{Change, Observation, PartChange, Run, Source};
use resilience::{CrashTracker, Fingerprint};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Fingerprint in reports of answered parts alone.
const NO_REQUEST: Fingerprint = Fingerprint(0);

/// Requests and parts of prompts that may crash upstreams, as known to this process.
#[derive(Debug, Default)]
pub struct SharedCrashes {
    crashes: Mutex<CrashTracker>,
    clock: Mutex<Option<StoreClock>>,
    /// Notified when there may be rows to write or remove.
    write_pending: Notify,
    watch_permits: unanswered::WatchPermits,
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
        *self.clock.lock().expect("no panic while locked") = Some(StoreClock::new(now_ms));
    }
}

/// Applies an observation, logs the resulting change, and wakes the writer of rows.
fn apply(gateway: &Gateway, observation: Observation, source: Source, forward: bool) -> Change {
    let request = observation.request();
    let change = gateway
        .crashes
        .lock()
        .apply(observation, source, forward, monotonic::now());
    if let Some(fingerprint) = request {
        log_change(fingerprint, change, source);
    }
    let has_part_changes = update_parts(gateway);
    if change != Change::Unchanged || has_part_changes {
        gateway.crashes.write_pending.notify_one();
    }
    change
}

/// Updates which parts of prompts are blocked, and logs the changes. Returns whether there were any.
fn update_parts(gateway: &Gateway) -> bool {
    let changes = gateway.crashes.lock().update_explanation(monotonic::now());
    for change in &changes {
        match *change {
            PartChange::Blocked {
                part,
                crashes,
                others,
            } => emit(&Event::PartHeldBack {
                part: format!("{part:x}"),
                ends: crashes,
                others,
            }),
            PartChange::Released(part) => emit(&Event::PartReleased {
                part: format!("{part:x}"),
            }),
        }
    }
    !changes.is_empty()
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
    let names: Vec<String> = call.shared_part_ids().map(|id| format!("{id:x}")).collect();
    (!names.is_empty()).then(|| names.join(","))
}

/// Records that an upstream has generated on a prompt for so long that no part of it crashes
/// upstreams.
pub fn mark_survived(call: &Call, account: &Account) {
    if !is_generated(account) {
        return;
    }
    let (gateway, now) = (&call.gateway, monotonic::now());
    {
        let mut crashes = gateway.crashes.lock();
        if crashes.is_empty() {
            crashes.record_answered_parts(call.shared_part_ids(), now);
            return;
        }
    }
    let observation = Observation::Answer {
        request: None,
        parts: call.shared_part_ids().collect(),
        at: now,
    };
    apply(gateway, observation, Source::Local, true);
}

/// Whether the answer was generated. An error may have been returned without that.
fn is_generated(account: &Account) -> bool {
    (200..300).contains(&account.status)
}

/// Records that a request was answered completely.
pub fn mark_answered(call: &Call, account: &mut Account) {
    let gateway = &call.gateway;
    let now = monotonic::now();
    let is_generated = is_generated(account);
    {
        let mut crashes = gateway.crashes.lock();
        if crashes.is_empty() {
            if is_generated {
                crashes.record_answered_parts(call.shared_part_ids(), now);
            }
            return;
        }
    }
    account.parts = part_names(call);
    let run = match is_generated {
        true => call.run_record(),
        false => Run::from(call.fingerprint()),
    };
    apply(gateway, Observation::answer(run, now), Source::Local, true);
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
    let observations = recorded.into_iter().map(|r| Observation::Crash {
        run: r.run,
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
    let Fingerprint(hash) = observation.request().unwrap_or(NO_REQUEST);
    let parts = observation.parts().to_vec();
    let (at, upstream, in_trial) = match *observation {
        Observation::Crash {
            upstream,
            at,
            in_trial,
            ..
        } => (at, Some(upstream), in_trial),
        Observation::Answer { at, .. } => (at, None, false),
    };
    let ago = now.saturating_duration_since(at).as_millis();
    CrashReport {
        work: [(hash >> 64) as u64, hash as u64],
        upstream,
        ago_ms: u32::try_from(ago).unwrap_or(u32::MAX),
        in_trial,
        parts,
    }
}

fn from_report(report: &CrashReport, now: Instant) -> Option<Observation> {
    let [high, low] = report.work.map(u128::from);
    let request = Fingerprint(high << 64 | low);
    let at = now.checked_sub(Duration::from_millis(report.ago_ms.into()))?;
    let run = Run::new(request, report.parts.iter().copied());
    Some(match report.upstream {
        Some(upstream) => Observation::Crash {
            run,
            upstream,
            at,
            in_trial: report.in_trial,
        },
        None => Observation::Answer {
            request: Some(request).filter(|request| *request != NO_REQUEST),
            parts: run.parts,
            at,
        },
    })
}
