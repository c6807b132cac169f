//! Replicates the origins of streams to other hosts while hosts stop, fail, restart, join and leave.
//!
//! Each process that has an origin replicates it to the first [`COPIES`] other running hosts in the
//! order of the stream. It checks the copies again whenever a host stops, becomes silent, restarts,
//! joins or leaves. So copies are renewed as long as one of the holders runs, even if the host at
//! which the stream began is gone. Origins that too few other hosts hold when a process ends are
//! returned by [`Replicas::under_replicated`].

use crate::StreamId;
use crate::checkpoint::{CHECKPOINT_WRITERS, CheckpointWriter};
use crate::hosts::{Availability, HostStart, HostStatus, Hosts};
use crate::order::{HostLocation, host_order};
use crate::replication::{COPIES, Replication};
use crate::search::Search;
use crate::table::{Entry, Lookup, MAX_RECORDS, OriginRecord, OriginTable};
use std::net::IpAddr;
use std::time::Instant;

/// Number of hosts in the order of a stream that are cached. The whole order is computed again only
/// if too few of them are running.
const FIRST_HOSTS: usize = 12;
/// Maximum number of orders that are computed, and of origins that are checked, per call. They
/// bound the time for which the origins are locked in large fleets.
const MAX_ORDERS_PER_CALL: usize = 64;
const MAX_CHECKS_PER_CALL: usize = 1024;
/// Key from which the order of the checkpoint writers is computed.
const WRITER_ORDER_KEY: StreamId = StreamId(0);
/// Table size from which on origins of other hosts aren't recorded, so that they don't evict this
/// host's own.
const MAX_FOREIGN_RECORDS: usize = MAX_RECORDS / 2;

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
    /// Origin that was checked last.
    last_checked: Option<StreamId>,
    /// All hosts in the order in which they are chosen as checkpoint writers.
    writer_order: Vec<IpAddr>,
    /// Revision of the members from which `writer_order` was computed.
    writer_order_revision: Option<u64>,
}

/// Numbers of orders and checks left for a call.
#[derive(Debug)]
struct Allowance {
    orders: usize,
    checks: usize,
}

/// Inputs to the choice of the hosts that an origin is copied to.
#[derive(Debug, Clone, Copy)]
struct Topology<'a> {
    members: &'a [HostLocation],
    members_revision: u64,
    location: HostLocation,
    hosts: &'a Hosts,
    revision: u64,
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
            last_checked: None,
            writer_order: Vec::new(),
            writer_order_revision: None,
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
        let is_foreign = replicated_by == ReplicatedBy::OtherHost;
        if is_foreign && self.table.len() >= MAX_FOREIGN_RECORDS {
            return false;
        }
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

    /// Hosts that have sent a datagram and aren't silent.
    pub fn answering_hosts(&self) -> Vec<IpAddr> {
        self.hosts.answering()
    }

    /// Hosts to which copies of one origin are to be sent now.
    pub fn due_copies_of(&mut self, stream: StreamId, now: Instant) -> Vec<IpAddr> {
        let revision = self.revision();
        let Some(entry) = self.table.entry_mut(stream) else {
            return Vec::new();
        };
        let topology = Topology {
            members: &self.members,
            members_revision: self.members_revision,
            location: self.location,
            hosts: &self.hosts,
            revision,
        };
        let mut allowance = Allowance::default();
        let targets = next_round(entry, topology, &mut allowance, now);
        for ip in &targets {
            self.hosts.record_request(*ip, now);
        }
        targets
    }

    /// Copies and probes that are to be sent now.
    pub fn due(&mut self, now: Instant) -> DueSends {
        self.table.expire(now);
        let revision = self.revision();
        let hosts = &self.hosts;
        let topology = Topology {
            members: &self.members,
            members_revision: self.members_revision,
            location: self.location,
            hosts,
            revision,
        };
        let mut allowance = Allowance::default();
        let mut due = DueSends::default();
        let mut holders: Vec<IpAddr> = Vec::new();
        // Continues after the origin that was checked last, so that all are checked in turn.
        let last_checked = self.last_checked;
        let entries = self.table.entries_mut();
        let first = entries.partition_point(|e| Some(e.stream) <= last_checked);
        let (before, after) = entries.split_at_mut(first);
        let in_turn = after.iter_mut().chain(before);
        for entry in in_turn.filter(|e| e.is_valid(now)) {
            let checks = allowance.checks;
            let targets = next_round(entry, topology, &mut allowance, now);
            if allowance.checks < checks {
                self.last_checked = Some(entry.stream);
            }
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

    /// Origins that this host replicates and that too few other running hosts hold, at most `max`.
    /// If there are more, those in whose order this host comes first are preferred, so that hosts
    /// that hold the same origins return different ones.
    pub fn under_replicated(&self, max: usize, now: Instant) -> Vec<(StreamId, OriginRecord)> {
        let under_replicated = self
            .table
            .valid(now)
            .filter(|e| self.is_under_replicated(e));
        let mut all: Vec<(StreamId, OriginRecord)> =
            under_replicated.map(|e| (e.stream, e.record)).collect();
        if all.len() > max {
            let rank = |stream| {
                let others = order_of(stream, &self.members, self.location);
                others.iter().take_while(|ip| **ip != self.own).count()
            };
            all.sort_by_cached_key(|(stream, _)| rank(*stream));
            all.truncate(max);
        }
        all
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

    /// Hosts to which open streams are reported. `is_stopping` is true while this process stops.
    /// Stopping hosts are chosen last. Hosts that know the same members and can reach the same ones
    /// choose the same writers.
    pub fn checkpoint_writers(&mut self, is_stopping: bool) -> Vec<CheckpointWriter> {
        if self.writer_order_revision != Some(self.members_revision) {
            self.writer_order = order_of(WRITER_ORDER_KEY, &self.members, self.location);
            self.writer_order_revision = Some(self.members_revision);
        }
        let availability = |ip: &IpAddr| match (*ip == self.own, is_stopping) {
            (true, false) => Availability::Running,
            (true, true) => Availability::Stopping,
            (false, _) => self.hosts.availability(*ip),
        };
        let of = |wanted: Availability| {
            let order = self.writer_order.iter();
            order.filter(move |ip| availability(ip) == wanted)
        };
        let answering = of(Availability::Running).chain(of(Availability::Stopping));
        let writers = answering
            .take(CHECKPOINT_WRITERS)
            .map(|ip| CheckpointWriter {
                ip: *ip,
                start: self.hosts.status(*ip).map(|(status, _)| status.start),
            });
        writers.collect()
    }

    /// Place of this host among the checkpoint writers, if it is one.
    pub fn checkpoint_place(&mut self, is_stopping: bool) -> Option<usize> {
        let writers = self.checkpoint_writers(is_stopping);
        writers.iter().position(|writer| writer.ip == self.own)
    }

    /// Records that a datagram that requires an answer was sent to a host.
    pub fn record_request(&mut self, ip: IpAddr, now: Instant) {
        self.hosts.record_request(ip, now);
    }

    /// Starts a search for a stream. Hosts that are stopping or silent are asked last.
    pub fn search(&self, stream: StreamId) -> Search {
        let mut order = order_of(stream, &self.members, self.location);
        order.retain(|ip| *ip != self.own);
        sort_by_availability(&mut order, &self.hosts);
        Search::new(order)
    }

    fn is_under_replicated(&self, entry: &Entry) -> bool {
        let replication = entry.replication.as_ref();
        replication.is_some_and(|r| r.running_holders(&self.hosts).count() < COPIES)
    }

    fn revision(&self) -> u64 {
        self.hosts.revision() + self.members_revision
    }
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            orders: MAX_ORDERS_PER_CALL,
            checks: MAX_CHECKS_PER_CALL,
        }
    }
}

