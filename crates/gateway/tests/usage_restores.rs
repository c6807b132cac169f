//! Tests usage reports when the store is restored from a copy and a host is lost.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;
#[expect(dead_code, reason = "each test file uses a part of it")]
mod usage_fleet;

use common::{exchange, request, wait_for};
use standin::{CloudCall, StoreMode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use usage_fleet::{OwnProcess, TestFleet, start};

/// Age of the copy, and time for which the store is away.
const COPY_AGE: Duration = Duration::from_secs(3);
const AWAY: Duration = Duration::from_millis(500);
/// Clients that send at the boundary of each window, spread over some milliseconds before and after
/// it. Two hosts place some of these requests in different windows.
const CLIENTS: usize = 80;
const SPREAD_MS: u64 = 10;
/// Number of windows that are reported before the restore.
const CALM_REPORTS: usize = 4;
/// Number of windows that must be reported after it.
const LATER_REPORTS: usize = 4;

/// Sends requests at the boundaries of windows until `is_over`, to the hosts in turn or to the one
/// that is left.
async fn send_at_boundaries(
    client: usize,
    hosts: Vec<SocketAddr>,
    left: Arc<OnceLock<SocketAddr>>,
    is_over: Arc<AtomicBool>,
) {
    for n in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let now_ms = now_ms.as_millis() as u64 + SPREAD_MS;
        let window_ms = usage_fleet::WINDOW.as_millis() as u64;
        let pause = window_ms - now_ms % window_ms + (client as u64 * 7) % (2 * SPREAD_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let host = *left.get().unwrap_or(&hosts[client % hosts.len()]);
        let req = request(
            "GET",
            "/safe/",
            &format!("b-{client}-{n}"),
            "key: key-one\r\n",
            "",
        );
        // Fails if its host is killed meanwhile.
        let _ = tokio::spawn(async move { exchange(host, &req).await }).await;
    }
}

/// Bodies of the reports of each window that the platform received.
fn bodies(fleet: &TestFleet) -> BTreeMap<u64, Vec<String>> {
    let mut bodies: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for call in fleet.cloud.calls() {
        let of_window = bodies.entry(call.window()).or_default();
        if !of_window.contains(&call.text) {
            of_window.push(call.text);
        }
    }
    bodies
}

/// A report that was delivered was decided again, with other counts, by another host, after its holder
/// was killed and the store was back from a copy without it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_report_of_a_killed_host_is_not_decided_again_after_a_restore() {
    let fleet = start(0).await;
    let mut hosts = Vec::new();
    for _ in 0..2 {
        hosts.push(fleet.start_process(common::address()).await);
    }
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let (left, is_over) = (Arc::default(), Arc::new(AtomicBool::new(false)));
    let clients = (0..CLIENTS).map(|n| {
        let sent = send_at_boundaries(n, callers.clone(), Arc::clone(&left), is_over.clone());
        tokio::spawn(sent)
    });
    let clients: Vec<_> = clients.collect();

    let count = || fleet.cloud.calls().len();
    wait_for("reports", || async { count() >= CALM_REPORTS }).await;
    let before = count();
    while count() == before {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    fleet.store.set_mode(StoreMode::Silent);
    // Any of the hosts may hold the duty.
    let holder = fleet.cloud.calls().pop().unwrap().holder;
    let (killed, others): (Vec<_>, Vec<_>) = hosts.into_iter().partition(|h| h.name == holder);
    killed.into_iter().for_each(OwnProcess::kill);
    left.set(others[0].callers).unwrap();
    tokio::time::sleep(AWAY).await;
    fleet.store.restore(COPY_AGE + AWAY);
    fleet.store.set_mode(StoreMode::Serve);

    let last = fleet.cloud.calls().iter().map(CloudCall::window).max();
    let later = || bodies(&fleet).range(last.unwrap() + 1..).count();
    wait_for("later reports", || async { later() >= LATER_REPORTS }).await;
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.await.unwrap();
    }
    for (window, of_window) in bodies(&fleet) {
        assert_eq!(of_window.len(), 1, "window {window}: {of_window:?}");
    }
    fleet.assert_fenced();
}
