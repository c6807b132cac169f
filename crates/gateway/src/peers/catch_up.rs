//! Fetches newer configurations, registry changes and members from peers, over HTTP on the same
//! port number as the datagrams.
//!
//! Peers send only the changes of the registry if they still know them. A hash of the whole
//! registry shows whether applying the changes gave the same result; if not, the whole registry is
//! fetched, and until it has been applied the position doesn't advance.

use crate::duty::usage::{decisions, transfer};
use crate::fleet::durations::DurationSnapshot;
use crate::follow;
use crate::monotonic;
use crate::peers::startup_load::{self, Snapshot};
use crate::peers::{Member, PeerStatus};
use crate::state::Gateway;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use net::{Body, CallError, Pool, empty, full};
use observe::{Event, emit};
use platform::{Config, Instance, Position, Registration};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Time for the store to deliver a configuration that a peer already has, before the peer is asked.
/// Asking peers is meant for processes that the store refuses.
const STORE_GRACE: Duration = Duration::from_millis(250);
/// The same for the first read of the registry in a full mesh, where all processes that start
/// together would ask the one that has read it first. In a tree few do.
const FIRST_READ_GRACE: Duration = Duration::from_millis(1500);
/// Interval between checks for newer versions at peers, in addition to the check on a datagram with
/// a newer version.
const CHECK_EVERY: Duration = Duration::from_millis(200);
/// Timeout of requests to peers: 300 KB over a link of 10 Mbit/s take 240 ms.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of requests for a snapshot. It is shorter, as a peer that doesn't answer delays the
/// start.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a peer's response; enough for several thousand routes or upstreams.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Maximum number of peers that a starting process asks for response durations, as those that
/// started with it have none either, and the pause between two requests. A stopping process uses
/// the same pause.
const DURATIONS_ATTEMPTS: u32 = 3;
const DURATIONS_PAUSE: Duration = Duration::from_millis(700);

/// Minimum interval between two reads of the members from a peer. New members are known earlier
/// from their datagrams.
const MEMBERS_EVERY: Duration = Duration::from_secs(15);

const CONFIG_PATH: &str = "/config";
const SNAPSHOT_PATH: &str = "/everything";
const MEMBERS_PATH: &str = "/members";
const DURATIONS_PATH: &str = "/durations";
/// Path of registry changes, followed by the position since which they are requested;
/// [`Position::NONE`] requests the whole registry.
const REGISTRY_PATH: &str = "/registry/since/";

/// Changes of the registry since a position, or the whole registry.
#[derive(Debug, Serialize, Deserialize)]
pub struct RegistryChanges {
    /// Position after these changes.
    pub position: Position,
    /// Age of the read of the store that they come from, in milliseconds.
    pub read_ms_ago: u32,
    /// The store's clock at that read, in milliseconds.
    pub store_ms: u64,
    /// Hash of the whole registry at this position; see [`crate::fleet::Fleet::view`].
    pub view: u64,
    /// Whether `present` has all upstreams, so that any others are gone.
    pub is_whole: bool,
    /// Upstreams that were added or changed.
    pub present: Vec<Instance>,
    /// Ids of upstreams that were removed.
    pub gone: Vec<String>,
}

/// Fetches newer state from peers until the process ends.
pub async fn fetch_updates(gateway: Arc<Gateway>) {
    let started_at = monotonic::now();
    let mut config_ahead_since = None;
    let mut members_fetched_at = started_at;
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_EVERY) => {}
            () = gateway.catch_up.notified() => {}
        }
        let now = monotonic::now();
        match peer_with_newer(&gateway, |status| status.config, gateway.config_version()) {
            None => config_ahead_since = None,
            Some(ip) if now - *config_ahead_since.get_or_insert(now) >= config_delay(&gateway) => {
                if let Some(config) = fetch::<Config>(&gateway, ip, CONFIG_PATH).await {
                    follow::apply_config(&gateway, config, "peer");
                }
            }
            Some(_) => {}
        }
        if now - members_fetched_at >= MEMBERS_EVERY && !gateway.is_feed_reader() {
            let known = gateway.members_position();
            if let Some(ip) = peer_with_newer(&gateway, |status| status.members, known) {
                members_fetched_at = now;
                fetch_members(&gateway, ip).await;
            }
        }
        // A peer with a later position but the same registry isn't asked, as its datagrams have
        // already advanced the position here.
        let known = gateway.registry().position;
        let may_wait = !known.is_known() && gateway.peers().is_direct();
        if may_wait && now - started_at < FIRST_READ_GRACE {
            continue;
        }
        let Some(ip) = peer_with_newer(&gateway, |status| status.registry, known) else {
            continue;
        };
        if !fetch_registry(&gateway, ip, known).await {
            // The peer's datagrams, about 100 per second, would trigger the next attempt at once.
            tokio::time::sleep(CHECK_EVERY).await;
        }
    }
}

