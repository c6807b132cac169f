//! Runs several hosts with one store, and workers that crash on certain requests.

use super::{TestGateway, address, host, request, start_on};
use standin::{Action, Crash, Store, Worker, fixture};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Text in the body of requests that crash the workers.
pub const CRASH_MARKER: &str = "deadly";
/// Part of the prompts that crash the workers.
pub const CRASHING_PART: u64 = 0xdead;
/// Time after the third crash from which the number of further sends is limited, with some margin.
pub const DETECTION_TIME: Duration = Duration::from_millis(3200);
/// Time that a worker is down after a crash.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// First start of the workers in ms, by their own clocks.
const FIRST_START_MS: u64 = 1_700_000_000_000;
/// Port on which hosts receive messages of their peers.
const PEER_PORT: u16 = 7002;

/// Hosts with one store, and workers that crash on [`CRASH_MARKER`].
pub struct System {
    pub hosts: Vec<TestGateway>,
    pub store: Arc<Store>,
    /// Prefill-only engines. They don't crash.
    pub prefill_engines: Vec<Worker>,
    workers: Vec<Worker>,
    /// Time that a worker is down after a crash.
    downtime: Duration,
}

impl System {
    /// Starts hosts and plain workers that answer after 30 ms.
    pub async fn start(hosts: usize, workers: usize) -> Self {
        Self::start_with_downtime(hosts, workers, RESTART_TIME).await
    }

    /// Same as [`System::start`], with workers that are down for `downtime` after a crash.
    pub async fn start_with_downtime(hosts: usize, workers: usize, downtime: Duration) -> Self {
        let mut system = Self::empty();
        system.downtime = downtime;
        for n in 0..workers {
            let row = fixture::worker_row("plain", system.store.addr, "ready", None);
            let default = Action::Delayed(Duration::from_millis(30), Box::new(Action::Echo));
            system.add_worker(&format!("i-{n}"), row, default).await;
        }
        for _ in 0..hosts {
            system.add_host(PEER_PORT).await;
        }
        system
    }

    /// Starts hosts with these routes, and plain workers that are registered with `slots` and answer
    /// after `service_time`.
    pub async fn start_limited(
        hosts: usize,
        workers: usize,
        slots: usize,
        service_time: Duration,
        routes: &serde_json::Value,
    ) -> Self {
        let mut system = Self::empty();
        system.store.put("op", "config", &super::config(1, routes));
        for n in 0..workers {
            let mut row = fixture::worker_row("plain", system.store.addr, "ready", None);
            row["Slots"] = slots.into();
            let default = Action::Delayed(service_time, Box::new(Action::Echo));
            system.add_worker(&format!("i-{n}"), row, default).await;
        }
        for _ in 0..hosts {
            system.add_host(PEER_PORT).await;
        }
        system
    }

    /// Starts hosts, prefill-only engines and engines that generate.
    pub async fn start_engines(hosts: usize, prefill_engines: usize, generators: usize) -> Self {
        Self::start_slow_engines(
            hosts,
            prefill_engines,
            generators,
            Duration::ZERO,
            RESTART_TIME,
        )
        .await
    }

    /// Same as [`System::start_engines`], with generators that answer after `latency` and are down
    /// for `downtime` after a crash.
    pub async fn start_slow_engines(
        hosts: usize,
        prefill_engines: usize,
        generators: usize,
        latency: Duration,
        downtime: Duration,
    ) -> Self {
        let mut system = Self::empty();
        system.downtime = downtime;
        for n in 0..prefill_engines {
            let id = format!("r-{n}");
            let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
            let engine = Worker::start(addr, &id).await.unwrap();
            engine.set_default_action(Action::Prefilled(format!("handle-{n}")));
            let row = fixture::worker_row("llm", addr, "ready", Some("prefill"));
            system.store.put("servers", &id, &row);
            system.prefill_engines.push(engine);
        }
        for n in 0..generators {
            let row = fixture::worker_row("llm", system.store.addr, "ready", Some("decode"));
            let default = match latency.is_zero() {
                true => Action::Events(1..=2),
                false => Action::Delayed(latency, Box::new(Action::Events(1..=2))),
            };
            system.add_worker(&format!("i-{n}"), row, default).await;
        }
        for _ in 0..hosts {
            system.add_host(PEER_PORT).await;
        }
        system
    }

    /// Creates a system without hosts and workers.
    pub fn empty() -> Self {
        let ip = address();
        let store = Arc::new(Store::start(SocketAddr::new(IpAddr::V4(ip), 7003)).unwrap());
        store.put("op", "config", &super::config(1, &super::routes()));
        Self {
            hosts: Vec::new(),
            store,
            prefill_engines: Vec::new(),
            workers: Vec::new(),
            downtime: RESTART_TIME,
        }
    }

    /// Starts one more host and waits until it is ready. Only hosts with the same `peer_port` are
    /// its peers.
    pub async fn add_host(&mut self, peer_port: u16) {
        let ip = address();
        // Each gateway needs a store of its own, which isn't used here: all hosts share one.
        let own = Store::start(SocketAddr::new(IpAddr::V4(ip), 7004)).unwrap();
        let settings = platform::HostSettings {
            peer_port,
            ..host(ip, self.store.addr)
        };
        let gateway = start_on(settings, own);
        gateway.wait_ready(200).await;
        self.hosts.push(gateway);
    }

