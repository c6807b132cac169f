//! State of the admission queue: waiting and running requests, and usage per class and tenant.

use super::pick::{ClassUsage, PickInput, TenantUsage, Waiter, pick};
use super::{MIN_RETRY_MS, SlotGuard, SlotRequest, ms_until, retry_after_ms};
use crate::rates::Cost;
use std::time::Instant;
use tokio::sync::oneshot;
use wire::{Reason, Refusal};

/// Channel for the result of a wait.
pub type Reply = oneshot::Sender<Result<SlotGuard, Refusal>>;

/// A slot that was assigned to a waiter.
#[derive(Debug)]
pub struct Grant {
    pub id: u64,
    pub tx: Reply,
}

#[derive(Debug)]
struct Pending {
    tx: Reply,
    cost: Cost,
    deadline: Instant,
    must_end_by: Option<Instant>,
}

#[derive(Debug)]
struct RunningRequest {
    id: u64,
    class: usize,
    tenant: usize,
    expected_end: Instant,
}

/// State protected by the lock of [`super::Admission`].
#[derive(Debug, Default)]
pub struct QueueState {
    slots: u32,
    closed: Option<Reason>,
    next_id: u64,
    /// Waiting requests in order of arrival, and the data kept for each of them at the same index.
    waiters: Vec<Waiter>,
    pending: Vec<Pending>,
    running: Vec<RunningRequest>,
    /// Usage per class and tenant. An index stays valid while the item is in use, and unused items
    /// are overwritten.
    classes: Vec<ClassUsage>,
    tenants: Vec<TenantUsage>,
    /// Virtual time of the fair queue: the work that the last started tenant had received before.
    /// Never decreases.
    virtual_time_ms: f64,
}

impl QueueState {
    pub fn set_slots(&mut self, slots: u32, now: Instant) -> Vec<Grant> {
        self.slots = slots;
        self.dispatch(now)
    }

    pub fn close(&mut self, reason: Reason) -> Vec<Reply> {
        self.closed = Some(reason);
        let ids: Vec<u64> = self.waiters.iter().map(|w| w.id).collect();
        ids.into_iter()
            .filter_map(|id| self.remove(id))
            .map(|p| p.tx)
            .collect()
    }

    pub fn open(&mut self) {
        self.closed = None;
    }

    pub fn counts(&self) -> (u32, u32) {
        (self.waiters.len() as u32, self.running.len() as u32)
    }

    pub fn load(&self) -> u32 {
        let all = (self.running.len() + self.waiters.len()) as u32;
        all.saturating_mul(1000) / self.slots.max(1)
    }

    /// Expected time until a slot is free for a request of this urgency: the remaining work of
    /// running requests and the cost of those queued ahead, divided by the number of slots.
    pub fn expected_wait_ms(&self, urgency: u32, now: Instant) -> f64 {
        if (self.running.len() as u32) < self.slots && self.waiters.is_empty() {
            return 0.0;
        }
        let running_ms: f64 = self
            .running
            .iter()
            .map(|a| ms_until(a.expected_end, now).max(0.0))
            .sum();
        let queued_ms = self.waiters.iter().zip(&self.pending);
        let queued_ms: f64 = queued_ms
            .filter(|(w, _)| w.urgency <= urgency)
            .map(|(_, p)| p.cost.total_ms)
            .sum();
        (running_ms + queued_ms) / f64::from(self.slots.max(1))
    }

    /// Adds a request to the queue, or refuses it immediately.
    pub fn enqueue(
        &mut self,
        request: &SlotRequest<'_>,
        tx: Reply,
        now: Instant,
    ) -> Result<(u64, Vec<Grant>), Refusal> {
        if let Some(reason) = self.closed {
            return Err(Refusal::not_run(reason).retry_in(MIN_RETRY_MS));
        }
        let wait_ms = self.expected_wait_ms(request.class.urgency, now);
        if self.class_waiting(&request.class.name) >= request.class.queue {
            return Err(Refusal::not_run(Reason::QueueFull).retry_in(retry_after_ms(wait_ms)));
        }
        if self.tenant_is_full(request) {
            return Err(Refusal::not_run(Reason::TenantLimit).retry_in(retry_after_ms(wait_ms)));
        }
        // If nothing is running, a request is admitted even if its estimate is too high; otherwise
        // a wrong estimate could never be corrected.
        let first_byte_in_ms = wait_ms + request.cost.first_byte_ms;
        if first_byte_in_ms > ms_until(request.deadline, now) && !self.running.is_empty() {
            return Err(
                Refusal::not_run(Reason::DeadlineUnreachable).retry_in(retry_after_ms(wait_ms))
            );
        }
        // If the length of the response is unknown, it may last until the deadline.
        let known_ms = (request.cost.total_ms > 0.0).then_some(wait_ms + request.cost.total_ms);
        let expected_end = known_ms.unwrap_or_else(|| ms_until(request.deadline, now));
        if ends_after(request.must_end_by, expected_end, now) {
            return Err(Refusal::not_run(Reason::Leaving).retry_in(MIN_RETRY_MS));
        }
        self.next_id += 1;
        let id = self.next_id;
        let class = self.class_index(&request.class.name, request.class.share);
        let tenant = self.tenant_index(request.tenant, request.limits.running);
        self.classes[class].waiting += 1;
        self.tenants[tenant].waiting += 1;
        self.waiters.push(Waiter {
            id,
            class,
            tenant,
            urgency: request.class.urgency,
            queued_at: now,
            starvation_bound: request.class.starvation_bound,
        });
        self.pending.push(Pending {
            tx,
            cost: request.cost,
            deadline: request.deadline,
            must_end_by: request.must_end_by,
        });
        Ok((id, self.dispatch(now)))
    }

