//! The report of a service: who got what, and why not.

use crate::record::{Batch, BatchName, HOUR_MS, PREFIX, Record, Side};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use store::{Error, Objects};
use wire::{Outcome, RequestId};

/// Longest wait that the quantiles tell apart, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// Counts of a group of requests. Each request is in exactly one of `served`,
/// `delayed`, `refused` and `unknown`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All requests.
    pub requests: u64,
    /// Answered in whole, begun within the deadline.
    pub served: u64,
    /// Answered in whole, begun after the deadline.
    pub delayed: u64,
    /// Not run.
    pub refused: u64,
    /// May have run; the caller has no whole answer.
    pub unknown: u64,
    /// Why requests weren't answered.
    pub reasons: BTreeMap<String, u64>,
    /// Time to the first byte of those answered, in milliseconds.
    pub wait_ms: Quantiles,
}

/// Quantiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// Half are at most this.
    pub p50: u64,
    /// 95 in 100 are at most this.
    pub p95: u64,
    /// 99 in 100 are at most this.
    pub p99: u64,
}

/// Counts of a class, and of each tenant in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ClassReport {
    /// The class.
    pub class: String,
    /// All its requests.
    pub all: Counts,
    /// Each tenant's requests, sorted by tenant.
    pub tenants: Vec<TenantReport>,
}

/// Counts of a tenant in a class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TenantReport {
    /// The tenant.
    pub tenant: String,
    /// Its requests.
    pub counts: Counts,
}

/// Batches of a process that are missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// The process, by name and incarnation.
    pub process: String,
    /// Numbers of the missing batches.
    pub missing: Vec<u64>,
    /// Records that the process dropped for want of room.
    pub dropped: u64,
    /// Whether the process has said that it ended. If not, it runs still or
    /// was killed, and its newest records may be missing.
    pub ended: bool,
}

impl Gap {
    /// Whether records are known to be lost, and not just to come.
    pub fn is_loss(&self) -> bool {
        !self.missing.is_empty() || self.dropped > 0
    }
}

/// A service's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The service.
    pub service: String,
    /// All requests.
    pub all: Counts,
    /// Each class, sorted by name.
    pub classes: Vec<ClassReport>,
    /// Requests that only agents have a record of: the entry's is lost or still
    /// to come. They are not in the counts.
    pub agent_only: u64,
    /// Tries that agents have a record of.
    pub tries: u64,
    /// Processes with missing batches, dropped records, or no end.
    pub gaps: Vec<Gap>,
}

impl Report {
    /// Records known to be lost: dropped ones, and requests without the entry's record.
    pub fn lost(&self) -> u64 {
        self.gaps.iter().map(|g| g.dropped).sum::<u64>() + self.agent_only
    }
}

#[derive(Debug, Default)]
struct Group {
    counts: Counts,
    waits: Option<Histogram<u64>>,
}

impl Group {
    fn add(&mut self, r: &Record) {
        let c = &mut self.counts;
        c.requests += 1;
        match r.outcome {
            Outcome::Answered if r.is_late() => c.delayed += 1,
            Outcome::Answered => c.served += 1,
            Outcome::NotRun => c.refused += 1,
            Outcome::Unknown => c.unknown += 1,
        }
        if let Some(reason) = r.reason {
            *c.reasons.entry(reason.to_string()).or_default() += 1;
        }
        if let Some(ms) = r.first_ms {
            let new = || Histogram::new_with_max(MAX_WAIT_MS, 3).expect("valid bounds");
            let waits = self.waits.get_or_insert_with(new);
            waits.saturating_record(ms);
        }
    }

    fn finish(self) -> Counts {
        let mut counts = self.counts;
        if let Some(w) = self.waits {
            let q = |q| w.value_at_quantile(q);
            counts.wait_ms = Quantiles {
                p50: q(0.5),
                p95: q(0.95),
                p99: q(0.99),
            };
        }
        counts
    }
}

#[derive(Debug, Default)]
struct ProcessSeen {
    numbers: Vec<u64>,
    dropped: u64,
    ended: bool,
}

