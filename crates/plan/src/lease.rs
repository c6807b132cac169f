//! Holding and taking over a lease.

use std::time::{Duration, Instant};
use store::retry::jitter;
use store::rows::{Lease, decode, encode};
use store::{Row, Table, Token, Txn, WriteError};

/// Holder of a lease that was given up.
pub const NO_HOLDER: &str = "";

/// What this process knows of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseState {
    /// Another holds it, or nobody does.
    NotHeld,
    /// This process held it when it last looked.
    Held {
        /// The lease.
        lease: Lease,
        /// Version of the row that it wrote last.
        version: u64,
    },
}

/// Keeps one lease for one process.
#[derive(Debug)]
pub struct LeaseManager {
    key: String,
    holder: String,
    stale_after: Duration,
    state: LeaseState,
    last_seen: Option<(u64, Instant)>,
}

impl LeaseManager {
    /// A keeper of the lease row `key` for `holder`. Another's lease may be
    /// taken once its row has stood still for `stale_after` on our own clock.
    pub fn new(key: String, holder: String, stale_after: Duration) -> Self {
        Self {
            key,
            holder,
            stale_after,
            state: LeaseState::NotHeld,
            last_seen: None,
        }
    }

    /// What this process knows of the lease.
    pub fn state(&self) -> &LeaseState {
        &self.state
    }

    /// The row's key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Looks at the row as it was read at `now`; says whether it may be taken over.
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

    /// Takes the lease over from the row as it was read. Whoever writes first has it.
    pub async fn acquire<T: Table>(&mut self, table: &T, row: Option<&Row>) {
        // Those that saw the same row stand still don't all write at once.
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

    /// Renews the lease that is held. A lost one leaves the standing at watching.
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

    /// Gives the lease up, as when the process stops, so that another can take
    /// it at once. The row stays, so that epochs go on rising.
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
        // If this fails the lease goes stale, and is taken then.
        let _ = table.commit(&txn).await;
    }

    async fn write<T: Table>(&mut self, table: &T, lease: Lease, expected_version: u64) {
        let txn = Txn::new()
            .check(&self.key, expected_version)
            .put(&self.key, encode(&lease));
        match table.commit(&txn).await {
            Ok(version) => self.state = LeaseState::Held { lease, version },
            Err(WriteError::Refused(_)) => self.state = LeaseState::NotHeld,
            // Not written: what was held is held still, as far as we know.
            Err(WriteError::Unavailable(_)) => {}
            Err(WriteError::Unknown(_)) => self.resolve_unknown(table, lease, txn.token).await,
        }
    }

    /// Settles a write whose outcome is unknown by reading the row back.
    async fn resolve_unknown<T: Table>(&mut self, table: &T, lease: Lease, token: Token) {
        let Ok(rows) = table.read(vec![self.key.clone()]).await else {
            // Nobody knows. The next renewal is conditional on the version
            // before this write, and is refused if the write took effect.
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
