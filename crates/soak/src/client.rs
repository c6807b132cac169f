//! Clients that send requests over kept-alive connections.

use crate::checker::{ClientRequest, RequestEnd, RequestKind};
use crate::disruption::Delivery;
use crate::keys::Key;
use standin::fixture::{PROMPT_HEADERS, request};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Longest wait for an answer. Longer than the requests' deadline of 4 s.
const TIMEOUT: Duration = Duration::from_secs(6);
/// Longest pause between two requests of a client, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

/// Longest duration of the other answers of a slow client if long ones are rare.
const QUICK_ANSWER_MS: u64 = 60;

/// How long the requests of a client take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// No time at all.
    Quick,
    /// Up to seconds, in pieces.
    Slow(Slow),
}

/// How long the requests of a slow client take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slow {
    /// Longest duration, in milliseconds.
    pub longest_ms: u64,
    /// One in so many takes up to the longest duration, the others up to `QUICK_ANSWER_MS`.
    pub one_in: u64,
}

impl Slow {
    fn draw_ms(self, rng: &mut fastrand::Rng) -> u64 {
        if self.one_in > 1 && rng.u64(..self.one_in) > 0 {
            return rng.u64(..QUICK_ANSWER_MS);
        }
        rng.u64(..self.longest_ms) * rng.u64(1..=4) / 4
    }
}

/// Phase of a soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Faults may happen.
    Faults,
    /// No more faults happen, and usage must be reported correctly.
    Last,
    /// Clients stop.
    Over,
}

/// The requests of all clients, with their ends.
pub type History = Arc<Mutex<Vec<ClientRequest>>>;

/// Sends requests one after the other until the phase is [`Phase::Over`].
pub async fn run(
    name: u32,
    pace: Pace,
    gateways: Vec<SocketAddr>,
    history: History,
    mut phase: watch::Receiver<Phase>,
    seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut connection = None;
    for n in 0u64.. {
        let pause = Duration::from_millis(rng.u64(..MAX_PAUSE_MS));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = phase.wait_for(|phase| *phase == Phase::Over) => return,
        }
        let id = format!("c{name}-{n}");
        let is_last = *phase.borrow() == Phase::Last;
        let key = Key::draw(name, is_last, &mut rng);
        let (kind, text) = draw_request(pace, &id, key, &mut rng);
        let mut delivery = Delivery {
            gateway: rng.usize(..gateways.len()),
            sent: None,
            ended: Instant::now(),
            answer_started: false,
        };
        let exchange = send_request(&mut connection, &gateways, &text, &mut delivery);
        let end = tokio::time::timeout(TIMEOUT, exchange)
            .await
            .unwrap_or(None);
        delivery.ended = Instant::now();
        let end = end.unwrap_or(RequestEnd::Broken);
        let request = ClientRequest {
            id,
            kind,
            end,
            delivery,
            key,
        };
        history.lock().expect("no panic while locked").push(request);
    }
}

/// Draws a request. Returns its kind and its HTTP text.
fn draw_request(pace: Pace, id: &str, key: Key, rng: &mut fastrand::Rng) -> (RequestKind, String) {
    let (kind, method, path) = match (pace, rng.u32(..10)) {
        (Pace::Quick, 0..4) | (Pace::Slow(_), 0..2) => (RequestKind::Idempotent, "GET", "/safe/"),
        (Pace::Quick, 4..8) | (Pace::Slow(_), 2..4) => {
            (RequestKind::NonIdempotent, "POST", "/twice/")
        }
        (Pace::Slow(_), 6..8) => (RequestKind::Stream, "POST", "/stream/"),
        (Pace::Slow(_), 8..) => (RequestKind::Stream, "POST", "/prompt/"),
        _ => (RequestKind::Resumable, "POST", "/resumable/"),
    };
    let duration_ms = match pace {
        Pace::Quick => 0,
        // Most requests take far less than the longest duration.
        Pace::Slow(slow) => slow.draw_ms(rng),
    };
    let prompt = match path {
        "/prompt/" => PROMPT_HEADERS,
        _ => "",
    };
    let extra_headers = format!("{prompt}{}", key.header());
    (
        kind,
        request(
            method,
            &format!("{path}{duration_ms}"),
            id,
            &extra_headers,
            "x",
        ),
    )
}

/// A kept-alive connection and the number of its gateway.
struct OpenConnection {
    tcp: TcpStream,
    gateway: usize,
}

/// Sends a request on the kept connection, even if its process is stopping, or on a new one.
/// Returns none if the connection broke or no gateway accepts one.
async fn send_request(
    connection: &mut Option<OpenConnection>,
    gateways: &[SocketAddr],
    text: &str,
    delivery: &mut Delivery,
) -> Option<RequestEnd> {
    let mut to = match connection.take() {
        Some(to) => to,
        None => connect(gateways, delivery.gateway).await?,
    };
    delivery.gateway = to.gateway;
    to.tcp.write_all(text.as_bytes()).await.ok()?;
    delivery.sent = Some(Instant::now());
    let mut buf = Vec::new();
    loop {
        if let Some((end, may_keep)) = parse_answer(&buf) {
            if may_keep {
                *connection = Some(to);
            }
            return Some(end);
        }
        if to.tcp.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
        delivery.answer_started = true;
    }
}

/// Connects to the first gateway that accepts a connection, as a balancer does if none is
/// ready.
async fn connect(gateways: &[SocketAddr], first: usize) -> Option<OpenConnection> {
    for n in 0..gateways.len() {
        let gateway = (first + n) % gateways.len();
        if let Ok(tcp) = TcpStream::connect(gateways[gateway]).await {
            return Some(OpenConnection { tcp, gateway });
        }
    }
    None
}

/// Parses the answer in a buffer once it is complete. Also returns whether the connection can
/// be kept.
fn parse_answer(buf: &[u8]) -> Option<(RequestEnd, bool)> {
    let text = std::str::from_utf8(buf).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let may_keep = !head.contains("connection: close");
    if head.contains("transfer-encoding: chunked") {
        let body = body.strip_suffix("0\r\n\r\n")?;
        return Some((RequestEnd::Whole(status, body.to_owned()), may_keep));
    }
    let len = head.split("content-length: ").nth(1)?;
    let len: usize = len.split("\r\n").next()?.parse().ok()?;
    // Excess bytes would belong to another answer. They are kept, so the check finds them.
    (body.len() >= len).then(|| (RequestEnd::Whole(status, body.to_owned()), may_keep))
}
