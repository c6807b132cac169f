//! Reading a process's metrics.

use hyper::Request;
use net::{Pool, empty};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for the metrics.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest text.
const MAX_TEXT: usize = 16 << 20;

/// Bytes of control traffic of a process so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlBytes {
    /// With the platform.
    pub platform: u64,
    /// With peers.
    pub peers: u64,
}

/// Reads the bytes of control traffic of the process at an admin address.
pub async fn control_bytes(admin: SocketAddr) -> io::Result<ControlBytes> {
    let req = Request::builder().uri("/metrics").header("host", "bench");
    let req = req.body(empty()).map_err(io::Error::other)?;
    let pool = Pool::new(admin, TIMEOUT);
    let (_, text) = pool
        .call(req, MAX_TEXT, TIMEOUT)
        .await
        .map_err(io::Error::other)?;
    let text = String::from_utf8_lossy(&text);
    let value = |link: &str| {
        let name = format!("arbutusquay_control_bytes{{link=\"{link}\"}} ");
        let line = text.lines().find_map(|l| l.strip_prefix(&name));
        line.and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0) as u64
    };
    Ok(ControlBytes {
        platform: value("platform"),
        peers: value("peers"),
    })
}
