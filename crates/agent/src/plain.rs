//! Runs calls to a plain service.
//!
//! The whole response is read before its first byte is sent to the entry, so the caller receives
//! either a complete response or a typed refusal.

use crate::attempt::{Attempt, AttemptResult};
use crate::claims::{ClaimResult, HeldClaim};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use net::h1::PooledResponse;
use net::{Body, CallError, full};
use observe::log_line::now_ms;
use std::time::{Duration, Instant};
use store::rows::{Claim, ClaimState, KeptAnswer, claim_key};
use wire::{Part, PlainCall, Reason, Refusal};
use xxhash_rust::xxh3::xxh3_64;

/// Delays before a key that is in use is checked again.
const KEY_IN_USE_DELAYS: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(250),
];
/// Maximum size of the body part in a frame, in bytes.
const MAX_BODY_FRAME: usize = 64 << 10;

/// A complete response of the upstream.
struct UpstreamResponse {
    status: u16,
    content_type: Option<String>,
    body: Bytes,
}

/// Runs a plain call and sends its response.
pub async fn call_plain(attempt: &mut Attempt<'_>, call: &PlainCall) -> AttemptResult {
    if attempt.class.idempotent {
        return match call_upstream(attempt, call).await {
            Ok(response) => send_response(attempt, &response, false).await,
            Err(CallError::NotSent(why)) => {
                attempt.log_bad_answer(why);
                AttemptResult::Refused(Refusal::not_run(Reason::UpstreamBroken))
            }
            Err(CallError::MaybeSent(why)) => {
                attempt.log_bad_answer(why);
                AttemptResult::Broken
            }
        };
    }
    match claim_call(attempt, call).await {
        ClaimResult::Won(held) => run_claimed(attempt, call, held).await,
        ClaimResult::Kept(kept) => {
            let KeptAnswer {
                status,
                content_type,
                body,
            } = kept;
            send_response(
                attempt,
                &UpstreamResponse {
                    status,
                    content_type,
                    body: Bytes::from(body),
                },
                true,
            )
            .await
        }
        ClaimResult::InUse => AttemptResult::Refused(Refusal::unknown(Reason::KeyInUse)),
        ClaimResult::OtherCall => AttemptResult::Refused(Refusal::not_run(Reason::BadRequest)),
        ClaimResult::Unavailable => {
            AttemptResult::Refused(Refusal::not_run(Reason::ClaimUnavailable))
        }
    }
}

/// Claims the key of a call. If the first call with this key is still running, waits briefly, so
/// that an immediate repeat gets the response instead of `unknown`.
async fn claim_call(attempt: &Attempt<'_>, call: &PlainCall) -> ClaimResult {
    let key = claim_key(
        &attempt.cx.service,
        &attempt.cx.tenant,
        &idempotency_key(attempt, call),
    );
    let try_claim = || {
        attempt.agent.claims.claim(
            key.clone(),
            new_claim(attempt, call),
            attempt.cx.none_has_run,
        )
    };
    let mut claimed = try_claim().await;
    for delay in KEY_IN_USE_DELAYS {
        if claimed != ClaimResult::InUse {
            break;
        }
        tokio::time::sleep(delay).await;
        claimed = try_claim().await;
    }
    claimed
}

/// Key to claim: the idempotency key sent by the caller, or else the request id.
fn idempotency_key(attempt: &Attempt<'_>, call: &PlainCall) -> String {
    match &call.key {
        Some(key) => format!("key/{key}"),
        None => format!("request/{}", attempt.cx.request),
    }
}

fn new_claim(attempt: &Attempt<'_>, call: &PlainCall) -> Claim {
    let mut digest_input = format!("{} {}\n", call.method, call.path).into_bytes();
    digest_input.extend_from_slice(&call.body);
    Claim {
        request: attempt.cx.request,
        attempt: attempt.cx.attempt,
        agent: attempt.agent.claims.agent().to_owned(),
        digest: xxh3_64(&digest_input),
        state: ClaimState::Held,
        made_ms: now_ms(),
    }
}

