//! Decides before each send to an upstream whether the request may be sent: its API key must still
//! be valid, and neither the request nor a part of its prompt may be known to crash upstreams.

use super::rows;
use crate::account::{Account, Trial};
use crate::answer::Reason;
use crate::monotonic;
use crate::serve::Call;
use resilience::Verdict;
use resilience::crashes::{Confidence, Subject};

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

/// Reason of a rejection because of a request or a part.
fn rejection(subject: Subject, confidence: Confidence) -> Reason {
    match (subject, confidence) {
        (Subject::Request(_), Confidence::Unconfirmed) => Reason::CrashSuspected,
        (Subject::Request(_), Confidence::Confirmed) => Reason::CrashesUpstreams,
        (Subject::Part(_), Confidence::Unconfirmed) => Reason::PartCrashSuspected,
        (Subject::Part(_), Confidence::Confirmed) => Reason::PartCrashesUpstreams,
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
    // Reports may have come too fast for each to be evaluated.
    super::update_parts(&call.gateway);
    let (subject, verdict) = verdict(call, account);
    match verdict {
        Verdict::Allowed => Admission::Normal,
        Verdict::Suspected => Admission::Quarantined,
        Verdict::Blocked(confidence) => Admission::Blocked(rejection(subject, confidence)),
        Verdict::Trial(number, confidence) => {
            match rows::take_trial(&call.gateway, subject, number).await {
                true => {
                    account.trial = Some(Trial { subject, number });
                    Admission::Quarantined
                }
                false => Admission::Blocked(rejection(subject, confidence)),
            }
        }
    }
}

/// Verdict on a request by its parts, or by the request as a whole if none of them is blocked.
fn verdict(call: &Call, account: &mut Account) -> (Subject, Verdict) {
    let now = monotonic::now();
    let parts: Vec<u64> = call.shared_part_ids().collect();
    let fingerprint = call.fingerprint();
    let mut crashes = call.gateway.crashes.lock();
    let by_part = crashes.part_verdict(&parts, now);
    account.blocked_part = by_part.map(|(blocked, _)| blocked);
    let (subject, mut verdict) = match by_part {
        Some((blocked, verdict)) => (Subject::Part(blocked.part), verdict),
        None => (fingerprint.into(), crashes.verdict(fingerprint, now)),
    };
    if let Verdict::Trial(..) = verdict {
        crashes.trial_requested(subject, now);
    }
    if verdict != Verdict::Allowed {
        account.fingerprint = Some(fingerprint);
    } else if crashes.has_suspected_part(&parts) {
        verdict = Verdict::Suspected;
    }
    (subject, verdict)
}

/// Returns a trial that reached no upstream.
pub fn return_unused_trial(call: &Call, account: &Account) {
    let Some(trial) = account.trial.filter(|_| !account.may_have_run) else {
        return;
    };
    rows::return_trial(&call.gateway, trial.subject, trial.number);
}
