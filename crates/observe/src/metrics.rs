//! Prometheus metrics with histograms per class and for a bounded number of tenants.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::sync::Mutex;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0,
];
/// Label shared by all tenants without a label of their own.
const OTHER_TENANTS: &str = "other";

/// Selects the histogram of a latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Latency {
    /// Time in an agent's queue.
    Queue,
    /// Time to the first byte.
    FirstByte,
    /// Total duration.
    Total,
}

/// Labels of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct Labels<'a> {
    /// The service.
    pub service: &'a str,
    /// The class.
    pub class: &'a str,
    /// The tenant.
    pub tenant: &'a str,
}

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    answer_ends: IntCounterVec,
    stream_origins: IntCounterVec,
    queue: HistogramVec,
    first: HistogramVec,
    total: HistogramVec,
    tenants: HistogramVec,
    docs: IntGaugeVec,
    bytes: IntGaugeVec,
    store_calls: IntGaugeVec,
    buffered: IntGaugeVec,
    store_reads: IntCounterVec,
    unreadable: IntCounterVec,
    statements: IntCounterVec,
    labelled_tenants: Mutex<Vec<String>>,
    max_tenants: usize,
}

impl Metrics {
    /// Creates the metrics. At most `max_tenants` tenants get their own histograms.
    pub fn new(max_tenants: u32) -> Self {
        let registry = Registry::new();
        gauge(&registry, "process_id", "Id of the process.", &[])
            .with_label_values::<&str>(&[])
            .set(i64::from(std::process::id()));
        let class = ["service", "class"];
        Self {
            requests: counter(
                &registry,
                "requests_total",
                "Requests by what became of them.",
                &["service", "class", "outcome", "reason"],
            ),
            answer_ends: counter(
                &registry,
                "answer_ends_total",
                "Ends of upstreams' answers by how they were known, and whether inside an event.",
                &["framing", "inside_event"],
            ),
            stream_origins: counter(
                &registry,
                "stream_origins_total",
                "Streams taken up by how their origin was known, and copies without confirmation.",
                &["what"],
            ),
            queue: histogram(
                &registry,
                "queue_seconds",
                "Time in an agent's queue.",
                &class,
            ),
            first: histogram(
                &registry,
                "first_byte_seconds",
                "Time to the first byte.",
                &class,
            ),
            total: histogram(&registry, "request_seconds", "Time to the end.", &class),
            tenants: histogram(
                &registry,
                "tenant_first_byte_seconds",
                "Time to the first byte for each tenant, up to a bound.",
                &["service", "tenant"],
            ),
            docs: gauge(
                &registry,
                "document_version",
                "Version in force.",
                &["service"],
            ),
            bytes: gauge(
                &registry,
                "control_bytes",
                "Bytes of control traffic so far, in both directions, by other side.",
                &["link"],
            ),
            buffered: gauge(
                &registry,
                "buffered_bytes",
                "Memory of buffered bodies of requests and answers.",
                &[],
            ),
            store_calls: gauge(
                &registry,
                "store_calls",
                "Calls to the store so far, by table, kind and end.",
                &["table", "kind", "end"],
            ),
            store_reads: counter(
                &registry,
                "store_reads_total",
                "Reads of the store's tables by table and reason.",
                &["table", "reason"],
            ),
            unreadable: counter(
                &registry,
                "unreadable_entries_total",
                "Versions of entries in the registry that name no upstream to use.",
                &["reason"],
            ),
            statements: counter(
                &registry,
                "upstream_statements_total",
                "Changes of what upstreams state of themselves in answers, by source.",
                &["what", "source"],
            ),
            labelled_tenants: Mutex::default(),
            max_tenants: max_tenants as usize,
            registry,
        }
    }

    /// Counts a finished request.
    pub fn count_request(&self, labels: Labels<'_>, outcome: &str, reason: &str) {
        self.requests
            .with_label_values(&[labels.service, labels.class, outcome, reason])
            .inc();
    }

