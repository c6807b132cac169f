//! Decides each window's report and sends it, while this process holds the duty.

use super::collection::{MaxWaits, Missing, Readiness, Span};
use super::decisions::{self, Announced};
use super::holder::{Action, Holder, Windows};
use super::ledger::WindowCount;
use super::message::StoredLogs;
use super::request_log::RETENTION;
use super::{is_collector, is_enabled, transfer};
use crate::duty::{STORE_TIMEOUT, log_not_taken, log_taken};
use crate::follow::StoreClient;
use crate::monotonic;
use crate::state::Gateway;
use observe::{Event, emit};
use platform::cloud::{Cloud, CloudAnswer, LeaseRef};
use platform::store::MAX_ENTRIES;
use platform::usage::UsageReport;
use platform::{Duty, Lease, LeaseWrite, Position};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Interval between checks whether a report is due.
const CHECK_EVERY: Duration = Duration::from_millis(100);
/// Minimum time after a window's end until its report is decided, in which each process is polled.
const SETTLE_TIME: Duration = Duration::from_millis(1600);
/// Additional wait per place behind the first process, and the maximum number of places.
const SETTLE_TIME_PER_PLACE: Duration = Duration::from_millis(2500);
const MAX_PLACES: u32 = 3;
/// Timeout for an answer to a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Initial and maximum pause after a failed call; the pause doubles each time.
const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(3000));
/// Time after its due time for which a report is still sent, as a late report is better than
/// none.
const MAX_LATENESS: Duration = Duration::from_secs(20);

/// Maximum time for which a report waits until another process knows it. The rest of the time until
/// it is due is left to deliver it.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause between two attempts to announce a report.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of processes that a report waits for and that are logged.
const MAX_WAITS_LOGGED: usize = 12;
/// Maximum number of skipped windows that are logged individually, newest first.
const MAX_SKIPPED_LOGGED: usize = 12;
/// Name of the usage endpoint in logs.
const CLOUD_DEPENDENCY: &str = "cloud/usage";

/// Reports usage until the process ends.
pub async fn run(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    let mut reporter: Option<Reporter> = None;
    loop {
        tokio::time::sleep(CHECK_EVERY).await;
        let now = monotonic::now();
        if !is_enabled(&gateway) || !is_collector(&gateway, now) {
            continue;
        }
        let reporter = reporter.get_or_insert_with(|| Reporter::new(gateway.clone(), now));
        let pause = reporter.step(&mut client, now).await;
        tokio::time::sleep(pause).await;
    }
}

struct Reporter {
    gateway: Arc<Gateway>,
    holder: Holder,
    started_at: Instant,
    /// Last time at which the next report waited for open requests.
    waited_at: Option<Instant>,
    /// Last wait that was logged: the window, and the reason.
    logged_wait: Option<(u64, &'static str)>,
    retry_pause: Duration,
    /// The window whose report is being announced, and since when.
    announcing: Option<(u64, Instant)>,
    /// Last window that this process decided, and its end. The next window starts there, so that
    /// no request is counted twice when the agreed time is corrected.
    counted_until: Option<(u64, Instant)>,
    cloud_lost_at: Option<Instant>,
    /// Position of the list of processes at the last read of unconfirmed requests from the store.
    members_at_read: Option<Position>,
}

impl Reporter {
    fn new(gateway: Arc<Gateway>, now: Instant) -> Self {
        let host = gateway.host();
        Self {
            holder: Holder::new(host.ip.to_string(), host.order_gap),
            gateway,
            started_at: now,
            waited_at: None,
            logged_wait: None,
            retry_pause: RETRY_BACKOFF.0,
            announcing: None,
            counted_until: None,
            cloud_lost_at: None,
            members_at_read: None,
        }
    }

