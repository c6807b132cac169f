//! Per-request accounting: one log line and the metrics, written when the request ends.

use crate::answer::{Outcome, Reason};
use crate::completeness::BodyMonitor;
use crate::duty::usage::UsageState;
use crate::fleet::UpstreamKey;
use crate::fleet::latency::{Backlog, Task};
use crate::monotonic;
use crate::origins::KnownOrigin;
use crate::queue::SendPermit;
use crate::quota::Grant;
use crate::serve::FinishEstimate;
use crate::state::{Gateway, RunningGuard};
use observe::{
    BoundContext, ConfigContext, Event, Labels, Latency, OverloadContext, StreamContext,
    SuspectContext, emit,
};
use resilience::Fingerprint;
use resilience::crashes::{BlockedPart, Subject};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Label of requests without a route, service or tenant.
const NONE: &str = "-";

/// Figures that the choice of an upstream was based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceInputs {
    /// Estimated time to the first byte.
    pub estimate_ms: f64,
    /// Part of the estimate for generating from a KV cache on another engine.
    pub generator_ms: f64,
    /// Longest estimate with which the request is admitted.
    pub admit_ms: f64,
    /// Prompt tokens that were expected not to be cached.
    pub uncached: u32,
    /// Backlog of the upstream before the first byte.
    pub backlog: Backlog,
    /// Running requests at the upstream, of all processes.
    pub running: u32,
    /// Number of these with long answers.
    pub long_answers: u32,
    /// Slowdown of the upstream relative to its service.
    pub slowdown: f64,
    /// First task for the upstream.
    pub task: Task,
}

/// The start of an upstream that a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentTo {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Tag of the start, which identifies it between processes even after its removal.
    pub tag: u32,
    /// Address.
    pub addr: SocketAddr,
}

/// A trial of a request, or of a part of prompts, that is blocked for crashing upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// What is tried.
    pub subject: Subject,
    /// Number of the trial, from 0.
    pub number: usize,
}

/// Accounting of one request. If it is dropped before it is closed, the client has disconnected
/// or the process is exiting.
#[derive(Debug)]
pub struct Account {
    gateway: Arc<Gateway>,
    _running: RunningGuard,
    /// Time at which the request was received.
    pub received_at: Instant,
    /// Id of the client's attempt.
    pub id: String,
    /// Version of the configuration that was applied.
    pub config_version: u64,
    /// Name of the tenant.
    pub tenant: Option<Arc<str>>,
    /// Version of the configuration that removed the request's key, if any.
    pub key_removed_by: Option<u64>,
    /// Name of the route.
    pub route: Option<String>,
    /// Name of the service.
    pub service: Option<String>,
    /// Id of the upstream that was tried last.
    pub upstream: Option<String>,
    /// Software version of that upstream.
    pub software_version: Option<String>,
    /// The client's attempt whose stream is resumed, as the client names it.
    pub resumes: Option<String>,
    /// The event after which the client resumes the stream.
    pub resumes_after: Option<u64>,
    /// Where that stream began.
    pub origin: Option<KnownOrigin>,
    /// Software version at which the request's stream began, if an upstream has it.
    pub began_version: Option<String>,
    /// Start of that upstream.
    pub last_sent_to: Option<SentTo>,
    /// Number of requests sent to upstreams.
    pub attempts: u32,
    /// The body of the answer that was relayed, up to its end.
    pub body: Option<BodyMonitor>,
    /// Whether a prefill-only engine was sent the prompt.
    pub was_prefilled: bool,
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
    /// Whether the request is counted in the tenant's usage.
    pub usage: UsageState,
    /// Figures of the last choice.
    pub inputs: Option<ChoiceInputs>,
    /// State in which the request was refused as overloaded.
    pub overload: OverloadContext,
    /// Time from the stop signal to the arrival of the request; `None` if the signal did not come
    /// first.
    pub stopping_for: Option<Duration>,
    /// Expected number of output tokens; `None` if the request is not for an engine.
    pub expected_tokens: Option<u32>,
    /// At the last choice, whether the answer was expected to end before the process; `None` if
    /// the process wasn't stopping.
    pub outlook: Option<FinishEstimate>,
    /// Maximum number of output tokens; `None` if the request is not for an engine.
    pub max_output_tokens: Option<u32>,
    /// Fingerprint of the request and its caller, if it was computed.
    pub fingerprint: Option<Fingerprint>,
    /// Ids of the parts of its prompt except the last, if it was answered while crashes of
    /// upstreams were known.
    pub parts: Option<String>,
    /// Units taken from the tenant's quota.
    pub grant: Option<Grant>,
    /// Permission to send the request to a full upstream, until it is counted as running.
    pub send_permit: Option<SendPermit>,
    /// Request taken from the limit of the upstream that is tried next.
    pub request_grant: Option<Grant>,
    /// The trial of what is blocked for crashing upstreams, if the request is one.
    pub trial: Option<Trial>,
    /// Part of its prompt that is blocked for crashing upstreams.
    pub blocked_part: Option<BlockedPart>,
    /// Time until a prefill-only engine finished the prompt.
    pub prefill_after: Option<Duration>,
    /// Time to the first byte.
    pub first_byte_after: Option<Duration>,
    /// Status that was sent; 0 before.
    pub status: u16,
    is_closed: bool,
}

