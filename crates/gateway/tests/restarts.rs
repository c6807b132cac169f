//! Tests upstreams that restart under their id, and registry entries that can't be used, with a
//! simulated store and simulated workers.

#[expect(dead_code, reason = "each test file uses some of them")]
mod common;

use common::{
    TestGateway, address, config, exchange, host, request, routes, start, start_on,
    start_without_config,
};
use common::{status, wait_for};
use serde_json::json;
use standin::{Action, ReceivedRequest, Store, Worker, fixture};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Start times of a worker, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_700_000_000_000;
const SECOND_START_MS: u64 = FIRST_START_MS + 5000;

async fn add_worker(bed: &TestGateway, id: &str, start_ms: u64, state: &str) -> Worker {
    let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
    let worker = Worker::start_with_time(addr, id, start_ms).await.unwrap();
    put_row(bed, &worker, id, start_ms, state);
    worker
}

fn put_row(bed: &TestGateway, worker: &Worker, id: &str, start_ms: u64, state: &str) {
    let row = fixture::worker_row_with_start(start_ms, "plain", worker.addr, state);
    bed.store.put("servers", id, &row);
}

fn get_request(id: &str) -> String {
    request("GET", "/safe/", id, "", "")
}

#[tokio::test]
async fn a_drained_upstream_is_used_after_its_restart() {
    for start_ms in [SECOND_START_MS, FIRST_START_MS - 5000] {
        let bed = start_without_config();
        let mut worker = add_worker(&bed, "i-0", FIRST_START_MS, "ready").await;
        bed.store.put("op", "config", &config(1, &routes()));
        bed.wait_answer(&get_request("before"), 200).await;
        put_row(&bed, &worker, "i-0", FIRST_START_MS, "draining");
        bed.wait_answer(&get_request("drains"), 503).await;
        worker.restart(start_ms).await.unwrap();
        put_row(&bed, &worker, "i-0", start_ms, "ready");
        bed.wait_answer(&get_request("again"), 200).await;
    }
}

#[tokio::test]
async fn requests_go_to_the_new_address_of_a_moved_upstream() {
    let (bed, workers) = start(1).await;
    bed.wait_answer(&get_request("before"), 200).await;
    let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
    let moved = Worker::start(addr, "i-0").await.unwrap();
    bed.register("i-0", "plain", addr, "ready", None);
    let callers = bed.callers;
    wait_for("a request at the new address", || async {
        exchange(callers, &get_request("after")).await;
        !moved.requests().is_empty()
    })
    .await;
    let before = workers[0].requests().len();
    bed.wait_answer(&get_request("later"), 200).await;
    assert_eq!(workers[0].requests().len(), before);
}

#[tokio::test]
async fn an_unreadable_entry_removes_only_its_own_upstream() {
    let (bed, kept) = start(1).await;
    let good = fixture::worker_row_with_start(FIRST_START_MS, "plain", kept[0].addr, "ready");
    let kinds = fixture::unreadable_rows(&good);
    let mut workers = Vec::new();
    for (kind, _) in &kinds {
        workers.push(add_worker(&bed, kind, FIRST_START_MS, "ready").await);
    }
    let callers = bed.callers;
    wait_for("requests at every worker", || async {
        exchange(callers, &get_request("before")).await;
        workers.iter().all(|w| !w.requests().is_empty())
    })
    .await;
    for (kind, value) in &kinds {
        bed.store.put_raw("servers", kind, value);
    }
    wait_for(
        "requests only at the worker with a readable entry",
        || async {
            let before: Vec<usize> = workers.iter().map(|w| w.requests().len()).collect();
            for n in 0..3 * workers.len() {
                let res = exchange(callers, &get_request(&format!("id-{n}"))).await;
                assert_eq!(status(&res), 200);
            }
            before.iter().eq(workers
                .iter()
                .map(|w| w.requests().len())
                .collect::<Vec<_>>()
                .iter())
        },
    )
    .await;
    // Each worker is used again once its row can be decoded.
    let seen: Vec<usize> = workers.iter().map(|w| w.requests().len()).collect();
    for ((kind, _), worker) in kinds.iter().zip(&workers) {
        put_row(&bed, worker, kind, FIRST_START_MS, "ready");
    }
    wait_for("requests at every worker again", || async {
        exchange(callers, &get_request("after")).await;
        workers
            .iter()
            .zip(&seen)
            .all(|(w, n)| w.requests().len() > *n)
    })
    .await;
}

