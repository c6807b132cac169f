//! `outage`: what is served before, in and after an outage of the table service
//! and the object store, and how hard their recovery is hit.

use crate::caller::{Caller, Got, Sent};
use crate::deploy::{Deployment, free_net};
use crate::judge::is_non_idempotent;
use crate::mix::Mix;
use crate::procs::build_binary;
use crate::site::{Options, Site};
use fakes::Faults;
use fakes::clock::now_ms;
use fakes::serve::FakeServer;
use serde::Serialize;
use std::io;
use std::time::Duration;
use tokio::task::JoinSet;
use wire::Outcome;

/// Requests a second.
const RATE: u32 = 30;
/// Time between counts of the platform's calls.
const COUNT: Duration = Duration::from_secs(1);

/// One part of the run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Part {
    /// Requests that may be repeated.
    pub idempotent: u64,
    /// Those of them that were answered.
    pub idempotent_answered: u64,
    /// Requests that may not be repeated.
    pub non_idempotent: u64,
    /// Those of them that were answered.
    pub non_idempotent_answered: u64,
    /// Those of them that were refused as not run.
    pub non_idempotent_not_run: u64,
    /// Most calls of the table service and writes of the object store in a
    /// second, failed ones not counted.
    pub most_platform_calls: u64,
}

/// What was measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Measured {
    /// Before the outage.
    pub before: Part,
    /// In it.
    pub during: Part,
    /// After it, as long as before.
    pub after: Part,
    /// Requests without a record at the end.
    pub lost_records: u64,
}

/// Runs with an outage of so many seconds.
pub async fn run(seconds: u64) -> io::Result<Measured> {
    let (net, _lock) = free_net()?;
    let mut options = Options::new(build_binary().await?, Deployment::Sleutelbos);
    options.net = net;
    options.limits = "{linger: 100ms, record_flush: 2s}".to_owned();
    let mut site = Site::start(Deployment::Sleutelbos, options).await?;
    let around = Duration::from_secs(20.min(seconds));
    let mut measured = Measured::default();
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    measured.before = part(&site, around, 1).await?;
    site.table.injector().set(down.clone());
    site.objects.injector().set(down);
    measured.during = part(&site, Duration::from_secs(seconds), 2).await?;
    site.table.injector().set(Faults::default());
    site.objects.injector().set(Faults::default());
    measured.after = part(&site, around, 3).await?;
    site.stop().await?;
    let sent = [&measured.before, &measured.during, &measured.after];
    let sent: u64 = sent.iter().map(|p| p.idempotent + p.non_idempotent).sum();
    measured.lost_records = sent.saturating_sub(reported(&site).await?);
    Ok(measured)
}

async fn reported(site: &Site) -> io::Result<u64> {
    let mut sum = 0;
    for doc in &site.docs {
        let out = site
            .command(&["report", "--service", &doc.service, "--json"])
            .await?;
        let report: serde_json::Value = serde_json::from_str(&out.stdout)?;
        sum += report["all"]["requests"].as_u64().unwrap_or(0);
    }
    Ok(sum)
}

async fn part(site: &Site, length: Duration, seed: u64) -> io::Result<Part> {
    let callers: Vec<Caller> = site.entry_addrs().into_iter().map(Caller::new).collect();
    let mut mix = Mix::new(Deployment::Sleutelbos, seed);
    let mut clock = tokio::time::interval(Duration::from_secs(1) / RATE);
    let until = tokio::time::Instant::now() + length;
    let mut calls = JoinSet::new();
    let (mut part, mut n) = (Part::default(), 0);
    let (mut counted, mut counted_at) = (calls_so_far(site), now_ms());
    while clock.tick().await < until {
        let (caller, ask) = (callers[n % callers.len()].clone(), mix.draw());
        n += 1;
        calls.spawn(async move { caller.send(ask).await });
        if now_ms() - counted_at >= COUNT.as_millis() as u64 {
            let now = calls_so_far(site);
            part.most_platform_calls = part.most_platform_calls.max(now - counted);
            (counted, counted_at) = (now, now_ms());
        }
    }
    while let Some(sent) = calls.join_next().await {
        part.add(&sent.map_err(io::Error::other)?);
    }
    Ok(part)
}

fn calls_so_far(site: &Site) -> u64 {
    let table = site.table.history();
    table.reads + table.commits + table.refused + site.objects.puts()
}

impl Part {
    fn add(&mut self, s: &Sent) {
        let whole = u64::from(matches!(s.got, Got::Whole { .. }));
        if !is_non_idempotent(s) {
            self.idempotent += 1;
            self.idempotent_answered += whole;
            return;
        }
        self.non_idempotent += 1;
        self.non_idempotent_answered += whole;
        let not_run = matches!(
            s.got,
            Got::Refused {
                outcome: Outcome::NotRun,
                ..
            }
        );
        self.non_idempotent_not_run += u64::from(not_run);
    }
}
