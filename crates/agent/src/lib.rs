//! The agent: the one way to its upstream.
//!
//! Every request to the upstream and every order to it passes through here. The
//! agent holds its listening address exclusively, enforces the document, queues
//! and refuses, records claims of non-idempotent calls before they run, and
//! drains when it is told to stop or its host leaves.

pub mod admission;
mod attempt;
pub mod claims;
mod complete;
mod exits;
mod frames;
mod orders;
mod peer;
mod plain;
mod prefixes;
pub mod rates;
mod run;
mod state;

use conf::Settings;
use net::{HeadLimits, Protocol, Server, Stop};
use node::{Node, StartError};
use observe::{Event, emit};
use state::Agent;
use std::sync::Arc;
use store::poll::AlsoRows;
use store::rows::desired_key;
use tokio::sync::watch;

/// Runs an agent until `stop` is given and the last request has ended.
pub async fn run(settings: Settings, stop: Stop) -> Result<(), StartError> {
    let Some(upstream) = settings.upstream.clone() else {
        return Err(StartError::Settings("an agent needs the field `upstream`"));
    };
    let [service] = settings.services.as_slice() else {
        return Err(StartError::Settings("an agent serves exactly one service"));
    };
    let (tx, desired) = watch::channel(Vec::new());
    let also = AlsoRows {
        keys: vec![desired_key(service, &upstream.name)],
        tx,
    };
    let service = service.clone();
    // Bound before anything else: while this process lives, paused or not, no
    // second agent for this upstream can get past this line.
    let addr = settings.listen;
    let listener = net::bind(addr).map_err(|e| StartError::Bind(addr, e))?;
    let node = Node::start(settings, Some(also), stop.clone());
    let agent = Agent::new(node.clone(), service, &upstream);
    let ready = agent.clone();
    node.serve_admin(move || ready.is_ready())?;
    let admin = node.settings.admin.to_string();
    emit(&Event::Started {
        listen: addr.to_string(),
        admin,
    });
    tokio::spawn(node.clone().stop_when_leaving());
    tokio::spawn(orders::reconcile(agent.clone(), desired));
    let serving = Stop::default();
    let server = Server {
        head: HeadLimits::new(node.settings.limits.read_timeout, node.settings.limits.head),
        protocol: Protocol::Any,
        drain: Stop::default(),
        stop: serving.clone(),
    };
    let handler = agent.clone();
    let server = tokio::spawn(server.run(listener, move |req| peer::serve(handler.clone(), req)));
    stop.stopped().await;
    drain(&agent, &serving).await;
    // The server's task ends once its last connection has. All requests have
    // ended; what is left is for their last frames to be taken, which a peer that
    // is paused or cut off never does.
    let _ = tokio::time::timeout(node.last_answers(), server).await;
    node.close_records().await;
    Ok(())
}

/// Takes no new work, lets running requests end, then lets the server end.
async fn drain(agent: &Arc<Agent>, serving: &Stop) {
    emit(&Event::Stopping {
        why: "signal or leaving host",
    });
    agent.begin_stop();
    let node = &agent.node;
    node.begin_stop(node.settings.limits.drain_bound);
    let unfinished = node.drained(std::future::ready(())).await;
    agent.claims.flush(node.last_answers()).await;
    serving.stop();
    emit(&Event::Stopped { unfinished });
}
