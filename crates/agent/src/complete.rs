//! A completion by the engine.

use crate::attempt::{End, Try};
use engine::client::Token;
use engine::dialect::CompletionBody;
use engine::{EngineError, Stream};
use net::CallError;
use std::time::Instant;
use wire::{Completion, Part, Reason, Refusal, prefix};

/// Runs a completion and sends its tokens.
pub async fn complete(t: &mut Try<'_>, c: &Completion, model: &str) -> End {
    let hashes = prefix::hashes(c.prompt.as_bytes());
    let cached = t.agent.prefixes.cached(&hashes);
    let body = CompletionBody {
        // With the try's number, so that a late chunk of an earlier try is foreign.
        request_id: format!("{}-{}", t.cx.request, t.cx.attempt),
        model: model.to_owned(),
        prompt: c.prompt.clone(),
        max_tokens: c.max_tokens,
        priority: t.class.urgency,
        resume_from: c.resume_from,
        stream: true,
    };
    let begun = Instant::now();
    let idle = t.agent.node.settings.limits.idle_timeout;
    let started = tokio::time::timeout(idle, t.agent.engine.complete(&body)).await;
    let mut stream = match started {
        Ok(Ok(stream)) => stream,
        Ok(Err(EngineError::Call(CallError::NotSent(why)))) => {
            t.bad_answer(why);
            return End::Refused(Refusal::not_run(Reason::UpstreamBroken));
        }
        Ok(Err(EngineError::Refused(_))) => {
            return End::Refused(Refusal::not_run(Reason::NotReady));
        }
        Ok(Err(e)) => return broken(t, &e.to_string()),
        Err(_) => return broken(t, "no answer in time"),
    };
    let end = pass_on(t, c, &mut stream).await;
    if let Some(first) = t.times.first {
        // Only what the engine itself took counts for its rates.
        let first_ms = (first.saturating_sub(t.times.queue)).as_secs_f64() * 1000.0;
        let total_ms = begun.elapsed().as_secs_f64() * 1000.0;
        t.agent.prefixes.add(&hashes);
        t.agent
            .rates
            .learn_read(c.prompt.len().saturating_sub(cached), first_ms);
        if let End::Answered(count) = end {
            let written = (count as u32).saturating_sub(c.resume_from + 1);
            t.agent.rates.learn_write(written, total_ms - first_ms);
        }
    }
    end
}

async fn pass_on(t: &mut Try<'_>, c: &Completion, stream: &mut Stream) -> End {
    let idle = t.agent.node.settings.limits.idle_timeout;
    let mut count = c.resume_from;
    loop {
        match tokio::time::timeout(idle, stream.next()).await {
            Ok(Ok(Token::Text(text))) => {
                t.first_byte();
                count += 1;
                if t.frames.send(Part::Token(text)).await.is_err() {
                    return End::Gone;
                }
            }
            Ok(Ok(Token::End(n))) if n == count => return End::Answered(u64::from(n)),
            Ok(Ok(Token::End(_))) => return broken(t, "count of tokens is off"),
            Ok(Err(e)) => return broken(t, &e.to_string()),
            Err(_) => return broken(t, "no token in time"),
        }
    }
}

fn broken(t: &Try<'_>, why: &str) -> End {
    t.bad_answer(why.to_owned());
    End::Broken
}
