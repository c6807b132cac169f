//! Tests streams: events are forwarded as they arrive, and broken streams are resumed only where
//! that is allowed.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{Client, config, exchange, request, routes, start, status, wait_for};
use serde_json::json;
use standin::{Action, Endless};
use std::time::Duration;

#[tokio::test]
async fn events_are_forwarded_as_they_arrive() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::EventsThenHang(1..=3)]);
    let mut client = Client::connect(bed.callers).await;
    client
        .send(&request("POST", "/stream/", "id-1", "", "x"))
        .await;
    let res = client.read_until("piece 3\n\n").await;
    assert!(res.contains("response-signature: sig\r\n"));
    assert!(res.contains("content-type: text/event-stream\r\n"));
}

#[tokio::test]
async fn a_stream_that_breaks_at_each_worker_ends_without_its_last_chunk() {
    let (bed, workers) = start(2).await;
    for worker in &workers {
        worker.script([Action::EventsThenReset(1..=2)]);
    }
    let mut client = Client::connect(bed.callers).await;
    client
        .send(&request("POST", "/resumable/", "id-1", "", "x"))
        .await;
    let (res, _) = client.read_to_end().await;
    assert!(!res.contains("\r\n0\r\n\r\n"), "{res}");
    assert!(!res.contains("data: ha"), "{res}");
    assert_eq!(res.matches("piece 1").count(), 1, "{res}");
    let seen: usize = workers.iter().map(|w| w.requests().len()).sum();
    assert_eq!(seen, 2);
}

#[tokio::test]
async fn a_broken_stream_is_resumed_after_its_last_complete_event() {
    // The second run repeats no event, the last one, or all of them.
    for again in [0, 1, 3] {
        let (bed, workers) = start(2).await;
        for worker in &workers {
            let act = Action::BreakOnce {
                after: 3,
                last: 6,
                repeated: again,
            };
            worker.script([act]);
        }
        let res = exchange(
            bed.callers,
            &request("POST", "/resumable/", "id-1", "", "x"),
        )
        .await;
        assert_eq!(status(&res), 200);
        for n in 1..=6 {
            let count = res.matches(&format!("piece {n}\n")).count();
            assert_eq!(count, 1, "piece {n}, {again} again: {res}");
        }
        assert!(res.ends_with("0\r\n\r\n"), "{res}");
        assert!(!res.contains("data: ha"), "{res}");
        let all: Vec<_> = workers.iter().flat_map(|w| w.requests()).collect();
        let second = all.iter().find(|s| s.header("last-event-id").is_some());
        let second = second.expect("the second run has the id of the last event");
        assert_eq!(second.header("last-event-id"), Some("3"));
        assert_eq!(second.header("attempt-id"), Some("id-1"));
    }
}

#[tokio::test]
async fn a_broken_stream_that_is_not_resumable_ends_without_its_last_chunk() {
    let (bed, workers) = start(2).await;
    for worker in &workers {
        worker.script([Action::EventsThenReset(1..=2)]);
    }
    let mut client = Client::connect(bed.callers).await;
    client
        .send(&request("POST", "/stream/", "id-1", "", "x"))
        .await;
    let (res, _) = client.read_to_end().await;
    assert!(res.contains("piece 2"));
    assert!(!res.contains("\r\n0\r\n\r\n"), "{res}");
    let seen: usize = workers.iter().map(|w| w.requests().len()).sum();
    assert_eq!(seen, 1);
}

/// Guards against sending streams again and again to an upstream whose events have no end.
#[tokio::test]
async fn an_upstream_whose_streams_are_malformed_is_suspended() {
    let (bed, workers) = start(2).await;
    workers[0].set_default_action(Action::Endless(Endless {
        head: Some((200, "content-type: text/event-stream\r\n".into())),
        start: "data: ".into(),
        piece: "x".into(),
    }));
    workers[1].set_default_action(Action::Events(1..=2));
    let mut broken = 0;
    for n in 0..60 {
        let req = request("POST", "/stream/", &format!("id-{n}"), "", "x");
        let mut client = Client::connect(bed.callers).await;
        client
            .send(&req.replace("host:", "connection: close\r\nhost:"))
            .await;
        let (res, _) = client.read_to_end().await;
        broken += u32::from(!res.ends_with("0\r\n\r\n"));
    }
    assert!((1..=10).contains(&broken), "{broken} of 60 broken off");
}

