//! What upstreams state of themselves, and its exchange with peers.

use super::named_limit::NamedLimit;
use super::{Fleet, ServiceKey, Upstream};
use crate::peers::UpstreamStatement;
use platform::header::RequestRate;
use std::time::Instant;

/// Maximum number of statements in one datagram.
const MAX_STATEMENTS_PER_DATAGRAM: usize = 256;
/// Maximum number of removed upstreams whose statements are kept.
const MAX_FORMER: usize = 1024;

/// What one start of an upstream has stated of itself in its answers.
#[derive(Debug, Default)]
pub struct Statements {
    /// Limit on its requests from all hosts.
    pub limit: NamedLimit,
    /// Whether it will stop. This is final for a start.
    pub is_leaving: bool,
    /// End of the pause that it asked this process for.
    pub paused_until: Option<Instant>,
    /// Whether an invalid statement was logged.
    pub is_invalid_logged: bool,
}

impl Statements {
    fn is_empty(&self) -> bool {
        self.limit.rate().is_none() && !self.is_leaving && self.paused_until.is_none()
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

    /// Statements for peers. If there are too many for one datagram, leaving upstreams come first
    /// and then those with the lowest limits.
    pub fn advertised_statements(&self, now: Instant) -> Vec<UpstreamStatement> {
        let statement = |u: &Upstream| {
            let limit = u.stated.limit.advertised_version(now);
            let is_leaving = u.stated.is_leaving;
            (is_leaving || limit.is_some()).then(|| UpstreamStatement {
                upstream: u.tag(),
                is_leaving,
                limit: limit.unwrap_or_default(),
            })
        };
        let mut all: Vec<_> = self.iter().filter_map(|(_, u)| statement(u)).collect();
        if all.len() > MAX_STATEMENTS_PER_DATAGRAM {
            all.sort_unstable_by_key(|s| (!s.is_leaving, s.limit.rate.unwrap_or(u32::MAX)));
            all.truncate(MAX_STATEMENTS_PER_DATAGRAM);
        }
        all.sort_unstable_by_key(|s| s.upstream);
        all
    }

    /// Merges what a peer knows of an upstream; `None` if nothing changed.
    pub fn merge_statement(
        &mut self,
        peer: &UpstreamStatement,
        now: Instant,
    ) -> Option<ChangedStatement> {
        let upstream = self.get_mut_by_tag(peer.upstream)?;
        let stated = &mut upstream.stated;
        let before = stated.limit.rate();
        let is_limit_changed = stated.limit.merge(peer.limit, now);
        let begins_leaving = peer.is_leaving && !stated.is_leaving;
        stated.is_leaving |= peer.is_leaving;
        let limit = is_limit_changed.then(|| (before, stated.limit.rate()));
        (limit.is_some() || begins_leaving).then(|| ChangedStatement {
            upstream: upstream.instance.id.clone(),
            limit,
            begins_leaving,
        })
    }

    /// Keeps the statements of a removed upstream, whose row may come back.
    pub(super) fn keep_statements(&mut self, removed: &mut Upstream) {
        let mut stated = std::mem::take(&mut removed.stated);
        // A restored store may show the row as it was before.
        stated.is_leaving |= removed.instance.is_draining;
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

/// A change of what an upstream states.
#[derive(Debug)]
pub struct ChangedStatement {
    /// Id of the upstream.
    pub upstream: String,
    /// The limit before and now, if it changed.
    pub limit: Option<(Option<RequestRate>, Option<RequestRate>)>,
    /// Whether it is now known to leave.
    pub begins_leaving: bool,
}
