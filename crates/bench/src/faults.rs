//! `faults`: a mixed load under random faults, judged by history.

use crate::caller::{Caller, Got, Sent};
use crate::check::{self, Accepted, Excused, History, Leaving, RunSeen, Sample};
use crate::deploy::{Deployment, admin_of, free_net};
use crate::edit;
use crate::judge::is_non_idempotent;
use crate::mix::Mix;
use crate::procs::{Signal, build_binary};
use crate::schedule::{Counts, Fault, Planned, draw};
use crate::scrape::document_versions;
use crate::site::{Options, Site, UpstreamStandin};
use fakes::clock::now_ms;
use fakes::serve::Standin;
use fakes::{Faults, engine::Rates};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::HostState;
use tokio::task::{JoinHandle, JoinSet};
use wire::Outcome;

/// Requests a second.
const RATE: u32 = 25;
/// Time between looks at the versions in force.
const SAMPLE: Duration = Duration::from_millis(500);
/// Time after the last fault, for what is behind to catch up.
const CALM_DOWN: Duration = Duration::from_secs(4);
/// What a process needs after a start or a pause before it is judged, in milliseconds.
const START_MS: u64 = 3_000;
/// What the host list may lag over its setting.
const SLACK: Duration = Duration::from_millis(200);
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
    tell_wrong_answers(&history);
    Ok(judge(seed, faults, &history))
}

/// Prints what callers got that nobody should, to look into it.
fn tell_wrong_answers(h: &History) {
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
    options.limits = LIMITS.to_owned();
    // Half of the runs have engines that ignore fencing numbers.
    let fencing = seed.is_multiple_of(2);
    options.rates = Rates {
        step: Duration::from_millis(5),
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
    let agent = |w: &crate::site::Worker| (w.agent.name.clone(), admin_of(w.upstream.agent));
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

/// Carries a schedule out.
struct Driver<'a> {
    site: &'a mut Site,
    history: Arc<Mutex<History>>,
    edits: Vec<JoinHandle<()>>,
    /// Faults whose process was told to stop and is to be started again once it
    /// has ended. Other faults begin and end meanwhile: it may be waiting for one.
    stopping: Vec<Fault>,
}

/// One end of a fault.
struct Action<'a> {
    at_ms: u64,
    planned: &'a Planned,
    begins: bool,
}

impl<'a> Driver<'a> {
    fn new(site: &'a mut Site, history: Arc<Mutex<History>>) -> Self {
        Self {
            site,
            history,
            edits: Vec::new(),
            stopping: Vec::new(),
        }
    }

    async fn drive(&mut self, schedule: &[Planned]) -> io::Result<()> {
        let mut actions: Vec<Action<'_>> = Vec::new();
        for planned in schedule {
            actions.push(Action {
                at_ms: planned.from_ms,
                planned,
                begins: true,
            });
            actions.push(Action {
                at_ms: planned.until_ms,
                planned,
                begins: false,
            });
        }
        actions.sort_by_key(|a| (a.at_ms, a.begins));
        let start = now_ms();
        for a in actions {
            let wait = (start + a.at_ms).saturating_sub(now_ms());
            tokio::time::sleep(Duration::from_millis(wait)).await;
            self.start_ended(false).await?;
            if a.begins {
                let lasts = a.planned.until_ms - a.planned.from_ms;
                println!("{:>6} ms: {:?} for {lasts} ms", a.at_ms, a.planned.fault);
                self.begin(&a.planned.fault).await?;
            } else {
                self.end(&a.planned.fault).await?;
            }
        }
        self.start_ended(true).await?;
        for edit in self.edits.drain(..) {
            edit.await.map_err(io::Error::other)?;
        }
        Ok(())
    }

