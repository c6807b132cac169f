//! Finds the parts of prompts that explain the crashes of upstreams.
//!
//! A crash involves all parts of all requests that were running, and parts that many requests share
//! are involved in most crashes. Counting per part would blame the first part of a route as soon
//! as upstreams crash faster than prompts are answered. So the crashes are explained together: the
//! part or request that was running at the most crashes explains these, and the others are only
//! blamed for what is left. A part that was answered before it was involved in crashes is an unlikely
//! cause. It is blamed last, and crashes at the same moment count once for it, as those of a large
//! failure do.
//!
//! Parts that were running at exactly the same crashes can't be told apart. Only prompts with all of
//! them are blocked. A prompt with some of them tells more than a trial: its answer clears these, and
//! a crash blames them.

use super::run::Subject;
use super::suspect::Suspect;
use super::{BLOCK_THRESHOLD, CrashTracker, Verdict};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Number of moments with crashes after which a part is blamed that was answered before.
const SOUND_THRESHOLD: usize = 3;
/// Time between two crashes from which they are different moments. An idle upstream begins to answer
/// in this time.
const MOMENT: Duration = Duration::from_millis(100);
/// Weight of a crash for a part that was never answered, relative to a moment with crashes for one
/// that was.
const UNANSWERED_WEIGHT: usize = 4;
/// Maximum number of explanations.
const MAX_CAUSES: usize = 32;
/// Number of crashes from which prompts with a part that was never answered run isolated.
const ISOLATE_THRESHOLD: usize = 2;
/// Time after the last crash or trial before prompts with all parts of a cause are tried, if only some
/// of the parts may be the cause. A prompt with some of them tells more, and may come before.
const UNDISTINGUISHED_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Minimum interval between two searches for explanations, as large failures bring many reports.
const UPDATE_EVERY: Duration = Duration::from_millis(5);

/// Likely cause of crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Cause {
    /// Parts that can't be told apart, sorted. A prompt with all of them crashes upstreams.
    parts: Vec<u64>,
    /// Number of crashes.
    crashes: usize,
}

/// Explanations of the known crashes.
#[derive(Debug, Default)]
pub(super) struct Explanation {
    causes: Vec<Cause>,
    /// Whether observations have changed since.
    is_outdated: bool,
    updated_at: Option<Instant>,
}

/// Change of the parts that are blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartChange {
    /// Prompts with a part are blocked from now on.
    Blocked {
        /// The part.
        part: u64,
        /// Number of crashes that it explains.
        crashes: usize,
        /// Number of parts that explain them together with it, as they can't be told apart.
        others: usize,
    },
    /// A part is no longer blocked.
    Released(u64),
}

/// A part by which a prompt is blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedPart {
    /// The part. Its trials are those of all parts that can't be told apart from it.
    pub part: u64,
    /// Number of crashes that it explains.
    pub crashes: usize,
}

impl Explanation {
    pub(super) fn set_outdated(&mut self) {
        self.is_outdated = true;
    }

    pub(super) fn contains(&self, part: u64) -> bool {
        self.causes.iter().any(|a| a.parts.contains(&part))
    }

    /// Parts that can't be told apart from one, and that one.
    pub(super) fn indistinguishable_from(&self, part: u64) -> Vec<u64> {
        let cause = self.causes.iter().find(|a| a.parts.contains(&part));
        cause.map_or_else(|| vec![part], |a| a.parts.clone())
    }

    pub(super) fn parts(&self) -> impl Iterator<Item = u64> {
        self.causes.iter().flat_map(|a| a.parts.iter().copied())
    }
}

/// A suspect that may explain crashes.
struct Candidate {
    subject: Subject,
    /// Whether it was answered before these crashes.
    was_answered: bool,
    /// Upstreams that crashed, with the times, sorted by upstream.
    crashes: Vec<(u32, Instant)>,
}

impl Candidate {
    fn of(suspect: &Suspect) -> Option<Self> {
        let crashes = suspect.crashes_since_answer();
        let mut crashes: Vec<_> = crashes.map(|crash| (crash.upstream, crash.at)).collect();
        crashes.sort_unstable_by_key(|(upstream, _)| *upstream);
        let was_answered =
            matches!(suspect.subject, Subject::Part(_)) && suspect.answered_at.is_some();
        (crashes.len() >= BLOCK_THRESHOLD).then_some(Self {
            subject: suspect.subject,
            was_answered,
            crashes,
        })
    }

    /// Crashes that have no explanation yet.
    fn unexplained(&self, explained: &BTreeSet<u32>) -> Vec<(u32, Instant)> {
        let crashes = self.crashes.iter().copied();
        crashes
            .filter(|(upstream, _)| !explained.contains(upstream))
            .collect()
    }

    /// How well the subject explains what has no explanation yet; `None` if too few crashes are
    /// left.
    fn score(&self, explained: &BTreeSet<u32>) -> Option<usize> {
        let left = self.unexplained(explained);
        match self.was_answered {
            true => Some(moments(&left)).filter(|n| *n >= SOUND_THRESHOLD),
            false => Some(left.len())
                .filter(|n| *n >= BLOCK_THRESHOLD)
                .map(|n| n * UNANSWERED_WEIGHT),
        }
    }
}

