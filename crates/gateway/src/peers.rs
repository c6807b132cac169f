//! The other processes of the system.
//!
//! Each tells others, in small datagrams, how much work upstreams were sent and which
//! versions it knows. Few processes tell each other directly. Many form a tree in each
//! availability zone (see [`tree`]) and tell sums, so that what each sends and hears
//! doesn't grow with their number. Who the others are stands in the store, and a
//! datagram makes its sender known too.

pub mod catch_up;
pub mod exchange;
pub mod first_look;
mod links;
pub mod membership;
pub mod message;
pub mod tree;

pub use message::{Beat, Changing, CrashWord, Load, Placement, Scope};

use crate::fleet::Fleet;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// A peer that was silent for so long counts as gone, and its load with it: three
/// times the longest pause between two datagrams.
pub const SILENT: Duration = Duration::from_millis(600);
/// Most peers that are each told directly. So many hear each other every 64 ms, and by
/// the tree within some 50 ms. With 30 processes in trees two of the users' deployments
/// earn 0.015 and 0.03 more of what is owed than with 30 that tell each other directly.
const DIRECT_MOST: usize = 16;
/// Most peers that are known. Bounds the memory that unknown senders can take.
const MAX_PEERS: usize = 4096;
/// A process that has heard no peer for this long reads the store itself.
const ALONE_AFTER: Duration = Duration::from_secs(1);
/// Processes, besides the roots, that hold reads of whole tables at the store. The others
/// receive changes from peers, so the calls for a change don't grow with the number of
/// processes. They are spread over all zones, so that some reach the store while it refuses
/// others.
const FEED_READERS: usize = 32;

/// The host of a process and its availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location {
    /// Address of its host.
    pub ip: IpAddr,
    /// Hash of its availability zone.
    pub zone: u32,
}

/// A process that is listed in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of its host.
    pub host: String,
    /// Address of its host.
    pub ip: IpAddr,
    /// Hash of its availability zone.
    pub zone: u32,
}

/// Hash by which feed readers are chosen, so that they come from all zones.
fn address_hash(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => xxhash_rust::xxh3::xxh3_64(&ip.octets()),
        IpAddr::V6(ip) => xxhash_rust::xxh3::xxh3_64(&ip.octets()),
    }
}

/// Hash under which an availability zone is known to peers.
pub fn zone_hash(zone: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(zone.as_bytes()) as u32
}

/// A peer, as it last said.
#[derive(Debug)]
pub struct Peer {
    /// Address of its host.
    pub ip: IpAddr,
    /// Name of its host, if the store told of it.
    host: Option<String>,
    /// Hash of its availability zone; 0 until it is known.
    zone: u32,
    heard_at: Option<Instant>,
    beat: Option<Beat>,
    /// Since when it is asked whether it is the root of its zone.
    asked_at: Option<Instant>,
    /// Whether it waits for an answer that this process is there.
    waits_for_answer: bool,
    avoided_until: Option<Instant>,
    /// For how long it was avoided last.
    avoided_for: Duration,
}

/// All peers, sorted by address.
#[derive(Debug, Default)]
pub struct Peers {
    all: Vec<Peer>,
    /// The peer that this process reports to.
    parent: Option<IpAddr>,
    /// Since when it looks for one; none while it has one or is a root.
    searches_since: Option<Instant>,
    /// Whether it speaks for its zone to other zones.
    is_root: bool,
    /// Whether the processes form trees, as far as this one knows.
    is_tree: bool,
    /// When it last asked whether those are there that it may report to.
    hello_at: Option<Instant>,
    /// When it last asked whether those are there that usually report to it.
    hello_below_at: Option<Instant>,
    /// Whether the store has told of the peers.
    is_listed: bool,
    /// When this process was first found to hear no peer; `None` while it hears one.
    alone_since: Option<Instant>,
    /// Counts what was heard that changes what is told on.
    changes: u64,
}

impl Peers {
    /// Notes a peer that the store tells of.
    pub fn add(&mut self, host: &str, ip: IpAddr, zone: u32) {
        if let Some(peer) = self.entry(ip) {
            peer.host = Some(host.to_owned());
            peer.zone = zone;
            // Its row is written when it starts, so it may answer now.
            peer.avoided_until = None;
        }
    }

    /// Notes that the store has told of the peers.
    pub fn set_listed(&mut self) {
        self.is_listed = true;
    }

    /// Whether the store has told of the peers.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Notes that the store no longer tells of a host's process.
    pub fn remove(&mut self, host: &str, fleet: &mut Fleet) {
        let at = self
            .all
            .iter()
            .position(|p| p.host.as_deref() == Some(host));
        if let Some(at) = at {
            self.all.remove(at).take_off(fleet);
            self.changes += 1;
        }
    }

