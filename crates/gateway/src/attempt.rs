//! One attempt: a request sent to one upstream, until its first bytes are back.

mod split;

use crate::account::Account;
use crate::answer::Reason;
use crate::choose::{Need, Plan};
use crate::crashes::broken::connection_broke;
use crate::crashes::unanswered;
use crate::duty::usage::Begin;
use crate::fleet::speed::Task;
use crate::serve::Call;
use crate::state::{Gateway, LoadGuard};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_ENCODING, HeaderMap};
use hyper::{Request, StatusCode};
use net::h1::Returned;
use net::{Body, CallError, full};
use observe::{Event, emit};
use platform::header::{self, Phases, UpstreamRequest};
use split::attempt_split;
use std::cmp::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest plain answer that is gathered before it is passed on. A larger one is
/// passed on as it comes.
const MAX_GATHERED: u64 = 256 << 10;
/// Part of the time that an upstream keeps idle connections within which one is
/// used again. A request on one that is just being closed may be lost, and
/// nobody can tell whether it has run.
const IDLE_SHARE: f64 = 0.5;
/// The same for an upstream that names no time.
const IDLE_UNNAMED: Duration = Duration::from_millis(400);
/// Ranks of requests at an engine, by the length of their answers.
const LONG_PRIORITY: u8 = 2;
const SHORT_PRIORITY: u8 = 4;
/// Weight of a failure of the connection in an upstream's health, and of an
/// answer that says that the upstream failed: some services answer one request
/// in seven so, and must not be suspended for it.
pub const LOST_WEIGHT: f64 = 0.25;
const ERROR_WEIGHT: f64 = 0.06;

/// An answer whose first bytes are there.
#[derive(Debug)]
pub struct Started {
    /// Status.
    pub status: StatusCode,
    /// Headers as the worker sent them.
    pub headers: HeaderMap,
    /// The first bytes of the body; none if it is empty.
    pub first: Option<Bytes>,
    /// The rest of the body; none if `first` is all.
    pub rest: Option<Rest>,
    /// Load at the upstream, until the answer is through.
    pub load: LoadGuard,
}

/// The rest of an answer's body, with the connection it comes on.
#[derive(Debug)]
pub struct Rest {
    /// The body.
    pub body: Incoming,
    conn: Returned,
    idle: Duration,
}

impl Rest {
    /// Gives the connection back. Only after the body's end.
    pub fn done(self) {
        drop(self.body);
        self.conn.keep(Some(self.idle));
    }
}

/// What came of an attempt.
#[derive(Debug)]
pub enum Tried {
    /// An answer has begun.
    Started(Box<Started>),
    /// The request hasn't run there, and won't.
    NotRun(NotRun),
    /// The request may have run there.
    Unknown(String),
}

/// Why a request hasn't run at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// Nothing was sent.
    NotSent,
    /// The upstream says so.
    Rejected,
    /// The prompt wasn't read, or its KV cache can't be had.
    NoPrefill,
    /// The prompt was read, but the process ends before an answer would.
    NoTime,
    /// It may be sent to none any more.
    Held(Reason),
}

impl NotRun {
    fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::Rejected => "rejected",
            Self::NoPrefill => "prompt not read",
            Self::NoTime => "no time left for the answer",
            Self::Held(why) => why.name(),
        }
    }
}

/// Sends a request by a plan. Dropped before its end, it is cancelled there.
pub async fn attempt(call: &Call, account: &mut Account, plan: &Plan, need: &Need<'_>) -> Tried {
    let since = Instant::now();
    account.upstream = Some(plan.instance.clone());
    account.tried = Some(plan.sent_to());
    account.inputs = call.is_engine.then_some(plan.inputs);
    let tried = if plan.task == Task::Prefill {
        attempt_split(call, account, plan, need).await
    } else {
        attempt_at(call, account, plan, Phases::Both).await
    };
    let (outcome, why) = match &tried {
        Tried::Started(_) => return tried,
        Tried::NotRun(why) => ("not_run", why.name()),
        Tried::Unknown(why) => ("unknown", why.as_str()),
    };
    tell_failed(account, outcome, why, since.elapsed());
    tried
}

