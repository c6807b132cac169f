//! Bodies: empty, whole, or streamed from a task.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// A body of a request or an answer.
pub type Body = BoxBody<Bytes, io::Error>;

/// The sending half of a streamed body. When it is dropped without
/// [`BodySender::finish`], the body breaks off and the other side sees it.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Message>,
}

#[derive(Debug)]
enum Message {
    Data(Bytes),
    End,
}

/// The receiver has gone away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiverClosed;

/// Sees the receiver of a body go away.
#[derive(Debug)]
pub struct Watcher {
    tx: mpsc::Sender<Message>,
}

impl Watcher {
    /// Waits until the receiver has gone away.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

impl BodySender {
    /// Sends a piece, waiting while the receiver is behind.
    pub async fn send(&self, data: Bytes) -> Result<(), ReceiverClosed> {
        self.tx
            .send(Message::Data(data))
            .await
            .map_err(|_| ReceiverClosed)
    }

    /// Sends a piece if there is room; says whether the receiver is still there.
    pub fn try_send(&self, data: Bytes) -> Result<bool, ReceiverClosed> {
        match self.tx.try_send(Message::Data(data)) {
            Ok(()) => Ok(true),
            Err(mpsc::error::TrySendError::Full(_)) => Ok(false),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(ReceiverClosed),
        }
    }

    /// Waits until the receiver has gone away.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Whether the receiver has gone away.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Ends the body as whole.
    pub async fn finish(self) {
        // NB: a receiver that went away no longer cares whether it was whole.
        let _ = self.tx.send(Message::End).await;
    }

    /// Ends the body as whole if there is room; else the body breaks off.
    pub fn try_finish(self) {
        let _ = self.tx.try_send(Message::End);
    }

    /// A handle that sees the receiver go away.
    pub fn watcher(&self) -> Watcher {
        Watcher {
            tx: self.tx.clone(),
        }
    }
}

struct Streamed {
    rx: mpsc::Receiver<Message>,
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
            None => {
                self.done = true;
                Poll::Ready(Some(Err(io::Error::other("the sender broke off"))))
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

/// A body with nothing in it.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A body known in whole.
pub fn full(data: impl Into<Bytes>) -> Body {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A body that a task sends piece by piece, at most `buffer` ahead.
pub fn stream(buffer: usize) -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(buffer);
    (BodySender { tx }, Streamed { rx, done: false }.boxed())
}
