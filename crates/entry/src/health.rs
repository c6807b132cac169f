//! Suspends agents after failed connections.
//!
//! The suspension doubles with each subsequent failure; see [`resilience::Health`].

use resilience::Health;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// Weight of a failure. One failure is sufficient for a suspension: a probe of a dead agent takes
/// the whole probe timeout, and other agents are always probed at the same time.
const FAILURE_WEIGHT: f64 = 1.0;

/// Health of agents that have failed, sorted by address.
#[derive(Debug, Default)]
pub struct AgentHealth {
    failed: Mutex<Vec<(SocketAddr, Health)>>,
}

impl AgentHealth {
    fn lock(&self) -> MutexGuard<'_, Vec<(SocketAddr, Health)>> {
        self.failed.lock().expect("no panic while locked")
    }

    /// Whether an agent is suspended at `now`.
    pub fn is_suspended(&self, addr: SocketAddr, now: Instant) -> bool {
        let failed = self.lock();
        let at = failed.binary_search_by_key(&addr, |(a, _)| *a);
        at.is_ok_and(|at| failed[at].1.is_suspended(now))
    }

    /// Records a response of an agent.
    pub fn succeeded(&self, addr: SocketAddr) {
        let mut failed = self.lock();
        if let Ok(at) = failed.binary_search_by_key(&addr, |(a, _)| *a) {
            failed[at].1.record_success();
        }
    }

    /// Records a failure of an agent.
    pub fn failed(&self, addr: SocketAddr, now: Instant) {
        let mut failed = self.lock();
        let at = match failed.binary_search_by_key(&addr, |(a, _)| *a) {
            Ok(at) => at,
            Err(at) => {
                failed.insert(at, (addr, Health::default()));
                at
            }
        };
        // Other probes in flight fail too, but the first failure has already suspended the agent.
        let _ = failed[at].1.record_failure(FAILURE_WEIGHT, now);
    }

    /// Removes agents that are no longer listed in any document.
    pub fn keep_only(&self, listed: &[SocketAddr]) {
        self.lock()
            .retain(|(addr, _)| listed.binary_search(addr).is_ok());
    }
}
