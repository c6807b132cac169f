//! Selects the next request to run, as a pure function of the waiting and running requests.

use std::time::{Duration, Instant};

/// A waiting request, reduced to what the selection needs.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// Sequence number in order of arrival.
    pub id: u64,
    /// Index of its class in [`PickInput::classes`].
    pub class: usize,
    /// Index of its tenant in [`PickInput::tenants`].
    pub tenant: usize,
    /// Urgency of its class; 0 is served first.
    pub urgency: u32,
    /// When it joined the queue.
    pub queued_at: Instant,
    /// Maximum time that more urgent requests may delay it.
    pub starvation_bound: Duration,
}

/// A class that has waiting or running requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassUsage {
    /// Name of the class.
    pub name: String,
    /// Fraction of the slots that the class is entitled to.
    pub share: f64,
    /// Number of its waiting requests.
    pub waiting: u32,
    /// Number of its running requests.
    pub running: u32,
}

/// A tenant that has waiting or running requests.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantUsage {
    /// Name of the tenant.
    pub name: String,
    /// Number of its waiting requests.
    pub waiting: u32,
    /// Number of its running requests.
    pub running: u32,
    /// Maximum number of its running requests.
    pub limit: u32,
    /// Work started for the tenant so far, in milliseconds of virtual time.
    pub served_ms: f64,
}

/// Input of the selection.
#[derive(Debug)]
pub struct PickInput<'a> {
    /// Waiting requests.
    pub waiters: &'a [Waiter],
    /// Classes that the waiters refer to.
    pub classes: &'a [ClassUsage],
    /// Tenants that the waiters refer to.
    pub tenants: &'a [TenantUsage],
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Current time.
    pub now: Instant,
}

/// Returns the index of the waiter to run next, or `None` if the tenants of all waiters are at
/// their limits.
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

/// Whether a class runs less than its share of the slots. A share is at least one slot.
fn below_share(class: &ClassUsage, slots: u32) -> bool {
    class.running < ((class.share * f64::from(slots)) as u32).max(1)
}
