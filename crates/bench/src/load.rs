//! `load`: measures throughput and the latency that the system adds.
//!
//! Requests alternate between an entry and a direct call of an engine. Both kinds are spread over
//! the same time and the same engines, so that other activity of the machine affects both alike.

use crate::client::{Call, CallResult, Client};
use crate::deploy::{Deployment, entry_addr, upstream_addr};
use crate::mix::{ClientRequest, RequestKind};
use crate::procs::build_binary;
use crate::site::{Options, Site};
use crate::usage;
use conf::{Doc, Kind};
use engine::client::CompletionEvent;
use engine::protocol::CompletionBody;
use fakes::engine::Rates;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Upper bound of the histograms, in microseconds.
const MAX_US: u64 = 120_000_000;
/// Timeout for connecting to an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of requests per run.
const MAX_REQUESTS: u64 = 200_000;
/// Time for learning rates and opening connections, excluded from the results.
const WARM_UP: Duration = Duration::from_secs(2);

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Requests per second through the entry; the same number goes directly to engines.
    pub rate: u32,
    /// Duration in seconds.
    pub seconds: u32,
    /// Tokens per answer.
    pub tokens: u32,
    /// Bytes per prompt.
    pub prompt: usize,
    /// Duration of an engine step in milliseconds, if the engines are started here.
    pub step_ms: u64,
    /// Whether to start a system with one entry instead of using that of `up`.
    pub start: bool,
}

/// Quantiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Times {
    /// 50th percentile.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Results for one kind of request.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Side {
    /// Complete answers.
    pub whole: u64,
    /// All other results.
    pub failed: u64,
    /// Time to the first token.
    pub first_ms: Times,
    /// Time between tokens.
    pub between_ms: Times,
}

/// Results of a run.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Measured {
    /// Requests per second answered through the entry.
    pub requests_per_s: f64,
    /// Tokens per second through the entry.
    pub tokens_per_s: f64,
    /// Requests through the entry.
    pub through: Side,
    /// Requests sent directly to an engine.
    pub straight: Side,
    /// Difference between the median times to the first token.
    pub added_first_ms: f64,
    /// Difference between the median times between tokens.
    pub added_between_ms: f64,
    /// Processor cores used by the entry, if it was started here.
    pub entry_cores: Option<f64>,
    /// Mean number of processor cores used per agent, if they were started here.
    pub agent_cores: Option<f64>,
    /// Resident memory of the entry in MB, if it was started here.
    pub entry_mb: Option<f64>,
}

struct Samples {
    whole: u64,
    failed: u64,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

impl Samples {
    fn new() -> Self {
        let new = || Histogram::new_with_max(MAX_US, 3).expect("the bounds are valid");
        Self {
            whole: 0,
            failed: 0,
            first: new(),
            between: new(),
        }
    }

    fn add(&mut self, first: Option<Duration>, gaps: &[Duration], whole: bool) {
        if !whole {
            self.failed += 1;
            return;
        }
        self.whole += 1;
        if let Some(first) = first {
            self.first.saturating_record(first.as_micros() as u64);
        }
        for gap in gaps {
            self.between.saturating_record(gap.as_micros() as u64);
        }
    }

