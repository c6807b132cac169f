//! Upstreams that start again under their id, and entries that name none to use, against
//! stand-ins of the store and the workers.

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

/// A start of a worker, and a later one by its clock.
const FIRST: u64 = 1_700_000_000_000;
const SECOND: u64 = FIRST + 5000;

async fn worker_since(bed: &TestGateway, id: &str, born: u64, state: &str) -> Worker {
    let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
    let worker = Worker::start_with_time(addr, id, born).await.unwrap();
    put_since(bed, &worker, id, born, state);
    worker
}

fn put_since(bed: &TestGateway, worker: &Worker, id: &str, born: u64, state: &str) {
    let row = fixture::worker_row_with_start(born, "plain", worker.addr, state);
    bed.store.put("servers", id, &row);
}

fn get(id: &str) -> String {
    request("GET", "/safe/", id, "", "")
}

#[tokio::test]
async fn an_upstream_that_drained_and_started_again_is_used() {
    for born in [SECOND, FIRST - 5000] {
        let bed = start_without_config();
        let mut worker = worker_since(&bed, "i-0", FIRST, "ready").await;
        bed.store.put("op", "config", &config(1, &routes()));
        bed.wait_answer(&get("before"), 200).await;
        put_since(&bed, &worker, "i-0", FIRST, "draining");
        bed.wait_answer(&get("drains"), 503).await;
        worker.restart(born).await.unwrap();
        put_since(&bed, &worker, "i-0", born, "ready");
        bed.wait_answer(&get("again"), 200).await;
    }
}

#[tokio::test]
async fn an_upstream_whose_row_names_another_address_is_called_there() {
    let (bed, workers) = start(1).await;
    bed.wait_answer(&get("before"), 200).await;
    let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
    let moved = Worker::start(addr, "i-0").await.unwrap();
    bed.register("i-0", "plain", addr, "ready", None);
    let callers = bed.callers;
    wait_for("a request at the new address", || async {
        exchange(callers, &get("after")).await;
        !moved.requests().is_empty()
    })
    .await;
    let before = workers[0].requests().len();
    bed.wait_answer(&get("later"), 200).await;
    assert_eq!(workers[0].requests().len(), before);
}

#[tokio::test]
async fn an_entry_that_cant_be_read_takes_its_upstream_out_and_no_other() {
    let (bed, kept) = start(1).await;
    let good = fixture::worker_row_with_start(FIRST, "plain", kept[0].addr, "ready");
    let kinds = fixture::unreadable_rows(&good);
    let mut workers = Vec::new();
    for (kind, _) in &kinds {
        workers.push(worker_since(&bed, kind, FIRST, "ready").await);
    }
    let callers = bed.callers;
    wait_for("requests at all", || async {
        exchange(callers, &get("before")).await;
        workers.iter().all(|w| !w.requests().is_empty())
    })
    .await;
    for (kind, value) in &kinds {
        bed.store.put_raw("servers", kind, value);
    }
    wait_for("requests at the readable one alone", || async {
        let before: Vec<usize> = workers.iter().map(|w| w.requests().len()).collect();
        for n in 0..3 * workers.len() {
            let text = exchange(callers, &get(&format!("id-{n}"))).await;
            assert_eq!(status(&text), 200);
        }
        before.iter().eq(workers
            .iter()
            .map(|w| w.requests().len())
            .collect::<Vec<_>>()
            .iter())
    })
    .await;
    // Each comes back with a row that can be read.
    let seen: Vec<usize> = workers.iter().map(|w| w.requests().len()).collect();
    for ((kind, _), worker) in kinds.iter().zip(&workers) {
        put_since(&bed, worker, kind, FIRST, "ready");
    }
    wait_for("requests at all again", || async {
        exchange(callers, &get("after")).await;
        workers
            .iter()
            .zip(&seen)
            .all(|(w, n)| w.requests().len() > *n)
    })
    .await;
}

