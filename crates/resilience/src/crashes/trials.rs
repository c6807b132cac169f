//! Trials of work that is held back: when one is due, and what they prove.

use super::{BLOCK_THRESHOLD, Confidence, Crash, CrashTracker, Suspect, Verdict};
use crate::Fingerprint;
use std::time::{Duration, Instant};

/// How long after the last end, or the last trial, held work is tried: at once, so that what
/// was there by chance is refused for a moment only; soon again, as the first may have met
/// another's crash or got no answer; then ever later, as upstreams give no sign of life.
const TRIAL_DELAYS: [Duration; STORED_TRIALS] = [
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
pub const STORED_TRIALS: usize = 8;
/// Pause before each later one.
const LATER_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Pause before the last trial of proven work: upstreams have had time to be mended.
const CONFIRMED_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Ends under trials that prove the work guilty.
const CONFIRM_THRESHOLD: usize = 2;
/// Ends under trials after which proven work is tried no more.
const MAX_CONFIRMED_TRIAL_CRASHES: usize = 3;
/// Ends under trials after which no work is tried any more, of those later than this after
/// the end from which on it is held back: what is guilty ends no more upstreams then.
const MAX_LATE_TRIAL_CRASHES: usize = 3;
const LATE_TRIAL_AFTER: Duration = Duration::from_secs(3);
/// Ends from which on work may be what ended an upstream under another's trial: one alone is
/// what each request has that was there by chance.
const OTHER_SUSPECT_THRESHOLD: usize = 2;
/// Pause of a host after it asked for a trial, whether or not it got it.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Suspect {
    /// The ends under trials since the last answer.
    fn trial_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes_since_answer().filter(|crash| crash.in_trial)
    }

    /// Whether another trial that ends its upstream would be one too many.
    fn has_exhausted_trials(&self, confidence: Confidence) -> bool {
        match confidence {
            Confidence::Confirmed => self.trial_crashes().count() >= MAX_CONFIRMED_TRIAL_CRASHES,
            Confidence::Unconfirmed => {
                let mut times: Vec<Instant> =
                    self.crashes_since_answer().map(|crash| crash.at).collect();
                times.sort_unstable();
                let Some(blocked_at) = times.get(BLOCK_THRESHOLD - 1) else {
                    return false;
                };
                let late = self
                    .trial_crashes()
                    .filter(|crash| crash.at > *blocked_at + LATE_TRIAL_AFTER);
                late.count() >= MAX_LATE_TRIAL_CRASHES
            }
        }
    }

    fn is_trial_due(&self, confidence: Confidence, now: Instant) -> bool {
        if self.has_exhausted_trials(confidence) {
            return false;
        }
        let delay = match confidence {
            Confidence::Confirmed => CONFIRMED_TRIAL_DELAY,
            Confidence::Unconfirmed => *TRIAL_DELAYS.get(self.trials).unwrap_or(&LATER_TRIAL_DELAY),
        };
        let since = |at: Instant| now.saturating_duration_since(at);
        let last_crash = self.crashes_since_answer().map(|crash| crash.at).max();
        let last = last_crash.max(self.last_trial_at);
        let may_ask = self
            .trial_requested_at
            .is_none_or(|at| since(at) >= TRIAL_RETRY_AFTER);
        may_ask && last.is_some_and(|at| since(at) >= delay)
    }
}

impl CrashTracker {
    /// Whether held work may be tried now.
    pub(super) fn blocked_verdict(&self, suspect: &Suspect, now: Instant) -> Verdict {
        let confidence = self.confidence(suspect);
        match suspect.is_trial_due(confidence, now) {
            true => Verdict::Trial(suspect.trials, confidence),
            false => Verdict::Blocked(confidence),
        }
    }

    fn confidence(&self, suspect: &Suspect) -> Confidence {
        let crashes = suspect.trial_crashes();
        let unexplained = crashes
            .filter(|crash| !self.is_explained_by_others(suspect.fingerprint, crash.upstream));
        match unexplained.count() >= CONFIRM_THRESHOLD {
            true => Confidence::Confirmed,
            false => Confidence::Unconfirmed,
        }
    }

    /// Whether other work that was there at several ends was there at an upstream's.
    fn is_explained_by_others(&self, fingerprint: Fingerprint, upstream: u32) -> bool {
        let others = self
            .suspects
            .iter()
            .filter(|other| other.fingerprint != fingerprint);
        let mut others_with_crashes =
            others.filter(|other| other.crash_count() >= OTHER_SUSPECT_THRESHOLD);
        others_with_crashes.any(|other| {
            other
                .crashes_since_answer()
                .any(|crash| crash.upstream == upstream)
        })
    }

    /// Notes that a trial is asked for, so that no other request of this host asks as well.
    pub fn trial_requested(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(suspect) = self.find_mut(fingerprint) {
            suspect.trial_requested_at = Some(now);
        }
    }

    /// Notes that a trial was taken, by this host or another.
    pub fn trial_taken(&mut self, fingerprint: Fingerprint, number: usize, at: Instant) {
        let Some(suspect) = self.entry(fingerprint, at) else {
            return;
        };
        if suspect.trials <= number {
            suspect.trials = (number + 1).min(STORED_TRIALS);
            suspect.last_trial_at = Some(at);
        }
    }

    /// Notes that a trial was given back: the work didn't reach any upstream.
    pub fn trial_returned(&mut self, fingerprint: Fingerprint, number: usize) {
        let Some(suspect) = self.find_mut(fingerprint) else {
            return;
        };
        if suspect.trials == number + 1 {
            suspect.trials = number;
            suspect.last_trial_at = None;
        }
    }
}
