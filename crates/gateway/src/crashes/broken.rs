//! Checks whether an upstream crashed when a connection to it breaks during a request.
//!
//! A broken connection alone shows nothing: a running upstream may break each of them. The process
//! has ended if its address refuses connections, or if the registry has a later start of it.

use super::unanswered::{ProcessState, Symptom, WatchedRequest};
use crate::account::Account;
use crate::serve::Call;
use observe::{Event, emit};
use std::time::Duration;

/// Time from the break to the first check, in which the process that broke the connection can end.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(100);

/// Starts a check of the upstream whose connection broke during a request.
pub fn connection_broke(call: &Call, account: &mut Account) {
    let request = WatchedRequest::new(call, account, Symptom::BrokenConnection);
    let Some(request) = request else {
        return;
    };
    account.fingerprint = Some(request.run.request);
    let permit = call.gateway.crashes.watch_permits.try_acquire();
    tokio::spawn(async move {
        tokio::time::sleep(FIRST_CHECK_DELAY).await;
        let has_ended = request.state_after_break().await == ProcessState::Ended;
        if has_ended {
            request.count_crash();
        }
        emit(&Event::ConnectionBroke {
            request: &request.id,
            work: request.run.request.to_string(),
            parts: request.parts.as_deref(),
            upstream: &request.upstream,
            upstream_ended: has_ended,
            in_trial: request.trial_of.is_some(),
            ends: request.crash_count(),
        });
        // An upstream may be back under its address already, which only the registry shows.
        if !has_ended && permit.is_some() {
            request.watch().await;
        }
    });
}
