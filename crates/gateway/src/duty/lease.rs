//! Rules for taking the lease of a duty.
//!
//! Calls of two hosts must not interleave, even if the receiver can't tell an old call from a new
//! one. A host therefore takes a lease that covers the whole time in which its calls may arrive,
//! and another host takes it over only some time after its end. All times are those of the
//! store's monotonic clock. A process counts from before its read of that clock, so it stops
//! early, and a pause of the process is accounted for.
//!
//! A store that is restored from a copy may have lost leases. A host of the earlier era may hold one
//! until its time is over, so the first lease of an era is taken only then. Its token is higher
//! than any that may have been lost.

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

/// Added to the token of a lease for each era since it was acquired. Far more than the leases that
/// can be acquired between a copy and the restore from it.
const TOKENS_PER_RESTORE: u64 = 1 << 20;

/// A host that wants to take a lease.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its address, as text.
    pub host: &'a str,
    /// Minimum time between calls of two hosts.
    pub gap: Duration,
    /// Time for which it has known the store's era.
    pub era_age: Duration,
}

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

/// Decides, from the lease as it was read, whether a host may take it.
pub fn decide(duty: Duty, read: &LeaseRead, candidate: &Candidate<'_>) -> Decision {
    let is_from_earlier_era = acquired_in(read.lease.as_ref()) < read.row.era;
    let wait = match is_from_earlier_era {
        true => remaining_of_lost(duty, candidate),
        false => remaining(read, candidate),
    };
    if !wait.is_zero() {
        return Decision::Wait(wait);
    }
    Decision::Take(Lease {
        holder: candidate.host.to_owned(),
        token: next_token(read),
        until_ms: read.now_ms.saturating_add(millis(lease_duration(duty))),
        era: read.row.era,
    })
}

/// Time until the lease of another host is available, which was acquired in the current era.
fn remaining(read: &LeaseRead, candidate: &Candidate<'_>) -> Duration {
    let held = read.lease.as_ref().filter(|l| l.holder != candidate.host);
    let available_at_ms = held.map_or(0, |lease| {
        let gap = millis(candidate.gap + GAP_MARGIN);
        lease.until_ms.saturating_add(gap)
    });
    Duration::from_millis(available_at_ms.saturating_sub(read.now_ms))
}

/// Time until no host of an earlier era can hold a lease that the store has lost.
fn remaining_of_lost(duty: Duty, candidate: &Candidate<'_>) -> Duration {
    let longest = lease_duration(duty) + candidate.gap + GAP_MARGIN;
    longest.saturating_sub(candidate.era_age)
}

/// A token that is higher than all earlier ones, also those of leases that the store has lost.
fn next_token(read: &LeaseRead) -> u64 {
    let last = read.lease.as_ref().map_or(0, |l| l.token);
    let restores = read
        .row
        .era
        .saturating_sub(acquired_in(read.lease.as_ref()));
    last.saturating_add(restores.saturating_mul(TOKENS_PER_RESTORE))
        .saturating_add(1)
}

/// Era in which a lease was acquired, 0 if there is none.
fn acquired_in(lease: Option<&Lease>) -> u64 {
    lease.map_or(0, |l| l.era)
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
