//! Decides each window's report and sends it, while this process holds the duty.

use super::begun::KEPT;
use super::holder::{Action, Holder};
use super::ledger::Counted;
use super::{is_collector, is_wanted};
use crate::duty::{STORE_TIMEOUT, not_taken, taken};
use crate::follow::Client;
use crate::state::Gateway;
use observe::{Event, emit};
use platform::cloud::{Cloud, CloudAnswer, LeaseRef};
use platform::usage::UsageReport;
use platform::{Duty, Lease, LeaseWrite};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two looks at whether a report is due.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Time after a window's end in which requests that were sent in it show whether they
/// began: the longest that plain ones are waited for, and two questions to each process.
const SETTLE: Duration = Duration::from_millis(1600);
/// The same while a process that had told of some hasn't told of all.
const SETTLE_SILENT: Duration = Duration::from_millis(3500);
/// How much longer each process waits behind the one that acts before it, and the places
/// that are told apart.
const SETTLE_PER_PLACE: Duration = Duration::from_millis(2500);
const PLACES: u32 = 3;
/// Time between two looks for what is too old to be reported.
const FORGET_EVERY: Duration = Duration::from_secs(1);
/// Longest wait for an answer to a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a call that wasn't done, doubled each time up to the longest.
const RETRY: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(3000));
/// How long after its due time a report is still sent: a late one is better than none.
const LATE_USE: Duration = Duration::from_secs(20);

/// Most skipped windows that are logged one by one: the nearest.
const MAX_SKIPPED_TOLD: usize = 12;
/// Name in logs of what takes the reports.
const CLOUD: &str = "cloud/usage";

