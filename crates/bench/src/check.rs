//! The rules by which a history is judged, one function for each promise.
//!
//! A history joins what clients, stand-ins and the fault schedule wrote, each on
//! its own. The product isn't asked.

use crate::client::{Call, CallResult};
use fakes::engine::OrderSeen;
use std::collections::{BTreeMap, BTreeSet};
use store::Row;
use store::rows::{Desired, Lease, decode};
use wire::Outcome;

/// A leaving upstream gets no new work after this, in milliseconds.
pub const MAX_LEAVING_DELAY_MS: u64 = 3_000;
/// An accepted configuration is in force after this, in milliseconds.
pub const MAX_CONFIG_DELAY_MS: u64 = 12_000;

/// A run at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedRun {
    /// The upstream.
    pub upstream: String,
    /// The service.
    pub service: String,
    /// The request's id.
    pub request: String,
    /// The client's key, or an empty text.
    pub key: String,
    /// Whether the document calls it idempotent.
    pub idempotent: bool,
    /// When it began.
    pub at_ms: u64,
}

/// A time during which an upstream was leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingPeriod {
    /// The upstream.
    pub upstream: String,
    /// When its agent was told, or the list began to say so.
    pub from_ms: u64,
    /// Whether only the list says so.
    pub host_list_only: bool,
    /// When it was taken back, or the run ended.
    pub until_ms: u64,
}

/// A document that the table service accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedDocument {
    /// The service.
    pub service: String,
    /// The version.
    pub version: u64,
    /// When the editor knew.
    pub at_ms: u64,
}

/// The version in force in a process at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSample {
    /// The process's name.
    pub process: String,
    /// Its id, which tells incarnations apart.
    pub id: u32,
    /// The service.
    pub service: String,
    /// The version; 0 if there was none yet.
    pub version: u64,
    /// When it was asked.
    pub at_ms: u64,
}

/// A time during which a process couldn't be expected to follow: it was paused
/// or down, or the table service was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExemptPeriod {
    /// The process; `None` for all.
    pub process: Option<String>,
    /// From when.
    pub from_ms: u64,
    /// Until when.
    pub until_ms: u64,
}

/// Everything that was seen.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// RequestKind clients got.
    pub calls: Vec<Call>,
    /// Runs at upstreams.
    pub runs: Vec<ObservedRun>,
    /// Orders that engines saw, by upstream, in order.
    pub orders: Vec<(String, OrderSeen)>,
    /// Rows that the table service wrote, in order.
    pub rows: Vec<Row>,
    /// When upstreams were leaving.
    pub leaving: Vec<LeavingPeriod>,
    /// Documents that were accepted.
    pub accepted: Vec<AcceptedDocument>,
    /// Versions in force.
    pub samples: Vec<VersionSample>,
    /// When processes couldn't follow.
    pub exemptions: Vec<ExemptPeriod>,
    /// When nobody could read the host list, or only now and then.
    pub host_list_outages: Vec<(u64, u64)>,
}

/// Orders that came while a different change was under way.
pub fn conflicting_orders(h: &History) -> u64 {
    count(h.orders.iter(), |(_, o)| o.conflicting)
}

/// Streams that an order broke off.
pub fn cut_off(h: &History) -> u64 {
    h.orders.iter().map(|(_, o)| o.cut).sum()
}

/// Orders with an effect that came from a planner or agent whose time was over:
/// an older number after a newer one at an engine, or a row of the desired state written under
/// another epoch than that of the lease at that moment.
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

/// Answers to something else.
pub fn crossed(h: &History) -> u64 {
    count(h.calls.iter(), |s| s.result == CallResult::Crossed)
}

/// Answers that aren't whole and don't say so.
pub fn truncated(h: &History) -> u64 {
    count(h.calls.iter(), |s| s.result == CallResult::Truncated)
}

/// Requests refused as not run that ran.
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

/// Runs of non-idempotent calls beyond the first: by the client's key, or by the
/// request's id where there was none.
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

/// Runs that began at an upstream after it had been leaving for a while. Where
/// only the list says so, times in which nobody could read it don't count.
pub fn late_work_to_leaving(h: &History) -> u64 {
    count(h.runs.iter(), |r| is_late_work(h, r))
}

/// Whether a run began at an upstream that had been leaving for a while.
pub fn is_late_work(h: &History, r: &ObservedRun) -> bool {
    h.leaving.iter().any(|l| {
        let during = l.upstream == r.upstream && r.at_ms > l.from_ms && r.at_ms < l.until_ms;
        during && r.at_ms - l.from_ms - host_list_outage_ms(h, l, r.at_ms) > MAX_LEAVING_DELAY_MS
    })
}

/// How much of the time up to a moment the list couldn't say that a host leaves.
fn host_list_outage_ms(h: &History, l: &LeavingPeriod, until: u64) -> u64 {
    if !l.host_list_only {
        return 0;
    }
    covered_ms(h.host_list_outages.iter().copied(), l.from_ms, until)
}

/// Times that a process went back to a lower version.
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

/// Samples of a process that was behind an accepted document for longer than
/// the bound, times in which it couldn't follow not counted.
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

/// How much of a time a process is excused.
fn exempt_ms(h: &History, process: &str, from: u64, until: u64) -> u64 {
    let of = |e: &&ExemptPeriod| e.process.as_deref().is_none_or(|p| p == process);
    let spans = h.exemptions.iter().filter(of);
    covered_ms(spans.map(|e| (e.from_ms, e.until_ms)), from, until)
}

/// How much of a time spans cover; where they covered_ms counts once.
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
