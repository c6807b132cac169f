//! Clients that send requests over kept-alive connections.

use crate::checker::{ClientRequest, ReceivedStream, RequestEnd, RequestKind};
use crate::disruption::Delivery;
use crate::keys::Key;
use standin::fixture::{
    PROMPT_HEADERS, length_hint_header, request, take_up_request, with_deadline,
};
use std::future::{Future, pending};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Default deadline of requests, as in the fixture.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time after the deadline for which a client waits for the end of an answer.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_secs(2);
/// Longest pause between two requests of a client, in milliseconds.
pub(crate) const MAX_PAUSE_MS: u64 = 40;

/// Longest duration of the other answers of a slow client if long ones are rare.
const QUICK_ANSWER_MS: u64 = 60;
/// Time for which all answers are quick, so that gateways measure short durations first.
pub(crate) const SLOWDOWN_AFTER: Duration = Duration::from_secs(6);
/// Upper limit of the duration of answers that slow down, longer than a stop.
const MAX_SLOWED_ANSWER_MS: u64 = 10_000;
/// Deadlines shorter than a stop, in milliseconds.
const SHORT_DEADLINE_MS: std::ops::Range<u64> = 1000..4000;
/// Deadlines longer than a stop, in milliseconds.
const LONG_DEADLINE_MS: std::ops::Range<u64> = 10_000..14_000;
/// One in so many requests whose answers slow down has a short deadline, the others a long one.
const SHORT_DEADLINE_ONE_IN: u32 = 4;

/// How long the requests of a client take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// No time at all.
    Quick,
    /// Up to seconds, in pieces.
    Slow(Slow),
    /// Little at first, then up to seconds. Most deadlines are longer than a stop.
    Slowdown(Slowdown),
}

/// Answers that slow down after `SLOWDOWN_AFTER`. From then on, the longest duration of half of
/// them doubles each second, up to `MAX_SLOWED_ANSWER_MS`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slowdown {
    /// When the clients started.
    pub started: Instant,
    /// Whether plain answers slow down as well as streams.
    pub slows_plain: bool,
}

impl Slowdown {
    fn draw_ms(self, kind: RequestKind, rng: &mut fastrand::Rng) -> u64 {
        if (!kind.is_stream() && !self.slows_plain) || rng.bool() {
            return rng.u64(..QUICK_ANSWER_MS);
        }
        let slowing_time = self.started.elapsed().saturating_sub(SLOWDOWN_AFTER);
        let longest_ms = QUICK_ANSWER_MS as f64 * slowing_time.as_secs_f64().exp2();
        rng.u64(..MAX_SLOWED_ANSWER_MS.min(longest_ms as u64))
    }
}

impl Pace {
    fn draw_ms(self, kind: RequestKind, key: Key, rng: &mut fastrand::Rng) -> u64 {
        match self {
            Self::Quick => 0,
            // Most requests take far less than the longest duration.
            Self::Slow(slow) => slow.draw_ms(rng),
            Self::Slowdown(_) if key == Key::Last => 0,
            Self::Slowdown(slowdown) => slowdown.draw_ms(kind, rng),
        }
    }

    fn draw_deadline(self, rng: &mut fastrand::Rng) -> Duration {
        match self {
            Self::Quick | Self::Slow(_) => DEADLINE,
            Self::Slowdown(_) => Duration::from_millis(match rng.u32(..SHORT_DEADLINE_ONE_IN) {
                0 => rng.u64(SHORT_DEADLINE_MS),
                _ => rng.u64(LONG_DEADLINE_MS),
            }),
        }
    }

