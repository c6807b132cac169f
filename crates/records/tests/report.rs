//! Tests that records survive an outage of the object store and that reports list what is missing.

use fakes::objects::FakeObjectStore;
use fakes::serve::FakeServer;
use fakes::{Faults, start};
use records::record::BatchName;
use records::report::Collector;
use records::{Batch, Record, Recorder, Side, read_report};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::HttpPlatform;
use wire::{Outcome, Reason, RequestId};

const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);

fn record(request: u128, side: Side, outcome: Outcome, first_ms: Option<u64>) -> Record {
    Record {
        request: RequestId(request),
        side,
        service: "s".into(),
        tenant: format!("t{}", request % 2),
        class: "c".into(),
        outcome,
        reason: (outcome != Outcome::Answered).then_some(Reason::QueueFull),
        upstream: None,
        attempts: 1,
        queue_ms: 0,
        first_ms,
        total_ms: 10,
        deadline_ms: 100,
        count: 1,
        ended_ms: 1000 + request as u64,
    }
}

fn name(process: &str, number: u64) -> BatchName {
    BatchName {
        hour: 0,
        process: process.into(),
        number,
    }
}

fn batch(last: bool, dropped: u64, records: Vec<Record>) -> Batch {
    Batch {
        dropped,
        last,
        records,
    }
}

#[test]
fn each_request_is_counted_under_exactly_one_outcome() {
    let mut c = Collector::new("s", 0);
    let records = vec![
        record(1, Side::Entry, Outcome::Answered, Some(50)),
        record(2, Side::Entry, Outcome::Answered, Some(150)),
        record(3, Side::Entry, Outcome::NotRun, None),
        record(4, Side::Entry, Outcome::Unknown, None),
        record(1, Side::Agent, Outcome::Answered, Some(40)),
        record(9, Side::Agent, Outcome::Answered, Some(40)),
    ];
    c.add(&name("p", 0), &batch(true, 0, records));
    let r = c.finish();
    let a = &r.all;
    assert_eq!(
        (a.requests, a.served, a.delayed, a.refused, a.unknown),
        (4, 1, 1, 1, 1)
    );
    assert_eq!(a.reasons["queue-full"], 2);
    assert_eq!(a.wait_ms.p99, 150);
    assert_eq!(r.classes[0].tenants.len(), 2);
    assert_eq!((r.agent_only, r.tries), (1, 2));
    assert!(r.gaps.is_empty());
    assert!(r.to_string().contains("queue-full 2"));
}

#[test]
fn missing_batches_dropped_records_and_a_missing_last_batch_are_gaps() {
    let mut c = Collector::new("s", 0);
    c.add(&name("a", 1), &batch(false, 0, Vec::new()));
    c.add(&name("a", 4), &batch(true, 0, Vec::new()));
    c.add(&name("b", 0), &batch(true, 7, Vec::new()));
    c.add(&name("c", 0), &batch(false, 0, Vec::new()));
    c.add(&name("whole", 0), &batch(true, 0, Vec::new()));
    let r = c.finish();
    let gap_of = |p: &str| r.gaps.iter().find(|g| g.process == p);
    assert_eq!(gap_of("a").unwrap().missing, [2, 3]);
    assert_eq!(gap_of("b").unwrap().dropped, 7);
    assert!(!gap_of("c").unwrap().ended);
    assert!(gap_of("whole").is_none());
    let text = r.to_string();
    assert!(text.contains("gap: a: missing batches [2, 3]"), "{text}");
    assert!(!text.contains("gap: c:"), "{text}");
    assert!(text.contains("1 processes haven't ended"), "{text}");
    assert_eq!(r.lost_records(), 7);
}

#[test]
fn requests_that_ended_before_since_are_excluded() {
    let mut c = Collector::new("s", 1002);
    let records = (1..4)
        .map(|n| record(n, Side::Entry, Outcome::Answered, Some(1)))
        .collect();
    c.add(&name("p", 0), &batch(true, 0, records));
    assert_eq!(c.finish().all.requests, 2);
}

#[tokio::test]
async fn records_are_kept_in_bounded_memory_during_an_outage() {
    let standin = Arc::<FakeObjectStore>::default();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let running = start(any, standin.clone()).await.unwrap();
    let a = running.addr;
    let timeout = Duration::from_millis(300);
    let platform = HttpPlatform::new(&conf::Platform {
        table: a,
        objects: a,
        hosts: a,
        timeout,
    });
    standin.injector().set(Faults {
        down: true,
        ..Faults::default()
    });
    let r = Recorder::start(platform.clone(), "p".into(), Duration::from_millis(1), 50);
    let (kept, all) = (50, 500);
    // Recorded one by one, so that the first ones are in the batch that is being retried.
    for n in 0..all {
        r.record(record(n, Side::Entry, Outcome::Answered, Some(1)));
    }
    standin.injector().set(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    assert!(r.close(CLOSE_TIMEOUT).await);
    let report = read_report(&platform, "s", 0).await.unwrap();
    let (got, lost) = (report.all.requests, report.lost_records());
    assert!(got >= kept, "{got} records were kept");
    assert_eq!(
        u128::from(got + lost),
        all,
        "every record is there or counted as dropped"
    );
}
