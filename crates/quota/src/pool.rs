//! Token buckets of tenants, filled in proportion to the shares that a grantor holds.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Maximum number of grants kept for refunds, and how long they can be refunded.
const MAX_GRANTS: usize = 4096;
const REFUND_WINDOW: Duration = Duration::from_secs(3);
/// Interval between removals of full buckets.
const CLEANUP_EVERY: Duration = Duration::from_secs(1);
/// Maximum wait reported with a refusal.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Hash of a tenant's name, the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub u64);

/// Limit of a tenant over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Capacity of the bucket, in units.
    pub burst: f64,
    /// Initial level of a bucket from newly added shares, so that hosts can admit requests
    /// immediately after a start.
    pub initial_burst: f64,
}

/// Fraction of the slack that is added to the burst; the rest is for requests in flight.
const SLACK_AS_BURST: f64 = 0.9;
/// Fractions of the overage that are used as burst and as initial burst. The rest is for shares
/// that are briefly in two pools when hosts restart, and for requests in flight.
const OVERAGE_AS_BURST: f64 = 0.5;
const OVERAGE_AS_INITIAL_BURST: f64 = 0.25;

impl Limit {
    /// The limit for which usage in any window stays within `(rate x window + burst) x (1 +
    /// overage) + slack`.
    pub fn for_window(rate: f64, burst: f64, window: Duration, overage: f64, slack: f64) -> Self {
        let over = (rate * window.as_secs_f64() + burst) * overage;
        Self {
            rate,
            burst: burst + slack * SLACK_AS_BURST + over * OVERAGE_AS_BURST,
            initial_burst: over * OVERAGE_AS_INITIAL_BURST,
        }
    }
}

/// A request exceeds the tokens left in its bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refused {
    /// Time until there are enough tokens, if no other request takes any.
    pub wait: Duration,
    /// Units that are left.
    pub left: f64,
}

/// A host whose share is in the pool.
#[derive(Debug, Clone, Copy)]
struct Lender {
    ip: IpAddr,
    share: f64,
    since: Instant,
    /// End of the lease; `None` for the pool's own host.
    until: Option<Instant>,
    /// Time up to which the share is included in [`Pool::share_seconds`].
    accrued_to: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tenant: TenantId,
    limit: Limit,
    level: f64,
    /// Value of [`Pool::share_seconds`] at the last update of the level.
    share_seconds: f64,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    to: IpAddr,
    number: u64,
    tenant: TenantId,
    cost: f64,
    at: Instant,
}

/// Shares of hosts, and the token buckets that they fill.
#[derive(Debug, Default)]
pub struct Pool {
    /// Sorted by address.
    lenders: Vec<Lender>,
    /// Sum of the lenders' shares.
    share: f64,
    /// Integral of [`Self::share`] over time, in seconds. A bucket is refilled by the tenant's
    /// rate times the increase.
    share_seconds: f64,
    /// Sorted by tenant. A tenant without an entry has a full bucket.
    buckets: Vec<Bucket>,
    /// Oldest first.
    grants: VecDeque<Grant>,
    cleaned_at: Option<Instant>,
}

impl Pool {
    /// Adds or renews a host's share until the given time; `None` marks the pool's own host. A
    /// newly added share gives the initial burst to tenants without a bucket, and no tokens to
    /// others.
    pub fn add_share(&mut self, ip: IpAddr, share: f64, until: Option<Instant>, now: Instant) {
        self.accrue(now);
        if until.is_some_and(|until| until <= now) {
            return;
        }
        match self.lenders.binary_search_by_key(&ip, |l| l.ip) {
            Ok(at) => {
                let lender = &mut self.lenders[at];
                lender.share = share;
                // `None` has no end, so it must not be replaced by a time.
                lender.until = lender.until.and_then(|u| Some(u.max(until?)));
            }
            Err(at) => self.lenders.insert(
                at,
                Lender {
                    ip,
                    share,
                    since: now,
                    until,
                    accrued_to: now,
                },
            ),
        }
        self.update_share();
    }

    /// Removes a host's share.
    pub fn remove_share(&mut self, ip: IpAddr, now: Instant) {
        self.accrue(now);
        self.lenders.retain(|l| l.ip != ip);
        self.update_share();
    }

    /// Removes all shares except the pool's own host's.
    pub fn remove_borrowed(&mut self, now: Instant) {
        self.accrue(now);
        self.lenders.retain(|l| l.until.is_none());
        self.update_share();
    }

    /// Sum of the shares in the pool, as a fraction of every limit.
    pub fn share(&mut self, now: Instant) -> f64 {
        self.accrue(now);
        self.share
    }

    /// Number of hosts whose shares are in the pool.
    pub fn lender_count(&self) -> usize {
        self.lenders.len()
    }