#[tokio::test]
async fn a_resumable_stream_lost_before_its_first_event_is_retried() {
    let (bed, workers) = start(2).await;
    for worker in &workers {
        worker.script([Action::Close, Action::Events(1..=2)]);
    }
    let res = exchange(
        bed.callers,
        &request("POST", "/resumable/", "id-1", "", "x"),
    )
    .await;
    assert_eq!(status(&res), 502);
    let res = exchange(
        bed.callers,
        &request("POST", "/resumable/", "id-2", "", "x"),
    )
    .await;
    assert_eq!(status(&res), 200);
    assert!(res.contains("piece 2"));
}

#[tokio::test]
async fn a_prompt_is_prefilled_on_one_engine_and_answered_by_another() {
    let (bed, _) = start(0).await;
    let prefill_engine = bed.add_worker("i-read", "llm", Some("prefill")).await;
    let generator = bed.add_worker("i-write", "llm", Some("decode")).await;
    prefill_engine.script((0..40).map(|n| Action::Prefilled(format!("h{n}"))));
    generator.script((0..40).map(|_| Action::Events(1..=2)));
    let headers = |part: u32| {
        format!(
            "model: m\r\ntoken-counts: 900,5\r\nprompt-prefix: a1:300,{part:x}:300,ff{part:x}:300\r\n"
        )
    };
    bed.wait_answer(&request("POST", "/prompt/", "id-w", &headers(1), "x"), 200)
        .await;
    // Each part has a home engine; for some it is the prefill engine.
    for part in 2..34 {
        let id = format!("id-{part}");
        let res = exchange(
            bed.callers,
            &request("POST", "/prompt/", &id, &headers(part), "x"),
        )
        .await;
        assert_eq!(status(&res), 200);
        assert!(res.contains("piece 2"), "{res}");
    }
    let prefilled = prefill_engine.requests();
    assert!(
        !prefilled.is_empty(),
        "no prompt was prefilled on the prefill engine"
    );
    for seen in &prefilled {
        assert_eq!(seen.header("serving-stage"), Some("prefill"));
        let id = seen.header("attempt-id").unwrap().to_owned();
        let generated = generator.requests();
        let taken: Vec<_> = generated
            .iter()
            .filter(|s| s.header("attempt-id") == Some(&id))
            .collect();
        assert_eq!(taken.len(), 1, "{id}");
        let source = taken[0].header("kv-source").unwrap();
        assert!(
            source.starts_with(&format!("{}/h", prefill_engine.addr)),
            "{source}"
        );
    }
}

#[tokio::test]
async fn a_client_that_stops_reading_occupies_its_worker_until_the_routes_timeout() {
    let (bed, workers) = start(1).await;
    let mut all = routes();
    let all = all.as_array_mut().unwrap();
    all.push(
        json!({"Name": "slow-reader", "Host": "a.example", "PathPrefix": "/slow-reader/",
        "RouteType": "streaming", "TimeoutMs": 2000, "TargetLatencyMs": 100, "Service": "plain"}),
    );
    bed.store.put("op", "config", &config(2, &json!(all)));
    bed.wait_answer(&request("POST", "/slow-reader/", "id-w", "", "x"), 200)
        .await;
    // Far more than all buffers along the path can hold.
    workers[0].script([Action::CloseDelimited("y".repeat(64 << 20))]);
    let mut client = Client::connect(bed.callers).await;
    client
        .send(&request("POST", "/slow-reader/", "id-1", "", "x"))
        .await;
    wait_for("the end of the stream", || async {
        let metrics = "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n";
        let res = exchange(bed.ready, metrics).await;
        let mut lines = res.lines();
        lines.any(|l| l.contains("broken_off") && l.contains("timed_out"))
    })
    .await;
}

#[tokio::test]
async fn a_stream_past_its_deadline_is_not_resumed() {
    let (bed, workers) = start(2).await;
    for n in 0..20 {
        // The upstream has the same deadline, and breaks the stream then.
        let breaks = Action::EventsThenReset(1..=2);
        for worker in &workers {
            worker.set_default_action(Action::Delayed(
                Duration::from_millis(381),
                Box::new(breaks.clone()),
            ));
        }
        let id = format!("id-{n}");
        let req = request("POST", "/resumable/", &id, "", "x");
        let req = req.replace("deadline-ms: 4000", "deadline-ms: 400");
        let mut client = Client::connect(bed.callers).await;
        client.send(&req).await;
        client.read_to_end().await;
    }
    let seen: Vec<_> = workers.iter().flat_map(|w| w.requests()).collect();
    for n in 0..20 {
        let id = format!("id-{n}");
        let runs = seen.iter().filter(|s| s.id() == id).count();
        assert_eq!(runs, 1, "{id} was resumed with no time left");
    }
}
