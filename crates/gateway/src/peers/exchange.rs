//! Tells peers of this process's load, and hears of theirs.

use crate::StartError;
use crate::crashes;
use crate::peers::{Load, PeerStatus, Scope, catch_up};
use crate::state::{Gateway, Registry};
use net::server::bind;
use net::{HeadLimits, Protocol, Server, Stop};
use observe::{Event, emit};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Shortest time between two datagrams to one peer. What a peer doesn't know yet
/// is what it may send too much: some two prompts of 10 ms in this time.
const SEND_EVERY: Duration = Duration::from_millis(10);
/// Time added for each peer that is told directly, so that a process sends and takes
/// at most some 250 datagrams a second.
const SEND_EVERY_PER_PEER: Duration = Duration::from_millis(4);
/// Shortest time between two datagrams over a link of the tree. News waits half of it
/// at each of up to seven steps. Where 103 processes choose among the same engines,
/// estimates explain 0.55 of the variance of reading times in a burst with this and none
/// with 25 to 40 ms, and 0.03 to 0.09 more of what is owed is earned.
const TREE_SEND_EVERY: Duration = Duration::from_millis(10);
/// Bytes a second over a link of the tree, so that what is told of 600 upstreams doesn't
/// take more than a tenth of a link of 10 Mbit/s: larger datagrams are sent less often.
const TREE_BYTES_PER_S: f64 = 80_000.0;
/// Steps from any process to any other: up and down three levels, and across.
const MAX_TREE_HOPS: u32 = 7;
/// Datagrams that tell of a placement, as one may be lost.
const PLACEMENT_SENDS: u32 = 4;
/// Longest time between two datagrams, so that a silent peer is a lost one.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Largest datagram: 12 bytes for each of some thousand upstreams.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Most upstreams whose load one datagram tells of.
const MAX_LOADS: usize = 1200;
/// Most senders of unreadable datagrams that are logged.
const MAX_UNREADABLE_SENDERS: usize = 1024;
/// Largest head, and longest idle time, of a peer's connection.
const MAX_HEAD_BYTES: usize = 8 << 10;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts to tell and to hear, and answers peers' questions.
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
        let res = catch_up::handle_request(&serving, &req);
        async move { res }
    }));
    tokio::spawn(receive(gateway.clone(), socket.clone()));
    tokio::spawn(send_updates(gateway.clone(), socket));
    tokio::spawn(catch_up::fetch_updates(gateway.clone()));
    tokio::spawn(catch_up::fetch_durations(gateway.clone()));
    tokio::spawn(catch_up::fetch_all_durations(gateway.clone()));
    Ok(stop)
}

/// Senders whose datagrams can't be read, as processes of another version. Each is
/// logged once: they send a hundred a second.
#[derive(Debug, Default)]
pub struct UnreadableSenders {
    /// Sorted.
    senders: Vec<IpAddr>,
}

impl UnreadableSenders {
    /// Notes a sender; says whether it is to be logged.
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

    /// Notes that a sender's datagram was read: it has another version now.
    pub fn record_success(&mut self, sender: IpAddr) {
        if let Ok(at) = self.senders.binary_search(&sender) {
            self.senders.remove(at);
        }
    }
}

/// Hears datagrams until the process ends.
async fn receive(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut unreadable = UnreadableSenders::default();
    loop {
        // An error here means that an earlier datagram met a closed port.
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(status) = wire::decode::<PeerStatus>(&buf[..len]) else {
            if unreadable.record_failure(from.ip()) {
                emit(&Event::Undecodable {
                    what: "datagram of a peer",
                    why: format!("{len} bytes from {from}; told once for each peer"),
                });
            }
            continue;
        };
        unreadable.record_success(from.ip());
        let now = Instant::now();
        crashes::receive(&gateway, &status, now);
        if status.registry > gateway.registry().version || status.config > gateway.config_version()
        {
            gateway.behind.notify_one();
        }
        let read = now
            .checked_sub(Duration::from_millis(status.registry_ms.into()))
            .map(|read_at| Registry {
                version: status.registry,
                read_at,
                store_ms: status.registry_at_ms,
                view: status.view,
            });
        let mut peers = gateway.peers();
        if peers.receive(from.ip(), status, &mut gateway.fleet(), now)
            && let Some(read) = read
            // The ages that it tells are of when it was sent.
            && !gateway.may_have_waited(now)
        {
            gateway.confirm_registry(read);
        }
    }
}

