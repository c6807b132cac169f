//! Which requests a stopping process accepts, and how those end that it can't finish.

use bench::client::{Call, CallResult};
use bench::deploy::admin_addr;
use bench::procs::Signal;
use bench::testbed::{
    ENGINE_SERVICE, POLL_INTERVAL, Testbed, is_complete, lookup, notice, reply, testbed_with,
    wait_until,
};
use fakes::fault::Faults;
use fakes::serve::FakeServer;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::Outcome;

/// Path of the binary under test.
const BINARY: &str = env!("CARGO_BIN_EXE_arbutusquay");
/// Time that an engine takes per token.
const STEP_TIME: Duration = Duration::from_millis(20);
/// Tokens of a stream that lasts longer than any stop in these tests.
const LONG_STREAM_TOKENS: u32 = 1200;
/// Tokens of a stream that outlasts a stop of 8 s only if its engine takes an idle timeout of 1 s per
/// token.
const MAYBE_SLOW_TOKENS: u32 = 7;
/// Duration of a plain call that lasts longer than any stop in these tests.
const LONG_CALL_TIME: Duration = Duration::from_secs(12);
/// Tokens of a stream from which an agent measures the time per token.
const WARM_UP_TOKENS: u32 = 20;
/// Concurrent streams that outlast a stop of 8 s if run one after the other, but not individually.
const QUEUED_STREAMS: u32 = 6;
/// Tokens of each of these streams.
const QUEUED_STREAM_TOKENS: u32 = 100;
/// Time to the first byte from which agents measure a slow prefill, in milliseconds.
const SLOW_FIRST_BYTE_MS: u64 = 400;
/// Length of a prompt whose prefill is expected to outlast the stop after such a measurement.
const LONG_PROMPT_BYTES: usize = 16 << 10;
/// Tokens of a stream that breaks and is resumed.
const RESUMED_TOKENS: u32 = 100;

/// Starts a site whose processes stop within `linger` and a drain bound of 2 s.
async fn slow_bed(workers: usize, linger: &str) -> Testbed {
    testbed_with(BINARY, workers, |o| {
        o.rates.step_time = STEP_TIME;
        o.plain_service_time = LONG_CALL_TIME;
        let limits = o.limits.replace("linger: 100ms", linger);
        o.limits = limits.replace('}', ", drain_bound: 2s}");
    })
    .await
}

async fn wait_until_not_ready(admin: SocketAddr) {
    let pool = net::Pool::new(admin, Duration::from_secs(5));
    loop {
        let req = hyper::Request::builder().uri("/health").header("host", "t");
        let req = req.body(net::empty()).unwrap();
        match pool.call(req, 1024, Duration::from_secs(5)).await {
            Ok((status, _)) if status.is_success() => tokio::time::sleep(POLL_INTERVAL).await,
            _ => return,
        }
    }
}

fn refused(sent: &Call) -> (Outcome, &str) {
    match &sent.result {
        CallResult::Refused { outcome, reason } => (*outcome, reason),
        other => panic!("{other:?}"),
    }
}

/// Returns the log lines of a process about one event.
fn log_lines(bed: &Testbed, process: &str, event: &str) -> Vec<serde_json::Value> {
    let log = bed.site.dir().join(format!("{process}.log"));
    let text = std::fs::read_to_string(log).unwrap();
    let parse = |l| serde_json::from_str::<serde_json::Value>(l).ok();
    let all = text.lines().filter_map(parse);
    all.filter(|l| l["event"] == event).collect()
}

/// Starts a stream and waits until an engine runs it.
async fn long_stream(bed: &Testbed, entry: usize) -> tokio::task::JoinHandle<Call> {
    let caller = bed.client(entry);
    let task = tokio::spawn(async move { caller.send(reply("long", LONG_STREAM_TOKENS)).await });
    let runs = || bed.engines().iter().any(|e| e.open_requests() > 0);
    wait_until("the stream", runs).await;
    task
}

