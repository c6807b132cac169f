//! Takes the configuration and the registry from a peer that has newer ones, over
//! HTTP on the port of the datagrams.
//!
//! Of the registry only what has changed is told, where the peer knows that. Its hash
//! of all that it knows shows whether that was enough; else all of it is fetched.

use crate::fleet::durations::Told;
use crate::follow;
use crate::peers::first_look::{self, Snapshot};
use crate::peers::{Beat, Member};
use crate::state::Gateway;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use net::{Body, CallError, Pool, empty, full};
use observe::{Event, emit};
use platform::{Config, Instance, Registration};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Time that the store has to bring what a peer has already before the peer is
/// asked: asking is for processes that the store refuses.
const PEER_AHEAD: Duration = Duration::from_millis(250);
/// The same for a process that has never read the registry, while all tell each other
/// directly: all would ask the same that has read it first, when all start together.
/// In a tree few do.
const FIRST_READ_AHEAD: Duration = Duration::from_millis(1500);
/// Pause between two looks at what peers know, besides those that a datagram of a peer
/// with a newer registry brings about.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// Longest wait for a peer's answer: 300 KB over a link of 10 Mbit/s take 240 ms.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest wait for a peer's snapshot. Shorter, as a peer that doesn't answer delays the start.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest answer of a peer: some thousand routes or upstreams.
const MAX_ANSWER: usize = 8 << 20;

/// How often a process that has just started asks peers how long answers take: those that
/// started with it know no more. And the pause between two rounds, also of one that stops.
const DURATIONS_ASKED: u32 = 3;
const DURATIONS_PAUSE: Duration = Duration::from_millis(700);

/// Shortest interval between two reads of the members from a peer. New members are known
/// sooner by their datagrams.
const MEMBERS_EVERY: Duration = Duration::from_secs(15);

const CONFIG_PATH: &str = "/config";
const SNAPSHOT_PATH: &str = "/everything";
const MEMBERS_PATH: &str = "/members";
const DURATIONS_PATH: &str = "/durations";
/// Path of what has changed in the registry since a version, which stands behind it;
/// version 0 for all of it.
const REGISTRY_PATH: &str = "/registry/since/";

/// What has changed in the registry since a version, or all of it.
#[derive(Debug, Serialize, Deserialize)]
pub struct RegistryChanges {
    /// The version that these changes lead to.
    pub version: u64,
    /// Age of the read that they come from, in milliseconds.
    pub read_ms_ago: u32,
    /// The store's clock at that read, in milliseconds.
    pub store_ms: u64,
    /// Hash of the whole registry then; see [`crate::fleet::Fleet::view`].
    pub view: u64,
    /// Whether all upstreams are told, so that others are gone.
    pub is_whole: bool,
    /// Upstreams that were added or changed.
    pub present: Vec<Instance>,
    /// Ids of those that are gone.
    pub gone: Vec<String>,
}

/// Asks peers for what they know and this process doesn't, until it ends.
pub async fn ask(gateway: Arc<Gateway>) {
    let started_at = Instant::now();
    let mut config_ahead = None;
    let mut members_asked_at = started_at;
    loop {
        tokio::select! {
            () = tokio::time::sleep(ASK_EVERY) => {}
            () = gateway.behind.notified() => {}
        }
        let now = Instant::now();
        match ahead(&gateway, |beat| beat.config, gateway.config_version()) {
            None => config_ahead = None,
            Some(ip) if now - *config_ahead.get_or_insert(now) >= config_delay(&gateway) => {
                if let Some(config) = fetch::<Config>(&gateway, ip, CONFIG_PATH).await {
                    follow::put_in_force(&gateway, config, "peer");
                }
            }
            Some(_) => {}
        }
        if now - members_asked_at >= MEMBERS_EVERY && !gateway.is_feed_reader() {
            let known = gateway.members_version();
            if let Some(ip) = ahead(&gateway, |beat| beat.members, known) {
                members_asked_at = now;
                take_members(&gateway, ip).await;
            }
        }
        // A peer that is ahead and knows the same has been taken at its word.
        let known = gateway.registry().version;
        let may_wait = known == 0 && gateway.peers().is_direct();
        if may_wait && now - started_at < FIRST_READ_AHEAD {
            continue;
        }
        let Some(ip) = ahead(&gateway, |beat| beat.registry, known) else {
            continue;
        };
        if !take_registry(&gateway, ip, known).await {
            // Its datagrams go on telling of it, a hundred a second.
            tokio::time::sleep(ASK_EVERY).await;
        }
    }
}

