//! A relay that treats bytes as a bad link does, between processes that live.

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

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 64 << 10;

/// RequestKind a link does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// It passes them.
    Open,
    /// It holds them in both directions. RequestKind was on its direction is held, not lost, as
    /// TCP would hold it over a short stalled.
    Stalled,
    /// It holds what comes back, and passes what goes there.
    ResponsesStalled,
    /// It passes each piece after a time.
    Slow(Duration),
    /// It breaks open connections and refuses new ones.
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

/// Direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

/// Passes bytes between an address and a process as a link does. It ends when it
/// is dropped.
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

    /// Changes what the link does.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Holds bytes in both directions, or goes on to pass them.
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
    // A connection that is dropped with bytes unread is reset.
    if *link.borrow() == Link::Broken || !wait_passable(&mut link, Direction::Forward).await {
        return;
    }
    // The other end sees a connection that closes at once, as it would without
    // the relay a connection that is refused.
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    // Without it the relay would hold small pieces back itself.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let forward = tokio::spawn(pass(near_in, far_out, link.clone(), Direction::Forward));
    let backward = pass(far_in, near_out, link.clone(), Direction::Backward);
    tokio::select! {
        () = backward => {}
        // The sender lives as long as the relay; without it the connection ends too.
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
            // A reset is passed on as one: an answer without a length that ends
            // with a reset isn't whole, and one that ends in order is.
            let _ = SockRef::from(to.as_ref()).set_linger(Some(Duration::ZERO));
            // Dropped, it would end the connection in order first.
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
        // An end is passed on too, and not before a stalled is over.
        let is_open = wait_passable(&mut link, direction).await;
        if !is_open || n == 0 || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may pass; false if the relay has ended.
async fn wait_passable(link: &mut watch::Receiver<Link>, direction: Direction) -> bool {
    link.wait_for(|l| l.passes(direction)).await.is_ok()
}
