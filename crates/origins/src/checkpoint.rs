//! Checkpoints of the origins of open streams, which are written to the store while hosts run.
//!
//! A host that is killed can't save its origins. If all hosts were killed at once while several
//! versions are in service, the versions of their streams would be unknown. Each host therefore
//! reports its open streams ([`OpenStreams`]) to a few writers, which are the same for all hosts
//! ([`Replicas::checkpoint_writers`](crate::Replicas::checkpoint_writers)). A writer stores the
//! reported streams in a single row ([`Checkpoint`]), so the number of writes doesn't depend on
//! the number of hosts or streams.

use crate::hosts::HostStart;
use crate::table::OriginRecord;
use crate::{NameHash, StreamId};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Number of hosts that write checkpoints.
pub const CHECKPOINT_WRITERS: usize = 2;
/// Delay of a write after an addition, so that streams that begin together are written together.
const WRITE_DELAY: Duration = Duration::from_millis(30);
/// Minimum interval between two writes of a host.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Additional delay of the second writer, so that the writes of both alternate.
const SECOND_WRITER_DELAY: Duration = Duration::from_millis(500);
/// Additional delay of the second writer's first write, and of its write after a failure. These
/// read the row first, and the first writer may do so at the same time.
const SECOND_WRITER_FIRST_DELAY: Duration = Duration::from_millis(1500);
/// Time without a confirmation after which a report is sent again.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of times that the end of a stream is reported. Ends aren't confirmed, as a stream whose
/// end isn't received expires.
const END_REPORTS: u32 = 3;
/// Maximum number of open streams, and of streams in a checkpoint, at about 100 bytes each.
const MAX_STREAMS: usize = 16_384;

/// A host that writes checkpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckpointWriter {
    /// Address of the host.
    pub ip: IpAddr,
    /// Number that identifies the start of its process, if it is known.
    pub start: Option<u32>,
}

/// Streams to report to a writer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Address of the writer.
    pub to: IpAddr,
    /// Streams that are open.
    pub open: Vec<(StreamId, OriginRecord)>,
    /// Streams that are complete.
    pub ended: Vec<StreamId>,
}

/// Streams that this host serves or has served, and that clients may resume.
#[derive(Debug, Default)]
pub struct OpenStreams {
    /// Sorted by stream.
    open: Vec<OpenStream>,
    ended: Vec<EndedStream>,
}

#[derive(Debug)]
struct OpenStream {
    stream: StreamId,
    record: OriginRecord,
    /// Writers that have confirmed the stream.
    confirmed: Vec<HostStart>,
    sent_at: Option<Instant>,
}

#[derive(Debug)]
struct EndedStream {
    stream: StreamId,
    reports: u32,
    sent_at: Option<Instant>,
}

impl OpenStreams {
    /// Records that a stream begins or continues at this host.
    pub fn open(&mut self, stream: StreamId, record: OriginRecord, now: Instant) {
        self.open.retain(|open| open.record.expires_at > now);
        self.ended.retain(|ended| ended.stream != stream);
        let new = OpenStream {
            stream,
            record,
            confirmed: Vec::new(),
            sent_at: None,
        };
        match self.open.binary_search_by_key(&stream, |open| open.stream) {
            // A second origin makes the stream uncertain, so the writers have to know it.
            Ok(at) if self.open[at].record.origin != record.origin => self.open[at] = new,
            Ok(_) => {}
            Err(at) if self.open.len() < MAX_STREAMS => self.open.insert(at, new),
            Err(_) => {}
        }
    }

    /// Records that a stream is complete, so that its client won't resume it.
    pub fn end(&mut self, stream: StreamId) {
        let found = self.open.binary_search_by_key(&stream, |open| open.stream);
        let Ok(at) = found else { return };
        let open = self.open.remove(at);
        if open.sent_at.is_some() {
            self.ended.push(EndedStream {
                stream,
                reports: 0,
                sent_at: None,
            });
        }
    }

    /// Records that a writer has confirmed a stream.
    pub fn confirm(&mut self, stream: StreamId, writer: HostStart) {
        let found = self.open.binary_search_by_key(&stream, |open| open.stream);
        let Ok(at) = found else { return };
        let confirmed = &mut self.open[at].confirmed;
        confirmed.retain(|known| known.ip != writer.ip);
        confirmed.push(writer);
    }

