//! Time limits of a request: its own, and those of a stopping process.

use super::Call;
use crate::account::Account;
use crate::answer::Reason;
use crate::fleet::ServiceKey;
use crate::fleet::durations::{Bound, Durations, Length};
use crate::monotonic;
use crate::state::Gateway;
use crate::stop::ShutdownSchedule;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Progress of a request's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Nothing has been sent to the client.
    Pending,
    /// Part of the answer has been sent to the client.
    Started,
}

/// An answer that has not started.
#[derive(Debug, Clone, Copy)]
pub struct PendingAnswer {
    /// Time at which the request was received completely.
    pub received_at: Instant,
    /// What is known about its length.
    pub length: Length,
    /// Whether it is forwarded while the upstream generates it, so that the exit of the process can
    /// cut it off. Other answers are sent when they are complete.
    pub is_streamed: bool,
    /// Estimated time to the first byte.
    pub first_byte: Duration,
    /// Time left until the request's own deadline or timeout.
    pub own_time_left: Duration,
}

/// Estimate of whether an answer will end before its process exits.
#[derive(Debug, Clone, Copy)]
pub struct FinishEstimate {
    /// Upper bound of the time from the estimated first byte to the end of the answer; `None` if
    /// only the request's own deadline or timeout limits it.
    pub bound: Option<Bound>,
    /// Maximum remaining duration of the answer.
    pub takes: Duration,
    /// Time left until the request's own deadline or timeout.
    pub own_time_left: Duration,
    /// Time that the process has left for it.
    pub process_left: Duration,
}

impl FinishEstimate {
    /// Estimates whether an answer will end before a stopping process exits. A request whose own
    /// deadline or timeout is earlier isn't limited by the exit.
    ///
    /// An answer can exceed the bound from observed durations if its length hint is too short or
    /// its upstream slows down. Streamed answers to requests received from
    /// [`ShutdownSchedule::own_deadline_from`] on must therefore end by the request's own deadline
    /// or timeout.
    pub fn new(
        schedule: &ShutdownSchedule,
        durations: &Durations,
        pending: &PendingAnswer,
        now: Instant,
    ) -> Self {
        let needs_own_deadline =
            pending.is_streamed && pending.received_at >= schedule.own_deadline_from;
        let bound = (!needs_own_deadline).then(|| durations.bound(pending.length, now));
        let takes = bound.map_or(Duration::MAX, |bound| {
            pending.first_byte.saturating_add(bound.duration)
        });
        Self {
            bound,
            takes: takes.min(pending.own_time_left),
            own_time_left: pending.own_time_left,
            process_left: schedule.finish_by.saturating_duration_since(now),
        }
    }

    /// Whether the answer is expected to end before the process exits.
    pub fn is_in_time(&self) -> bool {
        self.takes <= self.process_left
    }
}

/// Waits until a request has no time left and returns the reason. `own_time_left` is the time
/// until its own timeout. An answer that has started may continue until shortly before the
/// process exits.
pub(super) async fn wait_for_timeout(
    gateway: Arc<Gateway>,
    own_time_left: Duration,
    progress: AnswerProgress,
) -> Reason {
    let process_ends = async {
        let schedule = gateway.wait_for_stop().await;
        let at = match progress {
            AnswerProgress::Pending => schedule.refuse_at,
            AnswerProgress::Started => schedule.abort_at,
        };
        tokio::time::sleep_until(at.into()).await;
    };
    tokio::select! {
        () = tokio::time::sleep(own_time_left) => Reason::TimedOut,
        () = process_ends => Reason::ProcessEnds,
    }
}

