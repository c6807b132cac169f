//! How many engines of a service read prompts, and how many generate.
//!
//! Nothing here talks to anybody. What is observed is occupancy: how many
//! engines have a prompt to read, and how many answers are generated at once.
//! Both need no figure of the engines' speed, and all processes' load counts.
//! An engine that changes its stage is away for seconds, so the division follows
//! lasting demand only; short swings are left to routing.

pub mod orders;

use platform::Stage;
use std::time::Duration;

/// Reading of an engine that also generates, against one that only reads: it
/// reads at half the speed.
const GENERATOR_PREFILL_SPEED: f64 = 0.5;
/// Time over which occupancy is averaged: some 60 prompts at the smallest fleet,
/// and half of the time that a change takes.
const AVERAGING_TIME: Duration = Duration::from_millis(1500);
/// Time in which the remembered peak of answers falls by two thirds. Bursts of
/// the users' days last up to 14 s.
const PEAK_DECAY_TIME: Duration = Duration::from_secs(20);
/// Occupancy of the readers over which more are wanted. At half, a prompt waits
/// for as long as it is read, by the mean of a queue with chance arrivals.
const PREFILL_FULL_OCCUPANCY: f64 = 0.5;
/// Occupancy that a new division is to have: the larger prompts of a class are
/// read for ten times the mean, and wait for each other.
const PREFILL_TARGET_OCCUPANCY: f64 = 0.4;
/// Part of the slots at generators that the peak of answers may take after a
/// change: twice the peak with a third of the generators lost still fits.
const SLOTS_TARGET_FRACTION: f64 = 0.3;
/// Part of the slots over which generators are too few.
const SLOTS_FULL_FRACTION: f64 = 0.95;
/// Part of the engines that goes on generating in any case. With a quarter calm
/// days earn 0.02 more, and days that lose engines 0.03 to 0.06 less.
const MIN_GENERATORS_FRACTION: f64 = 1.0 / 3.0;
/// Part of the engines under which generators are brought back, as after a loss.
const RESTORE_GENERATORS_FRACTION: f64 = 1.0 / 6.0;
/// Answers that one reader keeps running, until the demand is seen: a prompt of
/// 0.1 s and its answer of 0.8 s make 8; twice that for bursts.
const INITIAL_ANSWERS_PER_PREFILL_ENGINE: f64 = 16.0;
/// Part of the engines by which a division must be off before the first request,
/// when a change costs its order alone, and under load.
const MIN_INITIAL_CHANGE_FRACTION: f64 = 0.2;
const MIN_CHANGE_FRACTION: f64 = 0.125;
/// Most of the engines that are away at once under load.
const MAX_AWAY_FRACTION: f64 = 0.25;
/// Time without any request or new engine after which the system is taken to stand
/// ready: engines write their entries each 1.2 s, and reads of them lag by 0.6 s.
const MIN_IDLE: Duration = Duration::from_millis(2000);
/// Time that demand is watched before an order rests on it.
const MIN_OBSERVED: Duration = Duration::from_millis(2500);
/// Time for which the readers must be full: as long as a change takes, and longer
/// than the swings of 2.8 s that the users' days have.
const MIN_FULL: Duration = Duration::from_millis(3000);

/// One engine at one moment, with the load of all processes.
#[derive(Debug, Clone, Copy)]
pub struct EngineUse {
    /// Whether it only reads prompts.
    pub is_prefill_only: bool,
    /// Whether a prompt waits or is read there.
    pub is_prefilling: bool,
    /// Answers that are generated there.
    pub generating: u32,
}

/// How a service's engines are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Division {
    /// Engines that only read prompts.
    pub prefill_engines: u32,
    /// Engines that generate.
    pub generators: u32,
    /// Requests that each engine runs at once.
    pub slots: u32,
}

/// What a wanted division rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// No request has come yet; the engines' slots alone.
    Slots,
    /// Readers are full, and generators are not.
    Prefilling,
    /// Generators are too few.
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

/// A division that is better than the one that is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WantedChange {
    /// Engines that should change now.
    pub changes: u32,
    /// The stage that they should have.
    pub stage: Stage,
    /// What it rests on.
    pub basis: Basis,
}

/// What was observed of a service's demand.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// Reading, as so many readers at work all the time.
    pub prefilling: f64,
    /// Answers that are generated at once.
    pub generating: f64,
    /// The most of these, fading.
    pub peak: f64,
    /// Engines at the last sample.
    engines: u32,
    /// Time that was watched before the first request, with the same engines.
    idle_for: Duration,
    /// Time that was watched since.
    observed_for: Duration,
    /// Time for which the readers have been full.
    full_for: Duration,
}

impl Demand {
    /// Takes the engines' use at a moment, which stands for the time since the last.
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

    /// The change of a division that the demand speaks for, if any. `is_first_start`
    /// says that the whole system is starting, so that no request ran before.
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
        // Without any generator nothing is served; one is brought back however few
        // engines there are.
        wanted.or((now.generators == 0).then_some(WantedChange {
            changes: 1,
            stage: Stage::Decode,
            basis: Basis::Generating,
        }))
    }
}

impl Division {
    /// All engines.
    pub fn engines(self) -> u32 {
        self.prefill_engines + self.generators
    }

    fn fraction(self, fraction: f64) -> f64 {
        f64::from(self.engines()) * fraction
    }

    /// Engines that must go on generating at a peak of answers.
    fn min_generators(self, peak: f64) -> u32 {
        let by_slots = peak / (SLOTS_TARGET_FRACTION * f64::from(self.slots.max(1)));
        by_slots.max(self.fraction(MIN_GENERATORS_FRACTION)).ceil() as u32
    }

    /// The division for a start, by the engines' slots: deep batches let few
    /// engines generate for many that read.
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
