//! Tests that usage reports have each request once while hosts restart in overlapping series or
//! all at once.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;
#[expect(dead_code, reason = "each test file uses a part of it")]
mod usage_fleet;

use common::{join_all, wait_for};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use usage_fleet::{OwnProcess, TestFleet, start};

/// Number of hosts of a site.
const HOSTS: u32 = 4;
/// Time between two stop signals of a series. All hosts are signalled before the first one exits,
/// as an idle host takes 2.3 s to stop.
const STOP_GAP: Duration = Duration::from_millis(500);
/// Requests to each host right before the signals.
const REQUESTS: usize = 6;

/// Length of a window. A host without requests ends before its last requests are reported.
const WINDOW: Duration = Duration::from_secs(5);

async fn start_fleet() -> TestFleet {
    let mut fleet = start(0).await;
    fleet.window = WINDOW;
    fleet
}

/// Starts hosts in runtimes of their own, waits until one of them reports, and until a window
/// begins.
async fn start_hosts(fleet: &TestFleet, count: u32) -> Vec<OwnProcess> {
    let mut hosts = Vec::new();
    for _ in 0..count {
        hosts.push(fleet.start_process(common::address()).await);
    }
    hosts.sort_by_key(|host| host.callers.ip());
    // All hosts know each other by then.
    fleet.wait_reports_by(&hosts[0].name, 1).await;
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let window_ms = WINDOW.as_millis();
    let left_ms = window_ms - since.as_millis() % window_ms;
    tokio::time::sleep(Duration::from_millis(left_ms as u64)).await;
    hosts
}

/// Sends requests to each host, the last ones right before its stop signal, and starts each again
/// as it has ended. The first signal goes to the host with the lowest address if `is_ascending`.
async fn restart_in_series(hosts: &mut [OwnProcess], gap: Duration, is_ascending: bool) {
    let count = hosts.len();
    let restarts = hosts.iter_mut().enumerate().map(async |(n, host)| {
        let place = match is_ascending {
            true => n,
            false => count - 1 - n,
        };
        tokio::time::sleep(gap * place as u32).await;
        host.send("one", REQUESTS).await;
        host.signal_stop();
        // A host serves until it ends, for clients whose balancer hasn't noticed the signal.
        host.send("two", REQUESTS).await;
        host.restart().await;
    });
    join_all(restarts).await;
}

async fn run_series(gap: Duration, is_ascending: bool) {
    let fleet = start_fleet().await;
    let mut hosts = start_hosts(&fleet, HOSTS).await;
    restart_in_series(&mut hosts, gap, is_ascending).await;
    hosts[0].send("idle", 1).await;
    let all = u64::from(HOSTS) * REQUESTS as u64;
    assert_reported(&fleet, &[("idle", 1), ("one", all), ("two", all)]).await;
}

/// Asserts that all windows up to now are reported with the expected requests.
async fn assert_reported(fleet: &TestFleet, expected: &[(&str, u64)]) {
    // The window of the requests and the one after it.
    const WINDOWS: usize = 3;
    let windows = fleet.windows();
    wait_for("reports", || async { fleet.windows() >= windows + WINDOWS }).await;
    let expected: BTreeMap<String, u64> = expected
        .iter()
        .map(|(tenant, requests)| ((*tenant).to_owned(), *requests))
        .collect();
    assert_eq!(fleet.reported(), expected);
    fleet.assert_fenced();
}

/// Guards against requests that are in no report, or in two, after hosts were told to stop one
/// after the other, each while the former ones were still stopping: a stopping host hands its
/// requests over to hosts that are about to exit as well.
#[tokio::test]
async fn requests_are_reported_after_an_overlapping_series_of_restarts() {
    run_series(STOP_GAP, true).await;
}

/// Guards against the same where the collectors are stopped last.
#[tokio::test]
async fn requests_are_reported_after_a_series_of_restarts_that_ends_with_the_collectors() {
    run_series(STOP_GAP, false).await;
}

/// Guards against the same where all hosts are told to stop at once, so that none outlives the
/// others.
#[tokio::test]
async fn requests_are_reported_after_all_hosts_restarted_at_once() {
    run_series(Duration::ZERO, true).await;
}

/// Guards against the same at a site of one host.
#[tokio::test]
async fn requests_are_reported_after_the_only_host_restarted() {
    let fleet = start_fleet().await;
    let mut hosts = start_hosts(&fleet, 1).await;
    restart_in_series(&mut hosts, Duration::ZERO, true).await;
    let all = REQUESTS as u64;
    assert_reported(&fleet, &[("one", all), ("two", all)]).await;
}
