//! Gateways with one store, one platform and two workers, whose usage reports are compared with the
//! requests that tests sent.

use crate::common::{
    self, TestGateway, address, exchange, host, request, routes, start_on, status, wait_for,
};
use platform::{CloudSettings, HostSettings, UsageBounds};
use serde_json::{Value, json};
use standin::{Cloud, CloudCall, Store, Worker};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

pub const WINDOW: Duration = Duration::from_secs(1);
const TENANTS: [&str; 3] = ["one", "two", "idle"];

fn configuration(version: u64) -> Value {
    let mut config = common::config(version, &routes());
    let tenants = TENANTS.map(|name| json!({"Name": name, "ApiKeys": [format!("key-{name}")]}));
    config["Tenants"] = json!(tenants);
    config
}

/// A gateway in a runtime of its own.
pub struct OwnProcess {
    pub name: String,
    pub callers: SocketAddr,
    host: HostSettings,
    stop: net::Stop,
    task: tokio::task::JoinHandle<Result<(), gateway::StartError>>,
    /// `None` once it was killed.
    runtime: Option<tokio::runtime::Runtime>,
}

impl Drop for OwnProcess {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl OwnProcess {
    /// Starts a process and waits until it accepts connections.
    async fn start(host: HostSettings) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let stop = net::Stop::default();
        let path = std::path::PathBuf::from("/nonexistent/settings");
        let task = runtime.spawn(gateway::run(path, host.clone(), stop.clone()));
        let callers = host.client_addr.unwrap();
        let is_serving = || async { tokio::net::TcpStream::connect(callers).await.is_ok() };
        wait_for("the process", is_serving).await;
        Self {
            name: host.name.clone(),
            callers,
            host,
            stop,
            task,
            runtime: Some(runtime),
        }
    }

    /// Tells it to stop.
    pub fn signal_stop(&self) {
        self.stop.stop();
    }

    /// Waits until it has ended, starts it again at the same address, and waits until it is ready.
    pub async fn restart(&mut self) {
        wait_for("the end of its process", || async {
            self.task.is_finished()
        })
        .await;
        self.replace().await;
    }

    /// Kills it, starts it again at the same address, and waits until it is ready.
    pub async fn kill_and_restart(&mut self) {
        self.replace().await;
    }

    async fn replace(&mut self) {
        // The former process releases its addresses only as its runtime ends.
        let host = self.host.clone();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        wait_for("its addresses", || async {
            let addr = SocketAddr::new(host.ip, host.usage_port);
            let is_free = std::net::UdpSocket::bind(addr).is_ok();
            is_free && std::net::TcpListener::bind(host.readiness_addr.unwrap()).is_ok()
        })
        .await;
        *self = Self::start(host).await;
        self.wait_ready().await;
    }

    async fn wait_ready(&self) {
        let ready = self.host.readiness_addr.unwrap();
        wait_for("readiness", || async {
            let text = exchange(ready, "GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n").await;
            text.starts_with("HTTP/1.1 200")
        })
        .await;
    }

    /// Sends requests of a tenant sequentially.
    pub async fn send(&self, tenant: &str, count: usize) {
        for n in 0..count {
            let key = format!("key: key-{tenant}\r\n");
            let req = request("GET", "/safe/", &format!("own-{n}"), &key, "");
            let res = exchange(self.callers, &req).await;
            assert_eq!(status(&res), 200, "{res}");
        }
    }

    /// Tells it to stop and waits until it has ended.
    pub async fn stop(self) {
        self.stop.stop();
        wait_for("the end of its process", || async {
            self.task.is_finished()
        })
        .await;
        self.kill();
    }

    /// Kills it.
    pub fn kill(self) {
        drop(self);
    }
}

/// Gateways with one store, one platform and two workers.
pub struct TestFleet {
    pub beds: Vec<TestGateway>,
    pub store: Store,
    pub cloud: Cloud,
    /// Length of the windows for hosts that are started from now on.
    pub window: Duration,
    pub _workers: Vec<Worker>,
}

pub fn new_addr(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(address()), port)
}

pub async fn start(gateways: usize) -> TestFleet {
    let store = Store::start(new_addr(7003)).unwrap();
    let cloud = Cloud::start(new_addr(7005)).unwrap();
    let mut workers = Vec::new();
    for n in 0..2 {
        let worker = Worker::start(new_addr(7100), &format!("i-{n}"))
            .await
            .unwrap();
        let row = standin::fixture::worker_row("plain", worker.addr, "ready", None);
        store.put("servers", &format!("i-{n}"), &row);
        workers.push(worker);
    }
    store.put("op", "config", &configuration(1));
    let mut fleet = TestFleet {
        beds: Vec::new(),
        store,
        cloud,
        window: WINDOW,
        _workers: workers,
    };
    for _ in 0..gateways {
        fleet.add().await;
    }
    fleet
}