/// How long to wait for the store to deliver a configuration before a peer is asked for it.
/// A process that isn't a feed reader doesn't wait.
fn config_delay(gateway: &Gateway) -> Duration {
    match gateway.is_feed_reader() {
        true => STORE_GRACE,
        false => Duration::ZERO,
    }
}

/// Fetches the members from a peer and applies them.
async fn fetch_members(gateway: &Gateway, ip: IpAddr) {
    let members = fetch::<(Position, Vec<Member>)>(gateway, ip, MEMBERS_PATH).await;
    let Some((position, members)) = members.filter(|(position, _)| position.is_known()) else {
        return;
    };
    let own = gateway.host().ip;
    gateway
        .peers()
        .set_members(own, &members, &mut gateway.fleet());
    gateway.set_members_position(position);
}

/// Fetches a peer's snapshot; `None` if the peer has no complete one or doesn't answer.
pub async fn fetch_snapshot(gateway: &Gateway, ip: IpAddr) -> Option<Snapshot> {
    let addr = SocketAddr::new(ip, gateway.host().peer_port);
    match get(gateway, addr, SNAPSHOT_PATH, SNAPSHOT_TIMEOUT).await {
        Ok((StatusCode::OK, body)) => wire::decode(&body),
        // The peer is also starting and has no complete snapshot yet.
        Ok(_) | Err(_) => None,
    }
}

/// Loads response durations from a peer once this process is ready. Peers that have just started
/// have none; then another peer is asked.
pub async fn fetch_durations(gateway: Arc<Gateway>) {
    let mut attempts = 0;
    while attempts < DURATIONS_ATTEMPTS {
        tokio::time::sleep(DURATIONS_PAUSE).await;
        let Some(ip) = fastrand::choice(live_peers(&gateway)).filter(|_| gateway.is_ready()) else {
            continue;
        };
        attempts += 1;
        if fetch_durations_from(&gateway, ip).await {
            return;
        }
    }
}

/// Loads response durations from all live peers, from the stop signal until this process accepts no
/// more requests. Each peer has seen a part of the slow requests.
pub async fn fetch_all_durations(gateway: Arc<Gateway>) {
    let schedule = gateway.wait_for_stop().await;
    while monotonic::now() < schedule.close_at {
        // Concurrently, so that a peer that doesn't answer doesn't delay the others.
        let requests = live_peers(&gateway)
            .into_iter()
            .map(|ip| (gateway.clone(), ip))
            .map(|(gateway, ip)| async move { fetch_durations_from(&gateway, ip).await });
        requests.collect::<JoinSet<bool>>().join_all().await;
        tokio::time::sleep(DURATIONS_PAUSE).await;
    }
}

/// Loads response durations from a peer; returns whether it has any.
async fn fetch_durations_from(gateway: &Gateway, ip: IpAddr) -> bool {
    let Some(durations) = fetch::<Vec<DurationSnapshot>>(gateway, ip, DURATIONS_PATH).await else {
        return false;
    };
    gateway
        .fleet()
        .merge_durations(&durations, monotonic::now());
    !durations.is_empty()
}

fn live_peers(gateway: &Gateway) -> Vec<IpAddr> {
    let peers = gateway.peers();
    let live = peers.live(monotonic::now());
    live.map(|(peer, _)| peer.ip).collect()
}

/// Fetches the changes of a peer's registry, or the whole registry if the changes aren't enough.
/// Returns whether the registry then equals the peer's, or is newer.
async fn fetch_registry(gateway: &Arc<Gateway>, ip: IpAddr, known: Position) -> bool {
    // Upstreams that were missing from the last read and may return are found or removed only by a
    // whole registry.
    let since = match gateway.missing().is_empty() {
        true => known,
        false => Position::NONE,
    };
    for since in [since, Position::NONE] {
        let path = format!("{REGISTRY_PATH}{since}");
        let asked_at = monotonic::now();
        let Some(changes) = fetch::<RegistryChanges>(gateway, ip, &path).await else {
            return false;
        };
        if apply_changes(gateway, changes, asked_at) {
            return true;
        }
    }
    false
}

