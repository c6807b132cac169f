//! The way of a request: receive, route, choose, attempt, relay, account.

mod caller;
mod refusal;
mod time;

pub use refusal::Refusal;
pub use time::{Answer, Outlook, StreamedGuard};

use crate::account::Account;
use crate::answer::Reason;
use crate::attempt::{self, NotRun, Tried, attempt};
use crate::choose::{Choice, Need, Plan, choose};
use crate::crashes::{self, Admission, fingerprint, unanswered};
use crate::fleet::{ServiceKey, UpstreamKey};
use crate::relay;
use crate::routes::{Caller, RouteTable, Target};
use crate::state::Gateway;
use bytes::Bytes;
use hyper::body::{Body as _, Incoming as IncomingBody};
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use net::Body;
use net::server::{BodyFault, read_body};
use platform::{RequestHeaders, header};
use resilience::Fingerprint;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// How much longer than the latency target a first byte may take before another
/// upstream is tried. Admitted prompts are estimated at 0.6 of it; on two loaded
/// days 1 and 5 in 1,000 first bytes took longer than twice the target, at an
/// upstream that is cut off all do.
const PATIENCE: f64 = 2.0;
/// The same at least, where targets are short: a lost packet comes again after
/// 0.2 s.
const MIN_PATIENCE: Duration = Duration::from_millis(240);
/// Upstreams that are tried without anything being sent to them, for one request.
const MAX_UNSENT: usize = 4;

/// A request, read in full and routed.
#[derive(Debug)]
pub struct Call {
    /// The process.
    pub gateway: Arc<Gateway>,
    /// When it came.
    pub since: Instant,
    /// What its headers say.
    pub incoming: RequestHeaders,
    /// Method.
    pub method: Method,
    /// Path and query, as they came.
    pub path: Uri,
    /// Headers, as they came.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Event after which the stream goes on.
    pub last_event: Option<u64>,
    /// Whether the service's upstreams are model engines.
    pub is_engine: bool,
    table: Arc<RouteTable>,
    caller: Caller,
    service: ServiceKey,
    tried: Vec<UpstreamKey>,
    /// What an upstream said that failed, while another is tried.
    failure: Option<Box<attempt::Started>>,
    fingerprint: OnceLock<Fingerprint>,
}

/// Answers a client.
pub async fn serve(gateway: Arc<Gateway>, req: Request<IncomingBody>) -> Response<Body> {
    let since = Instant::now();
    let (mut head, body) = req.into_parts();
    header::mark_key_sensitive(&mut head.headers);
    let authority = head.uri.authority().map(|a| a.as_str());
    let incoming = match RequestHeaders::parse(&head.headers, authority) {
        Ok(incoming) => incoming,
        Err(e) => return refusal::malformed(&gateway, since, e),
    };
    let mut account = Account::open(&gateway, &incoming.id, since);
    match receive(gateway, incoming, head, body, &mut account).await {
        Ok(mut call) => match call.run(&mut account).await {
            Ok(started) => relay::pass_on(call, account, started),
            Err(refusal) => {
                crashes::end_trial(&call, &account);
                refusal::refuse(account, refusal)
            }
        },
        Err(refusal) => refusal::refuse(account, refusal),
    }
}

