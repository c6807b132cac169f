//! Tests tenant quotas with one and several gateways in this process, against simulated services.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::crashing::System;
use common::{SHORT_PROMPT_HEADERS, TestGateway, exchange, request, routes, status, wait_for};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Burst in units, rate in units per second, and time in which an empty bucket fills.
const BURST: f64 = 20.0;
const RATE: f64 = 5.0;
const FILL_TIME: Duration = Duration::from_secs(5);

fn tenant(name: &str, rate: f64, burst: f64) -> Value {
    json!({"Name": name, "ApiKeys": [format!("key-{name}")], "RatePerS": rate, "Burst": burst})
}

fn config(version: u64, tenants: &[Value]) -> Value {
    let mut config = common::config(version, &routes());
    config["Tenants"] = json!(tenants);
    config
}

fn tenant_request(id: &str, tenant: &str) -> String {
    let headers = format!("key: key-{tenant}\r\n");
    request("GET", "/safe/", id, &headers, "")
}

async fn answer(bed: &TestGateway, id: &str, tenant: &str) -> String {
    exchange(bed.callers, &tenant_request(id, tenant)).await
}

/// Starts gateways with one store and one worker, and waits until all have the quotas.
async fn start(gateways: usize, tenants: &[Value]) -> System {
    let system = System::start(gateways, 1).await;
    let mut tenants = tenants.to_vec();
    tenants.push(json!({"Name": "probe", "ApiKeys": ["key-probe"]}));
    system.store.put("op", "config", &config(2, &tenants));
    for bed in &system.hosts {
        bed.wait_answer(&tenant_request("probe", "probe"), 200)
            .await;
    }
    system
}

/// A tenant with a burst that a grantor holds only if all hosts lend to it.
fn all_hosts_probe() -> Value {
    let mut probe = tenant("wide", 1e5, 1000.0);
    probe["Unit"] = json!("token_stream");
    probe
}

/// Waits until one grantor holds the shares of all hosts and its buckets are full.
async fn wait_until_shares_are_lent(system: &System) {
    let headers = "key: key-wide\r\ntoken-counts: 900,90\r\n";
    for bed in &system.hosts {
        bed.wait_answer(&request("GET", "/safe/", "wide", headers, ""), 200)
            .await;
    }
    tokio::time::sleep(FILL_TIME).await;
}

#[tokio::test]
async fn requests_over_the_quota_get_429_with_retry_after() {
    let narrow = tenant("narrow", RATE, BURST);
    let system = start(1, &[all_hosts_probe(), narrow]).await;
    wait_until_shares_are_lent(&system).await;
    let bed = &system.hosts[0];
    let mut refused = 0;
    for n in 0..60 {
        let started = Instant::now();
        let res = answer(bed, &format!("n-{n}"), "narrow").await;
        match status(&res) {
            200 => assert!(refused == 0 || n >= 15, "refused too early: {n}"),
            429 => {
                refused += 1;
                assert!(res.to_ascii_lowercase().contains("retry-after: "), "{res}");
                assert!(
                    res.contains("over_quota") && res.contains("not_run"),
                    "{res}"
                );
                assert!(started.elapsed() < Duration::from_secs(2));
            }
            other => panic!("{other}: {res}"),
        }
    }
    assert!(refused > 0);
    let res = answer(bed, "other", "probe").await;
    assert_eq!(status(&res), 200, "another tenant is unaffected: {res}");
}

#[tokio::test]
async fn hosts_share_one_quota() {
    let narrow = tenant("narrow", RATE, BURST);
    let system = start(3, &[all_hosts_probe(), narrow]).await;
    wait_until_shares_are_lent(&system).await;
    let started = Instant::now();
    let mut served = 0.0;
    for n in 0..90 {
        let bed = &system.hosts[n % system.hosts.len()];
        let res = answer(bed, &format!("n-{n}"), "narrow").await;
        served += f64::from(u8::from(status(&res) == 200));
    }
    let most = BURST + RATE * started.elapsed().as_secs_f64();
    assert!(served <= most + 1.0, "{served} over {most}");
    // Clients of every host can use the shares of all hosts.
    assert!(served >= BURST * 0.9, "{served}");
}

#[tokio::test]
async fn one_host_of_several_can_use_the_whole_quota() {
    let system = start(3, &[all_hosts_probe(), tenant("narrow", RATE, BURST)]).await;
    wait_until_shares_are_lent(&system).await;
    let started = Instant::now();
    let mut served = 0.0;
    for n in 0..40 {
        let res = answer(&system.hosts[1], &format!("n-{n}"), "narrow").await;
        served += f64::from(u8::from(status(&res) == 200));
    }
    let most = BURST + RATE * started.elapsed().as_secs_f64();
    assert!(served <= most + 1.0, "{served} over {most}");
    assert!(served >= BURST * 0.9, "{served}");
}

#[tokio::test]
async fn a_request_that_did_not_run_is_refunded() {
    let narrow = tenant("narrow", RATE, BURST);
    let system = start(1, &[all_hosts_probe(), narrow]).await;
    wait_until_shares_are_lent(&system).await;
    let bed = &system.hosts[0];
    // No engine is registered, so a prompt fails after its cost is granted.
    for n in 0..200 {
        let headers = format!("key: key-narrow\r\n{SHORT_PROMPT_HEADERS}");
        let req = request("POST", "/prompt/", &format!("p-{n}"), &headers, "x");
        let res = exchange(bed.callers, &req).await;
        assert_eq!(status(&res), 503, "{res}");
    }
    let res = answer(bed, "still", "narrow").await;
    assert_eq!(status(&res), 200, "{res}");
}

#[tokio::test]
async fn token_quotas_count_tokens_of_requests() {
    let mut counted = tenant("counted", 100.0, 1000.0);
    counted["Unit"] = json!("token_stream");
    counted["PlainTokens"] = json!(400);
    let system = start(1, &[all_hosts_probe(), counted]).await;
    wait_until_shares_are_lent(&system).await;
    let bed = &system.hosts[0];
    // The bucket of 1,000 fills within ten seconds. A request without token counts costs 400.
    wait_for("a full bucket", || async {
        let headers = "key: key-counted\r\ntoken-counts: 900,60\r\n";
        let req = request("GET", "/safe/", "large", headers, "");
        status(&exchange(bed.callers, &req).await) == 200
    })
    .await;
    let res = answer(bed, "plain", "counted").await;
    assert_eq!(status(&res), 429, "{res}");
    let headers = "key: key-counted\r\ntoken-counts: 1,x\r\n";
    let res = exchange(bed.callers, &request("GET", "/safe/", "bad", headers, "")).await;
    assert_eq!(status(&res), 400, "{res}");
}
