//! What a stopping process accepts ends before the exit by a limit, or is refused as not run.

use bench::client::{Call, CallResult};
use bench::mix::{ClientRequest, RequestKind};
use bench::procs::Signal;
use bench::testbed::{
    ENGINE_SERVICE, Testbed, is_complete, lookup, notice, reply, testbed_with, wait_until,
};
use fakes::fault::Faults;
use fakes::serve::FakeServer;
use std::ops::Range;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use wire::Outcome;

/// Path of the binary under test.
const BINARY: &str = env!("CARGO_BIN_EXE_arbutusquay");
/// Seed of the drawn requests and moments.
const SEED: u64 = 7616;
/// Kinds of requests: completions as event streams, completions in JSON (text and chat each),
/// idempotent calls, and other calls.
const KINDS: Range<usize> = 0..6;
const COMPLETIONS: Range<usize> = 0..4;
const LOOKUP: usize = 4;
const NOTICE: usize = 5;
/// Numbers of requests that aren't drawn.
const LEARNED: usize = 1000;
const HELD: usize = 2000;
/// Tokens of a stream that lasts longer than any stop in these tests.
const LONG_STREAM_TOKENS: u32 = 1200;
/// Requests that one tenant runs concurrently at an engine and at a plain service.
const STREAMS_PER_TENANT: usize = 8;
const CALLS_PER_TENANT: usize = 16;
/// Calls beyond these, which wait for a slot.
const WAITING_CALLS: usize = 4;

/// Starts a site whose agents have measured that requests of all kinds are quick, and then slows its
/// upstreams down.
async fn slowed_bed(limits: &str, delay_ms: u64) -> Testbed {
    let bed = testbed_with(BINARY, 1, |o| {
        let common = o.limits.replace("linger: 100ms, ", "");
        o.limits = common.replace('}', &format!(", {limits}}}"));
        o.rates.step_time = Duration::from_millis(20);
    })
    .await;
    for kind in KINDS {
        let learned = bed.client(1).send(request(kind, LEARNED + kind)).await;
        assert!(is_complete(&learned), "{:?}", learned.result);
    }
    let slow = || Faults {
        delay_ms,
        ..Faults::default()
    };
    bed.engine(0).injector().set(slow());
    bed.plain_services()[0].injector().set(slow());
    bed
}

fn slow_table(bed: &Testbed, delay_ms: u64) {
    bed.site.table.injector().set(Faults {
        delay_ms,
        ..Faults::default()
    });
}

/// A request of a kind, unlike those of other numbers.
fn request(kind: usize, number: usize) -> ClientRequest {
    let completion = |chat, stream| ClientRequest {
        kind: RequestKind::Completion {
            prompt: format!("late {number}"),
            tokens: 1,
            chat,
            stream,
        },
        ..reply("", 1)
    };
    match kind {
        0..4 => completion(kind % 2 == 1, kind < 2),
        LOOKUP => lookup(&format!("/late/{number}")),
        _ => notice(&format!("late-{number}"), "x"),
    }
}

fn send_after(bed: &Testbed, entry: usize, ms: u64, asked: ClientRequest) -> JoinHandle<Call> {
    let caller = bed.client(entry);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(ms)).await;
        caller.send(asked).await
    })
}

/// Sends requests of drawn kinds to the first entry at drawn moments after a signal. Each must be
/// complete or refused as not run. Returns them with their kinds.
async fn send_drawn(
    bed: &Testbed,
    count: usize,
    kinds: Range<usize>,
    moments_ms: Range<u64>,
) -> Vec<(usize, Call)> {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let tasks = (0..count).map(|number| {
        let (kind, ms) = (rng.usize(kinds.clone()), rng.u64(moments_ms.clone()));
        (kind, ms, send_after(bed, 0, ms, request(kind, number)))
    });
    let (mut sent, mut cut) = (Vec::new(), Vec::new());
    for (kind, ms, task) in tasks.collect::<Vec<_>>() {
        let call = task.await.unwrap();
        if !is_complete(&call) && !is_not_run(&call) {
            cut.push(format!("kind {kind} at {ms} ms: {:?}", call.result));
        }
        sent.push((kind, call));
    }
    assert_eq!(cut, [""; 0], "seed {SEED}");
    sent
}

fn is_not_run(call: &Call) -> bool {
    let not_run = Outcome::NotRun;
    matches!(&call.result, CallResult::Refused { outcome, .. } if *outcome == not_run)
}

/// Guards against cutting off requests that an entry accepts in its stop, at any moment, because
/// upstreams were quicker before.
#[tokio::test(flavor = "multi_thread")]
async fn what_a_stopping_entry_accepts_at_any_moment_is_complete() {
    let limits = "linger: 4s, drain_bound: 100ms, idle_timeout: 1s";
    let mut bed = slowed_bed(limits, 700).await;
    bed.site.entries[0].process.signal(Signal::Term);
    let sent = send_drawn(&bed, 90, KINDS, 50..3800).await;
    for kind in KINDS {
        let of_kind = || sent.iter().filter(|s| s.0 == kind).map(|s| &s.1);
        assert!(of_kind().any(is_complete), "kind {kind} was never served");
        assert!(of_kind().any(is_not_run), "kind {kind} was never refused");
    }
    assert!(bed.site.entries[0].process.wait().await.unwrap().success());
}

