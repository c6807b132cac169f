//! A prompt that is read at one engine, and whose answer another generates.

use super::{
    LOST_WEIGHT, NotRun, Tried, attempt_at, failed, idle_time, lives, measured, note_parts,
    request, tell_bad, tell_failed,
};
use crate::account::Account;
use crate::choose::{Choice, Need, Plan, choose_generator};
use crate::crashes::broken::connection_broke;
use crate::crashes::{self, Admission};
use crate::serve::Call;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, StatusCode};
use net::{CallError, Pool};
use platform::engine::Prefilled;
use platform::header::{self, Phases};
use std::time::{Duration, Instant};

/// Largest answer to a prefill.
const MAX_PREFILL_ANSWER: usize = 4096;
/// Engines that are asked in turn to generate from one KV cache: in the first
/// second after a crash a third of the generators may refuse connections.
const MAX_TAKERS: usize = 3;

/// Has the prompt read at one engine and the answer generated at another.
pub(super) async fn attempt_split(
    call: &Call,
    account: &mut Account,
    plan: &Plan,
    need: &Need<'_>,
) -> Tried {
    // The first time that a prompt is read is free, any other is a retry.
    let is_again = std::mem::replace(&mut account.was_prefilled, true);
    if is_again && !call.gateway.spend_retry(need.service) {
        return Tried::NotRun(NotRun::NoPrefill);
    }
    let Some(prefilled) = prefill(call, account, plan).await else {
        return Tried::NotRun(NotRun::NoPrefill);
    };
    account.read = Some(account.since.elapsed());
    let tried = take(call, account, plan, need, &prefilled).await;
    if matches!(tried, Tried::NotRun(_)) && !has_started_again(call, plan) {
        free(plan.pool.clone(), &prefilled);
    }
    tried
}

/// Whether the engine that read a prompt has started again since. What it kept is gone,
/// and the new start may have given the same handle to another prompt.
fn has_started_again(call: &Call, plan: &Plan) -> bool {
    let fleet = call.gateway.fleet();
    fleet.has_started_again(plan.key, &plan.instance)
}

/// Has the answer generated from a KV cache. An engine that doesn't take it, as one
/// that has just crashed, is passed over for the next: the prompt stays read.
async fn take(
    call: &Call,
    account: &mut Account,
    plan: &Plan,
    need: &Need<'_>,
    prefilled: &Prefilled,
) -> Tried {
    let source = prefilled.source(plan.addr);
    let mut passed_over = need.tried.to_vec();
    let mut last = Tried::NotRun(NotRun::NoPrefill);
    let mut was_rejected = false;
    for _ in 0..MAX_TAKERS {
        if has_started_again(call, plan) {
            break;
        }
        let need = Need {
            tried: &passed_over,
            ..*need
        };
        let Choice::Send(taker) = choose_generator(&call.gateway, &need, plan.key) else {
            break;
        };
        if let Admission::Held(why) = crashes::admit(call, account).await {
            return Tried::NotRun(NotRun::Held(why));
        }
        // A rejected send counts against the route's attempts and the budget.
        if was_rejected && !call.may_retry(account) {
            break;
        }
        if !call.ends_in_time(account, taker.inputs.estimate_ms) {
            return Tried::NotRun(NotRun::NoTime);
        }
        account.upstream = Some(taker.instance.clone());
        account.tried = Some(taker.sent_to());
        let since = Instant::now();
        last = attempt_at(call, account, &taker, Phases::Decode(&source)).await;
        let Tried::NotRun(why) = last else {
            break;
        };
        was_rejected = why == NotRun::Rejected;
        tell_failed(account, "not_run", why.name(), since.elapsed());
        passed_over.push(taker.key);
    }
    last
}

/// Frees a KV cache that nobody will take. It lapses by itself if this fails.
fn free(pool: Pool, prefilled: &Prefilled) {
    const TIMEOUT: Duration = Duration::from_millis(500);
    let req = Request::builder()
        .method(Method::DELETE)
        .uri(prefilled.release_path())
        .header(hyper::header::HOST, pool.addr().to_string())
        .body(net::empty());
    let Ok(req) = req else {
        return;
    };
    tokio::spawn(async move { pool.call(req, MAX_PREFILL_ANSWER, TIMEOUT).await });
}

/// Has the prompt read; none if it wasn't, as far as this process knows.
async fn prefill(call: &Call, account: &mut Account, plan: &Plan) -> Option<Prefilled> {
    let gateway = &call.gateway;
    let mut load = gateway.add_load(plan.key, plan.inputs.uncached, false);
    note_parts(call, plan);
    let since = Instant::now();
    let req = request(call, plan, Phases::Prefill)?;
    let answer = match plan.pool.send_once(req).await {
        Ok(answer) => answer,
        Err(e) => {
            if let CallError::MaybeSent(_) = e {
                connection_broke(call, account);
            }
            failed(gateway, plan, LOST_WEIGHT);
            tell_bad(call, plan, e.to_string());
            return None;
        }
    };
    let (res, conn) = answer.split();
    let (head, body) = res.into_parts();
    if head.status != StatusCode::OK
        || !header::parse_upstream_response(&head.headers, &call.incoming.id).id_matches
    {
        failed(gateway, plan, LOST_WEIGHT);
        tell_bad(call, plan, format!("prefill answered with {}", head.status));
        return None;
    }
    let body = Limited::new(body, MAX_PREFILL_ANSWER).collect().await;
    let parsed = match body {
        Ok(body) => Prefilled::parse(&body.to_bytes()).map_err(|e| e.to_string()),
        Err(e) => {
            connection_broke(call, account);
            Err(e.to_string())
        }
    };
    load.has_begun();
    match parsed {
        Ok(prefilled) => {
            lives(gateway, plan, since);
            conn.keep(Some(idle_time(&head.headers)));
            measured(gateway, call, plan, since.elapsed());
            Some(prefilled)
        }
        Err(why) => {
            failed(gateway, plan, LOST_WEIGHT);
            tell_bad(call, plan, why);
            None
        }
    }
}
