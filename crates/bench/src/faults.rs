//! `faults`: runs a mixed load under random faults and checks the recorded history.

use crate::check::{self, History, VersionSample};
use crate::client::{Call, CallResult, Client};
use crate::deploy::{Deployment, admin_addr, reserve_subnet};
use crate::driver::Driver;
use crate::gather::read_standins;
use crate::judge::is_non_idempotent;
use crate::mix::Mix;
use crate::procs::build_binary;
use crate::schedule::{SiteSize, generate};
use crate::scrape::document_versions;
use crate::site::{Options, Site};
use fakes::clock::now_ms;
use fakes::engine::Rates;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use wire::Outcome;

/// Request rate.
const REQUESTS_PER_S: u32 = 25;
/// Interval between samples of the versions in force.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the last fault for processes to recover.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Workers per service.
const WORKERS_PER_SERVICE: usize = 3;
const LIMITS: &str = "{record_flush: 2s, linger: 300ms, lease: 3s, idle_timeout: 4s, \
                      drain_bound: 20s, host_poll: 500ms}";

/// Counts and violations of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FaultsVerdict {
    /// Seed of the run.
    pub seed: u64,
    /// Requests sent by clients.
    pub requests: u64,
    /// Non-idempotent requests among them.
    pub non_idempotent: u64,
    /// Scheduled faults.
    pub faults: u64,
    /// See [`check::conflicting_orders`].
    pub conflicting_orders: u64,
    /// See [`check::cut_off`].
    pub cut_off: u64,
    /// See [`check::stale_orders_effective`].
    pub stale_orders_effective: u64,
    /// See [`check::crossed`].
    pub crossed: u64,
    /// See [`check::truncated`].
    pub truncated: u64,
    /// See [`check::false_not_run`].
    pub false_not_run: u64,
    /// See [`check::double_runs`].
    pub double_runs: u64,
    /// See [`check::late_work_to_leaving`].
    pub late_work_to_leaving: u64,
    /// See [`check::config_reverts`].
    pub config_reverts: u64,
    /// See [`check::config_late`].
    pub config_late: u64,
    /// Complete answers.
    pub answered: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests refused as unknown, or without a valid answer.
    pub unknown: u64,
}

impl FaultsVerdict {
    /// Number of violated guarantees.
    pub fn violations(&self) -> u64 {
        self.conflicting_orders
            + self.cut_off
            + self.stale_orders_effective
            + self.crossed
            + self.truncated
            + self.false_not_run
            + self.double_runs
            + self.late_work_to_leaving
            + self.config_reverts
            + self.config_late
    }
}

/// Runs a generated schedule and prints each fault as it starts.
pub async fn run(seed: u64, seconds: u64) -> io::Result<FaultsVerdict> {
    let binary = build_binary().await?;
    let (subnet, _lock) = reserve_subnet()?;
    let mut site = Site::start(Deployment::Sleutelbos, options(binary, subnet, seed)).await?;
    let n = SiteSize {
        workers: site.workers.len(),
        entries: site.entries.len(),
        services: site.docs.len(),
    };
    let schedule = generate(seed, seconds * 1000, n);
    let faults = schedule.len() as u64;
    let length = Duration::from_secs(seconds) + SETTLE_TIME;
    let history = Arc::new(Mutex::new(History::default()));
    let sampler = tokio::spawn(sample_versions(sample_targets(&site), history.clone()));
    let clients = tokio::spawn(send_requests(site.entry_addrs(), length, seed));
    Driver::new(&mut site, history.clone())
        .drive(&schedule)
        .await?;
    site.wait_ready().await?;
    let calls = clients.await.map_err(io::Error::other)?;
    sampler.abort();
    // Agents write the final rows of claims when they stop; these are not checked here.
    site.stop().await?;
    let mut history = history.lock().expect("no panic while locked").clone();
    history.calls = calls;
    read_standins(&site, &mut history);
    print_violations(&history);
    Ok(judge(seed, faults, &history))
}

/// Prints details of violations for debugging.
fn print_violations(h: &History) {
    for r in h.runs.iter().filter(|r| check::is_late_work(h, r)) {
        println!(
            "late run at a leaving upstream: {r:?}, leaving periods: {:?}",
            h.leaving
        );
    }
    let wrong = |s: &&Call| matches!(s.result, CallResult::Crossed | CallResult::Truncated);
    for s in h.calls.iter().filter(wrong) {
        let what = format!("{:?}", s.request.kind);
        let short: String = what.chars().take(200).collect();
        println!(
            "wrong answer {:?} to request {:?} of class {}: {short}",
            s.result, s.id, s.request.class
        );
    }
}

