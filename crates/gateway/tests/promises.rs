//! Tests that a client is promised that its request hasn't run (408, 421, 429, 503) only if no
//! upstream can have run it, for each kind of route that may not repeat requests and each result of
//! an attempt.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{TestGateway, config, exchange, request, routes, start_without_config, status};
use standin::{Action, Worker, fixture};
use std::time::Duration;

/// Statuses that promise that a request hasn't run and won't.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Deadline of requests to upstreams that don't answer.
const DEADLINE: Duration = Duration::from_millis(600);
/// Length of a body that isn't buffered.
const LONG_BODY: usize = 300 << 10;

/// Kinds of routes that may not repeat requests.
#[derive(Debug, Clone, Copy)]
enum Kind {
    /// A plain request with one attempt.
    Once,
    /// A plain request that may be sent again if it hasn't run.
    Twice,
    /// A stream that can't be resumed.
    Stream,
    /// A prompt that one engine prefills and another one answers.
    SplitPrompt,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Once, Self::Twice, Self::Stream, Self::SplitPrompt];

    fn request(self) -> String {
        let (path, headers) = match self {
            Self::Once => ("/unsafe/", ""),
            Self::Twice => ("/twice/", ""),
            Self::Stream => ("/stream/", ""),
            Self::SplitPrompt => (
                "/prompt/x",
                "model: m\r\ntoken-counts: 100,9\r\nprompt-prefix: 1:50,ffff:50\r\n",
            ),
        };
        let req = request("POST", path, "id-1", headers, "x");
        fixture::with_deadline(&req, DEADLINE)
    }
}

/// A host with two upstreams that run requests, each with its action.
struct Site {
    bed: TestGateway,
    upstreams: [Worker; 2],
    _prefill_engine: Option<Worker>,
}

impl Site {
    async fn start(kind: Kind, actions: [Action; 2]) -> Self {
        let bed = start_without_config();
        let (service, stage) = match kind {
            Kind::SplitPrompt => ("llm", Some("decode")),
            _ => ("plain", None),
        };
        let upstreams = [
            bed.add_worker("i-0", service, stage).await,
            bed.add_worker("i-1", service, stage).await,
        ];
        for (upstream, action) in upstreams.iter().zip(actions) {
            upstream.set_default_action(action);
        }
        let prefill_engine = match kind {
            Kind::SplitPrompt => {
                let engine = bed.add_worker("i-read", "llm", Some("prefill")).await;
                engine.set_default_action(Action::Prefilled("h".into()));
                Some(engine)
            }
            _ => None,
        };
        bed.store.put("op", "config", &config(1, &routes()));
        bed.wait_ready(200).await;
        bed.wait_for_retry_budget(&bed.store).await;
        Self {
            bed,
            upstreams,
            _prefill_engine: prefill_engine,
        }
    }

    /// Number of upstreams that received the request, and of those that ran it.
    fn received_and_run(&self) -> (usize, usize) {
        let requests = self.upstreams.iter().flat_map(Worker::requests);
        let of_request: Vec<bool> = requests
            .filter(|r| r.id() == "id-1")
            .map(|r| r.ran)
            .collect();
        let run = of_request.iter().filter(|ran| **ran).count();
        (of_request.len(), run)
    }
}

/// Results of an attempt after which the upstream may have run the request.
fn runs() -> Vec<Action> {
    let pause = |status| {
        let answer = Action::Answer(status, String::new());
        Action::WithHeaders(fixture::pause_header("1"), Box::new(answer))
    };
    let without_id = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    vec![
        Action::Answer(408, "sorry".into()),
        Action::Answer(429, "sorry".into()),
        Action::Answer(503, "sorry".into()),
        Action::Answer(503, String::new()),
        Action::Answer(503, "x".repeat(LONG_BODY)),
        pause(429),
        pause(503),
        Action::Unframed(429, "sorry".into()),
        Action::Unframed(503, "sorry".into()),
        Action::Raw(without_id.into()),
        Action::Answer(500, "sorry".into()),
        Action::Answer(504, "sorry".into()),
        Action::Unsigned("ok".into()),
        Action::Truncated("ok".into()),
        Action::ForeignId("ok".into()),
        Action::Garbage,
        Action::Close,
        Action::Hang,
    ]
}

async fn check_run(kind: Kind, action: Action) {
    let case = format!("{kind:?} {action:.80?}");
    let site = Site::start(kind, [action.clone(), action]).await;
    let res = exchange(site.bed.callers, &kind.request()).await;
    let status = status(&res);
    assert!(!PROMISES.contains(&status), "{case}: {res:.200}");
    assert_eq!(site.received_and_run(), (1, 1), "{case}: {status}");
}

async fn check_rejection(kind: Kind, rejection: u16) {
    let action = Action::Reject(rejection);
    let site = Site::start(kind, [action.clone(), action]).await;
    let res = exchange(site.bed.callers, &kind.request()).await;
    assert_eq!(status(&res), 503, "{kind:?} {rejection}: {res}");
    assert!(res.contains("\"outcome\":\"not_run\""), "{res}");
    let (received, run) = site.received_and_run();
    assert!(received > 0 && run == 0, "{kind:?}: {received}, {run} run");
}

/// An upstream rejects the request and another one runs it and fails.
async fn check_second_attempt(failure: Action) {
    let site = Site::start(Kind::Twice, [Action::Reject(503), failure]).await;
    let res = exchange(site.bed.callers, &Kind::Twice.request()).await;
    assert!(!PROMISES.contains(&status(&res)), "{res}");
    assert_eq!(site.received_and_run().1, 1, "{res}");
}

/// The host stops while an upstream that doesn't answer may run the request.
async fn check_stop() {
    let (bed, workers) = common::start_with_grace(Duration::from_secs(2)).await;
    workers[0].set_default_action(Action::Hang);
    let req = request("POST", "/unsafe/", "id-1", "", "x");
    let callers = bed.callers;
    let call = tokio::spawn(async move { exchange(callers, &req).await });
    workers[0].wait_for_requests(1).await;
    bed.stop.stop();
    let res = call.await.unwrap();
    assert!(!PROMISES.contains(&status(&res)), "{res}");
}

/// A 503 of an upstream that had run the request, without the statement that it hadn't, was handed to
/// the client, which repeated it.
#[tokio::test]
async fn clients_are_promised_nothing_about_requests_that_may_have_run() {
    for action in runs() {
        let cases = Kind::ALL.map(|kind| check_run(kind, action.clone()));
        common::join_all(cases.into_iter()).await;
        check_second_attempt(action).await;
    }
    check_stop().await;
}

/// Without the promise, a client couldn't repeat a request that was rejected.
#[tokio::test]
async fn clients_are_promised_that_rejected_requests_have_not_run() {
    for rejection in [421, 429, 503] {
        let cases = Kind::ALL.map(|kind| check_rejection(kind, rejection));
        common::join_all(cases.into_iter()).await;
    }
}
