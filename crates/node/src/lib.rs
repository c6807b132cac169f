//! What every process of the system has: its name and incarnation, the
//! platform's clients, the documents in force, the host list, records,
//! metrics, and the admin server.

use conf::Settings;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use net::server::bind;
use net::{Body, HeadLimits, Meter, Protocol, Server, Stop, full};
use observe::{Event, Metrics, emit};
use quick_error::quick_error;
use records::Recorder;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use store::poll::{DocPoll, ExtraRows, LeavingHosts, poll_hosts};
use store::{Documents, HttpPlatform};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Largest head on the admin address.
const ADMIN_HEAD_BYTES: usize = 16 << 10;
/// Longest wait for a head on the admin address.
const ADMIN_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between looks at whether running requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait, once the time of running requests is up, for callers and peers to take
/// what was sent and for the last claims. An answer that nobody takes holds no process.
const FINAL_RESPONSES_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the last records when a process ends.
const FINAL_RECORDS_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Why a process can't start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be bound; another process may hold it.
        Bind(addr: SocketAddr, e: std::io::Error) { display("can't bind {addr}: {e}") }
        /// The settings don't fit the process.
        Settings(why: &'static str) { display("settings: {why}") }
    }
}

/// The parts that every process has.
#[derive(Debug)]
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// Name and incarnation; no two processes ever share it.
    pub id: String,
    /// The platform's clients.
    pub platform: HttpPlatform,
    /// The documents in force.
    pub documents: Arc<Documents>,
    /// Hosts that are leaving, as far as this process knows.
    pub leaving: Arc<LeavingHosts>,
    /// Makes the next look at the documents come at once.
    pub nudge: Arc<Notify>,
    /// Bytes between this process and the platform.
    pub platform_bytes: Meter,
    /// Bytes of control between this process and its peers: all but requests.
    pub peer_bytes: Meter,
    /// Metrics.
    pub metrics: Metrics,
    /// Records.
    pub recorder: Recorder,
    /// Given when the process should end: by a signal, or as its host leaves.
    pub stop: Stop,
    running: AtomicU64,
    stopping: OnceLock<Stopping>,
    /// Given when the time of running requests is up.
    drain_ended: Stop,
}

/// A stop that has begun.
#[derive(Debug, Clone, Copy)]
struct Stopping {
    since: Instant,
    deadline: Instant,
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub struct RunningGuard(Arc<Node>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Node {
    /// Starts the parts. Documents are polled along with `also`.
    pub fn start(settings: Settings, extra_rows: Option<ExtraRows>, stop: Stop) -> Arc<Self> {
        let id = format!("{}-{:012x}", settings.name, fastrand::u64(..) >> 16);
        let platform_bytes = Meter::default();
        let platform = HttpPlatform::metered(&settings.platform, &platform_bytes);
        let limits = &settings.limits;
        let recorder = Recorder::start(
            platform.clone(),
            id.clone(),
            limits.record_flush,
            limits.record_buffer,
        );
        let node = Arc::new(Self {
            id,
            documents: Arc::new(Documents::new(&settings.services)),
            leaving: Arc::default(),
            nudge: Arc::default(),
            platform_bytes,
            peer_bytes: Meter::default(),
            metrics: Metrics::new(limits.tenant_metrics),
            recorder,
            stop,
            running: AtomicU64::new(0),
            stopping: OnceLock::new(),
            drain_ended: Stop::default(),
            platform,
            settings,
        });
        node.clone().spawn_polls(extra_rows);
        node
    }

    fn spawn_polls(self: Arc<Self>, extra_rows: Option<ExtraRows>) {
        let limits = &self.settings.limits;
        let poll = DocPoll {
            documents: self.documents.clone(),
            interval: limits.doc_poll,
            extra_rows,
            nudge: self.nudge.clone(),
        };
        tokio::spawn(poll.run(self.platform.clone()));
        let hosts = poll_hosts(
            self.platform.clone(),
            self.leaving.clone(),
            limits.host_poll,
        );
        tokio::spawn(hosts);
        let leaving = self.leaving.clone();
        tokio::spawn(async move { leaving.detect_pauses().await });
        tokio::spawn(async move {
            let mut changed = self.documents.subscribe();
            loop {
                for service in self.documents.services() {
                    self.metrics
                        .set_document_version(&service, self.documents.version(&service));
                }
                // The sender lives in `documents`, which `self` holds.
                let _ = changed.changed().await;
            }
        });
    }

    /// Counts a request as running.
    pub fn begin_request(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::SeqCst);
        RunningGuard(self.clone())
    }

    /// Requests that run.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::SeqCst)
    }

