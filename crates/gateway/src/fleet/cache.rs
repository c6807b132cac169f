//! Which prompt parts an engine's cache is taken to hold.
//!
//! Engines keep what they have read until the memory is needed, the parts that
//! were used least recently first. A process knows what it has sent there, and
//! what its peers tell of their first sends.

use platform::PromptPart;
use std::time::Instant;

/// Part of an engine's memory that shared parts are taken to fill. The rest goes to
/// running requests, and to the parts of a prompt that nobody shares.
const SHARED_PARTS: f64 = 0.5;

#[derive(Debug, Clone, Copy)]
struct Entry {
    part: PromptPart,
    used_at: Instant,
}

/// Parts that one engine is taken to hold.
#[derive(Debug, Default)]
pub struct Cache {
    /// Sorted by the part's id.
    entries: Vec<Entry>,
    tokens: u64,
}

impl Cache {
    /// Notes a part that is sent there, for a memory of so many tokens. Says
    /// whether it is new.
    pub fn note(&mut self, part: PromptPart, memory: u32, now: Instant) -> bool {
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
                self.shrink(memory);
                true
            }
        }
    }

    /// Forgets what was used least recently, until the rest fits.
    fn shrink(&mut self, memory: u32) {
        let most = (f64::from(memory) * SHARED_PARTS) as u64;
        while self.tokens > most && self.entries.len() > 1 {
            let all = self.entries.iter().enumerate();
            let Some((oldest, _)) = all.min_by_key(|(_, e)| e.used_at) else {
                return;
            };
            let gone = self.entries.remove(oldest);
            self.tokens -= u64::from(gone.part.tokens);
        }
    }

    /// Tokens of a prompt's shared parts that must be read. A part is of use only
    /// behind all parts before it.
    pub fn missing(&self, shared: &[PromptPart]) -> u32 {
        let held = shared.iter().take_while(|part| self.holds(part.id));
        let held: u32 = held.map(|p| p.tokens).sum();
        let all: u32 = shared.iter().map(|p| p.tokens).sum();
        all - held
    }

    fn holds(&self, id: u64) -> bool {
        self.entries
            .binary_search_by_key(&id, |e| e.part.id)
            .is_ok()
    }

    /// Forgets all, as after a change of the engine's stage.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
