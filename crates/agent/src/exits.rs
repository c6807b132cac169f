//! Ends of the upstream, each told once however many requests saw it.

use std::sync::Mutex;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Counts the upstream's ends.
#[derive(Debug, Default)]
pub struct UpstreamExits {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    count: u64,
    /// When the last one was noticed.
    last: Option<Instant>,
}

impl UpstreamExits {
    /// Notes that a try saw it end that was sent to it at a time; gives a number that tells
    /// this end from those of other upstreams and of other processes, `agent` being this
    /// one's name and start. One that was sent after the last end saw another.
    pub fn record_exit(&self, agent: &str, sent_at: Instant) -> u32 {
        let mut inner = self.inner.lock().expect("no panic while locked");
        if inner.last.is_none_or(|last| sent_at > last) {
            inner.count += 1;
            inner.last = Some(Instant::now());
        }
        xxh3_64(format!("{agent} {}", inner.count).as_bytes()) as u32
    }
}
