//! Measures how long many gateways take to serve again after all of them were killed.
//!
//! The gateways are processes; the store, with many registered upstreams, runs in this process.

use crate::probe::wait_serving;
use crate::procs::{Proc, Signal, build_binary};
use serde::Serialize;
use standin::fixture::{CONFIG_ROW, WORKER_TABLE, config, routes, settings_in, worker_row};
use standin::{Action, Store, Worker};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Number of availability zones over which the hosts are distributed.
const ZONES: usize = 6;
/// Timeout for a gateway to serve.
const SERVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which the gateways run before they are killed.
const RUN_TIME: Duration = Duration::from_secs(3);
/// Ports of the serving worker and of the store.
const WORKER_PORT: u16 = 7100;
const STORE_PORT: u16 = 7003;

/// Times until the gateways served, in milliseconds; gateways that timed out are left out.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Event that preceded the start.
    pub after: &'static str,
    /// Number of gateways that served.
    pub served: usize,
    /// Time until the first gateway served.
    pub first_ms: Option<u64>,
    /// Median time until a gateway served.
    pub median_ms: Option<u64>,
    /// Time until the last gateway served.
    pub last_ms: Option<u64>,
    /// Upstream rows that the store returned in this time.
    pub store_reads: u64,
}

struct Host {
    name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
}

/// Starts `hosts` gateways with `upstreams` registered upstreams, kills all of them and starts
/// them again.
pub async fn run(hosts: usize, upstreams: usize) -> io::Result<Vec<Figures>> {
    let store_addr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 69, 0, 1)), STORE_PORT);
    let store = Store::start(store_addr)?;
    store.put(CONFIG_ROW.0, CONFIG_ROW.1, &config(1, &routes()));
    let serving = Worker::start(SocketAddr::new(store_addr.ip(), WORKER_PORT), "i-0").await?;
    serving.set_default_action(Action::Serve(1));
    let row = worker_row("plain", serving.addr, "ready", None);
    store.put(WORKER_TABLE, "i-0", &row);
    for n in 1..upstreams {
        let ip = Ipv4Addr::new(127, 70, (n >> 8) as u8, n as u8);
        let row = worker_row(
            "llm",
            SocketAddr::new(IpAddr::V4(ip), WORKER_PORT),
            "ready",
            None,
        );
        store.put(WORKER_TABLE, &format!("i-{n}"), &row);
    }
    let dir = std::env::temp_dir().join(format!("bench-recover-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let hosts = write_settings(hosts, &dir, store.addr)?;
    let binary = build_binary().await?;
    let mut out = Vec::new();
    let mut procs = start_gateways(&hosts, &binary)?;
    out.push(measure("a first start", &hosts, &store).await);
    tokio::time::sleep(RUN_TIME).await;
    procs.iter().for_each(|p| p.signal(Signal::Kill));
    for proc in &mut procs {
        proc.wait().await?;
    }
    let procs = start_gateways(&hosts, &binary)?;
    out.push(measure("all were killed", &hosts, &store).await);
    drop(procs);
    std::fs::remove_dir_all(&dir)?;
    Ok(out)
}

fn write_settings(hosts: usize, dir: &Path, store: SocketAddr) -> io::Result<Vec<Host>> {
    let mut out = Vec::new();
    for n in 0..hosts {
        let (zone, low) = (n % ZONES, n / ZONES);
        let ip = Ipv4Addr::new(127, 68, zone as u8, low as u8 + 1);
        let name = format!("edge-{n}");
        let path = dir.join(format!("{name}.toml"));
        std::fs::write(
            &path,
            settings_in(&format!("zone-{zone}"), &name, ip, store),
        )?;
        out.push(Host {
            name,
            ip,
            settings: path,
        });
    }
    Ok(out)
}

fn start_gateways(hosts: &[Host], binary: &Path) -> io::Result<Vec<Proc>> {
    let all = hosts.iter();
    all.map(|h| Proc::start_gateway(binary, &h.name, &h.settings))
        .collect()
}

async fn measure(after: &'static str, hosts: &[Host], store: &Store) -> Figures {
    let since = Instant::now();
    let reads = store.reads(WORKER_TABLE);
    let mut probes = JoinSet::new();
    for host in hosts {
        let at = SocketAddr::new(IpAddr::V4(host.ip), 7000);
        probes.spawn(async move {
            let served = tokio::time::timeout(SERVE_TIMEOUT, wait_serving(at, "")).await;
            served.ok().map(|()| since.elapsed().as_millis() as u64)
        });
    }
    let mut times: Vec<u64> = probes.join_all().await.into_iter().flatten().collect();
    times.sort_unstable();
    Figures {
        after,
        served: times.len(),
        first_ms: times.first().copied(),
        median_ms: times.get(times.len() / 2).copied(),
        last_ms: times.last().copied(),
        store_reads: store.reads(WORKER_TABLE) - reads,
    }
}
