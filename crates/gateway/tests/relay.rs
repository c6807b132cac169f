//! What a client gets and what workers see, for each way in which a worker may answer.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{Client, exchange, request, start, status};
use standin::Action;
use std::time::Duration;

#[tokio::test]
async fn a_request_passes_byte_for_byte() {
    let (bed, workers) = start(1).await;
    let body = "p=1&q=\u{e9}";
    let text = exchange(
        bed.callers,
        &request("POST", "/unsafe/x?y=%2F&z", "id-1", "x-own: kept\r\n", body),
    )
    .await;
    assert_eq!(status(&text), 200);
    assert!(text.contains("response-signature: sig\r\n"), "{text}");
    assert!(text.contains("attempt-id: id-1\r\n"), "{text}");
    assert!(text.ends_with("\r\n\r\nok"), "{text}");
    let seen = workers[0].requests().remove(0);
    assert_eq!(
        (seen.method.as_str(), seen.path.as_str()),
        ("POST", "/unsafe/x?y=%2F&z")
    );
    assert_eq!(seen.body, body.as_bytes());
    assert_eq!(seen.header("x-own"), Some("kept"));
    assert_eq!(seen.header("host"), Some("a.example"));
    assert_eq!(seen.header("expect-instance"), Some("i-0"));
    let left: u64 = seen.header("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=4000).contains(&left), "{left}");
}

#[tokio::test]
async fn headers_of_the_connection_and_of_the_system_are_dropped() {
    let (bed, workers) = start(1).await;
    let more = "connection: x-hop, attempt-id\r\nx-hop: 1\r\nkv-source: 1.2.3.4:5/6\r\n\
                kv-hold: 1\r\npin-ms: 9\r\nkv-backup: 1.2.3.4:5\r\nserving-stage: prefill\r\n\
                expect-instance: i-9\r\nexpect-version: 3\r\nrequest-priority: 0\r\n";
    let text = exchange(bed.callers, &request("GET", "/safe/", "id-1", more, "")).await;
    assert_eq!(status(&text), 200);
    let seen = workers[0].requests().remove(0);
    for name in [
        "x-hop",
        "kv-source",
        "kv-hold",
        "pin-ms",
        "kv-backup",
        "serving-stage",
        "expect-version",
        "request-priority",
    ] {
        assert_eq!(seen.header(name), None, "{name}");
    }
    assert_eq!(seen.header("attempt-id"), Some("id-1"));
    assert_eq!(seen.header("expect-instance"), Some("i-0"));
}

#[tokio::test]
async fn an_answer_under_another_id_is_never_passed_on() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::ForeignId("someone else's".into())]);
    let text = exchange(bed.callers, &request("POST", "/unsafe/", "id-1", "", "x")).await;
    assert_eq!(status(&text), 502);
    assert!(!text.contains("someone else's"));
    assert!(!text.contains("response-signature"));
}

#[tokio::test]
async fn a_second_answer_is_never_given_to_the_next_request() {
    let (bed, workers) = start(1).await;
    workers[0].script([
        Action::Duplicate("first".into()),
        Action::Answer(200, "second".into()),
    ]);
    let mut client = Client::connect(bed.callers).await;
    client.send(&request("GET", "/safe/", "id-1", "", "")).await;
    assert!(client.read().await.ends_with("first"));
    client.send(&request("GET", "/safe/", "id-2", "", "")).await;
    let text = client.read().await;
    assert!(text.contains("attempt-id: id-2\r\n"), "{text}");
    assert!(!text.ends_with("first"), "{text}");
}

