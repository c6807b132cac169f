//! Sends a request to one upstream and waits for the first bytes of the answer.

mod split;

use crate::account::Account;
use crate::answer::Reason;
use crate::choose::{Plan, Requirements};
use crate::completeness::{BodyMonitor, Completeness, Framing};
use crate::crashes::broken::connection_broke;
use crate::crashes::unanswered;
use crate::fleet::UpstreamKey;
use crate::fleet::latency::Task;
use crate::monotonic;
use crate::quota::Grant;
use crate::serve::Call;
use crate::state::{Gateway, LoadGuard};
use crate::statements;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_ENCODING, HeaderMap};
use hyper::{Request, StatusCode};
use net::h1::PooledConnection;
use net::{Body, BufferBudget, CallError, full};
use observe::{Event, emit};
use origins::NameHash;
use platform::header::{self, Phases, UpstreamRequest};
use split::attempt_split;
use std::cmp::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Size up to which a plain answer is buffered completely, in bytes. Larger ones are streamed.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Size up to which a plain answer is buffered completely if the exit of the process could cut it
/// off, in bytes. Larger ones are rejected.
const MAX_BUFFERED_BYTES_IN_STOP: usize = 4 << 20;
/// Fraction of the upstream's idle timeout for which an idle connection is reused. A request on a
/// connection that is being closed may be lost, and it is then unknown whether it has run.
const IDLE_FRACTION: f64 = 0.5;
/// Time for which an idle connection is reused if the upstream names no timeout.
const DEFAULT_IDLE: Duration = Duration::from_millis(400);
/// Priorities of requests with long and short answers within an engine.
const LONG_PRIORITY: u8 = 2;
const SHORT_PRIORITY: u8 = 4;
/// Weights of a lost request and of a server error in the upstream's health. Some services answer
/// one in seven requests with an error, and must not be suspended for it.
const LOST_REQUEST_WEIGHT: f64 = 0.25;
const ERROR_ANSWER_WEIGHT: f64 = 0.06;

/// How a request failed at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened, or it was closed before the request was sent.
    NotConnected,
    /// The connection broke before the end of the answer.
    BrokenOff,
    /// The upstream reported that it didn't run the request.
    Rejected,
    /// The answer is invalid, or belongs to another request.
    InvalidAnswer,
    /// No first byte came in time.
    NoAnswer,
    /// The upstream answered with a server error.
    ErrorAnswer,
}

impl Failure {
    /// Weight in the upstream's health, from 0 to 1.
    fn weight(self) -> f64 {
        match self {
            Self::ErrorAnswer => ERROR_ANSWER_WEIGHT,
            Self::NotConnected
            | Self::BrokenOff
            | Self::Rejected
            | Self::InvalidAnswer
            | Self::NoAnswer => LOST_REQUEST_WEIGHT,
        }
    }

    /// Name in logs.
    fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not connected",
            Self::BrokenOff => "broken off",
            Self::Rejected => "rejected",
            Self::InvalidAnswer => "invalid answer",
            Self::NoAnswer => "no answer",
            Self::ErrorAnswer => "server error",
        }
    }
}

/// An answer whose first bytes have arrived.
#[derive(Debug)]
pub struct StartedAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers as received from the upstream.
    pub headers: HeaderMap,
    /// First bytes of the body; `None` if it is empty.
    pub first: Option<Bytes>,
    /// Rest of the body; `None` if `first` is complete.
    pub rest: Option<BodyRest>,
    /// Monitor of the body, after `first`.
    pub monitor: BodyMonitor,
    /// Software version of the upstream.
    pub version: NameHash,
    /// The request's load on the upstream, released when the answer ends.
    pub load: LoadGuard,
}

/// Rest of an answer's body, with its connection.
#[derive(Debug)]
pub struct BodyRest {
    /// The body.
    pub body: Incoming,
    conn: PooledConnection,
    idle: Duration,
}

impl BodyRest {
    /// Returns the connection to the pool. Must be called only after the end of the body.
    pub fn finish(self) {
        drop(self.body);
        self.conn.release(Some(self.idle));
    }
}

/// How an answer is sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// While it is received from the upstream, from its first bytes on.
    Streamed,
    /// Once it is complete, or as a stream if it is larger than [`MAX_BUFFERED_BYTES`].
    Buffered,
    /// Once it is complete, as the exit of the process could cut off a stream. It is rejected if it
    /// is larger than [`MAX_BUFFERED_BYTES_IN_STOP`].
    Complete,
}

