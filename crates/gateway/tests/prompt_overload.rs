//! Plays prompts for engines in virtual time, with hosts that report their loads to each other: idle
//! engines that are slow, and overloads.
//!
//! Guards against this failure: engines were idle, but prompts that would have been late were refused
//! as overloaded, and some sessions were never served.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{gateway_with, instance};
use gateway::choose::{Choice, Requirements, choose};
use gateway::fleet::latency::Task;
use gateway::fleet::{PeerLoad, UpstreamKey};
use gateway::state::{Gateway, LoadGuard};
use net::Meter;
use platform::{PromptPart, Stage};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Slots of an engine.
const SLOTS: usize = 8;
/// Time that an answer occupies its slot after the first event.
const GENERATE_MS: u64 = 20;
/// Interval between the reports of hosts.
const REPORT_MS: u64 = 20;
/// Number of times that a caller sends a request at most, and the largest part of its remaining time
/// that it waits as told.
const MAX_TRIES: u32 = 4;
const MAX_WAIT_PART: u64 = 3;
/// Requests of a session that is never served which count.
const COUNTED_REQUESTS: u32 = 4;

/// Engines, hosts and the load of a case.
#[derive(Debug, Clone, Copy)]
struct Case {
    hosts: usize,
    engines: usize,
    /// Requests per second for each engine.
    per_s: f64,
    /// Sessions for each engine.
    sessions: u64,
    target_ms: u64,
    deadline_ms: u64,
    /// Time that an engine needs by itself for the first event, for all requests in parallel.
    first_event_ms: u64,
    /// Time that it needs in addition for each prompt, one after another, by the prompt's tokens.
    prefill_ms: u64,
    played_ms: u64,
}

const TOKENS: u32 = 3000;

/// A request of a caller.
#[derive(Debug, Clone, Copy)]
struct Call {
    session: u64,
    number: u64,
    sent_ms: u64,
    tries: u32,
    /// Size relative to the mean.
    size: f64,
}

enum Event {
    /// A caller sends a request.
    Send(Call),
    /// An engine sends a first event.
    Started(usize, Running),
    /// An answer ends.
    End(usize, LoadGuard),
    Report,
}

struct Running {
    call: Call,
    load: LoadGuard,
    host: usize,
    key: UpstreamKey,
    sent_ms: u64,
    backlog: gateway::fleet::latency::Backlog,
}

#[derive(Default)]
struct Engine {
    running: usize,
    queue: VecDeque<Running>,
    /// Time at which all prompts that were begun have been prefilled.
    prefilled_ms: f64,
}

#[derive(Debug, Default)]
#[expect(dead_code, reason = "some are printed only")]
struct Outcome {
    requests: u32,
    served: u32,
    on_time: u32,
    /// Number of mean prompts that are as large as those that were served.
    work: f64,
    refusals: u32,
    /// Refusals while an engine was idle.
    idle_refusals: u32,
    /// Sessions that were asked for often enough to count, and those of them that were never served.
    sessions: u32,
    never_served: u32,
    /// Parts of the largest tenth of the requests, and of all, that were served.
    large: f64,
    all: f64,
}

struct Sim {
    case: Case,
    hosts: Vec<Arc<Gateway>>,
    engines: Vec<Engine>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: Vec<Option<Event>>,
    now_ms: u64,
    rng: fastrand::Rng,
    /// For each session, how many requests it had and how many were served.
    sessions: Vec<(u32, u32)>,
    /// Size, and whether it was served and on time, for each request.
    done: Vec<(f64, bool, bool)>,
    refusals: u32,
    idle_refusals: u32,
}

impl Sim {
    fn new(case: Case) -> Self {
        let hosts = (0..case.hosts).map(|_| {
            let gateway = gateway_with(&[]);
            for n in 0..case.engines {
                let mut instance = instance(1, Stage::Both);
                instance.id = format!("i-{n}");
                instance.slots = SLOTS as u32;
                gateway.fleet().merge(instance, &Meter::default());
            }
            gateway
        });
        let sessions = case.sessions as usize * case.engines;
        Self {
            hosts: hosts.collect(),
            engines: (0..case.engines).map(|_| Engine::default()).collect(),
            events: BinaryHeap::new(),
            pending: Vec::new(),
            now_ms: 0,
            rng: fastrand::Rng::with_seed(88),
            sessions: vec![(0, 0); sessions],
            done: Vec::new(),
            refusals: 0,
            idle_refusals: 0,
            case,
        }
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.events.push(Reverse((ms, self.pending.len() as u64)));
        self.pending.push(Some(event));
    }

