//! `inforce`: the time from `apply` until a document is in force everywhere.

use crate::deploy::{Deployment, admin_addr, reserve_subnet};
use crate::procs::build_binary;
use crate::scrape::document_versions;
use crate::site::{Options, Site};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for a document to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);

/// RequestKind was measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Measured {
    /// Changes made.
    pub changes: u32,
    /// Processes that had to follow each.
    pub processes: usize,
    /// Median time until all had it, in milliseconds, from the end of `apply`.
    pub median_ms: u64,
    /// Longest such time.
    pub most_ms: u64,
    /// Reads of the table service for each change, polls included.
    pub reads_per_change: f64,
    /// Reads that the polls alone would have cost in that time.
    pub polls_per_change: f64,
}

/// Applies changes one after another with the default polls and no requests, so
/// that nothing but the polls brings documents to processes.
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

/// The version in what `apply` said, whether it was accepted or refused.
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
    Err(io::Error::other("a document didn't come into force"))
}
