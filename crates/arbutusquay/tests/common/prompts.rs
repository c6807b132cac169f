//! Hosts as processes, engines, and callers that return as they are told, for tests of which
//! prompts are served.

use super::{Site, start_worker};
use bench::probe::wait_ready;
use bench::testbed::WAIT_TIMEOUT;
use serde_json::{Value, json};
use standin::fixture::{WORKER_TABLE, config, request, route, with_deadline, worker_row};
use standin::{Action, Capacity, Worker};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Slots of an engine, and requests that it queues beyond them.
pub const SLOTS: usize = 8;
pub const QUEUE: usize = 24;
/// Number of times that a caller sends a request at most, and the largest part of its remaining time
/// that it waits as told.
const MAX_TRIES: u32 = 4;
const MAX_WAIT_PART: u32 = 3;
/// Requests and time over which a session is asked for that counts as never served.
const COUNTED_REQUESTS: usize = 4;
const COUNTED_TIME: Duration = Duration::from_secs(8);

/// A kind of prompt.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Name of its route.
    pub name: &'static str,
    /// Whether a broken stream may be continued, and so a request sent twice.
    pub is_resumable: bool,
    /// Priority, 0 for the most urgent.
    pub priority: u32,
    /// Target for the time to the first event.
    pub target: Duration,
    /// Time that callers wait.
    pub deadline: Duration,
    /// Requests per second.
    pub per_s: f64,
    /// Number of sessions.
    pub sessions: u64,
    /// Tokens of the prompt, and of its answer.
    pub tokens: (u32, u32),
}

/// Urgent prompts with the shortest target, as they are sent to three hosts.
pub const TRIAGE: Kind = Kind {
    name: "triage",
    is_resumable: true,
    priority: 0,
    target: Duration::from_millis(120),
    deadline: Duration::from_secs(2),
    per_s: 12.0,
    sessions: 40,
    tokens: (9190, 2),
};

/// Less urgent prompts that may run once only.
pub const REPLY: Kind = Kind {
    name: "reply",
    is_resumable: false,
    priority: 1,
    target: Duration::from_millis(200),
    deadline: Duration::from_secs(15),
    per_s: 3.0,
    sessions: 17,
    tokens: (220, 91),
};

impl Kind {
    fn route(&self) -> Value {
        let mut route = route(self.name, "streaming", 1 + u32::from(self.is_resumable));
        route["Resumable"] = json!(self.is_resumable);
        route["Service"] = json!("llm");
        route["SessionAffinity"] = json!(true);
        route["Priority"] = json!(self.priority);
        route["TargetLatencyMs"] = json!(self.target.as_millis() as u64);
        route["TimeoutMs"] = json!(self.deadline.as_millis() as u64);
        route
    }

    /// Header lines of a prompt of a session.
    fn headers(&self, session: u64, id: u64) -> String {
        let (prompt, answer) = self.tokens;
        let kind = u64::from(self.priority) << 40;
        let shared = prompt * 2 / 3;
        format!(
            "connection: close\r\ntoken-counts: {prompt},{answer}\r\n\
             prompt-prefix: {:x}:{shared},{:x}:{}\r\n",
            kind + 1000 + session,
            (1 << 60) + kind + id,
            prompt - shared,
        )
    }
}

/// How engines divide the work of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Division {
    /// One engine only prefills prompts, and the others generate answers from its KV cache.
    Split,
    /// Each engine prefills prompts and generates answers.
    Colocated,
}

/// Hosts as processes, with engines.
pub struct Fleet {
    /// The store and the hosts' addresses.
    pub site: Site,
    /// The engines.
    pub engines: Vec<Worker>,
    hosts: Vec<(SocketAddr, super::GatewayProcess)>,
}

impl Fleet {
    /// Starts hosts, and engines whose answers begin after `first_event`.
    pub async fn start(
        hosts: u8,
        engines: u16,
        division: Division,
        first_event: Duration,
        kinds: &[Kind],
    ) -> Self {
        let routes: Vec<Value> = kinds.iter().map(Kind::route).collect();
        let site = Site::new(&config(1, &json!(routes)));
        let mut all = Vec::new();
        for n in 0..engines {
            let id = format!("engine-{n}");
            let engine = start_worker(site.worker_addr(n), &id).await;
            let stage = match division {
                Division::Split if n == 0 => "prefill",
                Division::Split => "decode",
                Division::Colocated => "colocated",
            };
            let answer = match stage {
                "prefill" => Action::Prefilled("handle".to_owned()),
                _ => Action::Delayed(first_event, Box::new(Action::Events(1..=4))),
            };
            engine.set_default_action(answer);
            engine.set_capacity(Capacity::new(SLOTS, QUEUE));
            let mut row = worker_row("llm", engine.addr, "ready", Some(stage));
            row["Slots"] = json!(SLOTS);
            site.store().put(WORKER_TABLE, &id, &row);
            all.push(engine);
        }
        let mut processes = Vec::new();
        for n in 0..hosts {
            let host = site.spawn_host(n);
            processes.push(host);
        }
        for (addr, _) in &processes {
            let ready = SocketAddr::new(addr.ip(), super::READY_PORT);
            tokio::time::timeout(WAIT_TIMEOUT, wait_ready(ready))
                .await
                .expect("the host is ready");
        }
        Self {
            site,
            engines: all,
            hosts: processes,
        }
    }

    /// Lines about an event in the logs of all hosts.
    pub fn log_lines(&self, event: &str) -> Vec<Value> {
        let lines = self.hosts.iter().map(|(_, host)| host.log_lines(event));
        lines.flatten().collect()
    }

