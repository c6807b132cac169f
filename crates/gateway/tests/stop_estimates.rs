//! Tests how a stopping host estimates whether an answer will end in time, and what it does if only
//! the first attempt can.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::paced::pace_time;
use common::{
    Client, LATE_IN_SHUTDOWN, TestGateway, exchange, request, start, start_with_grace, status,
};
use standin::{Action, Worker};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Number of quick answers; far more than the slow ones before them.
const QUICK_ANSWERS: usize = 130;

/// An answer that is sent after a delay.
fn delayed_answer(time: Duration, status: u16, body: &str) -> Action {
    Action::Delayed(time, Box::new(Action::Answer(status, body.into())))
}

/// Sends requests to a route whose workers answer after `time`, so that the host observes it.
async fn serve_calls(bed: &TestGateway, workers: &[Worker], path: &str, time: Duration) {
    for worker in workers {
        worker.set_default_action(delayed_answer(time, 200, "done"));
    }
    for res in bed.exchange_many(path, "early", "", 24).await {
        assert_eq!(status(&res), 200);
    }
}

#[tokio::test]
async fn quick_errors_do_not_shorten_the_estimate() {
    pace_time();
    let (bed, workers) = start(1).await;
    let engine = bed.add_engine().await;
    serve_calls(&bed, &workers, "/unsafe/", 3 * SECOND).await;
    // Otherwise the answers are observed for too short a time to count at all.
    tokio::time::sleep(2 * SECOND).await;
    workers[0].set_default_action(Action::Answer(404, "no".into()));
    for n in 0..QUICK_ANSWERS {
        let req = request("POST", "/unsafe/", &format!("failed-{n}"), "", "x");
        assert_eq!(status(&exchange(bed.callers, &req).await), 404);
    }
    workers[0].set_default_action(delayed_answer(3 * SECOND, 200, "done"));
    let _held = bed.stop_and_wait(&engine, LATE_IN_SHUTDOWN).await;
    let req = request("POST", "/unsafe/", "late", "", "x");
    assert_eq!(status(&exchange(bed.callers, &req).await), 503);
}

#[tokio::test]
async fn resumed_streams_do_not_shorten_the_estimate_for_whole_ones() {
    pace_time();
    let (bed, workers) = start(1).await;
    let engine = bed.add_engine().await;
    let whole_stream = Action::Paced(1..=10, SECOND / 5);
    workers[0].set_default_action(whole_stream.clone());
    for res in bed.exchange_many("/resumable/", "whole", "", 24).await {
        assert_eq!(status(&res), 200);
    }
    workers[0].set_default_action(Action::Events(10..=10));
    for n in 0..QUICK_ANSWERS {
        let id = format!("rest-{n}");
        let headers = "resumes: whole-0\r\nlast-event-id: 9\r\n";
        let req = request("POST", "/resumable/", &id, headers, "x");
        assert_eq!(status(&exchange(bed.callers, &req).await), 200);
    }
    workers[0].set_default_action(whole_stream);
    let _held = bed.stop_and_wait(&engine, 6 * SECOND).await;
    let req = request("POST", "/resumable/", "late", "", "x");
    assert_eq!(status(&exchange(bed.callers, &req).await), 503);
}

/// Guards against the same for streams that are accepted by observed durations, as they come soon
/// after the signal, at a host that ends soon.
#[tokio::test]
async fn resumed_streams_do_not_shorten_the_estimate_at_a_host_that_ends_soon() {
    const GRACE: Duration = Duration::from_secs(4);
    pace_time();
    let (bed, workers) = start_with_grace(GRACE).await;
    let engine = bed.add_engine().await;
    let whole_stream = Action::Paced(1..=10, SECOND / 5);
    workers[0].set_default_action(whole_stream.clone());
    for res in bed.exchange_many("/resumable/", "whole", "", 24).await {
        assert_eq!(status(&res), 200);
    }
    workers[0].set_default_action(Action::Events(10..=10));
    for n in 0..QUICK_ANSWERS {
        let id = format!("rest-{n}");
        let headers = "resumes: whole-0\r\nlast-event-id: 9\r\n";
        let req = request("POST", "/resumable/", &id, headers, "x");
        assert_eq!(status(&exchange(bed.callers, &req).await), 200);
    }
    workers[0].set_default_action(whole_stream);
    // Otherwise the answers are observed for too short a time to count at all.
    tokio::time::sleep(3 * SECOND).await;
    let _held = bed.start_endless_answer(&engine, "held").await;
    bed.stop.stop();
    tokio::time::sleep(SECOND * 24 / 10).await;
    let req = request("POST", "/resumable/", "late", "", "x");
    assert_eq!(status(&exchange(bed.callers, &req).await), 503);
}

