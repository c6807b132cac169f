//! The system under test: gateway processes, a store and workers, all connected by relays.

use crate::checker::PIECES;
use crate::continuation::Lifetimes;
use crate::crashing::CrashingRequest;
use crate::disruption::{Disruption, PlannedStop, STOP_GRACE, Timeline};
use crate::keys::{HOLDER_GAP, Key, Keys, WINDOW};
use crate::process::Process;
use bench::probe::wait_serving;
use bench::procs::Signal;
use bench::relay::{Link, Relay};
use serde_json::json;
use standin::fixture::{
    CONFIG_ROW, WORKER_TABLE, config, route, routes, set_timeout, settings, unreadable_rows,
    with_tenants, with_usage_reports, with_version, worker_row, worker_row_with_start,
};
use standin::{Action, Cloud, Crash, LostRow, Store, StoreMode, Worker};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of gateways.
pub const GATEWAYS: u8 = 3;
/// Maximum number of gateways, limited by their addresses.
pub const MAX_GATEWAYS: u8 = 20;
/// Number of workers at the start.
pub const WORKERS_COUNT: u8 = 4;
/// Number of workers at the start if streams are long, as each occupies a slot for its duration.
pub const LONG_STREAM_WORKERS_COUNT: u8 = 24;
/// Number of engines.
pub const ENGINES_COUNT: u8 = 2;

/// Text in the bodies of requests that crash workers.
pub const CRASHING_BODY: &str = "deadly";
/// Text in the bodies of prompts that crash engines, if these are to crash.
pub const CRASHING_PROMPT: &str = "deadly-part";
/// Number of engines if some crash.
const CRASHING_ENGINES_COUNT: u8 = 6;
/// How long a worker is down after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(400);
/// Interval of a worker's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Longest time for which the store is away before it is restored, in milliseconds.
const MAX_AWAY_MS: u64 = 1000;
/// Age of the oldest copy from which it is restored, in milliseconds.
const MAX_COPY_AGE_MS: u64 = 8000;
/// Longest time until operator and workers write again what was lost, in milliseconds.
const MAX_REWRITE_MS: u64 = 1000;
/// Longest time that a request of the resumable route may take if its streams are long.
const LONG_STREAM_TIMEOUT: Duration = Duration::from_secs(40);
/// Timeout of [`SLOWDOWN_ROUTES`] if answers slow down.
const SLOWDOWN_TIMEOUT: Duration = Duration::from_secs(20);
/// Routes that clients use whose answers slow down.
const SLOWDOWN_ROUTES: [&str; 5] = ["safe", "twice", "stream", "resumable", "prompt"];
/// Start time that all workers report, in milliseconds.
const STARTED_AT_MS: u64 = 1_700_000_000_000;

/// Composition of a cluster.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setup {
    /// Number of gateways, [`MAX_GATEWAYS`] at most.
    pub gateways: u8,
    /// Number of workers at the start.
    pub workers: u8,
    /// Number of engines, or `None` for the default.
    pub engines: Option<u8>,
    /// Whether workers are of two software versions.
    pub has_versions: bool,
    /// Whether engines crash on prompts with [`CRASHING_PROMPT`].
    pub has_parts: bool,
    /// Whether streams of the resumable route may take longer than other requests.
    pub has_long_streams: bool,
    /// Whether answers slow down until they take longer than a stop.
    pub has_slowdown: bool,
    /// Share of a core that each gateway process has, or `None` for no limit.
    pub cpu_share: Option<f64>,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            gateways: GATEWAYS,
            workers: WORKERS_COUNT,
            engines: None,
            has_versions: false,
            has_parts: false,
            has_long_streams: false,
            has_slowdown: false,
            cpu_share: None,
        }
    }
}

/// A gateway process and its addresses.
#[derive(Debug)]
pub struct Gateway {
    /// The process.
    pub proc: Process,
    /// The address for clients.
    pub client_addr: SocketAddr,
    /// The relay between the process and the store.
    pub store: Relay,
    name: String,
    settings: PathBuf,
}

