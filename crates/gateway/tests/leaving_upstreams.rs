//! Tests upstreams that say in their answers that they leave, with several hosts in this process.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::crashing::System;
use standin::fixture::{DRAIN_BOUND, LEAVING_HEADER, worker_row_with_start};
use standin::{Action, StoreMode, Worker, fixture};
use std::time::{Duration, Instant};

/// Pause between two requests of the load.
const SEND_EVERY: Duration = Duration::from_millis(10);

fn leaving() -> Action {
    Action::WithHeaders(LEAVING_HEADER.into(), Box::new(Action::Echo))
}

/// Sends requests to the hosts in turn for a time, and expects that all are served.
async fn send_for(system: &System, time: Duration) {
    let started = Instant::now();
    let mut calls = Vec::new();
    for n in 0.. {
        if started.elapsed() >= time {
            break;
        }
        let callers = system.hosts[n % system.hosts.len()].callers;
        let text = fixture::request("GET", "/safe/", &format!("d-{n}"), "", "");
        calls.push(tokio::spawn(async move {
            common::exchange(callers, &text).await
        }));
        tokio::time::sleep(SEND_EVERY).await;
    }
    for call in calls {
        let text = call.await.unwrap();
        assert_eq!(common::status(&text), 200, "{text}");
    }
}

/// Number of requests that a worker received after a time.
fn received_after(worker: &Worker, at: Instant) -> usize {
    worker.requests().iter().filter(|r| r.at > at).count()
}

/// Hosts learned from the store alone that an upstream leaves, and sent it requests as long as the
/// store didn't answer.
#[tokio::test]
async fn an_upstream_that_says_it_leaves_gets_no_more_requests() {
    for mode in [StoreMode::Serve, StoreMode::Silent] {
        let system = System::start(3, 4).await;
        system.store.set_mode(mode);
        let worker = &system.workers()[0];
        worker.set_default_action(leaving());
        let since = Instant::now();
        send_for(&system, DRAIN_BOUND + Duration::from_secs(3)).await;
        let late = received_after(worker, since + DRAIN_BOUND);
        assert_eq!(late, 0, "{mode:?}");
    }
}

/// A row as ready, or answers without the header, ended the leaving of the same start.
#[tokio::test]
async fn leaving_is_final_until_the_upstream_starts_again() {
    let system = System::start(3, 4).await;
    let worker = &system.workers()[0];
    let register = |start_ms| {
        let row = worker_row_with_start(start_ms, "plain", worker.addr, "ready");
        system.store.put("servers", worker.id(), &row);
    };
    worker.set_default_action(leaving());
    send_for(&system, Duration::from_secs(1)).await;
    worker.set_default_action(Action::Echo);
    system.store.remove("servers", worker.id());
    send_for(&system, Duration::from_secs(1)).await;
    register(worker.start_ms().unwrap());
    let since = Instant::now();
    send_for(&system, Duration::from_secs(3)).await;
    assert_eq!(received_after(worker, since), 0);
    register(worker.start_ms().unwrap() + 1);
    send_for(&system, Duration::from_secs(3)).await;
    assert!(received_after(worker, since) > 0, "a new start is used");
}