impl Delivery {
    fn of(call: &Call) -> Self {
        match call.target().route.kind.is_stream() {
            true => Self::Streamed,
            false if call.may_be_cut_off() => Self::Complete,
            false => Self::Buffered,
        }
    }

    /// Number of bytes that are buffered at most before the answer is streamed or rejected. A
    /// chunk that exceeds it is added to them.
    fn buffer_limit(self) -> usize {
        match self {
            Self::Streamed => 0,
            Self::Buffered => MAX_BUFFERED_BYTES,
            Self::Complete => MAX_BUFFERED_BYTES_IN_STOP,
        }
    }
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The answer has begun.
    Started(Box<StartedAnswer>),
    /// The upstream has not run the request, and will not.
    NotRun(NotRun),
    /// The upstream may have run the request. Contains the error.
    Unknown(String),
}

/// Reason why an upstream has not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// Nothing was sent.
    NotSent,
    /// The upstream reported that it did not run the request.
    Rejected,
    /// The prefill failed, or its KV cache is not available.
    PrefillFailed,
    /// The prefill succeeded, but the process ends before the answer would.
    NoTime,
    /// The request may no longer be sent to any upstream.
    Blocked(Reason),
}

impl NotRun {
    fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::Rejected => "rejected",
            Self::PrefillFailed => "prefill failed",
            Self::NoTime => "process stops before the answer would end",
            Self::Blocked(why) => why.name(),
        }
    }
}

/// Sends a request according to a plan. Cancels it at the upstream if dropped.
pub async fn attempt(
    call: &Call,
    account: &mut Account,
    plan: &Plan,
    requirements: &Requirements<'_>,
) -> AttemptResult {
    let since = monotonic::now();
    account.upstream = Some(plan.instance.clone());
    account.software_version = plan.software_version.clone();
    account.last_sent_to = Some(plan.sent_to());
    account.inputs = call.is_engine.then_some(plan.inputs);
    let result = if plan.task == Task::Prefill {
        attempt_split(call, account, plan, requirements).await
    } else {
        send_to(call, account, plan, Phases::Both).await
    };
    let (outcome, why) = match &result {
        AttemptResult::Started(_) => return result,
        AttemptResult::NotRun(why) => ("not_run", why.name()),
        AttemptResult::Unknown(why) => ("unknown", why.as_str()),
    };
    log_failed_attempt(account, outcome, why, monotonic::elapsed(since));
    result
}

/// Logs an attempt without an answer.
pub fn log_failed_attempt(account: &Account, outcome: &str, why: &str, took: Duration) {
    emit(&Event::AttemptFailed {
        request: &account.id,
        attempt: account.attempts,
        upstream: account.upstream.as_deref().unwrap_or_default(),
        outcome,
        why,
        ms: took.as_millis() as u64,
    });
}

/// Records that an engine prefills the request's prompt.
fn record_parts(call: &Call, plan: &Plan) {
    let parts = &call.parsed_headers.prompt_parts;
    call.gateway
        .fleet()
        .record_parts(plan.key, parts, monotonic::now());
}

