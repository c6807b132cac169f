//! A relay that can refuse to pass bytes, for cuts between processes that live.

use net::bind;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes that are passed on at once.
const PIECE: usize = 64 << 10;

/// Passes bytes between an address and a process, unless it is cut. It ends
/// when it is dropped.
#[derive(Debug)]
pub struct Relay {
    cut: watch::Sender<bool>,
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
        let cut = watch::Sender::new(false);
        let task = tokio::spawn(run(listener, to, cut.subscribe()));
        Ok(Self { cut, task })
    }

    /// Stops or goes on to pass bytes. What was on its way is held, not lost, as
    /// TCP would hold it over a short cut.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn run(listener: TcpListener, to: SocketAddr, cut: watch::Receiver<bool>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(connection(near, to, cut.clone()));
    }
}

async fn connection(near: TcpStream, to: SocketAddr, mut cut: watch::Receiver<bool>) {
    if !passable(&mut cut).await {
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
    let there = tokio::spawn(pass(near_in, far_out, cut.clone()));
    pass(far_in, near_out, cut).await;
    there.abort();
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut buf = vec![0; PIECE];
    while let Ok(n) = from.read(&mut buf).await {
        // An end is passed on too, and not before a cut is over.
        if !passable(&mut cut).await || n == 0 || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may pass; false if the relay has ended.
async fn passable(cut: &mut watch::Receiver<bool>) -> bool {
    cut.wait_for(|c| !*c).await.is_ok()
}