    fn entry(&mut self, ip: IpAddr) -> Option<&mut Peer> {
        let at = match self.all.binary_search_by_key(&ip, |p| p.ip) {
            Ok(at) => at,
            Err(_) if self.all.len() >= MAX_PEERS => return None,
            Err(at) => {
                self.all.insert(at, Peer::new(ip));
                at
            }
        };
        Some(&mut self.all[at])
    }

    /// Takes a datagram from an address; says whether it was new.
    pub fn hear(&mut self, ip: IpAddr, mut beat: Beat, fleet: &mut Fleet, now: Instant) -> bool {
        let bound = self.silent();
        let counts = self.counts(ip, beat.scope);
        let Some(peer) = self.entry(ip) else {
            return false;
        };
        let last = peer.beat.as_ref();
        if last.is_some_and(|b| b.start == beat.start && b.number >= beat.number) {
            return false;
        }
        peer.waits_for_answer |= beat.scope == Scope::Hello;
        peer.zone = beat.zone;
        if !beat.scope.has_load() && peer.is_live(now, bound) && peer.tells_load() {
            // It is there, as its last word has said already.
            return true;
        }
        // A peer may say anything; the sum of all must stay a number.
        beat.processes = beat.processes.min(MAX_PEERS as u32);
        if !counts {
            beat.loads.clear();
            beat.processes = 0;
        }
        let is_same = last.is_some_and(|b| {
            b.loads == beat.loads && b.scope == beat.scope && b.registry == beat.registry
        });
        peer.take_off(fleet);
        for load in &beat.loads {
            if let Some(upstream) = fleet.get_mut_by_tag(load.upstream) {
                upstream.peer_load.add(load);
            }
        }
        for changing in &beat.changing {
            if let Some(upstream) = fleet.get_mut_by_tag(changing.upstream) {
                let left = Duration::from_millis(changing.left_ms.into());
                upstream.set_changing_by_peer(now + left, now);
            }
        }
        fleet.merge_placements(&beat.placements, beat.scope != Scope::Direct, now);
        peer.heard_at = Some(now);
        peer.asked_at = None;
        peer.avoided_until = None;
        peer.avoided_for = Duration::ZERO;
        let is_from_parent = beat.scope == Scope::Down && counts;
        peer.beat = Some(beat);
        self.changes += u64::from(!is_same);
        if is_from_parent {
            self.take_off_former_parents(ip, fleet);
        }
        true
    }

    /// Whether loads count that a peer tells with a scope: each process's load must
    /// come by one way only.
    fn counts(&self, ip: IpAddr, scope: Scope) -> bool {
        match scope {
            Scope::Direct | Scope::Up => true,
            Scope::Down => self.parent == Some(ip),
            Scope::Across => self.is_root || self.is_direct(),
            Scope::Hello | Scope::Here => false,
        }
    }

    /// Takes off what others than the parent said of the whole system.
    fn take_off_former_parents(&mut self, parent: IpAddr, fleet: &mut Fleet) {
        for peer in self.all.iter_mut().filter(|p| p.ip != parent) {
            if matches!(peer.scope(), Some(Scope::Down | Scope::Across)) {
                peer.take_off(fleet);
            }
        }
    }

    /// Takes the load of peers that fell silent off the upstreams. A peer that
    /// only its datagrams made known is forgotten.
    pub fn expire(&mut self, fleet: &mut Fleet, now: Instant) {
        let bound = self.silent();
        let mut gone = 0;
        for peer in &mut self.all {
            if !peer.is_live(now, bound) {
                gone += u64::from(peer.take_off(fleet));
            }
        }
        self.changes += gone;
        let has_live_peer = self.live(now).next().is_some();
        self.alone_since = match has_live_peer {
            true => None,
            false => self.alone_since.or(Some(now)),
        };
        self.all
            .retain(|p| p.host.is_some() || p.is_live(now, bound));
    }

    /// Silence after which a peer counts as gone. Where each is told directly, each
    /// hears the less often the more there are.
    fn silent(&self) -> Duration {
        match self.is_direct() {
            true => SILENT.max(exchange::direct_pause(self.all.len()) * 4),
            false => SILENT,
        }
    }

    /// Whether the process on this host holds reads of whole tables at the store. Roots always
    /// do, as does every process until the members are listed.
    pub fn is_feed_reader(&self, own: IpAddr) -> bool {
        if self.is_direct() || !self.is_listed || self.is_root {
            return true;
        }
        let own = address_hash(own);
        let before = self.all.iter().filter(|p| address_hash(p.ip) < own);
        before.take(FEED_READERS).count() < FEED_READERS
    }