/// Sends the whole request to an upstream.
pub async fn send_to(
    call: &Call,
    account: &mut Account,
    plan: &Plan,
    phases: Phases<'_>,
) -> AttemptResult {
    let gateway = &call.gateway;
    let load = gateway.add_load(plan.key, plan.inputs.uncached, plan.is_long);
    account.send_permit = None;
    if call.is_engine && plan.task == Task::Generate {
        record_parts(call, plan);
    }
    let since = monotonic::now();
    let Some(req) = build_request(call, plan, phases) else {
        return AttemptResult::NotRun(NotRun::NotSent);
    };
    let could_have_run = std::mem::replace(&mut account.may_have_run, true);
    let usage = account.usage;
    // A plain request counts from when it is sent, even if its answer is lost; a stream counts
    // from its first event.
    if !call.target().route.kind.is_stream() {
        account.open_usage();
    }
    let watch = unanswered::watch_trial(call, account);
    let grant = account.commit_request();
    let response = match plan.pool.send_once(req).await {
        Ok(response) => response,
        Err(CallError::NotSent(_)) => {
            watch.cancel();
            account.may_have_run = could_have_run;
            account.undo_usage(usage);
            grant.into_iter().for_each(Grant::refund);
            record_failure(gateway, plan, Failure::NotConnected);
            return AttemptResult::NotRun(NotRun::NotSent);
        }
        Err(CallError::MaybeSent(why)) => {
            account.attempts += 1;
            connection_broke(call, account);
            record_failure(gateway, plan, Failure::BrokenOff);
            return AttemptResult::Unknown(why);
        }
    };
    account.attempts += 1;
    let (res, conn) = response.into_parts();
    let (head, body) = res.into_parts();
    let upstream_response = header::parse_upstream_response(&head.headers, &call.parsed_headers.id);
    if !upstream_response.id_matches {
        record_failure(gateway, plan, Failure::InvalidAnswer);
        return AttemptResult::Unknown(format!("{} without this request's id", head.status));
    }
    let idle = idle_time(&head.headers);
    // Another upstream may have answered that the request isn't meant for it.
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        statements::record(gateway, plan, head.status, &upstream_response, since);
        record_alive(gateway, plan, since);
    }
    if upstream_response.not_executed || head.status == StatusCode::MISDIRECTED_REQUEST {
        // NB: the body of a rejection is short; the connection is kept only if the body has
        // already arrived.
        if body.is_end_stream() {
            conn.release(Some(idle));
        }
        watch.cancel();
        account.may_have_run = could_have_run;
        account.undo_usage(usage);
        if call.is_engine || head.status == StatusCode::MISDIRECTED_REQUEST {
            record_failure(gateway, plan, Failure::Rejected);
        } else {
            record_full(gateway, plan);
        }
        return AttemptResult::NotRun(NotRun::Rejected);
    }
    let is_bad = !upstream_response.is_signed || head.headers.contains_key(CONTENT_ENCODING);
    if head.status.is_success() && is_bad {
        record_failure(gateway, plan, Failure::InvalidAnswer);
        return AttemptResult::Unknown("success status without a response signature".into());
    }
    let framing = Framing::of(&head.headers, &body);
    let is_stream = call.target().route.kind.is_stream();
    let mut monitor = BodyMonitor::new(framing, is_stream, head.status, &head.headers);
    let rest = BodyRest { body, conn, idle };
    let read = read_first(&gateway.buffer_budget, Delivery::of(call), rest).await;
    let read = read.and_then(|(first, rest)| {
        monitor
            .push(first.as_deref().unwrap_or_default())
            .map_err(|e| e.to_string())?;
        match monitor.completeness() {
            Completeness::BrokenOff(why) if rest.is_none() => Err(why.message().to_owned()),
            _ => Ok((first, rest)),
        }
    });
    let (first, rest) = match read {
        Ok(read) => read,
        Err(why) => {
            connection_broke(call, account);
            record_failure(gateway, plan, Failure::BrokenOff);
            return AttemptResult::Unknown(why);
        }
    };
    if head.status.is_server_error() {
        record_failure(gateway, plan, Failure::ErrorAnswer);
    } else {
        record_first_byte(gateway, call, plan, monotonic::elapsed(since));
    }
    let mut load = load;
    load.first_byte_received();
    account.count_usage();
    AttemptResult::Started(Box::new(StartedAnswer {
        status: head.status,
        headers: head.headers,
        first,
        rest,
        monitor,
        version: plan.version,
        load,
    }))
}

/// Reads the first bytes of an answer, or its complete body if it is buffered. The size of a body
/// isn't known before its end unless the head names a length. An answer that exceeds the memory
/// budget is streamed or rejected, like one that is over the size limit.
async fn read_first(
    budget: &BufferBudget,
    delivery: Delivery,
    mut rest: BodyRest,
) -> Result<(Option<Bytes>, Option<BodyRest>), String> {
    let limit = delivery.buffer_limit();
    let named_size = usize::try_from(rest.body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut first = budget.buffer();
    let mut has_room = true;
    loop {
        let size = first.len().max(named_size);
        if size > limit && delivery == Delivery::Complete {
            return Err(format!(
                "answer of {size} bytes or more while stopping, limit {limit}"
            ));
        }
        if (size > limit || !has_room) && !first.is_empty() {
            return Ok((Some(first.freeze()), Some(rest)));
        }
        match rest.body.frame().await {
            None => {
                rest.finish();
                return Ok((Some(first.freeze()).filter(|data| !data.is_empty()), None));
            }
            Some(Err(e)) => return Err(e.to_string()),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                has_room = first.push(&data).is_ok();
                if !has_room && delivery == Delivery::Complete {
                    return Err("no memory left to buffer the answer while stopping".into());
                }
                if !has_room {
                    first.push_over_limit(&data);
                }
            }
        }
    }
}