    /// Performs the next step and returns the pause after it.
    async fn step(&mut self, client: &mut StoreClient, now: Instant) -> Duration {
        let to_fetch = self.gateway.usage.collection().to_fetch();
        if !to_fetch.is_empty() {
            // The lease is checked by the time of the next step.
            self.fetch(to_fetch).await;
            return Duration::ZERO;
        }
        self.holder
            .set_done_window(self.gateway.usage.done_window());
        self.drop_expired(now);
        // A process that has exited since the last read may have written requests to the store.
        let members = self.gateway.members_position();
        if self.members_at_read.is_some_and(|at| at < members) && self.holder.pending().is_none() {
            self.holder.invalidate();
        }
        let last_ready = self.last_ready(now);
        let is_done = last_ready.is_none_or(|last_ready| last_ready <= self.holder.done_window());
        if is_done && self.holder.pending().is_none() {
            return Duration::ZERO;
        }
        let Some(first) = self.first_window(now) else {
            return Duration::ZERO;
        };
        // Another process may have decided a report before it was lost, and the store with it.
        if let Some(report) = self.gateway.usage.decided() {
            self.holder.record_report(&report);
        }
        let windows = Windows {
            first,
            first_of_era: self.first_window_of_era(first),
            ready: last_ready,
        };
        match self.holder.next_action(windows, now) {
            Action::Idle => Duration::ZERO,
            Action::Wait(pause) => {
                self.holder.invalidate();
                // Once the lease expires, any collector may take it. The first one goes ahead, as
                // it collected alongside the lost holder and may have data that only that one
                // received.
                pause + self.place_delay()
            }
            Action::Read => self.read(client, now).await,
            Action::Write {
                lease,
                expected,
                window,
                lost,
            } => match window {
                Some(window) if self.is_withheld(window).await => Duration::ZERO,
                _ => self.write(client, lease, expected, window, lost).await,
            },
            Action::Announce(report) => self.announce(&report).await,
            Action::Survey { era, from } => self.survey(era, from).await,
            Action::Send { token, report } => self.send(token, &report).await,
        }
    }

    /// Announces a report to other processes. It is sent all the same if none confirms it in time,
    /// as it has a due time.
    async fn announce(&mut self, report: &UsageReport) -> Duration {
        let window = report.window;
        let since = match self.announcing {
            Some((announcing, since)) if announcing == window => since,
            _ => monotonic::now(),
        };
        self.announcing = Some((window, since));
        // It may have been decided by another host.
        self.gateway.usage.record_decided(report);
        let outcome = match decisions::announce(&self.gateway, report).await {
            Announced::Confirmed => "confirmed",
            Announced::Alone => "no other process",
            Announced::Unconfirmed if monotonic::elapsed(since) < ANNOUNCE_TIMEOUT => {
                return ANNOUNCE_PAUSE;
            }
            Announced::Unconfirmed => "not confirmed in time",
        };
        emit(&Event::UsageAnnounced {
            window,
            outcome,
            took_ms: monotonic::elapsed(since).as_millis() as u64,
        });
        self.holder.on_announced(window);
        Duration::ZERO
    }

    /// Asks all processes for reports that the store may have lost, of windows from `from` on.
    async fn survey(&mut self, era: u64, from: u64) -> Duration {
        let Some(span) = self.window(from) else {
            return Duration::ZERO;
        };
        let survey = decisions::survey(&self.gateway, span.until).await;
        if let Some(report) = &survey.report {
            self.gateway.usage.record_decided(report);
            self.holder.record_report(report);
        }
        self.holder.on_surveyed(era, survey.is_complete);
        Duration::ZERO
    }

    /// Fetches the requests that some processes hold of others.
    async fn fetch(&self, from: Vec<IpAddr>) {
        let calls = from.into_iter().map(|ip| {
            let gateway = self.gateway.clone();
            async move { (ip, transfer::fetch_held(&gateway, ip).await) }
        });
        for (ip, is_done) in calls.collect::<JoinSet<_>>().join_all().await {
            let mut collection = self.gateway.usage.collection();
            collection.record_fetch(ip, is_done, monotonic::now());
        }
    }

    /// Whether to wait with a report as requests may be missing that this process can get. Fetches
    /// those that others hold.
    async fn is_withheld(&mut self, window: u64) -> bool {
        let now = monotonic::now();
        let Some(span) = self.window(window) else {
            return true;
        };
        let missing = self.missing(span, now);
        let waited = now.saturating_duration_since(span.until);
        if waited < self.max_waits().of(missing) {
            self.log_wait(window, span, missing.name());
            return true;
        }
        match self.readiness(span, now) {
            Readiness::Ready => false,
            Readiness::Wait => {
                self.log_wait(window, span, "first answers, or rows of processes");
                self.may_wait_for_answers(span, now)
            }
            Readiness::Fetch(from) => {
                self.fetch(from).await;
                true
            }
        }
    }

    /// Logs that a report waits, unless it is known.
    fn log_wait(&mut self, window: u64, span: Span, why: &'static str) {
        if self.logged_wait.replace((window, why)) == Some((window, why)) {
            return;
        }
        let peers = self.gateway.peers().addresses();
        let ledger = self.gateway.usage.ledger();
        let incomplete = ledger.incomplete(&peers, span.from, span.until);
        drop(ledger);
        let first = incomplete.iter().take(MAX_WAITS_LOGGED);
        emit(&Event::UsageWaits {
            window,
            why,
            peers: first.map(IpAddr::to_string).collect(),
            after_ms: monotonic::elapsed(span.until).as_millis() as u64,
        });
    }

