//! Task that holds a service's lease and writes the orders for its engines.

use crate::lease::{LeaseManager, LeaseState};
use crate::policy::{Engine, NewOrder, has_changes, new_orders};
use conf::Upstream;
use hyper::Method;
use net::{Meter, Peer, Stop};
use observe::{Event, emit};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::retry::jittered_interval;
use store::rows::{Desired, decode, desired_key, encode, lease_key};
use store::{Documents, InForce, Row, Table, Txn, WriteError};
use tokio::sync::watch;
use tokio::task::JoinSet;
use wire::{AgentStatus, PATH_NUDGE, PATH_STATUS};

/// Name of the planner in the keys of lease rows.
pub const DUTY: &str = "plan";

/// Timeout of a request for an agent's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of an agent's status.
const MAX_STATUS_BYTES: usize = 64 << 10;
/// Time after which cached rows of the desired state are read again, in case an operator changed
/// one by hand.
const REREAD_AFTER: Duration = Duration::from_secs(60);
/// Number of renewals in the time after which a lease is stale.
const RENEWALS_UNTIL_STALE: u32 = 3;

/// Planner of a service. Every entry process runs one, and the one with the lease is active.
#[derive(Debug)]
pub struct Planner<T> {
    /// Table that stores the lease and the orders.
    pub table: T,
    /// Current configuration documents.
    pub documents: Arc<Documents>,
    /// Name of the service.
    pub service: String,
    /// Name and incarnation of this process.
    pub holder: String,
    /// Time without renewal after which another process may acquire the lease.
    pub stale_after: Duration,
    /// Lease rows of the last read, sorted by key.
    pub leases: watch::Receiver<Vec<Row>>,
    /// Counts the bytes between the planner and agents.
    pub meter: Meter,
    /// Signal to stop the task and release the lease.
    pub stop: Stop,
}

/// State that the planner caches while it holds the lease.
#[derive(Debug, Default)]
struct Cache {
    /// Connections to agents, sorted by address.
    peers: Vec<Peer>,
    /// Engines with their rows of the desired state. Only the lease holder writes these rows, so
    /// they need not be read again before a write fails or has an unknown outcome.
    engines: Vec<Engine>,
    /// Version of the document on which `engines` is based, and the time of the read.
    engines_read: Option<(u64, Instant)>,
}

impl Cache {
    fn is_fresh(&self, version: u64, now: Instant) -> bool {
        let fresh = |(v, at): (u64, Instant)| v == version && now - at < REREAD_AFTER;
        self.engines_read.is_some_and(fresh)
    }
}

impl<T: Table> Planner<T> {
    /// Runs until the stop signal, then releases the lease.
    pub async fn run(mut self) {
        let key = lease_key(DUTY, &self.service);
        let mut lease_manager = LeaseManager::new(key, self.holder.clone(), self.stale_after);
        let mut cache = Cache::default();
        let every = self.stale_after / RENEWALS_UNTIL_STALE;
        while !self.stop.is_stopped() {
            let before = held_epoch(&lease_manager);
            self.run_once(&mut lease_manager, &mut cache).await;
            self.log_lease_change(before, held_epoch(&lease_manager));
            tokio::select! {
                () = tokio::time::sleep(jittered_interval(every)) => {}
                () = self.stop.stopped() => {}
            }
        }
        lease_manager.release(&self.table).await;
    }

    async fn run_once(&mut self, lease_manager: &mut LeaseManager, cache: &mut Cache) {
        let Some(doc) = self.documents.get(&self.service) else {
            return;
        };
        // A plain service has no roles, so there is nothing to plan.
        if !doc.doc.is_engine() {
            return;
        }
        match lease_manager.state() {
            LeaseState::NotHeld => {
                cache.engines_read = None;
                let rows = self.leases.borrow_and_update().clone();
                let row = rows.iter().find(|r| r.key == lease_manager.key());
                if lease_manager.can_acquire(row, Instant::now()) {
                    lease_manager.acquire(&self.table, row).await;
                }
            }
            LeaseState::Held { .. } => lease_manager.renew(&self.table).await,
        }
        let LeaseState::Held { lease, version } = lease_manager.state().clone() else {
            return;
        };
        if !cache.is_fresh(doc.version, Instant::now()) {
            let Some(engines) = self.read_engines(&doc).await else {
                return;
            };
            cache.engines = engines;
            cache.engines_read = Some((doc.version, Instant::now()));
        }
        if has_changes(&doc.doc, &cache.engines) {
            self.fetch_statuses(&doc, cache).await;
            for order in new_orders(&doc.doc, &cache.engines, lease.epoch) {
                self.write_order(lease_manager.key(), version, cache, order)
                    .await;
            }
        }
    }

