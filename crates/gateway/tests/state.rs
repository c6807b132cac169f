//! Tests the state that a gateway has of the configuration, the registry and its peers, with and
//! without the store, and its shutdown.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{
    Client, address, config, exchange, host, request, routes, start, start_on,
    start_without_config, status, wait_for,
};
use serde_json::json;
use standin::{Action, Store, StoreMode};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

#[tokio::test]
async fn without_a_configuration_requests_get_503_and_not_404() {
    let bed = start_without_config();
    bed.wait_ready(503).await;
    let res = exchange(bed.callers, &request("GET", "/safe/", "id-1", "", "")).await;
    assert_eq!(status(&res), 503);
    assert!(res.contains("retry-after: 0.5"), "{res}");
    bed.store.put("op", "config", &config(1, &routes()));
    bed.wait_ready(200).await;
}

#[tokio::test]
async fn a_refused_client_gets_a_whole_response_and_its_connection_is_closed() {
    let bed = start_without_config();
    let mut client = Client::connect(bed.callers).await;
    client.send(&request("GET", "/safe/", "id-1", "", "")).await;
    let (res, in_order) = client.read_to_end().await;
    assert_eq!(status(&res), 503);
    assert!(res.contains("connection: close"), "{res}");
    assert!(res.ends_with('}'), "the whole answer: {res}");
    assert!(in_order);
}

#[tokio::test]
async fn a_new_configuration_takes_effect_at_once_and_an_older_one_never() {
    let (bed, _workers) = start(1).await;
    let new = json!([{"Name": "new", "Host": "a.example", "PathPrefix": "/new/",
        "RouteType": "idempotent", "TimeoutMs": 900, "TargetLatencyMs": 100, "Service": "plain"}]);
    bed.store.put("op", "config", &config(7, &new));
    let started = Instant::now();
    bed.wait_answer(&request("GET", "/new/", "id-1", "", ""), 200)
        .await;
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "operators rely on this bound"
    );
    let old = exchange(bed.callers, &request("GET", "/safe/", "id-2", "", "")).await;
    assert_eq!(status(&old), 404);
    let reads = bed.store.reads("op");
    bed.store.put("op", "config", &config(3, &routes()));
    // Once another read has begun, the one that returned this version is over.
    wait_for("a read", || async { bed.store.reads("op") > reads }).await;
    // A newer version takes effect after it, so the older one has been read by then.
    let newest = json!([new[0].clone(), {"Name": "last", "Host": "a.example", "PathPrefix": "/last/",
        "RouteType": "idempotent", "TimeoutMs": 900, "TargetLatencyMs": 100, "Service": "plain"}]);
    let res = exchange(bed.callers, &request("GET", "/safe/", "id-3", "", "")).await;
    assert_eq!(status(&res), 404);
    bed.store.put("op", "config", &config(8, &newest));
    bed.wait_answer(&request("GET", "/last/", "id-4", "", ""), 200)
        .await;
    let res = exchange(bed.callers, &request("GET", "/safe/", "id-5", "", "")).await;
    assert_eq!(status(&res), 404);
}

#[tokio::test]
async fn a_malformed_configuration_leaves_the_previous_one_in_force() {
    let (bed, _workers) = start(1).await;
    bed.store
        .put("op", "config", &json!({"Version": 9, "Routes": "none"}));
    bed.store.put("op", "config", &json!({"Version": 10}));
    for n in 0..5 {
        let id = format!("id-{n}");
        let res = exchange(bed.callers, &request("GET", "/safe/", &id, "", "")).await;
        assert_eq!(status(&res), 200);
    }
}

#[tokio::test]
async fn a_draining_worker_finishes_its_requests_and_gets_no_new_ones() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::Delayed(
        Duration::from_millis(2500),
        Box::new(Action::Answer(200, "late".into())),
    )]);
    let callers = bed.callers;
    let running = tokio::spawn(async move {
        exchange(callers, &request("POST", "/unsafe/", "running", "", "x")).await
    });
    workers[0].wait_for_requests(1).await;
    let started = Instant::now();
    bed.register("i-0", "plain", workers[0].addr, "draining", None);
    bed.wait_answer(&request("GET", "/safe/", "probe", "", ""), 503)
        .await;
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "the bound for draining workers"
    );
    let before = workers[0].requests().len();
    // A row that arrives late must not make it available again.
    bed.register("i-0", "plain", workers[0].addr, "ready", None);
    let other = bed.add_worker("i-1", "plain", None).await;
    bed.wait_answer(&request("GET", "/safe/", "probe", "", ""), 200)
        .await;
    assert_eq!(workers[0].requests().len(), before);
    assert!(!other.requests().is_empty());
    assert!(running.await.unwrap().ends_with("late"));
    // It is idle now, so it would be chosen as often as the other worker.
    for n in 0..30 {
        let id = format!("after-{n}");
        exchange(bed.callers, &request("GET", "/safe/", &id, "", "")).await;
    }
    assert_eq!(workers[0].requests().len(), before);
}