#[tokio::test]
async fn a_slow_client_does_not_lengthen_the_estimate() {
    pace_time();
    let (bed, workers) = start(1).await;
    let engine = bed.add_engine().await;
    for _ in 0..2 {
        bed.exchange_many("/unsafe/", "early", "", 24).await;
    }
    workers[0].script([Action::Answer(200, "y".repeat(24 << 20))]);
    let mut client = Client::connect(bed.callers).await;
    let req = request("POST", "/unsafe/", "slow-reader", "", "x");
    client.send(&req).await;
    tokio::time::sleep(3 * SECOND).await;
    assert!(client.read().await.len() > 24 << 20);
    let _held = bed.stop_and_wait(&engine, LATE_IN_SHUTDOWN).await;
    let req = request("POST", "/unsafe/", "late", "", "x");
    assert_eq!(status(&exchange(bed.callers, &req).await), 200);
}

/// A host that had started seconds before and had observed only quick answers once accepted a
/// request that it could not complete: 7 of 20 long load runs cut off such an answer. Here 24 quick
/// answers come 3 s after the signal, and 2.2 s later a request whose answer would last past the
/// process's exit. It was once forwarded, and its connection closed without an answer.
#[tokio::test]
async fn a_burst_of_quick_answers_does_not_shorten_the_estimate() {
    pace_time();
    let (bed, workers) = start(1).await;
    let engine = bed.add_engine().await;
    let _held = bed.stop_and_wait(&engine, 3 * SECOND).await;
    serve_calls(&bed, &workers, "/unsafe/", Duration::ZERO).await;
    tokio::time::sleep(SECOND * 22 / 10).await;
    workers[0].set_default_action(delayed_answer(SECOND * 25 / 10, 200, "done"));
    let req = request("POST", "/unsafe/", "late", "", "x");
    assert_eq!(status(&exchange(bed.callers, &req).await), 503);
}

#[tokio::test]
async fn an_attempt_is_not_abandoned_for_one_that_would_end_too_late() {
    pace_time();
    let (bed, workers) = start(2).await;
    let engine = bed.add_engine().await;
    serve_calls(&bed, &workers, "/safe/", SECOND / 2).await;
    for worker in &workers {
        worker.set_default_action(delayed_answer(SECOND, 200, "done"));
    }
    // The answer takes longer than the 0.8 s after which the route retries, and ends half a second
    // before the process exits.
    let _held = bed.stop_and_wait(&engine, SECOND * 59 / 10).await;
    let req = request("POST", "/safe/", "late", "", "x");
    let res = exchange(bed.callers, &req).await;
    assert_eq!(status(&res), 200, "{res}");
}

#[tokio::test]
async fn an_upstreams_error_response_is_forwarded_if_there_is_no_time_for_a_retry() {
    pace_time();
    let (bed, workers) = start(2).await;
    let engine = bed.add_engine().await;
    serve_calls(&bed, &workers, "/safe/", SECOND / 2).await;
    for worker in &workers {
        worker.set_default_action(delayed_answer(SECOND * 6 / 10, 500, "its own"));
    }
    let _held = bed.stop_and_wait(&engine, 6 * SECOND).await;
    let req = request("POST", "/safe/", "late", "", "x");
    let res = exchange(bed.callers, &req).await;
    assert_eq!(status(&res), 500, "{res}");
    assert!(res.ends_with("its own"), "{res}");
}
