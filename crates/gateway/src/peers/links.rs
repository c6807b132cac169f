//! Chooses the parent of a process, the recipients of its datagrams and their contents.

use super::message::sum_by_upstream;
use super::{Location, Peer, PeerStatus, Peers, Scope, tree};
use crate::fleet::Fleet;
use quota::lending::Zone;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// First and maximum time for which a possible root that doesn't answer isn't probed; a restart
/// takes one or two seconds.
const ROOT_PROBE_BACKOFF: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(30));
/// Maximum number of processes per other zone that are probed at once for its root.
const MAX_ROOT_PROBES: usize = 8;
/// Interval between hellos to possible parents while this process has no parent.
const HELLO_EVERY: Duration = Duration::from_millis(200);
/// The same while it reports to a peer other than its preferred parent, and interval of hellos to
/// children.
const HELLO_PREFERRED_EVERY: Duration = Duration::from_secs(2);
/// Number of processes that share a rank behind the roots.
const PROCESSES_PER_RANK: usize = 4;
/// Time in which possible parents answer a hello. A process that receives no answer becomes the
/// root of its zone.
const PARENT_SEARCH_TIME: Duration = Duration::from_millis(300);

impl Peers {
    /// Chooses the peer to which this process reports, among the live ones.
    pub fn choose_parent(&mut self, own: Location, fleet: &mut Fleet, now: Instant) {
        self.update_topology(now);
        let zone = self.parent_candidates(own);
        let timeout = self.peer_timeout();
        let is_live = |at: usize| self.all[zone[at]].is_live(now, timeout);
        let parent = match self.is_direct() {
            true => None,
            false => tree::parent(zone.len(), is_live).map(|at| self.all[zone[at]].ip),
        };
        let may_search = !self.is_direct() && parent.is_none() && !zone.is_empty();
        self.parent_search_since = match may_search {
            true => self.parent_search_since.or(Some(now)),
            false => None,
        };
        let is_over = |since: Instant| now.saturating_duration_since(since) >= PARENT_SEARCH_TIME;
        self.is_root = parent.is_none() && self.parent_search_since.is_none_or(is_over);
        self.set_parent(parent, fleet);
    }

    /// Indices of the peers of the own zone to which this process may report, in order of address.
    fn parent_candidates(&self, own: Location) -> Vec<usize> {
        let before = self.all.iter().take_while(|p| p.ip < own.ip).enumerate();
        let zone = before.filter(|(_, p)| p.zone == own.zone);
        zone.map(|(at, _)| at).collect()
    }

    fn set_parent(&mut self, parent: Option<IpAddr>, fleet: &mut Fleet) {
        if self.parent == parent {
            return;
        }
        self.parent = parent;
        self.revision += 1;
        if parent.is_some() {
            // The former parent's load stays until the new parent's first datagram.
            return;
        }
        for peer in &mut self.all {
            if peer.scope() == Some(Scope::Down) {
                peer.remove_load(fleet);
            }
        }
    }

    /// The datagram for each recipient, given the status of this process alone.
    pub fn outgoing(
        &mut self,
        own: Location,
        status: &PeerStatus,
        now: Instant,
    ) -> Vec<(IpAddr, PeerStatus)> {
        let recipients = self.recipients(own, now);
        let outgoing = recipients.into_iter().map(|(ip, scope)| {
            let status = self.compose(status, ip, scope, now);
            (ip, status)
        });
        outgoing.collect()
    }

