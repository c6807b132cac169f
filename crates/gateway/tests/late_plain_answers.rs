//! Tests that a host that received its stop signal more than 3 s ago answers plain requests
//! completely, even if upstreams are slower than in all earlier answers.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{Client, TestGateway, WAIT_TIMEOUT, request, start, status, wait_for};
use standin::{Action, Endless, Worker, fixture};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// Time after the stop signal from which requests are sent.
const LATE_AFTER: Duration = Duration::from_millis(3100);
/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(150);
/// Number of connections that are opened before the late requests, and the time after the signal at
/// which they are opened. A draining host keeps a connection open until its first request.
const IDLE_CONNECTIONS: usize = 8;
const CONNECT_AFTER: Duration = Duration::from_millis(2900);
/// Client deadline that is later than the exit of the host.
const LONG_DEADLINE: Duration = Duration::from_secs(15);
/// Requests per round of [`observe_quick_answers`].
const QUICK_REQUESTS: usize = 24;
/// Number of parts in which a slow answer is sent.
const SLOW_PARTS: usize = 60;

/// A request that is sent late in a stop, and the task that returns all bytes its client receives.
struct LateRequest {
    id: String,
    client: JoinHandle<String>,
}

/// Returns an answer with a body of `bytes` that is sent in [`SLOW_PARTS`] parts over 6 s, which is
/// longer than the host has left.
fn slow_answer(bytes: usize) -> Action {
    Action::PacedAnswer {
        parts: SLOW_PARTS,
        part_bytes: bytes / SLOW_PARTS,
        pause: SECOND * 6 / SLOW_PARTS as u32,
    }
}

/// Sends requests over enough time for the host to derive a bound from their durations.
async fn observe_quick_answers(bed: &TestGateway, path: &str) {
    for round in 0..2 {
        let id = format!("quick-{round}");
        for res in bed.exchange_many(path, &id, "", QUICK_REQUESTS).await {
            assert_eq!(status(&res), 200, "{res}");
        }
        tokio::time::sleep(SECOND * 5).await;
    }
}

/// Sends a request that stays unanswered until its deadline, 4 s later.
async fn start_endless_request(bed: &TestGateway, workers: &[Worker], id: &str) -> Client {
    for worker in workers {
        worker.set_default_action(Action::Hang);
    }
    let mut client = Client::connect(bed.callers).await;
    client.send(&request("POST", "/unsafe/", id, "", "x")).await;
    wait_for("the request", || async { was_received(workers, id) }).await;
    client
}

/// Whether any worker has received a request.
fn was_received(workers: &[Worker], id: &str) -> bool {
    let mut all = workers.iter().flat_map(|w| w.requests());
    all.any(|req| req.id() == id)
}

/// Sends a request on an open connection.
fn send(tcp: TcpStream, path: &str, id: String) -> LateRequest {
    let req = request("POST", path, &id, "", "x");
    let req = fixture::with_deadline(&req, LONG_DEADLINE);
    LateRequest {
        id,
        client: tokio::spawn(async move {
            let mut client = Client::new(tcp);
            client.send(&req).await;
            client.read_to_end().await.0
        }),
    }
}

/// Opens [`IDLE_CONNECTIONS`] connections without sending requests.
async fn open_connections(callers: SocketAddr) -> Vec<TcpStream> {
    let mut opened = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        opened.push(TcpStream::connect(callers).await.unwrap());
    }
    opened
}

/// Stops a host and sends it requests from [`LATE_AFTER`] until it accepts no more connections, on
/// new connections and on ones opened earlier.
async fn stop_and_send(
    bed: &TestGateway,
    workers: &[Worker],
    path: &str,
    action: Action,
) -> Vec<LateRequest> {
    let _first = start_endless_request(bed, workers, "held-1").await;
    bed.stop.stop();
    let signal_at = Instant::now();
    tokio::time::sleep_until(signal_at + LATE_AFTER - SECOND / 2).await;
    let _second = start_endless_request(bed, workers, "held-2").await;
    tokio::time::sleep_until(signal_at + CONNECT_AFTER).await;
    let mut opened = open_connections(bed.callers).await;
    for worker in workers {
        worker.set_default_action(action.clone());
    }
    tokio::time::sleep_until(signal_at + LATE_AFTER).await;
    let mut sent = Vec::new();
    while let Ok(tcp) = TcpStream::connect(bed.callers).await {
        let id = format!("new-{}", sent.len());
        sent.push(send(tcp, path, id));
        if let Some(tcp) = opened.pop() {
            let id = format!("opened-{}", sent.len());
            sent.push(send(tcp, path, id));
        }
        tokio::time::sleep(INTERVAL).await;
    }
    sent
}

/// Whether an answer has the body length that it states, or ends with its last chunk.
fn is_whole(res: &str) -> bool {
    let Some((head, body)) = res.split_once("\r\n\r\n") else {
        return false;
    };
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let len = head.split("content-length: ").nth(1);
    let len = len.and_then(|len| len.lines().next()?.parse().ok());
    len == Some(body.len())
}

