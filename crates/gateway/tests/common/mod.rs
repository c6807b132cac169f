//! Runs a gateway in the test process, with stand-ins for store and workers, on its own loopback
//! addresses.

pub mod continued;
pub mod crashing;
pub mod paced;
pub mod versions;

use net::Stop;
use platform::HostSettings;
use serde_json::Value;
pub use standin::fixture::{config, request, routes};
use standin::{Action, Store, Worker, fixture};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum time to wait for a condition, far above what any takes even on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Grace period of hosts.
const STOP_GRACE: Duration = Duration::from_secs(8);

static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// Returns an address that no other test uses: one of this process's own in 127.64.0.0/10.
pub fn address() -> Ipv4Addr {
    let process = std::process::id();
    let n = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let low = (process << 7) ^ n;
    Ipv4Addr::from(0x7f40_0000 | (low & 0x003f_ffff) | 1 << 21)
}

/// A running gateway and its store.
pub struct TestGateway {
    pub store: Store,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub stop: Stop,
    pub task: tokio::task::JoinHandle<()>,
    pub host: HostSettings,
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the settings of a host with an address and a store.
pub fn host(ip: Ipv4Addr, store: SocketAddr) -> HostSettings {
    let at = |port| SocketAddr::new(IpAddr::V4(ip), port);
    HostSettings {
        name: format!("edge-{ip}"),
        zone: "zone-a".into(),
        ip: IpAddr::V4(ip),
        client_addr: Some(at(7000)),
        readiness_addr: Some(at(7001)),
        peer_port: 7002,
        store_addr: store,
        stop_grace: STOP_GRACE,
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 50.0,
        order_gap: Duration::from_secs(3),
        is_first_start: false,
        usage_port: 7004,
        quota_port: 7005,
        origin_port: 7006,
        quota: platform::QuotaBounds::default(),
        cpu_share: 1.0,
        memory: None,
        cloud: None,
    }
}

/// Starts a gateway without configuration and workers.
pub fn start_without_config() -> TestGateway {
    start_unconfigured(STOP_GRACE)
}

/// Starts a gateway without configuration and workers, with a grace period.
fn start_unconfigured(stop_grace: Duration) -> TestGateway {
    let ip = address();
    let store = Store::start(SocketAddr::new(IpAddr::V4(ip), 7003)).unwrap();
    let settings = HostSettings {
        stop_grace,
        ..host(ip, store.addr)
    };
    start_on(settings, store)
}

/// Starts a gateway with a host's settings and a store.
pub fn start_on(host: HostSettings, store: Store) -> TestGateway {
    let stop = Stop::default();
    let (settings, stopped) = (host.clone(), stop.clone());
    let task = tokio::spawn(async move {
        let path = PathBuf::from("/nonexistent/settings");
        gateway::run(path, settings, stopped).await.unwrap();
    });
    TestGateway {
        callers: host.client_addr.unwrap(),
        ready: host.readiness_addr.unwrap(),
        store,
        stop,
        task,
        host,
    }
}

/// Starts a gateway with the default routes and `count` workers of the service `plain`.
pub async fn start(count: usize) -> (TestGateway, Vec<Worker>) {
    start_with_routes(count, &routes()).await
}

/// Starts a gateway with the default routes, a worker of the service `plain` and a grace period.
pub async fn start_with_grace(stop_grace: Duration) -> (TestGateway, Vec<Worker>) {
    configure(start_unconfigured(stop_grace), 1, &routes()).await
}

/// Starts a gateway with `count` workers of the service `plain`.
pub async fn start_with_routes(count: usize, routes: &Value) -> (TestGateway, Vec<Worker>) {
    configure(start_without_config(), count, routes).await
}

async fn configure(
    gateway: TestGateway,
    count: usize,
    routes: &Value,
) -> (TestGateway, Vec<Worker>) {
    let mut workers = Vec::new();
    for n in 0..count {
        let id = format!("i-{n}");
        workers.push(gateway.add_worker(&id, "plain", None).await);
    }
    gateway.store.put("op", "config", &config(1, routes));
    gateway.wait_ready(200).await;
    gateway.wait_for_retry_budget(&gateway.store).await;
    (gateway, workers)
}

impl TestGateway {
    /// Starts a worker and registers it.
    pub async fn add_worker(&self, id: &str, service: &str, stage: Option<&str>) -> Worker {
        let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
        let worker = Worker::start(addr, id).await.unwrap();
        self.register(id, service, addr, "ready", stage);
        worker
    }

