//! The queue's state: what waits, what runs, and for whom.

use super::pick::{ClassUse, Pick, TenantUse, Waiter, pick};
use super::{Ask, MIN_RETRY_MS, Ticket, ms_until, retry_ms};
use crate::rates::Cost;
use std::time::Instant;
use tokio::sync::oneshot;
use wire::{Reason, Refusal};

/// Where a waiter's answer goes.
pub type Reply = oneshot::Sender<Result<Ticket, Refusal>>;

/// A slot that was given to a waiter.
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
    end: Option<Instant>,
}

#[derive(Debug)]
struct Active {
    id: u64,
    class: usize,
    tenant: usize,
    ends: Instant,
}

/// All of it, behind the lock of [`super::Admission`].
#[derive(Debug, Default)]
pub struct Inner {
    slots: u32,
    closed: Option<Reason>,
    next_id: u64,
    /// Waiters and what is kept for each, in order of arrival.
    waiters: Vec<Waiter>,
    pending: Vec<Pending>,
    running: Vec<Active>,
    /// Arenas: places stay valid while in use, free ones are used again.
    classes: Vec<ClassUse>,
    tenants: Vec<TenantUse>,
    /// The fair queue's clock: what the least served waiting tenant was given.
    clock: f64,
}

impl Inner {
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

    /// Expected time until a slot is free for work of an urgency: what runs and
    /// what goes before, over the slots.
    pub fn expected_wait_ms(&self, urgency: u32, now: Instant) -> f64 {
        if (self.running.len() as u32) < self.slots && self.waiters.is_empty() {
            return 0.0;
        }
        let left: f64 = self
            .running
            .iter()
            .map(|a| ms_until(a.ends, now).max(0.0))
            .sum();
        let ahead = self.waiters.iter().zip(&self.pending);
        let ahead: f64 = ahead
            .filter(|(w, _)| w.urgency <= urgency)
            .map(|(_, p)| p.cost.total_ms)
            .sum();
        (left + ahead) / f64::from(self.slots.max(1))
    }

    /// Joins the queue, or is refused at once.
    pub fn join(
        &mut self,
        ask: &Ask<'_>,
        tx: Reply,
        now: Instant,
    ) -> Result<(u64, Vec<Grant>), Refusal> {
        if let Some(reason) = self.closed {
            return Err(Refusal::not_run(reason).retry_in(MIN_RETRY_MS));
        }
        let wait = self.expected_wait_ms(ask.class.urgency, now);
        if self.class_waiting(&ask.class.name) >= ask.class.queue {
            return Err(Refusal::not_run(Reason::QueueFull).retry_in(retry_ms(wait)));
        }
        if self.tenant_is_full(ask) {
            return Err(Refusal::not_run(Reason::TenantLimit).retry_in(retry_ms(wait)));
        }
        // With nothing running the estimate is tried out, or it could never mend.
        let begins = wait + ask.cost.first_ms;
        if begins > ms_until(ask.deadline, now) && !self.running.is_empty() {
            return Err(Refusal::not_run(Reason::DeadlineUnreachable).retry_in(retry_ms(wait)));
        }
        // Of an answer of unknown length its deadline is all that is known.
        let known = (ask.cost.total_ms > 0.0).then_some(wait + ask.cost.total_ms);
        let ends = known.unwrap_or_else(|| ms_until(ask.deadline, now));
        if is_past(ask.end, ends, now) {
            return Err(Refusal::not_run(Reason::Leaving).retry_in(MIN_RETRY_MS));
        }
        self.next_id += 1;
        let id = self.next_id;
        let class = self.class_place(&ask.class.name, ask.class.share);
        let tenant = self.tenant_place(ask.tenant, ask.limits.running);
        self.classes[class].waiting += 1;
        self.tenants[tenant].waiting += 1;
        self.waiters.push(Waiter {
            id,
            class,
            tenant,
            urgency: ask.class.urgency,
            since: now,
            starvation_bound: ask.class.starvation_bound,
        });
        self.pending.push(Pending {
            tx,
            cost: ask.cost,
            deadline: ask.deadline,
            end: ask.end,
        });
        Ok((id, self.dispatch(now)))
    }

