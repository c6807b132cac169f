//! What upstreams state of themselves, and its exchange with peers.

use super::named_limit::NamedLimit;
use super::{Fleet, ServiceKey, Upstream};
use crate::peers::UpstreamLimit;
use platform::header::RequestRate;
use std::time::Instant;

/// Maximum number of limits in one datagram.
const MAX_LIMITS_PER_DATAGRAM: usize = 256;
/// Maximum number of removed upstreams whose statements are kept.
const MAX_FORMER: usize = 1024;

/// What one start of an upstream has stated of itself in its answers.
#[derive(Debug, Default)]
pub struct Statements {
    /// Limit on its requests from all hosts.
    pub limit: NamedLimit,
    /// Whether it will stop. This is final for a start.
    pub is_leaving: bool,
    /// Whether an invalid statement was logged.
    pub is_invalid_logged: bool,
}

impl Statements {
    fn is_empty(&self) -> bool {
        self.limit.rate().is_none() && !self.is_leaving
    }
}

impl Fleet {
    /// Whether any upstream names a limit.
    pub fn has_limits(&self) -> bool {
        self.iter().any(|(_, u)| u.stated.limit.rate().is_some())
    }

    /// Sum of the limits that the upstreams of a service name, in requests per second.
    pub fn limit_sum(&self, service: ServiceKey) -> f64 {
        let upstreams = self.iter().filter(|(_, u)| u.service == service);
        let rates = upstreams.filter_map(|(_, u)| u.stated.limit.rate());
        rates.map(RequestRate::per_s).sum()
    }

    /// Limits for peers, the lowest first if there are too many for one datagram.
    pub fn told_limits(&self, now: Instant) -> Vec<UpstreamLimit> {
        let told = |u: &Upstream| {
            let limit = u.stated.limit.told_version(now)?;
            Some(UpstreamLimit {
                upstream: u.tag(),
                limit,
            })
        };
        let mut all: Vec<_> = self.iter().filter_map(|(_, u)| told(u)).collect();
        if all.len() > MAX_LIMITS_PER_DATAGRAM {
            all.sort_unstable_by_key(|l| l.limit.rate.unwrap_or(u32::MAX));
            all.truncate(MAX_LIMITS_PER_DATAGRAM);
        }
        all.sort_unstable_by_key(|l| l.upstream);
        all
    }

    /// Merges the limit that a peer knows. Returns the id of the upstream, its limit before and
    /// its limit now if it changed.
    pub fn merge_limit(&mut self, told: &UpstreamLimit, now: Instant) -> Option<ChangedLimit> {
        let upstream = self.get_mut_by_tag(told.upstream)?;
        let before = upstream.stated.limit.rate();
        let is_changed = upstream.stated.limit.merge(told.limit, now);
        is_changed.then(|| ChangedLimit {
            upstream: upstream.instance.id.clone(),
            before,
            after: upstream.stated.limit.rate(),
        })
    }

    /// Keeps the statements of a removed upstream, whose row may come back.
    pub(super) fn keep_statements(&mut self, removed: &mut Upstream) {
        let stated = std::mem::take(&mut removed.stated);
        if stated.is_empty() {
            return;
        }
        if self.former.len() >= MAX_FORMER {
            self.former.pop_front();
        }
        self.former.push_back((removed.tag(), stated));
    }

    /// Takes the statements of an upstream that was removed before.
    pub(super) fn take_statements(&mut self, tag: u32) -> Statements {
        let at = self.former.iter().position(|(former, _)| *former == tag);
        let kept = at.and_then(|at| self.former.remove(at));
        kept.map_or_else(Statements::default, |(_, stated)| stated)
    }
}

/// A changed limit of an upstream.
#[derive(Debug)]
pub struct ChangedLimit {
    /// Id of the upstream.
    pub upstream: String,
    /// The limit before.
    pub before: Option<RequestRate>,
    /// The limit now.
    pub after: Option<RequestRate>,
}
