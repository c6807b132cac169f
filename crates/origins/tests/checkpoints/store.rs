//! Simulates the rows of the store in virtual time.

use origins::{OriginRecord, StreamId};
use std::net::IpAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Latency of a store that isn't slow, in milliseconds.
const LATENCY_MS: Range<u64> = 3..20;

/// Streams in a row.
pub type Streams = Vec<(StreamId, OriginRecord)>;

/// Position of a row; its version is 0 if there is no row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    era: u32,
    version: u64,
}

/// A call to the store.
#[derive(Debug, Clone)]
pub enum Call {
    /// Reads a row.
    Read(IpAddr),
    /// Replaces a row if it still is at a position.
    Write(IpAddr, Position, Streams),
}

/// Result of a call.
#[derive(Debug, Clone)]
pub enum Answer {
    /// The row and its position.
    Row(Position, Streams),
    /// The row was written.
    Written(Position, Streams),
    /// The row isn't at the position.
    Conflict,
}

#[derive(Debug, Clone)]
struct Row {
    ip: IpAddr,
    version: u64,
    streams: Streams,
    written_at: Instant,
}

/// The store, with all versions of its rows.
#[derive(Debug)]
pub struct Store {
    /// Oldest first.
    written: Vec<Row>,
    era: u32,
    /// Latency of a call, in milliseconds.
    pub latency_ms: Range<u64>,
    /// Time until which calls aren't answered.
    pub silent_until: Option<Instant>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            written: Vec::new(),
            era: 0,
            latency_ms: LATENCY_MS,
            silent_until: None,
        }
    }
}

impl Store {
    /// Whether calls are answered.
    pub fn is_answering(&self, now: Instant) -> bool {
        self.silent_until.is_none_or(|until| now >= until)
    }

    /// Carries out a call.
    pub fn carry_out(&mut self, call: Call, now: Instant) -> Answer {
        match call {
            Call::Read(ip) => {
                let streams = self.row(ip).map_or(Vec::new(), |row| row.streams.clone());
                Answer::Row(self.position(ip), streams)
            }
            Call::Write(ip, position, _) if self.position(ip) != position => Answer::Conflict,
            Call::Write(ip, position, streams) => {
                let version = position.version + 1;
                self.written.push(Row {
                    ip,
                    version,
                    streams: streams.clone(),
                    written_at: now,
                });
                Answer::Written(self.position(ip), streams)
            }
        }
    }

    /// Position of a row.
    pub fn position(&self, ip: IpAddr) -> Position {
        Position {
            era: self.era,
            version: self.row(ip).map_or(0, |row| row.version),
        }
    }

    /// Streams in all rows that haven't expired, with the hosts whose rows contain them.
    pub fn read_all(&self, now: Instant) -> Vec<(IpAddr, StreamId, OriginRecord)> {
        let mut hosts: Vec<IpAddr> = self.written.iter().map(|row| row.ip).collect();
        hosts.sort_unstable();
        hosts.dedup();
        let rows = hosts.into_iter().filter_map(|ip| self.row(ip));
        let all = rows.flat_map(|row| {
            row.streams
                .iter()
                .map(|(id, record)| (row.ip, *id, *record))
        });
        all.filter(|(_, _, record)| record.expires_at > now)
            .collect()
    }

    /// Replaces the rows by a copy of an earlier time.
    pub fn restore(&mut self, to: Instant) {
        self.written.retain(|row| row.written_at <= to);
        self.era += 1;
    }

    fn row(&self, ip: IpAddr) -> Option<&Row> {
        self.written.iter().rev().find(|row| row.ip == ip)
    }
}

/// Draws a duration from a range in milliseconds.
pub fn draw_ms(rng: &mut fastrand::Rng, ms: Range<u64>) -> Duration {
    Duration::from_micros(rng.u64(ms.start * 1000..ms.end * 1000))
}
