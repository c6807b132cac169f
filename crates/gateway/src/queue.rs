//! Requests that wait at this host for an upstream of a plain service.
//!
//! Requests wait only while an upstream of the service is full, which its rejections show; see
//! [`crate::fleet::saturation`]. [`admission`] decides who is sent next and who is rejected.

use crate::fleet::{PlainCapacity, ServiceKey};
use crate::monotonic;
use crate::state::Gateway;
use admission::{Entry, Late, Queue, Returns, ServiceTime, Ticket, Turn, Turns, Waiting};
use observe::{Event, emit};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Interval between checks of the waiting requests. Requests of this host that end are noticed at
/// once, those of other hosts by their reports.
const CHECK_EVERY: Duration = Duration::from_millis(10);
/// Longest wait of a client that returns earlier than it was asked to: it is sent if there is room.
const MAX_EARLY_WAIT: Duration = Duration::from_millis(20);
/// Shortest time after which a rejected request may return.
const MIN_RETURN_TIME: Duration = Duration::from_millis(50);
/// Largest part of the time that a request has left which is reserved for its estimated duration. As
/// each request may wait for the rest, a wrong estimate is corrected by answers.
const MAX_ESTIMATED_PART: f64 = 0.5;

/// Queues of all plain services.
#[derive(Debug, Default)]
pub struct ServiceQueues {
    /// Sorted by service.
    all: Mutex<Vec<(ServiceKey, ServiceQueue)>>,
    /// Number of requests that wait for any service.
    waiting: AtomicUsize,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    queue: Queue,
    /// Turns of each priority, sorted.
    turns: Vec<(u32, Turns)>,
    returns: Returns,
    service_time: ServiceTime,
    /// Channels to the waiting requests.
    senders: Vec<(Ticket, oneshot::Sender<Verdict>)>,
    /// Requests that may be sent, and aren't counted as running yet.
    permits: u32,
    /// Whether a task checks the queue.
    is_checked: bool,
    /// Whether requests are rejected, as last logged.
    was_overloaded: bool,
}

/// A request that wants to be sent to an upstream of a plain service.
#[derive(Debug, Clone, Copy)]
pub struct Applicant {
    /// The service.
    pub service: ServiceKey,
    /// Priority, 0 for the most urgent.
    pub rank: u32,
    /// Hash of its content and sender.
    pub hash: u64,
    /// Time that it has left.
    pub time_left: Duration,
}

#[derive(Debug)]
enum Verdict {
    Send(SendPermit),
    Reject(Duration),
}

/// Permission to send a request. It is dropped once the request is counted as running.
#[derive(Debug)]
pub struct SendPermit {
    gateway: Arc<Gateway>,
    service: ServiceKey,
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        let queues = &self.gateway.queues;
        queues.with(self.service, |service| service.permits -= 1);
        check(&self.gateway, self.service);
    }
}

/// Removes a request from the queue when it no longer waits.
struct WaitGuard {
    gateway: Arc<Gateway>,
    service: ServiceKey,
    ticket: Ticket,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let queues = &self.gateway.queues;
        queues.with(self.service, |service| {
            service.senders.retain(|(ticket, _)| *ticket != self.ticket);
            if service.queue.remove(self.ticket) {
                queues.waiting.fetch_sub(1, Ordering::Relaxed);
            }
        });
    }
}

impl ServiceQueues {
    fn lock(&self) -> MutexGuard<'_, Vec<(ServiceKey, ServiceQueue)>> {
        self.all.lock().expect("no panic while locked")
    }

    fn with<T>(&self, service: ServiceKey, f: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut all = self.lock();
        let at = all.binary_search_by_key(&service, |(key, _)| *key);
        let at = at.unwrap_or_else(|at| {
            all.insert(at, (service, ServiceQueue::default()));
            at
        });
        f(&mut all[at].1)
    }

    /// Whether requests wait for any service.
    pub fn has_waiting(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    /// Records for how long an answered request has occupied a slot.
    pub fn record_service_time(&self, service: ServiceKey, took: Duration) {
        self.with(service, |service| service.service_time.record(took));
    }

    /// Time after which a client may return whose request was rejected by a full upstream.
    pub fn return_after_rejection(&self, gateway: &Gateway, applicant: &Applicant) -> Duration {
        let now = monotonic::now();
        self.with(applicant.service, |service| {
            let turn = service.turn(gateway, applicant, now);
            service.reject(applicant.rank, applicant.hash, turn, Duration::ZERO, now)
        })
    }
}

