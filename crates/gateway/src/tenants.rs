//! Tenants of one version of the configuration, with lookup by key.

use platform::{ApiKey, Quota, Tenant};
use quota::TenantId;
use std::sync::Arc;

/// Maximum number of removed keys that are remembered, to explain refusals.
const MAX_REMOVED_KEYS: usize = 1024;

/// Index of a tenant in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantKey(u32);

/// Properties of a tenant that its requests need.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantInfo {
    /// Name of the tenant.
    pub name: Arc<str>,
    /// Priority of its requests, 0 for the most urgent; `None` to use that of the route.
    pub priority: Option<u32>,
    /// Quota over all hosts; `None` if usage is unlimited.
    pub quota: Option<Quota>,
    /// Identifier in messages between hosts.
    pub id: TenantId,
}

/// Identifier of a tenant in messages between hosts.
pub fn tenant_id(name: &str) -> TenantId {
    TenantId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
}

/// A key that was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemovedKey {
    key: ApiKey,
    /// Name of its former tenant.
    pub tenant: Arc<str>,
    /// Version of the configuration that removed it.
    pub version: u64,
}

/// The tenants of one version of the configuration.
#[derive(Debug, Default)]
pub struct TenantTable {
    tenants: Vec<TenantInfo>,
    /// Sorted by id.
    ids: Vec<(TenantId, TenantKey)>,
    has_quotas: bool,
    /// Sorted by key.
    keys: Vec<(ApiKey, TenantKey)>,
    /// Oldest first.
    removed: Vec<RemovedKey>,
}

impl TenantTable {
    /// Builds the table of a version. Keys of the previous table that are missing in this one are
    /// recorded as removed. A key that occurs twice belongs to its first tenant.
    pub fn new(version: u64, tenants: &[Tenant], before: Option<&Self>) -> Self {
        let mut table = Self {
            tenants: Vec::with_capacity(tenants.len()),
            ids: Vec::with_capacity(tenants.len()),
            has_quotas: tenants.iter().any(|t| t.quota.is_some()),
            keys: Vec::with_capacity(tenants.iter().map(|t| t.keys.len()).sum()),
            removed: Vec::new(),
        };
        for tenant in tenants {
            let holder = TenantKey(table.tenants.len() as u32);
            let id = tenant_id(&tenant.name);
            table.tenants.push(TenantInfo {
                name: tenant.name.as_str().into(),
                priority: tenant.priority,
                quota: tenant.quota,
                id,
            });
            table.ids.push((id, holder));
            table.keys.extend(tenant.keys.iter().map(|k| (*k, holder)));
        }
        table.ids.sort_unstable();
        table.keys.sort_unstable();
        table.keys.dedup_by_key(|(key, _)| *key);
        if let Some(before) = before {
            table.removed = table.removed_since(version, before);
        }
        table
    }

    fn removed_since(&self, version: u64, before: &Self) -> Vec<RemovedKey> {
        let former = before.removed.iter().cloned();
        let mut removed: Vec<RemovedKey> =
            former.filter(|r| self.holder(r.key).is_none()).collect();
        // Both lists are sorted, so one pass finds the removed keys.
        let mut own = self.keys.iter().map(|(key, _)| key).peekable();
        let gone = before.keys.iter().filter(|(key, _)| {
            while own.next_if(|k| *k < key).is_some() {}
            own.peek() != Some(&key)
        });
        removed.extend(gone.map(|(key, holder)| RemovedKey {
            key: *key,
            tenant: before.get(*holder).name.clone(),
            version,
        }));
        let over = removed.len().saturating_sub(MAX_REMOVED_KEYS);
        removed.drain(..over);
        removed
    }

    /// The tenant that a key belongs to.
    pub fn holder(&self, key: ApiKey) -> Option<TenantKey> {
        let at = self.keys.binary_search_by_key(&key, |(k, _)| *k).ok()?;
        Some(self.keys[at].1)
    }

    /// Properties of a tenant of this table.
    pub fn get(&self, tenant: TenantKey) -> &TenantInfo {
        &self.tenants[tenant.0 as usize]
    }

    /// The tenant with the given id, if there is one.
    pub fn by_id(&self, id: TenantId) -> Option<&TenantInfo> {
        let at = self.ids.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(self.get(self.ids[at].1))
    }

    /// Whether any tenant has a quota.
    pub fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// The most recent removal of a key, if it is remembered.
    pub fn removed(&self, key: ApiKey) -> Option<&RemovedKey> {
        self.removed.iter().rev().find(|r| r.key == key)
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether the table has no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Number of keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Number of keys removed by a version.
    pub fn removed_count(&self, version: u64) -> usize {
        let removed = self.removed.iter().rev();
        removed.take_while(|r| r.version == version).count()
    }
}
