//! Tenants' API keys in a soak, and the guarantees about keys and usage reports.

use crate::checker::{ClientRequest, WorkerRun};
use crate::disruption::{Disruption, Timeline};
use serde_json::Value;
use standin::{CloudCall, fixture};
use std::time::{Duration, Instant};

/// Number of tenants with a revocable key.
pub const TENANTS: usize = 4;
/// Tenant of the requests after the last fault, whose usage must be reported correctly.
pub const LAST_TENANT: &str = "last";
/// Length of a usage window.
pub const WINDOW: Duration = Duration::from_secs(1);
/// Shortest time between reports of two lease holders.
pub const HOLDER_GAP: Duration = Duration::from_millis(500);
/// Time after which requests with a revoked key must not run: the bound of the settings, and
/// a margin for a busy machine.
const REVOCATION_BOUND: Duration = Duration::from_millis(2500);
/// Time without disruptions that a gateway needs before a request for the bound to apply: the
/// bound, and the time in which the process may still be disconnected.
const CONNECTED_TIME: Duration = Duration::from_secs(7);
/// Largest relative error of the reported usage.
const USAGE_TOLERANCE: f64 = 0.05;

/// The API key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// A tenant's key that is always valid.
    Permanent(usize),
    /// A tenant's key that is revoked and restored.
    Revocable(usize),
    /// The key of [`LAST_TENANT`].
    Last,
}

impl Key {
    /// Draws a key of a client's tenant.
    pub fn draw(client: u32, is_last: bool, rng: &mut fastrand::Rng) -> Self {
        let tenant = client as usize % TENANTS;
        match (is_last, rng.u32(..4)) {
            (true, _) => Self::Last,
            (false, 0) => Self::Revocable(tenant),
            (false, _) => Self::Permanent(tenant),
        }
    }

    /// Returns the header line with the key.
    pub fn header(self) -> String {
        format!("key: {}\r\n", self.text())
    }

    /// Returns the key itself.
    pub fn text(self) -> String {
        match self {
            Self::Permanent(tenant) => format!("own-key-{tenant}"),
            Self::Revocable(tenant) => format!("second-key-{tenant}"),
            Self::Last => "last-key".into(),
        }
    }

    /// Returns the name of the tenant that owns the key.
    pub fn tenant(self) -> String {
        match self {
            Self::Permanent(tenant) | Self::Revocable(tenant) => tenant_name(tenant),
            Self::Last => LAST_TENANT.into(),
        }
    }
}

fn tenant_name(tenant: usize) -> String {
    format!("tenant-{tenant}")
}

/// A period in which a revocable key was invalid.
#[derive(Debug, Clone)]
pub struct Revocation {
    /// Number of the tenant.
    pub tenant: usize,
    /// When the key was revoked.
    pub from: Instant,
    /// When the key was restored, or none if it wasn't.
    pub until: Option<Instant>,
}

/// Revocations of keys, and the store's disruptions that delay them.
#[derive(Debug, Default)]
pub struct Keys {
    /// Periods in which revocable keys were invalid.
    pub revocations: Vec<Revocation>,
    /// Periods in which the store didn't serve one gateway, or, without a number, any gateway.
    pub store_disruptions: Vec<Disruption>,
}

impl Keys {
    /// Revokes a tenant's revocable key, or restores it.
    pub fn toggle(&mut self, tenant: usize, now: Instant) {
        let mut revocations = self.revocations.iter_mut();
        match revocations.find(|r| r.tenant == tenant && r.until.is_none()) {
            Some(revocation) => revocation.until = Some(now),
            None => self.revocations.push(Revocation {
                tenant,
                from: now,
                until: None,
            }),
        }
    }

    /// Returns the tenants with their valid keys, as the configuration lists them.
    pub fn configured(&self) -> Vec<Value> {
        let is_removed = |tenant| {
            let mut revocations = self.revocations.iter();
            revocations.any(|r| r.tenant == tenant && r.until.is_none())
        };
        let tenant = |tenant| {
            let mut keys = vec![Key::Permanent(tenant).text()];
            if !is_removed(tenant) {
                keys.push(Key::Revocable(tenant).text());
            }
            fixture::tenant(&tenant_name(tenant), &keys)
        };
        let mut all: Vec<Value> = (0..TENANTS).map(tenant).collect();
        all.push(fixture::tenant(LAST_TENANT, &[Key::Last.text()]));
        all
    }

    /// Records whether the store serves a gateway, or all gateways if `gateway` is none.
    pub fn record_store(&mut self, gateway: Option<usize>, serves: bool, now: Instant) {
        let disruptions = self.store_disruptions.iter_mut();
        let mut open = disruptions.filter(|t| t.gateway == gateway && t.until.is_none());
        match (open.next(), serves) {
            (Some(disruption), true) => disruption.until = Some(now),
            (None, false) => self.store_disruptions.push(Disruption {
                gateway,
                from: now,
                until: None,
            }),
            (Some(_), false) | (None, true) => {}
        }
    }

    /// Returns whether a request was sent after its key had been revoked for longer than the
    /// bound, to a gateway that must know: one connected to the store, or to peers that are.
    fn ran_after_revocation(&self, request: &ClientRequest, timeline: &Timeline) -> bool {
        let (Key::Revocable(tenant), Some(sent)) = (request.key, request.delivery.sent) else {
            return false;
        };
        let was_revoked = |r: &Revocation| {
            r.tenant == tenant
                && r.from + REVOCATION_BOUND <= sent
                && r.until.is_none_or(|u| sent < u)
        };
        self.revocations.iter().any(was_revoked)
            && self.is_connected(request.delivery.gateway, sent, timeline)
    }

