//! Tests upstreams that ask a host for a pause, with hosts in this process.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::crashing::System;
use standin::{Action, Worker, fixture};
use std::time::{Duration, Instant};

/// Time after an answer within which requests may still arrive that were sent before it.
const TRANSIT_TIME: Duration = Duration::from_millis(500);
/// Pause that the upstream asks for.
const PAUSE: Duration = Duration::from_secs(3);
const SEND_EVERY: Duration = Duration::from_millis(10);

/// A refusal that asks for a pause, with or without the statement that the request hasn't run.
fn refusal(is_stated: bool, seconds: &str) -> Action {
    let refused = match is_stated {
        true => Action::Reject(503),
        false => Action::Answer(503, String::new()),
    };
    Action::WithHeaders(fixture::pause_header(seconds), Box::new(refused))
}

/// Sends requests to the first host for a time, and returns the answers.
async fn send_for(system: &System, time: Duration) -> Vec<String> {
    let started = Instant::now();
    let callers = system.hosts[0].callers;
    let mut calls = Vec::new();
    for n in 0.. {
        if started.elapsed() >= time {
            break;
        }
        let text = fixture::request("GET", "/safe/", &format!("p-{n}"), "", "");
        calls.push(tokio::spawn(async move {
            common::exchange(callers, &text).await
        }));
        tokio::time::sleep(SEND_EVERY).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.unwrap());
    }
    answers
}

fn received_between(worker: &Worker, from: Instant, to: Instant) -> usize {
    let requests = worker.requests();
    let times = requests.iter().map(|r| r.at);
    times.filter(|at| *at >= from && *at < to).count()
}

/// Hosts went on to send requests to an upstream that had asked for a pause; only their suspension
/// after failures kept some away.
#[tokio::test]
async fn an_upstream_gets_nothing_while_it_asks_for_a_pause() {
    for (is_stated, seconds) in [(false, "3"), (false, "3.000"), (true, "3")] {
        let system = System::start(1, 4).await;
        let worker = &system.workers()[0];
        worker.set_default_action(refusal(is_stated, seconds));
        let answers = send_for(&system, Duration::from_secs(5)).await;
        assert!(answers.iter().all(|a| common::status(a) == 200));
        let first = worker.requests()[0].at;
        let got = received_between(worker, first + TRANSIT_TIME, first + PAUSE);
        assert_eq!(got, 0, "{seconds} {is_stated}");
        let got = received_between(worker, first + PAUSE, first + PAUSE * 2);
        assert!(got > 0, "it is used again after the pause");
    }
}

/// Requests were sent to upstreams that all had asked for a pause, or waited for one.
#[tokio::test]
async fn requests_are_refused_at_once_if_all_upstreams_ask_for_a_pause() {
    let system = System::start(1, 2).await;
    system.set_default_act(&refusal(true, "2.5"));
    send_for(&system, Duration::from_millis(600)).await;
    for answer in send_for(&system, Duration::from_millis(500)).await {
        assert_eq!(common::status(&answer), 503, "{answer}");
        let answer = answer.to_ascii_lowercase();
        assert!(answer.contains("upstream_pause"), "{answer}");
        let after = answer.split("retry-after: ").nth(1).unwrap();
        let after: f64 = after.lines().next().unwrap().trim().parse().unwrap();
        assert!(after > 1.0, "not before the earliest end: {after}");
    }
    system.set_default_act(&Action::Echo);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answers = send_for(&system, Duration::from_secs(1)).await;
    assert!(answers.iter().all(|a| common::status(a) == 200));
}