/// A worker behind a relay.
#[derive(Debug)]
pub struct Upstream {
    /// The worker.
    pub worker: Worker,
    /// The id under which it is registered.
    pub id: String,
    /// The relay in front of the worker.
    pub relay: Relay,
    /// The relay's address, which the worker registers.
    pub addr: SocketAddr,
    /// Version of its software.
    pub version: &'static str,
    /// Whether its answers say that it leaves.
    pub is_leaving: bool,
    /// The relay's current behavior.
    link: Link,
}

/// The gateways, the store and the workers of a soak.
#[derive(Debug)]
pub struct Cluster {
    /// The store.
    pub store: Arc<Store>,
    /// The platform's endpoint for usage reports, which one host calls for all.
    pub cloud: Cloud,
    /// The tenants' API keys.
    pub keys: Keys,
    /// Requests that crash workers.
    pub crashing_requests: Vec<CrashingRequest>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// Registered workers.
    pub upstreams: Vec<Upstream>,
    /// Engines. They get no faults and answer as workers do.
    pub engines: Vec<Upstream>,
    /// Workers that were removed. The check still includes what they ran.
    pub removed_upstreams: Vec<Upstream>,
    /// Planned stops, and the disruptions that excuse a cut answer.
    pub timeline: Timeline,
    /// Lifetimes of processes and workers.
    pub lifetimes: Lifetimes,
    net: u8,
    binary: PathBuf,
    started: u32,
    version: u64,
    pub(crate) setup: Setup,
}

impl Cluster {
    /// Starts the cluster on the addresses 127.65.NET.0/24, with settings and logs in `dir`.
    /// `has_versions` makes the workers ones of two software versions, and `has_parts` lets engines
    /// crash on prompts with [`CRASHING_PROMPT`].
    pub async fn start(
        net: u8,
        binary: &Path,
        dir: &Path,
        has_versions: bool,
        has_parts: bool,
    ) -> io::Result<Self> {
        let setup = Setup {
            has_versions,
            has_parts,
            ..Setup::default()
        };
        Self::start_with(net, binary, dir, setup).await
    }

