//! Selects the engine that prefills a prompt, by cache affinity.
//!
//! Each prompt has a home engine, where its shared parts are likely to be cached. All processes
//! compute the same home without communication, by weighted rendezvous hashing of the last shared
//! part. If the home has a queue, a second home takes the prompt and fetches the KV cache of the
//! shared parts from the first.

use super::{
    Busy, Choice, Plan, Requirements, best_generator, can_generate, candidates, plan, retry_after,
};
use crate::fleet::latency::Task;
use crate::fleet::{Fleet, ServiceKey, Upstream, UpstreamKey};
use platform::{PromptPart, Stage};
use std::net::SocketAddr;
use std::time::Instant;

/// Weight of a prefill-only engine in the hashing, relative to an engine that also generates. It
/// prefills about 2.3 times as fast and isn't slowed down by long answers. With a weight of 2,
/// under load a quarter of the prompts at generating engines was refused, and one in fourteen at
/// prefill-only ones.
pub const PREFILL_WEIGHT: f64 = 3.2;
/// Fraction of the latency target that a prompt may wait before its own prefill, however long
/// that takes. The largest prompts of a class miss the target even at an idle engine, and clients
/// prefer a late answer to a refusal.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Maximum number of engines that are considered for a prompt. A second home helps when prefill
/// is the bottleneck. With three, or with any prefill engine, repeated prefill costs more than
/// the shorter queues gain.
const MAX_HOMES: usize = 2;

/// Selects the better of the prompt's homes, or refuses the request if the estimate is too long.
pub(super) fn choose_home(fleet: &Fleet, requirements: &Requirements<'_>, now: Instant) -> Choice {
    let can_split = candidates(fleet, requirements, now).any(|(_, u)| can_generate(u));
    let at_prefill_only = can_split && has_enough_prefill_engines(fleet, requirements.service);
    let usable = |u: &Upstream| match can_generate(u) {
        true => !at_prefill_only,
        false => can_split,
    };
    let usable: Vec<_> = candidates(fleet, requirements, now)
        .filter(|(_, u)| usable(u))
        .collect();
    let mut best: Option<Candidate> = None;
    let homes = homes(requirements.parts, &usable);
    let first = homes.first().map(|(_, u)| *u);
    for home in homes.into_iter().take(MAX_HOMES) {
        let holder = first.filter(|f| f.hash != home.1.hash);
        let candidate = Candidate::evaluate(fleet, requirements, home, holder, now);
        let is_better = best.as_ref().is_none_or(|b| candidate.is_better_than(b));
        if is_better {
            best = Some(candidate);
        }
    }
    let Some(Candidate { plan, .. }) = best else {
        return Choice::NoUpstream;
    };
    if plan.inputs.estimate_ms <= plan.inputs.admit_ms {
        return Choice::Send(Box::new(plan));
    }
    Choice::Busy(Busy {
        inputs: plan.inputs,
        idle_engines: usable.iter().filter(|(_, u)| u.is_idle()).count(),
        retry_after: retry_after(plan.inputs.estimate_ms),
    })
}

/// A home engine considered for a prompt.
struct Candidate {
    plan: Plan,
    /// Estimated time to the first byte, plus the time for repeated prefill and transfers, which
    /// delays other requests.
    cost_ms: f64,
    /// Part of the estimate that is spent at the generating engine.
    generator_ms: f64,
}

impl Candidate {
    /// Evaluates a home. `holder` is the prompt's first home if this is another one.
    fn evaluate(
        fleet: &Fleet,
        requirements: &Requirements<'_>,
        (key, home): (UpstreamKey, &Upstream),
        holder: Option<&Upstream>,
        now: Instant,
    ) -> Self {
        let task = match home.is_prefill_only() {
            true => Task::Prefill,
            false => Task::Generate,
        };
        let fetch = CacheFetch::between(fleet, requirements.parts, home, holder);
        let uncached = fetch.uncached;
        let mut plan = plan(fleet, key, home, requirements, task, uncached);
        let generator = GeneratorEstimate::for_home(fleet, requirements, home, now);
        plan.fetch_from = fetch.from;
        plan.inputs.estimate_ms += fetch.ms + generator.ms;
        plan.inputs.generator_ms = generator.ms;
        let idle_estimate_ms =
            fleet.idle_estimate_ms(home, task, uncached) + generator.idle_estimate_ms;
        let late_ms = idle_estimate_ms
            + requirements.latency_target.as_secs_f64() * 1000.0 * MAX_WAIT_FRACTION;
        plan.inputs.admit_ms = plan.inputs.admit_ms.max(late_ms);
        let own = requirements.unshared_tokens();
        let repeated_ms =
            fleet.estimate_ms(home, task, uncached) - fleet.estimate_ms(home, task, own);
        Self {
            cost_ms: plan.inputs.estimate_ms + repeated_ms + fetch.ms,
            generator_ms: generator.ms,
            plan,
        }
    }

