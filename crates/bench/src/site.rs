//! A running deployment: stand-ins in this process, entries and agents as child processes.

mod options;

pub use options::Options;

use crate::deploy::{
    Deployment, admin_addr, entry_addr, hosts_addr, objects_addr, relayed_agent_addr, table_addr,
    upstream_addr,
};
use crate::procs::{Output, Proc, run_command};
use crate::relay::Relay;
use conf::{Doc, Upstream};
use fakes::RunningServer;
use fakes::engine::FakeEngine;
use fakes::hosts::FakeHostList;
use fakes::objects::FakeObjectStore;
use fakes::plain::FakePlainService;
use fakes::table::FakeTable;
use hyper::{Method, Request};
use net::{Pool, empty};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between health checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a health response in bytes.
const MAX_HEALTH_BYTES: usize = 1 << 20;

/// Stand-in for an upstream.
#[derive(Debug)]
pub enum UpstreamStandin {
    /// A model engine.
    Engine(Arc<FakeEngine>),
    /// A plain service.
    Plain(Arc<FakePlainService>),
}

/// An upstream with its agent.
#[derive(Debug)]
pub struct Worker {
    /// Name of the service.
    pub service: String,
    /// The upstream as described in the document.
    pub upstream: Upstream,
    /// Stand-in that serves as the upstream.
    pub standin: UpstreamStandin,
    /// Process of the agent.
    pub agent: Proc,
    /// Address on which the agent itself listens.
    pub listen: SocketAddr,
    /// Relay between the entries and the agent, if any.
    pub relay: Option<Relay>,
    settings: PathBuf,
    _running: RunningServer,
}

/// An entry.
#[derive(Debug)]
pub struct EntryProcess {
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// The process.
    pub process: Proc,
    settings: PathBuf,
}

/// A running deployment.
#[derive(Debug)]
pub struct Site {
    /// The deployment.
    pub deployment: Deployment,
    /// Documents of its services.
    pub docs: Vec<Doc>,
    /// Stand-in for the table service.
    pub table: Arc<FakeTable>,
    /// Stand-in for the object store.
    pub objects: Arc<FakeObjectStore>,
    /// Stand-in for the host list.
    pub hosts: Arc<FakeHostList>,
    /// Upstreams with their agents.
    pub workers: Vec<Worker>,
    /// Entries.
    pub entries: Vec<EntryProcess>,
    options: Options,
    dir: PathBuf,
    _running: Vec<RunningServer>,
}

