//! `slopes`: measures the cost of each role as a function of one variable at a time.
//!
//! Real entries and agents run with small stand-ins. Bytes are counted at the sockets, processor
//! time and memory are read from /proc, and reads and writes are counted by the stand-ins. Each
//! variable changes by a factor of at least 8, and a line is fitted to each figure.

use crate::client::{CallResult, Client};
use crate::deploy::{Deployment, admin_addr, reserve_subnet};
use crate::mix::{ClientRequest, RequestKind};
use crate::procs::build_binary;
use crate::scrape::control_bytes;
use crate::site::{Options, Site};
use crate::usage;
use fakes::engine::Rates;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use store::rows::{doc_key, head_key};
use store::{HttpPlatform, Table, Txn};
use tokio::task::JoinSet;

/// Time for opening connections and learning rates, excluded from the results.
const WARM_UP: Duration = Duration::from_secs(3);
/// Intervals of polls and flushes keep their defaults, so that the figures match those of a real
/// site.
const LIMITS: &str = "{linger: 100ms}";
/// Prompt sizes in bytes: two in five prompts are long, and tied to an upstream.
const PROMPT_BYTES: [usize; 5] = [400, 6_000, 400, 6_000, 400];

/// Sizes of the system in one measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Sizes {
    entries: usize,
    agents: usize,
    /// Requests per second and entry.
    rate: u32,
    tenants: u64,
    documents: usize,
    /// Document changes per minute.
    changes: u32,
}

const BASE_SIZES: Sizes = Sizes {
    entries: 1,
    agents: 4,
    rate: 8,
    tenants: 10,
    documents: 1,
    changes: 0,
};

/// A figure as a linear function of a variable: `intercept + slope * x`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Cost of one more unit.
    pub slope: f64,
    /// Cost at zero.
    pub intercept: f64,
    /// Coefficient of determination; 1 is an exact fit.
    pub fit: f64,
    /// Measured points.
    pub points: Vec<(f64, f64)>,
}

/// Figures of one variable, by name.
pub type Figures = BTreeMap<String, Line>;

/// Figures of all measured variables, by variable.
pub type Slopes = BTreeMap<String, Figures>;

/// Runs the measurements of all variables, or only of one.
pub async fn run(only: Option<&str>, seconds: u32) -> io::Result<Slopes> {
    let binary = build_binary().await?;
    let length = Duration::from_secs(u64::from(seconds.max(1)));
    let mut slopes = Slopes::new();
    for (variable, points) in series() {
        if only.is_some_and(|o| o != variable) {
            continue;
        }
        let mut measured: Vec<(f64, BTreeMap<String, f64>)> = Vec::new();
        for (x, sizes) in points {
            let figures = measure(&binary, sizes, length).await?;
            eprintln!("{variable} {x}: {figures:?}");
            measured.push((x, figures));
        }
        slopes.insert(variable.to_owned(), fit_all(&measured));
    }
    Ok(slopes)
}

fn series() -> Vec<(&'static str, Vec<(f64, Sizes)>)> {
    let of = |xs: &[u32], set: fn(&mut Sizes, u32)| {
        let point = |x: &u32| {
            let mut sizes = BASE_SIZES;
            set(&mut sizes, *x);
            (f64::from(*x), sizes)
        };
        xs.iter().map(point).collect::<Vec<_>>()
    };
    vec![
        ("agents", of(&[4, 12, 36, 72], |s, x| s.agents = x as usize)),
        ("entries", of(&[1, 4, 12], |s, x| s.entries = x as usize)),
        ("requests", of(&[4, 16, 64], |s, x| s.rate = x)),
        (
            "tenants",
            of(&[10, 100, 800], |s, x| {
                s.rate = 120;
                s.tenants = u64::from(x);
            }),
        ),
        (
            "documents",
            of(&[1, 4, 12], |s, x| {
                s.agents = 2;
                s.documents = x as usize;
            }),
        ),
        ("changes", of(&[0, 12, 96], |s, x| s.changes = x)),
    ]
}