/// Logs an attempt that didn't bring the answer.
pub fn tell_failed(account: &Account, outcome: &str, why: &str, took: Duration) {
    emit(&Event::AttemptFailed {
        request: &account.id,
        attempt: account.attempts,
        upstream: account.upstream.as_deref().unwrap_or_default(),
        outcome,
        why,
        ms: took.as_millis() as u64,
    });
}

/// Notes that an engine reads a request's prompt.
fn note_parts(call: &Call, plan: &Plan) {
    let parts = &call.incoming.prompt_parts;
    call.gateway
        .fleet()
        .note_parts(plan.key, parts, Instant::now());
}

/// Sends the request itself to an upstream.
pub async fn attempt_at(
    call: &Call,
    account: &mut Account,
    plan: &Plan,
    step: Phases<'_>,
) -> Tried {
    let gateway = &call.gateway;
    let load = gateway.add_load(plan.key, plan.inputs.uncached, plan.is_long);
    if call.is_engine && plan.task == Task::Generate {
        note_parts(call, plan);
    }
    let since = Instant::now();
    let Some(req) = request(call, plan, step) else {
        return Tried::NotRun(NotRun::NotSent);
    };
    let had_run = std::mem::replace(&mut account.may_have_run, true);
    let begin = account.begin;
    note_sent(call, account, since);
    let watch = unanswered::watch_trial(call, account);
    let answer = match plan.pool.send_once(req).await {
        Ok(answer) => answer,
        Err(CallError::NotSent(_)) => {
            watch.cancel();
            (account.may_have_run, account.begin) = (had_run, begin);
            failed(gateway, plan, LOST_WEIGHT);
            return Tried::NotRun(NotRun::NotSent);
        }
        Err(CallError::MaybeSent(why)) => {
            account.attempts += 1;
            connection_broke(call, account);
            failed(gateway, plan, LOST_WEIGHT);
            return Tried::Unknown(why);
        }
    };
    account.attempts += 1;
    let (res, conn) = answer.split();
    let (head, body) = res.into_parts();
    let said = header::parse_upstream_response(&head.headers, &call.incoming.id);
    if !said.id_matches {
        failed(gateway, plan, LOST_WEIGHT);
        return Tried::Unknown(format!("{} without this request's id", head.status));
    }
    let idle = idle_time(&head.headers);
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        lives(gateway, plan, since);
    }
    if said.not_executed || head.status == StatusCode::MISDIRECTED_REQUEST {
        // NB: the body of a rejection is short; the connection is kept if it
        // is already there.
        if body.is_end_stream() {
            conn.keep(Some(idle));
        }
        watch.cancel();
        (account.may_have_run, account.begin) = (had_run, begin);
        failed(gateway, plan, LOST_WEIGHT);
        return Tried::NotRun(NotRun::Rejected);
    }
    let is_bad = !said.is_signed || head.headers.contains_key(CONTENT_ENCODING);
    if head.status.is_success() && is_bad {
        failed(gateway, plan, LOST_WEIGHT);
        return Tried::Unknown("a success without a signature".into());
    }
    let rest = Rest { body, conn, idle };
    let read = read_first(call, rest).await;
    let (first, rest) = match read {
        Ok(read) => read,
        Err(why) => {
            connection_broke(call, account);
            failed(gateway, plan, LOST_WEIGHT);
            return Tried::Unknown(why);
        }
    };
    if head.status.is_server_error() {
        failed(gateway, plan, ERROR_WEIGHT);
    } else {
        measured(gateway, call, plan, since.elapsed());
    }
    let mut load = load;
    load.has_begun();
    note_begun(call, account, since);
    Tried::Started(Box::new(Started {
        status: head.status,
        headers: head.headers,
        first,
        rest,
        load,
    }))
}

/// Notes that an upstream was sent a request: a plain one begins there about then, also if
/// nobody hears its answer. A stream's first event shows that it has begun.
fn note_sent(call: &Call, account: &mut Account, at: Instant) {
    if !call.target().route.kind.is_stream() && account.begin == Begin::NotSent {
        account.begin = Begin::Sent(at);
    }
}

/// Notes that an upstream's answer has begun.
fn note_begun(call: &Call, account: &mut Account, sent_at: Instant) {
    let at = match (call.target().route.kind.is_stream(), account.begin) {
        (true, _) => Instant::now(),
        (false, Begin::Sent(first)) => first,
        (false, _) => sent_at,
    };
    account.has_begun(at);
}

