//! Tests the decisions on usage reports without a network: any order of holders, losses and late
//! writes, lost and duplicated datagrams, and clocks that jump.

use gateway::duty::usage::clock::{FleetClock, ROUND_EVERY};
use gateway::duty::usage::holder::{Action, Holder, Windows};
use gateway::duty::usage::ledger::Ledger;
use gateway::duty::usage::request_log::RequestLog;
use platform::usage::{TenantCount, UsageRead, UsageReport};
use platform::{Lease, Position, WriteAck};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(Cases::with_cases(cases), rng)
}

const HOLDER_GAP: Duration = Duration::from_secs(3);
const WINDOW_MS: u64 = 5000;
const HOLDERS: usize = 3;
/// Time after which a report is sent although no other host has confirmed that it knows it.
const ANNOUNCE_MS: u64 = 1500;

/// The rows of the store.
#[derive(Debug, Clone, Default)]
struct Rows {
    lease: Option<Lease>,
    version: u64,
    counter: u64,
    report: Option<UsageReport>,
    /// Eras in which a lease was acquired.
    markers: BTreeSet<u64>,
}

#[derive(Debug, Clone)]
struct Write {
    lease: Lease,
    expected: Position,
    report: Option<UsageReport>,
}

impl Rows {
    /// Executes a write if the row of the lease still has the required version, which the store
    /// compares without its era, and no lease was acquired in a later era.
    fn write(&mut self, write: &Write) -> bool {
        let later = write.expected.era + 1..;
        if write.expected.version != self.version || self.markers.range(later).next().is_some() {
            return false;
        }
        self.counter += 1;
        self.version = self.counter;
        self.markers.insert(write.expected.era);
        self.lease = Some(write.lease.clone());
        if let Some(report) = &write.report {
            self.report = Some(report.clone());
        }
        true
    }
}

/// A report that reached the platform.
#[derive(Debug, Clone)]
struct Sent {
    holder: usize,
    token: u64,
    at_ms: u64,
    report: UsageReport,
}

/// One step of a holder, and what happens in it.
#[derive(Debug, Clone, Copy)]
struct Step {
    holder: usize,
    /// Time that passes before the step.
    pause_ms: u64,
    /// Whether the holder's process restarts before the step.
    restarts: bool,
    /// Age of the copy from which the store is restored before the step, in milliseconds.
    restored_from_ms: Option<u64>,
    outcome: CallOutcome,
}

/// What happens to the call of a step.
#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    /// The call is executed and answered.
    Answered,
    /// The call is executed, and its answer is lost.
    AnswerLost,
    /// The call isn't executed.
    Lost,
    /// The call is executed later, if its condition still holds then.
    Late,
}

/// What the process of a holder knows; lost when it restarts.
#[derive(Debug, Clone, Default)]
struct Memory {
    started_ms: u64,
    /// The last report that it knows to be decided.
    decided: Option<UsageReport>,
    /// The window whose report it announces, and since when.
    announcing: Option<(u64, u64)>,
}

impl Memory {
    fn record(&mut self, report: &UsageReport) {
        let is_later = |known: &UsageReport| report.window > known.window;
        if self.decided.as_ref().is_none_or(is_later) {
            self.decided = Some(report.clone());
        }
    }
}

/// Holders that each have different counts, as if each couldn't reach some hosts.
struct Simulation {
    started: Instant,
    now_ms: u64,
    rows: Rows,
    era: u64,
    /// Rows after each step, with its time.
    copies: Vec<(u64, Rows)>,
    /// Writes that haven't reached the store yet.
    late_writes: Vec<Write>,
    holders: Vec<Holder>,
    memories: Vec<Memory>,
    /// Latest era that each holder knows, and since when.
    known_eras: Vec<(u64, Instant)>,
    sent: Vec<Sent>,
}

