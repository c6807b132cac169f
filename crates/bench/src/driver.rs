//! Applies a fault schedule to a site and records which processes are exempt from checks.

use crate::check::{AcceptedDocument, ExemptPeriod, History, LeavingPeriod};
use crate::edit;
use crate::procs::Signal;
use crate::schedule::{Fault, ScheduledFault};
use crate::site::{Site, UpstreamStandin};
use fakes::Faults;
use fakes::clock::now_ms;
use fakes::serve::FakeServer;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::HostState;
use tokio::task::JoinHandle;

/// Time that a process has after a start or a pause before it is checked, in milliseconds.
const RECOVERY_GRACE_MS: u64 = 3_000;
/// Allowance for the host list's lag beyond its configured value.
const HOST_LIST_SLACK: Duration = Duration::from_millis(200);

/// Applies a fault schedule to a site.
pub struct Driver<'a> {
    site: &'a mut Site,
    history: Arc<Mutex<History>>,
    edit_tasks: Vec<JoinHandle<()>>,
    /// Faults whose process was told to stop and must be restarted once it has exited. Other
    /// faults start and end in the meantime, because the process may depend on the end of one of
    /// them to exit.
    stopping: Vec<Fault>,
}

/// Start or end of a fault.
struct ScheduleStep<'a> {
    at_ms: u64,
    planned: &'a ScheduledFault,
    begins: bool,
}

impl<'a> Driver<'a> {
    /// Creates a driver that records its actions in a history.
    pub fn new(site: &'a mut Site, history: Arc<Mutex<History>>) -> Self {
        Self {
            site,
            history,
            edit_tasks: Vec::new(),
            stopping: Vec::new(),
        }
    }

    /// Applies a schedule and prints each fault as it starts.
    pub async fn drive(&mut self, schedule: &[ScheduledFault]) -> io::Result<()> {
        let mut steps: Vec<ScheduleStep<'_>> = Vec::new();
        for planned in schedule {
            steps.push(ScheduleStep {
                at_ms: planned.from_ms,
                planned,
                begins: true,
            });
            steps.push(ScheduleStep {
                at_ms: planned.until_ms,
                planned,
                begins: false,
            });
        }
        steps.sort_by_key(|a| (a.at_ms, a.begins));
        let start = now_ms();
        for a in steps {
            let wait = (start + a.at_ms).saturating_sub(now_ms());
            tokio::time::sleep(Duration::from_millis(wait)).await;
            self.restart_ended(false).await?;
            if a.begins {
                let lasts = a.planned.until_ms - a.planned.from_ms;
                println!("{:>6} ms: {:?} for {lasts} ms", a.at_ms, a.planned.fault);
                self.begin(&a.planned.fault).await?;
            } else {
                self.end(&a.planned.fault).await?;
            }
        }
        self.restart_ended(true).await?;
        for edit in self.edit_tasks.drain(..) {
            edit.await.map_err(io::Error::other)?;
        }
        Ok(())
    }

    async fn begin(&mut self, fault: &Fault) -> io::Result<()> {
        match fault {
            Fault::KillAgent(at) => drop(self.site.workers[*at].agent.kill().await?),
            Fault::StopAgent(at) => self.site.workers[*at].agent.signal(Signal::Term),
            Fault::PauseAgent(at) => self.site.workers[*at].agent.signal(Signal::Pause),
            Fault::CutAgent(at) => self.set_partitioned(*at, true),
            Fault::KillEntry(at) => drop(self.site.entries[*at].process.kill().await?),
            Fault::StopEntry(at) => self.site.entries[*at].process.signal(Signal::Term),
            Fault::PauseEntry(at) => self.site.entries[*at].process.signal(Signal::Pause),
            Fault::LeaveHost(at) => {
                let host = self.site.workers[*at].upstream.host.clone();
                self.site.hosts.set(&host, HostState::Leaving);
            }
            Fault::Table(f) => self.site.table.injector().set(f.clone()),
            Fault::Objects(f) => self.site.objects.injector().set(f.clone()),
            Fault::Hosts(f) => self.site.hosts.injector().set(f.clone()),
            Fault::Upstream(at, f) => self.set_upstream_faults(*at, f.clone()),
            Fault::Edit(at) => self.start_edit(*at),
        }
        self.record_begin(fault);
        Ok(())
    }

    async fn end(&mut self, fault: &Fault) -> io::Result<()> {
        match fault {
            Fault::KillAgent(at) => self.restart_agent_if_ended(*at)?,
            Fault::PauseAgent(at) => self.site.workers[*at].agent.signal(Signal::Resume),
            Fault::CutAgent(at) => self.set_partitioned(*at, false),
            Fault::KillEntry(at) => self.restart_entry_if_ended(*at)?,
            Fault::PauseEntry(at) => self.site.entries[*at].process.signal(Signal::Resume),
            Fault::LeaveHost(at) => {
                let host = self.site.workers[*at].upstream.host.clone();
                self.end_leaving_period(*at);
                self.site.hosts.set(&host, HostState::Live);
                // An agent that reads the stale host list would drain again immediately.
                tokio::time::sleep(self.site.host_list_lag() + HOST_LIST_SLACK).await;
                // The agent has drained already, unless it never received the change.
                self.site.workers[*at].agent.signal(Signal::Term);
                self.stopping.push(fault.clone());
                return Ok(());
            }
            Fault::StopAgent(_) | Fault::StopEntry(_) => {
                self.stopping.push(fault.clone());
                return Ok(());
            }
            Fault::Table(_) => self.site.table.injector().set(Faults::default()),
            Fault::Objects(_) => self.site.objects.injector().set(Faults::default()),
            Fault::Hosts(_) => self.site.hosts.injector().set(Faults::default()),
            Fault::Upstream(at, _) => self.set_upstream_faults(*at, Faults::default()),
            Fault::Edit(_) => {}
        }
        self.record_end(fault);
        Ok(())
    }