    fn readiness(&self, span: Span, now: Instant) -> Readiness {
        let (peers, are_all_known) = {
            let peers = self.gateway.peers();
            let covers = peers.store_outage().covers(span.until, now);
            (peers.addresses(), peers.is_membership_known() && covers)
        };
        if !are_all_known {
            return Readiness::Wait;
        }
        let collection = self.gateway.usage.collection();
        let ledger = self.gateway.usage.ledger();
        collection.readiness(&ledger, &peers, span, now)
    }

    fn may_wait_for_answers(&self, span: Span, now: Instant) -> bool {
        let available_since = self.gateway.peers().store_outage().available_since();
        let collection = self.gateway.usage.collection();
        collection.may_wait(span, available_since, now)
    }

    /// What may be missing of the requests of a window.
    fn missing(&self, span: Span, now: Instant) -> Missing {
        let live: Vec<IpAddr> = {
            let peers = self.gateway.peers();
            peers.live(now).map(|(peer, _)| peer.ip).collect()
        };
        let collection = self.gateway.usage.collection();
        let ledger = self.gateway.usage.ledger();
        collection.missing(&ledger, &live, span, now)
    }

    fn max_waits(&self) -> MaxWaits {
        let bounds = self.gateway.host().cloud.as_ref().and_then(|c| c.usage);
        let due = bounds.map_or(Duration::ZERO, |bounds| bounds.due);
        MaxWaits::new(due, self.place_delay())
    }

    /// Time by which this process decides after the first one, in case that one is lost.
    fn place_delay(&self) -> Duration {
        SETTLE_TIME_PER_PLACE * self.gateway.rank().min(MAX_PLACES)
    }

    fn track_store(&self, is_reached: bool) {
        let mut peers = self.gateway.peers();
        peers.record_store_call(is_reached, monotonic::now());
    }

    /// First window that this process can have data for.
    fn first_window(&self, now: Instant) -> Option<u64> {
        let earliest = self.gateway.usage.ledger().earliest();
        let kept = now.checked_sub(RETENTION).unwrap_or(now);
        let first = earliest
            .map_or(self.started_at, |at| at.min(self.started_at))
            .max(kept);
        self.window_at(first)
    }

    /// First window that ended after the era of the store became known, or `first` if none is known.
    fn first_window_of_era(&self, first: u64) -> u64 {
        let known_at = self.gateway.store_era.state().known_at;
        known_at.and_then(|at| self.window_at(at)).unwrap_or(first)
    }

    /// Number of the window that contains an instant.
    fn window_at(&self, at: Instant) -> Option<u64> {
        let length_ms = self.length_ms()?;
        let unix_ms = self.gateway.usage.clock().unix_ms(at)?;
        u64::try_from(unix_ms.div_euclid(length_ms)).ok()
    }

    fn length_ms(&self) -> Option<i64> {
        let usage = self.gateway.host().cloud.as_ref()?.usage?;
        Some((usage.window.as_millis() as i64).max(1))
    }

    fn window(&self, number: u64) -> Option<Span> {
        let length_ms = self.length_ms()?;
        let number = i64::try_from(number).ok()?;
        let clock = self.gateway.usage.clock();
        let from = clock.instant(number.checked_mul(length_ms)?)?;
        let until = clock.instant((number + 1).checked_mul(length_ms)?)?;
        let from = match self.counted_until {
            Some((last, until)) if last + 1 == number as u64 => until,
            _ => from,
        };
        Some(Span { from, until })
    }

    /// Last window whose report may be decided now, unless requests are missing.
    fn last_ready(&mut self, now: Instant) -> Option<u64> {
        let place_delay = self.place_delay();
        let settled = now.checked_sub(SETTLE_TIME + place_delay)?;
        let last_ready = self.window_at(settled)?.checked_sub(1)?;
        let done = self.holder.done_window();
        match last_ready > done && self.leaves_to_others(done, place_delay, now) {
            true => Some(done),
            false => Some(last_ready),
        }
    }

