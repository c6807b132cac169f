//! Detection of requests that crash upstreams.
//!
//! An engine runs several requests at once, and a single crash doesn't show which of them caused
//! it. So every request that was running becomes a suspect until it is answered completely: a
//! request that crashes every upstream is never answered, while any other is answered by the
//! next upstream. A request with [`BLOCK_THRESHOLD`] crashes since its last answer is blocked.
//!
//! Many simultaneous crashes are weak evidence, as when half of a fleet is lost or reset: a
//! common request runs everywhere. So one host sends a blocked request again on behalf of all,
//! alone on an upstream, immediately and soon once more (see `trials.rs`). An answer clears it,
//! and crashes in both trials confirm it, unless another request with several crashes was running
//! too. A trial with neither crash nor answer is repeated soon. A confirmed request has a last
//! trial later, as the fault of the upstream may have been fixed.
//!
//! Crashes are counted over all hosts. Each host sends its observations to the others
//! ([`CrashTracker::due_observations`]), and repeated crashes are recorded in a store
//! ([`CrashTracker::unrecorded`]). An answer is resent while the store has rows of earlier
//! crashes, as hosts that start meanwhile read them.

mod outbox;
mod trials;

pub use trials::STORED_TRIALS;

use crate::Fingerprint;
use outbox::Outbox;
use std::time::{Duration, Instant};

/// Crashes without an answer between them after which a request is blocked. Two may be a
/// coincidence: a retried idempotent request can run into a second crash of a series.
pub const BLOCK_THRESHOLD: usize = 3;
/// Number of crashes from which they are recorded in the store. Few requests have a second
/// crash, so there are few such rows.
pub const RECORD_THRESHOLD: usize = 2;
/// Time after which crashes expire. A fault that crashes an engine is fixed by a release hours
/// later, but a request that was blocked wrongly must not stay blocked forever.
pub const RETENTION: Duration = Duration::from_secs(3600);
/// The same for a request with a single crash. Clients retry within minutes, and every request
/// must be hashed as long as there are suspects.
const SINGLE_CRASH_RETENTION: Duration = Duration::from_secs(600);
/// The same for a cleared request, so that a repeated observation doesn't make it a suspect
/// again.
const CLEARED_RETENTION: Duration = Duration::from_secs(10);
/// Interval between removals of expired suspects.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);
/// Interval at which answers are resent while the store has rows of earlier crashes, and the
/// maximum number of answers each time.
const REMIND_EVERY: Duration = Duration::from_secs(1);
const MAX_REMINDERS: usize = 4;
/// Maximum number of suspects, of 130 bytes each: the requests that run on all engines of a
/// large fleet that crash at once. The one with the fewest crashes is evicted first.
const MAX_SUSPECTS: usize = 1024;
/// Maximum number of crashes kept per request. Further ones don't change the verdict.
const MAX_CRASHES: usize = 8;

/// Whether and how a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request is not a suspect.
    Allowed,
    /// An upstream crashed while running the request, so it is sent where few others run.
    Suspected,
    /// The request must not be sent.
    Blocked(Confidence),
    /// The request is blocked, but a trial with this number is due: the host that takes the
    /// trial on behalf of all may send it once.
    Trial(usize, Confidence),
}

/// Whether a blocked request is known to crash upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confidence {
    /// It may have been running by coincidence when upstreams crashed.
    Unconfirmed,
    /// Upstreams crashed when it was sent in trials.
    Confirmed,
}

/// An event that hosts report to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// An upstream crashed or disappeared while running a request.
    Crash {
        /// The request.
        fingerprint: Fingerprint,
        /// Identifier of the upstream's process start.
        upstream: u32,
        /// Time of the crash.
        at: Instant,
        /// Whether the request was running in a trial.
        in_trial: bool,
    },
    /// A request was answered completely.
    Answer {
        /// The request.
        fingerprint: Fingerprint,
        /// Time of the answer.
        at: Instant,
    },
}

impl Observation {
    /// The request that was observed.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Crash { fingerprint, .. } | Self::Answer { fingerprint, .. } => *fingerprint,
        }
    }
}

/// Effect of an observation on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No relevant change.
    Unchanged,
    /// The number of crashes changed to the given one.
    Counted(usize),
    /// The request is blocked from now on, with the given number of crashes.
    Blocked(usize),
    /// The request is no longer a suspect.
    Cleared,
}

/// A crash that is, or is to be, recorded in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashRecord {
    /// The request that was running.
    pub fingerprint: Fingerprint,
    /// Identifier of the upstream's process start.
    pub upstream: u32,
    /// Time of the crash.
    pub at: Instant,
    /// Whether the request was running in a trial.
    pub in_trial: bool,
}

