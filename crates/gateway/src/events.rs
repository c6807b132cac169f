//! Splits a stream into server-sent events, as far as resuming requires it.
//!
//! Bytes are passed on unchanged; only the ends and ids of events are parsed. An upstream may
//! stop in the middle of an event. Bytes after the last complete event are buffered until their
//! event is complete, so that the stream can be resumed at another upstream after that event.
//! [`BodyMonitor`](crate::completeness::BodyMonitor) limits their number.

mod boundary;

pub use boundary::EventBoundary;

use bytes::{Bytes, BytesMut};

/// Splits a stream into sequences of complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes after the last complete event.
    partial: BytesMut,
    /// Number of these bytes that `boundary` has read.
    scanned: usize,
    boundary: EventBoundary,
    last_id: Option<u64>,
}

/// The stream is malformed or incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadStream {
    /// An event's id doesn't follow the previous one.
    Gap,
}

impl EventSplitter {
    /// A splitter for a stream that continues after event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether part of an event is buffered.
    pub fn is_mid_event(&self) -> bool {
        self.boundary.is_inside()
    }

    /// Takes the buffered bytes at the end of the stream. Unless it ends inside an event, these are
    /// comments after the last one.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.partial.split().freeze()
    }

    /// Adds bytes and returns the complete events that can be passed on now. Events whose ids
    /// were passed on before are left out.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, BadStream> {
        self.partial.extend_from_slice(data);
        let mut out = BytesMut::new();
        // On error, the events before the bad one aren't passed on either.
        let last_id_before = self.last_id;
        while let Some(len) = self
            .boundary
            .read_to_blank_line(&self.partial[self.scanned..])
        {
            let event = self.partial.split_to(self.scanned + len);
            self.scanned = 0;
            if self
                .is_new_event(&event)
                .inspect_err(|_| self.last_id = last_id_before)?
            {
                out.unsplit(event);
            }
        }
        self.scanned = self.partial.len();
        Ok(out.freeze())
    }

    fn is_new_event(&mut self, event: &[u8]) -> Result<bool, BadStream> {
        let Some(id) = event_id(event) else {
            return Ok(true);
        };
        match self.last_id {
            Some(last) if id <= last => return Ok(false),
            Some(last) if id != last + 1 => return Err(BadStream::Gap),
            _ => self.last_id = Some(id),
        }
        Ok(true)
    }
}

/// Id of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| matches!(b, b'\n' | b'\r'));
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
