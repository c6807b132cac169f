//! Tests that an answer which its upstream broke off doesn't look complete to the client, however
//! the end of its body is known.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{Client, SHORT_PROMPT_HEADERS, exchange, request, start, status, wait_for};
use standin::{Action, Worker};
use std::time::Duration;

const FIRST: &str = "id: 1\ndata: piece 1\n\n";

/// Time after which a change of the registry is known.
const REGISTRY_TIME: Duration = Duration::from_millis(1500);

/// Sends a request on a new connection and returns all bytes until the connection ends. The client
/// asks for that, so a complete answer ends without a timeout.
async fn read_all(callers: std::net::SocketAddr, path: &str, id: &str, more: &str) -> String {
    let headers = format!("connection: close\r\n{more}");
    let mut client = Client::connect(callers).await;
    client.send(&request("POST", path, id, &headers, "x")).await;
    client.read_to_end().await.0
}

/// Whether an answer looks complete: it has its length, or its last chunk.
fn looks_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    match head.split_once("content-length: ") {
        Some((_, len)) => len.lines().next() == Some(&body.len().to_string()),
        None => true,
    }
}

/// Body of a complete answer.
fn body_of(text: &str) -> String {
    let (head, mut rest) = text.split_once("\r\n\r\n").expect("the answer has a head");
    if !head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked")
    {
        return rest.to_owned();
    }
    let mut body = String::new();
    while let Some((len, chunk)) = rest.split_once("\r\n") {
        let len = usize::from_str_radix(len, 16).expect("a chunk has a length");
        body += &chunk[..len];
        rest = &chunk[(len + 2).min(chunk.len())..];
    }
    body
}

/// Streams that end inside an event.
fn cut_streams() -> Vec<(&'static str, String)> {
    vec![
        (
            "in the third",
            format!("{FIRST}id: 2\ndata: b\n\nid: 3\nda"),
        ),
        ("in the first", "id: 1\ndata: pie".to_owned()),
        ("before the blank line", format!("{FIRST}id: 2\ndata: b\n")),
        (
            "with CRLF",
            "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n".to_owned(),
        ),
        (
            "in the last line break",
            "id: 1\r\ndata: a\r\n\r".to_owned(),
        ),
        (
            "in a long one",
            format!("{FIRST}id: 2\ndata: {}", "y".repeat(300 << 10)),
        ),
    ]
}

/// Guards against a stream that ends with its connection, inside an event, being relayed with its
/// last chunk.
#[tokio::test]
async fn an_unframed_stream_that_is_cut_inside_an_event_does_not_look_complete() {
    let (bed, workers) = start(1).await;
    for (n, (name, body)) in cut_streams().into_iter().enumerate() {
        workers[0].script([Action::UnframedStream(body.clone())]);
        let res = read_all(bed.callers, "/stream/", &format!("id-{n}"), "").await;
        assert_eq!(status(&res), 200, "{name}");
        assert!(!looks_complete(&res), "{name}: {res:.300}");
        workers[0].script([Action::Unframed(200, body)]);
        let res = read_all(bed.callers, "/stream/", &format!("untyped-{n}"), "").await;
        assert!(!looks_complete(&res), "untyped, {name}: {res:.300}");
    }
}

/// Guards against the same after a prefill at another engine, as in the incident.
#[tokio::test]
async fn a_prompt_whose_generator_cuts_its_unframed_stream_does_not_look_complete() {
    let (bed, _) = start(0).await;
    let prefill_engine = bed.add_worker("i-read", "llm", Some("prefill")).await;
    let generator = bed.add_worker("i-write", "llm", Some("decode")).await;
    prefill_engine.script((0..40).map(|n| Action::Prefilled(format!("h{n}"))));
    generator.set_default_action(Action::Events(1..=2));
    bed.wait_answer(
        &request("POST", "/prompt/", "id-w", SHORT_PROMPT_HEADERS, "x"),
        200,
    )
    .await;
    for n in 0..8 {
        generator.script([Action::UnframedStream(format!("{FIRST}id: 2\nda"))]);
        let id = format!("id-{n}");
        let res = read_all(bed.callers, "/prompt/", &id, SHORT_PROMPT_HEADERS).await;
        assert!(!looks_complete(&res), "{res}");
    }
    assert!(!prefill_engine.requests().is_empty(), "no prompt was split");
}

/// Guards against a stream whose connection ends before its first event being answered as an empty
/// but complete one. Nothing was sent to the client, so it gets an error.
#[tokio::test]
async fn an_unframed_stream_without_an_event_is_not_answered_as_complete() {
    let (bed, workers) = start(1).await;
    workers[0].script([Action::UnframedStream(String::new())]);
    let res = read_all(bed.callers, "/stream/", "id-1", "").await;
    assert_eq!(status(&res), 502, "{res}");
}