/// Applies registry changes that were requested from a peer at `asked_at`. Returns whether the
/// registry then equals the peer's, or is newer.
pub fn apply_changes(gateway: &Arc<Gateway>, changes: RegistryChanges, asked_at: Instant) -> bool {
    let RegistryChanges {
        position,
        view,
        is_whole,
        read_ms_ago,
        store_ms,
        ..
    } = changes;
    let present = changes.present.into_iter().map(Registration::Registered);
    let gone = changes.gone.into_iter();
    let gone = gone.map(|id| Registration::Removed { id });
    let present = present.chain(gone).collect();
    follow::merge_from_peer(gateway, present, is_whole, position, view, monotonic::now());
    let age = Duration::from_millis(read_ms_ago.into());
    if let Some(read_at) = asked_at.checked_sub(age) {
        gateway.record_read(position, read_at, store_ms);
    }
    let known = gateway.registry();
    let is_same = known.position > position || known.view == view;
    if !is_same {
        emit(&Event::Undecodable {
            what: "changes of a peer",
            why: format!(
                "the registry differs from the peer's at version {position} after {}",
                if is_whole { "all of it" } else { "its changes" }
            ),
        });
    }
    is_same
}

/// A random one of the live peers with the latest version or position, if that is later than
/// `known`. The choice is random so that processes don't all ask the same peer.
fn peer_with_newer<T: Ord + Copy>(
    gateway: &Gateway,
    version: impl Fn(&PeerStatus) -> T,
    known: T,
) -> Option<IpAddr> {
    let peers = gateway.peers();
    let now = monotonic::now();
    let newest = peers.live(now).map(|(_, status)| version(status)).max()?;
    if newest <= known {
        return None;
    }
    let live = peers
        .live(now)
        .filter(|(_, status)| version(status) == newest);
    let all: Vec<IpAddr> = live.map(|(peer, _)| peer.ip).collect();
    fastrand::choice(all)
}

async fn fetch<T: DeserializeOwned>(gateway: &Gateway, ip: IpAddr, path: &str) -> Option<T> {
    let addr = SocketAddr::new(ip, gateway.host().peer_port);
    let why = match get(gateway, addr, path, REQUEST_TIMEOUT).await {
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
    timeout: Duration,
) -> Result<(StatusCode, bytes::Bytes), CallError> {
    call(gateway, addr, Method::GET, path, Vec::new(), timeout).await
}

/// Sends a peer an HTTP request and reads its whole answer.
pub(crate) async fn call(
    gateway: &Gateway,
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<(StatusCode, bytes::Bytes), CallError> {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, addr.to_string())
        .body(full(body))
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    let pool = Pool::new(addr, timeout).metered(&gateway.peer_bytes);
    pool.call(req, MAX_RESPONSE_BYTES, timeout).await
}

/// Handles a peer's HTTP request.
pub async fn handle_request(gateway: &Gateway, req: Request<Incoming>) -> Response<Body> {
    if req.uri().path() == transfer::PATH {
        return transfer::handle_request(gateway, req).await;
    }
    if req.uri().path() == decisions::PATH {
        return decisions::handle_request(gateway, req).await;
    }
    let path = req.uri().path();
    let body = match path.strip_prefix(REGISTRY_PATH) {
        Some(since) => encode_changes_since(gateway, since),
        None if path == DURATIONS_PATH => Some(encode_durations(gateway)),
        None if path == SNAPSHOT_PATH => {
            let snapshot = startup_load::snapshot(gateway);
            snapshot.map(|snapshot| wire::encode_compact(&snapshot))
        }
        None if path == MEMBERS_PATH => {
            let members = gateway.peers().members();
            let members = (gateway.members_position(), members);
            Some(wire::encode_compact(&members))
        }
        None if path == CONFIG_PATH => gateway.routes().map(|t| wire::encode(&t.config)),
        None => None,
    };
    let Some(body) = body else {
        let mut res = Response::new(empty());
        *res.status_mut() = StatusCode::NOT_FOUND;
        return res;
    };
    Response::new(full(body))
}

fn encode_durations(gateway: &Gateway) -> Vec<u8> {
    let durations = gateway.fleet().duration_snapshots(monotonic::now());
    wire::encode_compact(&durations)
}

fn encode_changes_since(gateway: &Gateway, since: &str) -> Option<Vec<u8>> {
    let changes = gateway.changes_since(since.parse().ok()?)?;
    Some(wire::encode_compact(&changes))
}
