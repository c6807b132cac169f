//! Records and batches of records.

use serde::{Deserialize, Serialize};
use wire::{Outcome, Reason, RequestId};

/// Which process wrote a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Side {
    /// The entry, which sent the caller its response.
    Entry,
    /// An agent, which ran one attempt.
    Agent,
}

/// The result of a request, as seen by one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// Which kind of process wrote this record.
    pub side: Side,
    /// The service.
    pub service: String,
    /// The tenant.
    pub tenant: String,
    /// The class.
    pub class: String,
    /// The outcome.
    pub outcome: Outcome,
    /// The reason, if it wasn't answered.
    pub reason: Option<Reason>,
    /// The upstream that answered or was tried last.
    pub upstream: Option<String>,
    /// Number of attempts in an entry's record, number of the attempt in an agent's.
    pub attempts: u32,
    /// Time in an agent's queue, in milliseconds.
    pub queue_ms: u64,
    /// Time from receipt to the first byte, in milliseconds.
    pub first_ms: Option<u64>,
    /// Time from receipt to the end of the request, in milliseconds.
    pub total_ms: u64,
    /// Deadline with which the request came, in milliseconds.
    pub deadline_ms: u64,
    /// Tokens or bytes of the response.
    pub count: u64,
    /// Time when the request ended, in milliseconds since 1970.
    pub ended_ms: u64,
}

impl Record {
    /// Whether it was answered, but the response began after its deadline.
    pub fn is_late(&self) -> bool {
        self.first_ms.is_some_and(|ms| ms > self.deadline_ms)
    }
}

/// Consecutive records of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Number of records that were dropped before this batch because the buffer was full.
    pub dropped: u64,
    /// Whether this is the last batch before the process exits.
    pub last: bool,
    /// The records.
    pub records: Vec<Record>,
}

/// Name of a batch: `records/<hour>/<process>/<number>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchName {
    /// Hour of the write, in hours since 1970.
    pub hour: u64,
    /// Name and incarnation of the process.
    pub process: String,
    /// Number of the batch, from 0.
    pub number: u64,
}

/// Prefix of the names of all batches.
pub const PREFIX: &str = "records/";
/// Milliseconds per hour.
pub const HOUR_MS: u64 = 3_600_000;

impl BatchName {
    /// Returns the object's name.
    pub fn to_object(&self) -> String {
        format!(
            "{PREFIX}{:07}/{}/{:08}",
            self.hour, self.process, self.number
        )
    }

    /// Parses an object's name. Returns `None` for anything else.
    pub fn parse(name: &str) -> Option<Self> {
        let mut parts = name.strip_prefix(PREFIX)?.split('/');
        let hour = parts.next()?.parse().ok()?;
        let process = parts.next()?.to_owned();
        let number = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Self {
            hour,
            process,
            number,
        })
    }
}