    /// Notes that the process stops from now on, and may run requests for so long yet.
    pub fn begin_stop(&self, timeout: Duration) {
        let since = Instant::now();
        let deadline = since + timeout;
        // A second call changes nothing: the end stands once it was told.
        let _ = self.stopping.set(Stopping { since, deadline });
    }

    /// When requests that still run are ended, if the process is stopping.
    pub fn stop_deadline(&self) -> Option<Instant> {
        self.stopping.get().map(|s| s.deadline)
    }

    /// How long after the stop began something came, if it came after.
    pub fn time_since_stop(&self, at: Instant) -> Option<Duration> {
        at.checked_duration_since(self.stopping.get()?.since)
    }

    /// Waits until the time of running requests is up; for ever if it never is.
    pub async fn drain_ended(&self) {
        self.drain_ended.stopped().await;
    }

    /// Whether the time of running requests is up.
    pub fn has_drain_ended(&self) -> bool {
        self.drain_ended.is_stopped()
    }

    /// Waits until `idle` is over and nothing runs, or the time of a stop is up, and
    /// ends what runs then. Gives how many that were.
    pub async fn drain(&self, idle: impl Future) -> u64 {
        let done = async {
            idle.await;
            while self.running() > 0 {
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        // Past the end the count below tells what is left.
        let _ = tokio::time::timeout(self.time_left(), done).await;
        let unfinished = self.running();
        self.drain_ended.stop();
        unfinished
    }

    /// Longest wait for what comes after a stop's last request.
    pub fn final_responses_timeout(&self) -> Duration {
        self.time_left() + FINAL_RESPONSES_TIMEOUT
    }

    /// What is left until a stop's end.
    fn time_left(&self) -> Duration {
        let now = Instant::now();
        let deadline = self.stop_deadline().unwrap_or(now);
        deadline.saturating_duration_since(now)
    }

    /// Writes the last records, within a bounded time.
    pub async fn close_records(&self) {
        self.recorder.close(FINAL_RECORDS_TIMEOUT).await;
    }

    /// Serves health and metrics. `ready` says whether the process takes work.
    pub fn serve_admin(
        self: &Arc<Self>,
        ready: impl Fn() -> bool + Clone + Send + Sync + 'static,
    ) -> Result<(), StartError> {
        let addr = self.settings.admin;
        let listener = bind(addr).map_err(|e| StartError::Bind(addr, e))?;
        let server = Server {
            head: HeadLimits::new(ADMIN_HEAD_TIMEOUT, ADMIN_HEAD_BYTES),
            protocol: Protocol::Any,
            drain: Stop::default(),
            stop: Stop::default(),
        };
        let node = self.clone();
        tokio::spawn(server.run(listener, move |req| {
            let response = node.admin_response(&req, &ready);
            async move { response }
        }));
        Ok(())
    }

    fn admin_response(&self, req: &Request<Incoming>, ready: &impl Fn() -> bool) -> Response<Body> {
        let (status, text) = match req.uri().path() {
            "/health" if ready() => (StatusCode::OK, b"ready\n".to_vec()),
            "/health" => (StatusCode::SERVICE_UNAVAILABLE, b"not ready\n".to_vec()),
            "/metrics" => {
                self.metrics
                    .set_control_bytes("platform", self.platform_bytes.bytes());
                self.metrics
                    .set_control_bytes("peers", self.peer_bytes.bytes());
                (StatusCode::OK, self.metrics.encode())
            }
            _ => (StatusCode::NOT_FOUND, b"not found\n".to_vec()),
        };
        let mut response = Response::new(full(text));
        *response.status_mut() = status;
        response
    }

    /// Binds the process's main address and says so in the log.
    pub fn listen(&self) -> Result<TcpListener, StartError> {
        let addr = self.settings.listen;
        let listener = bind(addr).map_err(|e| StartError::Bind(addr, e))?;
        let admin = self.settings.admin.to_string();
        emit(&Event::Started {
            listen: addr.to_string(),
            admin,
        });
        Ok(listener)
    }

    /// Gives the stop signal once this process's host is called leaving.
    pub async fn stop_when_leaving(self: Arc<Self>) {
        while !self.leaving.contains(&self.settings.host) {
            tokio::time::sleep(self.settings.limits.host_poll.min(LEAVING_CHECK_INTERVAL)).await;
        }
        self.stop.stop();
    }
}

/// Time between looks at whether this host is leaving, in memory only.
const LEAVING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