impl Drop for Site {
    fn drop(&mut self) {
        // Logs are kept on request, to investigate a failure.
        if std::env::var_os("BENCH_KEEP").is_some() {
            eprintln!("kept settings and logs in {}", self.dir.display());
            return;
        }
        // If the directory can't be removed, the system cleans it up later.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Site {
    /// Starts all stand-ins and processes and waits until every process is ready.
    pub async fn start(deployment: Deployment, options: Options) -> io::Result<Self> {
        let subnet = options.subnet;
        let dir = std::env::temp_dir().join(format!("arbutusquay-{}-{subnet}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let table = Arc::<FakeTable>::default();
        let objects = Arc::<FakeObjectStore>::default();
        let hosts = Arc::new(FakeHostList::new(options.host_list_lag));
        let running = vec![
            fakes::start(table_addr(subnet), table.clone()).await?,
            fakes::start(objects_addr(subnet), objects.clone()).await?,
            fakes::start(hosts_addr(subnet), hosts.clone()).await?,
        ];
        let mut site = Self {
            deployment,
            docs: Vec::new(),
            table,
            objects,
            hosts,
            workers: Vec::new(),
            entries: Vec::new(),
            options,
            dir,
            _running: running,
        };
        site.docs = site.parse_documents()?;
        site.start_entries()?;
        site.apply_documents().await?;
        site.start_workers().await?;
        site.wait_ready().await?;
        Ok(site)
    }

    fn start_entries(&mut self) -> io::Result<()> {
        let zones = self.deployment.entry_zones();
        for (i, zone) in zones.iter().cycle().take(self.options.entries).enumerate() {
            let addr = entry_addr(self.options.subnet, i);
            let name = format!("entry-{}", i + 1);
            let services: Vec<&str> = self.docs.iter().map(|d| d.service.as_str()).collect();
            let services = services.join(", ");
            let host = format!("{}-ingang-{}", self.deployment.name(), i + 1);
            let settings = self.write_settings(&name, &host, zone, addr, &services, "")?;
            let process = Proc::start(&self.options.binary, "entry", &name, &settings)?;
            self.entries.push(EntryProcess {
                addr,
                process,
                settings,
            });
        }
        Ok(())
    }

    async fn apply_documents(&self) -> io::Result<()> {
        for (doc, text) in self.docs.iter().zip(self.documents()) {
            let out = self.apply(&doc.service, &text, 0).await?;
            if out.code != Some(0) {
                return Err(io::Error::other(format!("{}: {}", doc.service, out.stderr)));
            }
        }
        Ok(())
    }

    /// Texts of the documents as first applied.
    pub fn documents(&self) -> Vec<String> {
        let defaults = || {
            self.deployment
                .documents(self.options.subnet, self.options.workers)
                .to_vec()
        };
        self.options.documents.clone().unwrap_or_else(defaults)
    }

    fn parse_documents(&self) -> io::Result<Vec<Doc>> {
        let parse = |t: String| Doc::parse(&t).map_err(io::Error::other);
        self.documents().into_iter().map(parse).collect()
    }

    /// Applies the text of a document, with the version that it is expected to replace.
    pub async fn apply(
        &self,
        service: &str,
        text: &str,
        expected_version: u64,
    ) -> io::Result<Output> {
        let file = self.dir.join(format!("{service}.yaml"));
        std::fs::write(&file, text)?;
        let expected_version = expected_version.to_string();
        self.command(&[
            "apply",
            &file.to_string_lossy(),
            "--over",
            &expected_version,
        ])
        .await
    }

    /// Runs an operator command with the settings of the first entry.
    pub async fn command(&self, args: &[&str]) -> io::Result<Output> {
        let settings = self.settings_file();
        let settings = settings.to_string_lossy();
        let mut all = args.to_vec();
        all.extend(["--settings", &settings]);
        run_command(&self.options.binary, &all).await
    }

    /// Path of the first entry's settings file.
    pub fn settings_file(&self) -> PathBuf {
        self.entries
            .first()
            .map_or_else(|| self.dir.clone(), |e| e.settings.clone())
    }

    async fn start_workers(&mut self) -> io::Result<()> {
        for doc in self.docs.clone() {
            for upstream in &doc.upstreams {
                let worker = self.start_worker(&doc, upstream).await?;
                self.workers.push(worker);
            }
        }
        Ok(())
    }

    async fn start_worker(&self, doc: &Doc, upstream: &Upstream) -> io::Result<Worker> {
        let addr = upstream_addr(upstream.agent);
        let (standin, running) = if doc.is_engine() {
            let engine = FakeEngine::new(self.options.rates.clone());
            (
                UpstreamStandin::Engine(engine.clone()),
                fakes::start(addr, engine).await?,
            )
        } else {
            let plain = Arc::new(FakePlainService::new(self.options.plain_service_time));
            (
                UpstreamStandin::Plain(plain.clone()),
                fakes::start(addr, plain).await?,
            )
        };
        let listen = if self.options.relays {
            relayed_agent_addr(upstream.agent)
        } else {
            upstream.agent
        };
        let relay = match self.options.relays {
            true => Some(Relay::start(upstream.agent, listen)?),
            false => None,
        };
        let name = format!("agent-{}", upstream.name);
        let extra = format!("upstream: {{name: {}, address: {addr}}}\n", upstream.name);
        let (host, zone) = (&upstream.host, &upstream.zone);
        let settings = self.write_settings(&name, host, zone, listen, &doc.service, &extra)?;
        let agent = Proc::start(&self.options.binary, "agent", &name, &settings)?;
        Ok(Worker {
            service: doc.service.clone(),
            upstream: upstream.clone(),
            standin,
            agent,
            listen,
            relay,
            settings,
            _running: running,
        })
    }

    fn write_settings(
        &self,
        name: &str,
        host: &str,
        zone: &str,
        addr: SocketAddr,
        services: &str,
        extra: &str,
    ) -> io::Result<PathBuf> {
        let subnet = self.options.subnet;
        let (table, objects, hosts) =
            (table_addr(subnet), objects_addr(subnet), hosts_addr(subnet));
        let admin = admin_addr(addr);
        let text = format!(
            "name: {name}\nhost: {host}\nzone: {zone}\nlisten: {addr}\nadmin: {admin}\n\
             platform: {{table: {table}, objects: {objects}, hosts: {hosts}, timeout: 2s}}\n\
             services: [{services}]\n{extra}limits: {}\n",
            self.options.limits
        );
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Waits until every process is ready.
    pub async fn wait_ready(&self) -> io::Result<()> {
        for e in &self.entries {
            wait_ready(admin_addr(e.addr), &e.process.name).await?;
        }
        for w in &self.workers {
            wait_ready(admin_addr(w.listen), &w.agent.name).await?;
        }
        Ok(())
    }

    /// Restarts the agent of a worker after it has exited.
    pub fn restart_agent(&mut self, at: usize) -> io::Result<()> {
        let w = &mut self.workers[at];
        w.agent = Proc::start(&self.options.binary, "agent", &w.agent.name, &w.settings)?;
        Ok(())
    }

    /// Restarts an entry after it has exited.
    pub fn restart_entry(&mut self, at: usize) -> io::Result<()> {
        let e = &mut self.entries[at];
        e.process = Proc::start(&self.options.binary, "entry", &e.process.name, &e.settings)?;
        Ok(())
    }

    /// Signals all processes to stop gracefully and waits until they have exited.
    pub async fn stop(&mut self) -> io::Result<()> {
        let mut all: Vec<&mut Proc> = self.entries.iter_mut().map(|e| &mut e.process).collect();
        all.extend(self.workers.iter_mut().map(|w| &mut w.agent));
        for p in &all {
            p.signal(crate::procs::Signal::Term);
        }
        for p in all {
            p.wait().await?;
        }
        Ok(())
    }

    /// Lag of the host list.
    pub fn host_list_lag(&self) -> Duration {
        self.options.host_list_lag
    }

    /// Second octet of its loopback addresses.
    pub fn subnet(&self) -> u8 {
        self.options.subnet
    }

    /// Directory with the settings and logs of the processes.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Addresses of the entries.
    pub fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.addr).collect()
    }
}

/// Waits until the process with an admin address reports that it is ready.
pub async fn wait_ready(admin: SocketAddr, name: &str) -> io::Result<()> {
    let pool = Pool::new(admin, HEALTH_TIMEOUT);
    let until = tokio::time::Instant::now() + READY_TIMEOUT;
    loop {
        let req = Request::builder()
            .method(Method::GET)
            .uri("/health")
            .header("host", "bench");
        let req = req.body(empty()).map_err(io::Error::other)?;
        if let Ok((status, _)) = pool.call(req, MAX_HEALTH_BYTES, HEALTH_TIMEOUT).await
            && status.is_success()
        {
            return Ok(());
        }
        if tokio::time::Instant::now() >= until {
            return Err(io::Error::other(format!(
                "{name} did not become ready in time"
            )));
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
}
