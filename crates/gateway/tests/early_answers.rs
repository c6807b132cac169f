//! Upstreams that answer an upload before they have read it and reset the connection, and upstreams
//! whose status isn't one. The client must not get a part of a response as the whole.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{TestGateway, config, exchange, request, routes, start_without_config, status};
use serde_json::json;
use standin::{Action, fixture};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Length of the upload. It doesn't fit into the buffers of a connection.
const UPLOAD: usize = 3 << 20;

/// How a response that breaks off is framed.
#[derive(Debug, Clone, Copy)]
enum Framing {
    /// It ends with the connection.
    Connection,
    Length,
    Chunks,
}

/// An upstream that answers each request from its head alone, sends a part of the body, and resets the
/// connection after a pause.
#[derive(Debug, Clone, Copy)]
struct EarlyAnswer {
    framing: Framing,
    part: usize,
    pause: Duration,
}

impl EarlyAnswer {
    async fn start(self) -> SocketAddr {
        let addr = SocketAddr::new(IpAddr::V4(common::address()), 7100);
        let listener = TcpListener::bind(addr).await.unwrap();
        tokio::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                tokio::spawn(self.answer(tcp));
            }
        });
        addr
    }

    async fn answer(self, mut tcp: TcpStream) {
        let mut buf = vec![0; 4096];
        let Ok(len @ 1..) = tcp.read(&mut buf).await else {
            return;
        };
        let head = String::from_utf8_lossy(&buf[..len]).to_ascii_lowercase();
        let id = head.split("attempt-id: ").nth(1).unwrap();
        let id = id.lines().next().unwrap().trim();
        let framing = match self.framing {
            Framing::Connection => "",
            Framing::Length => "content-length: 1000000\r\n",
            Framing::Chunks => "transfer-encoding: chunked\r\n",
        };
        let part = match self.framing {
            Framing::Chunks => format!("{:x}\r\n{}\r\n", self.part, "x".repeat(self.part)),
            _ => "x".repeat(self.part),
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-signature: sig\r\n{framing}\r\n{part}"
        );
        // Fails if the gateway has closed the connection.
        let _ = tcp.write_all(text.as_bytes()).await;
        tokio::time::sleep(self.pause).await;
        // Closes it with a reset.
        let _ = tcp.set_zero_linger();
    }
}

async fn start(upstream: SocketAddr) -> TestGateway {
    let bed = start_without_config();
    bed.register("i-0", "plain", upstream, "ready", None);
    let mut config = config(1, &routes());
    config["Limits"]["MaxBodyBytes"] = json!(2 * UPLOAD);
    bed.store.put("op", "config", &config);
    bed.wait_ready(200).await;
    bed
}

/// Whether a response is complete, by its framing.
fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    match head.split("content-length: ").nth(1) {
        Some(len) => len.lines().next().unwrap().trim() == body.len().to_string(),
        None => head.contains("chunked") && body.ends_with("0\r\n\r\n"),
    }
}

async fn check(answer: EarlyAnswer, path: &str) {
    let bed = start(answer.start().await).await;
    let body = "u".repeat(UPLOAD);
    let mut tcp = TcpStream::connect(bed.callers).await.unwrap();
    let req = request("POST", path, "id-1", "connection: close\r\n", &body);
    tcp.write_all(req.as_bytes()).await.unwrap();
    let mut buf = Vec::new();
    // A response that breaks off may end with a reset.
    let _ = tokio::time::timeout(common::WAIT_TIMEOUT, tcp.read_to_end(&mut buf)).await;
    let res = String::from_utf8_lossy(&buf);
    let is_success = res.starts_with("HTTP/1.1 2");
    assert!(
        !is_success || !is_complete(&res),
        "{answer:?} {path}: {res:.200}"
    );
}

/// Guards against a part of a response that is delivered as the whole, after the upstream reset the
/// connection while the upload was being written.
#[tokio::test]
async fn an_early_answer_that_is_reset_is_never_complete() {
    for framing in [Framing::Connection, Framing::Length, Framing::Chunks] {
        let mut checks = Vec::new();
        for part in [3_600, 300_000] {
            for pause_ms in [0, 1, 30, 150] {
                let pause = Duration::from_millis(pause_ms);
                for path in ["/unsafe/", "/stream/"] {
                    let answer = EarlyAnswer {
                        framing,
                        part,
                        pause,
                    };
                    checks.push(check(answer, path));
                }
            }
        }
        common::join_all(checks.into_iter()).await;
    }
}

/// Guards against an answer whose status isn't a number from 100 to 999.
#[tokio::test]
async fn an_answer_without_a_valid_status_is_not_delivered() {
    for code in [
        "000", "001", "020", "099", "20", "2000", "+20", "2x0", "abc", " 200", "",
    ] {
        for path in ["/unsafe/", "/stream/"] {
            let (bed, workers) = common::start(1).await;
            let text = format!(
                "HTTP/1.1 {code} OK\r\nattempt-id: id-1\r\nresponse-signature: sig\r\n\
                 content-length: 2\r\n\r\nok"
            );
            workers[0].set_default_action(Action::Raw(text));
            let req = request("POST", path, "id-1", "", "x");
            let req = fixture::with_deadline(&req, Duration::from_secs(2));
            let res = exchange(bed.callers, &req).await;
            assert_eq!(status(&res), 502, "{code:?} {path}: {res}");
        }
    }
}
