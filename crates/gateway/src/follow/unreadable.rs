//! Log of registry rows that can't be decoded; each one is logged once.

use observe::{Event, Metrics, emit};
use platform::{Position, UnreadableRow};
use std::time::{Duration, Instant};

/// Maximum number of rows remembered as logged, at 16 bytes each, equal to the number of
/// upstreams in the largest fleet. Beyond it, rows with the lowest version are dropped, and are
/// logged again if a whole read finds them.
const MAX_ROWS: usize = 4096;
/// Maximum number of rows logged per [`LINE_WINDOW`]. Operators need the first ones of a flood;
/// the rest are only counted, which leaves room in the log for requests.
const MAX_LINES: u32 = 20;
/// Time span to which the limit applies.
const LINE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of logged characters of a key.
const MAX_KEY_CHARS: usize = 64;

/// What to do with a row that can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogAction {
    /// Nothing, as this version of the row was handled before.
    Known,
    /// Count it without logging, as the limit of lines is reached.
    Count,
    /// Count and log it.
    CountAndLog,
}

/// Rows that have been logged or counted.
#[derive(Debug, Default)]
pub struct UnreadableLog {
    /// Hashes of keys with the position last handled, sorted.
    rows: Vec<(u64, Position)>,
    window_started_at: Option<Instant>,
    lines: u32,
}

impl UnreadableLog {
    /// Counts a row that can't be decoded and logs it, once per version of the row.
    pub fn report(&mut self, row: &UnreadableRow, metrics: &Metrics, now: Instant) {
        let action = self.classify(row, now);
        if action == LogAction::Known {
            return;
        }
        let reason = row.error.name();
        metrics.count_unreadable_entry(reason);
        if action == LogAction::Count {
            return;
        }
        emit(&Event::EntryUnreadable {
            entry: row.id.chars().take(MAX_KEY_CHARS).collect(),
            reason,
            why: row.error.to_string(),
            row: row.position.version,
        });
    }

    /// Records a row and returns what to do with it.
    pub fn classify(&mut self, row: &UnreadableRow, now: Instant) -> LogAction {
        match (self.is_new(row), self.may_log(now)) {
            (false, _) => LogAction::Known,
            (true, false) => LogAction::Count,
            (true, true) => {
                self.lines += 1;
                LogAction::CountAndLog
            }
        }
    }

    fn is_new(&mut self, row: &UnreadableRow) -> bool {
        let key = xxhash_rust::xxh3::xxh3_64(row.id.as_bytes());
        match self.rows.binary_search_by_key(&key, |(k, _)| *k) {
            Ok(at) if self.rows[at].1 >= row.position => false,
            Ok(at) => {
                self.rows[at].1 = row.position;
                true
            }
            Err(at) => {
                self.rows.insert(at, (key, row.position));
                self.shrink();
                true
            }
        }
    }

    fn shrink(&mut self) {
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        let rows = self.rows.iter().enumerate();
        if let Some((oldest, _)) = rows.min_by_key(|(_, (_, row))| *row) {
            self.rows.remove(oldest);
        }
    }

    fn may_log(&mut self, now: Instant) -> bool {
        let is_open = self
            .window_started_at
            .is_some_and(|since| now < since + LINE_WINDOW);
        if !is_open {
            self.window_started_at = Some(now);
            self.lines = 0;
        }
        self.lines < MAX_LINES
    }
}
