//! History of the versions of all services, which is kept across restarts of hosts.
//!
//! A host that knows all upstreams writes a record of their versions to the store
//! ([`VersionRecord`]). A host that starts later continues the record with the changes of the
//! registry since ([`Continuation`]). A record describes the state at a position of the store, so it
//! stays valid within its era: an old record, or one that was written late, only needs more changes.
//!
//! A record isn't continued if an upstream may have been added and removed without being seen.

use crate::NameHash;
use std::fmt;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Age from which on a record can't be continued, as the store may have discarded changes since.
pub const MAX_RECORD_AGE: Duration = Duration::from_secs(20);
/// Maximum time by which a record may reach further back than the one that replaces it. Each
/// conversion between a host's clock and the store's shortens the covered time.
const MAX_CONVERSION_LOSS: Duration = Duration::from_secs(3);

/// Version of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceVersion {
    /// The service.
    pub service: NameHash,
    /// Its version.
    pub version: NameHash,
}

/// Position of the store in an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// Era of the store.
    pub era: u64,
    /// Version of the store in that era.
    pub version: u64,
}

/// Start of the period in which all upstreams are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum KnownSince {
    /// The first start of the whole system, before which there were no streams.
    SystemStart,
    /// A time of the store's clock, in milliseconds.
    At(u64),
}

/// Version that no upstream has any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FormerVersion {
    /// The version.
    pub of: ServiceVersion,
    /// Time at which its last upstream left, in milliseconds of the store's clock.
    pub left_ms: u64,
}

/// Hash of an upstream's identifier or, if it may restart under its identifier, of its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamHash(pub u64);

/// Versions of all services at a position of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// Position of the registry.
    pub position: StorePosition,
    /// Time of its read, in milliseconds of the store's clock.
    pub read_ms: u64,
    /// Since when all upstreams are known.
    pub since: KnownSince,
    /// Versions of the upstreams that are present.
    pub present: Vec<ServiceVersion>,
    /// Versions that no upstream has any more but streams may still have.
    pub former: Vec<FormerVersion>,
    /// The upstreams that are present, sorted.
    pub upstreams: Vec<UpstreamHash>,
}

/// Change of the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamChange {
    /// An upstream is registered whose identifier belongs to a single start.
    Registered(ServiceVersion),
    /// An upstream is registered that may restart under its identifier.
    RegisteredStart(UpstreamHash, ServiceVersion),
    /// The entry of an upstream was removed. The hash is that of its identifier.
    Removed(UpstreamHash),
    /// An entry can't be decoded.
    Unreadable,
}

/// Reason why a record isn't continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotContinued {
    /// The store was restored since, or the record is of a later era than the read.
    OtherEra,
    /// The record is of a position that the store hasn't reached.
    AheadOfStore,
    /// The store may have discarded changes since.
    TooOld,
    /// An upstream may have been added and removed without being seen.
    UnseenUpstream,
    /// The changes end before this process's view of the registry.
    Incomplete,
}

/// A record with the changes since.
#[derive(Debug)]
pub struct Continuation {
    record: VersionRecord,
    reached: StorePosition,
    /// Versions of the record, and of upstreams that were registered since.
    seen: Vec<ServiceVersion>,
    changes: usize,
}

/// Versions up to a process's view of the registry.
#[derive(Debug, PartialEq, Eq)]
pub struct Continued {
    /// Since when all upstreams are known.
    pub since: KnownSince,
    /// Versions that were present at some time since the record. Those that aren't present any more
    /// have left.
    pub seen: Vec<ServiceVersion>,
    /// Versions whose upstreams had left before the record.
    pub former: Vec<FormerVersion>,
    /// Number of changes since the record.
    pub changes: usize,
}

impl UpstreamHash {
    /// Hash of an upstream whose identifier belongs to a single start.
    pub fn of_id(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }

    /// Hash of a start, for an upstream that may restart under its identifier.
    pub fn of_start(id: &str, start: u64, version: NameHash) -> Self {
        let parts = [
            id.as_bytes(),
            &start.to_le_bytes(),
            &version.0.to_le_bytes(),
        ];
        Self(xxh3_64(&parts.concat()))
    }
}

