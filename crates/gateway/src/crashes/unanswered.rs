//! Checks whether an upstream crashed when it doesn't answer a request.
//!
//! If an upstream ends without closing its connections, the request neither fails nor is answered.
//! If this weren't counted as a crash, retries of the request would crash further upstreams.
//! Whether the upstream has ended is determined from the registry.

use super::part_names;
use crate::account::{Account, SentTo};
use crate::monotonic;
use crate::serve::Call;
use crate::state::Gateway;
use observe::{Event, emit};
use resilience::crashes::{Change, Observation, Run, Source, Subject};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

/// Interval between checks.
const CHECK_EVERY: Duration = Duration::from_millis(500);
/// Time for which an upstream is checked. The registry entry of an upstream that is gone expires
/// within a few seconds.
const WATCH_TIME: Duration = Duration::from_secs(15);

/// Maximum number of requests whose upstreams are watched at the same time, except trials. When
/// many upstreams are cut off, a sample is enough.
const MAX_WATCHED: usize = 64;

/// Permits for watching the upstreams of requests.
#[derive(Debug, Clone)]
pub(super) struct WatchPermits(Arc<Semaphore>);

impl Default for WatchPermits {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_WATCHED)))
    }
}

/// A request whose upstream is watched.
struct WatchedRequest {
    gateway: Arc<Gateway>,
    request: String,
    run: Run,
    /// What the request is a trial of, if it is one.
    trial_of: Option<Subject>,
    parts: Option<String>,
    to: SentTo,
    upstream: String,
    at: Instant,
}

/// State of the upstream of a watched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpstreamFate {
    /// Not known yet. A broken connection is handled in [`super::broken`].
    Unknown,
    /// It has answered a request since, or is leaving as planned.
    Alive,
    /// It is gone, or has restarted.
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
    let Some(request) = WatchedRequest::new(call, account) else {
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
    let permits = call.gateway.crashes.watch_permits.0.clone();
    let (Some(request), Ok(permit)) = (
        WatchedRequest::new(call, account),
        permits.try_acquire_owned(),
    ) else {
        return;
    };
    account.fingerprint = Some(request.run.request);
    tokio::spawn(async move {
        request.watch().await;
        drop(permit);
    });
}

impl WatchedRequest {
    /// Watch of a request that was just sent, or just timed out.
    fn new(call: &Call, account: &Account) -> Option<Self> {
        Some(Self {
            gateway: call.gateway.clone(),
            request: account.id.clone(),
            run: call.run_record(),
            trial_of: account.trial.map(|trial| trial.subject),
            parts: part_names(call),
            to: account.last_sent_to?,
            upstream: account.upstream.clone()?,
            at: monotonic::now(),
        })
    }

    async fn watch(self) {
        while monotonic::elapsed(self.at) < WATCH_TIME {
            tokio::time::sleep(CHECK_EVERY).await;
            // The request was answered and thereby cleared.
            if let Some(subject) = self.trial_of
                && self.gateway.crashes.lock().crash_count(subject) == 0
            {
                return;
            }
            match self.fate() {
                UpstreamFate::Unknown => {}
                UpstreamFate::Alive => return,
                UpstreamFate::Ended => return self.report_crash(),
            }
        }
    }

    /// Counts the crash, unless it is already known from a broken connection.
    fn report_crash(&self) {
        let observation = Observation::Crash {
            run: self.run.clone(),
            upstream: self.to.tag,
            at: self.at,
            in_trial: self.trial_of.is_some(),
        };
        if super::apply(&self.gateway, observation, Source::Local, true) == Change::Unchanged {
            return;
        }
        emit(&Event::UpstreamWentDark {
            request: &self.request,
            work: self.run.request.to_string(),
            parts: self.parts.as_deref(),
            upstream: &self.upstream,
            in_trial: self.trial_of.is_some(),
            ends: self.gateway.crashes.lock().crash_count(self.run.request),
        });
    }

    fn fate(&self) -> UpstreamFate {
        let fleet = self.gateway.fleet();
        let Some(upstream) = fleet.get(self.to.key) else {
            return UpstreamFate::Ended;
        };
        let has_answered_since = upstream.alive_at.is_some_and(|at| at > self.at);
        match has_answered_since || !upstream.is_open() {
            true => UpstreamFate::Alive,
            false => UpstreamFate::Unknown,
        }
    }
}