/// Hosts to which an origin is to be copied now.
fn next_round(
    entry: &mut Entry,
    topology: Topology<'_>,
    allowance: &mut Allowance,
    now: Instant,
) -> Vec<IpAddr> {
    let stream = entry.stream;
    let Some(replication) = &mut entry.replication else {
        return Vec::new();
    };
    if !replication.is_due(topology.revision, now) || allowance.checks == 0 {
        return Vec::new();
    }
    allowance.checks -= 1;
    let compute_order = || {
        let mut order = order_of(stream, topology.members, topology.location);
        order.retain(|ip| *ip != topology.location.ip);
        order
    };
    if replication.first_hosts(topology.members_revision).is_none() {
        if allowance.orders == 0 {
            return Vec::new();
        }
        allowance.orders -= 1;
        let mut order = compute_order();
        order.truncate(FIRST_HOSTS);
        replication.set_first_hosts(order, topology.members_revision);
    }
    let is_answering = |ip: &IpAddr| topology.hosts.availability(*ip) != Availability::Silent;
    let first_hosts = replication.first_hosts(topology.members_revision);
    let mut order = first_hosts.unwrap_or_default().to_vec();
    let has_more = order.len() < topology.members.len();
    order.retain(is_answering);
    let running = |ip: &&IpAddr| topology.hosts.availability(**ip) == Availability::Running;
    if has_more && order.iter().filter(running).count() < COPIES && allowance.orders > 0 {
        allowance.orders -= 1;
        order = compute_order();
        order.retain(is_answering);
    }
    sort_by_availability(&mut order, topology.hosts);
    replication.next_round(&order, topology.hosts, topology.revision, now)
}

/// All hosts in the order of a stream.
fn order_of(stream: StreamId, members: &[HostLocation], own: HostLocation) -> Vec<IpAddr> {
    let mut all = members.to_vec();
    all.push(own);
    host_order(stream, &all)
}

/// Sorts hosts by availability. Those of the same availability stay in their order.
fn sort_by_availability(order: &mut [IpAddr], hosts: &Hosts) {
    order.sort_by_cached_key(|ip| hosts.availability(*ip));
}
