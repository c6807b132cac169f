//! Requests under which upstreams end, and which of them are no longer sent.
//!
//! An engine runs several requests at once, and all of them see it end; which of them did it
//! can't be told from one end. So each is a suspect, and a whole answer clears it: what ends
//! every upstream never gets one, while a request that was there by chance gets its answer
//! at the next. One that has ended [`BLOCK_THRESHOLD`] upstreams since its last answer is held back.
//!
//! Being there at many ends at once, as when half of a fleet is lost or reset, proves little:
//! a common request runs everywhere. So one that is held back is tried again at once, alone,
//! by one host for all, and soon once more ([`trials`]). An answer clears it; if the upstream
//! ends both times, that proves it, unless work that is known to be there at several ends was
//! there too. A trial without an end and without an answer proves nothing, so another follows
//! soon. What is proven is tried a last time later, as what crashed may be mended.
//!
//! All hosts count together. What one learns it tells the others ([`CrashTracker::outbox`]), and
//! rows in a store keep what has come twice ([`CrashTracker::unrecorded`]). An answer is told again
//! as long as rows from before it are kept: who starts meanwhile reads them.

mod outbox;
mod trials;

pub use trials::STORED_TRIALS;

use crate::Fingerprint;
use outbox::Outbox;
use std::time::{Duration, Instant};

/// Ends without an answer between them after which work is held back. Two may be chance:
/// an idempotent request that is tried again in a wave of crashes meets a second one.
pub const BLOCK_THRESHOLD: usize = 3;
/// Ends from which on a row in the store keeps them: work that meets a second end is rare,
/// so such rows are few.
pub const RECORD_THRESHOLD: usize = 2;
/// How long an end is remembered. What crashes an engine is mended by a release, hours
/// later; a request that was held back wrongly must not be for good.
pub const RETENTION: Duration = Duration::from_secs(3600);
/// The same of work that has ended one upstream alone: a client that comes again does so
/// within minutes, and as long as suspects are known each request must be hashed.
const SINGLE_CRASH_RETENTION: Duration = Duration::from_secs(600);
/// How long work that was cleared is remembered, so that a word that is told again doesn't
/// make it a suspect anew.
const CLEARED_RETENTION: Duration = Duration::from_secs(10);
/// Time between two looks for what is too old.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);
/// Time between two reminders that work was answered whose rows are still kept, and how many
/// works one has.
const REMIND_EVERY: Duration = Duration::from_secs(1);
const MAX_REMINDERS: usize = 4;
/// Works that are remembered: those that were on all engines of a large fleet that ended at
/// once, 130 bytes each. The one with the fewest ends yields first.
const MAX_SUSPECTS: usize = 1024;
/// Ends that are remembered of one work: what is known beyond the limit changes nothing.
const MAX_CRASHES: usize = 8;
/// Whether and how a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Allowed,
    /// An upstream has ended under it: it goes where little else runs.
    Suspected,
    /// It is held back.
    Blocked(Confidence),
    /// It is held back, and due to be tried: whoever takes this trial for all hosts may send
    /// it once.
    Trial(usize, Confidence),
}

/// Whether work is known to end upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confidence {
    /// It may have been there by chance.
    Unconfirmed,
    /// Upstreams ended under it when it was tried.
    Confirmed,
}

/// What one host tells others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// An upstream ended under work.
    Crash {
        /// The work.
        fingerprint: Fingerprint,
        /// Tag of the upstream's start.
        upstream: u32,
        /// When it ended.
        at: Instant,
        /// Whether it ended under a trial of the work.
        in_trial: bool,
    },
    /// Work has had its whole answer.
    Answer {
        /// The work.
        fingerprint: Fingerprint,
        /// When.
        at: Instant,
    },
}

impl Observation {
    /// The work that it tells of.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Crash { fingerprint, .. } | Self::Answer { fingerprint, .. } => *fingerprint,
        }
    }
}

/// What has become of work by a word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters.
    Unchanged,
    /// It counts one end more, so many now.
    Counted(usize),
    /// The same, and it is held back from now on.
    Blocked(usize),
    /// It is a suspect no more.
    Cleared,
}

/// An end that the store is to keep, or keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashRecord {
    /// The work.
    pub fingerprint: Fingerprint,
    /// Tag of the upstream's start.
    pub upstream: u32,
    /// When it ended.
    pub at: Instant,
    /// Whether it ended under a trial of the work.
    pub in_trial: bool,
}

/// Who told of an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This host saw it.
    Local,
    /// A peer.
    Peer,
    /// A row in the store.
    Store,
}

/// The end of one start of an upstream under some work.
#[derive(Debug, Clone, Copy)]
struct Crash {
    upstream: u32,
    at: Instant,
    /// Whether it ended under a trial.
    in_trial: bool,
    /// Whether this host saw it.
    is_local: bool,
    /// Whether a row in the store keeps it.
    is_recorded: bool,
}

