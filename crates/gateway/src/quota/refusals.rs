//! Caches recent refusals, so that requests of a tenant far over its quota don't each query all
//! grantors.

use quota::TenantId;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Maximum age of a refusal; refunds of other requests may make units available earlier.
const MAX_AGE: Duration = Duration::from_millis(200);
/// Maximum number of tenants with cached refusals.
const MAX_TENANTS: usize = 1024;

/// A grantor's refusal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRefusal {
    /// Address of the grantor.
    pub grantor: IpAddr,
    /// When the refusal was received.
    pub at: Instant,
    /// Time from `at` until there are enough units.
    pub wait: Duration,
    /// Units left for the tenant.
    pub left: f64,
    /// Fraction of every limit that the grantor held.
    pub share: f64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    tenant: TenantId,
    cost: u32,
    until: Instant,
    refusal: QuotaRefusal,
}

/// The last refusal of each tenant.
#[derive(Debug, Default)]
pub struct RefusalCache {
    /// Sorted by tenant.
    entries: Vec<Entry>,
}

impl RefusalCache {
    /// Stores that no grantor had `cost` units for a tenant.
    pub fn insert(&mut self, tenant: TenantId, cost: u32, refusal: QuotaRefusal) {
        let until = refusal.at + refusal.wait.min(MAX_AGE);
        let entry = Entry {
            tenant,
            cost,
            until,
            refusal,
        };
        match self.entries.binary_search_by_key(&tenant, |e| e.tenant) {
            Ok(at) => self.entries[at] = entry,
            Err(at) => {
                if self.entries.len() >= MAX_TENANTS {
                    self.entries.retain(|e| e.until > refusal.at);
                }
                if self.entries.len() < MAX_TENANTS {
                    let at = at.min(self.entries.len());
                    self.entries.insert(at, entry);
                    self.entries.sort_unstable_by_key(|e| e.tenant);
                }
            }
        }
    }

    /// Returns a refusal that is still valid and applies to `cost` units.
    pub fn get(&self, tenant: TenantId, cost: u32, now: Instant) -> Option<QuotaRefusal> {
        let at = self.entries.binary_search_by_key(&tenant, |e| e.tenant);
        let entry = &self.entries[at.ok()?];
        (cost >= entry.cost && now < entry.until).then_some(entry.refusal)
    }
}