/// Collects batches into a report.
#[derive(Debug)]
pub struct Collector {
    service: String,
    since_ms: u64,
    all: Group,
    classes: BTreeMap<String, (Group, BTreeMap<String, Group>)>,
    entry_seen: Vec<RequestId>,
    agent_seen: Vec<RequestId>,
    processes: BTreeMap<String, ProcessSeen>,
}

impl Collector {
    /// An empty collector for a service, for requests that ended at or after a time.
    pub fn new(service: &str, since_ms: u64) -> Self {
        Self {
            service: service.to_owned(),
            since_ms,
            all: Group::default(),
            classes: BTreeMap::new(),
            entry_seen: Vec::new(),
            agent_seen: Vec::new(),
            processes: BTreeMap::new(),
        }
    }

    /// Adds a batch.
    pub fn add(&mut self, name: &BatchName, batch: &Batch) {
        let seen = self.processes.entry(name.process.clone()).or_default();
        seen.numbers.push(name.number);
        seen.dropped += batch.dropped;
        seen.ended |= batch.last;
        for r in &batch.records {
            if r.service == self.service && r.ended_ms >= self.since_ms {
                self.record(r);
            }
        }
    }

    fn record(&mut self, r: &Record) {
        match r.side {
            Side::Agent => self.agent_seen.push(r.request),
            Side::Entry => {
                self.entry_seen.push(r.request);
                self.all.add(r);
                let (class, tenants) = self.classes.entry(r.class.clone()).or_default();
                class.add(r);
                tenants.entry(r.tenant.clone()).or_default().add(r);
            }
        }
    }

    /// Makes the report.
    pub fn finish(mut self) -> Report {
        self.entry_seen.sort_unstable();
        let tries = self.agent_seen.len() as u64;
        self.agent_seen.sort_unstable();
        self.agent_seen.dedup();
        let known = |r: &&RequestId| self.entry_seen.binary_search(r).is_err();
        let agent_only = self.agent_seen.iter().filter(known).count() as u64;
        let class = |(class, (group, tenants)): (String, (Group, BTreeMap<String, Group>))| {
            let tenant = |(tenant, g): (String, Group)| TenantReport {
                tenant,
                counts: g.finish(),
            };
            let tenants = tenants.into_iter().map(tenant).collect();
            ClassReport {
                class,
                all: group.finish(),
                tenants,
            }
        };
        Report {
            service: self.service,
            all: self.all.finish(),
            classes: self.classes.into_iter().map(class).collect(),
            agent_only,
            tries,
            gaps: self
                .processes
                .into_iter()
                .filter_map(|(p, seen)| gap(p, seen))
                .collect(),
        }
    }
}

fn gap(process: String, mut seen: ProcessSeen) -> Option<Gap> {
    seen.numbers.sort_unstable();
    seen.numbers.dedup();
    let missing: Vec<u64> = seen
        .numbers
        .windows(2)
        .flat_map(|pair| pair[0] + 1..pair[1])
        .collect();
    let whole = missing.is_empty() && seen.dropped == 0 && seen.ended;
    (!whole).then_some(Gap {
        process,
        missing,
        dropped: seen.dropped,
        ended: seen.ended,
    })
}

/// Reads a service's report from the object store.
pub async fn read_report<O: Objects>(
    objects: &O,
    service: &str,
    since_ms: u64,
) -> Result<Report, Error> {
    let mut collector = Collector::new(service, since_ms);
    for object in objects.list(PREFIX).await? {
        let Some(name) = BatchName::parse(&object) else {
            continue;
        };
        // A batch of an earlier hour holds nothing that ended since.
        if (name.hour + 1) * HOUR_MS < since_ms {
            continue;
        }
        let Some(data) = objects.get(&object).await? else {
            continue;
        };
        let Some(batch) = wire::decode::<Batch>(&data) else {
            return Err(Error::Nonsense(format!("batch {object}")));
        };
        collector.add(&name, &batch);
    }
    Ok(collector.finish())
}
