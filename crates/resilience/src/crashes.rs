//! Requests under which upstreams end, and which of them are no longer sent.
//!
//! An engine runs several requests at once, and all of them see it end; which of them did it
//! can't be told from one end. So each is a suspect, and a whole answer clears it: what ends
//! every upstream never gets one, while a request that was there by chance gets its answer
//! at the next. One that has ended [`LIMIT`] upstreams since its last answer is held back.
//!
//! Being there at many ends at once, as when half of a fleet is lost or reset, proves little:
//! a common request runs everywhere. So one that is held back is tried again at once, alone,
//! by one host for all, and soon once more ([`trials`]). An answer clears it; if the upstream
//! ends both times, that proves it, unless work that is known to be there at several ends was
//! there too. A trial without an end and without an answer proves nothing, so another follows
//! soon. What is proven is tried a last time later, as what crashed may be mended.
//!
//! All hosts count together. What one learns it tells the others ([`Crashes::news`]), and
//! rows in a store keep what has come twice ([`Crashes::to_record`]). An answer is told again
//! as long as rows from before it are kept: who starts meanwhile reads them.

mod news;
mod trials;

pub use trials::TRIALS;

use crate::Fingerprint;
use news::Queue;
use std::time::{Duration, Instant};

/// Ends without an answer between them after which work is held back. Two may be chance:
/// an idempotent request that is tried again in a wave of crashes meets a second one.
pub const LIMIT: usize = 3;
/// Ends from which on a row in the store keeps them: work that meets a second end is rare,
/// so such rows are few.
pub const RECORD_FROM: usize = 2;
/// How long an end is remembered. What crashes an engine is mended by a release, hours
/// later; a request that was held back wrongly must not be for good.
pub const REMEMBERED: Duration = Duration::from_secs(3600);
/// The same of work that has ended one upstream alone: a client that comes again does so
/// within minutes, and as long as suspects are known each request must be hashed.
const ONCE_REMEMBERED: Duration = Duration::from_secs(600);
/// How long work that was cleared is remembered, so that a word that is told again doesn't
/// make it a suspect anew.
const CLEARED_REMEMBERED: Duration = Duration::from_secs(10);
/// Time between two looks for what is too old.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Time between two reminders that work was answered whose rows are still kept, and how many
/// works one has.
const REMIND_EVERY: Duration = Duration::from_secs(1);
const MAX_REMINDERS: usize = 4;
/// Works that are remembered: those that were on all engines of a large fleet that ended at
/// once, 130 bytes each. The one with the fewest ends yields first.
const MAX_SUSPECTS: usize = 1024;
/// Ends that are remembered of one work: what is known beyond the limit changes nothing.
const MAX_ENDS: usize = 8;
/// Whether and how a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Free,
    /// An upstream has ended under it: it goes where little else runs.
    Suspect,
    /// It is held back.
    Held(Proof),
    /// It is held back, and due to be tried: whoever takes this trial for all hosts may send
    /// it once.
    Trial(usize, Proof),
}

/// Whether work is known to end upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// It may have been there by chance.
    Open,
    /// Upstreams ended under it when it was tried.
    Proven,
}

/// What one host tells others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// An upstream ended under work.
    End {
        /// The work.
        work: Fingerprint,
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
        work: Fingerprint,
        /// When.
        at: Instant,
    },
}

impl Word {
    /// The work that it tells of.
    pub fn work(&self) -> Fingerprint {
        match self {
            Self::End { work, .. } | Self::Answer { work, .. } => *work,
        }
    }
}

/// What has become of work by a word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters.
    Same,
    /// It counts one end more, so many now.
    Counted(usize),
    /// The same, and it is held back from now on.
    HeldBack(usize),
    /// It is a suspect no more.
    Cleared,
}

/// An end that the store is to keep, or keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// The work.
    pub work: Fingerprint,
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
    Own,
    /// A peer.
    Peer,
    /// A row in the store.
    Store,
}

