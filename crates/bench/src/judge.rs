//! Compares what clients got with what upstreams saw. The product is not asked.

use crate::check::{self, History};
use crate::client::{Call, CallResult};
use crate::mix::RequestKind;
use conf::Doc;
use serde::Serialize;
use wire::Outcome;

/// Counts of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Requests that clients made.
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
    /// Requests that clients made and no report has.
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

/// Judges a run by the same rules as the faults bench.
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

/// Whether a request is a non-idempotent call of the mix.
pub fn is_non_idempotent(s: &Call) -> bool {
    matches!(&s.request.kind, RequestKind::Plain { method: "POST", .. })
}
