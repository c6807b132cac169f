//! Short runs with fixed seeds, as CI does them.

use std::process::Command;

/// Third bytes of the addresses: each test's own.
const FIRST_NET: u32 = 120;
const SECOND_NET: u32 = 20;
const THIRD_NET: u32 = 220;
/// Faults among which a common request was once refused for good.
const COMMON_REQUEST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/cases/common-request.jsonl");

/// Runs a soak on addresses from a first one on; all promises must be kept. Gives the
/// summary.
fn soak(first_net: u32, args: &[&str]) -> serde_json::Value {
    let net = ((std::process::id() % 100 + first_net) % 250).to_string();
    let out = Command::new(env!("CARGO_BIN_EXE_soak"))
        .args(args)
        .args(["--net", &net])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&out.stdout);
    let last = text.lines().last().unwrap_or_default();
    assert!(out.status.success(), "{text}");
    let summary: serde_json::Value = serde_json::from_str(last).unwrap();
    assert!(summary["served"].as_u64().unwrap() > 100, "{last}");
    summary
}

#[test]
fn a_short_soak_has_no_violations() {
    soak(FIRST_NET, &["--seed", "5", "--seconds", "6"]);
}

/// All processes are told to stop within seconds, and clients whose answers take up to
/// 2.5 s go to those that still take connections. Seed 109 once cut 7 answers, each sent
/// 5.2 s and more after its process's signal: nothing compared the time that an answer
/// takes with the time that the process had left.
#[test]
fn series_of_planned_stops_cut_no_answer() {
    let summary = soak(SECOND_NET, &["--stops", "--seed", "109", "--seconds", "10"]);
    assert!(summary["in_stops"].as_u64().unwrap() > 100, "{summary}");
}

/// Four requests that crash workers come at once, beside cut links, a store that is lost and
/// processes that start anew. One of eight such runs refused a request that every client sends, and
/// that crashes nothing, for good: an end that no trial saw proved it guilty.
#[test]
fn a_common_request_is_refused_for_good_by_nobody() {
    let args = ["--schedule", COMMON_REQUEST, "--seconds", "40"];
    soak(THIRD_NET, &args);
}
