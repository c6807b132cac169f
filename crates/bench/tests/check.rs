//! Checks that each rule accepts a correct history and detects its violation.

use bench::check::{
    self, AcceptedDocument, ExemptPeriod, History, LeavingPeriod, ObservedRun, VersionSample,
};
use bench::client::{Call, CallResult};
use bench::mix::{ClientRequest, RequestKind};
use engine::{Order, OrderAnswer};
use fakes::engine::OrderSeen;
use store::rows::{Desired, Lease, encode};
use store::{Row, Token};
use wire::{Model, Outcome, Role};

fn order(fence: u64) -> OrderSeen {
    let (role, model) = (Role::Mixed, Model::plain("m", 1));
    OrderSeen {
        order: Order { fence, role, model },
        answer: OrderAnswer::Taken,
        conflicting: false,
        stale_effective: false,
        cut: 0,
        at_ms: 0,
    }
}

fn run(upstream: &str, request: &str, key: &str, idempotent: bool, at_ms: u64) -> ObservedRun {
    ObservedRun {
        upstream: upstream.into(),
        service: "s".into(),
        request: request.into(),
        key: key.into(),
        idempotent,
        at_ms,
    }
}

fn call(id: &str, result: CallResult) -> Call {
    let kind = RequestKind::Plain {
        method: "POST",
        path: "/x".into(),
        body: String::new(),
        key: None,
    };
    let request = ClientRequest {
        service: "s",
        class: "c",
        tenant: "t".into(),
        kind,
    };
    Call {
        request,
        id: Some(id.into()),
        result,
        first_byte: None,
        token_gaps: Vec::new(),
    }
}

fn row(key: &str, value: String) -> Row {
    Row {
        key: key.into(),
        version: 1,
        value,
        token: Token(1),
    }
}

fn lease(epoch: u64) -> Row {
    row(
        "lease/plan/s",
        encode(&Lease {
            holder: "h".into(),
            epoch,
            renewals: 0,
        }),
    )
}

fn desired(epoch: u64) -> Row {
    let desired = Desired {
        role: Role::Mixed,
        model: Model::plain("m", 1),
        epoch,
        order: 1,
        why: String::new(),
    };
    row("desired/s/u", encode(&desired))
}

fn sample(id: u32, version: u64, at_ms: u64) -> VersionSample {
    VersionSample {
        process: "p".into(),
        id,
        service: "s".into(),
        version,
        at_ms,
    }
}

fn orders(seen: Vec<OrderSeen>) -> History {
    let orders = seen.into_iter().map(|o| ("u".to_owned(), o)).collect();
    History {
        orders,
        ..History::default()
    }
}

#[test]
fn conflicting_interrupting_and_stale_orders_are_counted() {
    let good = orders(vec![order(1), order(2)]);
    assert_eq!(check::conflicting_orders(&good), 0);
    assert_eq!(check::cut_off(&good), 0);
    assert_eq!(check::stale_orders_effective(&good), 0);
    let conflicting = OrderSeen {
        conflicting: true,
        ..order(2)
    };
    assert_eq!(
        check::conflicting_orders(&orders(vec![order(1), conflicting])),
        1
    );
    let cut = OrderSeen { cut: 3, ..order(2) };
    assert_eq!(check::cut_off(&orders(vec![cut])), 3);
    let stale = OrderSeen {
        stale_effective: true,
        ..order(1)
    };
    assert_eq!(
        check::stale_orders_effective(&orders(vec![order(2), stale])),
        1
    );
}

#[test]
fn a_desired_state_written_under_a_lost_lease_is_counted() {
    let of = |rows| History {
        rows,
        ..History::default()
    };
    assert_eq!(
        check::stale_orders_effective(&of(vec![lease(1), desired(1), lease(2), desired(2)])),
        0
    );
    assert_eq!(
        check::stale_orders_effective(&of(vec![lease(1), lease(2), desired(1)])),
        1
    );
    assert_eq!(
        check::stale_orders_effective(&of(vec![desired(1)])),
        1,
        "written without any lease"
    );
}

#[test]
fn crossed_and_truncated_answers_are_counted() {
    let of = |result| History {
        calls: vec![call("1", result)],
        ..History::default()
    };
    assert_eq!(
        check::crossed(&of(CallResult::Complete { replayed: false })),
        0
    );
    assert_eq!(check::crossed(&of(CallResult::Crossed)), 1);
    assert_eq!(
        check::truncated(&of(CallResult::Complete { replayed: false })),
        0
    );
    assert_eq!(check::truncated(&of(CallResult::Truncated)), 1);
}

#[test]
fn a_run_after_a_not_run_refusal_is_counted_and_after_an_unknown_one_is_not() {
    let of = |outcome| History {
        calls: vec![call(
            "1",
            CallResult::Refused {
                outcome,
                reason: String::new(),
            },
        )],
        runs: vec![run("u", "1", "k", false, 0)],
        ..History::default()
    };
    assert_eq!(check::false_not_run(&of(Outcome::NotRun)), 1);
    assert_eq!(check::false_not_run(&of(Outcome::Unknown)), 0);
}

