//! Request handling: receive, route, choose, attempt, relay, account.

mod caller;
mod origin;
mod refusal;
mod time;

pub use refusal::Refusal;
pub use time::{AnswerProgress, FinishEstimate, PendingAnswer, StreamGuard};

use crate::account::Account;
use crate::answer::{Outcome, Reason, promises_not_run};
use crate::attempt::{self, AttemptResult, Failure, NotRun, StartedAnswer, attempt};
use crate::choose::{Choice, Plan, Requirements, Unavailable, choose, choose_with_room};
use crate::completeness::Completeness;
use crate::crashes::{self, Admission, fingerprint, unanswered};
use crate::fleet::{ServiceKey, UpstreamKey};
use crate::monotonic;
use crate::queue::{self, Applicant};
use crate::relay;
use crate::routes::{Caller, ResolvedRoute, RouteTable};
use crate::state::Gateway;
use bytes::Bytes;
use hyper::body::{Body as _, Incoming as IncomingBody};
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use net::server::{BodyError, read_body_within};
use net::{Body, BufferBudget};
use observe::OverloadContext;
use origins::Origin;
use platform::{RequestHeaders, RouteKind, header};
use resilience::Fingerprint;
use resilience::crashes::{MAX_PARTS, Run};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Timeout for the first byte, as a multiple of the latency target, after which another upstream
/// is tried. Prompts are admitted with estimates of up to 0.6 of the target. On two loaded days 1
/// and 5 of 1,000 first bytes took longer than twice the target; at an unreachable upstream all
/// do.
const FIRST_BYTE_TIMEOUT_FACTOR: f64 = 2.0;
/// Minimum first-byte timeout, for short targets: a lost packet is retransmitted after 0.2 s.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(240);
/// Maximum number of upstreams tried for one request without anything being sent to them.
const MAX_UNSENT_UPSTREAMS: usize = 4;

/// Time after a pause of upstreams over which refused callers return.
const PAUSE_RETURN_SPREAD: Duration = Duration::from_millis(500);

/// A request that has been read in full and routed.
#[derive(Debug)]
pub struct Call {
    /// State of the process.
    pub gateway: Arc<Gateway>,
    /// Time at which the request arrived.
    pub since: Instant,
    /// Time at which its body had been read.
    read_at: Instant,
    /// Parsed headers.
    pub parsed_headers: RequestHeaders,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub path: Uri,
    /// Headers, unchanged.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Id of the event after which the stream is to be resumed.
    pub last_event: Option<u64>,
    /// Whether the service's upstreams are model engines.
    pub is_engine: bool,
    /// Where the stream began; `None` before its answer begins, and for other requests.
    origin: Option<Origin>,
    table: Arc<RouteTable>,
    caller: Caller,
    service: ServiceKey,
    tried: Vec<UpstreamKey>,
    /// Failure response of an upstream, kept while another upstream is tried.
    failure: Option<Box<StartedAnswer>>,
    fingerprint: OnceLock<Fingerprint>,
}

/// Handles a request and returns the response to the client.
pub async fn serve(gateway: Arc<Gateway>, req: Request<IncomingBody>) -> Response<Body> {
    let since = monotonic::now();
    let (mut head, body) = req.into_parts();
    header::mark_key_sensitive(&mut head.headers);
    let authority = head.uri.authority().map(|a| a.as_str());
    let parsed_headers = match RequestHeaders::parse(&head.headers, authority) {
        Ok(parsed_headers) => parsed_headers,
        Err(e) => return refusal::refuse_malformed(&gateway, since, e),
    };
    let mut account = Account::open(&gateway, &parsed_headers.id, since);
    match receive(gateway, parsed_headers, head, body, &mut account).await {
        Ok(mut call) => match call.run(&mut account).await {
            Ok(started) => relay::relay_answer(call, account, started),
            Err(refusal) => {
                crashes::return_unused_trial(&call, &account);
                refusal::refuse(account, refusal)
            }
        },
        Err(refusal) => refusal::refuse(account, refusal),
    }
}

