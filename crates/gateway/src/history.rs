//! Which upstreams the registry has changed lately, by its version.
//!
//! A peer that is a few versions behind gets these alone. A whole registry of 3,000
//! upstreams is 270 KB, and 190 processes that each fetched it from one host on every
//! change filled that host's link of 20 Mbit/s for half a minute.

use std::collections::VecDeque;

/// Most changes that are kept: some minutes of the users' busiest hour, at 30 bytes
/// each. A peer that is further behind gets the whole registry.
const MAX_CHANGES: usize = 4096;

/// The latest changes, oldest first.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    /// Version up to which changes are no longer kept.
    from: u64,
    /// Versions and the ids of upstreams that changed by them.
    changes: VecDeque<(u64, String)>,
}

impl ChangeHistory {
    /// Starts anew at a version: what changed before it isn't known.
    pub fn reset(&mut self, version: u64) {
        self.from = version;
        self.changes.clear();
    }

    /// Notes that a version changed an upstream. Versions never go back.
    pub fn record(&mut self, version: u64, id: &str) {
        self.changes.push_back((version, id.to_owned()));
        while self.changes.len() > MAX_CHANGES {
            if let Some((oldest, _)) = self.changes.pop_front() {
                self.from = oldest;
            }
        }
    }

    /// Ids of the upstreams that changed after a version, each once, sorted; none if
    /// that isn't known.
    pub fn changed_since(&self, version: u64) -> Option<Vec<&str>> {
        if version < self.from {
            return None;
        }
        let newer = self.changes.iter().rev().take_while(|(v, _)| *v > version);
        let mut ids: Vec<&str> = newer.map(|(_, id)| id.as_str()).collect();
        ids.sort_unstable();
        ids.dedup();
        Some(ids)
    }
}
