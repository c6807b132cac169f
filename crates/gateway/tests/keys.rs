//! Tests which requests are accepted by their API key, and what happens if a key is removed while
//! a request runs.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{Client, TestGateway, config, exchange, request, routes, start, status, wait_for};
use serde_json::{Value, json};
use standin::{Action, Worker};
use std::time::Duration;

/// Time after which a stream is reset; far longer than a configuration takes to come into force.
const RESET_AFTER: Duration = Duration::from_millis(2500);
const KEY: &str = "key: k-one\r\n";

/// A configuration with the tenant `one` and its keys. The routes require a key, except for `open`.
fn config_with_keys(version: u64, keys: &[&str]) -> Value {
    let mut routes = routes();
    let mut open = routes[0].clone();
    open["Name"] = json!("open");
    open["PathPrefix"] = json!("/open/");
    open["Anonymous"] = json!(true);
    routes.as_array_mut().unwrap().push(open);
    let mut config = config(version, &routes);
    config["Tenants"] = json!([{"Name": "one", "ApiKeys": keys, "Priority": 1}]);
    config
}

async fn start_with_keys(workers: usize) -> (TestGateway, Vec<Worker>) {
    let (bed, workers) = start(workers).await;
    put_and_wait(
        &bed,
        &config_with_keys(2, &["k-one", "k-two"]),
        "k-two",
        200,
    )
    .await;
    (bed, workers)
}

/// Writes a configuration and waits until a request with the key gets the status.
async fn put_and_wait(bed: &TestGateway, config: &Value, key: &str, status: u16) {
    bed.store.put("op", "config", config);
    let probe = request("GET", "/safe/", "probe", &format!("key: {key}\r\n"), "");
    bed.wait_answer(&probe, status).await;
}

/// For each time that workers received a request: its tenant, and whether it had a key.
fn forwarded(workers: &[Worker], id: &str) -> Vec<(Option<String>, bool)> {
    let all = workers.iter().flat_map(Worker::requests);
    let ours = all.filter(|s| s.id() == id);
    ours.map(|s| {
        let tenant = s.header("tenant").map(str::to_owned);
        (tenant, s.header("key").is_some())
    })
    .collect()
}

#[tokio::test]
async fn a_route_that_requires_a_key_accepts_only_valid_keys() {
    let (bed, workers) = start_with_keys(1).await;
    for (id, headers) in [
        ("none", ""),
        ("unknown", "key: k-three\r\n"),
        ("empty", "key: \r\n"),
        ("two", "key: k-one\r\nkey: k-one\r\n"),
        ("forged", "tenant: one\r\n"),
    ] {
        let res = exchange(bed.callers, &request("POST", "/unsafe/", id, headers, "x")).await;
        assert_eq!(status(&res), 401, "{id}: {res}");
        assert!(!res.to_ascii_lowercase().contains("retry-after"), "{res}");
        assert!(forwarded(&workers, id).is_empty(), "{id}");
    }
    let headers = "key: k-one\r\ntenant: other\r\nconnection: tenant\r\n";
    let res = exchange(
        bed.callers,
        &request("POST", "/unsafe/", "good", headers, "x"),
    )
    .await;
    assert_eq!(status(&res), 200, "{res}");
    assert_eq!(
        forwarded(&workers, "good"),
        [(Some("one".to_owned()), false)],
        "the tenant is forwarded and the key isn't"
    );
}

#[tokio::test]
async fn an_open_route_needs_no_key_and_forwards_none() {
    let (bed, workers) = start_with_keys(1).await;
    let cases = [
        ("none", "tenant: forged\r\n", None),
        ("unknown", "key: k-three\r\n", None),
        ("known", KEY, Some("one".to_owned())),
    ];
    for (id, headers, tenant) in cases {
        let res = exchange(bed.callers, &request("GET", "/open/", id, headers, "")).await;
        assert_eq!(status(&res), 200, "{id}: {res}");
        assert_eq!(forwarded(&workers, id), [(tenant, false)], "{id}");
    }
}

#[tokio::test]
async fn a_request_without_a_key_is_refused_before_its_body_is_read() {
    let (bed, _workers) = start_with_keys(1).await;
    let mut client = Client::connect(bed.callers).await;
    let head = "POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: i\r\n\
                deadline-ms: 4000\r\ncontent-length: 1000\r\n\r\n";
    client.send(head).await;
    client.read_until("401 Unauthorized").await;
}

