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
const GENERATOR_READS: f64 = 0.5;
/// Time over which occupancy is averaged: some 60 prompts at the smallest fleet,
/// and half of the time that a change takes.
const AVERAGED_OVER: Duration = Duration::from_millis(1500);
/// Time in which the remembered peak of answers falls by two thirds. Bursts of
/// the users' days last up to 14 s.
const PEAK_FADES: Duration = Duration::from_secs(20);
/// Occupancy of the readers over which more are wanted. At half, a prompt waits
/// for as long as it is read, by the mean of a queue with chance arrivals.
const READERS_FULL: f64 = 0.5;
/// Occupancy that a new division is to have: the larger prompts of a class are
/// read for ten times the mean, and wait for each other.
const READERS_AIM: f64 = 0.4;
/// Part of the slots at generators that the peak of answers may take after a
/// change: twice the peak with a third of the generators lost still fits.
const SLOTS_AIM: f64 = 0.3;
/// Part of the slots over which generators are too few.
const SLOTS_FULL: f64 = 0.95;
/// Part of the engines that goes on generating in any case. With a quarter calm
/// days earn 0.02 more, and days that lose engines 0.03 to 0.06 less.
const GENERATORS_KEPT: f64 = 1.0 / 3.0;
/// Part of the engines under which generators are brought back, as after a loss.
const GENERATORS_LEAST: f64 = 1.0 / 6.0;
/// Answers that one reader keeps running, until the demand is seen: a prompt of
/// 0.1 s and its answer of 0.8 s make 8; twice that for bursts.
const START_ANSWERS: f64 = 16.0;
/// Part of the engines by which a division must be off before the first request,
/// when a change costs its order alone, and under load.
const START_CHANGE: f64 = 0.2;
const LEAST_CHANGE: f64 = 0.125;
/// Most of the engines that are away at once under load.
const MOST_AWAY: f64 = 0.25;
/// Time without any request or new engine after which the system is taken to stand
/// ready: engines write their entries each 1.2 s, and reads of them lag by 0.6 s.
const IDLE: Duration = Duration::from_millis(2000);
/// Time that demand is watched before an order rests on it.
const WATCHED: Duration = Duration::from_millis(2500);
/// Time for which the readers must be full: as long as a change takes, and longer
/// than the swings of 2.8 s that the users' days have.
const FULL_FOR: Duration = Duration::from_millis(3000);

/// One engine at one moment, with the load of all processes.
#[derive(Debug, Clone, Copy)]
pub struct EngineUse {
    /// Whether it only reads prompts.
    pub reads_only: bool,
    /// Whether a prompt waits or is read there.
    pub is_reading: bool,
    /// Answers that are generated there.
    pub generating: u32,
}

/// How a service's engines are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Division {
    /// Engines that only read prompts.
    pub readers: u32,
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
    Reading,
    /// Generators are too few.
    Generating,
}

impl Basis {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Reading => "reading",
            Self::Generating => "generating",
        }
    }
}

/// A division that is better than the one that is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wanted {
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
    pub reading: f64,
    /// Answers that are generated at once.
    pub generating: f64,
    /// The most of these, fading.
    pub peak: f64,
    /// Engines at the last sample.
    engines: u32,
    /// Time that was watched before the first request, with the same engines.
    idle: Duration,
    /// Time that was watched since.
    watched: Duration,
    /// Time for which the readers have been full.
    full: Duration,
}

impl Demand {
    /// Takes the engines' use at a moment, which stands for the time since the last.
    pub fn sample(&mut self, engines: impl Iterator<Item = EngineUse>, since: Duration) {
        let (mut reading, mut generating) = (0.0, 0.0);
        let before = std::mem::take(&mut self.engines);
        let mut readers = 0.0;
        for engine in engines {
            self.engines += 1;
            readers += f64::from(u8::from(engine.reads_only));
            let speed = match engine.reads_only {
                true => 1.0,
                false => GENERATOR_READS,
            };
            reading += speed * f64::from(u8::from(engine.is_reading));
            generating += f64::from(engine.generating);
        }
        let has_load = reading + generating > 0.0;
        if self.watched.is_zero() && !has_load {
            self.idle = match self.engines == before {
                true => self.idle + since,
                false => Duration::ZERO,
            };
            return;
        }
        self.watched += since;
        let part = 1.0 - (-since.as_secs_f64() / AVERAGED_OVER.as_secs_f64()).exp();
        self.reading += (reading - self.reading) * part;
        self.generating += (generating - self.generating) * part;
        self.full = match self.reading > READERS_FULL * readers {
            true => self.full + since,
            false => Duration::ZERO,
        };
        let fade = (-since.as_secs_f64() / PEAK_FADES.as_secs_f64()).exp();
        self.peak = (self.peak * fade).max(generating);
    }

