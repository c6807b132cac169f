//! The users' deployments.

use conf::Doc;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;

/// Part of loopback addresses that the sample documents use, as text.
const SAMPLE_PREFIXES: [&str; 2] = ["127.11.", "127.12."];
/// Port on which entries and agents listen.
const MAIN_PORT: u16 = 7000;
/// Port of health and metrics.
const ADMIN_PORT: u16 = 7001;
/// Port on which agents listen behind a relay.
const RELAYED_PORT: u16 = 7002;
/// Port of upstreams.
const UPSTREAM_PORT: u16 = 8000;
/// Port whose listener marks a part of the addresses as used.
const LOCK_PORT: u16 = 6999;
/// Parts of the loopback addresses that tests draw from.
// Below are the demo, the soak, and tests that take fixed parts of 127.0.0.0/8.
const RESERVABLE_SUBNETS: RangeInclusive<u8> = 128..=220;
/// Port of the platform's services.
const PLATFORM_PORT: u16 = 7100;

/// A deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// De Sleutelbos, be-vlaanderen.
    Sleutelbos,
    /// Blue Mahoe, kingston.
    BlueMahoe,
}

/// Both deployments.
pub const ALL: [Deployment; 2] = [Deployment::Sleutelbos, Deployment::BlueMahoe];

impl Deployment {
    /// Finds a deployment by its name on the command line.
    pub fn named(name: &str) -> Option<Self> {
        ALL.into_iter().find(|d| d.name() == name)
    }

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sleutelbos => "sleutelbos",
            Self::BlueMahoe => "blue-mahoe",
        }
    }

    /// Second number of its loopback addresses, if no other is given.
    pub fn subnet(self) -> u8 {
        match self {
            Self::Sleutelbos => 11,
            Self::BlueMahoe => 12,
        }
    }

    /// Availability zones of its entries, one entry each.
    pub fn entry_zones(self) -> &'static [&'static str] {
        match self {
            Self::Sleutelbos => &["gent-zaal-a", "mechelen-zaal", "brussel-noord"],
            Self::BlueMahoe => &["halfway-tree", "harbour-st"],
        }
    }

    fn texts(self) -> [&'static str; 2] {
        match self {
            Self::Sleutelbos => [
                include_str!("../../../samples/sleutelbos/taalmodel-dossier.yaml"),
                include_str!("../../../samples/sleutelbos/ledenportaal.yaml"),
            ],
            Self::BlueMahoe => [
                include_str!("../../../samples/blue-mahoe/blend-llm.yaml"),
                include_str!("../../../samples/blue-mahoe/shop-api.yaml"),
            ],
        }
    }

    /// Its documents' texts on a part of the loopback addresses: the service
    /// with engines first, then the plain one, with at most so many workers each.
    pub fn documents(self, subnet: u8, workers: usize) -> [String; 2] {
        let own = format!("127.{subnet}.");
        let moved = |t: &str| {
            SAMPLE_PREFIXES
                .iter()
                .fold(t.to_owned(), |t, s| t.replace(s, &own))
        };
        self.texts().map(|t| first_upstreams(&moved(t), workers))
    }

    /// Its documents.
    pub fn docs(self, subnet: u8, workers: usize) -> [Doc; 2] {
        let parse = |t: String| Doc::parse(&t).expect("samples are valid; a test reads them");
        self.documents(subnet, workers).map(parse)
    }
}

fn addr(subnet: u8, part: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, subnet, part, number)), port)
}

/// Where the entry of a number (from 0) listens.
pub fn entry_addr(subnet: u8, number: usize) -> SocketAddr {
    addr(subnet, 1, number as u8 + 1, MAIN_PORT)
}

/// Where the table service is.
pub fn table_addr(subnet: u8) -> SocketAddr {
    addr(subnet, 2, 1, PLATFORM_PORT)
}

/// Where the object store is.
pub fn objects_addr(subnet: u8) -> SocketAddr {
    addr(subnet, 2, 2, PLATFORM_PORT)
}

/// Where the host list is.
pub fn hosts_addr(subnet: u8) -> SocketAddr {
    addr(subnet, 2, 3, PLATFORM_PORT)
}

/// The admin address of the process at an address.
pub fn admin_addr(mut main: SocketAddr) -> SocketAddr {
    main.set_port(ADMIN_PORT);
    main
}

/// Where an agent listens whose own address is a relay's.
pub fn relayed_agent_addr(mut agent: SocketAddr) -> SocketAddr {
    agent.set_port(RELAYED_PORT);
    agent
}

/// The upstream behind the agent at an address.
pub fn upstream_addr(mut agent: SocketAddr) -> SocketAddr {
    agent.set_port(UPSTREAM_PORT);
    agent
}

/// Leaves only the first upstreams in a sample's text, where they stand last
/// and one in a line.
fn first_upstreams(text: &str, workers: usize) -> String {
    let Some((head, list)) = text.split_once("upstreams:\n") else {
        return text.to_owned();
    };
    let kept: String = list
        .lines()
        .take(workers)
        .map(|l| format!("{l}\n"))
        .collect();
    format!("{head}upstreams:\n{kept}")
}

/// A part of the loopback addresses that no other run uses, while the lock lives.
pub fn reserve_subnet() -> io::Result<(u8, TcpListener)> {
    let first = fastrand::u8(..);
    for step in 0..=u8::MAX {
        let subnet = RESERVABLE_SUBNETS.start()
            + first.wrapping_add(step) % (RESERVABLE_SUBNETS.end() - RESERVABLE_SUBNETS.start());
        if let Ok(lock) = TcpListener::bind(addr(subnet, 250, 1, LOCK_PORT)) {
            return Ok((subnet, lock));
        }
    }
    Err(io::Error::other(
        "all parts of the loopback addresses are in use",
    ))
}
