//! Decides whether a collector knows enough to decide the report of a window.
//!
//! A process that has just become a collector has no requests of others yet. Those of processes
//! that run can be polled. Those of processes that are gone may be held by others, which are or
//! were collectors, and are fetched from them. It performs no I/O.

use super::ledger::Ledger;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Maximum time to wait for the first answers of a process, as it may be gone although it is still
/// listed.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time beyond two intervals between polls after which a collector counts as having been paused.
const PAUSE_MARGIN: Duration = Duration::from_millis(500);
/// Time after a fetch from a process during which reports are decided without another one.
const FETCH_VALIDITY: Duration = Duration::from_secs(1);
/// Minimum time without an answer after which a process isn't expected to answer again soon.
const MIN_SILENT_AFTER: Duration = Duration::from_secs(3);
/// Maximum time for which a report waits until all processes are heard.
const MAX_GATHER_TIME: Duration = Duration::from_secs(6);
/// Maximum time for which a report waits while some process doesn't answer.
const MAX_UNHEARD_WAIT: Duration = Duration::from_millis(3500);
/// Share of the time until a report is due for which it waits at most while processes have open
/// requests. They enter these earlier; the rest is left to deliver the report.
const MAX_OPEN_WAIT_SHARE: f64 = 0.7;
/// Additional share of that time for processes behind the first.
const OPEN_WAIT_SHARE_BEHIND: f64 = 0.15;
/// Number of attempts to fetch what a process holds.
const MAX_FETCHES: u32 = 2;

/// Requests of other processes that a polled process holds, as it said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Held {
    /// It hasn't answered.
    Unknown,
    /// It holds none.
    Nothing,
    /// It holds some, which must be fetched.
    Due { failures: u32 },
    /// They were fetched at this time, or couldn't be.
    Fetched(Instant),
}

/// A process that is polled.
#[derive(Debug, Clone, Copy)]
struct PolledPeer {
    ip: IpAddr,
    polled_since: Instant,
    held: Held,
}

/// Whether the report of a window may be decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// It may be decided.
    Ready,
    /// The requests that these processes hold must be fetched first.
    Fetch(Vec<IpAddr>),
    /// Requests may be missing that will be known soon.
    Wait,
}

/// A time span in which requests started.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// Start of the span.
    pub from: Instant,
    /// End of the span, which isn't part of it.
    pub until: Instant,
}

/// What may be missing of the requests of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// The requests of all processes are known.
    Nothing,
    /// Some process hasn't answered since the end of the window.
    Unheard,
    /// Some process answers and may still turn out to have run requests of the window.
    Open,
}

impl Missing {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Unheard => "answers since the end of the window",
            Self::Open => "open requests",
        }
    }
}

/// Maximum times after a window's end for which its report waits for requests.
#[derive(Debug, Clone, Copy)]
pub struct MaxWaits {
    /// While processes don't answer.
    unheard: Duration,
    /// While processes answer and have open requests.
    open: Duration,
}

impl MaxWaits {
    /// Waits of reports that are due some time after the window's end, for a process that decides
    /// `place_delay` after the first one.
    pub fn new(due: Duration, place_delay: Duration) -> Self {
        let behind = place_delay.min(due.mul_f64(OPEN_WAIT_SHARE_BEHIND));
        let open = due.mul_f64(MAX_OPEN_WAIT_SHARE) + behind;
        Self {
            unheard: open.min(MAX_UNHEARD_WAIT + place_delay),
            open,
        }
    }

    /// Maximum wait while requests may be missing.
    pub fn of(&self, missing: Missing) -> Duration {
        match missing {
            Missing::Nothing => Duration::ZERO,
            Missing::Unheard => self.unheard,
            Missing::Open => self.open,
        }
    }
}

/// State of the collection of requests; empty while this process isn't a collector.
#[derive(Debug, Default)]
pub struct Collection {
    /// Time of the last poll, and the time by which the next one is due.
    last_poll: Option<(Instant, Instant)>,
    /// Time of the first poll since this process collects without a pause.
    began_at: Option<Instant>,
    /// Sorted by address.
    peers: Vec<PolledPeer>,
}

impl Collection {
    /// Records that all of `peers`, which are sorted, are polled now and again after `interval`.
    /// A process that was paused starts anew, as others may have started and ended meanwhile.
    pub fn record_poll(&mut self, peers: &[IpAddr], interval: Duration, now: Instant) {
        if self.has_paused(now) {
            self.clear();
        }
        self.began_at.get_or_insert(now);
        self.last_poll = Some((now, now + interval * 2 + PAUSE_MARGIN));
        self.peers
            .retain(|peer| peers.binary_search(&peer.ip).is_ok());
        for ip in peers {
            if let Err(at) = self.peers.binary_search_by_key(ip, |peer| peer.ip) {
                let peer = PolledPeer {
                    ip: *ip,
                    polled_since: now,
                    held: Held::Unknown,
                };
                self.peers.insert(at, peer);
            }
        }
    }