/// How long to wait for the store to deliver a configuration before a peer is asked for it.
/// A process that isn't a feed reader doesn't wait.
fn config_delay(gateway: &Gateway) -> Duration {
    match gateway.is_feed_reader() {
        true => PEER_AHEAD,
        false => Duration::ZERO,
    }
}

/// Fetches the members from a peer and applies them.
async fn take_members(gateway: &Gateway, ip: IpAddr) {
    let told = fetch::<(u64, Vec<Member>)>(gateway, ip, MEMBERS_PATH).await;
    let Some((version, members)) = told.filter(|(version, _)| *version > 0) else {
        return;
    };
    let own = gateway.host().ip;
    gateway
        .peers()
        .set_members(own, &members, &mut gateway.fleet());
    gateway.set_members_version(version);
}

/// Fetches a peer's snapshot; `None` if the peer has no complete one or doesn't answer.
pub async fn fetch_snapshot(gateway: &Gateway, ip: IpAddr) -> Option<Snapshot> {
    let addr = SocketAddr::new(ip, gateway.host().peer_port);
    match get(gateway, addr, SNAPSHOT_PATH, SNAPSHOT_TIMEOUT).await {
        Ok((StatusCode::OK, body)) => wire::decode(&body),
        // A peer that is starting too has no complete snapshot yet.
        Ok(_) | Err(_) => None,
    }
}

/// Takes from a peer how long answers take, once this process knows its services. Peers that
/// have just started too tell nothing; then another is asked.
pub async fn take_durations(gateway: Arc<Gateway>) {
    let mut asked = 0;
    while asked < DURATIONS_ASKED {
        tokio::time::sleep(DURATIONS_PAUSE).await;
        let Some(ip) = fastrand::choice(live(&gateway)).filter(|_| gateway.is_ready()) else {
            continue;
        };
        asked += 1;
        if take_durations_of(&gateway, ip).await {
            return;
        }
    }
}

/// Takes from all peers that this process hears how long answers take, from the stop signal
/// on until it takes no more requests: each has seen a share of the slow ones.
pub async fn take_all_durations(gateway: Arc<Gateway>) {
    let ending = gateway.stopping().await;
    while Instant::now() < ending.closed_at {
        // At once: one that doesn't answer must not hold up what the others know.
        let asked = live(&gateway)
            .into_iter()
            .map(|ip| (gateway.clone(), ip))
            .map(|(gateway, ip)| async move { take_durations_of(&gateway, ip).await });
        asked.collect::<JoinSet<bool>>().join_all().await;
        tokio::time::sleep(DURATIONS_PAUSE).await;
    }
}

/// Takes from a peer how long answers take; says whether it has seen any.
async fn take_durations_of(gateway: &Gateway, ip: IpAddr) -> bool {
    let Some(told) = fetch::<Vec<Told>>(gateway, ip, DURATIONS_PATH).await else {
        return false;
    };
    gateway.fleet().take_durations(&told, Instant::now());
    !told.is_empty()
}

fn live(gateway: &Gateway) -> Vec<IpAddr> {
    let peers = gateway.peers();
    let live = peers.live(Instant::now());
    live.map(|(peer, _)| peer.ip).collect()
}