impl ServiceQueue {
    fn turns(&mut self, rank: u32) -> &mut Turns {
        let at = self.turns.binary_search_by_key(&rank, |(r, _)| *r);
        let at = at.unwrap_or_else(|at| {
            self.turns.insert(at, (rank, Turns::default()));
            at
        });
        &mut self.turns[at].1
    }

    /// Whether requests are rejected.
    fn is_overloaded(&self) -> bool {
        self.turns.iter().any(|(_, turns)| turns.is_in_use())
    }

    fn relax(&mut self, now: Instant) {
        for (_, turns) in &mut self.turns {
            turns.relax(now);
        }
        if !self.is_overloaded() {
            self.returns.clear();
        }
    }

    /// The log line for the begin or end of an overload, if it isn't logged yet.
    fn overload_event(&mut self, name: &str) -> Option<Event<'static>> {
        let is_overloaded = self.is_overloaded();
        let is_new = is_overloaded != std::mem::replace(&mut self.was_overloaded, is_overloaded);
        is_new.then(|| Event::ServiceOverloaded {
            service: name.to_owned(),
            is_overloaded,
            waiting: self.queue.len(),
        })
    }

    fn turn(&mut self, gateway: &Gateway, applicant: &Applicant, now: Instant) -> Turn {
        let registry = gateway.registry();
        let since_read = now.saturating_duration_since(registry.read_at);
        let clock_ms = registry.store_ms + since_read.as_millis() as u64;
        self.turns(applicant.rank)
            .turn(applicant.hash, clock_ms, now)
    }

    /// Records the rejection of a request; returns the time after which its client may return.
    fn reject(
        &mut self,
        rank: u32,
        hash: u64,
        turn: Turn,
        excess: Duration,
        now: Instant,
    ) -> Duration {
        self.turns(rank).record_rejection(now);
        let return_at = turn.return_at(now + excess.max(MIN_RETURN_TIME), now);
        self.returns.record(hash, return_at, now);
        return_at.saturating_duration_since(now)
    }

    fn record_sent(&mut self, request: &Waiting, now: Instant) {
        let was_in_turn = request.turn.has_begun(now);
        self.turns(request.rank)
            .record_sent(was_in_turn, request.waited_part(now), now);
        if self.queue.ranks().any(|rank| rank < request.rank) {
            return;
        }
        let more_urgent = self
            .turns
            .iter_mut()
            .filter(|(rank, _)| *rank < request.rank);
        more_urgent.for_each(|(_, turns)| turns.record_unused(now));
    }

    /// Adds a request, which gets a verdict later.
    fn push(
        &mut self,
        gateway: &Gateway,
        applicant: &Applicant,
        now: Instant,
    ) -> (Ticket, oneshot::Receiver<Verdict>) {
        self.relax(now);
        let turn = self.turn(gateway, applicant, now);
        let needed = self.service_time.upper_bound();
        let needed = needed.min(applicant.time_left.mul_f64(MAX_ESTIMATED_PART));
        let max_wait = applicant.time_left - needed;
        let (turn, max_wait) = match self.returns.return_time(applicant.hash, now) {
            // It gains nothing from returning earlier.
            Some(at) => (turn.early(at), max_wait.min(MAX_EARLY_WAIT)),
            None if turn.has_begun(now) => (turn, max_wait),
            // Those in their turn go first, so it is sent soon or not at all.
            None => (turn, max_wait.min(self.service_time.mean())),
        };
        let ticket = self.queue.push(Waiting {
            rank: applicant.rank,
            hash: applicant.hash,
            turn,
            tie: match self.is_overloaded() {
                true => fastrand::u64(..),
                false => 0,
            },
            since: now,
            send_by: now + max_wait,
        });
        let (tx, rx) = oneshot::channel();
        self.senders.push((ticket, tx));
        (ticket, rx)
    }

    fn take_sender(&mut self, ticket: Ticket) -> Option<oneshot::Sender<Verdict>> {
        let at = self.senders.iter().position(|(t, _)| *t == ticket)?;
        Some(self.senders.swap_remove(at).1)
    }

    /// Number of requests that would run or wait if none were asked to return later, estimated from
    /// the part that is in its turn.
    fn demand(&self, capacity: &PlainCapacity) -> u32 {
        let sent = f64::from(capacity.running + self.permits);
        let part_of = |rank| {
            let at = self.turns.binary_search_by_key(&rank, |(r, _)| *r);
            at.map_or(1.0, |at| self.turns[at].1.part_in_turn())
        };
        let waiting = self.queue.len() as f64;
        let wanting: f64 = self.queue.ranks().map(|rank| 1.0 / part_of(rank)).sum();
        let factor = match self.queue.is_empty() {
            true => 1.0,
            false => wanting / waiting,
        };
        (sent * factor + wanting).round() as u32
    }

    /// Decides on the waiting requests; returns the verdicts and to whom they go.
    fn decide(
        &mut self,
        gateway: &Arc<Gateway>,
        service: ServiceKey,
        capacity: &PlainCapacity,
        now: Instant,
    ) -> Vec<(oneshot::Sender<Verdict>, Verdict)> {
        self.relax(now);
        let share = capacity.share(self.demand(capacity));
        let mut verdicts = Vec::new();
        for Late { entry, excess } in self.queue.take_late(self.service_time.rate(share), now) {
            let Entry { ticket, request } = entry;
            let wait = self.reject(request.rank, request.hash, request.turn, excess, now);
            let tx = self.take_sender(ticket);
            verdicts.extend(tx.map(|tx| (tx, Verdict::Reject(wait))));
        }
        while capacity.has_room(share, self.permits) {
            let Some(Entry { ticket, request }) = self.queue.pop() else {
                break;
            };
            let Some(tx) = self.take_sender(ticket) else {
                continue;
            };
            self.record_sent(&request, now);
            self.permits += 1;
            let permit = SendPermit {
                gateway: gateway.clone(),
                service,
            };
            verdicts.push((tx, Verdict::Send(permit)));
        }
        verdicts
    }
}

