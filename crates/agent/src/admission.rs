//! Admission control for one upstream: a bounded queue per class, and a limited number of slots.
//!
//! A free slot goes to the waiting request with the highest urgency. Among equally urgent classes
//! it goes to the one furthest below its share, and within a class to the tenant that has received
//! the least work. Requests that have waited longer than the starvation bound of their class go
//! first, as long as the class uses less than its share of the slots, so that overdue requests
//! can't crowd out urgent ones. A request that can't start before its deadline is refused
//! immediately.

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

/// Minimum retry delay sent with a refusal, in milliseconds.
pub const MIN_RETRY_MS: u64 = 100;

/// The queue and the slots of one upstream.
#[derive(Debug)]
pub struct Admission {
    state: Mutex<QueueState>,
}

/// A request for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest<'a> {
    /// Class of the request.
    pub class: &'a Class,
    /// Tenant of the request.
    pub tenant: &'a str,
    /// Limits per tenant.
    pub limits: TenantLimits,
    /// Expected cost of the request.
    pub cost: Cost,
    /// Latest time for the first byte of the response.
    pub deadline: Instant,
    /// Time at which the entry exits, less the time reserved for the response. The request must
    /// start by then.
    pub must_end_by: Option<Instant>,
}

/// A slot at the upstream, released on drop.
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

/// A place in the queue, given up on drop.
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
    /// Creates an admission queue without slots; the document sets their number.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(QueueState::default()),
        })
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().expect("no panic while locked")
    }

    /// Sets the maximum number of requests that the upstream runs concurrently.
    pub fn set_slots(self: &Arc<Self>, slots: u32) {
        let grants = self.lock().set_slots(slots, Instant::now());
        self.clone().deliver_grants(grants);
    }

    /// Refuses all waiting requests, and all new ones until [`Self::open`] is called.
    pub fn close(&self, reason: Reason) {
        for tx in self.lock().close(reason) {
            // The send fails if the waiter was cancelled, which needs no handling.
            let _ = tx.send(Err(Refusal::not_run(reason).retry_in(MIN_RETRY_MS)));
        }
    }

    /// Accepts requests again after [`Self::close`].
    pub fn open(&self) {
        self.lock().open();
    }

    /// Number of waiting requests and of running requests.
    pub fn counts(&self) -> (u32, u32) {
        self.lock().counts()
    }

    /// Running and waiting requests, in thousandths of the slots.
    pub fn load(&self) -> u32 {
        self.lock().load()
    }

    /// Expected time in the queue for a request of this class, in milliseconds.
    pub fn expected_wait_ms(&self, class: &Class) -> f64 {
        self.lock().expected_wait_ms(class.urgency, Instant::now())
    }

    /// Waits for a slot until the deadline of the request, or until `must_end_by` if that is earlier.
    /// Dropping the future leaves the queue.
    pub async fn admit(self: &Arc<Self>, request: SlotRequest<'_>) -> Result<SlotGuard, Refusal> {
        let (tx, mut rx) = oneshot::channel();
        let now = Instant::now();
        let (id, grants) = self.lock().enqueue(&request, tx, now)?;
        let _queue_guard = QueueGuard {
            admission: self.clone(),
            id,
        };
        self.clone().deliver_grants(grants);
        let must_end_by = request.must_end_by.filter(|at| *at < request.deadline);
        let left = must_end_by
            .unwrap_or(request.deadline)
            .saturating_duration_since(now);
        match tokio::time::timeout(left, &mut rx).await {
            Ok(Ok(answer)) => answer,
            // Unreachable: the queue answers every waiter before it drops the sender.
            Ok(Err(_)) => Err(Refusal::not_run(Reason::NotReady)),
            Err(_) => {
                // A slot may have been granted after the timeout; dropping it here releases it.
                rx.close();
                drop(rx.try_recv());
                if must_end_by.is_some() {
                    return Err(Refusal::not_run(Reason::Leaving).retry_in(MIN_RETRY_MS));
                }
                let wait_ms = self.expected_wait_ms(request.class);
                Err(Refusal::not_run(Reason::DeadlinePassed).retry_in(retry_after_ms(wait_ms)))
            }
        }
    }

    /// Sends granted slots to their waiters without holding the lock. If the waiter is gone, the
    /// guard is dropped here, which gives the slot to the next one.
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

/// Retry delay for a refused request, based on the expected wait.
fn retry_after_ms(wait_ms: f64) -> u64 {
    (wait_ms as u64).max(MIN_RETRY_MS)
}

/// Milliseconds from `now` until `at`; negative if `at` has passed.
fn ms_until(at: Instant, now: Instant) -> f64 {
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    ms(at.saturating_duration_since(now)) - ms(now.saturating_duration_since(at))
}
