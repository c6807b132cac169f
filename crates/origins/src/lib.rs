//! Remembers where streams began, so that they go on only at the software version that began them.
//!
//! What upstreams of two versions write doesn't fit together, and upstreams don't check it. A client
//! takes up a broken stream at any host, also just after the host that it began at was killed. So
//! the origin of each stream is recorded at its host and, from its first event on, at two others,
//! which are chosen by the identifier of the client's attempt ([`host_order`]). Each host
//! that has it renews the copies when hosts stop, fail or start again ([`Replicas`]). A host that doesn't know a
//! stream asks those that should ([`Search`]).
//!
//! Nothing depends on an origin being found: a stream whose origin is unknown isn't run, unless
//! there has been a single version for longer than any stream lasts ([`VersionHistory`]). An origin
//! never changes, so a copy can be missing but not outdated. Hosts that
//! start later read from the store whether there was a single version ([`VersionRecord`]), and the
//! origins of streams that were open while there were several versions ([`Checkpoint`]).
//!
//! Everything here is told the time and does no I/O.

mod checkpoint;
mod history;
mod hosts;
mod order;
mod replicas;
mod replication;
mod search;
mod table;
mod versions;

pub use checkpoint::{CHECKPOINT_WRITERS, Checkpoint, CheckpointWriter, OpenStreams, Report};
pub use history::{
    Continuation, Continued, FormerVersion, KnownSince, MAX_RECORD_AGE, NotContinued,
    ServiceVersion, StorePosition, UpstreamChange, UpstreamHash, VersionRecord,
};
pub use hosts::{HostStart, HostStatus};
pub use order::{HostLocation, host_order};
pub use replicas::{DueSends, HandOver, Replicas, ReplicatedBy};
pub use replication::{CONFIRM_TIMEOUT, COPIES};
pub use search::{Search, SearchState};
pub use table::{Lookup, OriginRecord, OriginTable};
pub use versions::{MAX_LINGER, VERSION_LIFETIME, VersionHistory};

use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Longest time after its first event in which a stream can be taken up.
pub const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(600);

/// Hash of the identifier of the client's attempt that got the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u128);

impl StreamId {
    /// Hashes the identifier of an attempt.
    pub fn of(attempt: &str) -> Self {
        Self(xxh3_128(attempt.as_bytes()))
    }
}

/// Hash of a name, which identifies it between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct NameHash(pub u64);

impl NameHash {
    /// Hashes a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// Route of the request.
    pub route: NameHash,
    /// Service that its route led to.
    pub service: NameHash,
    /// Software version of the upstream.
    pub version: NameHash,
    /// Tag of the upstream's start.
    pub upstream: u32,
}
