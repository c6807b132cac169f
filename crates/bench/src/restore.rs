//! Counts the calls that hosts make to the store after it is restored from a copy.
//!
//! The gateways, the store and an upstream run in this process, without callers.

use net::Stop;
use platform::HostSettings;
use serde::Serialize;
use standin::fixture::{CONFIG_ROW, WORKER_TABLE, config, routes, worker_row};
use standin::{Store, StoreMode};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// Number of availability zones over which the hosts are distributed.
const ZONES: usize = 6;
/// Time until the hosts have settled, and the time added per host.
const SETTLE_TIME: Duration = Duration::from_secs(15);
const SETTLE_TIME_PER_HOST: Duration = Duration::from_millis(40);
/// Interval at which an upstream's row is written, which raises the store's version.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the store is away, and the age of the copy when it returns.
const AWAY: Duration = Duration::from_millis(600);
const COPY_AGE: Duration = Duration::from_secs(3);
/// Times over which calls are counted.
const COUNT_TIME: Duration = Duration::from_secs(10);

/// Calls to the store, and the rows of hosts in it.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of their rows before the restore.
    pub rows_before: usize,
    /// Number of their rows at its end.
    pub rows_lost: usize,
    /// Number of their rows when calls were counted.
    pub rows_after: usize,
    /// Calls of all hosts in 10 s without a restore.
    pub calm_calls: u64,
    /// Calls of all hosts in the 10 s after a restore.
    pub restored_calls: u64,
    /// Difference of these per host.
    pub calls_per_host: f64,
}

/// Starts `hosts` gateways, restores their store from a copy and counts calls. With `starts`, the
/// copy is older than the hosts' rows, otherwise it is some seconds old.
pub async fn run(hosts: usize, starts: bool) -> io::Result<Figures> {
    let store = Store::start(at(Ipv4Addr::new(127, 72, 0, 1), 7003))?;
    store.put(CONFIG_ROW.0, CONFIG_ROW.1, &config(1, &routes()));
    let upstream = Ipv4Addr::new(127, 72, 0, 2);
    let row = worker_row("plain", at(upstream, 7100), "ready", None);
    store.put(WORKER_TABLE, "i-0", &row);
    let processes: Vec<_> = (0..hosts)
        .map(|n| tokio::spawn(run_gateway(n, store.addr)))
        .collect();
    beat(&store, SETTLE_TIME + SETTLE_TIME_PER_HOST * hosts as u32).await;
    let rows = |store: &Store| store.keys("processes").len();
    let rows_before = rows(&store);
    let calls = store.calls();
    beat(&store, COUNT_TIME).await;
    let calm_calls = store.calls() - calls;
    store.set_mode(StoreMode::Refuse(503));
    tokio::time::sleep(AWAY).await;
    let age = match starts {
        true => Duration::from_secs(3600),
        false => COPY_AGE,
    };
    let lost = store.restore(age);
    let rows_lost = rows_before - rows(&store);
    store.set_mode(StoreMode::Serve);
    let calls = store.calls();
    for row in lost.iter().filter(|l| l.table != "processes") {
        store.write_again(row);
    }
    beat(&store, COUNT_TIME).await;
    let restored_calls = store.calls() - calls;
    let rows_after = rows(&store);
    processes.iter().for_each(tokio::task::JoinHandle::abort);
    Ok(Figures {
        hosts,
        rows_before,
        rows_lost,
        rows_after,
        calm_calls,
        restored_calls,
        calls_per_host: (restored_calls as f64 - calm_calls as f64) / hosts as f64,
    })
}

/// Writes the upstream's row at intervals for a time.
async fn beat(store: &Store, time: Duration) {
    let until = tokio::time::Instant::now() + time;
    let upstream = at(Ipv4Addr::new(127, 72, 0, 2), 7100);
    while tokio::time::Instant::now() < until {
        let row = worker_row("plain", upstream, "ready", None);
        store.put(WORKER_TABLE, "i-0", &row);
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn run_gateway(n: usize, store_addr: SocketAddr) {
    let (zone, low) = (n % ZONES, n / ZONES);
    let ip = Ipv4Addr::new(127, 73, zone as u8, low as u8 + 1);
    let settings = HostSettings {
        name: format!("edge-{n}"),
        zone: format!("zone-{zone}"),
        ip: IpAddr::V4(ip),
        client_addr: Some(at(ip, 7000)),
        readiness_addr: Some(at(ip, 7001)),
        peer_port: 7002,
        store_addr,
        stop_grace: Duration::from_secs(8),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 50.0,
        order_gap: Duration::from_secs(3),
        is_first_start: true,
        usage_port: 7004,
        quota_port: 7005,
        origin_port: 7006,
        quota: platform::QuotaBounds::default(),
        cpu_share: 1.0,
        memory: None,
        cloud: None,
    };
    let path = PathBuf::from("/nonexistent/settings");
    if let Err(e) = gateway::run(path, settings, Stop::default()).await {
        eprintln!("host {n}: {e}");
    }
}

fn at(ip: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), port)
}
