//! The other processes of the system.
//!
//! Each tells the others, in small datagrams, how much work it has sent to each
//! upstream and which versions it knows. A datagram says everything anew, so a
//! lost one does no harm. Who the others are stands in the store, and a datagram
//! makes its sender known too.

pub mod catch_up;
pub mod exchange;
pub mod membership;

use crate::fleet::Fleet;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// A peer that was silent for so long counts as gone, and its load with it: three
/// times the longest pause between two datagrams.
pub const SILENT: Duration = Duration::from_millis(600);
/// The same for each peer. With many peers each hears less often (see
/// [`exchange::SEND_EVERY_PER_PEER`]); without it all of 300 counted as gone by
/// turns, and each read the store for itself.
const SILENT_PER_PEER: Duration = Duration::from_millis(16);
/// Most peers that are known: the aim is 350, and an unknown sender must not
/// fill the memory.
const MAX_PEERS: usize = 1024;

/// What a process tells its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Drawn at each start of a process, so that a new one's count is not taken
    /// for an old one's.
    pub start: u64,
    /// Counts the datagrams of a start; an older one that comes late is dropped.
    pub number: u64,
    /// Version of the configuration in force there.
    pub config: u64,
    /// The store's version at its last read of the registry.
    pub registry: u64,
    /// Age of that read, in milliseconds. While nothing changes the version stays
    /// the same, so the version alone doesn't tell a new read from an old one: 31
    /// processes made 1,800 calls to the store in a minute without it, 700 with it.
    pub registry_ms: u32,
    /// Hash of what it made of the registry; see [`Fleet::view`].
    pub view: u64,
    /// Its load at each upstream where it has any.
    pub loads: Vec<Load>,
    /// Hashes of the engines that it has ordered to change their stage and that
    /// are away for it.
    pub changing: Vec<u64>,
    /// Prompt parts that it was lately the first to send to an engine.
    pub placements: Vec<Placement>,
}

/// A prompt part that an engine was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Hash of the engine's id.
    pub upstream: u64,
    /// Id of the part.
    pub part: u64,
    /// Its length.
    pub tokens: u32,
}

/// A process's load at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// Requests whose first byte hasn't come yet.
    pub waiting: u16,
    /// Uncached tokens of those that wait.
    pub tokens: u32,
    /// Requests that run there.
    pub running: u16,
    /// Of these, long answers.
    pub streams: u16,
}

/// A peer, as it last said.
#[derive(Debug)]
pub struct Peer {
    /// Address of its host.
    pub ip: IpAddr,
    /// Name of its host, if the store told of it.
    host: Option<String>,
    heard_at: Option<Instant>,
    beat: Option<Beat>,
}

/// All peers, sorted by address.
#[derive(Debug, Default)]
pub struct Peers {
    all: Vec<Peer>,
}

impl Peers {
    /// Notes a peer that the store tells of.
    pub fn add(&mut self, host: &str, ip: IpAddr) {
        if let Some(peer) = self.entry(ip) {
            peer.host = Some(host.to_owned());
        }
    }

    /// Notes that the store no longer tells of a host's process.
    pub fn remove(&mut self, host: &str, fleet: &mut Fleet) {
        let at = self
            .all
            .iter()
            .position(|p| p.host.as_deref() == Some(host));
        if let Some(at) = at {
            self.all.remove(at).take_off(fleet);
        }
    }

    fn entry(&mut self, ip: IpAddr) -> Option<&mut Peer> {
        let at = match self.all.binary_search_by_key(&ip, |p| p.ip) {
            Ok(at) => at,
            Err(_) if self.all.len() >= MAX_PEERS => return None,
            Err(at) => {
                let peer = Peer {
                    ip,
                    host: None,
                    heard_at: None,
                    beat: None,
                };
                self.all.insert(at, peer);
                at
            }
        };
        Some(&mut self.all[at])
    }

    /// Takes a datagram from an address; says whether it was new.
    pub fn hear(&mut self, ip: IpAddr, beat: Beat, fleet: &mut Fleet, now: Instant) -> bool {
        let silent = self.silent();
        let Some(peer) = self.entry(ip) else {
            return false;
        };
        let is_old = peer
            .beat
            .as_ref()
            .is_some_and(|b| b.start == beat.start && b.number >= beat.number);
        if is_old {
            return false;
        }
        peer.take_off(fleet);
        for load in &beat.loads {
            if let Some(upstream) = fleet.find_hash(load.upstream) {
                upstream.others.add(load);
            }
        }
        for placement in &beat.placements {
            fleet.take_placement(placement, now);
        }
        for hash in &beat.changing {
            if let Some(upstream) = fleet.find_hash(*hash) {
                upstream.peer_says_changing(now + silent);
            }
        }
        peer.beat = Some(beat);
        peer.heard_at = Some(now);
        true
    }

    /// Silence after which a peer counts as gone.
    fn silent(&self) -> Duration {
        SILENT.max(SILENT_PER_PEER * self.all.len() as u32)
    }

    /// Takes the load of peers that fell silent off the upstreams. A peer that
    /// only its datagrams made known is forgotten.
    pub fn expire(&mut self, fleet: &mut Fleet, now: Instant) {
        let bound = self.silent();
        for peer in &mut self.all {
            if !peer.is_live(now, bound) {
                peer.take_off(fleet);
            }
        }
        self.all
            .retain(|p| p.host.is_some() || p.is_live(now, bound));
    }

    /// Addresses of all peers.
    pub fn addresses(&self) -> impl Iterator<Item = IpAddr> {
        self.all.iter().map(|p| p.ip)
    }

    /// Live peers whose address is before one: the place of a process among all.
    pub fn rank(&self, ip: IpAddr, now: Instant) -> u32 {
        let before = self.all.iter().take_while(|p| p.ip < ip);
        let bound = self.silent();
        before.filter(|p| p.is_live(now, bound)).count() as u32
    }

    /// Peers that were heard of late.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&Peer, &Beat)> {
        let bound = self.silent();
        let live = self.all.iter().filter(move |p| p.is_live(now, bound));
        live.filter_map(|p| p.beat.as_ref().map(|b| (p, b)))
    }
}

impl Peer {
    fn is_live(&self, now: Instant, bound: Duration) -> bool {
        let silent = self.heard_at.map(|at| now.saturating_duration_since(at));
        silent.is_some_and(|s| s < bound)
    }

    /// Takes what it last said off the upstreams; only its versions are kept.
    fn take_off(&mut self, fleet: &mut Fleet) {
        let loads = self.beat.as_mut().map(|b| std::mem::take(&mut b.loads));
        for load in loads.unwrap_or_default() {
            if let Some(upstream) = fleet.find_hash(load.upstream) {
                upstream.others.take_off(&load);
            }
        }
    }
}
