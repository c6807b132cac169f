//! How much time a request has: its own, and that of a process that is stopping.

use super::Call;
use crate::account::Account;
use crate::answer::Reason;
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

/// Waits until the time of a request is up that has so much of its own left, and says why it
/// is. An answer that has begun may go on until the last moment of the process.
pub(super) async fn time_up(gateway: Arc<Gateway>, own_left: Duration, answer: Answer) -> Reason {
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

    /// Waits until its time is up, and says why it is; see [`time_up`].
    pub fn time_up(&self, answer: Answer) -> impl Future<Output = Reason> + use<> {
        time_up(self.gateway.clone(), self.own_left(), answer)
    }

    /// Whether its answer, with a first byte after an estimated time, will have ended before
    /// this process does. What can't be ended is refused as not run while it hasn't: in a
    /// drain that clients could not avoid, 67 answers were cut off in 16 plays without it.
    pub fn ends_in_time(&self, account: &mut Account, estimate_ms: f64) -> bool {
        let Some(ending) = self.gateway.ending() else {
            return true;
        };
        let longest = {
            let fleet = self.gateway.fleet();
            let durations = fleet.info(self.service).durations();
            durations.longest(self.expected_tokens())
        };
        let estimate = Duration::from_secs_f64(estimate_ms.max(0.0) / 1000.0);
        // Its own time may be up before.
        let ends_in = (estimate + longest).min(self.own_left());
        let now = Instant::now();
        account.ends_in = Some(ends_in);
        account.process_left = Some(ending.work_by.saturating_duration_since(now));
        ending.leaves_time_for(ends_in, now)
    }

    /// Tokens that its answer is expected to have; none for a plain one.
    fn expected_tokens(&self) -> u32 {
        match self.is_engine {
            true => self.incoming.expected_tokens(),
            false => 0,
        }
    }

    /// Learns from a whole answer how long such answers take.
    pub fn note_duration(&self, account: &Account) {
        let estimate_ms = account.inputs.map_or(0.0, |i| i.estimate_ms);
        let estimate = Duration::from_secs_f64(estimate_ms.max(0.0) / 1000.0);
        let beyond = account.since.elapsed().saturating_sub(estimate);
        let mut fleet = self.gateway.fleet();
        let durations = fleet.durations_mut(self.service);
        durations.note(self.expected_tokens(), beyond);
    }
}
