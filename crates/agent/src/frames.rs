//! Sends the frames of a response to the entry.

use net::BodySender;
use net::body::{ReceiverClosed, Watcher};
use std::time::Duration;
use wire::{Frame, Part, Refusal, RequestId};

/// Sender of the frames of one attempt.
#[derive(Debug)]
pub struct FrameSender {
    tx: BodySender,
    request: RequestId,
    next_index: u32,
    send_timeout: Duration,
}

impl FrameSender {
    /// Creates a sender for a response body. An entry that reads nothing for `send_timeout` is
    /// considered gone, as it would otherwise occupy a slot of the upstream.
    pub fn new(tx: BodySender, request: RequestId, send_timeout: Duration) -> Self {
        Self {
            tx,
            request,
            next_index: 0,
            send_timeout,
        }
    }

    /// Sends a frame. Waits while the buffer is full.
    pub async fn send(&mut self, part: Part) -> Result<(), ReceiverClosed> {
        let frame = Frame {
            request: self.request,
            index: self.next_index,
            part,
        };
        self.next_index += 1;
        let send = self.tx.send(frame.encode());
        tokio::time::timeout(self.send_timeout, send)
            .await
            .unwrap_or(Err(ReceiverClosed))
    }

    /// Sends a refusal and ends the response.
    pub async fn refuse(mut self, refusal: Refusal) {
        // The send fails if the entry is gone, and then there is no caller to notify.
        let _ = self.send(Part::Refused(refusal)).await;
        self.tx.finish().await;
    }

    /// Ends the response and reports that it broke off.
    pub async fn broken(mut self) {
        let _ = self.send(Part::Broken).await;
        self.tx.finish().await;
    }

    /// Ends the response and reports that the upstream process exited.
    pub async fn upstream_ended(mut self, exit_id: u32) {
        let _ = self.send(Part::UpstreamEnded { end: exit_id }).await;
        self.tx.finish().await;
    }

    /// Ends a complete response.
    pub async fn end(mut self, count: u64) {
        let _ = self.send(Part::End { count }).await;
        self.tx.finish().await;
    }

    /// Returns a handle that resolves when the entry is gone.
    pub fn watcher(&self) -> Watcher {
        self.tx.watcher()
    }
}
