//! How much time a request has: its own, and that of a process that is stopping.

use super::Call;
use crate::account::Account;
use crate::answer::Reason;
use crate::fleet::ServiceKey;
use crate::fleet::durations::Length;
use crate::state::Gateway;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How far a request's answer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Nothing of it is there.
    Pending,
    /// The client has got some of it.
    Started,
}

/// Whether an answer will have ended before its process does.
#[derive(Debug, Clone, Copy)]
pub struct FinishEstimate {
    /// How long it takes at the most from now on.
    pub takes: Duration,
    /// How much time the process has for it.
    pub process_left: Duration,
}

impl FinishEstimate {
    /// Whether it will have ended.
    pub fn is_in_time(&self) -> bool {
        self.takes <= self.process_left
    }
}

/// Waits until the time of a request is over that has so much of its own left, and says why
/// it is. An answer that has begun may go on until the last moment of the process.
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
    /// Time that is left of it, by the client's deadline and the route's timeout.
    fn own_time_left(&self) -> Duration {
        let elapsed = self.since.elapsed();
        self.target().left(self.incoming.deadline, elapsed)
    }

    /// Time that an upstream has for it: its own, and that of a process that is stopping.
    pub fn time_left(&self) -> Duration {
        let time_left = self.own_time_left();
        let schedule = self.gateway.shutdown_schedule();
        let process = schedule.map(|e| e.abort_at.saturating_duration_since(Instant::now()));
        process.map_or(time_left, |process| time_left.min(process))
    }

    /// Waits until its time is over, and says why it is; see [`time_over`].
    pub fn wait_for_timeout(
        &self,
        progress: AnswerProgress,
    ) -> impl Future<Output = Reason> + use<> {
        wait_for_timeout(self.gateway.clone(), self.own_time_left(), progress)
    }

    /// Whether its answer, with a first byte after an estimated time, will have ended before
    /// this process does; none if that isn't stopping.
    fn finish_estimate(&self, estimate_ms: f64) -> Option<FinishEstimate> {
        let schedule = self.gateway.shutdown_schedule()?;
        let now = Instant::now();
        let longest = {
            let fleet = self.gateway.fleet();
            let durations = fleet.info(self.service).durations();
            durations.longest(self.length(), now)
        };
        // Where its own time is over before, the process doesn't bind it.
        let estimate = match self.is_engine {
            true => duration_from_ms(estimate_ms),
            false => Duration::ZERO,
        };
        let takes = estimate.saturating_add(longest).min(self.own_time_left());
        let process_left = schedule.finish_by.saturating_duration_since(now);
        Some(FinishEstimate {
            takes,
            process_left,
        })
    }

    /// Whether an answer that begins now could end before this process does.
    pub fn can_finish(&self) -> bool {
        self.finish_estimate(0.0).is_none_or(|o| o.is_in_time())
    }

    /// Whether its answer, with a first byte after an estimated time, will have ended before
    /// this process does. Nothing is begun that won't: a client that is refused at once comes
    /// back elsewhere. Where all hosts were stopped in turn without other trouble, four
    /// answers were cut off each half minute before this was asked.
    pub fn finishes_in_time(&self, account: &mut Account, estimate_ms: f64) -> bool {
        account.outlook = self.finish_estimate(estimate_ms);
        account.outlook.is_none_or(|o| o.is_in_time())
    }

    /// What is known of its answer's length.
    fn length(&self) -> Length {
        match self.is_engine {
            true => Length::Tokens {
                expected: self.incoming.expected_tokens(),
                most: self.incoming.max_output_tokens,
            },
            false => Length::Plain {
                route: xxhash_rust::xxh3::xxh3_64(self.target().route.name.as_bytes()),
            },
        }
    }

    /// Learns from a whole answer how long such answers take, further attempts included.
    /// Rests that a client asks for and failures come sooner, and tell nothing. Time in which
    /// it waited for its client doesn't count.
    pub fn record_duration(&self, account: &Account, waited_for_client: Duration) {
        let is_rest = self.incoming.last_event.is_some();
        if is_rest || !(200..300).contains(&account.status) {
            return;
        }
        let estimate = duration_from_ms(account.inputs.map_or(0.0, |i| i.estimate_ms));
        let took = self.since.elapsed().saturating_sub(waited_for_client);
        let mut fleet = self.gateway.fleet();
        let durations = fleet.durations_mut(self.service);
        let took = took.saturating_sub(estimate);
        durations.note(self.length(), took, Instant::now());
    }

    /// Counts its answer as being streamed until the guard is dropped.
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
