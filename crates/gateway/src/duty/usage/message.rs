//! What processes tell each other of usage, in datagrams.

use serde::{Deserialize, Serialize};

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A collector asks for requests that began to run.
    Ask(Ask),
    /// The answer.
    Told(Told),
}

/// A collector's question.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Names the question; the answer bears it.
    pub number: u32,
    /// Start of the process that is asked, as far as it is known.
    pub start: u32,
    /// Number of the first request that the collector hasn't got.
    pub from: u64,
    /// The last window whose report is through, as far as the collector knows.
    pub done: u64,
}

/// Requests of one start of a process that began to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The question's; 0 for what is told unasked, as by a process that ends.
    pub number: u32,
    /// Drawn at each start of a process.
    pub start: u32,
    /// Number of the first request that is told; later than asked if earlier ones are gone.
    pub from: u64,
    /// Number of the next request to come: those that didn't fit are asked for again.
    pub next: u64,
    /// Time of day at the process, in Unix milliseconds.
    pub time_of_day_ms: i64,
    /// Names of tenants that the entries mean.
    pub tenants: Vec<String>,
    /// The requests, by number.
    pub begun: Vec<BegunAt>,
}

/// One request that began to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunAt {
    /// How long ago, in milliseconds.
    pub ago_ms: u32,
    /// Place of its tenant among the names.
    pub tenant: u16,
}
