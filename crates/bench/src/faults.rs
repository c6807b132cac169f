//! `faults`: a mixed load under random faults, judged by history.

use crate::caller::{Caller, Got, Sent};
use crate::check::{self, History, Sample};
use crate::deploy::{Deployment, admin_of, free_net};
use crate::driver::Driver;
use crate::gather::read_standins;
use crate::judge::is_non_idempotent;
use crate::mix::Mix;
use crate::procs::build_binary;
use crate::schedule::{Counts, draw};
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

/// Requests a second.
const RATE: u32 = 25;
/// Time between looks at the versions in force.
const SAMPLE: Duration = Duration::from_millis(500);
/// Time after the last fault, for what is behind to catch up.
const CALM_DOWN: Duration = Duration::from_secs(4);
/// Workers of each service.
const WORKERS: usize = 3;
const LIMITS: &str = "{record_flush: 2s, linger: 300ms, lease: 3s, idle_timeout: 4s, \
                      drain_bound: 20s, host_poll: 500ms}";

/// What a run counted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counted {
    /// The seed.
    pub seed: u64,
    /// Requests that callers made.
    pub requests: u64,
    /// Those that may not be repeated.
    pub non_idempotent: u64,
    /// Faults.
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
    /// Whole answers.
    pub answered: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Refused as unknown, or no answer.
    pub unknown: u64,
}

impl Counted {
    /// Violations of what must always hold.
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

/// Runs a schedule; prints each fault as it happens.
pub async fn run(seed: u64, seconds: u64) -> io::Result<Counted> {
    let binary = build_binary().await?;
    let (net, _lock) = free_net()?;
    let mut site = Site::start(Deployment::Sleutelbos, options(binary, net, seed)).await?;
    let n = Counts {
        workers: site.workers.len(),
        entries: site.entries.len(),
        services: site.docs.len(),
    };
    let schedule = draw(seed, seconds * 1000, n);
    let faults = schedule.len() as u64;
    let length = Duration::from_secs(seconds) + CALM_DOWN;
    let history = Arc::new(Mutex::new(History::default()));
    let sampler = tokio::spawn(sample(targets(&site), history.clone()));
    let callers = tokio::spawn(call(site.entry_addrs(), length, seed));
    Driver::new(&mut site, history.clone())
        .drive(&schedule)
        .await?;
    site.ready().await?;
    let sent = callers.await.map_err(io::Error::other)?;
    sampler.abort();
    // Agents write the last ends of claims; nothing of it is judged here.
    site.stop().await?;
    let mut history = history.lock().expect("no panic while locked").clone();
    history.sent = sent;
    read_standins(&site, &mut history);
    tell_violations(&history);
    Ok(judge(seed, faults, &history))
}

/// Prints what nobody should see, to look into it.
fn tell_violations(h: &History) {
    for r in h.runs.iter().filter(|r| check::is_late_work(h, r)) {
        println!("late work at a leaving upstream: {r:?}, {:?}", h.leaving);
    }
    let wrong = |s: &&Sent| matches!(s.got, Got::Crossed | Got::Truncated);
    for s in h.sent.iter().filter(wrong) {
        let what = format!("{:?}", s.ask.what);
        let short: String = what.chars().take(200).collect();
        println!("{:?} to {:?}: {} {short}", s.got, s.id, s.ask.class);
    }
}

fn options(binary: PathBuf, net: u8, seed: u64) -> Options {
    let mut options = Options::new(binary, Deployment::Sleutelbos);
    options.net = net;
    options.workers = WORKERS;
    options.relays = true;
    options.limits = LIMITS.to_owned();
    // Half of the runs have engines that ignore fencing numbers.
    let fencing = seed.is_multiple_of(2);
    options.rates = Rates {
        step_time: Duration::from_millis(5),
        prefill_per_step: 2_000,
        fencing,
        ..options.rates
    };
    options
}

/// Sends the mix. A caller whose entry refuses the connection goes to another,
/// as the platform's balancer would.
async fn call(entries: Vec<SocketAddr>, length: Duration, seed: u64) -> Vec<Sent> {
    let callers: Vec<Caller> = entries.into_iter().map(Caller::new).collect();
    let mut mix = Mix::new(Deployment::Sleutelbos, seed);
    let mut clock = tokio::time::interval(Duration::from_secs(1) / RATE);
    let until = tokio::time::Instant::now() + length;
    let mut calls = JoinSet::new();
    let mut n = 0;
    while clock.tick().await < until {
        n += 1;
        let (callers, ask) = (callers.clone(), mix.draw());
        calls.spawn(async move {
            let mut last = None;
            for i in 0..callers.len() {
                let sent = callers[(n + i) % callers.len()].send(ask.clone()).await;
                let refused = matches!(&sent.got, Got::Nothing(why) if why.starts_with("not sent"));
                last = Some(sent);
                if !refused {
                    break;
                }
            }
            last
        });
    }
    let mut sent = Vec::new();
    while let Some(call) = calls.join_next().await {
        sent.extend(call.expect("callers don't panic"));
    }
    sent
}

/// A process to be asked for its versions.
type Target = (String, SocketAddr);

fn targets(site: &Site) -> Vec<Target> {
    let entry = |e: &crate::site::EntryProc| (e.process.name.clone(), admin_of(e.addr));
    let agent = |w: &crate::site::Worker| (w.agent.name.clone(), admin_of(w.listen));
    let entries = site.entries.iter().map(entry);
    entries.chain(site.workers.iter().map(agent)).collect()
}

async fn sample(targets: Vec<Target>, history: Arc<Mutex<History>>) {
    let one = |(process, admin): Target| {
        let history = history.clone();
        async move {
            loop {
                tokio::time::sleep(SAMPLE).await;
                // A process that is down or paused says nothing.
                let Ok(seen) = document_versions(admin).await else {
                    continue;
                };
                let at_ms = now_ms();
                let mut h = history.lock().expect("no panic while locked");
                for (service, version) in seen.versions {
                    let (process, id) = (process.clone(), seen.process);
                    h.samples.push(Sample {
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
    let mut all: JoinSet<()> = targets.into_iter().map(one).collect();
    while all.join_next().await.is_some() {}
}

fn judge(seed: u64, faults: u64, h: &History) -> Counted {
    let got = |f: fn(&Got) -> bool| h.sent.iter().filter(|s| f(&s.got)).count() as u64;
    Counted {
        seed,
        requests: h.sent.len() as u64,
        non_idempotent: h.sent.iter().filter(|s| is_non_idempotent(s)).count() as u64,
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
        answered: got(|g| matches!(g, Got::Whole { .. })),
        not_run: got(|g| {
            matches!(
                g,
                Got::Refused {
                    outcome: Outcome::NotRun,
                    ..
                }
            )
        }),
        unknown: got(|g| matches!(g, Got::Nothing(_)))
            + got(|g| {
                matches!(
                    g,
                    Got::Refused {
                        outcome: Outcome::Unknown,
                        ..
                    }
                )
            }),
    }
}
