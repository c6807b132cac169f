//! What is logged and counted of a request: one line at its end.

use crate::answer::{Outcome, Reason};
use crate::duty::usage::Begin;
use crate::fleet::UpstreamKey;
use crate::fleet::speed::{Task, Work};
use crate::quota::Grant;
use crate::serve::Outlook;
use crate::state::{Gateway, RunningGuard};
use observe::{ConfigContext, Event, Labels, Latency, emit};
use resilience::Fingerprint;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Label of requests without a route or service.
const NONE: &str = "-";

/// What decided the choice of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Inputs {
    /// Estimated time to the first byte.
    pub estimate_ms: f64,
    /// Of it, what the engine takes that generates from another's KV cache.
    pub generator_ms: f64,
    /// Longest estimate that would have been admitted.
    pub admit_ms: f64,
    /// Prompt tokens that were expected not to be cached.
    pub uncached: u32,
    /// What the engine had to read until the first byte.
    pub work: Work,
    /// Requests that ran there, of all processes.
    pub running: u32,
    /// Of these, long answers.
    pub long: u32,
    /// How much slower than its kind the upstream was.
    pub slowdown: f64,
    /// What it was to do first.
    pub task: Task,
}

/// The start of an upstream that a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentTo {
    /// Its key.
    pub key: UpstreamKey,
    /// By what processes tell of it, also when it is gone.
    pub tag: u32,
}

/// The account of one request. Dropped without an end, its client has gone.
#[derive(Debug)]
pub struct Account {
    gateway: Arc<Gateway>,
    _running: RunningGuard,
    /// When the request came.
    pub since: Instant,
    /// Id of the client's attempt.
    pub id: String,
    /// Version of the configuration that decided.
    pub config: u64,
    /// Name of the tenant.
    pub tenant: Option<Arc<str>>,
    /// Version of the configuration that took its key away, if one did.
    pub key_removed_by: Option<u64>,
    /// The route.
    pub route: Option<String>,
    /// The service.
    pub service: Option<String>,
    /// Upstream that was tried last.
    pub upstream: Option<String>,
    /// That upstream's start.
    pub tried: Option<SentTo>,
    /// Requests that upstreams were sent.
    pub attempts: u32,
    /// Whether an engine was sent its prompt to read it only.
    pub was_prefilled: bool,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
    /// Whether it has begun to run, as its tenant's usage counts it.
    pub begin: Begin,
    /// What decided the last choice.
    pub inputs: Option<Inputs>,
    /// How long before the request came the stop signal did; none if it came later.
    pub stopping_for: Option<Duration>,
    /// Tokens of the answer that were expected; none if the request isn't for an engine.
    pub expected_tokens: Option<u32>,
    /// Whether its answer was to end before the process, at the last choice; none if the
    /// process wasn't stopping.
    pub outlook: Option<Outlook>,
    /// Most tokens of the answer; none if the request isn't for an engine.
    pub max_output_tokens: Option<u32>,
    /// What it asks for and who asks, if that was needed.
    pub work: Option<Fingerprint>,
    /// Units taken from its tenant's quota.
    pub grant: Option<Grant>,
    /// The trial that it is, of work that is held back.
    pub trial: Option<usize>,
    /// Time until its prompt was read by an engine that only reads.
    pub read: Option<Duration>,
    /// Time to the first byte.
    pub first: Option<Duration>,
    /// Status that was sent, once one was.
    pub status: u16,
    is_closed: bool,
}

impl Account {
    /// The account of a request that came at a time.
    pub fn open(gateway: &Arc<Gateway>, id: &str, since: Instant) -> Self {
        Self {
            _running: gateway.begin(),
            gateway: gateway.clone(),
            since,
            id: id.to_owned(),
            config: 0,
            tenant: None,
            key_removed_by: None,
            route: None,
            service: None,
            upstream: None,
            tried: None,
            attempts: 0,
            was_prefilled: false,
            may_have_run: false,
            begin: Begin::NotSent,
            inputs: None,
            stopping_for: stopping_for(gateway, since),
            expected_tokens: None,
            outlook: None,
            max_output_tokens: None,
            work: None,
            grant: None,
            trial: None,
            read: None,
            first: None,
            status: 0,
            is_closed: false,
        }
    }