/// Guards against refusing completions whose time limit ends before the process exits, and against
/// accepting others because their engine was quick before.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_refuses_requests_that_would_outlast_it_and_serves_the_rest() {
    let mut bed = slow_bed(1, "linger: 6s, idle_timeout: 1s").await;
    assert!(is_complete(
        &bed.client(0).send(reply("learn", WARM_UP_TOKENS)).await
    ));
    bed.site.entries[0].process.signal(Signal::Term);
    wait_until_not_ready(admin_addr(bed.site.entries[0].addr)).await;
    let long = bed.client(0).send(reply("long", LONG_STREAM_TOKENS)).await;
    let may_be_slow = reply("may be slow", MAYBE_SLOW_TOKENS);
    let may_be_slow = bed.client(0).send(may_be_slow).await;
    let short = bed.client(0).send(reply("short", 3)).await;
    assert_eq!(refused(&long), (Outcome::NotRun, "leaving"));
    assert_eq!(refused(&may_be_slow), (Outcome::NotRun, "leaving"));
    assert!(is_complete(&short), "{:?}", short.result);
    assert!(bed.site.entries[0].process.wait().await.unwrap().success());
    let requests = log_lines(&bed, "entry-1", "request");
    let line = requests.iter().find(|l| l["reason"] == "leaving").unwrap();
    assert!(line["stopping_ms"].is_u64(), "{line}");
    assert!(requests[0]["stopping_ms"].is_null(), "{}", requests[0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_outlasts_its_entry_ends_with_process_ends() {
    let mut bed = slow_bed(1, "linger: 100ms").await;
    let stream = long_stream(&bed, 0).await;
    bed.site.entries[0].process.signal(Signal::Term);
    let sent = stream.await.unwrap();
    assert_eq!(refused(&sent), (Outcome::Unknown, "process-ends"));
    assert!(bed.site.entries[0].process.wait().await.unwrap().success());
    let requests = log_lines(&bed, "entry-1", "request");
    let line = requests
        .iter()
        .find(|l| l["reason"] == "process-ends")
        .unwrap();
    assert!(line["stopping_ms"].is_null(), "{line}");
    assert_eq!(log_lines(&bed, "entry-1", "stopped")[0]["unfinished"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_outlasts_its_agent_is_unknown_with_process_ends() {
    let bed = slow_bed(1, "linger: 100ms").await;
    let caller = bed.client(0);
    let call = tokio::spawn(async move { caller.send(notice("k", "x")).await });
    wait_until("the call", || bed.run_count("k") == 1).await;
    let plain = bed.site.workers.iter();
    let plain = plain.filter(|w| w.upstream.name == "portaal-1");
    plain.for_each(|w| w.agent.signal(Signal::Term));
    let sent = call.await.unwrap();
    assert_eq!(refused(&sent), (Outcome::Unknown, "process-ends"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_outlasts_its_agent_resumes_elsewhere() {
    let mut bed = slow_bed(2, "linger: 100ms").await;
    let stream = long_stream(&bed, 0).await;
    let at = usize::from(bed.engine(0).open_requests() == 0);
    assert!(bed.site.workers[at].agent.stop().await.unwrap().success());
    let sent = stream.await.unwrap();
    assert!(is_complete(&sent), "{:?}", sent.result);
}

/// Covers a rolling restart of all agents, during which a stream on a small fleet returns to the
/// first one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_outlasts_each_agent_in_turn_returns_to_a_restarted_one() {
    let mut bed = slow_bed(2, "linger: 100ms").await;
    let stream = long_stream(&bed, 0).await;
    let first = usize::from(bed.engine(0).open_requests() == 0);
    for at in [first, 1 - first, first] {
        assert!(bed.site.workers[at].agent.stop().await.unwrap().success());
        let moved = || bed.engine(1 - at).open_requests() > 0;
        wait_until("the stream at the other engine", moved).await;
        bed.site.restart_agent(at).unwrap();
        bed.site.wait_ready().await.unwrap();
    }
    let sent = stream.await.unwrap();
    assert!(is_complete(&sent), "{:?}", sent.result);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_signal_but_a_kill_aborts_a_stream() {
    let mut bed = slow_bed(1, "linger: 100ms").await;
    let caller = bed.client(0);
    let stream = tokio::spawn(async move { caller.send(reply("short", WARM_UP_TOKENS)).await });
    let runs = || bed.engine(0).open_requests() > 0;
    wait_until("the stream", runs).await;
    let entry = &mut bed.site.entries[0].process;
    for signal in [Signal::Hangup, Signal::Term, Signal::Term, Signal::Hangup] {
        entry.signal(signal);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let sent = stream.await.unwrap();
    assert!(is_complete(&sent), "{:?}", sent.result);
    assert!(entry.wait().await.unwrap().success());
}

/// A request that is sent on a kept-alive connection just as the server exits would get no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_asks_callers_to_close_their_connections() {
    let bed = slow_bed(1, "linger: 5s").await;
    let addr = bed.site.entries[0].addr;
    let pool = net::Pool::new(addr, Duration::from_secs(5));
    let answer = || async {
        let req = bench::client::http_request(&reply("short", 3));
        let answer = pool.send_on_new(req).await.unwrap();
        answer.response.headers().get("connection").cloned()
    };
    assert_eq!(answer().await, None);
    bed.site.entries[0].process.signal(Signal::Term);
    wait_until_not_ready(admin_addr(addr)).await;
    assert_eq!(answer().await.unwrap(), "close");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_never_arrives_is_answered_before_the_process_exits() {
    let mut bed = testbed_with(BINARY, 1, |o| {
        let limits = o.limits.replace("read_timeout: 2s", "read_timeout: 30s");
        o.limits = limits.replace('}', ", drain_bound: 2s}");
    })
    .await;
    let mut caller = TcpStream::connect(bed.site.entries[0].addr).await.unwrap();
    let head = format!(
        "POST /{ENGINE_SERVICE}/v1/completions HTTP/1.1\r\nhost: e\r\ncontent-length: 9\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller
        .write_all(b"expect: 100-continue\r\n\r\n")
        .await
        .unwrap();
    // The server sends 100 Continue when it starts to read the body.
    let mut begun = [0; 12];
    caller.read_exact(&mut begun).await.unwrap();
    assert_eq!(&begun, b"HTTP/1.1 100");
    bed.site.entries[0].process.signal(Signal::Term);
    let mut answer = String::new();
    // It doesn't matter how the connection ends after the answer.
    let _ = caller.read_to_string(&mut answer).await;
    assert!(answer.contains("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("process-ends"), "{answer}");
    assert!(bed.site.entries[0].process.wait().await.unwrap().success());
    assert_eq!(log_lines(&bed, "entry-1", "stopped")[0]["unfinished"], 1);
}

/// Guards against abandoning a broken stream because the other engine was slow in earlier requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_resumes_broken_streams_at_engines_that_were_slow() {
    let bed = slow_bed(2, "linger: 10s").await;
    for engine in bed.engines() {
        engine.injector().set(Faults {
            delay_ms: SLOW_FIRST_BYTE_MS,
            ..Faults::default()
        });
    }
    while bed.engines().iter().any(|e| e.history().runs.is_empty()) {
        let learned = bed.client(0).send(reply("learn", 1)).await;
        assert!(is_complete(&learned), "{:?}", learned.result);
    }
    for engine in bed.engines() {
        engine.injector().set(Faults::default());
    }
    let caller = bed.client(0);
    let prompt = "p".repeat(LONG_PROMPT_BYTES);
    let stream = tokio::spawn(async move { caller.send(reply(&prompt, RESUMED_TOKENS)).await });
    let runs = || bed.engines().iter().any(|e| e.open_requests() > 0);
    wait_until("the stream", runs).await;
    bed.site.entries[0].process.signal(Signal::Term);
    wait_until_not_ready(admin_addr(bed.site.entries[0].addr)).await;
    let engines = bed.engines();
    let running = engines.iter().find(|e| e.open_requests() > 0).unwrap();
    running.injector().set(Faults {
        break_streams: 1,
        ..Faults::default()
    });
    let sent = stream.await.unwrap();
    assert!(is_complete(&sent), "{:?}", sent.result);
    assert_eq!(running.injector().get().break_streams, 0);
}

/// Guards against cutting off plain calls whose service is slower than in earlier calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_refuses_plain_calls_that_may_outlast_it_by_their_time_limit() {
    let bed = testbed_with(BINARY, 1, |o| {
        let limits = o.limits.replace("linger: 100ms", "linger: 6s");
        o.limits = limits.replace('}', ", drain_bound: 2s, idle_timeout: 9s}");
    })
    .await;
    let learned = bed.client(0).send(lookup("/before")).await;
    assert!(is_complete(&learned), "{:?}", learned.result);
    bed.site.entries[0].process.signal(Signal::Term);
    wait_until_not_ready(admin_addr(bed.site.entries[0].addr)).await;
    for service in bed.plain_services() {
        service.injector().set(Faults {
            delay_ms: LONG_CALL_TIME.as_millis() as u64,
            ..Faults::default()
        });
    }
    let sent = bed.client(0).send(lookup("/after")).await;
    assert_eq!(refused(&sent), (Outcome::NotRun, "leaving"));
}

/// Guards against refusing plain calls whose time limit ends before the process exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_serves_plain_calls_that_end_in_time_by_their_time_limit() {
    let bed = testbed_with(BINARY, 1, |o| {
        let limits = o.limits.replace("linger: 100ms", "linger: 6s");
        o.limits = limits.replace('}', ", drain_bound: 10s, idle_timeout: 1s}");
    })
    .await;
    let learned = bed.client(0).send(lookup("/before")).await;
    assert!(is_complete(&learned), "{:?}", learned.result);
    bed.site.entries[0].process.signal(Signal::Term);
    wait_until_not_ready(admin_addr(bed.site.entries[0].addr)).await;
    let sent = bed.client(0).send(lookup("/after")).await;
    assert!(is_complete(&sent), "{:?}", sent.result);
}

/// Guards against cutting off streams whose engine is slower than its agent measured.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_accepts_no_streams_that_a_slower_engine_cuts() {
    let bed = testbed_with(BINARY, 1, |o| {
        o.rates.step_time = STEP_TIME;
        // The agent has more slots, so concurrent streams wait inside the engine.
        o.rates.max_running = 1;
        let limits = o.limits.replace("linger: 100ms", "linger: 6s");
        o.limits = limits.replace('}', ", drain_bound: 2s}");
    })
    .await;
    let learned = bed.client(0).send(reply("learn", WARM_UP_TOKENS)).await;
    assert!(is_complete(&learned), "{:?}", learned.result);
    bed.site.entries[0].process.signal(Signal::Term);
    wait_until_not_ready(admin_addr(bed.site.entries[0].addr)).await;
    let streams = (0..QUEUED_STREAMS).map(|i| {
        let caller = bed.client(0);
        tokio::spawn(async move {
            let prompt = format!("stream {i}");
            caller.send(reply(&prompt, QUEUED_STREAM_TOKENS)).await
        })
    });
    for stream in streams.collect::<Vec<_>>() {
        let sent = stream.await.unwrap();
        assert!(
            is_complete(&sent) || refused(&sent) == (Outcome::NotRun, "leaving"),
            "{:?}",
            sent.result
        );
    }
}
