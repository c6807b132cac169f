//! Where a prompt is read.
//!
//! A prompt's shared parts are worth most where they are cached, so all processes
//! agree, without talking, on a home for each: rendezvous hashing of the last shared
//! part over the service's engines, weighted by what each can read. A second home
//! takes prompts whose first has a queue, and fetches the shared parts from there.

use super::{
    Choice, Plan, Requirements, best_generator, can_generate, candidates, plan, retry_after,
};
use crate::fleet::latency::Task;
use crate::fleet::{Fleet, ServiceKey, Upstream, UpstreamKey};
use platform::{PromptPart, Stage};
use std::net::SocketAddr;
use std::time::Instant;

/// Share of homes of an engine that only reads prompts, against one that also
/// generates: it reads some 2.3 times as fast and has no long answers beside. With
/// a weight of 2, a quarter of the prompts at generating engines was refused on
/// loaded days, and one in fourteen at the others; 3.2 earns 0.02 to 0.03 more of what is owed.
pub const PREFILL_WEIGHT: f64 = 3.2;
/// Part of the latency target that a prompt may wait before its own reading, however
/// long that takes: the largest prompts of a class are late even at an idle engine,
/// and a late answer is better for their callers than none.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Engines at which a prompt may be read: its home, and another when that has a queue.
/// A second one earns 0.03 more of what is owed where reading binds. With three, or at
/// any reader, more is read again than the shorter queues gain.
const MAX_HOMES: usize = 2;

/// The prompt's home, if it hasn't too much to do.
pub(super) fn choose_home(fleet: &Fleet, need: &Requirements<'_>, now: Instant) -> Choice {
    let can_split = candidates(fleet, need, now).any(|(_, u)| can_generate(u));
    let at_prefill_only = can_split && has_enough_prefill_engines(fleet, need.service);
    let usable = |u: &Upstream| match can_generate(u) {
        true => !at_prefill_only,
        false => can_split,
    };
    let usable: Vec<_> = candidates(fleet, need, now)
        .filter(|(_, u)| usable(u))
        .collect();
    let mut best: Option<Candidate> = None;
    let homes = homes(need.parts, &usable);
    let first = homes.first().map(|(_, u)| *u);
    for home in homes.into_iter().take(MAX_HOMES) {
        let holder = first.filter(|f| f.hash != home.1.hash);
        let candidate = Candidate::evaluate(fleet, need, home, holder, now);
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
    Choice::Busy(plan.inputs, retry_after(plan.inputs.estimate_ms))
}

/// A prompt read at one of its homes.
struct Candidate {
    plan: Plan,
    /// Its estimate, and the time for what must be read there anew, which others
    /// wait for.
    cost_ms: f64,
    /// Of the estimate, what the engine takes that generates.
    generator_ms: f64,
}

impl Candidate {
    /// A prompt at a home. `holder` is its first home if this is another one.
    fn evaluate(
        fleet: &Fleet,
        need: &Requirements<'_>,
        (key, home): (UpstreamKey, &Upstream),
        holder: Option<&Upstream>,
        now: Instant,
    ) -> Self {
        let task = match home.is_prefill_only() {
            true => Task::Prefill,
            false => Task::Generate,
        };
        let fetch = CacheFetch::between(fleet, need.parts, home, holder);
        let uncached = fetch.uncached;
        let mut plan = plan(fleet, key, home, need, task, uncached);
        let generator = GeneratorEstimate::for_home(fleet, need, home, now);
        plan.fetch_from = fetch.from;
        plan.inputs.estimate_ms += fetch.ms + generator.ms;
        plan.inputs.generator_ms = generator.ms;
        let idle_estimate_ms =
            fleet.idle_estimate_ms(home, task, uncached) + generator.idle_estimate_ms;
        let late_ms =
            idle_estimate_ms + need.latency_target.as_secs_f64() * 1000.0 * MAX_WAIT_FRACTION;
        plan.inputs.admit_ms = plan.inputs.admit_ms.max(late_ms);
        let own = need.unshared_tokens();
        let repeated_ms =
            fleet.estimate_ms(home, task, uncached) - fleet.estimate_ms(home, task, own);
        Self {
            cost_ms: plan.inputs.estimate_ms + repeated_ms + fetch.ms,
            generator_ms: generator.ms,
            plan,
        }
    }

    /// Whether a second home is so much sooner than the first that it is worth
    /// while: by more than what is read anew there, and by more than the wait for a
    /// generator, for which a prompt that is read sooner would only wait longer.
    fn is_better_than(&self, first: &Self) -> bool {
        first.cost_ms - self.cost_ms > self.generator_ms
    }
}

/// What an engine other than the first home gets from there.
struct CacheFetch {
    from: Option<SocketAddr>,
    /// Time that the move takes.
    ms: f64,
    /// Tokens that are left to read.
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

/// What the generator takes of the time to the first event of a prompt that is read
/// at a home; nothing where the home generates itself.
#[derive(Default)]
struct GeneratorEstimate {
    ms: f64,
    /// The same if it were idle.
    idle_estimate_ms: f64,
}

impl GeneratorEstimate {
    fn for_home(fleet: &Fleet, need: &Requirements<'_>, home: &Upstream, now: Instant) -> Self {
        if !home.is_prefill_only() {
            return Self::default();
        }
        let best = best_generator(fleet, &home.instance.zone, need, now);
        best.map_or_else(Self::default, |(_, upstream)| Self {
            ms: fleet.estimate_ms(upstream, Task::Decode, 0),
            idle_estimate_ms: fleet.idle_estimate_ms(upstream, Task::Decode, 0),
        })
    }
}

/// Homes of a prompt, by their rank: the first, where its shared parts are read, and
/// others that only read, for when the first has too much to do.
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

/// Whether prompts are read at engines that only read, and nowhere else: so it is
/// once at least half of the engines do. Beside answers a prompt is read at half
/// the speed, and each answer there waits for it.
fn has_enough_prefill_engines(fleet: &Fleet, service: ServiceKey) -> bool {
    let engines = fleet
        .iter()
        .filter(|(_, u)| u.service == service && u.is_open());
    let (prefill_only, others): (Vec<_>, Vec<_>) = engines.partition(|(_, u)| u.is_prefill_only());
    prefill_only.len() >= others.len()
}

/// The part that decides the home: the last that other requests may share.
fn home_key(parts: &[PromptPart]) -> u64 {
    let shared = parts.len().checked_sub(2);
    shared.map_or_else(|| fastrand::u64(..), |at| parts[at].id)
}

/// Weighted rendezvous hashing: the upstream with the highest score is the home,
/// and each gets a share of homes by its weight.
fn home_score(key: u64, upstream: &Upstream) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&key.to_le_bytes(), upstream.hash);
    // NB: 53 bits make a float between 0 and 1; the half keeps it off both ends.
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let weight = match upstream.instance.stage {
        Some(Stage::Prefill | Stage::Both) => PREFILL_WEIGHT,
        Some(Stage::Decode) | None => 1.0,
    };
    -weight / unit.ln()
}
