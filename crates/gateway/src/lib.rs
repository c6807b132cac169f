//! The gateway: takes clients' requests on the users' platform and passes each
//! to an upstream, straight and byte for byte.
//!
//! One pipeline: receive, route, choose, attempt, relay, account. What the
//! process believes comes from the store (configuration and registry) and from
//! its own requests; it keeps nothing, and goes on without the store with what
//! it knows.

pub mod account;
pub mod answer;
pub mod attempt;
pub mod choose;
pub mod crashes;
pub mod division;
pub mod duty;
pub mod events;
pub mod fleet;
pub mod follow;
pub mod history;
pub mod missing;
pub mod peers;
pub mod quota;
pub mod ready;
pub mod relay;
pub mod reload;
pub mod routes;
pub mod serve;
pub mod state;
pub mod stop;
pub mod tenants;

use net::server::bind;
use net::{Protocol, Server, Stop};
use observe::{Event, emit};
use platform::HostSettings;
use quick_error::quick_error;
use state::Gateway;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Pause between two looks at whether requests still run.
const LOOK_EVERY: Duration = Duration::from_millis(50);

quick_error! {
    /// Why a gateway can't start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be bound; another process may hold it.
        Bind(addr: SocketAddr, e: std::io::Error) { display("can't bind {addr}: {e}") }
        /// The settings name no address for clients.
        NoAddress(what: &'static str) { display("the settings name no address for {what}") }
    }
}

/// Runs a gateway until it is told to stop and its last request has ended.
pub async fn run(path: PathBuf, host: HostSettings, stop: Stop) -> Result<(), StartError> {
    let callers = host.client_addr.ok_or(StartError::NoAddress("callers"))?;
    let ready = host
        .readiness_addr
        .ok_or(StartError::NoAddress("readiness"))?;
    let listener = bind(callers).map_err(|e| StartError::Bind(callers, e))?;
    let gateway = Gateway::new(host, stop.clone());
    ready::serve(&gateway, ready)?;
    emit(&Event::Started {
        listen: callers.to_string(),
        admin: ready.to_string(),
    });
    if gateway.host().is_first_start {
        gateway.fleet().see_starts();
    }
    tokio::spawn(follow::follow_config(gateway.clone()));
    tokio::spawn(follow::follow_registry(gateway.clone()));
    tokio::spawn(crashes::rows::follow(gateway.clone()));
    tokio::spawn(crashes::rows::write(gateway.clone()));
    let exchange = peers::exchange::start(&gateway)?;
    tokio::spawn(peers::membership::follow(gateway.clone()));
    tokio::spawn(division::orders::follow(gateway.clone()));
    duty::usage::exchange::start(&gateway)?;
    quota::start(&gateway)?;
    tokio::spawn(duty::usage::follow(gateway.clone()));
    tokio::spawn(duty::scaling::follow(gateway.clone()));
    tokio::spawn(reload::follow_settings(gateway.clone(), path));
    let (drain, serving) = (Stop::default(), Stop::default());
    let server = Server {
        head: gateway.heads.clone(),
        protocol: Protocol::Http1,
        drain: drain.clone(),
        stop: serving.clone(),
    };
    let served = gateway.clone();
    let server = tokio::spawn(server.run(listener, move |req| serve::serve(served.clone(), req)));
    let ending = gateway.stopping().await;
    emit(&Event::Stopping { why: "signal" });
    quota::release_shares(&gateway);
    tokio::time::sleep_until(ending.drain_at.into()).await;
    drain.stop();
    wait_until_idle(&gateway, ending.closed_at).await;
    serving.stop();
    duty::usage::hand_on(&gateway).await;
    let leave = peers::membership::leave(&gateway);
    if tokio::time::timeout_at(ending.ends_at.into(), leave)
        .await
        .is_err()
    {
        emit(&Event::DependencyLost {
            dependency: "store/processes",
            why: "no answer before the process's end".into(),
        });
    }
    // Past the time the count below tells what is left.
    let _ = tokio::time::timeout_at(ending.ends_at.into(), server).await;
    exchange.stop();
    emit(&Event::Stopped {
        unfinished: gateway.running(),
    });
    Ok(())
}

/// Waits until no request runs, at most until a time. New connections are still
/// taken: the balancer sends them here only while no other host is ready, as when
/// all are stopped in turn.
async fn wait_until_idle(gateway: &Gateway, until: Instant) {
    while gateway.running() > 0 && Instant::now() < until {
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
