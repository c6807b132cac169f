//! A small pool of HTTP/1 connections to one address.
//!
//! It never repeats a request by itself: a library's pool that does would run
//! a non-idempotent call twice.

use crate::body::Body;
use crate::client::{Connection, connect};
use crate::error::CallError;
use crate::meter::Meter;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Idle connections that are kept.
const MAX_IDLE: usize = 32;

/// Connections to one address.
#[derive(Debug, Clone)]
pub struct Pool {
    addr: SocketAddr,
    timeout: Duration,
    meter: Meter,
    idle: Arc<Mutex<Vec<Idle>>>,
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    conn: SendRequest<Body>,
    /// Until when it may be used; the other side may close it later.
    usable_until: Option<Instant>,
}

/// An answer whose body is still to come, with the connection to give back.
#[derive(Debug)]
pub struct PooledResponse {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    conn: PooledConnection,
}

/// A connection in use, to be given back to its pool.
#[derive(Debug)]
pub struct PooledConnection {
    conn: SendRequest<Body>,
    pool: Pool,
}

impl PooledResponse {
    /// Gives the connection back once the body was read to its end.
    pub fn release(self) {
        drop(self.response);
        self.conn.release(None);
    }

    /// The answer apart from its connection.
    pub fn into_parts(self) -> (Response<Incoming>, PooledConnection) {
        (self.response, self.conn)
    }
}

impl PooledConnection {
    /// Gives the connection back, for use within a time if the other side closes
    /// it after one. Only for connections whose last body was read to its end.
    pub fn release(self, idle_timeout: Option<Duration>) {
        let usable_until = idle_timeout.map(|timeout| Instant::now() + timeout);
        self.pool.put(Idle {
            conn: self.conn,
            usable_until,
        });
    }
}

impl Pool {
    /// A pool for an address; `timeout` bounds connecting.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            addr,
            timeout,
            meter: Meter::default(),
            idle: Arc::default(),
        }
    }

    /// Counts the bytes of its connections with a meter.
    pub fn metered(self, meter: &Meter) -> Self {
        let meter = meter.clone();
        Self { meter, ..self }
    }

    /// The address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.lock().expect("no panic while locked").clear();
    }

    /// Whether a kept connection is still open, as far as is known.
    pub fn has_open(&self) -> bool {
        let idle_conns = self.idle.lock().expect("no panic while locked");
        idle_conns.iter().any(|idle| idle.conn.is_ready())
    }

    fn put(&self, idle: Idle) {
        let mut idle_conns = self.idle.lock().expect("no panic while locked");
        if idle_conns.len() < MAX_IDLE && !idle.conn.is_closed() {
            idle_conns.push(idle);
        }
    }

    fn take(&self) -> Option<SendRequest<Body>> {
        let now = Instant::now();
        let mut idle_conns = self.idle.lock().expect("no panic while locked");
        while let Some(idle) = idle_conns.pop() {
            let is_usable = idle
                .usable_until
                .is_none_or(|usable_until| now < usable_until);
            if is_usable && idle.conn.is_ready() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Whether the other side takes a new connection.
    pub async fn is_reachable(&self) -> bool {
        self.open().await.is_ok()
    }

    async fn open(&self) -> Result<SendRequest<Body>, CallError> {
        let io = connect(self.addr, self.timeout, &self.meter).await?;
        http1_handshake(io).await
    }

    /// Sends a request that the other side may see twice.
    pub async fn send(&self, req: Request<Body>) -> Result<PooledResponse, CallError> {
        let conn = match self.take() {
            Some(conn) => conn,
            None => self.open().await?,
        };
        self.send_on(conn, req).await
    }

    /// Sends a request on a kept connection, or on a new one if none is kept or
    /// the kept one turns out to be closed before anything was written to it.
    /// The other side sees the request at most once.
    pub async fn send_once(&self, mut req: Request<Body>) -> Result<PooledResponse, CallError> {
        if let Some(mut conn) = self.take() {
            match conn.try_send_request(req).await {
                Ok(response) => return Ok(self.pooled(conn, response)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(CallError::MaybeSent(e.into_error().to_string())),
                },
            }
        }
        self.send_on_new(req).await
    }

    /// Sends a request on a new connection. An idle one may have been closed by
    /// the other side, and then nobody can tell whether the request was seen.
    pub async fn send_on_new(&self, req: Request<Body>) -> Result<PooledResponse, CallError> {
        let conn = self.open().await?;
        self.send_on(conn, req).await
    }

    async fn send_on(
        &self,
        mut conn: SendRequest<Body>,
        req: Request<Body>,
    ) -> Result<PooledResponse, CallError> {
        match conn.try_send_request(req).await {
            Ok(response) => Ok(self.pooled(conn, response)),
            Err(mut e) => {
                let is_unsent = e.take_message().is_some();
                let why = e.into_error().to_string();
                Err(match is_unsent {
                    true => CallError::NotSent(why),
                    false => CallError::MaybeSent(why),
                })
            }
        }
    }

    fn pooled(&self, conn: SendRequest<Body>, response: Response<Incoming>) -> PooledResponse {
        let pool = self.clone();
        PooledResponse {
            response,
            conn: PooledConnection { conn, pool },
        }
    }

    /// Sends a request and reads the whole answer, both within `timeout`.
    pub async fn call(
        &self,
        req: Request<Body>,
        limit: usize,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let whole = async {
            let mut pooled = self.send(req).await?;
            let status = pooled.response.status();
            let body = Limited::new(pooled.response.body_mut(), limit)
                .collect()
                .await;
            let body = body
                .map_err(|e| CallError::MaybeSent(e.to_string()))?
                .to_bytes();
            pooled.release();
            Ok((status, body))
        };
        match tokio::time::timeout(timeout, whole).await {
            Ok(result) => result,
            Err(_) => Err(CallError::MaybeSent("no answer in time".into())),
        }
    }
}

async fn http1_handshake(io: Connection) -> Result<SendRequest<Body>, CallError> {
    let (conn, driver) = handshake(io)
        .await
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    // The driver ends with the connection; its error shows in the request.
    tokio::spawn(driver);
    Ok(conn)
}