/// Routes a request and reads its body.
async fn receive(
    gateway: Arc<Gateway>,
    parsed_headers: RequestHeaders,
    head: Parts,
    body: IncomingBody,
    account: &mut Account,
) -> Result<Call, Refusal> {
    let table = gateway.routes().ok_or(Reason::NoConfig)?;
    account.config_version = table.version;
    account.resumes = parsed_headers.resumes.clone();
    account.resumes_after = parsed_headers.last_event_id;
    let target = table
        .find(&parsed_headers.host, head.uri.path())
        .ok_or(Reason::NoRoute)?;
    account.route = Some(target.route.name.clone());
    let caller = caller::authenticate(&gateway, &table, target, &parsed_headers, account)?;
    let acquired = caller::acquire_quota(&gateway, &table, caller, &parsed_headers, account);
    account.grant = acquired.await?;
    let time_left = target.time_left(
        parsed_headers.deadline,
        monotonic::elapsed(account.received_at),
    );
    let service = target.pick_service().ok_or(Reason::NoUpstream)?;
    let is_engine = {
        let fleet = gateway.fleet();
        let info = fleet.info(service);
        account.service = Some(info.name.clone());
        info.engine.is_some()
    };
    if is_engine {
        account.max_output_tokens = Some(parsed_headers.max_output_tokens);
        account.expected_tokens = Some(parsed_headers.expected_output_tokens());
    }
    gateway.earn_retry(service);
    let body = match body.is_end_stream() {
        true => Bytes::new(),
        false => {
            let timeout =
                time::wait_for_timeout(gateway.clone(), time_left, AnswerProgress::Pending);
            tokio::select! {
                biased;
                body = read_full_body(
                    &gateway.buffer_budget,
                    body,
                    table.limits.body_bytes,
                    time_left,
                ) => body?,
                why = timeout => return Err(why.into()),
            }
        }
    };
    gateway.wait_for_pending_signal().await;
    Ok(Call {
        since: account.received_at,
        read_at: monotonic::now(),
        last_event: parsed_headers.last_event_id,
        method: head.method,
        path: path_and_query(&head.uri),
        headers: head.headers,
        tried: Vec::new(),
        origin: None,
        failure: None,
        fingerprint: OnceLock::new(),
        gateway,
        parsed_headers,
        body,
        is_engine,
        table,
        caller,
        service,
    })
}

async fn read_full_body(
    budget: &BufferBudget,
    body: IncomingBody,
    limit: usize,
    time_left: Duration,
) -> Result<Bytes, Reason> {
    read_body_within(budget, body, limit, time_left)
        .await
        .map_err(|e| match e {
            BodyError::TooLarge => Reason::TooLarge,
            BodyError::Slow => Reason::SlowBody,
            BodyError::Broken => Reason::BrokenBody,
            BodyError::NoMemory => Reason::NoMemory,
        })
}

/// Path and query without scheme and authority, as sent to upstreams.
fn path_and_query(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}

impl Call {
    /// Route of the request.
    pub fn target(&self) -> &ResolvedRoute {
        // NB: the table doesn't change, so the lookup succeeds again.
        self.table
            .find(&self.parsed_headers.host, self.path.path())
            .expect("the route was found when the request came")
    }

