//! Requests through entries and agents as real processes: answers, refusals, invalid input, and
//! faults of upstreams and of the table service.

use bench::client::{Call, CallResult, http_request};
use bench::mix::{ClientRequest, RequestKind};
use bench::testbed::{Testbed, is_complete, lookup, notice, reply, testbed, wait_until};
use fakes::Faults;
use fakes::serve::FakeServer;
use http_body_util::BodyExt;
use hyper::Request;
use net::{Pool, full};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::Outcome;

/// Path of the binary under test.
const BINARY: &str = env!("CARGO_BIN_EXE_arbutusquay");

fn refused(sent: &Call) -> (Outcome, &str) {
    match &sent.result {
        CallResult::Refused { outcome, reason } => (*outcome, reason),
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_complete_in_every_format() {
    let bed = testbed(BINARY, 2).await;
    let caller = bed.client(0);
    for (chat, stream) in [(false, false), (false, true), (true, false), (true, true)] {
        let prompt = format!("form {chat} {stream}");
        let kind = RequestKind::Completion {
            prompt,
            tokens: 17,
            chat,
            stream,
        };
        let sent = caller
            .send(ClientRequest {
                kind,
                ..reply("", 1)
            })
            .await;
        assert!(is_complete(&sent), "{chat} {stream}: {:?}", sent.result);
        assert!(sent.id.is_some());
    }
    assert!(is_complete(&caller.send(lookup("/status/7?of=ann")).await));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_idempotency_key_gets_the_stored_answer_from_any_entry_and_runs_once() {
    let bed = testbed(BINARY, 2).await;
    let first = bed.client(0).send(notice("k1", "you are third")).await;
    assert_eq!(first.result, CallResult::Complete { replayed: false });
    // The answer is stored shortly after it was sent.
    let mut repeat = bed.client(1).send(notice("k1", "you are third")).await;
    while matches!(
        &repeat.result,
        CallResult::Refused {
            outcome: Outcome::Unknown,
            ..
        }
    ) {
        repeat = bed.client(1).send(notice("k1", "you are third")).await;
    }
    assert_eq!(repeat.result, CallResult::Complete { replayed: true });
    let other = bed.client(1).send(notice("k1", "something else")).await;
    assert_eq!(refused(&other), (Outcome::NotRun, "bad-request"));
    assert_eq!(bed.run_count("k1"), 1);
    let race = (0..8).map(|n| {
        let caller = bed.client(n % 2);
        tokio::spawn(async move { caller.send(notice("k2", "raced")).await })
    });
    for task in race.collect::<Vec<_>>() {
        let sent = task.await.unwrap();
        assert!(
            is_complete(&sent) || refused(&sent).0 == Outcome::Unknown,
            "{:?}",
            sent.result
        );
    }
    assert_eq!(bed.run_count("k2"), 1);
}

/// Method, path, body, a header, and the expected status and reason.
type InvalidRequest = (
    &'static str,
    &'static str,
    &'static str,
    Option<(&'static str, &'static str)>,
    u16,
    &'static str,
);

const COMPLETIONS: &str = "/taalmodel-dossier/v1/completions";
const INVALID_REQUESTS: [InvalidRequest; 11] = [
    (
        "POST",
        "/nobody/v1/completions",
        "{}",
        None,
        404,
        "unknown-service",
    ),
    ("GET", "/", "", None, 404, "unknown-service"),
    ("POST", COMPLETIONS, "{", None, 400, "bad-request"),
    (
        "POST",
        COMPLETIONS,
        r#"{"prompt":7}"#,
        None,
        400,
        "bad-request",
    ),
    (
        "POST",
        COMPLETIONS,
        r#"{"prompt":"x","n":2}"#,
        None,
        400,
        "bad-request",
    ),
    ("GET", COMPLETIONS, "", None, 400, "bad-request"),
    (
        "POST",
        COMPLETIONS,
        r#"{"prompt":"x"}"#,
        Some(("x-class", "none")),
        400,
        "unknown-class",
    ),
    (
        "POST",
        "/ledenportaal/notices",
        "x",
        Some(("x-class", "lookup")),
        400,
        "unknown-class",
    ),
    (
        "POST",
        "/ledenportaal/notices",
        "x",
        Some(("idempotency-key", "a b")),
        400,
        "bad-request",
    ),
    (
        "GET",
        "/ledenportaal/x",
        "",
        Some(("x-deadline-ms", "soon")),
        400,
        "bad-request",
    ),
    (
        "GET",
        "/ledenportaal/x",
        "",
        Some(("x-tenant", "a/b")),
        400,
        "bad-request",
    ),
];

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_with_a_reason() {
    let bed = testbed(BINARY, 1).await;
    let pool = Pool::new(bed.site.entries[0].addr, Duration::from_secs(5));
    for (method, path, body, header, status, reason) in INVALID_REQUESTS {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "entry");
        if let Some((name, value)) = header {
            req = req.header(name, value);
        }
        let req = req.body(full(body)).unwrap();
        let (got, text) = pool
            .call(req, 1 << 16, Duration::from_secs(10))
            .await
            .unwrap();
        let text = String::from_utf8(text.to_vec()).unwrap();
        assert_eq!(got, status, "{method} {path} {body}: {text}");
        assert!(
            text.contains(&format!("\"reason\":\"{reason}\"")),
            "{method} {path} {body}: {text}"
        );
        assert!(text.contains("\"outcome\":\"not-run\""), "{text}");
    }
    assert!(
        bed.plain_services().iter().all(|p| p.history().is_empty()),
        "no invalid request ran"
    );
}

async fn send_raw(bed: &Testbed, bytes: &[u8]) -> String {
    let mut tcp = TcpStream::connect(bed.site.entries[0].addr).await.unwrap();
    // The server may answer and close before all is sent.
    let _ = tcp.write_all(bytes).await;
    let mut got = Vec::new();
    let _ = tokio::time::timeout(bench::testbed::WAIT_TIMEOUT, tcp.read_to_end(&mut got)).await;
    String::from_utf8_lossy(&got).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn hostile_input_is_refused_and_the_process_stays_up() {
    let bed = testbed(BINARY, 1).await;
    let head =
        "POST /taalmodel-dossier/v1/completions HTTP/1.1\r\nhost: e\r\nconnection: close\r\n";
    assert!(
        send_raw(&bed, b"\x00\xff nonsense\r\n\r\n")
            .await
            .contains("400")
    );
    let huge = format!("{head}x-filler: {}\r\n\r\n", "x".repeat(1 << 20));
    assert!(send_raw(&bed, huge.as_bytes()).await.contains("431"));
    let slow = format!("{head}content-length: 100\r\n\r\n{{");
    let got = send_raw(&bed, slow.as_bytes()).await;
    assert!(got.contains("408") && got.contains("slow-request"), "{got}");
    let long = format!(
        "{head}content-length: 9000000\r\n\r\n{}",
        "x".repeat(9_000_000)
    );
    let got = send_raw(&bed, long.as_bytes()).await;
    // The refusal may be lost if the rest of the body is sent to a closed socket.
    assert!(got.is_empty() || got.contains("too-large"), "{got}");
    assert!(is_complete(
        &bed.client(0).send(reply("still there?", 5)).await
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_engine_output_causes_a_retry_and_never_a_wrong_answer() {
    let bed = testbed(BINARY, 3).await;
    let caller = bed.client(0);
    let faults = [
        Faults {
            break_streams: 1,
            ..Faults::default()
        },
        Faults {
            double_chunks: 1,
            ..Faults::default()
        },
        Faults {
            cross_chunks: 1,
            ..Faults::default()
        },
    ];
    for (n, fault) in faults.into_iter().enumerate() {
        bed.engine(0).injector().set(fault.clone());
        let tasks: Vec<_> = (0..12)
            .map(|i| {
                let caller = caller.clone();
                tokio::spawn(async move { caller.send(reply(&format!("{n} {i}"), 40)).await })
            })
            .collect();
        for t in tasks {
            let sent = t.await.unwrap();
            assert!(is_complete(&sent), "{fault:?}: {:?}", sent.result);
        }
    }
    for e in bed.engines() {
        e.injector().set(Faults {
            break_streams: 1000,
            ..Faults::default()
        });
    }
    let sent = caller.send(reply("all broken", 9)).await;
    assert_eq!(refused(&sent).0, Outcome::Unknown);
}

/// Guards against an extra token: a stream that broke after its last token but before its end was
/// resumed past its length.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_after_its_last_token_is_not_resumed() {
    let bed = testbed(BINARY, 2).await;
    for tokens in [1, 7] {
        for e in bed.engines() {
            // The duplicate of the last chunk makes the attempt fail after it.
            e.injector().set(Faults {
                double_last: 1,
                ..Faults::default()
            });
        }
        let sent = bed.client(0).send(reply("short", tokens)).await;
        assert!(is_complete(&sent), "{tokens}: {:?}", sent.result);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_call_with_a_lost_answer_stays_unknown_and_ran_once() {
    let bed = testbed(BINARY, 1).await;
    let plain = bed.plain_services().remove(0);
    plain.injector().set(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let sent = bed.client(0).send(notice("lost", "x")).await;
    assert_eq!(refused(&sent).0, Outcome::Unknown);
    let again = bed.client(1).send(notice("lost", "x")).await;
    assert_eq!(refused(&again), (Outcome::Unknown, "key-in-use"));
    assert_eq!(bed.run_count("lost"), 1);
}

/// A status of an upstream that had run the call promised its caller that it hadn't.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_call_that_ran_and_failed_stays_unknown() {
    let bed = testbed(BINARY, 1).await;
    let plain = bed.plain_services().remove(0);
    for run_status in [408, 429, 503] {
        plain.injector().set(Faults {
            run_status,
            ..Faults::default()
        });
        let key = format!("failed-{run_status}");
        // The second answer is the stored one.
        for client in 0..2 {
            let sent = bed.client(client).send(notice(&key, "x")).await;
            assert_eq!(refused(&sent).0, Outcome::Unknown, "{run_status}");
        }
        assert_eq!(bed.run_count(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_table_service_down_only_idempotent_requests_are_served() {
    let bed = testbed(BINARY, 1).await;
    bed.site.table.injector().set(Faults {
        down: true,
        ..Faults::default()
    });
    let sent = bed.client(0).send(notice("down", "x")).await;
    assert_eq!(refused(&sent), (Outcome::NotRun, "claim-unavailable"));
    assert!(is_complete(&bed.client(0).send(reply("p", 5)).await));
    assert!(is_complete(&bed.client(1).send(lookup("/status/1")).await));
    assert_eq!(bed.run_count("down"), 0);
    bed.site.table.injector().set(Faults::default());
    assert!(is_complete(&bed.client(0).send(notice("down", "x")).await));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_cancels_a_completion_but_not_a_non_idempotent_call() {
    let bed = testbed(BINARY, 1).await;
    let engine = bed.engine(0);
    let pool = Pool::new(bed.site.entries[0].addr, Duration::from_secs(5));
    let mut answer = pool
        .send_on_new(http_request(&reply("endless", 30_000)))
        .await
        .unwrap();
    answer.response.body_mut().frame().await.unwrap().unwrap();
    assert_eq!(engine.open_requests(), 1);
    drop(answer);
    wait_until("the cancel", || engine.open_requests() == 0).await;

    let plain = bed.plain_services().remove(0);
    plain.injector().set(Faults {
        delay_ms: 300,
        ..Faults::default()
    });
    let begun =
        tokio::spawn(async move { pool.send_on_new(http_request(&notice("gone", "x"))).await });
    let table = bed.site.table.clone();
    let claimed = || {
        table
            .history()
            .written
            .iter()
            .any(|r| r.key.ends_with("key/gone"))
    };
    wait_until("the claim", claimed).await;
    begun.abort();
    wait_until("the run", || bed.run_count("gone") == 1).await;
    let answered = || {
        table
            .history()
            .written
            .iter()
            .filter(|r| r.key.ends_with("key/gone"))
            .count()
            == 2
    };
    wait_until("the kept answer", answered).await;
    plain.injector().set(Faults::default());
    let repeat = bed.client(1).send(notice("gone", "x")).await;
    assert_eq!(repeat.result, CallResult::Complete { replayed: true });
    assert_eq!(bed.run_count("gone"), 1);
}
