//! Requests whose answer doesn't come: has their upstream ended?
//!
//! An upstream that ends without closing its connections leaves a request without an end and
//! without an answer. Taken for nothing, guilty work would be sent on and end one more each
//! time. What the registry says of the upstream tells.

use crate::account::{Account, SentTo};
use crate::serve::Call;
use crate::state::Gateway;
use observe::{Event, emit};
use resilience::Fingerprint;
use resilience::crashes::{Change, Source, Word};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

/// Time between two looks.
const CHECK_EVERY: Duration = Duration::from_millis(500);
/// How long it is looked: the entry of an upstream that is gone lapses within some seconds.
const WATCH_TIME: Duration = Duration::from_secs(15);

/// Requests whose upstreams are watched at once, trials aside: when many upstreams are cut off
/// some tell as much as all.
const MAX_WATCHED: usize = 64;

/// WatchPermits for requests whose upstreams are watched.
#[derive(Debug, Clone)]
pub(super) struct WatchPermits(Arc<Semaphore>);

impl Default for WatchPermits {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_WATCHED)))
    }
}

/// A request that was sent.
struct WatchedRequest {
    gateway: Arc<Gateway>,
    request: String,
    work: Fingerprint,
    to: SentTo,
    upstream: String,
    in_trial: bool,
    at: Instant,
}

/// What is known of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpstreamFate {
    /// Nothing yet, or its connection broke, which is judged elsewhere.
    Unknown,
    /// It has answered something since, or leaves as planned.
    Alive,
    /// It is gone, or has started again.
    Ended,
}

/// A watch on the upstream that a trial is sent to; it goes on by itself.
#[derive(Debug, Default)]
pub struct TrialWatch(Option<AbortHandle>);

impl TrialWatch {
    /// Ends it, as the trial wasn't sent or the upstream says that it doesn't run it.
    pub fn cancel(self) {
        if let Some(task) = self.0 {
            task.abort();
        }
    }
}

/// Watches the upstream that a request is sent to, if this is a trial.
pub fn watch_trial(call: &Call, account: &Account) -> TrialWatch {
    if account.trial.is_none() {
        return TrialWatch::default();
    }
    let Some(request) = WatchedRequest::new(call, account) else {
        return TrialWatch::default();
    };
    TrialWatch(Some(tokio::spawn(request.watch()).abort_handle()))
}

/// Watches the upstream of a request that it has not answered in time. Trials are watched from
/// the time on at which they are sent.
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
    account.work = Some(request.work);
    tokio::spawn(async move {
        request.watch().await;
        drop(permit);
    });
}

impl WatchedRequest {
    /// What was sent just now, or went unanswered until now.
    fn new(call: &Call, account: &Account) -> Option<Self> {
        Some(Self {
            gateway: call.gateway.clone(),
            request: account.id.clone(),
            work: call.fingerprint(),
            to: account.tried?,
            upstream: account.upstream.clone()?,
            in_trial: account.trial.is_some(),
            at: Instant::now(),
        })
    }

    async fn watch(self) {
        while self.at.elapsed() < WATCH_TIME {
            tokio::time::sleep(CHECK_EVERY).await;
            // Cleared meanwhile, it was answered.
            if self.in_trial && self.gateway.crashes.lock().counted(self.work) == 0 {
                return;
            }
            match self.fate() {
                UpstreamFate::Unknown => {}
                UpstreamFate::Alive => return,
                UpstreamFate::Ended => return self.report_end(),
            }
        }
    }

    /// Counts the end, unless it is known by a connection that broke.
    fn report_end(&self) {
        let word = Word::End {
            work: self.work,
            upstream: self.to.tag,
            at: self.at,
            in_trial: self.in_trial,
        };
        if super::apply(&self.gateway, word, Source::Own, true) == Change::Same {
            return;
        }
        emit(&Event::UpstreamWentDark {
            request: &self.request,
            work: self.work.to_string(),
            upstream: &self.upstream,
            in_trial: self.in_trial,
            ends: self.gateway.crashes.lock().counted(self.work),
        });
    }

    fn fate(&self) -> UpstreamFate {
        let fleet = self.gateway.fleet();
        let Some(upstream) = fleet.get(self.to.key) else {
            return UpstreamFate::Ended;
        };
        let has_answered_since = upstream.lived_at.is_some_and(|at| at > self.at);
        match has_answered_since || !upstream.is_open() {
            true => UpstreamFate::Alive,
            false => UpstreamFate::Unknown,
        }
    }
}