impl Call {
    /// Time left at `now` by the client's deadline and the route's timeout.
    fn own_time_left(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.since);
        self.target()
            .time_left(self.parsed_headers.deadline, elapsed)
    }

    /// Time left for an upstream: the request's own, limited by the process's shutdown.
    pub fn time_left(&self) -> Duration {
        let now = monotonic::now();
        let time_left = self.own_time_left(now);
        let schedule = self.gateway.shutdown_schedule();
        let process = schedule.map(|e| e.abort_at.saturating_duration_since(now));
        process.map_or(time_left, |process| time_left.min(process))
    }

    /// Waits until the request has no time left and returns the reason; see [`wait_for_timeout`].
    pub fn wait_for_timeout(
        &self,
        progress: AnswerProgress,
    ) -> impl Future<Output = Reason> + use<> {
        wait_for_timeout(
            self.gateway.clone(),
            self.own_time_left(monotonic::now()),
            progress,
        )
    }

    /// Estimates whether an answer with a first byte after `estimate_ms` will end before this
    /// process exits; `None` if the process isn't stopping.
    fn finish_estimate(&self, estimate_ms: f64) -> Option<FinishEstimate> {
        let schedule = self.gateway.shutdown_schedule()?;
        let now = monotonic::now();
        let pending = PendingAnswer {
            received_at: self.read_at,
            length: self.length(),
            is_streamed: self.is_engine || self.target().route.kind.is_stream(),
            first_byte: match self.is_engine {
                true => duration_from_ms(estimate_ms),
                false => Duration::ZERO,
            },
            own_time_left: self.own_time_left(now),
        };
        let fleet = self.gateway.fleet();
        let durations = fleet.info(self.service).durations();
        Some(FinishEstimate::new(&schedule, durations, &pending, now))
    }

    /// Whether an answer that starts now could end before this process exits.
    pub fn can_finish(&self) -> bool {
        self.finish_estimate(0.0).is_none_or(|o| o.is_in_time())
    }

    /// Whether an answer with a first byte after `estimate_ms` will end before this process
    /// exits; records the estimate in the account. Requests that won't end in time aren't
    /// started: a client that is refused at once can retry at another host. Without this check,
    /// stopping all hosts in turn cut off four answers per half minute.
    pub fn finishes_in_time(&self, account: &mut Account, estimate_ms: f64) -> bool {
        account.outlook = self.finish_estimate(estimate_ms);
        account.outlook.is_none_or(|o| o.is_in_time())
    }

    /// Whether the exit of this process could cut off an answer that is forwarded while it is
    /// received. Always false for requests received before
    /// [`ShutdownSchedule::own_deadline_from`].
    pub fn may_be_cut_off(&self) -> bool {
        let now = monotonic::now();
        self.gateway.shutdown_schedule().is_some_and(|schedule| {
            let process_left = schedule.finish_by.saturating_duration_since(now);
            self.read_at >= schedule.own_deadline_from && self.own_time_left(now) > process_left
        })
    }

    /// What is known about the length of the answer.
    fn length(&self) -> Length {
        match self.is_engine {
            true => Length::Tokens {
                expected: self.parsed_headers.expected_output_tokens(),
                max: self.parsed_headers.max_output_tokens,
            },
            false => Length::Plain {
                route: xxhash_rust::xxh3::xxh3_64(self.target().route.name.as_bytes()),
            },
        }
    }

    /// Records the duration of a complete answer, including further attempts, for later
    /// estimates. Resumed streams and failures are skipped, as they are shorter. The time spent
    /// waiting for the client is excluded.
    pub fn record_duration(&self, account: &Account, waited_for_client: Duration) {
        let is_rest = self.parsed_headers.last_event_id.is_some();
        if is_rest || !(200..300).contains(&account.status) {
            return;
        }
        let estimate = duration_from_ms(account.inputs.map_or(0.0, |i| i.estimate_ms));
        let took = monotonic::elapsed(self.since).saturating_sub(waited_for_client);
        let mut fleet = self.gateway.fleet();
        let durations = fleet.durations_mut(self.service);
        let took = took.saturating_sub(estimate);
        durations.record(self.length(), took, monotonic::now());
    }

    /// Counts the answer as being streamed until the guard is dropped.
    pub fn track_stream(&self) -> StreamGuard {
        let (length, since) = (self.length(), self.since);
        let mut fleet = self.gateway.fleet();
        fleet.durations_mut(self.service).begin(length, since);
        StreamGuard {
            gateway: self.gateway.clone(),
            service: self.service,
            length,
            since,
        }
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

/// Counts an answer as being streamed until it is dropped.
#[derive(Debug)]
pub struct StreamGuard {
    gateway: Arc<Gateway>,
    service: ServiceKey,
    length: Length,
    since: Instant,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let mut fleet = self.gateway.fleet();
        fleet
            .durations_mut(self.service)
            .end(self.length, self.since);
    }
}
