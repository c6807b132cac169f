//! The prefix cache of the fake engine.

use engine::protocol::{CacheEvent, CacheEvents, KvBlob};
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use wire::prefix;

/// Number of events kept for readers.
const MAX_EVENTS: usize = 4096;
/// Events whose number is a multiple of this are never published.
const GAP_EVERY: u64 = 17;

/// An LRU cache of prefix hashes, least recently used first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    lag: Duration,
    prefixes: VecDeque<u64>,
    last_number: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Creates a cache of up to `capacity` prefixes whose events are published `lag` late.
    pub fn new(capacity: usize, lag: Duration) -> Self {
        Self {
            capacity,
            lag,
            prefixes: VecDeque::new(),
            last_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the length in bytes of the longest cached prefix.
    pub fn cached(&self, hashes: &[u64]) -> usize {
        let longest = hashes.iter().rposition(|h| self.prefixes.contains(h));
        longest.map_or(0, prefix::length_at)
    }

    /// Adds a prompt's prefixes.
    pub fn add(&mut self, hashes: &[u64]) {
        for &h in hashes {
            if let Some(at) = self.prefixes.iter().position(|x| *x == h) {
                self.prefixes.remove(at);
            } else {
                self.record(h, true);
            }
            self.prefixes.push_back(h);
            if self.prefixes.len() > self.capacity
                && let Some(old) = self.prefixes.pop_front()
            {
                self.record(old, false);
            }
        }
    }

    /// Removes all prefixes.
    pub fn clear(&mut self) {
        for h in std::mem::take(&mut self.prefixes) {
            self.record(h, false);
        }
    }

    fn record(&mut self, prefix: u64, added: bool) {
        self.last_number += 1;
        let event = CacheEvent {
            number: self.last_number,
            prefix,
            added,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the published events after a number: they are late and have gaps, as with engines.
    pub fn events(&self, after: u64) -> CacheEvents {
        let due = |(at, e): &&(Instant, CacheEvent)| at.elapsed() >= self.lag && e.number > after;
        let due: Vec<CacheEvent> = self.events.iter().filter(due).map(|(_, e)| *e).collect();
        let last = due.last().map_or(after, |e| e.number);
        let events = due
            .into_iter()
            .filter(|e| e.number % GAP_EVERY != 0)
            .collect();
        CacheEvents { last, events }
    }

    /// Exports the cached part of a prompt's KV cache.
    pub fn export(&self, prompt: &[u8]) -> KvBlob {
        let hashes = prefix::hashes(prompt);
        KvBlob {
            prefixes: hashes
                .into_iter()
                .filter(|h| self.prefixes.contains(h))
                .collect(),
        }
    }

    /// Imports KV cache.
    pub fn import(&mut self, blob: &KvBlob) {
        self.add(&blob.prefixes);
    }
}