    /// Starts a cluster of any setup.
    pub async fn start_with(net: u8, binary: &Path, dir: &Path, setup: Setup) -> io::Result<Self> {
        if !(1..=MAX_GATEWAYS).contains(&setup.gateways) {
            let text = format!("the number of gateways must be from 1 to {MAX_GATEWAYS}");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
        }
        if setup.cpu_share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            let text = "the share of a core must be above 0 and at most 1";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
        }
        let store = Arc::new(Store::start(address(net, 1, 7000))?);
        let mut cluster = Self {
            store,
            cloud: Cloud::start(address(net, 2, 7000))?,
            keys: Keys::default(),
            crashing_requests: Vec::new(),
            gateways: Vec::new(),
            upstreams: Vec::new(),
            engines: Vec::new(),
            removed_upstreams: Vec::new(),
            timeline: Timeline::default(),
            lifetimes: Lifetimes::default(),
            net,
            binary: binary.to_owned(),
            started: 0,
            version: 0,
            setup,
        };
        cluster.change_config();
        for _ in 0..setup.workers {
            cluster.add_worker().await?;
        }
        let engines = setup.engines.unwrap_or(match setup.has_parts {
            true => CRASHING_ENGINES_COUNT,
            false => ENGINES_COUNT,
        });
        for _ in 0..engines {
            cluster.add_engine(setup.has_parts).await?;
        }
        for n in 0..setup.gateways {
            cluster.add_gateway(n, dir)?;
        }
        Ok(cluster)
    }

    fn add_gateway(&mut self, n: u8, dir: &Path) -> io::Result<()> {
        let ip = Ipv4Addr::new(127, 65, self.net, 10 + n);
        let front = address(self.net, 30 + n, 7000);
        let store = Relay::start(front, self.store.addr)?;
        let name = format!("edge-{n}");
        let path = dir.join(format!("{name}.toml"));
        let text = settings(&name, ip, front);
        let text = with_usage_reports(&text, self.cloud.addr, WINDOW, HOLDER_GAP);
        std::fs::write(&path, text)?;
        self.gateways.push(Gateway {
            proc: Process::start(&self.binary, &name, &path, self.setup.cpu_share)?,
            client_addr: SocketAddr::new(IpAddr::V4(ip), 7000),
            store,
            name,
            settings: path,
        });
        self.lifetimes.start_process(usize::from(n), Instant::now());
        Ok(())
    }

    /// Sets how the store answers calls.
    pub fn set_store(&mut self, mode: StoreMode) {
        self.store.set_mode(mode);
        self.keys
            .record_store(None, mode == StoreMode::Serve, Instant::now());
    }

    /// Takes the store away for a moment and restores it from a copy of random age. What the
    /// operator and the workers had written since is written again, unless they write something
    /// else first.
    pub async fn restore_store(&mut self, rng: &mut fastrand::Rng) {
        let mode = match rng.bool() {
            true => StoreMode::Silent,
            false => StoreMode::Refuse(503),
        };
        self.set_store(mode);
        tokio::time::sleep(Duration::from_millis(rng.u64(..MAX_AWAY_MS))).await;
        let lost = self
            .store
            .restore(Duration::from_millis(rng.u64(..MAX_COPY_AGE_MS)));
        let lost: Vec<(LostRow, Option<String>)> = lost
            .into_iter()
            .filter(|l| [WORKER_TABLE, CONFIG_ROW.0].contains(&l.table.as_str()))
            .map(|l| {
                let copied = self.store.raw(&l.table, &l.key);
                (l, copied)
            })
            .collect();
        self.store.set_mode(StoreMode::Serve);
        tokio::time::sleep(Duration::from_millis(rng.u64(..MAX_REWRITE_MS))).await;
        for (row, copied) in &lost {
            if self.store.raw(&row.table, &row.key) == *copied {
                self.store.write_again(row);
            }
        }
        self.set_store(StoreMode::Serve);
    }

    /// Sets the behavior of the link between a gateway and the store.
    pub fn set_store_link(&mut self, n: usize, link: Link) {
        self.gateways[n].store.set(link);
        self.keys
            .record_store(Some(n), link == Link::Open, Instant::now());
    }

    /// Revokes a tenant's revocable key, or restores it.
    pub fn toggle_key(&mut self, tenant: usize) {
        // Recorded before the store is written, so that a restored key counts as valid at once.
        self.keys.toggle(tenant, Instant::now());
        self.change_config();
    }

    /// Starts a gateway's process again after the old one has ended.
    pub fn restart(&mut self, n: usize) -> io::Result<()> {
        let now = Instant::now();
        if let Some(stop) = self.stop_of(n) {
            stop.until = Some(now);
        }
        self.end_disruption(Some(n), now);
        self.lifetimes.start_process(n, now);
        let gateway = &mut self.gateways[n];
        let share = self.setup.cpu_share;
        gateway.proc = Process::start(&self.binary, &gateway.name, &gateway.settings, share)?;
        Ok(())
    }

    /// Sends a signal to a gateway's process and records the stop or disruption that it causes.
    pub fn signal(&mut self, n: usize, signal: Signal) {
        let now = Instant::now();
        match signal {
            Signal::Term if self.stop_of(n).is_none() => self.timeline.stops.push(PlannedStop {
                gateway: n,
                signal: now,
                until: None,
            }),
            Signal::Kill | Signal::Pause => self.begin_disruption(Some(n), now),
            Signal::Resume => self.end_disruption(Some(n), now),
            Signal::Term | Signal::Hangup => {}
        }
        self.gateways[n].proc.signal(signal);
    }

    /// Kills the processes of all gateways at the same moment.
    pub fn kill_all(&mut self) {
        self.lifetimes.all_killed.push(Instant::now());
        for n in 0..self.gateways.len() {
            self.signal(n, Signal::Kill);
        }
    }

    /// Kills processes that haven't ended within the grace period, as the platform does. Such a
    /// kill excuses no cut answer.
    pub fn kill_overdue(&self) {
        let is_over = |s: &&PlannedStop| s.until.is_none() && s.signal.elapsed() >= STOP_GRACE;
        for stop in self.timeline.stops.iter().filter(is_over) {
            self.gateways[stop.gateway].proc.signal(Signal::Kill);
        }
    }

    /// Sets the behavior of the link to a worker and records the disruption.
    pub fn set_worker_link(&mut self, n: usize, link: Link) {
        self.upstreams[n].link = link;
        self.upstreams[n].relay.set(link);
        self.record_worker_links();
    }

    fn record_worker_links(&mut self) {
        let now = Instant::now();
        match self.upstreams.iter().any(|u| u.link != Link::Open) {
            true => self.begin_disruption(None, now),
            false => self.end_disruption(None, now),
        }
    }

    /// Whether a process that was told to stop hasn't ended and been started again.
    pub fn is_any_stopping(&self) -> bool {
        self.timeline.stops.iter().any(|stop| stop.until.is_none())
    }

    fn stop_of(&mut self, n: usize) -> Option<&mut PlannedStop> {
        let mut stops = self.timeline.stops.iter_mut();
        stops.find(|s| s.gateway == n && s.until.is_none())
    }

    /// Records the start of a disruption, unless one of the same gateway is in progress.
    fn begin_disruption(&mut self, gateway: Option<usize>, from: Instant) {
        let mut disruptions = self.timeline.disruptions.iter();
        if disruptions.any(|t| t.gateway == gateway && t.until.is_none()) {
            return;
        }
        self.timeline.disruptions.push(Disruption {
            gateway,
            from,
            until: None,
        });
    }

    fn end_disruption(&mut self, gateway: Option<usize>, until: Instant) {
        let disruptions = self.timeline.disruptions.iter_mut();
        for open in disruptions.filter(|t| t.gateway == gateway && t.until.is_none()) {
            open.until = Some(until);
        }
    }

    /// Starts a worker that crashes on requests with [`CRASHING_BODY`], and registers it.
    pub async fn add_worker(&mut self) -> io::Result<()> {
        let upstream = self.start_upstream().await?;
        self.register(&upstream, "ready");
        let (store, id, addr) = (self.store.clone(), upstream.id.clone(), upstream.addr);
        let version = upstream.version;
        self.lifetimes.add_upstream(&id, version, Instant::now());
        upstream.worker.set_crash(Some(Crash {
            trigger: CRASHING_BODY.into(),
            downtime: CRASH_DOWNTIME,
            on_start: Box::new(move |born| register(&store, &id, version, born, addr, "ready")),
        }));
        self.upstreams.push(upstream);
        Ok(())
    }

    /// Starts an engine, which may crash on prompts with [`CRASHING_PROMPT`], and registers it.
    async fn add_engine(&mut self, can_crash: bool) -> io::Result<()> {
        let engine = self.start_upstream().await?;
        let (store, id, addr) = (self.store.clone(), engine.id.clone(), engine.addr);
        let register = move |start_ms: Option<u64>| {
            let mut row = worker_row("llm", addr, "ready", Some("decode"));
            if let Some(start_ms) = start_ms {
                row["born"] = json!(start_ms);
            }
            store.put(WORKER_TABLE, &id, &row);
        };
        register(can_crash.then_some(STARTED_AT_MS));
        if can_crash {
            engine.worker.set_crash(Some(Crash {
                trigger: CRASHING_PROMPT.into(),
                downtime: CRASH_DOWNTIME,
                on_start: Box::new(move |start_ms| register(Some(start_ms))),
            }));
        }
        self.engines.push(engine);
        Ok(())
    }

    /// Starts an upstream with a new id behind a relay.
    async fn start_upstream(&mut self) -> io::Result<Upstream> {
        let n = self.started;
        self.started += 1;
        let (high, low) = ((n / 200) as u8, (n % 200) as u8);
        let port = 7000 + u16::from(high);
        let listen = address(self.net, 50 + low, port);
        let worker = Worker::start_with_time(listen, &format!("i-{n}"), STARTED_AT_MS).await?;
        worker.set_default_action(Action::ServeFor(PIECES));
        let version = match self.setup.has_versions && n % 2 == 1 {
            true => "v1.1",
            false => "v1",
        };
        worker.set_version(version);
        let addr = address(self.net, 50 + low, port + 100);
        Ok(Upstream {
            relay: Relay::start(addr, worker.addr)?,
            worker,
            id: format!("i-{n}"),
            addr,
            version,
            is_leaving: false,
            link: Link::Open,
        })
    }

    /// Writes a worker's row in the registry.
    pub fn register(&self, upstream: &Upstream, state: &str) {
        let born = upstream.worker.start_ms().unwrap_or_default();
        let version = upstream.version;
        register(
            &self.store,
            &upstream.id,
            version,
            born,
            upstream.addr,
            state,
        );
    }

    /// Overwrites a worker's row with an unreadable one until the worker's next heartbeat, and
    /// adds another unreadable row, as a faulty writer would.
    pub fn corrupt_row(&self, n: usize, rng: &mut fastrand::Rng) {
        let upstream = &self.upstreams[n];
        let born = upstream.worker.start_ms().unwrap_or_default();
        let good = worker_row_with_start(born, "plain", upstream.addr, "ready");
        let kinds = unreadable_rows(&good);
        let (_, bad) = &kinds[rng.usize(..kinds.len())];
        self.store.put_raw(WORKER_TABLE, "of-another-writer", bad);
        self.store.put_raw(WORKER_TABLE, &upstream.id, bad);
        let (store, id, addr) = (self.store.clone(), upstream.id.clone(), upstream.addr);
        let bad = bad.clone();
        let version = upstream.version;
        tokio::spawn(async move {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            // The worker may have restarted or left.
            if store.raw(WORKER_TABLE, &id) == Some(bad) {
                register(&store, &id, version, born, addr, "ready");
            }
        });
    }

    /// Returns how many times workers received a request with this body.
    pub fn times_received(&self, body: &str) -> usize {
        let all = self.upstreams.iter().chain(&self.removed_upstreams);
        let seen = all.flat_map(|u| u.worker.requests());
        seen.filter(|s| s.body == body.as_bytes()).count()
    }

    /// Removes a worker's row. The worker keeps serving the requests that it has.
    pub fn retire(&mut self, n: usize) {
        let upstream = self.upstreams.remove(n);
        // A crash must not register it again.
        upstream.worker.set_crash(None);
        self.store.remove(WORKER_TABLE, &upstream.id);
        let now = Instant::now();
        self.lifetimes.remove_upstream(&upstream.id, now);
        self.removed_upstreams.push(upstream);
        self.record_worker_links();
    }

    /// Writes a new version of the configuration, with one additional route.
    pub fn change_config(&mut self) {
        self.version += 3;
        let mut all = routes();
        if let Some(all) = all.as_array_mut() {
            if self.setup.has_slowdown {
                for name in SLOWDOWN_ROUTES {
                    set_timeout(all, name, SLOWDOWN_TIMEOUT);
                }
            }
            if self.setup.has_long_streams {
                set_timeout(all, "resumable", LONG_STREAM_TIMEOUT);
            }
            all.push(route(&format!("v{}", self.version), "idempotent", 2));
        }
        let config = config(self.version, &json!(all));
        let config = with_tenants(config, self.keys.configured());
        self.store.put(CONFIG_ROW.0, CONFIG_ROW.1, &config);
    }

    /// Waits up to `bound` until all gateways serve. Returns whether they do.
    pub async fn all_serve(&self, bound: Duration) -> bool {
        let key = Key::Permanent(0).header();
        let all = self
            .gateways
            .iter()
            .map(|g| wait_serving(g.client_addr, &key));
        let served = async {
            for one in all {
                one.await;
            }
        };
        tokio::time::timeout(bound, served).await.is_ok()
    }
}

fn register(store: &Store, id: &str, version: &str, born: u64, addr: SocketAddr, state: &str) {
    let row = worker_row_with_start(born, "plain", addr, state);
    store.put(WORKER_TABLE, id, &with_version(row, version));
}

fn address(net: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 65, net, host)), port)
}