#[tokio::test]
async fn a_report_of_another_start_leads_to_no_order() {
    let ip = address();
    let store = Store::start(SocketAddr::new(IpAddr::V4(ip), 7003)).unwrap();
    let mut config = config(1, &routes());
    config["Services"][1]["Engine"]["Slots"] = json!(64);
    store.put("op", "config", &config);
    let mut workers = Vec::new();
    for n in 0..12 {
        let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
        let id = format!("i-{n}");
        let worker = Worker::start_with_time(addr, &id, SECOND_START_MS)
            .await
            .unwrap();
        worker.set_default_action(Action::Engine {
            stage: "decode",
            orders: 4,
            order_status: 202,
        });
        let mut row = fixture::worker_row_with_start(FIRST_START_MS, "llm", addr, "ready");
        row["Stage"] = json!(if n < 4 { "prefill" } else { "decode" });
        row["Slots"] = json!(64);
        store.put("servers", &id, &row);
        workers.push(worker);
    }
    let mut host = host(ip, store.addr);
    host.is_first_start = true;
    let _bed = start_on(host, store);
    let reports_requested =
        |w: &Worker| w.requests().iter().filter(|s| s.path == "/report").count();
    // The first report of an engine that is asked twice led to no order.
    wait_for("reports", || async {
        workers.iter().any(|w| reports_requested(w) > 1)
    })
    .await;
    for worker in &workers {
        assert!(worker.requests().iter().all(|s| s.path != "/order"));
    }
}

#[tokio::test]
async fn no_engine_uses_a_kv_cache_of_an_earlier_start() {
    let bed = start_without_config();
    let prefill_engine = add_engine(&bed, "i-read", "prefill").await;
    let generator = add_engine(&bed, "i-0", "decode").await;
    generator.set_default_action(Action::Events(1..=2));
    bed.store.put("op", "config", &config(1, &routes()));
    bed.wait_ready(200).await;
    let headers = "model: m\r\ntoken-counts: 100,9\r\nprompt-prefix: 1:50,2:50\r\n";
    let prompt = |id: &str| request("POST", "/prompt/x", id, headers, "");
    prefill_engine.set_default_action(Action::Prefilled("later".into()));
    bed.wait_answer(&prompt("before"), 200).await;
    // The new start is registered during the prefill of the earlier one. On a busy machine, the
    // gateway may learn of it only after the prefill, so this is repeated until it does in time.
    let rounds = AtomicU64::new(0);
    wait_for("a prompt whose KV cache isn't used", || async {
        let round = rounds.fetch_add(1, Ordering::Relaxed);
        let answer = Action::Prefilled("earlier".into());
        prefill_engine.script([Action::Delayed(Duration::from_secs(2), Box::new(answer))]);
        let (callers, id) = (bed.callers, format!("id-{round}"));
        let req = prompt(&id);
        let task = tokio::spawn(async move { exchange(callers, &req).await });
        let has_reached_prefill_engine = || prefill_engine.requests().iter().any(|s| s.id() == id);
        wait_for("the prompt to reach the prefill engine", || async {
            has_reached_prefill_engine() || task.is_finished()
        })
        .await;
        put_engine_row(
            &bed,
            &prefill_engine,
            "i-read",
            SECOND_START_MS + round,
            "prefill",
        );
        task.await.unwrap();
        let uses_earlier_cache = |s: &ReceivedRequest| {
            let source = s.header("kv-source");
            s.id() == id && source.is_some_and(|h| h.ends_with("/earlier"))
        };
        has_reached_prefill_engine() && !generator.requests().iter().any(uses_earlier_cache)
    })
    .await;
}

async fn add_engine(bed: &TestGateway, id: &str, stage: &str) -> Worker {
    let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
    let worker = Worker::start_with_time(addr, id, FIRST_START_MS)
        .await
        .unwrap();
    put_engine_row(bed, &worker, id, FIRST_START_MS, stage);
    worker
}

fn put_engine_row(bed: &TestGateway, worker: &Worker, id: &str, start_ms: u64, stage: &str) {
    let mut row = fixture::worker_row_with_start(start_ms, "llm", worker.addr, "ready");
    row["Stage"] = json!(stage);
    bed.store.put("servers", id, &row);
}
