//! Orders to engines, against stand-ins of the store and the engines.

#[expect(dead_code, reason = "each test file uses some of them")]
mod common;

use common::{Bed, address, config, host, request, routes, start_on, wait_for};
use serde_json::{Value, json};
use standin::{Act, Store, Worker, fixture};
use std::net::{IpAddr, SocketAddr};

/// An engine that answers reports and orders.
fn engine(order_status: u16) -> Act {
    Act::Engine {
        stage: "decode",
        orders: 4,
        order_status,
    }
}

/// A gateway that starts with the whole system, before twelve engines with 64 slots of
/// which eight generate.
async fn start_first(order_status: u16) -> (Bed, Vec<Worker>) {
    let ip = address();
    let store = Store::start(SocketAddr::new(IpAddr::V4(ip), 7003)).unwrap();
    let mut config = config(1, &routes());
    config["Services"][1]["Engine"]["Slots"] = json!(64);
    store.put("op", "config", &config);
    let mut workers = Vec::new();
    for n in 0..12 {
        let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
        let id = format!("i-{n}");
        let worker = Worker::start(addr, &id).await.unwrap();
        worker.usually(engine(order_status));
        let stage = if n < 4 { "prefill" } else { "decode" };
        store.put("servers", &id, &row(addr, stage));
        workers.push(worker);
    }
    let mut host = host(ip, store.addr);
    host.is_first_start = true;
    let bed = start_on(host, store);
    bed.wait_ready(200).await;
    (bed, workers)
}

fn row(addr: SocketAddr, stage: &str) -> Value {
    let mut row = fixture::worker("llm", addr, "ready", Some(stage));
    row["Slots"] = json!(64);
    row
}

fn orders(worker: &Worker) -> Vec<Value> {
    let seen = worker.seen();
    let orders = seen.iter().filter(|s| s.path == "/order");
    orders
        .map(|s| serde_json::from_slice(&s.body).unwrap())
        .collect()
}

/// The engines that have orders.
fn ordered(workers: &[Worker]) -> Vec<usize> {
    let all = workers.iter().enumerate();
    all.filter(|(_, w)| !orders(w).is_empty())
        .map(|(n, _)| n)
        .collect()
}

#[tokio::test]
async fn engines_are_ordered_under_a_lease_with_their_report_in_hand() {
    let (bed, workers) = start_first(202).await;
    wait_for("orders", || async { ordered(&workers).len() == 4 }).await;
    let lease = bed.store.value("leases", "orders").unwrap();
    assert_eq!(lease["holder"], json!(bed.host.ip.to_string()));
    for n in ordered(&workers) {
        assert!(n >= 4, "i-{n} reads already");
        let expected = json!({
            "Operation": "Stage", "Stage": "prefill", "Holder": bed.host.ip.to_string(),
            "FencingToken": lease["token"], "ExpectedRevision": 4,
        });
        assert_eq!(orders(&workers[n]), [expected]);
        let seen = workers[n].seen();
        let order = seen.iter().find(|s| s.path == "/order").unwrap();
        assert_eq!(
            order.header("expect-instance"),
            Some(format!("i-{n}").as_str())
        );
    }
}

#[tokio::test]
async fn no_order_is_given_while_another_host_may_still_give_some() {
    let ip = address();
    let store = Store::start(SocketAddr::new(IpAddr::V4(ip), 7003)).unwrap();
    // Another host's lease that ends long after this test.
    let lease = json!({"holder": "10.0.0.9", "token": 3, "until_ms": 3_600_000});
    store.put("leases", "orders", &lease);
    let mut config = config(1, &routes());
    config["Services"][1]["Engine"]["Slots"] = json!(64);
    store.put("op", "config", &config);
    let mut workers = Vec::new();
    for n in 0..4 {
        let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
        let id = format!("i-{n}");
        let worker = Worker::start(addr, &id).await.unwrap();
        worker.usually(engine(202));
        store.put("servers", &id, &row(addr, "decode"));
        workers.push(worker);
    }
    let mut host = host(ip, store.addr);
    host.is_first_start = true;
    let bed = start_on(host, store);
    bed.wait_ready(200).await;
    wait_for("a look at the lease", || async {
        bed.store.reads("leases") > 0
    })
    .await;
    assert_eq!(bed.store.value("leases", "orders"), Some(lease));
    assert!(ordered(&workers).is_empty());
}

#[tokio::test]
async fn an_engine_that_refuses_its_order_serves_on() {
    let (bed, workers) = start_first(409).await;
    wait_for("orders", || async { ordered(&workers).len() == 4 }).await;
    for worker in &workers {
        worker.usually(Act::Echo);
    }
    let prompt = request(
        "POST",
        "/prompt/x",
        "a",
        "model: m\r\ntoken-counts: 100,9\r\nprompt-prefix: 1:50,2:50\r\n",
        "",
    );
    bed.wait_answer(&prompt, 200).await;
}
