//! Tests which statements in answers change what a process knows of an upstream, without a network.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{gateway_with, instance};
use gateway::choose::{Choice, Plan, Requirements, Unavailable, choose};
use gateway::fleet::AtLimit;
use gateway::state::Gateway;
use gateway::statements;
use hyper::StatusCode;
use net::Meter;
use platform::header::{RequestRate, Stated, UpstreamResponse};
use platform::{Stage, Start};
use std::sync::Arc;
use std::time::{Duration, Instant};

const LIMIT: RequestRate = RequestRate(5000);
/// An answer that states nothing.
const SILENT: UpstreamResponse = UpstreamResponse {
    id_matches: true,
    not_executed: false,
    is_signed: true,
    request_limit: Stated::Absent,
    is_leaving: Stated::Absent,
    retry_after: Stated::Absent,
};

/// An answer with a statement on the limit.
fn with_limit(request_limit: Stated<RequestRate>) -> UpstreamResponse {
    UpstreamResponse {
        request_limit,
        ..SILENT
    }
}

fn choose_for(gateway: &Arc<Gateway>, rank: u32) -> Choice {
    let service = gateway.fleet().intern_service("s");
    let requirements = Requirements {
        rank,
        service,
        parts: &[],
        prompt_tokens: 100,
        max_output_tokens: 5000,
        latency_target: Duration::from_millis(500),
        is_resumed: false,
        is_isolated: false,
        version: None,
        tried: &[],
        has_permit: false,
    };
    choose(gateway, &requirements)
}

fn plan(gateway: &Arc<Gateway>) -> Box<Plan> {
    match choose_for(gateway, 0) {
        Choice::Send(plan) => plan,
        other => panic!("{other:?}"),
    }
}

fn record(gateway: &Arc<Gateway>, plan: &Plan, status: u16, res: UpstreamResponse) {
    let status = StatusCode::from_u16(status).unwrap();
    statements::record(gateway, plan, status, &res, Instant::now());
}

fn limit(gateway: &Arc<Gateway>, plan: &Plan) -> Option<RequestRate> {
    let fleet = gateway.fleet();
    fleet.get(plan.key).and_then(|u| u.stated.limit.rate())
}

/// A rejection without the header, from an upstream whose queue is full, ended its limit.
#[test]
fn a_rejection_does_not_end_a_limit() {
    let gateway = gateway_with(&[Stage::Decode]);
    let plan = plan(&gateway);
    record(&gateway, &plan, 200, with_limit(Stated::Valid(LIMIT)));
    let rejection = UpstreamResponse {
        not_executed: true,
        ..SILENT
    };
    record(&gateway, &plan, 503, rejection);
    assert_eq!(limit(&gateway, &plan), Some(LIMIT));
    record(&gateway, &plan, 200, with_limit(Stated::Invalid));
    assert_eq!(
        limit(&gateway, &plan),
        Some(LIMIT),
        "an invalid value says nothing"
    );
    record(&gateway, &plan, 200, SILENT);
    assert_eq!(limit(&gateway, &plan), None);
}

/// A late answer of an earlier start changed what was known of the next one.
#[test]
fn statements_belong_to_a_start() {
    let gateway = gateway_with(&[]);
    let start = |ms, row| platform::Instance {
        start: Some(Start(ms)),
        row: fixtures::at(row),
        ..instance(0, Stage::Decode)
    };
    gateway.fleet().merge(start(1000, 1), &Meter::default());
    let before = plan(&gateway);
    gateway.fleet().merge(start(2000, 2), &Meter::default());
    let states = UpstreamResponse {
        request_limit: Stated::Valid(LIMIT),
        is_leaving: Stated::Valid(true),
        retry_after: Stated::Valid(Duration::from_secs(9)),
        ..SILENT
    };
    record(&gateway, &before, 503, states);
    let after = plan(&gateway);
    assert_eq!(limit(&gateway, &after), None);
}

/// Urgent requests were refused because of a refusal of less urgent ones, and refusals held after a
/// change of the limit.
#[test]
fn a_refusal_holds_for_its_rank_and_limit() {
    let gateway = gateway_with(&[Stage::Decode]);
    let plan = plan(&gateway);
    record(&gateway, &plan, 200, with_limit(Stated::Valid(LIMIT)));
    let until = Instant::now() + Duration::from_secs(60);
    let refusal = AtLimit {
        rank: 1,
        rate: LIMIT,
        until,
        room_at: until,
    };
    let mut fleet = gateway.fleet();
    fleet.get_mut(plan.key).unwrap().set_at_limit(refusal);
    drop(fleet);
    assert!(matches!(choose_for(&gateway, 0), Choice::Send(_)));
    let Choice::Later(at, Unavailable::AtLimit) = choose_for(&gateway, 1) else {
        panic!("no room for this rank");
    };
    assert_eq!(at, until);
    record(
        &gateway,
        &plan,
        200,
        with_limit(Stated::Valid(RequestRate(9000))),
    );
    assert!(matches!(choose_for(&gateway, 1), Choice::Send(_)));
}

/// After a pause, all waiting requests were sent at once.
#[test]
fn slots_are_filled_gradually_after_a_pause() {
    let gateway = gateway_with(&[Stage::Decode]);
    let plan = plan(&gateway);
    let retry_after = Stated::Valid(Duration::from_millis(20));
    let refusal = UpstreamResponse {
        retry_after,
        ..SILENT
    };
    record(&gateway, &plan, 200, refusal);
    assert!(
        matches!(choose_for(&gateway, 0), Choice::Send(_)),
        "only a 503 asks for a pause"
    );
    record(&gateway, &plan, 503, refusal);
    let Choice::Later(_, Unavailable::Paused) = choose_for(&gateway, 0) else {
        panic!("it asked for a pause");
    };
    let fleet = gateway.fleet();
    let upstream = fleet.get(plan.key).unwrap();
    let end = upstream.pause_end(Instant::now()).unwrap();
    let is_paused = |ms| upstream.is_paused(end + Duration::from_millis(ms));
    assert!(!is_paused(0), "the first one may be sent");
    drop(fleet);
    let loads: Vec<_> = (0..4)
        .map(|_| gateway.add_load(plan.key, 0, false))
        .collect();
    let fleet = gateway.fleet();
    let upstream = fleet.get(plan.key).unwrap();
    let is_paused = |ms| upstream.is_paused(end + Duration::from_millis(ms));
    assert!(is_paused(250), "2 of 8 slots");
    assert!(!is_paused(750), "6 of 8 slots");
    drop(fleet);
    drop(loads);
}