    async fn run(mut self) -> Outcome {
        // For the jitter of retry times.
        fastrand::seed(88);
        let (case, mut ms) = (self.case, 0.0);
        let mut number = 0;
        while ms < case.played_ms as f64 {
            ms += -self.rng.f64().max(1e-9).ln() * 1000.0 / (case.per_s * case.engines as f64);
            number += 1;
            let call = Call {
                session: self.rng.u64(..self.sessions.len() as u64),
                number,
                sent_ms: ms as u64,
                tries: 0,
                size: (self.rng.f64() + self.rng.f64()).powi(2) * 6.0 / 7.0,
            };
            self.at(ms as u64, Event::Send(call));
        }
        self.at(0, Event::Report);
        while let Some(Reverse((at, id))) = self.events.pop() {
            if at > self.now_ms {
                tokio::time::advance(Duration::from_millis(at - self.now_ms)).await;
                self.now_ms = at;
            }
            match self.pending[id as usize].take().expect("each event once") {
                Event::Send(call) => self.send(call),
                Event::Started(engine, running) => self.first_event(engine, running),
                Event::End(engine, load) => {
                    drop(load);
                    self.engines[engine].running -= 1;
                    self.start_next(engine);
                }
                Event::Report => {
                    self.report();
                    if self.now_ms < case.played_ms + case.deadline_ms {
                        self.at(at + REPORT_MS, Event::Report);
                    }
                }
            }
        }
        self.outcome()
    }

    /// Lets each host know the load from the others.
    fn report(&mut self) {
        let mut all = vec![PeerLoad::default(); self.case.engines];
        let mut own = Vec::new();
        for host in &self.hosts {
            let fleet = host.fleet();
            let loads: Vec<_> = fleet.iter().map(|(_, u)| u.load()).collect();
            for (sum, load) in all.iter_mut().zip(&loads) {
                load.iter().for_each(|load| sum.add(load));
            }
            own.push(loads);
        }
        for (host, own) in self.hosts.iter().zip(own) {
            let mut fleet = host.fleet();
            let keys: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
            for ((key, mut sum), own) in keys.into_iter().zip(all.clone()).zip(own) {
                own.iter().for_each(|own| sum.subtract(own));
                fleet.get_mut(key).unwrap().peer_load = sum;
            }
        }
    }

    fn send(&mut self, mut call: Call) {
        call.tries += 1;
        let left = (call.sent_ms + self.case.deadline_ms).saturating_sub(self.now_ms);
        let host = self.rng.usize(..self.hosts.len());
        let gateway = self.hosts[host].clone();
        let tokens = (f64::from(TOKENS) * call.size) as u32 + 1;
        let part = |id, tokens| PromptPart { id, tokens };
        let parts = [
            part(1000 + call.session, 0),
            part(call.number << 32, tokens),
        ];
        let service = gateway.fleet().intern_service("s");
        let requirements = Requirements {
            rank: 0,
            service,
            parts: &parts,
            prompt_tokens: tokens,
            max_output_tokens: 2,
            latency_target: Duration::from_millis(self.case.target_ms),
            is_resumed: false,
            is_isolated: false,
            version: None,
            tried: &[],
            has_permit: false,
        };
        match choose(&gateway, &requirements) {
            Choice::Send(plan) => {
                let engine: usize = plan.instance.trim_start_matches("i-").parse().unwrap();
                let running = Running {
                    call,
                    load: gateway.add_load(plan.key, plan.inputs.uncached, false),
                    host,
                    key: plan.key,
                    sent_ms: self.now_ms,
                    backlog: plan.inputs.backlog,
                };
                self.engines[engine].queue.push_back(running);
                self.start_next(engine);
            }
            Choice::Busy(busy) => {
                self.refusals += 1;
                self.idle_refusals += u32::from(busy.idle_engines > 0);
                let wait = (busy.retry_after.as_millis() as u64).min(left / MAX_WAIT_PART);
                if call.tries < MAX_TRIES && wait > 0 {
                    self.at(self.now_ms + wait, Event::Send(call));
                } else {
                    self.finish(&call, None);
                }
            }
            Choice::Full | Choice::Later(..) | Choice::NoUpstream => unreachable!("engines live"),
        }
    }

    fn start_next(&mut self, engine: usize) {
        while self.engines[engine].running < SLOTS {
            let Some(running) = self.engines[engine].queue.pop_front() else {
                return;
            };
            let of = &mut self.engines[engine];
            of.running += 1;
            let prefill = self.case.prefill_ms as f64 * running.call.size;
            of.prefilled_ms = of.prefilled_ms.max(self.now_ms as f64) + prefill;
            let at = of.prefilled_ms as u64 + self.case.first_event_ms;
            self.at(at, Event::Started(engine, running));
        }
    }

    fn first_event(&mut self, engine: usize, running: Running) {
        let Running { call, mut load, .. } = running;
        load.first_byte_received();
        let took = (self.now_ms - running.sent_ms) as f64;
        let mut fleet = self.hosts[running.host].fleet();
        fleet.record_first_byte(running.key, Task::Generate, running.backlog, took);
        drop(fleet);
        let after = self.now_ms - call.sent_ms;
        self.finish(&call, Some(after).filter(|ms| *ms <= self.case.deadline_ms));
        self.at(self.now_ms + GENERATE_MS, Event::End(engine, load));
    }

