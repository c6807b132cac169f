//! The choice of the next request to run, as a function of what waits and runs.

use std::time::{Duration, Instant};

/// A request that waits, as far as the choice needs it.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// Rises with arrival.
    pub id: u64,
    /// Its class, as a place in the classes in use.
    pub class: usize,
    /// Its tenant, as a place in the tenants in use.
    pub tenant: usize,
    /// 0 is served first.
    pub urgency: u32,
    /// When it came.
    pub queued_at: Instant,
    /// How long more urgent work may hold it back.
    pub starvation_bound: Duration,
}

/// A class that has requests here.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassUsage {
    /// The class's name.
    pub name: String,
    /// Fraction of the slots that it may expect.
    pub share: f64,
    /// Its requests that wait.
    pub waiting: u32,
    /// Its requests that run.
    pub running: u32,
}

/// A tenant that has requests here.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantUsage {
    /// The tenant's name.
    pub name: String,
    /// Its requests that wait.
    pub waiting: u32,
    /// Its requests that run.
    pub running: u32,
    /// Most of its requests that may run.
    pub limit: u32,
    /// Work that it was given, in milliseconds, on the fair queue's own clock.
    pub served_ms: f64,
}

/// Everything that the choice looks at.
#[derive(Debug)]
pub struct PickInput<'a> {
    /// Requests that wait.
    pub waiters: &'a [Waiter],
    /// Classes in use.
    pub classes: &'a [ClassUsage],
    /// Tenants in use.
    pub tenants: &'a [TenantUsage],
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// The time.
    pub now: Instant,
}

/// Gives the place of the request to run next, or none if all that wait are
/// held back by their tenants' limits.
pub fn pick(input: &PickInput<'_>) -> Option<usize> {
    let is_within_limit = |w: &Waiter| {
        let t = &input.tenants[w.tenant];
        t.running < t.limit
    };
    let candidates = || {
        input
            .waiters
            .iter()
            .enumerate()
            .filter(|(_, w)| is_within_limit(w))
    };
    let overdue = candidates()
        .filter(|(_, w)| input.now.saturating_duration_since(w.queued_at) > w.starvation_bound)
        .filter(|(_, w)| below_share(&input.classes[w.class], input.slots))
        .min_by_key(|(_, w)| w.id);
    if let Some((at, _)) = overdue {
        return Some(at);
    }
    let rank = |w: &Waiter| {
        let class = &input.classes[w.class];
        (
            w.urgency,
            f64::from(class.running) / class.share,
            input.tenants[w.tenant].served_ms,
            w.id,
        )
    };
    let best = candidates().min_by(|(_, a), (_, b)| {
        let (a, b) = (rank(a), rank(b));
        a.0.cmp(&b.0)
            .then(a.1.total_cmp(&b.1))
            .then(a.2.total_cmp(&b.2))
            .then(a.3.cmp(&b.3))
    });
    best.map(|(at, _)| at)
}

/// Whether a class runs less than its share of the slots; at least one slot is
/// within each share.
fn below_share(class: &ClassUsage, slots: u32) -> bool {
    class.running < ((class.share * f64::from(slots)) as u32).max(1)
}