    /// Whether the processes before this one may still decide the window after `done`, which they
    /// do as soon as its requests are known.
    fn leaves_to_others(&mut self, done: u64, place_delay: Duration, now: Instant) -> bool {
        if place_delay.is_zero() || done == 0 {
            return false;
        }
        let Some(span) = self.window(done + 1) else {
            return false;
        };
        let missing = self.missing(span, now);
        if missing == Missing::Open {
            self.waited_at = Some(now);
        }
        let waited_at = self.waited_at;
        let has_just_waited =
            waited_at.is_some_and(|at| now.saturating_duration_since(at) < place_delay);
        has_just_waited && now < span.until + self.max_waits().of(Missing::Open)
    }

    /// Gives up a report that is too late to be useful.
    fn drop_expired(&mut self, now: Instant) {
        let Some(window) = self.holder.pending().map(|r| r.window) else {
            return;
        };
        let due = self.gateway.host().cloud.as_ref().and_then(|c| c.usage);
        let Some((due, bounds)) = due.zip(self.window(window)) else {
            return;
        };
        if now.saturating_duration_since(bounds.until) > due.due + MAX_LATENESS {
            self.give_up(window, "it couldn't be delivered in time".into());
        }
    }

    fn give_up(&mut self, window: u64, why: String) {
        emit(&Event::UsageMissed { window, why });
        self.mark_done(window);
    }

    fn mark_done(&mut self, window: u64) {
        self.holder.set_done_window(window);
        self.gateway.usage.set_done_window(window);
    }

    async fn read(&mut self, client: &mut StoreClient, now: Instant) -> Duration {
        let read = client.store().usage(STORE_TIMEOUT).await;
        self.track_store(read.is_ok());
        match read {
            Ok(read) => {
                let era_known_at = self.gateway.store_era.state().known_at;
                self.holder.on_read(read, now, era_known_at.unwrap_or(now));
                self.read_unconfirmed(client, now).await
            }
            Err(e) => log_not_taken(Duty::Usage, e.to_string()),
        }
    }

    /// Reads the unconfirmed requests that exiting processes wrote to the store.
    async fn read_unconfirmed(&mut self, client: &mut StoreClient, now: Instant) -> Duration {
        let members = self.gateway.members_position();
        let rows = match client.store().unconfirmed(STORE_TIMEOUT).await {
            Ok(rows) => rows,
            Err(e) => {
                self.holder.invalidate();
                return log_not_taken(Duty::Usage, e.to_string());
            }
        };
        self.members_at_read = Some(members);
        let mut outdated = Vec::new();
        for row in rows {
            let Some(stored) = wire::decode::<StoredLogs>(&row.value) else {
                let (what, why) = ("requests left in the store", row.key);
                emit(&Event::Undecodable { what, why });
                continue;
            };
            let at = self.gateway.usage.clock().instant(stored.unix_ms);
            match at.filter(|at| now.saturating_duration_since(*at) < RETENTION) {
                Some(at) => self.add_stored(row.key, &stored, at),
                None => outdated.push(row.key),
            }
        }
        self.remove_unconfirmed(client, &outdated).await;
        Duration::ZERO
    }

    /// Adds requests from a row of the store, where `at` is the time of the row by this process's
    /// clock.
    fn add_stored(&self, key: String, stored: &StoredLogs, at: Instant) {
        let mut ledger = self.gateway.usage.ledger();
        let added = stored.logs.iter().map(|log| ledger.add_held(log, at));
        let requests = added.sum();
        drop(ledger);
        emit(&Event::UsageFetched {
            peer: key,
            requests,
            error: None,
        });
    }

    /// Removes rows with requests that are too old to be reported.
    async fn remove_unconfirmed(&self, client: &mut StoreClient, keys: &[String]) {
        for keys in keys.chunks(MAX_ENTRIES) {
            let removed = client.store().remove_unconfirmed(keys, STORE_TIMEOUT).await;
            if let Err(e) = removed {
                // The removal is retried after the next read.
                emit(&Event::DependencyLost {
                    dependency: "store/usage",
                    why: e.to_string(),
                });
            }
        }
    }

