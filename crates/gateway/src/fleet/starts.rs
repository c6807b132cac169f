//! Which starts of upstreams were replaced by another.
//!
//! A heartbeat of an earlier start may reach the store after the first one of the next,
//! and has the newer row then. It mustn't bring the earlier start back.

use platform::Start;
use std::collections::VecDeque;

/// Replaced starts that are remembered of an id: an upstream that starts again each few
/// seconds has its late heartbeats from the last one or two.
const MAX_REPLACED: usize = 8;
/// Ids of which starts are remembered, at some 100 bytes each: more than the 3,000
/// upstreams of the largest fleet. The one that began to be known first yields.
const MAX_IDS: usize = 4096;

/// The starts of one id.
#[derive(Debug)]
struct IdStarts {
    /// Hash of the id.
    id: u64,
    /// The last start that was taken.
    last: Start,
    /// Those before it, oldest first.
    replaced: VecDeque<Start>,
    /// Number of the change that brought the last start.
    change: u64,
}

/// The starts of all ids that told any.
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

    /// Whether a start of an id was replaced by another.
    pub(super) fn is_replaced(&self, id: u64, start: Start) -> bool {
        self.get(id).is_some_and(|k| k.replaced.contains(&start))
    }

    /// Whether any start of an id was told.
    pub(super) fn is_known(&self, id: u64) -> bool {
        self.get(id).is_some()
    }

    /// Notes the start of an id that is in use now.
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