/// Where an observation comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Made by this host.
    Local,
    /// Received from a peer.
    Peer,
    /// Read from the store.
    Store,
}

/// Crash of an upstream while running a suspect.
#[derive(Debug, Clone, Copy)]
struct Crash {
    /// Identifier of the upstream's process start.
    upstream: u32,
    at: Instant,
    /// Whether the request was running in a trial.
    in_trial: bool,
    /// Whether this host observed the crash.
    is_local: bool,
    /// Whether the store has a row for the crash.
    is_recorded: bool,
}

/// A request that was running when upstreams crashed.
#[derive(Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    /// In the order in which they became known, at most one per process start.
    crashes: Vec<Crash>,
    /// Time of the last complete answer.
    answered_at: Option<Instant>,
    /// Whether this host observed that answer, and so removes the rows of earlier crashes.
    is_answered_locally: bool,
    /// Number of trials taken since the last answer.
    trials: usize,
    /// Time of the last trial.
    last_trial_at: Option<Instant>,
    /// Time at which this host last requested a trial.
    trial_requested_at: Option<Instant>,
    /// Time of the last observation.
    updated_at: Instant,
}

impl Suspect {
    /// A request without observations.
    fn new(fingerprint: Fingerprint, now: Instant) -> Self {
        Self {
            fingerprint,
            crashes: Vec::new(),
            answered_at: None,
            is_answered_locally: false,
            trials: 0,
            last_trial_at: None,
            trial_requested_at: None,
            updated_at: now,
        }
    }

    /// Crashes since the last answer.
    fn crashes_since_answer(&self) -> impl Iterator<Item = &Crash> {
        let is_counted = |crash: &&Crash| self.answered_at.is_none_or(|at| crash.at > at);
        self.crashes.iter().filter(is_counted)
    }

    /// Number of crashes since the last answer.
    fn crash_count(&self) -> usize {
        self.crashes_since_answer().count()
    }

    /// Crashes before the last answer that the store still has rows for.
    fn stale_crashes(&self) -> impl Iterator<Item = &Crash> {
        let is_stale = |crash: &&Crash| crash.is_recorded && Some(crash.at) <= self.answered_at;
        self.crashes.iter().filter(is_stale)
    }

    fn record(&self, crash: &Crash) -> CrashRecord {
        CrashRecord {
            fingerprint: self.fingerprint,
            upstream: crash.upstream,
            at: crash.at,
            in_trial: crash.in_trial,
        }
    }

    /// Time after the last observation at which the suspect expires.
    fn retention(&self) -> Duration {
        match self.crash_count() {
            0 if !self.crashes.iter().any(|crash| crash.is_recorded) => CLEARED_RETENTION,
            1 => SINGLE_CRASH_RETENTION,
            _ => RETENTION,
        }
    }
}

/// Requests that a host suspects of crashing upstreams.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Sorted by fingerprint.
    suspects: Vec<Suspect>,
    outbox: Outbox,
    /// Time at which answers were last resent.
    reminded_at: Option<Instant>,
    /// Time of the last removal of expired suspects.
    expire_ran_at: Option<Instant>,
}