impl Simulation {
    fn new(holders: usize) -> Self {
        Self {
            started: Instant::now(),
            now_ms: 0,
            rows: Rows::default(),
            era: 1,
            copies: Vec::new(),
            late_writes: Vec::new(),
            holders: (0..holders).map(holder).collect(),
            memories: vec![Memory::default(); holders],
            known_eras: vec![(0, Instant::now()); holders],
            sent: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        self.now_ms += step.pause_ms;
        if step.restarts {
            self.holders[step.holder] = holder(step.holder);
            self.memories[step.holder] = Memory {
                started_ms: self.now_ms,
                ..Memory::default()
            };
            self.known_eras[step.holder].0 = 0;
        }
        if let Some(age_ms) = step.restored_from_ms {
            self.restore(age_ms);
        }
        if let (CallOutcome::Late, Some(write)) = (step.outcome, self.late_writes.pop()) {
            self.rows.write(&write);
        }
        self.act(step);
        self.copies.push((self.now_ms, self.rows.clone()));
    }

    fn restore(&mut self, age_ms: u64) {
        let mut copies = self.copies.iter().rev();
        let copy = copies.find(|(at_ms, _)| at_ms + age_ms <= self.now_ms);
        self.rows = copy.map_or_else(Rows::default, |(_, rows)| rows.clone());
        self.era += 1;
    }

    /// Position of a version in the current era.
    fn at(&self, version: u64) -> Position {
        Position {
            era: self.era,
            version,
        }
    }

    /// Lets a holder learn the era from an answer; returns since when it knows it.
    fn learn_era(&mut self, holder: usize, now: Instant) -> Instant {
        let known = &mut self.known_eras[holder];
        if known.0 < self.era {
            *known = (self.era, now);
        }
        known.1
    }

    fn act(&mut self, step: Step) {
        let now = self.started + Duration::from_millis(self.now_ms);
        let ready = (self.now_ms / WINDOW_MS).checked_sub(1);
        let (era, known_at) = self.known_eras[step.holder];
        let known_ms = known_at.saturating_duration_since(self.started).as_millis() as u64;
        let windows = Windows {
            first: 0,
            first_of_era: if era > 0 { known_ms / WINDOW_MS } else { 0 },
            ready,
        };
        if let Some(report) = &self.memories[step.holder].decided {
            self.holders[step.holder].record_report(report);
        }
        match self.holders[step.holder].next_action(windows, now) {
            Action::Idle => {}
            Action::Announce(report) => self.announce(step, &report),
            Action::Survey { era, from } => self.survey(step, era, from),
            Action::Wait(_) => self.holders[step.holder].invalidate(),
            Action::Read => self.read(step, now),
            Action::Write {
                lease,
                expected,
                window,
                lost,
            } => {
                let report = window.map(|w| counted_by(step.holder, self.now_ms, w, expected.era));
                let report = report.or(lost);
                let write = Write {
                    lease,
                    expected,
                    report,
                };
                self.write(step, write, now);
            }
            Action::Send { token, report } => self.send(step, token, report),
        }
    }

    /// Announces a report to one other host.
    fn announce(&mut self, step: Step, report: &UsageReport) {
        self.memories[step.holder].record(report);
        let receiver = (step.holder + 1) % self.holders.len();
        let is_alone = receiver == step.holder;
        if matches!(
            step.outcome,
            CallOutcome::Answered | CallOutcome::AnswerLost
        ) {
            self.memories[receiver].record(report);
        }
        let (window, now_ms) = (report.window, self.now_ms);
        let announcing = &mut self.memories[step.holder].announcing;
        let (_, since_ms) = *match announcing {
            Some(known) if known.0 == window => known,
            _ => announcing.insert((window, now_ms)),
        };
        let is_confirmed = matches!(step.outcome, CallOutcome::Answered);
        if is_confirmed || is_alone || now_ms >= since_ms + ANNOUNCE_MS {
            self.holders[step.holder].on_announced(window);
        }
    }

    /// Asks all hosts for the last report that they know. One that restarted has forgotten some.
    fn survey(&mut self, step: Step, era: u64, from: u64) {
        let until_ms = (from + 1) * WINDOW_MS;
        let were_running = self.memories.iter().all(|m| m.started_ms <= until_ms);
        let is_alone = self.holders.len() == 1;
        let is_answered = is_alone || matches!(step.outcome, CallOutcome::Answered);
        if is_answered {
            for memory in &self.memories {
                if let Some(report) = &memory.decided {
                    self.holders[step.holder].record_report(report);
                }
            }
        }
        self.holders[step.holder].on_surveyed(era, is_answered && were_running);
    }

    fn read(&mut self, step: Step, now: Instant) {
        if !matches!(step.outcome, CallOutcome::Answered) {
            return;
        }
        let era_known_at = self.learn_era(step.holder, now);
        let read = UsageRead {
            lease: self.rows.lease.clone(),
            row: self.at(self.rows.version),
            report: self.rows.report.clone(),
            now_ms: self.now_ms,
        };
        self.holders[step.holder].on_read(read, now, era_known_at);
    }

    fn write(&mut self, step: Step, write: Write, now: Instant) {
        if write.expected.era < self.known_eras[step.holder].0 {
            self.holders[step.holder].invalidate();
            return;
        }
        match step.outcome {
            CallOutcome::Answered => {
                let is_written = self.rows.write(&write);
                self.learn_era(step.holder, now);
                let written = WriteAck {
                    position: self.at(self.rows.version),
                    now_ms: self.now_ms,
                };
                let holder = &mut self.holders[step.holder];
                match is_written && written.position.era == write.expected.era {
                    true => {
                        if let Some(report) = &write.report {
                            self.memories[step.holder].record(report);
                        }
                        holder.on_written(write.lease, write.report, written, now);
                    }
                    false => holder.invalidate(),
                }
                return;
            }
            CallOutcome::AnswerLost => drop(self.rows.write(&write)),
            CallOutcome::Lost => {}
            CallOutcome::Late => self.late_writes.push(write),
        }
        self.holders[step.holder].invalidate();
    }

    fn send(&mut self, step: Step, token: u64, report: UsageReport) {
        let window = report.window;
        if !matches!(step.outcome, CallOutcome::Lost) {
            self.sent.push(Sent {
                holder: step.holder,
                token,
                at_ms: self.now_ms,
                report,
            });
        }
        if matches!(step.outcome, CallOutcome::Answered) {
            self.holders[step.holder].set_done_window(window);
        }
    }
}

fn holder(n: usize) -> Holder {
    Holder::new(format!("10.0.0.{n}"), HOLDER_GAP)
}

/// A report that differs by holder and time.
fn counted_by(holder: usize, at_ms: u64, window: u64, era: u64) -> UsageReport {
    let count = TenantCount {
        tenant: "one".into(),
        requests: at_ms * 10 + holder as u64,
    };
    UsageReport::new(window, era, &[count])
}

/// Steps of holders, with a share of `restored` before which the store is restored from a copy.
fn steps(restored: f64) -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        6 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::Lost),
        1 => Just(CallOutcome::Late),
    ];
    let pause = prop_oneof![6 => 0u64..300, 2 => 300u64..3000, 1 => 3000u64..12_000];
    let restarts = prop::bool::weighted(0.05);
    let restored_from_ms = (prop::bool::weighted(restored), 0u64..15_000);
    let step = (0..HOLDERS, pause, restarts, restored_from_ms, outcome);
    let step = step.prop_map(|(holder, pause_ms, restarts, restored, outcome)| Step {
        holder,
        pause_ms,
        restarts,
        restored_from_ms: restored.0.then_some(restored.1),
        outcome,
    });
    vec(step, 1..400)
}

