//! A small pool of HTTP/1 connections to one address.
//!
//! It never repeats a request by itself: a library's pool that does would run
//! a non-idempotent call twice.

use crate::body::Body;
use crate::client::connect;
use crate::error::CallError;
use crate::meter::Meter;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Idle connections that are kept.
const MAX_IDLE: usize = 32;

/// Connections to one address.
#[derive(Debug, Clone)]
pub struct Pool {
    addr: SocketAddr,
    timeout: Duration,
    meter: Meter,
    idle: Arc<Mutex<Vec<SendRequest<Body>>>>,
}

/// An answer whose body is still to come, with the connection to give back.
#[derive(Debug)]
pub struct Answer {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    conn: SendRequest<Body>,
    pool: Pool,
}

impl Answer {
    /// Gives the connection back once the body was read to its end.
    pub fn done(self) {
        drop(self.response);
        self.pool.put(self.conn);
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

    fn put(&self, conn: SendRequest<Body>) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        if idle.len() < MAX_IDLE && !conn.is_closed() {
            idle.push(conn);
        }
    }

    fn take(&self) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().expect("no panic while locked");
        while let Some(conn) = idle.pop() {
            if conn.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    async fn open(&self) -> Result<SendRequest<Body>, CallError> {
        let io = connect(self.addr, self.timeout, &self.meter).await?;
        let (conn, driver) = handshake(io)
            .await
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        // The driver ends with the connection; its error shows in the request.
        tokio::spawn(driver);
        Ok(conn)
    }

    /// Sends a request that the other side may see twice.
    pub async fn send(&self, req: Request<Body>) -> Result<Answer, CallError> {
        let conn = match self.take() {
            Some(conn) => conn,
            None => self.open().await?,
        };
        self.send_on(conn, req).await
    }

    /// Sends a request on a new connection. An idle one may have been closed by
    /// the other side, and then nobody can tell whether the request was seen.
    pub async fn send_fresh(&self, req: Request<Body>) -> Result<Answer, CallError> {
        let conn = self.open().await?;
        self.send_on(conn, req).await
    }

    async fn send_on(
        &self,
        mut conn: SendRequest<Body>,
        req: Request<Body>,
    ) -> Result<Answer, CallError> {
        let response = conn
            .send_request(req)
            .await
            .map_err(|e| CallError::MaybeSent(e.to_string()))?;
        Ok(Answer {
            response,
            conn,
            pool: self.clone(),
        })
    }

    /// Sends a request and reads the whole answer, both within `timeout`.
    pub async fn call(
        &self,
        req: Request<Body>,
        limit: usize,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let whole = async {
            let mut answer = self.send(req).await?;
            let status = answer.response.status();
            let body = Limited::new(answer.response.body_mut(), limit)
                .collect()
                .await;
            let body = body
                .map_err(|e| CallError::MaybeSent(e.to_string()))?
                .to_bytes();
            answer.done();
            Ok((status, body))
        };
        match tokio::time::timeout(timeout, whole).await {
            Ok(result) => result,
            Err(_) => Err(CallError::MaybeSent("no answer in time".into())),
        }
    }
}
