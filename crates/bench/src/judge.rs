//! Compares what callers got with what upstreams saw. The product is not asked.

use crate::caller::{Got, Sent};
use crate::mix::What;
use crate::site::{Site, UpstreamStandin};
use conf::Doc;
use fakes::plain::Run;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wire::Outcome;

/// Counts of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Requests that callers made.
    pub requests: u64,
    /// Answered in whole, begun within the deadline.
    pub served: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Answered in whole, begun after the deadline.
    pub delayed: u64,
    /// Refused as unknown, or no answer at all.
    pub unknown: u64,
    /// Answers to something else.
    pub crossed: u64,
    /// Answers that aren't whole and don't say so.
    pub truncated: u64,
    /// Non-idempotent calls that ran more than once.
    pub double_runs: u64,
    /// Requests refused as not run that ran.
    pub false_not_run: u64,
    /// Requests that callers made and no report has.
    pub lost_records: u64,
}

impl Verdict {
    /// Violations of what must always hold.
    pub fn violations(&self) -> u64 {
        self.crossed + self.truncated + self.double_runs + self.false_not_run
    }

    /// Adds another run's counts.
    pub fn add(&mut self, o: &Self) {
        self.requests += o.requests;
        self.served += o.served;
        self.refused += o.refused;
        self.delayed += o.delayed;
        self.unknown += o.unknown;
        self.crossed += o.crossed;
        self.truncated += o.truncated;
        self.double_runs += o.double_runs;
        self.false_not_run += o.false_not_run;
        self.lost_records += o.lost_records;
    }
}

/// What the upstreams of a site saw.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Ids of requests that any upstream took.
    pub ids: BTreeSet<String>,
    /// Runs of plain calls, with the service and class that each belongs to.
    pub runs: Vec<SeenRun>,
}

/// A run of a plain call.
#[derive(Debug, Clone)]
pub struct SeenRun {
    /// The service.
    pub service: String,
    /// Whether the document calls it idempotent.
    pub idempotent: bool,
    /// The run, as the service saw it.
    pub run: Run,
}

impl Seen {
    /// Reads the stand-ins' histories.
    pub fn read(site: &Site) -> Self {
        let mut seen = Self::default();
        for w in &site.workers {
            match &w.standin {
                UpstreamStandin::Engine(e) => {
                    // An engine sees the id with the number of the try.
                    let ids = e.history().runs.into_iter();
                    seen.ids
                        .extend(ids.filter_map(|r| Some(r.id.split_once('-')?.0.to_owned())));
                }
                UpstreamStandin::Plain(p) => {
                    let doc = site.docs.iter().find(|d| d.service == w.service);
                    for run in p.history() {
                        seen.add_run(&w.service, doc, run);
                    }
                }
            }
        }
        seen
    }

    fn add_run(&mut self, service: &str, doc: Option<&Doc>, run: Run) {
        self.ids.insert(run.request.clone());
        let (method, path) = run.call.split_once(' ').unwrap_or(("", ""));
        let class = doc.and_then(|d| Some(d.class(d.class_routed(method, path)?)));
        let idempotent = class.is_none_or(|c| c.idempotent);
        self.runs.push(SeenRun {
            service: service.to_owned(),
            idempotent,
            run,
        });
    }

    /// Non-idempotent calls that ran more than once: by the caller's key, or by
    /// the request's id where there was none.
    pub fn double_runs(&self) -> u64 {
        let mut times: BTreeMap<(String, String), u64> = BTreeMap::new();
        for r in self.runs.iter().filter(|r| !r.idempotent) {
            let name = if r.run.key.is_empty() {
                format!("request {}", r.run.request)
            } else {
                format!("key {}", r.run.key)
            };
            *times.entry((r.service.clone(), name)).or_default() += 1;
        }
        times.values().map(|n| n.saturating_sub(1)).sum()
    }
}

/// Judges a run.
pub fn judge(sent: &[Sent], seen: &Seen, docs: &[Doc]) -> Verdict {
    let mut v = Verdict {
        double_runs: seen.double_runs(),
        ..Verdict::default()
    };
    for s in sent {
        v.requests += 1;
        match &s.got {
            Got::Whole { .. } if is_late(s, docs) => v.delayed += 1,
            Got::Whole { .. } => v.served += 1,
            Got::Refused {
                outcome: Outcome::NotRun,
                ..
            } => {
                v.refused += 1;
                let ran = s.id.as_ref().is_some_and(|id| seen.ids.contains(id));
                v.false_not_run += u64::from(ran);
            }
            Got::Refused { .. } | Got::Nothing(_) => v.unknown += 1,
            Got::Truncated => v.truncated += 1,
            Got::Crossed => v.crossed += 1,
        }
    }
    v
}

fn is_late(s: &Sent, docs: &[Doc]) -> bool {
    let doc = docs.iter().find(|d| d.service == s.ask.service);
    let class = doc.and_then(|d| Some(d.class(d.class_named(s.ask.class)?)));
    class
        .zip(s.first)
        .is_some_and(|(c, first)| first > c.deadline)
}

/// Whether a request is a non-idempotent call of the mix.
pub fn is_non_idempotent(s: &Sent) -> bool {
    matches!(&s.ask.what, What::Plain { method: "POST", .. })
}
