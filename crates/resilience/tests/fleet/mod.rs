//! Simulation of a fleet in virtual time: hosts with a tracker each, engines that run several
//! prompts at once and crash under prompts with certain parts, and a store with rows.

use proptest::prelude::*;
use resilience::crashes::{CrashRecord, CrashTracker, Observation, Run, Source, Subject};
use resilience::{Fingerprint, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

pub const MS: Duration = Duration::from_millis(1);
pub const S: Duration = Duration::from_secs(1);
/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Time after which a host knows that a connection broke because the engine crashed.
const LIVENESS_WINDOW: Duration = Duration::from_millis(100);
/// Interval between exchanges of the hosts, and between reads of the rows.
const EXCHANGE_EVERY: u32 = 2;
const READ_ROWS_EVERY: u32 = 30;
/// Time after which hosts know that no part of a prompt crashes the engine that generates on it.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Requests that an engine runs at once.
const SLOTS: usize = 8;
/// Time at which prompts with crashing parts begin to come, and at which the simulation ends.
pub const ONSET: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(18);

/// Where the crashing parts stand in prompts.
#[derive(Debug, Clone, Copy)]
pub enum Position {
    First,
    Middle,
    /// In the middle, beside parts that are new in each prompt.
    AmongNew,
}

/// A fleet and its load.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub hosts: usize,
    pub engines: usize,
    pub downtime: Duration,
    /// Sound prompts, and prompts with each crashing part, per second.
    pub sound_per_s: u32,
    pub crashing_per_s: u32,
    /// Prompts of another route, whose answers take seconds, per second.
    pub long_per_s: u32,
    /// Number of crashing parts.
    pub crashing_parts: usize,
    pub position: Position,
    /// Datagrams that are lost, of ten.
    pub loss: u32,
    /// Time that answers take at most; some take that long.
    pub max_latency: Duration,
    /// Whether prompts with the part are answered until the onset.
    pub turns_bad: bool,
    /// Engines that end at once for another reason at a time in ms after the onset.
    pub other_ends: Vec<(u64, usize)>,
    /// Whether all hosts are restarted, at a time in ms after the onset.
    pub restart_all: Option<u64>,
}

pub fn scenarios() -> impl Strategy<Value = Scenario> {
    let fleet = (1usize..6, 6usize..16, 300u64..4000, 0u32..4);
    let load = (40u32..100, 2u32..8, 1usize..3, 80u64..1500);
    let position = prop_oneof![
        1 => Just(Position::First),
        2 => Just(Position::Middle),
        1 => Just(Position::AmongNew),
    ];
    let ends = proptest::collection::vec((0u64..10_000, 1usize..5), 0..3);
    let restart = proptest::option::weighted(0.3, 500u64..9000);
    let drawn = (
        any::<u64>(),
        fleet,
        load,
        position,
        (any::<bool>(), 0u32..6),
        ends,
        restart,
    );
    drawn.prop_map(
        |(seed, fleet, load, position, (turns_bad, long_per_s), other_ends, restart_all)| {
            Scenario {
                seed,
                hosts: fleet.0,
                engines: fleet.1,
                downtime: Duration::from_millis(fleet.2),
                loss: fleet.3,
                sound_per_s: load.0,
                crashing_per_s: load.1,
                crashing_parts: load.2,
                max_latency: Duration::from_millis(load.3),
                position,
                turns_bad,
                long_per_s,
                other_ends,
                restart_all,
            }
        },
    )
}

/// A prompt that runs at an engine.
#[derive(Debug, Clone)]
struct Running {
    run: Run,
    /// `None` if the host was killed since.
    host: Option<usize>,
    trial: Option<(Subject, usize)>,
    ends_at: Instant,
    /// When its answer will have been generated for [`SURVIVAL_TIME`].
    survives_at: Option<Instant>,
    /// Whether the engine crashes at that time.
    is_crashing: bool,
}

#[derive(Debug, Default)]
struct Engine {
    start: u32,
    down_until: Option<Instant>,
    running: Vec<Running>,
}

