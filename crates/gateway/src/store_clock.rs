//! The store's monotonic clock, which is the same for all hosts.

use crate::monotonic;
use origins::MAX_STREAM_LIFETIME;
use std::time::{Duration, Instant};

/// Reading of the store's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoreClock {
    now_ms: u64,
    read_at: Instant,
}

impl StoreClock {
    /// Creates a reading that was taken now.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            now_ms,
            read_at: monotonic::now(),
        }
    }

    /// Converts a time of this host to the store's clock.
    pub(crate) fn to_store_ms(self, at: Instant) -> u64 {
        let after = at.saturating_duration_since(self.read_at).as_millis() as u64;
        let before = self.read_at.saturating_duration_since(at).as_millis() as u64;
        self.now_ms.saturating_add(after).saturating_sub(before)
    }

    /// Converts a stream's expiry from the store's clock, limited to [`MAX_STREAM_LIFETIME`] after
    /// the reading.
    pub(crate) fn stream_expiry(self, at_ms: u64) -> Instant {
        let left = Duration::from_millis(at_ms.saturating_sub(self.now_ms));
        self.read_at + left.min(MAX_STREAM_LIFETIME)
    }

    /// Converts a time of the store's clock; `None` if it is before the start of this host's clock.
    pub(crate) fn to_instant(self, at_ms: u64) -> Option<Instant> {
        let ago = Duration::from_millis(self.now_ms.saturating_sub(at_ms));
        self.read_at.checked_sub(ago)
    }
}
