//! Duties that one host performs for all hosts: orders to engines, usage reports and orders for
//! upstreams.
//!
//! Each duty has its own lease in the store. The lease for reports is renewed every few seconds;
//! with separate leases, orders to engines needn't wait for it to expire when a host is lost.

pub mod lease;
pub mod scaling;
pub mod usage;

use crate::follow::StoreClient;
use crate::monotonic;
use crate::state::Gateway;
use lease::{Candidate, Decision, HeldLease};
use observe::{Event, emit};
use platform::{Duty, LeaseWrite};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for an answer of the store.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a failed attempt to take a lease.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Takes the lease of a duty; on failure, returns the time until the next attempt.
pub(crate) async fn take_lease(
    gateway: &Arc<Gateway>,
    client: &mut StoreClient,
    duty: Duty,
) -> Result<HeldLease, Duration> {
    let host = gateway.host();
    let holder = host.ip.to_string();
    let since = monotonic::now();
    let store = client.store();
    let read = match store.lease(duty, STORE_TIMEOUT).await {
        Ok(read) => read,
        Err(e) => return Err(log_not_taken(duty, e.to_string())),
    };
    let candidate = Candidate {
        host: &holder,
        gap: host.order_gap,
        era_age: gateway.store_era.state().age(),
    };
    let lease = match lease::decide(duty, &read, &candidate) {
        Decision::Take(lease) => lease,
        Decision::Wait(pause) => {
            log_not_taken(duty, format!("lease not available for another {pause:?}"));
            return Err(pause);
        }
    };
    let written = store.write_lease(duty, &lease, read.row, STORE_TIMEOUT);
    match written.await {
        Ok(LeaseWrite::Written(_)) => {
            log_taken(duty, lease.token);
            Ok(HeldLease::new(duty, lease.token, since))
        }
        Ok(LeaseWrite::Refused) => Err(log_not_taken(
            duty,
            "lease was written by another host first".into(),
        )),
        // The write may have succeeded or may still take effect; the next read shows the result.
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

/// Logs that a lease wasn't taken, and returns the time until the next attempt.
fn log_not_taken(duty: Duty, why: String) -> Duration {
    emit(&Event::LeaseNotTaken {
        duty: duty.name(),
        why,
    });
    RETRY_PAUSE
}
