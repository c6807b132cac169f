//! Frames of an answer, and the check that an answer is whole.

use crate::message::{Refusal, RequestId};
use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Largest frame that is taken, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Bytes of the length before a frame.
const LENGTH_BYTES: usize = 4;

/// One frame of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The request that it answers.
    pub request: RequestId,
    /// Its place in the answer, from 0.
    pub index: u32,
    /// What it carries.
    pub part: Part,
}

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// The request left the queue after this many milliseconds.
    Started {
        /// Time in the queue, in milliseconds.
        queue_ms: u64,
    },
    /// A token of a completion.
    Token(String),
    /// Status and type of a plain service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type, if there was one.
        content_type: Option<String>,
        /// Whether this is a kept answer to an earlier request with the same key.
        kept: bool,
    },
    /// A piece of a plain service's answer.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The end of a whole answer.
    End {
        /// Tokens of a completion, resumed ones included, or bytes of a body.
        count: u64,
    },
    /// The request isn't answered.
    Refused(Refusal),
    /// The answer broke off. An idempotent request may go on elsewhere.
    Broken,
    /// The same, as the upstream has ended.
    UpstreamEnded {
        /// Tells this end from all others of all upstreams.
        end: u32,
    },
}

impl Frame {
    /// Encodes the frame behind its length.
    pub fn encode(&self) -> Bytes {
        let mut buf = vec![0; LENGTH_BYTES];
        rmp_serde::encode::write(&mut buf, self).expect("frames always encode");
        let len = (buf.len() - LENGTH_BYTES) as u32;
        buf[..LENGTH_BYTES].copy_from_slice(&len.to_be_bytes());
        Bytes::from(buf)
    }
}

/// Cuts a stream of bytes into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    buf: BytesMut,
}

impl FrameReader {
    /// Adds bytes from the peer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next whole frame, if there is one.
    pub fn pop(&mut self) -> Result<Option<Frame>, StreamError> {
        let Some(head) = self.buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*head) as usize;
        if len > MAX_FRAME_BYTES {
            return Err(StreamError::Malformed);
        }
        if self.buf.len() < LENGTH_BYTES + len {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let body = self.buf.split_to(len);
        rmp_serde::from_slice(&body)
            .map(Some)
            .map_err(|_| StreamError::Malformed)
    }
}

quick_error! {
    /// Why an answer can't be trusted any further.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StreamError {
        /// Bytes that are no frame.
        Malformed { display("malformed frame") }
        /// A frame of another request.
        Foreign { display("frame of another request") }
        /// A frame that is missing or came twice.
        OutOfOrder { display("frame missing or doubled") }
        /// An end whose count differs from what came.
        WrongCount { display("answer is not whole") }
    }
}

/// Checks that the frames of one try are all there, in order, and of one request.
#[derive(Debug)]
pub struct StreamCheck {
    request: RequestId,
    next_index: u32,
    counted: u64,
}

impl StreamCheck {
    /// Begins a check. `counted` is what an earlier try already delivered.
    pub fn new(request: RequestId, counted: u64) -> Self {
        Self {
            request,
            next_index: 0,
            counted,
        }
    }

    /// Takes the next frame.
    pub fn take(&mut self, frame: Frame) -> Result<Part, StreamError> {
        if frame.request != self.request {
            return Err(StreamError::Foreign);
        }
        if frame.index != self.next_index {
            return Err(StreamError::OutOfOrder);
        }
        self.next_index += 1;
        match &frame.part {
            Part::Token(_) => self.counted += 1,
            Part::Body(b) => self.counted += b.len() as u64,
            Part::End { count } if *count != self.counted => return Err(StreamError::WrongCount),
            _ => {}
        }
        Ok(frame.part)
    }

    /// Tokens or bytes so far, those of earlier tries included.
    pub fn counted(&self) -> u64 {
        self.counted
    }
}