#[tokio::test]
async fn a_removed_worker_gets_no_new_requests() {
    let (bed, workers) = start(2).await;
    let started = Instant::now();
    bed.store.remove("servers", "i-0");
    let gone = workers[0].addr;
    let callers = bed.callers;
    wait_for("the removal", || async {
        let before = workers[0].requests().len();
        for n in 0..6 {
            let id = format!("id-{n}");
            exchange(callers, &request("GET", "/safe/", &id, "", "")).await;
        }
        workers[0].requests().len() == before
    })
    .await;
    assert!(started.elapsed() < Duration::from_secs(3), "{gone}");
}

#[tokio::test]
async fn requests_are_served_while_the_store_is_unavailable() {
    for mode in [
        StoreMode::Refuse(503),
        StoreMode::Refuse(429),
        StoreMode::Silent,
    ] {
        let (bed, _workers) = start(1).await;
        bed.store.set_mode(mode);
        let calls = bed.store.calls();
        wait_for("calls that fail", || async {
            bed.store.calls() >= calls + 3
        })
        .await;
        let res = exchange(bed.callers, &request("GET", "/safe/", "id-1", "", "")).await;
        assert_eq!(status(&res), 200, "{mode:?}");
        bed.wait_ready(200).await;
        bed.store.set_mode(StoreMode::Serve);
        let new = json!([{"Name": "new", "Host": "a.example", "PathPrefix": "/new/",
            "RouteType": "idempotent", "TimeoutMs": 900, "TargetLatencyMs": 100, "Service": "plain"}]);
        bed.store.put("op", "config", &config(7, &new));
        bed.wait_answer(&request("GET", "/new/", "id-2", "", ""), 200)
            .await;
    }
}

#[tokio::test]
async fn the_registry_is_read_in_full_if_the_store_lost_its_history() {
    let (bed, workers) = start(2).await;
    bed.store.remove("servers", "i-0");
    bed.store.forget_history();
    bed.store.put("op", "config", &config(2, &json!([])));
    bed.wait_answer(&request("GET", "/safe/", "id", "", ""), 404)
        .await;
    bed.store.put("op", "config", &config(3, &routes()));
    bed.wait_answer(&request("GET", "/safe/", "id", "", ""), 200)
        .await;
    let callers = bed.callers;
    wait_for("the removal", || async {
        let before = workers[0].requests().len();
        for n in 0..6 {
            let id = format!("id-{n}");
            exchange(callers, &request("GET", "/safe/", &id, "", "")).await;
        }
        workers[0].requests().len() == before
    })
    .await;
}

#[tokio::test]
async fn entries_that_expired_during_an_outage_of_the_store_get_a_grace_period() {
    let (bed, workers) = start(1).await;
    bed.store.set_mode(StoreMode::Refuse(503));
    let calls = bed.store.calls();
    // Long enough for the store to count as unavailable: each failed read takes a quarter of a
    // second.
    wait_for("enough failed reads", || async {
        bed.store.calls() >= calls + 16
    })
    .await;
    bed.store.remove("servers", "i-0");
    let reads = bed.store.reads("servers");
    bed.store.set_mode(StoreMode::Serve);
    // The first read shows that the entry is missing; the second begins after it.
    wait_for("reads of the registry", || async {
        bed.store.reads("servers") >= reads + 2
    })
    .await;
    let res = exchange(bed.callers, &request("GET", "/safe/", "id-1", "", "")).await;
    assert_eq!(status(&res), 200);
    // The entry doesn't come back, and the upstream is removed after the grace period.
    bed.wait_answer(&request("GET", "/safe/", "id-2", "", ""), 503)
        .await;
    assert!(!workers[0].requests().is_empty());
}

