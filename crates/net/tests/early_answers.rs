//! Responses that a peer begins while the request is still being written, over a stream whose reads
//! and writes return what a test specifies. All responses of upstreams, the store and peers are
//! read by this client.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use net::full;
use net::h1::send_over;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Length of the request's body.
const UPLOAD: usize = 1 << 20;
const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const PART: &str = "a part of the body";

/// Result of a call to the stream.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A read returns this text.
    Read(&'static str),
    /// A read returns the end of the stream.
    End,
    /// A read fails with a reset.
    ReadReset,
    /// A write takes this number of bytes.
    Write(usize),
    /// A write fails with a reset.
    WriteReset,
    /// Neither is ready.
    Pause,
}

impl Step {
    fn is_read(self) -> bool {
        matches!(self, Self::Read(_) | Self::End | Self::ReadReset)
    }

    fn is_write(self) -> bool {
        matches!(self, Self::Write(_) | Self::WriteReset)
    }
}

/// A stream that performs steps in their order. A call that isn't the next step finds the stream not
/// ready.
struct Script(VecDeque<Step>);

impl Script {
    fn next(&mut self, cx: &Context<'_>, is_ready: fn(Step) -> bool) -> Poll<Step> {
        cx.waker().wake_by_ref();
        match self.0.front() {
            Some(step) if is_ready(*step) => Poll::Ready(self.0.pop_front().unwrap()),
            Some(Step::Pause) => {
                self.0.pop_front();
                Poll::Pending
            }
            _ => Poll::Pending,
        }
    }
}

fn reset() -> io::Error {
    io::Error::from(ErrorKind::ConnectionReset)
}

impl AsyncRead for Script {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.next(cx, Step::is_read).map(|step| match step {
            Step::Read(text) => {
                buf.put_slice(text.as_bytes());
                Ok(())
            }
            Step::ReadReset => Err(reset()),
            _ => Ok(()),
        })
    }
}

impl AsyncWrite for Script {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.next(cx, Step::is_write).map(|step| match step {
            Step::Write(len) => Ok(len.min(buf.len())),
            _ => Err(reset()),
        })
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Sends an upload, and returns the body of the response unless it is incomplete.
async fn upload(steps: &[Step]) -> Result<Bytes, String> {
    let body = full(Bytes::from(vec![b'x'; UPLOAD]));
    let req = Request::post("/").header("host", "x").body(body).unwrap();
    let script = Script(steps.iter().copied().collect());
    let response = send_over(script, req).await.map_err(|e| e.to_string())?;
    let body = response.into_body().collect().await;
    body.map(|body| body.to_bytes()).map_err(|e| e.to_string())
}

/// Guards against a part of a response that counts as the whole: a write takes the error of a reset,
/// and the next read returns the end of the stream, which also ends a body without a length.
#[tokio::test]
async fn a_response_without_a_length_is_incomplete_after_a_reset() {
    use Step::{End, Pause, Read, ReadReset, Write, WriteReset};
    let orders: [&[Step]; 7] = [
        &[Write(1 << 16), Read(HEAD), Read(PART), WriteReset, End],
        &[Write(1 << 16), Read(HEAD), WriteReset, Read(PART), End],
        &[Write(1 << 16), WriteReset, Read(HEAD), Read(PART), End],
        &[
            Write(100),
            Read(HEAD),
            Pause,
            Read(PART),
            Pause,
            WriteReset,
            End,
        ],
        &[
            Write(100),
            Read(HEAD),
            Read(PART),
            Pause,
            WriteReset,
            Pause,
            End,
        ],
        &[Write(100), Read(HEAD), Read(PART), ReadReset, End],
        &[
            Write(100),
            Read(HEAD),
            Read(PART),
            ReadReset,
            WriteReset,
            End,
        ],
    ];
    for order in orders {
        let read = upload(order).await;
        assert!(read.is_err(), "{order:?}: {read:?}");
    }
}

/// A peer may answer before it has read the request, and close the connection in order.
#[tokio::test]
async fn a_response_without_a_length_is_whole_at_the_end_of_its_connection() {
    use Step::{End, Read, Write};
    let order = [Write(100), Read(HEAD), Read(PART), End];
    assert_eq!(upload(&order).await.as_deref(), Ok(PART.as_bytes()));
}
