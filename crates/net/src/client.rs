//! Opening connections.

use crate::error::CallError;
use crate::meter::{Meter, Metered};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// An open connection, as hyper takes it.
pub type Connection = TokioIo<Metered<TcpStream>>;

/// Opens a TCP connection within a time. Nothing was sent if it fails.
pub async fn connect(
    addr: SocketAddr,
    timeout: Duration,
    meter: &Meter,
) -> Result<Connection, CallError> {
    let tcp = match tokio::time::timeout(timeout, TcpStream::connect(addr)).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => return Err(CallError::NotSent(e.to_string())),
        Err(_) => return Err(CallError::NotSent("connecting took too long".into())),
    };
    tcp.set_nodelay(true)
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    Ok(TokioIo::new(Metered::new(tcp, meter.clone())))
}