impl CrashTracker {
    /// Whether there are no suspects, so that requests needn't be hashed and looked up.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether and how a request may be sent to an upstream.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.find(fingerprint) else {
            return Verdict::Allowed;
        };
        match suspect.crash_count() {
            0 => Verdict::Allowed,
            n if n < BLOCK_THRESHOLD => Verdict::Suspected,
            _ => self.blocked_verdict(suspect, now),
        }
    }

    /// Number of crashes of a request since its last answer.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.find(fingerprint).map_or(0, Suspect::crash_count)
    }

    /// Applies an observation. If it is new and `forward` is true, it is also sent to peers.
    pub fn apply(
        &mut self,
        observation: Observation,
        source: Source,
        forward: bool,
        now: Instant,
    ) -> Change {
        let (change, is_new) = match observation {
            Observation::Crash {
                fingerprint,
                upstream,
                at,
                in_trial,
            } => {
                let crash = Crash {
                    upstream,
                    at,
                    in_trial,
                    is_local: source == Source::Local,
                    is_recorded: source == Source::Store,
                };
                self.apply_crash(fingerprint, crash, now)
            }
            Observation::Answer { fingerprint, at } => {
                self.apply_answer(fingerprint, at, source, now)
            }
        };
        if is_new && forward {
            self.outbox.push(observation, now);
        }
        change
    }

    /// Adds a crash. The second value is true if peers should be told of it.
    fn apply_crash(
        &mut self,
        fingerprint: Fingerprint,
        new: Crash,
        now: Instant,
    ) -> (Change, bool) {
        let Some(suspect) = self.entry(fingerprint, now) else {
            return (Change::Unchanged, false);
        };
        suspect.updated_at = now;
        let before = suspect.crash_count();
        let mut known = suspect.crashes.iter_mut();
        if let Some(crash) = known.find(|crash| crash.upstream == new.upstream) {
            crash.is_local |= new.is_local;
            crash.is_recorded |= new.is_recorded;
            // First observed with an equal request outside the trial: sent and recorded again.
            let is_new_trial = new.in_trial && !crash.in_trial;
            crash.in_trial |= new.in_trial;
            crash.is_recorded &= new.is_recorded || !is_new_trial;
            return (Change::Unchanged, is_new_trial);
        }
        if suspect.crashes.len() >= MAX_CRASHES {
            // Recorded crashes are kept so that their rows can be removed later.
            let oldest = suspect.crashes.iter().position(|e| !e.is_recorded);
            suspect.crashes.remove(oldest.unwrap_or(0));
        }
        suspect.crashes.push(new);
        let after = suspect.crash_count();
        let change = match after {
            n if n <= before => Change::Unchanged,
            n if n >= BLOCK_THRESHOLD && before < BLOCK_THRESHOLD => Change::Blocked(n),
            n => Change::Counted(n),
        };
        // Crashes before the last answer aren't sent, as peers would count them again.
        (change, after > before)
    }

    /// Records an answer. The second value is true if peers should be told of it.
    fn apply_answer(
        &mut self,
        fingerprint: Fingerprint,
        at: Instant,
        source: Source,
        now: Instant,
    ) -> (Change, bool) {
        // The request is a suspect at the peer, so crashes from before the answer may still be
        // received or read from the store.
        let suspect = match source {
            Source::Peer => self.entry(fingerprint, now),
            Source::Local | Source::Store => self.find_mut(fingerprint),
        };
        let Some(suspect) = suspect else {
            return (Change::Unchanged, false);
        };
        suspect.updated_at = now;
        let before = suspect.crash_count();
        suspect.answered_at = suspect.answered_at.max(Some(at));
        let after = suspect.crash_count();
        if before == after {
            return (Change::Unchanged, false);
        }
        suspect.is_answered_locally = source == Source::Local;
        suspect.trials = 0;
        (suspect.last_trial_at, suspect.trial_requested_at) = (None, None);
        match after {
            0 => (Change::Cleared, true),
            _ => (Change::Counted(after), true),
        }
    }

    /// Returns up to `limit` crashes that this host should record, of requests with at least
    /// `min_crashes`: those that it observed, and other hosts' from before `others_before`,
    /// which those had time to record themselves.
    pub fn unrecorded(
        &self,
        min_crashes: usize,
        others_before: Option<Instant>,
        limit: usize,
    ) -> Vec<CrashRecord> {
        let suspects = self
            .suspects
            .iter()
            .filter(|s| s.crash_count() >= min_crashes);
        let crashes = suspects.flat_map(|s| s.crashes_since_answer().map(move |crash| (s, crash)));
        let due = crashes.filter(|(_, crash)| {
            let is_due = crash.is_local || others_before.is_some_and(|before| crash.at < before);
            is_due && !crash.is_recorded
        });
        due.map(|(s, crash)| s.record(crash)).take(limit).collect()
    }

    /// Returns up to `limit` recorded crashes whose rows this host should remove, as the request
    /// was answered since: those with an answer that it observed, and those with an answer at
    /// another host before `others_before`, which had time to remove them itself.
    pub fn obsolete_records(
        &self,
        others_before: Option<Instant>,
        limit: usize,
    ) -> Vec<CrashRecord> {
        let suspects = self.suspects.iter().filter(|s| {
            let is_due = |at| others_before.is_some_and(|before| at < before);
            s.is_answered_locally || s.answered_at.is_some_and(is_due)
        });
        let crashes = suspects.flat_map(|s| s.stale_crashes().map(move |crash| s.record(crash)));
        crashes.take(limit).collect()
    }

    /// Sets whether the store has a row for a crash.
    pub fn set_recorded(&mut self, record: &CrashRecord, is_recorded: bool) {
        let Some(suspect) = self.find_mut(record.fingerprint) else {
            return;
        };
        let mut crashes = suspect.crashes.iter_mut();
        if let Some(crash) = crashes.find(|e| e.upstream == record.upstream) {
            crash.is_recorded = is_recorded;
        }
    }

    /// Removes a crash whose row was removed from the store because the request was answered or
    /// the row expired.
    pub fn remove_crash(&mut self, fingerprint: Fingerprint, upstream: u32) -> Change {
        let Some(suspect) = self.find_mut(fingerprint) else {
            return Change::Unchanged;
        };
        let before = suspect.crash_count();
        suspect.crashes.retain(|crash| crash.upstream != upstream);
        match suspect.crash_count() {
            0 if before > 0 => {
                suspect.trials = 0;
                (suspect.last_trial_at, suspect.trial_requested_at) = (None, None);
                Change::Cleared
            }
            _ => Change::Unchanged,
        }
    }

    /// Crashes that were last known to be in the store. After a full read of the store, those
    /// that it no longer has must be removed.
    pub fn recorded(&self) -> Vec<CrashRecord> {
        let suspects = self.suspects.iter();
        let crashes = suspects.flat_map(|s| s.crashes.iter().map(move |crash| (s, crash)));
        let recorded = crashes.filter(|(_, crash)| crash.is_recorded);
        recorded.map(|(s, crash)| s.record(crash)).collect()
    }

    /// Removes expired suspects. It may be called for every datagram sent, and has an effect at
    /// most once per second.
    pub fn expire(&mut self, now: Instant) {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self.is_empty()
            || self
                .expire_ran_at
                .is_some_and(|at| since(at) < EXPIRE_EVERY)
        {
            return;
        }
        self.expire_ran_at = Some(now);
        self.suspects
            .retain(|s| now.saturating_duration_since(s.updated_at) < s.retention());
    }

    /// Returns the observations to send to peers now. Requests with more crashes come first, as
    /// those with few were probably running by coincidence.
    pub fn due_observations(&mut self, now: Instant) -> Vec<Observation> {
        let mut outbox = std::mem::take(&mut self.outbox);
        let mut observations = outbox.due(now, |observation| self.priority(observation));
        self.outbox = outbox;
        observations.extend(self.reminders(now));
        observations
    }

    /// Answers of requests whose earlier crashes are still in the store because it couldn't be
    /// written since.
    fn reminders(&mut self, now: Instant) -> Vec<Observation> {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self.reminded_at.is_some_and(|at| since(at) < REMIND_EVERY) {
            return Vec::new();
        }
        let suspects = self.suspects.iter();
        let answered = suspects.filter(|s| s.stale_crashes().next().is_some());
        let observations: Vec<Observation> = answered
            .filter_map(|s| Some((s.fingerprint, s.answered_at?)))
            .map(|(fingerprint, at)| Observation::Answer { fingerprint, at })
            .take(MAX_REMINDERS)
            .collect();
        if !observations.is_empty() {
            self.reminded_at = Some(now);
        }
        observations
    }

    /// Priority of an observation; higher is sent first. `None` for a crash before the last
    /// answer, which would make the request a suspect again at a peer that has just started.
    fn priority(&self, observation: &Observation) -> Option<usize> {
        let Observation::Crash {
            fingerprint, at, ..
        } = observation
        else {
            return Some(BLOCK_THRESHOLD);
        };
        let suspect = self.find(*fingerprint)?;
        let counts = suspect.answered_at.is_none_or(|answered| *at > answered);
        counts.then(|| suspect.crash_count())
    }

    fn find(&self, fingerprint: Fingerprint) -> Option<&Suspect> {
        let at = self
            .suspects
            .binary_search_by_key(&fingerprint, |s| s.fingerprint);
        at.ok().map(|at| &self.suspects[at])
    }

    fn find_mut(&mut self, fingerprint: Fingerprint) -> Option<&mut Suspect> {
        let at = self
            .suspects
            .binary_search_by_key(&fingerprint, |s| s.fingerprint);
        at.ok().map(|at| &mut self.suspects[at])
    }

    /// Returns the suspect for a request, and adds it if necessary. `None` if there are too many
    /// suspects and all of them are blocked.
    fn entry(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<&mut Suspect> {
        let known = self
            .suspects
            .binary_search_by_key(&fingerprint, |s| s.fingerprint);
        let at = match known {
            Ok(at) => at,
            Err(_) if self.suspects.len() >= MAX_SUSPECTS && !self.evict_one() => return None,
            Err(_) => {
                let at = self
                    .suspects
                    .partition_point(|s| s.fingerprint < fingerprint);
                self.suspects.insert(at, Suspect::new(fingerprint, now));
                at
            }
        };
        Some(&mut self.suspects[at])
    }

    /// Removes the suspect with the fewest crashes, among equals the one whose last observation
    /// is oldest. Blocked requests stay. Returns whether a suspect was removed.
    fn evict_one(&mut self) -> bool {
        let all = self.suspects.iter().enumerate();
        let candidate = all.min_by_key(|(_, s)| (s.crash_count(), s.updated_at));
        let Some((at, _)) = candidate.filter(|(_, s)| s.crash_count() < BLOCK_THRESHOLD) else {
            return false;
        };
        self.suspects.remove(at);
        true
    }
}
