//! Tests that requests within a tenant's quota are admitted, and not more than that, while hosts
//! restart in overlapping series or all at once.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::crashing::System;
use common::paced::pace_time;
use common::versions::Host;
use common::{address, host, join_all, request, routes, wait_for};
use platform::QuotaBounds;
use serde_json::json;
use std::cell::RefCell;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Number of hosts.
const HOSTS: usize = 4;
/// Time between two stop signals of a series. All hosts are signalled before the first one exits,
/// as an idle host takes 2.3 s to stop.
const STOP_GAP: Duration = Duration::from_millis(500);
/// Time after which a host that is new to the fleet uses its share, and buckets are full.
const FILL_TIME: Duration = Duration::from_secs(9);
/// Time for which requests are sent after the series.
const AFTER_TIME: Duration = Duration::from_secs(6);
/// Rate and burst of the tenant in requests, and the interval between two requests, which is a
/// tenth of the rate.
const RATE: f64 = 200.0;
const BURST: f64 = 200.0;
const SEND_EVERY: Duration = Duration::from_millis(50);
/// Interval between two requests of a flood, about twice the rate.
const FLOOD_EVERY: Duration = Duration::from_micros(2500);
/// Bounds of usage in any window, of a flood.
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 100.0,
};
/// Minimum share of requests within the quota that must be admitted.
const MIN_ADMITTED: f64 = 0.95;

struct Fleet {
    system: System,
    hosts: Vec<Host>,
}

/// Answers to the tenant's requests.
#[derive(Debug, Default)]
struct Answers {
    served: u32,
    /// Refusals for the quota, each with the time since the first signal.
    over_quota: Vec<Duration>,
    /// Requests that weren't answered, or refused for another reason.
    other: u32,
}

impl Answers {
    fn count(&mut self, text: &str, at: Duration) {
        match text.split(' ').nth(1) {
            Some("200") => self.served += 1,
            _ if text.contains("quota") => self.over_quota.push(at),
            _ => self.other += 1,
        }
    }
}

impl Fleet {
    async fn start(quota: QuotaBounds) -> Self {
        let system = System::start(0, 2).await;
        let mut config = common::config(2, &routes());
        config["Tenants"] = json!([{
            "Name": "one", "ApiKeys": ["key-one"], "RatePerS": RATE, "Burst": BURST
        }]);
        system.store.put("op", "config", &config);
        let mut hosts = Vec::new();
        for _ in 0..HOSTS {
            let settings = platform::HostSettings {
                quota,
                ..host(address(), system.store.addr)
            };
            let host = Host::start(settings);
            host.wait_ready().await;
            hosts.push(host);
        }
        wait_for("rows of all hosts", || async {
            system.store.keys("processes").len() >= HOSTS
        })
        .await;
        tokio::time::sleep(FILL_TIME).await;
        Self { system, hosts }
    }

    /// Restarts the hosts while requests within the quota come at all of them in turn.
    async fn restart_under_load(&mut self, gap: Duration) -> Answers {
        let callers: Vec<_> = self.hosts.iter().map(|host| host.callers).collect();
        let answers = RefCell::new(Answers::default());
        let began = Instant::now();
        let load = async {
            for n in 0.. {
                let text = request("GET", "/safe/", &format!("q-{n}"), "key: key-one\r\n", "");
                let text = send(callers[n % HOSTS], &text).await;
                answers.borrow_mut().count(&text, began.elapsed());
                tokio::time::sleep(SEND_EVERY).await;
            }
        };
        let restarts = async {
            let restarts = self.hosts.iter_mut().enumerate().map(async |(n, host)| {
                tokio::time::sleep(gap * n as u32).await;
                host.stop();
                host.restart().await;
            });
            join_all(restarts).await;
            tokio::time::sleep(AFTER_TIME).await;
        };
        tokio::select! {
            () = load => {}
            () = restarts => {}
        }
        answers.into_inner()
    }
}

/// Sends a request; returns the empty text if the host doesn't answer.
async fn send(to: std::net::SocketAddr, text: &str) -> String {
    let Ok(mut tcp) = TcpStream::connect(to).await else {
        return String::new();
    };
    let text = text.replacen("\r\n\r\n", "\r\nconnection: close\r\n\r\n", 1);
    let mut buf = Vec::new();
    let exchanged = async {
        tcp.write_all(text.as_bytes()).await?;
        tcp.read_to_end(&mut buf).await
    };
    // A host closes its connections as it exits.
    let _ = exchanged.await;
    String::from_utf8_lossy(&buf).into_owned()
}

async fn run_series(gap: Duration) {
    let mut fleet = Fleet::start(QuotaBounds::default()).await;
    let answers = fleet.restart_under_load(gap).await;
    let counted = f64::from(answers.served) + answers.over_quota.len() as f64;
    let admitted = f64::from(answers.served) / counted;
    let refused = (answers.over_quota.first(), answers.over_quota.last());
    assert!(
        admitted >= MIN_ADMITTED,
        "{admitted:.3} of {counted} admitted, refused from and to {refused:?}"
    );
}

/// Guards against requests within the quota being refused after hosts were told to stop one after
/// the other, each before the former one had exited.
#[tokio::test]
async fn quotas_are_admitted_during_an_overlapping_series_of_restarts() {
    pace_time();
    run_series(STOP_GAP).await;
}

/// Guards against the same where all hosts are told to stop at once.
#[tokio::test]
async fn quotas_are_admitted_while_all_hosts_restart_at_once() {
    pace_time();
    run_series(Duration::ZERO).await;
}

/// Guards against more than the quota being admitted as hosts that are new to the list of processes
/// use shares which others still count as theirs.
#[tokio::test]
async fn no_more_than_the_quota_is_admitted_during_an_overlapping_series_of_restarts() {
    pace_time();
    let mut fleet = Fleet::start(BOUNDS).await;
    let callers: Vec<_> = fleet.hosts.iter().map(|host| host.callers).collect();
    let flood = async {
        for n in 0.. {
            let text = request("GET", "/safe/", &format!("f-{n}"), "key: key-one\r\n", "");
            let to = callers[n % HOSTS];
            tokio::spawn(async move { send(to, &text).await });
            tokio::time::sleep(FLOOD_EVERY).await;
        }
    };
    let restarts = async {
        let restarts = fleet.hosts.iter_mut().enumerate().map(async |(n, host)| {
            tokio::time::sleep(STOP_GAP * n as u32).await;
            host.stop();
            host.restart().await;
        });
        join_all(restarts).await;
        tokio::time::sleep(AFTER_TIME).await;
    };
    tokio::select! {
        () = flood => {}
        () = restarts => {}
    }
    let quota = RATE * BOUNDS.window.as_secs_f64() + BURST;
    let allowed = quota * (1.0 + BOUNDS.overage) + BOUNDS.slack;
    let workers = fleet.system.workers().iter();
    let times: Vec<_> = workers
        .flat_map(|worker| worker.requests())
        .map(|r| r.at)
        .collect();
    let in_window = |from: &std::time::Instant| {
        let until = *from + BOUNDS.window;
        times
            .iter()
            .filter(|at| *at >= from && **at < until)
            .count()
    };
    let most = times.iter().map(in_window).max().unwrap() as f64;
    assert!(most <= allowed, "{most} of {allowed} in a window");
    // Otherwise the quota didn't limit the load.
    assert!(most >= quota / 2.0, "{most} of {quota} in a window");
}
