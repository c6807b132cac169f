//! The other processes of the system (peers).
//!
//! Processes exchange small datagrams with the load that they put on upstreams and the versions of
//! the configuration and the registry that they know. A small number of processes form a full mesh.
//! A larger number form a tree in each availability zone (see [`tree`]) and exchange sums, so that
//! the datagrams per process don't grow with the number of processes. Peers are listed in the
//! store, and a datagram also makes its sender known.

pub mod catch_up;
pub mod changes;
pub mod exchange;
mod links;
pub mod membership;
pub mod message;
pub mod startup_load;
pub mod tree;

pub use message::{
    CrashReport, Load, PeerStatus, Placement, Scope, StageChange, UpstreamStatement,
};

use crate::fleet::Fleet;
use crate::follow::outage::OutageTracker;
use changes::PeerChange;
use platform::Position;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Silence after which a peer counts as gone and its load is removed: three times the longest
/// interval between two datagrams.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of peers for a full mesh. With this number each pair exchanges a datagram every
/// 64 ms, while a tree propagates a change within about 50 ms.
const MAX_DIRECT_PEERS: usize = 16;
/// Maximum number of known peers. Bounds the memory used by unknown senders.
const MAX_PEERS: usize = 4096;
/// Maximum number of hosts that are remembered as removed from the list.
const MAX_UNLISTED: usize = 256;
/// Time without a datagram from any peer after which a process reads the store itself.
const ISOLATED_AFTER: Duration = Duration::from_secs(1);
/// Number of processes, besides the roots, that hold long-polling reads of whole tables at the
/// store. The others receive changes from peers, so the calls per change don't grow with the number
/// of processes. Readers are spread over all zones, so that some reach the store while it refuses
/// others.
const FEED_READERS: usize = 32;

/// Address of a process and its availability zone.
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

/// Hash by which feed readers are chosen, so that they are spread over all zones.
fn address_hash(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => xxhash_rust::xxh3::xxh3_64(&ip.octets()),
        IpAddr::V6(ip) => xxhash_rust::xxh3::xxh3_64(&ip.octets()),
    }
}

/// Hash that identifies an availability zone in datagrams.
pub fn zone_hash(zone: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(zone.as_bytes()) as u32
}

/// A peer and its last status.
#[derive(Debug)]
pub struct Peer {
    /// Address of its host.
    pub ip: IpAddr,
    /// Name of its host, if it is listed in the store.
    host: Option<String>,
    /// Hash of its availability zone; 0 until it is known.
    zone: u32,
    last_seen_at: Option<Instant>,
    status: Option<PeerStatus>,
    /// Time of the first unanswered probe whether it is the root of its zone.
    root_probe_since: Option<Instant>,
    /// Whether it has sent a hello that isn't answered yet.
    awaits_reply: bool,
    backoff_until: Option<Instant>,
    /// Duration of the last backoff after unanswered probes.
    backoff: Duration,
}

/// All known peers, sorted by address.
#[derive(Debug, Default)]
pub struct Peers {
    all: Vec<Peer>,
    /// Changes that haven't been logged.
    changes: Vec<(PeerChange, IpAddr)>,
    /// Hosts whose processes were removed from the list, oldest first.
    unlisted: VecDeque<String>,
    /// The peer to which this process reports.
    parent: Option<IpAddr>,
    /// Start of the search for a parent; `None` if this process has one, uses a full mesh, or has
    /// no candidates.
    parent_search_since: Option<Instant>,
    /// Whether this process exchanges the sums of its zone with the roots of other zones.
    is_root: bool,
    /// Whether the processes form trees, as far as this one knows.
    is_tree: bool,
    /// Time of the last hellos to possible parents.
    last_hello_at: Option<Instant>,
    /// Time of the last hellos to usual children.
    last_child_hello_at: Option<Instant>,
    /// Whether the list of processes has been read from the store or a peer.
    is_membership_known: bool,
    /// Outages of the store, in which processes may start that aren't known.
    store_outage: OutageTracker,
    /// Time at which it was first found that no peer is live; `None` while one is.
    isolated_since: Option<Instant>,
    /// Incremented on each change of what is forwarded to peers.
    revision: u64,
}

