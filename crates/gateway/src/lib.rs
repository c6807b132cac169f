//! The gateway: accepts client requests on the users' platform and forwards each one unchanged to
//! an upstream.
//!
//! Requests pass through one pipeline: receive, route, choose, attempt, relay, account. A process
//! learns its state from the store (configuration and registry) and from its own requests. It
//! persists nothing, and continues with its last known state while the store is unavailable.

pub mod account;
pub mod answer;
pub mod attempt;
pub mod choose;
pub mod completeness;
pub mod crashes;
pub mod division;
pub mod duty;
pub mod events;
pub mod first_start;
pub mod fleet;
pub mod follow;
pub mod history;
pub mod missing;
mod monotonic;
pub mod origins;
pub mod peers;
pub mod queue;
pub mod quota;
pub mod ready;
pub mod relay;
pub mod reload;
pub mod routes;
pub mod serve;
pub mod state;
pub mod statements;
pub mod stop;
mod store_clock;
pub mod tenants;
pub mod versions;

use net::server::bind;
use net::{Protocol, Server, Stop};
use observe::{Event, emit};
use platform::HostSettings;
use quick_error::quick_error;
use state::Gateway;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};

/// Interval between checks whether requests are still running.
const IDLE_CHECK_EVERY: Duration = Duration::from_millis(50);
/// Maximum time for which the first save of stream origins delays the shutdown.
const FIRST_SAVE_TIMEOUT: Duration = Duration::from_millis(500);

quick_error! {
    /// Errors that prevent a gateway from starting.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be bound, for example because another process uses it.
        Bind(addr: SocketAddr, e: std::io::Error) { display("can't bind {addr}: {e}") }
        /// The settings contain no address for a listener.
        NoAddress(what: &'static str) { display("no address for {what} in the settings") }
    }
}

/// Runs a gateway until it receives the stop signal and its last request has ended.
pub async fn run(path: PathBuf, host: HostSettings, stop: Stop) -> Result<(), StartError> {
    let callers = host.client_addr.ok_or(StartError::NoAddress("callers"))?;
    let ready = host
        .readiness_addr
        .ok_or(StartError::NoAddress("readiness"))?;
    // The default action of SIGHUP ends the process, so the handler is set before the listener
    // accepts connections.
    let hangup = signal(SignalKind::hangup()).expect("a handler for a plain signal can be set");
    let listener = bind(callers).map_err(|e| StartError::Bind(callers, e))?;
    let gateway = Gateway::new(host, stop.clone());
    ready::serve(&gateway, ready)?;
    emit(&Event::Started {
        listen: callers.to_string(),
        admin: ready.to_string(),
    });
    let (drain, serving) = (Stop::default(), Stop::default());
    let server = Server {
        head: gateway.head_limits.clone(),
        protocol: Protocol::Http1,
        drain: drain.clone(),
        stop: serving.clone(),
    };
    let served = gateway.clone();
    let server = tokio::spawn(server.run(listener, move |req| serve::serve(served.clone(), req)));
    // Decided before the configuration is followed; the server rejects requests until then.
    first_start::decide(&gateway).await;
    if gateway.is_first_start() {
        gateway.fleet().assume_empty_caches();
    }
    tokio::spawn(follow::era::log_changes(gateway.clone()));
    tokio::spawn(follow::follow_config(gateway.clone()));
    tokio::spawn(follow::follow_registry(gateway.clone()));
    tokio::spawn(crashes::rows::follow(gateway.clone()));
    tokio::spawn(crashes::rows::write(gateway.clone()));
    let exchange = peers::exchange::start(&gateway)?;
    tokio::spawn(peers::membership::follow(gateway.clone()));
    tokio::spawn(division::orders::run(gateway.clone()));
    duty::usage::exchange::start(&gateway)?;
    quota::start(&gateway)?;
    origins::start(&gateway)?;
    tokio::spawn(origins::rows::follow(gateway.clone()));
    tokio::spawn(origins::write_checkpoints(gateway.clone()));
    tokio::spawn(versions::follow(gateway.clone()));
    tokio::spawn(duty::usage::run(gateway.clone()));
    tokio::spawn(duty::scaling::run(gateway.clone()));
    tokio::spawn(reload::follow_settings(gateway.clone(), path, hangup));
    let schedule = gateway.wait_for_stop().await;
    emit(&Event::Stopping { why: "signal" });
    quota::release_shares(&gateway);
    tokio::time::sleep_until(schedule.drain_at.into()).await;
    drain.stop();
    wait_until_idle(&gateway, schedule.close_at).await;
    serving.stop();
    let save_until = schedule
        .hand_over_at
        .min(monotonic::now() + FIRST_SAVE_TIMEOUT);
    let handed_over = duty::usage::hand_over_first(&gateway);
    let handed_over = tokio::time::timeout_at(schedule.hand_over_at.into(), handed_over);
    // Both are repeated before the process exits.
    let _ = tokio::join!(handed_over, origins::save(&gateway, save_until));
    let leave = peers::membership::leave(&gateway);
    // Leaves time for the last hand-over even if the store does not answer.
    if tokio::time::timeout_at(schedule.hand_over_at.into(), leave)
        .await
        .is_err()
    {
        emit(&Event::DependencyLost {
            dependency: "store/processes",
            why: "no answer before the last hand-over".into(),
        });
    }
    // On timeout, the number of unfinished requests is logged below.
    let _ = tokio::time::timeout_at(schedule.hand_over_at.into(), server).await;
    let handed_over = duty::usage::hand_over_last(&gateway);
    let handed_over = tokio::time::timeout_at(schedule.exit_at.into(), handed_over);
    let save = origins::save(&gateway, schedule.exit_at);
    let (handed_over, ()) = tokio::join!(handed_over, save);
    if handed_over.is_err() {
        emit(&Event::DependencyLost {
            dependency: "usage collectors",
            why: "no answer before the process exits".into(),
        });
    }
    origins::log_hand_over(&gateway);
    exchange.stop();
    emit(&Event::Stopped {
        unfinished: gateway.running(),
    });
    Ok(())
}

/// Waits until no request is running, at most until `until`. New connections are still accepted:
/// the balancer sends them to a stopping host only while no other host is ready, for example when
/// all hosts are stopped in turn.
async fn wait_until_idle(gateway: &Gateway, until: Instant) {
    while gateway.running() > 0 && monotonic::now() < until {
        tokio::time::sleep(IDLE_CHECK_EVERY).await;
    }
}
