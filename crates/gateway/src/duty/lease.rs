//! Who may do what one host does for all.
//!
//! Two hosts must not act by turns, also if who is called can't tell an old call from a
//! new one. So a host takes a lease over all of the time in which its calls may arrive,
//! and another takes it only a while after its end.
//! All times are of the store's steady clock; a process counts from before its
//! read of that clock, so it gives up early, and a pause of the process shows.

use platform::{Duty, Lease, LeaseRead};
use std::time::{Duration, Instant};

/// How long a lease for orders is taken for: reports and orders of a change take some
/// 20 ms each, and a dark engine half a second.
const ORDERS_LEASE: Duration = Duration::from_secs(4);
/// The same where one call is made. It is short so that another host takes over before
/// the report is due of which the holder was lost.
const CALL_LEASE: Duration = Duration::from_millis(2500);
/// Time before a lease's end from which no call is sent: its connection and a
/// lost packet take up to that.
const CALL_MARGIN: Duration = Duration::from_millis(1500);
/// Added to the shortest time between calls of two hosts, for packets that were
/// lost twice.
const GAP_MARGIN: Duration = Duration::from_secs(1);

/// Whether a host may take the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It may, by writing this.
    Take(Lease),
    /// Not yet; it may look again after this time.
    Wait(Duration),
}

/// A lease that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Its token.
    pub token: u64,
    /// When calls end, on this process's clock.
    calls_end_at: Instant,
}

impl HeldLease {
    /// A lease that was written after a read that began at a time.
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

/// How long a lease is taken for.
fn lease_duration(duty: Duty) -> Duration {
    match duty {
        Duty::Orders => ORDERS_LEASE,
        Duty::Usage | Duty::Scaling => CALL_LEASE,
    }
}

/// Decides by the lease as it was read whether a host may take it. `gap` is the
/// shortest time between calls of two hosts.
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
