//! Runs a request until its response is complete: attempts, retries, resumption and accounting.

use crate::accounting::{self, EndedRequest};
use crate::attempt::Attempt;
use crate::choose::{ChosenUpstream, choose};
use crate::crashes::{self, SendDecision};
use crate::refusal::{may_retry_elsewhere, promises_not_run};
use crate::state::Entry;
use conf::Class;
use hyper::Method;
use net::{CallError, Listener};
use node::RunningGuard;
use resilience::Fingerprint;
use resilience::crashes::Confidence;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::InForce;
use wire::{
    Call, Outcome, PATH_RUN, Part, Probe, Reason, Refusal, RequestContext, RequestId, prefix,
};

/// Time beyond the agreed limits that an agent has before it is considered lost.
const AGENT_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Retry delay sent to callers if no upstream accepts the request, in milliseconds.
const NO_UPSTREAM_RETRY_MS: u64 = 1000;

/// A request with its class and document.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// Request id.
    pub id: RequestId,
    /// Name of the tenant.
    pub tenant: String,
    /// The document that it is served under.
    pub doc: InForce,
    /// Class of the request.
    pub class: Class,
    /// Time limit for the start of the response, counted from receiving the request.
    pub deadline: Duration,
    /// The call to run.
    pub call: Call,
}

/// A request that is being served. Dropping it cancels the current attempt where possible.
pub struct Session {
    entry: Arc<Entry>,
    req: RoutedRequest,
    received_at: Instant,
    current: Option<Attempt>,
    /// Upstreams that must not be tried again.
    tried: Vec<String>,
    attempts: u32,
    /// Attempts that ended because their agent stopped. They don't count against the request.
    interrupted_attempts: u32,
    /// The last upstream that was tried.
    upstream: Option<String>,
    /// Whether all attempts so far were reported as not run.
    none_has_run: bool,
    /// The last refusal by an agent, returned if no other agent serves the request.
    last_refusal: Option<Refusal>,
    /// Number of the trial, if the request is a trial of a blocked request.
    trial: Option<usize>,
    /// Number of tokens sent to the caller.
    delivered: u64,
    queue_ms: u64,
    first_byte: Option<Duration>,
    is_recorded: bool,
    _running: RunningGuard,
}

/// Progress of an attempt.
enum Step {
    Part(Part),
    Refused(Refusal),
    /// The attempt broke off; the upstream may have run the request.
    Lost(Reason),
    /// The attempt broke off because the upstream or its agent exited; contains an identifier of
    /// this exit.
    Crashed(Reason, u32),
}

impl Session {
    /// Creates a session for a request received at `received_at`. `running` counts it among
    /// the running requests.
    pub fn new(
        entry: Arc<Entry>,
        req: RoutedRequest,
        received_at: Instant,
        running: RunningGuard,
    ) -> Self {
        entry.earn_retry();
        Self {
            entry,
            req,
            received_at,
            current: None,
            tried: Vec::new(),
            attempts: 0,
            interrupted_attempts: 0,
            upstream: None,
            none_has_run: true,
            last_refusal: None,
            trial: None,
            delivered: 0,
            queue_ms: 0,
            first_byte: None,
            is_recorded: false,
            _running: running,
        }
    }

    /// Request id.
    pub fn id(&self) -> RequestId {
        self.req.id
    }

    /// Maximum time to wait for the caller to read a part of the response.
    pub fn send_timeout(&self) -> Duration {
        self.entry.node.settings.limits.idle_timeout
    }

    /// Name of the service.
    pub fn service(&self) -> &str {
        &self.req.doc.doc.service
    }

    /// Waits for the next part of the response: tokens and an end, or a head, body parts and an
    /// end. A second head means that the response starts over.
    pub async fn next(&mut self) -> Result<Part, Refusal> {
        let node = self.entry.node.clone();
        tokio::select! {
            // Checked first: a part that is ready is sent even if the process is about to exit.
            biased;
            next = self.next_from_attempts() => next,
            () = node.drain_ended() => self.end_by_shutdown(),
        }
    }