    /// Sends prompts of all kinds for a time; returns what became of each.
    pub async fn play(&self, kinds: &[Kind], time: Duration, seed: u64) -> Vec<Sent> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let hosts: Vec<SocketAddr> = self.hosts.iter().map(|(addr, _)| *addr).collect();
        let mut arrivals = Vec::new();
        for (at, kind) in kinds.iter().enumerate() {
            for n in 0..(time.as_secs_f64() * kind.per_s) as u64 {
                let due = Duration::from_secs_f64((n as f64 + rng.f64()) / kind.per_s);
                arrivals.push((due, at, rng.u64(..kind.sessions), n));
            }
        }
        arrivals.sort_unstable();
        let begin = Instant::now();
        let mut calls = JoinSet::new();
        for (due, at, session, n) in arrivals {
            tokio::time::sleep_until((begin + due).into()).await;
            calls.spawn(call(hosts.clone(), kinds[at], session, n, rng.fork()));
        }
        calls.join_all().await
    }
}

/// What became of a request of a caller.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Name of its kind.
    pub kind: &'static str,
    /// Its session.
    pub session: u64,
    /// Time at which it was first sent.
    pub at: Instant,
    /// Time until the first event of its complete answer, from the first try; `None` if it wasn't
    /// served.
    pub first_event: Option<Duration>,
    /// Errors that it got, as the hosts name them.
    pub errors: Vec<String>,
}

/// Sends a request until it is served or its time is up.
async fn call(
    hosts: Vec<SocketAddr>,
    kind: Kind,
    session: u64,
    n: u64,
    mut rng: fastrand::Rng,
) -> Sent {
    let at = Instant::now();
    let mut sent = Sent {
        kind: kind.name,
        session,
        at,
        first_event: None,
        errors: Vec::new(),
    };
    for attempt in 0..MAX_TRIES {
        let Some(left) = kind.deadline.checked_sub(at.elapsed()) else {
            break;
        };
        let id = format!("{}-{n}-{attempt}", kind.name);
        let path = format!("/{}/", kind.name);
        let text = request("POST", &path, &id, &kind.headers(session, n), "x");
        let host = hosts[rng.usize(..hosts.len())];
        let answer = tokio::time::timeout(left, exchange(host, &with_deadline(&text, left))).await;
        let Ok(Ok((first, answer))) = answer else {
            sent.errors.push("none".to_owned());
            break;
        };
        if answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n") {
            sent.first_event = Some(first.saturating_duration_since(at));
            break;
        }
        let error = answer.split_once("\"error\":\"").map(|(_, rest)| rest);
        let error = error.and_then(|rest| rest.split('"').next());
        sent.errors.push(error.unwrap_or("broken off").to_owned());
        let is_promise = answer.starts_with("HTTP/1.1 503");
        if !is_promise && !kind.is_resumable {
            break;
        }
        let left = kind.deadline.saturating_sub(at.elapsed());
        tokio::time::sleep(retry_after(&answer).min(left / MAX_WAIT_PART)).await;
    }
    sent
}

/// Sends a request; returns the time of the first event and the whole answer.
async fn exchange(host: SocketAddr, text: &str) -> std::io::Result<(Instant, String)> {
    let mut tcp = TcpStream::connect(host).await?;
    tcp.write_all(text.as_bytes()).await?;
    let (mut buf, mut first) = (Vec::new(), None);
    while tcp.read_buf(&mut buf).await? > 0 {
        first.get_or_insert_with(Instant::now);
    }
    let text = String::from_utf8_lossy(&buf).into_owned();
    Ok((first.unwrap_or_else(Instant::now), text))
}

fn retry_after(answer: &str) -> Duration {
    let text = answer.to_ascii_lowercase();
    let value = text.lines().find_map(|l| l.strip_prefix("retry-after: "));
    let seconds = value.and_then(|v| v.trim().parse::<f64>().ok());
    Duration::from_secs_f64(seconds.unwrap_or(0.3))
}

/// Summary of the requests of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Part of the requests that was served.
    pub served: f64,
    /// Part whose first event came within the target.
    pub on_time: f64,
    /// Sessions that were asked for often enough to count, and those of them that were never served.
    pub sessions: usize,
    pub never_served: usize,
    /// How often requests got each error.
    pub errors: BTreeMap<String, usize>,
}

impl Summary {
    /// Summarizes the requests of a kind.
    pub fn new(kind: &Kind, all: &[Sent]) -> Self {
        let of_kind: Vec<&Sent> = all.iter().filter(|s| s.kind == kind.name).collect();
        let part = |is_counted: &dyn Fn(&Duration) -> bool| {
            let counted = of_kind.iter().filter_map(|s| s.first_event.as_ref());
            counted.filter(|d| is_counted(d)).count() as f64 / of_kind.len() as f64
        };
        let mut sessions = BTreeMap::<u64, Vec<&Sent>>::new();
        let mut errors = BTreeMap::new();
        for sent in &of_kind {
            sessions.entry(sent.session).or_default().push(sent);
            for error in &sent.errors {
                *errors.entry(error.clone()).or_default() += 1;
            }
        }
        let is_counted = |all: &Vec<&Sent>| {
            let times = || all.iter().map(|s| s.at);
            let (first, last) = (times().min(), times().max());
            let asked_for = first.zip(last).map(|(first, last)| last - first);
            all.len() >= COUNTED_REQUESTS && asked_for >= Some(COUNTED_TIME)
        };
        sessions.retain(|_, all| is_counted(all));
        let never = sessions
            .values()
            .filter(|all| all.iter().all(|s| s.first_event.is_none()));
        Self {
            served: part(&|_| true),
            on_time: part(&|first| *first <= kind.target),
            sessions: sessions.len(),
            never_served: never.count(),
            errors,
        }
    }
}
