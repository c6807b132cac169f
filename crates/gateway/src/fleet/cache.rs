//! Estimates which prompt parts an engine has cached.
//!
//! Engines keep the KV cache of prompts until they need the memory, and evict the least recently
//! used parts first. A process knows the parts that it sent itself, and those that peers
//! reported.

use platform::PromptPart;
use std::time::Instant;

/// Fraction of an engine's cache that is assumed to hold shared parts. The rest is used by
/// running requests and by prompt parts that are not shared.
const SHARED_PARTS_FRACTION: f64 = 0.5;

#[derive(Debug, Clone, Copy)]
struct Entry {
    part: PromptPart,
    used_at: Instant,
}

/// Prompt parts that an engine is assumed to have cached.
#[derive(Debug, Default)]
pub struct CacheEstimate {
    /// Sorted by part id.
    entries: Vec<Entry>,
    tokens: u64,
}

impl CacheEstimate {
    /// Records a part that is sent to the engine, whose cache holds `memory` tokens. Returns
    /// whether the part is new.
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

    /// Evicts the least recently used parts until the others fit.
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

    /// Number of tokens of the shared parts that must be prefilled. A cached part is usable only
    /// if all parts before it are cached.
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

    /// Removes all parts, for example after a stage change of the engine.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