/// Routes a request and reads its body.
async fn receive(
    gateway: Arc<Gateway>,
    incoming: RequestHeaders,
    head: Parts,
    body: IncomingBody,
    account: &mut Account,
) -> Result<Call, Refusal> {
    let table = gateway.routes().ok_or(Reason::NoConfig)?;
    account.config = table.version;
    let target = table
        .find(&incoming.host, head.uri.path())
        .ok_or(Reason::NoRoute)?;
    account.route = Some(target.route.name.clone());
    let caller = caller::admit(&gateway, &table, target, &incoming, account)?;
    let acquired = caller::acquire_quota(&gateway, &table, caller, &incoming, account);
    account.grant = acquired.await?;
    let left = target.left(incoming.deadline, account.since.elapsed());
    let service = target.draw().ok_or(Reason::NoUpstream)?;
    let is_engine = {
        let fleet = gateway.fleet();
        let info = fleet.info(service);
        account.service = Some(info.name.clone());
        info.engine.is_some()
    };
    if is_engine {
        account.max_output_tokens = Some(incoming.max_output_tokens);
        account.expected_tokens = Some(incoming.expected_output_tokens());
    }
    gateway.earn_retry(service);
    let body = match body.is_end_stream() {
        true => Bytes::new(),
        false => {
            let over = time::time_over(gateway.clone(), left, Answer::Awaited);
            tokio::select! {
                biased;
                body = read_whole(body, table.limits.body_bytes, left) => body?,
                why = over => return Err(why.into()),
            }
        }
    };
    Ok(Call {
        since: account.since,
        last_event: incoming.last_event_id,
        method: head.method,
        path: path_and_query(&head.uri),
        headers: head.headers,
        tried: Vec::new(),
        failure: None,
        fingerprint: OnceLock::new(),
        gateway,
        incoming,
        body,
        is_engine,
        table,
        caller,
        service,
    })
}

async fn read_whole(body: IncomingBody, limit: usize, left: Duration) -> Result<Bytes, Reason> {
    read_body(body, limit, left).await.map_err(|e| match e {
        BodyFault::TooLarge => Reason::TooLarge,
        BodyFault::Slow => Reason::SlowBody,
        BodyFault::Broken => Reason::BrokenBody,
    })
}

/// The path and query alone, as they go to an upstream.
fn path_and_query(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}

impl Call {
    /// Its route.
    pub fn target(&self) -> &Target {
        // NB: the table doesn't change, so the route that was found is found again.
        self.table
            .find(&self.incoming.host, self.path.path())
            .expect("the route was found when the request came")
    }

