//! The planner's task for one service.

use crate::lease::{Keeper, Standing};
use crate::policy::{Engine, NewOrder, any_to_change, orders};
use hyper::Method;
use net::{Meter, Peer, Stop};
use observe::{Event, emit};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::retry::around;
use store::rows::{decode, encode, lease_key, want_key};
use store::{DocBook, InForce, Row, Table, Txn, WriteError};
use tokio::sync::watch;
use wire::{AgentStatus, PATH_NUDGE, PATH_STATUS};

/// Name of the duty in its lease's key.
pub const DUTY: &str = "plan";

/// Longest wait for an agent's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest status.
const MAX_STATUS: usize = 64 << 10;
/// Renewals in the time after which a lease counts as stale.
const RENEWALS: u32 = 3;

/// The planner's task for one service in one process.
#[derive(Debug)]
pub struct Duty<T> {
    /// The table service.
    pub table: T,
    /// The documents in force.
    pub book: Arc<DocBook>,
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

impl<T: Table> Duty<T> {
    /// Runs until the stop signal.
    pub async fn run(mut self) {
        let key = lease_key(DUTY, &self.service);
        let mut keeper = Keeper::new(key, self.holder.clone(), self.stale_after);
        let mut peers = Vec::new();
        let every = self.stale_after / RENEWALS;
        while !self.stop.is_stopped() {
            let before = epoch(&keeper);
            self.look(&mut keeper, &mut peers).await;
            self.tell(before, epoch(&keeper));
            tokio::select! {
                () = tokio::time::sleep(around(every)) => {}
                () = self.stop.stopped() => {}
            }
        }
        keeper.give_up(&self.table).await;
    }

    async fn look(&mut self, keeper: &mut Keeper, peers: &mut Vec<Peer>) {
        let Some(doc) = self.book.get(&self.service) else {
            return;
        };
        match keeper.standing() {
            Standing::Watching => {
                let rows = self.leases.borrow_and_update().clone();
                let row = rows.iter().find(|r| r.key == keeper.key());
                if keeper.may_take(row, Instant::now()) {
                    keeper.take(&self.table, row).await;
                }
            }
            Standing::Holding { .. } => keeper.renew(&self.table).await,
        }
        if let Standing::Holding { lease, version } = keeper.standing().clone()
            && let Some(engines) = self.engines(&doc, peers).await
        {
            for order in orders(&doc.doc, &engines, lease.epoch) {
                let engine = &engines[order.engine];
                self.write(keeper.key(), version, engine, &order).await;
                let id = doc.doc.upstream_named(&engine.name);
                if let Some(u) = id.map(|id| doc.doc.upstream(id)) {
                    nudge(peer(peers, u.agent, &self.meter)).await;
                }
            }
        }
    }

    /// The engines with their want rows and statuses; none while the store is down.
    async fn engines(&self, doc: &InForce, peers: &mut Vec<Peer>) -> Option<Vec<Engine>> {
        let ups = &doc.doc.upstreams;
        let keys: Vec<String> = ups
            .iter()
            .map(|u| want_key(&self.service, &u.name))
            .collect();
        let rows = self.table.read(keys.clone()).await.ok()?;
        let mut engines = Vec::new();
        for (u, key) in ups.iter().zip(keys) {
            let row = rows.iter().find(|r| r.key == key);
            engines.push(Engine {
                name: u.name.clone(),
                want: row.and_then(|r| decode(&r.value)),
                version: row.map_or(0, |r| r.version),
                status: None,
            });
        }
        if any_to_change(&doc.doc, &engines) {
            for (e, u) in engines.iter_mut().zip(ups) {
                e.status = status(peer(peers, u.agent, &self.meter)).await;
            }
        }
        Some(engines)
    }

    async fn write(&self, lease: &str, version: u64, engine: &Engine, order: &NewOrder) {
        let key = want_key(&self.service, &engine.name);
        let txn = Txn::new()
            .check(lease, version)
            .check(&key, engine.version)
            .put(&key, encode(&order.want));
        let done = match self.table.commit(&txn).await {
            Ok(_) => true,
            // The lease or the row has moved on: nothing was written.
            Err(WriteError::Refused(_) | WriteError::Unavailable(_)) => false,
            // The next look reads the row, and sees what became of it.
            Err(WriteError::Unknown(_)) => false,
        };
        if done {
            emit(&Event::OrderWritten {
                service: &self.service,
                upstream: &engine.name,
                order: order.want.order,
                why: &order.want.why,
            });
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

/// Tells an agent to look at its want row. It would look by itself a little later.
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
