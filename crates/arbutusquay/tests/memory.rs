//! Memory of a gateway process under a burst of requests with long bodies.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use bench::testbed::{POLL_INTERVAL, WAIT_TIMEOUT};
use common::{GatewayProcess, MEMORY_MB, Site};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::{Request, Response};
use net::{Body, HeadLimits, Protocol, Server, Stop, bind, full};
use serde_json::json;
use standin::fixture::{HOST, WORKER_TABLE, config, route, set_timeout, worker_row};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Size of each request's body, in bytes. It is also the configured maximum.
const BODY_BYTES: usize = 4 << 20;
/// Number of concurrent requests, whose bodies together exceed the memory limit.
const REQUEST_COUNT: usize = 70;
/// Minimum number of requests that must be served. Their bodies add up to 64 MiB.
const MIN_SERVED_COUNT: usize = 16;
/// Maximum time for which the worker holds back its responses. A gateway may delay reading further
/// bodies until earlier requests have ended.
const MAX_HOLD_TIME: Duration = Duration::from_secs(5);
/// Maximum duration of a request.
const REQUEST_TIMEOUT: Duration = WAIT_TIMEOUT;
/// Size of the chunks in which clients send bodies, in bytes.
const CHUNK_BYTES: usize = 64 << 10;
/// Maximum size of the heads that the worker accepts, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Identifier of the worker.
const WORKER_ID: &str = "i-0";

/// A worker that discards the bodies it receives, and holds back its responses to them until it is
/// released.
#[derive(Debug)]
struct HoldingWorker {
    received: AtomicUsize,
    released: watch::Sender<bool>,
}

impl HoldingWorker {
    /// Starts the worker, which runs until the end of the test's runtime.
    fn start(addr: SocketAddr) -> Arc<Self> {
        let worker = Arc::new(Self {
            received: AtomicUsize::new(0),
            released: watch::Sender::new(false),
        });
        let server = Server {
            head: HeadLimits::new(WAIT_TIMEOUT, MAX_HEAD_BYTES),
            protocol: Protocol::Http1,
            drain: Stop::default(),
            stop: Stop::default(),
        };
        let listener = bind(addr).unwrap();
        let shared = worker.clone();
        tokio::spawn(server.run(listener, move |req| shared.clone().respond(req)));
        worker
    }

    /// Number of requests whose bodies have been received in full.
    fn received(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }

    fn release(&self) {
        self.released.send_replace(true);
    }

