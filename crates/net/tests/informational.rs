//! Informational responses (1xx) that precede the response to a request.

use hyper::Request;
use net::{CallError, Pool, empty};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(10);
const INFORMATIONAL: &str = "HTTP/1.1 103 Early Hints\r\nlink: abcdefghijklmnop\r\n\r\n";
const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Number of informational responses that remain below the limit, but not for two requests.
const ALLOWED_COUNT: usize = 800;
const EXCESSIVE_COUNT: usize = 100_000;
/// Length of a long reason phrase, and a number of them.
const LONG_PHRASE_BYTES: usize = 30_000;
const LONG_PHRASE_COUNT: usize = 1000;

/// Answers each request on a connection with informational responses and a response. Returns the
/// number of requests received before the client closed the connection.
async fn serve(mut tcp: TcpStream, informational: String) -> usize {
    let mut requests = 0;
    let mut buf = vec![0; 4096];
    loop {
        match tcp.read(&mut buf).await {
            Ok(0) | Err(_) => return requests,
            Ok(_) => requests += 1,
        }
        let text = informational.clone() + RESPONSE;
        if tcp.write_all(text.as_bytes()).await.is_err() {
            return requests;
        }
    }
}

async fn call(addr: SocketAddr, pool: &Pool) -> Result<u16, CallError> {
    let req = Request::get("/")
        .header("host", addr.to_string())
        .body(empty())
        .unwrap();
    let (status, _) = pool.call(req, 100, TIMEOUT).await?;
    Ok(status.as_u16())
}

/// Guards against a limit that counts the responses to earlier requests on the connection.
#[tokio::test]
async fn informational_responses_below_the_limit_are_skipped() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (tcp, _) = listener.accept().await.unwrap();
        serve(tcp, INFORMATIONAL.repeat(ALLOWED_COUNT)).await
    });
    let pool = Pool::new(addr, TIMEOUT);
    for _ in 0..3 {
        assert_eq!(call(addr, &pool).await.unwrap(), 200);
    }
    drop(pool);
    assert_eq!(server.await.unwrap(), 3, "requests on one connection");
}

async fn assert_is_closed(informational: String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (tcp, _) = listener.accept().await.unwrap();
        serve(tcp, informational).await
    });
    let pool = Pool::new(addr, TIMEOUT);
    let Err(CallError::MaybeSent(why)) = call(addr, &pool).await else {
        panic!("the call must fail");
    };
    assert!(why.contains("informational"), "{why}");
    assert_eq!(server.await.unwrap(), 1);
}

/// Guards against informational responses without an end, which keep the caller waiting.
#[tokio::test]
async fn a_connection_with_too_many_informational_responses_is_closed() {
    assert_is_closed(INFORMATIONAL.repeat(EXCESSIVE_COUNT)).await;
}

/// Guards against a limit that doesn't count all bytes of a head.
#[tokio::test]
async fn a_connection_with_long_reason_phrases_is_closed() {
    let long = format!("HTTP/1.1 102 {}\r\n\r\n", "x".repeat(LONG_PHRASE_BYTES));
    assert_is_closed(long.repeat(LONG_PHRASE_COUNT)).await;
}

/// Guards against a limit that counts the body of the response.
#[tokio::test]
async fn a_long_response_after_an_informational_one_is_accepted() {
    const BODY_BYTES: usize = 4 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.unwrap();
        let mut buf = vec![0; 4096];
        assert!(tcp.read(&mut buf).await.unwrap() > 0);
        // Separate writes, so that the last informational response arrives with the body.
        tcp.write_all(INFORMATIONAL.repeat(ALLOWED_COUNT).as_bytes())
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let body = "y".repeat(BODY_BYTES);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        let text = INFORMATIONAL.to_owned() + &head + &body;
        tcp.write_all(text.as_bytes()).await.unwrap();
    });
    let pool = Pool::new(addr, TIMEOUT);
    let req = Request::get("/").header("host", addr.to_string());
    let req = req.body(empty()).unwrap();
    let (_, body) = pool.call(req, BODY_BYTES, TIMEOUT).await.unwrap();
    assert_eq!(body.len(), BODY_BYTES);
}