    /// Whether the request has run, for one that gets no upstream's answer.
    pub fn outcome(&self) -> Outcome {
        match self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }

    /// Counts the request once in its tenant's usage, as one that began at a time.
    pub fn has_begun(&mut self, at: Instant) {
        let before = std::mem::replace(&mut self.begin, Begin::Counted);
        if let Some(tenant) = self.tenant.as_ref().filter(|_| before != Begin::Counted) {
            self.gateway.usage.note(at, tenant);
        }
    }

    /// Writes the request's line and counts it.
    pub fn close(&mut self, outcome: Outcome, reason: Option<Reason>) {
        if std::mem::replace(&mut self.is_closed, true) {
            return;
        }
        if let Begin::Sent(at) = self.begin {
            self.has_begun(at);
        }
        if let Some(mut grant) = self.grant.take()
            && (self.may_have_run || outcome != Outcome::NotRun)
        {
            grant.commit();
        }
        let total = self.since.elapsed();
        let reason = reason.map(Reason::name);
        let millis = |d: Duration| d.as_millis() as u64;
        emit(&Event::Answered {
            request: &self.id,
            work: self.work.map(|work| work.to_string()),
            route: self.route.as_deref(),
            service: self.service.as_deref(),
            under: &ConfigContext {
                tenant: self.tenant.as_deref(),
                key_removed_by: self.key_removed_by,
                config: self.config,
                config_ms: millis(self.gateway.config_age()),
            },
            registry_ms: millis(self.gateway.registry_age()),
            outcome: outcome.name(),
            reason,
            status: self.status,
            upstream: self.upstream.as_deref(),
            attempts: self.attempts,
            estimate_ms: self.inputs.map(|i| i.estimate_ms as u64),
            generator_ms: self.inputs.map(|i| i.generator_ms as u64),
            admit_ms: self.inputs.map(|i| i.admit_ms as u64),
            uncached: self.inputs.map(|i| i.uncached),
            prompts_ahead: self.inputs.map(|i| i.work.prompts as u32),
            running_ahead: self.inputs.map(|i| i.running),
            long_ahead: self.inputs.map(|i| i.long),
            tokens_ahead: self.inputs.map(|i| i.work.tokens as u32 - i.uncached),
            slowdown: self.inputs.map(|i| i.slowdown),
            max_tokens: self.max_output_tokens,
            expected_tokens: self.expected_tokens,
            ends_in_ms: self.outlook.map(|o| millis(o.takes)),
            process_left_ms: self.outlook.map(|o| millis(o.process_left)),
            stopping_ms: self.stopping_for.map(millis),
            is_prefill: self.inputs.map(|i| i.task == Task::Prefill),
            read_ms: self.read.map(millis),
            first_ms: self.first.map(millis),
            total_ms: millis(total),
        });
        self.count(outcome, reason, total);
    }

    fn count(&self, outcome: Outcome, reason: Option<&str>, total: Duration) {
        let who = Labels {
            service: self.service.as_deref().unwrap_or(NONE),
            class: self.route.as_deref().unwrap_or(NONE),
            tenant: self.tenant.as_deref().unwrap_or(NONE),
        };
        let metrics = &self.gateway.metrics;
        metrics.count_request(who, outcome.name(), reason.unwrap_or(NONE));
        metrics.observe_latency(who, Latency::Total, total.as_secs_f64());
        if let Some(first) = self.first {
            metrics.observe_latency(who, Latency::FirstByte, first.as_secs_f64());
        }
    }
}

/// How long the process had been stopping when a request came.
fn stopping_for(gateway: &Gateway, since: Instant) -> Option<Duration> {
    since.checked_duration_since(gateway.ending()?.signal_at)
}

impl Drop for Account {
    fn drop(&mut self) {
        let ending = self.gateway.ending();
        let reason = match ending.is_some_and(|e| e.answers_by <= Instant::now()) {
            true => Reason::ProcessEnds,
            false => Reason::ClientGone,
        };
        self.close(self.outcome(), Some(reason));
    }
}
