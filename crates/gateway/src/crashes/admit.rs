//! Whether a request may be sent to an upstream, for each send anew: its key must still be
//! in force, and upstreams must not end by it.

use super::rows;
use crate::account::Account;
use crate::answer::Reason;
use crate::serve::Call;
use resilience::Verdict;
use resilience::crashes::Proof;
use std::time::Instant;

/// How a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// As any other.
    Usual,
    /// Where the least else runs, as an upstream may end by it.
    Alone,
    /// Not at all.
    Held(Reason),
}

impl From<Proof> for Reason {
    fn from(proof: Proof) -> Self {
        match proof {
            Proof::Open => Self::CrashSuspected,
            Proof::Proven => Self::CrashesUpstreams,
        }
    }
}

/// Decides how a request may be sent now. Asked before each send: first ones, retries, the
/// generation of a prompt that was read, the rest of a broken stream.
pub async fn admit(call: &Call, account: &mut Account) -> Admission {
    if let Err(why) = call.check_key(account) {
        return Admission::Held(why);
    }
    let crashes = &call.gateway.crashes;
    if crashes.lock().is_empty() {
        return Admission::Usual;
    }
    if account.trial.is_some() && !account.may_have_run {
        // The upstream that was chosen for it took no connection.
        return Admission::Alone;
    }
    let work = call.fingerprint();
    let now = Instant::now();
    let verdict = {
        let mut crashes = crashes.lock();
        let verdict = crashes.verdict(work, now);
        if let Verdict::Trial(..) = verdict {
            crashes.ask_trial(work, now);
        }
        verdict
    };
    if verdict != Verdict::Free {
        account.fingerprint = Some(work);
    }
    match verdict {
        Verdict::Free => Admission::Usual,
        Verdict::Suspect => Admission::Alone,
        Verdict::Held(proof) => Admission::Held(proof.into()),
        Verdict::Trial(number, proof) => {
            match rows::take_trial(&call.gateway, work, number).await {
                true => {
                    account.trial = Some(number);
                    Admission::Alone
                }
                false => Admission::Held(proof.into()),
            }
        }
    }
}

/// Gives a trial back that reached no upstream.
pub fn end_trial(call: &Call, account: &Account) {
    let Some(number) = account.trial.filter(|_| !account.may_have_run) else {
        return;
    };
    rows::return_trial(&call.gateway, call.fingerprint(), number);
}
