//! A request on its way: tries, retries, resumes, and its account.

use crate::account::{self, Ended};
use crate::attempt::Attempt;
use crate::choose::{Chosen, choose};
use crate::crashes::{self, Admission};
use crate::refusal::may_go_elsewhere;
use crate::state::Entry;
use conf::Class;
use hyper::Method;
use net::{CallError, Pool};
use node::RunningGuard;
use resilience::Fingerprint;
use resilience::crashes::Confidence;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::InForce;
use wire::{
    Call, Outcome, PATH_RUN, Part, Probe, Reason, Refusal, RequestContext, RequestId, prefix,
};

/// What an agent may take longer than was agreed before it counts as lost.
const SLACK: Duration = Duration::from_secs(1);
/// When a caller may come back if no upstream takes work, in milliseconds.
const NO_UPSTREAM_RETRY_MS: u64 = 1000;

/// A request with its class and document.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// The request's id.
    pub id: RequestId,
    /// The tenant.
    pub tenant: String,
    /// The document that it is served by.
    pub doc: InForce,
    /// Its class.
    pub class: Class,
    /// Time until the answer must begin, from the receipt.
    pub deadline: Duration,
    /// What to run.
    pub call: Call,
}

/// A request on its way. Dropping it cancels what can be cancelled.
pub struct Session {
    entry: Arc<Entry>,
    req: RoutedRequest,
    since: Instant,
    current: Option<Attempt>,
    /// Upstreams that aren't tried again.
    tried: Vec<String>,
    attempts: u32,
    /// Tries that ended with their agent's process, by no fault of the request.
    cuts: u32,
    /// The upstream that was tried last.
    upstream: Option<String>,
    /// Whether every try so far came back as not run.
    none_has_run: bool,
    /// The last refusal of an agent, to be passed on if no other serves.
    refusal: Option<Refusal>,
    /// The trial that it is, of work that is held back.
    trial: Option<usize>,
    /// Tokens that the caller has.
    delivered: u64,
    queue_ms: u64,
    first: Option<Duration>,
    is_closed: bool,
    _running: RunningGuard,
}

/// How a try went on.
enum Step {
    Part(Part),
    Refused(Refusal),
    /// The try broke off; the upstream may have run the request.
    Lost(Reason),
    /// The same, as the upstream or its agent has ended; the number tells this end from
    /// others.
    Ended(Reason, u32),
}

impl Session {
    /// A request that was received at `since` and counts as running since then.
    pub fn new(
        entry: Arc<Entry>,
        req: RoutedRequest,
        since: Instant,
        running: RunningGuard,
    ) -> Self {
        entry.earn_retry();
        Self {
            entry,
            req,
            since,
            current: None,
            tried: Vec::new(),
            attempts: 0,
            cuts: 0,
            upstream: None,
            none_has_run: true,
            refusal: None,
            trial: None,
            delivered: 0,
            queue_ms: 0,
            first: None,
            is_closed: false,
            _running: running,
        }
    }

    /// The request's id.
    pub fn id(&self) -> RequestId {
        self.req.id
    }

    /// Longest that a caller may leave a piece of its answer untaken.
    pub fn patience(&self) -> Duration {
        self.entry.node.settings.limits.idle_timeout
    }

    /// The service.
    pub fn service(&self) -> &str {
        &self.req.doc.doc.service
    }

    /// Waits for the next part of the answer: tokens and an end, or a head, a
    /// body and an end. A second head means that the answer begins anew.
    pub async fn next(&mut self) -> Result<Part, Refusal> {
        let node = self.entry.node.clone();
        tokio::select! {
            // First: what has come is passed on, also at the end.
            biased;
            next = self.follow() => next,
            () = node.ended() => self.cut(),
        }
    }

    /// Ends an answer that its process can't end, in a way that shows.
    fn cut(&mut self) -> Result<Part, Refusal> {
        self.current = None;
        if self.has_all_tokens() {
            return Ok(self.whole());
        }
        if self.attempts == 0 {
            return Err(self.give_up_as(Reason::ProcessEnds));
        }
        // A try that was on its way may have run.
        self.none_has_run = false;
        Err(self.give_up(Refusal::unknown(Reason::ProcessEnds)))
    }

    /// Waits until the process has no more time for running requests.
    pub async fn process_ends(&self) {
        self.entry.node.ended().await;
    }

