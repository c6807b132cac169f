//! Connections that break while a request is on them: has their upstream ended?

use crate::account::{Account, SentTo};
use crate::fleet::UpstreamKey;
use crate::serve::Call;
use crate::state::Gateway;
use observe::{Event, emit};
use resilience::Fingerprint;
use resilience::crashes::{Source, Word};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long an upstream is given to show that it lives. A process that ends closes all its
/// connections at once, and a busy host needs some ten milliseconds to see that they are
/// closed; one that lives answers other requests meanwhile.
const SIGN_OF_LIFE: Duration = Duration::from_millis(100);

/// A request whose connection to an upstream broke.
struct Broken {
    gateway: Arc<Gateway>,
    request: String,
    work: Fingerprint,
    key: UpstreamKey,
    tag: u32,
    instance: String,
    in_trial: bool,
    at: Instant,
}

/// Notes that the connection broke on which an upstream ran a request.
pub fn connection_broke(call: &Call, account: &mut Account) {
    let (Some(sent), Some(instance)) = (account.last_sent_to, account.upstream.clone()) else {
        return;
    };
    let SentTo { key, tag } = sent;
    let work = call.fingerprint();
    account.fingerprint = Some(work);
    let broken = Broken {
        gateway: call.gateway.clone(),
        request: account.id.clone(),
        work,
        key,
        tag,
        instance,
        in_trial: account.trial.is_some(),
        at: Instant::now(),
    };
    tokio::spawn(broken.judge());
}

impl Broken {
    async fn judge(self) {
        tokio::time::sleep(SIGN_OF_LIFE).await;
        let has_ended = self.has_ended();
        if has_ended {
            let word = Word::End {
                work: self.work,
                upstream: self.tag,
                at: self.at,
                in_trial: self.in_trial,
            };
            super::take(&self.gateway, word, Source::Own, true);
        }
        emit(&Event::ConnectionBroke {
            request: &self.request,
            work: self.work.to_string(),
            upstream: &self.instance,
            upstream_ended: has_ended,
            in_trial: self.in_trial,
            ends: self.gateway.crashes.lock().counted(self.work),
        });
    }

    /// Whether the upstream's process has ended, as far as this one can tell.
    fn has_ended(&self) -> bool {
        let fleet = self.gateway.fleet();
        let Some(upstream) = fleet.get(self.key) else {
            return true;
        };
        let has_answered_since = upstream.alive_at.is_some_and(|at| at > self.at);
        !has_answered_since && !upstream.pool.has_open()
    }
}
