//! Tells peers of this process's load, and hears of theirs.

use crate::StartError;
use crate::peers::{Beat, Load, catch_up};
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
/// Time added for each peer, so that a process sends and takes at most some 250
/// datagrams a second however many peers there are.
pub const SEND_EVERY_PER_PEER: Duration = Duration::from_millis(4);
/// Datagrams that tell of a placement, as one may be lost.
const PLACEMENT_TOLD: u32 = 4;
/// Longest time between two datagrams, so that a silent peer is a lost one.
const SEND_AT_LEAST: Duration = Duration::from_millis(200);
/// Largest datagram: 16 bytes for each of some hundred upstreams.
const MAX_DATAGRAM: usize = 16 << 10;
/// Largest head, and longest idle time, of a peer's connection.
const MAX_HEAD: usize = 8 << 10;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts to tell and to hear, and answers peers' questions.
pub fn start(gateway: &Arc<Gateway>) -> Result<Stop, StartError> {
    let host = gateway.host();
    let addr = SocketAddr::new(host.ip, host.peer_port);
    let bad = |e| StartError::Bind(addr, e);
    let listener = bind(addr).map_err(bad)?;
    let socket = std::net::UdpSocket::bind(addr).map_err(bad)?;
    socket.set_nonblocking(true).map_err(bad)?;
    let socket = Arc::new(UdpSocket::from_std(socket).map_err(bad)?);
    let stop = Stop::default();
    let server = Server {
        head: HeadLimits::new(IDLE_TIMEOUT, MAX_HEAD),
        protocol: Protocol::Http1,
        drain: Stop::default(),
        stop: stop.clone(),
    };
    let served = gateway.clone();
    tokio::spawn(server.run(listener, move |req| {
        let res = catch_up::answer(&served, &req);
        async move { res }
    }));
    tokio::spawn(hear(gateway.clone(), socket.clone()));
    tokio::spawn(tell(gateway.clone(), socket));
    tokio::spawn(catch_up::ask(gateway.clone()));
    Ok(stop)
}

/// Hears datagrams until the process ends.
async fn hear(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        // An error here means that an earlier datagram met a closed port.
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(beat) = wire::decode::<Beat>(&buf[..len]) else {
            emit(&Event::Undecodable {
                what: "datagram of a peer",
                why: format!("{len} bytes from {from}"),
            });
            continue;
        };
        let now = Instant::now();
        let read = now
            .checked_sub(Duration::from_millis(beat.registry_ms.into()))
            .map(|read_at| Registry {
                version: beat.registry,
                read_at,
                view: beat.view,
            });
        let mut peers = gateway.peers();
        if peers.hear(from.ip(), beat, &mut gateway.fleet(), now)
            && let Some(read) = read
        {
            gateway.confirm_registry(read);
        }
    }
}

/// Tells the peers of this process's load until the process ends.
async fn tell(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let start = fastrand::u64(..);
    let mut number = 0;
    let mut last = (Instant::now(), Vec::new(), Vec::new());
    loop {
        let (peers, live) = expire(&gateway);
        gateway.set_live_peers(live);
        tokio::time::sleep(send_every(peers.len())).await;
        let loads: Vec<Load> = gateway
            .fleet()
            .iter()
            .filter_map(|(_, u)| u.load())
            .collect();
        let changing = gateway.fleet().changing(Instant::now());
        let is_same = loads == last.1 && changing == last.2;
        if is_same && last.0.elapsed() < SEND_AT_LEAST {
            continue;
        }
        number += 1;
        let told_for = send_every(peers.len()) * PLACEMENT_TOLD;
        let placements = gateway.fleet().new_placements(told_for, Instant::now());
        let settled = gateway.settled_registry();
        let beat = Beat {
            start,
            number,
            config: gateway.config_version(),
            registry: settled.map_or(0, |r| r.version),
            registry_ms: settled.map_or(u32::MAX, |r| r.read_at.elapsed().as_millis() as u32),
            view: settled.map_or(0, |r| r.view),
            loads,
            changing,
            placements,
        };
        let buf = wire::encode_compact(&beat);
        let port = gateway.host().peer_port;
        for ip in peers {
            // NB: a datagram that can't be sent now is as good as lost; the next
            // one says everything anew.
            let _ = socket.try_send_to(&buf, SocketAddr::new(ip, port));
        }
        last = (Instant::now(), beat.loads, beat.changing);
    }
}

/// Shortest time between two datagrams to each of so many peers.
fn send_every(peers: usize) -> Duration {
    SEND_EVERY.max(SEND_EVERY_PER_PEER * peers as u32)
}

/// Time in which all live peers have heard what this process knows now: two
/// datagrams, as one may be lost, and the way.
pub fn time_to_tell(gateway: &Gateway) -> Duration {
    let peers = gateway.peers().addresses().count();
    send_every(peers) * 2 + SEND_EVERY
}

/// Takes off what peers that fell silent said. Gives the addresses of all peers
/// and how many are alive.
fn expire(gateway: &Gateway) -> (Vec<IpAddr>, u32) {
    let now = Instant::now();
    let mut peers = gateway.peers();
    peers.expire(&mut gateway.fleet(), now);
    let live = peers.live(now).count() as u32;
    (peers.addresses().collect(), live)
}
