//! Exchanges load and versions with peers in datagrams.

use crate::StartError;
use crate::crashes;
use crate::monotonic;
use crate::peers::{Load, PeerStatus, Scope, catch_up, changes};
use crate::state::{Gateway, RegistryState};
use crate::statements;
use net::server::bind;
use net::{HeadLimits, Protocol, Server, Stop};
use observe::{Event, emit};
use platform::Position;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Minimum interval between two datagrams to one peer. Until a peer knows the current load it may
/// send an upstream too much: about two prompts of 10 ms in this time.
const SEND_EVERY: Duration = Duration::from_millis(10);
/// Interval added for each peer in a full mesh, so that a process sends and receives at most about
/// 250 datagrams per second.
const SEND_EVERY_PER_PEER: Duration = Duration::from_millis(4);
/// Minimum interval between two datagrams over a link of the tree. A change waits half of it on
/// average at each of up to seven hops. With 103 processes choosing among the same engines,
/// estimates explain 0.55 of the variance of prefill times in a burst with this interval, and none
/// with 25 to 40 ms.
const TREE_SEND_EVERY: Duration = Duration::from_millis(10);
/// Bytes per second over a link of the tree, so that the load of 600 upstreams takes at most a
/// tenth of a link of 10 Mbit/s. Larger datagrams are sent less often.
const TREE_BYTES_PER_S: f64 = 80_000.0;
/// Maximum number of hops between two processes: up and down three levels, and between roots.
const MAX_TREE_HOPS: u32 = 7;
/// Number of datagrams that contain a placement, as datagrams may be lost.
const PLACEMENT_SENDS: u32 = 4;
/// Maximum interval between two datagrams, so that a silent peer can be considered gone.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum size of a datagram: 12 bytes for each of more than a thousand upstreams.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Maximum number of upstreams whose load is in one datagram.
const MAX_LOADS: usize = 1200;
/// Maximum number of senders of unreadable datagrams that are tracked and logged.
const MAX_UNREADABLE_SENDERS: usize = 1024;
/// Maximum size of a request head, and idle timeout, of a peer's connection.
const MAX_HEAD_BYTES: usize = 8 << 10;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts the exchange of datagrams and the HTTP server for peers.
pub fn start(gateway: &Arc<Gateway>) -> Result<Stop, StartError> {
    let host = gateway.host();
    let addr = SocketAddr::new(host.ip, host.peer_port);
    let bind_error = |e| StartError::Bind(addr, e);
    let listener = bind(addr).map_err(bind_error)?;
    let socket = std::net::UdpSocket::bind(addr).map_err(bind_error)?;
    socket.set_nonblocking(true).map_err(bind_error)?;
    let socket = Arc::new(UdpSocket::from_std(socket).map_err(bind_error)?);
    let stop = Stop::default();
    let server = Server {
        head: HeadLimits::new(IDLE_TIMEOUT, MAX_HEAD_BYTES),
        protocol: Protocol::Http1,
        drain: Stop::default(),
        stop: stop.clone(),
    };
    let serving = gateway.clone();
    tokio::spawn(server.run(listener, move |req| {
        let gateway = serving.clone();
        async move { catch_up::handle_request(&gateway, req).await }
    }));
    tokio::spawn(receive(gateway.clone(), socket.clone()));
    tokio::spawn(send_updates(gateway.clone(), socket));
    tokio::spawn(catch_up::fetch_updates(gateway.clone()));
    tokio::spawn(catch_up::fetch_durations(gateway.clone()));
    tokio::spawn(catch_up::fetch_all_durations(gateway.clone()));
    Ok(stop)
}

/// Senders whose datagrams can't be decoded, such as processes of another version. Each is logged
/// once, as they send up to 100 datagrams per second.
#[derive(Debug, Default)]
pub struct UnreadableSenders {
    /// Sorted.
    senders: Vec<IpAddr>,
}

impl UnreadableSenders {
    /// Records that a sender's datagram couldn't be decoded; returns whether to log it.
    pub fn record_failure(&mut self, sender: IpAddr) -> bool {
        let Err(at) = self.senders.binary_search(&sender) else {
            return false;
        };
        let has_room = self.senders.len() < MAX_UNREADABLE_SENDERS;
        if has_room {
            self.senders.insert(at, sender);
        }
        has_room
    }