    /// Hash of the request's content and sender. It is computed lazily: only requests during
    /// which an upstream crashed, and requests that arrive while such crashes are known, need it.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| fingerprint(self))
    }

    /// The request as it is counted when an upstream crashes: its hash, and the parts of its prompt
    /// that other requests may have.
    pub fn run_record(&self) -> Run {
        Run::new(self.fingerprint(), self.shared_part_ids())
    }

    /// Ids of the parts of the prompt that other requests may have. Only engines read prompts.
    pub fn shared_part_ids(&self) -> impl Iterator<Item = u64> {
        let shared = match self.is_engine {
            true => self.parsed_headers.shared_parts(),
            false => &[],
        };
        shared.iter().map(|part| part.id).take(MAX_PARTS)
    }

    fn requirements(&self, account: &Account) -> Requirements<'_> {
        let route = &self.target().route;
        let is_retry = account.attempts > 0;
        Requirements {
            service: self.service,
            parts: &self.parsed_headers.prompt_parts,
            prompt_tokens: self.parsed_headers.prompt_tokens,
            max_output_tokens: self.parsed_headers.max_output_tokens,
            rank: self.priority(),
            latency_target: route.target_latency,
            is_resumed: (is_retry || self.origin.is_some()) && self.last_event.is_some(),
            is_isolated: false,
            version: self.origin.map(|origin| origin.version),
            tried: &self.tried,
            has_permit: is_retry || account.send_permit.is_some(),
        }
    }

    /// Tries upstreams until one starts to answer, or returns the reason for a refusal. An
    /// upstream's own failure response is returned if no other upstream does better.
    async fn run(&mut self, account: &mut Account) -> Result<StartedAnswer, Refusal> {
        let timeout = self.wait_for_timeout(AnswerProgress::Pending);
        let outcome = tokio::select! {
            biased;
            outcome = self.run_attempts(account) => outcome,
            why = timeout => {
                unanswered::watch_timed_out(self, account);
                Err(why.into())
            }
        };
        match (outcome, self.failure.take()) {
            (Err(_), Some(failure)) => Ok(*failure),
            (outcome, _) => outcome,
        }
    }

    async fn run_attempts(&mut self, account: &mut Account) -> Result<StartedAnswer, Refusal> {
        // Rejects the request before a wait for an upstream, which would only delay the rejection.
        if !self.finishes_in_time(account, 0.0) {
            return Err(Reason::Stopping.into());
        }
        self.find_origin(account).await?;
        let is_new_stream =
            self.origin.is_none() && self.target().route.kind == RouteKind::ResumableStream;
        if is_new_stream && !self.gateway.versions.wait_until_streams_may_begin().await {
            return Err(Reason::NoConfig.into());
        }
        let mut last = Refusal::from(match self.origin {
            Some(_) => Reason::StreamVersionGone,
            None => Reason::NoUpstream,
        });
        // Whether the next attempt has already been taken from the retry budget.
        let mut is_retry_spent = false;
        loop {
            let admission = match crashes::admit(self, account).await {
                Admission::Blocked(why) => return Err(why.into()),
                admission => admission,
            };
            let is_retry = account.attempts > 0 && !std::mem::take(&mut is_retry_spent);
            if is_retry && !self.acquire_retry(account) {
                return Err(last);
            }
            let requirements = Requirements {
                is_isolated: admission == Admission::Quarantined,
                ..self.requirements(account)
            };
            let plan = match self.choose(account, &requirements).await {
                Choice::Send(plan) => plan,
                Choice::NoUpstream => return Err(last),
                Choice::Full => {
                    let permit = queue::wait_for_room(&self.gateway, &self.applicant()).await;
                    account.send_permit = Some(
                        permit
                            .map_err(|wait| Refusal::with_retry_after(Reason::Overloaded, wait))?,
                    );
                    continue;
                }
                Choice::Later(..) if account.attempts > 0 => return Err(last),
                Choice::Later(at, why) => return Err(self.refuse_until(&requirements, at, why)),
                Choice::Busy(busy) => {
                    account.inputs = Some(busy.inputs);
                    account.overload = OverloadContext {
                        idle_engines: Some(busy.idle_engines),
                        left_ms: Some(self.time_left().as_millis() as u64),
                    };
                    return Err(Refusal::with_retry_after(
                        Reason::Overloaded,
                        busy.retry_after,
                    ));
                }
            };
            if !self.finishes_in_time(account, plan.inputs.estimate_ms) {
                return Err(Reason::Stopping.into());
            }
            let result = self
                .attempt_with_timeout(account, &plan, &mut is_retry_spent)
                .await;
            self.tried
                .push(account.last_sent_to.map_or(plan.key, |sent| sent.key));
            match result {
                AttemptResult::Started(started) => {
                    let may_repeat = self.target().route.kind.is_repeatable();
                    if !may_repeat && promises_not_run(started.status) {
                        return Err(self.refuse_promise(account, &started));
                    }
                    if !started.status.is_server_error() || !may_repeat {
                        return Ok(*started);
                    }
                    if !self.acquire_retry(account) {
                        return Ok(*started);
                    }
                    is_retry_spent = true;
                    last = Reason::UpstreamLost.into();
                    // A response that is still incomplete would hold its connection.
                    self.failure = Some(started).filter(|s| s.rest.is_none());
                }
                AttemptResult::NotRun(NotRun::NotSent | NotRun::PrefillFailed) => {
                    if self.tried.len() >= MAX_UNSENT_UPSTREAMS {
                        return Err(last);
                    }
                }
                AttemptResult::NotRun(NotRun::NoTime) => return Err(Reason::Stopping.into()),
                AttemptResult::NotRun(NotRun::Blocked(why)) => return Err(why.into()),
                AttemptResult::NotRun(NotRun::Rejected) => {
                    last = match self.is_engine {
                        true => Reason::Rejected.into(),
                        false => self.refuse_after_rejection(),
                    };
                }
                AttemptResult::Unknown(_) => {
                    last = Reason::UpstreamLost.into();
                    if !self.target().route.kind.is_repeatable() {
                        return Err(last);
                    }
                }
            }
        }
    }

    fn applicant(&self) -> Applicant {
        let Fingerprint(hash) = self.fingerprint();
        Applicant {
            service: self.service,
            rank: self.priority(),
            hash: hash as u64,
            time_left: self.time_left(),
        }
    }

    /// Refuses a request that an upstream may have run and answered with a status which would promise
    /// that it hasn't. Its client would repeat it.
    fn refuse_promise(&self, account: &mut Account, started: &StartedAnswer) -> Refusal {
        if started.rest.is_none() && started.monitor.completeness() == Completeness::Whole {
            crashes::mark_answered(self, account);
        }
        let why = format!("{} from an upstream that may have run it", started.status);
        let took = monotonic::elapsed(account.received_at);
        attempt::log_failed_attempt(account, Outcome::Unknown.name(), &why, took);
        Reason::UpstreamFailed.into()
    }

    /// Refuses the request as a full upstream has rejected it.
    fn refuse_after_rejection(&self) -> Refusal {
        let queues = &self.gateway.queues;
        let wait = queues.return_after_rejection(&self.gateway, &self.applicant());
        Refusal::with_retry_after(Reason::Rejected, wait)
    }

    /// Refuses the request until upstreams are available, with a return time that is spread.
    fn refuse_until(
        &self,
        requirements: &Requirements<'_>,
        at: Instant,
        why: Unavailable,
    ) -> Refusal {
        match why {
            Unavailable::AtLimit => {
                let wait = self.gateway.assign_return(requirements, at);
                Refusal::with_retry_after(Reason::UpstreamLimit, wait)
            }
            Unavailable::Paused => {
                let left = at.saturating_duration_since(monotonic::now());
                let wait = left + PAUSE_RETURN_SPREAD.mul_f64(fastrand::f64());
                Refusal::with_retry_after(Reason::UpstreamPause, wait)
            }
        }
    }

    /// Chooses an upstream whose limit, if it names one, has room for the request.
    async fn choose(&self, account: &mut Account, requirements: &Requirements<'_>) -> Choice {
        let gateway = &self.gateway;
        let choose = || choose(gateway, requirements);
        let (choice, grant) = choose_with_room(gateway, requirements, &account.id, choose).await;
        account.request_grant = grant;
        choice
    }

    /// Makes an attempt. If its first byte takes far longer than estimated, the attempt is
    /// abandoned for another one, provided that the request may run twice and the retry budget
    /// allows it. The retry is then taken from the budget.
    async fn attempt_with_timeout(
        &self,
        account: &mut Account,
        plan: &Plan,
        is_retry_spent: &mut bool,
    ) -> AttemptResult {
        let route = &self.target().route;
        let attempts = account.attempts;
        let may_switch = || {
            let has_attempts = attempts + 1 < route.max_attempts;
            route.kind.is_repeatable() && has_attempts && self.validate_key().is_ok()
        };
        let first_byte_timeout = route
            .target_latency
            .mul_f64(FIRST_BYTE_TIMEOUT_FACTOR)
            .max(MIN_FIRST_BYTE_TIMEOUT);
        {
            let requirements = self.requirements(account);
            let result = attempt(self, account, plan, &requirements);
            tokio::pin!(result);
            match tokio::time::timeout(first_byte_timeout, result.as_mut()).await {
                Ok(result) => return result,
                // Another attempt must still be answered before this process exits.
                Err(_) if !may_switch() || !self.can_finish() || !self.spend_retry() => {
                    return result.await;
                }
                // Dropping the attempt cancels it at the upstream.
                Err(_) => {}
            }
        }
        *is_retry_spent = true;
        unanswered::watch_timed_out(self, account);
        account.attempts += 1;
        attempt::record_failure(&self.gateway, plan, Failure::NoAnswer);
        let why = "no first byte in time";
        attempt::log_failed_attempt(account, "unknown", why, first_byte_timeout);
        AttemptResult::Unknown(why.to_owned())
    }

    /// Whether the request may be sent to another upstream; if so, takes a retry from the budget.
    pub fn acquire_retry(&self, account: &Account) -> bool {
        account.attempts < self.target().route.max_attempts
            && self.can_finish()
            && self.spend_retry()
    }

    fn spend_retry(&self) -> bool {
        self.gateway.spend_retry(self.service)
    }

    /// Requests the rest of a broken stream from another upstream; `None` if that isn't allowed.
    pub async fn resume_stream(&mut self, account: &mut Account) -> Option<AttemptResult> {
        if !self.is_origin_certain() {
            return None;
        }
        // The upstream that broke off has probably crashed.
        self.tried.extend(account.last_sent_to.map(|sent| sent.key));
        let admission = crashes::admit(self, account).await;
        if matches!(admission, Admission::Blocked(_)) || !self.acquire_retry(account) {
            return None;
        }
        let requirements = Requirements {
            is_isolated: admission == Admission::Quarantined,
            ..self.requirements(account)
        };
        let Choice::Send(plan) = self.choose(account, &requirements).await else {
            return None;
        };
        // The client can resume at another host at once, instead of being cut off again.
        if !self.finishes_in_time(account, plan.inputs.estimate_ms) {
            return None;
        }
        let timeout = self.wait_for_timeout(AnswerProgress::Pending);
        tokio::select! {
            biased;
            result = attempt(self, account, &plan, &requirements) => Some(result),
            _ = timeout => None,
        }
    }
}
