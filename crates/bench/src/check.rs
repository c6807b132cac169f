//! Rules that check a recorded history, one function per guarantee.
//!
//! A history combines the independent records of clients, stand-ins and the fault schedule. It
//! contains nothing that the system under test reports about its own work.

use crate::client::{Call, CallResult};
use fakes::engine::OrderSeen;
use std::collections::{BTreeMap, BTreeSet};
use store::Row;
use store::rows::{Desired, Lease, decode};
use wire::Outcome;

/// Time after which a leaving upstream must receive no new work, in milliseconds.
pub const MAX_LEAVING_DELAY_MS: u64 = 3_000;
/// Time within which an accepted document must be in force, in milliseconds.
pub const MAX_CONFIG_DELAY_MS: u64 = 12_000;

/// A run of a request, as recorded by an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedRun {
    /// Name of the upstream.
    pub upstream: String,
    /// Name of the service.
    pub service: String,
    /// Request ID.
    pub request: String,
    /// Idempotency key of the client, or an empty string.
    pub key: String,
    /// Whether the document declares the request idempotent.
    pub idempotent: bool,
    /// Start time in milliseconds.
    pub at_ms: u64,
}

/// A period during which an upstream was leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingPeriod {
    /// Name of the upstream.
    pub upstream: String,
    /// Time at which the agent was signalled or the host list began to report it, in
    /// milliseconds.
    pub from_ms: u64,
    /// Whether the host list alone reports it and the agent was not signalled.
    pub host_list_only: bool,
    /// Time at which it was reinstated, or `u64::MAX` until then.
    pub until_ms: u64,
}

/// A document that the table service accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedDocument {
    /// Name of the service.
    pub service: String,
    /// Accepted version.
    pub version: u64,
    /// Time at which the editor received the confirmation, in milliseconds.
    pub at_ms: u64,
}

/// The version of a document in force in a process at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSample {
    /// Name of the process.
    pub process: String,
    /// Process ID, which distinguishes restarts of the process.
    pub id: u32,
    /// Name of the service.
    pub service: String,
    /// Version in force; 0 if there was none yet.
    pub version: u64,
    /// Time of the sample in milliseconds.
    pub at_ms: u64,
}

/// A period during which a process could not be expected to apply new documents, because it was
/// paused or down or the table service was unavailable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExemptPeriod {
    /// Name of the process; `None` for all processes.
    pub process: Option<String>,
    /// Start in milliseconds.
    pub from_ms: u64,
    /// End in milliseconds, or `u64::MAX` while the period is open.
    pub until_ms: u64,
}

/// Everything that was recorded in a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Requests of the clients with their results.
    pub calls: Vec<Call>,
    /// Runs recorded by upstreams.
    pub runs: Vec<ObservedRun>,
    /// Orders received by engines, with the upstream's name, in order of arrival.
    pub orders: Vec<(String, OrderSeen)>,
    /// Rows written to the table service, in order.
    pub rows: Vec<Row>,
    /// Periods during which upstreams were leaving.
    pub leaving: Vec<LeavingPeriod>,
    /// Documents that were accepted.
    pub accepted: Vec<AcceptedDocument>,
    /// Samples of the versions in force.
    pub samples: Vec<VersionSample>,
    /// Periods during which processes could not apply documents.
    pub exemptions: Vec<ExemptPeriod>,
    /// Periods with faults of the host list, as start and end in milliseconds.
    pub host_list_outages: Vec<(u64, u64)>,
}

/// Counts orders that arrived while a different change was in progress.
pub fn conflicting_orders(h: &History) -> u64 {
    count(h.orders.iter(), |(_, o)| o.conflicting)
}

/// Counts streams that an order interrupted.
pub fn cut_off(h: &History) -> u64 {
    h.orders.iter().map(|(_, o)| o.cut).sum()
}

/// Counts orders that took effect although their sender was no longer entitled to give them: an
/// engine accepted a lower fencing number after a higher one, or a row of the desired state was
/// written with an epoch other than that of the lease at that time.
pub fn stale_orders_effective(h: &History) -> u64 {
    let at_engines = count(h.orders.iter(), |(_, o)| o.stale_effective);
    let mut epochs: BTreeMap<String, u64> = BTreeMap::new();
    let mut in_table = 0;
    for row in &h.rows {
        if let Some(service) = row.key.strip_prefix("lease/plan/") {
            let epoch = decode::<Lease>(&row.value).map_or(0, |l| l.epoch);
            epochs.insert(service.to_owned(), epoch);
        } else if let Some(rest) = row.key.strip_prefix("desired/") {
            let service = rest.split('/').next().unwrap_or("");
            let epoch = decode::<Desired>(&row.value).map_or(0, |w| w.epoch);
            in_table += u64::from(epochs.get(service) != Some(&epoch));
        }
    }
    at_engines + in_table
}