impl Peers {
    /// Adds a peer that is listed in the store.
    pub fn add(&mut self, host: &str, ip: IpAddr, zone: u32) {
        self.unlisted.retain(|known| known != host);
        if let Some(peer) = self.find_or_add(ip, PeerChange::Listed) {
            peer.host = Some(host.to_owned());
            peer.zone = zone;
            // A process writes its row when it starts, so it may answer now.
            peer.backoff_until = None;
        }
    }

    /// Records that the list of processes was read from the store.
    pub fn set_membership_known(&mut self, now: Instant) {
        self.is_membership_known = true;
        self.store_outage.record_success(now);
    }

    /// Records whether a call reached the store.
    pub fn record_store_call(&mut self, is_reached: bool, now: Instant) {
        match is_reached {
            true => self.store_outage.record_success(now),
            false => self.store_outage.record_failure(now),
        }
    }

    /// Outages of the store.
    pub fn store_outage(&self) -> &OutageTracker {
        &self.store_outage
    }

    /// Whether the list of processes is known.
    pub fn is_membership_known(&self) -> bool {
        self.is_membership_known
    }

    /// Removes the process of a host that is no longer listed in the store.
    pub fn remove(&mut self, host: &str, fleet: &mut Fleet) {
        if !self.was_unlisted(host) {
            if self.unlisted.len() >= MAX_UNLISTED {
                self.unlisted.pop_front();
            }
            self.unlisted.push_back(host.to_owned());
        }
        let at = self
            .all
            .iter()
            .position(|p| p.host.as_deref() == Some(host));
        if let Some(at) = at {
            let mut peer = self.all.remove(at);
            peer.remove_load(fleet);
            self.changes.push((PeerChange::Unlisted, peer.ip));
            self.revision += 1;
        }
    }

    /// Whether the process of a host was removed from the list, and hasn't been listed since.
    pub fn was_unlisted(&self, host: &str) -> bool {
        self.unlisted.iter().any(|known| known == host)
    }

    fn find_or_add(&mut self, ip: IpAddr, change: PeerChange) -> Option<&mut Peer> {
        let at = match self.all.binary_search_by_key(&ip, |p| p.ip) {
            Ok(at) => at,
            Err(_) if self.all.len() >= MAX_PEERS => return None,
            Err(at) => {
                self.all.insert(at, Peer::new(ip));
                self.changes.push((change, ip));
                at
            }
        };
        Some(&mut self.all[at])
    }

    /// Processes a datagram from an address; returns whether it was new.
    pub fn receive(
        &mut self,
        ip: IpAddr,
        mut status: PeerStatus,
        fleet: &mut Fleet,
        now: Instant,
    ) -> bool {
        let timeout = self.peer_timeout();
        let is_accepted = self.accepts_load(ip, status.scope);
        let Some(peer) = self.find_or_add(ip, PeerChange::Heard) else {
            return false;
        };
        let last = peer.status.as_ref();
        if last.is_some_and(|s| s.start == status.start && s.number >= status.number) {
            return false;
        }
        peer.awaits_reply |= status.scope == Scope::Hello;
        peer.zone = status.zone;
        if !status.scope.has_load() && peer.is_live(now, timeout) && peer.reports_load() {
            // The peer is known to be live, and its last status remains valid.
            return true;
        }
        // A peer may send any value; the bound keeps the sum over all peers from overflowing.
        status.processes = status.processes.min(MAX_PEERS as u32);
        if !is_accepted {
            status.loads.clear();
            status.processes = 0;
        }
        let is_same = last.is_some_and(|s| {
            s.loads == status.loads && s.scope == status.scope && s.registry == status.registry
        });
        peer.remove_load(fleet);
        for load in &status.loads {
            if let Some(upstream) = fleet.get_mut_by_tag(load.upstream) {
                upstream.peer_load.add(load);
            }
        }
        for changing in &status.changing {
            if let Some(upstream) = fleet.get_mut_by_tag(changing.upstream) {
                let left = Duration::from_millis(changing.left_ms.into());
                upstream.set_changing_by_peer(now + left, now);
            }
        }
        fleet.merge_placements(&status.placements, status.scope != Scope::Direct, now);
        peer.last_seen_at = Some(now);
        peer.root_probe_since = None;
        peer.backoff_until = None;
        peer.backoff = Duration::ZERO;
        let is_from_parent = status.scope == Scope::Down && is_accepted;
        peer.status = Some(status);
        self.revision += u64::from(!is_same);
        if is_from_parent {
            self.remove_former_parents_load(ip, fleet);
        }
        true
    }

