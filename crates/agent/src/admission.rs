//! Admission: who runs at the upstream, who waits, who is refused.
//!
//! Each class has a bounded queue. The most urgent waiting request runs first;
//! among equally urgent classes the one furthest below its share; within a
//! class the tenant that had least. A request that waited past its class's
//! starvation bound goes first, as long as its class runs less than its share
//! of the slots, so that overdue work can't crowd out urgent work. What can't
//! begin before its deadline is refused at once.

mod pick;
mod queue;

pub use pick::{ClassUsage, PickInput, TenantUsage, Waiter, pick};

use crate::rates::Cost;
use conf::{Class, TenantLimits};
use queue::{Grant, QueueState};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use wire::{Reason, Refusal};

/// Shortest time after which a refused caller is asked back, in milliseconds.
pub const MIN_RETRY_MS: u64 = 100;

/// The queue and slots of one upstream.
#[derive(Debug)]
pub struct Admission {
    state: Mutex<QueueState>,
}

/// What a request brings to admission.
#[derive(Debug, Clone)]
pub struct SlotRequest<'a> {
    /// Its class.
    pub class: &'a Class,
    /// Its tenant.
    pub tenant: &'a str,
    /// The tenant's limits.
    pub limits: TenantLimits,
    /// What it is expected to cost.
    pub cost: Cost,
    /// When it must have begun to be answered.
    pub deadline: Instant,
    /// When its answer must have ended, as the entry ends then.
    pub must_end_by: Option<Instant>,
}

/// A slot at the upstream, free again when this is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    admission: Arc<Admission>,
    id: u64,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let grants = self.admission.lock().release(self.id, Instant::now());
        self.admission.clone().deliver_grants(grants);
    }
}

/// A place in the queue, left when this is dropped.
struct QueueGuard {
    admission: Arc<Admission>,
    id: u64,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.admission.lock().cancel(self.id);
    }
}

impl Admission {
    /// Admission with no slots yet; the document sets them.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(QueueState::default()),
        })
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().expect("no panic while locked")
    }

    /// Sets how many requests the upstream runs at once.
    pub fn set_slots(self: &Arc<Self>, slots: u32) {
        let grants = self.lock().set_slots(slots, Instant::now());
        self.clone().deliver_grants(grants);
    }

    /// Refuses all that wait, and all that come while closed.
    pub fn close(&self, reason: Reason) {
        for tx in self.lock().close(reason) {
            // A waiter that went away needs no answer.
            let _ = tx.send(Err(Refusal::not_run(reason).retry_in(MIN_RETRY_MS)));
        }
    }

    /// Takes requests again.
    pub fn open(&self) {
        self.lock().open();
    }

    /// Requests that wait and that run.
    pub fn counts(&self) -> (u32, u32) {
        self.lock().counts()
    }

    /// Requests that run and wait, in thousandths of the slots.
    pub fn load(&self) -> u32 {
        self.lock().load()
    }

    /// Expected time in the queue of a request of a class, in milliseconds.
    pub fn expected_wait_ms(&self, class: &Class) -> f64 {
        self.lock().expected_wait_ms(class.urgency, Instant::now())
    }

    /// Waits for a slot. Dropping the wait leaves the queue.
    pub async fn admit(self: &Arc<Self>, request: SlotRequest<'_>) -> Result<SlotGuard, Refusal> {
        let (tx, mut rx) = oneshot::channel();
        let now = Instant::now();
        let (id, grants) = self.lock().enqueue(&request, tx, now)?;
        let _queue_guard = QueueGuard {
            admission: self.clone(),
            id,
        };
        self.clone().deliver_grants(grants);
        let left = request.deadline.saturating_duration_since(now);
        match tokio::time::timeout(left, &mut rx).await {
            Ok(Ok(answer)) => answer,
            // The queue never drops a waiter without an answer.
            Ok(Err(_)) => Err(Refusal::not_run(Reason::NotReady)),
            Err(_) => {
                // The slot may have come just now; then it is given back here.
                rx.close();
                drop(rx.try_recv());
                let wait_ms = self.expected_wait_ms(request.class);
                Err(Refusal::not_run(Reason::DeadlinePassed).retry_in(retry_after_ms(wait_ms)))
            }
        }
    }

    /// Sends slots to those who got them, outside the lock: a ticket that
    /// can't be sent is dropped here, which frees its slot for the next.
    fn deliver_grants(self: Arc<Self>, grants: Vec<Grant>) {
        for grant in grants {
            let slot = SlotGuard {
                admission: self.clone(),
                id: grant.id,
            };
            drop(grant.tx.send(Ok(slot)));
        }
    }
}

/// When a refused caller should come back, from the expected wait.
fn retry_after_ms(wait_ms: f64) -> u64 {
    (wait_ms as u64).max(MIN_RETRY_MS)
}

/// Milliseconds from now until a time, as a number that may be negative.
fn ms_until(at: Instant, now: Instant) -> f64 {
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    ms(at.saturating_duration_since(now)) - ms(now.saturating_duration_since(at))
}