    /// Draws the header lines of a prompt.
    fn draw_prompt_headers(self, rng: &mut fastrand::Rng) -> String {
        match self {
            Self::Quick | Self::Slow(_) => PROMPT_HEADERS.to_owned(),
            // The hint is independent of the duration.
            Self::Slowdown(_) => PROMPT_HEADERS.to_owned() + &length_hint_header(rng.u32(1..300)),
        }
    }
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
/// The streams of clients that take them up.
pub type Streams = Arc<Mutex<Vec<ReceivedStream>>>;

/// Longest pause before a client takes up a stream, in milliseconds.
const MAX_TAKE_UP_PAUSE_MS: u64 = 120;
/// Largest number of times that a client takes up a stream.
const MAX_TAKE_UPS: u32 = 3;

/// What a client does and where it records it.
#[derive(Debug, Clone)]
pub struct Client {
    /// Number of the client.
    pub name: u32,
    /// How long its requests take.
    pub pace: Pace,
    /// Addresses of the gateways.
    pub gateways: Vec<SocketAddr>,
    /// Records its requests.
    pub history: History,
    /// Records its streams; `None` if it doesn't take them up.
    pub streams: Option<Streams>,
}

/// Sends requests one after the other until the phase is [`Phase::Over`].
pub async fn run(client: Client, mut phase: watch::Receiver<Phase>, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut connection = None;
    for n in 0u64.. {
        let pause = Duration::from_millis(rng.u64(..MAX_PAUSE_MS));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = phase.wait_for(|phase| *phase == Phase::Over) => return,
        }
        let name = client.name;
        let id = format!("c{name}-{n}");
        let is_last = *phase.borrow() == Phase::Last;
        let key = Key::draw(name, is_last, &mut rng);
        let (kind, text) = draw_request(client.pace, &id, key, &mut rng);
        let deadline = client.pace.draw_deadline(&mut rng);
        let gateway = rng.usize(..client.gateways.len());
        let sent = Sent {
            id,
            kind,
            text: with_deadline(&text, deadline),
            key,
            deadline,
        };
        let answer = client.exchange(&mut connection, gateway, &sent, pending());
        let Answer { end, part, .. } = answer.await;
        if let Some(streams) = client
            .streams
            .as_ref()
            .filter(|_| kind == RequestKind::Resumable)
        {
            let mut rng = rng.fork();
            let stream = client.take_up(&sent, end, part, &mut rng).await;
            streams.lock().expect("no panic while locked").push(stream);
        }
    }
}

/// A request to send.
pub(crate) struct Sent {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) text: String,
    pub(crate) key: Key,
    /// Deadline in the header of the request.
    pub(crate) deadline: Duration,
}

/// What a client received of an answer.
pub(crate) struct Answer {
    pub(crate) end: RequestEnd,
    /// Status, if the head of the answer arrived.
    pub(crate) status: Option<u16>,
    /// Part of the body.
    pub(crate) part: String,
}

impl Client {
    /// Sends a request and records how it ended. The client closes the connection once `closes`
    /// is ready.
    pub(crate) async fn exchange(
        &self,
        connection: &mut Option<OpenConnection>,
        gateway: usize,
        sent: &Sent,
        closes: impl Future<Output = ()>,
    ) -> Answer {
        let mut delivery = Delivery {
            gateway,
            sent: None,
            ended: Instant::now(),
            answer_started: false,
            deadline: sent.deadline,
        };
        let mut buf = Vec::new();
        let exchange = send_request(
            connection,
            &self.gateways,
            &sent.text,
            &mut delivery,
            &mut buf,
        );
        let end = tokio::select! {
            end = tokio::time::timeout(sent.deadline + DEADLINE_GRACE, exchange) => {
                end.unwrap_or(None).unwrap_or(RequestEnd::Broken)
            }
            () = closes => RequestEnd::Abandoned,
        };
        delivery.ended = Instant::now();
        let request = ClientRequest {
            id: sent.id.clone(),
            kind: sent.kind,
            end: end.clone(),
            delivery,
            key: sent.key,
        };
        let mut history = self.history.lock().expect("no panic while locked");
        history.push(request);
        Answer {
            end,
            status: received_status(&buf),
            part: received_body(&buf),
        }
    }

