//! What a soak runs: gateways as processes, a store and workers behind relays.

use crate::cut::{GRACE, Record, Stopped, Trouble};
use crate::deadly::Deadly;
use crate::judge::PIECES;
use crate::keys::{HOLDER_GAP, Key, Keys, WINDOW};
use bench::probe::wait_serving;
use bench::procs::{Proc, Signal};
use bench::relay::{Link, Relay};
use serde_json::json;
use standin::fixture::{
    CONFIG, WORKERS, config, reporting, route, routes, settings, unreadable_rows, with_tenants,
    worker, worker_since,
};
use standin::{Act, Cloud, Crash, Mode, Store, Worker};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Gateways of a soak.
pub const GATEWAYS: u8 = 3;
/// Workers of a soak.
pub const WORKERS_COUNT: u8 = 4;
/// Engines of a soak.
pub const ENGINES_COUNT: u8 = 2;

/// Text in the body of the requests that crash workers.
pub const DEADLY: &str = "deadly";
/// How long a worker is away after a crash.
const AWAY: Duration = Duration::from_millis(400);
/// Time between two heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Start of all workers, by their clocks, in milliseconds.
const BORN: u64 = 1_700_000_000_000;

/// A gateway: its process, and where clients reach it.
#[derive(Debug)]
pub struct Gateway {
    /// The process.
    pub proc: Proc,
    /// Where clients connect.
    pub callers: SocketAddr,
    /// The relay between it and the store.
    pub store: Relay,
    name: String,
    settings: PathBuf,
}

/// A worker behind a relay.
#[derive(Debug)]
pub struct Upstream {
    /// The worker.
    pub worker: Worker,
    /// Its id.
    pub id: String,
    /// The relay before it, under the address that it registers.
    pub relay: Relay,
    /// That address.
    pub addr: SocketAddr,
    /// What the relay does.
    link: Link,
}

/// All of it.
#[derive(Debug)]
pub struct Scene {
    /// The store.
    pub store: Arc<Store>,
    /// The platform's calls that one host makes for all.
    pub cloud: Cloud,
    /// Tenants' keys.
    pub keys: Keys,
    /// Requests that were sent to crash workers.
    pub deadly: Vec<Deadly>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// Workers that are registered.
    pub upstreams: Vec<Upstream>,
    /// Engines. Nothing happens to them; they answer as workers do.
    pub engines: Vec<Upstream>,
    /// Workers that have left; their histories still count.
    pub gone: Vec<Upstream>,
    /// Planned stops, and what excuses a cut answer.
    pub record: Record,
    net: u8,
    binary: PathBuf,
    started: u32,
    version: u64,
}

impl Scene {
    /// Starts all of it on the addresses 127.65.NET.0/24, with files in a folder.
    pub async fn start(net: u8, binary: &Path, dir: &Path) -> io::Result<Self> {
        let store = Arc::new(Store::start(address(net, 1, 7000))?);
        let mut scene = Self {
            store,
            cloud: Cloud::start(address(net, 2, 7000))?,
            keys: Keys::default(),
            deadly: Vec::new(),
            gateways: Vec::new(),
            upstreams: Vec::new(),
            engines: Vec::new(),
            gone: Vec::new(),
            record: Record::default(),
            net,
            binary: binary.to_owned(),
            started: 0,
            version: 0,
        };
        scene.change_config();
        for _ in 0..WORKERS_COUNT {
            scene.add_worker().await?;
        }
        for _ in 0..ENGINES_COUNT {
            scene.add_engine().await?;
        }
        for n in 0..GATEWAYS {
            scene.add_gateway(n, dir)?;
        }
        Ok(scene)
    }

    fn add_gateway(&mut self, n: u8, dir: &Path) -> io::Result<()> {
        let ip = Ipv4Addr::new(127, 65, self.net, 10 + n);
        let front = address(self.net, 30 + n, 7000);
        let store = Relay::start(front, self.store.addr)?;
        let name = format!("edge-{n}");
        let path = dir.join(format!("{name}.toml"));
        let text = settings(&name, ip, front);
        let text = reporting(&text, self.cloud.addr, WINDOW, HOLDER_GAP);
        std::fs::write(&path, text)?;
        self.gateways.push(Gateway {
            proc: Proc::start_gateway(&self.binary, &name, &path)?,
            callers: SocketAddr::new(IpAddr::V4(ip), 7000),
            store,
            name,
            settings: path,
        });
        Ok(())
    }