/// Waits until the request may be sent. The error is the time after which its client may return.
pub async fn wait_for_room(
    gateway: &Arc<Gateway>,
    applicant: &Applicant,
) -> Result<SendPermit, Duration> {
    let (queues, service) = (&gateway.queues, applicant.service);
    let now = monotonic::now();
    let (ticket, verdict, starts_checks) = queues.with(service, |queue| {
        let (ticket, verdict) = queue.push(gateway, applicant, now);
        queues.waiting.fetch_add(1, Ordering::Relaxed);
        let starts_checks = !std::mem::replace(&mut queue.is_checked, true);
        (ticket, verdict, starts_checks)
    });
    let _guard = WaitGuard {
        gateway: gateway.clone(),
        service,
        ticket,
    };
    if starts_checks {
        tokio::spawn(check_while_waiting(gateway.clone(), service));
    }
    check(gateway, service);
    match verdict.await {
        Ok(Verdict::Send(permit)) => Ok(permit),
        Ok(Verdict::Reject(wait)) => Err(wait),
        // The verdict is sent before the sender is dropped.
        Err(_) => Err(Duration::ZERO),
    }
}

/// Checks the queue of a service until it is empty.
async fn check_while_waiting(gateway: Arc<Gateway>, service: ServiceKey) {
    loop {
        tokio::time::sleep(CHECK_EVERY).await;
        check(&gateway, service);
        let is_empty = gateway.queues.with(service, |queue| {
            queue.is_checked = !queue.queue.is_empty();
            if !queue.is_checked {
                gateway.fleet().set_queued(service, 0);
            }
            !queue.is_checked
        });
        if is_empty {
            return;
        }
    }
}

/// Sends or rejects those of the waiting requests that it is time for.
pub fn check(gateway: &Arc<Gateway>, service: ServiceKey) {
    let queues = &gateway.queues;
    if !queues.has_waiting() {
        return;
    }
    let now = monotonic::now();
    let name = gateway.fleet().info(service).name.clone();
    let (verdicts, event) = queues.with(service, |queue| {
        let before = queue.queue.len();
        let capacity = gateway.fleet().plain_capacity(service, now);
        let verdicts = queue.decide(gateway, service, &capacity, now);
        queues
            .waiting
            .fetch_sub(before - queue.queue.len(), Ordering::Relaxed);
        let unsent = queue.demand(&capacity).saturating_sub(capacity.running);
        gateway.fleet().set_queued(service, unsent as usize);
        (verdicts, queue.overload_event(&name))
    });
    event.iter().for_each(emit);
    for (tx, verdict) in verdicts {
        // A permit that nobody waits for any more is returned when it is dropped.
        let _ = tx.send(verdict);
    }
}