/// Document of a synthetic service.
fn document(subnet: u8, number: usize, agents: usize, note: u64) -> String {
    let first = number * agents;
    let up = |i: usize| {
        let (n, zone) = (
            first + i,
            ["gent-zaal-a", "gent-zaal-b", "mechelen-zaal"][i % 3],
        );
        let agent = format!("127.{subnet}.{}.{}:7000", n / 200 * 3, n % 200 + 1);
        format!("- {{name: u{n}, host: h{n}, zone: {zone}, agent: '{agent}', slots: 16}}\n")
    };
    let ups: String = (0..agents).map(up).collect();
    format!(
        "# change {note}\nservice: s{number}\nkind: engine\nmodel: {{name: m, version: 1}}\n\
         share: 50%\ndrain_bound: 5s\ntenants: {{queue: 64, running: 64}}\nclasses:\n\
         - {{name: c, urgency: 1, deadline: 10s, idempotent: true, share: 100%, \
         starvation_bound: 5s, queue: 64}}\nupstreams:\n{ups}"
    )
}

async fn measure(
    binary: &Path,
    sizes: Sizes,
    length: Duration,
) -> io::Result<BTreeMap<String, f64>> {
    let (subnet, _lock) = reserve_subnet()?;
    let mut options = Options::new(binary.to_owned(), Deployment::Sleutelbos);
    options.subnet = subnet;
    options.entries = sizes.entries;
    let texts = (0..sizes.documents)
        .map(|n| document(subnet, n, sizes.agents, 0))
        .collect();
    options.documents = Some(texts);
    options.limits = LIMITS.to_owned();
    options.rates = Rates {
        step_time: Duration::from_millis(2),
        prefill_per_step: 100_000,
        ..options.rates
    };
    let mut site = Site::start(Deployment::Sleutelbos, options).await?;
    run_load(&site, sizes, WARM_UP).await?;
    let before = Totals::read(&site).await?;
    run_load(&site, sizes, length).await?;
    let after = Totals::read(&site).await?;
    site.stop().await?;
    Ok(after.since(&before))
}

/// Sends requests and changes documents for a time.
async fn run_load(site: &Site, sizes: Sizes, length: Duration) -> io::Result<()> {
    let clients: Vec<Client> = site.entry_addrs().into_iter().map(Client::new).collect();
    let each = sizes.rate.max(1) * clients.len() as u32;
    let mut clock = tokio::time::interval(Duration::from_secs(1) / each);
    let until = tokio::time::Instant::now() + length;
    let changes = tokio::time::timeout_at(until, change_documents(site, sizes));
    let mut tasks = JoinSet::new();
    let requests = async {
        let mut n = 0usize;
        while clock.tick().await < until {
            let (client, request) = (clients[n % clients.len()].clone(), make_request(sizes, n));
            n += 1;
            tasks.spawn(async move { client.send(request).await });
        }
    };
    let ((), changed) = tokio::join!(requests, changes);
    if let Ok(changed) = changed {
        changed?;
    }
    while let Some(call) = tasks.join_next().await {
        let call = call.map_err(io::Error::other)?;
        if !matches!(call.result, CallResult::Complete { .. }) {
            return Err(io::Error::other(format!(
                "a request failed: {:?}",
                call.result
            )));
        }
    }
    Ok(())
}

/// Names of the services; requests need static strings.
const SERVICES: [&str; 12] = [
    "s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10", "s11",
];

fn make_request(sizes: Sizes, n: usize) -> ClientRequest {
    let mut prompt = format!("{:016x} ", fastrand::u64(..));
    while prompt.len() < PROMPT_BYTES[n % PROMPT_BYTES.len()] {
        prompt.push_str("lorem ipsum dolor sit amet ");
    }
    let kind = RequestKind::Completion {
        prompt,
        tokens: 2,
        chat: false,
        stream: true,
    };
    ClientRequest {
        service: SERVICES[n % sizes.documents.min(SERVICES.len())],
        class: "c",
        tenant: format!("tenant-{}", n as u64 % sizes.tenants),
        kind,
    }
}

