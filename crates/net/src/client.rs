//! Opens TCP connections.

use crate::error::CallError;
use crate::meter::{Meter, Metered};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum time that sent data may stay unacknowledged before the connection is closed. Without it,
/// a request on a broken link would hang until its deadline. It is ten times the maximum round trip
/// within a region, which leaves time for one or two lost packets: retransmissions are sent after
/// 0.2 and 0.6 s.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1000);

/// An open connection, for use with hyper.
pub type Connection = TokioIo<Metered<TcpStream>>;

/// Opens a TCP connection within `timeout`. If it fails, nothing was sent.
pub async fn connect(
    addr: SocketAddr,
    timeout: Duration,
    meter: &Meter,
) -> Result<Connection, CallError> {
    let tcp = match tokio::time::timeout(timeout, TcpStream::connect(addr)).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => return Err(CallError::NotSent(e.to_string())),
        Err(_) => return Err(CallError::NotSent("connect timeout".into())),
    };
    tcp.set_nodelay(true)
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    SockRef::from(&tcp)
        .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    Ok(TokioIo::new(Metered::new(tcp, meter.clone())))
}

/// Whether a process listens at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// It accepted or reset a connection.
    Present,
    /// The connection was refused.
    Absent,
    /// The address doesn't respond.
    Unknown,
}

/// Finds out by a new connection whether a process listens at an address.
pub async fn probe(addr: SocketAddr, timeout: Duration) -> Listener {
    match tokio::time::timeout(timeout, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => Listener::Present,
        Ok(Err(e)) => match e.kind() {
            // A process at its limit on connections resets further ones.
            ErrorKind::ConnectionReset => Listener::Present,
            ErrorKind::ConnectionRefused => Listener::Absent,
            _ => Listener::Unknown,
        },
        Err(_) => Listener::Unknown,
    }
}
