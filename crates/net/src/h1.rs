//! A small pool of HTTP/1 connections to one address.
//!
//! It never repeats a request by itself. HTTP libraries' own pools may do that, which would run a
//! non-idempotent call twice.

use crate::body::Body;
use crate::client::{Listener, connect, probe};
use crate::error::CallError;
use crate::informational::{InformationalLimit, MAX_INFORMATIONAL_BYTES};
use crate::meter::{Meter, Metered};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};

/// Maximum number of idle connections in the pool.
const MAX_IDLE: usize = 32;
/// Maximum size of a connection's read buffer, and so of a response's head and of each chunk of its
/// body, in bytes.
pub(crate) const MAX_READ_BUFFER: usize = 64 << 10;

/// A pool of connections to one address.
#[derive(Debug, Clone)]
pub struct Pool {
    addr: SocketAddr,
    timeout: Duration,
    meter: Meter,
    idle: Arc<Mutex<Vec<Idle>>>,
}

/// An open connection.
#[derive(Debug)]
struct Conn {
    tx: SendRequest<Body>,
    informational: InformationalLimit,
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    conn: Conn,
    /// Time after which it isn't used any more, because the peer may close it.
    usable_until: Option<Instant>,
}

/// A response whose body is still to be read, with its connection.
#[derive(Debug)]
pub struct PooledResponse {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    conn: PooledConnection,
}

/// A connection in use, which can be returned to its pool.
#[derive(Debug)]
pub struct PooledConnection {
    conn: Conn,
    pool: Pool,
}

impl Conn {
    async fn handshake<T>(io: TokioIo<Metered<T>>) -> Result<Self, CallError>
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let informational = io.inner().informational_limit();
        let (tx, driver) = Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(io)
            .await
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        // The driver ends with the connection. Its error is reported by the request.
        tokio::spawn(driver);
        Ok(Self { tx, informational })
    }

    /// Sends a request. The error contains the request if nothing was written.
    async fn send(
        &mut self,
        mut req: Request<Body>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        self.informational.watch(&mut req);
        self.tx.try_send_request(req).await
    }

    /// Result of a request that failed.
    fn send_error(&self, mut e: TrySendError<Request<Body>>) -> CallError {
        let is_unsent = e.take_message().is_some();
        let why = self.describe(&e.into_error());
        match is_unsent {
            true => CallError::NotSent(why),
            false => CallError::MaybeSent(why),
        }
    }

    /// Describes why a request failed.
    fn describe(&self, e: &hyper::Error) -> String {
        match self.informational.is_exceeded() {
            true => format!("informational responses of over {MAX_INFORMATIONAL_BYTES} bytes"),
            false => e.to_string(),
        }
    }
}

impl PooledResponse {
    /// Returns the connection to the pool. The body must have been read to its end.
    pub fn release(self) {
        drop(self.response);
        self.conn.release(None);
    }

    /// Splits the response from its connection.
    pub fn into_parts(self) -> (Response<Incoming>, PooledConnection) {
        (self.response, self.conn)
    }
}

impl PooledConnection {
    /// Returns the connection to the pool. It is used again only within `idle_timeout`, after which
    /// the peer may close it. The last body must have been read to its end.
    pub fn release(self, idle_timeout: Option<Duration>) {
        let usable_until = idle_timeout.map(|timeout| Instant::now() + timeout);
        self.pool.put(Idle {
            conn: self.conn,
            usable_until,
        });
    }
}

/// Sends a request over a connected stream, which isn't used again.
pub async fn send_over<T>(stream: T, req: Request<Body>) -> Result<Response<Incoming>, CallError>
where
    T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let io = TokioIo::new(Metered::new(stream, Meter::default()));
    let mut conn = Conn::handshake(io).await?;
    conn.send(req).await.map_err(|e| conn.send_error(e))
}

