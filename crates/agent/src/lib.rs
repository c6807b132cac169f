//! The agent: a proxy in front of one upstream that all requests and orders pass through.
//!
//! It has exclusive use of its listen address, applies the document, queues and refuses requests,
//! and records claims of non-idempotent calls before they run. It drains when it receives a stop
//! signal or its host is leaving.

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
use store::poll::ExtraRows;
use store::rows::desired_key;
use tokio::sync::watch;

/// Runs an agent until `stop` is triggered and the last request has ended.
pub async fn run(settings: Settings, stop: Stop) -> Result<(), StartError> {
    let Some(upstream) = settings.upstream.clone() else {
        return Err(StartError::Settings("an agent needs the field `upstream`"));
    };
    let [service] = settings.services.as_slice() else {
        return Err(StartError::Settings("an agent serves exactly one service"));
    };
    let (tx, desired) = watch::channel(Vec::new());
    let extra_rows = ExtraRows {
        keys: vec![desired_key(service, &upstream.name)],
        tx,
    };
    let service = service.clone();
    // Binds first, so that no second agent for this upstream can start while this process exists,
    // even if it is paused.
    let addr = settings.listen;
    let listener = net::bind(addr).map_err(|e| StartError::Bind(addr, e))?;
    let node = Node::start(settings, Some(extra_rows), stop.clone());
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
    // The server task ends after its last connection. All requests have ended at this point, but a
    // peer that is paused or disconnected might never read its last frames, so the wait is bounded.
    let _ = tokio::time::timeout(node.final_responses_timeout(), server).await;
    node.close_records().await;
    Ok(())
}

/// Stops accepting requests, waits for running ones, then stops the server.
async fn drain(agent: &Arc<Agent>, serving: &Stop) {
    emit(&Event::Stopping {
        why: "signal or leaving host",
    });
    agent.begin_stop();
    let node = &agent.node;
    node.begin_stop(node.settings.limits.drain_bound);
    let unfinished = node.drain(std::future::ready(())).await;
    agent.claims.flush(node.final_responses_timeout()).await;
    serving.stop();
    emit(&Event::Stopped { unfinished });
}