/// What happened to the prompts with a crashing part.
#[derive(Debug, Default, Clone)]
pub struct PartOutcome {
    /// Times of the crashes that it caused.
    pub crashes: Vec<Duration>,
    /// Times at which prompts with it were sent to engines.
    pub sends: Vec<Duration>,
}

/// Outcome of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    pub parts: BTreeMap<u64, PartOutcome>,
    /// Sound prompts: when each came, and whether its answer began at the first attempt.
    pub sound: Vec<(Duration, bool)>,
}

pub struct Fleet {
    scenario: Scenario,
    rng: fastrand::Rng,
    begin: Instant,
    now: Instant,
    hosts: Vec<CrashTracker>,
    engines: Vec<Engine>,
    /// Crashes that hosts will notice.
    unnoticed: Vec<(Instant, usize, Observation)>,
    rows: Vec<CrashRecord>,
    trials: BTreeMap<(Subject, usize), Instant>,
    next: u64,
    outcome: Outcome,
}

/// Parts of the tree: a first part, that of a route with long streams, callers below it, and crashing ones.
const FIRST: u64 = 1;
const LONG: u64 = 2;
const CALLERS: u64 = 10;
const CRASHING: u64 = 100;

pub fn crashing_part(n: usize) -> u64 {
    CRASHING + n as u64
}

pub fn simulate(scenario: &Scenario) -> Outcome {
    let begin = Instant::now() + 10_000 * S;
    let mut fleet = Fleet {
        rng: fastrand::Rng::with_seed(scenario.seed),
        begin,
        now: begin,
        hosts: (0..scenario.hosts)
            .map(|_| CrashTracker::default())
            .collect(),
        engines: (0..scenario.engines).map(|_| Engine::default()).collect(),
        unnoticed: Vec::new(),
        rows: Vec::new(),
        trials: BTreeMap::new(),
        next: 0,
        outcome: Outcome::default(),
        scenario: scenario.clone(),
    };
    for (n, engine) in fleet.engines.iter_mut().enumerate() {
        engine.start = n as u32;
    }
    for step in 0..(END.as_millis() / STEP.as_millis()) as u32 {
        fleet.now = begin + step * STEP;
        fleet.step(step);
    }
    fleet.outcome
}

impl Fleet {
    fn age(&self) -> Duration {
        self.now - self.begin
    }

    fn step(&mut self, step: u32) {
        self.end_requests();
        self.notice_crashes();
        self.other_events();
        if step.is_multiple_of(EXCHANGE_EVERY) {
            self.exchange();
        }
        self.sync_rows(step.is_multiple_of(READ_ROWS_EVERY));
        let is_drawn = |rng: &mut fastrand::Rng, per_s: u32| rng.u32(..100) < per_s;
        if is_drawn(&mut self.rng, self.scenario.sound_per_s) {
            self.send_sound();
        }
        if is_drawn(&mut self.rng, self.scenario.long_per_s) {
            self.send(vec![LONG, CALLERS], false);
        }
        for n in 0..self.scenario.crashing_parts {
            if is_drawn(&mut self.rng, self.scenario.crashing_per_s) {
                self.send_crashing(crashing_part(n));
            }
        }
    }

    fn send_sound(&mut self) {
        let caller = CALLERS + self.rng.u64(..5);
        let begun = self.send(vec![FIRST, caller], false);
        let age = self.age();
        self.outcome.sound.push((age, begun));
    }

    fn send_crashing(&mut self, part: u64) {
        let is_bad = self.age() >= ONSET;
        if !is_bad && !self.scenario.turns_bad {
            return;
        }
        let (caller, new) = (CALLERS + self.rng.u64(..5), 1_000_000 + 2 * self.next);
        let parts = match self.scenario.position {
            Position::First => vec![part, caller],
            Position::Middle => vec![FIRST, part, caller],
            Position::AmongNew => vec![FIRST, new, part, new + 1],
        };
        if self.send(parts, is_bad) && is_bad {
            let age = self.age();
            self.outcome.parts.entry(part).or_default().sends.push(age);
        }
    }