#[tokio::test]
async fn what_may_have_run_is_not_repeated_and_not_called_not_run() {
    let acts = [
        Action::Close,
        Action::Garbage,
        Action::Truncated("half".into()),
        Action::CloseDelimitedReset("half".into()),
        Action::Unsigned("no proof".into()),
    ];
    // The route allows two attempts and there are two workers, so that only the
    // kind of request keeps it from being sent again.
    let (bed, workers) = start(2).await;
    let runs = |id: &str| {
        let seen = workers.iter().flat_map(|w| w.requests());
        seen.filter(|s| s.id() == id).count()
    };
    for (n, act) in acts.into_iter().enumerate() {
        let id = format!("id-{n}");
        for worker in &workers {
            worker.script([act.clone()]);
        }
        let text = exchange(bed.callers, &request("POST", "/twice/", &id, "", "x")).await;
        assert_eq!(status(&text), 502, "{act:?}");
        assert!(!text.contains("retry-after"), "{act:?}");
        assert_eq!(runs(&id), 1, "{act:?}");
        // The other's act is used up, and neither is suspended for the next case.
        for more in 0..12 {
            let id = format!("id-{n}-{more}");
            exchange(bed.callers, &request("GET", "/safe/", &id, "", "")).await;
        }
    }
}

#[tokio::test]
async fn an_idempotent_request_goes_to_another_worker() {
    let (bed, workers) = start(2).await;
    for worker in &workers {
        worker.script([Action::Close]);
    }
    let text = exchange(bed.callers, &request("GET", "/safe/", "id-1", "", "")).await;
    // Both were tried once, and there is no third attempt.
    assert_eq!(status(&text), 502);
    let text = exchange(bed.callers, &request("GET", "/safe/", "id-2", "", "")).await;
    assert_eq!(status(&text), 200);
    let count = |id: &str| {
        let all = workers.iter().flat_map(|w| w.requests());
        all.filter(|s| s.header("attempt-id") == Some(id)).count()
    };
    assert_eq!(count("id-1"), 2);
    assert_eq!(count("id-2"), 1);
}

#[tokio::test]
async fn a_rejection_is_said_as_not_run_with_a_time_to_come_back() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::Reject(503)]);
    let text = exchange(bed.callers, &request("POST", "/unsafe/", "id-1", "", "x")).await;
    assert_eq!(status(&text), 503);
    assert!(text.contains("retry-after: 0."), "{text}");
    assert!(text.contains("\"outcome\":\"not_run\""), "{text}");
    assert!(!text.contains("response-signature"));
}

#[tokio::test]
async fn a_rejected_request_goes_to_another_worker_if_the_route_allows_two() {
    let (bed, workers) = start(2).await;
    for worker in &workers {
        worker.script([Action::Reject(429)]);
    }
    let text = exchange(bed.callers, &request("POST", "/twice/", "id-1", "", "x")).await;
    assert_eq!(status(&text), 503);
    let text = exchange(bed.callers, &request("POST", "/twice/", "id-2", "", "x")).await;
    assert_eq!(status(&text), 200);
}

#[tokio::test]
async fn a_workers_own_failure_is_passed_on_with_its_signature() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::Answer(500, "its words".into())]);
    let text = exchange(bed.callers, &request("POST", "/unsafe/", "id-1", "", "x")).await;
    assert_eq!(status(&text), 500);
    assert!(text.contains("response-signature: sig\r\n"));
    assert!(text.ends_with("its words"));
}

#[tokio::test]
async fn a_workers_own_failure_is_passed_on_if_there_is_no_other() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::Answer(500, "its words".into())]);
    // The route allows two attempts.
    let text = exchange(bed.callers, &request("GET", "/safe/", "id-1", "", "")).await;
    assert_eq!(status(&text), 500);
    assert!(text.ends_with("its words"));
}

#[tokio::test]
async fn an_answer_without_length_is_whole_if_it_ends_in_order() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::CloseDelimited("to the end".into())]);
    let text = exchange(bed.callers, &request("POST", "/unsafe/", "id-1", "", "x")).await;
    assert_eq!(status(&text), 200);
    assert!(text.contains("to the end"));
}

