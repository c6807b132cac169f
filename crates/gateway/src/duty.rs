//! What one host does for all: orders to engines, reports of usage, orders for upstreams.
//!
//! Each duty has a lease of its own in the store: reports renew theirs every few seconds,
//! and after the loss of a host its orders to engines needn't wait for the reports' lease
//! to run out.

pub mod lease;
pub mod scaling;
pub mod usage;

use crate::follow::StoreClient;
use crate::state::Gateway;
use lease::{Decision, HeldLease};
use observe::{Event, emit};
use platform::{Duty, LeaseWrite};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait for an answer of the store.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a lease that couldn't be taken or read.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Takes the lease of a duty; else the time until the next try.
pub(crate) async fn take_lease(
    gateway: &Arc<Gateway>,
    client: &mut StoreClient,
    duty: Duty,
) -> Result<HeldLease, Duration> {
    let host = gateway.host();
    let holder = host.ip.to_string();
    let since = Instant::now();
    let store = client.store();
    let read = match store.lease(duty, STORE_TIMEOUT).await {
        Ok(read) => read,
        Err(e) => return Err(log_not_taken(duty, e.to_string())),
    };
    let lease = match lease::decide(duty, &read, &holder, host.order_gap) {
        Decision::Take(lease) => lease,
        Decision::Wait(pause) => {
            log_not_taken(duty, format!("another host may act for {pause:?}"));
            return Err(pause);
        }
    };
    let written = store.write_lease(duty, &lease, read.version, STORE_TIMEOUT);
    match written.await {
        Ok(LeaseWrite::Written(_)) => {
            log_taken(duty, lease.token);
            Ok(HeldLease::new(duty, lease.token, since))
        }
        Ok(LeaseWrite::Refused) => Err(log_not_taken(duty, "another host wrote it first".into())),
        // It may be written now or later. The next read tells.
        Err(e) => Err(log_not_taken(duty, e.to_string())),
    }
}

/// Logs that a lease was taken.
fn log_taken(duty: Duty, token: u64) {
    emit(&Event::LeaseTaken {
        service: duty.name(),
        epoch: token,
    });
}

/// Logs that a lease wasn't taken; gives the time until the next try.
fn log_not_taken(duty: Duty, why: String) -> Duration {
    emit(&Event::LeaseNotTaken {
        duty: duty.name(),
        why,
    });
    RETRY_PAUSE
}
