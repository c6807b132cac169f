//! Plays overloads of a service in virtual time, with hosts that share its slots.
//!
//! Guards against this failure: callers of an overloaded service were never served, depending on
//! which host they called and on chance.

use admission::{Entry, Late, Queue, Returns, ServiceTime, Ticket, Turns, Waiting};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);
const SERVICE_TIME: Duration = Duration::from_millis(100);
const TIME_LEFT: Duration = Duration::from_millis(800);
const PLAYED: Duration = Duration::from_secs(30);
/// Time at the beginning that isn't counted.
const WARM_UP: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// Sends its next request at this time.
    Away(Instant),
    Waits,
    /// Is served until this time.
    Served(Instant),
}

struct Caller {
    host: usize,
    state: State,
    served: u32,
}

#[derive(Default)]
struct Host {
    queue: Queue,
    turns: Turns,
    returns: Returns,
    waiting: Vec<(Ticket, usize)>,
    running: usize,
}

impl Host {
    /// Demand as hosts report it: what runs and waits, from the part that is in its turn.
    fn demand(&self) -> f64 {
        (self.running + self.queue.len()) as f64 / self.turns.part_in_turn()
    }

    fn reject(&mut self, waiting: &Waiting, excess: Duration, now: Instant) -> Instant {
        self.turns.record_rejection(now);
        let room_at = now + excess.max(Duration::from_millis(50));
        let at = waiting.turn.return_at(room_at, now);
        self.returns.record(waiting.hash, at, now);
        at
    }

    fn caller_of(&mut self, ticket: Ticket) -> usize {
        let at = self.waiting.iter().position(|(t, _)| *t == ticket).unwrap();
        self.waiting.swap_remove(at).1
    }
}

