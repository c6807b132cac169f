//! Tests hosts whose connections to the store go silent without a reset, while new ones work, and
//! whose roles as readers of the store change meanwhile.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{config, exchange, host, request, status, wait_for};
use net::Stop;
use platform::HostSettings;
use serde_json::{Value, json};
use standin::{Store, Worker, fixture};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;

const HOSTS: usize = 4;
/// Number of hosts that read the store frequently.
const READERS: usize = 2;
/// Time within which a configuration is in force after the store has acknowledged it.
const APPLY_BOUND: Duration = Duration::from_secs(2);
/// Time after a disturbance from which bounds hold, and a margin.
const STABLE_AFTER: Duration = Duration::from_secs(4);
/// Time after the bound in which the configuration is checked.
const CHECKED: Duration = Duration::from_secs(2);
/// Time in which hosts settle after the start.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// State of a link: connections that were opened in an earlier epoch are silent.
#[derive(Debug, Clone, Copy, Default)]
struct LinkState {
    epoch: u64,
    /// Whether new connections are silent as well.
    is_cut: bool,
}

/// The way of one host to the store. Its connections can go silent without a reset.
struct Link {
    addr: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

impl Link {
    async fn start(store: SocketAddr) -> Self {
        let addr = SocketAddr::new(IpAddr::V4(common::address()), 7003);
        let listener = TcpListener::bind(addr).await.unwrap();
        let state = Arc::new(watch::Sender::new(LinkState::default()));
        let states = state.clone();
        tokio::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                tokio::spawn(relay(tcp, store, states.subscribe()));
            }
        });
        Self { addr, state }
    }

    /// Lets all open connections go silent.
    fn silence(&self) {
        self.state.send_modify(|state| state.epoch += 1);
    }

    /// Lets all connections go silent, also those that are opened later.
    fn cut(&self) {
        self.state.send_modify(|state| {
            state.epoch += 1;
            state.is_cut = true;
        });
    }
}

/// Passes bytes on until the connection goes silent. It then stays open.
async fn relay(tcp: TcpStream, store: SocketAddr, mut states: watch::Receiver<LinkState>) {
    let opened_in = *states.borrow();
    let Ok(to_store) = TcpStream::connect(store).await else {
        return;
    };
    let (from_host, to_host) = tcp.into_split();
    let (from_store, to_store) = to_store.into_split();
    // Kept until the end, as their connections would be closed otherwise.
    let (up, down) = (copy(from_host, to_store), copy(from_store, to_host));
    tokio::pin!(up, down);
    tokio::select! {
        () = &mut up => {}
        () = &mut down => {}
        () = wait_until_silent(&mut states, opened_in.epoch) => std::future::pending().await,
    }
}

async fn wait_until_silent(states: &mut watch::Receiver<LinkState>, opened_in: u64) {
    let is_silent = |now: &LinkState| now.is_cut || now.epoch > opened_in;
    // Fails only if the link is dropped.
    let _ = states.wait_for(is_silent).await;
}

