//! The report of a service: counts and waits of requests by outcome, class and tenant.

use crate::record::{Batch, BatchName, HOUR_MS, PREFIX, Record, Side};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use store::{Error, Objects};
use wire::{Outcome, RequestId};

/// Maximum wait that the histograms can represent, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// Counts of a group of requests. Each request is in exactly one of `served`,
/// `delayed`, `refused` and `unknown`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All requests.
    pub requests: u64,
    /// Completely answered, with the first byte before the deadline.
    pub served: u64,
    /// Completely answered, with the first byte after the deadline.
    pub delayed: u64,
    /// Not run.
    pub refused: u64,
    /// May have run, but the caller has no complete response.
    pub unknown: u64,
    /// Number of requests for each reason why they weren't answered.
    pub reasons: BTreeMap<String, u64>,
    /// Time to the first byte of the answered requests, in milliseconds.
    pub wait_ms: Quantiles,
}

/// Quantiles of a duration, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// Counts of a class and of each tenant in it.
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

/// Missing records of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// Name and incarnation of the process.
    pub process: String,
    /// Numbers of the missing batches.
    pub missing: Vec<u64>,
    /// Number of records that the process dropped because its buffer was full.
    pub dropped: u64,
    /// Whether the process has written its last batch. If not, it is still running or was killed,
    /// and its newest records may be missing.
    pub ended: bool,
}

impl Gap {
    /// Whether records are known to be lost, and not just not written yet.
    pub fn has_lost_records(&self) -> bool {
        !self.missing.is_empty() || self.dropped > 0
    }
}

/// The report of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The service.
    pub service: String,
    /// All requests.
    pub all: Counts,
    /// Each class, sorted by name.
    pub classes: Vec<ClassReport>,
    /// Requests of which only agents have a record, because the entry's record is lost or not
    /// written yet. They aren't in the counts.
    pub agent_only: u64,
    /// Attempts recorded by agents.
    pub tries: u64,
    /// Processes with missing batches, dropped records or no last batch.
    pub gaps: Vec<Gap>,
}

impl Report {
    /// Number of records known to be lost: dropped records, and requests without the entry's
    /// record.
    pub fn lost_records(&self) -> u64 {
        self.gaps.iter().map(|g| g.dropped).sum::<u64>() + self.agent_only
    }
}

#[derive(Debug, Default)]
struct Group {
    counts: Counts,
    wait_histogram: Option<Histogram<u64>>,
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
            let wait_histogram = self.wait_histogram.get_or_insert_with(new);
            wait_histogram.saturating_record(ms);
        }
    }

    fn finish(self) -> Counts {
        let mut counts = self.counts;
        if let Some(w) = self.wait_histogram {
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
struct ProcessBatches {
    numbers: Vec<u64>,
    dropped: u64,
    ended: bool,
}

/// Builds a report from batches.
#[derive(Debug)]
pub struct Collector {
    service: String,
    since_ms: u64,
    all: Group,
    classes: BTreeMap<String, (Group, BTreeMap<String, Group>)>,
    entry_requests: Vec<RequestId>,
    agent_requests: Vec<RequestId>,
    processes: BTreeMap<String, ProcessBatches>,
}

impl Collector {
    /// Creates a collector for the requests of a service that ended at `since_ms` or later.
    pub fn new(service: &str, since_ms: u64) -> Self {
        Self {
            service: service.to_owned(),
            since_ms,
            all: Group::default(),
            classes: BTreeMap::new(),
            entry_requests: Vec::new(),
            agent_requests: Vec::new(),
            processes: BTreeMap::new(),
        }
    }

    /// Adds a batch.
    pub fn add(&mut self, name: &BatchName, batch: &Batch) {
        let batches = self.processes.entry(name.process.clone()).or_default();
        batches.numbers.push(name.number);
        batches.dropped += batch.dropped;
        batches.ended |= batch.last;
        for r in &batch.records {
            if r.service == self.service && r.ended_ms >= self.since_ms {
                self.add_record(r);
            }
        }
    }

    fn add_record(&mut self, r: &Record) {
        match r.side {
            Side::Agent => self.agent_requests.push(r.request),
            Side::Entry => {
                self.entry_requests.push(r.request);
                self.all.add(r);
                let (class, tenants) = self.classes.entry(r.class.clone()).or_default();
                class.add(r);
                tenants.entry(r.tenant.clone()).or_default().add(r);
            }
        }
    }

    /// Returns the report.
    pub fn finish(mut self) -> Report {
        self.entry_requests.sort_unstable();
        let tries = self.agent_requests.len() as u64;
        self.agent_requests.sort_unstable();
        self.agent_requests.dedup();
        let has_no_entry_record = |r: &&RequestId| self.entry_requests.binary_search(r).is_err();
        let agent_only = self
            .agent_requests
            .iter()
            .filter(has_no_entry_record)
            .count() as u64;
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
                .filter_map(|(p, batches)| gap(p, batches))
                .collect(),
        }
    }
}

fn gap(process: String, mut batches: ProcessBatches) -> Option<Gap> {
    batches.numbers.sort_unstable();
    batches.numbers.dedup();
    let missing: Vec<u64> = batches
        .numbers
        .windows(2)
        .flat_map(|pair| pair[0] + 1..pair[1])
        .collect();
    let is_complete = missing.is_empty() && batches.dropped == 0 && batches.ended;
    (!is_complete).then_some(Gap {
        process,
        missing,
        dropped: batches.dropped,
        ended: batches.ended,
    })
}

/// Reads a service's records from the object store and builds its report.
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
        // All requests in a batch of an earlier hour ended before `since_ms`.
        if (name.hour + 1) * HOUR_MS < since_ms {
            continue;
        }
        let Some(data) = objects.get(&object).await? else {
            continue;
        };
        let Some(batch) = wire::decode::<Batch>(&data) else {
            return Err(Error::InvalidResponse(format!("batch {object}")));
        };
        collector.add(&name, &batch);
    }
    Ok(collector.finish())
}
