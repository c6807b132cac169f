//! Writes events to stdout, one JSON object per line.
//!
//! The lines are written through simplelog. It has no JSON format, so its prefixes are turned off
//! and the message is the whole line.

use crate::event::Event;
use crate::sink::{Sink, SinkWriter};
use log::{Level, LevelFilter};
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static PROCESS_NAME: OnceLock<String> = OnceLock::new();
static SINK: OnceLock<&'static Sink> = OnceLock::new();
/// Maximum wait for the last lines to be written when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts logging for this process. Later calls have no effect.
pub fn init(process: &str) {
    if PROCESS_NAME.set(process.to_owned()).is_err() {
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
    let sink: &'static Sink = Box::leak(Box::default());
    let _ = SINK.set(sink);
    std::thread::spawn(|| sink.write_to(&mut std::io::stdout()));
    // Fails if a test has set another logger, which then gets the lines.
    let _ = WriteLogger::init(LevelFilter::Info, cfg, SinkWriter(sink));
}

/// Waits until all lines so far are written, for a bounded time.
pub fn flush() {
    if let Some(sink) = SINK.get() {
        sink.flush(FLUSH_TIMEOUT);
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
    if let Some(sink) = SINK.get() {
        if !sink.admit(event.kind(), Instant::now()) {
            return;
        }
        for dropped in sink.take_dropped() {
            let (kind, count) = (dropped.kind, dropped.count);
            write(&Event::LinesDropped { kind, count });
        }
    }
    write(event);
}

fn write(event: &Event<'_>) {
    let level = event.level();
    let process = PROCESS_NAME.get().map_or("", String::as_str);
    let line = Line {
        ts_ms: now_ms(),
        level,
        process,
        event,
    };
    let text = serde_json::to_string(&line).expect("events always encode");
    log::log!(level, "{text}");
}

/// Milliseconds since 1970. Only for display and records, not for decisions.
pub fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}
