//! Token buckets of tenants and upstreams, filled in proportion to the shares that a grantor
//! holds.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Maximum number of grants kept for refunds, and how long they can be refunded.
const MAX_GRANTS: usize = 4096;
const REFUND_WINDOW: Duration = Duration::from_secs(3);
/// Interval between removals of full buckets.
const CLEANUP_EVERY: Duration = Duration::from_secs(1);
/// Time without usage after which a bucket of the least capacity is removed.
const ENLARGED_TTL: Duration = Duration::from_secs(60);
/// Maximum wait reported with a refusal.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Hash of a tenant's name, the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u64);

/// What a limit applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKey {
    /// The requests of a tenant.
    Tenant(TenantId),
    /// The requests to one start of an upstream, given by its tag.
    Upstream(u32),
}

impl From<TenantId> for LimitKey {
    fn from(id: TenantId) -> Self {
        Self::Tenant(id)
    }
}

/// Limit over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Capacity of the bucket, in units.
    pub burst: f64,
    /// Initial level of a bucket from newly added shares, so that hosts can admit requests
    /// immediately after a start.
    pub initial_burst: f64,
    /// Least capacity of the bucket of one pool, in units. Without it, a pool with a small share
    /// could never admit a request.
    pub min_capacity: f64,
}

/// What is taken from a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Units.
    pub units: f64,
    /// Fraction of the bucket beyond these units that must remain for more urgent requests.
    pub reserve: f64,
}

impl From<f64> for Cost {
    fn from(units: f64) -> Self {
        Self {
            units,
            reserve: 0.0,
        }
    }
}

/// Lowest rate of a limit on requests. An upstream with a limit near 0 still gets a request from
/// time to time, as only its answers tell that the limit has ended.
const MIN_REQUEST_RATE: f64 = 0.25;

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
            min_capacity: 0.0,
        }
    }

    /// The limit on requests for which their number in any window stays within `rate x window x
    /// (1 + overage) + slack`.
    pub fn for_requests(rate: f64, window: Duration, overage: f64, slack: f64) -> Self {
        let limit = Self::for_window(rate, 0.0, window, overage, slack);
        let raised = (MIN_REQUEST_RATE - rate).max(0.0);
        Self {
            rate: rate + raised,
            burst: limit.burst - raised * window.as_secs_f64(),
            min_capacity: 1.0,
            ..limit
        }
    }

    /// Capacity of the bucket in a pool with the given share.
    fn capacity(&self, share: f64) -> f64 {
        (self.burst * share).max(self.min_capacity)
    }

    /// Whether the least capacity exceeds what a share gives.
    fn is_enlarged(&self, share: f64) -> bool {
        self.burst * share < self.min_capacity
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
    key: LimitKey,
    limit: Limit,
    level: f64,
    /// Value of [`Pool::share_seconds`] at the last update of the level.
    share_seconds: f64,
    used_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    to: IpAddr,
    number: u64,
    key: LimitKey,
    units: f64,
    at: Instant,
}

/// Shares of hosts, and the token buckets that they fill.
#[derive(Debug, Default)]
pub struct Pool {
    /// Sorted by address.
    lenders: Vec<Lender>,
    /// Sum of the lenders' shares.
    share: f64,
    /// Integral of [`Self::share`] over time, in seconds. A bucket is refilled by the limit's rate
    /// times the increase.
    share_seconds: f64,
    /// Sorted by key. A key without an entry has a full bucket.
    buckets: Vec<Bucket>,
    /// Oldest first.
    grants: VecDeque<Grant>,
    cleaned_at: Option<Instant>,
}

impl Pool {
    /// Adds or renews a host's share until the given time; `None` marks the pool's own host. A
    /// newly added share gives the initial burst to keys without a bucket, and no tokens to others.
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

    /// Takes a request's cost from a bucket. The requesting host chooses the number that identifies
    /// the grant.
    pub fn spend(
        &mut self,
        to: IpAddr,
        number: u64,
        key: impl Into<LimitKey>,
        limit: Limit,
        cost: impl Into<Cost>,
        now: Instant,
    ) -> Result<(), Refused> {
        let (key, cost) = (key.into(), cost.into());
        self.accrue(now);
        self.remove_full_buckets(now);
        let share = self.share;
        let bucket = self.bucket(key, limit, now);
        let spare = limit.capacity(share) - cost.units;
        let needed = cost.units + spare.max(0.0) * cost.reserve;
        if bucket.level < needed {
            let left = bucket.level;
            let rate = limit.rate * share;
            let wait = Duration::try_from_secs_f64((needed - left) / rate);
            let wait = wait.map_or(MAX_WAIT, |w| w.min(MAX_WAIT));
            return Err(Refused { wait, left });
        }
        bucket.level -= cost.units;
        self.grants.push_back(Grant {
            to,
            number,
            key,
            units: cost.units,
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
        let at = self.buckets.binary_search_by_key(&grant.key, |b| b.key);
        if let Ok(at) = at {
            let (share_seconds, share) = (self.share_seconds, self.share);
            let bucket = &mut self.buckets[at];
            bucket.fill(share_seconds, share);
            bucket.level = (bucket.level + grant.units).min(bucket.limit.capacity(share));
        }
    }

    /// Number of stored buckets.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Returns the bucket of a key, refilled up to now.
    fn bucket(&mut self, key: LimitKey, limit: Limit, now: Instant) -> &mut Bucket {
        let (share_seconds, share) = (self.share_seconds, self.share);
        let at = match self.buckets.binary_search_by_key(&key, |b| b.key) {
            Ok(at) => at,
            Err(at) => {
                let level = match limit.is_enlarged(share) {
                    true => limit.min_capacity * self.phase(key),
                    false => self.full_level(limit, now),
                };
                let bucket = Bucket {
                    key,
                    limit,
                    level,
                    share_seconds,
                    used_at: now,
                };
                self.buckets.insert(at, bucket);
                at
            }
        };
        let bucket = &mut self.buckets[at];
        bucket.fill(share_seconds, share);
        bucket.used_at = now;
        if bucket.limit != limit {
            bucket.limit = limit;
            bucket.level = bucket.level.min(limit.capacity(share));
        }
        bucket
    }

    /// Initial fraction of a bucket of the least capacity. It differs between pools, which would
    /// otherwise all admit a request at the same time.
    fn phase(&self, key: LimitKey) -> f64 {
        let mut hasher = DefaultHasher::new();
        let own = self.lenders.iter().find(|l| l.until.is_none());
        (own.map(|l| l.ip), key).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }

    /// Level of a bucket without recent usage: each share has filled its part of
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
            // A new bucket would start below this one's capacity.
            let is_in_use = now.saturating_duration_since(b.used_at) < ENLARGED_TTL;
            let is_kept = b.limit.is_enlarged(share) && is_in_use;
            is_kept || b.level < self.full_level(b.limit, now)
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
        self.level = level.min(self.limit.capacity(share));
        self.share_seconds = share_seconds;
    }
}
