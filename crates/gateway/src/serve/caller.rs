//! Whose a request is, when it comes and before each send.

use super::{Call, Refusal};
use crate::account::Account;
use crate::answer::Reason;
use crate::routes::{Caller, Denied, RouteTable, Target};
use crate::state::Gateway;
use platform::Incoming;
use platform::header::Tenancy;

/// Whose a request is, before anything is read of its body. A key that this process doesn't
/// know may stand in a configuration that is on its way: 401 would be final.
pub(super) fn admit(
    gateway: &Gateway,
    table: &RouteTable,
    target: &Target,
    incoming: &Incoming,
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

/// Notes whose a request's key was and which version took it away, if that is known.
fn note_removed_key(table: &RouteTable, incoming: &Incoming, account: &mut Account) {
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
            Caller::Any => Tenancy::Unused,
            Caller::Unnamed | Caller::Tenant(_) => Tenancy::Of(self.tenant_name()),
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
