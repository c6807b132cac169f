//! Tests usage reports of requests whose answers come after the end of their window. The workers
//! hold the answers until the test releases them.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;
#[expect(dead_code, reason = "each test file uses a part of it")]
mod usage_fleet;

use common::{exchange, request, status, wait_for};
use standin::{Action, Gate};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};
use tokio::task::JoinHandle;
use usage_fleet::{TestFleet, WINDOW, start};

/// Shorter than the timeout of a plain request.
const LONGEST_ANSWER: Duration = Duration::from_millis(3500);
/// Time after a window's end by which its report is due.
const DUE: Duration = Duration::from_secs(10);

/// A request that is at a worker.
struct SentRequest {
    gate: Gate,
    sent_at: Instant,
    /// Number of the last window in which it may have been sent.
    window: u64,
    answer: JoinHandle<String>,
}

impl SentRequest {
    /// Sends a request of the tenant `one` to a gateway, once reports flow. Its worker performs
    /// `action` when the gate is opened.
    async fn send(fleet: &TestFleet, callers: SocketAddr, action: Action) -> Self {
        let windows = fleet.windows();
        wait_for("reports", || async { fleet.windows() >= windows + 2 }).await;
        let gate = Gate::closed();
        for worker in &fleet._workers {
            worker.set_default_action(Action::Held(gate.clone(), Box::new(action.clone())));
        }
        let sent_at = Instant::now();
        let req = request("GET", "/unsafe/", "late", "key: key-one\r\n", "");
        let answer = tokio::spawn(async move { exchange(callers, &req).await });
        wait_for("the request at a worker", || async {
            fleet._workers.iter().any(|w| !w.requests().is_empty())
        })
        .await;
        let since = SystemTime::UNIX_EPOCH.elapsed().unwrap();
        Self {
            gate,
            sent_at,
            window: (since.as_millis() / WINDOW.as_millis()) as u64,
            answer,
        }
    }

    /// Releases the answer once the report of the request's window was sent, or after `wait`.
    async fn release_after_report(self, fleet: &TestFleet, wait: Duration) -> String {
        wait_for("the report or the end of the wait", || async {
            has_reported(fleet, self.window) || self.sent_at.elapsed() >= wait
        })
        .await;
        self.gate.open();
        self.answer.await.unwrap()
    }
}

fn has_reported(fleet: &TestFleet, window: u64) -> bool {
    fleet.cloud.calls().iter().any(|c| c.window() >= window)
}

/// Guards against deciding the report of a window while a request that was sent in it is still at
/// its upstream.
#[tokio::test]
async fn a_request_that_is_answered_after_its_window_is_reported() {
    let fleet = start(1).await;
    let sent = SentRequest::send(&fleet, fleet.beds[0].callers, Action::Echo).await;
    let answer = sent.release_after_report(&fleet, LONGEST_ANSWER).await;
    assert_eq!(status(&answer), 200);
    fleet.wait_reported(&[("one", 1)]).await;
}

/// The same where the process with the request doesn't collect, but is polled.
#[tokio::test]
async fn a_request_that_is_answered_late_at_a_polled_process_is_reported() {
    let mut fleet = start(3).await;
    fleet.beds.sort_by_key(|bed| bed.host.ip);
    let sent = SentRequest::send(&fleet, fleet.beds[2].callers, Action::Echo).await;
    let answer = sent.release_after_report(&fleet, LONGEST_ANSWER).await;
    assert_eq!(status(&answer), 200);
    fleet.wait_reported(&[("one", 1)]).await;
}

/// Guards against counting a request that its upstream rejects after the end of its window.
#[tokio::test]
async fn a_request_that_is_rejected_late_is_not_reported() {
    let fleet = start(1).await;
    let sent = SentRequest::send(&fleet, fleet.beds[0].callers, Action::Reject(503)).await;
    let answer = sent.release_after_report(&fleet, LONGEST_ANSWER).await;
    assert_eq!(status(&answer), 503);
    fleet.wait_reported(&[]).await;
}

/// Guards against reports that are late as a request of their window gets no answer, and against
/// counting it again at its end.
#[tokio::test]
async fn a_request_without_an_answer_delays_no_report_beyond_its_due_time() {
    let fleet = start(2).await;
    let sent = SentRequest::send(&fleet, fleet.beds[1].callers, Action::Echo).await;
    assert_eq!(status(&sent.answer.await.unwrap()), 504);
    wait_for("the report", || async { has_reported(&fleet, sent.window) }).await;
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap();
    assert!(now < WINDOW * (sent.window as u32 + 1) + DUE);
    sent.gate.open();
    fleet.wait_reported(&[("one", 1)]).await;
}

/// Guards against losing some of many requests whose answers take between 0.1 and 3.3 s.
#[tokio::test]
async fn each_of_many_requests_with_slow_answers_is_reported() {
    const REQUESTS: u64 = 60;
    let fleet = start(3).await;
    wait_for("reports", || async { fleet.windows() >= 2 }).await;
    for worker in &fleet._workers {
        worker.set_default_action(Action::ServeFor(1));
    }
    let mut answers = Vec::new();
    for n in 0..REQUESTS {
        let callers = fleet.beds[n as usize % 3].callers;
        let path = format!("/unsafe/{}", 100 + n * 37 % REQUESTS * 54);
        let req = request("GET", &path, &format!("slow-{n}"), "key: key-one\r\n", "");
        answers.push(tokio::spawn(async move { exchange(callers, &req).await }));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for answer in answers {
        assert_eq!(status(&answer.await.unwrap()), 200);
    }
    fleet.wait_reported(&[("one", REQUESTS)]).await;
}
