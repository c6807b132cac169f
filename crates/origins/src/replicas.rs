//! Replicates the origins of streams to other hosts while hosts stop, fail, restart, join and leave.
//!
//! Each process that has an origin replicates it to the first [`COPIES`] other running hosts in the
//! order of the stream. It checks the copies again whenever a host stops, becomes silent, restarts,
//! joins or leaves. So copies are renewed as long as one of the holders runs, even if the host at
//! which the stream began is gone. Origins that too few other hosts hold when a process ends are
//! returned by [`Replicas::under_replicated`].

use crate::StreamId;
use crate::hosts::{Availability, HostStart, HostStatus, Hosts};
use crate::order::{HostLocation, host_order};
use crate::replication::{COPIES, Replication};
use crate::search::Search;
use crate::table::{Entry, Lookup, OriginRecord, OriginTable};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Which host replicates an origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicatedBy {
    /// This host.
    ThisHost,
    /// The host whose row in the store contains the origin.
    OtherHost,
}

/// Datagrams that are due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DueSends {
    /// Copies to send, by receiver.
    pub copies: Vec<(IpAddr, Vec<(StreamId, OriginRecord)>)>,
    /// Hosts to probe.
    pub probes: Vec<IpAddr>,
}

/// Replication state of this host's origins.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HandOver {
    /// Streams whose origins this host replicates.
    pub streams: usize,
    /// Those of them whose origins too few other running hosts hold.
    pub under_replicated: usize,
    /// Running hosts that hold any of the origins, sorted.
    pub receivers: Vec<IpAddr>,
}

/// Origins that this host knows, and their copies at other hosts.
#[derive(Debug)]
pub struct Replicas {
    own: IpAddr,
    table: OriginTable,
    hosts: Hosts,
    /// All known hosts but this one, sorted by address.
    members: Vec<HostLocation>,
    /// Location of this host, which has a place in the order of each stream.
    location: HostLocation,
    members_revision: u64,
}

impl Replicas {
    /// Creates an empty set for the host at a location.
    pub fn new(location: HostLocation) -> Self {
        Self {
            own: location.ip,
            table: OriginTable::default(),
            hosts: Hosts::default(),
            members: Vec::new(),
            location,
            members_revision: 0,
        }
    }

    /// Sets the other hosts.
    pub fn set_members(&mut self, mut members: Vec<HostLocation>) {
        members.retain(|host| host.ip != self.own);
        members.sort_unstable_by_key(|host| host.ip);
        members.dedup_by_key(|host| host.ip);
        if members != self.members {
            self.members = members;
            self.members_revision += 1;
        }
    }

    /// Records an origin and, if it is known, another process that holds it. Returns whether the
    /// stream was unknown.
    pub fn record(
        &mut self,
        stream: StreamId,
        record: OriginRecord,
        holder: Option<HostStart>,
        replicated_by: ReplicatedBy,
        now: Instant,
    ) -> bool {
        let is_new = self.table.record(stream, record, now);
        let Some(entry) = self.table.entry_mut(stream) else {
            return false;
        };
        if replicated_by == ReplicatedBy::ThisHost {
            let replication = entry.replication.get_or_insert_with(Replication::default);
            if let Some(holder) = holder {
                replication.confirm(holder);
            }
        }
        is_new
    }

    /// Records a datagram from a host.
    pub fn record_heard(&mut self, ip: IpAddr, status: HostStatus, now: Instant) {
        self.hosts.record_heard(ip, status, now);
    }

    /// Records that a process has the origin of a stream.
    pub fn confirm(&mut self, stream: StreamId, holder: HostStart) {
        let entry = self.table.entry_mut(stream);
        if let Some(replication) = entry.and_then(|e| e.replication.as_mut()) {
            replication.confirm(holder);
        }
    }

    /// What is known of a stream.
    pub fn find(&self, stream: StreamId, now: Instant) -> Lookup {
        self.table.find(stream, now)
    }

    /// Makes origins uncertain; see [`OriginTable::distrust`].
    pub fn distrust(&mut self, upstream: u32, since: Instant) {
        self.table.distrust(upstream, since);
    }

    /// Number of streams that this host knows.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether this host knows no stream.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Last status of a host, with the time at which it was received.
    pub fn status(&self, ip: IpAddr) -> Option<(HostStatus, Instant)> {
        self.hosts.status(ip)
    }

    /// Hosts that sent a datagram within the last `time`.
    pub fn heard_within(&self, time: Duration, now: Instant) -> Vec<IpAddr> {
        self.hosts.heard_within(time, now)
    }

