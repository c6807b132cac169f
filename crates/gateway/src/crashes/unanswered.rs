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
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// How long it is looked: the entry of an upstream that is gone lapses within some seconds.
const LOOK_FOR: Duration = Duration::from_secs(15);

/// Requests whose upstreams are watched at once, trials aside: when many upstreams are cut off
/// some tell as much as all.
const MAX_WATCHED: usize = 64;

/// Room for requests whose upstreams are watched.
#[derive(Debug, Clone)]
pub(super) struct Room(Arc<Semaphore>);

impl Default for Room {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_WATCHED)))
    }
}

/// A request that was sent.
struct Sent {
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
enum Fate {
    /// Nothing yet, or its connection broke, which is judged elsewhere.
    Open,
    /// It has answered something since, or leaves as planned.
    Lives,
    /// It is gone, or has started again.
    Ended,
}

/// A watch on the upstream that a trial is sent to; it goes on by itself.
#[derive(Debug, Default)]
pub struct Watch(Option<AbortHandle>);

impl Watch {
    /// Ends it, as the trial wasn't sent or the upstream says that it doesn't run it.
    pub fn cancel(self) {
        if let Some(task) = self.0 {
            task.abort();
        }
    }
}

/// Watches the upstream that a request is sent to, if this is a trial.
pub fn watch_trial(call: &Call, account: &Account) -> Watch {
    if account.trial.is_none() {
        return Watch::default();
    }
    let Some(sent) = Sent::new(call, account) else {
        return Watch::default();
    };
    Watch(Some(tokio::spawn(sent.watch()).abort_handle()))
}

/// Watches the upstream of a request that it has not answered in time. Trials are watched from
/// the time on at which they are sent.
pub fn timed_out(call: &Call, account: &mut Account) {
    if account.trial.is_some() || !account.may_have_run {
        return;
    }
    let room = call.gateway.crashes.room.0.clone();
    let (Some(sent), Ok(permit)) = (Sent::new(call, account), room.try_acquire_owned()) else {
        return;
    };
    account.fingerprint = Some(sent.work);
    tokio::spawn(async move {
        sent.watch().await;
        drop(permit);
    });
}

impl Sent {
    /// What was sent just now, or went unanswered until now.
    fn new(call: &Call, account: &Account) -> Option<Self> {
        Some(Self {
            gateway: call.gateway.clone(),
            request: account.id.clone(),
            work: call.fingerprint(),
            to: account.last_sent_to?,
            upstream: account.upstream.clone()?,
            in_trial: account.trial.is_some(),
            at: Instant::now(),
        })
    }

    async fn watch(self) {
        while self.at.elapsed() < LOOK_FOR {
            tokio::time::sleep(LOOK_EVERY).await;
            // Cleared meanwhile, it was answered.
            if self.in_trial && self.gateway.crashes.lock().counted(self.work) == 0 {
                return;
            }
            match self.fate() {
                Fate::Open => {}
                Fate::Lives => return,
                Fate::Ended => return self.ended(),
            }
        }
    }

    /// Counts the end, unless it is known by a connection that broke.
    fn ended(&self) {
        let word = Word::End {
            work: self.work,
            upstream: self.to.tag,
            at: self.at,
            in_trial: self.in_trial,
        };
        if super::take(&self.gateway, word, Source::Own, true) == Change::Same {
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

    fn fate(&self) -> Fate {
        let fleet = self.gateway.fleet();
        let Some(upstream) = fleet.get(self.to.key) else {
            return Fate::Ended;
        };
        let has_answered_since = upstream.alive_at.is_some_and(|at| at > self.at);
        match has_answered_since || !upstream.is_open() {
            true => Fate::Lives,
            false => Fate::Open,
        }
    }
}
