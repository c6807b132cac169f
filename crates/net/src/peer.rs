//! A persistent HTTP/2 connection to a peer.

use crate::body::{Body, full};
use crate::client::connect;
use crate::error::CallError;
use crate::meter::Meter;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http2::{Builder, SendRequest};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// Interval between pings on a connection in use, and the timeout of a ping. The connection to a
/// peer that is paused or unreachable is closed after both.
const PING_INTERVAL: Duration = Duration::from_secs(2);
const PING_TIMEOUT: Duration = Duration::from_secs(8);

/// A peer with its connection, if one is open.
#[derive(Debug, Clone)]
pub struct Peer {
    addr: SocketAddr,
    timeout: Duration,
    meter: Meter,
    conn: Arc<Mutex<Option<SendRequest<Body>>>>,
}

impl Peer {
    /// Creates a peer. `timeout` applies to connecting.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            addr,
            timeout,
            meter: Meter::default(),
            conn: Arc::default(),
        }
    }

    /// Counts the bytes of all connections with a meter.
    pub fn metered(self, meter: &Meter) -> Self {
        let meter = meter.clone();
        Self { meter, ..self }
    }

    /// The peer's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    async fn open(&self) -> Result<SendRequest<Body>, CallError> {
        // The lock is held while connecting, so that concurrent calls wait for this connection and
        // don't open their own. Connecting has a timeout.
        let mut current = self.conn.lock().await;
        if let Some(conn) = current.as_ref().filter(|c| !c.is_closed()) {
            return Ok(conn.clone());
        }
        *current = None;
        let io = connect(self.addr, self.timeout, &self.meter).await?;
        let handshake = Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(1 << 20)
            .initial_connection_window_size(8 << 20)
            .handshake(io);
        let (conn, driver) = match tokio::time::timeout(self.timeout, handshake).await {
            Ok(done) => done.map_err(|e| CallError::NotSent(e.to_string()))?,
            Err(_) => return Err(CallError::NotSent("handshake timeout".into())),
        };
        tokio::spawn(driver);
        *current = Some(conn.clone());
        Ok(conn)
    }

    /// Sends a request. The body of the response is still to be read.
    pub async fn send(&self, req: Request<Body>) -> Result<Response<Incoming>, CallError> {
        let mut conn = self.open().await?;
        conn.ready()
            .await
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        conn.send_request(req)
            .await
            .map_err(|e| CallError::MaybeSent(e.to_string()))
    }

    /// Builds a request to this peer.
    pub fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Request<Body> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .body(full(body))
            .expect("our own paths are valid")
    }

    /// Sends a request and reads the whole response within `timeout`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: usize,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let whole = async {
            let response = self.send(self.request(method, path, body)).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), limit).collect().await;
            let body = body.map_err(|e| CallError::MaybeSent(e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(timeout, whole).await {
            Ok(result) => result,
            Err(_) => Err(CallError::MaybeSent("response timeout".into())),
        }
    }
}