/// All reports of a window are identical. Returns the number of windows.
fn check_bodies(sent: &[Sent]) -> Result<usize, TestCaseError> {
    let mut bodies: BTreeMap<u64, &str> = BTreeMap::new();
    for Sent { report, .. } in sent {
        let body = *bodies.entry(report.window).or_insert(&report.body);
        prop_assert_eq!(body, &report.body, "window {}", report.window);
    }
    Ok(bodies.len())
}

/// Tokens never decrease, and two holders have different tokens and are a gap apart.
fn check_holders(sent: &[Sent]) -> Result<(), TestCaseError> {
    for pair in sent.windows(2) {
        prop_assert!(pair[0].token <= pair[1].token, "{pair:?}");
        if pair[0].holder != pair[1].holder {
            prop_assert!(pair[0].token < pair[1].token, "{pair:?}");
            let apart = pair[1].at_ms - pair[0].at_ms;
            prop_assert!(apart >= HOLDER_GAP.as_millis() as u64, "{pair:?}");
        }
    }
    Ok(())
}

/// After a restore, the token of a lost lease was given out again, to a second holder while the
/// first one still held the lease.
#[test]
fn a_restored_store_gives_no_token_or_lease_to_two_holders() {
    let alternations = std::cell::Cell::new(0);
    runner(600)
        .run(&steps(0.03), |steps| {
            let mut simulation = Simulation::new(HOLDERS);
            steps.into_iter().for_each(|step| simulation.step(step));
            check_holders(&simulation.sent)?;
            let pairs = simulation.sent.windows(2);
            let changes = pairs.filter(|pair| pair[0].holder != pair[1].holder);
            alternations.set(alternations.get() + changes.count());
            Ok(())
        })
        .unwrap();
    // Otherwise the cases above prove nothing.
    assert!(alternations.get() > 300, "{} changes", alternations.get());
}

