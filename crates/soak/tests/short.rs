//! Short runs with fixed seeds, as CI does them.

use std::process::Command;

/// Third bytes of the addresses: each test's own.
const FIRST_NET: u32 = 120;
const SECOND_NET: u32 = 20;

/// Runs a soak on addresses from a first one on; all promises must be kept. Gives the
/// summary.
fn soak(first_net: u32, args: &[&str]) -> serde_json::Value {
    let net = (std::process::id() % 100 + first_net).to_string();
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
fn a_short_soak_keeps_all_promises() {
    soak(FIRST_NET, &["--seed", "5", "--seconds", "6"]);
}

/// All processes are told to stop within seconds, and clients whose answers take up to
/// 2.5 s go to those that still take connections. Seed 109 once cut 7 answers, each sent
/// 5.2 s and more after its process's signal: nothing compared the time that an answer
/// takes with the time that the process had left.
#[test]
fn planned_stops_in_series_cut_no_answer() {
    let summary = soak(SECOND_NET, &["--stops", "--seed", "109", "--seconds", "10"]);
    assert!(summary["in_stops"].as_u64().unwrap() > 100, "{summary}");
}
