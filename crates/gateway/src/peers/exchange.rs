//! Tells peers of this process's load, and hears of theirs.

use crate::StartError;
use crate::crashes;
use crate::peers::{Beat, Load, Scope, catch_up};
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
const TREE_EVERY: Duration = Duration::from_millis(10);
/// Bytes a second over a link of the tree, so that what is told of 600 upstreams doesn't
/// take more than a tenth of a link of 10 Mbit/s: larger datagrams are sent less often.
const TREE_BYTES_PER_S: f64 = 80_000.0;
/// Steps from any process to any other: up and down three levels, and across.
const TREE_STEPS: u32 = 7;
/// Datagrams that tell of a placement, as one may be lost.
const PLACEMENT_TOLD: u32 = 4;
/// Longest time between two datagrams, so that a silent peer is a lost one.
const SEND_AT_LEAST: Duration = Duration::from_millis(200);
/// Largest datagram: 12 bytes for each of some thousand upstreams.
const MAX_DATAGRAM: usize = 16 << 10;
/// Most upstreams whose load one datagram tells of.
const MAX_LOADS: usize = 1200;
/// Most senders of unreadable datagrams that are logged.
const MAX_UNREADABLE: usize = 1024;
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
    tokio::spawn(catch_up::take_durations(gateway.clone()));
    tokio::spawn(catch_up::take_all_durations(gateway.clone()));
    Ok(stop)
}

/// Senders whose datagrams can't be read, as processes of another version. Each is
/// logged once: they send a hundred a second.
#[derive(Debug, Default)]
pub struct Unreadable {
    /// Sorted.
    senders: Vec<IpAddr>,
}

impl Unreadable {
    /// Notes a sender; says whether it is to be logged.
    pub fn is_new(&mut self, sender: IpAddr) -> bool {
        let Err(at) = self.senders.binary_search(&sender) else {
            return false;
        };
        let has_room = self.senders.len() < MAX_UNREADABLE;
        if has_room {
            self.senders.insert(at, sender);
        }
        has_room
    }

    /// Notes that a sender's datagram was read: it has another version now.
    pub fn is_read(&mut self, sender: IpAddr) {
        if let Ok(at) = self.senders.binary_search(&sender) {
            self.senders.remove(at);
        }
    }
}

/// Hears datagrams until the process ends.
async fn hear(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut unreadable = Unreadable::default();
    loop {
        // An error here means that an earlier datagram met a closed port.
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(beat) = wire::decode::<Beat>(&buf[..len]) else {
            if unreadable.is_new(from.ip()) {
                emit(&Event::Undecodable {
                    what: "datagram of a peer",
                    why: format!("{len} bytes from {from}; told once for each peer"),
                });
            }
            continue;
        };
        unreadable.is_read(from.ip());
        let now = Instant::now();
        crashes::hear(&gateway, &beat, now);
        if beat.registry > gateway.registry().version || beat.config > gateway.config_version() {
            gateway.behind.notify_one();
        }
        let read = now
            .checked_sub(Duration::from_millis(beat.registry_ms.into()))
            .map(|read_at| Registry {
                version: beat.registry,
                read_at,
                store_ms: beat.registry_at_ms,
                view: beat.view,
            });
        let mut peers = gateway.peers();
        if peers.hear(from.ip(), beat, &mut gateway.fleet(), now)
            && let Some(read) = read
            // The ages that it tells are of when it was sent.
            && !gateway.may_have_waited(now)
        {
            gateway.confirm_registry(read);
        }
    }
}

/// What was told last, and when.
struct Told {
    at: Instant,
    beat: Beat,
    changes: u64,
    /// Bytes of the longest datagram.
    len: usize,
}