    /// Ends the response because the process exits, with a refusal unless all tokens were sent.
    fn end_by_shutdown(&mut self) -> Result<Part, Refusal> {
        self.current = None;
        if self.has_all_tokens() {
            return Ok(self.finish());
        }
        if self.attempts == 0 {
            return Err(self.give_up_for(Reason::ProcessEnds));
        }
        // An attempt that was being sent may have run.
        self.none_has_run = false;
        Err(self.give_up(Refusal::unknown(Reason::ProcessEnds)))
    }

    /// Waits until the time for running requests is over in a stopping process.
    pub async fn process_ended(&self) {
        self.entry.node.drain_ended().await;
    }

    async fn next_from_attempts(&mut self) -> Result<Part, Refusal> {
        loop {
            if self.current.is_none() {
                self.start_attempt().await?;
            }
            match self.read_step().await {
                Step::Part(Part::Started { queue_ms }) => self.queue_ms += queue_ms,
                // The upstream has run the call, and its caller would repeat it.
                Step::Part(Part::Head { status, .. })
                    if !self.req.class.idempotent && promises_not_run(status) =>
                {
                    self.handle_loss(Reason::UpstreamBroken)?;
                }
                Step::Part(part) => {
                    self.first_byte.get_or_insert(self.received_at.elapsed());
                    if matches!(part, Part::Token(_)) {
                        self.delivered += 1;
                    }
                    if matches!(part, Part::End { .. }) {
                        self.clear_suspicion();
                        self.record(Outcome::Answered, None);
                    }
                    return Ok(part);
                }
                Step::Refused(refusal) => self.handle_refusal(refusal)?,
                Step::Lost(reason) => self.handle_loss(reason)?,
                Step::Crashed(reason, crash_id) => {
                    let in_trial = self.trial.is_some();
                    self.entry
                        .crashes
                        .record_crash(self.fingerprint(), crash_id, in_trial);
                    self.handle_loss(reason)?;
                }
            }
            if self.has_all_tokens() {
                // The attempt broke off after its last token, so there is nothing to resume.
                return Ok(self.finish());
            }
        }
    }

    /// Ends a response whose last token was sent to the caller.
    fn finish(&mut self) -> Part {
        self.record(Outcome::Answered, None);
        Part::End {
            count: self.delivered,
        }
    }

    /// Hash of the service, the tenant and the call.
    fn fingerprint(&self) -> Fingerprint {
        crashes::fingerprint(self.service(), &self.req.tenant, &self.req.call)
    }

    /// Records a complete response, which clears the request of earlier crashes.
    fn clear_suspicion(&self) {
        if !self.entry.crashes.is_empty() {
            self.entry.crashes.record_answer(self.fingerprint());
        }
    }

    /// Refuses the request if it is blocked because upstreams crashed while running it.
    async fn check_crashes(&mut self) -> Result<(), Refusal> {
        if self.entry.crashes.is_empty() {
            return Ok(());
        }
        let refusal = match self.entry.crashes.decide(self.fingerprint()).await {
            SendDecision::Allow => return Ok(()),
            SendDecision::Trial(number) => {
                self.trial = Some(number);
                return Ok(());
            }
            SendDecision::Block(Confidence::Unconfirmed) => {
                Refusal::not_run(Reason::CrashSuspected).retry_in(NO_UPSTREAM_RETRY_MS)
            }
            SendDecision::Block(Confidence::Confirmed) => {
                Refusal::not_run(Reason::CrashesUpstreams)
            }
        };
        Err(self.give_up(refusal))
    }

    /// Starts the next attempt.
    async fn start_attempt(&mut self) -> Result<(), Refusal> {
        self.check_crashes().await?;
        let counted = self.attempts - self.interrupted_attempts;
        let exhausted = counted >= self.entry.node.settings.limits.attempts
            || (counted > 0 && !self.entry.spend_retry());
        if exhausted {
            return Err(self.give_up_for(Reason::NoUpstream));
        }
        if self.deadline_left().is_zero() {
            return Err(self.give_up_for(Reason::DeadlinePassed));
        }
        let probe = self.probe();
        let doc = self.req.doc.doc.clone();
        let Some(chosen) = choose(&self.entry, &doc, &probe, &self.tried).await else {
            return Err(self.give_up_for(Reason::NoUpstream));
        };
        self.send(chosen).await
    }

