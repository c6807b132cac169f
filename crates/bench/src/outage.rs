//! `outage`: measures the answers before, during and after an outage of the table service and the
//! object store, and the call rate when they recover.

use crate::client::{Call, CallResult, Client};
use crate::deploy::{Deployment, reserve_subnet};
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

/// Request rate.
const REQUESTS_PER_S: u32 = 30;
/// Interval over which calls of the platform are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Results of one phase of the run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Part {
    /// Idempotent requests.
    pub idempotent: u64,
    /// Idempotent requests that were answered.
    pub idempotent_answered: u64,
    /// Non-idempotent requests.
    pub non_idempotent: u64,
    /// Non-idempotent requests that were answered.
    pub non_idempotent_answered: u64,
    /// Non-idempotent requests that were refused as not run.
    pub non_idempotent_not_run: u64,
    /// Highest number of calls of the table service and writes of the object store per second,
    /// without failed ones.
    pub most_platform_calls: u64,
}

/// Results of the measurement.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Measured {
    /// Phase before the outage.
    pub before: Part,
    /// Phase of the outage.
    pub during: Part,
    /// Phase after the outage, as long as the one before.
    pub after: Part,
    /// Requests without a record at the end.
    pub lost_records: u64,
}

/// Runs the measurement with an outage of `seconds` seconds.
pub async fn run(seconds: u64) -> io::Result<Measured> {
    let (subnet, _lock) = reserve_subnet()?;
    let mut options = Options::new(build_binary().await?, Deployment::Sleutelbos);
    options.subnet = subnet;
    options.limits = "{linger: 100ms, record_flush: 2s}".to_owned();
    let mut site = Site::start(Deployment::Sleutelbos, options).await?;
    let around = Duration::from_secs(20.min(seconds));
    let mut measured = Measured::default();
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    measured.before = run_part(&site, around, 1).await?;
    site.table.injector().set(down.clone());
    site.objects.injector().set(down);
    measured.during = run_part(&site, Duration::from_secs(seconds), 2).await?;
    site.table.injector().set(Faults::default());
    site.objects.injector().set(Faults::default());
    measured.after = run_part(&site, around, 3).await?;
    site.stop().await?;
    let parts = [&measured.before, &measured.during, &measured.after];
    let requests: u64 = parts.iter().map(|p| p.idempotent + p.non_idempotent).sum();
    measured.lost_records = requests.saturating_sub(reported_requests(&site).await?);
    Ok(measured)
}

async fn reported_requests(site: &Site) -> io::Result<u64> {
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

async fn run_part(site: &Site, length: Duration, seed: u64) -> io::Result<Part> {
    let clients: Vec<Client> = site.entry_addrs().into_iter().map(Client::new).collect();
    let mut mix = Mix::new(Deployment::Sleutelbos, seed);
    let mut clock = tokio::time::interval(Duration::from_secs(1) / REQUESTS_PER_S);
    let until = tokio::time::Instant::now() + length;
    let mut tasks = JoinSet::new();
    let (mut part, mut n) = (Part::default(), 0);
    let (mut counted, mut counted_at) = (platform_calls(site), now_ms());
    while clock.tick().await < until {
        let (client, request) = (clients[n % clients.len()].clone(), mix.next_request());
        n += 1;
        tasks.spawn(async move { client.send(request).await });
        if now_ms() - counted_at >= COUNT_INTERVAL.as_millis() as u64 {
            let now = platform_calls(site);
            part.most_platform_calls = part.most_platform_calls.max(now - counted);
            (counted, counted_at) = (now, now_ms());
        }
    }
    while let Some(call) = tasks.join_next().await {
        part.add(&call.map_err(io::Error::other)?);
    }
    Ok(part)
}

fn platform_calls(site: &Site) -> u64 {
    let table = site.table.history();
    table.reads + table.commits + table.refused + site.objects.puts()
}

impl Part {
    fn add(&mut self, s: &Call) {
        let whole = u64::from(matches!(s.result, CallResult::Complete { .. }));
        if !is_non_idempotent(s) {
            self.idempotent += 1;
            self.idempotent_answered += whole;
            return;
        }
        self.non_idempotent += 1;
        self.non_idempotent_answered += whole;
        let not_run = matches!(
            s.result,
            CallResult::Refused {
                outcome: Outcome::NotRun,
                ..
            }
        );
        self.non_idempotent_not_run += u64::from(not_run);
    }
}
