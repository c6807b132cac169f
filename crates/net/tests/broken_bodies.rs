//! Response bodies that break off: chunks sent before the break reach the client.

use bytes::Bytes;
use hyper::Response;
use net::{BodySender, HeadLimits, Protocol, Server, Stop, bind, stream};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(30);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// Serves each request with a body that `send` writes. These tests use a single-threaded runtime,
/// so the connection is polled only while `send` is pending or after it has completed.
fn serve<F: Future<Output = ()> + Send + 'static>(
    send: impl Fn(BodySender) -> F + Clone + Send + Sync + 'static,
) -> SocketAddr {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.local_addr().unwrap();
    let server = Server {
        head: HeadLimits::new(TIMEOUT, 8192),
        protocol: Protocol::Http1,
        drain: Stop::default(),
        stop: Stop::default(),
    };
    tokio::spawn(server.run(listener, move |_| {
        let (tx, body) = stream(4);
        tokio::spawn(send(tx));
        async { Response::new(body) }
    }));
    addr
}

/// Sends a request and reads the response until the connection is closed.
async fn read_all(addr: SocketAddr) -> String {
    let mut tcp = TcpStream::connect(addr).await.unwrap();
    tcp.write_all(REQUEST).await.unwrap();
    let mut buf = Vec::new();
    let reading = tcp.read_to_end(&mut buf);
    let read = tokio::time::timeout(TIMEOUT, reading).await;
    read.expect("timeout while reading").unwrap();
    String::from_utf8(buf).unwrap()
}

async fn send(tx: &BodySender, text: &'static str) {
    tx.send(Bytes::from_static(text.as_bytes())).await.unwrap();
}

/// Guards against discarding a response that breaks off before any of it is written.
#[tokio::test]
async fn a_response_that_breaks_off_at_once_is_sent_up_to_the_break() {
    let addr = serve(async |tx| {
        send(&tx, "first").await;
        send(&tx, "second").await;
    });
    let text = read_all(addr).await;
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text:?}");
    assert!(text.ends_with("5\r\nfirst\r\n6\r\nsecond\r\n"), "{text:?}");
}

/// Guards against discarding the last chunks of a response that has been partly written.
#[tokio::test]
async fn chunks_that_are_sent_just_before_a_break_reach_the_client() {
    const PAUSE: Duration = Duration::from_millis(50);
    let addr = serve(async |tx| {
        send(&tx, "first").await;
        tokio::time::sleep(PAUSE).await;
        send(&tx, "second").await;
        send(&tx, "third").await;
    });
    let text = read_all(addr).await;
    assert!(
        text.ends_with("5\r\nfirst\r\n6\r\nsecond\r\n5\r\nthird\r\n"),
        "{text:?}"
    );
}
