//! Tests that requests that crash every upstream they run on are blocked.
//!
//! Guards against this failure: with four hosts and eight engines, 17 and 18 engines crashed one
//! after another under two requests, each within 0.1 s of receiving one. From 3 s after the third
//! crash on, hosts sent the two requests 10 and 12 times more, and while engines were down only one
//! in ten other requests was served in time.
//!
//! Clients had sent the requests again with a new id each time, to any host. A host counted
//! attempts only within one request of a client, so each count began at zero. Without detection
//! across hosts, each of 24 such requests to three hosts, 3.2 s after the third crash, crashed an
//! upstream, and two upstreams on a route that allows retries.

#[expect(dead_code, reason = "each test file uses some of them")]
mod common;

use common::crashing::{CRASH_MARKER, DETECTION_TIME, System};
use common::{request, start, status, wait_for};
use standin::{Action, StoreMode};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of sends by all hosts together from 3 s after the third crash on.
const MAX_LATER_SENDS: u64 = 3;
/// Peer ports of hosts that receive no messages from each other.
const SEPARATE_PEER_PORTS: [u16; 3] = [7012, 7013, 7014];

/// Sends crashing requests until three workers have crashed; returns the next id.
async fn crash_three_workers(system: &System, path: &str) -> usize {
    let mut id = 0;
    while system.crash_count() < 3 {
        system.send(path, id, CRASH_MARKER).await;
        id += 1;
    }
    id
}

/// Sends 24 more crashing requests, alternating with others that must be served, and checks that no
/// more workers crash than allowed.
async fn send_more(system: &System, path: &str, from: usize) {
    let before = system.crash_count();
    for id in from..from + 24 {
        system.send(path, id, CRASH_MARKER).await;
        let other = system.send("/safe/", id, "other").await;
        let later = system.crash_count() - before;
        assert!(
            later <= MAX_LATER_SENDS,
            "{later} more workers crashed by {path}"
        );
        assert_eq!(other, 200);
    }
}

