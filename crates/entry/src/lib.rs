//! The entry: accepts requests from callers and selects an upstream for each.
//!
//! An entry doesn't track the load of the fleet. It probes a few agents per request and sends the
//! request to the best one. Another agent is tried only if the request was refused as "not run", or
//! if the request is idempotent.

mod accounting;
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
use store::poll::ExtraRows;
use store::rows::lease_key;
use tokio::sync::watch;

/// Runs an entry until `stop` is triggered and the last request has ended.
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
    let node = Node::start(settings, Some(ExtraRows { keys, tx }), stop.clone());
    let listener = node.listen()?;
    let entry = Entry::new(node.clone());
    let health = entry.clone();
    node.serve_admin(move || health.is_ready())?;
    tokio::spawn(node.clone().stop_when_leaving());
    tokio::spawn(remove_unlisted_agents(entry.clone()));
    let syncing = entry.clone();
    tokio::spawn(async move { syncing.crashes.sync().await });
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
    // The health check fails from now on. Requests that the load balancer still sends until it
    // notices are served.
    tokio::time::sleep(limits.linger).await;
    serving.stop();
    // The server task ends after its last connection, which may still deliver another request.
    let unfinished = node.drain(&mut server).await;
    emit(&Event::Stopped { unfinished });
    // A panic of the task was already reported. The wait is bounded, as a caller might never read
    // its response.
    if !server.is_finished() {
        let _ = tokio::time::timeout(node.final_responses_timeout(), server).await;
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

/// Removes agents that are no longer listed in any document, whenever a document changes.
async fn remove_unlisted_agents(entry: Arc<Entry>) {
    let documents = &entry.node.documents;
    let mut changed = documents.subscribe();
    // The sender is owned by `documents`, so the loop runs until the process exits.
    while changed.changed().await.is_ok() {
        let docs = documents
            .services()
            .into_iter()
            .filter_map(|s| documents.get(&s));
        let mut listed: Vec<_> = docs
            .flat_map(|d| d.doc.upstreams.iter().map(|u| u.agent).collect::<Vec<_>>())
            .collect();
        listed.sort_unstable();
        entry.peers.keep_only(&listed);
        entry.health.keep_only(&listed);
    }
}