    /// Removes a request from the queue if it is still waiting.
    pub fn cancel(&mut self, id: u64) {
        self.remove(id);
    }

    /// Releases the slot of a request that has ended.
    pub fn release(&mut self, id: u64, now: Instant) -> Vec<Grant> {
        if let Some(at) = self.running.iter().position(|a| a.id == id) {
            let a = self.running.swap_remove(at);
            self.classes[a.class].running -= 1;
            self.tenants[a.tenant].running -= 1;
        }
        self.dispatch(now)
    }

    fn dispatch(&mut self, now: Instant) -> Vec<Grant> {
        let mut grants = Vec::new();
        while (self.running.len() as u32) < self.slots {
            let chosen = pick(&PickInput {
                waiters: &self.waiters,
                classes: &self.classes,
                tenants: &self.tenants,
                slots: self.slots,
                now,
            });
            let Some(at) = chosen else { break };
            let w = self.waiters[at].clone();
            let Some(p) = self.remove(w.id) else { break };
            if let Some(reason) = self.unreachable_reason(&p, now) {
                let refusal = Refusal::not_run(reason).retry_in(MIN_RETRY_MS);
                // The send fails if the waiter was cancelled, which needs no handling.
                let _ = p.tx.send(Err(refusal));
                continue;
            }
            self.start(&w, &p, now);
            grants.push(Grant { id: w.id, tx: p.tx });
        }
        grants
    }

    /// Returns why a request can no longer be served in time: its response would not end before its
    /// entry exits, or would not start before its deadline. The latter only counts while other
    /// requests run.
    fn unreachable_reason(&self, p: &Pending, now: Instant) -> Option<Reason> {
        if ends_after(p.must_end_by, p.cost.total_ms, now) {
            return Some(Reason::Leaving);
        }
        let misses_deadline =
            p.cost.first_byte_ms > ms_until(p.deadline, now) && !self.running.is_empty();
        misses_deadline.then_some(Reason::DeadlineUnreachable)
    }

    fn start(&mut self, w: &Waiter, p: &Pending, now: Instant) {
        let expected_end = now + std::time::Duration::from_secs_f64(p.cost.total_ms / 1000.0);
        self.running.push(RunningRequest {
            id: w.id,
            class: w.class,
            tenant: w.tenant,
            expected_end,
        });
        self.classes[w.class].running += 1;
        let tenant = &mut self.tenants[w.tenant];
        tenant.running += 1;
        self.virtual_time_ms = self.virtual_time_ms.max(tenant.served_ms);
        // A request of unknown cost counts as 1 ms.
        tenant.served_ms += p.cost.total_ms.max(1.0);
    }

    fn remove(&mut self, id: u64) -> Option<Pending> {
        let at = self.waiters.binary_search_by_key(&id, |w| w.id).ok()?;
        let w = self.waiters.remove(at);
        self.classes[w.class].waiting -= 1;
        self.tenants[w.tenant].waiting -= 1;
        Some(self.pending.remove(at))
    }

    fn class_waiting(&self, name: &str) -> u32 {
        self.classes
            .iter()
            .find(|c| c.name == name)
            .map_or(0, |c| c.waiting)
    }

    fn tenant_is_full(&self, request: &SlotRequest<'_>) -> bool {
        let found = self.tenants.iter().find(|t| t.name == request.tenant);
        found.is_some_and(|t| {
            t.running >= request.limits.running && t.waiting >= request.limits.queue
        })
    }

    fn class_index(&mut self, name: &str, share: f64) -> usize {
        let found = self.classes.iter().position(|c| c.name == name);
        let free = || {
            self.classes
                .iter()
                .position(|c| c.waiting == 0 && c.running == 0)
        };
        let fresh = ClassUsage {
            name: name.to_owned(),
            share,
            waiting: 0,
            running: 0,
        };
        match found.or_else(free) {
            Some(at) if self.classes[at].name == name => {
                self.classes[at].share = share;
                at
            }
            Some(at) => {
                self.classes[at] = fresh;
                at
            }
            None => {
                self.classes.push(fresh);
                self.classes.len() - 1
            }
        }
    }

    fn tenant_index(&mut self, name: &str, limit: u32) -> usize {
        let found = self.tenants.iter().position(|t| t.name == name);
        let free = || {
            self.tenants
                .iter()
                .position(|t| t.waiting == 0 && t.running == 0)
        };
        let virtual_time_ms = self.virtual_time_ms;
        match found.or_else(free) {
            Some(at) if self.tenants[at].name == name => {
                let t = &mut self.tenants[at];
                t.limit = limit;
                // A tenant gains no credit for the time during which it had no requests.
                if t.waiting == 0 && t.running == 0 {
                    t.served_ms = t.served_ms.max(virtual_time_ms);
                }
                at
            }
            index => {
                let name = name.to_owned();
                let fresh = TenantUsage {
                    name,
                    waiting: 0,
                    running: 0,
                    limit,
                    served_ms: virtual_time_ms,
                };
                match index {
                    Some(at) => self.tenants[at] = fresh,
                    None => self.tenants.push(fresh),
                }
                index.unwrap_or(self.tenants.len() - 1)
            }
        }
    }
}

/// Whether something that takes `ms` milliseconds from now lasts beyond `end`.
fn ends_after(end: Option<Instant>, ms: f64, now: Instant) -> bool {
    end.is_some_and(|end| ms > ms_until(end, now))
}