/// Sends late requests whose upstreams don't answer in time. Each must get a complete answer before
/// the process exits: "not run" if no upstream received it, and "unknown" otherwise.
async fn assert_no_answer_is_cut(path: &str, slow: Action) {
    let (bed, workers) = start(2).await;
    observe_quick_answers(&bed, path).await;
    let sent = stop_and_send(&bed, &workers, path, slow).await;
    let last = sent.last().map(|late| late.id.clone());
    let mut accepted = 0;
    for LateRequest { id, client } in sent {
        let received = tokio::time::timeout(WAIT_TIMEOUT, client).await;
        let text = received.expect("in time").expect("the task ends");
        let was_received = was_received(&workers, &id);
        // The host may close its listener before it has accepted the last connection.
        if text.is_empty() && Some(&id) == last.as_ref() && !was_received {
            continue;
        }
        let start = &text[..text.len().min(400)];
        assert!(is_whole(&text), "{id} was cut off: {start}");
        assert!(text.contains("connection: close"), "{id}: {start}");
        match status(&text) {
            503 => {
                assert!(text.contains("\"outcome\":\"not_run\""), "{id}: {text}");
                assert!(!was_received, "{id} was run but reported as not run");
            }
            502 | 504 => {
                assert!(text.contains("\"outcome\":\"unknown\""), "{id}: {text}");
                assert!(
                    was_received,
                    "{id} was reported as possibly run but reached no worker"
                );
                accepted += 1;
            }
            other => panic!("{id} got {other}: {start}"),
        }
    }
    assert!(accepted > 0, "no request was accepted");
}

/// Guards against closing the connection of a non-idempotent request without an answer.
#[tokio::test]
async fn late_requests_without_an_answer_in_time_are_told_that_they_may_have_run() {
    assert_no_answer_is_cut("/unsafe/", Action::Hang).await;
}

/// Guards against closing the connection of a retried idempotent request without an answer.
#[tokio::test]
async fn late_repeatable_requests_without_an_answer_in_time_are_told_that_they_may_have_run() {
    assert_no_answer_is_cut("/safe/", Action::Hang).await;
}

/// Guards against forwarding only a part of an answer without a content length.
#[tokio::test]
async fn slow_late_answers_of_unknown_length_are_not_cut_off() {
    assert_no_answer_is_cut("/unsafe/", Action::Paced(1..=60, SECOND / 10)).await;
}

/// Guards against forwarding only a part of an answer that outlasts the process.
#[tokio::test]
async fn slow_late_answers_are_not_cut_off() {
    assert_no_answer_is_cut("/unsafe/", slow_answer(60 << 10)).await;
}

/// Guards against cutting off answers that are buffered only while the process is stopping.
#[tokio::test]
async fn slow_large_late_answers_are_not_cut_off() {
    assert_no_answer_is_cut("/unsafe/", slow_answer(960 << 10)).await;
}

/// Guards against cutting off answers that are too large to buffer.
#[tokio::test]
async fn slow_late_answers_above_the_limit_are_not_cut_off() {
    assert_no_answer_is_cut("/unsafe/", slow_answer(6 << 20)).await;
}

/// Guards against buffering an answer without a limit because it names no length.
#[tokio::test]
async fn late_answers_without_an_end_are_not_cut_off() {
    let endless = Endless {
        head: Some((200, "transfer-encoding: chunked\r\n".into())),
        start: String::new(),
        piece: format!("1000\r\n{}\r\n", "y".repeat(0x1000)),
    };
    assert_no_answer_is_cut("/unsafe/", Action::Endless(endless)).await;
}

/// Guards against rejecting large answers that end in time.
#[tokio::test]
async fn quick_large_late_answers_are_forwarded() {
    let (bed, workers) = start(2).await;
    observe_quick_answers(&bed, "/unsafe/").await;
    let large = Action::Answer(200, "y".repeat(960 << 10));
    let sent = stop_and_send(&bed, &workers, "/unsafe/", large).await;
    let mut forwarded = 0;
    for LateRequest { id, client } in sent {
        let text = client.await.expect("the task ends");
        let was_received = was_received(&workers, &id);
        let start = &text[..text.len().min(400)];
        match text.is_empty() {
            true => assert!(!was_received, "{id} was forwarded and got no answer"),
            // Little time is left for the last requests.
            false if status(&text) == 503 => {
                assert!(start.contains("\"outcome\":\"not_run\""), "{id}: {start}");
                assert!(!was_received, "{id} was run but reported as not run");
            }
            false => {
                assert_eq!(status(&text), 200, "{id}: {start}");
                assert!(is_whole(&text), "{id} was cut off");
                forwarded += 1;
            }
        }
    }
    assert!(forwarded > 0, "no request was accepted");
}