impl Account {
    /// Starts the accounting of a request.
    pub fn open(gateway: &Arc<Gateway>, id: &str, since: Instant) -> Self {
        Self {
            _running: gateway.begin_request(),
            gateway: gateway.clone(),
            received_at: since,
            id: id.to_owned(),
            config_version: 0,
            tenant: None,
            key_removed_by: None,
            route: None,
            service: None,
            upstream: None,
            software_version: None,
            resumes: None,
            resumes_after: None,
            origin: None,
            began_version: None,
            last_sent_to: None,
            attempts: 0,
            body: None,
            was_prefilled: false,
            may_have_run: false,
            usage: UsageState::NotSent,
            inputs: None,
            overload: OverloadContext::default(),
            stopping_for: stopping_for(gateway, since),
            expected_tokens: None,
            outlook: None,
            max_output_tokens: None,
            fingerprint: None,
            parts: None,
            grant: None,
            send_permit: None,
            request_grant: None,
            trial: None,
            blocked_part: None,
            prefill_after: None,
            first_byte_after: None,
            status: 0,
            is_closed: false,
        }
    }

    /// Commits the request that was taken from an upstream's limit, as it is sent now. The grant
    /// can be refunded if it wasn't sent after all.
    pub fn commit_request(&mut self) -> Option<Grant> {
        let mut grant = self.request_grant.take();
        if let Some(grant) = &mut grant {
            grant.commit();
        }
        grant
    }

    /// Outcome of a request that gets no answer from an upstream.
    pub fn outcome(&self) -> Outcome {
        match self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }

    /// Registers the request as open in the tenant's usage, before it is sent for the first time.
    pub fn open_usage(&mut self) {
        if let (UsageState::NotSent, Some(tenant)) = (self.usage, &self.tenant) {
            self.usage = UsageState::Sent(self.gateway.usage.open(tenant));
        }
    }

    /// Restores the state from before an attempt that didn't run.
    pub fn undo_usage(&mut self, before: UsageState) {
        let (UsageState::NotSent, UsageState::Sent(key)) = (before, self.usage) else {
            return;
        };
        self.usage = match self.gateway.usage.withdraw(key) {
            true => UsageState::NotSent,
            false => {
                emit(&Event::UsageOvercounted { request: &self.id });
                UsageState::Counted
            }
        };
    }

    /// Counts the request in the tenant's usage, at most once: from when it was sent if it was
    /// opened, and from now on otherwise.
    pub fn count_usage(&mut self) {
        match (
            std::mem::replace(&mut self.usage, UsageState::Counted),
            &self.tenant,
        ) {
            (UsageState::Sent(key), _) => self.gateway.usage.settle(key),
            (UsageState::NotSent, Some(tenant)) => self.gateway.usage.record_now(tenant),
            (UsageState::NotSent, None) | (UsageState::Counted, _) => {}
        }
    }