/// Reports usage until the process ends.
pub async fn follow(gateway: Arc<Gateway>) {
    let mut client = Client::new(&gateway);
    let mut reporter: Option<Reporter> = None;
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let now = Instant::now();
        if !is_wanted(&gateway) || !is_collector(&gateway, now) {
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
    since: Instant,
    forgot_at: Instant,
    retry: Duration,
    /// Where the last window ended that this process decided, so that none is counted
    /// twice when true time is corrected.
    counted_until: Option<(u64, Instant)>,
    cloud_lost_at: Option<Instant>,
}

/// A window as this process sees it.
#[derive(Debug, Clone, Copy)]
struct Window {
    from: Instant,
    until: Instant,
}

impl Reporter {
    fn new(gateway: Arc<Gateway>, now: Instant) -> Self {
        let host = gateway.host();
        Self {
            holder: Holder::new(host.ip.to_string(), host.order_gap),
            gateway,
            since: now,
            forgot_at: now,
            retry: RETRY.0,
            counted_until: None,
            cloud_lost_at: None,
        }
    }

    /// Does the next thing; gives the pause after it.
    async fn step(&mut self, client: &mut Client, now: Instant) -> Duration {
        self.forget(now);
        self.holder.set_done(self.gateway.usage.done());
        self.drop_useless(now);
        let ready = self.ready(now);
        let is_through = ready.is_none_or(|ready| ready <= self.holder.done());
        if is_through && self.holder.pending().is_none() {
            return Duration::ZERO;
        }
        let Some(first) = self.first_window(now) else {
            return Duration::ZERO;
        };
        match self.holder.next(first, ready, now) {
            Action::Rest => Duration::ZERO,
            Action::Wait(pause) => {
                self.holder.forget();
                // Once the lease is free all may take it; the first of those that collected
                // beside the lost holder knows what only that one had told.
                pause + SETTLE_PER_PLACE * self.gateway.rank().min(PLACES)
            }
            Action::Read => self.read(client, now).await,
            Action::Write {
                lease,
                over,
                window,
            } => self.write(client, lease, over, window).await,
            Action::Send { token, report } => self.send(token, &report).await,
        }
    }

    /// Drops now and then what is too old to be reported.
    fn forget(&mut self, now: Instant) {
        if now.saturating_duration_since(self.forgot_at) < FORGET_EVERY {
            return;
        }
        self.forgot_at = now;
        let missed = self.gateway.usage.ledger().forget(now);
        if missed > 0 {
            emit(&Event::UsageLost {
                requests: missed,
                why: "they were dropped before they were asked for",
            });
        }
    }

    /// The first window of which this process could know anything.
    fn first_window(&self, now: Instant) -> Option<u64> {
        let earliest = self.gateway.usage.ledger().earliest();
        let kept = now.checked_sub(KEPT).unwrap_or(now);
        let first = earliest
            .map_or(self.since, |at| at.min(self.since))
            .max(kept);
        self.window_at(first)
    }

    /// Number of the window at an instant.
    fn window_at(&self, at: Instant) -> Option<u64> {
        let length = self.length_ms()?;
        let unix_ms = self.gateway.usage.clock().unix_ms(at)?;
        u64::try_from(unix_ms.div_euclid(length)).ok()
    }

    fn length_ms(&self) -> Option<i64> {
        let bounds = self.gateway.host().cloud.as_ref()?.usage?;
        Some((bounds.window.as_millis() as i64).max(1))
    }

    fn window(&self, number: u64) -> Option<Window> {
        let length = self.length_ms()?;
        let number = i64::try_from(number).ok()?;
        let clock = self.gateway.usage.clock();
        let from = clock.instant(number.checked_mul(length)?)?;
        let until = clock.instant((number + 1).checked_mul(length)?)?;
        let from = match self.counted_until {
            Some((last, until)) if last + 1 == number as u64 => until,
            _ => from,
        };
        Some(Window { from, until })
    }

    /// The last window whose report may be decided now.
    fn ready(&self, now: Instant) -> Option<u64> {
        let places = SETTLE_PER_PLACE * self.gateway.rank().min(PLACES);
        let settled = now.checked_sub(SETTLE + places)?;
        let ready = self.window_at(settled)?.checked_sub(1)?;
        if ready <= self.holder.done() {
            return Some(ready);
        }
        let window = self.window(ready)?;
        let (_, silent) = self.gateway.usage.ledger().heard(window.from, window.until);
        let waited = now.saturating_duration_since(window.until);
        match silent > 0 && waited < SETTLE_SILENT + places {
            true => ready.checked_sub(1),
            false => Some(ready),
        }
    }

    /// Gives up a report that nobody has a use for any more.
    fn drop_useless(&mut self, now: Instant) {
        let Some(window) = self.holder.pending().map(|r| r.window) else {
            return;
        };
        let due = self.gateway.host().cloud.as_ref().and_then(|c| c.usage);
        let Some((due, seen)) = due.zip(self.window(window)) else {
            return;
        };
        if now.saturating_duration_since(seen.until) > due.due + LATE_USE {
            self.give_up(window, "it couldn't be sent in time to be of use".into());
        }
    }

    fn give_up(&mut self, window: u64, why: String) {
        emit(&Event::UsageMissed { window, why });
        self.through(window);
    }

    fn through(&mut self, window: u64) {
        self.holder.set_done(window);
        self.gateway.usage.set_done(window);
    }

    async fn read(&mut self, client: &mut Client, now: Instant) -> Duration {
        match client.store().usage(STORE_TIMEOUT).await {
            Ok(read) => {
                self.holder.was_read(read, now);
                Duration::ZERO
            }
            Err(e) => not_taken(Duty::Usage, e.to_string()),
        }
    }

    async fn write(
        &mut self,
        client: &mut Client,
        lease: Lease,
        over: u64,
        window: Option<u64>,
    ) -> Duration {
        let decided = window.and_then(|number| Some((number, self.window(number)?)));
        let counted = decided.map(|(_, w)| self.gateway.usage.ledger().count(w.from, w.until));
        let report = decided
            .zip(counted.as_ref())
            .map(|((number, _), counted)| UsageReport::new(number, &counted.counts));
        let before = self.holder.decided();
        let asked_at = Instant::now();
        let store = client.store();
        let written = store.write_usage(&lease, over, report.as_ref(), STORE_TIMEOUT);
        match written.await {
            Ok(LeaseWrite::Written(written)) => {
                taken(Duty::Usage, lease.token);
                if let Some(((number, seen), counted)) = decided.zip(counted) {
                    tell_skipped(before, number);
                    self.tell_decided(number, seen, &counted, lease.token);
                }
                self.holder.was_written(lease, report, written, asked_at);
                Duration::ZERO
            }
            Ok(LeaseWrite::Refused) => {
                self.holder.forget();
                not_taken(Duty::Usage, "another host wrote it first".into())
            }
            // It may be written now or later. The next read tells.
            Err(e) => {
                self.holder.forget();
                not_taken(Duty::Usage, e.to_string())
            }
        }
    }

    fn tell_decided(&mut self, window: u64, seen: Window, counted: &Counted, token: u64) {
        self.counted_until = Some((window, seen.until));
        emit(&Event::UsageDecided {
            window,
            tenants: counted.counts.len(),
            requests: counted.requests,
            hosts: counted.hosts,
            silent: counted.silent,
            after_ms: seen.until.elapsed().as_millis() as u64,
            token,
        });
    }

    async fn send(&mut self, token: u64, report: &UsageReport) -> Duration {
        let host = self.gateway.host();
        let Some(bounds) = &host.cloud else {
            return RETRY.1;
        };
        let cloud = Cloud::new(bounds.addr, &self.gateway.store_bytes);
        let under = LeaseRef {
            host: &host.name,
            token,
        };
        let answer = cloud.report_usage(under, &report.body, CALL_TIMEOUT).await;
        let seen = self.window(report.window);
        emit(&Event::UsageReported {
            window: report.window,
            after_ms: seen.map(|w| w.until.elapsed().as_millis() as u64),
            token,
            outcome: answer.text(),
        });
        self.note_cloud(&answer);
        match answer {
            CloudAnswer::Done => {
                self.through(report.window);
                self.retry = RETRY.0;
                Duration::ZERO
            }
            CloudAnswer::Refused(status) => {
                self.give_up(report.window, format!("refused with status {status}"));
                Duration::ZERO
            }
            CloudAnswer::Busy(_) | CloudAnswer::Unknown(_) => {
                let pause = self.retry;
                self.retry = (self.retry * 2).min(RETRY.1);
                pause
            }
        }
    }

    fn note_cloud(&mut self, answer: &CloudAnswer) {
        let is_lost = matches!(answer, CloudAnswer::Busy(_) | CloudAnswer::Unknown(_));
        match (is_lost, self.cloud_lost_at) {
            (true, None) => {
                self.cloud_lost_at = Some(Instant::now());
                emit(&Event::DependencyLost {
                    dependency: CLOUD,
                    why: answer.text(),
                });
            }
            (false, Some(since)) => {
                self.cloud_lost_at = None;
                emit(&Event::DependencyBack {
                    dependency: CLOUD,
                    lost_ms: since.elapsed().as_millis() as u64,
                });
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
}

/// Logs the windows between two that were decided: nobody has their requests any more.
fn tell_skipped(before: Option<u64>, number: u64) {
    let first = before.map_or(number, |before| before + 1);
    for window in (first..number).rev().take(MAX_SKIPPED_TOLD) {
        emit(&Event::UsageMissed {
            window,
            why: "no process that holds the duty has its requests any more".into(),
        });
    }
}
