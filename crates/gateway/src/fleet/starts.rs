//! Remembers which starts of upstreams were replaced by later ones.
//!
//! A heartbeat of an earlier start may reach the store after the first one of the next start, so
//! its row is newer. It must not bring the earlier start back.

use platform::Start;
use std::collections::VecDeque;

/// Maximum number of replaced starts per id. Even an upstream that restarts every few seconds has
/// late heartbeats only of the last one or two.
const MAX_REPLACED: usize = 8;
/// Maximum number of ids, at about 100 bytes each; the largest fleet has 3,000 upstreams. The id
/// whose start changed least recently is evicted.
const MAX_IDS: usize = 4096;

/// Starts of one id.
#[derive(Debug)]
struct IdStarts {
    /// Hash of the id.
    id: u64,
    /// Current start.
    last: Start,
    /// Earlier starts, oldest first.
    replaced: VecDeque<Start>,
    /// Sequence number of the change to the current start.
    change: u64,
}

/// Starts of all ids whose rows contain one.
#[derive(Debug, Default)]
pub(super) struct StartHistory {
    /// Sorted by id.
    all: Vec<IdStarts>,
    changes: u64,
}

impl StartHistory {
    fn get(&self, id: u64) -> Option<&IdStarts> {
        let at = self.all.binary_search_by_key(&id, |k| k.id);
        at.ok().map(|at| &self.all[at])
    }

    /// Whether a start was replaced by a later one.
    pub(super) fn is_replaced(&self, id: u64, start: Start) -> bool {
        self.get(id).is_some_and(|k| k.replaced.contains(&start))
    }

    /// Whether any start of an id is known.
    pub(super) fn is_known(&self, id: u64) -> bool {
        self.get(id).is_some()
    }

    /// Records the current start of an id.
    pub(super) fn record(&mut self, id: u64, start: Start) {
        self.changes += 1;
        let change = self.changes;
        match self.all.binary_search_by_key(&id, |k| k.id) {
            Ok(at) => self.all[at].replace(start, change),
            Err(at) => {
                let known = IdStarts {
                    id,
                    last: start,
                    replaced: VecDeque::new(),
                    change,
                };
                self.all.insert(at, known);
                self.evict();
            }
        }
    }

    fn evict(&mut self) {
        if self.all.len() <= MAX_IDS {
            return;
        }
        let all = self.all.iter().enumerate();
        if let Some((oldest, _)) = all.min_by_key(|(_, k)| k.change) {
            self.all.remove(oldest);
        }
    }
}

impl IdStarts {
    fn replace(&mut self, start: Start, change: u64) {
        if start == self.last {
            return;
        }
        self.change = change;
        self.replaced
            .push_back(std::mem::replace(&mut self.last, start));
        if self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
    }
}
