//! Probes a gateway with client requests until it serves.

use standin::fixture::request;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until a gateway answers a request with status 200.
pub async fn wait_serving(at: SocketAddr, extra_headers: &str) {
    let text = request("GET", "/safe/", "probe", extra_headers, "");
    while !matches!(status_line(at, &text).await, Ok(line) if line.ends_with(b"200")) {
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Waits until a gateway's readiness check, at this address, returns status 200.
pub async fn wait_ready(at: SocketAddr) {
    let text = "GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n";
    while !matches!(status_line(at, text).await, Ok(line) if line.ends_with(b"200")) {
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Sends a request on a new connection; returns the beginning of the answer, up to its status.
async fn status_line(at: SocketAddr, text: &str) -> io::Result<Vec<u8>> {
    let mut tcp = TcpStream::connect(at).await?;
    tcp.write_all(text.as_bytes()).await?;
    let mut buf = vec![0; 12];
    tcp.read_exact(&mut buf).await?;
    Ok(buf)
}
