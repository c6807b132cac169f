//! Agents that failed of late, noticed by use.
//!
//! An agent that didn't answer is left out for a time that grows with each
//! failure. After that one request at a time may try it, until one succeeds.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// First and longest time for which a failed agent is left out.
const FIRST: Duration = Duration::from_millis(250);
const MOST: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy)]
struct Failed {
    addr: SocketAddr,
    times: u32,
    until: Instant,
}

/// Agents that failed, sorted by address.
#[derive(Debug, Default)]
pub struct Health {
    failed: Mutex<Vec<Failed>>,
}

impl Health {
    /// Whether an agent may be tried now. One whose time is over is tried by
    /// the caller that asked, and left out for the others meanwhile.
    pub fn may_try(&self, addr: SocketAddr, now: Instant) -> bool {
        let mut failed = self.failed.lock().expect("no panic while locked");
        let Ok(at) = failed.binary_search_by_key(&addr, |f| f.addr) else {
            return true;
        };
        if failed[at].until > now {
            return false;
        }
        failed[at].until = now + pause(failed[at].times);
        true
    }

    /// Notes that an agent answered.
    pub fn good(&self, addr: SocketAddr) {
        let mut failed = self.failed.lock().expect("no panic while locked");
        if let Ok(at) = failed.binary_search_by_key(&addr, |f| f.addr) {
            failed.remove(at);
        }
    }

    /// Notes that an agent failed.
    pub fn bad(&self, addr: SocketAddr, now: Instant) {
        let mut failed = self.failed.lock().expect("no panic while locked");
        match failed.binary_search_by_key(&addr, |f| f.addr) {
            Ok(at) => {
                let f = &mut failed[at];
                f.times = f.times.saturating_add(1);
                f.until = now + pause(f.times);
            }
            Err(at) => failed.insert(
                at,
                Failed {
                    addr,
                    times: 1,
                    until: now + pause(1),
                },
            ),
        }
    }

    /// Forgets agents that no document names any more.
    pub fn keep_only(&self, named: &[SocketAddr]) {
        let mut failed = self.failed.lock().expect("no panic while locked");
        failed.retain(|f| named.binary_search(&f.addr).is_ok());
    }
}

fn pause(times: u32) -> Duration {
    let doubled = FIRST * 2u32.saturating_pow(times.saturating_sub(1).min(16));
    doubled.min(MOST)
}
