//! Leases of shares between the hosts of a zone, and selection of the zone's grantor.
//!
//! One host of each availability zone, its grantor, periodically asks all other hosts of the
//! zone to lend it their shares. The grantor counts a lease from when it sent the request and
//! the lender from when it answered, so the lease expires at the grantor first regardless of
//! network latency. A host that receives no request for some time becomes a grantor itself,
//! after a delay that grows with its place in the zone.

use crate::pool::Pool;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Minimum interval between two rounds of requests, and the interval per host of the zone.
const COLLECT_EVERY: Duration = Duration::from_millis(100);
const COLLECT_EVERY_PER_HOST: Duration = Duration::from_millis(4);
/// Length of a lease in rounds. The share of a host that restarts may be used twice for up to
/// one lease, so leases are short compared to the quota window.
const LEASE_ROUNDS: u32 = 5;
/// Fraction of a lease that the lender waits beyond its end, to allow for clock drift between
/// hosts.
const LEASE_MARGIN: f64 = 0.05;
/// Rounds without a request after which a host becomes a grantor, and the added delay per place.
const TAKEOVER_ROUNDS: u32 = 3;
const TAKEOVER_PER_PLACE: Duration = Duration::from_millis(50);
/// Rounds that a host waits for a request after its start; a live grantor sends one per round.
const STARTUP_ROUNDS: f64 = 1.5;
/// Highest place that adds to the takeover delay.
const MAX_PLACES: u32 = 16;
/// Time before a new host may use its share, as the other hosts still compute their shares
/// without it.
const NEW_HOST_DELAY: Duration = Duration::from_secs(6);
/// Maximum number of rounds whose answers are accepted.
const MAX_ROUNDS: usize = 8;

/// A grantor's request for a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Collect {
    /// Identifier of the round, repeated in the answer.
    pub round: u64,
    /// Duration of the lease; zero returns the share to the lender.
    pub lease: Duration,
}

/// The hosts of a zone, as seen by one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Zone {
    /// Number of hosts, including this one.
    pub hosts: u32,
    /// Place of this host in the order of preference as grantor, 0 for the first.
    pub place: u32,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    to: IpAddr,
    until: Instant,
}

/// A host's own share, and the shares leased to it.
#[derive(Debug)]
pub struct Lending {
    ip: IpAddr,
    /// The host's own share; `None` until the number of hosts is known.
    share: Option<f64>,
    /// Earliest time at which the share may be used; `None` for no restriction.
    usable_from: Option<Instant>,
    /// The lease under which the share is lent, which may have expired.
    lease: Option<Lease>,
    /// Sender and time of the last request for the share.
    last_collect: Option<(IpAddr, Instant)>,
    started_at: Instant,
    /// Start of the wait for a grantor's request.
    waiting_since: Instant,
    is_grantor: bool,
    round: u64,
    /// Identifiers, start times and leases of recent rounds, oldest first.
    rounds: Vec<(u64, Instant, Duration)>,
    /// Token buckets filled by the shares that this host holds.
    pub pool: Pool,
}

/// Interval between two rounds in a zone of the given size.
pub fn collect_pause(hosts: u32) -> Duration {
    COLLECT_EVERY.max(COLLECT_EVERY_PER_HOST * hosts)
}

/// Duration of a lease in a zone of the given size.
pub fn lease_duration(hosts: u32) -> Duration {
    collect_pause(hosts) * LEASE_ROUNDS
}

impl Lending {
    /// State of a host that has just started. A share that it lent before a restart may remain
    /// in use for up to one lease. `first_round` must differ from the rounds of earlier starts,
    /// so that late answers to those aren't accepted.
    pub fn new(ip: IpAddr, first_round: u64, now: Instant) -> Self {
        Self {
            ip,
            share: None,
            usable_from: None,
            lease: None,
            last_collect: None,
            started_at: now,
            waiting_since: now,
            is_grantor: false,
            round: first_round,
            rounds: Vec::new(),
            pool: Pool::default(),
        }
    }

    /// Sets the number of hosts that share the limits. `is_new` is true if this host joined
    /// the fleet with this start.
    pub fn set_host_count(&mut self, hosts: u32, is_new: bool, now: Instant) {
        self.usable_from = is_new.then_some(self.started_at + NEW_HOST_DELAY);
        let share = 1.0 / f64::from(hosts.max(1));
        if self.share.replace(share) != Some(share) && self.holds_share(now) {
            self.pool.add_share(self.ip, share, None, now);
        }
    }

    /// Whether this host may use its share itself.
    fn holds_share(&self, now: Instant) -> bool {
        self.is_usable(now) && self.lease.is_none_or(|lease| lease.until <= now)
    }

    fn is_usable(&self, now: Instant) -> bool {
        self.usable_from.is_none_or(|from| from <= now)
    }

