//! The HTTP server that all fakes share.

use crate::fault::{CRASH_DOWNTIME, FaultInjector};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use net::server::read_body;
use net::{Body, HeadLimits, Protocol, Server, Stop, bind, full, stream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Largest request body.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Longest wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Body of an answer that violates the protocol.
pub const NONSENSE: &str = "\u{0}nonsense{{{";
/// Pause between two attempts to listen again after a crash.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);
/// Largest request head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The part in which fakes differ: answering all calls other than `/faults`.
pub trait FakeServer: Send + Sync + 'static {
    /// Returns the injector of this server's faults.
    fn injector(&self) -> &FaultInjector;

    /// Answers a call.
    fn answer(self: Arc<Self>, call: Call) -> impl Future<Output = Response<Body>> + Send;
}

/// A call with its complete body.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The query, or an empty string.
    pub query: String,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns a header, or an empty string if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    }
}

/// A server that runs in this process until it is dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// The address on which it listens.
    pub addr: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RunningServer {
    /// Runs until the server ends.
    pub async fn forever(mut self) {
        // It doesn't matter whether the task was aborted or failed.
        let _ = (&mut self.task).await;
    }
}

/// Starts a server on an address. Port 0 chooses a free port. Fails if the address can't be bound.
pub async fn start<S: FakeServer>(addr: SocketAddr, fake: Arc<S>) -> io::Result<RunningServer> {
    let listener = bind(addr)?;
    let addr = listener.local_addr()?;
    let server = Server {
        head: HeadLimits::new(BODY_TIMEOUT, MAX_HEAD_BYTES),
        protocol: Protocol::Any,
        drain: Stop::default(),
        stop: Stop::default(),
    };
    let task = tokio::spawn(run(addr, listener, server, fake));
    Ok(RunningServer { addr, task })
}

/// Serves calls. After each crash, refuses connections for [`CRASH_DOWNTIME`].
async fn run<S: FakeServer>(
    addr: SocketAddr,
    mut listener: TcpListener,
    server: Server,
    fake: Arc<S>,
) {
    loop {
        let served = fake.clone();
        let serving = server
            .clone()
            .run(listener, move |req| handle(served.clone(), req));
        tokio::select! {
            () = serving => return,
            () = fake.injector().wait_for_crash() => {}
        }
        tokio::time::sleep(CRASH_DOWNTIME).await;
        listener = loop {
            match bind(addr) {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
            }
        };
    }
}

async fn handle<S: FakeServer>(fake: Arc<S>, req: Request<Incoming>) -> Response<Body> {
    let (head, body) = req.into_parts();
    let Ok(body) = read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or("").to_owned(),
        headers: head.headers,
        body,
    };
    if call.path == "/faults" {
        return set_faults(fake.injector(), &call);
    }
    if call.path == "/history" {
        return fake.answer(call).await;
    }
    if !fake.injector().admit().await {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if fake.injector().triggers_crash(&call.body) {
        return broken_answer();
    }
    if fake.injector().consume(|f| &mut f.nonsense) {
        return Response::new(full(NONSENSE));
    }
    let body = call.body.clone();
    let answer = fake.clone().answer(call).await;
    if fake.injector().loses_answer(&body) {
        return broken_answer();
    }
    answer
}

fn set_faults(injector: &FaultInjector, call: &Call) -> Response<Body> {
    if call.method == Method::GET {
        return json(&injector.get());
    }
    let Some(faults) = call.json() else {
        return status(StatusCode::BAD_REQUEST);
    };
    injector.set(faults);
    status(StatusCode::OK)
}

/// Returns an answer that is aborted before the first byte of its body.
fn broken_answer() -> Response<Body> {
    let (_dropped, body) = stream(1);
    Response::new(body)
}

/// Returns an answer with a status and its name as the body.
pub fn status(code: StatusCode) -> Response<Body> {
    let mut answer = Response::new(full(code.to_string()));
    *answer.status_mut() = code;
    answer
}

/// Returns an answer with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("messages of fakes always encode");
    let mut answer = Response::new(full(text));
    let kind = hyper::header::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    answer
}
