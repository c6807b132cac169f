//! Streams that break off while the gateway is stalled: all events that it receives before the
//! break reach the client.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{Client, address, config, request, routes, start_without_config};
use standin::{Action, Gate, Worker};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Time for which the gateway is stalled. The upstream sends its events and breaks off meanwhile.
const STALL: Duration = Duration::from_millis(600);

/// Requests a stream that the upstream serves while the gateway is stalled. Returns the text that
/// the client receives.
///
/// The gateway runs on the test's thread, which is blocked for [`STALL`]. The upstream has a
/// runtime of its own.
async fn receive(path: &str, action: Action) -> String {
    let upstream_runtime = tokio::runtime::Runtime::new().unwrap();
    let gateway = start_without_config();
    gateway.store.put("op", "config", &config(1, &routes()));
    let addr = SocketAddr::new(IpAddr::V4(address()), 7100);
    let worker = upstream_runtime.spawn(async move { Worker::start(addr, "i-0").await.unwrap() });
    let worker = worker.await.unwrap();
    gateway.register("i-0", "plain", addr, "ready", None);
    let probe = request("GET", "/safe/", "probe", "", "");
    gateway.wait_answer(&probe, 200).await;
    let gate = Gate::closed();
    worker.script([Action::Held(gate.clone(), Box::new(action))]);
    let request_count = worker.requests().len();
    let mut client = Client::connect(gateway.callers).await;
    let text = request("POST", path, "id-1", "connection: close\r\n", "x");
    client.send(&text).await;
    worker.wait_for_requests(request_count + 1).await;
    gate.open();
    std::thread::sleep(STALL);
    let (text, _) = client.read_to_end().await;
    upstream_runtime.shutdown_background();
    text
}

fn assert_has_events(text: &str, context: &str) {
    assert!(text.starts_with("HTTP/1.1 200"), "{context}: {text:?}");
    assert_eq!(
        text.matches("data: piece").count(),
        2,
        "{context}: {text:?}"
    );
    assert!(!text.ends_with("0\r\n\r\n"), "{context}: {text:?}");
}

/// Guards against discarding events that arrive together with the reset of the upstream's
/// connection.
#[tokio::test]
async fn events_before_a_reset_reach_the_client() {
    let body = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
    let text = receive("/stream/", Action::CloseDelimitedReset(body.into())).await;
    assert_has_events(&text, "reset");
}

/// Guards against discarding events that arrive together with the end of the upstream's connection.
#[tokio::test]
async fn events_before_a_close_reach_the_client() {
    for path in ["/stream/", "/resumable/"] {
        let text = receive(path, Action::CutUnframed(2)).await;
        assert_has_events(&text, path);
    }
}
