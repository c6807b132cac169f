//! Status of the other hosts that can hold origins.
//!
//! A copy counts only while the process that holds it keeps running: not if the process is stopping,
//! has ended, or has been restarted at the same address. Datagrams identify the start of their sender
//! and tell whether it is stopping. Hosts that hold copies are probed while they send nothing else.

use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Time without an answer after which a datagram counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of unanswered datagrams in a row after which a host counts as silent.
const MAX_UNANSWERED: u32 = 3;
/// Minimum interval between probes of a host that holds copies.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// Added to the interval for each such host; limits a process to 50 of these probes a second.
const PROBE_EVERY_PER_HOST: Duration = Duration::from_millis(20);
/// Interval between probes of a stopping or silent host, which may have been restarted.
const PROBE_UNAVAILABLE_EVERY: Duration = Duration::from_millis(300);
/// Maximum number of stopping or silent hosts that are probed at a time.
const MAX_UNAVAILABLE_PROBES: usize = 8;
/// Time without an answer after which a host is removed.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Minimum difference of running times by which a status is of an earlier start, to allow for
/// delayed datagrams.
const START_TOLERANCE: Duration = Duration::from_millis(100);
/// Maximum number of hosts in the list.
const MAX_HOSTS: usize = 4096;

/// A start of the process on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostStart {
    /// Address of the host.
    pub ip: IpAddr,
    /// Random number that identifies the start.
    pub start: u32,
}

/// Status of a process, which it sends in its datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostStatus {
    /// Random number that identifies its start.
    pub start: u32,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// Time since its start.
    pub running_for: Duration,
}

/// Availability of a host for holding copies, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Availability {
    /// It is running and not known to be stopping.
    Running,
    /// It is stopping.
    Stopping,
    /// It doesn't answer datagrams.
    Silent,
}

/// A host that sent a datagram or was sent one.
#[derive(Debug, Clone, Copy)]
struct Host {
    ip: IpAddr,
    status: Option<(HostStatus, Instant)>,
    /// Time of the first datagram that was sent to it since its last answer.
    waiting_since: Option<Instant>,
    /// Number of datagrams in a row that it didn't answer.
    unanswered: u32,
    asked_at: Option<Instant>,
}

/// Hosts that can hold origins.
#[derive(Debug, Default)]
pub struct Hosts {
    /// Sorted by address.
    all: Vec<Host>,
    /// Incremented when the start or the availability of a host changes.
    revision: u64,
}

impl Hosts {
    /// Records a datagram from a host.
    pub fn record_heard(&mut self, ip: IpAddr, status: HostStatus, now: Instant) {
        let Some(host) = self.find_or_add(ip) else {
            return;
        };
        let before = (host.start(), host.availability());
        host.waiting_since = None;
        host.unanswered = 0;
        if !host.is_outdated(&status, now) {
            let is_same_start = host.start() == Some(status.start);
            // A stopping process doesn't resume, so a delayed datagram must not clear the flag.
            let was_stopping = is_same_start && host.is_stopping();
            let is_stopping = status.is_stopping || was_stopping;
            let status = HostStatus {
                is_stopping,
                ..status
            };
            host.status = Some((status, now));
        }
        if (host.start(), host.availability()) != before {
            self.revision += 1;
        }
    }

    /// Records that a datagram that requires an answer was sent to a host.
    pub fn record_request(&mut self, ip: IpAddr, now: Instant) {
        let Some(host) = self.find_or_add(ip) else {
            return;
        };
        let before = host.availability();
        let is_unanswered = |at: Instant| now.saturating_duration_since(at) >= ANSWER_TIMEOUT;
        if host.waiting_since.is_none() {
            host.waiting_since = Some(now);
            host.asked_at = Some(now);
        } else if host.asked_at.is_none_or(is_unanswered) {
            host.unanswered += 1;
            host.asked_at = Some(now);
        }
        if host.availability() != before {
            self.revision += 1;
        }
    }

    /// Availability of a host. Unknown hosts count as running.
    pub(crate) fn availability(&self, ip: IpAddr) -> Availability {
        self.find(ip)
            .map_or(Availability::Running, Host::availability)
    }

