//! A try that is being served, and how it ended.

use crate::frames::FrameSender;
use crate::state::Agent;
use conf::Class;
use observe::{Event, emit};
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::InForce;
use wire::{Refusal, RequestContext};

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The whole answer was sent: so many tokens or bytes.
    Answered(u64),
    /// It was refused.
    Refused(Refusal),
    /// The answer broke off.
    Broken,
    /// The same, as the upstream has ended; the number tells this end from others.
    UpstreamEnded(u32),
    /// The entry went away.
    EntryGone,
}

/// Times of a try.
#[derive(Debug, Clone, Copy, Default)]
pub struct AttemptTimes {
    /// In the queue.
    pub queue: Duration,
    /// From receipt to the first byte.
    pub first_byte: Option<Duration>,
}

/// A try that is being served.
pub struct Attempt<'a> {
    /// The agent.
    pub agent: &'a Arc<Agent>,
    /// What came with the request.
    pub cx: &'a RequestContext,
    /// The document that it is served by.
    pub doc: &'a InForce,
    /// Its class.
    pub class: &'a Class,
    /// The way back.
    pub frames: &'a mut FrameSender,
    /// Its times.
    pub times: &'a mut AttemptTimes,
    /// When it was received.
    pub received_at: Instant,
}

impl Attempt<'_> {
    /// Notes the first byte of the answer.
    pub fn record_first_byte(&mut self) {
        self.times
            .first_byte
            .get_or_insert(self.received_at.elapsed());
    }

    /// Logs what the upstream did wrong.
    pub fn log_bad_answer(&self, why: String) {
        emit(&Event::BadAnswer {
            request: self.cx.request.to_string(),
            upstream: &self.agent.upstream,
            why,
        });
    }
}