#[test]
fn reports_of_a_window_are_identical_and_holders_never_alternate() {
    let reported = std::cell::Cell::new(0);
    runner(400)
        .run(&steps(0.0), |steps| {
            let mut simulation = Simulation::new(HOLDERS);
            steps.into_iter().for_each(|step| simulation.step(step));
            let windows = check_bodies(&simulation.sent)?;
            check_holders(&simulation.sent)?;
            reported.set(reported.get() + windows);
            Ok(())
        })
        .unwrap();
    // Otherwise the cases above prove nothing.
    assert!(reported.get() > 1000, "{} windows", reported.get());
}

/// A report that was delivered and that a restored store has lost is decided again, with other counts,
/// by a host that doesn't know of it.
#[test]
fn a_lost_report_is_decided_again_by_no_other_host() {
    for hosts in 1..=HOLDERS {
        let reported = std::cell::Cell::new(0);
        runner(400)
            .run(&steps(0.03), |steps| {
                let mut simulation = Simulation::new(hosts);
                for step in steps {
                    let holder = step.holder % hosts;
                    simulation.step(Step { holder, ..step });
                }
                let windows = check_bodies(&simulation.sent)?;
                check_holders(&simulation.sent)?;
                reported.set(reported.get() + windows);
                Ok(())
            })
            .unwrap();
        // Otherwise the cases above prove nothing.
        let reported = reported.get();
        assert!(reported > 1000, "{reported} windows of {hosts} hosts");
    }
}

/// A report that a restored store had lost was decided again with other counts, or was never sent.
#[test]
fn a_report_that_the_store_has_lost_is_sent_unchanged() {
    let reported = std::cell::Cell::new(0);
    runner(400)
        .run(&steps(0.03), |steps| {
            let mut simulation = Simulation::new(1);
            for step in steps {
                simulation.step(Step {
                    holder: 0,
                    restarts: false,
                    ..step
                });
            }
            let mut bodies: BTreeMap<u64, String> = BTreeMap::new();
            for sent in &simulation.sent {
                let last = bodies.keys().last().copied();
                let is_next = last.is_none_or(|last| sent.report.window <= last + 1);
                prop_assert!(is_next, "a window after {last:?} is missing");
                let body = bodies
                    .entry(sent.report.window)
                    .or_insert_with(|| sent.report.body.clone());
                prop_assert_eq!(&*body, &sent.report.body, "window {}", sent.report.window);
            }
            reported.set(reported.get() + bodies.len());
            Ok(())
        })
        .unwrap();
    // Otherwise the cases above prove nothing.
    assert!(reported.get() > 1000, "{} windows", reported.get());
}

fn ip(n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, n))
}

