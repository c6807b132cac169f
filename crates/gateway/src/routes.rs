//! The routes of one version of the configuration, ready for lookup.

use crate::fleet::{Fleet, ServiceKey};
use crate::tenants::{TenantInfo, TenantKey, TenantTable};
use platform::{ApiKey, Config, Limits, Route};
use std::time::Duration;

/// A route with its services resolved.
#[derive(Debug)]
pub struct ResolvedRoute {
    /// The route as configured.
    pub route: Route,
    /// Services that share its requests, with their weights.
    pub shares: Vec<(ServiceKey, u32)>,
}

/// The routes of one version of the configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// The configuration as it was read, for peers that can't reach the store.
    pub config: Config,
    /// Sorted by host, then by prefix.
    targets: Vec<ResolvedRoute>,
    /// None if requests need no key.
    tenants: Option<TenantTable>,
}

/// Whose a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    /// No tenants are in force.
    Unrestricted,
    /// Nobody's that is known, on a route that is open to all.
    Anonymous,
    /// A tenant's.
    Tenant(TenantKey),
}

/// Why a request isn't admitted to a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// It bears no key, or several.
    NoKey,
    /// No tenant holds its key.
    UnknownKey,
    /// Its key was taken away.
    RemovedKey,
}

impl RouteTable {
    /// Prepares a configuration for lookup. The table before tells which keys it takes
    /// away.
    pub fn new(config: Config, fleet: &mut Fleet, before: Option<&Self>) -> Self {
        for service in &config.services {
            fleet.configure(service);
        }
        let mut targets: Vec<ResolvedRoute> = config
            .routes
            .iter()
            .map(|route| ResolvedRoute {
                shares: route
                    .shares
                    .iter()
                    .map(|s| (fleet.intern_service(&s.service), s.weight))
                    .collect(),
                route: route.clone(),
            })
            .collect();
        targets.sort_unstable_by(|a, b| a.key().cmp(&b.key()));
        let before = before.and_then(|table| table.tenants.as_ref());
        let tenants = config
            .tenants
            .as_ref()
            .map(|tenants| TenantTable::new(config.version, tenants, before));
        Self {
            version: config.version,
            limits: config.limits,
            config,
            targets,
            tenants,
        }
    }

    /// The tenants in force; none if requests need no key.
    pub fn tenants(&self) -> Option<&TenantTable> {
        self.tenants.as_ref()
    }

    /// Whose a request with a key is, if it may go to a route.
    pub fn admit(&self, target: &ResolvedRoute, key: Option<ApiKey>) -> Result<Caller, Denied> {
        let Some(tenants) = &self.tenants else {
            return Ok(Caller::Unrestricted);
        };
        if let Some(tenant) = key.and_then(|key| tenants.holder(key)) {
            return Ok(Caller::Tenant(tenant));
        }
        if target.route.is_open {
            return Ok(Caller::Anonymous);
        }
        Err(match key {
            None => Denied::NoKey,
            Some(key) if tenants.removed(key).is_some() => Denied::RemovedKey,
            Some(_) => Denied::UnknownKey,
        })
    }

    /// What is known of a request's tenant, if it has one.
    pub fn tenant(&self, caller: Caller) -> Option<&TenantInfo> {
        match caller {
            Caller::Tenant(tenant) => Some(self.tenants.as_ref()?.get(tenant)),
            Caller::Unrestricted | Caller::Anonymous => None,
        }
    }

    /// Routes in the table.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The host's route with the longest prefix that begins the path.
    ///
    /// Prefixes end with a slash, so only those that end at one of the path's
    /// slashes can match: each of these is looked up, longest first.
    pub fn find(&self, host: &str, path: &str) -> Option<&ResolvedRoute> {
        let slashes = path.rmatch_indices('/').map(|(at, _)| at);
        slashes
            .map(|at| &path[..=at])
            .find_map(|prefix| self.find_exact(host, prefix))
    }

    fn find_exact(&self, host: &str, prefix: &str) -> Option<&ResolvedRoute> {
        let at = self
            .targets
            .binary_search_by(|t| t.key().cmp(&(host, prefix)));
        at.ok().map(|at| &self.targets[at])
    }
}

impl ResolvedRoute {
    fn key(&self) -> (&str, &str) {
        (&self.route.host, &self.route.path_prefix)
    }

    /// Draws a service by weight.
    pub fn pick_service(&self) -> Option<ServiceKey> {
        let total: u32 = self.shares.iter().map(|(_, w)| w).sum();
        if total == 0 {
            return self.shares.first().map(|(service, _)| *service);
        }
        let mut at = fastrand::u32(..total);
        for (service, weight) in &self.shares {
            if at < *weight {
                return Some(*service);
            }
            at -= weight;
        }
        None
    }

    /// Time that is left of a request that came `elapsed` ago: until the client
    /// gives up or the route's timeout, whichever is sooner.
    pub fn time_left(&self, deadline: Option<Duration>, elapsed: Duration) -> Duration {
        let bound = deadline.map_or(self.route.timeout, |d| d.min(self.route.timeout));
        bound.saturating_sub(elapsed)
    }
}
