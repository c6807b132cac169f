//! A short run with a fixed seed, as CI does it.

use std::process::Command;

#[test]
fn a_short_soak_keeps_all_promises() {
    let net = (std::process::id() % 100 + 120).to_string();
    let out = Command::new(env!("CARGO_BIN_EXE_soak"))
        .args(["--seed", "5", "--seconds", "6", "--net", &net])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&out.stdout);
    let last = text.lines().last().unwrap_or_default();
    assert!(out.status.success(), "{text}");
    let summary: serde_json::Value = serde_json::from_str(last).unwrap();
    assert!(summary["served"].as_u64().unwrap() > 100, "{last}");
}
