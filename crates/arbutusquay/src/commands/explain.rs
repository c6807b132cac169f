//! `explain`: prints the log lines of several processes about a request or a usage window.
//!
//! The lines are in order of time. For a request, they include what the processes that handled it
//! logged meanwhile about its upstreams and their dependencies.

use crate::args::ExplainArgs;
use crate::exit::Exit;
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

/// How long before a request's first line other lines are included, in milliseconds. A lost
/// dependency is logged within a second, and processes act on state that is up to a few seconds
/// old.
const CONTEXT_BEFORE_MS: u64 = 5000;
/// How long after a request's last line a restart of its upstream is included, in milliseconds.
/// The upstream's connections break first. Then it starts and writes its row, and the row is
/// read.
const RESTART_AFTER_MS: u64 = 5000;
/// How long before a request's last line other lines about the same fingerprint are included, in
/// milliseconds: as long as hosts remember crashes of upstreams.
const CRASH_HISTORY_MS: u64 = 3_600_000;
/// Fields that are printed at the start of a line or are the same in all lines.
const LEADING: [&str; 5] = ["ts_ms", "level", "process", "event", "request"];

/// A parsed log line.
#[derive(Debug)]
struct Line {
    at_ms: u64,
    process: String,
    event: String,
    fields: Map<String, Value>,
}

/// How long after a request's last line a change of the configuration is included, in
/// milliseconds. A removed key is refused from that change on.
const CONFIG_AFTER_MS: u64 = 10_000;
/// Prefix of an id that is the number of a usage window.
const WINDOW_PREFIX: &str = "window:";

/// Runs the command.
pub fn run(args: &ExplainArgs) -> Exit {
    let mut lines = Vec::new();
    for file in &args.files {
        if let Err(e) = read(file, &mut lines) {
            eprintln!("{}: {e}", file.display());
            return Exit::Usage;
        }
    }
    lines.sort_by_key(|l| l.at_ms);
    if let Some(window) = args.id.strip_prefix(WINDOW_PREFIX) {
        return run_window(window, &lines);
    }
    let own_lines: Vec<&Line> = lines.iter().filter(|l| l.is_of_request(&args.id)).collect();
    let (Some(first), Some(last)) = (own_lines.first(), own_lines.last()) else {
        eprintln!("no line about request {}", args.id);
        return Exit::Refused;
    };
    let from = first.at_ms.saturating_sub(CONTEXT_BEFORE_MS);
    let until = last.at_ms;
    let printed = lines.iter().filter(|l| {
        let until = match l.event.as_str() {
            "upstream_restarted" => until.saturating_add(RESTART_AFTER_MS),
            "config_in_force" => until.saturating_add(CONFIG_AFTER_MS),
            _ => until,
        };
        let is_near = (from..=until).contains(&l.at_ms);
        l.is_of_request(&args.id)
            || (is_near && is_context(l, &own_lines))
            || is_about_same_fingerprint(l, &own_lines)
            || is_about_same_part(l, &own_lines)
            || is_of_same_stream(l, &own_lines)
    });
    for line in printed {
        println!("{}", line.text(first.at_ms));
    }
    Exit::Done
}

/// Prints the lines about a usage window, with the lines about the reporting duty and its
/// dependencies during that time. For a window without lines, that is the time between the lines
/// about earlier and later windows.
fn run_window(text: &str, lines: &[Line]) -> Exit {
    let Ok(window) = text.parse::<u64>() else {
        eprintln!("{text}: not a window number");
        return Exit::Usage;
    };
    let window_lines: Vec<(u64, u64)> = lines
        .iter()
        .filter_map(|l| Some((l.fields.get("window")?.as_u64()?, l.at_ms)))
        .collect();
    let times = |is_near: &dyn Fn(u64) -> bool| {
        let near = window_lines.iter().filter(|(w, _)| is_near(*w));
        near.map(|(_, at)| *at).collect::<Vec<_>>()
    };
    let own_times = times(&|w| w == window);
    let before = times(&|w| w < window).into_iter().max();
    let after = times(&|w| w > window).into_iter().min();
    let from = own_times
        .iter()
        .min()
        .map(|at| at.saturating_sub(CONTEXT_BEFORE_MS));
    let until = own_times.iter().max().copied();
    let (Some(from), Some(until)) = (from.or(before), until.or(after)) else {
        eprintln!("no line about window {window}");
        return Exit::Refused;
    };
    let printed = lines
        .iter()
        .filter(|l| (from..=until).contains(&l.at_ms))
        .filter(|l| l.is_of_window(window) || is_about_usage(l));
    for line in printed {
        println!("{}", line.text(from));
    }
    Exit::Done
}

/// Returns whether a line is about the duty to report usage or about its dependencies.
fn is_about_usage(line: &Line) -> bool {
    match line.event.as_str() {
        "lease_taken" => line.field("service") == Some("usage"),
        "lease_not_taken" => line.field("duty") == Some("usage"),
        "usage_lost" | "usage_collecting" | "usage_fetched" | "usage_handed_over"
        | "usage_not_sent" | "usage_poll_ignored" | "peers_changed" | "dependency_lost"
        | "dependency_back" | "stopping" | "stopped" | "started" => true,
        _ => false,
    }
}