/// What happens to one poll by the collector.
#[derive(Debug, Clone, Copy)]
enum PollOutcome {
    Answered,
    Lost,
    /// The answer arrives twice.
    Twice,
    /// The answer arrives after that of the next poll.
    Late,
}

#[test]
fn each_request_is_counted_once_despite_lost_or_duplicated_datagrams() {
    let outcome = prop_oneof![
        Just(PollOutcome::Answered),
        Just(PollOutcome::Lost),
        Just(PollOutcome::Twice),
        Just(PollOutcome::Late)
    ];
    // Number of requests of each of three processes between polls, and the outcomes of the polls.
    let rounds = vec(((0u64..9, 0u64..1500, 0u64..3), vec(outcome, 3)), 1..24);
    runner(200)
        .run(&rounds, |rounds| {
            let started = Instant::now();
            let mut now = started;
            let mut processes: Vec<RequestLog> =
                (1..=3).map(|n| RequestLog::new(n, || 0)).collect();
            let mut ledger = Ledger::default();
            let mut delayed = Vec::new();
            let names: [Arc<str>; 3] = ["a".into(), "b".into(), "c".into()];
            let mut expected = [0u64; 3];
            for (request_counts, outcomes) in &rounds {
                now += Duration::from_millis(100);
                let counts = [request_counts.0, request_counts.1, request_counts.2];
                for (n, count) in counts.into_iter().enumerate() {
                    for _ in 0..count {
                        processes[n].record(now, names[n].clone());
                    }
                    expected[n] += count;
                }
                for (n, outcome) in outcomes.iter().enumerate() {
                    let from = ledger.position(ip(n as u8));
                    let answer = processes[n].read_from(from.start, from.next, 1, now);
                    let at = ip(n as u8);
                    match outcome {
                        PollOutcome::Lost => {}
                        PollOutcome::Late => delayed.push((at, answer)),
                        PollOutcome::Answered | PollOutcome::Twice => {
                            ledger.add(at, &answer, now);
                            if matches!(outcome, PollOutcome::Twice) {
                                ledger.add(at, &answer, now);
                            }
                            for (at, answer) in delayed.drain(..) {
                                ledger.add(at, &answer, now);
                            }
                        }
                    }
                }
            }
            for (n, process) in processes.iter().enumerate() {
                let at = ip(n as u8);
                loop {
                    let from = ledger.position(at);
                    let answer = process.read_from(from.start, from.next, 1, now);
                    if !ledger.add(at, &answer, now) {
                        break;
                    }
                }
            }
            let counted = ledger.count(started, now + Duration::from_secs(1));
            for (n, name) in names.iter().enumerate() {
                let found = counted.counts.iter().find(|c| *c.tenant == **name);
                prop_assert_eq!(found.map_or(0, |c| c.requests), expected[n], "{}", name);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn requests_of_two_starts_of_a_process_are_added_up() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for start in [7, 3] {
        let mut log = RequestLog::new(start, || 0);
        (0..5).for_each(|_| log.record(now, "a".into()));
        let from = ledger.position(ip(1));
        ledger.add(ip(1), &log.read_from(from.start, from.next, 1, now), now);
    }
    let counted = ledger.count(now - Duration::from_secs(1), now + Duration::from_secs(1));
    assert_eq!(counted.requests, 10);
}

#[test]
fn requests_dropped_before_they_were_polled_are_reported_as_lost() {
    let now = Instant::now();
    let mut log = RequestLog::new(1, || 0);
    log.record(now, "a".into());
    let mut ledger = Ledger::default();
    ledger.add(ip(1), &log.read_from(0, 0, 1, now), now);
    let later = now + Duration::from_secs(300);
    (0..4).for_each(|_| log.record(now, "a".into()));
    log.expire(later);
    log.record(later, "a".into());
    let from = ledger.position(ip(1));
    ledger.add(
        ip(1),
        &log.read_from(from.start, from.next, 2, later),
        later,
    );
    assert_eq!(ledger.expire(later), 4);
    let counted = ledger.count(later, later + Duration::from_secs(1));
    assert_eq!(counted.requests, 1);
}

#[test]
fn a_window_is_complete_once_each_process_was_polled_after_its_end() {
    let started = Instant::now();
    let until = started + Duration::from_secs(5);
    let mut ledger = Ledger::default();
    let (mut one, mut two) = (RequestLog::new(1, || 0), RequestLog::new(2, || 0));
    one.record(started, "a".into());
    two.record(started, "a".into());
    ledger.add(ip(1), &one.read_from(0, 0, 1, until), until);
    ledger.add(ip(2), &two.read_from(0, 0, 1, started), started);
    let counted = ledger.count(started, until);
    assert_eq!((counted.hosts, counted.silent), (1, 1));
    ledger.add(ip(2), &two.read_from(2, 1, 1, until), until);
    assert_eq!(ledger.count(started, until).silent, 0);
}

/// Errors of the fleet clock in milliseconds after each round, where `jump` returns the error of
/// the wall clock of a host in a round.
fn clock_errors(rounds: u64, hosts: u64, jump: impl Fn(u64, u64) -> i64) -> Vec<i64> {
    let base = Instant::now();
    let mut clock = FleetClock::new(base);
    let mut out = Vec::new();
    for round in 0..rounds {
        let now = base + ROUND_EVERY * round as u32;
        let true_ms = 1_000_000 + now.duration_since(base).as_millis() as i64;
        let estimates =
            (0..hosts).map(|host| clock.estimate_base(true_ms + jump(host, round), now));
        let estimates = estimates.collect();
        clock.add_round(estimates, now);
        if let Some(ms) = clock.unix_ms(now) {
            out.push(ms - true_ms);
        }
    }
    out
}

#[test]
fn the_fleet_clock_ignores_jumps_on_a_third_of_the_hosts() {
    // Each host's clock is also off by a few milliseconds.
    let small = |host: u64| host as i64 % 7 - 3;
    let third = clock_errors(40, 21, |host, round| match round >= 10 && host < 7 {
        true => 2000,
        false => small(host),
    });
    assert!(third.iter().all(|e| e.abs() <= 3), "{third:?}");
    // The same holds if the jump is there from the first round on, or if two thirds of the hosts
    // jump for a while.
    let from_start = clock_errors(20, 21, |host, _| if host < 7 { -2000 } else { small(host) });
    assert!(from_start.iter().all(|e| e.abs() <= 3), "{from_start:?}");
    let two_thirds = clock_errors(40, 21, |host, round| {
        let is_hit = (20..30).contains(&round) && host < 14;
        if is_hit { 2000 } else { small(host) }
    });
    assert!(two_thirds.iter().all(|e| e.abs() <= 3), "{two_thirds:?}");
}

#[test]
fn the_clock_of_a_single_host_follows_its_jump() {
    let alone = clock_errors(80, 1, |_, round| if round >= 10 { 2000 } else { 0 });
    assert_eq!(alone.last(), Some(&2000));
}

#[test]
fn instants_and_unix_times_convert_both_ways() {
    let base = Instant::now() + Duration::from_secs(100);
    let mut clock = FleetClock::new(base);
    assert_eq!(clock.unix_ms(base), None);
    for round in 0..2 {
        let now = base + ROUND_EVERY * round;
        let estimate = clock.estimate_base(5_000_000 + i64::from(round) * 1000, now);
        clock.add_round(vec![estimate], now);
    }
    for ms in [4_990_000, 5_000_000, 5_012_345] {
        let at = clock.instant(ms).unwrap();
        assert_eq!(clock.unix_ms(at), Some(ms));
    }
}

#[test]
fn a_report_is_encoded_in_the_format_of_the_platform() {
    let counts = ["b", "a"].map(|tenant| TenantCount {
        tenant: tenant.into(),
        requests: 412,
    });
    let report = UsageReport::new(353_445_120, 0, &counts);
    let text = r#"{"WindowId":353445120,"Counts":{"a":412,"b":412}}"#;
    assert_eq!(report.body, text);
}
