//! Tests of the engine's client with the fake engine: it delivers complete responses and rejects
//! all others.

use engine::client::CompletionEvent;
use engine::protocol::CompletionBody;
use engine::sse::EventReader;
use engine::{Client, EngineError, Order, OrderAnswer};
use fakes::answer;
use fakes::engine::{FakeEngine, Rates};
use fakes::serve::FakeServer;
use fakes::{Faults, RunningServer, start};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use wire::{Model, Role};

async fn start_engine(fencing: bool) -> (Arc<FakeEngine>, Client, RunningServer) {
    let step = Duration::from_millis(1);
    let change = Duration::from_millis(20);
    let standin = FakeEngine::new(Rates {
        step_time: step,
        change_time: change,
        fencing,
        ..Rates::default()
    });
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let running = start(any, standin.clone()).await.unwrap();
    let client = Client::new(running.addr, Duration::from_secs(5));
    (standin, client, running)
}

async fn load(client: &Client, fence: u64) {
    assert_eq!(
        client.order(&order(fence, 1)).await.unwrap(),
        OrderAnswer::Taken
    );
    while client.state().await.unwrap().changing {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn order(fence: u64, model_version: u32) -> Order {
    Order {
        fence,
        role: Role::Mixed,
        model: Model::plain("m", model_version),
    }
}

fn body(id: &str, tokens: u32, resume_from: u32) -> CompletionBody {
    CompletionBody {
        request_id: id.into(),
        model: "m".into(),
        prompt: format!("prompt of {id}"),
        max_tokens: tokens,
        priority: 0,
        resume_from,
        stream: true,
    }
}

async fn read(client: &Client, body: &CompletionBody) -> Result<String, EngineError> {
    let mut stream = client.complete(body).await?;
    let mut text = String::new();
    loop {
        match stream.next().await? {
            CompletionEvent::Text(t) => text.push_str(&t),
            CompletionEvent::End(_) => return Ok(text),
        }
    }
}

#[tokio::test]
async fn completions_are_complete_and_resume_at_the_requested_token() {
    let (_standin, client, _running) = start_engine(true).await;
    load(&client, 1).await;
    let whole = read(&client, &body("a", 9, 0)).await.unwrap();
    assert_eq!(whole, answer::completion("prompt of a", 9));
    let rest = read(&client, &body("a", 9, 4)).await.unwrap();
    assert_eq!(
        format!("{}{rest}", answer::completion("prompt of a", 4)),
        whole
    );
}

#[tokio::test]
async fn broken_mixed_up_duplicated_and_invalid_responses_are_errors() {
    let (standin, client, _running) = start_engine(true).await;
    load(&client, 1).await;
    let read_with = |f: Faults| {
        standin.injector().set(f);
        let client = client.clone();
        async move {
            // Another running completion, whose chunks can be mixed up with this one's.
            let other = body("first", 400, 0);
            let other_stream = client.complete(&other).await;
            let got = read(&client, &body("second", 30, 0)).await;
            drop(other_stream);
            got
        }
    };
    assert!(
        read_with(Faults {
            break_streams: 2,
            ..Faults::default()
        })
        .await
        .is_err()
    );
    assert!(
        read_with(Faults {
            cross_chunks: 5,
            ..Faults::default()
        })
        .await
        .is_err()
    );
    assert!(
        read_with(Faults {
            double_chunks: 40,
            ..Faults::default()
        })
        .await
        .is_err()
    );
    assert!(
        read_with(Faults {
            nonsense: 2,
            ..Faults::default()
        })
        .await
        .is_err()
    );
    assert!(read_with(Faults::default()).await.is_ok());
}

#[tokio::test]
async fn an_old_fencing_token_is_rejected_by_engines_that_check_it() {
    let (standin, client, _running) = start_engine(true).await;
    load(&client, 7).await;
    assert_eq!(
        client.order(&order(6, 2)).await.unwrap(),
        OrderAnswer::Stale
    );
    assert_eq!(
        client.state().await.unwrap().model,
        Some(Model::plain("m", 1))
    );
    assert!(standin.history().orders.iter().all(|o| !o.stale_effective));
    let (standin, client, _running) = start_engine(false).await;
    load(&client, 7).await;
    assert_eq!(
        client.order(&order(6, 2)).await.unwrap(),
        OrderAnswer::Taken
    );
    assert!(
        standin.history().orders.iter().any(|o| o.stale_effective),
        "the fake engine records that a stale order took effect"
    );
}

#[test]
fn events_are_read_from_chunks_of_any_size_and_other_bytes_are_malformed() {
    let text = b"data: one\n\n: a comment\n\ndata: two\r\n\r\ndata:three\n\n";
    for size in 1..text.len() {
        let mut r = EventReader::default();
        let mut got = Vec::new();
        for chunk in text.chunks(size) {
            r.push(chunk);
            while let Some(data) = r.pop().unwrap() {
                got.push(String::from_utf8(data.to_vec()).unwrap());
            }
        }
        assert_eq!(got, ["one", "two", "three"]);
    }
    let mut r = EventReader::default();
    r.push(b"HTTP nonsense\n");
    assert!(r.pop().is_err());
}

/// Serves each connection with a start and then a piece that is repeated until the connection is closed.
/// Counts the bytes that were sent.
async fn serve_endless(start: &'static str, piece: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            if tcp.write_all(start.as_bytes()).await.is_err() {
                continue;
            }
            let pieces = piece.repeat(1024);
            while tcp.write_all(pieces.as_bytes()).await.is_ok() {
                count.fetch_add(pieces.len(), Ordering::Relaxed);
            }
        }
    });
    (addr, sent)
}

/// Guards against buffering a response without an end, in its head or in its body.
#[tokio::test]
async fn responses_without_an_end_are_errors() {
    const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    let cases = [
        ("", "x"),
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        ("HTTP/1.1 200 ", "x"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        (STREAM, "x"),
        (STREAM, "data: x\n"),
    ];
    for (start, piece) in cases {
        let (addr, sent) = serve_endless(start, piece).await;
        let client = Client::new(addr, Duration::from_secs(5));
        let completion = body("a", 9, 0);
        let read = tokio::time::timeout(Duration::from_secs(30), read(&client, &completion));
        let read = read.await.expect("the client gives up by itself");
        assert!(read.is_err(), "{start:?} {piece:?}: {read:?}");
        // What is read, and what the buffers of the connection hold.
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < 32 << 20, "{start:?} {piece:?}: {sent} bytes");
    }
}