/// Guards against a stream that ends inside an event being taken for whole since its last chunk came.
#[tokio::test]
async fn a_chunked_stream_that_ends_inside_an_event_does_not_look_complete() {
    let (bed, workers) = start(1).await;
    for (n, (name, body)) in cut_streams().into_iter().enumerate() {
        workers[0].script([Action::ChunkedStream(body.clone())]);
        let res = read_all(bed.callers, "/stream/", &format!("id-{n}"), "").await;
        assert!(!looks_complete(&res), "{name}: {res:.300}");
    }
}

/// Guards against whole answers being broken off: streams whose end is known in each way, errors
/// of streams, and plain answers.
#[tokio::test]
async fn whole_answers_look_complete() {
    let (bed, workers) = start(1).await;
    let crlf = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n".to_owned();
    let comment = format!(": hello\n\n{FIRST}: bye\n");
    let three = FIRST.repeat(3);
    let cases = [
        (
            "/stream/",
            Action::UnframedStream(three.clone()),
            &three[..],
        ),
        ("/stream/", Action::UnframedStream(crlf.clone()), &crlf[..]),
        (
            "/stream/",
            Action::UnframedStream(comment.clone()),
            &comment,
        ),
        ("/resumable/", Action::UnframedStream(FIRST.into()), FIRST),
        ("/resumable/", Action::UnframedStream(crlf.clone()), &crlf),
        (
            "/resumable/",
            Action::UnframedStream(comment.clone()),
            &comment,
        ),
        ("/stream/", Action::ChunkedStream(FIRST.into()), FIRST),
        ("/resumable/", Action::ChunkedStream(FIRST.into()), FIRST),
        ("/stream/", Action::Answer(500, "failed".into()), "failed"),
        ("/stream/", Action::Unframed(500, "failed".into()), "failed"),
        (
            "/unsafe/",
            Action::CloseDelimited("data: x".into()),
            "data: x",
        ),
        ("/unsafe/", Action::CloseDelimited(String::new()), ""),
    ];
    for (n, (path, action, body)) in cases.into_iter().enumerate() {
        workers[0].script([action.clone()]);
        let res = read_all(bed.callers, path, &format!("id-{n}"), "").await;
        assert!(looks_complete(&res), "{action:?}: {res:?}");
        assert_eq!(body_of(&res), body, "{action:?}: {res:?}");
    }
}

/// Guards against a break-off inside an event leaving the stream unfinished where it may be
/// resumed, whatever the framing of the first and the second answer.
#[tokio::test]
async fn an_unframed_stream_is_resumed_after_its_last_complete_event() {
    let (bed, workers) = start(2).await;
    for (n, then) in [
        Action::Events(2..=3),
        Action::UnframedStream("id: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n".into()),
    ]
    .into_iter()
    .enumerate()
    {
        for worker in &workers {
            worker.script([Action::ResumeWith {
                first: Box::new(Action::UnframedStream(format!("{FIRST}id: 2\nda"))),
                then: Box::new(then.clone()),
            }]);
        }
        let res = exchange(
            bed.callers,
            &request("POST", "/resumable/", &format!("id-{n}"), "", "x"),
        )
        .await;
        for piece in 1..=3 {
            assert_eq!(res.matches(&format!("piece {piece}\n")).count(), 1, "{res}");
        }
        assert!(looks_complete(&res), "{res}");
    }
}

/// Guards against crashes that close the connection going unnoticed: the store gets the record of
/// a request under which upstreams were lost, as if the connections had been reset.
#[tokio::test]
async fn an_upstream_that_cuts_its_unframed_stream_counts_as_crashed() {
    for cut in [
        Action::EventsThenReset(1..=1),
        Action::UnframedStream(format!("{FIRST}id: 2\nda")),
        Action::UnframedStream(String::new()),
    ] {
        let (bed, mut workers) = start(4).await;
        for worker in &workers {
            worker.set_default_action(cut.clone());
        }
        for n in 0..3 {
            read_all(bed.callers, "/stream/", &format!("id-{n}"), "").await;
            let ran = |worker: &Worker| !worker.requests().is_empty();
            let at = workers
                .iter()
                .position(ran)
                .expect("a worker got the request");
            // Its process ends with the connection: nothing listens at its address any more.
            let id = workers.swap_remove(at).id().to_owned();
            // An upstream is observed for a while before it counts as crashed.
            tokio::time::sleep(Duration::from_millis(150)).await;
            // The next request must reach another one, as two crashes are recorded.
            bed.store.remove("servers", &id);
            tokio::time::sleep(REGISTRY_TIME).await;
        }
        let store = &bed.store;
        wait_for("records of crashes", || async {
            store.keys("crashes").len() >= 2
        })
        .await;
    }
}
