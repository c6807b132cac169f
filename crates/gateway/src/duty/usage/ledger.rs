//! A collector's record of the requests that started to run on all processes.

use super::message::{HeldLog, KnownLog, QueryAnswer, StartedRequest};
use super::request_log::RETENTION;
use platform::usage::TenantCount;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of process starts, as any sender can claim to be a new one.
const MAX_LOGS: usize = 2048;

/// Maximum error of the difference between the estimated times of two messages of a process. Each of
/// them is off by up to half the time in which an answer is accepted.
const MAX_TIME_ERROR: Duration = Duration::from_secs(2);
/// A request that started to run on some process.
#[derive(Debug)]
struct Entry {
    /// Number that its process gave it.
    number: u64,
    at: Instant,
    tenant: Arc<str>,
}

/// Time up to which all requests of a process are known.
#[derive(Debug, Clone, Copy)]
struct Completeness {
    until: Instant,
    /// Number of the first request that wasn't known when the process said so.
    next: u64,
}

/// Requests received from one start of a process.
#[derive(Debug)]
struct ProcessLog {
    ip: IpAddr,
    start: u32,
    /// Number of the next request that isn't known.
    next: u64,
    /// `None` if the process hasn't said up to which time its requests are complete.
    complete: Option<Completeness>,
    /// Time of its last message, to this process or another one.
    last_received_at: Instant,
    /// Time of its last answer to this process.
    answered_at: Option<Instant>,
    /// Sorted by number.
    entries: VecDeque<Entry>,
    /// Requests that the process had dropped before they were queried.
    missed: u64,
    /// Requests that became known after the report of their window was decided.
    late: u64,
    /// Those of them that the process hadn't sent although it said that its requests were complete.
    late_after_complete: u64,
}

impl ProcessLog {
    fn is_complete(&self, until: Instant) -> bool {
        self.complete.is_some_and(|c| c.until >= until)
    }

    /// Records that all requests up to a time are known.
    fn set_complete(&mut self, until: Instant) {
        if !self.is_complete(until) {
            let next = self.next;
            self.complete = Some(Completeness { until, next });
        }
    }

    /// Corrects the estimated time of a request by what the process had said before: a request that
    /// wasn't known then was sent later. Each request is then in a window that waited for it.
    fn correct_time(&self, number: u64, at: Instant) -> Instant {
        let earliest = self.earliest(number).unwrap_or(at);
        match earliest.saturating_duration_since(at) > MAX_TIME_ERROR {
            true => at,
            false => at.max(earliest),
        }
    }

    /// Earliest time at which a request can have been sent by what its process said; `None` if it
    /// was known then, or the process said nothing.
    fn earliest(&self, number: u64) -> Option<Instant> {
        let complete = self.complete.filter(|c| number >= c.next)?;
        Some(complete.until)
    }

    /// Some consecutive entries from number `from` on, for another process.
    fn held(&self, from: u64, entries: &[&Entry], now: Instant) -> HeldLog {
        let mut names: Vec<&Arc<str>> = entries.iter().map(|e| &e.tenant).collect();
        names.sort_unstable();
        names.dedup();
        let begun = entries.iter().map(|entry| {
            let tenant = names.partition_point(|name| **name < entry.tenant);
            StartedRequest {
                ago_ms: millis_since(entry.at, now),
                tenant: tenant as u16,
            }
        });
        HeldLog {
            ip: self.ip,
            start: self.start,
            from,
            received_ms_ago: millis_since(self.last_received_at, now),
            polled_ms_ago: None,
            begun: begun.collect(),
            tenants: names.iter().map(ToString::to_string).collect(),
            complete_ms_ago: None,
        }
    }

    /// Adds a request unless it is known.
    fn insert(&mut self, entry: Entry) -> bool {
        let is_next = self.entries.back().is_none_or(|e| e.number < entry.number);
        if is_next {
            self.entries.push_back(entry);
            return true;
        }
        let at = self
            .entries
            .binary_search_by_key(&entry.number, |e| e.number);
        if let Err(at) = at {
            self.entries.insert(at, entry);
        }
        at.is_err()
    }
}