/// Reads the beginning of a stream, or the whole of a plain answer.
async fn read_first(call: &Call, mut rest: Rest) -> Result<(Option<Bytes>, Option<Rest>), String> {
    let is_large = rest.body.size_hint().lower() > MAX_GATHERED;
    if !call.target().route.kind.is_stream() && !is_large {
        let whole = rest.body.collect().await.map_err(|e| e.to_string())?;
        rest.conn.keep(Some(rest.idle));
        return Ok((Some(whole.to_bytes()), None));
    }
    loop {
        match rest.body.frame().await {
            None => {
                rest.done();
                return Ok((None, None));
            }
            Some(Err(e)) => return Err(e.to_string()),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok((Some(data), Some(rest)));
                }
            }
        }
    }
}

/// Rank of a request among an engine's own. Engines preempt what is less urgent
/// whenever their slots are full, and a preempted answer is late for good. A tenant whose
/// requests are more or less urgent than their route's goes before or behind its like.
fn engine_priority(call: &Call, plan: &Plan) -> u8 {
    let rank = match plan.is_long {
        true => LONG_PRIORITY,
        false => SHORT_PRIORITY,
    };
    match call.priority().cmp(&call.target().route.priority) {
        Ordering::Less => rank - 1,
        Ordering::Equal => rank,
        Ordering::Greater => rank + 1,
    }
}

fn idle_time(headers: &HeaderMap) -> Duration {
    header::idle_timeout(headers).map_or(IDLE_UNNAMED, |t| t.mul_f64(IDLE_SHARE))
}

/// Builds the request for an upstream; none if it can't be built.
fn request(call: &Call, plan: &Plan, step: Phases<'_>) -> Option<Request<Body>> {
    let is_engine = call.is_engine;
    let left = call.incoming.deadline.map(|_| call.left());
    let say = UpstreamRequest {
        instance: &plan.instance,
        deadline: left.or_else(|| Some(call.left())),
        priority: is_engine.then(|| engine_priority(call, plan)),
        last_event_id: call.last_event,
        tenancy: call.tenancy(),
        fetch_from: plan.fetch_from,
        phases: step,
    };
    let mut req = Request::new(full(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.path.clone();
    *req.headers_mut() = header::upstream_request_headers(&call.headers, &say);
    Some(req)
}

/// Notes an answer's first byte in what is known of the upstream.
fn measured(gateway: &Arc<Gateway>, call: &Call, plan: &Plan, took: Duration) {
    let ms = took.as_secs_f64() * 1000.0;
    let mut fleet = gateway.fleet();
    let Some(upstream) = fleet.get_mut(plan.key) else {
        return;
    };
    upstream.health.record_success();
    if !call.is_engine {
        return;
    }
    let service = upstream.service;
    let slowdown = upstream.slowdown.factor();
    let speed = fleet.speed_mut(service, plan.task);
    let estimate = speed.estimate(plan.inputs.work);
    speed.sample(plan.inputs.work, ms / slowdown);
    if let Some(upstream) = fleet.get_mut(plan.key) {
        upstream.slowdown.sample(ms, estimate);
    }
}

/// Notes that an upstream has answered a request that was sent at a time.
fn lives(gateway: &Arc<Gateway>, plan: &Plan, sent_at: Instant) {
    if let Some(upstream) = gateway.fleet().get_mut(plan.key) {
        upstream.lived_at = upstream.lived_at.max(Some(sent_at));
    }
}

/// Notes a failure of an upstream.
pub fn failed(gateway: &Arc<Gateway>, plan: &Plan, weight: f64) {
    let mut fleet = gateway.fleet();
    let Some(upstream) = fleet.get_mut(plan.key) else {
        return;
    };
    if let Some(suspended) = upstream.health.record_failure(weight, Instant::now()) {
        upstream.pool.close_idle();
        emit(&Event::UpstreamSuspended {
            upstream: &plan.instance,
            failures: suspended.failure_rate,
            for_ms: suspended.duration.as_millis() as u64,
        });
    }
}

fn tell_bad(call: &Call, plan: &Plan, why: String) {
    emit(&Event::BadAnswer {
        request: call.incoming.id.clone(),
        upstream: &plan.instance,
        why,
    });
}
