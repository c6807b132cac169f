//! Serves an attempt, from receiving the request to sending the last frame.

use crate::admission::{MIN_RETRY_MS, SlotGuard, SlotRequest};
use crate::attempt::{Attempt, AttemptResult, AttemptTimes};
use crate::complete::complete;
use crate::frames::FrameSender;
use crate::plain::call_plain;
use crate::state::Agent;
use net::{BodySender, Listener};
use observe::log_line::now_ms;
use observe::{Labels, Latency};
use records::{Record, Side};
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::InForce;
use wire::{AgentState, Call, Outcome, Part, Reason, Refusal, RequestContext, prefix};

/// Maximum wait for a document version that the entry has and this agent hasn't.
const MAX_DOC_WAIT: Duration = Duration::from_millis(500);

/// Delay between a broken connection and the check of whether the upstream has exited. When the
/// process exits, its other sockets close within this time.
const EXIT_CHECK_DELAY: Duration = Duration::from_millis(50);

/// Maximum wait for a new host list after this process was paused.
const MAX_HOST_LIST_WAIT: Duration = Duration::from_secs(1);

/// Serves an attempt in its own task.
pub async fn serve(agent: Arc<Agent>, cx: RequestContext, call: Call, tx: BodySender) {
    let _running = agent.node.begin_request();
    let received_at = Instant::now();
    let mut frames = FrameSender::new(tx, cx.request, agent.node.settings.limits.idle_timeout);
    let mut times = AttemptTimes::default();
    let result = match check_request(&agent, &cx).await {
        Ok(doc) => match doc.doc.class_by_name(&cx.class) {
            Some(id) => {
                let class = doc.doc.class(id);
                let (doc, frames, times) = (&doc, &mut frames, &mut times);
                let attempt = Attempt {
                    agent: &agent,
                    cx: &cx,
                    doc,
                    class,
                    frames,
                    times,
                    received_at,
                };
                admit_and_run(attempt, call).await
            }
            None => AttemptResult::Refused(Refusal::not_run(Reason::UnknownClass)),
        },
        Err(refusal) => AttemptResult::Refused(refusal),
    };
    let result = check_upstream_exit(&agent, result, received_at + times.queue).await;
    // Recorded before the last frame, so that the record exists when the caller has the response.
    record_result(&agent, &cx, result, times, received_at);
    match result {
        AttemptResult::Answered(count) => frames.end(count).await,
        AttemptResult::Refused(refusal) => frames.refuse(refusal).await,
        AttemptResult::Broken => frames.broken().await,
        AttemptResult::UpstreamEnded(exit_id) => frames.upstream_ended(exit_id).await,
        AttemptResult::EntryGone => {}
    }
}

/// Checks whether a response broke off because the upstream process exited. Such exits are counted
/// against the request and decide whether it is sent to another upstream.
async fn check_upstream_exit(
    agent: &Agent,
    result: AttemptResult,
    sent_at: Instant,
) -> AttemptResult {
    let is_broken = match result {
        AttemptResult::Broken => true,
        AttemptResult::Refused(r) => {
            r.outcome == Outcome::Unknown && r.reason == Reason::UpstreamBroken
        }
        AttemptResult::Answered(_) | AttemptResult::UpstreamEnded(_) | AttemptResult::EntryGone => {
            false
        }
    };
    if !is_broken {
        return result;
    }
    tokio::time::sleep(EXIT_CHECK_DELAY).await;
    if agent.plain.probe().await != Listener::Absent {
        return result;
    }
    AttemptResult::UpstreamEnded(agent.exits.record_exit(&agent.node.id, sent_at))
}

/// Checks that this agent may serve the request, and returns the document to serve it under.
async fn check_request(agent: &Agent, cx: &RequestContext) -> Result<InForce, Refusal> {
    if cx.service != agent.service {
        return Err(Refusal::not_run(Reason::UnknownService));
    }
    let documents = &agent.node.documents;
    documents.note_version(&cx.service, cx.doc_version);
    // Nothing runs until the document version used by the entry is in force here too.
    if !documents
        .wait_for_version(&cx.service, cx.doc_version, MAX_DOC_WAIT)
        .await
    {
        return Err(Refusal::not_run(Reason::NotReady));
    }
    // If this process was paused, its host may have started to leave in the meantime.
    agent
        .node
        .leaving
        .wait_for_poll_after_pause(MAX_HOST_LIST_WAIT)
        .await;
    match agent.state() {
        AgentState::Ready => agent.doc().ok_or(Refusal::not_run(Reason::NotReady)),
        AgentState::Starting => Err(Refusal::not_run(Reason::NotReady)),
        AgentState::Leaving => Err(Refusal::not_run(Reason::Leaving).retry_in(MIN_RETRY_MS)),
    }
}