    /// Logs the request, updates the metrics and commits the quota grant if the request may have
    /// run. Only the first call has an effect.
    pub fn close(&mut self, outcome: Outcome, reason: Option<Reason>) {
        if std::mem::replace(&mut self.is_closed, true) {
            return;
        }
        if let UsageState::Sent(_) = self.usage {
            self.count_usage();
        }
        if let Some(mut grant) = self.grant.take()
            && (self.may_have_run || outcome != Outcome::NotRun)
        {
            grant.commit();
        }
        let total = monotonic::elapsed(self.received_at);
        let reason = reason.map(Reason::name);
        let millis = |d: Duration| d.as_millis() as u64;
        let bound = self.outlook.and_then(|o| o.bound);
        let bound = BoundContext {
            own_left_ms: self.outlook.map(|o| millis(o.own_time_left)),
            bound_ms: bound.map(|bound| millis(bound.duration)),
            bound_answers: bound.map(|bound| bound.answers as u64),
            bound_observed_ms: bound.map(|bound| millis(bound.observed_for)),
        };
        let stream = StreamContext {
            version: self.software_version.as_deref(),
            resumes: self.resumes.as_deref(),
            resumes_after: self.resumes_after,
            began_version: self.began_version.as_deref(),
            origin: self.origin.map(|known| known.source.name()),
            origin_host: self.origin.and_then(|known| known.source.host()),
            origin_ms: self
                .origin
                .and_then(|known| Some(millis(monotonic::elapsed(known.began_at?)))),
            events: self.body.and_then(|body| body.events()),
        };
        emit(&Event::Answered {
            request: &self.id,
            suspect: &SuspectContext {
                work: self.fingerprint.map(|hash| hash.to_string()),
                parts: self.parts.take(),
                blocked_part: self
                    .blocked_part
                    .map(|blocked| format!("{:x}", blocked.part)),
                part_ends: self.blocked_part.map(|blocked| blocked.crashes),
            },
            route: self.route.as_deref(),
            service: self.service.as_deref(),
            under: &ConfigContext {
                tenant: self.tenant.as_deref(),
                key_removed_by: self.key_removed_by,
                config: self.config_version,
                config_ms: millis(self.gateway.config_age()),
            },
            registry_ms: millis(self.gateway.registry_age()),
            registry_era: self.gateway.registry().position.era,
            outcome: outcome.name(),
            reason,
            status: self.status,
            upstream: self.upstream.as_deref(),
            attempts: self.attempts,
            framing: self.body.map(|body| body.framing().name()),
            stream: &stream,
            inside_event: self.body.and_then(|body| body.is_inside_event()),
            estimate_ms: self.inputs.map(|i| i.estimate_ms as u64),
            generator_ms: self.inputs.map(|i| i.generator_ms as u64),
            admit_ms: self.inputs.map(|i| i.admit_ms as u64),
            uncached: self.inputs.map(|i| i.uncached),
            prompts_ahead: self.inputs.map(|i| i.backlog.prompts as u32),
            running_ahead: self.inputs.map(|i| i.running),
            long_ahead: self.inputs.map(|i| i.long_answers),
            tokens_ahead: self.inputs.map(|i| i.backlog.tokens as u32 - i.uncached),
            slowdown: self.inputs.map(|i| i.slowdown),
            overload: &self.overload,
            max_tokens: self.max_output_tokens,
            expected_tokens: self.expected_tokens,
            ends_in_ms: self.outlook.map(|o| millis(o.takes)),
            process_left_ms: self.outlook.map(|o| millis(o.process_left)),
            bound: &bound,
            stopping_ms: self.stopping_for.map(millis),
            is_prefill: self.inputs.map(|i| i.task == Task::Prefill),
            read_ms: self.prefill_after.map(millis),
            first_ms: self.first_byte_after.map(millis),
            total_ms: millis(total),
        });
        self.count(outcome, reason, total);
    }

    fn count(&self, outcome: Outcome, reason: Option<&str>, total: Duration) {
        let labels = Labels {
            service: self.service.as_deref().unwrap_or(NONE),
            class: self.route.as_deref().unwrap_or(NONE),
            tenant: self.tenant.as_deref().unwrap_or(NONE),
        };
        let metrics = &self.gateway.metrics;
        metrics.count_request(labels, outcome.name(), reason.unwrap_or(NONE));
        if let Some(body) = &self.body {
            metrics.count_answer_end(body.framing().name(), body.is_inside_event());
        }
        metrics.observe_latency(labels, Latency::Total, total.as_secs_f64());
        if let Some(first) = self.first_byte_after {
            metrics.observe_latency(labels, Latency::FirstByte, first.as_secs_f64());
        }
    }
}

/// Time for which the process had been stopping when a request was received.
fn stopping_for(gateway: &Gateway, since: Instant) -> Option<Duration> {
    since.checked_duration_since(gateway.shutdown_schedule()?.signal_at)
}

impl Drop for Account {
    fn drop(&mut self) {
        let schedule = self.gateway.shutdown_schedule();
        let reason = match schedule.is_some_and(|s| s.refuse_at <= monotonic::now()) {
            true => Reason::ProcessEnds,
            false => Reason::ClientGone,
        };
        self.close(self.outcome(), Some(reason));
    }
}