/// Guards against accepting a request by the time that was left when its head arrived.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_arrives_late_in_a_stop_is_refused() {
    let limits = "linger: 100ms, drain_bound: 4s, idle_timeout: 1s";
    let bed = slowed_bed(limits, 900).await;
    let mut caller = TcpStream::connect(bed.site.entries[0].addr).await.unwrap();
    let body = r#"{"prompt":"p","max_tokens":1}"#;
    let length = body.len();
    let head = format!(
        "POST /{ENGINE_SERVICE}/v1/completions HTTP/1.1\r\nhost: e\r\n\
         content-length: {length}\r\nexpect: 100-continue\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    // The server sends 100 Continue when it starts to read the body.
    let mut begun = [0; 12];
    caller.read_exact(&mut begun).await.unwrap();
    bed.site.entries[0].process.signal(Signal::Term);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    caller.write_all(body.as_bytes()).await.unwrap();
    let mut answer = String::new();
    // It doesn't matter how the connection ends after the answer.
    let _ = caller.read_to_string(&mut answer).await;
    assert!(answer.contains("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
}

/// Guards against accepting completions that then wait for a slot until their entry exits.
#[tokio::test(flavor = "multi_thread")]
async fn completions_that_wait_until_their_entry_exits_are_not_run() {
    let limits = "linger: 1s, drain_bound: 2s, idle_timeout: 500ms";
    let bed = slowed_bed(limits, 0).await;
    for n in 0..STREAMS_PER_TENANT {
        let running = reply(&n.to_string(), LONG_STREAM_TOKENS);
        send_after(&bed, 1, 0, running);
    }
    let all_run = || bed.engine(0).open_requests() == STREAMS_PER_TENANT;
    wait_until("the streams", all_run).await;
    bed.site.entries[0].process.signal(Signal::Term);
    send_drawn(&bed, 8, COMPLETIONS, 50..900).await;
}

/// Guards against accepting plain calls that then wait for a slot until their entry exits.
#[tokio::test(flavor = "multi_thread")]
async fn plain_calls_that_wait_until_their_entry_exits_are_not_run() {
    let limits = "linger: 1s, drain_bound: 3s, idle_timeout: 3s";
    let bed = slowed_bed(limits, 2500).await;
    for n in 0..2 * CALLS_PER_TENANT {
        send_after(&bed, 1, 0, lookup(&format!("/ahead/{n}")));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    bed.site.entries[0].process.signal(Signal::Term);
    send_drawn(&bed, 4, LOOKUP..NOTICE, 50..900).await;
}

/// Guards against accepting calls without reserving the time for their claims.
#[tokio::test(flavor = "multi_thread")]
async fn calls_with_slow_claims_at_a_stopping_entry_are_complete_or_not_run() {
    let limits = "linger: 2s, drain_bound: 2s, idle_timeout: 2s";
    let bed = slowed_bed(limits, 1600).await;
    slow_table(&bed, 600);
    bed.site.entries[0].process.signal(Signal::Term);
    send_drawn(&bed, 12, NOTICE..KINDS.end, 50..1900).await;
}

/// Signals all agents and waits until they have noticed.
async fn stop_agents(bed: &Testbed) {
    let agents = bed.site.workers.iter();
    agents.for_each(|w| w.agent.signal(Signal::Term));
    let logs = bed.site.workers.iter().map(|w| w.upstream.name.clone());
    let logs: Vec<_> = logs
        .map(|name| bed.site.dir().join(format!("agent-{name}.log")))
        .collect();
    let stopping = |log| {
        std::fs::read_to_string(log)
            .unwrap()
            .contains("\"stopping\"")
    };
    wait_until("the agents' stop", || logs.iter().all(stopping)).await;
}

/// Guards against starting requests at an upstream whose agent drains, also those that wait for a
/// slot as it begins to.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_sent_to_draining_agents_at_any_moment_is_not_run() {
    let bed = slowed_bed("drain_bound: 2s, idle_timeout: 10s", 4000).await;
    let stream = send_after(&bed, 1, 0, request(0, HELD));
    let calls = (0..CALLS_PER_TENANT + WAITING_CALLS).map(|n| request(LOOKUP, HELD + n));
    let calls: Vec<_> = calls.map(|c| send_after(&bed, 1, 0, c)).collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    stop_agents(&bed).await;
    let sent = send_drawn(&bed, 60, KINDS, 0..2500).await;
    assert!(sent.iter().all(|s| is_not_run(&s.1)));
    assert!(!is_not_run(&stream.await.unwrap()), "the stream ran");
    let mut not_run = 0;
    for call in calls {
        not_run += usize::from(is_not_run(&call.await.unwrap()));
    }
    assert_eq!(not_run, WAITING_CALLS);
}

/// Guards against starting a call after its agent began to stop although it may outlast the stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_is_claimed_after_its_agent_began_to_stop_is_complete_or_not_run() {
    let bed = slowed_bed("drain_bound: 2s, idle_timeout: 10s", 4000).await;
    slow_table(&bed, 700);
    let call = send_after(&bed, 0, 0, request(NOTICE, HELD));
    tokio::time::sleep(Duration::from_millis(300)).await;
    stop_agents(&bed).await;
    let call = call.await.unwrap();
    assert!(is_complete(&call) || is_not_run(&call), "{:?}", call.result);
}
