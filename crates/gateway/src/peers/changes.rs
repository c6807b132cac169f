//! Logs how peers become known and are forgotten.

use observe::{Event, emit};
use std::net::IpAddr;

/// Maximum number of addresses in a log line about changed peers.
const MAX_PEERS_LOGGED: usize = 16;

/// How a peer became known or was forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerChange {
    /// Listed in the store or by a peer.
    Listed,
    /// Heard in a datagram.
    Heard,
    /// No longer listed.
    Unlisted,
    /// Not listed, and silent.
    Silent,
}

impl PeerChange {
    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Heard => "heard",
            Self::Unlisted => "unlisted",
            Self::Silent => "silent",
        }
    }
}

/// Logs peers that became known or were forgotten, in one line for each kind of change.
pub fn log(changes: &[(PeerChange, IpAddr)], known: usize) {
    use PeerChange::{Heard, Listed, Silent, Unlisted};
    for kind in [Listed, Heard, Unlisted, Silent] {
        let of_kind = changes.iter().filter(|(change, _)| *change == kind);
        let peers: Vec<String> = of_kind.map(|(_, ip)| ip.to_string()).collect();
        if !peers.is_empty() {
            emit(&Event::PeersChanged {
                change: kind.name(),
                count: peers.len(),
                peers: peers.into_iter().take(MAX_PEERS_LOGGED).collect(),
                known,
            });
        }
    }
}