/// The end of one start of an upstream under some work.
#[derive(Debug, Clone, Copy)]
struct End {
    upstream: u32,
    at: Instant,
    /// Whether it ended under a trial.
    in_trial: bool,
    /// Whether this host saw it.
    is_own: bool,
    /// Whether a row in the store keeps it.
    is_recorded: bool,
}

#[derive(Debug)]
struct Suspect {
    work: Fingerprint,
    /// In the order in which they became known, each start once.
    ends: Vec<End>,
    /// When its last whole answer came.
    answered_at: Option<Instant>,
    /// Whether this host saw it, and so removes the rows of the ends before it.
    is_answered_here: bool,
    /// Trials that were taken since.
    trials: usize,
    /// When the last one was.
    tried_at: Option<Instant>,
    /// When this host last asked for one.
    asked_at: Option<Instant>,
    /// When it was last heard of.
    touched_at: Instant,
}

impl Suspect {
    /// The work, of which nothing is known yet.
    fn new(work: Fingerprint, now: Instant) -> Self {
        Self {
            work,
            ends: Vec::new(),
            answered_at: None,
            is_answered_here: false,
            trials: 0,
            tried_at: None,
            asked_at: None,
            touched_at: now,
        }
    }

    /// The ends since the last answer.
    fn counting(&self) -> impl Iterator<Item = &End> {
        let is_counted = |end: &&End| self.answered_at.is_none_or(|at| end.at > at);
        self.ends.iter().filter(is_counted)
    }

    /// Ends since the last answer.
    fn counted(&self) -> usize {
        self.counting().count()
    }

    /// Ends whose rows are kept though the work was answered since.
    fn outdated(&self) -> impl Iterator<Item = &End> {
        let is_outdated = |end: &&End| end.is_recorded && Some(end.at) <= self.answered_at;
        self.ends.iter().filter(is_outdated)
    }

    fn record(&self, end: &End) -> Record {
        Record {
            work: self.work,
            upstream: end.upstream,
            at: end.at,
            in_trial: end.in_trial,
        }
    }

    /// How long it is remembered after it was last heard of.
    fn remembered(&self) -> Duration {
        match self.counted() {
            0 if !self.ends.iter().any(|end| end.is_recorded) => CLEARED_REMEMBERED,
            1 => ONCE_REMEMBERED,
            _ => REMEMBERED,
        }
    }
}

/// The suspects that a host knows.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Sorted by work.
    suspects: Vec<Suspect>,
    news: Queue,
    /// When peers were last reminded of answers.
    reminded_at: Option<Instant>,
    /// When it was last looked for what is too old.
    looked_at: Option<Instant>,
}

impl Crashes {
    /// Whether nothing is suspected, so that no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many works are known.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether and how a request may be sent.
    pub fn verdict(&self, work: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.find(work) else {
            return Verdict::Free;
        };
        match suspect.counted() {
            0 => Verdict::Free,
            n if n < LIMIT => Verdict::Suspect,
            _ => self.held(suspect, now),
        }
    }

    /// Ends since the last answer.
    pub fn counted(&self, work: Fingerprint) -> usize {
        self.find(work).map_or(0, Suspect::counted)
    }

    /// Takes a word; what is new is told on if `tells_on`.
    pub fn take(&mut self, word: Word, source: Source, tells_on: bool, now: Instant) -> Change {
        let (change, is_new) = match word {
            Word::End {
                work,
                upstream,
                at,
                in_trial,
            } => {
                let end = End {
                    upstream,
                    at,
                    in_trial,
                    is_own: source == Source::Own,
                    is_recorded: source == Source::Store,
                };
                self.take_end(work, end, now)
            }
            Word::Answer { work, at } => self.take_answer(work, at, source, now),
        };
        if is_new && tells_on {
            self.news.push(word, now);
        }
        change
    }

