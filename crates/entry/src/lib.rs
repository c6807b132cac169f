//! The entry: takes callers' requests and chooses an upstream for each.
//!
//! An entry keeps no map of everyone's load. It asks a few agents at the moment
//! of choice, sends the request to the best, and goes on to another only after
//! a refusal that says "not run", or for an idempotent request.

mod account;
mod api;
mod attempt;
mod choose;
mod completion;
mod crashes;
mod docs;
pub mod health;
mod peers;
mod plain;
mod refusal;
mod reply;
mod session;
mod state;

use conf::Settings;
use net::{HeadLimits, Protocol, Server, Stop};
use node::{Node, StartError};
use observe::{Event, emit};
use plan::{DUTY, Planner};
use state::Entry;
use std::sync::Arc;
use store::poll::AlsoRows;
use store::rows::lease_key;
use tokio::sync::watch;

/// Runs an entry until `stop` is given and the last request has ended.
pub async fn run(settings: Settings, stop: Stop) -> Result<(), StartError> {
    if settings.upstream.is_some() {
        return Err(StartError::Settings("an entry takes no field `upstream`"));
    }
    let (tx, leases) = watch::channel(Vec::new());
    let keys = settings
        .services
        .iter()
        .map(|s| lease_key(DUTY, s))
        .collect();
    let node = Node::start(settings, Some(AlsoRows { keys, tx }), stop.clone());
    let listener = node.listen()?;
    let entry = Entry::new(node.clone());
    let health = entry.clone();
    node.serve_admin(move || health.is_ready())?;
    tokio::spawn(node.clone().stop_when_leaving());
    tokio::spawn(forget_unnamed(entry.clone()));
    let sharing = entry.clone();
    tokio::spawn(async move { sharing.crashes.share().await });
    let idle = entry.clone();
    tokio::spawn(async move { idle.peers.close_idle().await });
    let duties = start_duties(&node, &leases, &stop);
    let serving = Stop::default();
    let server = Server {
        head: HeadLimits::new(node.settings.limits.read_timeout, node.settings.limits.head),
        protocol: Protocol::Any,
        drain: Stop::default(),
        stop: serving.clone(),
    };
    let handler = entry.clone();
    let mut server =
        tokio::spawn(server.run(listener, move |req| api::serve(handler.clone(), req)));
    stop.stopped().await;
    let limits = &node.settings.limits;
    node.begin_stop(limits.linger + limits.drain_bound);
    emit(&Event::Stopping {
        why: "signal or leaving host",
    });
    // Health says no at once; callers that the balancer still sends are served
    // until it has noticed.
    tokio::time::sleep(limits.linger).await;
    serving.stop();
    // The server's task ends once its last connection has, which may bring one more
    // request until then.
    let unfinished = node.drained(&mut server).await;
    emit(&Event::Stopped { unfinished });
    // A panic in a task was reported already. A caller that never takes its answer
    // doesn't hold the process for ever.
    if !server.is_finished() {
        let _ = tokio::time::timeout(node.last_answers(), server).await;
    }
    for duty in duties {
        let _ = duty.await;
    }
    node.close_records().await;
    Ok(())
}

fn start_duties(
    node: &Arc<Node>,
    leases: &watch::Receiver<Vec<store::Row>>,
    stop: &Stop,
) -> Vec<tokio::task::JoinHandle<()>> {
    let duty = |service| Planner {
        table: node.platform.clone(),
        documents: node.documents.clone(),
        service,
        holder: node.id.clone(),
        stale_after: node.settings.limits.lease,
        leases: leases.clone(),
        meter: node.peer_bytes.clone(),
        stop: stop.clone(),
    };
    node.documents
        .services()
        .into_iter()
        .map(|s| tokio::spawn(duty(s).run()))
        .collect()
}

/// Forgets agents that no document names any more, at each change of a document.
async fn forget_unnamed(entry: Arc<Entry>) {
    let documents = &entry.node.documents;
    let mut changed = documents.watch();
    // The sender lives in `documents`, so this goes on until the process ends.
    while changed.changed().await.is_ok() {
        let docs = documents
            .services()
            .into_iter()
            .filter_map(|s| documents.get(&s));
        let mut named: Vec<_> = docs
            .flat_map(|d| d.doc.upstreams.iter().map(|u| u.agent).collect::<Vec<_>>())
            .collect();
        named.sort_unstable();
        entry.peers.keep_only(&named);
        entry.health.keep_only(&named);
    }
}
