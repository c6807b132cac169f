//! Counts the bytes sent and received on sockets.

use crate::informational::InformationalLimit;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counter of bytes in both directions. Clones share the counter.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    bytes: Arc<AtomicU64>,
}

impl Meter {
    /// Bytes so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn add(&self, n: usize) {
        self.bytes.fetch_add(n as u64, Ordering::Relaxed);
    }
}

/// A stream whose bytes are counted. Reads fail once the informational responses on it have
/// exceeded their limit.
#[derive(Debug)]
pub struct Metered<T> {
    inner: T,
    meter: Meter,
    informational: InformationalLimit,
}

impl<T> Metered<T> {
    /// Wraps a stream and counts its bytes.
    pub fn new(inner: T, meter: Meter) -> Self {
        Self {
            inner,
            meter,
            informational: InformationalLimit::default(),
        }
    }

    /// The limit on informational responses, which applies to requests that it watches.
    pub fn informational_limit(&self) -> InformationalLimit {
        self.informational.clone()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.informational.check()?;
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        self.meter.add(bytes);
        self.informational.record_read(bytes);
        polled
    }
}

impl<T: AsyncWrite + Unpin> Metered<T> {
    fn count(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &polled {
            self.meter.add(*n);
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.count(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.count(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