/// Waits until all hosts know of the crashes, and sends the request until both trials have run.
async fn run_both_trials(system: &System, path: &str) {
    tokio::time::sleep(DETECTION_TIME).await;
    let before = system.crash_count();
    for id in 0..12 {
        system.send(path, id, CRASH_MARKER).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let later = system.crash_count() - before;
    assert!(later <= 2, "{later} trials");
}

/// Checks that each host refuses the crashing request as confirmed, and that no worker crashes.
async fn assert_all_refuse(system: &System, path: &str) {
    let before = system.crash_count();
    for id in 0..system.hosts.len() {
        assert_eq!(system.send(path, id, CRASH_MARKER).await, 400, "host {id}");
    }
    assert_eq!(system.crash_count(), before);
}

#[tokio::test]
async fn a_request_that_crashes_every_upstream_is_blocked_by_all_hosts() {
    for path in ["/safe/", "/unsafe/"] {
        let system = System::start(3, 16).await;
        let from = crash_three_workers(&system, path).await;
        tokio::time::sleep(DETECTION_TIME).await;
        send_more(&system, path, from).await;
    }
}

#[tokio::test]
async fn a_confirmed_request_is_refused_with_its_own_reason_and_no_retry() {
    let system = System::start(1, 6).await;
    for id in 0..3 {
        // It may have run, so the answer can't be more specific.
        assert_eq!(system.send("/unsafe/", id, CRASH_MARKER).await, 502);
    }
    run_both_trials(&system, "/unsafe/").await;
    let answer = system.exchange("/unsafe/", 3, CRASH_MARKER).await;
    assert_eq!(status(&answer), 400);
    assert!(answer.contains("\"crashes_upstreams\""), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
    assert!(!answer.to_ascii_lowercase().contains("retry-after"));
    // A request with another path and body has another fingerprint.
    assert_eq!(system.send("/unsafe/x", 4, "other").await, 200);
}

#[tokio::test]
async fn hosts_that_start_later_refuse_it_even_after_all_hosts_were_killed() {
    let mut system = System::start(2, 8).await;
    crash_three_workers(&system, "/unsafe/").await;
    let store = system.store.clone();
    wait_for("crash rows", || async { store.keys("crashes").len() >= 3 }).await;
    system.add_host(7002).await;
    run_both_trials(&system, "/unsafe/").await;
    assert_all_refuse(&system, "/unsafe/").await;
    system.hosts.clear();
    system.add_host(7002).await;
    tokio::time::sleep(DETECTION_TIME).await;
    assert_all_refuse(&system, "/unsafe/").await;
}

#[tokio::test]
async fn hosts_without_live_peers_learn_of_crashes_from_the_store() {
    let mut system = System::start(0, 8).await;
    for port in SEPARATE_PEER_PORTS {
        system.add_host(port).await;
    }
    // Waits until they know of each other.
    let store = system.store.clone();
    wait_for("rows of all hosts", || async {
        store.keys("processes").len() == 3
    })
    .await;
    tokio::time::sleep(DETECTION_TIME).await;
    for id in 0..3 {
        assert_eq!(system.send("/unsafe/", id, CRASH_MARKER).await, 502);
    }
    assert_eq!(system.crash_count(), 3);
    run_both_trials(&system, "/unsafe/").await;
    assert_all_refuse(&system, "/unsafe/").await;
}

/// The store is silent for a while, as at the end of an outage.
#[tokio::test]
async fn a_host_that_starts_while_the_store_is_silent_learns_of_crashes_afterwards() {
    let mut system = System::start(1, 8).await;
    crash_three_workers(&system, "/unsafe/").await;
    let store = system.store.clone();
    wait_for("crash rows", || async { store.keys("crashes").len() >= 3 }).await;
    run_both_trials(&system, "/unsafe/").await;
    system.add_host(7002).await;
    system.hosts.clear();
    // The host becomes ready with the other tables, without having read the crashes.
    system.store.set_mode(StoreMode::SilentReads("crashes"));
    system.add_host(7012).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    system.store.set_mode(StoreMode::Serve);
    tokio::time::sleep(DETECTION_TIME).await;
    assert_all_refuse(&system, "/unsafe/").await;
}

#[tokio::test]
async fn hosts_share_crash_reports_while_the_store_is_unavailable() {
    let system = System::start(3, 8).await;
    // Waits until all hosts have received messages of each other.
    tokio::time::sleep(DETECTION_TIME).await;
    system.store.set_mode(StoreMode::Refuse(503));
    for id in 0..3 {
        assert_eq!(system.send("/unsafe/", id, CRASH_MARKER).await, 502);
    }
    // Only the first host runs the trials. The others can't know the results, so they answer that
    // the request may be served later.
    run_both_trials(&system, "/unsafe/").await;
    let before = system.crash_count();
    for id in 0..3 {
        let status = system.send("/unsafe/", id, CRASH_MARKER).await;
        assert!(status == 400 || status == 503, "{status}");
    }
    assert_eq!(system.crash_count(), before);
}

#[tokio::test]
async fn a_blocked_request_that_no_longer_crashes_is_served_by_a_trial() {
    let system = System::start(3, 8).await;
    crash_three_workers(&system, "/unsafe/").await;
    system.disable_crashes();
    tokio::time::sleep(DETECTION_TIME).await;
    let before = system.crash_count();
    let mut id = 0;
    while system.send("/unsafe/", id, CRASH_MARKER).await != 200 {
        assert!(id < 1000, "no trial in 50 s");
        tokio::time::sleep(Duration::from_millis(50)).await;
        id += 1;
    }
    assert_eq!(system.crash_count(), before);
}

/// As when a whole service is restarted: any request that ran on all workers was running at many of
/// the crashes.
#[tokio::test]
async fn a_common_request_running_when_all_workers_crash_is_served_again_at_once() {
    let system = Arc::new(System::start(2, 6).await);
    let send = |id: usize| {
        let system = system.clone();
        tokio::spawn(async move { system.send("/unsafe/", id, "common").await })
    };
    // The request runs on each worker, and all of them are crashed by other requests.
    let running: Vec<_> = (0..36).map(send).collect();
    tokio::time::sleep(Duration::from_millis(10)).await;
    for id in 0..60 {
        system
            .send("/unsafe/", id, &format!("{CRASH_MARKER} {id}"))
            .await;
    }
    for call in running {
        call.await.unwrap();
    }
    let mut id = 100;
    let mut statuses = Vec::new();
    while statuses.last() != Some(&200) {
        assert!(id < 1100, "not served in 50 s: {statuses:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        statuses.push(system.send("/unsafe/", id, "common").await);
        id += 1;
    }
    assert!(!statuses.contains(&400), "{statuses:?}");
    // The other host learns of the answer by a datagram.
    let other = system.clone();
    wait_for("an answer of the other host", || async {
        other.send("/unsafe/", id, "common").await == 200
    })
    .await;
    for id in 0..20 {
        assert_eq!(system.send("/unsafe/", 2000 + id, "common").await, 200);
    }
}

#[tokio::test]
async fn two_crashing_requests_from_hundreds_of_clients_are_both_blocked() {
    let system = Arc::new(System::start(3, 16).await);
    let (one, two) = ("deadly one", "deadly two");
    let mut clients = Vec::new();
    for id in 0..200 {
        let (system, body) = (system.clone(), [one, two][id % 2]);
        clients.push(tokio::spawn(async move {
            system.send("/unsafe/", id / 2, body).await
        }));
    }
    for client in clients {
        client.await.unwrap();
    }
    // Requests that were refused because no upstream was up are sent again.
    for id in 0..30 {
        system.send("/unsafe/", id, [one, two][id % 2]).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let before = system.crash_count();
    tokio::time::sleep(DETECTION_TIME).await;
    for id in 0..24 {
        system.send("/unsafe/", id, [one, two][id % 2]).await;
        assert_eq!(system.send("/safe/", id, "other").await, 200);
    }
    let later = system.crash_count() - before;
    assert!(later <= 2 * MAX_LATER_SENDS, "{later} more workers crashed");
}

#[tokio::test]
async fn a_common_request_that_runs_during_crashes_of_others_is_still_served() {
    let system = Arc::new(System::start(2, 12).await);
    let mut clients = Vec::new();
    for client in 0..8 {
        let system = system.clone();
        clients.push(tokio::spawn(async move {
            let mut statuses = BTreeMap::<u16, usize>::new();
            for id in 0..60 {
                let status = system.send("/safe/", client + 8 * id, "common").await;
                *statuses.entry(status).or_default() += 1;
            }
            statuses
        }));
    }
    for n in 0..10 {
        let body = format!("{CRASH_MARKER} {n}");
        system.send("/unsafe/", n, &body).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    assert!(system.crash_count() >= 8);
    for client in clients {
        let statuses = client.await.unwrap();
        assert_eq!(statuses.get(&400), None, "{statuses:?}");
        assert!(statuses[&200] >= 50, "{statuses:?}");
    }
}

#[tokio::test]
async fn a_connection_broken_by_a_live_upstream_is_not_a_crash() {
    let (gateway, workers) = start(3).await;
    let send = async |id: String, body: &str| {
        let text = request("POST", "/unsafe/", &id, "", body);
        status(&common::exchange(gateway.callers, &text).await)
    };
    for round in 0..6 {
        // Each worker has an idle connection.
        gateway
            .exchange_many("/unsafe/", &format!("warm-{round}"), "", 24)
            .await;
        for worker in &workers {
            worker.script([Action::Close]);
        }
        assert_eq!(send(format!("same-{round}"), "same").await, 502);
        for other in 0..2 {
            // The two other workers close their connections during another request.
            while send(format!("rest-{round}-{other}"), "rest").await != 502 {}
        }
    }
    assert_eq!(send("last".into(), "same").await, 200);
}

/// The upstreams stop responding when they crash: their connections stay open, no answer comes, and
/// each is registered with a new start. Guards against such crashes not being counted, after which
/// the request was sent again without limit.
#[tokio::test]
async fn a_request_whose_upstreams_stop_responding_is_blocked_too() {
    let system = System::start(2, 4).await;
    system.set_default_act(&Action::Hang);
    let mut id = 0;
    let mut send = async |pause: Duration| {
        id += 1;
        let status = system.send("/short/", id, "dark").await;
        system.register_restarted(id as u64);
        tokio::time::sleep(pause).await;
        status
    };
    for _ in 0..3 {
        assert_eq!(send(Duration::from_millis(1500)).await, 504);
    }
    tokio::time::sleep(DETECTION_TIME).await;
    let before = system.times_sent("dark");
    for _ in 0..16 {
        send(Duration::from_millis(300)).await;
    }
    let later = (system.times_sent("dark") - before) as u64;
    assert!(later <= MAX_LATER_SENDS, "{later} more sends");
}

#[tokio::test]
async fn a_prompt_that_crashes_generators_is_neither_prefilled_nor_generated_again() {
    for path in ["/prompt/", "/prompt-again/"] {
        let system = System::start_engines(2, 2, 8).await;
        let from = crash_three_workers(&system, path).await;
        tokio::time::sleep(DETECTION_TIME).await;
        let crashes_before = system.crash_count();
        let prefills = || -> usize {
            let seen = system.prefill_engines.iter().flat_map(|r| r.requests());
            seen.filter(|s| s.body == CRASH_MARKER.as_bytes()).count()
        };
        let before = prefills();
        for id in from..from + 12 {
            system.send(path, id, CRASH_MARKER).await;
        }
        let sends = (prefills() - before) as u64 + system.crash_count() - crashes_before;
        assert!(sends <= MAX_LATER_SENDS, "{sends} more sends on {path}");
    }
}
