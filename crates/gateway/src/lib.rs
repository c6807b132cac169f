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
pub mod budget;
pub mod choose;
pub mod events;
pub mod fleet;
pub mod follow;
pub mod peers;
pub mod ready;
pub mod relay;
pub mod reload;
pub mod routes;
pub mod serve;
pub mod state;

use net::server::bind;
use net::{Protocol, Server, Stop};
use observe::{Event, emit};
use platform::Host;
use quick_error::quick_error;
use state::Gateway;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Largest head of a request. The users' configurations allow 16 KiB.
const MAX_HEAD: usize = 16 << 10;
/// Longest that a client's connection may be idle or take for a head. The users'
/// configurations allow 15 s and clients use 12; a connection must not be closed
/// while a client still counts on it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(16);
/// How long requests are served as before after the stop signal, while the
/// balancer notices that this host isn't ready: it asks once a second and takes
/// a host out after two misses.
const LEAVE_DELAY: Duration = Duration::from_millis(2300);
/// Part of the time between SIGTERM and SIGKILL after which the process ends
/// whatever still runs.
const GRACE_SHARE: f64 = 0.95;

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
pub async fn run(path: PathBuf, host: Host, stop: Stop) -> Result<(), StartError> {
    let callers = host.callers.ok_or(StartError::NoAddress("callers"))?;
    let ready = host.ready.ok_or(StartError::NoAddress("readiness"))?;
    let listener = bind(callers).map_err(|e| StartError::Bind(callers, e))?;
    let gateway = Gateway::new(host, stop.clone());
    ready::serve(&gateway, ready)?;
    emit(&Event::Started {
        listen: callers.to_string(),
        admin: ready.to_string(),
    });
    tokio::spawn(follow::follow_config(gateway.clone()));
    tokio::spawn(follow::follow_registry(gateway.clone()));
    let exchange = peers::exchange::start(&gateway)?;
    tokio::spawn(peers::membership::follow(gateway.clone()));
    tokio::spawn(reload::follow_settings(gateway.clone(), path));
    let serving = Stop::default();
    let server = Server {
        head_timeout: IDLE_TIMEOUT,
        max_head: MAX_HEAD,
        protocol: Protocol::Http1,
        stop: serving.clone(),
    };
    let served = gateway.clone();
    let server = tokio::spawn(server.run(listener, move |req| serve::serve(served.clone(), req)));
    stop.stopped().await;
    let since = Instant::now();
    emit(&Event::Stopping { why: "signal" });
    tokio::time::sleep(LEAVE_DELAY).await;
    serving.stop();
    peers::membership::leave(&gateway).await;
    let grace = gateway.host().stop_grace.mul_f64(GRACE_SHARE);
    let left = grace.saturating_sub(since.elapsed());
    // Past the time the count below tells what is left.
    let _ = tokio::time::timeout(left, server).await;
    exchange.stop();
    emit(&Event::Stopped {
        unfinished: gateway.running(),
    });
    Ok(())
}