    /// Records that a sender's datagram was decoded, so that later failures are logged again.
    pub fn record_success(&mut self, sender: IpAddr) {
        if let Ok(at) = self.senders.binary_search(&sender) {
            self.senders.remove(at);
        }
    }
}

/// Receives datagrams until the process ends.
async fn receive(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut unreadable = UnreadableSenders::default();
    loop {
        // An error here means that an earlier datagram was sent to a closed port.
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(status) = wire::decode::<PeerStatus>(&buf[..len]) else {
            if unreadable.record_failure(from.ip()) {
                emit(&Event::Undecodable {
                    what: "datagram of a peer",
                    why: format!("{len} bytes from {from}; logged once per peer"),
                });
            }
            continue;
        };
        unreadable.record_success(from.ip());
        let now = monotonic::now();
        crashes::receive(&gateway, &status, now);
        statements::receive(&gateway, &status.statements, now);
        gateway.store_era.raise(status.era);
        if status.registry > gateway.registry().position || status.config > gateway.config_version()
        {
            gateway.catch_up.notify_one();
        }
        let read = now
            .checked_sub(Duration::from_millis(status.registry_ms.into()))
            .map(|read_at| RegistryState {
                position: status.registry,
                read_at,
                store_ms: status.registry_at_ms,
                view: status.view,
            });
        let mut peers = gateway.peers();
        if peers.receive(from.ip(), status, &mut gateway.fleet(), now)
            && let Some(read) = read
            // The ages in a datagram are relative to when it was sent.
            && !gateway.may_have_waited(now)
        {
            gateway.confirm_registry(read);
        }
    }
}

/// The last status that was sent.
struct LastSent {
    at: Instant,
    status: PeerStatus,
    revision: u64,
    /// Size of the longest datagram in bytes.
    len: usize,
}

/// Sends this process's status to peers until the process ends.
async fn send_updates(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let start = fastrand::u32(..);
    let mut number = 0;
    let mut last: Option<LastSent> = None;
    loop {
        expire(&gateway);
        let len = last.as_ref().map_or(0, |sent| sent.len);
        let interval = send_interval(&gateway, len);
        tokio::time::sleep(interval).await;
        gateway.tick();
        let mut status = own_status(&gateway, interval * PLACEMENT_SENDS);
        let revision = gateway.peers().revision();
        let is_same = last.as_ref().is_some_and(|sent| {
            let is_same = sent.revision == revision && is_equivalent(&sent.status, &status);
            is_same && monotonic::elapsed(sent.at) < MAX_SEND_INTERVAL
        });
        if is_same {
            continue;
        }
        number += 1;
        status.start = start;
        status.number = number;
        let len = send(&gateway, &socket, &status);
        let at = monotonic::now();
        last = Some(LastSent {
            at,
            status,
            revision,
            len,
        });
    }
}

/// The status of this process alone.
fn own_status(gateway: &Gateway, placements_within: Duration) -> PeerStatus {
    let now = monotonic::now();
    let shareable = gateway.shareable_registry();
    let mut fleet = gateway.fleet();
    let mut loads: Vec<Load> = fleet.iter().filter_map(|(_, u)| u.load()).collect();
    loads.sort_unstable_by_key(|load| load.upstream);
    PeerStatus {
        start: 0,
        number: 0,
        scope: Scope::Direct,
        zone: gateway.location().zone,
        processes: 1,
        config: gateway.config_version(),
        era: gateway.store_era.current(),
        members: gateway.members_position(),
        registry: shareable.map_or(Position::NONE, |r| r.position),
        registry_ms: shareable.map_or(u32::MAX, |r| {
            monotonic::elapsed(r.read_at).as_millis() as u32
        }),
        registry_at_ms: shareable.map_or(0, |r| r.store_ms),
        view: shareable.map_or(0, |r| r.view),
        loads,
        changing: fleet.changing(now),
        placements: fleet.recent_placements(placements_within, now),
        crashes: crashes::pending_reports(gateway, now),
        statements: fleet.advertised_statements(now),
    }
}

