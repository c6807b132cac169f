//! Opening connections.

use crate::error::CallError;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Opens a TCP connection within a time. Nothing was sent if it fails.
pub async fn connect(addr: SocketAddr, timeout: Duration) -> Result<TokioIo<TcpStream>, CallError> {
    let tcp = match tokio::time::timeout(timeout, TcpStream::connect(addr)).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => return Err(CallError::NotSent(e.to_string())),
        Err(_) => return Err(CallError::NotSent("connecting took too long".into())),
    };
    tcp.set_nodelay(true)
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    Ok(TokioIo::new(tcp))
}
