//! Kept connections to agents, sorted by address.

use net::Peer;
use std::net::SocketAddr;
use std::sync::RwLock;
use std::time::Duration;

/// The connections.
#[derive(Debug)]
pub struct Peers {
    timeout: Duration,
    peers: RwLock<Vec<Peer>>,
}

impl Peers {
    /// No connections yet; `timeout` bounds opening one.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            peers: RwLock::default(),
        }
    }

    /// The peer at an address.
    pub fn get(&self, addr: SocketAddr) -> Peer {
        {
            let peers = self.peers.read().expect("no panic while locked");
            if let Ok(at) = peers.binary_search_by_key(&addr, Peer::addr) {
                return peers[at].clone();
            }
        }
        let mut peers = self.peers.write().expect("no panic while locked");
        match peers.binary_search_by_key(&addr, Peer::addr) {
            Ok(at) => peers[at].clone(),
            Err(at) => {
                let peer = Peer::new(addr, self.timeout);
                peers.insert(at, peer.clone());
                peer
            }
        }
    }

    /// Closes connections to agents that no document names any more.
    pub fn keep_only(&self, named: &[SocketAddr]) {
        let mut peers = self.peers.write().expect("no panic while locked");
        peers.retain(|p| named.binary_search(&p.addr()).is_ok());
    }
}