fn read(path: &Path, out: &mut Vec<Line>) -> std::io::Result<()> {
    for text in BufReader::new(File::open(path)?).lines() {
        // Lines of other programs, such as the supervisor, are skipped.
        if let Some(line) = Line::parse(&text?) {
            out.push(line);
        }
    }
    Ok(())
}

/// Returns whether a line of one of the request's processes is about an upstream of the request or
/// about a dependency of the process.
fn is_context(line: &Line, own_lines: &[&Line]) -> bool {
    let is_process = own_lines.iter().any(|o| o.process == line.process);
    let upstream = line.field("upstream");
    let is_upstream =
        upstream.is_some() && own_lines.iter().any(|o| o.field("upstream") == upstream);
    match line.event.as_str() {
        "upstream_suspended" | "upstream_leaving" | "upstream_restarted" => {
            is_process && is_upstream
        }
        "upstream_limit" | "upstream_at_limit" | "upstream_pauses" | "upstream_states_leaving" => {
            is_process && (is_upstream || own_lines.iter().any(|o| o.is_refused_by_statement()))
        }
        "dependency_lost" | "dependency_back" | "config_in_force" | "stopping" | "reloaded"
        | "lines_dropped" => is_process,
        _ => false,
    }
}

/// Returns whether a line is the end of another attempt at the same stream: the one that began it,
/// or one that took it up.
fn is_of_same_stream(line: &Line, own_lines: &[&Line]) -> bool {
    let began_as = |l: &Line| l.field("resumes").or(l.field("request")).map(str::to_owned);
    let own = own_lines.iter().filter(|o| o.event == "answered");
    let is_same = |o: &&&Line| began_as(line).is_some() && began_as(o) == began_as(line);
    line.event == "answered" && own.filter(is_same).count() > 0
}

/// Returns whether a line is about crashes of upstreams during requests with the same fingerprint,
/// or about the decision to block such requests or to allow them again.
fn is_about_same_fingerprint(line: &Line, own_lines: &[&Line]) -> bool {
    let is_crash_event = matches!(
        line.event.as_str(),
        "connection_broke"
            | "upstream_went_dark"
            | "work_held_back"
            | "work_released"
            | "work_tried"
    );
    let fingerprint = line.field("work");
    let until = own_lines.last().map_or(0, |last| last.at_ms);
    let from = until.saturating_sub(CRASH_HISTORY_MS);
    let is_same = fingerprint.is_some() && own_lines.iter().any(|o| o.field("work") == fingerprint);
    is_crash_event && is_same && (from..=until).contains(&line.at_ms)
}

/// Returns whether a line is about the part of prompts by which the request was rejected: crashes of
/// upstreams during prompts with it, its trials, or the decision to block it or to allow it again.
fn is_about_same_part(line: &Line, own_lines: &[&Line]) -> bool {
    let Some(part) = own_lines.iter().find_map(|own| own.field("blocked_part")) else {
        return false;
    };
    let until = own_lines.last().map_or(0, |last| last.at_ms);
    let from = until.saturating_sub(CRASH_HISTORY_MS);
    let is_about = match line.event.as_str() {
        "connection_broke" | "upstream_went_dark" => {
            let parts = line.field("parts").unwrap_or_default();
            parts.split(',').any(|id| id == part)
        }
        "part_held_back" | "part_released" => line.field("part") == Some(part),
        "work_tried" => line.field("work") == Some(&format!("part {part}")),
        _ => false,
    };
    is_about && (from..=until).contains(&line.at_ms)
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let text_field = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
        Some(Self {
            at_ms: fields.get("ts_ms")?.as_u64()?,
            process: text_field("process")?,
            event: text_field("event")?,
            fields,
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn is_of_request(&self, id: &str) -> bool {
        self.field("request") == Some(id)
    }

    /// Returns whether a request was refused because of what upstreams state of themselves.
    fn is_refused_by_statement(&self) -> bool {
        matches!(
            self.field("reason"),
            Some("upstream_limit" | "upstream_pause")
        )
    }

    fn is_of_window(&self, window: u64) -> bool {
        self.fields.get("window").and_then(Value::as_u64) == Some(window)
    }

    /// Returns the line as it is printed, with the time since `first_ms`.
    fn text(&self, first_ms: u64) -> String {
        let offset = self.at_ms as f64 - first_ms as f64;
        let mut out = format!("{offset:+8.0} ms  {}  {}", self.process, self.event);
        let present = self.fields.iter().filter(|(_, v)| !v.is_null());
        for (name, value) in present.filter(|(n, _)| !LEADING.contains(&n.as_str())) {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            out.push_str(&format!(" {name}={value}"));
        }
        out
    }
}