    /// Gives up with the last refusal by an agent, which is more informative, or else with
    /// `reason`.
    fn give_up_for(&mut self, reason: Reason) -> Refusal {
        let own = Refusal::not_run(reason).retry_in(NO_UPSTREAM_RETRY_MS);
        let refusal = self.last_refusal.unwrap_or(own);
        self.give_up(refusal)
    }

    /// Whether a completion that broke off already has the requested number of tokens.
    fn has_all_tokens(&self) -> bool {
        match &self.req.call {
            Call::Completion(c) => {
                self.current.is_none() && self.delivered >= u64::from(c.max_tokens)
            }
            Call::Plain(_) => false,
        }
    }

    /// Time left until the deadline. A resumed stream has already met its deadline and gets the
    /// default deadline of its class again.
    fn deadline_left(&self) -> Duration {
        if self.delivered > 0 {
            return self.req.class.deadline;
        }
        self.req.deadline.saturating_sub(self.received_at.elapsed())
    }

    /// Time left until the process exits; `None` if it isn't stopping, or if an earlier attempt may
    /// have run. Agents refuse requests that they expect to exceed this time, and the caller
    /// couldn't be told "not run" after such an attempt.
    fn process_left(&self) -> Option<Duration> {
        if !self.none_has_run {
            return None;
        }
        let ends = self.entry.node.stop_deadline()?;
        Some(ends.saturating_duration_since(Instant::now()))
    }

    fn probe(&self) -> Probe {
        let (prompt_len, prefixes) = match &self.req.call {
            Call::Completion(c) => (c.prompt.len() as u64, prefix::hashes(c.prompt.as_bytes())),
            Call::Plain(p) => (p.body.len() as u64, Vec::new()),
        };
        Probe {
            service: self.service().to_owned(),
            class: self.req.class.name.clone(),
            prompt_len,
            prefixes,
            doc_version: self.req.doc.version,
        }
    }

    async fn send(&mut self, chosen: ChosenUpstream) -> Result<(), Refusal> {
        self.attempts += 1;
        if let Call::Completion(c) = &mut self.req.call {
            c.resume_from = self.delivered as u32;
        }
        let cx = RequestContext {
            request: self.req.id,
            attempt: self.attempts,
            none_has_run: self.none_has_run,
            service: self.service().to_owned(),
            tenant: self.req.tenant.clone(),
            class: self.req.class.name.clone(),
            deadline_ms: self.deadline_left().as_millis() as u64,
            ends_ms: self.process_left().map(|left| left.as_millis() as u64),
            doc_version: self.req.doc.version,
            entry: self.entry.node.settings.name.clone(),
        };
        let body = wire::encode(&(&cx, &self.req.call));
        self.tried.push(chosen.name.clone());
        self.upstream = Some(chosen.name.clone());
        let req = chosen.peer.request(Method::POST, PATH_RUN, body);
        let wait = self.deadline_left() + AGENT_TIMEOUT_MARGIN;
        match tokio::time::timeout(wait, chosen.peer.send(req)).await {
            Ok(Ok(answer)) if answer.status().is_success() => {
                let body = answer.into_body();
                let attempt = Attempt::new(self.req.id, chosen.name, body, self.delivered);
                self.current = Some(attempt);
                Ok(())
            }
            // The agent rejected the message itself, before it looked at the call.
            Ok(Ok(_)) => self.handle_refusal(Refusal::not_run(Reason::NotReady)),
            Ok(Err(CallError::NotSent(_))) => {
                self.entry.health.failed(chosen.peer.addr(), Instant::now());
                self.handle_refusal(Refusal::not_run(Reason::PeerLost))
            }
            Ok(Err(CallError::MaybeSent(_))) | Err(_) => {
                self.entry.health.failed(chosen.peer.addr(), Instant::now());
                self.handle_loss(Reason::PeerLost)
            }
        }
    }