    fn side(&self) -> Side {
        let first_ms = times(&self.first);
        Side {
            whole: self.whole,
            failed: self.failed,
            first_ms,
            between_ms: times(&self.between),
        }
    }
}

fn times(h: &Histogram<u64>) -> Times {
    let q = |q| h.value_at_quantile(q) as f64 / 1000.0;
    Times {
        p50: q(0.5),
        p95: q(0.95),
        p99: q(0.99),
    }
}

/// Runs a load and returns its results.
pub async fn run(options: &LoadOptions) -> io::Result<Measured> {
    let deployment = Deployment::Sleutelbos;
    if !options.start {
        let [doc, _] = deployment.docs(deployment.subnet(), usize::MAX);
        return measure(options, &doc, entry_addr(deployment.subnet(), 0), &[], &[]).await;
    }
    let mut site_options = Options::new(build_binary().await?, deployment);
    site_options.entries = 1;
    let step = Duration::from_millis(options.step_ms);
    site_options.rates = Rates {
        step_time: step,
        prefill_per_step: 100_000,
        ..site_options.rates
    };
    let mut site = Site::start(deployment, site_options).await?;
    let entries: Vec<u32> = site.entries.iter().filter_map(|e| e.process.id()).collect();
    let doc = site.docs[0].clone();
    let model = site.workers.iter().filter(|w| w.service == doc.service);
    let agents: Vec<u32> = model.filter_map(|w| w.agent.id()).collect();
    let measured = measure(options, &doc, site.entries[0].addr, &entries, &agents).await?;
    site.stop().await?;
    Ok(measured)
}

async fn measure(
    options: &LoadOptions,
    doc: &Doc,
    entry: SocketAddr,
    entries: &[u32],
    agents: &[u32],
) -> io::Result<Measured> {
    let Kind::Engine(model) = &doc.kind else {
        return Err(io::Error::other("the document describes no engines"));
    };
    let engines: Vec<SocketAddr> = doc
        .upstreams
        .iter()
        .map(|u| upstream_addr(u.agent))
        .collect();
    let client = Client::new(entry);
    send_requests(options, &client, &engines, &model.name, WARM_UP).await;
    let before = (cpu_seconds(entries), cpu_seconds(agents));
    let begun = Instant::now();
    let length = Duration::from_secs(u64::from(options.seconds));
    let (through, straight) = send_requests(options, &client, &engines, &model.name, length).await;
    let took = begun.elapsed().as_secs_f64();
    let used = |ids: &[u32], before: f64| {
        (!ids.is_empty()).then(|| (cpu_seconds(ids) - before) / took / ids.len() as f64)
    };
    let (through_side, straight_side) = (through.side(), straight.side());
    let added = |f: fn(&Side) -> Times| f(&through_side).p50 - f(&straight_side).p50;
    Ok(Measured {
        requests_per_s: through.whole as f64 / took,
        tokens_per_s: through.whole as f64 * f64::from(options.tokens) / took,
        added_first_ms: added(|s| s.first_ms),
        added_between_ms: added(|s| s.between_ms),
        through: through_side,
        straight: straight_side,
        entry_cores: used(entries, before.0),
        agent_cores: used(agents, before.1),
        entry_mb: entries
            .first()
            .and_then(|id| Some(usage::read(*id)?.resident as f64 / 1e6)),
    })
}

fn cpu_seconds(ids: &[u32]) -> f64 {
    ids.iter()
        .filter_map(|id| Some(usage::read(*id)?.cpu.as_secs_f64()))
        .sum()
}

enum Finished {
    Through(Call),
    Direct(Option<DirectTiming>),
}

struct DirectTiming {
    first: Duration,
    gaps: Vec<Duration>,
}

async fn send_requests(
    options: &LoadOptions,
    client: &Client,
    engines: &[SocketAddr],
    model: &str,
    length: Duration,
) -> (Samples, Samples) {
    let mut clock = tokio::time::interval(Duration::from_secs(1) / (2 * options.rate.max(1)));
    let until = tokio::time::Instant::now() + length;
    let mut tasks = JoinSet::new();
    for n in 0..MAX_REQUESTS {
        if clock.tick().await >= until {
            break;
        }
        let prompt = prompt(options.prompt, fastrand::u64(..));
        if n % 2 == 0 {
            let (client, tokens) = (client.clone(), options.tokens);
            let kind = RequestKind::Completion {
                prompt,
                tokens,
                chat: false,
                stream: true,
            };
            // Requests are spread over tenants, so that no tenant reaches its limit.
            let tenant = format!("tenant-{}", n % 500);
            let request = ClientRequest {
                service: "taalmodel-dossier",
                class: "reply",
                tenant,
                kind,
            };
            tasks.spawn(async move { Finished::Through(client.send(request).await) });
        } else {
            let engine = engines[fastrand::usize(..engines.len())];
            let body = direct_body(prompt, model, options.tokens, n);
            tasks.spawn(async move { Finished::Direct(call_engine(engine, &body).await) });
        }
    }
    let (mut through, mut direct) = (Samples::new(), Samples::new());
    while let Some(done) = tasks.join_next().await {
        match done.expect("client tasks don't panic") {
            Finished::Through(s) => through.add(
                s.first_byte,
                &s.token_gaps,
                matches!(s.result, CallResult::Complete { .. }),
            ),
            Finished::Direct(Some(s)) => direct.add(Some(s.first), &s.gaps, true),
            Finished::Direct(None) => direct.add(None, &[], false),
        }
    }
    (through, direct)
}

fn prompt(bytes: usize, salt: u64) -> String {
    let mut text = format!("{salt:016x} ");
    while text.len() < bytes {
        text.push_str("lorem ipsum dolor sit amet ");
    }
    text.truncate(bytes.max(1));
    text
}

fn direct_body(prompt: String, model: &str, tokens: u32, n: u64) -> CompletionBody {
    CompletionBody {
        request_id: format!("straight{n}-1"),
        model: model.to_owned(),
        prompt,
        max_tokens: tokens,
        priority: 3,
        resume_from: 0,
        stream: true,
    }
}

async fn call_engine(engine: SocketAddr, body: &CompletionBody) -> Option<DirectTiming> {
    let since = Instant::now();
    let mut stream = engine::Client::new(engine, ENGINE_TIMEOUT)
        .complete(body)
        .await
        .ok()?;
    let (mut first, mut last, mut gaps) = (None, None, Vec::new());
    loop {
        match stream.next().await.ok()? {
            CompletionEvent::Text(_) => {
                let now = Instant::now();
                first.get_or_insert(now - since);
                gaps.extend(last.replace(now).map(|l| now - l));
            }
            CompletionEvent::End(_) => {
                return Some(DirectTiming {
                    first: first?,
                    gaps,
                });
            }
        }
    }
}
