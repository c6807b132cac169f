//! Selects the upstream for a request, and decides whether the request is admitted.
//!
//! Requests for plain services go to the least loaded upstream, prompts to the engines that are
//! likely to have them cached, and long answers to the engine with the fewest long answers.

mod admit;
mod home;

pub use admit::choose_with_room;
pub use home::PREFILL_WEIGHT;

use crate::account::{ChoiceInputs, SentTo};
use crate::fleet::latency::Task;
use crate::fleet::{Fleet, ServiceKey, Upstream, UpstreamKey};
use crate::monotonic;
use crate::state::Gateway;
use net::Pool;
use origins::NameHash;
use platform::header::RequestRate;
use platform::{PromptPart, Stage};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Part of the latency target that is reserved for delivery to the client, for concurrent
/// requests of other processes and for errors of the estimate: the larger of a minimum and a
/// fraction of the target. Targets range from 120 to 1,500 ms.
const ADMIT_MARGIN: Duration = Duration::from_millis(48);
const ADMIT_MARGIN_FRACTION: f64 = 0.15;
/// Longest estimate with which a broken stream is resumed, as a multiple of the latency target. It
/// is larger than for new requests, as a refusal would end the stream for good. For retries of
/// other requests a larger bound brought no gain.
const RESUME_ESTIMATE_FACTOR: f64 = 2.0;
/// Penalty for an upstream in another availability zone and maximum random penalty for requests
/// to plain services, as a fraction of the upstream's slots. The jitter keeps processes with the
/// same information from all choosing the same upstream. A load difference of a tenth of the
/// slots outweighs both.
const PLAIN_CROSS_ZONE_LOAD: f64 = 0.1;
const PLAIN_JITTER: f64 = 0.05;
/// Answers with more tokens than this occupy a slot for seconds.
const LONG_ANSWER_TOKENS: u32 = 1024;
/// Penalty for each long answer that runs on an engine, as it slows down concurrent requests.
const LONG_ANSWER_COST_MS: f64 = 6.0;
/// Penalty for an engine with a long answer in each slot: it takes a second or more until one
/// ends.
const FULL_SLOTS_COST_MS: f64 = 1000.0;
/// Penalty for generating in another availability zone than the engine that holds the KV cache.
/// Moving a cache of 300 MB between zones takes about 7 ms longer, and traffic between zones is
/// expensive.
const CROSS_ZONE_COST_MS: f64 = 10.0;
/// Shortest and longest wait that a refusal asks the client for. The client must still be able to
/// meet its latency target, and clients must not all return at once.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(600));

/// Requirements of a request on its upstream.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// Service that the request is for.
    pub service: ServiceKey,
    /// Parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// Priority of the request, 0 for the most urgent.
    pub rank: u32,
    /// Target for the time to the first byte.
    pub latency_target: Duration,
    /// Whether this resumes a broken stream.
    pub is_resumed: bool,
    /// Whether the request is suspected of crashing upstreams and goes to the least loaded one.
    pub is_isolated: bool,
    /// Software version of the upstream that generates, for the rest of a stream.
    pub version: Option<NameHash>,
    /// Upstreams that are excluded because they were tried before.
    pub tried: &'a [UpstreamKey],
    /// Whether the request may be sent although upstreams are full.
    pub has_permit: bool,
}

impl Requirements<'_> {
    /// Whether the answer is long enough to occupy a slot for seconds.
    pub fn is_long(&self) -> bool {
        self.max_output_tokens > LONG_ANSWER_TOKENS
    }

    /// Longest estimate of the time to the first event with which the request is admitted.
    fn max_estimate(&self) -> Duration {
        if self.is_resumed {
            return self.latency_target.mul_f64(RESUME_ESTIMATE_FACTOR);
        }
        let margin = ADMIT_MARGIN.max(self.latency_target.mul_f64(ADMIT_MARGIN_FRACTION));
        self.latency_target.saturating_sub(margin)
    }

    /// Number of prompt tokens that are not shared with other requests.
    fn unshared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        let shared: u32 = self.parts[..shared].iter().map(|p| p.tokens).sum();
        self.prompt_tokens.saturating_sub(shared)
    }
}

/// The upstream selected for a request, and what it is to do.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Tag of the upstream's start, which identifies it between processes.
    pub tag: u32,
    /// Id of the upstream's instance.
    pub instance: String,
    /// Version of its software, if known.
    pub software_version: Option<String>,
    /// The same, as it identifies upstreams of one version.
    pub version: NameHash,
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Connection pool of the upstream.
    pub pool: Pool,
    /// Task for the upstream.
    pub task: Task,
    /// Engine from which the upstream can fetch the KV cache of shared prompt parts.
    pub fetch_from: Option<SocketAddr>,
    /// Whether the answer is long.
    pub is_long: bool,
    /// Limit that the upstream names, from which the request must be taken.
    pub request_limit: Option<RequestRate>,
    /// Figures that the choice was based on.
    pub inputs: ChoiceInputs,
}

