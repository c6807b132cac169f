//! A record, and a batch of them.

use serde::{Deserialize, Serialize};
use wire::{Outcome, Reason, RequestId};

/// Which process wrote a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Side {
    /// The entry, which gave the caller its answer.
    Entry,
    /// An agent, which ran one try.
    Agent,
}

/// What became of a request, as one process saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// Which side wrote this.
    pub side: Side,
    /// The service.
    pub service: String,
    /// The tenant.
    pub tenant: String,
    /// The class.
    pub class: String,
    /// What became of it.
    pub outcome: Outcome,
    /// Why, if it wasn't answered.
    pub reason: Option<Reason>,
    /// The upstream that answered or was tried last.
    pub upstream: Option<String>,
    /// Tries, or the number of the try.
    pub attempts: u32,
    /// Time in an agent's queue, in milliseconds.
    pub queue_ms: u64,
    /// Time from receipt to the first byte, in milliseconds.
    pub first_ms: Option<u64>,
    /// Time from receipt to the end, in milliseconds.
    pub total_ms: u64,
    /// The deadline that it came with, in milliseconds.
    pub deadline_ms: u64,
    /// Tokens or bytes of the answer.
    pub count: u64,
    /// When it ended, in milliseconds since 1970.
    pub ended_ms: u64,
}

impl Record {
    /// Whether it was answered, but began after its deadline.
    pub fn is_late(&self) -> bool {
        self.first_ms.is_some_and(|ms| ms > self.deadline_ms)
    }
}

/// Records of one process, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Records dropped before this batch for want of room.
    pub dropped: u64,
    /// Whether the process ended with this batch.
    pub last: bool,
    /// The records.
    pub records: Vec<Record>,
}

/// Where a batch is kept: `records/<hour>/<process>/<number>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchName {
    /// Hours since 1970.
    pub hour: u64,
    /// The process, by name and incarnation.
    pub process: String,
    /// Number of the batch, from 0.
    pub number: u64,
}

/// Beginning of all batches' names.
pub const PREFIX: &str = "records/";
/// Milliseconds of an hour.
pub const HOUR_MS: u64 = 3_600_000;

impl BatchName {
    /// The object's name.
    pub fn to_object(&self) -> String {
        format!(
            "{PREFIX}{:07}/{}/{:08}",
            self.hour, self.process, self.number
        )
    }

    /// Reads an object's name.
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