    /// Restarts processes that were told to stop and have exited. Waits for them to exit if
    /// `wait` is set.
    async fn restart_ended(&mut self, wait: bool) -> io::Result<()> {
        for fault in std::mem::take(&mut self.stopping) {
            let process = match fault {
                Fault::StopEntry(at) => &mut self.site.entries[at].process,
                Fault::StopAgent(at) | Fault::LeaveHost(at) => &mut self.site.workers[at].agent,
                _ => continue,
            };
            if wait {
                process.wait().await?;
            }
            if !process.has_ended() {
                self.stopping.push(fault);
                continue;
            }
            match fault {
                Fault::StopEntry(at) => self.restart_entry_if_ended(at)?,
                Fault::StopAgent(at) | Fault::LeaveHost(at) => self.restart_agent_if_ended(at)?,
                _ => {}
            }
            self.record_end(&fault);
        }
        Ok(())
    }

    fn restart_agent_if_ended(&mut self, at: usize) -> io::Result<()> {
        if self.site.workers[at].agent.has_ended() {
            self.site.restart_agent(at)?;
        }
        Ok(())
    }

    fn restart_entry_if_ended(&mut self, at: usize) -> io::Result<()> {
        if self.site.entries[at].process.has_ended() {
            self.site.restart_entry(at)?;
        }
        Ok(())
    }

    fn set_partitioned(&self, at: usize, partitioned: bool) {
        if let Some(relay) = &self.site.workers[at].relay {
            relay.set_stalled(partitioned);
        }
    }

    fn set_upstream_faults(&self, at: usize, faults: Faults) {
        match &self.site.workers[at].standin {
            UpstreamStandin::Engine(e) => e.injector().set(faults),
            UpstreamStandin::Plain(p) => p.injector().set(faults),
        }
    }

    fn start_edit(&mut self, at: usize) {
        let (service, settings) = (
            self.site.docs[at].service.clone(),
            self.site.settings_file(),
        );
        let history = self.history.clone();
        self.edit_tasks.push(tokio::spawn(async move {
            for (version, at_ms) in edit::race(&settings, &service).await {
                let accepted = AcceptedDocument {
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

    fn record_begin(&self, fault: &Fault) {
        let mut h = self.history.lock().expect("no panic while locked");
        let from_ms = now_ms();
        let open = u64::MAX;
        if let Some(process) = self.exempt_process(fault) {
            h.exemptions.push(ExemptPeriod {
                process,
                from_ms,
                until_ms: open,
            });
        }
        if let Fault::LeaveHost(at) | Fault::StopAgent(at) = fault {
            let host_list_only = matches!(fault, Fault::LeaveHost(_));
            // The host list reports the change only after its lag.
            let lag = if host_list_only {
                self.site.host_list_lag()
            } else {
                Duration::ZERO
            };
            h.leaving.push(LeavingPeriod {
                upstream: self.site.workers[*at].upstream.name.clone(),
                from_ms: from_ms + lag.as_millis() as u64,
                host_list_only,
                until_ms: open,
            });
        }
        if let Fault::Hosts(_) = fault {
            h.host_list_outages.push((from_ms, open));
        }
    }

    fn record_end(&self, fault: &Fault) {
        let mut h = self.history.lock().expect("no panic while locked");
        let until_ms = now_ms();
        if let Some(process) = self.exempt_process(fault) {
            let open = h
                .exemptions
                .iter_mut()
                .find(|e| e.process == process && e.until_ms == u64::MAX);
            if let Some(e) = open {
                e.until_ms = until_ms + RECOVERY_GRACE_MS;
            }
        }
        if let (Fault::Hosts(_), Some(out)) = (fault, h.host_list_outages.last_mut()) {
            out.1 = until_ms;
        }
        drop(h);
        if let Fault::LeaveHost(at) | Fault::StopAgent(at) = fault {
            self.end_leaving_period(*at);
        }
    }

    fn end_leaving_period(&self, at: usize) {
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

    /// Process that a fault exempts from applying documents: `None` for no process, `Some(None)`
    /// for all.
    fn exempt_process(&self, fault: &Fault) -> Option<Option<String>> {
        match fault {
            Fault::KillAgent(at)
            | Fault::StopAgent(at)
            | Fault::PauseAgent(at)
            | Fault::LeaveHost(at) => Some(Some(self.site.workers[*at].agent.name.clone())),
            Fault::KillEntry(at) | Fault::StopEntry(at) | Fault::PauseEntry(at) => {
                Some(Some(self.site.entries[*at].process.name.clone()))
            }
            Fault::Table(_) => Some(None),
            Fault::CutAgent(_)
            | Fault::Objects(_)
            | Fault::Hosts(_)
            | Fault::Upstream(..)
            | Fault::Edit(_) => None,
        }
    }
}