impl Pool {
    /// Creates a pool for an address. `timeout` applies to connecting.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            addr,
            timeout,
            meter: Meter::default(),
            idle: Arc::default(),
        }
    }

    /// Counts the bytes of all connections with a meter.
    pub fn metered(self, meter: &Meter) -> Self {
        let meter = meter.clone();
        Self { meter, ..self }
    }

    /// Address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.lock().expect("no panic while locked").clear();
    }

    fn put(&self, idle: Idle) {
        let mut idle_conns = self.idle.lock().expect("no panic while locked");
        if idle_conns.len() < MAX_IDLE && !idle.conn.tx.is_closed() {
            idle_conns.push(idle);
        }
    }

    fn take(&self) -> Option<Conn> {
        let now = Instant::now();
        let mut idle_conns = self.idle.lock().expect("no panic while locked");
        while let Some(idle) = idle_conns.pop() {
            let is_usable = idle
                .usable_until
                .is_none_or(|usable_until| now < usable_until);
            if is_usable && idle.conn.tx.is_ready() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Finds out by a new connection whether a process listens at the address.
    pub async fn probe(&self) -> Listener {
        probe(self.addr, self.timeout).await
    }

    async fn open(&self) -> Result<Conn, CallError> {
        Conn::handshake(connect(self.addr, self.timeout, &self.meter).await?).await
    }

    /// Sends a request that may safely be received twice.
    pub async fn send(&self, req: Request<Body>) -> Result<PooledResponse, CallError> {
        let conn = match self.take() {
            Some(conn) => conn,
            None => self.open().await?,
        };
        self.send_on(conn, req).await
    }

    /// Sends a request on an idle connection, or on a new one if there is none or if the idle one
    /// was closed before any data was written. The peer receives the request at most once.
    pub async fn send_once(&self, mut req: Request<Body>) -> Result<PooledResponse, CallError> {
        if let Some(mut conn) = self.take() {
            match conn.send(req).await {
                Ok(response) => return Ok(self.pooled(conn, response)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(CallError::MaybeSent(conn.describe(&e.into_error()))),
                },
            }
        }
        self.send_on_new(req).await
    }

    /// Sends a request on a new connection. An idle connection may be closed by the peer at the
    /// same time, and then it would be unknown whether the peer has seen the request.
    pub async fn send_on_new(&self, req: Request<Body>) -> Result<PooledResponse, CallError> {
        let conn = self.open().await?;
        self.send_on(conn, req).await
    }

    async fn send_on(
        &self,
        mut conn: Conn,
        req: Request<Body>,
    ) -> Result<PooledResponse, CallError> {
        match conn.send(req).await {
            Ok(response) => Ok(self.pooled(conn, response)),
            Err(e) => Err(conn.send_error(e)),
        }
    }

    fn pooled(&self, conn: Conn, response: Response<Incoming>) -> PooledResponse {
        let pool = self.clone();
        PooledResponse {
            response,
            conn: PooledConnection { conn, pool },
        }
    }

    /// Sends a request and reads the whole response within `timeout`; returns its status and body.
    pub async fn call(
        &self,
        req: Request<Body>,
        limit: usize,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let response = self.call_with_headers(req, limit, timeout).await?;
        let (head, body) = response.into_parts();
        Ok((head.status, body))
    }

    /// Sends a request and reads the whole response within `timeout`.
    pub async fn call_with_headers(
        &self,
        req: Request<Body>,
        limit: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let whole = async {
            let mut pooled = self.send(req).await?;
            let mut head = Response::new(Bytes::new());
            *head.status_mut() = pooled.response.status();
            *head.headers_mut() = std::mem::take(pooled.response.headers_mut());
            let body = Limited::new(pooled.response.body_mut(), limit)
                .collect()
                .await;
            let body = body.map_err(|e| CallError::MaybeSent(e.to_string()))?;
            pooled.release();
            Ok(head.map(|_| body.to_bytes()))
        };
        match tokio::time::timeout(timeout, whole).await {
            Ok(result) => result,
            Err(_) => Err(CallError::MaybeSent("response timeout".into())),
        }
    }
}
