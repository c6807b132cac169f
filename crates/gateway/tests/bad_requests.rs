//! Tests that invalid requests get a specific error and aren't forwarded.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{Client, exchange, request, start, status};
use serde_json::Value;

fn error(text: &str) -> String {
    let body = text.split("\r\n\r\n").nth(1).unwrap_or("");
    let body: Value = serde_json::from_str(body).unwrap_or_else(|e| panic!("{e}: {text}"));
    body["error"].as_str().unwrap().to_owned()
}

#[tokio::test]
async fn invalid_requests_get_a_specific_error_and_reach_no_worker() {
    let (gateway, workers) = start(1).await;
    let big = "x".repeat(70_000);
    let no_id = "GET /safe/ HTTP/1.1\r\nhost: a.example\r\n\r\n".to_owned();
    let cases = [
        (no_id, 400, "malformed"),
        (request("GET", "/none/", "id", "", ""), 404, "no_route"),
        (request("GET", "/safe", "id", "", ""), 404, "no_route"),
        (
            request("GET", "/safe/", "id", "deadline-ms: 1\r\n", ""),
            400,
            "malformed",
        ),
        (
            request("GET", "/safe/", "id", "attempt-id: id\r\n", ""),
            400,
            "malformed",
        ),
        (
            request("GET", "/safe/", "id", "last-event-id: x\r\n", ""),
            400,
            "malformed",
        ),
        (
            request("GET", "/safe/", "id", "token-counts: 1\r\n", ""),
            400,
            "malformed",
        ),
        (
            request("GET", "/safe/", "id", "prompt-prefix: zz:1\r\n", ""),
            400,
            "malformed",
        ),
        (request("POST", "/safe/", "id", "", &big), 413, "too_large"),
    ];
    for (text, expected, reason) in cases {
        let res = exchange(gateway.callers, &text).await;
        assert_eq!(status(&res), expected, "{reason}: {res}");
        assert_eq!(error(&res), reason);
    }
    assert!(workers[0].requests().is_empty());
}

#[tokio::test]
async fn malformed_heads_are_refused_and_close_the_connection() {
    let (gateway, workers) = start(1).await;
    let prefix = "POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: i\r\n";
    let long_header = format!("x-long: {}\r\n", "y".repeat(40_000));
    let heads = [
        format!("{prefix}content-length: 1\r\ncontent-length: 2\r\n\r\nx"),
        format!("{prefix}content-length: +1\r\n\r\nx"),
        format!("{prefix}content-length: 1, 2\r\n\r\nx"),
        format!("{prefix}x-fold: a\r\n b\r\ncontent-length: 1\r\n\r\nx"),
        format!("{prefix}content-length : 1\r\n\r\nx"),
        format!("{prefix}transfer-encoding: gzip\r\n\r\nx"),
        format!("{prefix}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n"),
        format!("{prefix}{long_header}content-length: 1\r\n\r\nx"),
    ];
    for head in heads {
        let mut client = Client::connect(gateway.callers).await;
        client.send(&head).await;
        let (text, _) = client.read_to_end().await;
        let code = status(&text);
        assert!((400..=431).contains(&code), "{code} for {head:.120}");
    }
    assert!(workers[0].requests().is_empty());
}

#[tokio::test]
async fn a_smuggled_request_never_runs() {
    let (gateway, workers) = start(1).await;
    let smuggled = request("POST", "/unsafe/", "hidden", "", "x");
    let heads = [
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 5\r\n",
    ];
    for (n, lengths) in heads.iter().enumerate() {
        let text = format!(
            "POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: outer-{n}\r\n{lengths}\r\n0\r\n\r\n{smuggled}"
        );
        let mut client = Client::connect(gateway.callers).await;
        client.send(&text).await;
        client.read_to_end().await;
    }
    // A request sent afterwards to the same worker arrives after any smuggled one.
    exchange(gateway.callers, &request("GET", "/safe/", "last", "", "")).await;
    let seen = workers[0].requests();
    assert!(
        seen.iter()
            .all(|s| s.header("attempt-id") != Some("hidden")),
        "{seen:?}"
    );
    assert!(
        seen.iter()
            .all(|s| s.path != "/unsafe/" || s.body.is_empty())
    );
}

#[tokio::test]
async fn chunked_bodies_are_forwarded_completely() {
    let (gateway, workers) = start(1).await;
    let text = "POST /unsafe/ HTTP/1.1\r\nhost: A.Example:80\r\nattempt-id: i\r\n\
                transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    assert_eq!(status(&exchange(gateway.callers, text).await), 200);
    let seen = workers[0].requests().remove(0);
    assert_eq!(seen.body, b"abcdefg");
    assert_eq!(seen.header("content-length"), Some("7"));
    assert_eq!(seen.header("transfer-encoding"), None);
}
