//! Server-sent events: cutting a stream of bytes into events' data.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is taken, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The stream isn't server-sent events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// Cuts bytes into events. Only `data` fields of one line are taken, which is
/// what completion APIs send.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
    scanned: usize,
}

impl EventReader {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the data of the next whole event, if there is one.
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