#[tokio::test]
async fn a_process_refused_by_the_store_follows_its_peers() {
    // Two stores simulate one that serves one host and refuses the other.
    let (served, _workers) = start(1).await;
    let ip = address();
    let refusing = Store::start(SocketAddr::new(IpAddr::V4(ip), 7003)).unwrap();
    let cut_off = start_on(host(ip, refusing.addr), refusing);
    let name = |bed: &common::TestGateway| bed.host.name.clone();
    let row = |bed: &common::TestGateway| json!(bed.host.ip.to_string());
    // Each process writes its own row, as plain text and not JSON.
    assert_ne!(name(&served), name(&cut_off));
    let _ = row(&served);
    cut_off.store.put("op", "config", &config(1, &json!([])));
    cut_off.wait_ready(200).await;
    wait_for("both rows", || async {
        served.store.has("processes", &name(&served))
            && cut_off.store.has("processes", &name(&cut_off))
    })
    .await;
    // Datagrams make the two processes known to each other, as a third one that knows both would.
    introduce(&served.host, &cut_off.host).await;
    cut_off.store.set_mode(StoreMode::Refuse(503));
    served.store.put("op", "config", &config(5, &routes()));
    cut_off
        .wait_answer(&request("GET", "/safe/", "id", "", ""), 200)
        .await;
    served.store.remove("servers", "i-0");
    cut_off
        .wait_answer(&request("GET", "/safe/", "id", "", ""), 503)
        .await;
}

/// Sends each of two processes a datagram from the other's host.
async fn introduce(a: &platform::HostSettings, b: &platform::HostSettings) {
    let peer_status = gateway::peers::PeerStatus {
        start: 1,
        number: 1,
        scope: gateway::peers::Scope::Direct,
        zone: 0,
        processes: 1,
        config: 0,
        era: 1,
        members: platform::Position::NONE,
        registry: platform::Position::NONE,
        registry_ms: 0,
        registry_at_ms: 0,
        view: 0,
        loads: Vec::new(),
        changing: Vec::new(),
        placements: Vec::new(),
        crashes: Vec::new(),
        statements: Vec::new(),
    };
    let buf = wire::encode_compact(&peer_status);
    for (from, to) in [(a, b), (b, a)] {
        let socket = tokio::net::UdpSocket::bind(SocketAddr::new(from.ip, 0))
            .await
            .unwrap();
        let port = to.peer_port;
        socket
            .send_to(&buf, SocketAddr::new(to.ip, port))
            .await
            .unwrap();
    }
}

#[tokio::test]
async fn a_stopping_process_first_reports_not_ready_and_aborts_no_response() {
    let (mut bed, workers) = start(1).await;
    let slow = Action::Delayed(
        Duration::from_secs(3),
        Box::new(Action::Answer(200, "late".into())),
    );
    workers[0].script([slow]);
    let callers = bed.callers;
    let running = tokio::spawn(async move {
        exchange(callers, &request("POST", "/unsafe/", "running", "", "x")).await
    });
    workers[0].wait_for_requests(1).await;
    let row = bed.host.name.clone();
    wait_for("the process's row", || async {
        bed.store.has("processes", &row)
    })
    .await;
    bed.stop.stop();
    bed.wait_ready(503).await;
    // New requests are served until the balancer notices the stop.
    let res = exchange(bed.callers, &request("GET", "/safe/", "new", "", "")).await;
    assert_eq!(status(&res), 200);
    let res = running.await.unwrap();
    assert!(res.ends_with("late"), "{res}");
    assert!(res.contains("connection: close"), "{res}");
    tokio::time::timeout(common::WAIT_TIMEOUT, &mut bed.task)
        .await
        .expect("in time")
        .unwrap();
    assert!(!bed.store.has("processes", &row));
}

#[tokio::test]
async fn a_stopping_process_serves_short_requests_and_refuses_long_answers() {
    let (mut bed, _workers) = start(1).await;
    let engine = bed.add_worker("i-llm", "llm", Some("decode")).await;
    engine.script([
        Action::Events(1..=2),
        Action::EventsThenHang(1..=2),
        Action::EventsThenHang(1..=2),
    ]);
    let tokens = |most: u32| format!("token-counts: 100,{most}\r\nprompt-prefix: a:50,b:50\r\n");
    bed.wait_answer(&request("POST", "/prompt/", "id-0", &tokens(5), "x"), 200)
        .await;
    // A long answer that began before the stop keeps the process from exiting.
    let mut early = Client::connect(bed.callers).await;
    early
        .send(&request("POST", "/prompt/", "early", &tokens(5000), "x"))
        .await;
    early.read_until("piece 2").await;
    bed.stop.stop();
    // A response with this header shows that the delay for the balancer is over.
    let callers = bed.callers;
    wait_for("the drain", || async move {
        let res = exchange(callers, &request("GET", "/safe/", "short", "", "")).await;
        assert_eq!(status(&res), 200, "{res}");
        res.contains("connection: close")
    })
    .await;
    // A short request is accepted, and keeps the process running until its deadline.
    let mut held = Client::connect(callers).await;
    held.send(&request("POST", "/prompt/", "held", &tokens(5), "x"))
        .await;
    held.read_until("piece 2").await;
    // Waits until the process would exit before the deadline of a new request.
    tokio::time::sleep(Duration::from_millis(1700)).await;
    let seen = engine.requests().len();
    let res = exchange(
        callers,
        &request("POST", "/prompt/", "late", &tokens(5000), "x"),
    )
    .await;
    assert_eq!(status(&res), 503);
    assert!(res.contains("\"error\":\"stopping\""), "{res}");
    assert!(res.contains("retry-after"), "{res}");
    assert_eq!(engine.requests().len(), seen);
    tokio::time::timeout(common::WAIT_TIMEOUT, &mut bed.task)
        .await
        .expect("in time")
        .unwrap();
}

