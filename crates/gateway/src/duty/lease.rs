//! Rules for taking the lease of a duty.
//!
//! Calls of two hosts must not interleave, even if the receiver can't tell an old call from a new
//! one. A host therefore takes a lease that covers the whole time in which its calls may arrive,
//! and another host takes it over only some time after its end. All times are those of the
//! store's monotonic clock. A process counts from before its read of that clock, so it stops
//! early, and a pause of the process is accounted for.

use platform::{Duty, Lease, LeaseRead};
use std::time::{Duration, Instant};

/// Duration of a lease for orders: reports and orders of a change take about 20 ms each, and an
/// unresponsive engine half a second.
const ORDERS_LEASE: Duration = Duration::from_secs(4);
/// Duration of a lease for a single call. It is short, so that after the loss of its holder
/// another host takes over before the report is due.
const CALL_LEASE: Duration = Duration::from_millis(2500);
/// Time before the end of a lease from which no call is sent, as connecting and one lost packet
/// may take that long.
const CALL_MARGIN: Duration = Duration::from_millis(1500);
/// Time added to the minimum gap between calls of two hosts, for packets that are lost twice.
const GAP_MARGIN: Duration = Duration::from_secs(1);

/// Whether a host may take the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The host may take the lease by writing this row.
    Take(Lease),
    /// The lease isn't available yet; the host may check again after this time.
    Wait(Duration),
}

/// A lease that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing token of the lease.
    pub token: u64,
    /// Time from which no call is sent, on this process's clock.
    calls_end_at: Instant,
}

impl HeldLease {
    /// A lease that was written after a read that started at `read_started_at`.
    pub fn new(duty: Duty, token: u64, read_started_at: Instant) -> Self {
        Self {
            token,
            calls_end_at: read_started_at + lease_duration(duty) - CALL_MARGIN,
        }
    }

    /// Whether a call may be sent now.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.calls_end_at
    }
}

/// Duration of a lease.
fn lease_duration(duty: Duty) -> Duration {
    match duty {
        Duty::Orders => ORDERS_LEASE,
        Duty::Usage | Duty::Scaling => CALL_LEASE,
    }
}

/// Decides, from the lease as it was read, whether a host may take it. `gap` is the minimum time
/// between calls of two hosts.
pub fn decide(duty: Duty, read: &LeaseRead, holder: &str, gap: Duration) -> Decision {
    let millis = |d: Duration| d.as_millis() as u64;
    if let Some(lease) = read.lease.as_ref().filter(|l| l.holder != holder) {
        let available_at_ms = lease.until_ms.saturating_add(millis(gap + GAP_MARGIN));
        if read.now_ms < available_at_ms {
            return Decision::Wait(Duration::from_millis(available_at_ms - read.now_ms));
        }
    }
    Decision::Take(Lease {
        holder: holder.to_owned(),
        token: read.lease.as_ref().map_or(0, |l| l.token).saturating_add(1),
        until_ms: read.now_ms.saturating_add(millis(lease_duration(duty))),
    })
}
