//! Log lines: one typed event a line, in JSON, on stderr.
//!
//! simplelog writes the lines; it has no JSON form of its own, so its own
//! prefixes are off and the whole line is the event.

use log::{Level, LevelFilter};
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

static PROCESS: OnceLock<String> = OnceLock::new();

/// Starts logging for this process. A second call changes nothing.
pub fn init(process: &str) {
    if PROCESS.set(process.to_owned()).is_err() {
        return;
    }
    let cfg = ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("observe")
        .build();
    // Another logger may be set in a test; its lines go there then.
    let _ = WriteLogger::init(LevelFilter::Info, cfg, std::io::stderr());
}

/// Something that operators may want to know.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process serves on its addresses.
    Started {
        /// Where callers or peers connect.
        listen: String,
        /// Where health and metrics are.
        admin: String,
    },
    /// The process takes no new work and lets running requests end.
    Stopping {
        /// Why: a signal, or its host is leaving.
        why: &'a str,
    },
    /// The process ends.
    Stopped {
        /// Requests that were still running when the time was up.
        unfinished: u64,
    },
    /// A request has its final answer.
    Request {
        /// The request's id.
        request: String,
        /// The service.
        service: &'a str,
        /// The tenant.
        tenant: &'a str,
        /// The class.
        class: &'a str,
        /// What became of it.
        outcome: String,
        /// Why, if it wasn't answered.
        reason: Option<String>,
        /// Upstream that answered.
        upstream: Option<&'a str>,
        /// Tries.
        attempts: u32,
        /// Time in an agent's queue, in milliseconds.
        queue_ms: u64,
        /// Time to the first byte, in milliseconds.
        first_ms: Option<u64>,
        /// Time to the end, in milliseconds.
        total_ms: u64,
    },
    /// A document is in force in this process.
    DocInForce {
        /// The service.
        service: &'a str,
        /// Its version.
        version: u64,
    },
    /// A committed document can't be read. The one before stays in force.
    DocInvalid {
        /// The service.
        service: &'a str,
        /// Its version.
        version: u64,
    },
    /// This process holds a duty now.
    LeaseTaken {
        /// The service.
        service: &'a str,
        /// The lease's epoch.
        epoch: u64,
    },
    /// This process no longer holds a duty.
    LeaseLost {
        /// The service.
        service: &'a str,
        /// The epoch it held.
        epoch: u64,
    },
    /// The planner committed an order.
    OrderWritten {
        /// The service.
        service: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// The order number.
        order: u64,
        /// Why.
        why: &'a str,
    },
    /// An agent gave an order to its engine.
    OrderGiven {
        /// The upstream.
        upstream: &'a str,
        /// The order number.
        order: u64,
    },
    /// The engine is as wanted.
    OrderDone {
        /// The upstream.
        upstream: &'a str,
        /// The order number.
        order: u64,
    },
    /// The upstream isn't usable.
    UpstreamBroken {
        /// The upstream.
        upstream: &'a str,
        /// What it did.
        why: String,
    },
    /// The upstream broke off or answered nonsense for one request.
    BadAnswer {
        /// The request's id.
        request: String,
        /// The upstream.
        upstream: &'a str,
        /// What was wrong.
        why: String,
    },
    /// A claim was given up because its write's outcome can't be told.
    ClaimGivenUp {
        /// The request's id.
        request: String,
        /// The tenant.
        tenant: &'a str,
    },
    /// Records were dropped for want of room.
    RecordsDropped {
        /// How many.
        count: u64,
    },
}

impl Event<'_> {
    fn level(&self) -> Level {
        match self {
            Self::DocInvalid { .. }
            | Self::LeaseLost { .. }
            | Self::UpstreamBroken { .. }
            | Self::BadAnswer { .. }
            | Self::ClaimGivenUp { .. } => Level::Warn,
            Self::RecordsDropped { .. } => Level::Error,
            _ => Level::Info,
        }
    }
}

#[derive(Serialize)]
struct Line<'a> {
    ts_ms: u64,
    level: Level,
    process: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Writes an event to the log.
pub fn emit(event: &Event<'_>) {
    let level = event.level();
    if !log::log_enabled!(level) {
        return;
    }
    let process = PROCESS.get().map_or("", String::as_str);
    let line = Line {
        ts_ms: now_ms(),
        level,
        process,
        event,
    };
    let text = serde_json::to_string(&line).expect("events always encode");
    log::log!(level, "{text}");
}

/// Milliseconds since 1970, for people and records; no decision rests on it.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