    fn take_end(&mut self, work: Fingerprint, new: End, now: Instant) -> (Change, bool) {
        let Some(suspect) = self.entry(work, now) else {
            return (Change::Same, false);
        };
        suspect.touched_at = now;
        let before = suspect.counted();
        let mut known = suspect.ends.iter_mut();
        if let Some(end) = known.find(|end| end.upstream == new.upstream) {
            end.is_own |= new.is_own;
            end.is_recorded |= new.is_recorded;
            // Seen under another request of the same work first: told and kept anew.
            let is_news = new.in_trial && !end.in_trial;
            end.in_trial |= new.in_trial;
            end.is_recorded &= new.is_recorded || !is_news;
            return (Change::Same, is_news);
        }
        if suspect.ends.len() >= MAX_ENDS {
            // What is recorded must be known, so that its row can be removed.
            let oldest = suspect.ends.iter().position(|e| !e.is_recorded);
            suspect.ends.remove(oldest.unwrap_or(0));
        }
        suspect.ends.push(new);
        let after = suspect.counted();
        let change = match after {
            n if n <= before => Change::Same,
            n if n >= LIMIT && before < LIMIT => Change::HeldBack(n),
            n => Change::Counted(n),
        };
        // What was answered since needn't be told: peers would count it anew.
        (change, after > before)
    }

    fn take_answer(
        &mut self,
        work: Fingerprint,
        at: Instant,
        source: Source,
        now: Instant,
    ) -> (Change, bool) {
        // What a peer tells of is a suspect elsewhere, and its ends may be read or heard later.
        let suspect = match source {
            Source::Peer => self.entry(work, now),
            Source::Own | Source::Store => self.find_mut(work),
        };
        let Some(suspect) = suspect else {
            return (Change::Same, false);
        };
        suspect.touched_at = now;
        let before = suspect.counted();
        suspect.answered_at = suspect.answered_at.max(Some(at));
        let after = suspect.counted();
        if before == after {
            return (Change::Same, false);
        }
        suspect.is_answered_here = source == Source::Own;
        suspect.trials = 0;
        (suspect.tried_at, suspect.asked_at) = (None, None);
        match after {
            0 => (Change::Cleared, true),
            _ => (Change::Counted(after), true),
        }
    }

    /// Ends that the store is to keep, of works with so many ends: those that this host saw,
    /// and those of others that were known before a time, and whose hosts have had time to
    /// write them.
    pub fn to_record(
        &self,
        from_ends: usize,
        of_others: Option<Instant>,
        most: usize,
    ) -> Vec<Record> {
        let works = self.suspects.iter().filter(|s| s.counted() >= from_ends);
        let ends = works.flat_map(|s| s.counting().map(move |end| (s, end)));
        let due = ends.filter(|(_, end)| {
            let is_due = end.is_own || of_others.is_some_and(|before| end.at < before);
            is_due && !end.is_recorded
        });
        due.map(|(s, end)| s.record(end)).take(most).collect()
    }

    /// Ends that the store keeps of works that were answered since: their rows may go. Those
    /// that this host saw answered, and those that were answered at others before a time, as
    /// these have had time to remove them.
    pub fn to_remove(&self, of_others: Option<Instant>, most: usize) -> Vec<Record> {
        let works = self.suspects.iter().filter(|s| {
            let is_due = |at| of_others.is_some_and(|before| at < before);
            s.is_answered_here || s.answered_at.is_some_and(is_due)
        });
        let ends = works.flat_map(|s| s.outdated().map(move |end| s.record(end)));
        ends.take(most).collect()
    }

    /// Notes that the store keeps an end, or no longer does.
    pub fn set_recorded(&mut self, record: &Record, is_recorded: bool) {
        let Some(suspect) = self.find_mut(record.work) else {
            return;
        };
        let mut ends = suspect.ends.iter_mut();
        if let Some(end) = ends.find(|e| e.upstream == record.upstream) {
            end.is_recorded = is_recorded;
        }
    }

    /// Forgets an end whose row was removed: its work was answered, or it is too old.
    pub fn forget(&mut self, work: Fingerprint, upstream: u32) -> Change {
        let Some(suspect) = self.find_mut(work) else {
            return Change::Same;
        };
        let before = suspect.counted();
        suspect.ends.retain(|end| end.upstream != upstream);
        match suspect.counted() {
            0 if before > 0 => {
                suspect.trials = 0;
                (suspect.tried_at, suspect.asked_at) = (None, None);
                Change::Cleared
            }
            _ => Change::Same,
        }
    }