async fn copy(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin) {
    let mut buf = [0; 4096];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

/// A host in a runtime of its own, so that it can be killed.
struct Host {
    settings: HostSettings,
    link: Link,
    stop: Stop,
    task: tokio::task::JoinHandle<()>,
    runtime: Option<Runtime>,
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Host {
    async fn start(store: SocketAddr) -> Self {
        let link = Link::start(store).await;
        let settings = host(common::address(), link.addr);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let stop = Stop::default();
        let (run, stopped) = (settings.clone(), stop.clone());
        let task = runtime.spawn(async move {
            gateway::run("/nonexistent/settings".into(), run, stopped)
                .await
                .unwrap();
        });
        Self {
            settings,
            link,
            stop,
            task,
            runtime: Some(runtime),
        }
    }

    async fn wait_ready(&self) {
        let addr = self.settings.readiness_addr.unwrap();
        wait_for("readiness", || async move {
            let text = exchange(addr, "GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n").await;
            text.starts_with("HTTP/1.1 200")
        })
        .await;
    }

    async fn stop(self) {
        self.stop.stop();
        wait_for("its end", || async { self.task.is_finished() }).await;
    }

    /// Whether a route is known here.
    async fn has_route(&self, name: &str) -> bool {
        let req = request("GET", &format!("/{name}/"), "id", "", "");
        let res = exchange(self.settings.client_addr.unwrap(), &req).await;
        assert!([200, 404].contains(&status(&res)), "{res}");
        status(&res) == 200
    }
}

/// Hosts, sorted by rank.
struct Site {
    store: Store,
    hosts: Vec<Host>,
    _worker: Worker,
}

fn routes(names: &[&str]) -> Value {
    let routes = names
        .iter()
        .map(|name| fixture::route(name, "idempotent", 2));
    json!(routes.collect::<Vec<_>>())
}

impl Site {
    async fn start() -> Self {
        let at = |port| SocketAddr::new(IpAddr::V4(common::address()), port);
        let store = Store::start(at(7003)).unwrap();
        let worker = Worker::start(at(7100), "i-0").await.unwrap();
        let row = fixture::worker_row("plain", worker.addr, "ready", None);
        store.put("servers", "i-0", &row);
        store.put("op", "config", &config(1, &routes(&["former"])));
        let mut hosts = Vec::new();
        for _ in 0..HOSTS {
            hosts.push(Host::start(store.addr).await);
        }
        hosts.sort_by_key(|host| host.settings.ip);
        for host in &hosts {
            host.wait_ready().await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        Self {
            store,
            hosts,
            _worker: worker,
        }
    }

    fn silence(&self) {
        self.hosts.iter().for_each(|host| host.link.silence());
    }

    /// Writes a configuration and expects that it is in force on all hosts in time.
    async fn check_change(&self) {
        let written_at = Instant::now();
        let new = config(2, &routes(&["later"]));
        self.store.put("op", "config", &new);
        tokio::time::sleep(APPLY_BOUND).await;
        while written_at.elapsed() < APPLY_BOUND + CHECKED {
            for host in &self.hosts {
                let after = written_at.elapsed();
                let known = (
                    host.has_route("later").await,
                    host.has_route("former").await,
                );
                assert_eq!(known, (true, false), "{}: {after:?}", host.settings.ip);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Hosts that became readers kept waiting for an answer on connections that had gone silent, for up
/// to half a minute.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_is_in_force_in_time_after_readers_stopped_on_silent_connections() {
    for leave in [READERS, HOSTS - 1] {
        let mut site = Site::start().await;
        site.silence();
        let since = Instant::now();
        let leaving: Vec<Host> = site.hosts.drain(..leave).collect();
        let stops = leaving.into_iter().map(Host::stop);
        common::join_all(stops).await;
        tokio::time::sleep(STABLE_AFTER.saturating_sub(since.elapsed())).await;
        site.check_change().await;
    }
}

/// The same after a kill of the readers, and if connections go silent again afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_is_in_force_in_time_after_readers_were_killed_on_silent_connections() {
    for is_silent_again in [false, true] {
        let mut site = Site::start().await;
        site.silence();
        drop(site.hosts.drain(..READERS));
        if is_silent_again {
            tokio::time::sleep(SETTLE_TIME).await;
            site.silence();
        }
        tokio::time::sleep(STABLE_AFTER).await;
        site.check_change().await;
    }
}

/// The readers run but reach the store no more, so their ranks don't change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_is_in_force_in_time_after_readers_lost_the_store() {
    let site = Site::start().await;
    site.silence();
    site.hosts[..READERS]
        .iter()
        .for_each(|host| host.link.cut());
    tokio::time::sleep(STABLE_AFTER).await;
    site.check_change().await;
}

/// The readers notice by themselves that their connections are silent, and tell the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_is_in_force_in_time_after_connections_went_silent() {
    let site = Site::start().await;
    site.silence();
    tokio::time::sleep(STABLE_AFTER).await;
    site.check_change().await;
}

/// A host whose peers are gone learns of crashes from the store alone. It kept waiting on a read that it
/// had begun while peers were live.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_without_live_peers_reads_crashes_anew() {
    let mut site = Site::start().await;
    site.silence();
    let reads = site.store.reads("crashes");
    site.hosts.truncate(1);
    tokio::time::sleep(STABLE_AFTER).await;
    assert!(site.store.reads("crashes") > reads);
}

/// Each call to the store is charged, so hosts that aren't readers hold one read for long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn in_calm_the_readers_alone_read_the_configuration() {
    let site = Site::start().await;
    let reads = site.store.reads("op");
    tokio::time::sleep(Duration::from_secs(10)).await;
    let reads = site.store.reads("op") - reads;
    assert!(reads <= 6 * READERS as u64, "{reads} reads");
}