    async fn follow(&mut self) -> Result<Part, Refusal> {
        loop {
            if self.current.is_none() {
                self.open().await?;
            }
            match self.step().await {
                Step::Part(Part::Started { queue_ms }) => self.queue_ms += queue_ms,
                Step::Part(part) => {
                    self.first.get_or_insert(self.since.elapsed());
                    if matches!(part, Part::Token(_)) {
                        self.delivered += 1;
                    }
                    if matches!(part, Part::End { .. }) {
                        self.clear();
                        self.note(Outcome::Answered, None);
                    }
                    return Ok(part);
                }
                Step::Refused(refusal) => self.refused(refusal)?,
                Step::Lost(reason) => self.lost(reason)?,
                Step::Ended(reason, end) => {
                    let in_trial = self.trial.is_some();
                    self.entry.crashes.ended(self.work(), end, in_trial);
                    self.lost(reason)?;
                }
            }
            if self.has_all_tokens() {
                // It broke after its last token: there is nothing to resume.
                return Ok(self.whole());
            }
        }
    }

    /// The end of an answer whose last token the caller has.
    fn whole(&mut self) -> Part {
        self.note(Outcome::Answered, None);
        Part::End {
            count: self.delivered,
        }
    }

    /// What it asks for and who asks.
    fn work(&self) -> Fingerprint {
        crashes::fingerprint(self.service(), &self.req.tenant, &self.req.call)
    }

    /// Notes the whole answer: what upstreams did before wasn't by it.
    fn clear(&self) {
        if !self.entry.crashes.is_empty() {
            self.entry.crashes.answered(self.work());
        }
    }

    /// Refuses it if it is held back, as upstreams ended under it.
    async fn admit(&mut self) -> Result<(), Refusal> {
        if self.entry.crashes.is_empty() {
            return Ok(());
        }
        let held = match self.entry.crashes.admit(self.work()).await {
            Admission::Usual => return Ok(()),
            Admission::Trial(number) => {
                self.trial = Some(number);
                return Ok(());
            }
            Admission::Held(Confidence::Unconfirmed) => {
                Refusal::not_run(Reason::CrashSuspected).retry_in(NO_UPSTREAM_RETRY_MS)
            }
            Admission::Held(Confidence::Confirmed) => Refusal::not_run(Reason::CrashesUpstreams),
        };
        Err(self.give_up(held))
    }

    /// Opens the next try.
    async fn open(&mut self) -> Result<(), Refusal> {
        self.admit().await?;
        let counted = self.attempts - self.cuts;
        let spent = counted >= self.entry.node.settings.limits.attempts
            || (counted > 0 && !self.entry.spend_retry());
        if spent {
            return Err(self.give_up_as(Reason::NoUpstream));
        }
        if self.left().is_zero() {
            return Err(self.give_up_as(Reason::DeadlinePassed));
        }
        let probe = self.probe();
        let doc = self.req.doc.doc.clone();
        let Some(chosen) = choose(&self.entry, &doc, &probe, &self.tried).await else {
            return Err(self.give_up_as(Reason::NoUpstream));
        };
        self.send(chosen).await
    }

    /// Gives up with the last agent's refusal, which says more to the caller, or
    /// else for a reason of the entry's own.
    fn give_up_as(&mut self, reason: Reason) -> Refusal {
        let own = Refusal::not_run(reason).retry_in(NO_UPSTREAM_RETRY_MS);
        let refusal = self.refusal.unwrap_or(own);
        self.give_up(refusal)
    }

    /// Whether a broken completion already has as many tokens as were asked for.
    fn has_all_tokens(&self) -> bool {
        match &self.req.call {
            Call::Completion(c) => {
                self.current.is_none() && self.delivered >= u64::from(c.max_tokens)
            }
            Call::Plain(_) => false,
        }
    }

    /// What is left of the deadline. A stream that goes on elsewhere has met
    /// its deadline already, and gets the class's time once more.
    fn left(&self) -> Duration {
        if self.delivered > 0 {
            return self.req.class.deadline;
        }
        self.req.deadline.saturating_sub(self.since.elapsed())
    }

    /// What is left of the process's time, if it is stopping.
    fn process_left(&self) -> Option<Duration> {
        let ends = self.entry.node.ends()?;
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

    async fn send(&mut self, chosen: Chosen) -> Result<(), Refusal> {
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
            deadline_ms: self.left().as_millis() as u64,
            ends_ms: self.process_left().map(|left| left.as_millis() as u64),
            doc_version: self.req.doc.version,
            entry: self.entry.node.settings.name.clone(),
        };
        let body = wire::encode(&(&cx, &self.req.call));
        self.tried.push(chosen.name.clone());
        self.upstream = Some(chosen.name.clone());
        let req = chosen.peer.request(Method::POST, PATH_RUN, body);
        let wait = self.left() + SLACK;
        match tokio::time::timeout(wait, chosen.peer.send(req)).await {
            Ok(Ok(answer)) if answer.status().is_success() => {
                let body = answer.into_body();
                let attempt = Attempt::new(self.req.id, chosen.name, body, self.delivered);
                self.current = Some(attempt);
                Ok(())
            }
            // The agent turned the message itself down, before it looked at the call.
            Ok(Ok(_)) => self.refused(Refusal::not_run(Reason::NotReady)),
            Ok(Err(CallError::NotSent(_))) => {
                self.entry.health.failed(chosen.peer.addr(), Instant::now());
                self.refused(Refusal::not_run(Reason::PeerLost))
            }
            Ok(Err(CallError::MaybeSent(_))) | Err(_) => {
                self.entry.health.failed(chosen.peer.addr(), Instant::now());
                self.lost(Reason::PeerLost)
            }
        }
    }