#[tokio::test]
async fn a_report_of_another_start_is_of_use_for_no_order() {
    let ip = address();
    let store = Store::start(SocketAddr::new(IpAddr::V4(ip), 7003)).unwrap();
    let mut config = config(1, &routes());
    config["Services"][1]["Engine"]["Slots"] = json!(64);
    store.put("op", "config", &config);
    let mut workers = Vec::new();
    for n in 0..12 {
        let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
        let id = format!("i-{n}");
        let worker = Worker::start_with_time(addr, &id, SECOND).await.unwrap();
        worker.set_default_action(Action::Engine {
            stage: "decode",
            orders: 4,
            order_status: 202,
        });
        let mut row = fixture::worker_row_with_start(FIRST, "llm", addr, "ready");
        row["Stage"] = json!(if n < 4 { "prefill" } else { "decode" });
        row["Slots"] = json!(64);
        store.put("servers", &id, &row);
        workers.push(worker);
    }
    let mut host = host(ip, store.addr);
    host.is_first_start = true;
    let _bed = start_on(host, store);
    let asked = |w: &Worker| w.requests().iter().filter(|s| s.path == "/report").count();
    // Each that is asked twice was passed over once.
    wait_for("reports", || async { workers.iter().any(|w| asked(w) > 1) }).await;
    for worker in &workers {
        assert!(worker.requests().iter().all(|s| s.path != "/order"));
    }
}

#[tokio::test]
async fn what_the_earlier_start_has_read_is_taken_by_no_engine() {
    let bed = start_without_config();
    let reader = engine(&bed, "i-read", "prefill").await;
    let generator = engine(&bed, "i-0", "decode").await;
    generator.set_default_action(Action::Events(1..=2));
    bed.store.put("op", "config", &config(1, &routes()));
    bed.wait_ready(200).await;
    let more = "model: m\r\ntoken-counts: 100,9\r\nprompt-prefix: 1:50,2:50\r\n";
    let prompt = |id: &str| request("POST", "/prompt/x", id, more, "");
    reader.set_default_action(Action::Prefilled("later".into()));
    bed.wait_answer(&prompt("before"), 200).await;
    // The new start is told while the earlier one reads. A busy machine may hear of it
    // only after the prompt was read, so this is tried until it is heard in time.
    let rounds = AtomicU64::new(0);
    wait_for("a prompt that isn't taken", || async {
        let round = rounds.fetch_add(1, Ordering::Relaxed);
        let answer = Action::Prefilled("earlier".into());
        reader.script([Action::Delayed(Duration::from_secs(2), Box::new(answer))]);
        let (callers, id) = (bed.callers, format!("id-{round}"));
        let req = prompt(&id);
        let asked = tokio::spawn(async move { exchange(callers, &req).await });
        let is_read = || reader.requests().iter().any(|s| s.id() == id);
        wait_for("the prompt to be read", || async {
            is_read() || asked.is_finished()
        })
        .await;
        put_engine(&bed, &reader, "i-read", SECOND + round, "prefill");
        asked.await.unwrap();
        let is_taken = |s: &ReceivedRequest| {
            let source = s.header("kv-source");
            s.id() == id && source.is_some_and(|h| h.ends_with("/earlier"))
        };
        is_read() && !generator.requests().iter().any(is_taken)
    })
    .await;
}

async fn engine(bed: &TestGateway, id: &str, stage: &str) -> Worker {
    let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
    let worker = Worker::start_with_time(addr, id, FIRST).await.unwrap();
    put_engine(bed, &worker, id, FIRST, stage);
    worker
}

fn put_engine(bed: &TestGateway, worker: &Worker, id: &str, born: u64, stage: &str) {
    let mut row = fixture::worker_row_with_start(born, "llm", worker.addr, "ready");
    row["Stage"] = json!(stage);
    bed.store.put("servers", id, &row);
}
