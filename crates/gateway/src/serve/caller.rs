//! Whose a request is, when it comes and before each send.

use super::{Call, Refusal};
use crate::account::Account;
use crate::answer::Reason;
use crate::quota::{self, Grant};
use crate::routes::{Caller, Denied, RouteTable, Target};
use crate::state::Gateway;
use observe::{Event, emit};
use platform::RequestHeaders;
use platform::header::Tenancy;
use std::sync::Arc;
use std::time::Duration;

/// Minimum time after which a client may retry a request over its tenant's quota.
const MIN_QUOTA_RETRY: Duration = Duration::from_millis(200);

/// Whose a request is, before anything is read of its body. A key that this process doesn't
/// know may stand in a configuration that is on its way: 401 would be final.
pub(super) fn admit(
    gateway: &Gateway,
    table: &RouteTable,
    target: &Target,
    incoming: &RequestHeaders,
    account: &mut Account,
) -> Result<Caller, Refusal> {
    match table.admit(target, incoming.key) {
        Ok(caller) => {
            account.tenant = table.tenant(caller).map(|t| t.name.clone());
            Ok(caller)
        }
        Err(Denied::UnknownKey) if gateway.is_config_behind() => Err(Reason::ConfigBehind.into()),
        Err(denied) => {
            note_removed_key(table, incoming, account);
            Err(Reason::NoTenant(denied).into())
        }
    }
}

/// Takes a request's cost from its tenant's quota, if it has one.
pub(super) async fn acquire_quota(
    gateway: &Arc<Gateway>,
    table: &RouteTable,
    caller: Caller,
    incoming: &RequestHeaders,
    account: &Account,
) -> Result<Option<Grant>, Refusal> {
    let Some(tenant) = table.tenant(caller) else {
        return Ok(None);
    };
    let Some(quota) = tenant.quota else {
        return Ok(None);
    };
    let cost = quota.unit.cost(incoming.tokens);
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
                age_ms: refusal.at.elapsed().as_millis() as u64,
                retry_ms: wait.as_millis() as u64,
            });
            Err(Refusal::until(Reason::OverQuota, wait))
        }
    }
}

/// Notes whose a request's key was and which version took it away, if that is known.
fn note_removed_key(table: &RouteTable, incoming: &RequestHeaders, account: &mut Account) {
    let removed = table
        .tenants()
        .zip(incoming.key)
        .and_then(|(tenants, key)| tenants.removed(key));
    if let Some(removed) = removed {
        account.tenant = Some(removed.tenant.clone());
        account.key_removed_by = Some(removed.version);
    }
}

impl Call {
    /// Whose request it is, as its upstream is told.
    pub fn tenancy(&self) -> Tenancy<'_> {
        match self.caller {
            Caller::Any => Tenancy::Disabled,
            Caller::Unnamed | Caller::Tenant(_) => Tenancy::Tenant(self.tenant_name()),
        }
    }

    /// Rank of the request, 0 for the most urgent: its tenant's, or else its route's.
    pub fn priority(&self) -> u32 {
        let tenant = self.table.tenant(self.caller);
        let own = tenant.and_then(|t| t.priority);
        own.unwrap_or(self.target().route.priority)
    }

    /// Name of its tenant, if it has one.
    pub fn tenant_name(&self) -> Option<&str> {
        let tenant = self.table.tenant(self.caller)?;
        Some(&tenant.name)
    }

    /// Whether the configuration in force still lets it go to an upstream: its key may have
    /// been taken away while it waited, or since it was sent before.
    pub fn check_key(&self, account: &mut Account) -> Result<(), Reason> {
        let reason = match self.key_in_force() {
            Ok(()) => return Ok(()),
            Err(reason) => reason,
        };
        if let Some(newest) = self.gateway.routes() {
            account.config = newest.version;
            note_removed_key(&newest, &self.incoming, account);
        }
        Err(reason)
    }

    /// The same, without a word in the account.
    pub(super) fn key_in_force(&self) -> Result<(), Reason> {
        if self.gateway.config_version() == self.table.version {
            return Ok(());
        }
        let Some(newest) = self.gateway.routes() else {
            return Ok(());
        };
        let Some(target) = newest.find(&self.incoming.host, self.path.path()) else {
            return Ok(());
        };
        let caller = newest
            .admit(target, self.incoming.key)
            .map_err(Reason::NoTenant)?;
        // What upstreams are told is made by the table that the request came under.
        let is_same = match (self.caller, caller) {
            (_, Caller::Any) => true,
            (Caller::Any, _) => false,
            _ => self.tenant_name() == newest.tenant(caller).map(|t| &*t.name),
        };
        is_same.then_some(()).ok_or(Reason::ConfigBehind)
    }
}
