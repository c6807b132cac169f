//! Agents that failed of late, noticed by use.
//!
//! An agent whose connection fails is left out for a while, which doubles with
//! each failure that follows; see [`resilience::Health`].

use resilience::Health;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// Weight of a failure: one is enough, since a probe of a dead agent takes its
/// whole timeout and another agent is always asked beside it.
const LOST_WEIGHT: f64 = 1.0;

/// Agents that failed, sorted by address.
#[derive(Debug, Default)]
pub struct AgentHealth {
    failed: Mutex<Vec<(SocketAddr, Health)>>,
}

impl AgentHealth {
    fn lock(&self) -> MutexGuard<'_, Vec<(SocketAddr, Health)>> {
        self.failed.lock().expect("no panic while locked")
    }

    /// Whether an agent is left out at a time.
    pub fn is_suspended(&self, addr: SocketAddr, now: Instant) -> bool {
        let failed = self.lock();
        let at = failed.binary_search_by_key(&addr, |(a, _)| *a);
        at.is_ok_and(|at| failed[at].1.is_suspended(now))
    }

    /// Notes that an agent answered.
    pub fn succeeded(&self, addr: SocketAddr) {
        let mut failed = self.lock();
        if let Ok(at) = failed.binary_search_by_key(&addr, |(a, _)| *a) {
            failed[at].1.record_success();
        }
    }

    /// Notes that an agent failed.
    pub fn failed(&self, addr: SocketAddr, now: Instant) {
        let mut failed = self.lock();
        let at = match failed.binary_search_by_key(&addr, |(a, _)| *a) {
            Ok(at) => at,
            Err(at) => {
                failed.insert(at, (addr, Health::default()));
                at
            }
        };
        // Its probes in flight fail with it; the first has suspended it.
        let _ = failed[at].1.record_failure(LOST_WEIGHT, now);
    }

    /// Forgets agents that no document names any more.
    pub fn keep_only(&self, named: &[SocketAddr]) {
        self.lock()
            .retain(|(addr, _)| named.binary_search(addr).is_ok());
    }
}