/// Requests of a process that are in no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRequests {
    /// Address of the process.
    pub ip: IpAddr,
    /// Requests that it had dropped before they were queried.
    pub missed: u64,
    /// Requests that became known after the report of their window was decided.
    pub late: u64,
    /// Those of them that the process hadn't sent although it said that its requests were complete.
    pub late_after_complete: u64,
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
    /// Time span of the consecutive windows whose reports this process has decided.
    decided: Option<(Instant, Instant)>,
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
        let newest = self
            .logs_of(ip)
            .iter()
            .max_by_key(|log| log.last_received_at);
        newest.map_or_else(Position::default, |log| Position {
            start: log.start,
            next: log.next,
        })
    }

    /// Logs of all starts of a process.
    fn logs_of(&self, ip: IpAddr) -> &[ProcessLog] {
        let from = self.logs.partition_point(|log| log.ip < ip);
        let len = self.logs[from..].partition_point(|log| log.ip == ip);
        &self.logs[from..from + len]
    }

    /// Adds the requests that a process sent, where `at` is the time of its message by this
    /// process's clock. Returns whether more requests are available there.
    pub fn add(&mut self, ip: IpAddr, answer: &QueryAnswer, at: Instant) -> bool {
        let Some(log_index) = self.log_index(ip, answer.start, answer.from, at) else {
            return false;
        };
        let log = &mut self.logs[log_index];
        if answer.from > log.next {
            log.missed += answer.from - log.next;
        }
        log.next = log.next.max(answer.from + answer.begun.len() as u64);
        log.last_received_at = log.last_received_at.max(at);
        log.answered_at = log.answered_at.max(Some(at));
        let has_more = log.next < answer.next;
        self.insert(log_index, answer.from, &answer.begun, &answer.tenants, at);
        let until = answer.complete_ms_ago.and_then(|ms| before(at, ms));
        if let Some(until) = until.filter(|_| !has_more) {
            self.logs[log_index].set_complete(until);
        }
        has_more
    }

    /// Adds the last requests of an exiting process, unless earlier ones are missing here: it may
    /// have mistaken this process for a former one at the same address.
    pub fn add_last(&mut self, ip: IpAddr, answer: &QueryAnswer, at: Instant) {
        let logs = self.logs_of(ip).iter();
        let known = logs
            .filter(|log| log.start == answer.start)
            .map(|log| log.next);
        if answer.from <= known.max().unwrap_or(0) {
            self.add(ip, answer, at);
        }
    }

    /// Adds requests that another process holds, where `at` is the time of its message by this
    /// process's clock. Returns the number of those that weren't known.
    pub fn add_held(&mut self, held: &HeldLog, at: Instant) -> u64 {
        let Some(received_at) = before(at, held.received_ms_ago) else {
            return 0;
        };
        let Some(log_index) = self.log_index(held.ip, held.start, held.from, received_at) else {
            return 0;
        };
        let log = &mut self.logs[log_index];
        log.next = log.next.max(held.from + held.begun.len() as u64);
        log.last_received_at = log.last_received_at.max(received_at);
        let added = self.insert(log_index, held.from, &held.begun, &held.tenants, at);
        if let Some(until) = held.complete_ms_ago.and_then(|ms| before(at, ms)) {
            self.logs[log_index].set_complete(until);
        }
        added
    }

    /// Adds consecutive requests from number `from`, which started some time before `at`. Returns
    /// the number of those that weren't known.
    fn insert(
        &mut self,
        log_index: usize,
        from: u64,
        begun: &[StartedRequest],
        tenants: &[String],
        at: Instant,
    ) -> u64 {
        let mut added = 0;
        for (number, begun) in (from..).zip(begun) {
            let Some(name) = tenants.get(usize::from(begun.tenant)) else {
                continue;
            };
            let tenant = self.intern(name);
            let log = &self.logs[log_index];
            let at = log.correct_time(number, before(at, begun.ago_ms).unwrap_or(at));
            let is_decided = self
                .decided
                .is_some_and(|(from, until)| at >= from && at < until);
            let log = &mut self.logs[log_index];
            if log.insert(Entry { number, at, tenant }) {
                added += 1;
                log.late += u64::from(is_decided);
                let is_contradiction = log.earliest(number).is_some_and(|earliest| at < earliest);
                log.late_after_complete += u64::from(is_decided && is_contradiction);
            }
        }
        added
    }

    /// Index of the log of a process's start. A new log begins with request number `from`: those
    /// before it were dropped before this process collected.
    fn log_index(&mut self, ip: IpAddr, start: u32, from: u64, at: Instant) -> Option<usize> {
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
                    next: from,
                    complete: None,
                    last_received_at: at,
                    answered_at: None,
                    entries: VecDeque::new(),
                    missed: 0,
                    late: 0,
                    late_after_complete: 0,
                };
                self.logs.insert(log_index, log);
                Some(log_index)
            }
        }
    }

    /// Records that the report of a window was decided by this process.
    pub fn set_decided(&mut self, from: Instant, until: Instant) {
        self.decided = match self.decided {
            Some((first, last)) if last == from => Some((first, until)),
            _ => Some((from, until)),
        };
    }

    /// Number of process starts other than `own` whose requests are known.
    pub fn other_logs(&self, own: (IpAddr, u32)) -> usize {
        let others = self.logs.iter().filter(|log| (log.ip, log.start) != own);
        others.count()
    }

    /// The logs that are known, each with the number of the next request.
    pub fn known_logs(&self) -> Vec<KnownLog> {
        let known = self.logs.iter().map(|log| KnownLog {
            ip: log.ip,
            start: log.start,
            next: log.next,
        });
        known.collect()
    }

    /// The requests of all processes that aren't in `known`, which is sorted as the logs are.
    pub fn held_beyond(&self, known: &[KnownLog], now: Instant) -> Vec<HeldLog> {
        let mut out = Vec::new();
        for log in &self.logs {
            let at = known.binary_search_by_key(&(log.ip, log.start), |k| (k.ip, k.start));
            let next = at.map_or(0, |at| known[at].next);
            let first = log.entries.partition_point(|e| e.number < next);
            let entries: Vec<&Entry> = log.entries.range(first..).collect();
            // Numbers are missing where the process had dropped requests.
            for run in entries.chunk_by(|a, b| a.number + 1 == b.number) {
                out.push(log.held(run[0].number, run, now));
            }
            // It holds only with all requests.
            if let (Some(last), Some(complete)) = (out.last_mut(), log.complete)
                && !entries.is_empty()
            {
                last.complete_ms_ago = Some(millis_since(complete.until, now) + 1);
            }
        }
        out
    }

    /// Requests of all processes that started at or after `from`, or all requests if it is `None`,
    /// in groups of at most `max`.
    pub fn held_in_groups(
        &self,
        from: Option<Instant>,
        max: usize,
        now: Instant,
    ) -> Vec<Vec<HeldLog>> {
        let mut groups: Vec<Vec<HeldLog>> = Vec::new();
        let mut remaining = 0;
        for log in &self.logs {
            let entries = log.entries.iter();
            let entries: Vec<&Entry> = entries
                .filter(|e| from.is_none_or(|from| e.at >= from))
                .collect();
            for run in entries.chunk_by(|a, b| a.number + 1 == b.number) {
                let mut rest = run;
                while !rest.is_empty() {
                    if remaining == 0 {
                        groups.push(Vec::new());
                        remaining = max;
                    }
                    let (part, after) = rest.split_at(rest.len().min(remaining));
                    let held = log.held(part[0].number, part, now);
                    groups.last_mut().expect("a group was added").push(held);
                    remaining -= part.len();
                    rest = after;
                }
            }
        }
        groups
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
        let complete = self
            .logs
            .iter()
            .filter(|log| log.is_complete(until))
            .count();
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
        let heard = self.logs.iter().filter(|log| log.last_received_at >= from);
        let heard = heard.filter(|log| !log.is_complete(until));
        let heard = heard.map(|log| log.ip);
        let unheard = peers.iter().copied();
        let unheard = unheard.filter(|ip| !self.is_complete(*ip, until));
        let mut out: Vec<IpAddr> = heard.chain(unheard).collect();
        out.sort_unstable();
        out.dedup();
        out
    }

    /// Whether a process's requests are known up to a time.
    pub fn is_complete(&self, ip: IpAddr, until: Instant) -> bool {
        self.logs_of(ip).iter().any(|log| log.is_complete(until))
    }

    /// Processes that answered since `since` and after `until` without being complete up to then, as
    /// requests are open there or haven't been sent yet.
    pub fn open(&self, until: Instant, since: Instant) -> Vec<IpAddr> {
        let starts = self.logs.chunk_by(|a, b| a.ip == b.ip);
        let newest = starts.filter_map(|logs| logs.iter().max_by_key(|log| log.answered_at));
        let answered = newest.filter(|log| log.answered_at >= Some(until.max(since)));
        let open = answered.filter(|log| !log.is_complete(until));
        open.map(|log| log.ip).collect()
    }

    /// Start time of the earliest known request, or the time from which requests may be open.
    pub fn earliest(&self) -> Option<Instant> {
        let entries = self.logs.iter().flat_map(|log| &log.entries);
        let complete = self.logs.iter().filter_map(|log| log.complete);
        let open_since = complete.map(|c| c.until);
        entries.map(|e| e.at).chain(open_since).min()
    }

    /// Time of a process's last answer.
    pub fn last_received_at(&self, ip: IpAddr) -> Option<Instant> {
        let logs = self.logs_of(ip).iter();
        logs.map(|log| log.last_received_at).max()
    }

    /// Takes the requests that were found to be in no report since the last call.
    pub fn take_lost(&mut self) -> Vec<LostRequests> {
        let mut lost = Vec::new();
        for log in self.logs.iter_mut().filter(|l| l.missed + l.late > 0) {
            lost.push(LostRequests {
                ip: log.ip,
                missed: std::mem::take(&mut log.missed),
                late: std::mem::take(&mut log.late),
                late_after_complete: std::mem::take(&mut log.late_after_complete),
            });
        }
        lost
    }

    /// Drops entries that are too old to be reported. Returns the number of requests that
    /// processes had dropped before this collector queried them.
    pub fn expire(&mut self, now: Instant) -> u64 {
        let is_kept = |at: Instant| now.saturating_duration_since(at) <= RETENTION;
        let missed = self.take_lost().iter().map(|lost| lost.missed).sum();
        for log in &mut self.logs {
            while log.entries.front().is_some_and(|e| !is_kept(e.at)) {
                log.entries.pop_front();
            }
        }
        self.logs.retain(|log| is_kept(log.last_received_at));
        self.names.retain(|name| Arc::strong_count(name) > 1);
        missed
    }
}

fn millis_since(at: Instant, now: Instant) -> u32 {
    now.saturating_duration_since(at).as_millis() as u32
}

fn before(at: Instant, ms: u32) -> Option<Instant> {
    at.checked_sub(Duration::from_millis(ms.into()))
}