    /// The change of a division that the demand speaks for, if any. `is_first_start`
    /// says that the whole system is starting, so that no request ran before.
    pub fn wanted(&self, now: Division, is_first_start: bool) -> Option<Wanted> {
        if now.engines() < 2 {
            return None;
        }
        if self.watched.is_zero() {
            let may_prepare = is_first_start && self.idle >= IDLE;
            return may_prepare.then(|| now.prepared()).flatten();
        }
        if self.watched < WATCHED {
            return None;
        }
        self.more_generators(now).or_else(|| self.more_readers(now))
    }

    fn more_readers(&self, now: Division) -> Option<Wanted> {
        if self.full < FULL_FOR {
            return None;
        }
        let needed = (self.reading / READERS_AIM).ceil() as u32;
        let kept = now.least_generators(self.peak);
        let changes = needed
            .saturating_sub(now.readers)
            .min(now.generators.saturating_sub(kept));
        now.under_load(changes, Stage::Prefill, Basis::Reading)
    }

    fn more_generators(&self, now: Division) -> Option<Wanted> {
        let slots = f64::from(now.generators * now.slots);
        let is_full = self.generating > SLOTS_FULL * slots;
        let reads_little = self.reading < READERS_AIM * f64::from(now.readers) / 2.0;
        let are_lost = f64::from(now.generators) < now.share(GENERATORS_LEAST);
        if !(are_lost || is_full && reads_little) {
            return None;
        }
        let kept = now.least_generators(self.peak).min(now.engines() - 1);
        let changes = kept.saturating_sub(now.generators).min(now.readers);
        let wanted = now.under_load(changes, Stage::Decode, Basis::Generating);
        // Without any generator nothing is served; one is brought back however few
        // engines there are.
        wanted.or((now.generators == 0).then_some(Wanted {
            changes: 1,
            stage: Stage::Decode,
            basis: Basis::Generating,
        }))
    }
}

impl Division {
    /// All engines.
    pub fn engines(self) -> u32 {
        self.readers + self.generators
    }

    fn share(self, part: f64) -> f64 {
        f64::from(self.engines()) * part
    }

    /// Engines that must go on generating at a peak of answers.
    fn least_generators(self, peak: f64) -> u32 {
        let by_slots = peak / (SLOTS_AIM * f64::from(self.slots.max(1)));
        by_slots.max(self.share(GENERATORS_KEPT)).ceil() as u32
    }

    /// The division for a start, by the engines' slots: deep batches let few
    /// engines generate for many that read.
    fn prepared(self) -> Option<Wanted> {
        let slots = f64::from(self.slots.max(1));
        let by_slots = self.share(START_ANSWERS / (START_ANSWERS + slots));
        let kept = by_slots.max(self.share(GENERATORS_KEPT)).ceil() as u32;
        let changes = self.generators.saturating_sub(kept);
        (f64::from(changes) >= self.share(START_CHANGE).max(1.0)).then_some(Wanted {
            changes,
            stage: Stage::Prefill,
            basis: Basis::Slots,
        })
    }

    fn under_load(self, changes: u32, stage: Stage, basis: Basis) -> Option<Wanted> {
        if f64::from(changes) < self.share(LEAST_CHANGE).max(1.0) {
            return None;
        }
        let most = self.share(MOST_AWAY).floor().max(1.0) as u32;
        Some(Wanted {
            changes: changes.min(most),
            stage,
            basis,
        })
    }
}