    /// Whether there is neither an open stream nor an end to report.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.ended.is_empty()
    }

    /// Reports that are due. `services` are the services whose streams are reported, sorted.
    pub fn due(
        &mut self,
        writers: &[CheckpointWriter],
        services: &[NameHash],
        now: Instant,
    ) -> Vec<Report> {
        let mut reports: Vec<Report> = writers.iter().map(|w| Report::new(w.ip)).collect();
        let is_overdue =
            |sent_at: Option<Instant>| sent_at.is_none_or(|at| now >= at + REPORT_TIMEOUT);
        for open in &mut self.open {
            let is_reported = services.binary_search(&open.record.origin.service).is_ok();
            if !is_reported || open.record.expires_at <= now || !is_overdue(open.sent_at) {
                continue;
            }
            for (writer, report) in writers.iter().zip(&mut reports) {
                if !open.is_confirmed_by(*writer) {
                    report.open.push((open.stream, open.record));
                    open.sent_at = Some(now);
                }
            }
        }
        for ended in &mut self.ended {
            if is_overdue(ended.sent_at) {
                ended.sent_at = Some(now);
                ended.reports += 1;
                for report in &mut reports {
                    report.ended.push(ended.stream);
                }
            }
        }
        self.ended.retain(|ended| ended.reports < END_REPORTS);
        reports.retain(|report| !report.open.is_empty() || !report.ended.is_empty());
        reports
    }
}

impl OpenStream {
    fn is_confirmed_by(&self, writer: CheckpointWriter) -> bool {
        let is_same = |known: &HostStart| {
            known.ip == writer.ip && writer.start.is_none_or(|start| known.start == start)
        };
        self.confirmed.iter().any(is_same)
    }
}

impl Report {
    fn new(to: IpAddr) -> Self {
        Self {
            to,
            open: Vec::new(),
            ended: Vec::new(),
        }
    }
}

/// Streams that this host stores as a checkpoint writer.
#[derive(Debug, Default)]
pub struct Checkpoint {
    /// Sorted by stream.
    streams: Vec<(StreamId, OriginRecord)>,
    /// Time of the first addition since the last write.
    changed_at: Option<Instant>,
    /// Time at which the last write began.
    written_at: Option<Instant>,
    /// Whether the last write failed.
    has_failed: bool,
}

impl Checkpoint {
    /// Adds a stream that was reported.
    pub fn add(&mut self, stream: StreamId, record: OriginRecord, now: Instant) {
        if self.insert(stream, record, now) {
            self.changed_at = self.changed_at.or(Some(now));
        }
    }

    /// Adds a stream that this host's row in the store already contains.
    pub fn restore(&mut self, stream: StreamId, record: OriginRecord, now: Instant) {
        self.insert(stream, record, now);
    }

    /// Removes a stream that is complete.
    pub fn remove(&mut self, stream: StreamId) {
        if let Ok(at) = self.streams.binary_search_by_key(&stream, |(s, _)| *s) {
            self.streams.remove(at);
        }
    }

    /// Time of the next write; `None` if nothing was added since the last one. `place` is this
    /// host's position among the writers; `None` if it isn't a writer by its own view. Hosts that
    /// start at different times report to different writers until they know the same members.
    pub fn write_at(&self, place: Option<usize>) -> Option<Instant> {
        let is_first = self.written_at.is_none() || self.has_failed;
        let delay = match (place?, is_first) {
            (0, _) => Duration::ZERO,
            (_, false) => SECOND_WRITER_DELAY,
            (_, true) => SECOND_WRITER_FIRST_DELAY,
        };
        let at = self.changed_at? + WRITE_DELAY + delay;
        let earliest = self.written_at.map(|written| written + MIN_WRITE_INTERVAL);
        Some(earliest.map_or(at, |earliest| earliest.max(at)))
    }

    /// Begins a write, and returns the streams to write.
    pub fn begin_write(&mut self, now: Instant) -> Vec<(StreamId, OriginRecord)> {
        self.changed_at = None;
        self.written_at = Some(now);
        self.has_failed = false;
        self.streams(now)
    }

    /// Records that a write failed, and schedules another one.
    pub fn record_failure(&mut self, now: Instant) {
        self.changed_at = self.changed_at.or(Some(now));
        self.has_failed = true;
    }

    /// Removes expired streams, and returns the others.
    pub fn streams(&mut self, now: Instant) -> Vec<(StreamId, OriginRecord)> {
        self.streams.retain(|(_, record)| record.expires_at > now);
        self.streams.clone()
    }

    /// Adds a stream. Returns whether the row has to be written, also if the stream has another
    /// origin already, as it is uncertain then.
    fn insert(&mut self, stream: StreamId, record: OriginRecord, now: Instant) -> bool {
        let at = match self.streams.binary_search_by_key(&stream, |(s, _)| *s) {
            Ok(at) => return self.streams[at].1.origin != record.origin,
            Err(at) => at,
        };
        let is_valid = record.expires_at > now && self.streams.len() < MAX_STREAMS;
        if is_valid {
            self.streams.insert(at, (stream, record));
        }
        is_valid
    }
}
