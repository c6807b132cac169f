//! Events of a stream, as far as resuming needs them.
//!
//! Bytes are passed on as they came; only the ends of events and their ids are
//! looked for. An upstream may stop in the middle of an event: what follows the
//! last whole event is held until its rest comes, so that a stream can go on
//! elsewhere after it.

use bytes::{Bytes, BytesMut};

/// Longest event that is held. Beyond it the stream counts as malformed.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts a stream into runs of whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

/// The stream isn't made of events, or an event is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadStream {
    /// An event is larger than any upstream sends.
    TooLong,
    /// An event's id doesn't follow the one before.
    Gap,
}

impl EventSplitter {
    /// A cutter for a stream that goes on after an event.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last event that was cut off.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether a part of an event is held.
    pub fn is_mid_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Adds bytes; gives the whole events that can be passed on now. Events that
    /// were passed on before, by their ids, are left out.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, BadStream> {
        self.partial.extend_from_slice(data);
        let mut out = BytesMut::new();
        // What is cut off before a bad event isn't passed on with an error.
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

/// Where the first event ends, past its blank line.
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

/// The id in an event's lines, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
