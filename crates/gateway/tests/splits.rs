//! Tests prompts that are prefilled on one engine and answered by another while engines fail.

#[expect(dead_code, reason = "each test file uses some of them")]
mod common;

use common::{TestGateway, config, exchange, request, routes, start_without_config, status};
use standin::{Action, Worker};

/// Number of prompts, sent one after the other.
const PROMPTS: u32 = 12;

/// Starts a gateway with two prefill engines, which prefill all prompts, and two generators.
async fn start_split() -> (TestGateway, [Worker; 2], [Worker; 2]) {
    let bed = start_without_config();
    let prefill_engines = [
        bed.add_worker("i-read-0", "llm", Some("prefill")).await,
        bed.add_worker("i-read-1", "llm", Some("prefill")).await,
    ];
    let generators = [
        bed.add_worker("i-0", "llm", Some("decode")).await,
        bed.add_worker("i-1", "llm", Some("decode")).await,
    ];
    for prefill_engine in &prefill_engines {
        prefill_engine.set_default_action(Action::Prefilled("h".into()));
    }
    generators[1].set_default_action(Action::Events(1..=2));
    bed.store.put("op", "config", &config(1, &routes()));
    bed.wait_ready(200).await;
    bed.wait_for_retry_budget(&bed.store).await;
    (bed, prefill_engines, generators)
}

/// Sends prompts on a route that allows retries; all must be answered.
async fn send_prompts(bed: &TestGateway) {
    for part in 1..=PROMPTS {
        let headers =
            format!("model: m\r\ntoken-counts: 100,9\r\nprompt-prefix: {part:x}:50,ffff:50\r\n");
        let req = request(
            "POST",
            "/prompt-again/x",
            &format!("id-{part}"),
            &headers,
            "",
        );
        let res = exchange(bed.callers, &req).await;
        assert_eq!(status(&res), 200, "id-{part}: {res}");
    }
}

fn request_count(workers: &[Worker], id: &str) -> usize {
    let seen = workers.iter().flat_map(Worker::requests);
    seen.filter(|s| s.id() == id).count()
}

/// Asserts that no generator had to prefill a prompt.
fn assert_none_prefilled(generators: &[Worker]) {
    for seen in generators.iter().flat_map(Worker::requests) {
        assert!(
            seen.header("kv-source").is_some(),
            "{} is prefilled again",
            seen.id()
        );
    }
}

/// One of the generators rejects all requests, as just after a crash.
#[tokio::test]
async fn a_rejected_prefilled_prompt_goes_to_the_next_generator() {
    let (bed, prefill_engines, generators) = start_split().await;
    generators[0].set_default_action(Action::Reject(503));
    send_prompts(&bed).await;
    assert!(!generators[0].requests().is_empty(), "it was tried");
    for part in 1..=PROMPTS {
        let id = format!("id-{part}");
        assert_eq!(
            request_count(&prefill_engines, &id),
            1,
            "{id} is prefilled once"
        );
    }
    assert_none_prefilled(&generators);
}

/// One of the generators closes the connection before its first event.
#[tokio::test]
async fn a_retry_avoids_the_generator_that_failed() {
    let (bed, prefill_engines, generators) = start_split().await;
    generators[0].set_default_action(Action::Close);
    send_prompts(&bed).await;
    assert!(!generators[0].requests().is_empty(), "it was tried");
    for part in 1..=PROMPTS {
        let id = format!("id-{part}");
        assert!(
            request_count(&generators[..1], &id) <= 1,
            "{id} is sent there once"
        );
        let prefills = request_count(&prefill_engines, &id);
        assert!(
            (1..=2).contains(&prefills),
            "{id} is prefilled {prefills} times"
        );
    }
    assert_none_prefilled(&generators);
}

/// Each generator breaks off in the middle of its first answer to a prompt. The other one generates
/// the rest, after another prefill on an engine that has the prompt in its cache.
#[tokio::test]
async fn a_broken_split_stream_is_resumed_on_another_generator() {
    let (bed, prefill_engines, generators) = start_split().await;
    for generator in &generators {
        generator.set_default_action(Action::BreakOnce {
            after: 1,
            last: 3,
            repeated: 0,
        });
    }
    send_prompts(&bed).await;
    assert_none_prefilled(&generators);
    for part in 1..=PROMPTS {
        let id = format!("id-{part}");
        for generator in &generators {
            assert_eq!(
                request_count(std::slice::from_ref(generator), &id),
                1,
                "{id}"
            );
        }
        assert_eq!(
            request_count(&prefill_engines, &id),
            2,
            "{id} is prefilled for each run"
        );
    }
}

/// Both generators reject all requests, on a route that allows one attempt.
#[tokio::test]
async fn no_more_generators_are_tried_than_the_route_allows_attempts() {
    let (bed, _prefill_engines, generators) = start_split().await;
    for generator in &generators {
        generator.set_default_action(Action::Reject(503));
    }
    let headers = "model: m\r\ntoken-counts: 100,9\r\nprompt-prefix: 1:50,ffff:50\r\n";
    let res = exchange(
        bed.callers,
        &request("POST", "/prompt/x", "once", headers, ""),
    )
    .await;
    assert_eq!(status(&res), 503, "{res}");
    assert_eq!(request_count(&generators, "once"), 1);
}
