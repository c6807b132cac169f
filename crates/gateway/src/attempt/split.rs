//! Prefills a prompt on one engine and generates the answer on another.

use super::{
    AttemptResult, Failure, NotRun, build_request, idle_time, log_bad_answer, log_failed_attempt,
    record_alive, record_failure, record_first_byte, record_parts, send_to,
};
use crate::account::Account;
use crate::choose::{Choice, Plan, Requirements, choose_generator, choose_with_room};
use crate::crashes::broken::connection_broke;
use crate::crashes::{self, Admission};
use crate::monotonic;
use crate::quota::Grant;
use crate::serve::Call;
use crate::statements;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, StatusCode};
use net::{CallError, Pool};
use platform::engine::Prefilled;
use platform::header::{self, Phases};
use std::time::Duration;

/// Maximum size of an engine's answer to a prefill, in bytes.
const MAX_PREFILL_ANSWER: usize = 4096;
/// Maximum number of engines that are tried in turn to generate from one KV cache. In the first
/// second after a crash, a third of the generators may refuse connections.
const MAX_GENERATORS: usize = 3;

/// Prefills the prompt on the plan's engine, and generates the answer on another.
pub(super) async fn attempt_split(
    call: &Call,
    account: &mut Account,
    plan: &Plan,
    requirements: &Requirements<'_>,
) -> AttemptResult {
    // The first prefill of a request is free, others count as retries.
    let is_again = std::mem::replace(&mut account.was_prefilled, true);
    if is_again && !call.gateway.spend_retry(requirements.service) {
        return AttemptResult::NotRun(NotRun::PrefillFailed);
    }
    let Some(prefilled) = prefill(call, account, plan).await else {
        return AttemptResult::NotRun(NotRun::PrefillFailed);
    };
    account.prefill_after = Some(monotonic::elapsed(account.received_at));
    let result = generate_from_cache(call, account, plan, requirements, &prefilled).await;
    if matches!(result, AttemptResult::NotRun(_)) && !has_restarted(call, plan) {
        release_cache(plan.pool.clone(), &prefilled);
    }
    result
}

/// Whether the engine that prefilled the prompt has restarted. Its KV cache is then lost, and the
/// new start may use the same handle for another prompt.
fn has_restarted(call: &Call, plan: &Plan) -> bool {
    let fleet = call.gateway.fleet();
    fleet.has_restarted(plan.key, &plan.instance)
}

/// Generates the answer from a KV cache. If an engine doesn't run the request, for example after
/// a crash, the next one is tried without another prefill.
async fn generate_from_cache(
    call: &Call,
    account: &mut Account,
    plan: &Plan,
    requirements: &Requirements<'_>,
    prefilled: &Prefilled,
) -> AttemptResult {
    let source = prefilled.source(plan.addr);
    let mut excluded = requirements.tried.to_vec();
    let mut last = AttemptResult::NotRun(NotRun::PrefillFailed);
    let mut was_rejected = false;
    for _ in 0..MAX_GENERATORS {
        if has_restarted(call, plan) {
            break;
        }
        let requirements = Requirements {
            tried: &excluded,
            ..*requirements
        };
        let choose = || choose_generator(&call.gateway, &requirements, plan.key);
        let (choice, grant) =
            choose_with_room(&call.gateway, &requirements, &account.id, choose).await;
        account.request_grant = grant;
        let Choice::Send(generator) = choice else {
            break;
        };
        if let Admission::Blocked(why) = crashes::admit(call, account).await {
            return AttemptResult::NotRun(NotRun::Blocked(why));
        }
        // A rejected send counts against the route's attempts and the retry budget.
        if was_rejected && !call.acquire_retry(account) {
            break;
        }
        if !call.finishes_in_time(account, generator.inputs.estimate_ms) {
            return AttemptResult::NotRun(NotRun::NoTime);
        }
        account.upstream = Some(generator.instance.clone());
        account.software_version = generator.software_version.clone();
        account.last_sent_to = Some(generator.sent_to());
        let since = monotonic::now();
        last = send_to(call, account, &generator, Phases::Decode(&source)).await;
        let AttemptResult::NotRun(why) = last else {
            break;
        };
        was_rejected = why == NotRun::Rejected;
        log_failed_attempt(account, "not_run", why.name(), monotonic::elapsed(since));
        excluded.push(generator.key);
    }
    last
}

/// Releases a KV cache that is not needed. If the call fails, the cache expires by itself.
fn release_cache(pool: Pool, prefilled: &Prefilled) {
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

/// Prefills the prompt; `None` if that failed or its outcome is unknown.
async fn prefill(call: &Call, account: &mut Account, plan: &Plan) -> Option<Prefilled> {
    let gateway = &call.gateway;
    let mut load = gateway.add_load(plan.key, plan.inputs.uncached, false);
    record_parts(call, plan);
    let since = monotonic::now();
    let req = build_request(call, plan, Phases::Prefill)?;
    let grant = account.commit_request();
    let response = match plan.pool.send_once(req).await {
        Ok(response) => response,
        Err(e) => {
            let failure = match e {
                CallError::MaybeSent(_) => {
                    connection_broke(call, account);
                    Failure::BrokenOff
                }
                CallError::NotSent(_) => {
                    grant.into_iter().for_each(Grant::refund);
                    Failure::NotConnected
                }
            };
            record_failure(gateway, plan, failure);
            log_bad_answer(call, plan, e.to_string());
            return None;
        }
    };
    let (res, conn) = response.into_parts();
    let (head, body) = res.into_parts();
    let upstream_response = header::parse_upstream_response(&head.headers, &call.parsed_headers.id);
    // Another upstream may have answered that the request isn't meant for it.
    if upstream_response.id_matches && head.status != StatusCode::MISDIRECTED_REQUEST {
        statements::record(gateway, plan, head.status, &upstream_response, since);
    }
    if head.status != StatusCode::OK || !upstream_response.id_matches {
        record_failure(gateway, plan, Failure::InvalidAnswer);
        log_bad_answer(call, plan, format!("prefill answered with {}", head.status));
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
    load.first_byte_received();
    match parsed {
        Ok(prefilled) => {
            record_alive(gateway, plan, since);
            conn.release(Some(idle_time(&head.headers)));
            record_first_byte(gateway, call, plan, monotonic::elapsed(since));
            Some(prefilled)
        }
        Err(why) => {
            record_failure(gateway, plan, Failure::InvalidAnswer);
            log_bad_answer(call, plan, why);
            None
        }
    }
}
