//! Reads the metrics of a process.

use hyper::Request;
use net::{Pool, empty};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for reading the metrics.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the metrics text in bytes.
const MAX_METRICS_BYTES: usize = 16 << 20;

/// Bytes of control traffic of a process since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlBytes {
    /// Traffic with the platform.
    pub platform: u64,
    /// Traffic with peers.
    pub peers: u64,
}

/// Document versions in force in a process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Versions {
    /// Process ID.
    pub process: u32,
    /// Versions by service.
    pub versions: Vec<(String, u64)>,
}

/// Reads the document versions from the process with an admin address.
pub async fn document_versions(admin: SocketAddr) -> io::Result<Versions> {
    let text = metrics(admin).await?;
    let mut seen = Versions::default();
    for line in text.lines() {
        if let Some(id) = line.strip_prefix("arbutusquay_process_id ") {
            seen.process = id.parse().unwrap_or(0);
        }
        let Some(rest) = line.strip_prefix("arbutusquay_document_version{service=\"") else {
            continue;
        };
        if let Some((service, version)) = rest.split_once("\"} ") {
            let version = version.parse::<f64>().unwrap_or(0.0) as u64;
            seen.versions.push((service.to_owned(), version));
        }
    }
    Ok(seen)
}

async fn metrics(admin: SocketAddr) -> io::Result<String> {
    let req = Request::builder().uri("/metrics").header("host", "bench");
    let req = req.body(empty()).map_err(io::Error::other)?;
    let pool = Pool::new(admin, TIMEOUT);
    let (_, text) = pool
        .call(req, MAX_METRICS_BYTES, TIMEOUT)
        .await
        .map_err(io::Error::other)?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Reads the bytes of control traffic from the process with an admin address.
pub async fn control_bytes(admin: SocketAddr) -> io::Result<ControlBytes> {
    let text = metrics(admin).await?;
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
