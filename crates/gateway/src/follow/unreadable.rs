//! Rows that name no upstream, each told once.

use observe::{Event, Metrics, emit};
use platform::UnreadableRow;
use std::time::{Duration, Instant};

/// Rows that are remembered as told, at 16 bytes each: as many as the largest fleet has
/// upstreams. Beyond, those with the lowest version yield, and are told again if a whole
/// read finds them.
const MAX_TOLD: usize = 4096;
/// Rows that are told in [`WINDOW`]. Operators need the first ones of a flood; the rest is
/// counted, and the log has room for requests.
const MAX_LINES: u32 = 20;
/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Characters of a key that are logged.
const MAX_KEY: usize = 64;

/// What is to be done with a row that can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Telling {
    /// Nothing: this version of it was told before.
    Known,
    /// It is counted; the log has had enough of them for now.
    Count,
    /// It is counted and logged.
    CountAndLog,
}

/// Which rows were told.
#[derive(Debug, Default)]
pub struct Told {
    /// Hashes of keys with the versions that were told, sorted.
    rows: Vec<(u64, u64)>,
    window: Option<Instant>,
    lines: u32,
}

impl Told {
    /// Counts a row that can't be decoded and logs it, once for each of its versions.
    pub fn tell(&mut self, row: &UnreadableRow, metrics: &Metrics, now: Instant) {
        let telling = self.note(row, now);
        if telling == Telling::Known {
            return;
        }
        let reason = row.error.name();
        metrics.unreadable(reason);
        if telling == Telling::Count {
            return;
        }
        emit(&Event::EntryUnreadable {
            entry: row.id.chars().take(MAX_KEY).collect(),
            reason,
            why: row.error.to_string(),
            row: row.row_version,
        });
    }

    /// Notes a row; says what is to be done with it.
    pub fn note(&mut self, row: &UnreadableRow, now: Instant) -> Telling {
        match (self.is_new(row), self.has_room(now)) {
            (false, _) => Telling::Known,
            (true, false) => Telling::Count,
            (true, true) => {
                self.lines += 1;
                Telling::CountAndLog
            }
        }
    }

    fn is_new(&mut self, row: &UnreadableRow) -> bool {
        let key = xxhash_rust::xxh3::xxh3_64(row.id.as_bytes());
        match self.rows.binary_search_by_key(&key, |(k, _)| *k) {
            Ok(at) if self.rows[at].1 >= row.row_version => false,
            Ok(at) => {
                self.rows[at].1 = row.row_version;
                true
            }
            Err(at) => {
                self.rows.insert(at, (key, row.row_version));
                self.shrink();
                true
            }
        }
    }

    fn shrink(&mut self) {
        if self.rows.len() <= MAX_TOLD {
            return;
        }
        let rows = self.rows.iter().enumerate();
        if let Some((oldest, _)) = rows.min_by_key(|(_, (_, row))| *row) {
            self.rows.remove(oldest);
        }
    }

    fn has_room(&mut self, now: Instant) -> bool {
        let is_open = self.window.is_some_and(|since| now < since + WINDOW);
        if !is_open {
            self.window = Some(now);
            self.lines = 0;
        }
        self.lines < MAX_LINES
    }
}