    /// Sends a prompt to a host. Returns whether it reached an engine.
    fn send(&mut self, parts: Vec<u64>, is_crashing: bool) -> bool {
        self.next += 1;
        let run = Run::new(Fingerprint(self.next.into()), parts);
        let host = self.rng.usize(..self.hosts.len());
        let Some((is_isolated, trial)) = self.admit(host, &run) else {
            return false;
        };
        let now = self.now;
        let is_up = |e: &Engine| e.down_until.is_none() && e.running.len() < SLOTS;
        let mut up: Vec<usize> = (0..self.engines.len())
            .filter(|n| is_up(&self.engines[*n]))
            .collect();
        self.rng.shuffle(&mut up);
        if is_isolated {
            up.sort_by_key(|n| self.engines[*n].running.len());
        }
        let Some(n) = up.first() else {
            if let Some((subject, number)) = trial {
                self.trials.remove(&(subject, number));
                self.hosts[host].trial_returned(subject, number);
            }
            return false;
        };
        let latency = match (is_crashing, self.rng.u32(..10)) {
            (true, _) => self.rng.u32(20..110) * MS,
            _ if run.parts[0] == LONG => self.rng.u32(3000..6000) * MS,
            (false, 0) => self.scenario.max_latency,
            (false, _) => self.rng.u32(40..160) * MS,
        };
        self.engines[*n].running.push(Running {
            run,
            host: Some(host),
            trial,
            ends_at: now + latency,
            survives_at: Some(now + SURVIVAL_TIME),
            is_crashing,
        });
        true
    }

    /// Decides as a host does before each send: whether to isolate the prompt, and its trial.
    fn admit(&mut self, host: usize, run: &Run) -> Option<(bool, Option<(Subject, usize)>)> {
        let now = self.now;
        let tracker = &mut self.hosts[host];
        tracker.update_explanation(now);
        let (subject, verdict) = match tracker.part_verdict(&run.parts, now) {
            Some((blocked, verdict)) => (Subject::Part(blocked.part), verdict),
            None => (run.request.into(), tracker.verdict(run.request, now)),
        };
        match verdict {
            Verdict::Allowed => Some((tracker.has_suspected_part(&run.parts), None)),
            Verdict::Suspected => Some((true, None)),
            Verdict::Blocked(_) => None,
            Verdict::Trial(number, _) => {
                tracker.trial_requested(subject, now);
                let is_taken = self.trials.contains_key(&(subject, number));
                tracker.trial_taken(subject, number, now);
                if is_taken {
                    return None;
                }
                self.trials.insert((subject, number), now);
                Some((true, Some((subject, number))))
            }
        }
    }

    fn end_requests(&mut self) {
        for n in 0..self.engines.len() {
            if self.engines[n].down_until.is_some_and(|at| at <= self.now) {
                self.engines[n].down_until = None;
                self.engines[n].start += self.engines.len() as u32;
            }
            let now = self.now;
            let due = |r: &Running| r.ends_at <= now;
            if let Some(cause) = self.engines[n]
                .running
                .iter()
                .find(|r| r.is_crashing && due(r))
            {
                let cause = cause.run.parts.clone();
                let age = self.age();
                for (part, outcome) in &mut self.outcome.parts {
                    if cause.contains(part) {
                        outcome.crashes.push(age);
                    }
                }
                self.crash_engine(n);
                continue;
            }
            self.note_survivals(n);
            let (ended, running) = std::mem::take(&mut self.engines[n].running)
                .into_iter()
                .partition(due);
            self.engines[n].running = running;
            for Running { run, host, .. } in ended as Vec<Running> {
                host.into_iter()
                    .for_each(|host| self.answer(host, run.clone()));
            }
        }
    }

    fn note_survivals(&mut self, n: usize) {
        let now = self.now;
        let running = self.engines[n].running.iter_mut();
        for r in running.filter(|r| r.survives_at.is_some_and(|at| at <= now)) {
            r.survives_at = None;
            let Some(host) = r.host else { continue };
            let observation = Observation::Answer {
                request: None,
                parts: r.run.parts.clone(),
                at: now,
            };
            self.hosts[host].apply(observation, Source::Local, true, now);
        }
    }

