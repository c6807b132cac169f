//! `explain`: a request's way through the logs of several processes.
//!
//! Prints, in order of time, each line about the request, and what the processes
//! that handled it learned meanwhile of its upstreams and of their dependencies.

use crate::args::ExplainArgs;
use crate::exit::Exit;
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

/// How long before a request's first line other lines may explain it, in
/// milliseconds: a lost dependency is told of within a second, and bounds on what
/// a process believes are a few seconds.
const BEFORE_MS: u64 = 5000;
/// How long after its last line the line may stand that its upstream has started again,
/// in milliseconds: the upstream's connections end first, then it starts, writes its row,
/// and that is read.
const RESTART_WITHIN_MS: u64 = 5000;
/// How long before a request's first line lines about the same work may stand, in
/// milliseconds: as long as hosts remember what ends upstreams.
const WORK_BEFORE_MS: u64 = 3_600_000;
/// Fields that stand at the beginning of a line or are the same on all.
const LEADING: [&str; 5] = ["ts_ms", "level", "process", "event", "request"];

/// A line of a log.
#[derive(Debug)]
struct Line {
    at_ms: u64,
    process: String,
    event: String,
    fields: Map<String, Value>,
}

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
    let own: Vec<&Line> = lines.iter().filter(|l| l.is_about(&args.id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        eprintln!("no line about request {}", args.id);
        return Exit::Refused;
    };
    let from = first.at_ms.saturating_sub(BEFORE_MS);
    let until = last.at_ms;
    let shown = lines.iter().filter(|l| {
        let until = match l.event.as_str() {
            "upstream_restarted" => until.saturating_add(RESTART_WITHIN_MS),
            _ => until,
        };
        let is_near = (from..=until).contains(&l.at_ms);
        l.is_about(&args.id) || (is_near && explains(l, &own)) || tells_of_work(l, &own)
    });
    for line in shown {
        println!("{}", line.text(first.at_ms));
    }
    Exit::Done
}

fn read(path: &Path, out: &mut Vec<Line>) -> std::io::Result<()> {
    for text in BufReader::new(File::open(path)?).lines() {
        // What isn't one of our lines, such as a note of the supervisor's, is
        // passed over.
        if let Some(line) = Line::parse(&text?) {
            out.push(line);
        }
    }
    Ok(())
}

/// Whether a line that isn't about the request tells what its process believed of
/// an upstream that the request met, or of a dependency.
fn explains(line: &Line, own: &[&Line]) -> bool {
    let is_process = own.iter().any(|o| o.process == line.process);
    let upstream = line.field("upstream");
    let is_upstream = upstream.is_some() && own.iter().any(|o| o.field("upstream") == upstream);
    match line.event.as_str() {
        "upstream_suspended" | "upstream_leaving" | "upstream_restarted" => {
            is_process && is_upstream
        }
        "dependency_lost" | "dependency_back" | "config_in_force" | "stopping" | "reloaded"
        | "lines_dropped" => is_process,
        _ => false,
    }
}

/// Whether a line tells of the same work that upstreams ended under it, or what was decided.
fn tells_of_work(line: &Line, own: &[&Line]) -> bool {
    let is_told = matches!(
        line.event.as_str(),
        "connection_broke"
            | "upstream_went_dark"
            | "work_held_back"
            | "work_released"
            | "work_tried"
    );
    let work = line.field("work");
    let until = own.last().map_or(0, |last| last.at_ms);
    let from = until.saturating_sub(WORK_BEFORE_MS);
    let is_same = work.is_some() && own.iter().any(|o| o.field("work") == work);
    is_told && is_same && (from..=until).contains(&line.at_ms)
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let word = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
        Some(Self {
            at_ms: fields.get("ts_ms")?.as_u64()?,
            process: word("process")?,
            event: word("event")?,
            fields,
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn is_about(&self, id: &str) -> bool {
        self.field("request") == Some(id)
    }

    /// The line as it is printed, with the time since the request's first line.
    fn text(&self, first_ms: u64) -> String {
        let offset = self.at_ms as f64 - first_ms as f64;
        let mut out = format!("{offset:+8.0} ms  {}  {}", self.process, self.event);
        let told = self.fields.iter().filter(|(_, v)| !v.is_null());
        for (name, value) in told.filter(|(n, _)| !LEADING.contains(&n.as_str())) {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            out.push_str(&format!(" {name}={value}"));
        }
        out
    }
}
