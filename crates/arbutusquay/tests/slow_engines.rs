//! Tests that prompts are served by engines that are idle, however slow they are.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::prompts::{Division, Fleet, REPLY, Sent, Summary, TRIAGE};
use std::time::Duration;

/// Time for which callers send requests, and the seed of their requests.
const PLAYED: Duration = Duration::from_secs(24);
const SEED: u64 = 88;
const HOSTS: u8 = 3;
const ENGINES: u16 = 4;

/// Plays a cell and checks that idle engines serve all requests.
async fn check_idle_engines(division: Division, first_event_ms: u64) {
    let first_event = Duration::from_millis(first_event_ms);
    let kinds = [TRIAGE, REPLY];
    let fleet = Fleet::start(HOSTS, ENGINES, division, first_event, &kinds).await;
    let all: Vec<Sent> = fleet.play(&kinds, PLAYED, SEED).await;
    for kind in &kinds {
        let summary = Summary::new(kind, &all);
        println!(
            "{division:?}, {first_event_ms} ms: {} {summary:?}",
            kind.name
        );
        assert!(summary.served >= 0.98, "{}: {summary:?}", kind.name);
        assert_eq!(summary.never_served, 0, "{}: {summary:?}", kind.name);
    }
}

// Guards against this failure: the engines were idle, but each first event was later than the latency
// target; nearly all requests were refused as overloaded, and some sessions were never served.

#[tokio::test]
async fn prompts_are_served_by_idle_engines_that_miss_the_target() {
    check_idle_engines(Division::Split, 150).await;
}

#[tokio::test]
async fn prompts_are_served_by_idle_colocated_engines_that_miss_the_target() {
    check_idle_engines(Division::Colocated, 150).await;
}

#[tokio::test]
async fn prompts_are_served_by_idle_engines_of_twice_the_target() {
    check_idle_engines(Division::Split, 400).await;
}

#[tokio::test]
async fn prompts_are_served_by_idle_colocated_engines_of_twice_the_target() {
    check_idle_engines(Division::Colocated, 400).await;
}

#[tokio::test]
async fn prompts_are_served_by_idle_engines_that_need_half_of_the_deadline() {
    check_idle_engines(Division::Split, 1200).await;
}

#[tokio::test]
async fn prompts_are_served_by_idle_colocated_engines_that_need_half_of_the_deadline() {
    check_idle_engines(Division::Colocated, 1200).await;
}
