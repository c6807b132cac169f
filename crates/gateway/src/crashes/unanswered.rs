//! Checks whether an upstream crashed when it doesn't answer a request, or broke its connection.
//!
//! If an upstream ends without closing its connections, the request neither fails nor is answered.
//! If this weren't counted as a crash, retries of the request would crash further upstreams.
//! Whether the upstream has ended is determined from the registry and by a new connection: an
//! entry can expire while the upstream runs.

use super::part_names;
use crate::account::{Account, SentTo};
use crate::fleet::CONNECT_TIMEOUT;
use crate::monotonic;
use crate::serve::Call;
use crate::state::Gateway;
use net::{Listener, probe};
use observe::{Event, emit};
use resilience::crashes::{Change, Observation, Run, Source, Subject};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;

/// Interval between checks.
const CHECK_EVERY: Duration = Duration::from_millis(500);
/// Time for which an upstream is checked. The registry entry of an upstream that is gone expires
/// within a few seconds.
const WATCH_TIME: Duration = Duration::from_secs(15);

/// Maximum number of requests whose upstreams are watched at the same time, except trials. When
/// many upstreams are cut off, a sample is enough.
const MAX_WATCHED: usize = 256;

/// Permits for watching the upstreams of requests.
#[derive(Debug, Clone)]
pub(super) struct WatchPermits(Arc<Semaphore>);

impl Default for WatchPermits {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_WATCHED)))
    }
}

impl WatchPermits {
    pub(super) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.0.clone().try_acquire_owned().ok()
    }
}

/// A request whose upstream is watched.
pub(super) struct WatchedRequest {
    gateway: Arc<Gateway>,
    pub(super) id: String,
    pub(super) run: Run,
    /// What the request is a trial of, if it is one.
    pub(super) trial_of: Option<Subject>,
    pub(super) parts: Option<String>,
    to: SentTo,
    pub(super) upstream: String,
    symptom: Symptom,
    at: Instant,
}

/// Why an upstream is watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Symptom {
    /// The connection broke, so the process may have been replaced since.
    BrokenConnection,
    /// The request wasn't answered.
    NoAnswer,
}

/// State of the process to which a watched request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessState {
    /// Not known yet.
    Unknown,
    /// It has answered a request since, or is leaving as planned.
    Alive,
    /// It has ended, whether or not another one has started in its place.
    Ended,
}

/// A background watch on the upstream to which a trial is sent.
#[derive(Debug, Default)]
pub struct TrialWatch(Option<AbortHandle>);

impl TrialWatch {
    /// Stops the watch, as the trial wasn't sent or the upstream reported that it doesn't run it.
    pub fn cancel(self) {
        if let Some(task) = self.0 {
            task.abort();
        }
    }
}

/// Watches the upstream to which a request is sent, if the request is a trial.
pub fn watch_trial(call: &Call, account: &Account) -> TrialWatch {
    if account.trial.is_none() {
        return TrialWatch::default();
    }
    let Some(request) = WatchedRequest::new(call, account, Symptom::NoAnswer) else {
        return TrialWatch::default();
    };
    TrialWatch(Some(tokio::spawn(request.watch()).abort_handle()))
}

/// Watches the upstream of a request that wasn't answered in time. Trials are already watched from
/// when they are sent.
pub fn watch_timed_out(call: &Call, account: &mut Account) {
    if account.trial.is_some() || !account.may_have_run {
        return;
    }
    let permits = &call.gateway.crashes.watch_permits;
    let request = WatchedRequest::new(call, account, Symptom::NoAnswer);
    let (Some(request), Some(permit)) = (request, permits.try_acquire()) else {
        return;
    };
    account.fingerprint = Some(request.run.request);
    tokio::spawn(async move {
        request.watch().await;
        drop(permit);
    });
}

impl WatchedRequest {
    /// Watch of a request that was just sent, whose connection just broke, or that just timed out.
    pub(super) fn new(call: &Call, account: &Account, symptom: Symptom) -> Option<Self> {
        let to = account.last_sent_to?;
        Some(Self {
            gateway: call.gateway.clone(),
            id: account.id.clone(),
            run: call.run_record(),
            trial_of: account.trial.map(|trial| trial.subject),
            parts: part_names(call),
            to,
            upstream: account.upstream.clone()?,
            symptom,
            at: monotonic::now(),
        })
    }

    /// Watches the upstream until its state is known or the watch time is over.
    pub(super) async fn watch(self) {
        while monotonic::elapsed(self.at) < WATCH_TIME {
            tokio::time::sleep(CHECK_EVERY).await;
            // The request was answered and thereby cleared.
            if let Some(subject) = self.trial_of
                && self.gateway.crashes.lock().crash_count(subject) == 0
            {
                return;
            }
            match self.state().await {
                ProcessState::Unknown => {}
                ProcessState::Alive => return,
                ProcessState::Ended => return self.report_crash(),
            }
        }
    }

    /// Counts the crash, unless it is already known from a broken connection.
    fn report_crash(&self) {
        if self.count_crash() == Change::Unchanged {
            return;
        }
        emit(&Event::UpstreamWentDark {
            request: &self.id,
            work: self.run.request.to_string(),
            parts: self.parts.as_deref(),
            upstream: &self.upstream,
            in_trial: self.trial_of.is_some(),
            ends: self.crash_count(),
        });
    }

    /// Counts a crash of the upstream; returns the effect on the request.
    pub(super) fn count_crash(&self) -> Change {
        let observation = Observation::Crash {
            run: self.run.clone(),
            upstream: self.to.tag,
            at: self.at,
            in_trial: self.trial_of.is_some(),
        };
        super::apply(&self.gateway, observation, Source::Local, true)
    }

    /// Number of crashes during the request that count.
    pub(super) fn crash_count(&self) -> usize {
        self.gateway.crashes.lock().crash_count(self.run.request)
    }

    /// State just after the connection broke.
    pub(super) async fn state_after_break(&self) -> ProcessState {
        match self.registered_state() {
            ProcessState::Unknown => {}
            state => return state,
        }
        match probe(self.to.addr, CONNECT_TIMEOUT).await {
            Listener::Absent => ProcessState::Ended,
            Listener::Present | Listener::Unknown => ProcessState::Unknown,
        }
    }

    /// State according to the registry. An upstream whose entry is absent has ended unless it
    /// still accepts connections.
    async fn state(&self) -> ProcessState {
        let is_registered = self.gateway.fleet().get(self.to.key).is_some();
        match self.registered_state() {
            ProcessState::Unknown if !is_registered => {
                match probe(self.to.addr, CONNECT_TIMEOUT).await {
                    Listener::Absent | Listener::Unknown => ProcessState::Ended,
                    Listener::Present => ProcessState::Unknown,
                }
            }
            state => state,
        }
    }

    /// State as far as the registry and answers to other requests show it.
    fn registered_state(&self) -> ProcessState {
        let fleet = self.gateway.fleet();
        if fleet.has_restarted(self.to.key, &self.upstream) {
            return ProcessState::Ended;
        }
        let Some(upstream) = fleet.get(self.to.key) else {
            return ProcessState::Unknown;
        };
        let has_answered_since = upstream.alive_at.is_some_and(|at| at > self.at);
        // NB: an answer shows that this start runs only if each start has an id of its own.
        let is_same_start = self.symptom == Symptom::NoAnswer || upstream.instance.start.is_none();
        match (has_answered_since && is_same_start) || !upstream.is_open() {
            true => ProcessState::Alive,
            false => ProcessState::Unknown,
        }
    }
}
