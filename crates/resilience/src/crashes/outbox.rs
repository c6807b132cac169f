//! Queue of observations to send to peers, each several times.

use super::Observation;
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of times that an observation is sent without delay, as datagrams may be lost.
const INITIAL_SENDS: usize = 4;
/// Times since queueing at which an observation is sent again, for peers that were partitioned
/// or paused.
const RESEND_AFTER: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];
/// Maximum number of observations per datagram and per second, and of their bytes per second and
/// peer, however many upstreams crash at once.
const MAX_PER_DATAGRAM: usize = 16;
const MAX_PER_SECOND: f64 = 64.0;
const MAX_BYTES_PER_SECOND: f64 = 8000.0;
/// Encoded size of an observation without parts, and of a part, in bytes.
const OBSERVATION_BYTES: f64 = 30.0;
const PART_BYTES: f64 = 9.0;
/// Maximum number of queued observations.
const MAX_PENDING: usize = 512;

/// A queued observation.
#[derive(Debug)]
struct Pending {
    observation: Observation,
    queued_at: Instant,
    sends: usize,
}

impl Pending {
    /// Whether it must be sent now.
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

/// Queued observations, oldest first, with a token bucket that limits their rate.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pending: VecDeque<Pending>,
    /// Number of observations that may be sent now.
    send_tokens: f64,
    /// Bytes that may be sent now.
    send_bytes: f64,
    /// Time of the last refill of both.
    refilled_at: Option<Instant>,
}

impl Outbox {
    /// Adds an observation. If the queue is full, the oldest is dropped.
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

    /// Returns the observations to send now, those with the highest priority first. Observations
    /// without a priority are dropped.
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
        let mut observations = Vec::new();
        let max = MAX_PER_DATAGRAM.min(self.send_tokens as usize);
        for pending in due.into_iter().take(max) {
            let parts = pending.observation.parts().len() as f64;
            let bytes = OBSERVATION_BYTES + PART_BYTES * parts;
            if bytes > self.send_bytes {
                break;
            }
            self.send_bytes -= bytes;
            self.send_tokens -= 1.0;
            pending.sends += 1;
            observations.push(pending.observation.clone());
        }
        self.pending.retain(|pending| !pending.is_finished());
        observations
    }

    fn refill(&mut self, now: Instant) {
        let last = self.refilled_at.replace(now);
        let elapsed = last.map_or(1.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.send_tokens = (self.send_tokens + elapsed * MAX_PER_SECOND).min(MAX_PER_SECOND);
        let refilled = self.send_bytes + elapsed * MAX_BYTES_PER_SECOND;
        self.send_bytes = refilled.min(MAX_BYTES_PER_SECOND);
    }
}
