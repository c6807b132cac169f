//! Order in which hosts keep the origin of a stream.

use crate::StreamId;
use std::net::IpAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A host and its availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLocation {
    /// Address of the host.
    pub ip: IpAddr,
    /// Hash of its availability zone.
    pub zone: u32,
}

/// Orders hosts by rendezvous hashing of a stream, each time the best host of each zone before the
/// second of any, so that copies survive the loss of a zone. Hosts that know the same members
/// compute the same order.
pub fn host_order(stream: StreamId, hosts: &[HostLocation]) -> Vec<IpAddr> {
    let mut ranked: Vec<(u64, HostLocation)> = hosts
        .iter()
        .map(|host| (score(stream, host.ip), *host))
        .collect();
    ranked.sort_unstable_by_key(|(score, host)| (std::cmp::Reverse(*score), host.ip));
    // Number of hosts of each zone that are ranked so far, sorted by zone.
    let mut zones: Vec<(u32, usize)> = Vec::new();
    let mut ordered: Vec<(usize, IpAddr)> = Vec::with_capacity(ranked.len());
    for (_, host) in ranked {
        let at = match zones.binary_search_by_key(&host.zone, |(zone, _)| *zone) {
            Ok(at) => at,
            Err(at) => {
                zones.insert(at, (host.zone, 0));
                at
            }
        };
        ordered.push((zones[at].1, host.ip));
        zones[at].1 += 1;
    }
    // Stable, so hosts with the same place in their zones stay ranked.
    ordered.sort_by_key(|(place, _)| *place);
    ordered.into_iter().map(|(_, ip)| ip).collect()
}

fn score(stream: StreamId, ip: IpAddr) -> u64 {
    let StreamId(hash) = stream;
    let seed = (hash >> 64) as u64 ^ hash as u64;
    match ip {
        IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), seed),
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), seed),
    }
}
