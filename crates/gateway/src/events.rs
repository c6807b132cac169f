//! Splits a stream into server-sent events, as far as resuming requires it.
//!
//! Bytes are passed on unchanged; only the ends and ids of events are parsed. An upstream may
//! stop in the middle of an event. Bytes after the last complete event are buffered until their
//! event is complete, so that the stream can be resumed at another upstream after that event.

mod boundary;

pub use boundary::EventBoundary;

use bytes::{Bytes, BytesMut};

/// Maximum length of an incomplete event. If it is exceeded, the stream counts as malformed.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into sequences of complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

/// The stream is malformed or incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadStream {
    /// An event is larger than any that upstreams send.
    TooLong,
    /// An event's id doesn't follow the previous one.
    Gap,
}

impl EventSplitter {
    /// A splitter for a stream that continues after event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether part of an event is buffered.
    pub fn is_mid_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Adds bytes and returns the complete events that can be passed on now. Events whose ids
    /// were passed on before are left out.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, BadStream> {
        self.partial.extend_from_slice(data);
        let mut out = BytesMut::new();
        // On error, the events before the bad one aren't passed on either.
        let last_id_before = self.last_id;
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            if self
                .is_new_event(&event)
                .inspect_err(|_| self.last_id = last_id_before)?
            {
                out.unsplit(event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(BadStream::TooLong);
        }
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

/// End of the first event, after its blank line.
fn event_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).position(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = buf
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Id of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