    async fn write(
        &mut self,
        client: &mut StoreClient,
        lease: Lease,
        expected: Position,
        window: Option<u64>,
        lost: Option<UsageReport>,
    ) -> Duration {
        let decided = window.and_then(|number| Some((number, self.window(number)?)));
        let counted = decided.map(|(_, w)| self.gateway.usage.ledger().count(w.from, w.until));
        let report = decided
            .zip(counted.as_ref())
            .map(|((number, _), counted)| UsageReport::new(number, expected.era, &counted.counts))
            .or(lost);
        let before = self.holder.decided_window();
        let asked_at = monotonic::now();
        let store = client.store();
        let written = store.write_usage(&lease, expected, report.as_ref(), STORE_TIMEOUT);
        let written = written.await;
        self.track_store(written.is_ok());
        match written {
            Ok(LeaseWrite::Written(written)) => {
                log_taken(Duty::Usage, lease.token);
                if let Some(((number, bounds), counted)) = decided.zip(counted) {
                    log_skipped(before, number);
                    self.log_decided(number, bounds, &counted, lease.token);
                }
                if let Some(report) = &report {
                    self.gateway.usage.record_decided(report);
                }
                self.holder.on_written(lease, report, written, asked_at);
                Duration::ZERO
            }
            Ok(LeaseWrite::Refused) => {
                self.holder.invalidate();
                log_not_taken(
                    Duty::Usage,
                    "lease was written by another host first".into(),
                )
            }
            // The write may have succeeded or may still take effect; the next read shows the
            // result.
            Err(e) => {
                self.holder.invalidate();
                log_not_taken(Duty::Usage, e.to_string())
            }
        }
    }

    fn log_decided(&mut self, window: u64, bounds: Span, counted: &WindowCount, token: u64) {
        self.counted_until = Some((window, bounds.until));
        let open = {
            let collection = self.gateway.usage.collection();
            let ledger = self.gateway.usage.ledger();
            collection.open(&ledger, bounds.until, monotonic::now())
        };
        let peers = self.gateway.peers().addresses();
        let mut ledger = self.gateway.usage.ledger();
        ledger.set_decided(bounds.from, bounds.until);
        let incomplete = ledger.incomplete(&peers, bounds.from, bounds.until);
        drop(ledger);
        emit(&Event::UsageDecided {
            window,
            tenants: counted.counts.len(),
            requests: counted.requests,
            hosts: counted.hosts,
            silent: counted.silent,
            incomplete: incomplete.iter().map(IpAddr::to_string).collect(),
            open: open.iter().map(IpAddr::to_string).collect(),
            after_ms: monotonic::elapsed(bounds.until).as_millis() as u64,
            rank: self.gateway.rank(),
            token,
        });
    }

    async fn send(&mut self, token: u64, report: &UsageReport) -> Duration {
        let host = self.gateway.host();
        let Some(cloud_settings) = &host.cloud else {
            return RETRY_BACKOFF.1;
        };
        let cloud = Cloud::new(cloud_settings.addr, &self.gateway.store_bytes);
        let under = LeaseRef {
            host: &host.name,
            token,
        };
        let answer = cloud.report_usage(under, &report.body, CALL_TIMEOUT).await;
        let bounds = self.window(report.window);
        emit(&Event::UsageReported {
            window: report.window,
            after_ms: bounds.map(|w| monotonic::elapsed(w.until).as_millis() as u64),
            token,
            outcome: answer.text(),
        });
        self.track_cloud(&answer);
        match answer {
            CloudAnswer::Done => {
                self.mark_done(report.window);
                self.retry_pause = RETRY_BACKOFF.0;
                Duration::ZERO
            }
            CloudAnswer::Refused(status) => {
                self.give_up(report.window, format!("refused with status {status}"));
                Duration::ZERO
            }
            CloudAnswer::Busy(_) | CloudAnswer::Unknown(_) => {
                let pause = self.retry_pause;
                self.retry_pause = (self.retry_pause * 2).min(RETRY_BACKOFF.1);
                pause
            }
        }
    }

    fn track_cloud(&mut self, answer: &CloudAnswer) {
        let is_lost = matches!(answer, CloudAnswer::Busy(_) | CloudAnswer::Unknown(_));
        match (is_lost, self.cloud_lost_at) {
            (true, None) => {
                self.cloud_lost_at = Some(monotonic::now());
                emit(&Event::DependencyLost {
                    dependency: CLOUD_DEPENDENCY,
                    why: answer.text(),
                });
            }
            (false, Some(since)) => {
                self.cloud_lost_at = None;
                emit(&Event::DependencyBack {
                    dependency: CLOUD_DEPENDENCY,
                    lost_ms: monotonic::elapsed(since).as_millis() as u64,
                });
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
}

/// Logs the windows between the last decided one and this one, whose requests are no longer
/// available.
fn log_skipped(before: Option<u64>, number: u64) {
    let first = before.map_or(number, |before| before + 1);
    for window in (first..number).rev().take(MAX_SKIPPED_LOGGED) {
        emit(&Event::UsageMissed {
            window,
            why:
                "its requests are no longer available, or a host that is lost may have reported it"
                    .into(),
        });
    }
}