    fn finish(&mut self, call: &Call, first_event: Option<u64>) {
        let session = &mut self.sessions[call.session as usize];
        session.0 += 1;
        session.1 += u32::from(first_event.is_some());
        let is_on_time = first_event.is_some_and(|ms| ms <= self.case.target_ms);
        self.done
            .push((call.size, first_event.is_some(), is_on_time));
    }

    fn outcome(mut self) -> Outcome {
        let counted = self.sessions.iter().filter(|(n, _)| *n >= COUNTED_REQUESTS);
        let part = |all: &[(f64, bool, bool)]| {
            all.iter().filter(|(_, is_served, _)| *is_served).count() as f64 / all.len() as f64
        };
        self.done.sort_by(|a, b| b.0.total_cmp(&a.0));
        let largest = &self.done[..self.done.len() / 10];
        let count = |f: fn(&(f64, bool, bool)) -> bool| {
            self.done.iter().filter(|done| f(done)).count() as u32
        };
        Outcome {
            requests: self.done.len() as u32,
            served: count(|done| done.1),
            on_time: count(|done| done.2),
            work: self.done.iter().filter(|d| d.1).map(|d| d.0).sum(),
            refusals: self.refusals,
            idle_refusals: self.idle_refusals,
            sessions: counted.clone().count() as u32,
            never_served: counted.filter(|(_, served)| *served == 0).count() as u32,
            large: part(largest),
            all: part(&self.done),
        }
    }
}

/// Engines that prefill a prompt of mean size in 10 ms, one after another.
const BUSY: Case = Case {
    hosts: 4,
    engines: 9,
    per_s: 100.0,
    sessions: 80,
    target_ms: 120,
    deadline_ms: 2000,
    first_event_ms: 6,
    prefill_ms: 10,
    played_ms: 12_000,
};

/// A third of the slots of slow engines are in use on average.
fn idle_case(hosts: usize, engines: usize, target_ms: u64, first_event_ms: u64) -> Case {
    Case {
        hosts,
        engines,
        per_s: SLOTS as f64 / 3.0 * 1000.0 / (first_event_ms + GENERATE_MS) as f64,
        sessions: 8,
        target_ms,
        first_event_ms,
        prefill_ms: 1,
        played_ms: 10_000,
        ..BUSY
    }
}

#[tokio::test(start_paused = true)]
async fn idle_engines_serve_all_prompts_however_late() {
    for (hosts, engines) in [(3, 1), (4, 9), (59, 30), (190, 64), (629, 216)] {
        for (target_ms, first_event_ms) in [(50, 150), (120, 150), (120, 400), (1500, 1200)] {
            let case = idle_case(hosts, engines, target_ms, first_event_ms);
            let outcome = Sim::new(case).run().await;
            println!("{hosts} hosts, {target_ms}, {first_event_ms} ms: {outcome:?}");
            let served = f64::from(outcome.served) / f64::from(outcome.requests);
            assert!(served >= 0.99, "{case:?}: {outcome:?}");
            assert_eq!(outcome.idle_refusals, 0, "{case:?}: {outcome:?}");
            assert_eq!(outcome.never_served, 0, "{case:?}: {outcome:?}");
        }
    }
}

/// Plays an overload; returns its outcome after the checks that hold at any load.
async fn overload(hosts: usize, engines: usize, load: f64) -> Outcome {
    let case = Case {
        hosts,
        engines,
        per_s: BUSY.per_s * load,
        ..BUSY
    };
    let outcome = Sim::new(case).run().await;
    println!("{hosts} hosts, load {load}: {outcome:?}");
    assert_eq!(outcome.never_served, 0, "{case:?}: {outcome:?}");
    outcome
}

/// As much is served, and as many prompts on time, as when all late prompts were refused: the figures
/// are those of that rule.
#[tokio::test(start_paused = true)]
async fn late_prompts_do_not_take_the_place_of_others_in_an_overload() {
    let before = [
        (4, 9, 2.0, 11_711.0, 5_388),
        (4, 9, 5.0, 11_604.0, 7_044),
        (59, 30, 2.0, 39_171.0, 14_643),
        (59, 30, 5.0, 40_066.0, 11_647),
    ];
    for (hosts, engines, load, work, on_time) in before {
        let outcome = overload(hosts, engines, load).await;
        assert!(outcome.work >= work, "{hosts}, {load}: {outcome:?}");
        assert!(outcome.on_time >= on_time, "{hosts}, {load}: {outcome:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn large_prompts_are_served_half_as_often_as_others_in_an_overload() {
    for load in [2.0, 5.0] {
        let outcome = overload(4, 9, load).await;
        assert!(outcome.large * 2.0 >= outcome.all, "{load}: {outcome:?}");
    }
}