    async fn respond(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let id = req.headers().get("attempt-id").cloned();
        let mut body = req.into_body();
        let mut len = 0;
        while let Some(Ok(frame)) = body.frame().await {
            len += frame.data_ref().map_or(0, |data| data.len());
        }
        if len == BODY_BYTES {
            self.received.fetch_add(1, Ordering::Relaxed);
            // Waiting can't fail, as `self` owns the sender.
            let _ = self.released.subscribe().wait_for(|is| *is).await;
        }
        let mut res = Response::new(full("ok"));
        let headers = res.headers_mut();
        headers.extend(id.map(|id| (HeaderName::from_static("attempt-id"), id)));
        headers.insert("response-signature", "sig".parse().unwrap());
        res
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum RequestResult {
    /// With a complete response with this status.
    Complete(u16),
    /// Without a complete response, for this reason.
    Incomplete(String),
}

/// Sends a request with a long body and reads its response, which may arrive during sending.
async fn send_long_body(gateway: SocketAddr, number: usize) -> RequestResult {
    let exchange = async {
        let (mut read, mut write) = TcpStream::connect(gateway).await?.into_split();
        let sending = tokio::spawn(async move {
            let timeout_ms = REQUEST_TIMEOUT.as_millis();
            let head = format!(
                "POST /unsafe/ HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: long-{number}\r\n\
                 deadline-ms: {timeout_ms}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
            );
            write.write_all(head.as_bytes()).await?;
            for _ in 0..BODY_BYTES / CHUNK_BYTES {
                write.write_all(&[b'x'; CHUNK_BYTES]).await?;
            }
            // The connection must stay open for writing until the response has been read.
            io::Result::Ok(write)
        });
        let result = read_response(&mut read).await;
        // Sending may be incomplete if the gateway rejected the request before reading its body.
        sending.abort();
        result
    };
    match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(Ok(status)) => RequestResult::Complete(status),
        Ok(Err(e)) => RequestResult::Incomplete(e.to_string()),
        Err(_) => RequestResult::Incomplete("timeout".to_owned()),
    }
}

/// Reads a response with a content length and returns its status.
async fn read_response(read: &mut (impl AsyncReadExt + Unpin)) -> io::Result<u16> {
    let mut buf = Vec::new();
    loop {
        if let Some(status) = parse_complete_status(&buf) {
            return Ok(status);
        }
        if read.read_buf(&mut buf).await? == 0 {
            return Err(io::Error::other("closed without a complete response"));
        }
    }
}

/// Parses the status of the response in a buffer; `None` if it is incomplete.
fn parse_complete_status(buf: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(buf).to_ascii_lowercase();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let (_, len) = head.split_once("\r\ncontent-length: ")?;
    let len: usize = len.lines().next()?.trim().parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    (body.len() >= len).then_some(status)
}

/// A gateway process with a store and a worker.
struct Fixture {
    gateway: SocketAddr,
    process: GatewayProcess,
    worker: Arc<HoldingWorker>,
    _site: Site,
}

impl Fixture {
    async fn start() -> Self {
        let mut routes = [
            route("safe", "idempotent", 1),
            route("unsafe", "non_idempotent", 1),
        ];
        set_timeout(&mut routes, "unsafe", REQUEST_TIMEOUT);
        let mut config = config(1, &json!(routes));
        config["Limits"]["MaxBodyBytes"] = json!(BODY_BYTES);
        let site = Site::new(&config);
        let worker = HoldingWorker::start(site.worker_addr(0));
        let mut row = worker_row("plain", site.worker_addr(0), "ready", None);
        row["Slots"] = json!(REQUEST_COUNT);
        site.store().put(WORKER_TABLE, WORKER_ID, &row);
        Self {
            gateway: site.clients_addr(),
            process: site.start_gateway().await,
            worker,
            _site: site,
        }
    }

    /// Sends concurrent requests with long bodies. The worker holds back all responses until each
    /// request has reached it or has ended, for [`MAX_HOLD_TIME`] at most. Returns the number of
    /// requests by result, and the peak resident memory of the process in bytes.
    async fn send_burst(&self, count: usize) -> (BTreeMap<RequestResult, usize>, u64) {
        let gateway = self.gateway;
        let mut requests: JoinSet<RequestResult> =
            (0..count).map(|n| send_long_body(gateway, n)).collect();
        let mut results = BTreeMap::new();
        let mut peak = self.process.resident();
        let since = Instant::now();
        loop {
            // Checked before sampling, so that a sample is taken while all bodies are held.
            let is_settled = self.worker.received() >= requests.len();
            peak = peak.max(self.process.resident());
            if is_settled || since.elapsed() >= MAX_HOLD_TIME {
                self.worker.release();
            }
            tokio::select! {
                result = requests.join_next() => match result {
                    Some(result) => *results.entry(result.unwrap()).or_default() += 1,
                    None => return (results, peak),
                },
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
        }
    }
}

/// Guards against exceeding the memory limit with the bodies of concurrent requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_long_bodies_takes_no_gateway_over_its_memory_limit() {
    let fixture = Fixture::start().await;
    let (results, peak) = fixture.send_burst(REQUEST_COUNT).await;
    let peak_mb = peak >> 20;
    assert!(
        peak <= MEMORY_MB << 20,
        "{peak_mb} MB resident of {MEMORY_MB} MB; requests by result: {results:?}"
    );
    let is_allowed = |result: &RequestResult| matches!(result, RequestResult::Complete(200 | 503));
    assert!(results.keys().all(is_allowed), "{results:?}, {peak_mb} MB");
    let served = results
        .get(&RequestResult::Complete(200))
        .copied()
        .unwrap_or_default();
    assert!(served >= MIN_SERVED_COUNT, "{results:?}, {peak_mb} MB");
}
