//! A call to a plain service.
//!
//! The answer is read in whole before its first byte goes back, so that a
//! caller gets all of it or a typed refusal.

use crate::attempt::{End, Try};
use crate::claims::{Claimed, Held};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use net::h1::Answer;
use net::{Body, CallError, full};
use observe::log_line::now_ms;
use std::time::{Duration, Instant};
use store::rows::{Claim, ClaimState, KeptAnswer, claim_key};
use wire::{Part, PlainCall, Reason, Refusal};
use xxhash_rust::xxh3::xxh3_64;

/// Waits before a key in use is looked at again.
const REPEAT_PAUSES: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(250),
];
/// Largest piece of an answer in one frame.
const PIECE: usize = 64 << 10;

/// An upstream's whole answer.
struct Whole {
    status: u16,
    content_type: Option<String>,
    body: Bytes,
}

/// Runs a plain call and sends its answer.
pub async fn call_plain(t: &mut Try<'_>, call: &PlainCall) -> End {
    if t.class.idempotent {
        return match send(t, call).await {
            Ok(whole) => give(t, &whole, false).await,
            Err(CallError::NotSent(why)) => {
                t.bad_answer(why);
                End::Refused(Refusal::not_run(Reason::UpstreamBroken))
            }
            Err(CallError::MaybeSent(why)) => {
                t.bad_answer(why);
                End::Broken
            }
        };
    }
    match claim(t, call).await {
        Claimed::Won(held) => run_once(t, call, held).await,
        Claimed::Kept(kept) => {
            let KeptAnswer {
                status,
                content_type,
                body,
            } = kept;
            give(
                t,
                &Whole {
                    status,
                    content_type,
                    body: Bytes::from(body),
                },
                true,
            )
            .await
        }
        Claimed::InUse => End::Refused(Refusal::unknown(Reason::KeyInUse)),
        Claimed::OtherCall => End::Refused(Refusal::not_run(Reason::BadRequest)),
        Claimed::Unavailable => End::Refused(Refusal::not_run(Reason::ClaimUnavailable)),
    }
}

/// Claims a call's key. A key whose first call still runs is waited for a little,
/// so that a caller who repeats at once gets the answer and not `unknown`.
async fn claim(t: &Try<'_>, call: &PlainCall) -> Claimed {
    let key = claim_key(&t.cx.service, &t.cx.tenant, &row_key(t, call));
    let once = || {
        t.agent
            .claims
            .claim(key.clone(), new_claim(t, call), t.cx.none_has_run)
    };
    let mut claimed = once().await;
    for pause in REPEAT_PAUSES {
        if claimed != Claimed::InUse {
            break;
        }
        tokio::time::sleep(pause).await;
        claimed = once().await;
    }
    claimed
}

/// The key under which a call is claimed: the caller's own, or the request's id.
fn row_key(t: &Try<'_>, call: &PlainCall) -> String {
    match &call.key {
        Some(key) => format!("key/{key}"),
        None => format!("request/{}", t.cx.request),
    }
}

fn new_claim(t: &Try<'_>, call: &PlainCall) -> Claim {
    let mut text = format!("{} {}\n", call.method, call.path).into_bytes();
    text.extend_from_slice(&call.body);
    Claim {
        request: t.cx.request,
        attempt: t.cx.attempt,
        agent: t.agent.claims.agent().to_owned(),
        digest: xxh3_64(&text),
        state: ClaimState::Held,
        made_ms: now_ms(),
    }
}

/// Runs a call whose key is ours.
async fn run_once(t: &mut Try<'_>, call: &PlainCall, held: Held) -> End {
    if !t.agent.may_begin() {
        t.agent.claims.close(held, ClaimState::Released);
        return End::Refused(Refusal::not_run(Reason::Leaving));
    }
    match send(t, call).await {
        Ok(whole) => {
            t.agent.claims.close(held, keep(t, &whole));
            give(t, &whole, false).await
        }
        Err(CallError::NotSent(why)) => {
            t.bad_answer(why);
            t.agent.claims.close(held, ClaimState::Released);
            End::Refused(Refusal::not_run(Reason::UpstreamBroken))
        }
        // The key stays held: nobody can tell whether the call took effect.
        Err(CallError::MaybeSent(why)) => {
            t.bad_answer(why);
            End::Refused(Refusal::unknown(Reason::UpstreamBroken))
        }
    }
}

fn keep(t: &Try<'_>, whole: &Whole) -> ClaimState {
    let limit = t.agent.node.settings.limits.kept_answer;
    match std::str::from_utf8(&whole.body) {
        Ok(text) if text.len() <= limit => ClaimState::Answered(KeptAnswer {
            status: whole.status,
            content_type: whole.content_type.clone(),
            body: text.to_owned(),
        }),
        _ => ClaimState::TooLargeToKeep,
    }
}

/// Sends the call and reads the whole answer.
async fn send(t: &mut Try<'_>, call: &PlainCall) -> Result<Whole, CallError> {
    let Some(req) = request(t, call) else {
        return Err(CallError::NotSent("the call can't be put into HTTP".into()));
    };
    let limits = &t.agent.node.settings.limits;
    let begun = Instant::now();
    let whole = async {
        // Always a new connection: on a kept one that the upstream closes just
        // now, nobody could tell whether the call was seen.
        let answer = t.agent.plain.send_fresh(req).await?;
        read(answer, limits.body).await
    };
    let whole = match tokio::time::timeout(limits.idle_timeout, whole).await {
        Ok(whole) => whole?,
        Err(_) => return Err(CallError::MaybeSent("no answer in time".into())),
    };
    t.agent
        .rates
        .learn_plain(&t.class.name, begun.elapsed().as_secs_f64() * 1000.0);
    Ok(whole)
}

async fn read(mut answer: Answer, limit: usize) -> Result<Whole, CallError> {
    let head = &answer.response;
    let status = head.status().as_u16();
    let content_type = head
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok());
    let content_type = content_type.map(str::to_owned);
    let body = Limited::new(answer.response.body_mut(), limit)
        .collect()
        .await;
    let body = body
        .map_err(|e| CallError::MaybeSent(e.to_string()))?
        .to_bytes();
    Ok(Whole {
        status,
        content_type,
        body,
    })
}

fn request(t: &Try<'_>, call: &PlainCall) -> Option<Request<Body>> {
    let method = Method::from_bytes(call.method.as_bytes()).ok()?;
    let mut req = Request::builder()
        .method(method)
        .uri(&call.path)
        .header(HOST, t.agent.plain.addr().to_string())
        .header("x-request-id", t.cx.request.to_string())
        .header("x-tenant", &t.cx.tenant);
    if let Some(kind) = &call.content_type {
        req = req.header(CONTENT_TYPE, kind);
    }
    if let Some(key) = &call.key {
        req = req.header("idempotency-key", key);
    }
    req.body(full(call.body.clone())).ok()
}

/// Sends a whole answer back.
async fn give(t: &mut Try<'_>, whole: &Whole, kept: bool) -> End {
    t.first_byte();
    let content_type = whole.content_type.clone();
    let head = Part::Head {
        status: whole.status,
        content_type,
        kept,
    };
    if t.frames.send(head).await.is_err() {
        return End::Gone;
    }
    for piece in whole.body.chunks(PIECE) {
        if t.frames.send(Part::Body(piece.to_vec())).await.is_err() {
            return End::Gone;
        }
    }
    End::Answered(whole.body.len() as u64)
}
