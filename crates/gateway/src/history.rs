//! Recent registry changes by position, for incremental updates of peers.
//!
//! A peer that is a few changes behind gets only the upstreams that changed. The whole registry
//! of 3,000 upstreams has 270 KB; when 190 processes fetched it from one host on every change,
//! that host's link of 20 Mbit/s was saturated for half a minute.

use platform::Position;
use std::collections::VecDeque;

/// Maximum number of changes, at 30 bytes each: a few minutes at peak load. A peer that is
/// further behind gets the whole registry.
const MAX_CHANGES: usize = 4096;

/// Most recent changes of the registry, oldest first.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    /// Latest position whose changes are no longer stored.
    from: Position,
    /// Positions, and ids of the upstreams that changed there.
    changes: VecDeque<(Position, String)>,
}

impl ChangeHistory {
    /// Clears the history. Changes up to `position` are unknown.
    pub fn reset(&mut self, position: Position) {
        self.from = position;
        self.changes.clear();
    }

    /// Records that an upstream changed at a position. Positions must not go back.
    pub fn record(&mut self, position: Position, id: &str) {
        self.changes.push_back((position, id.to_owned()));
        while self.changes.len() > MAX_CHANGES {
            if let Some((oldest, _)) = self.changes.pop_front() {
                self.from = oldest;
            }
        }
    }

    /// Ids of the upstreams that changed after a position, sorted and without duplicates; `None`
    /// if these changes are no longer stored.
    pub fn changed_since(&self, since: Position) -> Option<Vec<&str>> {
        if since < self.from {
            return None;
        }
        let newer = self.changes.iter().rev().take_while(|(at, _)| *at > since);
        let mut ids: Vec<&str> = newer.map(|(_, id)| id.as_str()).collect();
        ids.sort_unstable();
        ids.dedup();
        Some(ids)
    }
}