#[derive(Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    /// In the order in which they became known, each start once.
    crashes: Vec<Crash>,
    /// When its last whole answer came.
    answered_at: Option<Instant>,
    /// Whether this host saw it, and so removes the rows of the ends before it.
    is_answered_locally: bool,
    /// Trials that were taken since.
    trials: usize,
    /// When the last one was.
    last_trial_at: Option<Instant>,
    /// When this host last asked for one.
    trial_requested_at: Option<Instant>,
    /// When it was last heard of.
    updated_at: Instant,
}

impl Suspect {
    /// The work, of which nothing is known yet.
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

    /// The ends since the last answer.
    fn crashes_since_answer(&self) -> impl Iterator<Item = &Crash> {
        let is_counted = |crash: &&Crash| self.answered_at.is_none_or(|at| crash.at > at);
        self.crashes.iter().filter(is_counted)
    }

    /// Ends since the last answer.
    fn crash_count(&self) -> usize {
        self.crashes_since_answer().count()
    }

    /// Ends whose rows are kept though the work was answered since.
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

    /// How long it is remembered after it was last heard of.
    fn retention(&self) -> Duration {
        match self.crash_count() {
            0 if !self.crashes.iter().any(|crash| crash.is_recorded) => CLEARED_RETENTION,
            1 => SINGLE_CRASH_RETENTION,
            _ => RETENTION,
        }
    }
}

/// The suspects that a host knows.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Sorted by work.
    suspects: Vec<Suspect>,
    outbox: Outbox,
    /// When peers were last reminded of answers.
    reminded_at: Option<Instant>,
    /// When it was last looked for what is too old.
    expire_ran_at: Option<Instant>,
}

impl CrashTracker {
    /// Whether nothing is suspected, so that no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many works are known.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether and how a request may be sent.
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

    /// Ends since the last answer.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.find(fingerprint).map_or(0, Suspect::crash_count)
    }

    /// Takes a word; what is new is told on if `tells_on`.
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
            // Seen under another request of the same work first: told and kept anew.
            let is_new_trial = new.in_trial && !crash.in_trial;
            crash.in_trial |= new.in_trial;
            crash.is_recorded &= new.is_recorded || !is_new_trial;
            return (Change::Unchanged, is_new_trial);
        }
        if suspect.crashes.len() >= MAX_CRASHES {
            // What is recorded must be known, so that its row can be removed.
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
        // What was answered since needn't be told: peers would count it anew.
        (change, after > before)
    }

    fn apply_answer(
        &mut self,
        fingerprint: Fingerprint,
        at: Instant,
        source: Source,
        now: Instant,
    ) -> (Change, bool) {
        // What a peer tells of is a suspect elsewhere, and its ends may be read or heard later.
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

    /// Ends that the store is to keep, of works with so many ends: those that this host saw,
    /// and those of others that were known before a time, and whose hosts have had time to
    /// write them.
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

    /// Ends that the store keeps of works that were answered since: their rows may go. Those
    /// that this host saw answered, and those that were answered at others before a time, as
    /// these have had time to remove them.
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

    /// Notes that the store keeps an end, or no longer does.
    pub fn set_recorded(&mut self, record: &CrashRecord, is_recorded: bool) {
        let Some(suspect) = self.find_mut(record.fingerprint) else {
            return;
        };
        let mut crashes = suspect.crashes.iter_mut();
        if let Some(crash) = crashes.find(|e| e.upstream == record.upstream) {
            crash.is_recorded = is_recorded;
        }
    }

    /// Forgets an end whose row was removed: its work was answered, or it is too old.
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

    /// Ends that the store kept at the last look; those that a whole read doesn't find any
    /// more are gone.
    pub fn recorded(&self) -> Vec<CrashRecord> {
        let suspects = self.suspects.iter();
        let crashes = suspects.flat_map(|s| s.crashes.iter().map(move |crash| (s, crash)));
        let recorded = crashes.filter(|(_, crash)| crash.is_recorded);
        recorded.map(|(s, crash)| s.record(crash)).collect()
    }

    /// Forgets what is too old. It may be called with each datagram that is sent; a look a
    /// second is enough.
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

    /// What peers are to be told now. Works with more ends first: one that was on an upstream
    /// by chance can wait.
    pub fn due_observations(&mut self, now: Instant) -> Vec<Observation> {
        let mut outbox = std::mem::take(&mut self.outbox);
        let mut observations = outbox.due(now, |observation| self.priority(observation));
        self.outbox = outbox;
        observations.extend(self.reminders(now));
        observations
    }

    /// Answers of works whose ends the store still keeps, as it couldn't be written since.
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

    /// How much a word matters; none if it is out of date: an end whose work was answered
    /// since would make it a suspect anew at a peer that has just started.
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

    /// The suspect for work, made room for if it is new; none if all others matter more.
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

    /// Forgets the suspect with the fewest ends, of these the one that was longest not heard
    /// of; says whether one could go. Works that are held back stay.
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
