//! Tests that limits which upstreams name are kept while hosts restart in overlapping series or
//! all at once.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::crashing::System;
use common::versions::Host;
use common::{address, host, join_all, wait_for};
use standin::{Action, fixture};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of hosts.
const HOSTS: usize = 4;
/// Time between two stop signals of a series. All hosts are signalled before the first one exits,
/// as an idle host takes 2.3 s to stop.
const STOP_GAP: Duration = Duration::from_millis(500);
/// Time after which hosts that are new to the fleet use their shares.
const JOIN_TIME: Duration = Duration::from_millis(6500);
/// Time under load before the first signal, in which the limit becomes known, and after the last
/// restart.
const BEFORE_TIME: Duration = Duration::from_secs(4);
const AFTER_TIME: Duration = Duration::from_secs(6);
/// Interval between two requests to all hosts together.
const SEND_EVERY: Duration = Duration::from_millis(5);
/// Limit that one of four upstreams names, in requests per second.
const LIMIT_PER_S: &str = "5";
/// Requests allowed in any window of four seconds: 1.5 times the limit, and five.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED: usize = 35;

/// How hosts end before they restart.
#[derive(Debug, Clone, Copy)]
enum End {
    Stopped,
    Killed,
}

/// Sends a request, and ignores whether the host answers.
async fn send(to: SocketAddr, id: usize) {
    let text = fixture::request(
        "GET",
        "/safe/",
        &format!("l-{id}"),
        "connection: close\r\n",
        "",
    );
    let Ok(mut tcp) = TcpStream::connect(to).await else {
        return;
    };
    let mut buf = Vec::new();
    let exchanged = async {
        tcp.write_all(text.as_bytes()).await?;
        tcp.read_to_end(&mut buf).await
    };
    // A host closes its connections as it exits.
    let _ = exchanged.await;
}

/// Restarts the hosts under load, and returns the most requests in a window that the upstream with
/// the limit got since the first signal.
async fn run_series(end: End, gap: Duration) -> usize {
    let system = System::start(0, 4).await;
    let slow = Action::Delayed(Duration::from_millis(10), Box::new(Action::Echo));
    let headers = fixture::request_limit_header(LIMIT_PER_S);
    system.workers()[0].set_default_action(Action::WithHeaders(headers, Box::new(slow)));
    let mut hosts = Vec::new();
    for _ in 0..HOSTS {
        let host = Host::start(host(address(), system.store.addr));
        host.wait_ready().await;
        hosts.push(host);
    }
    wait_for("rows of all hosts", || async {
        system.store.keys("processes").len() >= HOSTS
    })
    .await;
    tokio::time::sleep(JOIN_TIME).await;
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let load = async {
        for n in 0.. {
            tokio::spawn(send(callers[n % HOSTS], n));
            tokio::time::sleep(SEND_EVERY).await;
        }
    };
    let restarts = async {
        tokio::time::sleep(BEFORE_TIME).await;
        let since = Instant::now();
        let restarts = hosts.iter_mut().enumerate().map(async |(n, host)| {
            tokio::time::sleep(gap * n as u32).await;
            match end {
                End::Stopped => host.stop(),
                End::Killed => host.kill(),
            }
            host.restart().await;
        });
        join_all(restarts).await;
        tokio::time::sleep(AFTER_TIME).await;
        since
    };
    let since = tokio::select! {
        () = load => unreachable!("the load has no end"),
        since = restarts => since,
    };
    let requests = system.workers()[0].requests();
    let times = requests.iter().map(|r| r.at).filter(|at| *at >= since);
    let times: Vec<Instant> = times.collect();
    let in_window = |from: &Instant| {
        let until = *from + WINDOW;
        times
            .iter()
            .filter(|at| *at >= from && **at < until)
            .count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against an upstream getting more than the limit that it named, as the limit is lost when
/// hosts restart one after the other, each told to stop before the former one has exited.
#[tokio::test]
async fn named_limits_are_kept_over_an_overlapping_series_of_restarts() {
    let most = run_series(End::Stopped, STOP_GAP).await;
    assert!(most <= ALLOWED, "{most} requests, {ALLOWED} allowed");
    assert!(most > 0, "the upstream is used");
}

/// Guards against the same where all hosts restart at once and none of them knows of the limit.
#[tokio::test]
async fn named_limits_are_kept_over_restarts_of_all_hosts_at_once() {
    let most = run_series(End::Stopped, Duration::ZERO).await;
    assert!(most <= ALLOWED, "{most} requests, {ALLOWED} allowed");
    assert!(most > 0, "the upstream is used");
}

/// Guards against the same where all hosts are killed at once.
#[tokio::test]
async fn named_limits_are_kept_over_a_kill_of_all_hosts_at_once() {
    let most = run_series(End::Killed, Duration::ZERO).await;
    assert!(most <= ALLOWED, "{most} requests, {ALLOWED} allowed");
    assert!(most > 0, "the upstream is used");
}
