//! The choice of an upstream for a request, and whether it is admitted at all.
//!
//! Plain requests go to the least loaded upstream, prompts to their homes, and long
//! answers to where the fewest run.

mod home;

pub use home::PREFILL_WEIGHT;

use crate::account::{ChoiceInputs, SentTo};
use crate::fleet::latency::Task;
use crate::fleet::{Fleet, ServiceKey, Upstream, UpstreamKey};
use crate::state::Gateway;
use net::Pool;
use platform::{PromptPart, Stage};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time of the latency target that is kept for the way to the client, for what
/// other processes send at the same moment, and for errors of the estimate: this
/// much at least, and this part of a longer target. Targets of 120 to 1,500 ms.
const ADMIT_MARGIN: Duration = Duration::from_millis(48);
const ADMIT_MARGIN_FRACTION: f64 = 0.15;
/// How many times the latency target the estimate for the rest of a broken stream
/// may take: refused, it would be broken off for good. For all that is sent a
/// second time the larger bound gained nothing.
const RESUME_ESTIMATE_FACTOR: f64 = 2.0;
/// What an upstream in another availability zone costs a plain request, and the
/// most that chance adds, as load for its slots: a tenth of its slots outweighs
/// both, and processes that know the same don't all choose the same.
const PLAIN_CROSS_ZONE_LOAD: f64 = 0.1;
const PLAIN_JITTER: f64 = 0.05;
/// Answers of more tokens than this hold their slot for seconds.
const LONG_ANSWER_TOKENS: u32 = 1024;
/// What a long answer costs the requests beside it, as work.
const LONG_ANSWER_COST_MS: f64 = 6.0;
/// What an engine costs whose slots are all taken by long answers: a second or
/// more until one ends.
const FULL_SLOTS_COST_MS: f64 = 1000.0;
/// What a generator in another availability zone than the engine that holds the KV
/// cache costs, in milliseconds: a cache of 300 MB takes some 7 ms more, and moves
/// between zones are dear.
const CROSS_ZONE_COST_MS: f64 = 10.0;
/// When a client may come back at the soonest and at the latest. It must find
/// its latency target still within reach, and not all others with it.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(600));

/// What a request needs of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// The service.
    pub service: ServiceKey,
    /// Parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
    /// Time to the first byte that is on time.
    pub latency_target: Duration,
    /// Whether this is the rest of a broken stream.
    pub is_resumed: bool,
    /// Whether it goes where the least else runs, as an upstream may end by it.
    pub is_isolated: bool,
    /// Upstreams that were tried before.
    pub tried: &'a [UpstreamKey],
}

impl Requirements<'_> {
    /// Whether the answer is so long that it holds its slot for seconds.
    pub fn is_long(&self) -> bool {
        self.max_output_tokens > LONG_ANSWER_TOKENS
    }

    /// Longest estimated time to the first event that is admitted.
    fn max_estimate(&self) -> Duration {
        if self.is_resumed {
            return self.latency_target.mul_f64(RESUME_ESTIMATE_FACTOR);
        }
        let margin = ADMIT_MARGIN.max(self.latency_target.mul_f64(ADMIT_MARGIN_FRACTION));
        self.latency_target.saturating_sub(margin)
    }

    /// Tokens of the prompt that no other request shares.
    fn unshared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        let shared: u32 = self.parts[..shared].iter().map(|p| p.tokens).sum();
        self.prompt_tokens.saturating_sub(shared)
    }
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The upstream.
    pub key: UpstreamKey,
    /// By what processes tell of its start.
    pub tag: u32,
    /// Id of its start.
    pub instance: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Connections to it.
    pub pool: Pool,
    /// What it is to do.
    pub task: Task,
    /// Engine from which it may fetch shared parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Whether the answer is long.
    pub is_long: bool,
    /// What decided.
    pub inputs: ChoiceInputs,
}

impl Plan {
    /// The start of the upstream.
    pub fn sent_to(&self) -> SentTo {
        SentTo {
            key: self.key,
            tag: self.tag,
        }
    }
}

/// What the choice came to.
#[derive(Debug, Clone)]
pub enum Choice {
    /// Send it.
    Send(Box<Plan>),
    /// All are too busy; the client may come back after a time.
    Busy(ChoiceInputs, Duration),
    /// No upstream is usable.
    NoUpstream,
}

/// Chooses an upstream for a request.
pub fn choose(gateway: &Gateway, need: &Requirements<'_>) -> Choice {
    let now = Instant::now();
    let fleet = gateway.fleet();
    if need.is_isolated {
        return choose_isolated(&fleet, need, now);
    }
    if fleet.info(need.service).engine.is_none() {
        return choose_plain(&fleet, &gateway.host().zone, need, now);
    }
    if need.is_long() {
        return choose_for_long_answer(&fleet, need, now);
    }
    home::choose_home(&fleet, need, now)
}

/// Chooses an engine that generates from a KV cache that another holds.
pub fn choose_generator(gateway: &Gateway, need: &Requirements<'_>, holder: UpstreamKey) -> Choice {
    let now = Instant::now();
    let fleet = gateway.fleet();
    let zone = fleet.get(holder).map_or("", |u| &u.instance.zone);
    match best_generator(&fleet, zone, need, now) {
        Some((key, upstream)) => {
            let plan = plan(&fleet, key, upstream, need, Task::Decode, 0);
            Choice::Send(Box::new(plan))
        }
        None => Choice::NoUpstream,
    }
}