#[tokio::test]
async fn another_start_at_the_same_address_runs_nothing() {
    let (bed, workers) = start(0).await;
    assert!(workers.is_empty());
    let worker = bed.add_worker("i-new", "other", None).await;
    bed.register("i-old", "plain", worker.addr, "ready", None);
    bed.wait_answer(&request("POST", "/unsafe/", "id-1", "", "x"), 503)
        .await;
    assert!(worker.requests().is_empty());
}

#[tokio::test]
async fn the_routes_timeout_is_answered_in_time_and_cancels_the_request() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::Hang]);
    let since = std::time::Instant::now();
    let text = exchange(bed.callers, &request("POST", "/short/", "id-1", "", "x")).await;
    assert_eq!(status(&text), 504);
    assert!(since.elapsed() >= Duration::from_millis(300));
    workers[0].wait_for_client_closes(1).await;
}

#[tokio::test]
async fn a_client_that_leaves_cancels_its_request_at_the_worker() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::Hang, Action::EventsThenHang(1..=2)]);
    let mut client = Client::connect(bed.callers).await;
    client
        .send(&request("POST", "/unsafe/", "id-1", "", "x"))
        .await;
    workers[0].wait_for_requests(1).await;
    drop(client);
    workers[0].wait_for_client_closes(1).await;
    let mut client = Client::connect(bed.callers).await;
    client
        .send(&request("POST", "/stream/", "id-2", "", "x"))
        .await;
    client.read_until("piece 2").await;
    drop(client);
    let since = std::time::Instant::now();
    workers[0].wait_for_client_closes(2).await;
    // Its deadline of 4 s would end it too.
    assert!(since.elapsed() < Duration::from_secs(2));
}

#[tokio::test]
async fn a_kept_connection_that_the_worker_closed_is_not_used() {
    let (bed, workers) = start(1).await;
    workers[0].script([
        Action::Answer(200, "a".into()),
        Action::CloseDelimited("b".into()),
    ]);
    for n in 0..4 {
        let id = format!("id-{n}");
        let text = exchange(bed.callers, &request("POST", "/unsafe/", &id, "", "x")).await;
        assert_eq!(status(&text), 200);
    }
    assert_eq!(workers[0].requests().len(), 4);
}

#[tokio::test]
async fn a_silent_worker_costs_an_idempotent_request_little() {
    let (bed, workers) = start(2).await;
    // Each is silent once, so the first request may meet both; the next meets none.
    for worker in &workers {
        worker.script([Action::Hang]);
    }
    let text = exchange(bed.callers, &request("GET", "/safe/", "id-1", "", "")).await;
    assert_eq!(
        status(&text),
        504,
        "two attempts at most, and the second waits"
    );
    workers[0].script([Action::Hang]);
    let before: usize = workers.iter().map(|w| w.requests().len()).sum();
    // Idle workers are chosen by chance: requests are sent until one meets the
    // silence, and so is seen by both.
    let mut sent = 0;
    loop {
        sent += 1;
        assert!(sent <= 200, "one of them meets the silence");
        let since = std::time::Instant::now();
        let id = format!("id-{}", sent + 1);
        let text = exchange(bed.callers, &request("GET", "/safe/", &id, "", "")).await;
        assert_eq!(status(&text), 200);
        assert!(
            since.elapsed() < Duration::from_secs(3),
            "its deadline is 4 s"
        );
        let seen: usize = workers.iter().map(|w| w.requests().len()).sum();
        if seen - before > sent {
            break;
        }
    }
}

#[tokio::test]
async fn a_request_that_may_not_be_repeated_waits_for_its_worker() {
    let (bed, workers) = start(2).await;
    for worker in &workers {
        let late = Action::Answer(200, "late".into());
        worker.script([Action::Delayed(Duration::from_millis(1500), Box::new(late))]);
    }
    let text = exchange(bed.callers, &request("POST", "/twice/", "id-1", "", "x")).await;
    assert_eq!(status(&text), 200);
    assert!(text.ends_with("late"));
    let seen = workers.iter().flat_map(|w| w.requests());
    assert_eq!(seen.count(), 1);
}
