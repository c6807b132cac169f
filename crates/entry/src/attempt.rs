//! Reads the frames of an attempt from an agent.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use observe::{Event, emit};
use wire::{Frame, FrameReader, Part, RequestId, StreamCheck};

/// An attempt whose response is being received. Dropping it cancels it at the agent.
pub struct Attempt {
    request: RequestId,
    upstream: String,
    body: Incoming,
    reader: FrameReader,
    check: StreamCheck,
    /// Whether the agent has reported that the request left the queue.
    pub started: bool,
}

impl Attempt {
    /// Creates an attempt at an upstream. `delivered` is the number of tokens that the caller has
    /// received from earlier attempts.
    pub fn new(request: RequestId, upstream: String, body: Incoming, delivered: u64) -> Self {
        Self {
            request,
            upstream,
            body,
            reader: FrameReader::default(),
            check: StreamCheck::new(request, delivered),
            started: false,
        }
    }

    /// Reads the part of the next frame. Returns `None` if the response breaks off or a frame is
    /// invalid.
    pub async fn next_part(&mut self) -> Option<Part> {
        loop {
            match self.reader.pop() {
                Ok(Some(frame)) => return self.check_frame(frame),
                Ok(None) => {}
                Err(e) => {
                    self.log_bad_answer(e.to_string());
                    return None;
                }
            }
            let frame = self.body.frame().await?.ok()?;
            if let Some(data) = frame.data_ref() {
                self.reader.push(data);
            }
        }
    }

    fn check_frame(&mut self, frame: Frame) -> Option<Part> {
        let frame_request = frame.request;
        match self.check.take(frame) {
            Ok(part) => Some(part),
            Err(e) => {
                self.log_bad_answer(format!("{e}: the frame has request id {frame_request}"));
                None
            }
        }
    }

    fn log_bad_answer(&self, why: String) {
        emit(&Event::BadAnswer {
            request: self.request.to_string(),
            upstream: &self.upstream,
            why,
        });
    }
}