impl KnownSince {
    /// Whether this is earlier than `other` by more than [`MAX_CONVERSION_LOSS`].
    fn is_clearly_before(self, other: Self) -> bool {
        match (self, other) {
            (Self::SystemStart, Self::At(_)) => true,
            (_, Self::SystemStart) => false,
            (Self::At(a), Self::At(b)) => {
                a.saturating_add(MAX_CONVERSION_LOSS.as_millis() as u64) < b
            }
        }
    }
}

impl VersionRecord {
    /// Whether this record may replace the stored one: it is newer and reaches as far back, or the
    /// stored one can't be continued any more.
    pub fn may_replace(&self, stored: &Self) -> bool {
        if self.position.era != stored.position.era {
            return self.position.era > stored.position.era;
        }
        let is_newer = self.position >= stored.position && self.read_ms > stored.read_ms;
        let reaches_back = !stored.since.is_clearly_before(self.since);
        is_newer && (reaches_back || stored.is_too_old(self.read_ms))
    }

    fn is_too_old(&self, now_ms: u64) -> bool {
        u128::from(now_ms.saturating_sub(self.read_ms)) >= MAX_RECORD_AGE.as_millis()
    }
}

impl Continuation {
    /// Starts from a record that was read at a position and time of the store.
    pub fn new(
        record: VersionRecord,
        read_at: StorePosition,
        now_ms: u64,
    ) -> Result<Self, NotContinued> {
        if record.position.era != read_at.era {
            return Err(NotContinued::OtherEra);
        }
        // The clock of a store never goes back in an era.
        if record.position > read_at || record.read_ms > now_ms {
            return Err(NotContinued::AheadOfStore);
        }
        if record.is_too_old(now_ms) {
            return Err(NotContinued::TooOld);
        }
        Ok(Self {
            reached: record.position,
            seen: record.present.clone(),
            changes: 0,
            record,
        })
    }

    /// Position from which changes are needed.
    pub fn reached(&self) -> StorePosition {
        self.reached
    }

    /// Applies all changes up to a position.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = UpstreamChange>,
        reached: StorePosition,
    ) -> Result<(), NotContinued> {
        if reached.era != self.reached.era {
            return Err(NotContinued::OtherEra);
        }
        if reached < self.reached {
            return Err(NotContinued::AheadOfStore);
        }
        let was_present =
            |upstream: UpstreamHash| self.record.upstreams.binary_search(&upstream).is_ok();
        for change in changes {
            self.changes += 1;
            match change {
                UpstreamChange::Registered(of) => self.seen.push(of),
                // An earlier start since the record may have had another version.
                UpstreamChange::RegisteredStart(start, of) if was_present(start) => {
                    self.seen.push(of);
                }
                UpstreamChange::Removed(id) if was_present(id) => {}
                UpstreamChange::RegisteredStart(..)
                | UpstreamChange::Removed(_)
                | UpstreamChange::Unreadable => return Err(NotContinued::UnseenUpstream),
            }
        }
        self.reached = reached;
        Ok(())
    }

    /// Completes the continuation for a process whose own view of the registry begins at `view`.
    pub fn finish(mut self, view: StorePosition) -> Result<Continued, NotContinued> {
        if view.era != self.reached.era {
            return Err(NotContinued::OtherEra);
        }
        if view > self.reached {
            return Err(NotContinued::Incomplete);
        }
        self.seen.sort_unstable();
        self.seen.dedup();
        Ok(Continued {
            since: self.record.since,
            seen: self.seen,
            former: self.record.former,
            changes: self.changes,
        })
    }
}

impl fmt::Display for NotContinued {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OtherEra => "the record is of another era of the store",
            Self::AheadOfStore => "the record is ahead of the store",
            Self::TooOld => "the record is too old",
            Self::UnseenUpstream => "an upstream may have been added and removed since the record",
            Self::Incomplete => "the changes since the record are incomplete",
        })
    }
}
