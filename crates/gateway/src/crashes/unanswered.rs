//! Trials whose answer doesn't come: has their upstream ended?
//!
//! An upstream that ends without closing its connections leaves a trial without an end and
//! without an answer. Taken for nothing, each trial of guilty work would be followed soon by
//! another and end one more. What the registry says of the upstream tells.

use crate::account::{Account, SentTo};
use crate::serve::Call;
use crate::state::Gateway;
use resilience::Fingerprint;
use resilience::crashes::{Source, Word};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// How long it is looked: the entry of an upstream that is gone lapses within some seconds.
const LOOK_FOR: Duration = Duration::from_secs(15);

/// A trial that was sent.
struct Sent {
    gateway: Arc<Gateway>,
    work: Fingerprint,
    to: SentTo,
    at: Instant,
}

/// What is known of a trial's upstream.
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
pub fn watch(call: &Call, account: &Account) -> Watch {
    let (Some(to), Some(_)) = (account.tried, account.trial) else {
        return Watch::default();
    };
    let sent = Sent {
        gateway: call.gateway.clone(),
        work: call.fingerprint(),
        to,
        at: Instant::now(),
    };
    Watch(Some(tokio::spawn(sent.watch()).abort_handle()))
}

impl Sent {
    async fn watch(self) {
        while self.at.elapsed() < LOOK_FOR {
            tokio::time::sleep(LOOK_EVERY).await;
            // Cleared meanwhile, it was answered.
            if self.gateway.crashes.lock().counted(self.work) == 0 {
                return;
            }
            match self.fate() {
                Fate::Open => {}
                Fate::Lives => return,
                Fate::Ended => {
                    let word = Word::End {
                        work: self.work,
                        upstream: self.to.tag,
                        at: self.at,
                        in_trial: true,
                    };
                    // One that is known already changes nothing.
                    return super::take(&self.gateway, word, Source::Own, true);
                }
            }
        }
    }

    fn fate(&self) -> Fate {
        let fleet = self.gateway.fleet();
        let Some(upstream) = fleet.get(self.to.key) else {
            return Fate::Ended;
        };
        let has_answered_since = upstream.lived_at.is_some_and(|at| at > self.at);
        match has_answered_since || !upstream.is_open() {
            true => Fate::Lives,
            false => Fate::Open,
        }
    }
}