    /// Takes up a stream that broke off, at any gateways, and returns all of its events.
    async fn take_up(
        &self,
        first: &Sent,
        end: RequestEnd,
        part: String,
        rng: &mut fastrand::Rng,
    ) -> ReceivedStream {
        let mut stream = ReceivedStream {
            id: first.id.clone(),
            events: whole_events(&part),
            tries: 1,
            is_whole: matches!(end, RequestEnd::Whole(200, _)),
        };
        while !stream.is_whole && stream.tries <= MAX_TAKE_UPS {
            let Some(after) = last_event(&stream.events) else {
                break;
            };
            tokio::time::sleep(Duration::from_millis(rng.u64(..MAX_TAKE_UP_PAUSE_MS))).await;
            let id = format!("{}-{}", first.id, stream.tries);
            let text = take_up_request(&first.text, &first.id, &id, after);
            let sent = Sent {
                id,
                kind: RequestKind::Rest { after },
                text,
                key: first.key,
                deadline: first.deadline,
            };
            let gateway = rng.usize(..self.gateways.len());
            let mut connection = None;
            let answer = self.exchange(&mut connection, gateway, &sent, pending());
            let Answer { end, part, .. } = answer.await;
            let (is_served, is_whole) = match end {
                RequestEnd::Whole(status, _) => (status == 200, status == 200),
                RequestEnd::Broken | RequestEnd::Abandoned => (true, false),
            };
            if is_served {
                stream.events += &whole_events(&part);
            }
            stream.is_whole = is_whole;
            stream.tries += 1;
        }
        stream
    }
}

/// Status in the bytes of an answer, if its head is complete.
fn received_status(buf: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(buf);
    let (head, _) = text.split_once("\r\n\r\n")?;
    head.split(' ').nth(1)?.parse().ok()
}

/// Body in the bytes of an answer, without its chunks' lengths.
fn received_body(buf: &[u8]) -> String {
    let text = String::from_utf8_lossy(buf);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let mut out = String::new();
    let mut rest = body;
    while let Some((len, chunk)) = rest.split_once("\r\n") {
        let Ok(len) = usize::from_str_radix(len, 16) else {
            break;
        };
        out += chunk.get(..len).unwrap_or(chunk);
        rest = chunk.get(len + 2..).unwrap_or_default();
    }
    out
}

/// The events of a part of a stream up to the last blank line.
pub(crate) fn whole_events(part: &str) -> String {
    let end = part.rfind("\n\n").map_or(0, |at| at + 2);
    part[..end].to_owned()
}

pub(crate) fn last_event(events: &str) -> Option<u64> {
    let mut ids = events.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.next_back()?.parse().ok()
}

/// Draws a request. Returns its kind and its HTTP text.
fn draw_request(pace: Pace, id: &str, key: Key, rng: &mut fastrand::Rng) -> (RequestKind, String) {
    let (kind, method, path) = match (pace == Pace::Quick, rng.u32(..10)) {
        (true, 0..4) | (false, 0..2) => (RequestKind::Idempotent, "GET", "/safe/"),
        (true, 4..8) | (false, 2..4) => (RequestKind::NonIdempotent, "POST", "/twice/"),
        (false, 6..8) => (RequestKind::Stream, "POST", "/stream/"),
        (false, 8..) => (RequestKind::Stream, "POST", "/prompt/"),
        _ => (RequestKind::Resumable, "POST", "/resumable/"),
    };
    let duration_ms = pace.draw_ms(kind, key, rng);
    let prompt = match path {
        "/prompt/" => pace.draw_prompt_headers(rng),
        _ => String::new(),
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
pub(crate) struct OpenConnection {
    tcp: TcpStream,
    pub(crate) gateway: usize,
}

/// Sends a request on the kept connection, even if its process is stopping, or on a new one.
/// Returns none if the connection broke or no gateway accepts one.
async fn send_request(
    connection: &mut Option<OpenConnection>,
    gateways: &[SocketAddr],
    text: &str,
    delivery: &mut Delivery,
    buf: &mut Vec<u8>,
) -> Option<RequestEnd> {
    let mut to = match connection.take() {
        Some(to) => to,
        None => connect(gateways, delivery.gateway).await?,
    };
    delivery.gateway = to.gateway;
    to.tcp.write_all(text.as_bytes()).await.ok()?;
    delivery.sent = Some(Instant::now());
    loop {
        if let Some((end, may_keep)) = parse_answer(buf) {
            if may_keep {
                *connection = Some(to);
            }
            return Some(end);
        }
        if to.tcp.read_buf(buf).await.ok()? == 0 {
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
