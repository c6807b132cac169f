//! Copies the origin of a stream to other hosts.

use std::net::IpAddr;

/// Number of other hosts that keep a copy.
pub const COPIES: usize = 2;
/// Number of times that hosts are sent a copy.
const MAX_ROUNDS: usize = 6;

/// Copying of one origin. In each round, one more host is sent a copy besides those that haven't
/// confirmed theirs, as these may be gone.
#[derive(Debug, Clone)]
pub struct Replication {
    /// Other hosts in the order of the stream.
    order: Vec<IpAddr>,
    confirmed: Vec<IpAddr>,
    rounds: usize,
}

impl Replication {
    /// Starts to copy an origin to the first of `order`, which must not contain this host.
    pub fn new(order: Vec<IpAddr>) -> Self {
        Self {
            order,
            confirmed: Vec::new(),
            rounds: 0,
        }
    }

    /// Hosts that are to be sent a copy in the next round; empty if the copying is over.
    pub fn next_round(&mut self) -> Vec<IpAddr> {
        if self.is_complete() || self.rounds >= MAX_ROUNDS {
            return Vec::new();
        }
        let count = COPIES + self.rounds;
        self.rounds += 1;
        let hosts = self.order.iter().take(count);
        hosts
            .filter(|ip| !self.confirmed.contains(ip))
            .copied()
            .collect()
    }

    /// Records that a host has its copy.
    pub fn confirm(&mut self, ip: IpAddr) {
        if self.order.contains(&ip) && !self.confirmed.contains(&ip) {
            self.confirmed.push(ip);
        }
    }

    /// Whether enough hosts have a copy.
    pub fn is_complete(&self) -> bool {
        self.confirmed.len() >= COPIES.min(self.order.len())
    }
}