/// Tells the peers of this process's load until the process ends.
async fn tell(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let start = fastrand::u32(..);
    let mut number = 0;
    let mut last: Option<Told> = None;
    loop {
        expire(&gateway);
        let len = last.as_ref().map_or(0, |told| told.len);
        let pause = pause(&gateway, len);
        tokio::time::sleep(pause).await;
        gateway.tick();
        let mut beat = own_beat(&gateway, pause * PLACEMENT_TOLD);
        let changes = gateway.peers().changes();
        let is_same = last.as_ref().is_some_and(|told| {
            let is_same = told.changes == changes && says_the_same(&told.beat, &beat);
            is_same && told.at.elapsed() < SEND_AT_LEAST
        });
        if is_same {
            continue;
        }
        number += 1;
        beat.start = start;
        beat.number = number;
        let len = send(&gateway, &socket, &beat);
        let at = Instant::now();
        last = Some(Told {
            at,
            beat,
            changes,
            len,
        });
    }
}

/// What this process says for itself.
fn own_beat(gateway: &Gateway, placements_within: Duration) -> Beat {
    let now = Instant::now();
    let settled = gateway.settled_registry();
    let mut fleet = gateway.fleet();
    let mut loads: Vec<Load> = fleet.iter().filter_map(|(_, u)| u.load()).collect();
    loads.sort_unstable_by_key(|load| load.upstream);
    Beat {
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
        placements: fleet.recent_placements(placements_within, now),
        crashes: crashes::news(gateway, now),
    }
}

/// Whether two beats of this process tell peers the same. The age of the registry
/// may wait for the next datagram.
fn says_the_same(a: &Beat, b: &Beat) -> bool {
    let tags = |beat: &Beat| -> Vec<u32> { beat.changing.iter().map(|c| c.upstream).collect() };
    a.loads == b.loads
        && a.config == b.config
        && a.registry == b.registry
        && a.placements == b.placements
        && tags(a) == tags(b)
        // What was learned of crashes is told several times, so it doesn't wait.
        && b.crashes.is_empty()
}

/// Sends each peer what it is to know; gives the length of the longest datagram.
fn send(gateway: &Gateway, socket: &UdpSocket, beat: &Beat) -> usize {
    let told = gateway
        .peers()
        .tell(gateway.location(), beat, Instant::now());
    let port = gateway.host().peer_port;
    let mut longest = 0;
    let mut encoded: Option<(Scope, Vec<u8>)> = None;
    for (ip, mut beat) in told {
        bound_loads(&mut beat);
        // Directly all peers are told the same.
        let is_encoded =
            matches!(&encoded, Some((Scope::Direct, _)) if beat.scope == Scope::Direct);
        if !is_encoded {
            encoded = Some((beat.scope, wire::encode_compact(&beat)));
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
fn bound_loads(beat: &mut Beat) {
    if beat.loads.len() <= MAX_LOADS {
        return;
    }
    beat.loads
        .sort_unstable_by_key(|load| std::cmp::Reverse((load.waiting, load.running)));
    beat.loads.truncate(MAX_LOADS);
    beat.loads.sort_unstable_by_key(|load| load.upstream);
}

/// Time until the next datagrams, of which the longest had a length lately.
fn pause(gateway: &Gateway, len: usize) -> Duration {
    let peers = gateway.peers();
    match peers.is_direct() {
        true => direct_pause(peers.len()),
        false => {
            let by_bytes = Duration::from_secs_f64(len as f64 / TREE_BYTES_PER_S);
            by_bytes.clamp(TREE_EVERY, SEND_AT_LEAST)
        }
    }
}

/// Shortest time between two datagrams to each of so many peers that are told
/// directly.
pub fn direct_pause(peers: usize) -> Duration {
    SEND_EVERY.max(SEND_EVERY_PER_PEER * peers as u32)
}

/// Time in which all live peers have heard what this process knows now: two
/// datagrams for each step, as one may be lost, and the way.
pub fn time_to_tell(gateway: &Gateway) -> Duration {
    let peers = gateway.peers();
    match peers.is_direct() {
        true => direct_pause(peers.len()) * 2 + SEND_EVERY,
        false => TREE_EVERY * 2 * TREE_STEPS,
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
    let (parent, processes) = (peers.parent(), peers.processes(now));
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
