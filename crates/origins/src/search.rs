//! Search for the origin of a stream at other hosts.

use crate::replication::COPIES;
use std::net::IpAddr;

/// Number of hosts that are asked first: those that should have a copy, one for the case that the
/// stream began at one of them, and one for a host that isn't known here.
const FIRST_ASKED: usize = COPIES + 2;
/// Number of hosts that are asked besides in each later round.
const MORE_ASKED: usize = 2;
/// Number of rounds.
const MAX_ROUNDS: usize = 4;

/// State of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchState {
    /// Hosts that were asked haven't answered.
    Waiting,
    /// All that were asked have answered that they don't know the stream.
    Unknown,
}

/// Search for one origin.
#[derive(Debug, Clone)]
pub struct Search {
    /// Other hosts in the order of the stream.
    order: Vec<IpAddr>,
    asked: usize,
    /// Hosts that don't know the stream.
    unaware: Vec<IpAddr>,
    rounds: usize,
}

impl Search {
    /// Starts a search at the first of `order`, which must not contain this host.
    pub fn new(order: Vec<IpAddr>) -> Self {
        Self {
            order,
            asked: 0,
            unaware: Vec::new(),
            rounds: 0,
        }
    }

    /// Hosts to ask in the next round: those that haven't answered, and more, as hosts may disagree on
    /// which hosts are running. Empty if the search is over.
    pub fn next_round(&mut self) -> Vec<IpAddr> {
        let were_all_asked = self.asked == self.order.len();
        if self.rounds >= MAX_ROUNDS || (were_all_asked && self.state() == SearchState::Unknown) {
            return Vec::new();
        }
        let more = match self.rounds {
            0 => FIRST_ASKED,
            _ => MORE_ASKED,
        };
        self.asked = (self.asked + more).min(self.order.len());
        self.rounds += 1;
        let asked = self.order[..self.asked].iter();
        asked
            .filter(|ip| !self.unaware.contains(ip))
            .copied()
            .collect()
    }

    /// Records that a host doesn't know the stream.
    pub fn record_unaware(&mut self, ip: IpAddr) {
        if !self.unaware.contains(&ip) {
            self.unaware.push(ip);
        }
    }

    /// Hosts that were asked.
    pub fn asked(&self) -> &[IpAddr] {
        &self.order[..self.asked]
    }

    /// Whether a host answered that it doesn't know the stream.
    pub fn is_unaware(&self, ip: IpAddr) -> bool {
        self.unaware.contains(&ip)
    }

    /// Whether answers are missing.
    pub fn state(&self) -> SearchState {
        match self.asked().iter().all(|ip| self.unaware.contains(ip)) {
            true => SearchState::Unknown,
            false => SearchState::Waiting,
        }
    }
}