impl Plan {
    /// Identifies the upstream's start.
    pub fn sent_to(&self) -> SentTo {
        SentTo {
            key: self.key,
            tag: self.tag,
            addr: self.addr,
        }
    }
}

/// Why a prompt isn't sent to an engine now.
#[derive(Debug, Clone, Copy)]
pub struct Busy {
    /// Figures of the best engine.
    pub inputs: ChoiceInputs,
    /// Engines that could run it, and have a free slot and no prompt ahead of it.
    pub idle_engines: usize,
    /// Time after which the client may retry.
    pub retry_after: Duration,
}

/// Result of the selection.
#[derive(Debug, Clone)]
pub enum Choice {
    /// Send the request according to the plan.
    Send(Box<Plan>),
    /// Upstreams are full, so the request must wait until it may be sent.
    Full,
    /// All upstreams are too busy.
    Busy(Busy),
    /// No upstream is available, but some will be at a known time. Contains the earliest one.
    Later(Instant, Unavailable),
    /// No upstream is available.
    NoUpstream,
}

/// Why an upstream that could otherwise run a request gets none until a known time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// The limit that it names has no room.
    AtLimit,
    /// It asked this process for a pause.
    Paused,
}

/// Selects an upstream for a request.
pub fn choose(gateway: &Gateway, requirements: &Requirements<'_>) -> Choice {
    let now = monotonic::now();
    let fleet = gateway.fleet();
    let choice = if requirements.is_isolated {
        choose_isolated(&fleet, requirements, now)
    } else if fleet.info(requirements.service).engine.is_none() {
        choose_plain(&fleet, &gateway.host().zone, requirements, now)
    } else if requirements.is_long() {
        choose_for_long_answer(&fleet, requirements, now)
    } else {
        home::choose_home(&fleet, requirements, now)
    };
    match choice {
        Choice::NoUpstream => {
            let later = available_later(&fleet, requirements, now);
            later.map_or(choice, |(at, why)| Choice::Later(at, why))
        }
        _ => choice,
    }
}

/// Earliest time at which an upstream that is only paused or at its limit is available; `None` if
/// there is no such upstream.
fn available_later(
    fleet: &Fleet,
    requirements: &Requirements<'_>,
    now: Instant,
) -> Option<(Instant, Unavailable)> {
    let all = open_candidates(fleet, requirements, now);
    let later = all.filter_map(|(_, u)| match u.pause_end(now) {
        Some(end) => Some((end, Unavailable::Paused)),
        None if u.is_paused(now) => Some((now, Unavailable::Paused)),
        None if u.is_at_limit(requirements.rank, now) => Some((u.room_at()?, Unavailable::AtLimit)),
        None => None,
    });
    later.min_by_key(|(at, _)| *at)
}

/// Selects an engine to generate from the KV cache on `holder`.
pub fn choose_generator(
    gateway: &Gateway,
    requirements: &Requirements<'_>,
    holder: UpstreamKey,
) -> Choice {
    let now = monotonic::now();
    let fleet = gateway.fleet();
    let zone = fleet.get(holder).map_or("", |u| &u.instance.zone);
    match best_generator(&fleet, zone, requirements, now) {
        Some((key, upstream)) => {
            let plan = plan(&fleet, key, upstream, requirements, Task::Decode, 0);
            Choice::Send(Box::new(plan))
        }
        None => Choice::NoUpstream,
    }
}

fn best_generator<'a>(
    fleet: &'a Fleet,
    zone: &str,
    requirements: &'a Requirements<'_>,
    now: Instant,
) -> Option<(UpstreamKey, &'a Upstream)> {
    let all = candidates(fleet, requirements, now).filter(|(_, u)| can_generate(u));
    let cost = |u: &Upstream| generator_cost_ms(fleet, u, Task::Decode) + zone_cost_ms(u, zone);
    let best = all.map(|(key, u)| (key, u, cost(u)));
    let best = best.min_by(|a, b| a.2.total_cmp(&b.2));
    best.map(|(key, upstream, _)| (key, upstream))
}

/// Upstreams of the service that are available for the request.
fn candidates<'a>(
    fleet: &'a Fleet,
    requirements: &'a Requirements<'_>,
    now: Instant,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
    let all = open_candidates(fleet, requirements, now);
    all.filter(move |(_, u)| !u.is_at_limit(requirements.rank, now) && !u.is_paused(now))
}

