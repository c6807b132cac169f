//! HTTP servers: exclusive listener, one task per connection, graceful shutdown.

use crate::body::Body;
use crate::budget::{BudgetExhausted, BufferBudget};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Maximum number of concurrent HTTP/2 streams per connection.
const MAX_STREAMS: u32 = 4096;
/// Minimum buffer size for a head that hyper accepts.
const MIN_HEAD_BYTES: usize = 8192;
/// Maximum time spent reading and discarding the rest of a rejected body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds an address exclusively. While this process exists, even if paused, no other process can
/// bind it.
///
/// `SO_REUSEADDR` is set so that connections in TIME_WAIT don't block the next process. On Linux it
/// doesn't allow two sockets to listen on one address.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(addr);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// A stop signal. Clones share it.
#[derive(Debug, Clone)]
pub struct Stop {
    tx: Arc<watch::Sender<bool>>,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            tx: Arc::new(watch::Sender::new(false)),
        }
    }
}

impl Stop {
    /// Sends the signal.
    pub fn stop(&self) {
        self.tx.send_replace(true);
    }

    /// Whether the signal was sent.
    pub fn is_stopped(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits for the signal.
    pub async fn stopped(&self) {
        // Can't fail, since `self` owns the sender.
        let _ = self.tx.subscribe().wait_for(|s| *s).await;
    }
}

/// Limits on request heads. Clones share them. Changes apply to new connections.
#[derive(Debug, Clone)]
pub struct HeadLimits {
    timeout_ms: Arc<AtomicU64>,
    bytes: Arc<AtomicUsize>,
}

impl HeadLimits {
    /// Creates limits on the time until the head is received, which includes the time that a
    /// connection is idle, and on its size in bytes.
    pub fn new(timeout: Duration, bytes: usize) -> Self {
        let limits = Self {
            timeout_ms: Arc::default(),
            bytes: Arc::default(),
        };
        limits.set(timeout, bytes);
        limits
    }

    /// Changes the limits.
    pub fn set(&self, timeout: Duration, bytes: usize) {
        let ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        self.timeout_ms.store(ms, Ordering::Relaxed);
        self.bytes.store(bytes, Ordering::Relaxed);
    }

    fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.load(Ordering::Relaxed))
    }

    /// The size limit, at least the minimum of hyper.
    fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed).max(MIN_HEAD_BYTES)
    }
}

/// HTTP versions of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1 and HTTP/2, detected from the first bytes of a connection.
    Any,
    /// Only HTTP/1.1. It costs less per connection, and bytes can't be interpreted in two ways.
    Http1,
}

/// Configuration of a server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Limits on request heads.
    pub head: HeadLimits,
    /// Supported HTTP versions.
    pub protocol: Protocol,
    /// After this signal, open connections are closed when idle, and new ones after one request.
    pub drain: Stop,
    /// After this signal, no new connections are accepted, and open ones are closed when idle.
    pub stop: Stop,
}

impl Server {
    /// Serves until the stop signal, and then waits until the last request has ended.
    pub async fn run<H, F>(self, listener: TcpListener, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let (open_guard, mut all_closed) = tokio::sync::mpsc::channel::<Infallible>(1);
        loop {
            let conn = tokio::select! {
                conn = listener.accept() => conn,
                () = self.stop.stopped() => break,
            };
            let Ok((tcp, _)) = conn else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let (server, handler, open_guard) = (self.clone(), handler.clone(), open_guard.clone());
            tokio::spawn(async move {
                server.serve_connection(tcp, handler).await;
                drop(open_guard);
            });
        }
        drop((listener, open_guard));
        // No message is ever sent. This returns when the last connection's task has dropped its
        // sender.
        let _ = all_closed.recv().await;
    }

    async fn serve_connection<H, F>(&self, tcp: TcpStream, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        // Fails only if the peer is already gone.
        let _ = tcp.set_nodelay(true);
        let service = hyper::service::service_fn(move |req| {
            let response = handler(req);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let io = TokioIo::new(tcp);
        // Errors of a connection are ignored. Its requests are dropped with it, and each request
        // handles that itself.
        match self.protocol {
            Protocol::Http1 => {
                let is_draining = self.drain.is_stopped();
                let mut builder = self.http1_builder();
                builder.keep_alive(!is_draining);
                let conn = builder.serve_connection(io, service);
                tokio::pin!(conn);
                tokio::select! {
                    _ = conn.as_mut() => return,
                    () = self.drain.stopped(), if !is_draining => conn.as_mut().graceful_shutdown(),
                    () = self.stop.stopped() => conn.as_mut().graceful_shutdown(),
                }
                let _ = conn.await;
            }
            Protocol::Any => {
                let builder = self.any_builder();
                let conn = builder.serve_connection(io, service);
                tokio::pin!(conn);
                tokio::select! {
                    _ = conn.as_mut() => return,
                    () = self.drain.stopped() => conn.as_mut().graceful_shutdown(),
                    () = self.stop.stopped() => conn.as_mut().graceful_shutdown(),
                }
                let _ = conn.await;
            }
        }
    }

    fn http1_builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.head.timeout())
            .max_buf_size(self.head.bytes());
        builder
    }

    fn any_builder(&self) -> Builder<TokioExecutor> {
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.head.timeout())
            .max_buf_size(self.head.bytes());
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(self.head.bytes() as u32)
            .initial_stream_window_size(1 << 20)
            .initial_connection_window_size(8 << 20);
        builder
    }
}

/// Why a request's body couldn't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is over the size limit.
    TooLarge,
    /// The body wasn't received in time.
    Slow,
    /// The connection broke.
    Broken,
    /// The memory budget has too little left for it.
    NoMemory,
}

impl From<BudgetExhausted> for BodyError {
    fn from(BudgetExhausted: BudgetExhausted) -> Self {
        Self::NoMemory
    }
}

/// Reads a whole body with a size limit and a timeout.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    read_body_within(&BufferBudget::default(), body, limit, timeout).await
}

/// Reads a whole body with a size limit and a timeout, using memory of a budget. The memory for a
/// body of known length is reserved before reading, so it is rejected for lack of memory either
/// immediately or not at all.
pub async fn read_body_within(
    budget: &BufferBudget,
    mut body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let read = tokio::time::timeout(timeout, collect_body(budget, &mut body, limit))
        .await
        .unwrap_or(Err(BodyError::Slow));
    if matches!(read, Err(BodyError::TooLarge | BodyError::NoMemory)) {
        tokio::spawn(discard_body(body, limit));
    }
    read
}

/// Reads and discards the rest of a rejected body. Closing the connection with unread data would
/// send a reset, which could reach the client ahead of the response.
async fn discard_body(mut body: Incoming, limit: usize) {
    let discard = async {
        let mut remaining = limit;
        while let Some(Ok(frame)) = body.frame().await {
            remaining = remaining.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if remaining == 0 {
                return;
            }
        }
    };
    // On a timeout, dropping the body closes the connection.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
}

async fn collect_body(
    budget: &BufferBudget,
    body: &mut Incoming,
    limit: usize,
) -> Result<Bytes, BodyError> {
    let named_size = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if named_size > limit {
        return Err(BodyError::TooLarge);
    }
    let mut buf = budget.buffer();
    buf.reserve(named_size)?;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(BodyError::TooLarge);
        }
        buf.push(&data)?;
    }
    Ok(buf.freeze())
}
