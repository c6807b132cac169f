//! Memory budget of buffered bodies.

use hyper::body::Incoming;
use hyper::{Request, Response};
use net::server::{BodyError, read_body_within};
use net::{Body, BufferBudget, HeadLimits, Protocol, Server, Stop, bind, full};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Limit of the budget, in bytes.
const BUDGET_BYTES: usize = 1 << 20;
/// Size limit of each body, in bytes.
const MAX_BODY_BYTES: usize = 600 << 10;
const CHUNK_BYTES: usize = 10 << 10;

/// Guards against memory that is counted twice or never released.
#[test]
fn buffers_use_the_budget_until_their_last_reference_is_dropped() {
    let mut rng = fastrand::Rng::with_seed(7);
    let budget = BufferBudget::default();
    budget.set_limit(BUDGET_BYTES);
    let (mut open, mut frozen) = (Vec::new(), Vec::new());
    let mut rejected_count = 0;
    for _ in 0..20_000 {
        match rng.u32(..6) {
            0 => open.push(budget.buffer()),
            1 | 2 => {
                let data = vec![7; rng.usize(..CHUNK_BYTES)];
                if let Some(buf) = rng.choice(&mut open) {
                    let len = buf.len();
                    let is_pushed = buf.push(&data).is_ok();
                    rejected_count += usize::from(!is_pushed);
                    assert_eq!(buf.len(), len + data.len() * usize::from(is_pushed));
                }
            }
            3 => {
                if let Some(buf) = rng.choice(&mut open) {
                    rejected_count +=
                        usize::from(buf.reserve(rng.usize(..CHUNK_BYTES * 10)).is_err());
                }
            }
            4 if !open.is_empty() => {
                let buf = open.swap_remove(rng.usize(..open.len()));
                let len = buf.len();
                let data = buf.freeze();
                assert_eq!(data.len(), len);
                frozen.extend([data.slice(..len / 2), data]);
            }
            5 if !frozen.is_empty() => drop(frozen.swap_remove(rng.usize(..frozen.len()))),
            _ => {}
        }
        let collected = open.iter().map(|buf| buf.len()).sum::<usize>();
        assert!((collected..=BUDGET_BYTES).contains(&budget.used()));
        if open.len() + frozen.len() > 400 {
            open.clear();
            frozen.clear();
            assert_eq!(budget.used(), 0);
        }
    }
    assert!(rejected_count > 0);
    drop((open, frozen));
    assert_eq!(budget.used(), 0);
}

/// Starts a server that reads the body of each request, releases its memory, and responds with the
/// size or the error.
fn start_server(budget: &BufferBudget) -> SocketAddr {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.local_addr().unwrap();
    let budget = budget.clone();
    let answer = move |req: Request<Incoming>| {
        let budget = budget.clone();
        async move {
            let read = read_body_within(&budget, req.into_body(), MAX_BODY_BYTES, TIMEOUT).await;
            let text = match read {
                Ok(body) => format!("{}", body.len()),
                Err(BodyError::NoMemory) => "no memory".to_owned(),
                Err(e) => format!("{e:?}"),
            };
            Response::<Body>::new(full(text))
        }
    };
    let server = Server {
        head: HeadLimits::new(TIMEOUT, MAX_HEAD_BYTES),
        protocol: Protocol::Http1,
        drain: Stop::default(),
        stop: Stop::default(),
    };
    tokio::spawn(server.run(listener, answer));
    addr
}

/// Reads a response and returns its body.
async fn read_response(tcp: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && format!("{head}\r\n").contains(&format!("content-length: {}\r\n", body.len()))
        {
            return body.to_owned();
        }
        let read = tokio::time::timeout(TIMEOUT, tcp.read_buf(&mut buf));
        assert_ne!(read.await.expect("in time").unwrap(), 0, "no response");
    }
}

/// Sends the head of a request, and the first bytes of its body.
async fn begin_request(addr: SocketAddr, framing: &str, body: &[u8]) -> TcpStream {
    let mut tcp = TcpStream::connect(addr).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n");
    tcp.write_all(head.as_bytes()).await.unwrap();
    tcp.write_all(body).await.unwrap();
    tcp
}

fn content_length(bytes: usize) -> String {
    format!("content-length: {bytes}")
}

async fn wait_until_used(budget: &BufferBudget, min: usize) {
    let used = async {
        while budget.used() < min {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, used).await.expect("in time");
}

/// Guards against reading a body that exceeds the budget before rejecting it, and against a reset
/// that reaches the client ahead of the response.
#[tokio::test]
async fn a_body_that_does_not_fit_is_rejected_before_it_is_sent() {
    let budget = BufferBudget::default();
    budget.set_limit(BUDGET_BYTES);
    let addr = start_server(&budget);
    let mut first = begin_request(addr, &content_length(MAX_BODY_BYTES), b"x").await;
    wait_until_used(&budget, MAX_BODY_BYTES).await;
    let mut second = begin_request(addr, &content_length(MAX_BODY_BYTES), b"").await;
    assert_eq!(read_response(&mut second).await, "no memory");
    let mut third = begin_request(addr, &content_length(BUDGET_BYTES - MAX_BODY_BYTES), b"x").await;
    let rest = vec![b'x'; MAX_BODY_BYTES];
    // The client may send its whole body before it reads the response.
    second.write_all(&rest).await.unwrap();
    first.write_all(&rest[1..]).await.unwrap();
    assert_eq!(read_response(&mut first).await, MAX_BODY_BYTES.to_string());
    third
        .write_all(&rest[1..BUDGET_BYTES - MAX_BODY_BYTES])
        .await
        .unwrap();
    let third = read_response(&mut third).await;
    assert_eq!(third, (BUDGET_BYTES - MAX_BODY_BYTES).to_string());
    assert_eq!(budget.used(), 0);
}

/// Guards against bodies of unknown length that bypass the budget.
#[tokio::test]
async fn bodies_of_unknown_length_are_rejected_once_the_budget_is_used_up() {
    let budget = BufferBudget::default();
    budget.set_limit(BUDGET_BYTES / 2);
    let addr = start_server(&budget);
    let framing = "transfer-encoding: chunked";
    let size_line = format!("{CHUNK_BYTES:x}\r\n");
    let chunk = [size_line.as_bytes(), &[b'x'; CHUNK_BYTES], b"\r\n"].concat();
    // Each body fits into the budget, but both together exceed it.
    let body = chunk.repeat(BUDGET_BYTES / 3 / CHUNK_BYTES);
    let mut first = begin_request(addr, framing, &body).await;
    wait_until_used(&budget, BUDGET_BYTES / 3 - CHUNK_BYTES).await;
    let mut second = begin_request(addr, framing, &body).await;
    assert_eq!(read_response(&mut second).await, "no memory");
    first.write_all(b"0\r\n\r\n").await.unwrap();
    let size = BUDGET_BYTES / 3 / CHUNK_BYTES * CHUNK_BYTES;
    assert_eq!(read_response(&mut first).await, size.to_string());
    assert_eq!(budget.used(), 0);
}

/// Guards against reading a body that is over the size limit before rejecting it.
#[tokio::test]
async fn a_body_over_the_size_limit_is_rejected_before_it_is_sent() {
    let addr = start_server(&BufferBudget::default());
    let mut client = begin_request(addr, &content_length(MAX_BODY_BYTES + 1), b"").await;
    assert_eq!(read_response(&mut client).await, "TooLarge");
}
