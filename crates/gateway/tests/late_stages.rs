//! Tests the later steps of prompts that a host receives late in its stop: a body that is read late, a
//! prefill, another attempt, the rest of a broken stream. None may lead to an answer that the exit of
//! the host cuts off.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{Client, TestGateway, WAIT_TIMEOUT, request, routes, start_with_routes, status};
use standin::{Action, Worker, fixture};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

const SECOND: Duration = Duration::from_secs(1);
/// Time after the stop signal at which late requests are sent.
const LATE_AFTER: Duration = Duration::from_millis(3100);
/// Time from the stop signal until the host is killed.
const GRACE: Duration = Duration::from_secs(8);
/// Interval between events of a slow stream of 60, which takes longer than the host has left.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
const SLOW_EVENTS: u64 = 60;
/// Deadline that is earlier than the exit of the host for requests sent at [`LATE_AFTER`].
const SHORT_DEADLINE: Duration = Duration::from_secs(3);
/// Time until a prefill ends or a stream breaks off.
const UPSTREAM_DELAY: Duration = Duration::from_millis(900);
/// Requests of each deadline.
const REQUESTS: u64 = 4;
/// Seed of the drawn moments, and their number.
const SEED: u64 = 79;
const DRAWN_REQUESTS: usize = 32;

/// A request and what its client received.
struct Exchange {
    id: String,
    text: String,
    deadline: Duration,
    /// Time from the first byte of the request to the end of the connection.
    took: Duration,
    ended_at: Instant,
}

/// Headers of a prompt with an accurate length hint and its own parts.
fn prompt_headers(n: u64) -> String {
    let (first, second) = (16 + 2 * n, 17 + 2 * n);
    format!(
        "token-counts: 141,60\r\nlength-hint: 60\r\nprompt-prefix: {first:x}:79,{second:x}:62\r\n"
    )
}

fn slow_stream(from: u64) -> Action {
    Action::Paced(from..=SLOW_EVENTS, SLOW_INTERVAL)
}

/// Starts a gateway whose routes' timeouts are later than its exit, a worker and engines of the given
/// stages, and waits until prompts are answered.
async fn start<const N: usize>(stages: [&str; N]) -> (TestGateway, Worker, [Worker; N]) {
    let mut routes = routes();
    let all = routes.as_array_mut().expect("routes are a list");
    for name in ["unsafe", "prompt", "prompt-again"] {
        fixture::set_timeout(all, name, WAIT_TIMEOUT);
    }
    let (bed, mut workers) = start_with_routes(1, &routes).await;
    let mut engines = Vec::new();
    for (n, stage) in stages.into_iter().enumerate() {
        let id = format!("i-llm-{n}");
        let engine = bed.add_worker(&id, "llm", Some(stage)).await;
        if stage == "prefill" {
            engine.set_default_action(Action::Prefilled("handle".into()));
        }
        engines.push(engine);
    }
    let probe = request("POST", "/prompt/", "probe", &prompt_headers(0), "x");
    bed.wait_answer(&probe, 200).await;
    let engines = engines.try_into().unwrap_or_else(|_| unreachable!());
    (bed, workers.remove(0), engines)
}

/// Stops the host; an unanswered plain request keeps it running until its end. Returns that request's
/// client and the time of the signal.
async fn stop(bed: &TestGateway, worker: &Worker) -> (Client, Instant) {
    worker.set_default_action(Action::Hang);
    let mut held = Client::connect(bed.callers).await;
    let req = request("POST", "/unsafe/", "held", "", "x");
    held.send(&fixture::with_deadline(&req, WAIT_TIMEOUT)).await;
    common::wait_for("the request", || async { was_sent_to(worker, "held") }).await;
    bed.stop.stop();
    (held, Instant::now())
}

fn was_sent_to(worker: &Worker, id: &str) -> bool {
    worker.requests().iter().any(|req| req.id() == id)
}