async fn admit_and_run(mut attempt: Attempt<'_>, call: Call) -> AttemptResult {
    let entry_gone = attempt.frames.watcher();
    let slot = tokio::select! {
        // Checked first: a request that its entry has given up must not start, for example after
        // this process was paused.
        biased;
        () = entry_gone.closed() => return AttemptResult::EntryGone,
        slot = admit(&attempt, &call) => slot,
    };
    let slot = match slot {
        Ok(slot) => slot,
        Err(refusal) => return AttemptResult::Refused(refusal),
    };
    attempt.times.queue = attempt.received_at.elapsed();
    let queue_ms = attempt.times.queue.as_millis() as u64;
    if attempt
        .frames
        .send(Part::Started { queue_ms })
        .await
        .is_err()
    {
        return AttemptResult::EntryGone;
    }
    let node = &attempt.agent.node;
    let is_idempotent = attempt.class.idempotent;
    let result = tokio::select! {
        // Checked first: a result that is ready is sent even if the process is about to exit.
        biased;
        result = run(&mut attempt, &call) => result,
        // A non-idempotent call continues without its caller, as its response is stored for a
        // repeat of the key.
        () = entry_gone.closed(), if is_idempotent => AttemptResult::EntryGone,
        () = node.drain_ended() => AttemptResult::Refused(Refusal::unknown(Reason::ProcessEnds)),
    };
    drop(slot);
    result
}

async fn admit(attempt: &Attempt<'_>, call: &Call) -> Result<SlotGuard, Refusal> {
    let cached_bytes = match call {
        Call::Completion(c) => attempt
            .agent
            .prefixes
            .cached_len(&prefix::hashes(c.prompt.as_bytes())),
        Call::Plain(_) => 0,
    };
    let reserved_time = max_duration(call, attempt.agent.node.settings.limits.idle_timeout);
    let slot_request = SlotRequest {
        class: attempt.class,
        tenant: &attempt.cx.tenant,
        limits: attempt.doc.doc.tenants,
        cost: attempt.agent.rates.cost(attempt.class, call, cached_bytes),
        deadline: attempt.received_at + Duration::from_millis(attempt.cx.deadline_ms),
        must_end_by: attempt
            .cx
            .ends_ms
            .map(|ms| Duration::from_millis(ms).saturating_sub(reserved_time))
            .map(|left| attempt.received_at + left),
    };
    attempt.agent.admission.admit(slot_request).await
}

/// Maximum time that a call can take at the upstream without being broken off by the idle timeout.
/// The measured speed isn't used, as the upstream may be slower this time.
fn max_duration(call: &Call, idle_timeout: Duration) -> Duration {
    let waits = match call {
        // For the head, each token and the end.
        Call::Completion(c) => c.max_tokens.saturating_sub(c.resume_from).saturating_add(2),
        Call::Plain(_) => 1,
    };
    idle_timeout.saturating_mul(waits)
}

async fn run(attempt: &mut Attempt<'_>, call: &Call) -> AttemptResult {
    match (call, &attempt.doc.doc.kind) {
        (Call::Completion(c), conf::Kind::Engine(model)) => {
            let model = model.name.clone();
            complete(attempt, c, &model).await
        }
        (Call::Plain(p), conf::Kind::Plain) => call_plain(attempt, p).await,
        _ => AttemptResult::Refused(Refusal::not_run(Reason::BadRequest)),
    }
}

fn record_result(
    agent: &Agent,
    cx: &RequestContext,
    result: AttemptResult,
    times: AttemptTimes,
    received_at: Instant,
) {
    let total = received_at.elapsed();
    let (outcome, reason, count) = match result {
        AttemptResult::Answered(count) => (Outcome::Answered, None, count),
        AttemptResult::Refused(r) => (r.outcome, Some(r.reason), 0),
        AttemptResult::Broken => (Outcome::Unknown, Some(Reason::UpstreamBroken), 0),
        AttemptResult::UpstreamEnded(_) => (Outcome::Unknown, Some(Reason::UpstreamEnded), 0),
        AttemptResult::EntryGone => (Outcome::Unknown, Some(Reason::CallerGone), 0),
    };
    let labels = Labels {
        service: &cx.service,
        class: &cx.class,
        tenant: &cx.tenant,
    };
    let metrics = &agent.node.metrics;
    let reason_text = reason.map(|r| r.to_string()).unwrap_or_default();
    metrics.count_request(labels, &outcome.to_string(), &reason_text);
    metrics.observe_latency(labels, Latency::Queue, times.queue.as_secs_f64());
    metrics.observe_latency(labels, Latency::Total, total.as_secs_f64());
    if let Some(first) = times.first_byte {
        metrics.observe_latency(labels, Latency::FirstByte, first.as_secs_f64());
    }
    agent.node.recorder.record(Record {
        request: cx.request,
        side: Side::Agent,
        service: cx.service.clone(),
        tenant: cx.tenant.clone(),
        class: cx.class.clone(),
        outcome,
        reason,
        upstream: Some(agent.upstream.clone()),
        attempts: cx.attempt,
        queue_ms: times.queue.as_millis() as u64,
        first_ms: times.first_byte.map(|d| d.as_millis() as u64),
        total_ms: total.as_millis() as u64,
        deadline_ms: cx.deadline_ms,
        count,
        ended_ms: now_ms(),
    });
}