/// Changes documents at the given rate until cancelled.
async fn change_documents(site: &Site, sizes: Sizes) -> io::Result<()> {
    if sizes.changes == 0 {
        return std::future::pending().await;
    }
    let settings = std::fs::read_to_string(site.settings_file())?;
    let settings = conf::Settings::parse(&settings).map_err(io::Error::other)?;
    let table = HttpPlatform::new(&settings.platform);
    let every = Duration::from_secs(60) / sizes.changes;
    for note in 1.. {
        tokio::time::sleep(every).await;
        let rows = table
            .read(vec![doc_key("s0")])
            .await
            .map_err(io::Error::other)?;
        let over = rows.first().map_or(0, |r| r.version);
        let text = document(site.subnet(), 0, sizes.agents, note);
        let txn = Txn::new()
            .check(doc_key("s0"), over)
            .put(doc_key("s0"), text)
            .put(head_key("s0"), String::new());
        table.commit(&txn).await.map_err(io::Error::other)?;
    }
    Ok(())
}

/// Resources used since the start.
#[derive(Debug)]
struct Totals {
    at: Instant,
    entry: RoleTotals,
    agent: RoleTotals,
    reads: u64,
    commits: u64,
    puts: u64,
}

/// Means over the processes of one role.
#[derive(Debug, Default)]
struct RoleTotals {
    platform: f64,
    peers: f64,
    cpu: f64,
    resident: f64,
}

impl Totals {
    async fn read(site: &Site) -> io::Result<Self> {
        let entries = site
            .entries
            .iter()
            .map(|e| (e.process.id(), admin_addr(e.addr)));
        let agents = site
            .workers
            .iter()
            .map(|w| (w.agent.id(), admin_addr(w.listen)));
        let history = site.table.history();
        Ok(Self {
            entry: RoleTotals::read(entries.collect()).await?,
            agent: RoleTotals::read(agents.collect()).await?,
            reads: history.reads,
            commits: history.commits,
            puts: site.objects.puts(),
            at: Instant::now(),
        })
    }

    fn since(&self, before: &Self) -> BTreeMap<String, f64> {
        let took = (self.at - before.at).as_secs_f64();
        let mut out = BTreeMap::new();
        for (role, now, then) in [
            ("entry", &self.entry, &before.entry),
            ("agent", &self.agent, &before.agent),
        ] {
            let mut put = |name: &str, value: f64| out.insert(format!("{role}_{name}"), value);
            put(
                "platform_bytes_per_s",
                (now.platform - then.platform) / took,
            );
            put("peer_bytes_per_s", (now.peers - then.peers) / took);
            put("cores", (now.cpu - then.cpu) / took);
            put("mb", now.resident / 1e6);
        }
        let per_s = |now: u64, then: u64| (now - then) as f64 / took;
        out.insert("table_reads_per_s".into(), per_s(self.reads, before.reads));
        out.insert(
            "table_commits_per_s".into(),
            per_s(self.commits, before.commits),
        );
        out.insert("object_puts_per_s".into(), per_s(self.puts, before.puts));
        out
    }
}

impl RoleTotals {
    async fn read(processes: Vec<(Option<u32>, std::net::SocketAddr)>) -> io::Result<Self> {
        let count = processes.len().max(1) as f64;
        let mut sum = Self::default();
        for (id, admin) in processes {
            let bytes = control_bytes(admin).await?;
            sum.platform += bytes.platform as f64 / count;
            sum.peers += bytes.peers as f64 / count;
            if let Some(used) = id.and_then(usage::read) {
                sum.cpu += used.cpu.as_secs_f64() / count;
                sum.resident += used.resident as f64 / count;
            }
        }
        Ok(sum)
    }
}

fn fit_all(measured: &[(f64, BTreeMap<String, f64>)]) -> Figures {
    let Some((_, first)) = measured.first() else {
        return Figures::new();
    };
    let line = |name: &String| {
        let point = |(x, figures): &(f64, BTreeMap<String, f64>)| (*x, figures[name]);
        (name.clone(), fit(measured.iter().map(point).collect()))
    };
    first.keys().map(line).collect()
}

/// Fits a line by the method of least squares.
pub fn fit(points: Vec<(f64, f64)>) -> Line {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
    let sum = |f: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>();
    let sxx = sum(&|p| (p.0 - mx).powi(2));
    let sxy = sum(&|p| (p.0 - mx) * (p.1 - my));
    let syy = sum(&|p| (p.1 - my).powi(2));
    let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
    let fit = if sxx > 0.0 && syy > 0.0 {
        sxy * sxy / (sxx * syy)
    } else {
        1.0
    };
    Line {
        slope,
        intercept: my - slope * mx,
        fit,
        points,
    }
}