    /// Leaves the queue, if still in it.
    pub fn forget(&mut self, id: u64) {
        self.remove(id);
    }

    /// Frees a slot.
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
            let chosen = pick(&Pick {
                waiters: &self.waiters,
                classes: &self.classes,
                tenants: &self.tenants,
                slots: self.slots,
                now,
            });
            let Some(at) = chosen else { break };
            let w = self.waiters[at].clone();
            let Some(p) = self.remove(w.id) else { break };
            if let Some(reason) = self.hopeless(&p, now) {
                let refusal = Refusal::not_run(reason).retry_in(MIN_RETRY_MS);
                // A waiter that went away needs no answer.
                let _ = p.tx.send(Err(refusal));
                continue;
            }
            self.start(&w, &p, now);
            grants.push(Grant { id: w.id, tx: p.tx });
        }
        grants
    }

    /// Why a request's answer can't begin or end in time any more: the one while
    /// others run, the other as its entry ends before.
    fn hopeless(&self, p: &Pending, now: Instant) -> Option<Reason> {
        if is_past(p.end, p.cost.total_ms, now) {
            return Some(Reason::Leaving);
        }
        let is_late = p.cost.first_ms > ms_until(p.deadline, now) && !self.running.is_empty();
        is_late.then_some(Reason::DeadlineUnreachable)
    }

    fn start(&mut self, w: &Waiter, p: &Pending, now: Instant) {
        let ends = now + std::time::Duration::from_secs_f64(p.cost.total_ms / 1000.0);
        self.running.push(Active {
            id: w.id,
            class: w.class,
            tenant: w.tenant,
            ends,
        });
        self.classes[w.class].running += 1;
        let tenant = &mut self.tenants[w.tenant];
        tenant.running += 1;
        self.clock = self.clock.max(tenant.given);
        // A request of unknown cost still counts for something.
        tenant.given += p.cost.total_ms.max(1.0);
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

    fn tenant_is_full(&self, ask: &Ask<'_>) -> bool {
        let found = self.tenants.iter().find(|t| t.name == ask.tenant);
        found.is_some_and(|t| t.running >= ask.limits.running && t.waiting >= ask.limits.queue)
    }

    fn class_place(&mut self, name: &str, share: f64) -> usize {
        let found = self.classes.iter().position(|c| c.name == name);
        let free = || {
            self.classes
                .iter()
                .position(|c| c.waiting == 0 && c.running == 0)
        };
        let fresh = ClassUse {
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

    fn tenant_place(&mut self, name: &str, limit: u32) -> usize {
        let found = self.tenants.iter().position(|t| t.name == name);
        let free = || {
            self.tenants
                .iter()
                .position(|t| t.waiting == 0 && t.running == 0)
        };
        let clock = self.clock;
        match found.or_else(free) {
            Some(at) if self.tenants[at].name == name => {
                let t = &mut self.tenants[at];
                t.limit = limit;
                // Time away earns no credit.
                if t.waiting == 0 && t.running == 0 {
                    t.given = t.given.max(clock);
                }
                at
            }
            place => {
                let name = name.to_owned();
                let fresh = TenantUse {
                    name,
                    waiting: 0,
                    running: 0,
                    limit,
                    given: clock,
                };
                match place {
                    Some(at) => self.tenants[at] = fresh,
                    None => self.tenants.push(fresh),
                }
                place.unwrap_or(self.tenants.len() - 1)
            }
        }
    }
}

/// Whether something that takes so many milliseconds from now on lasts past an end.
fn is_past(end: Option<Instant>, ms: f64, now: Instant) -> bool {
    end.is_some_and(|end| ms > ms_until(end, now))
}
