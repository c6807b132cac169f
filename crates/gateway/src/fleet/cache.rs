//! Which prompt parts an engine's cache is taken to hold.
//!
//! Engines keep what they have read until the memory is needed, the parts that
//! were used least recently first. A process knows what it has sent there, and
//! what its peers tell of their first sends.

use platform::PromptPart;
use std::time::Instant;

/// Part of an engine's memory that shared parts are taken to fill. The rest goes to
/// running requests, and to the parts of a prompt that nobody shares.
const SHARED_PARTS_FRACTION: f64 = 0.5;

#[derive(Debug, Clone, Copy)]
struct Entry {
    part: PromptPart,
    used_at: Instant,
}

/// Parts that one engine is taken to hold.
#[derive(Debug, Default)]
pub struct CacheEstimate {
    /// Sorted by the part's id.
    entries: Vec<Entry>,
    tokens: u64,
}

impl CacheEstimate {
    /// Notes a part that is sent there, for a memory of so many tokens. Says
    /// whether it is new.
    pub fn record(&mut self, part: PromptPart, memory: u32, now: Instant) -> bool {
        let at = self.entries.binary_search_by_key(&part.id, |e| e.part.id);
        match at {
            Ok(at) => {
                self.entries[at].used_at = now;
                false
            }
            Err(at) => {
                let used_at = now;
                self.entries.insert(at, Entry { part, used_at });
                self.tokens += u64::from(part.tokens);
                self.evict(memory);
                true
            }
        }
    }

    /// Forgets what was used least recently, until the rest fits.
    fn evict(&mut self, memory: u32) {
        let limit = (f64::from(memory) * SHARED_PARTS_FRACTION) as u64;
        while self.tokens > limit && self.entries.len() > 1 {
            let all = self.entries.iter().enumerate();
            let Some((oldest, _)) = all.min_by_key(|(_, e)| e.used_at) else {
                return;
            };
            let evicted = self.entries.remove(oldest);
            self.tokens -= u64::from(evicted.part.tokens);
        }
    }

    /// Tokens of a prompt's shared parts that must be read. A part is of use only
    /// behind all parts before it.
    pub fn missing_tokens(&self, shared: &[PromptPart]) -> u32 {
        let cached = shared.iter().take_while(|part| self.contains(part.id));
        let cached: u32 = cached.map(|p| p.tokens).sum();
        let all: u32 = shared.iter().map(|p| p.tokens).sum();
        all - cached
    }

    fn contains(&self, id: u64) -> bool {
        self.entries
            .binary_search_by_key(&id, |e| e.part.id)
            .is_ok()
    }

    /// Forgets all, as after a change of the engine's stage.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
