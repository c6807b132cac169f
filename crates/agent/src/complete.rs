//! Runs completions on the engine.

use crate::attempt::{Attempt, AttemptResult};
use engine::client::CompletionEvent;
use engine::protocol::CompletionBody;
use engine::{CompletionStream, EngineError};
use net::CallError;
use std::time::Instant;
use wire::{Completion, Part, Reason, Refusal, prefix};

/// Runs a completion and forwards its tokens.
pub async fn complete(attempt: &mut Attempt<'_>, c: &Completion, model: &str) -> AttemptResult {
    let hashes = prefix::hashes(c.prompt.as_bytes());
    let cached_bytes = attempt.agent.prefixes.cached_len(&hashes);
    let body = CompletionBody {
        // Contains the attempt number so that late chunks of an earlier attempt are recognized.
        request_id: format!("{}-{}", attempt.cx.request, attempt.cx.attempt),
        model: model.to_owned(),
        prompt: c.prompt.clone(),
        max_tokens: c.max_tokens,
        priority: attempt.class.urgency,
        resume_from: c.resume_from,
        stream: true,
    };
    let started_at = Instant::now();
    let idle = attempt.agent.node.settings.limits.idle_timeout;
    let started = tokio::time::timeout(idle, attempt.agent.engine.complete(&body)).await;
    let mut stream = match started {
        Ok(Ok(stream)) => stream,
        Ok(Err(EngineError::Call(CallError::NotSent(why)))) => {
            attempt.log_bad_answer(why);
            return AttemptResult::Refused(Refusal::not_run(Reason::UpstreamBroken));
        }
        Ok(Err(EngineError::Refused(_))) => {
            return AttemptResult::Refused(Refusal::not_run(Reason::NotReady));
        }
        Ok(Err(e)) => return broken(attempt, &e.to_string()),
        Err(_) => return broken(attempt, "response timed out"),
    };
    let result = forward_tokens(attempt, c, &mut stream).await;
    if let Some(first) = attempt.times.first_byte {
        // Time in the queue is excluded, since the rates describe the engine alone.
        let first_byte_ms = (first.saturating_sub(attempt.times.queue)).as_secs_f64() * 1000.0;
        let total_ms = started_at.elapsed().as_secs_f64() * 1000.0;
        attempt.agent.prefixes.add(&hashes);
        attempt
            .agent
            .rates
            .record_prefill(c.prompt.len().saturating_sub(cached_bytes), first_byte_ms);
        if let AttemptResult::Answered(count) = result {
            let written = (count as u32).saturating_sub(c.resume_from + 1);
            attempt
                .agent
                .rates
                .record_decode(written, total_ms - first_byte_ms);
        }
    }
    result
}

async fn forward_tokens(
    attempt: &mut Attempt<'_>,
    c: &Completion,
    stream: &mut CompletionStream,
) -> AttemptResult {
    let idle = attempt.agent.node.settings.limits.idle_timeout;
    let mut count = c.resume_from;
    loop {
        match tokio::time::timeout(idle, stream.next()).await {
            Ok(Ok(CompletionEvent::Text(text))) => {
                attempt.record_first_byte();
                count += 1;
                if attempt.frames.send(Part::Token(text)).await.is_err() {
                    return AttemptResult::EntryGone;
                }
            }
            Ok(Ok(CompletionEvent::End(n))) if n == count => {
                return AttemptResult::Answered(u64::from(n));
            }
            Ok(Ok(CompletionEvent::End(_))) => return broken(attempt, "token count mismatch"),
            Ok(Err(e)) => return broken(attempt, &e.to_string()),
            Err(_) => return broken(attempt, "timed out waiting for a token"),
        }
    }
}

fn broken(attempt: &Attempt<'_>, why: &str) -> AttemptResult {
    attempt.log_bad_answer(why.to_owned());
    AttemptResult::Broken
}