    /// Reads the next part of the current attempt.
    async fn read_step(&mut self) -> Step {
        let deadline_left = self.deadline_left();
        let idle = self.entry.node.settings.limits.idle_timeout;
        let Some(current) = &mut self.current else {
            return Step::Lost(Reason::PeerLost);
        };
        let wait = if current.started { idle } else { deadline_left } + AGENT_TIMEOUT_MARGIN;
        let part = match tokio::time::timeout(wait, current.next_part()).await {
            Ok(Some(part)) => part,
            Ok(None) => return self.agent_connection_broke().await,
            Err(_) => return Step::Lost(Reason::PeerLost),
        };
        match part {
            Part::Refused(refusal) => Step::Refused(refusal),
            Part::Broken => Step::Lost(Reason::UpstreamBroken),
            Part::UpstreamEnded { end } => Step::Crashed(Reason::UpstreamEnded, end),
            Part::Started { .. } => {
                current.started = true;
                Step::Part(part)
            }
            part => Step::Part(part),
        }
    }

    /// Handles a broken connection to the agent. If the agent has exited, this counts as a crash
    /// caused by the request, like an exit of the upstream.
    async fn agent_connection_broke(&self) -> Step {
        let name = self.upstream.as_deref().unwrap_or_default();
        let doc = &self.req.doc.doc;
        let agent = doc.upstream_by_name(name).map(|id| doc.upstream(id).agent);
        let Some(agent) = agent else {
            return Step::Lost(Reason::PeerLost);
        };
        let timeout = self.entry.node.settings.limits.probe_timeout;
        match net::probe(agent, timeout).await {
            Listener::Present | Listener::Unknown => Step::Lost(Reason::PeerLost),
            Listener::Absent => Step::Crashed(Reason::PeerLost, crashes::agent_crash_id(name)),
        }
    }

    /// Handles a refused attempt. Another one may follow if no upstream has run the request.
    fn handle_refusal(&mut self, refusal: Refusal) -> Result<(), Refusal> {
        self.current = None;
        if refusal.reason == Reason::ProcessEnds {
            // The agent stopped during the attempt. The request may continue at another agent, or
            // at this one after its restart.
            self.interrupted_attempts += 1;
            self.tried.pop();
            return self.handle_loss(Reason::ProcessEnds);
        }
        if refusal.outcome == Outcome::NotRun && may_retry_elsewhere(refusal.reason) {
            self.last_refusal = Some(refusal);
            return Ok(());
        }
        Err(self.give_up(refusal))
    }

    /// Handles an attempt that broke off. Another one may follow only for an idempotent request.
    fn handle_loss(&mut self, reason: Reason) -> Result<(), Refusal> {
        self.current = None;
        self.none_has_run = false;
        self.last_refusal = None;
        if self.req.class.idempotent {
            return Ok(());
        }
        Err(self.give_up(Refusal::unknown(reason)))
    }

    /// Returns the final refusal. It is "not run" only if that holds for all attempts.
    fn give_up(&mut self, mut refusal: Refusal) -> Refusal {
        if !self.none_has_run {
            refusal.outcome = Outcome::Unknown;
        } else if let Some(number) = self.trial.take() {
            self.entry.crashes.return_trial(self.fingerprint(), number);
        }
        self.record(refusal.outcome, Some(refusal.reason));
        refusal
    }

    /// Records the outcome of the request, once.
    fn record(&mut self, outcome: Outcome, reason: Option<Reason>) {
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        accounting::record(
            &self.entry,
            &EndedRequest {
                id: self.req.id,
                service: &self.req.doc.doc.service,
                tenant: &self.req.tenant,
                class: &self.req.class.name,
                outcome,
                reason,
                upstream: self.upstream.as_deref(),
                attempts: self.attempts,
                queue_ms: self.queue_ms,
                first_byte: self.first_byte,
                received_at: self.received_at,
                deadline: self.req.deadline,
                count: self.delivered,
            },
        );
    }
}

impl Drop for Session {
    /// Records a session that is dropped before its end: its caller has disconnected or its process
    /// has exited.
    fn drop(&mut self) {
        let outcome = if self.attempts == 0 {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let reason = if self.entry.node.has_drain_ended() {
            Reason::ProcessEnds
        } else {
            Reason::CallerGone
        };
        self.record(outcome, Some(reason));
    }
}
