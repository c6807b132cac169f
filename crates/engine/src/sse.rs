//! Parser for server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The stream doesn't consist of server-sent events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// Splits a byte stream into events. Supports only `data` fields of one line, which is what
/// completion APIs send.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
    scanned: usize,
}

impl EventReader {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the data of the next event if it is complete.
    pub fn pop(&mut self) -> Result<Option<Bytes>, Malformed> {
        loop {
            let Some(at) = self.buf[self.scanned..].iter().position(|b| *b == b'\n') else {
                self.scanned = self.buf.len();
                return if self.scanned > MAX_EVENT_BYTES {
                    Err(Malformed)
                } else {
                    Ok(None)
                };
            };
            let line = self.buf.split_to(self.scanned + at).freeze();
            self.buf.advance(1);
            self.scanned = 0;
            let line = line
                .strip_suffix(b"\r")
                .map_or(line.clone(), |l| line.slice_ref(l));
            if line.is_empty() || line.starts_with(b":") {
                continue;
            }
            let Some(data) = line.strip_prefix(b"data:") else {
                return Err(Malformed);
            };
            return Ok(Some(
                line.slice_ref(data.strip_prefix(b" ").unwrap_or(data)),
            ));
        }
    }
}