/// Priority of a request within an engine. When their slots are full, engines preempt less urgent
/// requests, whose answers are then late. Requests of a tenant whose priority differs from
/// the route's are ranked before or after others with answers of the same length.
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
    header::idle_timeout(headers).map_or(DEFAULT_IDLE, |t| t.mul_f64(IDLE_FRACTION))
}

/// Builds the request for an upstream; `None` if that fails.
fn build_request(call: &Call, plan: &Plan, phases: Phases<'_>) -> Option<Request<Body>> {
    let is_engine = call.is_engine;
    let left = call.parsed_headers.deadline.map(|_| call.time_left());
    let upstream_request = UpstreamRequest {
        instance: &plan.instance,
        deadline: left.or_else(|| Some(call.time_left())),
        priority: is_engine.then(|| engine_priority(call, plan)),
        last_event_id: call.last_event,
        tenancy: call.tenancy(),
        fetch_from: plan.fetch_from,
        phases,
    };
    let mut req = Request::new(full(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.path.clone();
    *req.headers_mut() = header::upstream_request_headers(&call.headers, &upstream_request);
    Some(req)
}

/// Updates the upstream's health, and for an engine its latency model and slowdown.
fn record_first_byte(gateway: &Arc<Gateway>, call: &Call, plan: &Plan, took: Duration) {
    let ms = took.as_secs_f64() * 1000.0;
    let mut fleet = gateway.fleet();
    let Some(upstream) = fleet.get_mut(plan.key) else {
        return;
    };
    upstream.health.record_success();
    match call.is_engine {
        true => fleet.record_first_byte(plan.key, plan.task, plan.inputs.backlog, ms),
        false => upstream.saturation.record_answer(),
    }
}

/// Records that an upstream has answered a request sent at the given time, and so was alive.
fn record_alive(gateway: &Arc<Gateway>, plan: &Plan, sent_at: Instant) {
    if let Some(upstream) = gateway.fleet().get_mut(plan.key) {
        upstream.alive_at = upstream.alive_at.max(Some(sent_at));
    }
}

/// Records that a plan's upstream rejected a request as it is full.
fn record_full(gateway: &Arc<Gateway>, plan: &Plan) {
    let now = monotonic::now();
    let mut fleet = gateway.fleet();
    let Some(upstream) = fleet.get_mut(plan.key) else {
        return;
    };
    let was_limited = upstream.is_limited(now);
    upstream.saturation.record_rejection(now);
    if !was_limited {
        emit(&Event::UpstreamFull {
            upstream: &plan.instance,
            running: upstream.all_running(),
            slots: upstream.instance.slots,
        });
    }
}

/// Records a failure of a plan's upstream; see [`record_failure_at`].
pub fn record_failure(gateway: &Arc<Gateway>, plan: &Plan, failure: Failure) {
    record_failure_at(gateway, plan.key, &plan.instance, failure);
}

/// Records a failure of an upstream, and logs if it is suspended.
pub fn record_failure_at(
    gateway: &Arc<Gateway>,
    key: UpstreamKey,
    instance: &str,
    failure: Failure,
) {
    let mut fleet = gateway.fleet();
    let Some(upstream) = fleet.get_mut(key) else {
        return;
    };
    if let Some(suspended) = upstream
        .health
        .record_failure(failure.weight(), monotonic::now())
    {
        upstream.pool.close_idle();
        emit(&Event::UpstreamSuspended {
            upstream: instance,
            why: failure.name(),
            failures: suspended.failure_rate,
            for_ms: suspended.duration.as_millis() as u64,
        });
    }
}

fn log_bad_answer(call: &Call, plan: &Plan, why: String) {
    emit(&Event::BadAnswer {
        request: call.parsed_headers.id.clone(),
        upstream: &plan.instance,
        why,
    });
}
