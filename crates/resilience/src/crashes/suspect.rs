//! Possible causes of crashes, with the crashes during which each was running.

use super::run::{Run, Subject};
use super::{BLOCK_THRESHOLD, CrashRecord, RETENTION};
use std::time::{Duration, Instant};

/// Time after which a suspect with a single crash expires. Clients retry within minutes, and every
/// request must be hashed as long as there are suspects.
const SINGLE_CRASH_RETENTION: Duration = Duration::from_secs(600);
/// The same for a part that isn't confirmed: without further crashes it may not be the cause.
const UNCONFIRMED_PART_RETENTION: Duration = Duration::from_secs(600);
/// The same for a cleared suspect, so that a repeated observation doesn't make it a suspect again.
const CLEARED_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of crashes kept per suspect. Further ones don't change the verdict.
const MAX_CRASHES: usize = 16;

/// Crash of an upstream while running a suspect.
#[derive(Debug, Clone)]
pub(super) struct Crash {
    /// The request that was running. If several with the suspect were, one of them.
    pub(super) run: Run,
    /// Identifier of the upstream's process start.
    pub(super) upstream: u32,
    pub(super) at: Instant,
    /// Whether the request was running in a trial.
    pub(super) in_trial: bool,
    /// Whether this host observed the crash.
    pub(super) is_local: bool,
    /// Whether the store has a row for the crash.
    pub(super) is_recorded: bool,
}

impl Crash {
    pub(super) fn record(&self, run: Run) -> CrashRecord {
        CrashRecord {
            run,
            upstream: self.upstream,
            at: self.at,
            in_trial: self.in_trial,
        }
    }
}

/// Whether a crash was new to a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Added {
    /// The crash was known. True if it is now known to have occurred in a trial.
    Known(bool),
    /// The crash was added.
    New,
}

/// A request or part that was running when upstreams crashed.
#[derive(Debug)]
pub(super) struct Suspect {
    pub(super) subject: Subject,
    /// In the order in which they became known, at most one per process start.
    pub(super) crashes: Vec<Crash>,
    /// Time of the last complete answer.
    pub(super) answered_at: Option<Instant>,
    /// Whether this host observed that answer, and so removes the rows of earlier crashes.
    pub(super) is_answered_locally: bool,
    /// Number of trials taken since the last answer.
    pub(super) trials: usize,
    /// Number of these that were taken some time after the suspect was blocked.
    pub(super) late_trials: usize,
    /// Time of the last trial.
    pub(super) last_trial_at: Option<Instant>,
    /// Time at which this host last requested a trial.
    pub(super) trial_requested_at: Option<Instant>,
    /// Time of the last observation.
    pub(super) updated_at: Instant,
}

impl Suspect {
    /// A suspect without observations.
    fn new(subject: Subject, now: Instant) -> Self {
        Self {
            subject,
            crashes: Vec::new(),
            answered_at: None,
            is_answered_locally: false,
            trials: 0,
            late_trials: 0,
            last_trial_at: None,
            trial_requested_at: None,
            updated_at: now,
        }
    }

    /// Crashes since the last answer.
    pub(super) fn crashes_since_answer(&self) -> impl Iterator<Item = &Crash> {
        let is_counted = |crash: &&Crash| self.is_after_answer(crash.at);
        self.crashes.iter().filter(is_counted)
    }

    pub(super) fn is_after_answer(&self, at: Instant) -> bool {
        self.answered_at.is_none_or(|answered| at > answered)
    }

    /// Number of crashes since the last answer.
    pub(super) fn crash_count(&self) -> usize {
        self.crashes_since_answer().count()
    }

    /// Time of the crash by which the suspect was blocked.
    pub(super) fn blocked_at(&self) -> Option<Instant> {
        let mut times: Vec<Instant> = self.crashes_since_answer().map(|crash| crash.at).collect();
        times.sort_unstable();
        times.get(BLOCK_THRESHOLD - 1).copied()
    }

    /// Crashes before the last answer that the store still has rows for.
    pub(super) fn stale_crashes(&self) -> impl Iterator<Item = &Crash> {
        let is_stale = |crash: &&Crash| crash.is_recorded && Some(crash.at) <= self.answered_at;
        self.crashes.iter().filter(is_stale)
    }

