//! `load`: throughput, and the time that the product adds.
//!
//! Requests alternate: one through an entry, one straight to an engine. Both
//! kinds are spread over the same time and the same engines, so that what the
//! machine does meanwhile falls on both alike.

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

/// Longest time that the histograms tell apart, in microseconds.
const MAX_US: u64 = 120_000_000;
/// Longest wait for an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most requests of one run.
const MAX_REQUESTS: u64 = 200_000;
/// Time for rates to be learned and connections to be opened, not counted.
const WARM_UP: Duration = Duration::from_secs(2);

/// RequestKind to send.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Requests a second through the entry; as many go straight to engines.
    pub rate: u32,
    /// How long.
    pub seconds: u32,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Bytes of each prompt.
    pub prompt: usize,
    /// Step of the engines in milliseconds, when they are started here.
    pub step_ms: u64,
    /// Start a system with one entry, instead of using the one of `up`.
    pub start: bool,
}

/// Quantiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Times {
    /// Half are at most this.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
}

/// Times of one kind of requests.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Side {
    /// Whole answers.
    pub whole: u64,
    /// Everything else.
    pub failed: u64,
    /// Time to the first token.
    pub first_ms: Times,
    /// Time between tokens.
    pub between_ms: Times,
}

/// RequestKind a run measured.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Measured {
    /// Requests a second that were answered through the entry.
    pub requests_per_s: f64,
    /// Tokens a second through the entry.
    pub tokens_per_s: f64,
    /// Through the entry.
    pub through: Side,
    /// DirectTiming to an engine.
    pub straight: Side,
    /// Median of first token through, less that of straight.
    pub added_first_ms: f64,
    /// Median between tokens through, less that of straight.
    pub added_between_ms: f64,
    /// Part of a core that the entry used, if it was started here.
    pub entry_cores: Option<f64>,
    /// Part of a core that an agent used at the mean, if started here.
    pub agent_cores: Option<f64>,
    /// The entry's memory in MB, if it was started here.
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
        let new = || Histogram::new_with_max(MAX_US, 3).expect("valid bounds");
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

/// Runs a load.
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
        step,
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
        return Err(io::Error::other("no engines"));
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
            // Spread over tenants, so that no tenant's limit is measured.
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
        match done.expect("clients don't panic") {
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
