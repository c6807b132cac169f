//! Runs several hosts, each in a runtime of its own so that it can be killed, and workers of
//! several software versions.

use super::paced::Pace;
use super::{
    Client, WAIT_TIMEOUT, address, config, exchange, host, join_all, request, routes, wait_for,
};
use net::Stop;
use serde_json::json;
use standin::{Action, Store, Worker, fixture};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

/// Path of a route whose streams may be resumed by clients, but not inside one answer.
pub const ONCE: &str = "/resumable/once/";
/// Path of another such route.
pub const OTHER: &str = "/resumable/other/";
/// Path of a route whose streams may be resumed inside one answer.
pub const RESUMABLE: &str = "/resumable/";
/// Events of a stream, and those before a worker breaks it off.
pub const EVENTS: u64 = 4;
pub const EVENTS_BEFORE_BREAK: u64 = 2;

/// A gateway in a runtime of its own.
pub struct Host {
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: platform::HostSettings,
    stop: Stop,
    /// Ends the runtime; `None` once it was used.
    kill: Option<oneshot::Sender<()>>,
    /// Completes once the gateway has ended; fails if it was killed.
    running: Option<oneshot::Receiver<()>>,
    /// Thread of the runtime, which ends when all its tasks have ended.
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Host {
    /// Starts a host.
    pub fn start(settings: platform::HostSettings) -> Self {
        let mut host = Self {
            callers: settings.client_addr.unwrap(),
            ready: settings.readiness_addr.unwrap(),
            settings,
            stop: Stop::default(),
            kill: None,
            running: None,
            thread: None,
        };
        host.run();
        host
    }

    fn run(&mut self) {
        let pace = Pace::current();
        let runtime = match pace {
            Some(_) => Builder::new_current_thread().enable_all().build(),
            None => Runtime::new(),
        };
        let runtime = runtime.unwrap();
        let is_paced = pace.is_some();
        self.stop = Stop::default();
        let path = PathBuf::from("/nonexistent/settings");
        let (settings, stop) = (self.settings.clone(), self.stop.clone());
        let (kill, killed) = oneshot::channel();
        let (ended, running) = oneshot::channel();
        self.thread = Some(std::thread::spawn(move || {
            runtime.block_on(async move {
                if let Some(pace) = pace {
                    pace.join();
                }
                let run = tokio::spawn(async {
                    gateway::run(path, settings, stop).await.unwrap();
                    let _ = ended.send(());
                });
                let _ = killed.await;
                run.abort();
            });
            match is_paced {
                // Its blocking task ends with the others.
                true => drop(runtime),
                false => runtime.shutdown_timeout(WAIT_TIMEOUT),
            }
        }));
        (self.kill, self.running) = (Some(kill), Some(running));
    }

    /// Ends the host without notice, with all its connections.
    pub fn kill(&mut self) {
        self.kill = None;
    }

    /// Sends the host the stop signal.
    pub fn stop(&self) {
        self.stop.stop();
    }

    /// Starts the host again once its process has ended or was killed, and waits until it is ready.
    pub async fn restart(&mut self) {
        self.settings.is_first_start = false;
        self.restart_with_same_settings().await;
    }

    /// Restarts the host like [`Self::restart`], but with the settings that it had.
    pub async fn restart_with_same_settings(&mut self) {
        self.wait_for_end().await;
        self.run();
        self.wait_ready().await;
    }

    /// Waits until a process that was told to stop or killed has ended.
    pub async fn wait_for_end(&mut self) {
        if let Some(running) = self.running.take()
            && self.kill.is_some()
        {
            running.await.unwrap();
        }
        self.kill();
        self.wait_for_shutdown().await;
    }

    /// Waits until the sockets of a killed process are closed.
    pub async fn wait_for_shutdown(&mut self) {
        if let Some(thread) = self.thread.take() {
            let thread = tokio::task::spawn_blocking(|| thread.join().unwrap());
            thread.await.unwrap();
        }
    }

    pub async fn wait_ready(&self) {
        let ready = self.ready;
        wait_for("readiness", || async move {
            let text = exchange(ready, "GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n").await;
            text.starts_with("HTTP/1.1 200")
        })
        .await;
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Hosts with one store, and workers.
pub struct Bed {
    pub store: Arc<Store>,
    pub hosts: Vec<Host>,
    /// Deadline of the requests, in milliseconds.
    pub deadline_ms: u64,
    workers: Vec<(String, Worker)>,
}

/// What a client got of a stream.
#[derive(Debug)]
pub struct Received {
    pub status: u16,
    pub text: String,
}

impl Received {
    /// Number of events.
    pub fn events(&self) -> usize {
        self.text.matches("data: piece").count()
    }

    /// Whether the stream was served up to its last event.
    pub fn is_whole(&self) -> bool {
        self.text.contains(&format!("piece {EVENTS}\n")) && self.text.ends_with("0\r\n\r\n")
    }
}

impl Bed {
    /// Starts hosts, and a worker of each of the given versions.
    pub async fn start(hosts: usize, versions: &[&str]) -> Self {
        let store = Store::start(SocketAddr::new(IpAddr::V4(address()), 7003)).unwrap();
        let mut all = routes();
        for (name, path) in [("once", ONCE), ("other", OTHER)] {
            let mut route = fixture::route(name, "streaming", 1);
            route["PathPrefix"] = json!(path);
            route["Resumable"] = json!(true);
            all.as_array_mut().unwrap().push(route);
        }
        store.put("op", "config", &config(1, &all));
        let mut bed = Self {
            store: Arc::new(store),
            hosts: Vec::new(),
            deadline_ms: 4000,
            workers: Vec::new(),
        };
        for version in versions {
            bed.add_worker(version).await;
        }
        for _ in 0..hosts {
            bed.add_host(false).await;
        }
        bed.wait_for_peers().await;
        bed
    }

    /// Starts one more host and waits until it is ready. `is_first_start` is true if the whole
    /// system starts for the first time.
    pub async fn add_host(&mut self, is_first_start: bool) {
        let settings = platform::HostSettings {
            is_first_start,
            ..host(address(), self.store.addr)
        };
        let host = Host::start(settings);
        host.wait_ready().await;
        self.hosts.push(host);
    }

    /// Starts hosts at the first start of the whole system, and a worker of each of the given
    /// versions.
    pub async fn start_system(hosts: usize, versions: &[&str]) -> Self {
        let mut bed = Self::start(0, versions).await;
        for _ in 0..hosts {
            let settings = platform::HostSettings {
                is_first_start: true,
                ..host(address(), bed.store.addr)
            };
            bed.hosts.push(Host::start(settings));
        }
        for host in &bed.hosts {
            host.wait_ready().await;
        }
        bed.wait_for_peers().await;
        bed
    }

    /// Waits until the hosts know each other, and their shares of the retry budget.
    async fn wait_for_peers(&self) {
        const REFRESH_TIME: Duration = Duration::from_millis(500);
        let count = self.hosts.len();
        wait_for("rows of all hosts", || async {
            self.store.keys("processes").len() >= count
        })
        .await;
        tokio::time::sleep(REFRESH_TIME).await;
    }

    /// Kills all hosts at once and restarts them.
    pub async fn kill_all_and_restart(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        let restarts = self.hosts.iter_mut();
        let restarts = restarts.map(async |host| host.restart().await);
        join_all(restarts).await;
    }

    /// Starts a worker that breaks off each stream and serves the rest of a resumed one.
    pub async fn add_worker(&mut self, version: &str) {
        let id = format!("i-{}", self.workers.len());
        let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
        let worker = Worker::start(addr, &id).await.unwrap();
        worker.set_default_action(Action::ResumeWith {
            first: Box::new(Action::EventsThenReset(1..=EVENTS_BEFORE_BREAK)),
            then: Box::new(Action::Serve(EVENTS)),
        });
        let row = fixture::worker_row_with_version(version, addr);
        self.store.put("servers", &id, &row);
        self.workers.push((version.to_owned(), worker));
    }

    /// Removes a worker's row and waits until all hosts have left it out for new streams.
    pub async fn retire(&self, id: &str) {
        const REGISTRY_TIME: Duration = Duration::from_millis(2500);
        self.store.remove("servers", id);
        tokio::time::sleep(REGISTRY_TIME).await;
    }

    /// Sends a request for a stream and reads until the connection ends.
    pub async fn send(&self, host: usize, path: &str, id: &str, more: &str) -> Received {
        let headers = format!("connection: close\r\n{more}");
        let mut client = Client::connect(self.hosts[host].callers).await;
        // Streams with the same body would be taken for one request that crashes workers.
        let text = request("POST", path, id, &headers, id);
        let deadline = format!("deadline-ms: {}\r\n", self.deadline_ms);
        let text = text.replace("deadline-ms: 4000\r\n", &deadline);
        client.send(&text).await;
        let (text, _) = client.read_to_end().await;
        let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
        Received {
            status: status.unwrap_or(0),
            text,
        }
    }

    /// Takes up the stream that an attempt began.
    pub async fn resume(&self, host: usize, id: &str, resumes: &str) -> Received {
        let more = format!("resumes: {resumes}\r\nlast-event-id: {EVENTS_BEFORE_BREAK}\r\n");
        self.send(host, ONCE, id, &more).await
    }

    /// Versions of the workers that ran any of the client's attempts.
    pub fn versions_of(&self, ids: &[&str]) -> Vec<&str> {
        let ran = |worker: &Worker| {
            let all = worker.requests();
            all.iter().any(|r| r.ran && ids.contains(&r.id()))
        };
        let ran_by = self.workers.iter().filter(|(_, worker)| ran(worker));
        let mut versions: Vec<&str> = ran_by.map(|(version, _)| version.as_str()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Number of streams that hold events of two versions, and of those that go on, of 12 that a
    /// host begins and `take_up` resumes. `take_up` gets the number of the stream.
    pub async fn take_up_streams(&self, first: usize, second: usize) -> (usize, usize) {
        let (mut mixed, mut resumed) = (0, 0);
        for n in 0..12 {
            let (begun, next) = (format!("begun-{n}"), format!("next-{n}"));
            let part = self.send(first, ONCE, &begun, "").await;
            assert_eq!(part.events() as u64, EVENTS_BEFORE_BREAK, "{part:?}");
            let rest = self.resume(second, &next, &begun).await;
            resumed += usize::from(rest.is_whole());
            mixed += usize::from(self.versions_of(&[&begun, &next]).len() > 1);
        }
        (mixed, resumed)
    }
}
