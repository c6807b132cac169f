//! Holding and taking over a lease.

use std::time::{Duration, Instant};
use store::retry::jitter;
use store::rows::{Lease, decode, encode};
use store::{Row, Table, Token, Txn, WriteError};

/// Holder of a lease that was given up.
pub const NOBODY: &str = "";

/// What this process knows of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// Another holds it, or nobody does.
    Watching,
    /// This process held it when it last looked.
    Holding {
        /// The lease.
        lease: Lease,
        /// Version of the row that it wrote last.
        version: u64,
    },
}

/// Keeps one lease for one process.
#[derive(Debug)]
pub struct Keeper {
    key: String,
    holder: String,
    stale_after: Duration,
    standing: Standing,
    seen: Option<(u64, Instant)>,
}

impl Keeper {
    /// A keeper of the lease row `key` for `holder`. Another's lease may be
    /// taken once its row has stood still for `stale_after` on our own clock.
    pub fn new(key: String, holder: String, stale_after: Duration) -> Self {
        Self {
            key,
            holder,
            stale_after,
            standing: Standing::Watching,
            seen: None,
        }
    }

    /// What this process knows of the lease.
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// The row's key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Looks at the row as it was read at `now`; says whether it may be taken over.
    pub fn may_take(&mut self, row: Option<&Row>, now: Instant) -> bool {
        if row.is_some_and(|r| decode::<Lease>(&r.value).is_none_or(|l| l.holder == NOBODY)) {
            return true;
        }
        let version = row.map_or(0, |r| r.version);
        match self.seen {
            Some((seen, at)) if seen == version => {
                version == 0 || now.saturating_duration_since(at) >= self.stale_after
            }
            _ => {
                self.seen = Some((version, now));
                version == 0
            }
        }
    }

    /// Takes the lease over from the row as it was read. Whoever writes first has it.
    pub async fn take<T: Table>(&mut self, table: &T, row: Option<&Row>) {
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
        let Standing::Holding { lease, version } = self.standing.clone() else {
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
    pub async fn give_up<T: Table>(&mut self, table: &T) {
        let Standing::Holding { lease, version } = self.standing.clone() else {
            return;
        };
        let free = Lease {
            holder: NOBODY.to_owned(),
            ..lease
        };
        let txn = Txn::new()
            .check(&self.key, version)
            .put(&self.key, encode(&free));
        self.standing = Standing::Watching;
        // If this fails the lease goes stale, and is taken then.
        let _ = table.commit(&txn).await;
    }

    async fn write<T: Table>(&mut self, table: &T, lease: Lease, over: u64) {
        let txn = Txn::new()
            .check(&self.key, over)
            .put(&self.key, encode(&lease));
        match table.commit(&txn).await {
            Ok(version) => self.standing = Standing::Holding { lease, version },
            Err(WriteError::Refused(_)) => self.standing = Standing::Watching,
            // Not written: what was held is held still, as far as we know.
            Err(WriteError::Unavailable(_)) => {}
            Err(WriteError::Unknown(_)) => self.settle(table, lease, txn.token).await,
        }
    }

    /// Settles a write whose outcome is unknown by reading the row back.
    async fn settle<T: Table>(&mut self, table: &T, lease: Lease, token: Token) {
        let Ok(rows) = table.read(vec![self.key.clone()]).await else {
            // Nobody knows. The next renewal is conditional on the version
            // before this write, and is refused if the write took effect.
            return;
        };
        match rows.first() {
            Some(row) if row.token == token => {
                self.standing = Standing::Holding {
                    lease,
                    version: row.version,
                };
            }
            Some(row) if self.holds(row) => {}
            _ => self.standing = Standing::Watching,
        }
    }

    fn holds(&self, row: &Row) -> bool {
        matches!(&self.standing, Standing::Holding { version, .. } if *version == row.version)
    }
}
