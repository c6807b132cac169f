//! Where streams began, as this process knows it.
//!
//! A stream that may be resumed goes on only at the software version that began it; see [`origins`].
//! Its origin is recorded when its answer begins, and copied to other hosts at once. A client that
//! takes it up names the attempt that got its first event.

mod checkpoint;
mod exchange;
mod message;
pub mod rows;

pub use checkpoint::{end as end_stream, write as write_checkpoints};
pub use exchange::start;

use crate::fleet::ServiceKey;
use crate::monotonic;
use crate::peers::Location;
use crate::state::Gateway;
use observe::{Event, StreamSearchAnswer, emit};
use origins::{
    Checkpoint, HandOver, HostLocation, HostStart, Lookup, MAX_STREAM_LIFETIME, OpenStreams,
    Origin, OriginRecord, Replicas, ReplicatedBy, StreamId, VERSION_LIFETIME,
};
use platform::MAX_STREAM_RECORDS;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};

/// Longest wait for a read of the registry after a stream was taken up.
const FRESH_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks whether the registry was read.
const FRESH_READ_CHECK_EVERY: Duration = Duration::from_millis(5);
/// Time after its first event beyond its deadline in which a stream can be taken up.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// Origins of streams in this process.
#[derive(Debug)]
pub struct Origins {
    replicas: Mutex<Replicas>,
    /// Notified when copies or reports may be due.
    changed: Notify,
    open_streams: Mutex<OpenStreams>,
    checkpoint: Mutex<Checkpoint>,
    /// Notified when a write of the checkpoint may be due.
    checkpoint_changed: Notify,
    /// Streams whose origins were read from the store, sorted.
    stored_streams: Mutex<Vec<StreamId>>,
    /// Tasks that expect replies about a stream.
    expected: Mutex<Vec<(StreamId, ReplySender)>>,
    socket: OnceLock<Arc<UdpSocket>>,
    /// Random number that identifies this start of the process.
    start: u32,
    started_at: Instant,
}

/// A host's reply about a stream.
#[derive(Debug, Clone, Copy)]
enum Reply {
    /// Origin of the stream, and whether the host has verified the upstream's start.
    Found(OriginRecord, bool),
    NotFound,
}

type ReplySender = mpsc::UnboundedSender<(IpAddr, Reply)>;

/// Replies about a stream. Closing the channel ends the expectation of more.
type Replies = mpsc::UnboundedReceiver<(IpAddr, Reply)>;

/// How the origin of a stream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This host recorded it or has a copy.
    Own,
    /// Another host was asked.
    Peer(IpAddr),
    /// It was read from the store.
    Store,
    /// There is a single version.
    OnlyVersion,
}

/// Origin of a stream, and how it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownOrigin {
    /// The origin.
    pub origin: Origin,
    /// How it is known.
    pub source: Source,
    /// Time of the first event, unless it isn't known.
    pub began_at: Option<Instant>,
}

/// Origin of a stream that another host returned.
#[derive(Debug, Clone, Copy)]
struct FoundOrigin {
    record: OriginRecord,
    from: IpAddr,
    /// Whether the host knows that the upstream's start was still running after the stream began.
    is_verified: bool,
}

/// A host that was asked for the origin of a stream and didn't return it.
#[derive(Debug, Clone, Copy)]
pub struct AskedHost {
    /// Address of the host.
    pub ip: IpAddr,
    /// Whether it answered that it doesn't know the stream.
    pub has_answered: bool,
    /// Time since the start of its process, if it is known.
    pub running_for: Option<Duration>,
}

impl Origins {
    /// Creates an empty set for the process on the host at a location.
    pub fn new(location: Location) -> Self {
        let Location { ip, zone } = location;
        Self {
            replicas: Mutex::new(Replicas::new(HostLocation { ip, zone })),
            changed: Notify::new(),
            open_streams: Mutex::default(),
            checkpoint: Mutex::default(),
            checkpoint_changed: Notify::new(),
            stored_streams: Mutex::default(),
            expected: Mutex::default(),
            socket: OnceLock::new(),
            start: fastrand::u32(..),
            started_at: monotonic::now(),
        }
    }

