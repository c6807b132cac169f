//! Settings of one process.
//!
//! A process learns from them its addresses, its host and availability zone,
//! and where the platform is. Everything about a service is in the service's
//! document instead.

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
    /// Host that it runs on.
    pub host: String,
    /// The host's availability zone.
    pub zone: String,
    /// Where callers (of an entry) or peers (of an agent) connect.
    pub listen: SocketAddr,
    /// Where health and metrics are served.
    pub admin: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// Services that an entry routes to; an agent has just its own.
    pub services: Vec<String>,
    /// An agent's upstream; an entry has none.
    pub upstream: Option<UpstreamSettings>,
    /// Limits.
    pub limits: Limits,
}

/// What an agent stands before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// The upstream's name in the document.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Where the platform's services are, and how long one call may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// The transactional table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of live and leaving hosts.
    pub hosts: SocketAddr,
    /// Longest that one call may take.
    pub timeout: Duration,
}

/// Limits of a process. Each has a default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest body of a caller's request.
    pub body: usize,
    /// Largest head of a caller's request.
    pub head: usize,
    /// Longest that a caller may take to send a request.
    pub read_timeout: Duration,
    /// Longest that a probe may take.
    pub probe_timeout: Duration,
    /// Longest pause in an upstream's answer before it counts as broken.
    pub idle_timeout: Duration,
    /// Time between looks at the documents' versions.
    pub doc_poll: Duration,
    /// Time between looks at the host list.
    pub host_poll: Duration,
    /// How long an entry goes on taking connections after it began to stop.
    pub linger: Duration,
    /// Longest wait for running requests when a process stops.
    pub drain_bound: Duration,
    /// Longest that a record waits for its batch.
    pub record_flush: Duration,
    /// Most records that wait while the object store is down.
    pub record_buffer: u32,
    /// How long a lease stands unrenewed before another may take it.
    pub lease: Duration,
    /// Sends per request, the first included.
    pub attempts: u32,
    /// Tenants with histograms of their own; the others share one.
    pub tenant_metrics: u32,
    /// Largest answer that is kept with a claim.
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
    /// Reads and checks settings; all faults come at once.
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
