//! Detection of requests, and of parts of prompts, that crash upstreams.
//!
//! An engine runs several requests at once, and a single crash doesn't show which of them caused
//! it. So each request that was running, and each part of its prompt that other requests may have,
//! becomes a suspect until it is answered completely: what crashes every upstream is never
//! answered, while anything else is answered by the next upstream. All hosts report a crash once for
//! each request that was running ([`Run`]); the request and its parts are views of that record.
//!
//! A request with [`BLOCK_THRESHOLD`] crashes since its last answer is blocked. A part is blocked if
//! it explains as many crashes (see `explanation.rs`): parts are shared, and many that are innocent
//! were running at several crashes.
//!
//! Many simultaneous crashes are weak evidence, as when half of a fleet is lost or reset: a
//! common request runs everywhere. So one host sends a blocked request again on behalf of all,
//! alone on an upstream, immediately and soon once more (see `trials.rs`). An answer clears it,
//! and crashes in both trials confirm it, unless another suspect with several crashes was running
//! too. A trial with neither crash nor answer is repeated soon. A confirmed suspect has a last
//! trial later, as the fault of the upstream may have been fixed.
//!
//! Crashes are counted over all hosts. Each host sends its observations to the others
//! ([`CrashTracker::due_observations`]), and repeated crashes are recorded in a store
//! ([`CrashTracker::unrecorded`]). An answer is resent while the store has rows of earlier
//! crashes, as hosts that start meanwhile read them.

mod answered;
mod explanation;
mod outbox;
mod run;
mod suspect;
mod trials;

pub use explanation::{BlockedPart, PartChange};
pub use run::{MAX_PARTS, Run, Subject};
pub use trials::STORED_TRIALS;

use crate::Fingerprint;
use answered::AnsweredParts;
use explanation::Explanation;
use outbox::Outbox;
use std::sync::Arc;
use std::time::{Duration, Instant};
use suspect::{Added, Crash, Suspect, Suspects};

/// Crashes without an answer between them after which a request is blocked. Two may be a
/// coincidence: a retried idempotent request can run into a second crash of a series.
pub const BLOCK_THRESHOLD: usize = 3;
/// Number of crashes from which they are recorded in the store. Few requests have a second
/// crash, so there are few such rows.
pub const RECORD_THRESHOLD: usize = 2;
/// Time after which crashes expire. A fault that crashes an engine is fixed by a release hours
/// later, but a request that was blocked wrongly must not stay blocked forever.
pub const RETENTION: Duration = Duration::from_secs(3600);
/// Interval between removals of expired suspects.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);
/// Interval at which answers are resent while the store has rows of earlier crashes, and the
/// maximum number of answers each time.
const REMIND_EVERY: Duration = Duration::from_secs(1);
const MAX_REMINDERS: usize = 4;

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
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// An upstream crashed or disappeared while running a request.
    Crash {
        /// The request with its parts.
        run: Run,
        /// Identifier of the upstream's process start.
        upstream: u32,
        /// Time of the crash.
        at: Instant,
        /// Whether the request was running in a trial.
        in_trial: bool,
    },
    /// A request was answered completely.
    Answer {
        /// The request; `None` if only parts are reported.
        request: Option<Fingerprint>,
        /// Parts of its prompt.
        parts: Arc<[u64]>,
        /// Time of the answer.
        at: Instant,
    },
}

impl Observation {
    /// A complete answer to a request.
    pub fn answer(run: Run, at: Instant) -> Self {
        Self::Answer {
            request: Some(run.request),
            parts: run.parts,
            at,
        }
    }

    /// The request that was observed, if it is reported.
    pub fn request(&self) -> Option<Fingerprint> {
        match self {
            Self::Crash { run, .. } => Some(run.request),
            Self::Answer { request, .. } => *request,
        }
    }

