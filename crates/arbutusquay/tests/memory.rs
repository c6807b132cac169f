//! Memory of a gateway process under a burst of requests with long bodies, or with long answers
//! during a stop.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use bench::procs::Signal;
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
/// Number of requests whose bodies fit into the memory budget together.
const FITTING_COUNT: usize = 25;
/// Time after the stop signal from which answers are buffered until they are complete.
const BUFFERING_DELAY: Duration = Duration::from_millis(3200);
/// Number of requests from which the gateway estimates the duration of answers.
const OBSERVED_COUNT: usize = 24;
/// Interval between these requests.
const OBSERVED_INTERVAL: Duration = Duration::from_millis(250);
/// Path of requests that the worker answers with a body of about [`BODY_BYTES`].
const LONG_ANSWER_PATH: &str = "/unsafe/answer";
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

    /// Returns a body of unknown length that ends once the worker is released.
    fn long_answer_body(self: Arc<Self>) -> Body {
        let (tx, body) = net::stream(1);
        tokio::spawn(async move {
            for _ in 0..BODY_BYTES / CHUNK_BYTES - 1 {
                if tx.send(vec![b'x'; CHUNK_BYTES].into()).await.is_err() {
                    return;
                }
            }
            self.received.fetch_add(1, Ordering::Relaxed);
            // Waiting can't fail, as `self` owns the sender.
            let _ = self.released.subscribe().wait_for(|is| *is).await;
            tx.finish().await;
        });
        body
    }

    async fn respond(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let is_long_answer = req.uri().path() == LONG_ANSWER_PATH;
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
        let body = match is_long_answer {
            true => self.long_answer_body(),
            false => full("ok"),
        };
        let mut res = Response::new(body);
        let headers = res.headers_mut();
        headers.extend(id.map(|id| (HeaderName::from_static("attempt-id"), id)));
        headers.insert("response-signature", "sig".parse().unwrap());
        res
    }
}

/// Framing of a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum RequestResult {
    /// With a complete response with this status.
    Complete(u16),
    /// Without a complete response, for this reason.
    Incomplete(String),
}

/// Sends a request without a body and reads its answer.
async fn request_answer(gateway: SocketAddr, path: &str, number: usize) -> RequestResult {
    let exchange = async {
        let mut tcp = TcpStream::connect(gateway).await?;
        let timeout_ms = REQUEST_TIMEOUT.as_millis();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: answer-{number}\r\n\
             deadline-ms: {timeout_ms}\r\ncontent-length: 0\r\n\r\n"
        );
        tcp.write_all(head.as_bytes()).await?;
        read_response(&mut tcp).await
    };
    to_result(tokio::time::timeout(REQUEST_TIMEOUT, exchange).await)
}

fn to_result(outcome: Result<io::Result<u16>, tokio::time::error::Elapsed>) -> RequestResult {
    match outcome {
        Ok(Ok(status)) => RequestResult::Complete(status),
        Ok(Err(e)) => RequestResult::Incomplete(e.to_string()),
        Err(_) => RequestResult::Incomplete("timeout".to_owned()),
    }
}

