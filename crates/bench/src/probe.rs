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
    loop {
        let status_line = async {
            let mut tcp = TcpStream::connect(at).await?;
            tcp.write_all(text.as_bytes()).await?;
            let mut buf = vec![0; 12];
            tcp.read_exact(&mut buf).await?;
            io::Result::Ok(buf)
        };
        if status_line.await.is_ok_and(|buf| buf.ends_with(b"200")) {
            return;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}