    /// Whether the load that a peer reports with a scope is counted. The load of each process must
    /// arrive by one path only.
    fn accepts_load(&self, ip: IpAddr, scope: Scope) -> bool {
        match scope {
            Scope::Direct | Scope::Up => true,
            Scope::Down => self.parent == Some(ip),
            Scope::Across => self.is_root || self.is_direct(),
            Scope::Hello | Scope::HelloReply => false,
        }
    }

    /// Removes load of the whole system that was reported by peers other than the parent.
    fn remove_former_parents_load(&mut self, parent: IpAddr, fleet: &mut Fleet) {
        for peer in self.all.iter_mut().filter(|p| p.ip != parent) {
            if matches!(peer.scope(), Some(Scope::Down | Scope::Across)) {
                peer.remove_load(fleet);
            }
        }
    }

    /// Removes the load of silent peers from the upstreams, and forgets silent peers that aren't
    /// listed in the store.
    pub fn expire(&mut self, fleet: &mut Fleet, now: Instant) {
        let timeout = self.peer_timeout();
        let mut gone = 0;
        for peer in &mut self.all {
            if !peer.is_live(now, timeout) {
                gone += u64::from(peer.remove_load(fleet));
            }
        }
        self.revision += gone;
        let has_live_peer = self.live(now).next().is_some();
        self.isolated_since = match has_live_peer {
            true => None,
            false => self.isolated_since.or(Some(now)),
        };
        let changes = &mut self.changes;
        self.all.retain(|p| {
            let is_kept = p.host.is_some() || p.is_live(now, timeout);
            if !is_kept {
                changes.push((PeerChange::Silent, p.ip));
            }
            is_kept
        });
    }

    /// Takes the changes of known peers since the last call.
    pub fn take_changes(&mut self) -> Vec<(PeerChange, IpAddr)> {
        std::mem::take(&mut self.changes)
    }

    /// Silence after which a peer counts as gone. In a full mesh, the interval between datagrams
    /// grows with the number of peers.
    fn peer_timeout(&self) -> Duration {
        match self.is_direct() {
            true => PEER_TIMEOUT.max(exchange::direct_send_interval(self.all.len()) * 4),
            false => PEER_TIMEOUT,
        }
    }

    /// Whether the process on this host holds long-polling reads of whole tables at the store.
    /// Roots always do, as does every process in a full mesh and every process that doesn't know
    /// the list of processes.
    pub fn is_feed_reader(&self, own: IpAddr) -> bool {
        if self.is_direct() || !self.is_membership_known || self.is_root {
            return true;
        }
        let own = address_hash(own);
        let before = self.all.iter().filter(|p| address_hash(p.ip) < own);
        before.take(FEED_READERS).count() < FEED_READERS
    }

    /// Whether no peer has been live for `ISOLATED_AFTER`.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let silence = self
            .isolated_since
            .map(|at| now.saturating_duration_since(at));
        silence.is_some_and(|silence| silence >= ISOLATED_AFTER)
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

