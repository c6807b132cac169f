//! Several hosts before one store, and workers that some requests crash.

use super::{Bed, address, host, request, start_on};
use standin::{Action, Crash, Store, Worker, fixture};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Text in the body of requests that crash the workers.
pub const DEADLY: &str = "deadly";
/// Time after the third end from which on few more sends are allowed, and a bit more.
pub const SETTLED: Duration = Duration::from_millis(3200);
/// How long a worker is away after a crash.
const AWAY: Duration = Duration::from_millis(300);
/// Start of the first workers, by their clocks.
const BORN: u64 = 1_700_000_000_000;
/// Port on which hosts hear each other.
const PEERS: u16 = 7002;

/// Hosts before one store, with workers that crash on [`DEADLY`].
pub struct System {
    pub hosts: Vec<Bed>,
    pub store: Arc<Store>,
    /// Engines that only read prompts. They don't crash.
    pub readers: Vec<Worker>,
    workers: Vec<Worker>,
}

impl System {
    /// Starts hosts and plain workers, whose answers take some time.
    pub async fn start(hosts: usize, workers: usize) -> Self {
        let mut system = Self::bare();
        for n in 0..workers {
            let row = fixture::worker_row("plain", system.store.addr, "ready", None);
            let usual = Action::Delayed(Duration::from_millis(30), Box::new(Action::Echo));
            system.add_worker(&format!("i-{n}"), row, usual).await;
        }
        for _ in 0..hosts {
            system.add_host(PEERS).await;
        }
        system
    }

    /// Starts hosts, engines that only read prompts and engines that generate.
    pub async fn start_engines(hosts: usize, readers: usize, generators: usize) -> Self {
        let mut system = Self::bare();
        for n in 0..readers {
            let id = format!("r-{n}");
            let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
            let reader = Worker::start(addr, &id).await.unwrap();
            reader.set_default_action(Action::Prefilled(format!("handle-{n}")));
            let row = fixture::worker_row("llm", addr, "ready", Some("prefill"));
            system.store.put("servers", &id, &row);
            system.readers.push(reader);
        }
        for n in 0..generators {
            let row = fixture::worker_row("llm", system.store.addr, "ready", Some("decode"));
            let usual = Action::Events(1..=2);
            system.add_worker(&format!("i-{n}"), row, usual).await;
        }
        for _ in 0..hosts {
            system.add_host(PEERS).await;
        }
        system
    }

    /// A system without hosts and workers yet.
    pub fn bare() -> Self {
        let ip = address();
        let store = Arc::new(Store::start(SocketAddr::new(IpAddr::V4(ip), 7003)).unwrap());
        store.put("op", "config", &super::config(1, &super::routes()));
        Self {
            hosts: Vec::new(),
            store,
            readers: Vec::new(),
            workers: Vec::new(),
        }
    }

    /// Starts one more host and waits until it is ready. It hears peers with the same port.
    pub async fn add_host(&mut self, peer_port: u16) {
        let ip = address();
        // What a bed calls its store is of no use here: all share one.
        let own = Store::start(SocketAddr::new(IpAddr::V4(ip), 7004)).unwrap();
        let settings = platform::HostSettings {
            peer_port,
            ..host(ip, self.store.addr)
        };
        let bed = start_on(settings, own);
        bed.wait_ready(200).await;
        self.hosts.push(bed);
    }

    /// Starts a worker with a row, but for its address and start.
    async fn add_worker(&mut self, id: &str, row: serde_json::Value, usual: Action) {
        let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
        let worker = Worker::start_with_time(addr, id, BORN).await.unwrap();
        let (store, id) = (self.store.clone(), id.to_owned());
        let register = move |born: u64| {
            let mut row = row.clone();
            row["Address"] = addr.to_string().into();
            row["born"] = born.into();
            store.put("servers", &id, &row);
        };
        register(BORN);
        worker.set_default_action(usual);
        worker.set_crash(Some(Crash {
            trigger: DEADLY.into(),
            downtime: AWAY,
            on_start: Box::new(register),
        }));
        self.workers.push(worker);
    }

    /// Registers all workers as if they had started again, for the time with this number.
    pub fn register_anew(&self, time: u64) {
        for worker in &self.workers {
            let mut row = fixture::worker_row("plain", worker.addr, "ready", None);
            let id = worker.id();
            row["born"] = (BORN + 1_000_000 * time).into();
            self.store.put("servers", id, &row);
        }
    }

    /// Writes the row of an end under a request, as another host does.
    pub fn put_end(&self, path: &str, body: &str, upstream: u32) {
        let parts = ["POST", fixture::HOST, path, "", body];
        let work = resilience::Fingerprint::of(parts.map(str::as_bytes));
        let key = format!("{work}/end/{upstream:08x}");
        let row = serde_json::json!({"host": "edge-other", "at_ms": 0});
        self.store.put("crashes", &key, &row);
    }

    /// What all workers do with requests that don't crash them.
    pub fn workers_usually(&self, act: &Action) {
        for worker in &self.workers {
            worker.set_default_action(act.clone());
        }
    }

    /// How often workers were sent a body.
    pub fn sent(&self, body: &str) -> usize {
        let seen = self.workers.iter().flat_map(Worker::requests);
        seen.filter(|s| s.body == body.as_bytes()).count()
    }

    /// How often workers have ended so far.
    pub fn ends(&self) -> u64 {
        self.workers.iter().map(Worker::crashes).sum()
    }

    /// Workers that are up don't crash any more.
    pub fn mend_workers(&self) {
        for worker in &self.workers {
            worker.set_crash(None);
        }
    }

    /// Sends a request to one of the hosts, by turns; gives its answer.
    pub async fn exchange(&self, path: &str, id: usize, body: &str) -> String {
        let host = &self.hosts[id % self.hosts.len()];
        let more = super::FEW_TOKENS;
        let text = request("POST", path, &format!("{body}-{id}"), more, body);
        super::exchange(host.callers, &text).await
    }

    /// The same; gives the answer's status, 0 if there is none.
    pub async fn send(&self, path: &str, id: usize, body: &str) -> u16 {
        let answer = self.exchange(path, id, body).await;
        match answer.is_empty() {
            true => 0,
            false => super::status(&answer),
        }
    }
}
