//! Origins that this host knows.

use crate::replication::Replication;
use crate::{Origin, StreamId};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of origins, at about 100 bytes each. The one that expires first is evicted.
pub(crate) const MAX_RECORDS: usize = 16_384;
/// Maximum number of replaced starts of upstreams that are remembered.
const MAX_DISTRUSTED: usize = 1024;
/// Interval between removals of expired origins.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);

/// The origin of a stream, as recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginRecord {
    /// The origin.
    pub origin: Origin,
    /// Time of the first event, at this host's clock.
    pub began_at: Instant,
    /// Time after which the stream can't be taken up.
    pub expires_at: Instant,
}

/// What is known of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    /// Its origin.
    Known(OriginRecord),
    /// Its origin is uncertain: two were recorded, or its upstream had restarted unnoticed.
    Uncertain,
    /// Nothing.
    Unknown,
}

/// A stream with its origin.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) stream: StreamId,
    pub(crate) record: OriginRecord,
    is_uncertain: bool,
    /// Copying to other hosts; `None` if another host replicates the origin.
    pub(crate) replication: Option<Replication>,
}

/// Origins that this host knows.
#[derive(Debug, Default)]
pub struct OriginTable {
    /// Sorted by stream.
    entries: Vec<Entry>,
    /// Starts of upstreams that were replaced by ones of another version, oldest first, with the
    /// times from which on the streams that began there are uncertain.
    distrusted: VecDeque<(u32, Instant)>,
    expired_at: Option<Instant>,
}

impl OriginTable {
    /// Records an origin. It never changes, so a different one for the same stream makes both
    /// uncertain. Returns whether the stream was unknown.
    pub fn record(&mut self, stream: StreamId, record: OriginRecord, now: Instant) -> bool {
        self.expire(now);
        if record.expires_at <= now {
            return false;
        }
        match self.entries.binary_search_by_key(&stream, |e| e.stream) {
            Ok(at) => {
                let entry = &mut self.entries[at];
                entry.is_uncertain |= entry.record.origin != record.origin;
                entry.record.expires_at = entry.record.expires_at.max(record.expires_at);
                false
            }
            Err(at) => {
                let origin = record.origin;
                let is_uncertain = self
                    .distrusted
                    .iter()
                    .any(|(tag, since)| *tag == origin.upstream && record.began_at >= *since);
                let entry = Entry {
                    stream,
                    record,
                    is_uncertain,
                    replication: None,
                };
                self.entries.insert(at, entry);
                self.evict();
                true
            }
        }
    }

    /// What is known of a stream.
    pub fn find(&self, stream: StreamId, now: Instant) -> Lookup {
        let Ok(at) = self.entries.binary_search_by_key(&stream, |e| e.stream) else {
            return Lookup::Unknown;
        };
        let entry = &self.entries[at];
        match (entry.record.expires_at > now, entry.is_uncertain) {
            (false, _) => Lookup::Unknown,
            (true, true) => Lookup::Uncertain,
            (true, false) => Lookup::Known(entry.record),
        }
    }

    /// Makes the origins of streams uncertain that began at a start of an upstream after a time, as
    /// a later start of another version may have begun them.
    pub fn distrust(&mut self, upstream: u32, since: Instant) {
        for entry in &mut self.entries {
            let record = &entry.record;
            entry.is_uncertain |= record.origin.upstream == upstream && record.began_at >= since;
        }
        if self.distrusted.len() >= MAX_DISTRUSTED {
            self.distrusted.pop_front();
        }
        self.distrusted.push_back((upstream, since));
    }

    /// All streams with certain origins.
    pub fn all(&self, now: Instant) -> Vec<(StreamId, OriginRecord)> {
        let valid = self.entries.iter().filter(|e| e.is_valid(now));
        valid.map(|e| (e.stream, e.record)).collect()
    }

    /// Entries of streams with certain origins.
    pub(crate) fn valid(&self, now: Instant) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |e| e.is_valid(now))
    }

    /// All entries, sorted by stream.
    pub(crate) fn entries_mut(&mut self) -> &mut [Entry] {
        &mut self.entries
    }

    pub(crate) fn entry_mut(&mut self, stream: StreamId) -> Option<&mut Entry> {
        let at = self.entries.binary_search_by_key(&stream, |e| e.stream);
        at.ok().map(|at| &mut self.entries[at])
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes expired origins, at most once per interval.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= EXPIRE_EVERY;
        if self.expired_at.is_none_or(is_due) {
            self.expired_at = Some(now);
            self.entries.retain(|e| e.record.expires_at > now);
        }
    }

    fn evict(&mut self) {
        if self.entries.len() <= MAX_RECORDS {
            return;
        }
        let all = self.entries.iter().enumerate();
        if let Some((at, _)) = all.min_by_key(|(_, e)| e.record.expires_at) {
            self.entries.remove(at);
        }
    }
}

impl Entry {
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        !self.is_uncertain && self.record.expires_at > now
    }
}
