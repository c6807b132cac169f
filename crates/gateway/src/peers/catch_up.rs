//! Takes the configuration and the registry from a peer that has newer ones, over
//! HTTP on the port of the datagrams.
//!
//! Of the registry only what has changed is fetched. The peer's hash of all that it
//! knows shows whether that was enough; else the whole registry is fetched.

use crate::follow;
use crate::peers::Beat;
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

/// Time that the store has to bring what a peer has already before the peer is
/// asked: asking is for processes that the store refuses.
const PEER_AHEAD: Duration = Duration::from_millis(250);
/// The same for a process that has never read the registry. All processes start
/// together after a loss of power, and a whole registry is long; a read of the store
/// that works takes some 100 ms for 3,000 upstreams.
const FIRST_READ_AHEAD: Duration = Duration::from_millis(1500);
/// Pause between two looks at what peers know, besides those that a datagram of a peer
/// with a newer registry brings about.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// Longest wait for a peer's answer: 300 KB over a link of 10 Mbit/s take 240 ms.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);
/// Largest answer of a peer: some thousand routes or upstreams.
const MAX_ANSWER: usize = 8 << 20;

const CONFIG_PATH: &str = "/config";
const REGISTRY_PATH: &str = "/registry";
/// Path of what has changed since a version, which stands behind it.
const CHANGES_PATH: &str = "/registry/since/";

/// The registry as a process knows it.
#[derive(Debug, Serialize, Deserialize)]
struct RegistryView {
    version: u64,
    instances: Vec<Instance>,
}

/// What has changed in the registry since a version.
#[derive(Debug, Serialize, Deserialize)]
pub struct RegistryChanges {
    /// The version that these changes lead to.
    pub version: u64,
    /// Hash of the whole registry then; see [`crate::fleet::Fleet::view`].
    pub view: u64,
    /// Upstreams that were added or changed.
    pub present: Vec<Instance>,
    /// Ids of those that are gone.
    pub gone: Vec<String>,
}

/// Asks peers for what they know and this process doesn't, until it ends.
pub async fn ask(gateway: Arc<Gateway>) {
    let started_at = Instant::now();
    let mut config_ahead = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(ASK_EVERY) => {}
            () = gateway.behind.notified() => {}
        }
        let now = Instant::now();
        match ahead(&gateway, |beat| beat.config, gateway.config_version()) {
            None => config_ahead = None,
            Some(ip) if now - *config_ahead.get_or_insert(now) >= PEER_AHEAD => {
                if let Ok(config) = fetch::<Config>(&gateway, ip, CONFIG_PATH).await {
                    follow::put_in_force(&gateway, config, "peer");
                }
            }
            Some(_) => {}
        }
        // A peer that is ahead and knows the same has been taken at its word.
        let known = gateway.registry().version;
        if known == 0 && now - started_at < FIRST_READ_AHEAD {
            continue;
        }
        if let Some(ip) = ahead(&gateway, |beat| beat.registry, known) {
            take_registry(&gateway, ip, known).await;
        }
    }
}

/// Takes a peer's registry: what has changed, or all of it if that isn't enough.
async fn take_registry(gateway: &Arc<Gateway>, ip: IpAddr, known: u64) {
    // What is held back is settled by a whole registry only.
    let may_take_changes = known > 0 && gateway.missing().is_empty();
    if may_take_changes {
        let path = format!("{CHANGES_PATH}{known}");
        match fetch::<RegistryChanges>(gateway, ip, &path).await {
            Ok(changes) => {
                if take_changes(gateway, changes) {
                    return;
                }
            }
            // A peer that doesn't know the changes, or can't tell of them.
            Err(Fault::Status(StatusCode::NOT_FOUND)) => {}
            Err(_) => return,
        }
    }
    if let Ok(view) = fetch::<RegistryView>(gateway, ip, REGISTRY_PATH).await {
        follow::merge_view(gateway, view.instances, view.version);
    }
}

/// Takes changes of the registry; says whether this process knows the same as the
/// peer then.
pub fn take_changes(gateway: &Arc<Gateway>, changes: RegistryChanges) -> bool {
    let RegistryChanges { version, view, .. } = changes;
    let present = changes.present.into_iter().map(Registration::Present);
    let gone = changes.gone.into_iter();
    let gone = gone.map(|id| Registration::Removed { id });
    follow::merge_changes(gateway, present.chain(gone).collect(), version);
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

/// Why a peer's answer brought nothing.
#[derive(Debug)]
enum Fault {
    /// It answered with another status than success.
    Status(StatusCode),
    /// There was no answer, or a malformed one.
    Lost,
}

async fn fetch<T: DeserializeOwned>(gateway: &Gateway, ip: IpAddr, path: &str) -> Result<T, Fault> {
    let addr = SocketAddr::new(ip, gateway.host().peer_port);
    let (fault, why) = match get(gateway, addr, path).await {
        Ok((StatusCode::OK, body)) => match wire::decode(&body) {
            Some(value) => return Ok(value),
            None => (Fault::Lost, "malformed answer".to_owned()),
        },
        Ok((status, _)) => (Fault::Status(status), format!("status {status}")),
        Err(e) => (Fault::Lost, e.to_string()),
    };
    emit(&Event::Undecodable {
        what: "answer of a peer",
        why: format!("{addr}{path}: {why}"),
    });
    Err(fault)
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
pub fn answer(gateway: &Gateway, req: &Request<Incoming>) -> Response<Body> {
    let path = req.uri().path();
    let known = match path.strip_prefix(CHANGES_PATH) {
        Some(since) => changes_since(gateway, since),
        None => match path {
            CONFIG_PATH => gateway.routes().map(|t| wire::encode(&t.config)),
            REGISTRY_PATH => registry_view(gateway).map(|view| wire::encode(&view)),
            _ => None,
        },
    };
    let Some(body) = known else {
        let mut res = Response::new(empty());
        *res.status_mut() = StatusCode::NOT_FOUND;
        return res;
    };
    Response::new(full(body))
}

fn changes_since(gateway: &Gateway, since: &str) -> Option<Vec<u8>> {
    let changes = gateway.changes_since(since.parse().ok()?)?;
    Some(wire::encode_compact(&changes))
}

fn registry_view(gateway: &Gateway) -> Option<RegistryView> {
    let version = gateway.settled_registry()?.version;
    let fleet = gateway.fleet();
    Some(RegistryView {
        version,
        instances: fleet.iter().map(|(_, u)| u.instance.clone()).collect(),
    })
}
