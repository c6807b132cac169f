//! Which prompt prefixes the engine has cached, as far as the agent knows.
//!
//! The agent sees every prompt that its engine reads, and so knows before the
//! engine's own events, which come late and with gaps. Events only take away
//! and add what the agent couldn't see. A wrong guess costs time, nothing else.

use engine::dialect::CacheEvents;
use std::collections::VecDeque;
use std::sync::Mutex;
use wire::prefix;

/// Prefixes that are kept in mind.
const MAX_PREFIXES: usize = 8192;

/// Known prefixes, least recently used first.
#[derive(Debug, Default)]
pub struct CachedPrefixes {
    known: Mutex<VecDeque<u64>>,
}

impl CachedPrefixes {
    /// Bytes at a prompt's beginning that are likely cached.
    pub fn cached_len(&self, hashes: &[u64]) -> usize {
        let known = self.known.lock().expect("no panic while locked");
        hashes
            .iter()
            .rposition(|h| known.contains(h))
            .map_or(0, prefix::length_at)
    }

    /// Notes a prompt that the engine has read.
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

    /// Takes the engine's events in.
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

    /// Forgets everything, as after a change of model.
    pub fn clear(&self) {
        self.known.lock().expect("no panic while locked").clear();
    }
}