    /// Reads the engines' rows of the desired state; `None` if the table is unavailable.
    async fn read_engines(&self, doc: &InForce) -> Option<Vec<Engine>> {
        let upstreams = &doc.doc.upstreams;
        let key = |name: &str| desired_key(&self.service, name);
        let rows = self
            .table
            .read(upstreams.iter().map(|u| key(&u.name)).collect())
            .await
            .ok()?;
        let engine = |u: &Upstream| {
            let row = rows.iter().find(|r| r.key == key(&u.name));
            Engine {
                name: u.name.clone(),
                agent: u.agent,
                desired: row.and_then(|r| decode(&r.value)),
                version: row.map_or(0, |r| r.version),
                status: None,
            }
        };
        Some(upstreams.iter().map(engine).collect())
    }

    /// Fetches the status of all engines that have an order from their agents. The requests run
    /// concurrently, so that unresponsive agents don't delay the renewal of the lease.
    async fn fetch_statuses(&self, doc: &InForce, cache: &mut Cache) {
        let mut requests = JoinSet::new();
        for (at, e) in cache
            .engines
            .iter()
            .enumerate()
            .filter(|(_, e)| e.desired.is_some())
        {
            let peer = peer(&mut cache.peers, e.agent, &self.meter).clone();
            requests.spawn(async move { (at, fetch_status(&peer).await) });
        }
        while let Some(result) = requests.join_next().await {
            // A panic of the task was already reported; the engine's status stays unchanged.
            let Ok((at, status)) = result else { continue };
            cache.engines[at].status = status;
        }
        let agents: Vec<SocketAddr> = doc.doc.upstreams.iter().map(|u| u.agent).collect();
        cache.peers.retain(|p| agents.contains(&p.addr()));
    }

    async fn write_order(&self, lease: &str, version: u64, cache: &mut Cache, order: NewOrder) {
        let engine = &mut cache.engines[order.engine];
        let key = desired_key(&self.service, &engine.name);
        let txn = order_txn((lease, version), (&key, engine.version), &order.desired);
        match self.table.commit(&txn).await {
            Ok(version) => {
                emit(&Event::OrderWritten {
                    service: &self.service,
                    upstream: &engine.name,
                    order: order.desired.order,
                    why: &order.desired.why,
                });
                engine.desired = Some(order.desired);
                engine.version = version;
                // The last status refers to the previous order.
                engine.status = None;
                let peer = peer(&mut cache.peers, engine.agent, &self.meter).clone();
                // Runs in the background, as an unresponsive agent must not delay the renewal of
                // the lease.
                tokio::spawn(async move { nudge(&peer).await });
            }
            // Not written, or the outcome is unknown: the rows are read again.
            Err(WriteError::Refused(_) | WriteError::Unavailable(_) | WriteError::Unknown(_)) => {
                cache.engines_read = None;
            }
        }
    }

    fn log_lease_change(&self, before: Option<u64>, after: Option<u64>) {
        match (before, after) {
            (None, Some(epoch)) => emit(&Event::LeaseTaken {
                service: &self.service,
                epoch,
            }),
            (Some(epoch), None) => emit(&Event::LeaseLost {
                service: &self.service,
                epoch,
            }),
            _ => {}
        }
    }
}

/// Returns the transaction that writes an order. It is refused unless the lease row has the
/// version that its holder wrote last, and the row of the desired state has the version that
/// the planner read.
pub fn order_txn(lease: (&str, u64), row: (&str, u64), desired: &Desired) -> Txn {
    Txn::new()
        .check(lease.0, lease.1)
        .check(row.0, row.1)
        .put(row.0, encode(desired))
}

fn held_epoch(lease_manager: &LeaseManager) -> Option<u64> {
    match lease_manager.state() {
        LeaseState::NotHeld => None,
        LeaseState::Held { lease, .. } => Some(lease.epoch),
    }
}

/// Returns the connection to an agent, and adds it if necessary. The list is sorted by address.
fn peer<'a>(peers: &'a mut Vec<Peer>, addr: SocketAddr, meter: &Meter) -> &'a Peer {
    let at = match peers.binary_search_by_key(&addr, Peer::addr) {
        Ok(at) => at,
        Err(at) => {
            peers.insert(at, Peer::new(addr, STATUS_TIMEOUT).metered(meter));
            at
        }
    };
    &peers[at]
}

async fn fetch_status(peer: &Peer) -> Option<AgentStatus> {
    let answer = peer
        .call(
            Method::GET,
            PATH_STATUS,
            Vec::new(),
            MAX_STATUS_BYTES,
            STATUS_TIMEOUT,
        )
        .await;
    wire::decode(&answer.ok()?.1)
}

/// Asks an agent to read its row of the desired state now instead of at its next poll.
async fn nudge(peer: &Peer) {
    let call = peer.call(
        Method::POST,
        PATH_NUDGE,
        Vec::new(),
        MAX_STATUS_BYTES,
        STATUS_TIMEOUT,
    );
    // If the request is lost, the agent reads the row a few seconds later.
    let _ = call.await;
}
