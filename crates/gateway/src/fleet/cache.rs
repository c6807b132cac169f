//! Which prompt parts an upstream should have in its KV cache.
//!
//! Only what this process sent there itself is known; the engine drops the
//! least recently used parts, so what wasn't used for a while isn't counted on.

use platform::PromptPart;
use std::time::{Duration, Instant};

/// How long a part counts as cached after its last use. Far below the time in
/// which an engine's whole memory is written anew at full load (some ten
/// seconds), far above the time between uses of a part at its home.
const KEPT: Duration = Duration::from_secs(8);
/// Most parts that are remembered; past it the oldest half is forgotten.
/// 2,048 parts take 32 KiB for each upstream.
const MAX_PARTS: usize = 2048;

#[derive(Debug, Clone, Copy)]
struct Used {
    id: u64,
    at: Instant,
}

/// Prompt parts that were sent to an upstream, sorted by id.
#[derive(Debug, Default)]
pub struct PartCache {
    parts: Vec<Used>,
}

impl PartCache {
    /// Tokens of a prompt that must be read: all from the first part on that
    /// isn't cached.
    pub fn uncached(&self, parts: &[PromptPart], prompt_tokens: u32, now: Instant) -> u32 {
        let cached = parts.iter().take_while(|p| self.has(p.id, now));
        let cached: u32 = cached.map(|p| p.tokens).sum();
        prompt_tokens.saturating_sub(cached)
    }

    fn has(&self, id: u64, now: Instant) -> bool {
        let at = self.parts.binary_search_by_key(&id, |p| p.id);
        at.is_ok_and(|at| now.saturating_duration_since(self.parts[at].at) < KEPT)
    }

    /// Notes that a prompt was read there. Its last part belongs to the request
    /// alone and isn't remembered.
    pub fn used(&mut self, parts: &[PromptPart], now: Instant) {
        let shared = parts.len().saturating_sub(1);
        for part in &parts[..shared] {
            match self.parts.binary_search_by_key(&part.id, |p| p.id) {
                Ok(at) => self.parts[at].at = now,
                Err(at) => self.parts.insert(
                    at,
                    Used {
                        id: part.id,
                        at: now,
                    },
                ),
            }
        }
        if self.parts.len() > MAX_PARTS {
            self.forget_oldest_half();
        }
    }

    fn forget_oldest_half(&mut self) {
        let mut times: Vec<Instant> = self.parts.iter().map(|p| p.at).collect();
        let (_, median, _) = times.select_nth_unstable(MAX_PARTS / 2);
        let median = *median;
        self.parts.retain(|p| p.at > median);
    }
}
