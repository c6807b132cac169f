//! What is to be told to peers of ends and answers, each word several times.

use super::Observation;
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How often a word is told in a row, as a datagram may be lost.
const INITIAL_SENDS: usize = 4;
/// When it is told again, for peers that were cut off or stood still meanwhile.
const RESEND_AFTER: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];
/// Words that one datagram has at most, and those that a second has: at 30 bytes each,
/// under 2 KB a second for each peer, whatever is lost at once.
const MAX_PER_DATAGRAM: usize = 16;
const MAX_PER_SECOND: f64 = 64.0;
/// Words that wait to be told.
const MAX_PENDING: usize = 512;

/// A word that is to be told.
#[derive(Debug)]
struct Pending {
    observation: Observation,
    queued_at: Instant,
    sends: usize,
}

impl Pending {
    /// Whether it is to be told now.
    fn is_due(&self, now: Instant) -> bool {
        let Some(resend) = self.sends.checked_sub(INITIAL_SENDS) else {
            return true;
        };
        let age = now.saturating_duration_since(self.queued_at);
        RESEND_AFTER.get(resend).is_some_and(|after| age >= *after)
    }

    fn is_finished(&self) -> bool {
        self.sends >= INITIAL_SENDS + RESEND_AFTER.len()
    }
}

/// Words that are to be told, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pending: VecDeque<Pending>,
    /// Words that may be told now.
    send_tokens: f64,
    /// When these were so many.
    refilled_at: Option<Instant>,
}

impl Outbox {
    /// Adds a word; the oldest yields if there are too many.
    pub(super) fn push(&mut self, observation: Observation, now: Instant) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending {
            observation,
            queued_at: now,
            sends: 0,
        });
    }

    /// The words that are to be told now, those with the greatest weight first; words
    /// without a weight are dropped.
    pub(super) fn due(
        &mut self,
        now: Instant,
        priority: impl Fn(&Observation) -> Option<usize>,
    ) -> Vec<Observation> {
        if self.pending.is_empty() {
            return Vec::new();
        }
        self.pending
            .retain(|pending| priority(&pending.observation).is_some());
        self.refill(now);
        let all = self.pending.iter_mut();
        let mut due: Vec<&mut Pending> = all.filter(|pending| pending.is_due(now)).collect();
        due.sort_by_key(|pending| Reverse(priority(&pending.observation)));
        due.truncate(MAX_PER_DATAGRAM.min(self.send_tokens as usize));
        self.send_tokens -= due.len() as f64;
        let mut observations = Vec::new();
        for pending in due {
            pending.sends += 1;
            observations.push(pending.observation);
        }
        self.pending.retain(|pending| !pending.is_finished());
        observations
    }

    fn refill(&mut self, now: Instant) {
        let last = self.refilled_at.replace(now);
        let elapsed = last.map_or(1.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.send_tokens = (self.send_tokens + elapsed * MAX_PER_SECOND).min(MAX_PER_SECOND);
    }
}