    /// Reads the next part of the current try.
    async fn step(&mut self) -> Step {
        let left = self.left();
        let idle = self.entry.node.settings.limits.idle_timeout;
        let Some(current) = &mut self.current else {
            return Step::Lost(Reason::PeerLost);
        };
        let wait = if current.started { idle } else { left } + SLACK;
        let part = match tokio::time::timeout(wait, current.read()).await {
            Ok(Some(part)) => part,
            Ok(None) => return self.agent_broke_off().await,
            Err(_) => return Step::Lost(Reason::PeerLost),
        };
        match part {
            Part::Refused(refusal) => Step::Refused(refusal),
            Part::Broken => Step::Lost(Reason::UpstreamBroken),
            Part::UpstreamEnded { end } => Step::Ended(Reason::UpstreamEnded, end),
            Part::Started { .. } => {
                current.started = true;
                Step::Part(part)
            }
            part => Step::Part(part),
        }
    }

    /// The connection to the agent broke: what ends agents is held against the request as
    /// what ends upstreams is.
    async fn agent_broke_off(&self) -> Step {
        let name = self.upstream.as_deref().unwrap_or_default();
        let doc = &self.req.doc.doc;
        let agent = doc.upstream_named(name).map(|id| doc.upstream(id).agent);
        let Some(agent) = agent else {
            return Step::Lost(Reason::PeerLost);
        };
        let timeout = self.entry.node.settings.limits.probe_timeout;
        match Pool::new(agent, timeout).is_reachable().await {
            true => Step::Lost(Reason::PeerLost),
            false => Step::Ended(Reason::PeerLost, crashes::agent_end(name)),
        }
    }

    /// A try was refused: another may be made if no upstream has run it.
    fn refused(&mut self, refusal: Refusal) -> Result<(), Refusal> {
        self.current = None;
        if refusal.reason == Reason::ProcessEnds {
            // The agent stopped in the middle: another may go on with it, or that one
            // once it is back.
            self.cuts += 1;
            self.tried.pop();
            return self.lost(Reason::ProcessEnds);
        }
        if refusal.outcome == Outcome::NotRun && may_go_elsewhere(refusal.reason) {
            self.refusal = Some(refusal);
            return Ok(());
        }
        Err(self.give_up(refusal))
    }

    /// A try broke off: another may be made only for an idempotent request.
    fn lost(&mut self, reason: Reason) -> Result<(), Refusal> {
        self.current = None;
        self.none_has_run = false;
        self.refusal = None;
        if self.req.class.idempotent {
            return Ok(());
        }
        Err(self.give_up(Refusal::unknown(reason)))
    }

    /// The final refusal. It says "not run" only if that is true of every try.
    fn give_up(&mut self, mut refusal: Refusal) -> Refusal {
        if !self.none_has_run {
            refusal.outcome = Outcome::Unknown;
        } else if let Some(number) = self.trial.take() {
            self.entry.crashes.return_trial(self.work(), number);
        }
        self.note(refusal.outcome, Some(refusal.reason));
        refusal
    }

    /// Notes what became of the request, once.
    fn note(&mut self, outcome: Outcome, reason: Option<Reason>) {
        if std::mem::replace(&mut self.is_closed, true) {
            return;
        }
        account::close(
            &self.entry,
            &Ended {
                id: self.req.id,
                service: &self.req.doc.doc.service,
                tenant: &self.req.tenant,
                class: &self.req.class.name,
                outcome,
                reason,
                upstream: self.upstream.as_deref(),
                attempts: self.attempts,
                queue_ms: self.queue_ms,
                first: self.first,
                since: self.since,
                deadline: self.req.deadline,
                count: self.delivered,
            },
        );
    }
}

impl Drop for Session {
    /// A session that is dropped before its end has lost its caller or its process.
    fn drop(&mut self) {
        let outcome = if self.attempts == 0 {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let reason = if self.entry.node.has_ended() {
            Reason::ProcessEnds
        } else {
            Reason::CallerGone
        };
        self.note(outcome, Some(reason));
    }
}
