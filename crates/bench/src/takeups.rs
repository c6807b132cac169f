//! Counts streams that clients took up again after all hosts were killed, from their logs.
//!
//! A line of a log has a time in seconds, a host and an
//! event in JSON. Other lines are passed over.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Time after a kill in which requests are counted, in seconds.
pub const COUNTED_TIME_S: f64 = 6.0;
/// Status of a response that began.
const OK: u16 = 200;
/// Reason of an attempt without one.
const NO_REASON: &str = "none";

/// An event of a host, with the fields that are needed here.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Answered {
    /// Time at which it was logged, in seconds.
    #[serde(skip)]
    pub at: f64,
    event: String,
    #[serde(default)]
    route: Option<String>,
    #[serde(default)]
    status: Option<u16>,
    #[serde(default)]
    reason: Option<String>,
    #[serde(default)]
    resumes: Option<String>,
    #[serde(default)]
    resumes_after: Option<u64>,
    #[serde(default)]
    origin: Option<String>,
    #[serde(default)]
    origin_ms: Option<u64>,
}

impl Answered {
    /// Parses a line of a log; `None` for other events and lines.
    fn parse(line: &str) -> Option<Self> {
        let (at, rest) = line.trim_start().split_once(' ')?;
        let json = &rest[rest.find('{')?..];
        let event: Self = serde_json::from_str(json).ok()?;
        let at = at.parse().ok()?;
        (event.event == "answered").then_some(Self { at, ..event })
    }

    fn began(&self) -> bool {
        self.status == Some(OK)
    }
}

/// Streams and requests within [`COUNTED_TIME_S`] of a kill.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Time of the kill, in seconds.
    pub kill_s: f64,
    /// Distinct streams that clients took up again.
    pub taken_up: usize,
    /// Those that went on, by how their origin was known.
    pub went_on: BTreeMap<String, usize>,
    /// Those of which no attempt went on, by the reason of the last one.
    pub rejected: BTreeMap<String, usize>,
    /// Share of streams that went on, if there were any.
    pub went_on_share: Option<f64>,
    /// New requests of the routes whose streams were taken up again.
    pub new: usize,
    /// Those that began.
    pub new_began: usize,
    /// Share of new requests that began, if there were any.
    pub new_share: Option<f64>,
    /// Ages of the streams that went on, in milliseconds, ascending.
    pub ages_ms: Vec<u64>,
}

/// Reads the events of a log that are counted.
pub fn read(log: &str) -> Vec<Answered> {
    log.lines().filter_map(Answered::parse).collect()
}

/// Counts streams after each kill, whose times are in seconds.
pub fn count(events: &[Answered], kills: &[f64]) -> Vec<Counts> {
    let resumed = events.iter().filter(|e| e.resumes.is_some());
    let routes: BTreeSet<&str> = resumed.filter_map(|e| e.route.as_deref()).collect();
    let after = |kill_s: f64| count_after(events, &routes, kill_s);
    kills.iter().copied().map(after).collect()
}

fn count_after(events: &[Answered], routes: &BTreeSet<&str>, kill_s: f64) -> Counts {
    let mut counts = Counts {
        kill_s,
        ..Counts::default()
    };
    let times = kill_s..=kill_s + COUNTED_TIME_S;
    // The event that decides for each stream: the first attempt that went on, else the last one.
    let mut streams: BTreeMap<&str, &Answered> = BTreeMap::new();
    for event in events.iter().filter(|e| times.contains(&e.at)) {
        match &event.resumes {
            Some(stream) => {
                let decides = streams.entry(stream).or_insert(event);
                if !decides.began() {
                    *decides = event;
                }
            }
            // Streams whose clients name no attempt can't be told apart.
            None if event.resumes_after.is_some() => {}
            None if event.route.as_deref().is_some_and(|r| routes.contains(r)) => {
                counts.new += 1;
                counts.new_began += usize::from(event.began());
            }
            None => {}
        }
    }
    counts.taken_up = streams.len();
    for event in streams.values() {
        let (counted, key) = match event.began() {
            true => (&mut counts.went_on, &event.origin),
            false => (&mut counts.rejected, &event.reason),
        };
        let key = key.clone().unwrap_or_else(|| NO_REASON.to_owned());
        *counted.entry(key).or_default() += 1;
        if event.began() {
            counts.ages_ms.extend(event.origin_ms);
        }
    }
    counts.ages_ms.sort_unstable();
    counts.went_on_share = share(counts.went_on.values().sum(), counts.taken_up);
    counts.new_share = share(counts.new_began, counts.new);
    counts
}

fn share(part: usize, of: usize) -> Option<f64> {
    (of > 0).then(|| part as f64 / of as f64)
}
