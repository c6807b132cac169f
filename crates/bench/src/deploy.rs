//! The two sample deployments and their loopback addresses.

use conf::Doc;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;

/// Address prefixes used in the sample documents.
const SAMPLE_PREFIXES: [&str; 2] = ["127.11.", "127.12."];
/// Port on which entries and agents listen.
const MAIN_PORT: u16 = 7000;
/// Port for health and metrics.
const ADMIN_PORT: u16 = 7001;
/// Port on which agents listen behind a relay.
const RELAYED_PORT: u16 = 7002;
/// Port of upstreams.
const UPSTREAM_PORT: u16 = 8000;
/// Port that is bound to mark a subnet as in use.
const LOCK_PORT: u16 = 6999;
/// Second octets of the loopback subnets that tests may reserve.
// Lower ones are used by the demo, the soak, and tests with fixed subnets of 127.0.0.0/8.
const RESERVABLE_SUBNETS: RangeInclusive<u8> = 128..=220;
/// Port of the platform services.
const PLATFORM_PORT: u16 = 7100;

/// A sample deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// De Sleutelbos, be-vlaanderen.
    Sleutelbos,
    /// Blue Mahoe, kingston.
    BlueMahoe,
}

/// All deployments.
pub const ALL: [Deployment; 2] = [Deployment::Sleutelbos, Deployment::BlueMahoe];

impl Deployment {
    /// Finds a deployment by its name on the command line.
    pub fn named(name: &str) -> Option<Self> {
        ALL.into_iter().find(|d| d.name() == name)
    }

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sleutelbos => "sleutelbos",
            Self::BlueMahoe => "blue-mahoe",
        }
    }

    /// Second octet of the default loopback subnet.
    pub fn subnet(self) -> u8 {
        match self {
            Self::Sleutelbos => 11,
            Self::BlueMahoe => 12,
        }
    }

    /// Availability zones with an entry, one entry each.
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

    /// Texts of the documents with addresses in a subnet and at most `workers` upstreams each:
    /// the engine service first, then the plain service.
    pub fn documents(self, subnet: u8, workers: usize) -> [String; 2] {
        let own = format!("127.{subnet}.");
        let moved = |t: &str| {
            SAMPLE_PREFIXES
                .iter()
                .fold(t.to_owned(), |t, s| t.replace(s, &own))
        };
        self.texts().map(|t| first_upstreams(&moved(t), workers))
    }

    /// The parsed documents; see [`Self::documents`].
    pub fn docs(self, subnet: u8, workers: usize) -> [Doc; 2] {
        let parse =
            |t: String| Doc::parse(&t).expect("sample documents are valid; a test parses them");
        self.documents(subnet, workers).map(parse)
    }
}

fn addr(subnet: u8, part: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, subnet, part, number)), port)
}

/// Address of the entry with an index, counted from 0.
pub fn entry_addr(subnet: u8, number: usize) -> SocketAddr {
    addr(subnet, 1, number as u8 + 1, MAIN_PORT)
}

/// Address of the table service.
pub fn table_addr(subnet: u8) -> SocketAddr {
    addr(subnet, 2, 1, PLATFORM_PORT)
}

/// Address of the object store.
pub fn objects_addr(subnet: u8) -> SocketAddr {
    addr(subnet, 2, 2, PLATFORM_PORT)
}

/// Address of the host list.
pub fn hosts_addr(subnet: u8) -> SocketAddr {
    addr(subnet, 2, 3, PLATFORM_PORT)
}

/// Admin address of the process that listens on an address.
pub fn admin_addr(mut main: SocketAddr) -> SocketAddr {
    main.set_port(ADMIN_PORT);
    main
}

/// Address on which an agent listens if its own address belongs to a relay.
pub fn relayed_agent_addr(mut agent: SocketAddr) -> SocketAddr {
    agent.set_port(RELAYED_PORT);
    agent
}

/// Address of the upstream of the agent at an address.
pub fn upstream_addr(mut agent: SocketAddr) -> SocketAddr {
    agent.set_port(UPSTREAM_PORT);
    agent
}

/// Keeps only the first upstreams of a sample document, in which `upstreams` is the last field
/// and has one entry per line.
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

/// Reserves a loopback subnet that no other run uses, for as long as the returned listener lives.
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
        "all loopback subnets for tests are in use",
    ))
}
