//! Decides how many engines of a service prefill prompts, and how many generate answers.
//!
//! This module does no I/O. It observes occupancy: how many engines have prompts to prefill, and
//! how many answers are generated at once. Occupancy requires no figures of the engines' speed,
//! and includes the load of all processes. An engine that changes its stage is unavailable for
//! seconds, so the division follows only lasting changes of demand; short ones are left to the
//! choice of upstreams.

pub mod orders;

use platform::Stage;
use std::time::Duration;

/// Prefill speed of an engine that also generates, relative to a prefill-only engine.
const GENERATOR_PREFILL_SPEED: f64 = 0.5;
/// Time constant of the averaged occupancy: about 60 prompts in the smallest fleet, and half of
/// the time that a stage change takes.
const AVERAGING_TIME: Duration = Duration::from_millis(1500);
/// Time in which the remembered peak of answers falls by two thirds. Bursts last up to 14 s.
const PEAK_DECAY_TIME: Duration = Duration::from_secs(20);
/// Occupancy of prefill engines above which more are needed. By queueing theory for random
/// arrivals, a prompt then waits on average as long as its prefill takes.
const PREFILL_FULL_OCCUPANCY: f64 = 0.5;
/// Occupancy of prefill engines after a change. The larger prompts of a class take ten times as
/// long as the mean, and delay each other.
const PREFILL_TARGET_OCCUPANCY: f64 = 0.4;
/// Fraction of the generators' slots that the peak of answers may take after a change. Twice the
/// peak still fits when a third of the generators is lost.
const SLOTS_TARGET_FRACTION: f64 = 0.3;
/// Fraction of the generators' slots above which more generators are needed.
const SLOTS_FULL_FRACTION: f64 = 0.95;
/// Minimum fraction of the engines that generate. A quarter is slightly better when the load is
/// low, but worse when engines fail.
const MIN_GENERATORS_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of the engines below which generators are restored, for example after failures.
const RESTORE_GENERATORS_FRACTION: f64 = 1.0 / 6.0;
/// Expected concurrent answers per prefill engine before demand was observed: a prefill of 0.1 s
/// and an answer of 0.8 s make 8, which is doubled for bursts.
const INITIAL_ANSWERS_PER_PREFILL_ENGINE: f64 = 16.0;
/// Minimum change as a fraction of the engines: before the first request, when a change costs no
/// more than its order, and under load.
const MIN_INITIAL_CHANGE_FRACTION: f64 = 0.2;
const MIN_CHANGE_FRACTION: f64 = 0.125;
/// Maximum fraction of the engines that change at once under load.
const MAX_AWAY_FRACTION: f64 = 0.25;
/// Time without requests and new engines after which the fleet is assumed to be complete. Engines
/// write their registry entries every 1.2 s, and reads lag by 0.6 s.
const MIN_IDLE: Duration = Duration::from_millis(2000);
/// Minimum time for which demand is observed before a change.
const MIN_OBSERVED: Duration = Duration::from_millis(2500);
/// Minimum time for which the prefill engines must be full: as long as a change takes, and longer
/// than short-term variations of 2.8 s in the load.
const MIN_FULL: Duration = Duration::from_millis(3000);

/// Use of one engine at one time, including the load from all processes.
#[derive(Debug, Clone, Copy)]
pub struct EngineUse {
    /// Whether it only prefills prompts.
    pub is_prefill_only: bool,
    /// Whether a prompt is prefilled or waits for it.
    pub is_prefilling: bool,
    /// Number of answers that are being generated.
    pub generating: u32,
}

/// Division of a service's engines between the stages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Division {
    /// Number of prefill-only engines.
    pub prefill_engines: u32,
    /// Number of engines that generate.
    pub generators: u32,
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
}

/// Reason for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// The engines' number of slots, before the first request.
    Slots,
    /// The prefill engines are full, and the generators are not.
    Prefilling,
    /// There are too few generators.
    Generating,
}

impl Basis {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Prefilling => "reading",
            Self::Generating => "generating",
        }
    }
}

/// A change to a better division.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WantedChange {
    /// Number of engines to change now.
    pub changes: u32,
    /// New stage of these engines.
    pub stage: Stage,
    /// Reason for the change.
    pub basis: Basis,
}

/// Observed demand of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// Average prefill load, in prefill-only engines that are constantly busy.
    pub prefilling: f64,
    /// Average number of answers that are generated concurrently.
    pub generating: f64,
    /// Decaying peak of that number.
    pub peak: f64,
    /// Number of engines at the last sample.
    engines: u32,
    /// Time of observation before the first request, without a change of the number of engines.
    idle_for: Duration,
    /// Time of observation since the first request.
    observed_for: Duration,
    /// Time for which the prefill engines have been full.
    full_for: Duration,
}

