//! Computes the verdict of a run from the records of clients and upstreams.
//!
//! Reports of the system under test itself are not used.

use crate::check::{self, History};
use crate::client::{Call, CallResult};
use crate::mix::RequestKind;
use conf::Doc;
use serde::Serialize;
use wire::Outcome;

/// Counts of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Requests sent by clients.
    pub requests: u64,
    /// Complete answers that began within the deadline.
    pub served: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Complete answers that began after the deadline.
    pub delayed: u64,
    /// Requests refused as unknown, or without a valid answer.
    pub unknown: u64,
    /// Answers that belong to another request.
    pub crossed: u64,
    /// Incomplete answers that do not report an error.
    pub truncated: u64,
    /// Repeated runs of non-idempotent requests.
    pub double_runs: u64,
    /// Requests refused as not run that ran.
    pub false_not_run: u64,
    /// Requests that are in no report.
    pub lost_records: u64,
}

impl Verdict {
    /// Number of violated guarantees.
    pub fn violations(&self) -> u64 {
        self.crossed + self.truncated + self.double_runs + self.false_not_run
    }

    /// Adds the counts of another run.
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

/// Evaluates a history by the same rules as the `faults` command.
pub fn judge(h: &History, docs: &[Doc]) -> Verdict {
    let mut v = Verdict {
        requests: h.calls.len() as u64,
        crossed: check::crossed(h),
        truncated: check::truncated(h),
        double_runs: check::double_runs(h),
        false_not_run: check::false_not_run(h),
        ..Verdict::default()
    };
    for s in &h.calls {
        match &s.result {
            CallResult::Complete { .. } if is_late(s, docs) => v.delayed += 1,
            CallResult::Complete { .. } => v.served += 1,
            CallResult::Refused {
                outcome: Outcome::NotRun,
                ..
            } => v.refused += 1,
            CallResult::Refused { .. } | CallResult::Failed(_) => v.unknown += 1,
            CallResult::Truncated | CallResult::Crossed => {}
        }
    }
    v
}

fn is_late(s: &Call, docs: &[Doc]) -> bool {
    let doc = docs.iter().find(|d| d.service == s.request.service);
    let class = doc.and_then(|d| Some(d.class(d.class_by_name(s.request.class)?)));
    class
        .zip(s.first_byte)
        .is_some_and(|(c, first)| first > c.deadline)
}

/// Whether a request of the mix is non-idempotent.
pub fn is_non_idempotent(s: &Call) -> bool {
    matches!(&s.request.kind, RequestKind::Plain { method: "POST", .. })
}