    /// Resumes after a time in which no limit was in force and hosts didn't exchange shares. As
    /// at a start, the host waits for a grantor's request before it becomes a grantor.
    pub fn resume(&mut self, now: Instant) {
        self.waiting_since = now;
        self.last_collect = None;
        self.is_grantor = false;
    }

    /// Reclaims the share if its lease has expired.
    pub fn reclaim_share(&mut self, now: Instant) {
        if let Some(share) = self.share
            && self.holds_share(now)
        {
            self.lease = None;
            self.pool.add_share(self.ip, share, None, now);
        }
    }

    /// Reclaims the share if its lease has expired, and becomes a grantor if no request for the
    /// share has arrived in time.
    pub fn tick(&mut self, zone: Zone, now: Instant) {
        if self.share.is_none() {
            return;
        }
        self.reclaim_share(now);
        let pause = collect_pause(zone.hosts);
        let (since, wait) = match self.last_collect {
            Some((_, at)) => (at, pause * TAKEOVER_ROUNDS),
            None => (self.waiting_since, pause.mul_f64(STARTUP_ROUNDS)),
        };
        let place = TAKEOVER_PER_PLACE * zone.place.min(MAX_PLACES);
        self.is_grantor |= now.saturating_duration_since(since) > wait + place;
    }

    /// Whether this host collects the shares of its zone.
    pub fn is_grantor(&self) -> bool {
        self.is_grantor
    }

    /// Begins a round of requests in a zone of the given size.
    pub fn begin_round(&mut self, hosts: u32, now: Instant) -> Collect {
        self.round = self.round.wrapping_add(1);
        let lease = lease_duration(hosts);
        self.rounds.push((self.round, now, lease));
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.remove(0);
        }
        Collect {
            round: self.round,
            lease,
        }
    }

    /// Stops collecting before the process exits. Lenders reclaim their shares when they receive
    /// the returned request.
    pub fn stop_collecting(&mut self, now: Instant) -> Collect {
        self.is_grantor = false;
        self.rounds.clear();
        self.pool.remove_borrowed(now);
        self.last_collect = Some((self.ip, now + NEW_HOST_DELAY));
        Collect {
            round: 0,
            lease: Duration::ZERO,
        }
    }

    /// Handles a grantor's request and returns the share lent to it, if any. `has_precedence`
    /// is true if the grantor's place is before this host's own.
    pub fn answer_collect(
        &mut self,
        from: IpAddr,
        collect: Collect,
        has_precedence: bool,
        now: Instant,
    ) -> Option<f64> {
        if collect.lease.is_zero() {
            self.end_lease(from, now);
            return None;
        }
        if self.is_grantor && !has_precedence {
            return None;
        }
        self.is_grantor = false;
        self.last_collect = Some((from, now));
        let is_lent_elsewhere = self
            .lease
            .is_some_and(|lease| lease.to != from && lease.until > now);
        if is_lent_elsewhere || !self.is_usable(now) {
            return None;
        }
        let share = self.share?;
        self.pool.remove_share(self.ip, now);
        let until = now + with_margin(collect.lease);
        self.lease = Some(Lease { to: from, until });
        Some(share)
    }

    /// Reclaims the share from a grantor that stops. The takeover delay is shortened, as
    /// the grantor is known to be gone.
    fn end_lease(&mut self, from: IpAddr, now: Instant) {
        if self.lease.is_some_and(|lease| lease.to == from) {
            self.lease = None;
            self.reclaim_share(now);
        }
        if self.last_collect.is_some_and(|(ip, _)| ip == from) {
            self.last_collect = now
                .checked_sub(COLLECT_EVERY * TAKEOVER_ROUNDS)
                .map(|at| (self.ip, at));
        }
    }

    /// Adds a share that a host lent in answer to a request.
    pub fn receive_share(&mut self, from: IpAddr, round: u64, share: f64, now: Instant) {
        let known_round = self.rounds.iter().find(|(number, _, _)| *number == round);
        let Some((_, at, lease)) = known_round.copied().filter(|_| from != self.ip) else {
            return;
        };
        // Guards against an invalid value from a peer.
        let share = share.clamp(0.0, 1.0);
        self.pool.add_share(from, share, Some(at + lease), now);
    }

    /// The grantor to ask when this host's own pool has too few tokens: the holder of its share,
    /// or else the zone's grantor if it sent a request recently.
    pub fn grantor(&self, zone: Zone, now: Instant) -> Option<IpAddr> {
        if let Some(lease) = self.lease.filter(|lease| lease.until > now) {
            return Some(lease.to);
        }
        let (ip, at) = self.last_collect?;
        let is_fresh = now.saturating_duration_since(at) <= lease_duration(zone.hosts);
        (is_fresh && ip != self.ip && !self.is_grantor).then_some(ip)
    }
}

fn with_margin(lease: Duration) -> Duration {
    lease.mul_f64(1.0 + LEASE_MARGIN)
}