    /// Whether no peer has been heard for `ALONE_AFTER`.
    pub fn is_alone(&self, now: Instant) -> bool {
        let alone = self.alone_since.map(|at| now.saturating_duration_since(at));
        alone.is_some_and(|alone| alone >= ALONE_AFTER)
    }

    /// The other processes that are listed in the store.
    pub fn members(&self) -> Vec<Member> {
        let listed = self.all.iter().filter_map(|p| {
            Some(Member {
                host: p.host.clone()?,
                ip: p.ip,
                zone: p.zone,
            })
        });
        listed.collect()
    }

    /// Replaces the listed processes by the complete list of a peer.
    pub fn set_members(&mut self, own: IpAddr, members: &[Member], fleet: &mut Fleet) {
        let is_member = |host: &str| members.iter().any(|m| m.host == host);
        let listed = self.all.iter().filter_map(|p| p.host.clone());
        let gone: Vec<String> = listed.filter(|host| !is_member(host)).collect();
        for host in gone {
            self.remove(&host, fleet);
        }
        for member in members.iter().filter(|m| m.ip != own) {
            let is_known = self.knows(member.ip);
            if !is_known || self.zone_of(member.ip) != member.zone {
                self.add(&member.host, member.ip, member.zone);
            }
        }
        self.is_listed = true;
    }

    /// Whether each peer is told directly.
    pub fn is_direct(&self) -> bool {
        !self.is_tree
    }

    /// Looks anew whether the processes form trees: where many are known, or a peer
    /// speaks so. One that has just started may know few while the store refuses it.
    fn look_for_trees(&mut self, now: Instant) {
        let is_told_so = self.live(now).any(|(_, b)| b.scope != Scope::Direct);
        self.is_tree = is_told_so || self.all.len() > DIRECT_MOST;
    }

    /// Addresses of all peers that are known.
    pub fn addresses(&self) -> Vec<IpAddr> {
        self.all.iter().map(|p| p.ip).collect()
    }

    /// Whether a peer is known.
    pub fn knows(&self, ip: IpAddr) -> bool {
        self.all.binary_search_by_key(&ip, |p| p.ip).is_ok()
    }

    /// Peers that are known.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Changes when something was heard that changes what is told on.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The peer that this process reports to, if any.
    pub fn parent(&self) -> Option<IpAddr> {
        self.parent
    }

    /// Processes of the system besides this one: those that are alive as far as this
    /// process hears, or those that the store tells of if these are more. All of them
    /// share the retry budget, and one that is cut off must not take all of it.
    pub fn processes(&self, now: Instant) -> u32 {
        if !self.is_listed {
            return MAX_PEERS as u32;
        }
        let listed = self.all.iter().filter(|p| p.host.is_some()).count() as u32;
        let heard: u32 = self.live(now).map(|(_, beat)| beat.processes).sum();
        listed.max(heard)
    }

    /// Peers that were heard of late.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&Peer, &Beat)> {
        let bound = self.silent();
        let live = self.all.iter().filter(move |p| p.is_live(now, bound));
        live.filter_map(|p| p.beat.as_ref().map(|b| (p, b)))
    }
}

impl Peer {
    fn new(ip: IpAddr) -> Self {
        Self {
            ip,
            host: None,
            zone: 0,
            heard_at: None,
            beat: None,
            asked_at: None,
            waits_for_answer: false,
            avoided_until: None,
            avoided_for: Duration::ZERO,
        }
    }

    fn scope(&self) -> Option<Scope> {
        self.beat.as_ref().map(|b| b.scope)
    }

    fn tells_load(&self) -> bool {
        self.scope().is_some_and(Scope::has_load)
    }

    fn is_live(&self, now: Instant, bound: Duration) -> bool {
        let silent = self.heard_at.map(|at| now.saturating_duration_since(at));
        silent.is_some_and(|s| s < bound)
    }

    /// Takes what it last said off the upstreams; only its versions are kept. Says
    /// whether there was something.
    fn take_off(&mut self, fleet: &mut Fleet) -> bool {
        let Some(beat) = &mut self.beat else {
            return false;
        };
        let had_some = std::mem::take(&mut beat.processes) > 0 || !beat.loads.is_empty();
        for load in std::mem::take(&mut beat.loads) {
            if let Some(upstream) = fleet.get_mut_by_tag(load.upstream) {
                upstream.peer_load.subtract(&load);
            }
        }
        had_some
    }
}