/// Runs a call whose claim is held by this agent.
async fn run_claimed(
    attempt: &mut Attempt<'_>,
    call: &PlainCall,
    held: HeldClaim,
) -> AttemptResult {
    if !attempt.agent.may_start_call() || !completes_before_exit(attempt) {
        attempt.agent.claims.finish(held, ClaimState::Released);
        return AttemptResult::Refused(Refusal::not_run(Reason::Leaving));
    }
    match call_upstream(attempt, call).await {
        Ok(response) => {
            attempt
                .agent
                .claims
                .finish(held, answered_state(attempt, &response));
            send_response(attempt, &response, false).await
        }
        Err(CallError::NotSent(why)) => {
            attempt.log_bad_answer(why);
            attempt.agent.claims.finish(held, ClaimState::Released);
            AttemptResult::Refused(Refusal::not_run(Reason::UpstreamBroken))
        }
        // The key stays held, as the call may have taken effect.
        Err(CallError::MaybeSent(why)) => {
            attempt.log_bad_answer(why);
            AttemptResult::Refused(Refusal::unknown(Reason::UpstreamBroken))
        }
    }
}

/// Returns whether the time limit of a call that starts now expires before the entry and this
/// process exit.
fn completes_before_exit(attempt: &Attempt<'_>) -> bool {
    let node = &attempt.agent.node;
    let times_out_at = Instant::now() + node.settings.limits.idle_timeout;
    let entry_exit = attempt
        .cx
        .ends_ms
        .map(|ms| attempt.received_at + Duration::from_millis(ms));
    let exits = [entry_exit, node.stop_deadline()];
    exits.into_iter().flatten().all(|exit| times_out_at <= exit)
}

fn answered_state(attempt: &Attempt<'_>, response: &UpstreamResponse) -> ClaimState {
    let limit = attempt.agent.node.settings.limits.kept_answer;
    match std::str::from_utf8(&response.body) {
        Ok(text) if text.len() <= limit => ClaimState::Answered(KeptAnswer {
            status: response.status,
            content_type: response.content_type.clone(),
            body: text.to_owned(),
        }),
        _ => ClaimState::TooLargeToKeep,
    }
}

/// Sends the call and reads the whole response.
async fn call_upstream(
    attempt: &mut Attempt<'_>,
    call: &PlainCall,
) -> Result<UpstreamResponse, CallError> {
    let Some(req) = build_request(attempt, call) else {
        return Err(CallError::NotSent(
            "the call is not a valid HTTP request".into(),
        ));
    };
    let limits = &attempt.agent.node.settings.limits;
    let started_at = Instant::now();
    let response = async {
        // Always uses a new connection. If the upstream closed a kept connection at this moment, it
        // would be unknown whether it received the call.
        let response = attempt.agent.plain.send_on_new(req).await?;
        read_response(response, limits.body).await
    };
    let response = match tokio::time::timeout(limits.idle_timeout, response).await {
        Ok(response) => response?,
        Err(_) => return Err(CallError::MaybeSent("response timed out".into())),
    };
    attempt.agent.rates.record_plain(
        &attempt.class.name,
        started_at.elapsed().as_secs_f64() * 1000.0,
    );
    Ok(response)
}

async fn read_response(
    mut response: PooledResponse,
    limit: usize,
) -> Result<UpstreamResponse, CallError> {
    let head = &response.response;
    let status = head.status().as_u16();
    let content_type = head
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok());
    let content_type = content_type.map(str::to_owned);
    let body = Limited::new(response.response.body_mut(), limit)
        .collect()
        .await;
    let body = body
        .map_err(|e| CallError::MaybeSent(e.to_string()))?
        .to_bytes();
    Ok(UpstreamResponse {
        status,
        content_type,
        body,
    })
}

fn build_request(attempt: &Attempt<'_>, call: &PlainCall) -> Option<Request<Body>> {
    let method = Method::from_bytes(call.method.as_bytes()).ok()?;
    let mut req = Request::builder()
        .method(method)
        .uri(&call.path)
        .header(HOST, attempt.agent.plain.addr().to_string())
        .header("x-request-id", attempt.cx.request.to_string())
        .header("x-tenant", &attempt.cx.tenant);
    if let Some(content_type) = &call.content_type {
        req = req.header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = &call.key {
        req = req.header("idempotency-key", key);
    }
    req.body(full(call.body.clone())).ok()
}

/// Sends a complete response to the entry.
async fn send_response(
    attempt: &mut Attempt<'_>,
    response: &UpstreamResponse,
    kept: bool,
) -> AttemptResult {
    attempt.record_first_byte();
    let content_type = response.content_type.clone();
    let head = Part::Head {
        status: response.status,
        content_type,
        kept,
    };
    if attempt.frames.send(head).await.is_err() {
        return AttemptResult::EntryGone;
    }
    for piece in response.body.chunks(MAX_BODY_FRAME) {
        if attempt
            .frames
            .send(Part::Body(piece.to_vec()))
            .await
            .is_err()
        {
            return AttemptResult::EntryGone;
        }
    }
    AttemptResult::Answered(response.body.len() as u64)
}