    /// Takes a request's cost from its tenant's bucket. The requesting host chooses the number
    /// that identifies the grant.
    pub fn spend(
        &mut self,
        to: IpAddr,
        number: u64,
        tenant: TenantId,
        limit: Limit,
        cost: f64,
        now: Instant,
    ) -> Result<(), Refused> {
        self.accrue(now);
        self.remove_full_buckets(now);
        let share = self.share;
        let bucket = self.bucket(tenant, limit, now);
        if bucket.level < cost {
            let left = bucket.level;
            let rate = limit.rate * share;
            let wait = Duration::try_from_secs_f64((cost - left) / rate);
            let wait = wait.map_or(MAX_WAIT, |w| w.min(MAX_WAIT));
            return Err(Refused { wait, left });
        }
        bucket.level -= cost;
        self.grants.push_back(Grant {
            to,
            number,
            tenant,
            cost,
            at: now,
        });
        if self.grants.len() > MAX_GRANTS {
            self.grants.pop_front();
        }
        Ok(())
    }

    /// Refunds a grant for a request that didn't run. A repeated refund has no effect.
    pub fn refund(&mut self, to: IpAddr, number: u64, now: Instant) {
        self.accrue(now);
        let found = self
            .grants
            .iter()
            .rposition(|g| g.to == to && g.number == number);
        let Some(grant) = found.and_then(|at| self.grants.remove(at)) else {
            return;
        };
        if now.saturating_duration_since(grant.at) > REFUND_WINDOW {
            return;
        }
        let at = self
            .buckets
            .binary_search_by_key(&grant.tenant, |b| b.tenant);
        if let Ok(at) = at {
            let (share_seconds, share) = (self.share_seconds, self.share);
            let bucket = &mut self.buckets[at];
            bucket.fill(share_seconds, share);
            bucket.level = (bucket.level + grant.cost).min(bucket.limit.burst * share);
        }
    }

    /// Number of stored buckets.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Returns the bucket of a tenant, refilled up to now.
    fn bucket(&mut self, tenant: TenantId, limit: Limit, now: Instant) -> &mut Bucket {
        let (share_seconds, share) = (self.share_seconds, self.share);
        let at = match self.buckets.binary_search_by_key(&tenant, |b| b.tenant) {
            Ok(at) => at,
            Err(at) => {
                let level = self.full_level(limit, now);
                let bucket = Bucket {
                    tenant,
                    limit,
                    level,
                    share_seconds,
                };
                self.buckets.insert(at, bucket);
                at
            }
        };
        let bucket = &mut self.buckets[at];
        bucket.fill(share_seconds, share);
        if bucket.limit != limit {
            bucket.limit = limit;
            bucket.level = bucket.level.min(limit.burst * share);
        }
        bucket
    }

    /// Level of the bucket of a tenant without recent usage: each share has filled its part of
    /// the bucket since it was added.
    fn full_level(&self, limit: Limit, now: Instant) -> f64 {
        let level = |l: &Lender| {
            let age = now.saturating_duration_since(l.since).as_secs_f64();
            limit.burst.min(limit.initial_burst + limit.rate * age) * l.share
        };
        self.lenders.iter().map(level).sum()
    }

    /// Removes full buckets, which are equivalent to no bucket, and expired grants.
    fn remove_full_buckets(&mut self, now: Instant) {
        let since = self.cleaned_at.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < CLEANUP_EVERY) {
            return;
        }
        self.cleaned_at = Some(now);
        let (share_seconds, share) = (self.share_seconds, self.share);
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain_mut(|b| {
            b.fill(share_seconds, share);
            b.level < self.full_level(b.limit, now)
        });
        self.buckets = buckets;
        let is_old = |g: &Grant| now.saturating_duration_since(g.at) > REFUND_WINDOW;
        while self.grants.front().is_some_and(is_old) {
            self.grants.pop_front();
        }
    }

    /// Adds the time up to now to the integral for each share, at most until the end of its
    /// lease. After a pause of the process, leases may have ended in the past.
    fn accrue(&mut self, now: Instant) {
        let mut has_expired = false;
        for lender in &mut self.lenders {
            let end = lender.until.map_or(now, |until| until.min(now));
            let time = end.saturating_duration_since(lender.accrued_to);
            self.share_seconds += lender.share * time.as_secs_f64();
            lender.accrued_to = lender.accrued_to.max(end);
            has_expired |= lender.until.is_some_and(|until| until <= now);
        }
        if has_expired {
            self.lenders
                .retain(|l| l.until.is_none_or(|until| until > now));
            self.update_share();
        }
    }

    fn update_share(&mut self) {
        self.share = self.lenders.iter().map(|l| l.share).sum();
    }
}

impl Bucket {
    fn fill(&mut self, share_seconds: f64, share: f64) {
        let level = self.level + self.limit.rate * (share_seconds - self.share_seconds);
        self.level = level.min(self.limit.burst * share);
        self.share_seconds = share_seconds;
    }
}
