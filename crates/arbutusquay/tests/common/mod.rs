//! A gateway process with a store, for tests of its resources.

pub mod prompts;

use bench::deploy::reserve_subnet;
use bench::probe::wait_serving;
use bench::procs::{Proc, Signal};
use bench::testbed::{POLL_INTERVAL, WAIT_TIMEOUT};
use bench::usage;
use serde_json::Value;
use standin::fixture::{CONFIG_ROW, settings};
use standin::{Store, Worker};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Path of the binary under test.
const BINARY: &str = env!("CARGO_BIN_EXE_arbutusquay");
/// `MemoryMb` of the settings. The platform kills a process whose resident memory exceeds it.
pub const MEMORY_MB: u64 = 260;
/// Period in which a process with a share of a core runs and is paused.
const CPU_PERIOD: Duration = Duration::from_millis(20);
/// Interval between checks whether a process has used its share.
const CPU_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Ports for clients, readiness checks, the store, and the first worker.
const CLIENTS_PORT: u16 = 7000;
const READY_PORT: u16 = 7001;
const STORE_PORT: u16 = 7003;
const FIRST_WORKER_PORT: u16 = 7100;

/// Addresses and the store of a gateway that has not started.
pub struct Site {
    ip: Ipv4Addr,
    /// The store; `None` once a test has replaced it.
    pub store: Option<Store>,
    dir: PathBuf,
    /// Reserves the addresses.
    _subnet: std::net::TcpListener,
}

impl Drop for Site {
    fn drop(&mut self) {
        // If the directory can't be removed, the system cleans it up later.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Site {
    /// Starts a store that contains a configuration.
    pub fn new(config: &Value) -> Self {
        let since = Instant::now();
        let (ip, subnet, lock, store) = loop {
            let (subnet, lock) = reserve_subnet().unwrap();
            let ip = Ipv4Addr::new(127, subnet, 1, 1);
            match Store::start(SocketAddr::new(IpAddr::V4(ip), STORE_PORT)) {
                Ok(store) => break (ip, subnet, lock, store),
                // A child process holds the sockets of an earlier site until it has executed its
                // program.
                Err(e) => assert!(since.elapsed() < WAIT_TIMEOUT, "{ip}: {e}"),
            }
            std::thread::sleep(POLL_INTERVAL);
        };
        store.put(CONFIG_ROW.0, CONFIG_ROW.1, config);
        let dir = std::env::temp_dir().join(format!("gateway-{}-{subnet}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self {
            ip,
            store: Some(store),
            dir,
            _subnet: lock,
        }
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    /// Address of the store.
    pub fn store_addr(&self) -> SocketAddr {
        self.at(STORE_PORT)
    }

    /// Address of a worker.
    pub fn worker_addr(&self, number: u16) -> SocketAddr {
        self.at(FIRST_WORKER_PORT + number)
    }

    /// Address for clients.
    pub fn clients_addr(&self) -> SocketAddr {
        self.at(CLIENTS_PORT)
    }

    /// The store.
    pub fn store(&self) -> &Store {
        self.store.as_ref().expect("the store runs")
    }

    /// Starts the gateway and waits until it serves requests on the route `safe`.
    pub async fn start_gateway(&self) -> GatewayProcess {
        let gateway = self.spawn_gateway();
        tokio::time::timeout(WAIT_TIMEOUT, wait_serving(self.clients_addr(), ""))
            .await
            .expect("the gateway serves");
        gateway
    }

    fn settings_file(&self) -> PathBuf {
        self.dir.join("edge.toml")
    }

    /// Replaces a part of the gateway's settings.
    pub fn change_settings(&self, from: &str, to: &str) {
        let file = self.settings_file();
        let text = std::fs::read_to_string(&file).unwrap();
        assert!(text.contains(from), "{text}");
        std::fs::write(&file, text.replace(from, to)).unwrap();
    }

    /// Starts the gateway without waiting for it.
    pub fn spawn_gateway(&self) -> GatewayProcess {
        self.spawn("edge", self.ip, &self.settings_file())
    }

    /// Starts one of several gateways, each with an address of its own; returns its address for
    /// clients.
    pub fn spawn_host(&self, number: u8) -> (SocketAddr, GatewayProcess) {
        let [_, subnet, ..] = self.ip.octets();
        let ip = Ipv4Addr::new(127, subnet, 2, 1 + number);
        let name = format!("edge-{number}");
        let process = self.spawn(&name, ip, &self.dir.join(format!("{name}.toml")));
        (SocketAddr::new(IpAddr::V4(ip), CLIENTS_PORT), process)
    }

    fn spawn(&self, name: &str, ip: Ipv4Addr, file: &Path) -> GatewayProcess {
        let text = settings(name, ip, self.store_addr());
        assert!(text.contains(&format!("\nMemoryMb = {MEMORY_MB}\n")));
        std::fs::write(file, text).unwrap();
        let proc = Proc::start_gateway(Path::new(BINARY), name, file).unwrap();
        GatewayProcess {
            proc,
            log: file.with_extension("log"),
        }
    }
}

/// Starts a worker at an address that another server may have used just before.
pub async fn start_worker(addr: SocketAddr, id: &str) -> Worker {
    let since = Instant::now();
    loop {
        match Worker::start(addr, id).await {
            Ok(worker) => return worker,
            Err(e) => assert!(since.elapsed() < WAIT_TIMEOUT, "{addr}: {e}"),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A running gateway.
pub struct GatewayProcess {
    /// The process.
    pub proc: Proc,
    log: PathBuf,
}

impl GatewayProcess {
    /// Resident memory in bytes; 0 if the process has exited.
    pub fn resident(&self) -> u64 {
        let usage = self.proc.id().and_then(usage::read);
        usage.map_or(0, |usage| usage.resident)
    }

    /// Pauses the process in turns, so that it has only a share of a core, until the future is
    /// dropped. The process must be resumed then. A turn lasts for the share of a period, or longer
    /// if the process has waited for a core in it, so that a busy machine doesn't reduce the share.
    pub async fn limit_cpu(&self, share: f64) -> std::convert::Infallible {
        let quota = CPU_PERIOD.mul_f64(share);
        let mut allowed = self.cpu_time() + quota;
        loop {
            let since = Instant::now();
            while since.elapsed() < CPU_PERIOD
                && self.cpu_time() < allowed
                && (since.elapsed() < quota || self.is_runnable())
            {
                self.proc.signal(Signal::Resume);
                tokio::time::sleep(CPU_CHECK_INTERVAL).await;
            }
            self.proc.signal(Signal::Pause);
            tokio::time::sleep_until((since + CPU_PERIOD).into()).await;
            // An unused share expires, and what was used above the share is subtracted.
            allowed = allowed.min(self.cpu_time()) + since.elapsed().mul_f64(share);
        }
    }

    /// Whether the process runs or waits for a core.
    fn is_runnable(&self) -> bool {
        let stat = |id| std::fs::read_to_string(format!("/proc/{id}/stat")).ok();
        let stat = self.proc.id().and_then(stat);
        stat.is_some_and(|stat| stat.contains(") R "))
    }

    /// Processor time of the process; 0 if it has exited.
    fn cpu_time(&self) -> Duration {
        let time = self.proc.id().and_then(usage::cpu_time);
        time.unwrap_or_default()
    }

    /// The log lines about an event.
    pub fn log_lines(&self, event: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap();
        let lines = text.lines().filter_map(|l| serde_json::from_str(l).ok());
        lines.filter(|l: &Value| l["event"] == event).collect()
    }
}
