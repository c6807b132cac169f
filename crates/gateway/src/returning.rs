//! Requests that were refused and may come back.
//!
//! A client that was refused comes back once, at another process, under a new
//! id, but with the same prompt. Its last part is the prompt's own, so processes
//! that tell each other of the prompts they refused know who is back. Whoever is
//! back is admitted before others: it has waited already, and won't come again.

use std::time::{Duration, Instant};

/// How long a refusal is remembered: past the latest time at which a client is
/// asked to come back, and the way there.
const REMEMBERED: Duration = Duration::from_millis(1500);
/// Most refusals that are remembered: over two seconds of them at the users'
/// largest site, in 64 KiB.
const MAX_REMEMBERED: usize = 4096;
/// Most refusals that wait to be told; past it the newest aren't told.
const MAX_UNTOLD: usize = 512;

#[derive(Debug, Clone, Copy)]
struct Refused {
    part: u64,
    at: Instant,
}

/// Prompts that were refused of late, here or at a peer.
#[derive(Debug, Default)]
pub struct Returning {
    /// Sorted by part.
    refused: Vec<Refused>,
    /// Refused here since the peers were last told.
    untold: Vec<u64>,
}

impl Returning {
    /// Notes that this process refused a prompt.
    pub fn refuse(&mut self, part: u64, now: Instant) {
        self.remember(part, now);
        if self.untold.len() < MAX_UNTOLD {
            self.untold.push(part);
        }
    }

    /// Notes that this process or a peer refused a prompt.
    pub fn remember(&mut self, part: u64, now: Instant) {
        if self.refused.len() >= MAX_REMEMBERED {
            self.refused.retain(|r| !r.is_over(now));
        }
        match self.refused.binary_search_by_key(&part, |r| r.part) {
            Ok(at) => self.refused[at].at = now,
            Err(_) if self.refused.len() >= MAX_REMEMBERED => {}
            Err(at) => self.refused.insert(at, Refused { part, at: now }),
        }
    }

    /// Whether a prompt was refused of late.
    pub fn is_back(&self, part: u64, now: Instant) -> bool {
        let at = self.refused.binary_search_by_key(&part, |r| r.part);
        at.is_ok_and(|at| !self.refused[at].is_over(now))
    }

    /// Takes the refusals that peers haven't been told of.
    pub fn take_untold(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.untold)
    }
}

impl Refused {
    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) > REMEMBERED
    }
}