/// Plays callers that send requests one after another to drawn hosts; returns how often each was
/// served. `slots` are shared by all hosts.
fn play(hosts: usize, callers: usize, slots: usize) -> Vec<u32> {
    let mut rng = fastrand::Rng::with_seed(hosts as u64 ^ 85);
    let begin = Instant::now() + Duration::from_secs(10);
    let mut service_time = ServiceTime::default();
    service_time.record(SERVICE_TIME);
    let mut all: Vec<Host> = (0..hosts).map(|_| Host::default()).collect();
    let mut callers: Vec<Caller> = (0..callers)
        .map(|_| Caller {
            host: 0,
            state: State::Away(begin),
            served: 0,
        })
        .collect();
    let mut now = begin;
    while now < begin + PLAYED {
        let clock_ms = (now - begin).as_millis() as u64 + 100_000;
        for (id, caller) in callers.iter_mut().enumerate() {
            match caller.state {
                State::Served(until) if until <= now => {
                    all[caller.host].running -= 1;
                    caller.served += u32::from(now >= begin + WARM_UP);
                    caller.state = State::Away(now);
                }
                State::Away(at) if at <= now => {
                    caller.host = rng.usize(..hosts);
                    caller.state = State::Waits;
                    let host = &mut all[caller.host];
                    let hash = (id as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                    let turn = host.turns.turn(hash, clock_ms, now);
                    let max_wait = match turn.has_begun(now) {
                        true => TIME_LEFT - SERVICE_TIME,
                        false => SERVICE_TIME,
                    };
                    let (turn, max_wait) = match host.returns.return_time(hash, now) {
                        Some(at) => (turn.early(at), STEP),
                        None => (turn, max_wait),
                    };
                    let ticket = host.queue.push(Waiting {
                        rank: 1,
                        hash,
                        turn,
                        tie: rng.u64(..),
                        since: now,
                        send_by: now + max_wait,
                    });
                    host.waiting.push((ticket, id));
                }
                _ => {}
            }
        }
        let demand: f64 = all.iter().map(Host::demand).sum();
        let mut free = slots - all.iter().map(|h| h.running).sum::<usize>();
        let first = rng.usize(..hosts);
        for at in 0..hosts {
            let host = &mut all[(first + at) % hosts];
            if host.queue.is_empty() {
                continue;
            }
            host.turns.relax(now);
            let share = (slots as f64 * host.demand() / demand.max(1.0)).max(1.0);
            let rate = service_time.rate(slots as f64 * host.demand() / demand.max(1.0));
            for Late { entry, excess } in host.queue.take_late(rate, now) {
                let at = host.reject(&entry.request, excess, now);
                let id = host.caller_of(entry.ticket);
                callers[id].state = State::Away(at);
            }
            while free > 0 && (host.running as f64) < share.ceil() {
                let Some(Entry { ticket, request }) = host.queue.pop() else {
                    break;
                };
                let waited = request.waited_part(now);
                host.turns
                    .record_sent(request.turn.has_begun(now), waited, now);
                let id = host.caller_of(ticket);
                callers[id].state = State::Served(now + SERVICE_TIME);
                host.running += 1;
                free -= 1;
            }
        }
        now += STEP;
    }
    callers.into_iter().map(|c| c.served).collect()
}

#[test]
fn each_caller_is_served_at_any_number_of_hosts() {
    for (hosts, slots) in [(4, 8), (16, 24), (59, 60), (190, 64), (629, 216)] {
        let mut served = play(hosts, slots * 8, slots);
        served.sort_unstable();
        let (least, median) = (served[0], served[served.len() / 2]);
        let all: u32 = served.iter().sum();
        let possible = slots as f64 * 10.0 * (PLAYED - WARM_UP).as_secs_f64();
        let goodput = f64::from(all) / possible;
        println!("{hosts} hosts: least {least}, median {median}, goodput {goodput:.2}");
        assert!(goodput >= 0.9, "{hosts} hosts: goodput {goodput:.2}");
        assert!(least > 0, "{hosts} hosts: {served:?}");
        assert!(least * 2 >= median, "{hosts} hosts: {served:?}");
    }
}

fn waiting(rank: u32, now: Instant) -> Waiting {
    Waiting {
        rank,
        hash: 0,
        turn: Turns::default().turn(0, 0, now),
        tie: 0,
        since: now,
        send_by: now + TIME_LEFT,
    }
}

#[test]
fn urgent_requests_leave_a_quarter_to_the_others() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let tickets = |queue: &mut Queue, rank| -> Vec<Ticket> {
        (0..12).map(|_| queue.push(waiting(rank, now))).collect()
    };
    let later = tickets(&mut queue, 2);
    tickets(&mut queue, 0);
    let first: Vec<Ticket> = (0..12).map(|_| queue.pop().unwrap().ticket).collect();
    assert_eq!(first.iter().filter(|t| later.contains(t)).count(), 3);
    assert!(!later.contains(&first[0]));
}

#[test]
fn requests_that_cannot_be_sent_in_time_are_rejected_at_once() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for _ in 0..20 {
        queue.push(waiting(1, now));
    }
    // Ten requests per second, and 0.8 s: the tenth would be sent after 0.9 s.
    let late = queue.take_late(Some(10.0), now);
    assert_eq!((queue.len(), late.len()), (9, 11));
}

#[test]
fn without_an_overload_requests_go_by_arrival() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let later = Duration::from_millis(1);
    let tickets: Vec<Ticket> = (0..5)
        .map(|n| queue.push(waiting(1, now + later * n)))
        .collect();
    let order: Vec<Ticket> = std::iter::from_fn(|| queue.pop().map(|e| e.ticket)).collect();
    assert_eq!(order, tickets);
}

/// Guards against turns that outlast their overload: the next requests would be rejected although
/// nothing else waits.
#[test]
fn an_overload_ends_some_seconds_after_the_last_rejection() {
    let begin = Instant::now();
    let mut turns = Turns::default();
    for n in 0..200 {
        let now = begin + Duration::from_millis(50) * n;
        turns.record_rejection(now);
        turns.record_sent(true, 1.0, now);
    }
    let end = begin + Duration::from_secs(10);
    assert!(turns.is_in_use());
    assert!(turns.part_in_turn() < 0.1);
    turns.relax(end + Duration::from_secs(5));
    assert!(!turns.is_in_use());
}