    /// Records that this process isn't a collector.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether a report may still wait until all processes are heard: for some time after the end of
    /// its window, the first poll and the end of the last outage of the store. The waits of several
    /// reports therefore overlap. `store_available_since` is `None` during an outage.
    pub fn may_wait(
        &self,
        window: Span,
        store_available_since: Option<Instant>,
        now: Instant,
    ) -> bool {
        let Some(available_since) = store_available_since else {
            return true;
        };
        let since = window.until.max(available_since);
        let since = self.began_at.map_or(since, |at| at.max(since));
        now.saturating_duration_since(since) < MAX_GATHER_TIME
    }

    fn has_paused(&self, now: Instant) -> bool {
        self.last_poll.is_some_and(|(_, due)| now > due)
    }

    fn find_mut(&mut self, ip: IpAddr) -> Option<&mut PolledPeer> {
        let at = self.peers.binary_search_by_key(&ip, |peer| peer.ip).ok()?;
        Some(&mut self.peers[at])
    }

    /// Processes that haven't said yet whether they hold requests of others.
    pub fn held_unknown(&self, now: Instant) -> Vec<IpAddr> {
        let unknown = self.peers.iter().filter(|p| p.may_still_tell(now));
        unknown.map(|peer| peer.ip).collect()
    }

    /// Records whether a process holds requests of others.
    pub fn record_held(&mut self, ip: IpAddr, holds_some: bool) {
        if let Some(peer) = self.find_mut(ip)
            && matches!(peer.held, Held::Unknown | Held::Nothing)
        {
            peer.held = match holds_some {
                true => Held::Due { failures: 0 },
                false => Held::Nothing,
            };
        }
    }

    /// Records an attempt to fetch the requests that a process holds.
    pub fn record_fetch(&mut self, ip: IpAddr, is_done: bool, now: Instant) {
        let Some(peer) = self.find_mut(ip) else {
            return;
        };
        peer.held = match peer.held {
            Held::Due { failures } if !is_done && failures + 1 < MAX_FETCHES => Held::Due {
                failures: failures + 1,
            },
            _ => Held::Fetched(now),
        };
    }

    /// Processes whose held requests haven't been fetched yet.
    pub fn to_fetch(&self) -> Vec<IpAddr> {
        let due = |peer: &&PolledPeer| matches!(peer.held, Held::Due { .. });
        let due = self.peers.iter().filter(due);
        due.map(|peer| peer.ip).collect()
    }

    /// What may be missing of the requests of a window. `live` are the processes that run.
    pub fn missing(&self, ledger: &Ledger, live: &[IpAddr], window: Span, now: Instant) -> Missing {
        if !self.open(ledger, window.until, now).is_empty() {
            return Missing::Open;
        }
        let incomplete = ledger.incomplete(live, window.from, window.until);
        match incomplete.is_empty() {
            true => Missing::Nothing,
            false => Missing::Unheard,
        }
    }

    /// Processes that answer and may still turn out to have run requests sent before `until`.
    pub fn open(&self, ledger: &Ledger, until: Instant, now: Instant) -> Vec<IpAddr> {
        let two_polls = self.last_poll.map_or(Duration::ZERO, |(at, due)| due - at);
        let silent_after = two_polls.max(MIN_SILENT_AFTER);
        let since = now.checked_sub(silent_after).unwrap_or(now);
        ledger.open(until, since)
    }

    /// Whether the report of a window may be decided now. `peers` are all known processes.
    pub fn readiness(
        &self,
        ledger: &Ledger,
        peers: &[IpAddr],
        window: Span,
        now: Instant,
    ) -> Readiness {
        let is_polled = |ip: &IpAddr| {
            let found = self.peers.binary_search_by_key(ip, |peer| peer.ip);
            found.is_ok()
        };
        if self.last_poll.is_none() || self.has_paused(now) || !peers.iter().all(is_polled) {
            return Readiness::Wait;
        }
        let is_awaited = |peer: &PolledPeer| {
            peer.is_new(now) && !ledger.is_complete(peer.ip, window.until)
                || peer.may_still_tell(now)
        };
        if self.peers.iter().any(is_awaited) {
            return Readiness::Wait;
        }
        let mut fetch = self.to_fetch();
        let incomplete = ledger.incomplete(peers, window.from, window.until);
        if fetch.is_empty() && !incomplete.is_empty() {
            // Others may have heard the silent process last.
            let is_old = |peer: &&PolledPeer| match peer.held {
                Held::Fetched(at) => now.saturating_duration_since(at) > FETCH_VALIDITY,
                Held::Unknown | Held::Nothing | Held::Due { .. } => false,
            };
            fetch.extend(self.peers.iter().filter(is_old).map(|peer| peer.ip));
        }
        match fetch.is_empty() {
            true => Readiness::Ready,
            false => Readiness::Fetch(fetch),
        }
    }
}

impl PolledPeer {
    /// Whether its first answers may be outstanding.
    fn is_new(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.polled_since) < FIRST_ANSWER_TIMEOUT
    }

    fn may_still_tell(&self, now: Instant) -> bool {
        self.held == Held::Unknown && self.is_new(now)
    }
}