impl Demand {
    /// Adds a sample of the engines' use, which counts for the time since the last one.
    pub fn sample(&mut self, engines: impl Iterator<Item = EngineUse>, since: Duration) {
        let (mut prefilling, mut generating) = (0.0, 0.0);
        let before = std::mem::take(&mut self.engines);
        let mut prefill_engines = 0.0;
        for engine in engines {
            self.engines += 1;
            prefill_engines += f64::from(u8::from(engine.is_prefill_only));
            let prefill_speed = match engine.is_prefill_only {
                true => 1.0,
                false => GENERATOR_PREFILL_SPEED,
            };
            prefilling += prefill_speed * f64::from(u8::from(engine.is_prefilling));
            generating += f64::from(engine.generating);
        }
        let has_load = prefilling + generating > 0.0;
        if self.observed_for.is_zero() && !has_load {
            self.idle_for = match self.engines == before {
                true => self.idle_for + since,
                false => Duration::ZERO,
            };
            return;
        }
        self.observed_for += since;
        let weight = 1.0 - (-since.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.prefilling += (prefilling - self.prefilling) * weight;
        self.generating += (generating - self.generating) * weight;
        self.full_for = match self.prefilling > PREFILL_FULL_OCCUPANCY * prefill_engines {
            true => self.full_for + since,
            false => Duration::ZERO,
        };
        let decay = (-since.as_secs_f64() / PEAK_DECAY_TIME.as_secs_f64()).exp();
        self.peak = (self.peak * decay).max(generating);
    }

    /// Returns the change that the demand requires, if any. `is_first_start` is true if the whole
    /// system is starting, so that there were no requests before.
    pub fn wanted_change(&self, now: Division, is_first_start: bool) -> Option<WantedChange> {
        if now.engines() < 2 {
            return None;
        }
        if self.observed_for.is_zero() {
            let may_change = is_first_start && self.idle_for >= MIN_IDLE;
            return may_change.then(|| now.initial_change()).flatten();
        }
        if self.observed_for < MIN_OBSERVED {
            return None;
        }
        self.more_generators(now)
            .or_else(|| self.more_prefill_engines(now))
    }

    fn more_prefill_engines(&self, now: Division) -> Option<WantedChange> {
        if self.full_for < MIN_FULL {
            return None;
        }
        let needed = (self.prefilling / PREFILL_TARGET_OCCUPANCY).ceil() as u32;
        let min_generators = now.min_generators(self.peak);
        let changes = needed
            .saturating_sub(now.prefill_engines)
            .min(now.generators.saturating_sub(min_generators));
        now.change_under_load(changes, Stage::Prefill, Basis::Prefilling)
    }

    fn more_generators(&self, now: Division) -> Option<WantedChange> {
        let slots = f64::from(now.generators * now.slots);
        let is_full = self.generating > SLOTS_FULL_FRACTION * slots;
        let has_little_prefill =
            self.prefilling < PREFILL_TARGET_OCCUPANCY * f64::from(now.prefill_engines) / 2.0;
        let too_few_left = f64::from(now.generators) < now.fraction(RESTORE_GENERATORS_FRACTION);
        if !(too_few_left || is_full && has_little_prefill) {
            return None;
        }
        let min_generators = now.min_generators(self.peak).min(now.engines() - 1);
        let changes = min_generators
            .saturating_sub(now.generators)
            .min(now.prefill_engines);
        let wanted = now.change_under_load(changes, Stage::Decode, Basis::Generating);
        // Nothing can be served without a generator, so one is restored even in the smallest
        // fleet.
        wanted.or((now.generators == 0).then_some(WantedChange {
            changes: 1,
            stage: Stage::Decode,
            basis: Basis::Generating,
        }))
    }
}

impl Division {
    /// Number of all engines.
    pub fn engines(self) -> u32 {
        self.prefill_engines + self.generators
    }

    fn fraction(self, fraction: f64) -> f64 {
        f64::from(self.engines()) * fraction
    }

    /// Minimum number of generators for a peak of answers.
    fn min_generators(self, peak: f64) -> u32 {
        let by_slots = peak / (SLOTS_TARGET_FRACTION * f64::from(self.slots.max(1)));
        by_slots.max(self.fraction(MIN_GENERATORS_FRACTION)).ceil() as u32
    }

    /// Change before the first request, according to the engines' slots. The more requests an
    /// engine runs concurrently, the fewer generators are needed per prefill engine.
    fn initial_change(self) -> Option<WantedChange> {
        let slots = f64::from(self.slots.max(1));
        let by_slots = self.fraction(
            INITIAL_ANSWERS_PER_PREFILL_ENGINE / (INITIAL_ANSWERS_PER_PREFILL_ENGINE + slots),
        );
        let min_generators = by_slots.max(self.fraction(MIN_GENERATORS_FRACTION)).ceil() as u32;
        let changes = self.generators.saturating_sub(min_generators);
        (f64::from(changes) >= self.fraction(MIN_INITIAL_CHANGE_FRACTION).max(1.0)).then_some(
            WantedChange {
                changes,
                stage: Stage::Prefill,
                basis: Basis::Slots,
            },
        )
    }

    fn change_under_load(self, changes: u32, stage: Stage, basis: Basis) -> Option<WantedChange> {
        if f64::from(changes) < self.fraction(MIN_CHANGE_FRACTION).max(1.0) {
            return None;
        }
        let limit = self.fraction(MAX_AWAY_FRACTION).floor().max(1.0) as u32;
        Some(WantedChange {
            changes: changes.min(limit),
            stage,
            basis,
        })
    }
}
