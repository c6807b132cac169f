//! Trials of work that is held back: when one is due, and what they prove.

use super::{Crashes, End, LIMIT, Proof, Suspect, Verdict};
use crate::Fingerprint;
use std::time::{Duration, Instant};

/// How long after the last end, or the last trial, held work is tried: at once, so that what
/// was there by chance is refused for a moment only; soon again, as the first may have met
/// another's crash or got no answer; then ever later, as upstreams give no sign of life.
const TRIAL_AFTER: [Duration; TRIALS] = [
    Duration::ZERO,
    Duration::from_millis(1500),
    Duration::from_millis(1500),
    Duration::from_secs(3),
    Duration::from_secs(6),
    Duration::from_secs(12),
    Duration::from_secs(24),
    Duration::from_secs(48),
];
/// Trials that are shared out by rows in the store. Later ones are the first host's.
pub const TRIALS: usize = 8;
/// Pause before each later one.
const LATER_AFTER: Duration = Duration::from_secs(60);
/// Pause before the last trial of proven work: upstreams have had time to be mended.
const PROVEN_AFTER: Duration = Duration::from_secs(60);
/// Ends under trials that prove the work guilty.
const PROVEN_FROM: usize = 2;
/// Ends under trials after which proven work is tried no more.
const MAX_PROVEN_ENDS: usize = 3;
/// Ends under trials after which no work is tried any more, of those later than this after
/// the end from which on it is held back: what is guilty ends no more upstreams then.
const MAX_LATE_ENDS: usize = 3;
const LATE: Duration = Duration::from_secs(3);
/// Ends from which on work may be what ended an upstream under another's trial: one alone is
/// what each request has that was there by chance.
const BLAMED_FROM: usize = 2;
/// Pause of a host after it asked for a trial, whether or not it got it.
const TRIAL_RETRY: Duration = Duration::from_secs(1);

impl Suspect {
    /// The ends under trials since the last answer.
    fn trial_ends(&self) -> impl Iterator<Item = &End> {
        self.counting().filter(|end| end.in_trial)
    }

    /// Whether another trial that ends its upstream would be one too many.
    fn is_spent(&self, proof: Proof) -> bool {
        match proof {
            Proof::Proven => self.trial_ends().count() >= MAX_PROVEN_ENDS,
            Proof::Open => {
                let mut times: Vec<Instant> = self.counting().map(|end| end.at).collect();
                times.sort_unstable();
                let Some(held_at) = times.get(LIMIT - 1) else {
                    return false;
                };
                let late = self.trial_ends().filter(|end| end.at > *held_at + LATE);
                late.count() >= MAX_LATE_ENDS
            }
        }
    }

    fn is_trial_due(&self, proof: Proof, now: Instant) -> bool {
        if self.is_spent(proof) {
            return false;
        }
        let after = match proof {
            Proof::Proven => PROVEN_AFTER,
            Proof::Open => *TRIAL_AFTER.get(self.trials).unwrap_or(&LATER_AFTER),
        };
        let since = |at: Instant| now.saturating_duration_since(at);
        let last_end = self.counting().map(|end| end.at).max();
        let last = last_end.max(self.tried_at);
        let may_ask = self.asked_at.is_none_or(|at| since(at) >= TRIAL_RETRY);
        may_ask && last.is_some_and(|at| since(at) >= after)
    }
}

impl Crashes {
    /// Whether held work may be tried now.
    pub(super) fn held(&self, suspect: &Suspect, now: Instant) -> Verdict {
        let proof = self.proof(suspect);
        match suspect.is_trial_due(proof, now) {
            true => Verdict::Trial(suspect.trials, proof),
            false => Verdict::Held(proof),
        }
    }

    fn proof(&self, suspect: &Suspect) -> Proof {
        let ends = suspect.trial_ends();
        let alone = ends.filter(|end| !self.is_blamed_on_others(suspect.work, end.upstream));
        match alone.count() >= PROVEN_FROM {
            true => Proof::Proven,
            false => Proof::Open,
        }
    }

    /// Whether other work that was there at several ends was there at an upstream's.
    fn is_blamed_on_others(&self, work: Fingerprint, upstream: u32) -> bool {
        let others = self.suspects.iter().filter(|other| other.work != work);
        let mut blamed = others.filter(|other| other.counted() >= BLAMED_FROM);
        blamed.any(|other| other.counting().any(|end| end.upstream == upstream))
    }

    /// Notes that a trial is asked for, so that no other request of this host asks as well.
    pub fn ask_trial(&mut self, work: Fingerprint, now: Instant) {
        if let Some(suspect) = self.find_mut(work) {
            suspect.asked_at = Some(now);
        }
    }

    /// Notes that a trial was taken, by this host or another.
    pub fn trial_taken(&mut self, work: Fingerprint, number: usize, at: Instant) {
        let Some(suspect) = self.entry(work, at) else {
            return;
        };
        if suspect.trials <= number {
            suspect.trials = (number + 1).min(TRIALS);
            suspect.tried_at = Some(at);
        }
    }

    /// Notes that a trial was given back: the work didn't reach any upstream.
    pub fn trial_returned(&mut self, work: Fingerprint, number: usize) {
        let Some(suspect) = self.find_mut(work) else {
            return;
        };
        if suspect.trials == number + 1 {
            suspect.trials = number;
            suspect.tried_at = None;
        }
    }
}
