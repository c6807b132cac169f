//! Tests in virtual time that requests that are open for any time are counted once and in the window
//! in which they were sent, over lost polls, pauses of processes and changes of the process that
//! decides.

use gateway::duty::usage::collection::{Collection, MaxWaits, Missing, Span};
use gateway::duty::usage::ledger::Ledger;
use gateway::duty::usage::message::{QueryAnswer, StartedRequest};
use gateway::duty::usage::request_log::{OpenKey, RequestLog};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

const PROCESSES: usize = 3;
/// The first processes collect.
const COLLECTORS: usize = 2;
const WINDOW_MS: u64 = 1000;
const WINDOWS: u64 = 8;
const TICK_MS: u64 = 50;
const POLL_MS: u64 = 250;
const SETTLE_MS: u64 = 1600;
const DUE: Duration = Duration::from_secs(10);
const MAX_OPEN: Duration = Duration::from_secs(4);
/// Time after a pause in which a process says nothing of its open requests.
const CATCH_UP_MS: u64 = 200;

/// A request, whose number in the test is its tenant.
#[derive(Debug, Clone)]
struct Request {
    process: usize,
    sent_ms: u64,
    open_ms: u64,
    has_run: bool,
}

/// A pause of a process.
#[derive(Debug, Clone, Copy)]
struct Pause {
    from_ms: u64,
    until_ms: u64,
}

#[derive(Debug, Clone)]
struct Day {
    requests: Vec<Request>,
    pauses: Vec<Pause>,
    /// The collector that decides each window.
    deciders: Vec<usize>,
    seed: u64,
}

fn days(longest_pause_ms: u64) -> impl Strategy<Value = Day> {
    let open_ms = prop_oneof![4 => 0u64..300, 4 => 300u64..3500, 2 => 3500u64..40_000];
    let sent_ms = (0..WINDOWS * WINDOW_MS / TICK_MS).prop_map(|tick| tick * TICK_MS);
    let request = (0..PROCESSES, sent_ms, open_ms, prop::bool::weighted(0.8));
    let request = request.prop_map(|(process, sent_ms, open_ms, has_run)| Request {
        process,
        sent_ms,
        open_ms,
        has_run,
    });
    let pause = (0..WINDOWS * WINDOW_MS, 0..=longest_pause_ms).prop_map(|(from_ms, ms)| Pause {
        from_ms,
        until_ms: from_ms + ms,
    });
    let deciders = vec(0..COLLECTORS, WINDOWS as usize);
    let parts = (
        vec(request, 1..60),
        vec(pause, PROCESSES),
        deciders,
        any::<u64>(),
    );
    parts.prop_map(|(requests, pauses, deciders, seed)| Day {
        requests,
        pauses,
        deciders,
        seed,
    })
}

fn ip(n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, n as u8 + 1))
}

struct Fleet {
    day: Day,
    base: Instant,
    logs: Vec<RequestLog>,
    ledgers: Vec<Ledger>,
    /// Requests that are open, with their index.
    open: Vec<(usize, OpenKey)>,
    rng: fastrand::Rng,
    /// Windows in which each request was counted.
    counted: BTreeMap<usize, Vec<u64>>,
    decided: u64,
}