/// Sends a request whose body follows after `body_after`, or never if that is `None`.
fn send(
    bed: &TestGateway,
    path: &str,
    (id, n): (String, u64),
    deadline: Duration,
    body_after: Option<Duration>,
) -> JoinHandle<Exchange> {
    let req = request("POST", path, &id, &prompt_headers(n), "x");
    let req = fixture::with_deadline(&req, deadline);
    let callers = bed.callers;
    tokio::spawn(async move {
        let mut client = Client::connect(callers).await;
        let since = Instant::now();
        match body_after {
            Some(Duration::ZERO) => client.send(&req).await,
            after => {
                client.send(req.strip_suffix("x").unwrap()).await;
                if let Some(after) = after {
                    sleep(after).await;
                    client.send("x").await;
                }
            }
        }
        Exchange {
            text: client.read_to_end().await.0,
            took: since.elapsed(),
            ended_at: Instant::now(),
            id,
            deadline,
        }
    })
}

/// Sends prompts with a deadline after the exit, which must be rejected before an attempt, and as many
/// with one before it. Returns the latter.
async fn send_late(
    bed: &TestGateway,
    path: &str,
    signal_at: Instant,
    engines: &[Worker],
) -> Vec<Exchange> {
    sleep_until(signal_at + LATE_AFTER).await;
    let (mut long, mut short) = (Vec::new(), Vec::new());
    let now = Some(Duration::ZERO);
    for n in 0..REQUESTS {
        let id = (format!("long-{n}"), 2 * n);
        long.push(send(bed, path, id, WAIT_TIMEOUT, now));
        let id = (format!("short-{n}"), 2 * n + 1);
        short.push(send(bed, path, id, SHORT_DEADLINE, now));
        sleep(SECOND / 10).await;
    }
    for exchange in receive(long, signal_at).await {
        let Exchange { id, text, .. } = &exchange;
        assert!(!exchange.check(engines), "{id} was accepted: {text}");
        assert_eq!(status(text), 503, "{id}: {text}");
        assert!(text.contains("\"error\":\"stopping\""), "{id}: {text}");
    }
    receive(short, signal_at).await
}

/// Waits for answers. They must end before the host is killed: its connections are tasks of the test,
/// which its exit doesn't end.
async fn receive(tasks: Vec<JoinHandle<Exchange>>, signal_at: Instant) -> Vec<Exchange> {
    let mut all = Vec::new();
    for task in tasks {
        let ended = tokio::time::timeout(WAIT_TIMEOUT, task).await;
        let exchange = ended.expect("in time").expect("the client's task ends");
        let ended_after = exchange.ended_at - signal_at;
        assert!(
            ended_after < GRACE,
            "{} took until {ended_after:?}",
            exchange.id
        );
        all.push(exchange);
    }
    all
}

impl Exchange {
    /// Returns whether the answer began. Fails if it ended neither completely nor by the request's own
    /// deadline, or if the request was run but reported as not run.
    fn check(&self, engines: &[Worker]) -> bool {
        let Self { id, text, .. } = self;
        if status(text) == 200 {
            let is_whole = text.ends_with("0\r\n\r\n");
            assert!(
                is_whole || self.took >= self.deadline,
                "{id} was cut off after {:?}: {text}",
                self.took
            );
            return true;
        }
        assert!(text.contains("connection: close"), "{id}: {text}");
        assert!(text.ends_with('}'), "{id} got a part of an answer: {text}");
        if text.contains("\"outcome\":\"not_run\"") {
            let was_run = engines.iter().any(|e| was_sent_to(e, id));
            assert!(!was_run, "{id} was run but reported as not run");
        }
        false
    }
}

/// Guards against generating from a prefill that ended late until the exit cuts off the answer, and
/// against a prefill for a prompt that is rejected after it.
#[tokio::test]
async fn late_prompts_with_a_slow_prefill_are_not_cut_off() {
    let (bed, worker, engines) = start(["prefill", "decode"]).await;
    let prefill = Action::Prefilled("handle".into());
    engines[0].set_default_action(Action::Delayed(UPSTREAM_DELAY, Box::new(prefill)));
    engines[1].set_default_action(slow_stream(1));
    let (_held, signal_at) = stop(&bed, &worker).await;
    let short = send_late(&bed, "/prompt/", signal_at, &engines).await;
    for exchange in short {
        let Exchange { id, text, .. } = &exchange;
        assert!(exchange.check(&engines[1..]), "{id}: {text}");
        assert!(was_sent_to(&engines[0], id), "{id} had no prefill");
        assert!(text.contains("piece 2"), "{id}: {text}");
    }
}

