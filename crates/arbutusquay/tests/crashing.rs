//! Requests that crash each upstream that runs them, at entries and agents.
//!
//! The same cause as with gateways: an entry counted tries of one request, and a caller that
//! came again, to whichever entry, began at nothing.

use bench::client::{Call, CallResult};
use bench::mix::{ClientRequest, RequestKind};
use bench::testbed::{Testbed, is_complete, lookup, reply, testbed, wait_until};
use fakes::Faults;
use std::time::Duration;

/// The shipped binary.
const BINARY: &str = env!("CARGO_BIN_EXE_arbutusquay");
/// Text in the requests that crash upstreams.
const DEADLY: &str = "deadly";
/// Time after the third end from which on few more sends are allowed, and a bit more.
const SETTLED: Duration = Duration::from_millis(3200);
/// Sends that are allowed from then on, by all entries together.
const MORE: u32 = 3;

async fn crashing_bed() -> Testbed {
    let bed = testbed(BINARY, 4).await;
    let faults = Faults {
        crash_about: DEADLY.into(),
        ..Faults::default()
    };
    for engine in bed.engines() {
        fakes::serve::Standin::gate(&*engine).set(faults.clone());
    }
    for plain in bed.plain_services() {
        fakes::serve::Standin::gate(&*plain).set(faults.clone());
    }
    bed
}

fn crashes(bed: &Testbed) -> u32 {
    let engines = bed.engines();
    let plains = bed.plain_services();
    let of_engines = engines
        .iter()
        .map(|e| fakes::serve::Standin::gate(&**e).crash_count());
    let of_plains = plains
        .iter()
        .map(|p| fakes::serve::Standin::gate(&**p).crash_count());
    of_engines.chain(of_plains).sum()
}

/// A call that may run once, without a key of its own.
fn post() -> ClientRequest {
    ClientRequest {
        class: "notice",
        kind: RequestKind::Plain {
            method: "POST",
            path: "/notices".into(),
            body: DEADLY.into(),
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

/// Sends it by turns to both entries until three upstreams have ended.
async fn crash_three(bed: &Testbed, ask: &ClientRequest) {
    let mut turn = 0;
    while crashes(bed) < 3 {
        bed.client(turn % 2).send(ask.clone()).await;
        turn += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn is_stopped(ask: ClientRequest, other: ClientRequest) {
    let mut bed = crashing_bed().await;
    crash_three(&bed, &ask).await;
    tokio::time::sleep(SETTLED).await;
    let before = crashes(&bed);
    for turn in 0..16 {
        bed.client(turn % 2).send(ask.clone()).await;
        let more = crashes(&bed) - before;
        assert!(more <= MORE, "{more} more upstreams ended");
    }
    // It is tried once more; once all know what came of that it is for good.
    for turn in 0..4 {
        tokio::time::sleep(SETTLED / 2).await;
        bed.client(turn % 2).send(ask.clone()).await;
    }
    let sent = bed.client(0).send(ask.clone()).await;
    assert_eq!(reason(&sent), "crashes-upstreams", "{:?}", sent.result);
    assert!(is_complete(&bed.client(0).send(other).await));
    // An entry that starts later knows it too.
    bed.site.entries[0].process.kill().await.unwrap();
    bed.site.restart_entry(0).unwrap();
    bed.site.wait_ready().await.unwrap();
    tokio::time::sleep(SETTLED).await;
    bed.client(0).send(ask.clone()).await;
    let more = crashes(&bed) - before;
    assert!(more <= MORE, "{more} more upstreams ended after a restart");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_that_crashes_each_engine_is_stopped_at_all_entries() {
    is_stopped(reply(DEADLY, 5), reply("other", 5)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashes_each_plain_service_is_stopped_at_all_entries() {
    is_stopped(post(), lookup("/other")).await;
}

/// Broken streams of engines that go on are no crash.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_engines_break_are_not_held_against_the_request() {
    let bed = testbed(BINARY, 3).await;
    for _ in 0..4 {
        for engine in bed.engines() {
            let faults = Faults {
                break_streams: 1,
                ..Faults::default()
            };
            fakes::serve::Standin::gate(&*engine).set(faults);
        }
        bed.client(0).send(reply("same", 40)).await;
    }
    for engine in bed.engines() {
        fakes::serve::Standin::gate(&*engine).set(Faults::default());
    }
    wait_until("ready agents", || true).await;
    let sent = bed.client(0).send(reply("same", 40)).await;
    assert!(is_complete(&sent), "{:?}", sent.result);
}
