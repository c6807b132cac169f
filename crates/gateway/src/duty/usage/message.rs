//! Datagrams for usage reports, exchanged between processes.

use serde::{Deserialize, Serialize};

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A collector requests the requests that started to run.
    Ask(Query),
    /// The answer to [`Message::Ask`].
    Told(QueryAnswer),
}

/// A collector's query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Identifier of the query, repeated in the answer.
    pub number: u32,
    /// Identifier of the queried process's start, 0 if unknown.
    pub start: u32,
    /// Number of the first request that the collector doesn't have.
    pub from: u64,
    /// Last window whose report is done, as far as the collector knows.
    pub done: u64,
}

/// Requests that started to run during one start of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// Identifier of the query, 0 if sent without one, as by a process that exits.
    pub number: u32,
    /// Random identifier of the process's start.
    pub start: u32,
    /// Number of the first request in `begun`; higher than requested if earlier ones have been
    /// dropped.
    pub from: u64,
    /// Number that the next request will get. Requests that didn't fit are queried again.
    pub next: u64,
    /// Wall-clock time of the process, in Unix milliseconds.
    pub time_of_day_ms: i64,
    /// Names of the tenants that `begun` refers to.
    pub tenants: Vec<String>,
    /// The requests, ordered by number.
    pub begun: Vec<StartedRequest>,
}

/// A request that started to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedRequest {
    /// Time since it started, in milliseconds.
    pub ago_ms: u32,
    /// Index of its tenant in [`QueryAnswer::tenants`].
    pub tenant: u16,
}
