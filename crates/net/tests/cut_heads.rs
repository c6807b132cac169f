//! Responses that end within their head are errors for every reader of responses.
//!
//! Guards against this failure: a worker closed the connection in the middle of its response's head,
//! and clients got a success with an empty or short body, framed as complete. The store's client,
//! peers, prefills, orders, reports, engines and agents read responses through the same pool.

use hyper::{Method, Request, Response};
use net::{CallError, Pool, empty};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(30);
const BODY_LIMIT: usize = 1 << 10;
/// Response that precedes the cut one on a kept connection.
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Heads of responses, each with the method of its request.
const HEADS: [(Method, &str); 10] = [
    (
        Method::GET,
        "HTTP/1.1 200 OK\r\nattempt-id: a\r\ncontent-length: 0\r\n\r\n",
    ),
    (
        Method::GET,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nattempt-id: a\r\n\r\n",
    ),
    (
        Method::GET,
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nattempt-id: a\r\n\r\n",
    ),
    (
        Method::GET,
        "HTTP/1.1 200 OK\r\nattempt-id: a\r\nconnection: close\r\n\r\n",
    ),
    (
        Method::HEAD,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nattempt-id: a\r\n\r\n",
    ),
    (
        Method::GET,
        "HTTP/1.1 204 No Content\r\nattempt-id: a\r\n\r\n",
    ),
    (
        Method::GET,
        "HTTP/1.1 304 Not Modified\r\nattempt-id: a\r\n\r\n",
    ),
    (Method::GET, "HTTP/1.0 200 OK\r\nattempt-id: a\r\n\r\n"),
    (
        Method::GET,
        "HTTP/1.1 200 OK\nattempt-id: a\ncontent-length: 0\n\n",
    ),
    (
        Method::GET,
        "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    ),
];

/// How a peer ends a connection.
#[derive(Debug, Clone, Copy)]
enum End {
    Close,
    Reset,
}

/// Answers `whole` requests completely, and cuts the response to the next one.
async fn serve(listener: TcpListener, whole: usize, cut: &str, end: End) {
    let (mut tcp, _) = listener.accept().await.unwrap();
    for _ in 0..whole {
        read_request(&mut tcp).await;
        tcp.write_all(WHOLE.as_bytes()).await.unwrap();
    }
    read_request(&mut tcp).await;
    tcp.write_all(cut.as_bytes()).await.unwrap();
    if let End::Reset = end {
        socket2::SockRef::from(&tcp)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

async fn read_request(tcp: &mut TcpStream) {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\n") {
        assert_ne!(tcp.read_buf(&mut buf).await.unwrap(), 0, "no request");
    }
}

async fn call(pool: &Pool, method: &Method) -> Result<Response<bytes::Bytes>, CallError> {
    let mut req = Request::new(empty());
    *req.method_mut() = method.clone();
    pool.call_with_headers(req, BODY_LIMIT, TIMEOUT).await
}

async fn check(method: &Method, cut: &str, whole: usize, end: End) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let serving = serve(listener, whole, cut, end);
    let calling = async {
        let pool = Pool::new(addr, TIMEOUT);
        for _ in 0..whole {
            call(&pool, &Method::GET).await.unwrap();
        }
        call(&pool, method).await
    };
    let ((), result) = tokio::join!(serving, calling);
    let error = result.expect_err(&format!("{method} {cut:?} {end:?} after {whole}"));
    assert!(matches!(error, CallError::MaybeSent(_)), "{cut:?}: {error}");
}

#[tokio::test]
async fn a_response_cut_at_any_byte_of_its_head_is_an_error() {
    for (method, head) in HEADS {
        for len in 0..head.len() {
            for end in [End::Close, End::Reset] {
                for whole in [0, 1] {
                    check(&method, &head[..len], whole, end).await;
                }
            }
        }
    }
}