    fn recipients(&mut self, own: Location, now: Instant) -> Vec<(IpAddr, Scope)> {
        let timeout = self.peer_timeout();
        let is_direct = self.is_direct();
        let scope = |p: &Peer| {
            let scope = p.scope().filter(|_| p.is_live(now, timeout));
            match scope {
                Some(Scope::Up) => Some(Scope::Down),
                _ if is_direct => Some(Scope::Direct),
                _ if Some(p.ip) == self.parent => Some(Scope::Up),
                Some(Scope::Across) if self.is_root => Some(Scope::Across),
                _ => p.awaits_reply.then_some(Scope::HelloReply),
            }
        };
        let all = self.all.iter();
        let mut out: Vec<_> = all.filter_map(|p| Some((p.ip, scope(p)?))).collect();
        for peer in &mut self.all {
            peer.awaits_reply = false;
        }
        if is_direct {
            return out;
        }
        let mut hellos = self.hellos_to_parents(own, now);
        hellos.extend(self.hellos_to_children(own, now));
        out.extend(hellos.into_iter().map(|ip| (ip, Scope::Hello)));
        if self.is_root {
            let roots = self.probe_roots(own, now);
            out.extend(roots.into_iter().map(|ip| (ip, Scope::Across)));
        }
        out
    }

