//! A collector's record of the requests that started to run on all processes.

use super::message::QueryAnswer;
use super::request_log::{Entry, RETENTION};
use platform::usage::TenantCount;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of process starts, as any sender can claim to be a new one.
const MAX_LOGS: usize = 2048;

/// Requests received from one start of a process.
#[derive(Debug)]
struct ProcessLog {
    ip: IpAddr,
    start: u32,
    /// Number of the next request that isn't known.
    next: u64,
    /// Time of its last answer after which nothing was left to query.
    complete_at: Option<Instant>,
    last_received_at: Instant,
    /// In the order in which they were received.
    entries: VecDeque<Entry>,
    /// Requests that the process had dropped before they were queried.
    missed: u64,
}

/// Position in a process's log from which to query.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// Identifier of the process's start, 0 if unknown.
    pub start: u32,
    /// Number of the next request that isn't known.
    pub next: u64,
}

/// Requests of all processes.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Sorted by address and start.
    logs: Vec<ProcessLog>,
    /// Sorted; entries share these strings.
    names: Vec<Arc<str>>,
}

/// Request counts of a time span, and how complete they are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowCount {
    /// Requests by tenant, sorted by name.
    pub counts: Vec<TenantCount>,
    /// Total number of requests.
    pub requests: u64,
    /// Processes whose requests are known for the whole span.
    pub hosts: usize,
    /// Processes that answered but whose requests aren't known for the whole span.
    pub silent: usize,
}

impl Ledger {
    /// Position up to which a process's requests are known.
    pub fn position(&self, ip: IpAddr) -> Position {
        let logs = self.logs.iter().filter(|log| log.ip == ip);
        let newest = logs.max_by_key(|log| log.last_received_at);
        newest.map_or_else(Position::default, |log| Position {
            start: log.start,
            next: log.next,
        })
    }

    /// Adds the requests that a process sent, where `at` is the time of its message by this
    /// process's clock. Returns whether more requests are available there.
    pub fn add(&mut self, ip: IpAddr, answer: &QueryAnswer, at: Instant) -> bool {
        let Some(log_index) = self.log_index(ip, answer.start, at) else {
            return false;
        };
        let known = self.logs[log_index].next;
        if answer.from > known {
            self.logs[log_index].missed += answer.from - known;
            self.logs[log_index].next = answer.from;
        }
        let known_count = self.logs[log_index].next.saturating_sub(answer.from) as usize;
        for begun in answer.begun.iter().skip(known_count) {
            let Some(name) = answer.tenants.get(usize::from(begun.tenant)) else {
                continue;
            };
            let tenant = self.intern(name);
            let ago = Duration::from_millis(begun.ago_ms.into());
            let at = at.checked_sub(ago).unwrap_or(at);
            self.logs[log_index].entries.push_back(Entry { at, tenant });
        }
        let log = &mut self.logs[log_index];
        log.next = log.next.max(answer.from + answer.begun.len() as u64);
        log.last_received_at = log.last_received_at.max(at);
        let has_more = log.next < answer.next;
        if !has_more {
            log.complete_at = log.complete_at.max(Some(at));
        }
        has_more
    }

    fn log_index(&mut self, ip: IpAddr, start: u32, at: Instant) -> Option<usize> {
        let found = self
            .logs
            .binary_search_by_key(&(ip, start), |log| (log.ip, log.start));
        match found {
            Ok(log_index) => Some(log_index),
            Err(_) if self.logs.len() >= MAX_LOGS => None,
            Err(log_index) => {
                let log = ProcessLog {
                    ip,
                    start,
                    next: 0,
                    complete_at: None,
                    last_received_at: at,
                    entries: VecDeque::new(),
                    missed: 0,
                };
                self.logs.insert(log_index, log);
                Some(log_index)
            }
        }
    }

    fn intern(&mut self, name: &str) -> Arc<str> {
        match self.names.binary_search_by(|known| (**known).cmp(name)) {
            Ok(at) => self.names[at].clone(),
            Err(at) => {
                self.names.insert(at, name.into());
                self.names[at].clone()
            }
        }
    }

    /// Counts the requests that started at or after `from` and before `until`.
    pub fn count(&self, from: Instant, until: Instant) -> WindowCount {
        let entries = self.logs.iter().flat_map(|log| &log.entries);
        let within = entries.filter(|e| e.at >= from && e.at < until);
        let mut names: Vec<&Arc<str>> = within.map(|e| &e.tenant).collect();
        names.sort_unstable();
        let mut counts: Vec<TenantCount> = Vec::new();
        for name in &names {
            match counts.last_mut().filter(|last| *last.tenant == ***name) {
                Some(last) => last.requests += 1,
                None => counts.push(TenantCount {
                    tenant: name.to_string(),
                    requests: 1,
                }),
            }
        }
        let (hosts, silent) = self.coverage(from, until);
        WindowCount {
            counts,
            requests: names.len() as u64,
            hosts,
            silent,
        }
    }

    /// Numbers of processes whose requests are known for the whole span, and of those that answered
    /// since its start but aren't complete.
    pub fn coverage(&self, from: Instant, until: Instant) -> (usize, usize) {
        let is_complete = |log: &&ProcessLog| log.complete_at.is_some_and(|at| at >= until);
        let complete = self.logs.iter().filter(is_complete).count();
        // A process whose last answer came before the span started no request in it.
        let heard = self
            .logs
            .iter()
            .filter(|log| log.last_received_at >= from)
            .count();
        (complete, heard.saturating_sub(complete))
    }

    /// Addresses of processes whose requests aren't known for the whole span, sorted: those of
    /// `peers`, and others that answered since its start.
    pub fn incomplete(&self, peers: &[IpAddr], from: Instant, until: Instant) -> Vec<IpAddr> {
        let is_complete = |log: &ProcessLog| log.complete_at.is_some_and(|at| at >= until);
        let complete = |ip: IpAddr| {
            let mut logs = self.logs.iter().filter(|log| log.ip == ip);
            logs.any(is_complete)
        };
        let heard = self.logs.iter().filter(|log| log.last_received_at >= from);
        let heard = heard.filter(|log| !is_complete(log)).map(|log| log.ip);
        let unheard = peers.iter().copied().filter(|ip| !complete(*ip));
        let mut out: Vec<IpAddr> = heard.chain(unheard).collect();
        out.sort_unstable();
        out.dedup();
        out
    }

    /// Start time of the earliest known request.
    pub fn earliest(&self) -> Option<Instant> {
        let entries = self.logs.iter().flat_map(|log| &log.entries);
        entries.map(|e| e.at).min()
    }

    /// Time of a process's last answer.
    pub fn last_received_at(&self, ip: IpAddr) -> Option<Instant> {
        let logs = self.logs.iter().filter(|log| log.ip == ip);
        logs.map(|log| log.last_received_at).max()
    }

    /// Drops entries that are too old to be reported. Returns the number of requests that
    /// processes had dropped before this collector queried them.
    pub fn expire(&mut self, now: Instant) -> u64 {
        let is_kept = |at: Instant| now.saturating_duration_since(at) <= RETENTION;
        let mut missed = 0;
        for log in &mut self.logs {
            while log.entries.front().is_some_and(|e| !is_kept(e.at)) {
                log.entries.pop_front();
            }
            missed += std::mem::take(&mut log.missed);
        }
        self.logs.retain(|log| is_kept(log.last_received_at));
        self.names.retain(|name| Arc::strong_count(name) > 1);
        missed
    }
}
