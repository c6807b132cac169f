//! Settings of one process.
//!
//! They contain its addresses, its host and availability zone, and the addresses of the platform.
//! Everything about a service is in the service's document instead.

use crate::error::ParseErrors;
use crate::yaml::{self, Fields};
use marked_yaml::Node;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an entry, an agent, or the operators' commands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this process in logs and records.
    pub name: String,
    /// Host on which it runs.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for callers of an entry, or for peers of an agent.
    pub listen: SocketAddr,
    /// Address for health and metrics.
    pub admin: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Services that an entry routes to. An agent has only its own.
    pub services: Vec<String>,
    /// Upstream of an agent; `None` for an entry.
    pub upstream: Option<UpstreamSettings>,
    /// Limits.
    pub limits: Limits,
}

/// Upstream of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Name of the upstream in the document.
    pub name: String,
    /// Address of the upstream.
    pub address: SocketAddr,
}

/// Addresses of the platform's services, and the timeout of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// The transactional table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// Timeout of a call.
    pub timeout: Duration,
}

/// Limits of a process. Each one has a default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the body of a caller's request, in bytes.
    pub body: usize,
    /// Maximum size of the head of a caller's request, in bytes.
    pub head: usize,
    /// Maximum time for receiving a caller's request.
    pub read_timeout: Duration,
    /// Timeout of a probe.
    pub probe_timeout: Duration,
    /// Maximum pause in an upstream's response before the upstream counts as broken.
    pub idle_timeout: Duration,
    /// Interval of polls of the documents' versions.
    pub doc_poll: Duration,
    /// Interval of polls of the host list.
    pub host_poll: Duration,
    /// Time for which an entry still accepts connections after the stop signal.
    pub linger: Duration,
    /// Maximum time that a stopping process waits for running requests.
    pub drain_bound: Duration,
    /// Maximum time that a record waits for its batch.
    pub record_flush: Duration,
    /// Maximum number of buffered records while the object store is unavailable.
    pub record_buffer: u32,
    /// Time without renewal after which another process may take a lease.
    pub lease: Duration,
    /// Maximum number of attempts per request, including the first.
    pub attempts: u32,
    /// Number of tenants with their own histograms. The others share one.
    pub tenant_metrics: u32,
    /// Maximum size of a response that is stored with a claim, in bytes.
    pub kept_answer: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            head: 32 << 10,
            read_timeout: Duration::from_secs(10),
            probe_timeout: Duration::from_millis(250),
            idle_timeout: Duration::from_secs(20),
            doc_poll: Duration::from_secs(4),
            host_poll: Duration::from_secs(2),
            linger: Duration::from_secs(2),
            drain_bound: Duration::from_secs(60),
            record_flush: Duration::from_secs(10),
            record_buffer: 100_000,
            lease: Duration::from_secs(6),
            attempts: 3,
            tenant_metrics: 50,
            kept_answer: 16 << 10,
        }
    }
}

impl Settings {
    /// Parses and validates settings. The error contains all problems found.
    pub fn parse(text: &str) -> Result<Self, ParseErrors> {
        yaml::load(text, read_settings)
    }
}

fn read_settings(node: &Node, errors: &mut ParseErrors) -> Option<Settings> {
    let mut f = Fields::open(node, errors)?;
    let name = f.required("name", yaml::name, errors);
    let host = f.required("host", yaml::name, errors);
    let zone = f.required("zone", yaml::name, errors);
    let listen = f.required("listen", yaml::address, errors);
    let admin = f.required("admin", yaml::address, errors);
    let platform = f.required("platform", platform, errors);
    let services = f.required(
        "services",
        |n, errors| yaml::list(n, errors, yaml::name),
        errors,
    );
    let upstream = f.optional("upstream", upstream, errors);
    let limits = f.optional("limits", limits, errors);
    if services.as_ref().is_some_and(Vec::is_empty) {
        errors.add(
            f.position_of("services"),
            "at least one service must be named",
        );
    }
    f.reject_unknown(errors);
    Some(Settings {
        name: name?,
        host: host?,
        zone: zone?,
        listen: listen?,
        admin: admin?,
        platform: platform?,
        services: services?,
        upstream,
        limits: limits.unwrap_or_default(),
    })
}

fn platform(node: &Node, errors: &mut ParseErrors) -> Option<Platform> {
    let mut f = Fields::open(node, errors)?;
    let table = f.required("table", yaml::address, errors);
    let objects = f.required("objects", yaml::address, errors);
    let hosts = f.required("hosts", yaml::address, errors);
    let timeout = f.required("timeout", yaml::duration, errors);
    f.reject_unknown(errors);
    Some(Platform {
        table: table?,
        objects: objects?,
        hosts: hosts?,
        timeout: timeout?,
    })
}

fn upstream(node: &Node, errors: &mut ParseErrors) -> Option<UpstreamSettings> {
    let mut f = Fields::open(node, errors)?;
    let name = f.required("name", yaml::name, errors);
    let address = f.required("address", yaml::address, errors);
    f.reject_unknown(errors);
    Some(UpstreamSettings {
        name: name?,
        address: address?,
    })
}

fn limits(node: &Node, errors: &mut ParseErrors) -> Option<Limits> {
    let mut f = Fields::open(node, errors)?;
    let mut l = Limits::default();
    let set_size = |f: &mut Fields<'_>, key, to: &mut usize, errors: &mut ParseErrors| {
        *to = f.optional(key, yaml::size, errors).unwrap_or(*to);
    };
    set_size(&mut f, "body", &mut l.body, errors);
    set_size(&mut f, "head", &mut l.head, errors);
    set_size(&mut f, "kept_answer", &mut l.kept_answer, errors);
    let set_time = |f: &mut Fields<'_>, key, to: &mut Duration, errors: &mut ParseErrors| {
        *to = f.optional(key, yaml::duration, errors).unwrap_or(*to);
        if to.is_zero() {
            errors.add(f.position_of(key), format!("`{key}` must be over 0"));
        }
    };
    set_time(&mut f, "read_timeout", &mut l.read_timeout, errors);
    set_time(&mut f, "probe_timeout", &mut l.probe_timeout, errors);
    set_time(&mut f, "idle_timeout", &mut l.idle_timeout, errors);
    set_time(&mut f, "doc_poll", &mut l.doc_poll, errors);
    set_time(&mut f, "host_poll", &mut l.host_poll, errors);
    set_time(&mut f, "linger", &mut l.linger, errors);
    set_time(&mut f, "drain_bound", &mut l.drain_bound, errors);
    set_time(&mut f, "record_flush", &mut l.record_flush, errors);
    set_time(&mut f, "lease", &mut l.lease, errors);
    let set_count = |f: &mut Fields<'_>, key, to: &mut u32, errors: &mut ParseErrors| {
        *to = f.optional(key, yaml::count, errors).unwrap_or(*to);
        if *to == 0 {
            errors.add(f.position_of(key), format!("`{key}` must be over 0"));
        }
    };
    set_count(&mut f, "record_buffer", &mut l.record_buffer, errors);
    set_count(&mut f, "attempts", &mut l.attempts, errors);
    set_count(&mut f, "tenant_metrics", &mut l.tenant_metrics, errors);
    f.reject_unknown(errors);
    Some(l)
}
