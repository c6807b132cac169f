//! Copies the origin of a stream to other hosts until it expires.

use crate::hosts::{Availability, HostStart, Hosts};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Number of other hosts that keep a copy.
pub const COPIES: usize = 2;
/// Time without a confirmation after which a copy is sent again.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(40);
/// Number of rounds before a pause.
const MAX_ROUNDS: usize = 6;
/// Pause after [`MAX_ROUNDS`] rounds.
const RETRY_EVERY: Duration = Duration::from_secs(1);

/// Copying of one origin to the first [`COPIES`] running hosts in the order of the stream, and to
/// stopping hosts if too few are running. In each round, one more host is sent a copy besides those
/// that haven't confirmed theirs, as these may be gone.
#[derive(Debug, Clone, Default)]
pub(crate) struct Replication {
    /// Processes that hold the origin.
    holders: Vec<HostStart>,
    /// First other hosts in the order of the stream, and the revision of the members that they were
    /// computed from.
    first_hosts: Vec<IpAddr>,
    members_revision: Option<u64>,
    rounds: usize,
    sent_at: Option<Instant>,
    /// Revision of the hosts at the last check.
    revision: u64,
    /// Whether enough hosts had a copy at that revision.
    is_complete: bool,
}

impl Replication {
    /// First other hosts in the order of the stream at a revision of the members, if they are
    /// known.
    pub(crate) fn first_hosts(&self, members_revision: u64) -> Option<&[IpAddr]> {
        let is_current = self.members_revision == Some(members_revision);
        is_current.then_some(self.first_hosts.as_slice())
    }

    /// Sets the first other hosts in the order of the stream.
    pub(crate) fn set_first_hosts(&mut self, hosts: Vec<IpAddr>, members_revision: u64) {
        self.first_hosts = hosts;
        self.members_revision = Some(members_revision);
    }

    /// Records that a process holds the origin.
    pub(crate) fn confirm(&mut self, holder: HostStart) {
        match self.holders.iter_mut().find(|known| known.ip == holder.ip) {
            Some(known) => *known = holder,
            None => self.holders.push(holder),
        }
    }

    /// Whether enough hosts are known to have a copy at a revision of the hosts.
    pub(crate) fn is_complete_at(&self, revision: u64) -> bool {
        self.is_complete && self.revision == revision
    }

    /// Whether a round is due at a revision of the hosts.
    pub(crate) fn is_due(&self, revision: u64, now: Instant) -> bool {
        let pause = match self.rounds < MAX_ROUNDS {
            true => CONFIRM_TIMEOUT,
            false => RETRY_EVERY,
        };
        let is_waiting = |at: Instant| now.saturating_duration_since(at) < pause;
        let is_same = self.revision == revision;
        !(is_same && (self.is_complete || self.sent_at.is_some_and(is_waiting)))
    }

    /// Begins a round if one is due, and returns the hosts that are to be sent a copy. `order` are
    /// the other hosts that aren't silent, most preferred first.
    pub(crate) fn next_round(
        &mut self,
        order: &[IpAddr],
        hosts: &Hosts,
        revision: u64,
        now: Instant,
    ) -> Vec<IpAddr> {
        if !self.is_due(revision, now) {
            return Vec::new();
        }
        if self.revision != revision || self.rounds >= MAX_ROUNDS {
            self.rounds = 0;
        }
        self.revision = revision;
        let mut wanted = order.iter().take(COPIES);
        self.is_complete = wanted.all(|ip| self.is_held_by(*ip, hosts));
        if self.is_complete {
            return Vec::new();
        }
        let targets = order.iter().take(COPIES + self.rounds);
        self.rounds += 1;
        self.sent_at = Some(now);
        targets
            .filter(|ip| !self.is_held_by(**ip, hosts))
            .copied()
            .collect()
    }

    /// Running hosts that hold the origin.
    pub(crate) fn running_holders(&self, hosts: &Hosts) -> impl Iterator<Item = IpAddr> {
        let is_running =
            |holder: &&HostStart| hosts.availability_of(**holder) == Some(Availability::Running);
        self.holders
            .iter()
            .filter(is_running)
            .map(|holder| holder.ip)
    }

    fn is_held_by(&self, ip: IpAddr, hosts: &Hosts) -> bool {
        let mut holders = self.holders.iter().filter(|holder| holder.ip == ip);
        holders.any(|holder| {
            hosts
                .availability_of(*holder)
                .is_some_and(|a| a != Availability::Silent)
        })
    }
}