    fn replicas(&self) -> MutexGuard<'_, Replicas> {
        self.replicas.lock().expect("no panic while locked")
    }

    fn open_streams(&self) -> MutexGuard<'_, OpenStreams> {
        self.open_streams.lock().expect("no panic while locked")
    }

    fn stored_streams(&self) -> MutexGuard<'_, Vec<StreamId>> {
        self.stored_streams.lock().expect("no panic while locked")
    }

    fn expect_replies(&self, stream: StreamId) -> Replies {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut expected = self.expected.lock().expect("no panic while locked");
        expected.retain(|(_, tx)| !tx.is_closed());
        expected.push((stream, tx));
        rx
    }

    fn reply(&self, stream: StreamId, from: IpAddr, reply: Reply) {
        let expected = self.expected.lock().expect("no panic while locked");
        for (_, tx) in expected.iter().filter(|(s, _)| *s == stream) {
            // The task may have ended just now.
            let _ = tx.send((from, reply));
        }
    }

    /// Makes the origins of streams uncertain that began at a start of an upstream after a time.
    pub fn distrust(&self, upstream: u32, since: Instant) {
        self.replicas().distrust(upstream, since);
    }

    /// Whether the origin that was recorded for an attempt is still certain.
    pub fn is_certain(&self, attempt: &str) -> bool {
        let found = self
            .replicas()
            .find(StreamId::of(attempt), monotonic::now());
        found != Lookup::Uncertain
    }
}

/// Records that a stream begins now, and sends copies to other hosts. `deadline` is the time for
/// which its client waits, if known.
pub fn record(gateway: &Arc<Gateway>, attempt: &str, origin: Origin, deadline: Option<Duration>) {
    let now = monotonic::now();
    let lifetime = deadline.map_or(MAX_STREAM_LIFETIME, |d| d + DEADLINE_MARGIN);
    let record = OriginRecord {
        origin,
        began_at: now,
        expires_at: now + lifetime.min(MAX_STREAM_LIFETIME),
    };
    let stream = StreamId::of(attempt);
    let mut replicas = gateway.origins.replicas();
    replicas.record(stream, record, None, ReplicatedBy::ThisHost, now);
    drop(replicas);
    exchange::send_first_copies(gateway, stream, record);
    checkpoint::open(gateway, stream, record);
}

/// Records that this host serves the rest of the stream that an attempt began.
pub fn record_continued(gateway: &Gateway, attempt: &str) {
    let stream = StreamId::of(attempt);
    let found = gateway.origins.replicas().find(stream, monotonic::now());
    if let Lookup::Known(record) = found {
        checkpoint::open(gateway, stream, record);
    }
}

/// Logs which hosts hold the origins of this process when it exits.
pub fn log_hand_over(gateway: &Gateway) {
    let HandOver {
        streams,
        under_replicated,
        receivers,
    } = gateway.origins.replicas().hand_over(monotonic::now());
    emit(&Event::StreamsHandedOver {
        streams,
        under_replicated,
        receivers: receivers.iter().map(IpAddr::to_string).collect(),
    });
}

/// Records origins that were read from the store. This process replicates only those from its own
/// host's row.
fn record_stored(gateway: &Gateway, stored: Vec<rows::StoredOrigin>) {
    let now = monotonic::now();
    let own = gateway.host().name.clone();
    let mut replicas = gateway.origins.replicas();
    let mut checkpoint = gateway.origins.checkpoint();
    let mut stored_streams = gateway.origins.stored_streams();
    stored_streams.retain(|stream| replicas.find(*stream, now) != Lookup::Unknown);
    for origin in stored {
        let replicated_by = match origin.host == own {
            true => ReplicatedBy::ThisHost,
            false => ReplicatedBy::OtherHost,
        };
        if origin.host == own {
            // The next write replaces the row, so it must contain this stream too.
            checkpoint.restore(origin.stream, origin.record, now);
        }
        let is_new = replicas.record(origin.stream, origin.record, None, replicated_by, now);
        if is_new {
            stored_streams.push(origin.stream);
        }
    }
    stored_streams.sort_unstable();
    drop(stored_streams);
    drop(checkpoint);
    drop(replicas);
    gateway.origins.changed.notify_one();
}

/// Writes the under-replicated origins and those of the checkpoint to the store, as this process
/// stops.
pub async fn save(gateway: &Arc<Gateway>, until: Instant) {
    rows::save(gateway, &unsaved_origins(gateway), until).await;
}

/// Origins of the checkpoint, and those that too few running hosts hold, sorted by stream.
fn unsaved_origins(gateway: &Gateway) -> Vec<(StreamId, OriginRecord)> {
    let now = monotonic::now();
    let checkpointed = gateway.origins.checkpoint().streams(now);
    let mut unsaved = checkpoint::certain_streams(gateway, checkpointed);
    let under_replicated = gateway
        .origins
        .replicas()
        .under_replicated(MAX_STREAM_RECORDS, now);
    unsaved.extend(under_replicated);
    unsaved.sort_unstable_by_key(|(stream, _)| *stream);
    unsaved.dedup_by_key(|(stream, _)| *stream);
    unsaved
}