    /// Availability of a process that holds a copy. `None` if its host is unknown or has been
    /// restarted.
    pub(crate) fn availability_of(&self, holder: HostStart) -> Option<Availability> {
        let host = self.find(holder.ip)?;
        (host.start() == Some(holder.start)).then(|| host.availability())
    }

    /// Last status of a host, with the time at which it was received.
    pub fn status(&self, ip: IpAddr) -> Option<(HostStatus, Instant)> {
        self.find(ip)?.status
    }

    /// Hosts that have sent a datagram and aren't silent.
    pub fn answering(&self) -> Vec<IpAddr> {
        let is_answering =
            |host: &&Host| host.status.is_some() && host.availability() != Availability::Silent;
        let answering = self.all.iter().filter(is_answering);
        answering.map(|host| host.ip).collect()
    }

    /// Hosts to probe now: `holders` of copies, sorted by address, from which nothing came for the
    /// probe interval, hosts whose answer is overdue, and some stopping or silent hosts.
    pub fn due_probes(&mut self, holders: &[IpAddr], now: Instant) -> Vec<IpAddr> {
        let interval = PROBE_EVERY + PROBE_EVERY_PER_HOST * holders.len() as u32;
        let age = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let mut due = Vec::new();
        let mut unavailable = Vec::new();
        for host in &self.all {
            let heard = age(host.status.map(|(_, at)| at));
            let asked = age(host.asked_at);
            let is_holder = holders.binary_search(&host.ip).is_ok();
            let is_running = host.availability() == Availability::Running;
            match (is_running, host.waiting_since.is_some()) {
                (true, true) if asked.is_none_or(|age| age >= ANSWER_TIMEOUT) => due.push(host.ip),
                (true, false) if is_holder && heard.is_none_or(|age| age >= interval) => {
                    due.push(host.ip);
                }
                (false, _) if asked.is_none_or(|age| age >= PROBE_UNAVAILABLE_EVERY) => {
                    unavailable.push((asked, host.ip));
                }
                (true | false, _) => {}
            }
        }
        // Least recently asked first.
        unavailable
            .sort_unstable_by_key(|(asked, _)| std::cmp::Reverse(asked.unwrap_or(Duration::MAX)));
        due.extend(
            unavailable
                .into_iter()
                .take(MAX_UNAVAILABLE_PROBES)
                .map(|(_, ip)| ip),
        );
        self.forget_silent(now);
        due
    }

    /// Number that changes with the start or the availability of any host.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn forget_silent(&mut self, now: Instant) {
        let is_silent = |at: Instant| now.saturating_duration_since(at) >= FORGET_AFTER;
        self.all
            .retain(|host| !host.waiting_since.is_some_and(is_silent));
    }

    fn find(&self, ip: IpAddr) -> Option<&Host> {
        let at = self.all.binary_search_by_key(&ip, |host| host.ip);
        at.ok().map(|at| &self.all[at])
    }

    fn find_or_add(&mut self, ip: IpAddr) -> Option<&mut Host> {
        let at = match self.all.binary_search_by_key(&ip, |host| host.ip) {
            Ok(at) => at,
            Err(_) if self.all.len() >= MAX_HOSTS => return None,
            Err(at) => {
                let host = Host {
                    ip,
                    status: None,
                    waiting_since: None,
                    unanswered: 0,
                    asked_at: None,
                };
                self.all.insert(at, host);
                at
            }
        };
        Some(&mut self.all[at])
    }
}

impl Host {
    /// Whether a status, from a delayed datagram, is of an earlier start than the known one.
    fn is_outdated(&self, status: &HostStatus, now: Instant) -> bool {
        let Some((known, at)) = self.status else {
            return false;
        };
        let known_for = known.running_for + now.saturating_duration_since(at);
        known.start != status.start && known_for + START_TOLERANCE < status.running_for
    }

    fn is_stopping(&self) -> bool {
        self.status.is_some_and(|(status, _)| status.is_stopping)
    }

    fn start(&self) -> Option<u32> {
        self.status.map(|(status, _)| status.start)
    }

    fn availability(&self) -> Availability {
        match self.status {
            _ if self.unanswered >= MAX_UNANSWERED => Availability::Silent,
            Some((status, _)) if status.is_stopping => Availability::Stopping,
            Some(_) | None => Availability::Running,
        }
    }
}
