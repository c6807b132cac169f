//! Acquires, renews and releases a lease that is stored in a table row.

use std::time::{Duration, Instant};
use store::retry::jitter;
use store::rows::{Lease, decode, encode};
use store::{Row, Table, Token, Txn, WriteError};

/// Holder in the row of a released lease.
pub const NO_HOLDER: &str = "";

/// State of a lease, as known to this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseState {
    /// Another process holds the lease, or none does.
    NotHeld,
    /// This process held the lease at its last read or write.
    Held {
        /// The lease.
        lease: Lease,
        /// Version of the row that this process wrote last.
        version: u64,
    },
}

/// Manages a lease for a process.
#[derive(Debug)]
pub struct LeaseManager {
    key: String,
    holder: String,
    stale_after: Duration,
    state: LeaseState,
    last_seen: Option<(u64, Instant)>,
}

impl LeaseManager {
    /// Creates a manager of the lease in row `key` for `holder`. The lease of another holder can
    /// be acquired once its row hasn't changed for `stale_after`, measured by the local clock.
    pub fn new(key: String, holder: String, stale_after: Duration) -> Self {
        Self {
            key,
            holder,
            stale_after,
            state: LeaseState::NotHeld,
            last_seen: None,
        }
    }

    /// State of the lease, as known to this process.
    pub fn state(&self) -> &LeaseState {
        &self.state
    }

    /// Key of the lease row.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Whether the lease can be acquired, given its row as read at `now`.
    pub fn can_acquire(&mut self, row: Option<&Row>, now: Instant) -> bool {
        if row.is_some_and(|r| decode::<Lease>(&r.value).is_none_or(|l| l.holder == NO_HOLDER)) {
            return true;
        }
        let version = row.map_or(0, |r| r.version);
        match self.last_seen {
            Some((seen, at)) if seen == version => {
                version == 0 || now.saturating_duration_since(at) >= self.stale_after
            }
            _ => {
                self.last_seen = Some((version, now));
                version == 0
            }
        }
    }

    /// Tries to acquire the lease, given its row as read. The first process to write wins.
    pub async fn acquire<T: Table>(&mut self, table: &T, row: Option<&Row>) {
        // Spreads the writes of processes that find the lease stale at the same time.
        tokio::time::sleep(jitter(self.stale_after / 4)).await;
        let old = row.and_then(|r| decode::<Lease>(&r.value));
        let epoch = old.map_or(0, |l| l.epoch) + 1;
        let lease = Lease {
            holder: self.holder.clone(),
            epoch,
            renewals: 0,
        };
        self.write(table, lease, row.map_or(0, |r| r.version)).await;
    }

    /// Renews the lease if it is held. If it was lost, the state becomes `NotHeld`.
    pub async fn renew<T: Table>(&mut self, table: &T) {
        let LeaseState::Held { lease, version } = self.state.clone() else {
            return;
        };
        let lease = Lease {
            renewals: lease.renewals + 1,
            ..lease
        };
        self.write(table, lease, version).await;
    }

    /// Releases the lease before the process exits, so that another can acquire it immediately.
    /// The row remains, so that epochs continue to increase.
    pub async fn release<T: Table>(&mut self, table: &T) {
        let LeaseState::Held { lease, version } = self.state.clone() else {
            return;
        };
        let free = Lease {
            holder: NO_HOLDER.to_owned(),
            ..lease
        };
        let txn = Txn::new()
            .check(&self.key, version)
            .put(&self.key, encode(&free));
        self.state = LeaseState::NotHeld;
        // If this fails, another process acquires the lease when it becomes stale.
        let _ = table.commit(&txn).await;
    }

    async fn write<T: Table>(&mut self, table: &T, lease: Lease, expected_version: u64) {
        let txn = Txn::new()
            .check(&self.key, expected_version)
            .put(&self.key, encode(&lease));
        match table.commit(&txn).await {
            Ok(version) => self.state = LeaseState::Held { lease, version },
            Err(WriteError::Refused(_)) => self.state = LeaseState::NotHeld,
            // Not written, so the lease is still held as far as is known.
            Err(WriteError::Unavailable(_)) => {}
            Err(WriteError::Unknown(_)) => self.resolve_unknown(table, lease, txn.token).await,
        }
    }

    /// Determines the outcome of a write by reading the row.
    async fn resolve_unknown<T: Table>(&mut self, table: &T, lease: Lease, token: Token) {
        let Ok(rows) = table.read(vec![self.key.clone()]).await else {
            // Still unknown. The next renewal is conditional on the version before this write,
            // and is refused if the write took effect.
            return;
        };
        match rows.first() {
            Some(row) if row.token == token => {
                self.state = LeaseState::Held {
                    lease,
                    version: row.version,
                };
            }
            Some(row) if self.is_last_written(row) => {}
            _ => self.state = LeaseState::NotHeld,
        }
    }

    fn is_last_written(&self, row: &Row) -> bool {
        matches!(&self.state, LeaseState::Held { version, .. } if *version == row.version)
    }
}