    /// Writes a worker's row.
    pub fn register(
        &self,
        id: &str,
        service: &str,
        addr: SocketAddr,
        state: &str,
        stage: Option<&str>,
    ) {
        let row = fixture::worker_row(service, addr, state, stage);
        self.store.put("servers", id, &row);
    }

    /// Waits until the readiness check returns a status.
    pub async fn wait_ready(&self, status: u16) {
        let ready = self.ready;
        wait_for("readiness", || async move {
            let text = exchange(ready, "GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n").await;
            text.starts_with(&format!("HTTP/1.1 {status}"))
        })
        .await;
    }

    /// Waits until the gateway has its share of the retry budget. It uses the minimum until it has
    /// read the list of other processes, then writes its own row and reads the list again
    /// periodically. It may be ready earlier, but doesn't retry requests until then.
    pub async fn wait_for_retry_budget(&self, store: &Store) {
        const REFRESH_TIME: Duration = Duration::from_millis(300);
        let name = &self.host.name;
        wait_for("its row in the store", || async {
            store.has("processes", name)
        })
        .await;
        tokio::time::sleep(REFRESH_TIME).await;
    }

    /// Waits until a request is answered with a status.
    pub async fn wait_answer(&self, req: &str, status: u16) {
        let callers = self.callers;
        wait_for("an answer", || async move {
            let text = exchange(callers, req).await;
            text.starts_with(&format!("HTTP/1.1 {status}"))
        })
        .await;
    }
}

/// Headers of a prompt with a short answer.
pub const SHORT_PROMPT_HEADERS: &str = "token-counts: 100,5\r\nprompt-prefix: a:50,b:50\r\n";
/// Time after the stop signal at which a host with a grace period of 8 s still accepts answers of
/// 1.5 s for a while, although they may take nearly twice as long on a host that has just started.
pub const LATE_IN_SHUTDOWN: Duration = Duration::from_millis(3700);

impl TestGateway {
    /// Sends `count` requests at once and returns their answers.
    pub async fn exchange_many(
        &self,
        path: &str,
        id: &str,
        headers: &str,
        count: usize,
    ) -> Vec<String> {
        let calls = (0..count).map(|n| {
            let text = request("POST", path, &format!("{id}-{n}"), headers, "x");
            let callers = self.callers;
            tokio::spawn(async move { exchange(callers, &text).await })
        });
        let mut answers = Vec::new();
        for call in calls.collect::<Vec<_>>() {
            answers.push(call.await.unwrap());
        }
        answers
    }

    /// Sends a short prompt whose answer starts and never ends, so that the host waits for it until
    /// its deadline, 4 s later.
    pub async fn start_endless_answer(&self, engine: &Worker, id: &str) -> Client {
        engine.script([Action::EventsThenHang(1..=2)]);
        let mut client = Client::connect(self.callers).await;
        client
            .send(&request("POST", "/prompt/", id, SHORT_PROMPT_HEADERS, "x"))
            .await;
        client.read_until("piece 2").await;
        client
    }

    /// Adds an engine that generates, and waits until it is used.
    pub async fn add_engine(&self) -> Worker {
        let engine = self.add_worker("i-llm", "llm", Some("decode")).await;
        let probe = request("POST", "/prompt/", "probe", SHORT_PROMPT_HEADERS, "x");
        self.wait_answer(&probe, 200).await;
        engine
    }

