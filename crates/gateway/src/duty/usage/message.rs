//! Messages for usage reports, exchanged between processes: datagrams, and bodies of HTTP requests
//! for the requests that a process holds of others.

use platform::usage::ReportKey;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A collector requests the requests that started to run.
    Ask(Query),
    /// The answer to [`Message::Ask`].
    Told(QueryAnswer),
    /// A collector asks whether a process holds requests of other processes.
    AskHeld,
    /// The answer to [`Message::AskHeld`]: the number of process starts whose requests it holds.
    Held(u32),
}

/// Set in the number of a query whose sender reads [`QueryAnswer::complete_ms_ago`]. Processes of
/// former versions can't decode answers that have it; they repeat the number unchanged.
pub const READS_COMPLETE: u32 = 1 << 31;

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
    /// Time since all requests that were sent are below number `next` or didn't run, in
    /// milliseconds. `None` from and for processes of former versions: nothing is known of this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub complete_ms_ago: Option<u32>,
}

/// A request that started to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedRequest {
    /// Time since it started, in milliseconds.
    pub ago_ms: u32,
    /// Index of its tenant in [`QueryAnswer::tenants`].
    pub tenant: u16,
}

/// The requests of one start of a process that another process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLog {
    /// Address of the process.
    pub ip: IpAddr,
    /// Identifier of its start.
    pub start: u32,
    /// Number of the first request that isn't known.
    pub next: u64,
}

/// Requests in a row of the store, written by an exiting process whose requests no other process
/// confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredLogs {
    /// Time by the hosts' agreed clock that the ages in the logs are relative to, in Unix
    /// milliseconds.
    pub unix_ms: i64,
    /// The requests.
    pub logs: Vec<HeldLog>,
}

/// Consecutive requests of one start of a process, held by another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLog {
    /// Address of the process that ran them.
    pub ip: IpAddr,
    /// Identifier of its start.
    pub start: u32,
    /// Number of the first request in `begun`.
    pub from: u64,
    /// Time since the process's last message, in milliseconds.
    pub received_ms_ago: u32,
    /// Always `None`. Processes of former versions send the time of their last poll here, at which
    /// requests may have been open.
    pub polled_ms_ago: Option<u32>,
    /// Names of the tenants that `begun` refers to.
    pub tenants: Vec<String>,
    /// The requests, ordered by number.
    pub begun: Vec<StartedRequest>,
    /// Time since all requests that were sent are known or didn't run, in milliseconds; `None` if
    /// that isn't known, and for processes of former versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub complete_ms_ago: Option<u32>,
}

/// The last report that a process knows to be decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastDecision {
    /// Time since the process started, in milliseconds. It knows no reports of an earlier start.
    pub running_ms: u64,
    /// The report; `None` if it knows none.
    pub report: Option<ReportKey>,
}
