//! Tests orders to engines, with a simulated store and simulated engines.

#[expect(dead_code, reason = "each test file uses some of them")]
mod common;

use common::{TestGateway, address, config, host, request, routes, start_on, wait_for};
use serde_json::{Value, json};
use standin::{Action, Store, Worker, fixture};
use std::net::{IpAddr, SocketAddr};

/// Behaviour of an engine that answers report requests, and orders with a status.
fn answer_orders(order_status: u16) -> Action {
    Action::Engine {
        stage: "decode",
        orders: 4,
        order_status,
    }
}

/// Four prefill engines and eight generators.
const TWELVE_STAGES: [&str; 12] = [
    "prefill", "prefill", "prefill", "prefill", "decode", "decode", "decode", "decode", "decode",
    "decode", "decode", "decode",
];

/// Starts a gateway as part of the first start of the whole system, with engines of 64 slots that
/// have the given stages and treat each request according to `act`.
async fn start_with_engines(
    stages: &[&str],
    act: Action,
    prepare: impl FnOnce(&Store),
) -> (TestGateway, Vec<Worker>) {
    let ip = address();
    let store = Store::start(SocketAddr::new(IpAddr::V4(ip), 7003)).unwrap();
    prepare(&store);
    let mut config = config(1, &routes());
    config["Services"][1]["Engine"]["Slots"] = json!(64);
    store.put("op", "config", &config);
    let mut workers = Vec::new();
    for (n, stage) in stages.iter().enumerate() {
        let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
        let id = format!("i-{n}");
        let worker = Worker::start(addr, &id).await.unwrap();
        worker.set_default_action(act.clone());
        store.put("servers", &id, &engine_row(addr, stage));
        workers.push(worker);
    }
    let mut host = host(ip, store.addr);
    host.is_first_start = true;
    let bed = start_on(host, store);
    bed.wait_ready(200).await;
    (bed, workers)
}

/// Lets the engines answer prompts, and waits until one is answered.
async fn wait_until_served(bed: &TestGateway, workers: &[Worker]) {
    for worker in workers {
        worker.set_default_action(Action::Echo);
    }
    let headers = "model: m\r\ntoken-counts: 100,9\r\nprompt-prefix: 1:50,2:50\r\n";
    let prompt = request("POST", "/prompt/x", "a", headers, "");
    bed.wait_answer(&prompt, 200).await;
}

fn engine_row(addr: SocketAddr, stage: &str) -> Value {
    let mut row = fixture::worker_row("llm", addr, "ready", Some(stage));
    row["Slots"] = json!(64);
    row
}

fn orders(worker: &Worker) -> Vec<Value> {
    let seen = worker.requests();
    let orders = seen.iter().filter(|s| s.path == "/order");
    orders
        .map(|s| serde_json::from_slice(&s.body).unwrap())
        .collect()
}

/// Indices of the engines that received orders.
fn engines_with_orders(workers: &[Worker]) -> Vec<usize> {
    let all = workers.iter().enumerate();
    all.filter(|(_, w)| !orders(w).is_empty())
        .map(|(n, _)| n)
        .collect()
}

#[tokio::test]
async fn engines_get_orders_under_a_lease_after_a_report() {
    let (bed, workers) = start_with_engines(&TWELVE_STAGES, answer_orders(202), |_| {}).await;
    wait_for("orders", || async {
        engines_with_orders(&workers).len() == 4
    })
    .await;
    let lease = bed.store.value("leases", "orders").unwrap();
    assert_eq!(lease["holder"], json!(bed.host.ip.to_string()));
    for n in engines_with_orders(&workers) {
        assert!(n >= 4, "i-{n} is a prefill engine already");
        let expected = json!({
            "Operation": "Stage", "Stage": "prefill", "Holder": bed.host.ip.to_string(),
            "FencingToken": lease["token"], "ExpectedRevision": 4,
        });
        assert_eq!(orders(&workers[n]), [expected]);
        let seen = workers[n].requests();
        let order = seen.iter().find(|s| s.path == "/order").unwrap();
        assert_eq!(
            order.header("expect-instance"),
            Some(format!("i-{n}").as_str())
        );
    }
}

#[tokio::test]
async fn no_order_is_sent_while_another_host_holds_the_lease() {
    // A lease of another host that expires long after this test.
    let lease = json!({"holder": "10.0.0.9", "token": 3, "until_ms": 3_600_000});
    let prepare = |store: &Store| {
        store.put("leases", "orders", &lease);
    };
    let (bed, workers) = start_with_engines(&["decode"; 4], answer_orders(202), prepare).await;
    let store = &bed.store;
    wait_for("a read of the lease", || async {
        store.reads("leases") > 0
    })
    .await;
    wait_until_served(&bed, &workers).await;
    assert_eq!(bed.store.value("leases", "orders"), Some(lease));
    assert!(engines_with_orders(&workers).is_empty());
}

#[tokio::test]
async fn an_engine_that_refuses_its_order_keeps_serving() {
    let (bed, workers) = start_with_engines(&TWELVE_STAGES, answer_orders(409), |_| {}).await;
    wait_for("orders", || async {
        engines_with_orders(&workers).len() == 4
    })
    .await;
    wait_until_served(&bed, &workers).await;
}

#[tokio::test]
async fn an_engine_whose_report_cant_be_decoded_gets_no_order() {
    let act = Action::Answer(200, "{\"Busy\":\"perhaps\"}".into());
    let (bed, workers) = start_with_engines(&["decode"; 4], act, |_| {}).await;
    let is_asked = |w: &Worker| w.requests().iter().any(|s| s.path == "/report");
    wait_for("a report", || async { workers.iter().any(is_asked) }).await;
    wait_until_served(&bed, &workers).await;
    assert!(engines_with_orders(&workers).is_empty());
}
