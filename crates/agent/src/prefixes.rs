//! Tracks which prompt prefixes are probably in the engine's KV cache.
//!
//! The agent sees every prompt, so it knows about new prefixes before the engine's cache events
//! arrive, which are late and may have gaps. The events remove evicted prefixes and add what the
//! agent couldn't see. A wrong guess only costs time.

use engine::protocol::CacheEvents;
use std::collections::VecDeque;
use std::sync::Mutex;
use wire::prefix;

/// Maximum number of tracked prefixes.
const MAX_PREFIXES: usize = 8192;

/// Prefixes that are probably cached, least recently used first.
#[derive(Debug, Default)]
pub struct CachedPrefixes {
    known: Mutex<VecDeque<u64>>,
}

impl CachedPrefixes {
    /// Length of the prompt's longest prefix that is probably cached, in bytes.
    pub fn cached_len(&self, hashes: &[u64]) -> usize {
        let known = self.known.lock().expect("no panic while locked");
        hashes
            .iter()
            .rposition(|h| known.contains(h))
            .map_or(0, prefix::length_at)
    }

    /// Adds the prefixes of a prompt that the engine has processed.
    pub fn add(&self, hashes: &[u64]) {
        let mut known = self.known.lock().expect("no panic while locked");
        for h in hashes {
            if let Some(at) = known.iter().position(|k| k == h) {
                known.remove(at);
            }
            known.push_back(*h);
        }
        let over = known.len().saturating_sub(MAX_PREFIXES);
        known.drain(..over);
    }

    /// Applies cache events of the engine.
    pub fn apply(&self, events: &CacheEvents) {
        for e in &events.events {
            if e.added {
                self.add(&[e.prefix]);
            } else {
                let mut known = self.known.lock().expect("no panic while locked");
                known.retain(|k| *k != e.prefix);
            }
        }
    }

    /// Removes all prefixes, for example after a model change.
    pub fn clear(&self) {
        self.known.lock().expect("no panic while locked").clear();
    }
}