    fn answer(&mut self, host: usize, run: Run) {
        let (now, tracker) = (self.now, &mut self.hosts[host]);
        if tracker.is_empty() {
            tracker.record_answered_parts(run.parts.iter().copied(), now);
            return;
        }
        tracker.apply(Observation::answer(run, now), Source::Local, true, now);
    }

    fn crash_engine(&mut self, n: usize) {
        let engine = &mut self.engines[n];
        engine.down_until = Some(self.now + self.scenario.downtime);
        for running in std::mem::take(&mut engine.running) {
            let Some(host) = running.host else { continue };
            let observation = Observation::Crash {
                run: running.run,
                upstream: engine.start,
                at: self.now,
                in_trial: running.trial.is_some(),
            };
            let at = self.now + LIVENESS_WINDOW;
            self.unnoticed.push((at, host, observation));
        }
    }

    fn notice_crashes(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unnoticed)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.unnoticed = rest;
        for (_, host, observation) in due {
            self.hosts[host].apply(observation, Source::Local, true, now);
        }
    }

    /// Ends of engines for other reasons, and restarts of all hosts.
    fn other_events(&mut self) {
        let age = self.age();
        let is_now = |ms: u64| {
            let at = ONSET + Duration::from_millis(ms);
            (at..at + STEP).contains(&age)
        };
        let ends = self.scenario.other_ends.clone();
        for count in ends.iter().filter(|(ms, _)| is_now(*ms)).map(|(_, n)| *n) {
            for n in 0..count.min(self.engines.len()) {
                if self.engines[n].down_until.is_none() {
                    self.crash_engine(n);
                }
            }
        }
        if self.scenario.restart_all.is_some_and(is_now) {
            for host in &mut self.hosts {
                *host = CrashTracker::default();
            }
            // What ran is lost with its host.
            self.unnoticed.clear();
            for engine in &mut self.engines {
                engine.running.retain(|r| r.is_crashing);
                engine.running.iter_mut().for_each(|r| r.host = None);
            }
            self.read_rows();
        }
    }

    fn exchange(&mut self) {
        let now = self.now;
        for from in 0..self.hosts.len() {
            for observation in self.hosts[from].due_observations(now) {
                for to in (0..self.hosts.len()).filter(|to| *to != from) {
                    if self.rng.u32(..10) >= self.scenario.loss {
                        let observation = observation.clone();
                        self.hosts[to].apply(observation, Source::Peer, false, now);
                    }
                }
            }
        }
    }

    fn sync_rows(&mut self, is_read: bool) {
        let now = self.now;
        for host in &mut self.hosts {
            host.update_explanation(now);
            for record in host.unrecorded(2, None, 32) {
                host.set_recorded(&record, true);
                let is_same = |r: &CrashRecord| {
                    (r.run.request, r.upstream) == (record.run.request, record.upstream)
                };
                self.rows.retain(|r| !is_same(r));
                self.rows.push(record);
            }
            for record in host.obsolete_records(None, 32) {
                host.set_recorded(&record, false);
                self.rows.retain(|r| {
                    (r.run.request, r.upstream) != (record.run.request, record.upstream)
                });
                for subject in record.run.subjects() {
                    self.trials.retain(|(tried, _), _| *tried != subject);
                }
            }
        }
        if is_read {
            self.read_rows();
        }
    }

    fn read_rows(&mut self) {
        let now = self.now;
        for host in &mut self.hosts {
            let known: BTreeSet<_> = self
                .rows
                .iter()
                .map(|r| (r.run.request, r.upstream))
                .collect();
            for gone in host.recorded() {
                if !known.contains(&(gone.run.request, gone.upstream)) {
                    host.remove_crash(gone.run.request, gone.upstream);
                }
            }
            for row in &self.rows {
                let observation = Observation::Crash {
                    run: row.run.clone(),
                    upstream: row.upstream,
                    at: row.at,
                    in_trial: row.in_trial,
                };
                host.apply(observation, Source::Store, false, now);
            }
            host.update_explanation(now + S);
            for ((subject, number), at) in &self.trials {
                host.trial_taken(*subject, *number, *at);
            }
        }
    }
}