    /// Hosts to which copies of one origin are to be sent now.
    pub fn due_copies_of(&mut self, stream: StreamId, now: Instant) -> Vec<IpAddr> {
        let revision = self.revision();
        let Some(entry) = self.table.entry_mut(stream) else {
            return Vec::new();
        };
        let (members, location) = (&self.members, self.location);
        let targets = next_round(entry, members, location, &self.hosts, revision, now);
        for ip in &targets {
            self.hosts.record_request(*ip, now);
        }
        targets
    }

    /// Copies and probes that are to be sent now.
    pub fn due(&mut self, now: Instant) -> DueSends {
        self.table.expire(now);
        let revision = self.revision();
        let (members, location, hosts) = (&self.members, self.location, &self.hosts);
        let mut due = DueSends::default();
        let mut holders: Vec<IpAddr> = Vec::new();
        for entry in self.table.valid_mut(now) {
            let targets = next_round(entry, members, location, hosts, revision, now);
            if let Some(replication) = &entry.replication {
                holders.extend(replication.running_holders(hosts));
            }
            for ip in targets {
                let copy = (entry.stream, entry.record);
                match due.copies.binary_search_by_key(&ip, |(ip, _)| *ip) {
                    Ok(at) => due.copies[at].1.push(copy),
                    Err(at) => due.copies.insert(at, (ip, vec![copy])),
                }
            }
        }
        if self.table.is_empty() {
            return due;
        }
        holders.sort_unstable();
        holders.dedup();
        for (ip, _) in &due.copies {
            self.hosts.record_request(*ip, now);
        }
        due.probes = self.hosts.due_probes(&holders, now);
        for ip in &due.probes {
            self.hosts.record_request(*ip, now);
        }
        due
    }

    /// Whether any origin has too few copies.
    pub fn has_missing_copies(&self, now: Instant) -> bool {
        let revision = self.revision();
        let mut replications = self.table.valid(now).filter_map(|e| e.replication.as_ref());
        replications.any(|replication| !replication.is_complete_at(revision))
    }

    /// Origins that this host replicates and that too few other running hosts hold.
    pub fn under_replicated(&self, now: Instant) -> Vec<(StreamId, OriginRecord)> {
        let under_replicated = self
            .table
            .valid(now)
            .filter(|e| self.is_under_replicated(e));
        under_replicated.map(|e| (e.stream, e.record)).collect()
    }

    /// Replication state of the origins when this process ends.
    pub fn hand_over(&self, now: Instant) -> HandOver {
        let mut hand_over = HandOver::default();
        for entry in self.table.valid(now) {
            let Some(replication) = &entry.replication else {
                continue;
            };
            hand_over.streams += 1;
            hand_over.under_replicated += usize::from(self.is_under_replicated(entry));
            hand_over
                .receivers
                .extend(replication.running_holders(&self.hosts));
        }
        hand_over.receivers.sort_unstable();
        hand_over.receivers.dedup();
        hand_over
    }

    /// Starts a search for a stream. Hosts that are stopping or silent are asked last.
    pub fn search(&self, stream: StreamId) -> Search {
        Search::new(order_of(stream, &self.members, self.location, &self.hosts))
    }

    fn is_under_replicated(&self, entry: &Entry) -> bool {
        let replication = entry.replication.as_ref();
        replication.is_some_and(|r| r.running_holders(&self.hosts).count() < COPIES)
    }

    fn revision(&self) -> u64 {
        self.hosts.revision() + self.members_revision
    }
}

/// Hosts to which an origin is to be copied now.
fn next_round(
    entry: &mut Entry,
    members: &[HostLocation],
    location: HostLocation,
    hosts: &Hosts,
    revision: u64,
    now: Instant,
) -> Vec<IpAddr> {
    let stream = entry.stream;
    let Some(replication) = &mut entry.replication else {
        return Vec::new();
    };
    if !replication.is_due(revision, now) {
        return Vec::new();
    }
    let mut order = order_of(stream, members, location, hosts);
    order.retain(|ip| hosts.availability(*ip) != Availability::Silent);
    replication.next_round(&order, hosts, revision, now)
}

/// The other hosts by availability, then in the order of the stream.
fn order_of(
    stream: StreamId,
    members: &[HostLocation],
    own: HostLocation,
    hosts: &Hosts,
) -> Vec<IpAddr> {
    let mut all = members.to_vec();
    all.push(own);
    let mut order = host_order(stream, &all);
    order.retain(|ip| *ip != own.ip);
    // The sort is stable, so hosts of the same availability stay in the order of the stream.
    order.sort_by_key(|ip| hosts.availability(*ip));
    order
}