impl Fleet {
    fn new(day: Day) -> Self {
        let logs = (1..=PROCESSES as u32).map(|start| RequestLog::new(start, || 0));
        Self {
            base: Instant::now(),
            logs: logs.collect(),
            ledgers: (0..COLLECTORS).map(|_| Ledger::default()).collect(),
            open: Vec::new(),
            rng: fastrand::Rng::with_seed(day.seed),
            counted: BTreeMap::new(),
            decided: 0,
            day,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.base + Duration::from_millis(ms)
    }

    fn is_paused(&self, process: usize, ms: u64) -> bool {
        let pause = self.day.pauses[process];
        (pause.from_ms..pause.until_ms).contains(&ms)
    }

    /// Sends requests and handles answers of a process that isn't paused.
    fn run_process(&mut self, process: usize, now_ms: u64) {
        let now = self.at(now_ms);
        for (index, req) in self.day.requests.iter().enumerate() {
            if req.process == process && req.sent_ms == now_ms {
                let key = self.logs[process].open(now, index.to_string().into());
                self.open.push((index, key));
            }
        }
        let (requests, log) = (&self.day.requests, &mut self.logs[process]);
        self.open.retain(|(index, key)| {
            let req = &requests[*index];
            let is_open = req.process != process || now_ms < req.sent_ms + req.open_ms;
            match (is_open, req.has_run) {
                (true, _) => {}
                (false, true) => log.settle(*key),
                (false, false) => drop(log.withdraw(*key)),
            }
            is_open
        });
    }

    fn poll(&mut self, collector: usize, process: usize, now_ms: u64) {
        let now = self.at(now_ms);
        let pause = self.day.pauses[process];
        let is_behind = now_ms < pause.until_ms + CATCH_UP_MS && now_ms >= pause.from_ms;
        loop {
            let log = &mut self.logs[process];
            if !is_behind {
                log.settle_overdue(MAX_OPEN, now);
            }
            let from = self.ledgers[collector].position(ip(process));
            let mut answer = log.read_from(from.start, from.next, 1, now);
            if is_behind {
                answer.complete_ms_ago = None;
            }
            if !self.ledgers[collector].add(ip(process), &answer, now) {
                break;
            }
        }
    }

    /// Transfers what one collector holds to another one.
    fn transfer(&mut self, from: usize, to: usize, now_ms: u64) {
        let now = self.at(now_ms);
        let known = self.ledgers[to].known_logs();
        for held in self.ledgers[from].held_beyond(&known, now) {
            self.ledgers[to].add_held(&held, now);
        }
    }

    /// Decides the next window, if all its requests are known or can't be waited for.
    fn decide(&mut self, now_ms: u64) {
        let Some(decider) = self.day.deciders.get(self.decided as usize) else {
            return;
        };
        let end_ms = (self.decided + 1) * WINDOW_MS;
        if now_ms < end_ms + SETTLE_MS || self.is_paused(*decider, now_ms) {
            return;
        }
        let live: Vec<IpAddr> = (0..PROCESSES).map(ip).collect();
        let (from, until) = (self.at(end_ms - WINDOW_MS), self.at(end_ms));
        let now = self.at(now_ms);
        let ledger = &self.ledgers[*decider];
        let collection = Collection::default();
        let missing = collection.missing(ledger, &live, Span { from, until }, now);
        if now - until < MaxWaits::new(DUE, Duration::ZERO).of(missing) {
            return;
        }
        for count in ledger.count(from, until).counts {
            assert_eq!(count.requests, 1);
            let windows = self.counted.entry(count.tenant.parse().unwrap());
            windows.or_default().push(self.decided);
        }
        assert!(now < until + DUE, "window {} is late", self.decided);
        self.decided += 1;
    }

    fn play(&mut self) {
        let end_ms = WINDOWS * WINDOW_MS + DUE.as_millis() as u64;
        for now_ms in (0..end_ms).step_by(TICK_MS as usize) {
            for process in 0..PROCESSES {
                if !self.is_paused(process, now_ms) {
                    self.run_process(process, now_ms);
                }
            }
            if now_ms.is_multiple_of(POLL_MS) {
                for (collector, process) in (0..COLLECTORS)
                    .flat_map(|c| (0..PROCESSES).map(move |p| (c, p)))
                    .filter(|(c, p)| !self.is_paused(*c, now_ms) && !self.is_paused(*p, now_ms))
                    .collect::<Vec<_>>()
                {
                    let is_lost = collector != process && self.rng.u8(..10) == 0;
                    if !is_lost {
                        self.poll(collector, process, now_ms);
                    }
                }
            }
            let (from, to) = (self.rng.usize(..COLLECTORS), self.rng.usize(..COLLECTORS));
            let are_running = !self.is_paused(from, now_ms) && !self.is_paused(to, now_ms);
            if from != to && are_running && self.rng.u8(..8) == 0 {
                self.transfer(from, to, now_ms);
            }
            self.decide(now_ms);
        }
    }

    /// Each request that ran is counted in the window in which it was sent, and in no other.
    /// Returns the number of those that were open at the end of their window.
    fn check(&self) -> Result<usize, TestCaseError> {
        let mut late = 0;
        prop_assert_eq!(self.decided, WINDOWS);
        for (index, req) in self.day.requests.iter().enumerate() {
            let window = req.sent_ms / WINDOW_MS;
            let is_sent = !self.is_paused(req.process, req.sent_ms);
            let counted = self.counted.get(&index).map_or(&[][..], |w| w);
            // One that didn't run may have been counted when no report could wait for it any more.
            let is_overdue = req.open_ms >= MAX_OPEN.as_millis() as u64;
            let is_overcounted = is_overdue && !counted.is_empty();
            let expected: &[u64] = match is_sent && (req.has_run || is_overcounted) {
                true => &[window],
                false => &[],
            };
            prop_assert_eq!(counted, expected, "request {}: {:?}", index, req);
            late += usize::from(!expected.is_empty() && req.open_ms > WINDOW_MS + SETTLE_MS);
        }
        Ok(late)
    }
}

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(Config::with_cases(cases), rng)
}

