//! Tenant of a request: authentication, quota and checks before each attempt.

use super::{Call, Refusal};
use crate::account::Account;
use crate::answer::Reason;
use crate::monotonic;
use crate::quota::{self, Grant};
use crate::routes::{Caller, Denied, ResolvedRoute, RouteTable};
use crate::state::Gateway;
use observe::{Event, emit};
use platform::RequestHeaders;
use platform::header::Tenancy;
use std::sync::Arc;
use std::time::Duration;

/// Minimum time after which a client may retry a request over its tenant's quota.
const MIN_QUOTA_RETRY: Duration = Duration::from_millis(200);

/// Identifies the tenant of a request, before its body is read. An unknown key may be part of a
/// newer configuration that hasn't arrived yet, in which case the client is asked to retry
/// instead of receiving a final 401.
pub(super) fn authenticate(
    gateway: &Gateway,
    table: &RouteTable,
    target: &ResolvedRoute,
    parsed_headers: &RequestHeaders,
    account: &mut Account,
) -> Result<Caller, Refusal> {
    match table.admit(target, parsed_headers.key) {
        Ok(caller) => {
            account.tenant = table.tenant(caller).map(|t| t.name.clone());
            Ok(caller)
        }
        Err(Denied::UnknownKey) if gateway.is_config_behind() => Err(Reason::ConfigBehind.into()),
        Err(denied) => {
            record_removed_key(table, parsed_headers, account);
            Err(Reason::NoTenant(denied).into())
        }
    }
}

/// Takes a request's cost from its tenant's quota, if it has one.
pub(super) async fn acquire_quota(
    gateway: &Arc<Gateway>,
    table: &RouteTable,
    caller: Caller,
    parsed_headers: &RequestHeaders,
    account: &Account,
) -> Result<Option<Grant>, Refusal> {
    let Some(tenant) = table.tenant(caller) else {
        return Ok(None);
    };
    let Some(quota) = tenant.quota else {
        return Ok(None);
    };
    let cost = quota.unit.cost(parsed_headers.tokens);
    match quota::acquire(gateway, tenant.id, quota, cost).await {
        Ok(grant) => Ok(Some(grant)),
        Err(quota::AcquireError::Unavailable) => Err(Reason::QuotaUnknown.into()),
        Err(quota::AcquireError::OverQuota(refusal)) => {
            // Adds jitter, so that clients refused at the same time retry at different times.
            let wait = refusal.wait.max(MIN_QUOTA_RETRY);
            let wait = wait.mul_f64(1.0 + fastrand::f64());
            emit(&Event::QuotaExceeded {
                request: &account.id,
                tenant: &tenant.name,
                cost,
                left: refusal.left as i64,
                share: refusal.share,
                by: refusal.grantor.to_string(),
                age_ms: monotonic::elapsed(refusal.at).as_millis() as u64,
                retry_ms: wait.as_millis() as u64,
            });
            Err(Refusal::with_retry_after(Reason::OverQuota, wait))
        }
    }
}

/// Records the former tenant of a removed key and the version that removed it, if known.
fn record_removed_key(table: &RouteTable, parsed_headers: &RequestHeaders, account: &mut Account) {
    let removed = table
        .tenants()
        .zip(parsed_headers.key)
        .and_then(|(tenants, key)| tenants.removed(key));
    if let Some(removed) = removed {
        account.tenant = Some(removed.tenant.clone());
        account.key_removed_by = Some(removed.version);
    }
}

impl Call {
    /// Tenant of the request, as sent to the upstream.
    pub fn tenancy(&self) -> Tenancy<'_> {
        match self.caller {
            Caller::Unrestricted => Tenancy::Disabled,
            Caller::Anonymous | Caller::Tenant(_) => Tenancy::Tenant(self.tenant_name()),
        }
    }

    /// Priority of the request, 0 for the most urgent: its tenant's, or else its route's.
    pub fn priority(&self) -> u32 {
        let tenant = self.table.tenant(self.caller);
        let own = tenant.and_then(|t| t.priority);
        own.unwrap_or(self.target().route.priority)
    }

    /// Name of the tenant, if the request has one.
    pub fn tenant_name(&self) -> Option<&str> {
        let tenant = self.table.tenant(self.caller)?;
        Some(&tenant.name)
    }

    /// Checks that the current configuration still allows the request to be sent to an upstream,
    /// as its key may have been removed while it waited or since an earlier attempt. On failure,
    /// the account is updated.
    pub fn check_key(&self, account: &mut Account) -> Result<(), Reason> {
        let reason = match self.validate_key() {
            Ok(()) => return Ok(()),
            Err(reason) => reason,
        };
        if let Some(newest) = self.gateway.routes() {
            account.config_version = newest.version;
            record_removed_key(&newest, &self.parsed_headers, account);
        }
        Err(reason)
    }

    /// Like [`Self::check_key`], without updating the account.
    pub(super) fn validate_key(&self) -> Result<(), Reason> {
        if self.gateway.config_version() == self.table.version {
            return Ok(());
        }
        let Some(newest) = self.gateway.routes() else {
            return Ok(());
        };
        let Some(target) = newest.find(&self.parsed_headers.host, self.path.path()) else {
            return Ok(());
        };
        let caller = newest
            .admit(target, self.parsed_headers.key)
            .map_err(Reason::NoTenant)?;
        // The tenant sent to upstreams is taken from the table that the request arrived under.
        let is_same = match (self.caller, caller) {
            (_, Caller::Unrestricted) => true,
            (Caller::Unrestricted, _) => false,
            _ => self.tenant_name() == newest.tenant(caller).map(|t| &*t.name),
        };
        is_same.then_some(()).ok_or(Reason::ConfigBehind)
    }
}
