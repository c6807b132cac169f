//! Identifies exits of the upstream process, so that each is counted once regardless of how many
//! requests observed it.

use std::sync::Mutex;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Counts exits of the upstream process.
#[derive(Debug, Default)]
pub struct UpstreamExits {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    count: u64,
    /// When the last exit was observed.
    last: Option<Instant>,
}

impl UpstreamExits {
    /// Records that a request sent at `sent_at` observed an exit. Returns an identifier of the exit
    /// that distinguishes it from exits of other upstreams and other processes; `agent` contains
    /// the name and start of this agent. A request sent after the last recorded exit observed a new one.
    pub fn record_exit(&self, agent: &str, sent_at: Instant) -> u32 {
        let mut inner = self.inner.lock().expect("no panic while locked");
        if inner.last.is_none_or(|last| sent_at > last) {
            inner.count += 1;
            inner.last = Some(Instant::now());
        }
        xxh3_64(format!("{agent} {}", inner.count).as_bytes()) as u32
    }
}