    /// Changes how the store treats calls.
    pub fn set_store(&mut self, mode: Mode) {
        self.store.set_mode(mode);
        self.keys
            .note_store(None, mode == Mode::Serve, Instant::now());
    }

    /// Changes the link between a gateway and the store.
    pub fn set_store_link(&mut self, n: usize, link: Link) {
        self.gateways[n].store.set(link);
        self.keys
            .note_store(Some(n), link == Link::Open, Instant::now());
    }

    /// Takes a tenant's second key away, or gives it back.
    pub fn toggle_key(&mut self, tenant: usize) {
        // Out of force from the store's answer on, in force again before it.
        self.keys.toggle(tenant, Instant::now());
        self.change_config();
    }

    /// Starts a gateway's process anew, once the old one has ended.
    pub fn restart(&mut self, n: usize) -> io::Result<()> {
        let now = Instant::now();
        if let Some(stop) = self.stop_under_way(n) {
            stop.until = Some(now);
        }
        self.end_trouble(Some(n), now);
        let gateway = &mut self.gateways[n];
        gateway.proc = Proc::start_gateway(&self.binary, &gateway.name, &gateway.settings)?;
        Ok(())
    }

    /// Sends a gateway's process a signal, and notes what it excuses.
    pub fn signal(&mut self, n: usize, signal: Signal) {
        let now = Instant::now();
        match signal {
            Signal::Term if self.stop_under_way(n).is_none() => self.record.stops.push(Stopped {
                gateway: n,
                signal: now,
                until: None,
            }),
            Signal::Kill | Signal::Pause => self.begin_trouble(Some(n), now),
            Signal::Resume => self.end_trouble(Some(n), now),
            Signal::Term | Signal::Hangup => {}
        }
        self.gateways[n].proc.signal(signal);
    }

    /// Kills what hasn't ended within the grace, as the platform does. It excuses nothing.
    pub fn end_grace(&self) {
        let is_over = |s: &&Stopped| s.until.is_none() && s.signal.elapsed() >= GRACE;
        for stop in self.record.stops.iter().filter(is_over) {
            self.gateways[stop.gateway].proc.signal(Signal::Kill);
        }
    }

    /// Changes the link to a worker, and notes what it excuses.
    pub fn set_worker_link(&mut self, n: usize, link: Link) {
        self.upstreams[n].link = link;
        self.upstreams[n].relay.set(link);
        self.note_links();
    }

    fn note_links(&mut self) {
        let now = Instant::now();
        match self.upstreams.iter().any(|u| u.link != Link::Open) {
            true => self.begin_trouble(None, now),
            false => self.end_trouble(None, now),
        }
    }

    fn stop_under_way(&mut self, n: usize) -> Option<&mut Stopped> {
        let mut stops = self.record.stops.iter_mut();
        stops.find(|s| s.gateway == n && s.until.is_none())
    }

    /// Notes a fault, unless one of the same is under way.
    fn begin_trouble(&mut self, gateway: Option<usize>, from: Instant) {
        let mut troubles = self.record.troubles.iter();
        if troubles.any(|t| t.gateway == gateway && t.until.is_none()) {
            return;
        }
        self.record.troubles.push(Trouble {
            gateway,
            from,
            until: None,
        });
    }

    fn end_trouble(&mut self, gateway: Option<usize>, until: Instant) {
        let troubles = self.record.troubles.iter_mut();
        for open in troubles.filter(|t| t.gateway == gateway && t.until.is_none()) {
            open.until = Some(until);
        }
    }

    /// Starts a worker that some requests crash, and registers it.
    pub async fn add_worker(&mut self) -> io::Result<()> {
        let upstream = self.start_upstream().await?;
        self.register(&upstream, "ready");
        let (store, id, addr) = (self.store.clone(), upstream.id.clone(), upstream.addr);
        upstream.worker.crash_on(Some(Crash {
            on: DEADLY.into(),
            away: AWAY,
            on_start: Box::new(move |born| register(&store, &id, born, addr, "ready")),
        }));
        self.upstreams.push(upstream);
        Ok(())
    }

