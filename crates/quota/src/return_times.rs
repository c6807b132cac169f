//! Assigns refused callers the times at which they may return, urgent ones first.

use std::time::{Duration, Instant};

/// Longest time after which a caller is asked to return.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Latest return time that was assigned to the callers of each rank.
#[derive(Debug, Default)]
pub struct ReturnTimes {
    /// Sorted by rank, 0 for the most urgent.
    latest: Vec<(u32, Instant)>,
}

impl ReturnTimes {
    /// Time after which a refused caller may return: at `room_at` at the earliest, and `gap` after
    /// all earlier callers of the same and of more urgent ranks.
    pub fn assign(&mut self, rank: u32, room_at: Instant, gap: Duration, now: Instant) -> Duration {
        self.latest.retain(|(_, at)| *at > now);
        let before = self.latest.iter().filter(|(other, _)| *other <= rank);
        let after_others = before.map(|(_, at)| *at + gap).max();
        let at = after_others.map_or(room_at, |at| at.max(room_at));
        let at = at.max(now).min(now + MAX_WAIT);
        match self.latest.binary_search_by_key(&rank, |(other, _)| *other) {
            Ok(index) => self.latest[index].1 = at,
            Err(index) => self.latest.insert(index, (rank, at)),
        }
        at - now
    }
}
