//! Clients that keep their connections as long as these live.

use crate::judge::{Asked, End, Kind};
use standin::fixture::request;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Longest wait for an answer: past the requests' deadline of 4 s.
const TIMEOUT: Duration = Duration::from_secs(6);
/// Longest pause between two requests of a client, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

/// What all clients got.
pub type History = Arc<Mutex<Vec<Asked>>>;

/// A client that sends requests until it is told to stop.
pub async fn run(
    name: u32,
    gateways: Vec<SocketAddr>,
    history: History,
    mut stop: watch::Receiver<bool>,
    seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut kept: Option<TcpStream> = None;
    for n in 0u64.. {
        let pause = Duration::from_millis(rng.u64(..MAX_PAUSE_MS));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = stop.wait_for(|s| *s) => return,
        }
        let (kind, method, path) = match rng.u32(..10) {
            0..4 => (Kind::Idempotent, "GET", "/safe/"),
            4..8 => (Kind::NonIdempotent, "POST", "/twice/"),
            _ => (Kind::Resumable, "POST", "/resumable/"),
        };
        let id = format!("c{name}-{n}");
        let text = request(method, path, &id, "", "x");
        let at = gateways[rng.usize(..gateways.len())];
        let asked = tokio::time::timeout(TIMEOUT, ask(&mut kept, at, &text)).await;
        let end = asked.unwrap_or(None);
        if end.is_none() {
            kept = None;
        }
        let end = end.unwrap_or(End::Broken);
        let asked = Asked { id, kind, end };
        history.lock().expect("no panic while locked").push(asked);
    }
}

/// Sends a request on the kept connection, or on a new one; none if it broke.
async fn ask(kept: &mut Option<TcpStream>, at: SocketAddr, text: &str) -> Option<End> {
    let mut tcp = match kept.take() {
        Some(tcp) => tcp,
        None => TcpStream::connect(at).await.ok()?,
    };
    tcp.write_all(text.as_bytes()).await.ok()?;
    let mut buf = Vec::new();
    loop {
        if let Some((end, may_keep)) = whole(&buf) {
            if may_keep {
                *kept = Some(tcp);
            }
            return Some(end);
        }
        if tcp.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
}

/// The answer in a buffer once it is whole, and whether the connection goes on.
fn whole(buf: &[u8]) -> Option<(End, bool)> {
    let text = std::str::from_utf8(buf).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let may_keep = !head.contains("connection: close");
    if head.contains("transfer-encoding: chunked") {
        let body = body.strip_suffix("0\r\n\r\n")?;
        return Some((End::Whole(status, body.to_owned()), may_keep));
    }
    let len = head.split("content-length: ").nth(1)?;
    let len: usize = len.split("\r\n").next()?.parse().ok()?;
    // More than the announced bytes would be another's answer: judged as body.
    (body.len() >= len).then(|| (End::Whole(status, body.to_owned()), may_keep))
}
