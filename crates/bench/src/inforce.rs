//! `inforce`: measures the time from `apply` until a document is in force in all processes.

use crate::deploy::{Deployment, admin_addr, reserve_subnet};
use crate::procs::build_binary;
use crate::scrape::document_versions;
use crate::site::{Options, Site};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between polls of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for a document to come into force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Results of the measurement.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Measured {
    /// Number of changes.
    pub changes: u32,
    /// Number of processes that had to apply each change.
    pub processes: usize,
    /// Median time from the end of `apply` until all processes had the document, in milliseconds.
    pub median_ms: u64,
    /// Longest such time in milliseconds.
    pub most_ms: u64,
    /// Reads of the table service per change, including polls.
    pub reads_per_change: f64,
    /// Reads per change that polling alone would cause in the same time.
    pub polls_per_change: f64,
}

/// Applies changes one after another with default settings and without requests, so that
/// processes learn of documents only by polling.
pub async fn run(changes: u32) -> io::Result<Measured> {
    let (subnet, _lock) = reserve_subnet()?;
    let mut options = Options::new(build_binary().await?, Deployment::Sleutelbos);
    options.subnet = subnet;
    options.limits = "{linger: 100ms}".to_owned();
    let mut site = Site::start(Deployment::Sleutelbos, options).await?;
    let doc = site.docs[1].clone();
    let text = site.documents()[1].clone();
    let mut admins: Vec<SocketAddr> = site.entries.iter().map(|e| admin_addr(e.addr)).collect();
    let own = site.workers.iter().filter(|w| w.service == doc.service);
    admins.extend(own.map(|w| admin_addr(w.upstream.agent)));
    let mut version = parse_version(&site.apply(&doc.service, &text, 0).await?.stderr);
    let mut times = Vec::new();
    let before = site.table.history().reads;
    let begun = Instant::now();
    for n in 0..changes {
        let text = format!("{text}# change {n}\n");
        let out = site.apply(&doc.service, &text, version).await?;
        version = parse_version(&out.stdout);
        let since = Instant::now();
        for admin in &admins {
            wait_in_force(*admin, &doc.service, version).await?;
        }
        times.push(since.elapsed().as_millis() as u64);
    }
    let reads = (site.table.history().reads - before) as f64 / f64::from(changes.max(1));
    let seconds = begun.elapsed().as_secs_f64() / f64::from(changes.max(1));
    let all = site.entries.len() + site.workers.len();
    site.stop().await?;
    times.sort_unstable();
    Ok(Measured {
        changes,
        processes: admins.len(),
        median_ms: times.get(times.len() / 2).copied().unwrap_or(0),
        most_ms: times.last().copied().unwrap_or(0),
        reads_per_change: reads,
        polls_per_change: seconds * all as f64 / 4.0,
    })
}

/// Parses the version from the output of `apply`, whether it accepted or refused the document.
fn parse_version(text: &str) -> u64 {
    let mut words = text
        .split_whitespace()
        .skip_while(|w| *w != "version")
        .skip(1);
    words.next().and_then(|w| w.parse().ok()).unwrap_or(0)
}

async fn wait_in_force(admin: SocketAddr, service: &str, version: u64) -> io::Result<()> {
    let until = Instant::now() + IN_FORCE_TIMEOUT;
    while Instant::now() < until {
        let seen = document_versions(admin).await?.versions;
        if seen.iter().any(|(s, v)| s == service && *v >= version) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(io::Error::other(
        "the document did not come into force in time",
    ))
}
