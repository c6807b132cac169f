//! Clients that were asked to return later.

use std::time::Instant;

/// Maximum number of clients.
const MAX_CLIENTS: usize = 4096;

/// When clients may return, by the hashes of their requests.
#[derive(Debug, Default)]
pub struct Returns {
    /// Sorted by hash.
    all: Vec<(u64, Instant)>,
}

impl Returns {
    /// Records that a client was asked to return at a time.
    pub fn record(&mut self, hash: u64, at: Instant, now: Instant) {
        match self.all.binary_search_by_key(&hash, |(h, _)| *h) {
            Ok(index) => self.all[index].1 = at,
            Err(index) if self.all.len() < MAX_CLIENTS => self.all.insert(index, (hash, at)),
            Err(_) => self.all.retain(|(_, at)| *at > now),
        }
    }

    /// Time at which a client was asked to return, unless it has passed.
    pub fn return_time(&self, hash: u64, now: Instant) -> Option<Instant> {
        let at = self.all.binary_search_by_key(&hash, |(h, _)| *h).ok()?;
        Some(self.all[at].1).filter(|at| now < *at)
    }

    /// Forgets all clients.
    pub fn clear(&mut self) {
        self.all.clear();
    }
}
