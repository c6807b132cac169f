//! Prompts that one engine reads and another answers, while engines fail.

#[expect(dead_code, reason = "each test file uses some of them")]
mod common;

use common::{TestGateway, config, exchange, request, routes, start_without_config, status};
use standin::{Action, Worker};

/// Prompts that are sent one after the other.
const PROMPTS: u32 = 12;

/// A gateway before two readers, where all prompts are read, and two generators.
async fn start_split() -> (TestGateway, [Worker; 2], [Worker; 2]) {
    let bed = start_without_config();
    let readers = [
        bed.add_worker("i-read-0", "llm", Some("prefill")).await,
        bed.add_worker("i-read-1", "llm", Some("prefill")).await,
    ];
    let generators = [
        bed.add_worker("i-0", "llm", Some("decode")).await,
        bed.add_worker("i-1", "llm", Some("decode")).await,
    ];
    for reader in &readers {
        reader.set_default_action(Action::Prefilled("h".into()));
    }
    generators[1].set_default_action(Action::Events(1..=2));
    bed.store.put("op", "config", &config(1, &routes()));
    bed.wait_ready(200).await;
    bed.wait_for_retry_budget(&bed.store).await;
    (bed, readers, generators)
}

/// Sends prompts that may go on elsewhere; all must be answered.
async fn send_prompts(bed: &TestGateway) {
    for part in 1..=PROMPTS {
        let more =
            format!("model: m\r\ntoken-counts: 100,9\r\nprompt-prefix: {part:x}:50,ffff:50\r\n");
        let req = request("POST", "/prompt-again/x", &format!("id-{part}"), &more, "");
        let text = exchange(bed.callers, &req).await;
        assert_eq!(status(&text), 200, "id-{part}: {text}");
    }
}

fn count(workers: &[Worker], id: &str) -> usize {
    let seen = workers.iter().flat_map(Worker::requests);
    seen.filter(|s| s.id() == id).count()
}

/// No generator was given a prompt to read.
fn assert_all_taken(generators: &[Worker]) {
    for seen in generators.iter().flat_map(Worker::requests) {
        assert!(
            seen.header("kv-source").is_some(),
            "{} is read again",
            seen.id()
        );
    }
}

/// One of the generators rejects all, as just after a crash.
#[tokio::test]
async fn a_prompt_that_was_read_is_taken_by_the_next_generator() {
    let (bed, readers, generators) = start_split().await;
    generators[0].set_default_action(Action::Reject(503));
    send_prompts(&bed).await;
    assert!(!generators[0].requests().is_empty(), "it was asked");
    for part in 1..=PROMPTS {
        let id = format!("id-{part}");
        assert_eq!(count(&readers, &id), 1, "{id} is read once");
    }
    assert_all_taken(&generators);
}

/// One of the generators breaks off before its first event.
#[tokio::test]
async fn a_retry_passes_over_the_generator_that_failed() {
    let (bed, readers, generators) = start_split().await;
    generators[0].set_default_action(Action::Close);
    send_prompts(&bed).await;
    assert!(!generators[0].requests().is_empty(), "it was asked");
    for part in 1..=PROMPTS {
        let id = format!("id-{part}");
        assert!(count(&generators[..1], &id) <= 1, "{id} is sent there once");
        let read = count(&readers, &id);
        assert!((1..=2).contains(&read), "{id} is read {read} times");
    }
    assert_all_taken(&generators);
}

/// A generator breaks off in the middle of its answer: the rest comes from the other,
/// and the prompt is read where it lies already.
#[tokio::test]
async fn the_rest_of_a_broken_stream_is_split_and_goes_elsewhere() {
    let (bed, readers, generators) = start_split().await;
    for generator in &generators {
        generator.set_default_action(Action::BreakOnce {
            after: 1,
            last: 3,
            repeated: 0,
        });
    }
    send_prompts(&bed).await;
    assert_all_taken(&generators);
    for part in 1..=PROMPTS {
        let id = format!("id-{part}");
        for generator in &generators {
            assert_eq!(count(std::slice::from_ref(generator), &id), 1, "{id}");
        }
        assert_eq!(count(&readers, &id), 2, "{id} is read for each run");
    }
}

/// Both generators reject all, on a route of one attempt.
#[tokio::test]
async fn no_more_generators_are_asked_than_the_route_has_attempts() {
    let (bed, _readers, generators) = start_split().await;
    for generator in &generators {
        generator.set_default_action(Action::Reject(503));
    }
    let more = "model: m\r\ntoken-counts: 100,9\r\nprompt-prefix: 1:50,ffff:50\r\n";
    let text = exchange(bed.callers, &request("POST", "/prompt/x", "once", more, "")).await;
    assert_eq!(status(&text), 503, "{text}");
    assert_eq!(count(&generators, "once"), 1);
}