/// The same, including upstreams that are paused or whose limits have no room.
fn open_candidates<'a>(
    fleet: &'a Fleet,
    requirements: &'a Requirements<'_>,
    now: Instant,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
    fleet.iter().filter(move |(key, u)| {
        u.service == requirements.service
            && u.is_open()
            && !u.is_suspended(now)
            && !u.is_changing(now)
            && !requirements.tried.contains(key)
            && has_required_version(u, requirements)
    })
}

/// Whether an upstream may run the request by its software version. An engine that only prefills
/// prompts writes no events, and its KV cache depends on the weights only.
fn has_required_version(upstream: &Upstream, requirements: &Requirements<'_>) -> bool {
    let is_required = |version| upstream.version() == version;
    !can_generate(upstream) || requirements.version.is_none_or(is_required)
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

/// Cost of generating on an engine: the estimated time to the first byte, and penalties for long
/// answers.
fn generator_cost_ms(fleet: &Fleet, u: &Upstream, task: Task) -> f64 {
    // When all slots are taken, a request waits until a long answer ends.
    let full_ms = if u.all_streams() >= u.instance.slots {
        FULL_SLOTS_COST_MS
    } else {
        0.0
    };
    fleet.estimate_ms(u, task, 0) + f64::from(u.all_streams()) * LONG_ANSWER_COST_MS + full_ms
}

/// Selects the upstream with the lowest load per slot, with a preference for this zone.
fn choose_plain(
    fleet: &Fleet,
    zone: &str,
    requirements: &Requirements<'_>,
    now: Instant,
) -> Choice {
    let cost = |u: &Upstream| {
        let load = f64::from(u.all_running()) / f64::from(u.instance.slots);
        let is_far = u.instance.zone != zone;
        let jitter = fastrand::f64() * PLAIN_JITTER;
        let cost = load + f64::from(u8::from(is_far)) * PLAIN_CROSS_ZONE_LOAD + jitter;
        (u.is_full(now), cost)
    };
    let all = candidates(fleet, requirements, now).map(|(key, u)| (key, u, cost(u)));
    let best = all.min_by(|(.., a), (.., b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    match best {
        Some((_, upstream, _)) if upstream.is_limited(now) && !requirements.has_permit => {
            Choice::Full
        }
        Some((key, upstream, _)) => {
            let plan = plan(fleet, key, upstream, requirements, Task::Generate, 0);
            Choice::Send(Box::new(plan))
        }
        None => Choice::NoUpstream,
    }
}

/// Selects the upstream with the fewest requests regardless of latency, so that as few as
/// possible are lost if the upstream crashes. An unreachable upstream also has few requests, so a
/// silent one is the last choice. The prompt is prefilled on the engine that generates, so that
/// only one engine gets the request.
fn choose_isolated(fleet: &Fleet, requirements: &Requirements<'_>, now: Instant) -> Choice {
    let all = candidates(fleet, requirements, now).filter(|(_, u)| can_generate(u));
    match all.min_by_key(|(_, u)| (u.is_silent(now), u.all_running())) {
        Some((key, upstream)) => {
            let uncached = requirements.prompt_tokens;
            let plan = plan(fleet, key, upstream, requirements, Task::Generate, uncached);
            Choice::Send(Box::new(plan))
        }
        None => Choice::NoUpstream,
    }
}

/// Selects the engine with the lowest generator cost; a random amount breaks ties.
fn choose_for_long_answer(fleet: &Fleet, requirements: &Requirements<'_>, now: Instant) -> Choice {
    let all = candidates(fleet, requirements, now).filter(|(_, u)| can_generate(u));
    let cost = |u: &Upstream| generator_cost_ms(fleet, u, Task::Generate) + fastrand::f64();
    let best = all.map(|(key, u)| (key, u, cost(u)));
    match best.min_by(|a, b| a.2.total_cmp(&b.2)) {
        Some((key, upstream, _)) => {
            let uncached = requirements.prompt_tokens;
            let plan = plan(fleet, key, upstream, requirements, Task::Generate, uncached);
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
    requirements: &Requirements<'_>,
    task: Task,
    uncached: u32,
) -> Plan {
    Plan {
        key,
        tag: upstream.tag(),
        instance: upstream.instance.id.clone(),
        software_version: upstream.instance.software_version.clone(),
        version: upstream.version(),
        addr: upstream.instance.addr,
        pool: upstream.pool.clone(),
        task,
        fetch_from: None,
        is_long: requirements.is_long(),
        request_limit: upstream.stated.limit.rate(),
        inputs: ChoiceInputs {
            estimate_ms: fleet.estimate_ms(upstream, task, uncached),
            generator_ms: 0.0,
            admit_ms: requirements.max_estimate().as_secs_f64() * 1000.0,
            uncached,
            backlog: upstream.backlog(uncached),
            running: upstream.all_running(),
            long_answers: upstream.all_streams(),
            slowdown: upstream.slowdown.factor(),
            task,
        },
    }
}