    async fn begin(&mut self, fault: &Fault) -> io::Result<()> {
        match fault {
            Fault::KillAgent(at) => drop(self.site.workers[*at].agent.kill().await?),
            Fault::StopAgent(at) => self.site.workers[*at].agent.signal(Signal::Term),
            Fault::PauseAgent(at) => self.site.workers[*at].agent.signal(Signal::Pause),
            Fault::KillEntry(at) => drop(self.site.entries[*at].process.kill().await?),
            Fault::StopEntry(at) => self.site.entries[*at].process.signal(Signal::Term),
            Fault::PauseEntry(at) => self.site.entries[*at].process.signal(Signal::Pause),
            Fault::LeaveHost(at) => {
                let host = self.site.workers[*at].upstream.host.clone();
                self.site.hosts.set(&host, HostState::Leaving);
            }
            Fault::Table(f) => self.site.table.gate().set(f.clone()),
            Fault::Objects(f) => self.site.objects.gate().set(f.clone()),
            Fault::Hosts(f) => self.site.hosts.gate().set(f.clone()),
            Fault::Upstream(at, f) => self.upstream(*at, f.clone()),
            Fault::Edit(at) => self.edit(*at),
        }
        self.note_begin(fault);
        Ok(())
    }

    async fn end(&mut self, fault: &Fault) -> io::Result<()> {
        match fault {
            Fault::KillAgent(at) => self.ensure_agent(*at)?,
            Fault::PauseAgent(at) => self.site.workers[*at].agent.signal(Signal::Resume),
            Fault::KillEntry(at) => self.ensure_entry(*at)?,
            Fault::PauseEntry(at) => self.site.entries[*at].process.signal(Signal::Resume),
            Fault::LeaveHost(at) => {
                let host = self.site.workers[*at].upstream.host.clone();
                self.close_leaving(*at);
                self.site.hosts.set(&host, HostState::Live);
                // An agent that still saw the old list would drain at once.
                tokio::time::sleep(self.site.host_lag() + SLACK).await;
                // It drained by itself, unless it never heard of it.
                self.site.workers[*at].agent.signal(Signal::Term);
                self.stopping.push(fault.clone());
                return Ok(());
            }
            Fault::StopAgent(_) | Fault::StopEntry(_) => {
                self.stopping.push(fault.clone());
                return Ok(());
            }
            Fault::Table(_) => self.site.table.gate().set(Faults::default()),
            Fault::Objects(_) => self.site.objects.gate().set(Faults::default()),
            Fault::Hosts(_) => self.site.hosts.gate().set(Faults::default()),
            Fault::Upstream(at, _) => self.upstream(*at, Faults::default()),
            Fault::Edit(_) => {}
        }
        self.note_end(fault);
        Ok(())
    }

    /// Starts processes again that were stopped and have ended; waits for them
    /// if `wait` is set.
    async fn start_ended(&mut self, wait: bool) -> io::Result<()> {
        for fault in std::mem::take(&mut self.stopping) {
            let process = match fault {
                Fault::StopEntry(at) => &mut self.site.entries[at].process,
                Fault::StopAgent(at) | Fault::LeaveHost(at) => &mut self.site.workers[at].agent,
                _ => continue,
            };
            if wait {
                process.ended().await?;
            }
            if !process.has_ended() {
                self.stopping.push(fault);
                continue;
            }
            match fault {
                Fault::StopEntry(at) => self.ensure_entry(at)?,
                Fault::StopAgent(at) | Fault::LeaveHost(at) => self.ensure_agent(at)?,
                _ => {}
            }
            self.note_end(&fault);
        }
        Ok(())
    }

    fn ensure_agent(&mut self, at: usize) -> io::Result<()> {
        if self.site.workers[at].agent.has_ended() {
            self.site.restart_agent(at)?;
        }
        Ok(())
    }

    fn ensure_entry(&mut self, at: usize) -> io::Result<()> {
        if self.site.entries[at].process.has_ended() {
            self.site.restart_entry(at)?;
        }
        Ok(())
    }

    fn upstream(&self, at: usize, faults: Faults) {
        match &self.site.workers[at].standin {
            UpstreamStandin::Engine(e) => e.gate().set(faults),
            UpstreamStandin::Plain(p) => p.gate().set(faults),
        }
    }

