//! Requests that crash each upstream that runs them, with entries and agents.
//!
//! Guards against counting attempts per request only: a caller that repeated its request at any
//! entry started a new count, so it could crash upstream after upstream. Gateways had the same
//! fault.

use bench::client::{Call, CallResult};
use bench::mix::{ClientRequest, RequestKind};
use bench::testbed::{Testbed, is_complete, lookup, reply, testbed, wait_until};
use fakes::Faults;
use std::time::Duration;

/// Path of the binary under test.
const BINARY: &str = env!("CARGO_BIN_EXE_arbutusquay");
/// Text in requests that crash upstreams.
const CRASHING_TEXT: &str = "deadly";
/// Time after the third crash from which on only [`MAX_LATER_CRASHES`] are allowed, with a margin.
const SETTLE_TIME: Duration = Duration::from_millis(3200);
/// Number of crashes that all entries together may still cause after that.
const MAX_LATER_CRASHES: u32 = 3;

async fn crashing_bed() -> Testbed {
    let bed = testbed(BINARY, 4).await;
    let faults = Faults {
        crash_about: CRASHING_TEXT.into(),
        ..Faults::default()
    };
    for engine in bed.engines() {
        fakes::serve::FakeServer::injector(&*engine).set(faults.clone());
    }
    for plain in bed.plain_services() {
        fakes::serve::FakeServer::injector(&*plain).set(faults.clone());
    }
    bed
}

fn crashes(bed: &Testbed) -> u32 {
    let engines = bed.engines();
    let plains = bed.plain_services();
    let of_engines = engines
        .iter()
        .map(|e| fakes::serve::FakeServer::injector(&**e).crash_count());
    let of_plains = plains
        .iter()
        .map(|p| fakes::serve::FakeServer::injector(&**p).crash_count());
    of_engines.chain(of_plains).sum()
}

/// A call that may run at most once, without an idempotency key.
fn post() -> ClientRequest {
    ClientRequest {
        class: "notice",
        kind: RequestKind::Plain {
            method: "POST",
            path: "/notices".into(),
            body: CRASHING_TEXT.into(),
            key: None,
        },
        ..lookup("/")
    }
}

fn reason(sent: &Call) -> &str {
    match &sent.result {
        CallResult::Refused { reason, .. } => reason,
        _ => "",
    }
}

/// Sends a request to both entries in turn until three upstreams have crashed.
async fn crash_three_upstreams(bed: &Testbed, ask: &ClientRequest) {
    let mut turn = 0;
    while crashes(bed) < 3 {
        bed.client(turn % 2).send(ask.clone()).await;
        turn += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn assert_stopped(ask: ClientRequest, other: ClientRequest) {
    let mut bed = crashing_bed().await;
    crash_three_upstreams(&bed, &ask).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = crashes(&bed);
    for turn in 0..16 {
        bed.client(turn % 2).send(ask.clone()).await;
        let more = crashes(&bed) - before;
        assert!(more <= MAX_LATER_CRASHES, "{more} more upstreams crashed");
    }
    // One trial still runs. Once all entries know its result, the request stays blocked.
    for turn in 0..4 {
        tokio::time::sleep(SETTLE_TIME / 2).await;
        bed.client(turn % 2).send(ask.clone()).await;
    }
    let sent = bed.client(0).send(ask.clone()).await;
    assert_eq!(reason(&sent), "crashes-upstreams", "{:?}", sent.result);
    assert!(is_complete(&bed.client(0).send(other).await));
    // An entry that starts later also blocks it.
    bed.site.entries[0].process.kill().await.unwrap();
    bed.site.restart_entry(0).unwrap();
    bed.site.wait_ready().await.unwrap();
    tokio::time::sleep(SETTLE_TIME).await;
    bed.client(0).send(ask.clone()).await;
    let more = crashes(&bed) - before;
    assert!(
        more <= MAX_LATER_CRASHES,
        "{more} more upstreams crashed after a restart"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_that_crashes_each_engine_is_blocked_at_all_entries() {
    assert_stopped(reply(CRASHING_TEXT, 5), reply("other", 5)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashes_each_plain_service_is_blocked_at_all_entries() {
    assert_stopped(post(), lookup("/other")).await;
}

/// Streams that break while their engine keeps running are not crashes.
#[tokio::test(flavor = "multi_thread")]
async fn streams_broken_by_running_engines_do_not_count_as_crashes() {
    let bed = testbed(BINARY, 3).await;
    for _ in 0..4 {
        for engine in bed.engines() {
            let faults = Faults {
                break_streams: 1,
                ..Faults::default()
            };
            fakes::serve::FakeServer::injector(&*engine).set(faults);
        }
        bed.client(0).send(reply("same", 40)).await;
    }
    for engine in bed.engines() {
        fakes::serve::FakeServer::injector(&*engine).set(Faults::default());
    }
    wait_until("ready agents", || true).await;
    let sent = bed.client(0).send(reply("same", 40)).await;
    assert!(is_complete(&sent), "{:?}", sent.result);
}
