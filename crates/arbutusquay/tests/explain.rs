//! `explain` shows the cause of a failed request from the logs of a real process.

use bench::procs::{Proc, run_command};
use standin::fixture::{
    CONFIG_ROW, WORKER_TABLE, config, prompt_headers, request, request_limit_header, routes,
    settings, tenant, with_tenants, with_usage_reports, worker_row, worker_row_with_start,
};
use standin::{Action, Crash, Store, Worker};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const BINARY: &str = env!("CARGO_BIN_EXE_arbutusquay");
/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    binary: PathBuf,
    log: PathBuf,
    callers: SocketAddr,
    store: Store,
    _proc: Proc,
}

async fn start(host: u8) -> Fixture {
    let net = (std::process::id() % 200 + 20) as u8;
    let ip = Ipv4Addr::new(127, 66, net, host);
    let at = |port| SocketAddr::new(IpAddr::V4(ip), port);
    let store = Store::start(at(7003)).unwrap();
    store.put(CONFIG_ROW.0, CONFIG_ROW.1, &config(1, &routes()));
    let dir = std::env::temp_dir().join(format!("explain-{}-{host}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("edge.toml");
    std::fs::write(&file, settings("edge", ip, store.addr)).unwrap();
    let binary = PathBuf::from(BINARY);
    Fixture {
        _proc: Proc::start_gateway(&binary, "edge", &file).unwrap(),
        binary,
        log: file.with_extension("log"),
        callers: at(7000),
        store,
    }
}

impl Fixture {
    async fn add_worker(&self, id: &str, service: &str, stage: Option<&str>) -> Worker {
        let SocketAddr::V4(callers) = self.callers else {
            panic!("an IPv4 address");
        };
        let at = SocketAddr::new(
            IpAddr::V4(*callers.ip()),
            7100 + self.store.calls() as u16 % 900,
        );
        let started = Worker::start(at, id).await.unwrap();
        self.store.put(
            WORKER_TABLE,
            id,
            &worker_row(service, started.addr, "ready", stage),
        );
        started
    }

    /// Repeats a request until the gateway knows its worker. Returns the id and the answer of the
    /// first request that isn't refused for lack of an upstream or a configuration.
    async fn request_until_routed(
        &self,
        method: &str,
        path: &str,
        extra_headers: &str,
    ) -> (String, String) {
        let until = Instant::now() + TIMEOUT;
        for n in 0.. {
            assert!(Instant::now() < until);
            let id = format!("id{}-{n}", path.replace('/', ""));
            let text = self
                .send(&request(method, path, &id, extra_headers, "x"))
                .await;
            if !text.is_empty() && !text.contains("no_upstream") && !text.contains("no_config") {
                return (id, text);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        unreachable!("the loop has no end")
    }

    async fn send(&self, text: &str) -> String {
        let Ok(mut tcp) = TcpStream::connect(self.callers).await else {
            return String::new();
        };
        tcp.write_all(text.as_bytes()).await.unwrap();
        let mut buf = Vec::new();
        // A plain answer leaves the connection open, so it counts as complete once no more bytes
        // arrive.
        let quiet = Duration::from_millis(300);
        while tokio::time::timeout(quiet, tcp.read_buf(&mut buf))
            .await
            .is_ok_and(|n| n.is_ok_and(|n| n > 0))
        {}
        String::from_utf8_lossy(&buf).into_owned()
    }

    /// Sends a request and waits up to [`TIMEOUT`] for the first bytes of its answer. Returns an
    /// empty string if the gateway doesn't accept connections yet.
    async fn send_and_wait(&self, text: &str) -> String {
        let Ok(mut tcp) = TcpStream::connect(self.callers).await else {
            return String::new();
        };
        tcp.write_all(text.as_bytes()).await.unwrap();
        let mut buf = Vec::new();
        let read = tokio::time::timeout(TIMEOUT, tcp.read_buf(&mut buf)).await;
        assert!(read.is_ok_and(|n| n.is_ok()), "no answer");
        String::from_utf8_lossy(&buf).into_owned()
    }

    /// Returns what `explain` prints once the request's last line is written.
    async fn explain(&self, id: &str) -> String {
        let until = Instant::now() + TIMEOUT;
        loop {
            let out = run(&self.binary, id, &self.log).await;
            if out.contains(" answered ") {
                return out;
            }
            assert!(Instant::now() < until, "{out}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Fixture {
    /// Returns what `explain` prints once it contains a word, or without it after a quarter of
    /// [`TIMEOUT`].
    async fn explain_until(&self, id: &str, word: &str) -> String {
        let until = Instant::now() + TIMEOUT / 4;
        loop {
            let explained = self.explain(id).await;
            if explained.contains(word) || Instant::now() > until {
                return explained;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn run(binary: &Path, id: &str, log: &Path) -> String {
    let out = run_command(binary, &["explain", id, &log.display().to_string()])
        .await
        .unwrap();
    out.stdout
}

fn assert_contains(text: &str, words: &[&str]) {
    for word in words {
        assert!(text.contains(word), "{word} in\n{text}");
    }
}

#[tokio::test]
async fn an_unknown_outcome_is_explained() {
    let fixture = start(1).await;
    let worker = fixture.add_worker("i-lost", "plain", None).await;
    worker.script([Action::Close]);
    let (id, text) = fixture.request_until_routed("POST", "/unsafe/", "").await;
    assert!(text.starts_with("HTTP/1.1 502"), "{text}");
    let explained = fixture.explain(&id).await;
    let words = [
        "attempt_failed",
        "upstream=i-lost",
        "outcome=unknown",
        "reason=upstream_lost",
        "status=502",
    ];
    assert_contains(&explained, &words);
    let why = explained
        .lines()
        .find(|l| l.contains("attempt_failed"))
        .unwrap();
    assert!(why.contains("why=") && why.contains("attempt=1"), "{why}");
}

/// A request that is refused because of an upstream's limit shows who named it, and what was left.
#[tokio::test]
async fn a_refusal_because_of_an_upstreams_limit_is_explained() {
    let fixture = start(20).await;
    let worker = fixture.add_worker("i-limit", "plain", None).await;
    let limit = request_limit_header("0.5");
    worker.set_default_action(Action::WithHeaders(limit, Box::new(Action::Echo)));
    fixture.request_until_routed("GET", "/safe/", "").await;
    let id = "beyond-the-limit";
    let text = fixture.send(&request("GET", "/safe/", id, "", "")).await;
    assert!(text.contains("upstream_limit"), "{text}");
    let explained = fixture.explain(id).await;
    let words = [
        "upstream=i-limit",
        "per_s=0.5",
        "source=answer",
        "upstream_at_limit",
        "reason=upstream_limit",
        "outcome=not_run",
    ];
    assert_contains(&explained, &words);
}

/// The log shows each crash of the request, although each attempt had another request id.
#[tokio::test]
async fn a_blocked_request_is_explained() {
    let fixture = start(7).await;
    let _workers = start_crashing_workers(&fixture, "plain").await;
    // Only the id changes. Path and body stay the same, so all requests have one fingerprint.
    let (id, _) =
        send_until_rejected(&fixture, |id| request("POST", "/unsafe/", id, "", "x")).await;
    let explained = fixture.explain_until(&id, "work_held_back").await;
    let broke = explained.lines().filter(|l| l.contains("connection_broke"));
    assert!(broke.count() >= 3, "{explained}");
    assert_contains(
        &explained,
        &["upstream_ended=true", "work_held_back", "ends=3"],
    );
}

/// The log shows the part by which a prompt is blocked and each crash that it explains, although
/// the prompts were no two alike.
#[tokio::test]
async fn a_prompt_with_a_blocked_part_is_explained() {
    let fixture = start(21).await;
    let _workers = start_crashing_workers(&fixture, "llm").await;
    let (id, text) = send_until_rejected(&fixture, |id| {
        let own = id.len() as u64 * 1000 + u64::from(id.as_bytes()[id.len() - 1]);
        let headers = prompt_headers(&[0xbad, own]);
        request("POST", "/prompt/", id, &headers, &format!("x {id}"))
    })
    .await;
    assert!(text.contains("part_crash_suspected"), "{text}");
    let explained = fixture.explain_until(&id, "part_held_back").await;
    let broke = explained.lines().filter(|l| l.contains("connection_broke"));
    assert!(broke.count() >= 3, "{explained}");
    assert_contains(
        &explained,
        &["part_held_back", "ends=3", "blocked_part=bad", "part_ends="],
    );
}

/// Starts six workers that crash on each request with an "x" in its body, and don't come back.
async fn start_crashing_workers(fixture: &Fixture, service: &str) -> Vec<Worker> {
    let SocketAddr::V4(callers) = fixture.callers else {
        panic!("an IPv4 address");
    };
    let mut workers = Vec::new();
    for n in 0..6 {
        let at = SocketAddr::new(IpAddr::V4(*callers.ip()), 7200 + n);
        let id = format!("i-crash-{n}");
        let worker = Worker::start_with_time(at, &id, 1000).await.unwrap();
        let row = worker_row_with_start(1000, service, at, "ready");
        fixture.store.put(WORKER_TABLE, &id, &row);
        worker.set_crash(Some(Crash {
            trigger: "x".into(),
            downtime: Duration::from_secs(60),
            on_start: Box::new(|_| {}),
        }));
        workers.push(worker);
    }
    workers
}

/// Sends requests until one is rejected because upstreams crash. Returns its id and the answer.
async fn send_until_rejected(
    fixture: &Fixture,
    request: impl Fn(&str) -> String,
) -> (String, String) {
    let until = Instant::now() + TIMEOUT;
    for n in 0.. {
        let id = format!("again-{n}");
        let text = fixture.send(&request(&id)).await;
        if text.contains("crash_suspected") || text.contains("crashes_upstreams") {
            return (id, text);
        }
        assert!(Instant::now() < until, "{text}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    unreachable!("the loop doesn't end")
}

#[tokio::test]
async fn a_request_whose_upstream_restarted_is_explained() {
    let fixture = start(6).await;
    let SocketAddr::V4(callers) = fixture.callers else {
        panic!("an IPv4 address");
    };
    let at = SocketAddr::new(IpAddr::V4(*callers.ip()), 7100);
    let mut worker = Worker::start_with_time(at, "i-again", 1000).await.unwrap();
    let register = |born| {
        let row = worker_row_with_start(born, "plain", at, "ready");
        fixture.store.put(WORKER_TABLE, "i-again", &row);
    };
    register(1000);
    let until = Instant::now() + TIMEOUT;
    // On a busy machine the new row may be read too late to explain the failure. Then the
    // upstream fails and restarts again.
    for born in (2000..).step_by(1000) {
        worker.set_default_action(Action::Close);
        // The id is derived from the path.
        let path = format!("/unsafe/{born}");
        let (id, text) = fixture.request_until_routed("POST", &path, "").await;
        assert!(text.starts_with("HTTP/1.1 502"), "{text}");
        worker.restart(born).await.unwrap();
        register(born);
        let explained = fixture.explain_until(&id, "upstream_restarted").await;
        if explained.contains("upstream_restarted") {
            let before = format!("before={}", born - 1000);
            let start = format!("start={born}");
            let words = ["attempt_failed", "upstream=i-again", &start, &before];
            assert_contains(&explained, &words);
            return;
        }
        assert!(Instant::now() < until, "{explained}");
    }
}

/// No connection closes. Only the registry shows that the upstream has restarted.
#[tokio::test]
async fn an_unresponsive_upstream_is_explained() {
    let fixture = start(8).await;
    let SocketAddr::V4(callers) = fixture.callers else {
        panic!("an IPv4 address");
    };
    let at = SocketAddr::new(IpAddr::V4(*callers.ip()), 7100);
    let worker = Worker::start_with_time(at, "i-dark", 1000).await.unwrap();
    worker.set_default_action(Action::Hang);
    let register = |born| {
        let row = worker_row_with_start(born, "plain", at, "ready");
        fixture.store.put(WORKER_TABLE, "i-dark", &row);
    };
    register(1000);
    let until = Instant::now() + TIMEOUT;
    // Requests are refused until the row is read. The first that is passed on waits for the route's
    // timeout.
    let mut count = 0;
    let id = loop {
        count += 1;
        let id = format!("dark-{count}");
        let text = fixture
            .send_and_wait(&request("POST", "/short/", &id, "", "x"))
            .await;
        if text.starts_with("HTTP/1.1 504") {
            break id;
        }
        assert!(Instant::now() < until, "{text}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    register(2000);
    let explained = fixture.explain_until(&id, "upstream_went_dark").await;
    let words = ["upstream_went_dark", "upstream=i-dark", "in_trial=false"];
    assert_contains(&explained, &words);
}

#[tokio::test]
async fn a_broken_off_answer_is_explained() {
    let fixture = start(2).await;
    let worker = fixture.add_worker("i-torn", "plain", None).await;
    worker.script([Action::EventsThenReset(1..=2)]);
    let (id, text) = fixture.request_until_routed("POST", "/stream/", "").await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    let explained = fixture.explain(&id).await;
    let words = [
        "attempt_failed",
        "upstream=i-torn",
        "outcome=broken_off",
        "reason=upstream_lost",
        "first_ms=",
    ];
    assert_contains(&explained, &words);
}

#[tokio::test]
async fn a_stream_that_its_client_takes_up_is_explained() {
    let fixture = start(11).await;
    let worker = fixture.add_worker("i-torn", "plain", None).await;
    worker.set_default_action(Action::ResumeWith {
        first: Box::new(Action::EventsThenReset(1..=2)),
        then: Box::new(Action::Serve(3)),
    });
    let (begun, _) = fixture
        .request_until_routed("POST", "/resumable/", "")
        .await;
    let headers = format!("resumes: {begun}\r\nlast-event-id: 2\r\n");
    let text = request("POST", "/resumable/", "next", &headers, "x");
    let res = fixture.send(&text).await;
    assert!(res.contains("piece 3"), "{res}");
    let explained = fixture.explain("next").await;
    let resumes = format!("resumes={begun}");
    let words = [
        &resumes,
        "resumes_after=2",
        "began_version=v1",
        "origin=own",
    ];
    assert_contains(&explained, &words);
    // The attempt that began the stream is printed too.
    assert_contains(&explained, &["outcome=broken_off"]);
}

#[tokio::test]
async fn a_refusal_under_overload_is_explained() {
    let fixture = start(3).await;
    let worker = fixture.add_worker("i-busy", "llm", Some("decode")).await;
    worker.set_default_action(Action::Hang);
    let tokens = "token-counts: 9000,5\r\nprompt-prefix: a:10,b:10,c:8980\r\n";
    let ids: Vec<String> = (0..200).map(|n| format!("id-{n}")).collect();
    // Each of these requests hangs, so the estimate grows until one is refused.
    let mut held = Vec::new();
    let until = Instant::now() + TIMEOUT;
    for id in ids.iter().cycle() {
        assert!(Instant::now() < until);
        let Ok(mut tcp) = TcpStream::connect(fixture.callers).await else {
            continue;
        };
        let text = request("POST", "/prompt/", id, tokens, "x");
        tcp.write_all(text.as_bytes()).await.unwrap();
        let mut buf = vec![0; 4096];
        let read = tokio::time::timeout(Duration::from_millis(60), tcp.read(&mut buf)).await;
        let answer = read.map_or(0, |n| n.unwrap_or(0));
        let answer = String::from_utf8_lossy(&buf[..answer]).into_owned();
        if answer.contains("overloaded") {
            assert!(answer.contains("retry-after: "), "{answer}");
            let explained = fixture.explain(id).await;
            let words = [
                "outcome=not_run",
                "reason=overloaded",
                "status=503",
                "estimate_ms=",
                "admit_ms=",
                "tokens_ahead=",
                "registry_ms=",
                "registry_era=",
            ];
            assert_contains(&explained, &words);
            return;
        }
        held.push(tcp);
    }
}

#[tokio::test]
async fn an_unknown_id_sets_the_exit_code() {
    let binary = PathBuf::from(BINARY);
    let file = std::env::temp_dir().join(format!("explain-none-{}", std::process::id()));
    std::fs::write(&file, "not a line\n{\"ts_ms\":1}\n").unwrap();
    let path = file.display().to_string();
    let out = run_command(&binary, &["explain", "nobody", &path])
        .await
        .unwrap();
    assert_eq!(out.code, Some(1));
    let out = run_command(&binary, &["explain", "nobody", "/nonexistent"])
        .await
        .unwrap();
    assert_eq!(out.code, Some(2));
}

#[tokio::test]
async fn requests_are_served_while_the_log_is_not_read() {
    let fixture = start(4).await;
    let ip = Ipv4Addr::new(127, 66, (std::process::id() % 200 + 20) as u8, 5);
    let at = |port| SocketAddr::new(IpAddr::V4(ip), port);
    let file = fixture.log.with_extension("unread");
    std::fs::write(&file, settings("edge-unread", ip, fixture.store.addr)).unwrap();
    let worker = fixture.add_worker("i-ok", "plain", None).await;
    worker.set_default_action(Action::Echo);
    let mut child = tokio::process::Command::new(BINARY)
        .arg("gateway")
        .env(standin::fixture::SETTINGS_VARIABLE, &file)
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    // Until it is ready, it refuses requests and closes their connections.
    let until = Instant::now() + TIMEOUT;
    while !is_ready(at(7001)).await {
        assert!(Instant::now() < until);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut tcp = TcpStream::connect(at(7000)).await.unwrap();
    // At about 400 bytes a line, this is far more than a pipe's 64 KiB.
    let mut served = 0;
    for n in 0..4000 {
        let text = request("GET", "/safe/", &format!("unread-{n:05}"), "", "");
        tcp.write_all(text.as_bytes()).await.unwrap();
        let mut buf = Vec::new();
        let whole = |buf: &[u8]| {
            let text = String::from_utf8_lossy(buf);
            let end = text.split("\r\n\r\n").nth(1);
            end.is_some_and(|b| b == format!("unread-{n:05}") || b.ends_with('}'))
        };
        while !whole(&buf) {
            let read = tokio::time::timeout(TIMEOUT, tcp.read_buf(&mut buf)).await;
            assert!(read.unwrap().unwrap() > 0);
        }
        served += u32::from(buf.starts_with(b"HTTP/1.1 200"));
    }
    assert_eq!(served, 4000);
    child.kill().await.unwrap();
}

/// Returns whether a gateway reports that it is ready.
async fn is_ready(at: SocketAddr) -> bool {
    let probe = async {
        let mut tcp = TcpStream::connect(at).await?;
        tcp.write_all(b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n")
            .await?;
        let mut buf = vec![0; 12];
        tcp.read_exact(&mut buf).await?;
        std::io::Result::Ok(buf)
    };
    probe.await.is_ok_and(|buf| buf.ends_with(b"200"))
}

const SECRET: &str = "k-secret-and-long";

fn config_with_keys(version: u64, keys: &[&str]) -> serde_json::Value {
    let keys: Vec<String> = keys.iter().map(|key| (*key).to_owned()).collect();
    with_tenants(config(version, &routes()), vec![tenant("one", &keys)])
}

#[tokio::test]
async fn a_removed_key_is_explained_and_never_logged() {
    let fixture = start(18).await;
    let _worker = fixture.add_worker("i-1", "plain", None).await;
    let extra_headers = format!("key: {SECRET}\r\n");
    fixture.store.put(
        CONFIG_ROW.0,
        CONFIG_ROW.1,
        &config_with_keys(2, &[SECRET, "other"]),
    );
    let (served, text) = fixture
        .request_until_routed("GET", "/safe/", &extra_headers)
        .await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    fixture
        .store
        .put(CONFIG_ROW.0, CONFIG_ROW.1, &config_with_keys(3, &["other"]));
    let until = Instant::now() + TIMEOUT;
    let id = loop {
        assert!(Instant::now() < until);
        let (id, text) = fixture
            .request_until_routed("GET", "/safe/", &extra_headers)
            .await;
        if text.starts_with("HTTP/1.1 401") {
            break id;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let explained = fixture.explain_until(&id, "removed_key").await;
    let words = ["status=401", "tenant=one", "key_removed_by=3", "config_ms="];
    assert_contains(&explained, &words);
    // The request that ran with the key shows which configuration allowed it and since when.
    let explained = fixture.explain(&served).await;
    assert_contains(&explained, &["config=2", "config_ms=", "tenant=one"]);
    let log = std::fs::read_to_string(&fixture.log).unwrap();
    assert!(!log.contains(SECRET), "the key is in the log");
}

#[tokio::test]
async fn an_unreported_usage_window_is_explained() {
    let net = (std::process::id() % 200 + 20) as u8;
    let ip = Ipv4Addr::new(127, 66, net, 19);
    let at = |port| SocketAddr::new(IpAddr::V4(ip), port);
    let store = Store::start(at(7003)).unwrap();
    let cloud = standin::Cloud::start(at(7005)).unwrap();
    cloud.set_mode(standin::CloudMode::Refuse(400));
    store.put(CONFIG_ROW.0, CONFIG_ROW.1, &config_with_keys(2, &["other"]));
    let dir = std::env::temp_dir().join(format!("explain-{}-usage", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("edge.toml");
    let text = settings("edge", ip, store.addr);
    let (window, gap) = (Duration::from_secs(1), Duration::from_millis(500));
    std::fs::write(&file, with_usage_reports(&text, cloud.addr, window, gap)).unwrap();
    let binary = PathBuf::from(BINARY);
    let _proc = Proc::start_gateway(&binary, "edge", &file).unwrap();
    let log = file.with_extension("log");
    let until = Instant::now() + TIMEOUT;
    let window = loop {
        assert!(Instant::now() < until);
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        let line = text.lines().find(|l| l.contains("usage_missed"));
        let line = line.and_then(|l| serde_json::from_str::<serde_json::Value>(l).ok());
        if let Some(line) = line {
            break line["window"].as_u64().unwrap();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    let explained = run(&binary, &format!("window:{window}"), &log).await;
    let words = ["lease_taken", "usage_decided", "usage_missed", "status 400"];
    assert_contains(&explained, &words);
}