#[test]
fn repeated_runs_of_a_key_or_of_a_request_without_key_are_counted() {
    let of = |runs| History {
        runs,
        ..History::default()
    };
    let runs = |a: (&str, &str), b: (&str, &str), idempotent| {
        of(vec![
            run("u", a.0, a.1, idempotent, 0),
            run("v", b.0, b.1, idempotent, 0),
        ])
    };
    assert_eq!(check::double_runs(&runs(("1", "k"), ("2", "l"), false)), 0);
    assert_eq!(check::double_runs(&runs(("1", "k"), ("2", "k"), false)), 1);
    assert_eq!(check::double_runs(&runs(("1", ""), ("1", ""), false)), 1);
    assert_eq!(check::double_runs(&runs(("1", ""), ("2", ""), false)), 0);
    assert_eq!(check::double_runs(&runs(("1", "k"), ("2", "k"), true)), 0);
}

#[test]
fn runs_started_late_at_a_leaving_upstream_are_counted() {
    let of = |upstream: &str, at_ms| History {
        runs: vec![run(upstream, "1", "", true, at_ms)],
        leaving: vec![LeavingPeriod {
            upstream: "u".into(),
            from_ms: 1_000,
            host_list_only: false,
            until_ms: 9_000,
        }],
        ..History::default()
    };
    assert_eq!(
        check::late_work_to_leaving(&of("u", 1_000 + check::MAX_LEAVING_DELAY_MS)),
        0
    );
    assert_eq!(
        check::late_work_to_leaving(&of("u", 1_001 + check::MAX_LEAVING_DELAY_MS)),
        1
    );
    assert_eq!(check::late_work_to_leaving(&of("v", 8_000)), 0);
    assert_eq!(
        check::late_work_to_leaving(&of("u", 9_500)),
        0,
        "the upstream was reinstated"
    );
}

#[test]
fn only_host_list_outages_exempt_late_runs_at_a_leaving_upstream() {
    let of = |host_list_only, host_list_outages| History {
        runs: vec![run("u", "1", "", true, 5_000)],
        leaving: vec![LeavingPeriod {
            upstream: "u".into(),
            from_ms: 1_000,
            host_list_only,
            until_ms: 9_000,
        }],
        host_list_outages,
        ..History::default()
    };
    assert_eq!(check::late_work_to_leaving(&of(true, Vec::new())), 1);
    assert_eq!(
        check::late_work_to_leaving(&of(true, vec![(500, 2_500)])),
        0
    );
    assert_eq!(
        check::late_work_to_leaving(&of(true, vec![(500, 1_500)])),
        1,
        "3.5 s are outside the outage"
    );
    assert_eq!(
        check::late_work_to_leaving(&of(false, vec![(500, 2_500)])),
        1,
        "the agent was signalled"
    );
}

#[test]
fn a_return_to_a_lower_version_is_counted() {
    let of = |samples| History {
        samples,
        ..History::default()
    };
    assert_eq!(
        check::config_reverts(&of(vec![sample(1, 0, 0), sample(1, 3, 1), sample(1, 5, 2)])),
        0
    );
    assert_eq!(
        check::config_reverts(&of(vec![sample(1, 5, 0), sample(1, 3, 1)])),
        1
    );
    assert_eq!(
        check::config_reverts(&of(vec![sample(1, 5, 0), sample(2, 0, 1)])),
        0,
        "the process was restarted"
    );
}

#[test]
fn a_document_that_is_late_in_a_process_is_counted_unless_exempt() {
    let late = 1_001 + check::MAX_CONFIG_DELAY_MS;
    let of = |version, at_ms, exemptions: Vec<ExemptPeriod>| History {
        accepted: vec![AcceptedDocument {
            service: "s".into(),
            version: 5,
            at_ms: 1_000,
        }],
        samples: vec![sample(1, version, at_ms)],
        exemptions,
        ..History::default()
    };
    assert_eq!(check::config_late(&of(4, late - 1, Vec::new())), 0);
    assert_eq!(check::config_late(&of(4, late, Vec::new())), 1);
    assert_eq!(check::config_late(&of(5, late, Vec::new())), 0);
    let out = |process: Option<&str>, from_ms, until_ms| ExemptPeriod {
        process: process.map(str::to_owned),
        from_ms,
        until_ms,
    };
    assert_eq!(
        check::config_late(&of(4, late, vec![out(Some("p"), 2_000, 4_000)])),
        0
    );
    assert_eq!(
        check::config_late(&of(4, late, vec![out(None, 2_000, 4_000)])),
        0
    );
    assert_eq!(
        check::config_late(&of(4, late, vec![out(Some("q"), 2_000, 4_000)])),
        1
    );
    let twice = vec![out(None, 2_000, 4_000), out(Some("p"), 2_500, 3_500)];
    assert_eq!(
        check::config_late(&of(4, late + 2_500, twice)),
        1,
        "overlapping periods count once"
    );
}