/// Guards against another attempt whose answer the exit cuts off.
#[tokio::test]
async fn late_prompts_that_an_engine_rejected_are_not_cut_off() {
    let (bed, worker, engines) = start(["decode"; 3]).await;
    let (rejecting, running) = engines.split_at(2);
    for engine in rejecting {
        engine.set_default_action(Action::Reject(503));
    }
    running[0].set_default_action(slow_stream(1));
    let (_held, signal_at) = stop(&bed, &worker).await;
    let short = send_late(&bed, "/prompt-again/", signal_at, &engines).await;
    let is_retried = |e: &&Exchange| {
        e.check(running) && rejecting.iter().any(|engine| was_sent_to(engine, &e.id))
    };
    let retried = short.iter().filter(is_retried).count();
    assert!(retried > 0, "no prompt had a further attempt");
}

/// Guards against the rest of a late stream that the exit cuts off.
#[tokio::test]
async fn late_prompts_whose_stream_breaks_off_are_not_cut_off() {
    let (bed, worker, engines) = start(["decode"; 2]).await;
    for engine in &engines {
        engine.set_default_action(Action::ResumeWith {
            first: Box::new(Action::EventsThenResetAfter(1..=2, UPSTREAM_DELAY)),
            then: Box::new(slow_stream(3)),
        });
    }
    let (_held, signal_at) = stop(&bed, &worker).await;
    let short = send_late(&bed, "/prompt-again/", signal_at, &engines).await;
    let is_resumed = |e: &&Exchange| e.check(&engines) && e.text.contains("piece 4");
    let resumed = short.iter().filter(is_resumed).count();
    assert!(resumed > 0, "no stream was resumed");
}

/// Guards against judging a prompt by when its head came although its body was read late, and against a
/// connection that closes without an answer while a body is read.
#[tokio::test]
async fn prompts_whose_body_is_read_late_are_not_cut_off() {
    let (bed, worker, engines) = start(["decode"]).await;
    engines[0].set_default_action(slow_stream(1));
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut between = |from: f64, to: f64| Duration::from_secs_f64(from + (to - from) * rng.f64());
    let mut drawn = Vec::new();
    for n in 0..DRAWN_REQUESTS {
        let (head_at, body_at) = (between(0.05, 2.95), between(3.05, 7.4));
        let deadline = between(body_at.as_secs_f64(), 9.5) - head_at;
        drawn.push(match n % 8 {
            0 => (head_at, None, WAIT_TIMEOUT),
            _ => (head_at, Some(body_at - head_at), deadline),
        });
    }
    drawn.sort();
    let (_held, signal_at) = stop(&bed, &worker).await;
    let mut tasks = Vec::new();
    for (n, (head_at, body_after, deadline)) in (0..).zip(drawn) {
        sleep_until(signal_at + head_at).await;
        let id = (format!("drawn-{n}"), n);
        tasks.push(send(&bed, "/prompt/", id, deadline, body_after));
    }
    let all = receive(tasks, signal_at).await;
    let begun = all.iter().filter(|e| e.check(&engines)).count();
    let rejected = all.iter().filter(|e| status(&e.text) == 503).count();
    assert!(begun > 0, "no prompt was accepted");
    assert!(rejected > 0, "no prompt was rejected");
}

/// Guards against a late plain request without an answer until the host exits.
#[tokio::test]
async fn late_plain_requests_are_answered_before_the_exit() {
    let (bed, worker, _engines) = start(["decode"]).await;
    // Enough answers over enough time for a bound.
    bed.exchange_many("/unsafe/", "quick", "", 24).await;
    sleep(SECOND * 3).await;
    let (_held, signal_at) = stop(&bed, &worker).await;
    sleep_until(signal_at + LATE_AFTER).await;
    let now = Some(Duration::ZERO);
    let ids = (0..REQUESTS).map(|n| (format!("late-{n}"), n));
    let tasks = ids.map(|id| send(&bed, "/unsafe/", id, WAIT_TIMEOUT, now));
    for Exchange { id, text, .. } in receive(tasks.collect(), signal_at).await {
        assert_eq!(status(&text), 504, "{id}: {text}");
        assert!(text.contains("\"outcome\":\"unknown\""), "{id}: {text}");
    }
}