    /// Whether this home is better than the first by more than the estimate for the generator. A
    /// smaller gain is lost, as a prompt that is prefilled sooner only waits longer for the
    /// generator.
    fn is_better_than(&self, first: &Self) -> bool {
        first.cost_ms - self.cost_ms > self.generator_ms
    }
}

/// Transfer of cached prompt parts from the prompt's first home to another engine.
struct CacheFetch {
    from: Option<SocketAddr>,
    /// Estimated time of the transfer.
    ms: f64,
    /// Tokens that remain to be prefilled.
    uncached: u32,
}

impl CacheFetch {
    fn between(
        fleet: &Fleet,
        parts: &[PromptPart],
        home: &Upstream,
        holder: Option<&Upstream>,
    ) -> Self {
        let uncached = fleet.uncached(home, parts, holder.is_none());
        let left = holder.map(|holder| (holder, fleet.uncached(holder, parts, true)));
        match left.filter(|(_, left)| *left < uncached) {
            Some((holder, left)) => Self {
                from: Some(holder.instance.addr),
                ms: fleet.transfer_ms(holder, home, uncached - left),
                uncached: left,
            },
            None => Self {
                from: None,
                ms: 0.0,
                uncached,
            },
        }
    }
}

/// Estimated time at the generating engine until the first event of a prompt; zero if the home
/// generates itself.
#[derive(Default)]
struct GeneratorEstimate {
    ms: f64,
    /// The estimate for an idle engine.
    idle_estimate_ms: f64,
}

impl GeneratorEstimate {
    fn for_home(
        fleet: &Fleet,
        requirements: &Requirements<'_>,
        home: &Upstream,
        now: Instant,
    ) -> Self {
        if !home.is_prefill_only() {
            return Self::default();
        }
        let best = best_generator(fleet, &home.instance.zone, requirements, now);
        best.map_or_else(Self::default, |(_, upstream)| Self {
            ms: fleet.estimate_ms(upstream, Task::Decode, 0),
            idle_estimate_ms: fleet.idle_estimate_ms(upstream, Task::Decode, 0),
        })
    }
}

/// Engines for a prompt in order of preference: its first home, followed by prefill-only engines.
fn homes<'a>(
    parts: &[PromptPart],
    usable: &[(UpstreamKey, &'a Upstream)],
) -> Vec<(UpstreamKey, &'a Upstream)> {
    let key = home_key(parts);
    let mut scored: Vec<_> = usable
        .iter()
        .map(|(at, u)| (home_score(key, u), *at, *u))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut all = scored.into_iter().map(|(_, key, u)| (key, u));
    let first = all.next();
    let others = all.filter(|(_, u)| u.is_prefill_only());
    first.into_iter().chain(others).collect()
}

/// Whether prompts are prefilled only on prefill-only engines, which is the case once these are
/// at least half of the engines. Prefill on an engine that also generates takes twice as long
/// and delays its running answers.
fn has_enough_prefill_engines(fleet: &Fleet, service: ServiceKey) -> bool {
    let engines = fleet
        .iter()
        .filter(|(_, u)| u.service == service && u.is_open());
    let (prefill_only, others): (Vec<_>, Vec<_>) = engines.partition(|(_, u)| u.is_prefill_only());
    prefill_only.len() >= others.len()
}

/// Hash key of a prompt: its last part that other requests may share.
fn home_key(parts: &[PromptPart]) -> u64 {
    let shared = parts.len().checked_sub(2);
    shared.map_or_else(|| fastrand::u64(..), |at| parts[at].id)
}

/// Score of weighted rendezvous hashing. The upstream with the highest score is the home, and
/// each upstream is home to a share of the keys in proportion to its weight.
fn home_score(key: u64, upstream: &Upstream) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&key.to_le_bytes(), upstream.hash);
    // 53 bits fit a float between 0 and 1; adding a half excludes both ends.
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let weight = match upstream.instance.stage {
        Some(Stage::Prefill | Stage::Both) => PREFILL_WEIGHT,
        Some(Stage::Decode) | None => 1.0,
    };
    -weight / unit.ln()
}