    /// Ends that the store kept at the last look; those that a whole read doesn't find any
    /// more are gone.
    pub fn recorded(&self) -> Vec<Record> {
        let works = self.suspects.iter();
        let ends = works.flat_map(|s| s.ends.iter().map(move |end| (s, end)));
        let recorded = ends.filter(|(_, end)| end.is_recorded);
        recorded.map(|(s, end)| s.record(end)).collect()
    }

    /// Forgets what is too old. It may be called with each datagram that is sent; a look a
    /// second is enough.
    pub fn expire(&mut self, now: Instant) {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self.is_empty() || self.looked_at.is_some_and(|at| since(at) < LOOK_EVERY) {
            return;
        }
        self.looked_at = Some(now);
        self.suspects
            .retain(|s| now.saturating_duration_since(s.touched_at) < s.remembered());
    }

    /// What peers are to be told now. Works with more ends first: one that was on an upstream
    /// by chance can wait.
    pub fn news(&mut self, now: Instant) -> Vec<Word> {
        let mut news = std::mem::take(&mut self.news);
        let mut words = news.due(now, |word| self.weight(word));
        self.news = news;
        words.extend(self.reminders(now));
        words
    }

    /// Answers of works whose ends the store still keeps, as it couldn't be written since.
    fn reminders(&mut self, now: Instant) -> Vec<Word> {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self.reminded_at.is_some_and(|at| since(at) < REMIND_EVERY) {
            return Vec::new();
        }
        let works = self.suspects.iter();
        let answered = works.filter(|s| s.outdated().next().is_some());
        let words: Vec<Word> = answered
            .filter_map(|s| Some((s.work, s.answered_at?)))
            .map(|(work, at)| Word::Answer { work, at })
            .take(MAX_REMINDERS)
            .collect();
        if !words.is_empty() {
            self.reminded_at = Some(now);
        }
        words
    }

    /// How much a word matters; none if it is out of date: an end whose work was answered
    /// since would make it a suspect anew at a peer that has just started.
    fn weight(&self, word: &Word) -> Option<usize> {
        let Word::End { work, at, .. } = word else {
            return Some(LIMIT);
        };
        let suspect = self.find(*work)?;
        let counts = suspect.answered_at.is_none_or(|answered| *at > answered);
        counts.then(|| suspect.counted())
    }

    fn find(&self, work: Fingerprint) -> Option<&Suspect> {
        let at = self.suspects.binary_search_by_key(&work, |s| s.work);
        at.ok().map(|at| &self.suspects[at])
    }

    fn find_mut(&mut self, work: Fingerprint) -> Option<&mut Suspect> {
        let at = self.suspects.binary_search_by_key(&work, |s| s.work);
        at.ok().map(|at| &mut self.suspects[at])
    }

    /// The suspect for work, made room for if it is new; none if all others matter more.
    fn entry(&mut self, work: Fingerprint, now: Instant) -> Option<&mut Suspect> {
        let known = self.suspects.binary_search_by_key(&work, |s| s.work);
        let at = match known {
            Ok(at) => at,
            Err(_) if self.suspects.len() >= MAX_SUSPECTS && !self.make_room() => return None,
            Err(_) => {
                let at = self.suspects.partition_point(|s| s.work < work);
                self.suspects.insert(at, Suspect::new(work, now));
                at
            }
        };
        Some(&mut self.suspects[at])
    }

    /// Forgets the suspect with the fewest ends, of these the one that was longest not heard
    /// of; says whether one could go. Works that are held back stay.
    fn make_room(&mut self) -> bool {
        let all = self.suspects.iter().enumerate();
        let least = all.min_by_key(|(_, s)| (s.counted(), s.touched_at));
        let Some((at, _)) = least.filter(|(_, s)| s.counted() < LIMIT) else {
            return false;
        };
        self.suspects.remove(at);
        true
    }
}
