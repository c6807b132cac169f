//! Trials of blocked requests: when they are due, and when they confirm a request.

use super::run::Subject;
use super::suspect::{Crash, Suspect};
use super::{Confidence, CrashTracker, Verdict};
use std::time::{Duration, Instant};

/// Delays from the last crash or trial to the next trial. The first is immediate, so that a
/// request that was running by coincidence is refused only briefly. The second follows soon, as
/// the first may have run into another request's crash or had no answer. The delays then grow,
/// as the upstreams don't respond.
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
/// Number of trials that hosts claim by a row in the store. Later ones are left to the first
/// host.
pub const STORED_TRIALS: usize = 8;
/// Delay before each later trial.
const LATER_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Delay before the last trial of a confirmed request, so that upstreams can be fixed before.
const CONFIRMED_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Number of crashes in trials that confirm a request.
const CONFIRM_THRESHOLD: usize = 2;
/// Number of crashes in trials after which a confirmed request has no more trials.
const MAX_CONFIRMED_TRIAL_CRASHES: usize = 3;
/// Number of late crashes in trials after which an unconfirmed request has no more trials, so
/// that it crashes no more upstreams if it is the cause. A crash is late if it occurs more than
/// this time after the crash that blocked the request.
const MAX_LATE_TRIAL_CRASHES: usize = 3;
const LATE_TRIAL_AFTER: Duration = Duration::from_secs(3);
/// Maximum number of late trials of a part, whatever comes of them. Prompts with the part come all
/// the time, so a trial that another upstream rejects or doesn't answer isn't the last one sent.
const MAX_LATE_PART_TRIALS: usize = 3;
/// Number of crashes from which a request may be the cause of a crash in another's trial. A
/// single crash is what any request has that was running by coincidence.
const OTHER_SUSPECT_THRESHOLD: usize = 2;
/// Time after which a host may request another trial, whether or not it got the last one.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Suspect {
    /// Crashes in trials since the last answer.
    fn trial_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes_since_answer().filter(|crash| crash.in_trial)
    }

    /// Whether trials have crashed so many upstreams that no more are allowed.
    fn has_exhausted_trials(&self, confidence: Confidence) -> bool {
        match confidence {
            Confidence::Confirmed => self.trial_crashes().count() >= MAX_CONFIRMED_TRIAL_CRASHES,
            Confidence::Unconfirmed => {
                let late = self.trial_crashes().filter(|crash| self.is_late(crash.at));
                late.count() >= MAX_LATE_TRIAL_CRASHES
            }
        }
    }

    /// Whether so many late trials of a part were taken that no more are allowed.
    fn has_exhausted_part_trials(&self) -> bool {
        matches!(self.subject, Subject::Part(_)) && self.late_trials >= MAX_LATE_PART_TRIALS
    }

    fn is_late(&self, at: Instant) -> bool {
        self.blocked_at()
            .is_some_and(|blocked_at| at > blocked_at + LATE_TRIAL_AFTER)
    }

    /// Whether crashes in trials may confirm the suspect.
    pub(super) fn is_confirmed_by_trials(&self) -> bool {
        self.trial_crashes().count() >= CONFIRM_THRESHOLD
    }

    fn is_trial_due(&self, confidence: Confidence, now: Instant) -> bool {
        if self.has_exhausted_trials(confidence) || self.has_exhausted_part_trials() {
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
    /// Verdict on a blocked request: whether a trial of it is due.
    pub(super) fn blocked_verdict(&self, suspect: &Suspect, now: Instant) -> Verdict {
        let confidence = self.confidence(suspect);
        match suspect.is_trial_due(confidence, now) {
            true => Verdict::Trial(suspect.trials, confidence),
            false => Verdict::Blocked(confidence),
        }
    }

    fn confidence(&self, suspect: &Suspect) -> Confidence {
        let crashes = suspect.trial_crashes();
        let unexplained =
            crashes.filter(|crash| !self.is_explained_by_others(suspect.subject, crash));
        match unexplained.count() >= CONFIRM_THRESHOLD {
            true => Confidence::Confirmed,
            false => Confidence::Unconfirmed,
        }
    }

    /// Whether another suspect with several crashes was running when the upstream crashed: another
    /// request, or a part that explains crashes, in a request without the subject.
    fn is_explained_by_others(&self, subject: Subject, crash: &Crash) -> bool {
        let requests = self.requests.iter();
        let requests = requests.filter(|other| other.crash_count() >= OTHER_SUSPECT_THRESHOLD);
        let parts = self.explanation.parts();
        let parts = parts.filter_map(|id| self.find(Subject::Part(id)));
        let others = requests
            .chain(parts)
            .filter(|other| other.subject != subject);
        let mut others = others.flat_map(Suspect::crashes_since_answer);
        others.any(|other| other.upstream == crash.upstream && !other.run.contains(subject))
    }

    /// Suspects that a trial of a subject is about: parts that can't be told apart share theirs.
    fn tried_with(&self, subject: Subject) -> Vec<Subject> {
        match subject {
            Subject::Request(_) => vec![subject],
            Subject::Part(id) => {
                let parts = self.explanation.indistinguishable_from(id).into_iter();
                parts.map(Subject::Part).collect()
            }
        }
    }

    /// Records that this host requests a trial, so that it doesn't request another at the same
    /// time.
    pub fn trial_requested(&mut self, subject: impl Into<Subject>, now: Instant) {
        for subject in self.tried_with(subject.into()) {
            if let Some(suspect) = self.suspects_mut(subject).find_mut(subject) {
                suspect.trial_requested_at = Some(now);
            }
        }
    }

    /// Records that this or another host took a trial.
    pub fn trial_taken(&mut self, subject: impl Into<Subject>, number: usize, at: Instant) {
        for subject in self.tried_with(subject.into()) {
            let Some(suspect) = self.suspects_mut(subject).entry(subject, at) else {
                continue;
            };
            if suspect.trials <= number {
                suspect.trials = (number + 1).min(STORED_TRIALS);
                suspect.last_trial_at = Some(at);
                suspect.late_trials += usize::from(suspect.is_late(at));
            }
        }
    }

    /// Records that a trial was returned because the request didn't reach an upstream.
    pub fn trial_returned(&mut self, subject: impl Into<Subject>, number: usize) {
        for subject in self.tried_with(subject.into()) {
            let Some(suspect) = self.suspects_mut(subject).find_mut(subject) else {
                continue;
            };
            if suspect.trials == number + 1 {
                let was_late = suspect.last_trial_at.is_some_and(|at| suspect.is_late(at));
                suspect.late_trials = suspect.late_trials.saturating_sub(usize::from(was_late));
                suspect.trials = number;
                suspect.last_trial_at = None;
            }
        }
    }
}
