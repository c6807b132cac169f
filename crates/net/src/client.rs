//! Opening connections.

use crate::error::CallError;
use crate::meter::{Meter, Metered};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest that sent bytes may stay unacknowledged before a connection counts
/// as broken. Without it a cut link holds a request until its deadline; ten
/// times the longest round trip within a region leaves room for a lost packet
/// or two, whose retransmissions come after 0.2 and 0.6 s.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1000);

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
    SockRef::from(&tcp)
        .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    Ok(TokioIo::new(Metered::new(tcp, meter.clone())))
}
