//! Frames of a response, and the check that a response is complete.

use crate::message::{Refusal, RequestId};
use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// One frame of a response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The request to which it belongs.
    pub request: RequestId,
    /// Position in the response, from 0.
    pub index: u32,
    /// The content.
    pub part: Part,
}

/// Content of a frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// The request has left the queue and runs.
    Started {
        /// Time in the queue, in milliseconds.
        queue_ms: u64,
    },
    /// A token of a completion.
    Token(String),
    /// Status and content type of a plain service's response.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type, if there was one.
        content_type: Option<String>,
        /// Whether this is the stored response to an earlier request with the same key.
        kept: bool,
    },
    /// A chunk of a plain service's response body.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The end of a complete response.
    End {
        /// Tokens of a completion, including resumed ones, or bytes of a body.
        count: u64,
    },
    /// The request isn't answered.
    Refused(Refusal),
    /// The response broke off. An idempotent request may be retried at another upstream.
    Broken,
    /// Like `Broken`, because the upstream exited.
    UpstreamEnded {
        /// Identifies this exit among the exits of all upstreams.
        end: u32,
    },
}

impl Frame {
    /// Encodes the frame with its length prefix.
    pub fn encode(&self) -> Bytes {
        let mut buf = vec![0; LENGTH_BYTES];
        rmp_serde::encode::write(&mut buf, self).expect("frames always encode");
        let len = (buf.len() - LENGTH_BYTES) as u32;
        buf[..LENGTH_BYTES].copy_from_slice(&len.to_be_bytes());
        Bytes::from(buf)
    }
}

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    buf: BytesMut,
}

impl FrameReader {
    /// Adds bytes from the peer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next frame if it is complete.
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
    /// Why a response is invalid.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StreamError {
        /// The bytes aren't a frame.
        Malformed { display("malformed frame") }
        /// The frame belongs to another request.
        Foreign { display("frame of another request") }
        /// A frame is missing or was received twice.
        OutOfOrder { display("frame missing or duplicated") }
        /// The count in the end frame differs from what was received.
        WrongCount { display("response is incomplete") }
    }
}

/// Checks that all frames of one attempt are received in order and belong to one request.
#[derive(Debug)]
pub struct StreamCheck {
    request: RequestId,
    next_index: u32,
    counted: u64,
}

impl StreamCheck {
    /// Starts a check. `counted` is the number of tokens or bytes delivered by earlier attempts.
    pub fn new(request: RequestId, counted: u64) -> Self {
        Self {
            request,
            next_index: 0,
            counted,
        }
    }

    /// Checks the next frame and returns its content.
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

    /// Tokens or bytes so far, including those of earlier attempts.
    pub fn counted(&self) -> u64 {
        self.counted
    }
}