    /// Parts of the prompt that was observed.
    pub fn parts(&self) -> &[u64] {
        match self {
            Self::Crash { run, .. } => &run.parts,
            Self::Answer { parts, .. } => parts,
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
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// The request that was running, with those parts for which the crash is recorded.
    pub run: Run,
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

/// Effect of a crash on a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashEffect {
    /// It was known.
    Known,
    /// It was known, but not that it occurred in a trial.
    KnownInTrial,
    /// It doesn't count, as the suspect was answered later, or replaces an earlier one.
    BeforeAnswer,
    /// It counts.
    Counted(Change),
}

impl CrashEffect {
    /// Whether peers should be told. Crashes before the last answer aren't sent, as peers would
    /// count them again.
    fn is_news(self) -> bool {
        matches!(self, Self::KnownInTrial | Self::Counted(_))
    }
}

/// Requests and parts of prompts that a host suspects of crashing upstreams.
#[derive(Debug, Default)]
pub struct CrashTracker {
    requests: Suspects,
    parts: Suspects,
    answered: AnsweredParts,
    explanation: Explanation,
    outbox: Outbox,
    /// Time at which answers were last resent.
    reminded_at: Option<Instant>,
    /// Time of the last removal of expired suspects.
    expire_ran_at: Option<Instant>,
}

impl CrashTracker {
    /// Whether there are no suspects, so that requests needn't be hashed and looked up.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.requests.len() + self.parts.len()
    }

    /// Whether and how a request may be sent to an upstream, without regard to its parts.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.find(fingerprint.into()) else {
            return Verdict::Allowed;
        };
        match suspect.crash_count() {
            0 => Verdict::Allowed,
            n if n < BLOCK_THRESHOLD => Verdict::Suspected,
            _ => self.blocked_verdict(suspect, now),
        }
    }

    /// Number of crashes of a request or part since its last answer.
    pub fn crash_count(&self, subject: impl Into<Subject>) -> usize {
        self.find(subject.into()).map_or(0, Suspect::crash_count)
    }

    /// Records that prompts with these parts were answered completely by this host. To be called
    /// for each answer, also while there are no suspects: such parts are unlikely causes of later
    /// crashes.
    pub fn record_answered_parts(&mut self, parts: impl Iterator<Item = u64>, now: Instant) {
        for part in parts {
            self.answered.record(part, now);
        }
    }

    /// Applies an observation. If it is new and `forward` is true, it is also sent to peers.
    /// Returns the effect on the request.
    pub fn apply(
        &mut self,
        observation: Observation,
        source: Source,
        forward: bool,
        now: Instant,
    ) -> Change {
        match observation {
            Observation::Crash {
                run,
                upstream,
                at,
                in_trial,
            } => {
                let crash = Crash {
                    run,
                    upstream,
                    at,
                    in_trial,
                    is_local: source == Source::Local,
                    is_recorded: source == Source::Store,
                };
                self.apply_crash(crash, source, forward, now)
            }
            Observation::Answer { request, parts, at } => {
                self.apply_answer(request, &parts, at, source, forward, now)
            }
        }
    }

    /// Adds a crash to the request and its parts.
    fn apply_crash(&mut self, crash: Crash, source: Source, forward: bool, now: Instant) -> Change {
        let (mut change, mut is_new) = (Change::Unchanged, false);
        let mut answered = Vec::new();
        for subject in crash.run.subjects() {
            let effect = self.add_crash(subject, &crash, now);
            is_new |= effect.is_news();
            match (subject, effect) {
                (Subject::Request(_), CrashEffect::Counted(effect)) => change = effect,
                (Subject::Part(id), CrashEffect::BeforeAnswer)
                    if self.answered.answered_at(id) >= Some(crash.at) =>
                {
                    answered.push(id);
                }
                _ => {}
            }
        }
        self.explanation.set_outdated();
        // The peer doesn't know of the answer, which was no news when it came.
        if source == Source::Peer && !answered.is_empty() {
            self.send_answered_parts(&answered, now);
        }
        if is_new && forward {
            let observation = Observation::Crash {
                run: crash.run,
                upstream: crash.upstream,
                at: crash.at,
                in_trial: crash.in_trial,
            };
            self.outbox.push(observation, now);
        }
        change
    }

    /// Adds a crash to a suspect.
    fn add_crash(&mut self, subject: Subject, crash: &Crash, now: Instant) -> CrashEffect {
        let answered_at = match subject {
            Subject::Request(_) => None,
            Subject::Part(id) => self.answered.answered_at(id),
        };
        let Some(suspect) = self.suspects_mut(subject).entry(subject, now) else {
            return CrashEffect::Known;
        };
        suspect.updated_at = now;
        suspect.answered_at = suspect.answered_at.max(answered_at);
        let before = suspect.crash_count();
        match suspect.add(crash.clone()) {
            Added::Known(true) => return CrashEffect::KnownInTrial,
            Added::Known(false) => return CrashEffect::Known,
            Added::New => {}
        }
        match suspect.crash_count() {
            n if n <= before => CrashEffect::BeforeAnswer,
            n if n >= BLOCK_THRESHOLD && before < BLOCK_THRESHOLD => {
                CrashEffect::Counted(Change::Blocked(n))
            }
            n => CrashEffect::Counted(Change::Counted(n)),
        }
    }

    /// Tells peers of the last answers of parts.
    fn send_answered_parts(&mut self, parts: &[u64], now: Instant) {
        let at = parts
            .iter()
            .filter_map(|id| self.answered.answered_at(*id))
            .min();
        let Some(at) = at else {
            return;
        };
        let observation = Observation::Answer {
            request: None,
            parts: parts.into(),
            at,
        };
        self.outbox.push(observation, now);
    }

    /// Records an answer of a request and its parts.
    fn apply_answer(
        &mut self,
        request: Option<Fingerprint>,
        parts: &[u64],
        at: Instant,
        source: Source,
        forward: bool,
        now: Instant,
    ) -> Change {
        let is_local = source == Source::Local;
        let change = request.map_or(Change::Unchanged, |fingerprint| {
            self.apply_request_answer(fingerprint, at, source, now)
        });
        let mut cleared = Vec::new();
        for id in parts {
            self.answered.record(*id, at);
            let Some(suspect) = self.parts.find_mut(Subject::Part(*id)) else {
                continue;
            };
            suspect.updated_at = now;
            if suspect.answer(at, is_local) {
                cleared.push(*id);
            }
        }
        let request = request.filter(|_| change != Change::Unchanged);
        let is_new = request.is_some() || !cleared.is_empty();
        if is_new {
            self.explanation.set_outdated();
        }
        if is_new && forward {
            let parts = cleared.into();
            self.outbox
                .push(Observation::Answer { request, parts, at }, now);
        }
        change
    }

    fn apply_request_answer(
        &mut self,
        fingerprint: Fingerprint,
        at: Instant,
        source: Source,
        now: Instant,
    ) -> Change {
        // The request is a suspect at the peer, so crashes from before the answer may still be
        // received or read from the store.
        let suspect = match source {
            Source::Peer => self.requests.entry(fingerprint.into(), now),
            Source::Local | Source::Store => self.requests.find_mut(fingerprint.into()),
        };
        let Some(suspect) = suspect else {
            return Change::Unchanged;
        };
        suspect.updated_at = now;
        if !suspect.answer(at, source == Source::Local) {
            return Change::Unchanged;
        }
        match suspect.crash_count() {
            0 => Change::Cleared,
            n => Change::Counted(n),
        }
    }

    /// Returns up to `limit` crashes that this host should record: those of requests with at least
    /// `min_crashes`, and those that a part explains. They are the ones that it observed, and other
    /// hosts' from before `others_before`, which those had time to record themselves.
    pub fn unrecorded(
        &self,
        min_crashes: usize,
        others_before: Option<Instant>,
        limit: usize,
    ) -> Vec<CrashRecord> {
        let requests = self
            .requests
            .iter()
            .filter(|s| s.crash_count() >= min_crashes);
        let parts = self.explanation.parts();
        let parts = parts.filter_map(|id| self.find(Subject::Part(id)));
        let crashes = requests
            .chain(parts)
            .flat_map(Suspect::crashes_since_answer);
        let due = crashes.filter(|crash| {
            let is_due = crash.is_local || others_before.is_some_and(|before| crash.at < before);
            is_due && !crash.is_recorded
        });
        // A host that records single crashes can't tell which parts explain those of all hosts.
        let has_all_parts = min_crashes <= 1;
        let keep = |id| has_all_parts || self.explanation.contains(id);
        let mut records: Vec<CrashRecord> = Vec::new();
        for crash in due {
            let is_same = |r: &CrashRecord| {
                r.upstream == crash.upstream && r.run.request == crash.run.request
            };
            if records.len() < limit && !records.iter().any(is_same) {
                records.push(crash.record(crash.run.with_parts(keep)));
            }
        }
        records
    }

    /// Returns up to `limit` recorded crashes whose rows this host should remove, as the request or
    /// the part was answered since: those with an answer that it observed, and those with an answer
    /// at another host before `others_before`, which had time to remove them itself.
    pub fn obsolete_records(
        &self,
        others_before: Option<Instant>,
        limit: usize,
    ) -> Vec<CrashRecord> {
        let is_due = |s: &&Suspect| {
            let is_old = |at| others_before.is_some_and(|before| at < before);
            s.is_answered_locally || s.answered_at.is_some_and(is_old)
        };
        let requests = self.requests.iter().filter(is_due);
        let requests = requests.flat_map(|s| s.stale_crashes().map(move |c| (s, c)));
        let parts = self.parts.iter().filter(is_due);
        let parts = parts.flat_map(|s| s.stale_crashes().map(move |c| (s, c)));
        let parts = parts.filter(|(_, crash)| !self.needs_row(crash));
        let records = requests.chain(parts);
        let records = records.map(|(s, crash)| {
            let is_answered = |id| s.subject == Subject::Part(id);
            crash.record(crash.run.with_parts(is_answered))
        });
        records.take(limit).collect()
    }

    /// Whether a crash's row is needed for the request, or for a part that explains crashes and wasn't
    /// answered since.
    fn needs_row(&self, crash: &Crash) -> bool {
        let counts = |id: &u64| {
            let suspect = self.find(Subject::Part(*id));
            self.explanation.contains(*id) && suspect.is_some_and(|s| s.is_after_answer(crash.at))
        };
        self.crash_count(crash.run.request) >= RECORD_THRESHOLD
            || crash.run.parts.iter().any(counts)
    }

    /// Sets whether the store has a row for a crash.
    pub fn set_recorded(&mut self, record: &CrashRecord, is_recorded: bool) {
        for subject in record.run.subjects() {
            let Some(suspect) = self.suspects_mut(subject).find_mut(subject) else {
                continue;
            };
            let mut crashes = suspect.crashes.iter_mut();
            if let Some(crash) = crashes.find(|e| e.upstream == record.upstream) {
                crash.is_recorded = is_recorded;
            }
        }
    }

    /// Removes a crash whose row was removed from the store because the request or its parts were
    /// answered or the row expired. Returns the effect on the request.
    pub fn remove_crash(&mut self, fingerprint: Fingerprint, upstream: u32) -> Change {
        self.explanation.set_outdated();
        for suspect in self.parts.iter_mut() {
            suspect.crashes.retain(|crash| {
                crash.upstream != upstream || crash.run.request != fingerprint || !crash.is_recorded
            });
        }
        let Some(suspect) = self.requests.find_mut(fingerprint.into()) else {
            return Change::Unchanged;
        };
        let before = suspect.crash_count();
        suspect.crashes.retain(|crash| crash.upstream != upstream);
        match suspect.crash_count() {
            0 if before > 0 => {
                suspect.reset_trials();
                Change::Cleared
            }
            _ => Change::Unchanged,
        }
    }

    /// Crashes that were last known to be in the store. After a full read of the store, those
    /// that it no longer has must be removed.
    pub fn recorded(&self) -> Vec<CrashRecord> {
        let suspects = self.requests.iter().chain(self.parts.iter());
        let crashes = suspects.flat_map(|s| s.crashes.iter());
        let mut recorded: Vec<&Crash> = crashes.filter(|crash| crash.is_recorded).collect();
        let key = |crash: &&Crash| (crash.run.request, crash.upstream);
        recorded.sort_by_key(key);
        recorded.dedup_by_key(|crash| key(crash));
        let keep = |id| self.explanation.contains(id);
        let records = recorded.into_iter();
        records
            .map(|crash| crash.record(crash.run.with_parts(keep)))
            .collect()
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
        if self.requests.expire(now) | self.parts.expire(now) {
            self.explanation.set_outdated();
        }
    }

    /// Returns the observations to send to peers now. Those of suspects with more crashes come
    /// first, as those with few were probably running by coincidence.
    pub fn due_observations(&mut self, now: Instant) -> Vec<Observation> {
        let mut outbox = std::mem::take(&mut self.outbox);
        let mut observations = outbox.due(now, |observation| self.priority(observation));
        self.outbox = outbox;
        observations.extend(self.reminders(now));
        observations
    }

    /// Answers of suspects whose earlier crashes are still in the store because it couldn't be
    /// written since.
    fn reminders(&mut self, now: Instant) -> Vec<Observation> {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self.reminded_at.is_some_and(|at| since(at) < REMIND_EVERY) {
            return Vec::new();
        }
        let suspects = self.requests.iter().chain(self.parts.iter());
        let answered = suspects.filter(|s| s.stale_crashes().next().is_some());
        let observations: Vec<Observation> = answered
            .filter_map(|s| {
                let (request, part) = match s.subject {
                    Subject::Request(fingerprint) => (Some(fingerprint), None),
                    Subject::Part(id) => (None, Some(id)),
                };
                Some(Observation::Answer {
                    request,
                    parts: part.into_iter().collect(),
                    at: s.answered_at?,
                })
            })
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
        let (run, at) = match observation {
            Observation::Crash { run, at, .. } => (run, at),
            Observation::Answer { request: None, .. } => return Some(RECORD_THRESHOLD),
            Observation::Answer { .. } => return Some(BLOCK_THRESHOLD),
        };
        let suspects = run.subjects().filter_map(|subject| self.find(subject));
        let counting = suspects.filter(|s| s.is_after_answer(*at));
        // Parts that were answered before are unlikely causes.
        let weight = |s: &Suspect| match (s.subject, s.answered_at) {
            (Subject::Part(_), Some(_)) => 0,
            _ => s.crash_count(),
        };
        counting.map(weight).max()
    }

    fn suspects(&self, subject: Subject) -> &Suspects {
        match subject {
            Subject::Request(_) => &self.requests,
            Subject::Part(_) => &self.parts,
        }
    }

    fn suspects_mut(&mut self, subject: Subject) -> &mut Suspects {
        match subject {
            Subject::Request(_) => &mut self.requests,
            Subject::Part(_) => &mut self.parts,
        }
    }

    fn find(&self, subject: Subject) -> Option<&Suspect> {
        self.suspects(subject).find(subject)
    }
}