    /// Replaces the listed processes by a peer's complete list. It doesn't show whether the store
    /// can be reached.
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
        self.is_membership_known = true;
    }

    /// Whether the processes form a full mesh instead of trees.
    pub fn is_direct(&self) -> bool {
        !self.is_tree
    }

    /// Determines whether the processes form trees: if many are known, or a peer uses a tree. A
    /// process that has just started may know few peers while the store refuses its reads.
    fn update_topology(&mut self, now: Instant) {
        let peer_uses_tree = self.live(now).any(|(_, s)| s.scope != Scope::Direct);
        self.is_tree = peer_uses_tree || self.all.len() > MAX_DIRECT_PEERS;
    }

    /// Addresses of all known peers.
    pub fn addresses(&self) -> Vec<IpAddr> {
        self.all.iter().map(|p| p.ip).collect()
    }

    /// Whether all known peers are live and have read the list of processes up to a position.
    /// Always false outside a full mesh, as only there each peer sends its status.
    pub fn have_read_members(&self, position: Position, now: Instant) -> bool {
        let timeout = self.peer_timeout();
        let has_read = |p: &Peer| {
            let status = p.status.as_ref();
            p.is_live(now, timeout) && status.is_some_and(|s| s.members >= position)
        };
        self.is_direct() && !self.all.is_empty() && self.all.iter().all(has_read)
    }

    /// Whether an address belongs to a known peer.
    pub fn knows(&self, ip: IpAddr) -> bool {
        self.all.binary_search_by_key(&ip, |p| p.ip).is_ok()
    }

    /// Number of known peers.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Number that increases on each change of what is forwarded to peers.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The peer to which this process reports, if any.
    pub fn parent(&self) -> Option<IpAddr> {
        self.parent
    }

    /// Number of other processes: those that are live according to datagrams, or those listed in
    /// the store if these are more. All processes share the retry budget, and one that is cut off
    /// must not use all of it.
    pub fn process_count(&self, now: Instant) -> u32 {
        if !self.is_membership_known {
            return MAX_PEERS as u32;
        }
        let listed = self.all.iter().filter(|p| p.host.is_some()).count() as u32;
        let reported: u32 = self.live(now).map(|(_, status)| status.processes).sum();
        listed.max(reported)
    }

    /// Peers that sent a datagram recently, with their last status.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&Peer, &PeerStatus)> {
        let timeout = self.peer_timeout();
        let live = self.all.iter().filter(move |p| p.is_live(now, timeout));
        live.filter_map(|p| p.status.as_ref().map(|s| (p, s)))
    }
}

impl Peer {
    fn new(ip: IpAddr) -> Self {
        Self {
            ip,
            host: None,
            zone: 0,
            last_seen_at: None,
            status: None,
            root_probe_since: None,
            awaits_reply: false,
            backoff_until: None,
            backoff: Duration::ZERO,
        }
    }

    fn scope(&self) -> Option<Scope> {
        self.status.as_ref().map(|s| s.scope)
    }

    fn reports_load(&self) -> bool {
        self.scope().is_some_and(Scope::has_load)
    }

    fn is_live(&self, now: Instant, timeout: Duration) -> bool {
        let silence = self
            .last_seen_at
            .map(|at| now.saturating_duration_since(at));
        silence.is_some_and(|s| s < timeout)
    }

    /// Removes its last reported load from the upstreams, and keeps the versions of its status.
    /// Returns whether there was any load.
    fn remove_load(&mut self, fleet: &mut Fleet) -> bool {
        let Some(status) = &mut self.status else {
            return false;
        };
        let had_some = std::mem::take(&mut status.processes) > 0 || !status.loads.is_empty();
        for load in std::mem::take(&mut status.loads) {
            if let Some(upstream) = fleet.get_mut_by_tag(load.upstream) {
                upstream.peer_load.subtract(&load);
            }
        }
        had_some
    }
}
