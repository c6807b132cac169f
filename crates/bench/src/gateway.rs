//! Measures the cost of a gateway: processor time per request, and added latency compared to
//! direct requests to the same worker, interleaved in one run.

use crate::procs::{Proc, build_binary};
use crate::usage;
use serde::Serialize;
use standin::fixture::{
    CONFIG_ROW, WORKER_TABLE, config, prompt_headers, request, routes, settings, worker_row,
};
use standin::{Action, Store, Worker};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Address of the gateway and its stand-ins.
const HOST: Ipv4Addr = Ipv4Addr::new(127, 67, 0, 1);
/// Events per streamed answer, as for the users' prompts with short answers.
const STREAM_EVENTS: u64 = 2;
/// Requests before the measurement, to open connections.
const WARM_UP: usize = 200;
/// Timeout for the gateway's first successful answer.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Measurements for one kind of request.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Kind of request.
    pub kind: &'static str,
    /// Requests through the gateway; the same number is sent directly.
    pub requests: usize,
    /// Processor time of the gateway per request in milliseconds.
    pub cpu_ms: f64,
    /// Median latency through the gateway in milliseconds.
    pub through_ms: f64,
    /// Median latency of direct requests to the worker in milliseconds.
    pub straight_ms: f64,
    /// Resident memory of the gateway after the run in MiB.
    pub resident_mib: f64,
}

/// Requests to send.
#[derive(Debug)]
pub struct Load {
    /// Number of requests of each kind.
    pub requests: usize,
    /// Body of each request.
    pub body: String,
    /// Number of parts of each prompt. All but the last are the same in all requests.
    pub parts: usize,
}

impl Load {
    /// Header lines of the next request, and of none if prompts have no parts.
    fn headers(&self) -> String {
        let Some(shared) = self.parts.checked_sub(1) else {
            return String::new();
        };
        let mut ids: Vec<u64> = (1..=shared as u64).collect();
        ids.push(fastrand::u64(..));
        prompt_headers(&ids)
    }
}

/// Measures plain and streamed requests. If `has_suspect` is set, an upstream first ends during
/// another request, so that the gateway hashes and looks up each request.
pub async fn run(load: &Load, has_suspect: bool) -> io::Result<Vec<Figures>> {
    let at = |port| SocketAddr::new(IpAddr::V4(HOST), port);
    let store = Store::start(at(7003))?;
    store.put(CONFIG_ROW.0, CONFIG_ROW.1, &config(1, &routes()));
    let upstream = Worker::start(at(7100), "i-0").await?;
    upstream.set_default_action(Action::Serve(STREAM_EVENTS));
    let row = worker_row("plain", upstream.addr, "ready", None);
    store.put(WORKER_TABLE, "i-0", &row);
    let engine = Worker::start(at(7101), "i-1").await?;
    engine.set_default_action(Action::Serve(STREAM_EVENTS));
    let row = worker_row("llm", engine.addr, "ready", None);
    store.put(WORKER_TABLE, "i-1", &row);
    let dir = std::env::temp_dir().join(format!("bench-gateway-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let file = dir.join("edge.toml");
    std::fs::write(&file, settings("edge", HOST, store.addr))?;
    let mut proc = Proc::start_gateway(&build_binary().await?, "edge", &file)?;
    wait_serving(at(7000)).await?;
    if has_suspect {
        break_one_request(load, "/unsafe/suspect", &upstream, at(7000)).await?;
        if load.parts > 0 {
            break_one_request(load, "/prompt/suspect", &engine, at(7000)).await?;
        }
    }
    let mut out = Vec::new();
    for (kind, path) in [("plain", "/unsafe/"), ("stream of 2 events", "/resumable/")] {
        out.push(measure(kind, path, load, at(7000), upstream.addr, &proc).await?);
    }
    if load.parts > 0 {
        let (kind, path) = ("prompt, 2 events", "/prompt/");
        out.push(measure(kind, path, load, at(7000), engine.addr, &proc).await?);
    }
    proc.kill().await?;
    Ok(out)
}

/// Makes the upstream close the connection during one request, which the gateway treats as its
/// end.
async fn break_one_request(
    load: &Load,
    path: &str,
    upstream: &Worker,
    gateway: SocketAddr,
) -> io::Result<()> {
    const SETTLE_TIME: Duration = Duration::from_millis(500);
    upstream.script([Action::Close]);
    let mut tcp = TcpStream::connect(gateway).await?;
    exchange(&mut tcp, path, &load.headers(), "x").await?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(())
}

async fn wait_serving(at: SocketAddr) -> io::Result<()> {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let until = Instant::now() + START_TIMEOUT;
    while Instant::now() < until {
        let served = async {
            let mut tcp = TcpStream::connect(at).await?;
            exchange(&mut tcp, "/safe/", "", "x").await
        };
        if served.await.is_ok_and(|s| s.contains(" 200 ")) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(io::Error::other(
        "the gateway did not start serving in time",
    ))
}

async fn measure(
    kind: &'static str,
    path: &str,
    load: &Load,
    gateway: SocketAddr,
    upstream: SocketAddr,
    proc: &Proc,
) -> io::Result<Figures> {
    let mut through = TcpStream::connect(gateway).await?;
    let mut straight = TcpStream::connect(upstream).await?;
    for tcp in [&through, &straight] {
        tcp.set_nodelay(true)?;
    }
    for _ in 0..WARM_UP {
        exchange(&mut through, path, &load.headers(), &load.body).await?;
    }
    let used = || proc.id().and_then(usage::read).unwrap_or_default();
    let before = used();
    let mut times = (Vec::new(), Vec::new());
    for _ in 0..load.requests {
        let since = Instant::now();
        exchange(&mut through, path, &load.headers(), &load.body).await?;
        times.0.push(since.elapsed());
        let since = Instant::now();
        exchange(&mut straight, path, &load.headers(), &load.body).await?;
        times.1.push(since.elapsed());
    }
    let after = used();
    let cpu = after.cpu.saturating_sub(before.cpu);
    Ok(Figures {
        kind,
        requests: load.requests,
        cpu_ms: cpu.as_secs_f64() * 1000.0 / load.requests as f64,
        through_ms: median(&mut times.0),
        straight_ms: median(&mut times.1),
        resident_mib: after.resident as f64 / f64::from(1 << 20),
    })
}

fn median(times: &mut [Duration]) -> f64 {
    times.sort_unstable();
    times[times.len() / 2].as_secs_f64() * 1000.0
}

/// Sends a request and reads the answer up to its last bytes.
async fn exchange(
    tcp: &mut TcpStream,
    path: &str,
    headers: &str,
    body: &str,
) -> io::Result<String> {
    let id = format!("{:016x}", fastrand::u64(..));
    tcp.write_all(request("POST", path, &id, headers, body).as_bytes())
        .await?;
    let mut buf = Vec::with_capacity(1024);
    loop {
        if tcp.read_buf(&mut buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        // A streamed answer ends with the last chunk, a plain one with the request ID, and a
        // refusal with the end of a JSON string and object.
        let ends: [&[u8]; 3] = [b"0\r\n\r\n", id.as_bytes(), b"\"}"];
        if ends.iter().any(|end| buf.ends_with(end)) {
            return Ok(String::from_utf8_lossy(&buf).into_owned());
        }
    }
}
