//! What one host does for all: orders to engines, reports of usage, orders for upstreams.
//!
//! Each duty has a lease of its own in the store: reports renew theirs every few seconds,
//! and after the loss of a host its orders to engines needn't wait for the reports' lease
//! to run out.

pub mod lease;
pub mod scaling;
pub mod usage;

use crate::follow::Client;
use crate::state::Gateway;
use lease::{Held, Turn};
use observe::{Event, emit};
use platform::{Duty, LeaseWrite};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait for an answer of the store.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a lease that couldn't be taken or read.
const RETRY: Duration = Duration::from_millis(500);

/// Takes the lease of a duty; else the time until the next try.
pub(crate) async fn take_lease(
    gateway: &Arc<Gateway>,
    client: &mut Client,
    duty: Duty,
) -> Result<Held, Duration> {
    let host = gateway.host();
    let holder = host.ip.to_string();
    let since = Instant::now();
    let store = client.store();
    let read = match store.lease(duty, STORE_TIMEOUT).await {
        Ok(read) => read,
        Err(e) => return Err(not_taken(duty, e.to_string())),
    };
    let lease = match lease::turn(duty, &read, &holder, host.order_gap) {
        Turn::Take(lease) => lease,
        Turn::Wait(pause) => {
            not_taken(duty, format!("another host may act for {pause:?}"));
            return Err(pause);
        }
    };
    let written = store.write_lease(duty, &lease, read.version, STORE_TIMEOUT);
    match written.await {
        Ok(LeaseWrite::Written(_)) => {
            taken(duty, lease.token);
            Ok(Held::new(duty, lease.token, since))
        }
        Ok(LeaseWrite::Refused) => Err(not_taken(duty, "another host wrote it first".into())),
        // It may be written now or later. The next read tells.
        Err(e) => Err(not_taken(duty, e.to_string())),
    }
}

/// Logs that a lease was taken.
fn taken(duty: Duty, token: u64) {
    emit(&Event::LeaseTaken {
        service: duty.name(),
        epoch: token,
    });
}

/// Logs that a lease wasn't taken; gives the time until the next try.
fn not_taken(duty: Duty, why: String) -> Duration {
    emit(&Event::LeaseNotTaken {
        duty: duty.name(),
        why,
    });
    RETRY
}