    /// Stops the host while answers of an engine are running, and waits until the given time after
    /// the signal, at most 6 s.
    pub async fn stop_and_wait(&self, engine: &Worker, after: Duration) -> [Client; 2] {
        let first = self.start_endless_answer(engine, "held-1").await;
        self.stop.stop();
        let since = Instant::now();
        tokio::time::sleep_until(since + Duration::from_millis(2600)).await;
        let second = self.start_endless_answer(engine, "held-2").await;
        tokio::time::sleep_until(since + after).await;
        [first, second]
    }
}

/// Waits until a condition is met.
pub async fn wait_for<F: Future<Output = bool>>(what: &str, is_met: impl Fn() -> F) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met().await {
        assert!(
            Instant::now() < deadline,
            "timeout while waiting for {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Runs futures concurrently until all have ended.
pub async fn join_all<F: Future<Output = ()>>(futures: impl Iterator<Item = F>) {
    let mut running: Vec<_> = futures.map(Box::pin).collect();
    std::future::poll_fn(|cx| {
        running.retain_mut(|f| f.as_mut().poll(cx).is_pending());
        match running.is_empty() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    })
    .await;
}

/// Sends text on a new connection and reads one answer.
pub async fn exchange(addr: SocketAddr, text: &str) -> String {
    let mut client = Client::connect(addr).await;
    client.send(text).await;
    client.read().await
}

/// A client's connection with access to the raw bytes.
pub struct Client {
    pub tcp: TcpStream,
    buf: Vec<u8>,
}

impl Client {
    pub fn new(tcp: TcpStream) -> Self {
        let buf = Vec::new();
        Self { tcp, buf }
    }

    pub async fn connect(addr: SocketAddr) -> Self {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match TcpStream::connect(addr).await {
                Ok(tcp) => return Self::new(tcp),
                Err(e) => assert!(Instant::now() < deadline, "{addr}: {e}"),
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.tcp.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the received bytes contain a text.
    pub async fn read_until(&mut self, text: &str) -> String {
        let reading = async {
            while !self.text().contains(text) {
                let n = self.tcp.read_buf(&mut self.buf).await.unwrap_or(0);
                assert!(n > 0, "closed before {text:?}: {:?}", self.text());
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, reading)
            .await
            .expect("timeout while reading");
        self.text()
    }

    /// Reads until the connection ends; returns the text and whether the connection was closed
    /// cleanly.
    pub async fn read_to_end(&mut self) -> (String, bool) {
        let reading = async {
            loop {
                match self.tcp.read_buf(&mut self.buf).await {
                    Ok(0) => return true,
                    Ok(_) => {}
                    Err(_) => return false,
                }
            }
        };
        let is_clean = tokio::time::timeout(WAIT_TIMEOUT, reading)
            .await
            .expect("timeout while reading");
        (self.text(), is_clean)
    }

    /// Reads one answer: by its length, up to its last chunk, or to the end of the connection.
    pub async fn read(&mut self) -> String {
        let reading = async {
            loop {
                if let Some(len) = answer_len(&self.buf) {
                    let rest = self.buf.split_off(len);
                    let text = std::mem::replace(&mut self.buf, rest);
                    return String::from_utf8_lossy(&text).into_owned();
                }
                let n = self.tcp.read_buf(&mut self.buf).await.unwrap_or(0);
                if n == 0 {
                    let text = std::mem::take(&mut self.buf);
                    return String::from_utf8_lossy(&text).into_owned();
                }
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, reading)
            .await
            .expect("timeout while reading")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.buf).into_owned()
    }
}

/// Returns the length of the answer at the start of a buffer once it is complete.
fn answer_len(buf: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(buf).ok()?;
    let head = text.find("\r\n\r\n")? + 4;
    let headers = text[..head].to_ascii_lowercase();
    if headers.contains("transfer-encoding: chunked") {
        let end = text[head..].find("0\r\n\r\n")?;
        return Some(head + end + 5);
    }
    let at = headers.find("content-length: ")? + "content-length: ".len();
    let len = headers[at..].split("\r\n").next()?.parse::<usize>().ok()?;
    (buf.len() >= head + len).then_some(head + len)
}

/// Returns the status code of an answer.
pub fn status(text: &str) -> u16 {
    let code = text.split(' ').nth(1).unwrap_or("");
    code.parse()
        .unwrap_or_else(|_| panic!("no answer: {text:?}"))
}
