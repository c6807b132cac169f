//! TCP relay that simulates a faulty network link between two running processes.

use net::bind;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the read buffer in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// State of the simulated link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Passes all bytes.
    Open,
    /// Holds bytes in both directions without losing those in transit, as TCP does during a short
    /// partition.
    Stalled,
    /// Holds responses and passes requests.
    ResponsesStalled,
    /// Delays each read of up to the buffer size.
    Slow(Duration),
    /// Breaks open connections and refuses new ones.
    Broken,
}

impl Link {
    fn passes(self, direction: Direction) -> bool {
        match self {
            Self::Open | Self::Slow(_) | Self::Broken => true,
            Self::Stalled => false,
            Self::ResponsesStalled => direction == Direction::Forward,
        }
    }
}

/// Direction of transfer, seen from the connecting side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

/// Forwards TCP connections from an address to a process, in accordance with the state of the
/// link. Stops when dropped.
#[derive(Debug)]
pub struct Relay {
    link: watch::Sender<Link>,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    /// Starts a relay from one address to another.
    pub fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = bind(from)?;
        let link = watch::Sender::new(Link::Open);
        let task = tokio::spawn(run(listener, to, link.subscribe()));
        Ok(Self { link, task })
    }

    /// Sets the state of the link.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Stalls both directions, or restores the link.
    pub fn set_stalled(&self, stalled: bool) {
        self.set(if stalled { Link::Stalled } else { Link::Open });
    }
}

async fn run(listener: TcpListener, to: SocketAddr, link: watch::Receiver<Link>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(connection(near, to, link.clone()));
    }
}

async fn connection(near: TcpStream, to: SocketAddr, mut link: watch::Receiver<Link>) {
    // A connection that is dropped with unread bytes is reset.
    if *link.borrow() == Link::Broken || !wait_passable(&mut link, Direction::Forward).await {
        return;
    }
    // The connecting side sees its connection close immediately; without the relay it would be
    // refused.
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    // With Nagle's algorithm the relay would delay small writes itself.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let forward = tokio::spawn(pass(near_in, far_out, link.clone(), Direction::Forward));
    let backward = pass(far_in, near_out, link.clone(), Direction::Backward);
    tokio::select! {
        () = backward => {}
        // The sender lives as long as the relay; when it is dropped the connection ends, too.
        _ = link.wait_for(|l| *l == Link::Broken) => {}
    }
    forward.abort();
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    direction: Direction,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok(n) = from.read(&mut buf).await else {
            // A reset must be forwarded as a reset: an answer without a length is complete after
            // an orderly end, and incomplete after a reset.
            let _ = SockRef::from(to.as_ref()).set_linger(Some(Duration::ZERO));
            // Dropping the half would shut the connection down in order before the reset.
            to.forget();
            return;
        };
        let slow = match *link.borrow() {
            Link::Slow(pause) => Some(pause),
            _ => None,
        };
        if let Some(pause) = slow {
            tokio::time::sleep(pause).await;
        }
        // The end of a stream is forwarded as well, and is also held while the link is stalled.
        let is_open = wait_passable(&mut link, direction).await;
        if !is_open || n == 0 || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may pass in a direction; returns false if the relay was dropped.
async fn wait_passable(link: &mut watch::Receiver<Link>, direction: Direction) -> bool {
    link.wait_for(|l| l.passes(direction)).await.is_ok()
}
