//! Datagrams between processes about the origins of streams.

use origins::{HostStatus, NameHash, Origin, OriginRecord, StreamId};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Copy of an origin from a process of an earlier version.
    Copy(RawStream, RawRecord),
    /// Answer to `Copy`.
    Copied(RawStream),
    /// Asks a host for the origin of a stream.
    Find(RawStream),
    /// Answer to `Find` with the origin. Sent to processes of earlier versions, which can't decode
    /// `Known`.
    Found(RawStream, RawRecord),
    /// Answer to `Find` of a host that doesn't know the origin, or not for certain. Sent to processes
    /// of earlier versions, which can't decode `Unknown`.
    NotFound(RawStream),
    /// Sends a host copies of origins.
    Keep(RawStatus, Vec<RawCopy>),
    /// Confirms the copies in a `Keep`.
    Kept(RawStatus, Vec<RawStream>),
    /// Asks a host for its status.
    Probe(RawStatus),
    /// Answer to `Probe`. Also sent when a process begins to stop.
    Status(RawStatus),
    /// Answer to `Find` of a host that doesn't know the origin, or not for certain.
    Unknown(RawStatus, RawStream),
    /// Answer to `Find` with the origin. Sent to processes that have sent their status.
    Known(RawStatus, RawCopy),
    /// Reports open and complete streams to a host that writes checkpoints.
    Report(RawStatus, Vec<RawCopy>, Vec<RawStream>),
    /// Confirms the open streams in a `Report`.
    Reported(RawStatus, Vec<RawStream>),
}

/// Status of the sender of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawStatus {
    /// Random number that identifies this start of the process.
    start: u32,
    is_stopping: bool,
    /// Time since the start of the process, in milliseconds.
    running_ms: u32,
}

/// Copy of a stream's origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawCopy {
    /// The stream.
    pub stream: RawStream,
    /// Where and when it began.
    pub record: RawRecord,
    /// Whether the sender knows that the upstream's start was still running after the stream
    /// began.
    pub is_verified: bool,
}

/// Hash of the attempt that got the first event of a stream, upper half first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawStream(u64, u64);

/// Where and when a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRecord {
    route: u64,
    service: u64,
    version: u64,
    /// Tag of the upstream's start.
    upstream: u32,
    /// Time since the first event, in milliseconds.
    ago_ms: u32,
    /// Time for which the stream can still be taken up, in milliseconds.
    left_ms: u32,
}

impl From<HostStatus> for RawStatus {
    fn from(status: HostStatus) -> Self {
        Self {
            start: status.start,
            is_stopping: status.is_stopping,
            running_ms: millis(status.running_for),
        }
    }
}

impl From<RawStatus> for HostStatus {
    fn from(status: RawStatus) -> Self {
        Self {
            start: status.start,
            is_stopping: status.is_stopping,
            running_for: Duration::from_millis(status.running_ms.into()),
        }
    }
}

impl From<StreamId> for RawStream {
    fn from(StreamId(hash): StreamId) -> Self {
        Self((hash >> 64) as u64, hash as u64)
    }
}

impl From<RawStream> for StreamId {
    fn from(RawStream(high, low): RawStream) -> Self {
        Self(u128::from(high) << 64 | u128::from(low))
    }
}

impl RawRecord {
    /// Encodes a record as of `now`.
    pub fn encode(record: &OriginRecord, now: Instant) -> Self {
        let OriginRecord {
            origin,
            began_at,
            expires_at,
        } = record;
        Self {
            route: origin.route.0,
            service: origin.service.0,
            version: origin.version.0,
            upstream: origin.upstream,
            ago_ms: millis(now.saturating_duration_since(*began_at)),
            left_ms: millis(expires_at.saturating_duration_since(now)),
        }
    }

    /// Decodes a record received at `now`; `None` if it is from before this host's clock.
    pub fn decode(self, now: Instant) -> Option<OriginRecord> {
        let left = Duration::from_millis(self.left_ms.into()).min(origins::MAX_STREAM_LIFETIME);
        Some(OriginRecord {
            origin: Origin {
                route: NameHash(self.route),
                service: NameHash(self.service),
                version: NameHash(self.version),
                upstream: self.upstream,
            },
            began_at: now.checked_sub(Duration::from_millis(self.ago_ms.into()))?,
            expires_at: now + left,
        })
    }
}

fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}