    /// Starts an engine and registers it.
    async fn add_engine(&mut self) -> io::Result<()> {
        let engine = self.start_upstream().await?;
        let row = worker("llm", engine.addr, "ready", Some("decode"));
        self.store.put(WORKERS, &engine.id, &row);
        self.engines.push(engine);
        Ok(())
    }

    /// Starts an upstream behind a relay, under an id of its own.
    async fn start_upstream(&mut self) -> io::Result<Upstream> {
        let n = self.started;
        self.started += 1;
        let (high, low) = ((n / 200) as u8, (n % 200) as u8);
        let port = 7000 + u16::from(high);
        let listen = address(self.net, 50 + low, port);
        let worker = Worker::start_since(listen, &format!("i-{n}"), BORN).await?;
        worker.usually(Act::ServeOver(PIECES));
        let addr = address(self.net, 50 + low, port + 100);
        Ok(Upstream {
            relay: Relay::start(addr, worker.addr)?,
            worker,
            id: format!("i-{n}"),
            addr,
            link: Link::Open,
        })
    }

    /// Writes a worker's row.
    pub fn register(&self, upstream: &Upstream, state: &str) {
        let born = upstream.worker.born().unwrap_or_default();
        register(&self.store, &upstream.id, born, upstream.addr, state);
    }

    /// Lets another writer spoil a worker's row, or write one of its own, until the worker's
    /// next heartbeat.
    pub fn spoil_row(&self, n: usize, rng: &mut fastrand::Rng) {
        let upstream = &self.upstreams[n];
        let born = upstream.worker.born().unwrap_or_default();
        let good = worker_since(born, "plain", upstream.addr, "ready");
        let kinds = unreadable_rows(&good);
        let (_, bad) = &kinds[rng.usize(..kinds.len())];
        self.store.put_raw(WORKERS, "of-another-writer", bad);
        self.store.put_raw(WORKERS, &upstream.id, bad);
        let (store, id, addr) = (self.store.clone(), upstream.id.clone(), upstream.addr);
        let bad = bad.clone();
        tokio::spawn(async move {
            tokio::time::sleep(HEARTBEAT).await;
            // It may have started again, or left.
            if store.raw(WORKERS, &id) == Some(bad) {
                register(&store, &id, born, addr, "ready");
            }
        });
    }

    /// How often a request with a body has reached workers.
    pub fn reached(&self, body: &str) -> usize {
        let all = self.upstreams.iter().chain(&self.gone);
        let seen = all.flat_map(|u| u.worker.seen());
        seen.filter(|s| s.body == body.as_bytes()).count()
    }

    /// Removes a worker's row; it goes on serving what it has.
    pub fn retire(&mut self, n: usize) {
        let upstream = self.upstreams.remove(n);
        // It isn't registered anew.
        upstream.worker.crash_on(None);
        self.store.remove(WORKERS, &upstream.id);
        self.gone.push(upstream);
        self.note_links();
    }

    /// Writes a new version of the configuration, with a route more each time.
    pub fn change_config(&mut self) {
        self.version += 3;
        let mut all = routes();
        if let Some(all) = all.as_array_mut() {
            all.push(route(&format!("v{}", self.version), "idempotent", 2));
        }
        let config = config(self.version, &json!(all));
        let config = with_tenants(config, self.keys.configured());
        self.store.put(CONFIG.0, CONFIG.1, &config);
    }

    /// Waits until each gateway serves, at most for a time; says whether all do.
    pub async fn all_serve(&self, bound: Duration) -> bool {
        let key = Key::Own(0).header();
        let all = self.gateways.iter().map(|g| wait_serving(g.callers, &key));
        let served = async {
            for one in all {
                one.await;
            }
        };
        tokio::time::timeout(bound, served).await.is_ok()
    }
}

fn register(store: &Store, id: &str, born: u64, addr: SocketAddr, state: &str) {
    store.put(WORKERS, id, &worker_since(born, "plain", addr, state));
}

fn address(net: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 65, net, host)), port)
}