#[tokio::test]
async fn a_failing_worker_is_suspended_and_tried_again() {
    let (bed, workers) = start(2).await;
    workers[0].script((0..6).map(|_| Action::Close));
    let callers = bed.callers;
    let mut failed = 0;
    for n in 0..60 {
        let id = format!("id-{n}");
        let res = exchange(callers, &request("POST", "/unsafe/", &id, "", "x")).await;
        failed += u32::from(status(&res) == 502);
    }
    assert!((1..=5).contains(&failed), "{failed} failed");
    let before = workers[0].requests().len();
    wait_for("a new try", || async {
        exchange(callers, &request("GET", "/safe/", "again", "", "")).await;
        workers[0].requests().len() > before + 1
    })
    .await;
}

#[test]
fn each_test_host_has_its_own_address() {
    let store = SocketAddr::new(IpAddr::V4(address()), 1);
    assert_ne!(host(address(), store).ip, host(address(), store).ip);
}

#[tokio::test]
async fn a_registry_of_many_pages_is_read_even_if_each_third_call_is_refused() {
    let bed = start_without_config();
    bed.store.set_mode(StoreMode::RefuseEveryThird(429));
    bed.store.set_page_rows(3);
    let gone = SocketAddr::new(IpAddr::V4(address()), 7300);
    for n in 0..20 {
        bed.register(&format!("a-{n:02}"), "plain", gone, "draining", None);
    }
    // Its row is on the last page, so it is used only once all pages were read.
    let worker = bed.add_worker("z-last", "plain", None).await;
    bed.store.put("op", "config", &config(1, &routes()));
    bed.wait_answer(&request("GET", "/safe/", "id-1", "", ""), 200)
        .await;
    assert!(!worker.requests().is_empty());
}

#[tokio::test]
async fn a_registry_of_many_pages_is_read_in_full_if_its_history_is_lost() {
    let bed = start_without_config();
    bed.store.set_page_rows(3);
    let gone = SocketAddr::new(IpAddr::V4(address()), 7300);
    for n in 0..20 {
        bed.register(&format!("a-{n:02}"), "plain", gone, "draining", None);
    }
    let _first = bed.add_worker("y-first", "plain", None).await;
    bed.store.put("op", "config", &config(1, &routes()));
    bed.wait_answer(&request("GET", "/safe/", "id-1", "", ""), 200)
        .await;
    // The only worker leaves and another one is added on the last page. No feed reports this.
    bed.store.remove("servers", "y-first");
    let last = bed.add_worker("z-last", "plain", None).await;
    bed.store.forget_history();
    let callers = bed.callers;
    wait_for("the new worker", || async {
        exchange(callers, &request("GET", "/safe/", "id-2", "", "")).await;
        !last.requests().is_empty()
    })
    .await;
}

/// A host once waited for the answer to its first read of a table as long as for a read that the
/// store may hold, 30.8 s, even long after the store was back.
#[tokio::test]
async fn a_host_that_starts_while_the_store_is_silent_finds_its_peers_soon_after() {
    let (bed, _workers) = start(1).await;
    bed.store.set_mode(StoreMode::SilentReads("processes"));
    let ip = address();
    // The second host uses the first one's store.
    let own = Store::start(SocketAddr::new(IpAddr::V4(ip), 7004)).unwrap();
    let later = start_on(host(ip, bed.store.addr), own);
    later.wait_ready(200).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    bed.store.set_mode(StoreMode::Serve);
    let rows_written = wait_for("its row", || async {
        bed.store.keys("processes").len() == 2
    });
    // Much longer than an answer and a pause take, and much shorter than a held read.
    let rows_written = tokio::time::timeout(Duration::from_secs(15), rows_written);
    rows_written
        .await
        .expect("long before a held read would end");
}
