//! Checks whether an upstream crashed when a connection to it breaks during a request.

use super::part_names;
use crate::account::{Account, SentTo};
use crate::fleet::UpstreamKey;
use crate::monotonic;
use crate::serve::Call;
use crate::state::Gateway;
use observe::{Event, emit};
use resilience::crashes::{Observation, Run, Source};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which an upstream is observed after a connection broke. A process that ends closes all
/// its connections at once, which a busy host notices within about ten milliseconds. A running
/// upstream answers other requests in this time.
const LIVENESS_WINDOW: Duration = Duration::from_millis(100);

/// A request whose connection to an upstream broke.
struct BrokenConnection {
    gateway: Arc<Gateway>,
    request: String,
    run: Run,
    parts: Option<String>,
    key: UpstreamKey,
    tag: u32,
    instance: String,
    in_trial: bool,
    at: Instant,
}

/// Starts a check of the upstream whose connection broke during a request.
pub fn connection_broke(call: &Call, account: &mut Account) {
    let (Some(sent), Some(instance)) = (account.last_sent_to, account.upstream.clone()) else {
        return;
    };
    let SentTo { key, tag } = sent;
    account.fingerprint = Some(call.fingerprint());
    let broken = BrokenConnection {
        gateway: call.gateway.clone(),
        request: account.id.clone(),
        run: call.run_record(),
        parts: part_names(call),
        key,
        tag,
        instance,
        in_trial: account.trial.is_some(),
        at: monotonic::now(),
    };
    tokio::spawn(broken.report());
}

impl BrokenConnection {
    async fn report(self) {
        tokio::time::sleep(LIVENESS_WINDOW).await;
        let has_ended = self.has_ended();
        if has_ended {
            let observation = Observation::Crash {
                run: self.run.clone(),
                upstream: self.tag,
                at: self.at,
                in_trial: self.in_trial,
            };
            super::apply(&self.gateway, observation, Source::Local, true);
        }
        emit(&Event::ConnectionBroke {
            request: &self.request,
            work: self.run.request.to_string(),
            parts: self.parts.as_deref(),
            upstream: &self.instance,
            upstream_ended: has_ended,
            in_trial: self.in_trial,
            ends: self.gateway.crashes.lock().crash_count(self.run.request),
        });
    }

    /// Whether the upstream's process seems to have ended: it is gone, or it has neither answered
    /// since nor has an open connection.
    fn has_ended(&self) -> bool {
        let fleet = self.gateway.fleet();
        let Some(upstream) = fleet.get(self.key) else {
            return true;
        };
        let has_answered_since = upstream.alive_at.is_some_and(|at| at > self.at);
        !has_answered_since && !upstream.pool.has_open()
    }
}
