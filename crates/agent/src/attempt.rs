//! An attempt to serve a request, and its result.

use crate::frames::FrameSender;
use crate::state::Agent;
use conf::Class;
use observe::{Event, emit};
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::InForce;
use wire::{Refusal, RequestContext};

/// Result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The complete response was sent; contains the number of tokens or bytes.
    Answered(u64),
    /// The attempt was refused.
    Refused(Refusal),
    /// The response broke off.
    Broken,
    /// The response broke off because the upstream process exited; contains an identifier of this
    /// exit.
    UpstreamEnded(u32),
    /// The entry closed the connection.
    EntryGone,
}

/// Durations measured during an attempt.
#[derive(Debug, Clone, Copy, Default)]
pub struct AttemptTimes {
    /// Time in the queue.
    pub queue: Duration,
    /// Time from receiving the request to the first byte of the response.
    pub first_byte: Option<Duration>,
}

/// An attempt that is being served.
pub struct Attempt<'a> {
    /// The agent that serves it.
    pub agent: &'a Arc<Agent>,
    /// Request metadata sent by the entry.
    pub cx: &'a RequestContext,
    /// The document that it is served under.
    pub doc: &'a InForce,
    /// Class of the request.
    pub class: &'a Class,
    /// Channel for the response to the entry.
    pub frames: &'a mut FrameSender,
    /// Durations measured so far.
    pub times: &'a mut AttemptTimes,
    /// When the request was received.
    pub received_at: Instant,
}

impl Attempt<'_> {
    /// Records the time of the first byte, if it is the first.
    pub fn record_first_byte(&mut self) {
        self.times
            .first_byte
            .get_or_insert(self.received_at.elapsed());
    }

    /// Logs an invalid or failed response of the upstream.
    pub fn log_bad_answer(&self, why: String) {
        emit(&Event::BadAnswer {
            request: self.cx.request.to_string(),
            upstream: &self.agent.upstream,
            why,
        });
    }
}
