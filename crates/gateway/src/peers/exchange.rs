//! Tells peers of this process's load, and hears of theirs.
//!
//! A process that the store refuses takes the configuration and the registry
//! from a peer that has newer ones, over HTTP on the same port.

use crate::StartError;
use crate::follow;
use crate::peers::{Beat, Load};
use crate::state::{Gateway, Registry};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use net::server::bind;
use net::{Body, CallError, HeadLimits, Pool, Protocol, Server, Stop, empty, full};
use observe::{Event, emit};
use platform::{Config, Instance};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
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
/// Time that the store has to bring what a peer has already before the peer is
/// asked: asking is for processes that the store refuses.
const PEER_AHEAD: Duration = Duration::from_millis(250);
/// Pause between two looks at what peers know.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// Longest wait for a peer's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest datagram: 16 bytes for each of some hundred upstreams.
const MAX_DATAGRAM: usize = 16 << 10;
/// Largest answer of a peer: some thousand routes or upstreams.
const MAX_ANSWER: usize = 8 << 20;
/// Largest head, and longest idle time, of a peer's connection.
const MAX_HEAD: usize = 8 << 10;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

const CONFIG_PATH: &str = "/config";
const REGISTRY_PATH: &str = "/registry";

/// The registry as a process knows it.
#[derive(Debug, Serialize, Deserialize)]
struct RegistryView {
    version: u64,
    instances: Vec<Instance>,
}

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
        let res = answer(&served, &req);
        async move { res }
    }));
    tokio::spawn(hear(gateway.clone(), socket.clone()));
    tokio::spawn(tell(gateway.clone(), socket));
    tokio::spawn(ask(gateway.clone()));
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

/// Asks peers for what they know and this process doesn't, until it ends.
async fn ask(gateway: Arc<Gateway>) {
    let mut config_ahead = None;
    loop {
        tokio::time::sleep(ASK_EVERY).await;
        let now = Instant::now();
        match ahead(&gateway, |beat| beat.config, gateway.config_version()) {
            None => config_ahead = None,
            Some(ip) if now - *config_ahead.get_or_insert(now) >= PEER_AHEAD => {
                if let Some(config) = fetch::<Config>(&gateway, ip, CONFIG_PATH).await {
                    follow::put_in_force(&gateway, config, "peer");
                }
            }
            Some(_) => {}
        }
        // A peer that is ahead and knows the same has been taken at its word.
        let known = gateway.registry().version;
        let Some(ip) = ahead(&gateway, |beat| beat.registry, known) else {
            continue;
        };
        if let Some(view) = fetch::<RegistryView>(&gateway, ip, REGISTRY_PATH).await {
            follow::merge_view(&gateway, view.instances, view.version);
        }
    }
}

/// The live peer with the newest version of something, if it is newer than ours.
fn ahead(gateway: &Gateway, version: impl Fn(&Beat) -> u64, known: u64) -> Option<IpAddr> {
    let peers = gateway.peers();
    let live = peers.live(Instant::now());
    let newest = live.max_by_key(|(_, beat)| version(beat))?;
    (version(newest.1) > known).then_some(newest.0.ip)
}

async fn fetch<T: DeserializeOwned>(gateway: &Gateway, ip: IpAddr, path: &str) -> Option<T> {
    let addr = SocketAddr::new(ip, gateway.host().peer_port);
    let why = match get(gateway, addr, path).await {
        Ok((StatusCode::OK, body)) => match wire::decode(&body) {
            Some(value) => return Some(value),
            None => "malformed answer".to_owned(),
        },
        Ok((status, _)) => format!("status {status}"),
        Err(e) => e.to_string(),
    };
    emit(&Event::Undecodable {
        what: "answer of a peer",
        why: format!("{addr}{path}: {why}"),
    });
    None
}

async fn get(
    gateway: &Gateway,
    addr: SocketAddr,
    path: &str,
) -> Result<(StatusCode, bytes::Bytes), CallError> {
    let req = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header(HOST, addr.to_string())
        .body(empty())
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    let pool = Pool::new(addr, ASK_TIMEOUT).metered(&gateway.peer_bytes);
    pool.call(req, MAX_ANSWER, ASK_TIMEOUT).await
}

/// Answers a peer's question.
fn answer(gateway: &Gateway, req: &Request<Incoming>) -> Response<Body> {
    let known = match req.uri().path() {
        CONFIG_PATH => gateway.routes().map(|t| wire::encode(&t.config)),
        REGISTRY_PATH => registry_view(gateway).map(|view| wire::encode(&view)),
        _ => None,
    };
    let Some(body) = known else {
        let mut res = Response::new(empty());
        *res.status_mut() = StatusCode::NOT_FOUND;
        return res;
    };
    Response::new(full(body))
}

fn registry_view(gateway: &Gateway) -> Option<RegistryView> {
    let version = gateway.settled_registry()?.version;
    let fleet = gateway.fleet();
    Some(RegistryView {
        version,
        instances: fleet.iter().map(|(_, u)| u.instance.clone()).collect(),
    })
}