fn options(binary: PathBuf, subnet: u8, seed: u64) -> Options {
    let mut options = Options::new(binary, Deployment::Sleutelbos);
    options.subnet = subnet;
    options.workers = WORKERS_PER_SERVICE;
    options.relays = true;
    options.limits = LIMITS.to_owned();
    // Engines ignore fencing numbers in runs with an odd seed.
    let fencing = seed.is_multiple_of(2);
    options.rates = Rates {
        step_time: Duration::from_millis(5),
        prefill_per_step: 2_000,
        fencing,
        ..options.rates
    };
    options
}

/// Sends requests of the mix. If an entry refuses the connection, the request goes to the next
/// one, as it would behind the platform's load balancer.
async fn send_requests(entries: Vec<SocketAddr>, length: Duration, seed: u64) -> Vec<Call> {
    let clients: Vec<Client> = entries.into_iter().map(Client::new).collect();
    let mut mix = Mix::new(Deployment::Sleutelbos, seed);
    let mut clock = tokio::time::interval(Duration::from_secs(1) / REQUESTS_PER_S);
    let until = tokio::time::Instant::now() + length;
    let mut tasks = JoinSet::new();
    let mut n = 0;
    while clock.tick().await < until {
        n += 1;
        let (clients, request) = (clients.clone(), mix.next_request());
        tasks.spawn(async move {
            let mut last = None;
            for i in 0..clients.len() {
                let call = clients[(n + i) % clients.len()].send(request.clone()).await;
                let refused =
                    matches!(&call.result, CallResult::Failed(why) if why.starts_with("not sent"));
                last = Some(call);
                if !refused {
                    break;
                }
            }
            last
        });
    }
    let mut calls = Vec::new();
    while let Some(call) = tasks.join_next().await {
        calls.extend(call.expect("client tasks don't panic"));
    }
    calls
}

/// Name and admin address of a process whose versions are sampled.
type Target = (String, SocketAddr);

fn sample_targets(site: &Site) -> Vec<Target> {
    let entry = |e: &crate::site::EntryProcess| (e.process.name.clone(), admin_addr(e.addr));
    let agent = |w: &crate::site::Worker| (w.agent.name.clone(), admin_addr(w.listen));
    let entries = site.entries.iter().map(entry);
    entries.chain(site.workers.iter().map(agent)).collect()
}

async fn sample_versions(targets: Vec<Target>, history: Arc<Mutex<History>>) {
    let sample_process = |(process, admin): Target| {
        let history = history.clone();
        async move {
            loop {
                tokio::time::sleep(SAMPLE_INTERVAL).await;
                // A process that is down or paused does not answer.
                let Ok(seen) = document_versions(admin).await else {
                    continue;
                };
                let at_ms = now_ms();
                let mut h = history.lock().expect("no panic while locked");
                for (service, version) in seen.versions {
                    let (process, id) = (process.clone(), seen.process);
                    h.samples.push(VersionSample {
                        process,
                        id,
                        service,
                        version,
                        at_ms,
                    });
                }
            }
        }
    };
    let mut all: JoinSet<()> = targets.into_iter().map(sample_process).collect();
    while all.join_next().await.is_some() {}
}

fn judge(seed: u64, faults: u64, h: &History) -> FaultsVerdict {
    let got = |f: fn(&CallResult) -> bool| h.calls.iter().filter(|s| f(&s.result)).count() as u64;
    FaultsVerdict {
        seed,
        requests: h.calls.len() as u64,
        non_idempotent: h.calls.iter().filter(|s| is_non_idempotent(s)).count() as u64,
        faults,
        conflicting_orders: check::conflicting_orders(h),
        cut_off: check::cut_off(h),
        stale_orders_effective: check::stale_orders_effective(h),
        crossed: check::crossed(h),
        truncated: check::truncated(h),
        false_not_run: check::false_not_run(h),
        double_runs: check::double_runs(h),
        late_work_to_leaving: check::late_work_to_leaving(h),
        config_reverts: check::config_reverts(h),
        config_late: check::config_late(h),
        answered: got(|g| matches!(g, CallResult::Complete { .. })),
        not_run: got(|g| {
            matches!(
                g,
                CallResult::Refused {
                    outcome: Outcome::NotRun,
                    ..
                }
            )
        }),
        unknown: got(|g| matches!(g, CallResult::Failed(_)))
            + got(|g| {
                matches!(
                    g,
                    CallResult::Refused {
                        outcome: Outcome::Unknown,
                        ..
                    }
                )
            }),
    }
}
