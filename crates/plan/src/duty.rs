//! The planner's task for one service.

use crate::lease::{Keeper, Standing};
use crate::policy::{Engine, NewOrder, any_to_change, orders};
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

/// Name of the duty in its lease's key.
pub const DUTY: &str = "plan";

/// Longest wait for an agent's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest status.
const MAX_STATUS: usize = 64 << 10;
/// Longest that rows of the desired state are kept in mind, should an operator mend one by hand.
const READ_AGAIN: Duration = Duration::from_secs(60);
/// Renewals in the time after which a lease counts as stale.
const RENEWALS: u32 = 3;

/// The planner's task for one service in one process.
#[derive(Debug)]
pub struct Duty<T> {
    /// The table service.
    pub table: T,
    /// The documents in force.
    pub documents: Arc<Documents>,
    /// The service.
    pub service: String,
    /// This process, by name and incarnation.
    pub holder: String,
    /// How long a lease stands unrenewed before it may be taken.
    pub stale_after: Duration,
    /// The lease rows as they were last read, sorted by key.
    pub leases: watch::Receiver<Vec<Row>>,
    /// Counts the bytes between the planner and agents.
    pub meter: Meter,
    /// Ends the task; the lease is given up.
    pub stop: Stop,
}

/// What the planner keeps in mind while it holds the lease.
#[derive(Debug, Default)]
struct Memory {
    /// Connections to agents, sorted by address.
    peers: Vec<Peer>,
    /// The engines with their rows of the desired state. Only the holder of the lease writes
    /// these rows, so they need no reading again until a write goes astray.
    engines: Vec<Engine>,
    /// Version of the document that `engines` is of, and when it was read.
    read: Option<(u64, Instant)>,
}

impl Memory {
    fn is_fresh(&self, version: u64, now: Instant) -> bool {
        let fresh = |(v, at): (u64, Instant)| v == version && now - at < READ_AGAIN;
        self.read.is_some_and(fresh)
    }
}

impl<T: Table> Duty<T> {
    /// Runs until the stop signal.
    pub async fn run(mut self) {
        let key = lease_key(DUTY, &self.service);
        let mut keeper = Keeper::new(key, self.holder.clone(), self.stale_after);
        let mut memory = Memory::default();
        let every = self.stale_after / RENEWALS;
        while !self.stop.is_stopped() {
            let before = epoch(&keeper);
            self.look(&mut keeper, &mut memory).await;
            self.tell(before, epoch(&keeper));
            tokio::select! {
                () = tokio::time::sleep(jittered_interval(every)) => {}
                () = self.stop.stopped() => {}
            }
        }
        keeper.give_up(&self.table).await;
    }

    async fn look(&mut self, keeper: &mut Keeper, memory: &mut Memory) {
        let Some(doc) = self.documents.get(&self.service) else {
            return;
        };
        // A plain service has no roles, so there is nothing to plan.
        if !doc.doc.is_engine() {
            return;
        }
        match keeper.standing() {
            Standing::Watching => {
                memory.read = None;
                let rows = self.leases.borrow_and_update().clone();
                let row = rows.iter().find(|r| r.key == keeper.key());
                if keeper.may_take(row, Instant::now()) {
                    keeper.take(&self.table, row).await;
                }
            }
            Standing::Holding { .. } => keeper.renew(&self.table).await,
        }
        let Standing::Holding { lease, version } = keeper.standing().clone() else {
            return;
        };
        if !memory.is_fresh(doc.version, Instant::now()) {
            let Some(engines) = self.read_engines(&doc).await else {
                return;
            };
            memory.engines = engines;
            memory.read = Some((doc.version, Instant::now()));
        }
        if any_to_change(&doc.doc, &memory.engines) {
            self.ask_all(&doc, memory).await;
            for order in orders(&doc.doc, &memory.engines, lease.epoch) {
                self.write(keeper.key(), version, memory, order).await;
            }
        }
    }

    /// Reads the engines' rows of the desired state; none while the store is down.
    async fn read_engines(&self, doc: &InForce) -> Option<Vec<Engine>> {
        let ups = &doc.doc.upstreams;
        let key = |name: &str| desired_key(&self.service, name);
        let rows = self
            .table
            .read(ups.iter().map(|u| key(&u.name)).collect())
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
        Some(ups.iter().map(engine).collect())
    }

    /// Asks the agents of engines that have an order how they stand, all at
    /// once: a silent one must not hold up the renewal of the lease.
    async fn ask_all(&self, doc: &InForce, memory: &mut Memory) {
        let mut asking = JoinSet::new();
        for (at, e) in memory
            .engines
            .iter()
            .enumerate()
            .filter(|(_, e)| e.desired.is_some())
        {
            let peer = peer(&mut memory.peers, e.agent, &self.meter).clone();
            asking.spawn(async move { (at, status(&peer).await) });
        }
        while let Some(asked) = asking.join_next().await {
            // A task that panicked was reported; its engine counts as silent.
            let Ok((at, status)) = asked else { continue };
            memory.engines[at].status = status;
        }
        let named: Vec<SocketAddr> = doc.doc.upstreams.iter().map(|u| u.agent).collect();
        memory.peers.retain(|p| named.contains(&p.addr()));
    }

    async fn write(&self, lease: &str, version: u64, memory: &mut Memory, order: NewOrder) {
        let engine = &mut memory.engines[order.engine];
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
                // What it said before is about the order before.
                engine.status = None;
                let peer = peer(&mut memory.peers, engine.agent, &self.meter).clone();
                // Not waited for: a silent agent must not hold up the lease.
                tokio::spawn(async move { nudge(&peer).await });
            }
            // Nothing was written, or nobody knows: the rows are read again.
            Err(WriteError::Refused(_) | WriteError::Unavailable(_) | WriteError::Unknown(_)) => {
                memory.read = None;
            }
        }
    }

    fn tell(&self, before: Option<u64>, after: Option<u64>) {
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

/// The transaction that is an order. It takes effect only while the lease's row
/// has the version that its holder wrote last, and the row of the desired state the version that
/// the planner goes by.
pub fn order_txn(lease: (&str, u64), row: (&str, u64), desired: &Desired) -> Txn {
    Txn::new()
        .check(lease.0, lease.1)
        .check(row.0, row.1)
        .put(row.0, encode(desired))
}

fn epoch(keeper: &Keeper) -> Option<u64> {
    match keeper.standing() {
        Standing::Watching => None,
        Standing::Holding { lease, .. } => Some(lease.epoch),
    }
}

/// The kept connection to an agent; the list is sorted by address.
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

async fn status(peer: &Peer) -> Option<AgentStatus> {
    let answer = peer
        .call(
            Method::GET,
            PATH_STATUS,
            Vec::new(),
            MAX_STATUS,
            STATUS_TIMEOUT,
        )
        .await;
    wire::decode(&answer.ok()?.1)
}

/// Tells an agent to look at its row of the desired state. It would look by itself a little later.
async fn nudge(peer: &Peer) {
    let call = peer.call(
        Method::POST,
        PATH_NUDGE,
        Vec::new(),
        MAX_STATUS,
        STATUS_TIMEOUT,
    );
    // A nudge that is lost costs a few seconds, nothing else.
    let _ = call.await;
}
