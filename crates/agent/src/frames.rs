//! Sending the frames of one answer.

use net::BodySender;
use net::body::{Gone, Watcher};
use std::time::Duration;
use wire::{Frame, Part, Refusal, RequestId};

/// The way back to the entry, for one try.
#[derive(Debug)]
pub struct FrameSender {
    tx: BodySender,
    request: RequestId,
    next_index: u32,
    send_timeout: Duration,
}

impl FrameSender {
    /// Frames for a request on a body. An entry that takes nothing for as long as
    /// `patience` counts as gone, or it would hold a slot of the upstream.
    pub fn new(tx: BodySender, request: RequestId, send_timeout: Duration) -> Self {
        Self {
            tx,
            request,
            next_index: 0,
            send_timeout,
        }
    }

    /// Sends a frame, waiting while the entry is behind.
    pub async fn send(&mut self, part: Part) -> Result<(), Gone> {
        let frame = Frame {
            request: self.request,
            index: self.next_index,
            part,
        };
        self.next_index += 1;
        let send = self.tx.send(frame.encode());
        tokio::time::timeout(self.send_timeout, send)
            .await
            .unwrap_or(Err(Gone))
    }

    /// Sends a refusal and ends the answer.
    pub async fn refuse(mut self, refusal: Refusal) {
        // An entry that went away has no caller to tell.
        let _ = self.send(Part::Refused(refusal)).await;
        self.tx.finish().await;
    }

    /// Ends the answer as broken off.
    pub async fn broken(mut self) {
        let _ = self.send(Part::Broken).await;
        self.tx.finish().await;
    }

    /// Ends the answer as broken off by the upstream's end.
    pub async fn upstream_ended(mut self, exit_id: u32) {
        let _ = self.send(Part::UpstreamEnded { end: exit_id }).await;
        self.tx.finish().await;
    }

    /// Ends the answer as whole.
    pub async fn end(mut self, count: u64) {
        let _ = self.send(Part::End { count }).await;
        self.tx.finish().await;
    }

    /// A handle that sees the entry go away.
    pub fn watcher(&self) -> Watcher {
        self.tx.watcher()
    }
}