fn best_generator<'a>(
    fleet: &'a Fleet,
    zone: &str,
    need: &'a Requirements<'_>,
    now: Instant,
) -> Option<(UpstreamKey, &'a Upstream)> {
    let all = candidates(fleet, need, now).filter(|(_, u)| can_generate(u));
    let cost = |u: &Upstream| generator_cost_ms(fleet, u, Task::Decode) + zone_cost_ms(u, zone);
    let best = all.map(|(key, u)| (key, u, cost(u)));
    let best = best.min_by(|a, b| a.2.total_cmp(&b.2));
    best.map(|(key, upstream, _)| (key, upstream))
}

/// Upstreams of the service that may get the request.
fn candidates<'a>(
    fleet: &'a Fleet,
    need: &'a Requirements<'_>,
    now: Instant,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
    fleet.iter().filter(move |(key, u)| {
        u.service == need.service
            && u.is_open()
            && !u.is_suspended(now)
            && !u.is_changing(now)
            && !need.tried.contains(key)
    })
}

fn can_generate(upstream: &Upstream) -> bool {
    upstream.instance.stage != Some(Stage::Prefill)
}

fn zone_cost_ms(upstream: &Upstream, zone: &str) -> f64 {
    if upstream.instance.zone == zone {
        0.0
    } else {
        CROSS_ZONE_COST_MS
    }
}

/// What waits at an engine, with its long answers as work.
fn generator_cost_ms(fleet: &Fleet, u: &Upstream, task: Task) -> f64 {
    // Past its slots a request waits for a long answer to end.
    let full_ms = if u.all_streams() >= u.instance.slots {
        FULL_SLOTS_COST_MS
    } else {
        0.0
    };
    fleet.estimate_ms(u, task, 0) + f64::from(u.all_streams()) * LONG_ANSWER_COST_MS + full_ms
}

/// The least loaded upstream for its slots, nearer ones first.
fn choose_plain(fleet: &Fleet, zone: &str, need: &Requirements<'_>, now: Instant) -> Choice {
    let cost = |u: &Upstream| {
        let load = f64::from(u.all_running()) / f64::from(u.instance.slots);
        let is_far = u.instance.zone != zone;
        load + f64::from(u8::from(is_far)) * PLAIN_CROSS_ZONE_LOAD + fastrand::f64() * PLAIN_JITTER
    };
    let all = candidates(fleet, need, now).map(|(key, u)| (key, u, cost(u)));
    match all.min_by(|a, b| a.2.total_cmp(&b.2)) {
        Some((key, upstream, _)) => {
            let plan = plan(fleet, key, upstream, need, Task::Generate, 0);
            Choice::Send(Box::new(plan))
        }
        None => Choice::NoUpstream,
    }
}

/// Where the least else runs, whatever it costs the request: if the upstream ends by it, the
/// fewest others end with it. One that is cut off has little to do, and would tell nothing of
/// the request. A prompt is read where its answer is generated, so that it is sent once.
fn choose_isolated(fleet: &Fleet, need: &Requirements<'_>, now: Instant) -> Choice {
    let all = candidates(fleet, need, now).filter(|(_, u)| can_generate(u));
    match all.min_by_key(|(_, u)| (u.is_silent(now), u.all_running())) {
        Some((key, upstream)) => {
            let uncached = need.prompt_tokens;
            let plan = plan(fleet, key, upstream, need, Task::Generate, uncached);
            Choice::Send(Box::new(plan))
        }
        None => Choice::NoUpstream,
    }
}

/// The engine with the least work and the fewest long answers.
fn choose_for_long_answer(fleet: &Fleet, need: &Requirements<'_>, now: Instant) -> Choice {
    let all = candidates(fleet, need, now).filter(|(_, u)| can_generate(u));
    let cost = |u: &Upstream| generator_cost_ms(fleet, u, Task::Generate) + fastrand::f64();
    let best = all.map(|(key, u)| (key, u, cost(u)));
    match best.min_by(|a, b| a.2.total_cmp(&b.2)) {
        Some((key, upstream, _)) => {
            let uncached = need.prompt_tokens;
            let plan = plan(fleet, key, upstream, need, Task::Generate, uncached);
            Choice::Send(Box::new(plan))
        }
        None => Choice::NoUpstream,
    }
}

fn retry_after(queue_ms: f64) -> Duration {
    let (min, max) = RETRY_AFTER_RANGE;
    let wait = Duration::from_secs_f64(queue_ms * 2.0 / 1000.0).max(min);
    let spread = (max - min).mul_f64(fastrand::f64());
    (wait + spread).min(max)
}

fn plan(
    fleet: &Fleet,
    key: UpstreamKey,
    upstream: &Upstream,
    need: &Requirements<'_>,
    task: Task,
    uncached: u32,
) -> Plan {
    Plan {
        key,
        tag: upstream.tag(),
        instance: upstream.instance.id.clone(),
        addr: upstream.instance.addr,
        pool: upstream.pool.clone(),
        task,
        fetch_from: None,
        is_long: need.is_long(),
        inputs: ChoiceInputs {
            estimate_ms: fleet.estimate_ms(upstream, task, uncached),
            generator_ms: 0.0,
            admit_ms: need.max_estimate().as_secs_f64() * 1000.0,
            uncached,
            backlog: upstream.backlog(uncached),
            running: upstream.all_running(),
            long_answers: upstream.all_streams(),
            slowdown: upstream.slowdown.factor(),
            task,
        },
    }
}