    /// Starts one more plain worker and registers it.
    pub async fn add_plain_worker(&mut self, id: &str) {
        let row = fixture::worker_row("plain", self.store.addr, "ready", None);
        self.add_worker(id, row, Action::Echo).await;
    }

    /// Starts a worker and registers it with `row`, to which its address and start are added.
    async fn add_worker(&mut self, id: &str, row: serde_json::Value, default: Action) {
        let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
        let worker = Worker::start_with_time(addr, id, FIRST_START_MS)
            .await
            .unwrap();
        let (store, id) = (self.store.clone(), id.to_owned());
        let register = move |start_ms: u64| {
            let mut row = row.clone();
            row["Address"] = addr.to_string().into();
            row["born"] = start_ms.into();
            store.put("servers", &id, &row);
        };
        register(FIRST_START_MS);
        worker.set_default_action(default);
        worker.set_crash(Some(Crash {
            trigger: CRASH_MARKER.into(),
            downtime: self.downtime,
            on_start: Box::new(register),
        }));
        self.workers.push(worker);
    }

    /// Registers all workers as restarted; `restart` is the number of the restart.
    pub fn register_restarted(&self, restart: u64) {
        for worker in &self.workers {
            let mut row = fixture::worker_row("plain", worker.addr, "ready", None);
            let id = worker.id();
            row["born"] = (FIRST_START_MS + 1_000_000 * restart).into();
            self.store.put("servers", id, &row);
        }
    }

    /// Writes the row of a crash during a request, as another host does.
    pub fn put_crash_row(&self, path: &str, body: &str, upstream: u32) {
        let parts = ["POST", fixture::HOST, path, "", body];
        let fingerprint = resilience::Fingerprint::of(parts.map(str::as_bytes));
        let key = format!("{fingerprint}/end/{upstream:08x}");
        let row = serde_json::json!({"host": "edge-other", "at_ms": 0});
        self.store.put("crashes", &key, &row);
    }

    /// Sets what all workers do with requests that don't crash them.
    pub fn set_default_act(&self, act: &Action) {
        for worker in &self.workers {
            worker.set_default_action(act.clone());
        }
    }

    /// Returns the workers that aren't prefill-only engines.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns how often workers received a body.
    pub fn times_sent(&self, body: &str) -> usize {
        let seen = self.workers.iter().flat_map(Worker::requests);
        seen.filter(|s| s.body == body.as_bytes()).count()
    }

    /// Returns the number of crashes of all workers so far.
    pub fn crash_count(&self) -> u64 {
        self.workers.iter().map(Worker::crashes).sum()
    }

    /// Lets workers that are up no longer crash.
    pub fn disable_crashes(&self) {
        for worker in &self.workers {
            worker.set_crash(None);
        }
    }

    /// Sends a request to one of the hosts, selected by `id`, and returns its answer.
    pub async fn exchange(&self, path: &str, id: usize, body: &str) -> String {
        self.exchange_with(path, id, super::SHORT_PROMPT_HEADERS, body)
            .await
    }

    /// Same as [`System::exchange`] with other headers.
    pub async fn exchange_with(&self, path: &str, id: usize, headers: &str, body: &str) -> String {
        let host = &self.hosts[id % self.hosts.len()];
        let text = request("POST", path, &format!("{body}-{id}"), headers, body);
        super::exchange(host.callers, &text).await
    }

    /// Sends a prompt with these parts and a body of its own to one of the hosts, selected by `id`.
    /// It crashes workers that generate on it if [`CRASHING_PART`] is one of the parts.
    pub async fn exchange_prompt(&self, path: &str, id: usize, parts: &[u64]) -> String {
        let kind = match parts.contains(&CRASHING_PART) {
            true => CRASH_MARKER,
            false => "sound",
        };
        let headers = fixture::prompt_headers(parts);
        self.exchange_with(path, id, &headers, &format!("{kind}-{id}"))
            .await
    }

    /// Same as [`System::exchange_prompt`]; returns the status of the answer, or 0 if there is
    /// none.
    pub async fn send_prompt(&self, path: &str, id: usize, parts: &[u64]) -> u16 {
        let answer = self.exchange_prompt(path, id, parts).await;
        match answer.is_empty() {
            true => 0,
            false => super::status(&answer),
        }
    }

    /// Returns how often prompts that crash workers were prefilled or crashed a worker.
    pub fn crashing_prompts_received(&self) -> u64 {
        let prefilled = self.prefill_engines.iter().flat_map(Worker::requests);
        let is_crashing = |body: &[u8]| String::from_utf8_lossy(body).contains(CRASH_MARKER);
        let prefilled = prefilled.filter(|seen| is_crashing(&seen.body)).count();
        prefilled as u64 + self.crash_count()
    }

    /// Same as [`System::exchange`]; returns the status of the answer, or 0 if there is none.
    pub async fn send(&self, path: &str, id: usize, body: &str) -> u16 {
        let answer = self.exchange(path, id, body).await;
        match answer.is_empty() {
            true => 0,
            false => super::status(&answer),
        }
    }
}
