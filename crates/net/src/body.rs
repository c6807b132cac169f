//! Empty, complete and streamed bodies.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Body of a request or a response.
pub type Body = BoxBody<Bytes, io::Error>;

/// Sends a streamed body. If it is dropped without [`BodySender::finish`], the body breaks off with
/// an error that the peer can detect. Over HTTP/1, chunks sent before the drop are written
/// first, unless the peer has stopped reading.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Message>,
}

#[derive(Debug)]
enum Message {
    Data(Bytes),
    End,
}

/// The receiver of the body is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiverClosed;

/// Notices when the receiver of a body is gone.
#[derive(Debug)]
pub struct Watcher {
    tx: mpsc::Sender<Message>,
}

impl Watcher {
    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

impl BodySender {
    /// Sends a chunk. Waits while the buffer is full.
    pub async fn send(&self, data: Bytes) -> Result<(), ReceiverClosed> {
        self.tx
            .send(Message::Data(data))
            .await
            .map_err(|_| ReceiverClosed)
    }

    /// Sends a chunk if there is room in the buffer. Returns whether there was, or an error if the
    /// receiver is gone.
    pub fn try_send(&self, data: Bytes) -> Result<bool, ReceiverClosed> {
        match self.tx.try_send(Message::Data(data)) {
            Ok(()) => Ok(true),
            Err(mpsc::error::TrySendError::Full(_)) => Ok(false),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(ReceiverClosed),
        }
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Whether the receiver is gone.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Ends the body as complete.
    pub async fn finish(self) {
        // A receiver that is gone doesn't need the end.
        let _ = self.tx.send(Message::End).await;
    }

    /// Ends the body as complete if there is room in the buffer. Otherwise the body breaks off.
    pub fn try_finish(self) {
        let _ = self.tx.try_send(Message::End);
    }

    /// Returns a handle that notices when the receiver is gone.
    pub fn watcher(&self) -> Watcher {
        Watcher {
            tx: self.tx.clone(),
        }
    }
}

struct Streamed {
    rx: mpsc::Receiver<Message>,
    /// Whether the body has been pending once since its sender was dropped.
    error_deferred: bool,
    done: bool,
}

impl hyper::body::Body for Streamed {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.done {
            return Poll::Ready(None);
        }
        let Poll::Ready(message) = self.rx.poll_recv(cx) else {
            return Poll::Pending;
        };
        match message {
            Some(Message::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Message::End) => {
                self.done = true;
                Poll::Ready(None)
            }
            // hyper flushes its write buffer when the body is pending and discards it when the body
            // returns an error, so the error is deferred to the next poll.
            None if !self.error_deferred => {
                self.error_deferred = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            None => {
                self.done = true;
                Poll::Ready(Some(Err(io::Error::other(
                    "the sender was dropped before the end of the body",
                ))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.done
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Creates an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Creates a body from complete data.
pub fn full(data: impl Into<Bytes>) -> Body {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates a body whose chunks are sent by a task, with a buffer of `buffer` chunks.
pub fn stream(buffer: usize) -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(buffer);
    let body = Streamed {
        rx,
        error_deferred: false,
        done: false,
    };
    (BodySender { tx }, body.boxed())
}