    /// What it asks for and who asks, hashed when it is first needed: only requests under
    /// which an upstream ended, and those that come while such are known, pay for it.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| fingerprint(self))
    }

    fn need(&self, account: &Account) -> Need<'_> {
        let route = &self.target().route;
        let is_again = account.attempts > 0;
        Need {
            service: self.service,
            parts: &self.incoming.prompt_parts,
            prompt_tokens: self.incoming.prompt_tokens,
            max_output_tokens: self.incoming.max_output_tokens,
            target: route.target_latency,
            is_rest: is_again && self.last_event.is_some(),
            is_alone: false,
            tried: &self.tried,
        }
    }

    /// Finds an upstream whose answer begins, or the reason why there is none. An upstream's
    /// own failure is passed on if nothing better comes.
    async fn run(&mut self, account: &mut Account) -> Result<attempt::Started, Refusal> {
        let over = self.time_over(Answer::Awaited);
        let done = tokio::select! {
            biased;
            done = self.run_untimed(account) => done,
            why = over => {
                unanswered::timed_out(self, account);
                Err(why.into())
            }
        };
        match (done, self.failure.take()) {
            (Err(_), Some(failure)) => Ok(*failure),
            (done, _) => done,
        }
    }

    async fn run_untimed(&mut self, account: &mut Account) -> Result<attempt::Started, Refusal> {
        let mut last = Refusal::from(Reason::NoUpstream);
        // Whether the next attempt has been taken off the budget.
        let mut is_paid = false;
        loop {
            let admission = match crashes::admit(self, account).await {
                Admission::Held(why) => return Err(why.into()),
                admission => admission,
            };
            let is_again = account.attempts > 0 && !std::mem::take(&mut is_paid);
            if is_again && !self.may_retry(account) {
                return Err(last);
            }
            let need = Need {
                is_alone: admission == Admission::Alone,
                ..self.need(account)
            };
            let plan = match choose(&self.gateway, &need) {
                Choice::Send(plan) => plan,
                Choice::NoUpstream => return Err(last),
                Choice::Busy(inputs, retry_after) => {
                    account.inputs = Some(inputs);
                    return Err(Refusal::until(Reason::Overloaded, retry_after));
                }
            };
            if !self.ends_in_time(account, plan.inputs.estimate_ms) {
                return Err(Reason::Stopping.into());
            }
            let tried = self.attempt_patiently(account, &plan, &mut is_paid).await;
            self.tried
                .push(account.tried.map_or(plan.key, |sent| sent.key));
            match tried {
                Tried::Started(started) => {
                    let may_repeat = self.target().route.kind.is_repeatable();
                    if !started.status.is_server_error() || !may_repeat {
                        return Ok(*started);
                    }
                    if !self.may_retry(account) {
                        return Ok(*started);
                    }
                    is_paid = true;
                    last = Reason::UpstreamLost.into();
                    // One that still comes holds its connection.
                    self.failure = Some(started).filter(|s| s.rest.is_none());
                }
                Tried::NotRun(NotRun::NotSent | NotRun::NoPrefill) => {
                    if self.tried.len() >= MAX_UNSENT {
                        return Err(last);
                    }
                }
                Tried::NotRun(NotRun::NoTime) => return Err(Reason::Stopping.into()),
                Tried::NotRun(NotRun::Held(why)) => return Err(why.into()),
                Tried::NotRun(NotRun::Rejected) => last = Reason::Rejected.into(),
                Tried::Unknown(_) => {
                    last = Reason::UpstreamLost.into();
                    if !self.target().route.kind.is_repeatable() {
                        return Err(last);
                    }
                }
            }
        }
    }

    /// Makes an attempt. One whose first byte takes far longer than estimated is
    /// given up for another, where the request may run twice and the budget has
    /// a retry, which is taken off.
    async fn attempt_patiently(
        &self,
        account: &mut Account,
        plan: &Plan,
        is_paid: &mut bool,
    ) -> Tried {
        let route = &self.target().route;
        let attempts = account.attempts;
        let may_switch = || {
            let has_attempts = attempts + 1 < route.max_attempts;
            route.kind.is_repeatable() && has_attempts && self.key_in_force().is_ok()
        };
        let patience = route.target_latency.mul_f64(PATIENCE).max(MIN_PATIENCE);
        {
            let need = self.need(account);
            let tried = attempt(self, account, plan, &need);
            tokio::pin!(tried);
            match tokio::time::timeout(patience, tried.as_mut()).await {
                Ok(tried) => return tried,
                // Another one's answer must still come before this process ends.
                Err(_) if !may_switch() || !self.could_end() || !self.spend_retry() => {
                    return tried.await;
                }
                // What is dropped here is cancelled at the upstream.
                Err(_) => {}
            }
        }
        *is_paid = true;
        unanswered::timed_out(self, account);
        account.attempts += 1;
        attempt::failed(&self.gateway, plan, attempt::LOST_WEIGHT);
        let why = "no first byte in time";
        attempt::tell_failed(account, "unknown", why, patience);
        Tried::Unknown(why.to_owned())
    }

    /// Whether another upstream may be sent the request; takes it off the budget.
    pub fn may_retry(&self, account: &Account) -> bool {
        account.attempts < self.target().route.max_attempts
            && self.could_end()
            && self.spend_retry()
    }

    fn spend_retry(&self) -> bool {
        self.gateway.spend_retry(self.service)
    }

    /// Sends a broken stream's rest to another upstream; none if it may not.
    pub async fn retry(&mut self, account: &mut Account) -> Option<Tried> {
        // The one that broke off has most likely crashed.
        self.tried.extend(account.tried.map(|sent| sent.key));
        let admission = crashes::admit(self, account).await;
        if matches!(admission, Admission::Held(_)) || !self.may_retry(account) {
            return None;
        }
        let need = Need {
            is_alone: admission == Admission::Alone,
            ..self.need(account)
        };
        let Choice::Send(plan) = choose(&self.gateway, &need) else {
            return None;
        };
        // The client may go on elsewhere at once, in place of being cut off again.
        if !self.ends_in_time(account, plan.inputs.estimate_ms) {
            return None;
        }
        let over = self.time_over(Answer::Awaited);
        tokio::select! {
            biased;
            tried = attempt(self, account, &plan, &need) => Some(tried),
            _ = over => None,
        }
    }
}