    /// Adds a crash.
    pub(super) fn add(&mut self, new: Crash) -> Added {
        let mut known = self.crashes.iter_mut();
        if let Some(crash) = known.find(|crash| crash.upstream == new.upstream) {
            crash.is_local |= new.is_local;
            crash.is_recorded |= new.is_recorded;
            // First observed with an equal request outside the trial: sent and recorded again.
            let is_new_trial = new.in_trial && !crash.in_trial;
            crash.in_trial |= new.in_trial;
            crash.is_recorded &= new.is_recorded || !is_new_trial;
            // The row's removal must apply to this crash.
            if new.is_recorded || is_new_trial {
                crash.run = new.run;
            }
            return Added::Known(is_new_trial);
        }
        if self.crashes.len() >= MAX_CRASHES {
            // Recorded crashes are kept so that their rows can be removed later.
            let oldest = self.crashes.iter().position(|e| !e.is_recorded);
            self.crashes.remove(oldest.unwrap_or(0));
        }
        self.crashes.push(new);
        Added::New
    }

    /// Records an answer. Returns whether crashes no longer count.
    pub(super) fn answer(&mut self, at: Instant, is_local: bool) -> bool {
        let before = self.crash_count();
        self.answered_at = self.answered_at.max(Some(at));
        if self.crash_count() == before {
            return false;
        }
        self.is_answered_locally = is_local;
        self.reset_trials();
        true
    }

    pub(super) fn reset_trials(&mut self) {
        (self.trials, self.late_trials) = (0, 0);
        (self.last_trial_at, self.trial_requested_at) = (None, None);
    }

    /// Time after the last observation at which the suspect expires.
    pub(super) fn retention(&self) -> Duration {
        match (self.crash_count(), self.subject) {
            (0, _) if !self.crashes.iter().any(|crash| crash.is_recorded) => CLEARED_RETENTION,
            (1, _) => SINGLE_CRASH_RETENTION,
            (_, Subject::Part(_)) if !self.is_confirmed_by_trials() => UNCONFIRMED_PART_RETENTION,
            _ => RETENTION,
        }
    }
}

/// Suspects of one kind, sorted by subject and limited in number.
#[derive(Debug, Default)]
pub(super) struct Suspects(Vec<Suspect>);

/// Maximum number of suspects of one kind: the requests that run on all engines of a large fleet
/// that crash at once. The one with the fewest crashes is evicted first.
const MAX_SUSPECTS: usize = 1024;

impl Suspects {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Suspect> {
        self.0.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Suspect> {
        self.0.iter_mut()
    }

    pub(super) fn find(&self, subject: Subject) -> Option<&Suspect> {
        self.position(subject).ok().map(|at| &self.0[at])
    }

    pub(super) fn find_mut(&mut self, subject: Subject) -> Option<&mut Suspect> {
        self.position(subject).ok().map(|at| &mut self.0[at])
    }

    fn position(&self, subject: Subject) -> Result<usize, usize> {
        self.0.binary_search_by_key(&subject, |s| s.subject)
    }

    /// Returns a suspect, and adds it if necessary. `None` if there are too many and all of them
    /// have enough crashes to be blocked.
    pub(super) fn entry(&mut self, subject: Subject, now: Instant) -> Option<&mut Suspect> {
        if self.position(subject).is_err() {
            if self.0.len() >= MAX_SUSPECTS && !self.evict_one() {
                return None;
            }
            let at = self.0.partition_point(|s| s.subject < subject);
            self.0.insert(at, Suspect::new(subject, now));
        }
        self.find_mut(subject)
    }

    /// Removes the suspect with the fewest crashes, among equals the one whose last observation is
    /// oldest. Those with enough crashes to be blocked stay. Returns whether one was removed.
    fn evict_one(&mut self) -> bool {
        let all = self.0.iter().enumerate();
        let candidate = all.min_by_key(|(_, s)| (s.crash_count(), s.updated_at));
        let Some((at, _)) = candidate.filter(|(_, s)| s.crash_count() < BLOCK_THRESHOLD) else {
            return false;
        };
        self.0.remove(at);
        true
    }

    /// Removes expired suspects. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let before = self.0.len();
        self.0
            .retain(|s| now.saturating_duration_since(s.updated_at) < s.retention());
        self.0.len() != before
    }
}
