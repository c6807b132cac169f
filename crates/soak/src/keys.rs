//! Tenants' keys in a soak, and the promises about them and about usage.

use crate::checker::{ClientRequest, WorkerRun};
use crate::disruption::{Disruption, Timeline};
use serde_json::Value;
use standin::{CloudCall, fixture};
use std::time::{Duration, Instant};

/// Tenants whose second key is taken away and given back.
pub const TENANTS: usize = 4;
/// The tenant of the requests after the last fault, whose usage must be right.
pub const LAST_TENANT: &str = "last";
/// Length of a window of usage.
pub const WINDOW: Duration = Duration::from_secs(1);
/// Shortest time between two holders' reports.
pub const HOLDER_GAP: Duration = Duration::from_millis(500);
/// Time after which a key that was taken away must run nothing: the bound of the settings,
/// and room for a busy machine.
const REVOCATION_BOUND: Duration = Duration::from_millis(2500);
/// Time without disturbance before a request for which the bound holds: the bound, and the
/// time in which a process may still be out of touch.
const CONNECTED_TIME: Duration = Duration::from_secs(7);
/// Part by which usage may be off.
const USAGE_TOLERANCE: f64 = 0.05;

/// The key that a request bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// A tenant's own, always in force.
    Permanent(usize),
    /// A tenant's second one, which comes and goes.
    Revocable(usize),
    /// That of the requests after the last fault.
    Last,
}

impl Key {
    /// Draws one of a client's tenant.
    pub fn draw(client: u32, is_last: bool, rng: &mut fastrand::Rng) -> Self {
        let tenant = client as usize % TENANTS;
        match (is_last, rng.u32(..4)) {
            (true, _) => Self::Last,
            (false, 0) => Self::Revocable(tenant),
            (false, _) => Self::Permanent(tenant),
        }
    }

    /// The header line of a request.
    pub fn header(self) -> String {
        format!("key: {}\r\n", self.text())
    }

    /// The key itself.
    pub fn text(self) -> String {
        match self {
            Self::Permanent(tenant) => format!("own-key-{tenant}"),
            Self::Revocable(tenant) => format!("second-key-{tenant}"),
            Self::Last => "last-key".into(),
        }
    }

    /// Name of the tenant that holds it.
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

/// A time in which a second key was out of force.
#[derive(Debug, Clone)]
pub struct Revocation {
    /// Its tenant.
    pub tenant: usize,
    /// Since when.
    pub from: Instant,
    /// When it was given back; none if it wasn't.
    pub until: Option<Instant>,
}

/// The keys in force, and when they weren't.
#[derive(Debug, Default)]
pub struct Keys {
    /// Times in which second keys were out of force.
    pub revocations: Vec<Revocation>,
    /// Times in which the store didn't serve a gateway, or none of them.
    pub store_disruptions: Vec<Disruption>,
}

impl Keys {
    /// Takes a tenant's second key away, or gives it back.
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

    /// The tenants as a configuration has them.
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

    /// Notes that the store serves a gateway, or all of them, or that it doesn't.
    pub fn record_store(&mut self, gateway: Option<usize>, serves: bool, now: Instant) {
        let disruptions = self.store_disruptions.iter_mut();
        let mut open = disruptions.filter(|t| t.gateway == gateway && t.until.is_none());
        match (open.next(), serves) {
            (Some(trouble), true) => trouble.until = Some(now),
            (None, false) => self.store_disruptions.push(Disruption {
                gateway,
                from: now,
                until: None,
            }),
            (Some(_), false) | (None, true) => {}
        }
    }

    /// Whether a request was sent with a key that had been out of force for longer than the
    /// bound, to a gateway in touch: by the store, or by peers that are.
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
        // Cut off from the store alone, it hears from its peers, if these are well.
        let others_are_connected = processes.is_empty() && store.iter().all(|t| is_own(&t));
        others_are_connected || !store.iter().any(|t| is_own(&t))
    }

    /// Whether a request's key was taken away while it was under way, or just before.
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

/// Counts of broken promises about keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KeyViolations {
    /// Runs under another tenant than the key's, or that were shown the key.
    pub told_wrongly: usize,
    /// Requests that ran though their key had been out of force for longer than the bound.
    pub ran_without_key: usize,
    /// Requests with a key that was always in force and that were refused as if it weren't.
    pub denied: usize,
}

/// Judges requests with their runs, these in the order of their requests' ids.
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
            println!("ran without its key: {request:?}");
            out.ran_without_key += 1;
        }
        let is_denied = matches!(request.end, crate::checker::RequestEnd::Whole(401, _));
        out.denied += usize::from(is_denied && !matches!(request.key, Key::Revocable(_)));
    }
    out
}

/// Counts of broken promises about reports of usage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UsageViolations {
    /// Windows with two reports that differ.
    pub reported_twice: usize,
    /// Reports under a token that is lower than one before, or that two holders used.
    pub badly_fenced: usize,
    /// Whether the usage after the last fault is off.
    pub usage_off: usize,
}

/// Judges the reports that reached the platform; `last` is how many requests of the last
/// tenant ran.
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

/// Requests of the last tenant that were reported, each window once.
pub fn reported_requests(calls: &[CloudCall]) -> u64 {
    let mut windows: Vec<(u64, u64)> = calls
        .iter()
        .map(|c| (c.window(), c.count(LAST_TENANT)))
        .collect();
    windows.sort_unstable();
    windows.dedup_by_key(|(window, _)| *window);
    windows.iter().map(|(_, count)| count).sum()
}
