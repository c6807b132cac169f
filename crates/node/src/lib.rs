//! Parts shared by all processes: identity, platform clients, documents in force, host list,
//! records, metrics and admin server.

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

/// Maximum size of a request head on the admin address, in bytes.
const ADMIN_HEAD_BYTES: usize = 16 << 10;
/// Maximum time for receiving a request head on the admin address.
const ADMIN_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of checks whether all running requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the stop deadline for callers and peers to read what was sent, and for the last
/// claims to be written. A response that is never read doesn't keep the process from exiting.
const FINAL_RESPONSES_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for writing the last records when the process exits.
const FINAL_RECORDS_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Why a process couldn't start.
    #[derive(Debug)]
    pub enum StartError {
        /// The address can't be bound. Another process may be using it.
        Bind(addr: SocketAddr, e: std::io::Error) { display("can't bind {addr}: {e}") }
        /// The settings are wrong for this process.
        Settings(why: &'static str) { display("settings: {why}") }
    }
}

/// Parts shared by all processes.
#[derive(Debug)]
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// Name and incarnation of the process, which is globally unique.
    pub id: String,
    /// Clients of the platform.
    pub platform: HttpPlatform,
    /// The documents in force.
    pub documents: Arc<Documents>,
    /// Hosts that are leaving, as far as this process knows.
    pub leaving: Arc<LeavingHosts>,
    /// Triggers a poll of the documents immediately.
    pub nudge: Arc<Notify>,
    /// Bytes of the connections to the platform.
    pub platform_bytes: Meter,
    /// Bytes of control traffic with peers, which excludes requests.
    pub peer_bytes: Meter,
    /// Metrics.
    pub metrics: Metrics,
    /// Records.
    pub recorder: Recorder,
    /// Sent when the process should stop: by an OS signal or because its host is leaving.
    pub stop: Stop,
    running: AtomicU64,
    stopping: OnceLock<Stopping>,
    /// Sent when the drain has ended, after which no requests may run.
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
    /// Starts all parts. `extra_rows` are read along with the documents.
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
                // Can't fail, since `self.documents` owns the sender.
                let _ = changed.changed().await;
            }
        });
    }

    /// Counts a request as running until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::SeqCst);
        RunningGuard(self.clone())
    }

    /// Number of running requests.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::SeqCst)
    }

    /// Begins a stop. Running requests may continue for `timeout`.
    pub fn begin_stop(&self, timeout: Duration) {
        let since = Instant::now();
        let deadline = since + timeout;
        // Later calls have no effect: the deadline doesn't change once it is known.
        let _ = self.stopping.set(Stopping { since, deadline });
    }

    /// Time at which running requests are ended; `None` if the process isn't stopping.
    pub fn stop_deadline(&self) -> Option<Instant> {
        self.stopping.get().map(|s| s.deadline)
    }

    /// Time from the start of the stop until `at`; `None` if the process wasn't stopping at that
    /// time.
    pub fn time_since_stop(&self, at: Instant) -> Option<Duration> {
        at.checked_duration_since(self.stopping.get()?.since)
    }

    /// Waits until the drain has ended: no requests are left, or the stop deadline has passed.
    /// Waits forever if the process isn't stopping.
    pub async fn drain_ended(&self) {
        self.drain_ended.stopped().await;
    }

    /// Whether the drain has ended.
    pub fn has_drain_ended(&self) -> bool {
        self.drain_ended.is_stopped()
    }

    /// Waits until `idle` has completed and no requests are running, or until the stop deadline.
    /// Then ends the remaining requests and returns their number.
    pub async fn drain(&self, idle: impl Future) -> u64 {
        let done = async {
            idle.await;
            while self.running() > 0 {
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        // After a timeout, `unfinished` is the number of requests that are left.
        let _ = tokio::time::timeout(self.time_left(), done).await;
        let unfinished = self.running();
        self.drain_ended.stop();
        unfinished
    }

    /// Maximum time for what follows the last request of a stop.
    pub fn final_responses_timeout(&self) -> Duration {
        self.time_left() + FINAL_RESPONSES_TIMEOUT
    }

    /// Time left until the stop deadline.
    fn time_left(&self) -> Duration {
        let now = Instant::now();
        let deadline = self.stop_deadline().unwrap_or(now);
        deadline.saturating_duration_since(now)
    }

    /// Writes the last records, with a timeout.
    pub async fn close_records(&self) {
        self.recorder.close(FINAL_RECORDS_TIMEOUT).await;
    }

    /// Serves health and metrics. `ready` returns whether the process accepts work.
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

    /// Binds the process's main address and logs it.
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

    /// Sends the stop signal when this process's host is leaving.
    pub async fn stop_when_leaving(self: Arc<Self>) {
        while !self.leaving.contains(&self.settings.host) {
            tokio::time::sleep(self.settings.limits.host_poll.min(LEAVING_CHECK_INTERVAL)).await;
        }
        self.stop.stop();
    }
}

/// Interval of checks whether this host is leaving. They only read memory.
const LEAVING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
