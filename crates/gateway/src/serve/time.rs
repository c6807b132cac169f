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
pub enum Answer {
    /// Nothing of it is there.
    Awaited,
    /// The client has got some of it.
    Begun,
}

/// Whether an answer will have ended before its process does.
#[derive(Debug, Clone, Copy)]
pub struct Outlook {
    /// How long it takes at the most from now on.
    pub takes: Duration,
    /// How much time the process has for it.
    pub process_left: Duration,
}

impl Outlook {
    /// Whether it will have ended.
    pub fn is_good(&self) -> bool {
        self.takes <= self.process_left
    }
}

/// Waits until the time of a request is over that has so much of its own left, and says why
/// it is. An answer that has begun may go on until the last moment of the process.
pub(super) async fn time_over(gateway: Arc<Gateway>, own_left: Duration, answer: Answer) -> Reason {
    let process_ends = async {
        let ending = gateway.stopping().await;
        let at = match answer {
            Answer::Awaited => ending.answers_by,
            Answer::Begun => ending.cut_at,
        };
        tokio::time::sleep_until(at.into()).await;
    };
    tokio::select! {
        () = tokio::time::sleep(own_left) => Reason::TimedOut,
        () = process_ends => Reason::ProcessEnds,
    }
}

impl Call {
    /// Time that is left of it, by the client's deadline and the route's timeout.
    fn own_left(&self) -> Duration {
        let elapsed = self.since.elapsed();
        self.target().left(self.incoming.deadline, elapsed)
    }

    /// Time that an upstream has for it: its own, and that of a process that is stopping.
    pub fn left(&self) -> Duration {
        let left = self.own_left();
        let ending = self.gateway.ending();
        let process = ending.map(|e| e.cut_at.saturating_duration_since(Instant::now()));
        process.map_or(left, |process| left.min(process))
    }

    /// Waits until its time is over, and says why it is; see [`time_over`].
    pub fn time_over(&self, answer: Answer) -> impl Future<Output = Reason> + use<> {
        time_over(self.gateway.clone(), self.own_left(), answer)
    }

    /// Whether its answer, with a first byte after an estimated time, will have ended before
    /// this process does; none if that isn't stopping.
    fn outlook(&self, estimate_ms: f64) -> Option<Outlook> {
        let ending = self.gateway.ending()?;
        let now = Instant::now();
        let longest = {
            let fleet = self.gateway.fleet();
            let durations = fleet.info(self.service).durations();
            durations.longest(self.length(), now)
        };
        // Where its own time is over before, the process doesn't bind it.
        let estimate = match self.is_engine {
            true => millis(estimate_ms),
            false => Duration::ZERO,
        };
        let takes = estimate.saturating_add(longest).min(self.own_left());
        let process_left = ending.work_by.saturating_duration_since(now);
        Some(Outlook {
            takes,
            process_left,
        })
    }

    /// Whether an answer that begins now could end before this process does.
    pub fn could_end(&self) -> bool {
        self.outlook(0.0).is_none_or(|o| o.is_good())
    }

    /// Whether its answer, with a first byte after an estimated time, will have ended before
    /// this process does. Nothing is begun that won't: a client that is refused at once comes
    /// back elsewhere. Where all hosts were stopped in turn without other trouble, four
    /// answers were cut off each half minute before this was asked.
    pub fn ends_in_time(&self, account: &mut Account, estimate_ms: f64) -> bool {
        account.outlook = self.outlook(estimate_ms);
        account.outlook.is_none_or(|o| o.is_good())
    }

    /// What is known of its answer's length.
    fn length(&self) -> Length {
        match self.is_engine {
            true => Length::Tokens {
                expected: self.incoming.expected_output_tokens(),
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
    pub fn note_duration(&self, account: &Account, waited_for_client: Duration) {
        let is_rest = self.incoming.last_event_id.is_some();
        if is_rest || !(200..300).contains(&account.status) {
            return;
        }
        let estimate = millis(account.inputs.map_or(0.0, |i| i.estimate_ms));
        let took = self.since.elapsed().saturating_sub(waited_for_client);
        let mut fleet = self.gateway.fleet();
        let durations = fleet.durations_mut(self.service);
        let took = took.saturating_sub(estimate);
        durations.note(self.length(), took, Instant::now());
    }

    /// Counts its answer as being streamed until the guard is dropped.
    pub fn streamed(&self) -> StreamedGuard {
        let (length, since) = (self.length(), self.since);
        let mut fleet = self.gateway.fleet();
        fleet.durations_mut(self.service).begin(length, since);
        StreamedGuard {
            gateway: self.gateway.clone(),
            service: self.service,
            length,
            since,
        }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

/// Counts an answer as being streamed until it is dropped.
#[derive(Debug)]
pub struct StreamedGuard {
    gateway: Arc<Gateway>,
    service: ServiceKey,
    length: Length,
    since: Instant,
}

impl Drop for StreamedGuard {
    fn drop(&mut self) {
        let mut fleet = self.gateway.fleet();
        fleet
            .durations_mut(self.service)
            .end(self.length, self.since);
    }
}