/// Finds the origin of the stream that an attempt began: here, at other hosts, or as the service
/// has a single version. Returns the hosts that were asked if it isn't known for certain.
pub async fn find(
    gateway: &Arc<Gateway>,
    attempt: Option<&str>,
    service: ServiceKey,
    route: origins::NameHash,
) -> Result<KnownOrigin, Vec<AskedHost>> {
    let mut asked = Vec::new();
    if let Some(stream) = attempt.map(StreamId::of) {
        let found = gateway.origins.replicas().find(stream, monotonic::now());
        match found {
            Lookup::Known(record) => return Ok(KnownOrigin::from_record(gateway, stream, &record)),
            Lookup::Uncertain => return Err(asked),
            Lookup::Unknown => {}
        }
        match exchange::search(gateway, stream).await {
            Ok(found) => return record_found(gateway, stream, &found).ok_or(asked),
            Err(hosts) => asked = hosts,
        }
        // A host that has exited may have written it to the store.
        if rows::request_read(gateway).await.is_some() {
            let found = gateway.origins.replicas().find(stream, monotonic::now());
            match found {
                Lookup::Known(record) => {
                    return Ok(KnownOrigin::from_record(gateway, stream, &record));
                }
                Lookup::Uncertain => return Err(asked),
                Lookup::Unknown => {}
            }
        }
    }
    gateway.versions.wait_until_read().await;
    // An upstream that began the stream was registered before, so a read from now on shows it.
    if only_version(gateway, service, route).is_none()
        || wait_for_fresh_read(gateway).await.is_none()
    {
        return Err(asked);
    }
    only_version(gateway, service, route).ok_or(asked)
}

/// Records an origin that another host returned. `None` if it is uncertain here.
fn record_found(gateway: &Gateway, stream: StreamId, found: &FoundOrigin) -> Option<KnownOrigin> {
    let FoundOrigin {
        record,
        from,
        is_verified,
    } = *found;
    if !exchange::can_accept_record(gateway, &record, is_verified) {
        return None;
    }
    let now = monotonic::now();
    let mut replicas = gateway.origins.replicas();
    let holder = replicas.status(from).map(|(status, _)| HostStart {
        ip: from,
        start: status.start,
    });
    replicas.record(stream, record, holder, ReplicatedBy::ThisHost, now);
    let found = replicas.find(stream, now);
    drop(replicas);
    gateway.origins.changed.notify_one();
    match found {
        Lookup::Known(record) => Some(KnownOrigin::new(&record, Source::Peer(from))),
        Lookup::Uncertain | Lookup::Unknown => None,
    }
}

/// Logs that a stream is rejected because its origin isn't known.
pub fn log_unknown(request: &str, asked: &[AskedHost]) {
    let asked = asked.iter().map(|host| StreamSearchAnswer {
        host: host.ip.to_string(),
        has_answered: host.has_answered,
        running_ms: host.running_for.map(|d| d.as_millis() as u64),
    });
    emit(&Event::StreamUnknown {
        request,
        asked: asked.collect(),
    });
}

/// Reads the registry; `None` if that takes too long.
async fn wait_for_fresh_read(gateway: &Gateway) -> Option<()> {
    let now = monotonic::now();
    gateway.registry_wanted.notify_one();
    let is_read = async {
        while gateway.registry_coverage().own_read_at() < Some(now) {
            tokio::time::sleep(FRESH_READ_CHECK_EVERY).await;
        }
    };
    let read = tokio::time::timeout(FRESH_READ_TIMEOUT, is_read).await;
    read.ok()
}

impl KnownOrigin {
    /// Origin from a record of this host.
    fn from_record(gateway: &Gateway, stream: StreamId, record: &OriginRecord) -> Self {
        let stored_streams = gateway.origins.stored_streams();
        let is_stored = stored_streams.binary_search(&stream).is_ok();
        let source = match is_stored {
            true => Source::Store,
            false => Source::Own,
        };
        Self::new(record, source)
    }

    fn new(record: &OriginRecord, source: Source) -> Self {
        Self {
            origin: record.origin,
            source,
            began_at: Some(record.began_at),
        }
    }
}

/// Origin of any stream of a service that has had a single version for longer than any stream
/// lasts, as far as this process could know.
fn only_version(
    gateway: &Gateway,
    service: ServiceKey,
    route: origins::NameHash,
) -> Option<KnownOrigin> {
    let now = monotonic::now();
    if !gateway.registry_coverage().covers(VERSION_LIFETIME, now) {
        return None;
    }
    let fleet = gateway.fleet();
    let version = fleet.only_version(service, now)?;
    Some(KnownOrigin {
        origin: Origin {
            route,
            service: fleet.info(service).name_hash(),
            version,
            upstream: 0,
        },
        source: Source::OnlyVersion,
        began_at: None,
    })
}

impl Source {
    /// The host that was asked, in logs.
    pub fn host(self) -> Option<String> {
        match self {
            Self::Peer(ip) => Some(ip.to_string()),
            Self::Own | Self::Store | Self::OnlyVersion => None,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer(_) => "peer",
            Self::Store => "store",
            Self::OnlyVersion => "only_version",
        }
    }
}
