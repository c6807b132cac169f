//! Requests that wait at a host for an upstream of one service.

use crate::turns::Turn;
use std::time::{Duration, Instant};

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 1024;
/// Longest excess of a late request.
const MAX_EXCESS: Duration = Duration::from_secs(60);
/// Of this many requests in a row, one is of a lower priority if any waits.
const LOWER_PRIORITY_EVERY: u32 = 4;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// A request that is to wait.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// Priority, 0 for the most urgent.
    pub rank: u32,
    /// Hash of its content and sender.
    pub hash: u64,
    /// When it is due.
    pub turn: Turn,
    /// Decides between requests with the same turn.
    pub tie: u64,
    /// Time from which it waits.
    pub since: Instant,
    /// Time by which it must be sent to be answered in time.
    pub send_by: Instant,
}

impl Waiting {
    /// How long it has waited, as a part of the time for which it may wait.
    pub fn waited_part(&self, now: Instant) -> f64 {
        let waited = now.saturating_duration_since(self.since);
        let allowed = self.send_by.saturating_duration_since(self.since);
        waited.as_secs_f64() / allowed.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// A request that can't be served in time.
#[derive(Debug, Clone, Copy)]
pub struct Late {
    /// The request.
    pub entry: Entry,
    /// Time by which it would be sent too late.
    pub excess: Duration,
}

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Identifies it.
    pub ticket: Ticket,
    /// The request.
    pub request: Waiting,
}

impl Entry {
    fn order(&self) -> (u32, Instant, u64) {
        let request = &self.request;
        (request.rank, request.turn.at, request.tie)
    }
}

/// Requests that are waiting, and who of them is next.
#[derive(Debug, Default)]
pub struct Queue {
    /// Sorted by priority and turn.
    entries: Vec<Entry>,
    /// For each rank, how often it was served in a row while lower priorities waited, sorted.
    served: Vec<(u32, u32)>,
    next_ticket: u64,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Priorities of the waiting requests.
    pub fn ranks(&self) -> impl Iterator<Item = u32> {
        self.entries.iter().map(|e| e.request.rank)
    }

    /// Adds a request.
    pub fn push(&mut self, request: Waiting) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let entry = Entry { ticket, request };
        let at = self.entries.partition_point(|e| e.order() <= entry.order());
        self.entries.insert(at, entry);
        ticket
    }

    /// Removes a request; returns whether it was waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let at = self.entries.iter().position(|e| e.ticket == ticket);
        at.is_some_and(|at| {
            self.entries.remove(at);
            true
        })
    }

    /// Removes the request that is to be sent next. The most urgent goes first, except that a part of
    /// the requests is of a lower priority while any of those wait.
    pub fn pop(&mut self) -> Option<Entry> {
        let mut from = 0;
        loop {
            let rank = self.entries.get(from)?.request.rank;
            let end = self.entries.partition_point(|e| e.request.rank <= rank);
            let has_lower = end < self.entries.len();
            if has_lower && !self.may_serve_again(rank) {
                from = end;
                continue;
            }
            return Some(self.entries.remove(from));
        }
    }

    /// Whether a priority is served while lower ones wait; if not, it begins to count again.
    fn may_serve_again(&mut self, rank: u32) -> bool {
        let at = match self.served.binary_search_by_key(&rank, |(r, _)| *r) {
            Ok(at) => at,
            Err(at) => {
                self.served.insert(at, (rank, 0));
                at
            }
        };
        let count = &mut self.served[at].1;
        *count = (*count + 1) % LOWER_PRIORITY_EVERY;
        *count != 0
    }

    /// Removes the requests that can't be sent in time if `rate` requests are sent per second, and
    /// those that are too many.
    pub fn take_late(&mut self, rate: Option<f64>, now: Instant) -> Vec<Late> {
        let rate = rate.unwrap_or(f64::INFINITY);
        let mut rejected = Vec::new();
        let (mut kept, mut kept_of_rank, mut rank) = (0, 0, None);
        let lowest = self.entries.last().map(|e| e.request.rank);
        self.entries.retain(|entry| {
            let request = &entry.request;
            if rank != Some(request.rank) {
                (rank, kept_of_rank) = (Some(request.rank), 0);
            }
            let has_lower = lowest != Some(request.rank);
            let before = requests_before(kept - kept_of_rank, kept_of_rank, has_lower);
            let wait = Duration::try_from_secs_f64(before / rate).unwrap_or(Duration::MAX);
            let allowed = request.send_by.checked_duration_since(now);
            let is_late = allowed.is_none_or(|allowed| wait > allowed);
            if is_late || kept >= MAX_WAITING {
                let excess = wait.saturating_sub(allowed.unwrap_or_default());
                rejected.push(Late {
                    entry: *entry,
                    excess: excess.min(MAX_EXCESS),
                });
                return false;
            }
            (kept, kept_of_rank) = (kept + 1, kept_of_rank + 1);
            true
        });
        rejected
    }
}

/// Number of requests that are sent before one with `urgent` more urgent ones, and with `equal` ones
/// of its own priority ahead of it.
fn requests_before(urgent: usize, equal: usize, has_lower: bool) -> f64 {
    let (urgent, equal) = (urgent as f64, equal as f64);
    let every = f64::from(LOWER_PRIORITY_EVERY);
    let of_own_part = match has_lower {
        true => equal * every / (every - 1.0),
        false => equal,
    };
    match urgent > 0.0 {
        // It gets its part at least, however many more urgent ones come.
        true => (urgent + of_own_part).min((equal + 1.0) * every - 1.0),
        false => of_own_part,
    }
}