/// What was told last, and when.
struct LastSent {
    at: Instant,
    status: PeerStatus,
    revision: u64,
    /// Bytes of the longest datagram.
    len: usize,
}

/// Tells the peers of this process's load until the process ends.
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
            is_same && sent.at.elapsed() < MAX_SEND_INTERVAL
        });
        if is_same {
            continue;
        }
        number += 1;
        status.start = start;
        status.number = number;
        let len = send(&gateway, &socket, &status);
        let at = Instant::now();
        last = Some(LastSent {
            at,
            status,
            revision,
            len,
        });
    }
}

/// What this process says for itself.
fn own_status(gateway: &Gateway, placements_within: Duration) -> PeerStatus {
    let now = Instant::now();
    let settled = gateway.settled_registry();
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
        members: gateway.members_version(),
        registry: settled.map_or(0, |r| r.version),
        registry_ms: settled.map_or(u32::MAX, |r| r.read_at.elapsed().as_millis() as u32),
        registry_at_ms: settled.map_or(0, |r| r.store_ms),
        view: settled.map_or(0, |r| r.view),
        loads,
        changing: fleet.changing(now),
        placements: fleet.new_placements(placements_within, now),
        crashes: crashes::pending_reports(gateway, now),
    }
}

/// Whether two beats of this process tell peers the same. The age of the registry
/// may wait for the next datagram.
fn is_equivalent(a: &PeerStatus, b: &PeerStatus) -> bool {
    let tags =
        |status: &PeerStatus| -> Vec<u32> { status.changing.iter().map(|c| c.upstream).collect() };
    a.loads == b.loads
        && a.config == b.config
        && a.registry == b.registry
        && a.placements == b.placements
        && tags(a) == tags(b)
        // What was learned of crashes is told several times, so it doesn't wait.
        && b.crashes.is_empty()
}

/// Sends each peer what it is to know; gives the length of the longest datagram.
fn send(gateway: &Gateway, socket: &UdpSocket, status: &PeerStatus) -> usize {
    let outgoing = gateway
        .peers()
        .outgoing(gateway.location(), status, Instant::now());
    let port = gateway.host().peer_port;
    let mut longest = 0;
    let mut encoded: Option<(Scope, Vec<u8>)> = None;
    for (ip, mut status) in outgoing {
        truncate_loads(&mut status);
        // Directly all peers are told the same.
        let is_encoded =
            matches!(&encoded, Some((Scope::Direct, _)) if status.scope == Scope::Direct);
        if !is_encoded {
            encoded = Some((status.scope, wire::encode_compact(&status)));
        }
        let Some((_, buf)) = &encoded else { continue };
        longest = longest.max(buf.len());
        // NB: a datagram that can't be sent now is as good as lost; the next
        // one says everything anew.
        let _ = socket.try_send_to(buf, SocketAddr::new(ip, port));
    }
    longest
}

/// Leaves out the upstreams with the least to do, if there are too many for one
/// datagram.
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

/// Time until the next datagrams, of which the longest had a length lately.
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

/// Shortest time between two datagrams to each of so many peers that are told
/// directly.
pub fn direct_send_interval(peers: usize) -> Duration {
    SEND_EVERY.max(SEND_EVERY_PER_PEER * peers as u32)
}

/// Time in which all live peers have heard what this process knows now: two
/// datagrams for each step, as one may be lost, and the way.
pub fn propagation_time(gateway: &Gateway) -> Duration {
    let peers = gateway.peers();
    match peers.is_direct() {
        true => direct_send_interval(peers.len()) * 2 + SEND_EVERY,
        false => TREE_SEND_EVERY * 2 * MAX_TREE_HOPS,
    }
}

/// Takes off what peers that fell silent said, and looks whom to report to.
fn expire(gateway: &Gateway) {
    let now = Instant::now();
    let own = gateway.location();
    let mut peers = gateway.peers();
    let mut fleet = gateway.fleet();
    peers.expire(&mut fleet, now);
    let before = peers.parent();
    peers.choose_parent(own, &mut fleet, now);
    let (parent, processes) = (peers.parent(), peers.process_count(now));
    drop((fleet, peers));
    if parent != before {
        emit(&Event::ReportsTo {
            peer: parent.map(|ip| ip.to_string()),
            before: before.map(|ip| ip.to_string()),
        });
    }
    gateway.set_live_peers(processes);
    gateway.crashes.lock().expire(now);
}
