//! Route table of one version of the configuration.

use crate::fleet::{Fleet, ServiceKey};
use crate::tenants::{TenantInfo, TenantKey, TenantTable};
use platform::{ApiKey, Config, Limits, Route, RouteKind};
use std::time::Duration;

/// A route whose services are resolved to their keys.
#[derive(Debug)]
pub struct ResolvedRoute {
    /// Configured route.
    pub route: Route,
    /// Services of the route, with the weights by which requests are divided.
    pub shares: Vec<(ServiceKey, u32)>,
}

/// Route table of one version of the configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits of requests.
    pub limits: Limits,
    /// The configuration itself, for peers that can't reach the store.
    pub config: Config,
    /// Sorted by host, then by path prefix.
    targets: Vec<ResolvedRoute>,
    /// `None` if requests need no key.
    tenants: Option<TenantTable>,
}

/// The party that sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no tenants.
    Unrestricted,
    /// An unknown caller, on an open route.
    Anonymous,
    /// A tenant, identified by its key.
    Tenant(TenantKey),
}

/// Reason why a request is not allowed on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The request has no key, or several.
    NoKey,
    /// No tenant has the key.
    UnknownKey,
    /// The key was removed.
    RemovedKey,
}

impl RouteTable {
    /// Whether streams of any route may be resumed.
    pub fn has_resumable(&self) -> bool {
        let mut routes = self.config.routes.iter();
        routes.any(|route| route.kind == RouteKind::ResumableStream)
    }

    /// Builds the table of a configuration. The previous table is used to detect removed keys.
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

    /// The tenants; `None` if requests need no key.
    pub fn tenants(&self) -> Option<&TenantTable> {
        self.tenants.as_ref()
    }

    /// Returns the caller of a request with the given key, if it is allowed on the route.
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

    /// Information about the tenant that sent a request, if any.
    pub fn tenant(&self, caller: Caller) -> Option<&TenantInfo> {
        match caller {
            Caller::Tenant(tenant) => Some(self.tenants.as_ref()?.get(tenant)),
            Caller::Unrestricted | Caller::Anonymous => None,
        }
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Finds the host's route with the longest prefix of the path.
    ///
    /// Prefixes end with a slash, so only prefixes that end at one of the path's slashes can
    /// match. Each of these is looked up, longest first.
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

    /// Picks a service at random according to the weights.
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

    /// Time left for a request that was received `elapsed` ago, until the client's deadline or
    /// the route's timeout, whichever is earlier.
    pub fn time_left(&self, deadline: Option<Duration>, elapsed: Duration) -> Duration {
        let bound = deadline.map_or(self.route.timeout, |d| d.min(self.route.timeout));
        bound.saturating_sub(elapsed)
    }
}