#[tokio::test]
async fn a_request_is_not_forwarded_if_its_key_is_removed_while_the_body_arrives() {
    let (bed, workers) = start_with_keys(1).await;
    let mut client = Client::connect(bed.callers).await;
    let head = format!(
        "POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nattempt-id: late\r\n\
         deadline-ms: 30000\r\n{KEY}content-length: 4\r\n\r\n"
    );
    client.send(&format!("{head}ab")).await;
    put_and_wait(&bed, &config_with_keys(3, &["k-two"]), "k-one", 401).await;
    client.send("cd").await;
    client.read_until("401 Unauthorized").await;
    assert!(forwarded(&workers, "late").is_empty());
}

#[tokio::test]
async fn a_request_is_not_retried_after_its_key_was_removed() {
    let (bed, workers) = start_with_keys(2).await;
    for worker in &workers {
        let answer = Action::Answer(500, "failed".into());
        worker.script([Action::Delayed(
            Duration::from_millis(1500),
            Box::new(answer),
        )]);
    }
    let mut client = Client::connect(bed.callers).await;
    client
        .send(&request("GET", "/safe/", "again", KEY, ""))
        .await;
    wait_for("the first send", || async {
        !forwarded(&workers, "again").is_empty()
    })
    .await;
    put_and_wait(&bed, &config_with_keys(3, &["k-two"]), "k-one", 401).await;
    // The upstream's response is forwarded, as the request has run.
    let res = client.read().await;
    assert_eq!(status(&res), 500, "{res}");
    assert_eq!(forwarded(&workers, "again").len(), 1);
}

#[tokio::test]
async fn a_broken_stream_is_not_resumed_after_its_key_was_removed() {
    let (bed, mut workers) = start_with_keys(2).await;
    for worker in &workers {
        worker.script([Action::EventsThenResetAfter(1..=2, RESET_AFTER)]);
    }
    let mut client = Client::connect(bed.callers).await;
    client
        .send(&request("GET", "/resumable/", "stream", KEY, ""))
        .await;
    client.read_until("piece 2").await;
    put_and_wait(&bed, &config_with_keys(3, &["k-two"]), "k-one", 401).await;
    workers.retain(|worker| forwarded(std::slice::from_ref(worker), "stream").is_empty());
    let (_, _) = client.read_to_end().await;
    assert_eq!(workers.len(), 1);
    assert!(forwarded(&workers, "stream").is_empty(), "sent again");
}

#[tokio::test]
async fn keys_are_not_rejected_before_a_configuration_is_known() {
    let bed = common::start_without_config();
    wait_for("the gateway", || async {
        let req = request("GET", "/safe/", "early", KEY, "");
        let res = exchange(bed.callers, &req).await;
        res.starts_with("HTTP/1.1 503")
    })
    .await;
}

#[tokio::test]
async fn a_key_that_is_added_again_is_accepted() {
    let (bed, _workers) = start_with_keys(1).await;
    put_and_wait(&bed, &config_with_keys(3, &["k-two"]), "k-one", 401).await;
    put_and_wait(&bed, &config_with_keys(4, &["k-one"]), "k-one", 200).await;
    // An older version that arrives late has no effect.
    bed.store
        .put("op", "config", &config_with_keys(3, &["k-two"]));
    bed.store
        .put("op", "config", &config_with_keys(5, &["k-one", "k-four"]));
    let probe = request("GET", "/safe/", "p", "key: k-four\r\n", "");
    bed.wait_answer(&probe, 200).await;
    let res = exchange(bed.callers, &request("GET", "/safe/", "p", KEY, "")).await;
    assert_eq!(status(&res), 200, "{res}");
}

#[tokio::test]
async fn a_tenants_priority_overrides_its_routes_priority() {
    let bed = common::start_without_config();
    let engine = bed.add_worker("i-llm", "llm", Some("decode")).await;
    engine.set_default_action(Action::Events(1..=2));
    // The route's priority is 1.
    let mut config = config(2, &routes());
    let tenants = [
        ("urgent", json!(0)),
        ("usual", json!(null)),
        ("late", json!(5)),
    ];
    let tenants = tenants.map(|(name, priority)| {
        json!({"Name": name, "ApiKeys": [format!("k-{name}")], "Priority": priority})
    });
    config["Tenants"] = json!(tenants);
    bed.store.put("op", "config", &config);
    bed.wait_ready(200).await;
    let mut ranks = Vec::new();
    for name in ["urgent", "usual", "late"] {
        let headers = format!("{}key: k-{name}\r\n", common::SHORT_PROMPT_HEADERS);
        let req = request("POST", "/prompt/", name, &headers, "x");
        bed.wait_answer(&req, 200).await;
        let seen = engine.requests();
        let ours = seen.iter().find(|s| s.id() == name).unwrap();
        let rank = ours.header("request-priority").unwrap();
        ranks.push(rank.parse::<u8>().unwrap());
    }
    assert!(ranks[0] < ranks[1] && ranks[1] < ranks[2], "{ranks:?}");
}