    /// Counts the end of an upstream's answer by how it was known. `is_inside_event` is `None` for
    /// an answer that doesn't consist of events.
    pub fn count_answer_end(&self, framing: &str, is_inside_event: Option<bool>) {
        let inside_event = match is_inside_event {
            Some(true) => "yes",
            Some(false) => "no",
            None => "-",
        };
        self.answer_ends
            .with_label_values(&[framing, inside_event])
            .inc();
    }

    /// Counts a stream that a client takes up by how its origin is known, or an origin that wasn't
    /// copied to enough hosts.
    pub fn count_stream_origin(&self, what: &str) {
        self.stream_origins.with_label_values(&[what]).inc();
    }

    /// Records a latency, in seconds.
    pub fn observe_latency(&self, labels: Labels<'_>, latency: Latency, seconds: f64) {
        let class = [labels.service, labels.class];
        match latency {
            Latency::Queue => self.queue.with_label_values(&class).observe(seconds),
            Latency::Total => self.total.with_label_values(&class).observe(seconds),
            Latency::FirstByte => {
                self.first.with_label_values(&class).observe(seconds);
                let tenant = self.tenant_label(labels.tenant);
                self.tenants
                    .with_label_values(&[labels.service, &tenant])
                    .observe(seconds);
            }
        }
    }

    /// Sets the version of the document in force.
    pub fn set_document_version(&self, service: &str, version: u64) {
        self.docs.with_label_values(&[service]).set(version as i64);
    }

    /// Sets the total bytes of control traffic over a kind of link.
    pub fn set_control_bytes(&self, link: &str, bytes: u64) {
        self.bytes.with_label_values(&[link]).set(bytes as i64);
    }

    /// Sets the memory of buffered bodies, in bytes.
    pub fn set_buffered_bytes(&self, bytes: usize) {
        self.buffered
            .with_label_values::<&str>(&[])
            .set(bytes as i64);
    }

    /// Sets the total number of calls to the store for a table, kind and end.
    pub fn set_store_calls(&self, table: &str, kind: &str, end: &str, count: u64) {
        let calls = self.store_calls.with_label_values(&[table, kind, end]);
        calls.set(count as i64);
    }

    /// Counts a read of a table in the store.
    pub fn count_store_read(&self, table: &str, reason: &str) {
        self.store_reads.with_label_values(&[table, reason]).inc();
    }

    /// Counts an entry of the registry that doesn't describe a usable upstream.
    pub fn count_unreadable_entry(&self, reason: &str) {
        self.unreadable.with_label_values(&[reason]).inc();
    }

    /// Counts a change of what an upstream states of itself, such as a limit.
    pub fn count_statement(&self, what: &str, source: &str) {
        self.statements.with_label_values(&[what, source]).inc();
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new()
            .encode(&families, &mut buf)
            .expect("our own metrics are valid");
        buf
    }

    /// Returns the tenant's label. Only the first tenants have one of their own and the others
    /// share one, because 28,000 tenants would cost too much in every process.
    fn tenant_label(&self, tenant: &str) -> String {
        let mut labelled = self.labelled_tenants.lock().expect("no panic while locked");
        match labelled.binary_search_by(|t| t.as_str().cmp(tenant)) {
            Ok(_) => tenant.to_owned(),
            Err(at) if labelled.len() < self.max_tenants => {
                labelled.insert(at, tenant.to_owned());
                tenant.to_owned()
            }
            Err(_) => OTHER_TENANTS.to_owned(),
        }
    }
}

fn name(short: &str) -> String {
    format!("arbutusquay_{short}")
}

fn counter(registry: &Registry, short: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let v = IntCounterVec::new(Opts::new(name(short), help), labels).expect("valid metric");
    registry
        .register(Box::new(v.clone()))
        .expect("registered once");
    v
}

fn gauge(registry: &Registry, short: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let v = IntGaugeVec::new(Opts::new(name(short), help), labels).expect("valid metric");
    registry
        .register(Box::new(v.clone()))
        .expect("registered once");
    v
}

fn histogram(registry: &Registry, short: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name(short), help).buckets(BUCKETS_S.to_vec());
    let v = HistogramVec::new(opts, labels).expect("valid metric");
    registry
        .register(Box::new(v.clone()))
        .expect("registered once");
    v
}