/// Counts answers that belong to another request.
pub fn crossed(h: &History) -> u64 {
    count(h.calls.iter(), |s| s.result == CallResult::Crossed)
}

/// Counts incomplete answers that do not report an error.
pub fn truncated(h: &History) -> u64 {
    count(h.calls.iter(), |s| s.result == CallResult::Truncated)
}

/// Counts requests that were refused as not run although they ran.
pub fn false_not_run(h: &History) -> u64 {
    let ran: BTreeSet<&str> = h.runs.iter().map(|r| r.request.as_str()).collect();
    count(h.calls.iter(), |s| {
        matches!(
            s.result,
            CallResult::Refused {
                outcome: Outcome::NotRun,
                ..
            }
        ) && s.id.as_deref().is_some_and(|id| ran.contains(id))
    })
}

/// Counts repeated runs of non-idempotent requests. Runs are the same request if they have the
/// same idempotency key or, without a key, the same request ID.
pub fn double_runs(h: &History) -> u64 {
    let mut times: BTreeMap<(&str, &str, &str), u64> = BTreeMap::new();
    for r in h.runs.iter().filter(|r| !r.idempotent) {
        let name = if r.key.is_empty() {
            ("request", r.request.as_str())
        } else {
            ("key", r.key.as_str())
        };
        *times.entry((&r.service, name.0, name.1)).or_default() += 1;
    }
    times.values().map(|n| n.saturating_sub(1)).sum()
}

/// Counts runs that started at an upstream after it had been leaving for too long. Host list
/// outages are subtracted if only the host list reports that it is leaving.
pub fn late_work_to_leaving(h: &History) -> u64 {
    count(h.runs.iter(), |r| is_late_work(h, r))
}

/// Whether a run started at an upstream that had been leaving for too long.
pub fn is_late_work(h: &History, r: &ObservedRun) -> bool {
    h.leaving.iter().any(|l| {
        let during = l.upstream == r.upstream && r.at_ms > l.from_ms && r.at_ms < l.until_ms;
        during && r.at_ms - l.from_ms - host_list_outage_ms(h, l, r.at_ms) > MAX_LEAVING_DELAY_MS
    })
}

/// Part of the time until `until` during which the host list could not report that the host
/// leaves.
fn host_list_outage_ms(h: &History, l: &LeavingPeriod, until: u64) -> u64 {
    if !l.host_list_only {
        return 0;
    }
    covered_ms(h.host_list_outages.iter().copied(), l.from_ms, until)
}

/// Counts how often a process returned to a lower version.
pub fn config_reverts(h: &History) -> u64 {
    let mut last: BTreeMap<(&str, u32, &str), u64> = BTreeMap::new();
    let mut reverts = 0;
    for s in &h.samples {
        let before = last.entry((&s.process, s.id, &s.service)).or_default();
        reverts += u64::from(s.version < *before);
        *before = s.version;
    }
    reverts
}

/// Counts samples of processes in which an accepted document was not in force in time. Periods in
/// which the process could not apply documents are subtracted.
pub fn config_late(h: &History) -> u64 {
    count(h.samples.iter(), |s| {
        h.accepted.iter().any(|a| {
            a.service == s.service
                && s.version < a.version
                && s.at_ms > a.at_ms + MAX_CONFIG_DELAY_MS
                && s.at_ms - a.at_ms - exempt_ms(h, &s.process, a.at_ms, s.at_ms)
                    > MAX_CONFIG_DELAY_MS
        })
    })
}

/// Part of an interval in which a process is exempt, in milliseconds.
fn exempt_ms(h: &History, process: &str, from: u64, until: u64) -> u64 {
    let of = |e: &&ExemptPeriod| e.process.as_deref().is_none_or(|p| p == process);
    let spans = h.exemptions.iter().filter(of);
    covered_ms(spans.map(|e| (e.from_ms, e.until_ms)), from, until)
}

/// Part of an interval that is covered by spans; overlapping spans count once.
fn covered_ms(spans: impl Iterator<Item = (u64, u64)>, from: u64, until: u64) -> u64 {
    let clip = |(a, b): (u64, u64)| (a.max(from), b.min(until));
    let mut spans: Vec<(u64, u64)> = spans.map(clip).filter(|(a, b)| a < b).collect();
    spans.sort_unstable();
    let (mut sum, mut end) = (0, from);
    for (a, b) in spans {
        sum += b.saturating_sub(a.max(end));
        end = end.max(b);
    }
    sum
}

fn count<T>(items: impl Iterator<Item = T>, f: impl Fn(&T) -> bool) -> u64 {
    items.filter(|i| f(i)).count() as u64
}