#[test]
fn each_request_is_counted_once_in_its_window_however_long_it_is_open() {
    let late = std::cell::Cell::new(0);
    runner(400)
        .run(&days(1500), |day| {
            let mut fleet = Fleet::new(day);
            fleet.play();
            late.set(late.get() + fleet.check()?);
            Ok(())
        })
        .unwrap();
    // Otherwise the cases above prove nothing.
    assert!(late.get() > 1000, "{} late answers", late.get());
}

/// Guards against reports that wait for processes that are paused, and against counting their
/// requests in two windows.
#[test]
fn long_pauses_delay_no_report_beyond_its_due_time() {
    runner(400)
        .run(&days(5000), |mut day| {
            // Only a process that doesn't collect is paused.
            let nothing = Pause {
                from_ms: 0,
                until_ms: 0,
            };
            day.pauses[..COLLECTORS].fill(nothing);
            let mut fleet = Fleet::new(day);
            fleet.play();
            prop_assert_eq!(fleet.decided, WINDOWS);
            for windows in fleet.counted.values() {
                prop_assert_eq!(windows.len(), 1);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against a claim that passes a request which is registered while the log is read, or which
/// is withdrawn and sent again.
#[test]
fn a_log_is_complete_up_to_the_oldest_open_request() {
    let base = Instant::now();
    let at = |ms| base + Duration::from_millis(ms);
    let mut log = RequestLog::new(1, || 0);
    assert_eq!(log.complete_until(at(10)), at(10));
    let first = log.open(at(20), "a".into());
    let second = log.open(at(30), "a".into());
    // A time that was taken before the lock of the log.
    assert_eq!(log.complete_until(at(15)), at(15));
    assert_eq!(log.complete_until(at(90)), at(20));
    log.settle(second);
    assert_eq!(log.complete_until(at(90)), at(20));
    assert!(log.withdraw(first));
    assert_eq!(log.complete_until(at(90)), at(90));
    let third = log.open(at(100), "a".into());
    log.settle_overdue(MAX_OPEN, at(100) + MAX_OPEN);
    assert_eq!(log.take_overdue(), 1);
    assert!(!log.withdraw(third));
    log.settle(third);
    assert_eq!(log.next_number(), 2);
}

/// Guards against losing a request to an estimate of its time that is too early: its process had
/// said that all requests of that time were known.
#[test]
fn a_request_is_not_before_the_time_up_to_which_its_process_was_complete() {
    let base = Instant::now();
    let at = |ms| base + Duration::from_millis(ms);
    let (mut log, mut ledger) = (RequestLog::new(1, || 0), Ledger::default());
    ledger.add(ip(0), &log.read_from(0, 0, 1, at(1000)), at(1020));
    log.record(at(1005), "a".into());
    // The answer was on its way for longer than the query.
    ledger.add(ip(0), &log.read_from(1, 0, 2, at(1500)), at(1480));
    assert_eq!(ledger.count(at(0), at(1020)).requests, 0);
    assert_eq!(ledger.count(at(1020), at(2000)).requests, 1);
    // A request that comes too late doesn't contradict its process, unless it precedes by far what
    // the process had said.
    let key = log.open(at(2000), "a".into());
    ledger.add(ip(0), &log.read_from(1, 1, 3, at(9000)), at(9000));
    ledger.set_decided(at(0), at(5000));
    log.settle(key);
    ledger.add(ip(0), &log.read_from(1, 1, 4, at(9000)), at(9000));
    let lost = ledger.take_lost();
    assert_eq!((lost[0].late, lost[0].late_after_complete), (1, 0));
    log.record(at(3000), "a".into());
    ledger.add(ip(0), &log.read_from(1, 2, 5, at(9000)), at(9000));
    assert_eq!(ledger.take_lost()[0].late_after_complete, 1);
}

/// Guards against a transfer that takes requests for complete while some are open, and against one
/// that moves the times of requests that it brings itself.
#[test]
fn a_transfer_says_up_to_when_requests_are_complete() {
    let base = Instant::now();
    let at = |ms| base + Duration::from_millis(ms);
    let mut log = RequestLog::new(1, || 0);
    let (mut held, mut fetched) = (Ledger::default(), Ledger::default());
    let key = log.open(at(500), "a".into());
    log.record(at(600), "a".into());
    held.add(ip(0), &log.read_from(0, 0, 1, at(2000)), at(2000));
    let transfer = |held: &Ledger, fetched: &mut Ledger| {
        for log in held.held_beyond(&fetched.known_logs(), at(2000)) {
            fetched.add_held(&log, at(2000));
        }
    };
    transfer(&held, &mut fetched);
    assert!(!fetched.is_complete(ip(0), at(1000)));
    log.settle(key);
    held.add(ip(0), &log.read_from(1, 1, 2, at(2000)), at(2000));
    transfer(&held, &mut fetched);
    assert!(fetched.is_complete(ip(0), at(1000)));
    assert_eq!(fetched.count(at(0), at(1000)).requests, 2);
}

/// An answer as processes of former versions send and decode it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerAnswer {
    number: u32,
    start: u32,
    from: u64,
    next: u64,
    time_of_day_ms: i64,
    tenants: Vec<String>,
    begun: Vec<StartedRequest>,
}

/// Guards against taking an answer of a former version for complete, and against answers that it
/// can't decode.
#[test]
fn answers_of_former_versions_are_read_and_not_taken_for_complete() {
    let base = Instant::now();
    let mut log = RequestLog::new(1, || 0);
    log.record(base, "a".into());
    let mut answer = log.read_from(0, 0, 1, base);
    answer.complete_ms_ago = None;
    let former: FormerAnswer = wire::decode(&wire::encode_compact(&answer)).unwrap();
    let decoded: QueryAnswer = wire::decode(&wire::encode_compact(&former)).unwrap();
    assert_eq!(decoded, answer);
    let mut ledger = Ledger::default();
    ledger.add(ip(0), &decoded, base);
    assert_eq!(ledger.count(base, base + DUE).requests, 1);
    let window = Span {
        from: base,
        until: base,
    };
    let missing = |ledger: &Ledger| Collection::default().missing(ledger, &[ip(0)], window, base);
    assert_eq!(missing(&ledger), Missing::Open);
    ledger.add(ip(0), &log.read_from(1, 1, 2, base), base);
    assert_eq!(missing(&ledger), Missing::Nothing);
}
