//! Tests what clients and workers receive, for each way in which a worker may answer or fail.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{Client, exchange, request, start, status};
use standin::Action;
use std::time::Duration;

#[tokio::test]
async fn a_request_is_forwarded_byte_for_byte() {
    let (bed, workers) = start(1).await;
    let body = "p=1&q=\u{e9}";
    let res = exchange(
        bed.callers,
        &request("POST", "/unsafe/x?y=%2F&z", "id-1", "x-own: kept\r\n", body),
    )
    .await;
    assert_eq!(status(&res), 200);
    assert!(res.contains("response-signature: sig\r\n"), "{res}");
    assert!(res.contains("attempt-id: id-1\r\n"), "{res}");
    assert!(res.ends_with("\r\n\r\nok"), "{res}");
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
async fn hop_by_hop_and_internal_headers_are_dropped() {
    let (bed, workers) = start(1).await;
    let headers = "connection: x-hop, attempt-id\r\nx-hop: 1\r\nkv-source: 1.2.3.4:5/6\r\n\
                kv-hold: 1\r\npin-ms: 9\r\nkv-backup: 1.2.3.4:5\r\nserving-stage: prefill\r\n\
                expect-instance: i-9\r\nexpect-version: 3\r\nrequest-priority: 0\r\n";
    let res = exchange(bed.callers, &request("GET", "/safe/", "id-1", headers, "")).await;
    assert_eq!(status(&res), 200);
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
async fn a_response_with_another_attempt_id_is_not_forwarded() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::ForeignId("someone else's".into())]);
    let res = exchange(bed.callers, &request("POST", "/unsafe/", "id-1", "", "x")).await;
    assert_eq!(status(&res), 502);
    assert!(!res.contains("someone else's"));
    assert!(!res.contains("response-signature"));
}

#[tokio::test]
async fn a_surplus_response_is_not_given_to_the_next_request() {
    let (bed, workers) = start(1).await;
    workers[0].script([
        Action::Duplicate("first".into()),
        Action::Answer(200, "second".into()),
    ]);
    let mut client = Client::connect(bed.callers).await;
    client.send(&request("GET", "/safe/", "id-1", "", "")).await;
    assert!(client.read().await.ends_with("first"));
    client.send(&request("GET", "/safe/", "id-2", "", "")).await;
    let res = client.read().await;
    assert!(res.contains("attempt-id: id-2\r\n"), "{res}");
    assert!(!res.ends_with("first"), "{res}");
}

#[tokio::test]
async fn a_request_that_may_have_run_is_not_retried_or_reported_as_not_run() {
    let acts = [
        Action::Close,
        Action::Garbage,
        Action::Truncated("half".into()),
        Action::CloseDelimitedReset("half".into()),
        Action::Unsigned("no proof".into()),
    ];
    // The route allows two attempts and there are two workers, so only the route type prevents a
    // retry.
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
        let res = exchange(bed.callers, &request("POST", "/twice/", &id, "", "x")).await;
        assert_eq!(status(&res), 502, "{act:?}");
        assert!(!res.contains("retry-after"), "{act:?}");
        assert_eq!(runs(&id), 1, "{act:?}");
        // Uses up the other worker's act, and keeps both from being suspended in the next case.
        for repeat in 0..12 {
            let id = format!("id-{n}-{repeat}");
            exchange(bed.callers, &request("GET", "/safe/", &id, "", "")).await;
        }
    }
}

#[tokio::test]
async fn an_idempotent_request_is_retried_on_another_worker() {
    let (bed, workers) = start(2).await;
    for worker in &workers {
        worker.script([Action::Close]);
    }
    let res = exchange(bed.callers, &request("GET", "/safe/", "id-1", "", "")).await;
    // Each worker was tried once, and there is no third attempt.
    assert_eq!(status(&res), 502);
    let res = exchange(bed.callers, &request("GET", "/safe/", "id-2", "", "")).await;
    assert_eq!(status(&res), 200);
    let count = |id: &str| {
        let all = workers.iter().flat_map(|w| w.requests());
        all.filter(|s| s.header("attempt-id") == Some(id)).count()
    };
    assert_eq!(count("id-1"), 2);
    assert_eq!(count("id-2"), 1);
}

#[tokio::test]
async fn a_rejection_is_reported_as_not_run_with_retry_after() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::Reject(503)]);
    let res = exchange(bed.callers, &request("POST", "/unsafe/", "id-1", "", "x")).await;
    assert_eq!(status(&res), 503);
    assert!(res.contains("retry-after: 0."), "{res}");
    assert!(res.contains("\"outcome\":\"not_run\""), "{res}");
    assert!(!res.contains("response-signature"));
}

#[tokio::test]
async fn a_rejected_request_is_retried_if_the_route_allows_two_attempts() {
    let (bed, workers) = start(2).await;
    for worker in &workers {
        worker.script([Action::Reject(429)]);
    }
    let res = exchange(bed.callers, &request("POST", "/twice/", "id-1", "", "x")).await;
    assert_eq!(status(&res), 503);
    let res = exchange(bed.callers, &request("POST", "/twice/", "id-2", "", "x")).await;
    assert_eq!(status(&res), 200);
}

#[tokio::test]
async fn a_workers_error_response_is_forwarded_with_its_signature() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::Answer(500, "its words".into())]);
    let res = exchange(bed.callers, &request("POST", "/unsafe/", "id-1", "", "x")).await;
    assert_eq!(status(&res), 500);
    assert!(res.contains("response-signature: sig\r\n"));
    assert!(res.ends_with("its words"));
}