    fn is_connected(&self, gateway: usize, at: Instant, timeline: &Timeline) -> bool {
        let since = at.checked_sub(CONNECTED_TIME).unwrap_or(at);
        let is_near = |t: &&Disruption| t.from <= at && t.until.is_none_or(|u| u >= since);
        let store: Vec<&Disruption> = self.store_disruptions.iter().filter(is_near).collect();
        let processes = timeline.disruptions.iter().filter(|t| t.gateway.is_some());
        let processes: Vec<&Disruption> = processes.filter(is_near).collect();
        let is_own = |t: &&&Disruption| t.gateway == Some(gateway);
        if store.iter().any(|t| t.gateway.is_none()) || processes.iter().any(|t| is_own(&t)) {
            return false;
        }
        // A gateway that only lost the store learns of the revocation from its peers, if these have
        // no disruption.
        let others_are_connected = processes.is_empty() && store.iter().all(|t| is_own(&t));
        others_are_connected || !store.iter().any(|t| is_own(&t))
    }

    /// Returns whether a request's key was revoked while the request ran or shortly before.
    pub fn is_revoked_during(&self, request: &ClientRequest) -> bool {
        let (Key::Revocable(tenant), Some(sent)) = (request.key, request.delivery.sent) else {
            return false;
        };
        let since = sent.checked_sub(CONNECTED_TIME).unwrap_or(sent);
        let overlaps = |r: &&Revocation| r.tenant == tenant && r.from <= request.delivery.ended;
        let mut revocations = self.revocations.iter().filter(overlaps);
        revocations.any(|r| r.until.is_none_or(|u| u >= since))
    }
}

/// Numbers of violated guarantees about keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KeyViolations {
    /// Runs whose worker got another tenant than the key's, or got the key itself.
    pub told_wrongly: usize,
    /// Requests that ran though their key had been revoked for longer than the bound.
    pub ran_without_key: usize,
    /// Requests that were refused as unauthorized though their key was always valid.
    pub denied: usize,
}

/// Checks requests against their runs. `runs` must be sorted by request id.
pub fn check_keys(
    requests: &[ClientRequest],
    runs: &[&WorkerRun],
    keys: &Keys,
    timeline: &Timeline,
) -> KeyViolations {
    let mut out = KeyViolations::default();
    for request in requests {
        let own_runs = crate::checker::runs_of(runs, &request.id);
        let tenant = request.key.tenant();
        let is_wrong = |r: &&&WorkerRun| r.shows_key || r.tenant.as_deref() != Some(&tenant);
        out.told_wrongly += own_runs.iter().filter(is_wrong).count();
        if !own_runs.is_empty() && keys.ran_after_revocation(request, timeline) {
            println!("ran with a revoked key: {request:?}");
            out.ran_without_key += 1;
        }
        let is_denied = matches!(request.end, crate::checker::RequestEnd::Whole(401, _));
        out.denied += usize::from(is_denied && !matches!(request.key, Key::Revocable(_)));
    }
    out
}

/// Numbers of violated guarantees about usage reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UsageViolations {
    /// Additional reports of a window that differ from the first.
    pub reported_twice: usize,
    /// Reports whose fencing token is lower than the one before, or whose holder changed without
    /// a new token or within [`HOLDER_GAP`].
    pub badly_fenced: usize,
    /// 1 if the usage reported for the last phase is wrong, else 0.
    pub usage_off: usize,
}

/// Checks the reports that reached the platform. `last` is the number of requests of
/// [`LAST_TENANT`] that ran.
pub fn check_usage(calls: &[CloudCall], last: usize) -> UsageViolations {
    let mut out = UsageViolations::default();
    let mut bodies: Vec<(u64, &str)> = calls
        .iter()
        .map(|c| (c.window(), c.text.as_str()))
        .collect();
    bodies.sort_unstable();
    bodies.dedup();
    let differ = bodies.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    out.reported_twice = differ.count();
    let is_bad = |pair: &&[CloudCall]| {
        let is_other = pair[0].holder != pair[1].holder;
        let is_early = pair[1].at.duration_since(pair[0].at) < HOLDER_GAP;
        let falls = pair[1].token < pair[0].token;
        falls || (is_other && (is_early || pair[1].token == pair[0].token))
    };
    out.badly_fenced = calls.windows(2).filter(is_bad).count();
    let reported = reported_requests(calls) as f64;
    let off = (reported - last as f64).abs();
    if off > last as f64 * USAGE_TOLERANCE {
        println!("{reported} of {last} requests of the last tenant were reported");
        out.usage_off = 1;
    }
    out
}

/// Returns the reported number of requests of [`LAST_TENANT`], counting each window once.
pub fn reported_requests(calls: &[CloudCall]) -> u64 {
    let mut windows: Vec<(u64, u64)> = calls
        .iter()
        .map(|c| (c.window(), c.count(LAST_TENANT)))
        .collect();
    windows.sort_unstable();
    windows.dedup_by_key(|(window, _)| *window);
    windows.iter().map(|(_, count)| count).sum()
}
