//! Loads the initial state from a peer instead of the store.
//!
//! In a large fleet this saves the store a full read of each table per start. Processes that start
//! together find no peer with a complete snapshot, so each asks for a random time before it falls
//! back to the store: the first ones read the store, and the others load their snapshots.

use super::catch_up::{self, RegistryChanges};
use super::{CrashReport, Member};
use crate::monotonic;
use crate::state::Gateway;
use crate::{crashes, follow};
use platform::{Config, Position};
use serde::{Deserialize, Serialize};
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Maximum time for which readers of other tables wait for the first page of the processes.
const FIRST_PAGE_TIMEOUT: Duration = Duration::from_millis(100);
/// The same at the first start of the system, when there is no traffic yet and all processes write
/// their rows first.
const FIRST_START_PAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum of the random time for which peers are asked.
const MAX_ASK_TIME: Duration = Duration::from_millis(800);
/// The same at the first start of the system.
const FIRST_START_MAX_ASK_TIME: Duration = Duration::from_secs(4);
/// Pause between attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Stage of loading from peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The first page of the processes hasn't been read.
    Pending,
    /// Peers are being asked for a snapshot.
    Asking,
    /// The store may be read.
    Finished,
}

/// Progress of loading from peers, shared with the readers of the store.
#[derive(Debug)]
pub struct StartupLoad {
    stage: watch::Sender<Stage>,
    has_loaded: AtomicBool,
}

impl Default for StartupLoad {
    fn default() -> Self {
        Self {
            stage: watch::Sender::new(Stage::Pending),
            has_loaded: AtomicBool::new(false),
        }
    }
}

impl StartupLoad {
    /// Waits until tables other than that of the processes may be read from the store.
    pub async fn finished(&self, is_first_start: bool) {
        let mut stage = self.stage.subscribe();
        let timeout = match is_first_start {
            true => FIRST_START_PAGE_TIMEOUT,
            false => FIRST_PAGE_TIMEOUT,
        };
        let first_page = stage.wait_for(|s| *s != Stage::Pending);
        if tokio::time::timeout(timeout, first_page).await.is_err() {
            return;
        }
        // Fails only if the sender is dropped, which lives as long as the process.
        let _ = stage.wait_for(|s| *s == Stage::Finished).await;
    }

    /// Whether a snapshot of a peer was loaded.
    pub fn has_loaded(&self) -> bool {
        self.has_loaded.load(Ordering::Relaxed)
    }

    /// Allows the store to be read.
    pub fn finish(&self) {
        self.stage.send_replace(Stage::Finished);
    }

    fn start(&self) {
        self.stage.send_replace(Stage::Asking);
    }
}

/// State that a starting process loads from a peer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store's position up to which the processes are known.
    pub members_position: Position,
    /// The processes of the system.
    pub members: Vec<Member>,
    /// The configuration in force.
    pub config: Config,
    /// The registry.
    pub registry: RegistryChanges,
    /// Crashes of upstreams that are recorded in the store.
    pub crashes: Vec<CrashReport>,
}

/// This process's snapshot for a starting peer; `None` while it is incomplete.
pub fn snapshot(gateway: &Gateway) -> Option<Snapshot> {
    let members_position = gateway.members_position();
    if !members_position.is_known() {
        return None;
    }
    let mut members = gateway.peers().members();
    let host = gateway.host();
    members.push(Member {
        host: host.name.clone(),
        ip: host.ip,
        zone: gateway.location().zone,
    });
    Some(Snapshot {
        members_position,
        members,
        config: gateway.routes()?.config.clone(),
        registry: gateway.changes_since(Position::NONE)?,
        crashes: crashes::recorded_crashes(gateway, monotonic::now()),
    })
}

/// Asks known peers for a snapshot until one is loaded or the time is up. Returns whether one
/// was loaded.
pub async fn load_snapshot(gateway: &Arc<Gateway>) -> bool {
    gateway.startup_load.start();
    let max_time = match gateway.is_first_start() {
        true => FIRST_START_MAX_ASK_TIME,
        false => MAX_ASK_TIME,
    };
    let until = monotonic::now() + max_time.mul_f64(fastrand::f64());
    let has_loaded = loop {
        let peers = gateway.peers().addresses();
        if let Some(ip) = fastrand::choice(peers)
            && load_from(gateway, ip).await
        {
            break true;
        }
        if monotonic::now() >= until {
            break false;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    };
    gateway
        .startup_load
        .has_loaded
        .store(has_loaded, Ordering::Relaxed);
    gateway.startup_load.finish();
    has_loaded
}

async fn load_from(gateway: &Arc<Gateway>, ip: IpAddr) -> bool {
    let asked_at = monotonic::now();
    let Some(snapshot) = catch_up::fetch_snapshot(gateway, ip).await else {
        return false;
    };
    let own = gateway.host().ip;
    {
        let mut peers = gateway.peers();
        peers.set_members(own, &snapshot.members, &mut gateway.fleet());
    }
    gateway.set_members_position(snapshot.members_position);
    follow::apply_config(gateway, snapshot.config, "peer");
    catch_up::apply_changes(gateway, snapshot.registry, asked_at);
    crashes::apply_recorded(gateway, &snapshot.crashes, monotonic::now());
    true
}