/// Takes a peer's registry: what has changed, or all of it if that isn't enough. Says
/// whether this process knows the same as the peer then.
async fn take_registry(gateway: &Arc<Gateway>, ip: IpAddr, known: u64) -> bool {
    // What is held back is settled by a whole registry only.
    let since = match gateway.missing().is_empty() {
        true => known,
        false => 0,
    };
    for since in [since, 0] {
        let path = format!("{REGISTRY_PATH}{since}");
        let asked_at = Instant::now();
        let Some(changes) = fetch::<RegistryChanges>(gateway, ip, &path).await else {
            return false;
        };
        if take_changes(gateway, changes, asked_at) {
            return true;
        }
    }
    false
}

/// Takes changes of the registry that a peer was asked for at a time; says whether this
/// process knows the same as the peer then.
pub fn take_changes(gateway: &Arc<Gateway>, changes: RegistryChanges, asked_at: Instant) -> bool {
    let RegistryChanges {
        version,
        view,
        is_whole,
        read_ms_ago,
        store_ms,
        ..
    } = changes;
    let present = changes.present.into_iter().map(Registration::Registered);
    let gone = changes.gone.into_iter();
    let gone = gone.map(|id| Registration::Removed { id });
    follow::merge_peers(gateway, present.chain(gone).collect(), is_whole, version);
    let ago = Duration::from_millis(read_ms_ago.into());
    if let Some(read_at) = asked_at.checked_sub(ago) {
        gateway.note_read(version, read_at, store_ms);
    }
    let known = gateway.registry();
    let is_same = known.version > version || known.view == view;
    if !is_same {
        emit(&Event::Undecodable {
            what: "changes of a peer",
            why: format!("version {version} is not the same registry here"),
        });
    }
    is_same
}

/// A live peer with the newest version of something, if it is newer than ours; any
/// of those that have it, so that not all ask the same.
fn ahead(gateway: &Gateway, version: impl Fn(&Beat) -> u64, known: u64) -> Option<IpAddr> {
    let peers = gateway.peers();
    let now = Instant::now();
    let newest = peers.live(now).map(|(_, beat)| version(beat)).max()?;
    if newest <= known {
        return None;
    }
    let live = peers.live(now).filter(|(_, beat)| version(beat) == newest);
    let all: Vec<IpAddr> = live.map(|(peer, _)| peer.ip).collect();
    fastrand::choice(all)
}

async fn fetch<T: DeserializeOwned>(gateway: &Gateway, ip: IpAddr, path: &str) -> Option<T> {
    let addr = SocketAddr::new(ip, gateway.host().peer_port);
    let why = match get(gateway, addr, path, ASK_TIMEOUT).await {
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
    let req = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header(HOST, addr.to_string())
        .body(empty())
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    let pool = Pool::new(addr, timeout).metered(&gateway.peer_bytes);
    pool.call(req, MAX_ANSWER, timeout).await
}

/// Answers a peer's question.
pub fn answer(gateway: &Gateway, req: &Request<Incoming>) -> Response<Body> {
    let path = req.uri().path();
    let known = match path.strip_prefix(REGISTRY_PATH) {
        Some(since) => registry_since(gateway, since),
        None if path == DURATIONS_PATH => Some(durations(gateway)),
        None if path == SNAPSHOT_PATH => {
            let snapshot = first_look::snapshot(gateway);
            snapshot.map(|known| wire::encode_compact(&known))
        }
        None if path == MEMBERS_PATH => {
            let members = gateway.peers().members();
            let known = (gateway.members_version(), members);
            Some(wire::encode_compact(&known))
        }
        None if path == CONFIG_PATH => gateway.routes().map(|t| wire::encode(&t.config)),
        None => None,
    };
    let Some(body) = known else {
        let mut res = Response::new(empty());
        *res.status_mut() = StatusCode::NOT_FOUND;
        return res;
    };
    Response::new(full(body))
}

fn durations(gateway: &Gateway) -> Vec<u8> {
    let told = gateway.fleet().told_durations(Instant::now());
    wire::encode_compact(&told)
}

fn registry_since(gateway: &Gateway, since: &str) -> Option<Vec<u8>> {
    let changes = gateway.changes_since(since.parse().ok()?)?;
    Some(wire::encode_compact(&changes))
}