/// Whether two statuses of this process are the same for peers. A new age of the registry can wait
/// for the next datagram.
fn is_equivalent(a: &PeerStatus, b: &PeerStatus) -> bool {
    let tags =
        |status: &PeerStatus| -> Vec<u32> { status.changing.iter().map(|c| c.upstream).collect() };
    a.loads == b.loads
        && a.config == b.config
        && a.era == b.era
        && a.registry == b.registry
        && a.placements == b.placements
        && a.statements == b.statements
        && tags(a) == tags(b)
        // Crash reports are sent several times, so they are never considered known.
        && b.crashes.is_empty()
}

/// Sends each peer its datagram; returns the size of the longest one.
fn send(gateway: &Gateway, socket: &UdpSocket, status: &PeerStatus) -> usize {
    let outgoing = gateway
        .peers()
        .outgoing(gateway.location(), status, monotonic::now());
    let port = gateway.host().peer_port;
    let mut longest = 0;
    let mut encoded: Option<(Scope, Vec<u8>)> = None;
    for (ip, mut status) in outgoing {
        truncate_loads(&mut status);
        // In a full mesh all peers receive the same datagram.
        let is_encoded =
            matches!(&encoded, Some((Scope::Direct, _)) if status.scope == Scope::Direct);
        if !is_encoded {
            encoded = Some((status.scope, wire::encode_compact(&status)));
        }
        let Some((_, buf)) = &encoded else { continue };
        longest = longest.max(buf.len());
        // A datagram that can't be sent immediately is treated as lost, as the next one has the
        // complete status.
        let _ = socket.try_send_to(buf, SocketAddr::new(ip, port));
    }
    longest
}

/// Drops the least loaded upstreams if there are too many for one datagram.
fn truncate_loads(status: &mut PeerStatus) {
    if status.loads.len() <= MAX_LOADS {
        return;
    }
    status
        .loads
        .sort_unstable_by_key(|load| std::cmp::Reverse((load.waiting, load.running)));
    status.loads.truncate(MAX_LOADS);
    status.loads.sort_unstable_by_key(|load| load.upstream);
}

/// Interval until the next datagrams, given the size of the longest recent one.
fn send_interval(gateway: &Gateway, len: usize) -> Duration {
    let peers = gateway.peers();
    match peers.is_direct() {
        true => direct_send_interval(peers.len()),
        false => {
            let by_bytes = Duration::from_secs_f64(len as f64 / TREE_BYTES_PER_S);
            by_bytes.clamp(TREE_SEND_EVERY, MAX_SEND_INTERVAL)
        }
    }
}

/// Minimum interval between two datagrams to one peer in a full mesh.
pub fn direct_send_interval(peers: usize) -> Duration {
    SEND_EVERY.max(SEND_EVERY_PER_PEER * peers as u32)
}

/// Time in which a change reaches all live peers: two datagrams per hop, as one may be lost. A full
/// mesh adds `SEND_EVERY` for the transit.
pub fn propagation_time(gateway: &Gateway) -> Duration {
    let peers = gateway.peers();
    match peers.is_direct() {
        true => direct_send_interval(peers.len()) * 2 + SEND_EVERY,
        false => TREE_SEND_EVERY * 2 * MAX_TREE_HOPS,
    }
}

/// Removes the load of silent peers, and chooses the parent.
fn expire(gateway: &Gateway) {
    let now = monotonic::now();
    let own = gateway.location();
    let mut peers = gateway.peers();
    let mut fleet = gateway.fleet();
    peers.expire(&mut fleet, now);
    let before = peers.parent();
    peers.choose_parent(own, &mut fleet, now);
    let (parent, processes) = (peers.parent(), peers.process_count(now));
    let (changed, known) = (peers.take_changes(), peers.len());
    drop((fleet, peers));
    changes::log(&changed, known);
    if parent != before {
        emit(&Event::ReportsTo {
            peer: parent.map(|ip| ip.to_string()),
            before: before.map(|ip| ip.to_string()),
        });
    }
    gateway.set_live_peers(processes);
    gateway.crashes.lock().expire(now);
}