    /// Peers that are sent a hello: all possible parents while this process has none, else those
    /// that it prefers to its parent.
    fn hellos_to_parents(&mut self, own: Location, now: Instant) -> Vec<IpAddr> {
        let pause = match self.parent {
            Some(_) => HELLO_PREFERRED_EVERY,
            None => HELLO_EVERY,
        };
        let since = self
            .last_hello_at
            .map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < pause) {
            return Vec::new();
        }
        self.last_hello_at = Some(now);
        let zone = self.parent_candidates(own);
        let ip = |at: usize| self.all[zone[at]].ip;
        match self.parent {
            Some(parent) => tree::ancestors(zone.len())
                .map(ip)
                .take_while(|ip| *ip != parent)
                .collect(),
            None => (0..zone.len()).map(ip).collect(),
        }
    }

    /// Usual children of this process that are silent. A process that starts while the store
    /// refuses it knows no peer, and can't serve requests until a peer sends it the configuration.
    fn hellos_to_children(&mut self, own: Location, now: Instant) -> Vec<IpAddr> {
        let since = self.last_child_hello_at;
        let since = since.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < HELLO_PREFERRED_EVERY) {
            return Vec::new();
        }
        self.last_child_hello_at = Some(now);
        let position = self.parent_candidates(own).len();
        let after = self
            .all
            .iter()
            .filter(|p| p.zone == own.zone && p.ip > own.ip);
        let after: Vec<&Peer> = after.collect();
        let timeout = self.peer_timeout();
        let children = tree::children(position).filter_map(|at| after.get(at - position - 1));
        let silent = children.filter(|p| !p.is_live(now, timeout));
        silent.map(|p| p.ip).collect()
    }

    /// Peers that may be the roots of zones without a live known root.
    fn probe_roots(&mut self, own: Location, now: Instant) -> Vec<IpAddr> {
        let timeout = self.peer_timeout();
        let is_root = |p: &&Peer| p.scope() == Some(Scope::Across) && p.is_live(now, timeout);
        let mut known: Vec<u32> = self.all.iter().filter(is_root).map(|p| p.zone).collect();
        known.push(own.zone);
        let mut probed: Vec<u32> = Vec::new();
        let mut out = Vec::new();
        for peer in &mut self.all {
            let count = probed.iter().filter(|zone| **zone == peer.zone).count();
            if known.contains(&peer.zone) || count >= MAX_ROOT_PROBES || !peer.may_be_probed(now) {
                continue;
            }
            probed.push(peer.zone);
            peer.record_probe(now, timeout);
            out.push(peer.ip);
        }
        out
    }

    fn compose(&self, own: &PeerStatus, to: IpAddr, scope: Scope, now: Instant) -> PeerStatus {
        if !scope.has_load() {
            return PeerStatus {
                scope,
                processes: 0,
                loads: Vec::new(),
                changing: Vec::new(),
                placements: Vec::new(),
                crashes: Vec::new(),
                statements: Vec::new(),
                ..own.clone()
            };
        }
        let timeout = self.peer_timeout();
        let is_included = |p: &&Peer| match p.scope() {
            Some(Scope::Up) => scope != Scope::Direct,
            Some(Scope::Down | Scope::Across) => scope == Scope::Down,
            Some(Scope::Direct | Scope::Hello | Scope::HelloReply) | None => false,
        };
        let live = self.all.iter().filter(|p| p.is_live(now, timeout));
        let parts = live.filter(|p| p.ip != to).filter(is_included);
        let parts: Vec<&PeerStatus> = parts.filter_map(|p| p.status.as_ref()).collect();
        let others = parts.iter().flat_map(|s| &s.loads);
        PeerStatus {
            scope,
            processes: own.processes + parts.iter().map(|s| s.processes).sum::<u32>(),
            loads: sum_by_upstream(own.loads.iter().chain(others)),
            ..own.clone()
        }
    }

    /// Addresses of the other hosts of the own zone, live or not, in ascending order.
    pub fn zone_hosts(&self, own: Location) -> Vec<IpAddr> {
        let zone = self.all.iter().filter(|p| p.zone == own.zone);
        zone.map(|p| p.ip).filter(|ip| *ip != own.ip).collect()
    }

    /// All known hosts, live or not.
    pub fn locations(&self) -> Vec<Location> {
        let all = self.all.iter();
        all.map(|p| Location {
            ip: p.ip,
            zone: p.zone,
        })
        .collect()
    }

    /// Addresses of the hosts of each other zone, live or not, in ascending order.
    pub fn hosts_by_zone(&self, own: Location) -> Vec<(u32, Vec<IpAddr>)> {
        let mut out: Vec<(u32, Vec<IpAddr>)> = Vec::new();
        for peer in self
            .all
            .iter()
            .filter(|p| p.zone != own.zone && p.zone != 0)
        {
            match out.iter_mut().find(|(zone, _)| *zone == peer.zone) {
                Some((_, hosts)) => hosts.push(peer.ip),
                None => out.push((peer.zone, vec![peer.ip])),
            }
        }
        out
    }

    /// The zone of a host; 0 if it is unknown.
    pub fn zone_of(&self, ip: IpAddr) -> u32 {
        let at = self.all.binary_search_by_key(&ip, |p| p.ip);
        at.map_or(0, |at| self.all[at].zone)
    }

    /// The number of hosts in the own zone, live or not, and the own place counted from the
    /// last host.
    pub fn own_zone(&self, own: Location) -> Zone {
        let hosts = self.zone_hosts(own);
        let place = hosts.iter().filter(|ip| **ip > own.ip).count();
        Zone {
            hosts: hosts.len() as u32 + 1,
            place: place as u32,
        }
    }

    /// The place of a process in its zone, counting live and silent processes.
    pub fn place_in_zone(&self, own: Location) -> u32 {
        self.parent_candidates(own).len() as u32
    }

    /// The rank of a process among those that may act for all, 0 for the first. In trees, a process
    /// that isn't a root has rank 2 or more. These ranks are spread, so that few processes act at
    /// once if those before them don't.
    pub fn rank(&self, own: Location, now: Instant) -> u32 {
        if !self.is_direct() && !self.is_root {
            let places = (self.all.len() / PROCESSES_PER_RANK).max(1) as u64;
            let text = own.ip.to_string();
            let place = xxhash_rust::xxh3::xxh3_64(text.as_bytes()) % places;
            return 2 + place as u32;
        }
        let before = self.live(now).filter(|(peer, _)| peer.ip < own.ip);
        let first = before.filter(|(_, s)| matches!(s.scope, Scope::Direct | Scope::Across));
        first.count() as u32
    }
}

impl Peer {
    fn may_be_probed(&self, now: Instant) -> bool {
        self.backoff_until.is_none_or(|until| now >= until)
    }

    /// Records a probe whether it is the root of its zone. If it doesn't answer within `timeout`,
    /// it isn't probed again until the backoff has passed.
    fn record_probe(&mut self, now: Instant, timeout: Duration) {
        let since = *self.root_probe_since.get_or_insert(now);
        if now.saturating_duration_since(since) < timeout {
            return;
        }
        let (min, max) = ROOT_PROBE_BACKOFF;
        self.backoff = (self.backoff * 2).clamp(min, max);
        self.backoff_until = Some(now + self.backoff);
        self.root_probe_since = None;
    }
}