    fn edit(&mut self, at: usize) {
        let (service, settings) = (
            self.site.docs[at].service.clone(),
            self.site.settings_file(),
        );
        let history = self.history.clone();
        self.edits.push(tokio::spawn(async move {
            for (version, at_ms) in edit::race(&settings, &service).await {
                let accepted = Accepted {
                    service: service.clone(),
                    version,
                    at_ms,
                };
                history
                    .lock()
                    .expect("no panic while locked")
                    .accepted
                    .push(accepted);
            }
        }));
    }

    fn note_begin(&self, fault: &Fault) {
        let mut h = self.history.lock().expect("no panic while locked");
        let from_ms = now_ms();
        let open = u64::MAX;
        if let Some(process) = self.excused(fault) {
            h.excused.push(Excused {
                process,
                from_ms,
                until_ms: open,
            });
        }
        if let Fault::LeaveHost(at) | Fault::StopAgent(at) = fault {
            let upstream = self.site.workers[*at].upstream.name.clone();
            h.leaving.push(Leaving {
                upstream,
                from_ms,
                until_ms: open,
            });
        }
    }

    fn note_end(&self, fault: &Fault) {
        let mut h = self.history.lock().expect("no panic while locked");
        let until_ms = now_ms();
        if let Some(process) = self.excused(fault) {
            let open = h
                .excused
                .iter_mut()
                .find(|e| e.process == process && e.until_ms == u64::MAX);
            if let Some(e) = open {
                e.until_ms = until_ms + START_MS;
            }
        }
        drop(h);
        if let Fault::LeaveHost(at) | Fault::StopAgent(at) = fault {
            self.close_leaving(*at);
        }
    }

    fn close_leaving(&self, at: usize) {
        let mut h = self.history.lock().expect("no panic while locked");
        let name = &self.site.workers[at].upstream.name;
        for l in h
            .leaving
            .iter_mut()
            .filter(|l| l.upstream == *name && l.until_ms == u64::MAX)
        {
            l.until_ms = now_ms();
        }
    }

    /// Whom a fault excuses from following documents: `None` for nobody.
    fn excused(&self, fault: &Fault) -> Option<Option<String>> {
        match fault {
            Fault::KillAgent(at)
            | Fault::StopAgent(at)
            | Fault::PauseAgent(at)
            | Fault::LeaveHost(at) => Some(Some(self.site.workers[*at].agent.name.clone())),
            Fault::KillEntry(at) | Fault::StopEntry(at) | Fault::PauseEntry(at) => {
                Some(Some(self.site.entries[*at].process.name.clone()))
            }
            Fault::Table(_) => Some(None),
            Fault::Objects(_) | Fault::Hosts(_) | Fault::Upstream(..) | Fault::Edit(_) => None,
        }
    }
}

fn read_standins(site: &Site, h: &mut History) {
    h.rows = site.table.history().written;
    for w in &site.workers {
        let name = &w.upstream.name;
        match &w.standin {
            UpstreamStandin::Engine(e) => {
                let seen = e.history();
                h.orders
                    .extend(seen.orders.into_iter().map(|o| (name.clone(), o)));
                for r in seen.runs {
                    let request = r.id.split_once('-').map_or("", |(id, _)| id).to_owned();
                    h.runs.push(RunSeen {
                        upstream: name.clone(),
                        service: w.service.clone(),
                        request,
                        key: String::new(),
                        idempotent: true,
                        at_ms: r.at_ms,
                    });
                }
            }
            UpstreamStandin::Plain(p) => {
                let doc = site.docs.iter().find(|d| d.service == w.service);
                for r in p.history() {
                    let (method, path) = r.call.split_once(' ').unwrap_or(("", ""));
                    let class = doc.and_then(|d| Some(d.class(d.class_routed(method, path)?)));
                    h.runs.push(RunSeen {
                        upstream: name.clone(),
                        service: w.service.clone(),
                        request: r.request,
                        key: r.key,
                        idempotent: class.is_none_or(|c| c.idempotent),
                        at_ms: r.at_ms,
                    });
                }
            }
        }
    }
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
