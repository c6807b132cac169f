//! Tests the choice of feed readers, the hosts that keep reads of whole tables open, without a
//! network. Guards against a number of store calls that grows with the fleet: a change costs as
//! many calls at 1,260 hosts as at 33.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use gateway::fleet::Fleet;
use gateway::peers::{Location, Member, Peers, zone_hash};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

const ZONES: u16 = 6;
/// Number of feed readers of a large fleet, besides the root of each zone.
const FEED_READERS: usize = 32;

fn ip(n: u16) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(
        10,
        (n % ZONES) as u8,
        (n >> 8) as u8,
        n as u8,
    ))
}

fn zone(n: u16) -> u32 {
    zone_hash(&format!("zone-{}", n % ZONES))
}

fn members(hosts: u16) -> Vec<Member> {
    let member = |n| Member {
        host: format!("edge-{n}"),
        ip: ip(n),
        zone: zone(n),
    };
    (0..hosts).map(member).collect()
}

/// Returns the peers of a host that knows a fleet of `hosts`.
fn peers(own: u16, hosts: u16) -> Peers {
    let (mut peers, mut fleet) = (Peers::default(), Fleet::default());
    peers.set_members(ip(own), &members(hosts), &mut fleet);
    let location = Location {
        ip: ip(own),
        zone: zone(own),
    };
    peers.choose_parent(location, &mut fleet, Instant::now());
    peers
}

fn feed_readers(hosts: u16) -> Vec<u16> {
    let is_reader = |n: &u16| peers(*n, hosts).is_feed_reader(ip(*n));
    (0..hosts).filter(is_reader).collect()
}

#[test]
fn the_number_of_feed_readers_does_not_grow_with_the_fleet() {
    for hosts in [100, 630, 1260] {
        let readers = feed_readers(hosts);
        let most = FEED_READERS + usize::from(ZONES);
        let count = readers.len();
        assert!(
            (FEED_READERS..=most).contains(&count),
            "{count} readers of {hosts} hosts"
        );
        for zone in 0..ZONES {
            let in_zone = readers.iter().filter(|n| **n % ZONES == zone).count();
            assert!(in_zone >= 1, "no reader in zone {zone} of {hosts} hosts");
        }
    }
}

#[test]
fn all_hosts_of_a_small_fleet_are_feed_readers() {
    assert_eq!(feed_readers(16).len(), 16);
    assert_eq!(feed_readers(32).len(), 32);
}

#[test]
fn a_host_without_a_complete_member_list_is_a_feed_reader() {
    let mut peers = Peers::default();
    for n in 0..600 {
        peers.add(&format!("edge-{n}"), ip(n), zone(n));
    }
    assert!((0..600).all(|n| peers.is_feed_reader(ip(n))));
}

#[test]
fn a_host_without_live_peers_is_isolated_after_a_second() {
    let mut peers = peers(0, 630);
    let now = Instant::now();
    peers.expire(&mut Fleet::default(), now);
    assert!(!peers.is_isolated(now));
    let later = now + Duration::from_secs(1);
    peers.expire(&mut Fleet::default(), later);
    assert!(peers.is_isolated(later));
}

#[test]
fn members_absent_from_a_peers_list_are_removed() {
    let mut peers = peers(0, 100);
    assert_eq!(peers.members().len(), 99);
    let mut fewer = members(100);
    fewer.retain(|m| m.host != "edge-7");
    peers.set_members(ip(0), &fewer, &mut Fleet::default());
    assert_eq!(peers.members().len(), 98);
    assert!(!peers.knows(ip(7)));
}