/// Number of moments at which upstreams crashed.
fn moments(crashes: &[(u32, Instant)]) -> usize {
    let mut times: Vec<Instant> = crashes.iter().map(|(_, at)| *at).collect();
    times.sort_unstable();
    let (mut count, mut last) = (0, None);
    for at in times {
        if last.is_none_or(|last: Instant| at.saturating_duration_since(last) >= MOMENT) {
            count += 1;
            last = Some(at);
        }
    }
    count
}

/// Explains crashes, the largest number first. Among equals a request comes before its parts, as it
/// is more specific.
fn explain(candidates: &[Candidate]) -> Vec<Cause> {
    let (mut causes, mut explained) = (Vec::new(), BTreeSet::new());
    for _ in 0..MAX_CAUSES {
        let scored = candidates
            .iter()
            .filter_map(|c| Some((c.score(&explained)?, c)));
        let best = scored.max_by_key(|(score, c)| (*score, std::cmp::Reverse(c.subject)));
        let Some((_, best)) = best else {
            break;
        };
        let left = best.unexplained(&explained);
        if matches!(best.subject, Subject::Part(_)) {
            let is_same = |c: &&Candidate| {
                c.was_answered == best.was_answered && c.unexplained(&explained) == left
            };
            let parts = candidates.iter().filter(is_same);
            let parts = parts.filter_map(|c| match c.subject {
                Subject::Part(id) => Some(id),
                Subject::Request(_) => None,
            });
            causes.push(Cause {
                parts: parts.collect(),
                crashes: left.len(),
            });
        }
        explained.extend(best.crashes.iter().map(|(upstream, _)| *upstream));
    }
    causes
}

impl CrashTracker {
    /// Updates the parts that explain the crashes, after observations. Returns the changes.
    pub fn update_explanation(&mut self, now: Instant) -> Vec<PartChange> {
        let since = |at: Instant| now.saturating_duration_since(at);
        let updated_at = self.explanation.updated_at;
        let is_recent = updated_at.is_some_and(|at| since(at) < UPDATE_EVERY);
        if !self.explanation.is_outdated || is_recent {
            return Vec::new();
        }
        let suspects = self.requests.iter().chain(self.parts.iter());
        let candidates: Vec<Candidate> = suspects.filter_map(Candidate::of).collect();
        let causes = explain(&candidates);
        let before = std::mem::replace(
            &mut self.explanation,
            Explanation {
                causes,
                is_outdated: false,
                updated_at: Some(now),
            },
        );
        self.explanation_changes(&before)
    }

    fn explanation_changes(&self, before: &Explanation) -> Vec<PartChange> {
        let released = before.parts().filter(|id| !self.explanation.contains(*id));
        let mut changes: Vec<PartChange> = released.map(PartChange::Released).collect();
        for cause in &self.explanation.causes {
            let new = cause.parts.iter().filter(|id| !before.contains(**id));
            changes.extend(new.map(|part| PartChange::Blocked {
                part: *part,
                crashes: cause.crashes,
                others: cause.parts.len() - 1,
            }));
        }
        changes
    }

    /// Verdict on a prompt by its shared parts; `None` if they don't explain crashes.
    pub fn part_verdict(&self, parts: &[u64], now: Instant) -> Option<(BlockedPart, Verdict)> {
        let mut trial = None;
        for cause in &self.explanation.causes {
            let is_held = cause.parts.iter().all(|id| parts.contains(id));
            let part = cause.parts[0];
            let Some(suspect) = self.find(Subject::Part(part)).filter(|_| is_held) else {
                continue;
            };
            let blocked = BlockedPart {
                part,
                crashes: cause.crashes,
            };
            let may_try = cause.parts.len() == 1 || self.may_try_undistinguished(suspect, now);
            match self.blocked_verdict(suspect, now) {
                verdict @ Verdict::Trial(..) if may_try => {
                    trial = trial.or(Some((blocked, verdict)));
                }
                Verdict::Trial(_, confidence) => {
                    return Some((blocked, Verdict::Blocked(confidence)));
                }
                verdict => return Some((blocked, verdict)),
            }
        }
        trial
    }

    fn may_try_undistinguished(&self, suspect: &Suspect, now: Instant) -> bool {
        let last_crash = suspect.crashes_since_answer().map(|crash| crash.at).max();
        let last = last_crash.max(suspect.last_trial_at);
        last.is_some_and(|at| now.saturating_duration_since(at) >= UNDISTINGUISHED_TRIAL_DELAY)
    }

    /// Whether a prompt has a part that was never answered and was running at several crashes.
    pub fn has_suspected_part(&self, parts: &[u64]) -> bool {
        let suspects = parts.iter().filter_map(|id| self.find(Subject::Part(*id)));
        let mut unanswered = suspects.filter(|s| s.answered_at.is_none());
        unanswered.any(|s| s.crash_count() >= ISOLATE_THRESHOLD)
    }
}