impl TestFleet {
    pub fn host(&self, ip: Ipv4Addr) -> HostSettings {
        let mut host = host(ip, self.store.addr);
        host.order_gap = Duration::from_millis(500);
        host.cloud = Some(CloudSettings {
            addr: self.cloud.addr,
            usage: Some(UsageBounds {
                window: self.window,
                due: Duration::from_secs(10),
            }),
            is_scaling_enabled: false,
        });
        host
    }

    pub async fn add(&mut self) {
        let host = self.host(address());
        self.add_host(host).await;
    }

    pub async fn add_host(&mut self, host: HostSettings) {
        // A bed owns a store, but these gateways use the common one.
        let unused = Store::start(new_addr(7003)).unwrap();
        let bed = start_on(host, unused);
        bed.wait_ready(200).await;
        bed.wait_for_retry_budget(&self.store).await;
        self.beds.push(bed);
    }

    /// Starts a process before the others by address, in the given place from the last, in a
    /// runtime of its own, so that it can be ended with all its tasks.
    pub async fn start_before(&self, place: u32) -> OwnProcess {
        let first = self.beds.iter().map(|bed| bed.host.ip).min().unwrap();
        let IpAddr::V4(first) = first else {
            panic!("tests have IPv4 addresses");
        };
        let host = self.host(Ipv4Addr::from(u32::from(first) - (place << 16)));
        OwnProcess::start(host).await
    }

    /// Starts a process in a runtime of its own, and waits until it is ready.
    pub async fn start_process(&self, ip: Ipv4Addr) -> OwnProcess {
        let process = OwnProcess::start(self.host(ip)).await;
        process.wait_ready().await;
        process
    }

    pub async fn wait_reports_by(&self, name: &str, count: usize) {
        wait_for("reports of a holder", || async {
            let calls = self.cloud.calls();
            calls.iter().filter(|c| c.holder == name).count() >= count
        })
        .await;
    }

    /// Sends requests of a tenant to a gateway sequentially.
    pub async fn send(&self, gateway: usize, tenant: &str, count: usize) {
        for n in 0..count {
            let key = format!("key: key-{tenant}\r\n");
            let req = request(
                "GET",
                "/safe/",
                &format!("{tenant}-{gateway}-{n}"),
                &key,
                "",
            );
            let res = exchange(self.beds[gateway].callers, &req).await;
            assert_eq!(status(&res), 200, "{res}");
        }
    }

    /// Number of reported requests by tenant. A window that was reported repeatedly counts once.
    pub fn reported(&self) -> BTreeMap<String, u64> {
        let mut windows: BTreeMap<u64, CloudCall> = BTreeMap::new();
        for call in self.cloud.calls() {
            assert_eq!(call.path, "/usage");
            let window = call.window();
            if let Some(before) = windows.get(&window) {
                assert_eq!(before.text, call.text, "two reports of window {window}");
            }
            windows.insert(window, call);
        }
        let mut sums = BTreeMap::new();
        for call in windows.values() {
            for (tenant, count) in call.body["Counts"].as_object().unwrap() {
                *sums.entry(tenant.clone()).or_default() += count.as_u64().unwrap();
            }
        }
        sums
    }

    pub async fn wait_reported(&self, expected: &[(&str, u64)]) {
        let expected: BTreeMap<String, u64> = expected
            .iter()
            .map(|(t, n)| ((*t).to_owned(), *n))
            .collect();
        wait_for("the reports", || async { self.reported() == expected }).await;
        // The same requests aren't reported again.
        let windows = self.windows();
        wait_for("two more windows", || async {
            self.windows() >= windows + 2
        })
        .await;
        assert_eq!(self.reported(), expected);
        self.assert_fenced();
    }

    pub fn windows(&self) -> usize {
        let mut all: Vec<u64> = self.cloud.calls().iter().map(CloudCall::window).collect();
        all.sort_unstable();
        all.dedup();
        all.len()
    }

    /// Asserts that fencing tokens never decrease, that no two holders share one, and that the
    /// calls of two holders are at least the minimum time apart.
    pub fn assert_fenced(&self) {
        let calls = self.cloud.calls();
        for pair in calls.windows(2) {
            assert!(pair[0].token <= pair[1].token, "{pair:?}");
            if pair[0].holder != pair[1].holder {
                assert!(pair[0].token < pair[1].token, "{pair:?}");
                assert!(
                    pair[1].at - pair[0].at >= Duration::from_millis(500),
                    "{pair:?}"
                );
            }
        }
    }
}