/// Sends a request with a long body and reads its response, which may arrive during sending.
async fn send_long_body(gateway: SocketAddr, number: usize, framing: Framing) -> RequestResult {
    let exchange = async {
        let (mut read, mut write) = TcpStream::connect(gateway).await?.into_split();
        let sending = tokio::spawn(async move {
            let timeout_ms = REQUEST_TIMEOUT.as_millis();
            let (length, size_line, end_line, last_chunk) = match framing {
                Framing::Length => (
                    format!("content-length: {BODY_BYTES}"),
                    String::new(),
                    "",
                    "",
                ),
                Framing::Chunks => (
                    "transfer-encoding: chunked".to_owned(),
                    format!("{CHUNK_BYTES:x}\r\n"),
                    "\r\n",
                    "0\r\n\r\n",
                ),
            };
            let head = format!(
                "POST /unsafe/ HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: long-{number}\r\n\
                 deadline-ms: {timeout_ms}\r\n{length}\r\n\r\n"
            );
            write.write_all(head.as_bytes()).await?;
            for _ in 0..BODY_BYTES / CHUNK_BYTES {
                write.write_all(size_line.as_bytes()).await?;
                write.write_all(&[b'x'; CHUNK_BYTES]).await?;
                write.write_all(end_line.as_bytes()).await?;
            }
            write.write_all(last_chunk.as_bytes()).await?;
            // The connection must stay open for writing until the response has been read.
            io::Result::Ok(write)
        });
        let result = read_response(&mut read).await;
        // Sending may be incomplete if the gateway rejected the request before reading its body.
        sending.abort();
        result
    };
    to_result(tokio::time::timeout(REQUEST_TIMEOUT, exchange).await)
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
    async fn send_burst(
        &self,
        count: usize,
        framing: Framing,
    ) -> (BTreeMap<RequestResult, usize>, u64) {
        let gateway = self.gateway;
        let requests = (0..count).map(|n| send_long_body(gateway, n, framing));
        self.collect_results(requests.collect()).await
    }

    /// Waits for requests, with the hold and the return value of [`Self::send_burst`].
    async fn collect_results(
        &self,
        mut requests: JoinSet<RequestResult>,
    ) -> (BTreeMap<RequestResult, usize>, u64) {
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

/// Checks that a burst stayed within the memory limit and that each request was served or rejected
/// with one of the statuses. Returns the number of requests served.
fn assert_within_limit(
    results: &BTreeMap<RequestResult, usize>,
    peak: u64,
    statuses: &[u16],
) -> usize {
    let peak_mb = peak >> 20;
    println!("{peak_mb} MB resident of {MEMORY_MB} MB; requests by result: {results:?}");
    assert!(peak <= MEMORY_MB << 20, "{peak_mb} MB, {results:?}");
    let is_allowed = |result: &RequestResult| match result {
        RequestResult::Complete(status) => statuses.contains(status),
        RequestResult::Incomplete(_) => false,
    };
    assert!(results.keys().all(is_allowed), "{results:?}, {peak_mb} MB");
    let served = results.get(&RequestResult::Complete(200));
    served.copied().unwrap_or_default()
}

/// Guards against exceeding the memory limit with the bodies of concurrent requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_long_bodies_takes_no_gateway_over_its_memory_limit() {
    let fixture = Fixture::start().await;
    let (results, peak) = fixture.send_burst(REQUEST_COUNT, Framing::Length).await;
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

/// Guards against exceeding the memory limit with bodies whose length isn't known in advance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_long_chunked_bodies_takes_no_gateway_over_its_memory_limit() {
    let fixture = Fixture::start().await;
    let (results, peak) = fixture.send_burst(REQUEST_COUNT, Framing::Chunks).await;
    let served = assert_within_limit(&results, peak, &[200, 503]);
    assert!(served >= MIN_SERVED_COUNT, "{results:?}");
}

/// Guards against rejecting bodies that fit into the memory budget, also after a burst that
/// exceeded it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_fit_are_served_after_a_burst_that_did_not() {
    let fixture = Fixture::start().await;
    for count in [FITTING_COUNT, REQUEST_COUNT, FITTING_COUNT] {
        let (results, peak) = fixture.send_burst(count, Framing::Length).await;
        let served = assert_within_limit(&results, peak, &[200, 503]);
        assert!(served >= FITTING_COUNT, "{results:?}");
    }
}

/// Guards against exceeding the memory limit with answers that a stopping gateway holds back until
/// they are complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_answers_in_a_stop_take_no_gateway_over_its_memory_limit() {
    let fixture = Fixture::start().await;
    let gateway = fixture.gateway;
    // Without observed durations, a stopping host accepts no requests with a long timeout.
    for number in 0..OBSERVED_COUNT {
        let result = request_answer(gateway, "/unsafe/", number).await;
        assert_eq!(result, RequestResult::Complete(200));
        tokio::time::sleep(OBSERVED_INTERVAL).await;
    }
    // Keeps the process from exiting before the late requests.
    let held_request = tokio::spawn(send_long_body(gateway, REQUEST_COUNT, Framing::Length));
    while fixture.worker.received() == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    fixture.process.proc.signal(Signal::Term);
    tokio::time::sleep(BUFFERING_DELAY).await;
    let requests = (0..REQUEST_COUNT).map(|n| request_answer(gateway, LONG_ANSWER_PATH, n));
    let (results, peak) = fixture.collect_results(requests.collect()).await;
    let served = assert_within_limit(&results, peak, &[200, 502, 503]);
    assert!(served >= MIN_SERVED_COUNT, "{results:?}");
    assert_eq!(held_request.await.unwrap(), RequestResult::Complete(200));
}
