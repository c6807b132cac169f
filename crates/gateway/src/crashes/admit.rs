//! Decides before each send to an upstream whether the request may be sent: its API key must still
//! be valid, and the request must not be known to crash upstreams.

use super::rows;
use crate::account::Account;
use crate::answer::Reason;
use crate::serve::Call;
use resilience::Verdict;
use resilience::crashes::Confidence;
use std::time::Instant;

/// How a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// To any upstream.
    Normal,
    /// To the least loaded upstream, as the request may crash it.
    Quarantined,
    /// Not at all, for the given reason: its key isn't valid, or it crashes upstreams.
    Blocked(Reason),
}

impl From<Confidence> for Reason {
    fn from(confidence: Confidence) -> Self {
        match confidence {
            Confidence::Unconfirmed => Self::CrashSuspected,
            Confidence::Confirmed => Self::CrashesUpstreams,
        }
    }
}

/// Decides how a request may be sent now. Called before each send: the first one, retries,
/// generation after a prefill, and resumption of a broken stream.
pub async fn admit(call: &Call, account: &mut Account) -> Admission {
    if let Err(why) = call.check_key(account) {
        return Admission::Blocked(why);
    }
    let crashes = &call.gateway.crashes;
    if crashes.lock().is_empty() {
        return Admission::Normal;
    }
    if account.trial.is_some() && !account.may_have_run {
        // The trial wasn't used, as the upstream chosen for it accepted no connection.
        return Admission::Quarantined;
    }
    let fingerprint = call.fingerprint();
    let now = Instant::now();
    let verdict = {
        let mut crashes = crashes.lock();
        let verdict = crashes.verdict(fingerprint, now);
        if let Verdict::Trial(..) = verdict {
            crashes.trial_requested(fingerprint, now);
        }
        verdict
    };
    if verdict != Verdict::Allowed {
        account.fingerprint = Some(fingerprint);
    }
    match verdict {
        Verdict::Allowed => Admission::Normal,
        Verdict::Suspected => Admission::Quarantined,
        Verdict::Blocked(confidence) => Admission::Blocked(confidence.into()),
        Verdict::Trial(number, confidence) => {
            match rows::take_trial(&call.gateway, fingerprint, number).await {
                true => {
                    account.trial = Some(number);
                    Admission::Quarantined
                }
                false => Admission::Blocked(confidence.into()),
            }
        }
    }
}

/// Returns a trial that reached no upstream.
pub fn return_unused_trial(call: &Call, account: &Account) {
    let Some(number) = account.trial.filter(|_| !account.may_have_run) else {
        return;
    };
    rows::return_trial(&call.gateway, call.fingerprint(), number);
}