#[tokio::test]
async fn a_workers_error_response_is_forwarded_if_there_is_no_other_worker() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::Answer(500, "its words".into())]);
    // The route allows two attempts.
    let res = exchange(bed.callers, &request("GET", "/safe/", "id-1", "", "")).await;
    assert_eq!(status(&res), 500);
    assert!(res.ends_with("its words"));
}

#[tokio::test]
async fn a_response_without_length_is_complete_if_the_connection_closes_cleanly() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::CloseDelimited("to the end".into())]);
    let res = exchange(bed.callers, &request("POST", "/unsafe/", "id-1", "", "x")).await;
    assert_eq!(status(&res), 200);
    assert!(res.contains("to the end"));
}

/// Guards against cutting off answers of unknown length at the size that is buffered.
#[tokio::test]
async fn answers_of_unknown_length_are_forwarded_whole_at_any_size() {
    const BUFFERED: usize = 256 << 10;
    let (bed, workers) = start(1).await;
    let sizes = [BUFFERED - 1, BUFFERED, BUFFERED + 1, 2 * BUFFERED, 3 << 20];
    for (number, size) in sizes.into_iter().enumerate() {
        let body = "y".repeat(size);
        for action in [
            Action::CloseDelimited(body.clone()),
            Action::ChunkedStream(body.clone()),
        ] {
            workers[0].script([action.clone()]);
            let mut client = Client::connect(bed.callers).await;
            let id = format!("size-{number}");
            let req = request("POST", "/unsafe/", &id, "connection: close\r\n", "x");
            client.send(&req).await;
            let (text, _) = client.read_to_end().await;
            assert_eq!(status(&text), 200);
            let (head, body) = text.split_once("\r\n\r\n").unwrap();
            let received = body.matches('y').count();
            assert_eq!(received, size, "bytes of the body");
            let is_chunked = head.contains("transfer-encoding: chunked");
            assert!(!is_chunked || body.ends_with("\r\n0\r\n\r\n"));
        }
    }
}

#[tokio::test]
async fn a_worker_with_another_id_at_the_same_address_runs_nothing() {
    let (bed, workers) = start(0).await;
    assert!(workers.is_empty());
    let worker = bed.add_worker("i-new", "other", None).await;
    bed.register("i-old", "plain", worker.addr, "ready", None);
    bed.wait_answer(&request("POST", "/unsafe/", "id-1", "", "x"), 503)
        .await;
    assert!(worker.requests().is_empty());
}

#[tokio::test]
async fn the_route_timeout_ends_and_cancels_the_request() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::Hang]);
    let started = std::time::Instant::now();
    let res = exchange(bed.callers, &request("POST", "/short/", "id-1", "", "x")).await;
    assert_eq!(status(&res), 504);
    assert!(started.elapsed() >= Duration::from_millis(300));
    workers[0].wait_for_client_closes(1).await;
}

#[tokio::test]
async fn a_client_that_disconnects_cancels_its_request_at_the_worker() {
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
    let started = std::time::Instant::now();
    workers[0].wait_for_client_closes(2).await;
    // The deadline of 4 s would also end the request.
    assert!(started.elapsed() < Duration::from_secs(2));
}

#[tokio::test]
async fn an_idle_connection_that_the_worker_closed_is_not_reused() {
    let (bed, workers) = start(1).await;
    workers[0].script([
        Action::Answer(200, "a".into()),
        Action::CloseDelimited("b".into()),
    ]);
    for n in 0..4 {
        let id = format!("id-{n}");
        let res = exchange(bed.callers, &request("POST", "/unsafe/", &id, "", "x")).await;
        assert_eq!(status(&res), 200);
    }
    assert_eq!(workers[0].requests().len(), 4);
}

#[tokio::test]
async fn an_idempotent_request_is_retried_soon_if_its_worker_is_silent() {
    let (bed, workers) = start(2).await;
    // Each worker is silent once. The first request may use up both, and the next one neither.
    for worker in &workers {
        worker.script([Action::Hang]);
    }
    let res = exchange(bed.callers, &request("GET", "/safe/", "id-1", "", "")).await;
    assert_eq!(
        status(&res),
        504,
        "there are two attempts at most, and the second one waits"
    );
    workers[0].script([Action::Hang]);
    let before: usize = workers.iter().map(|w| w.requests().len()).sum();
    // Idle workers are chosen at random. Requests are sent until one reaches the silent worker, and
    // is therefore received by both.
    let mut sent = 0;
    loop {
        sent += 1;
        assert!(sent <= 200, "no request reached the silent worker");
        let started = std::time::Instant::now();
        let id = format!("id-{}", sent + 1);
        let res = exchange(bed.callers, &request("GET", "/safe/", &id, "", "")).await;
        assert_eq!(status(&res), 200);
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "the request waited for its deadline of 4 s"
        );
        let seen: usize = workers.iter().map(|w| w.requests().len()).sum();
        if seen - before > sent {
            break;
        }
    }
}

#[tokio::test]
async fn a_request_that_must_not_be_retried_waits_for_its_worker() {
    let (bed, workers) = start(2).await;
    for worker in &workers {
        let late = Action::Answer(200, "late".into());
        worker.script([Action::Delayed(Duration::from_millis(1500), Box::new(late))]);
    }
    let res = exchange(bed.callers, &request("POST", "/twice/", "id-1", "", "x")).await;
    assert_eq!(status(&res), 200);
    assert!(res.ends_with("late"));
    let seen = workers.iter().flat_map(|w| w.requests());
    assert_eq!(seen.count(), 1);
}
