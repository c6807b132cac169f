//! Starts, stops and failures of processes: draining aborts no stream, and streams survive kills.

use bench::check::MAX_LEAVING_DELAY_MS;
use bench::client::CallResult;
use bench::mix::ClientRequest;
use bench::procs::{Proc, Signal};
use bench::testbed::{
    POLL_INTERVAL, Testbed, WAIT_TIMEOUT, is_complete, lookup, notice, reply, testbed,
    testbed_with, wait_until,
};
use fakes::Faults;
use fakes::clock::now_ms;
use fakes::serve::FakeServer;
use std::path::PathBuf;
use std::time::Duration;
use store::HostState;
use wire::Outcome;

/// Path of the binary under test.
const BINARY: &str = env!("CARGO_BIN_EXE_arbutusquay");

/// Tokens of a stream that is still running when its process is stopped or killed.
const LONG_STREAM_TOKENS: u32 = 600;

/// Starts long streams through an entry and waits until all of them run.
async fn start_streams(
    bed: &Testbed,
    entry: usize,
    count: usize,
) -> Vec<tokio::task::JoinHandle<bool>> {
    let tasks: Vec<_> = (0..count)
        .map(|n| {
            let caller = bed.client(entry);
            // Each has its own tenant, so that no tenant limit delays it.
            let ask = ClientRequest {
                tenant: format!("t{n}"),
                ..reply(&format!("long {n}"), LONG_STREAM_TOKENS)
            };
            tokio::spawn(async move { is_complete(&caller.send(ask).await) })
        })
        .collect();
    let open = || {
        bed.engines()
            .iter()
            .map(|e| e.open_requests())
            .sum::<usize>()
            == count
    };
    wait_until("streams", open).await;
    tasks
}

async fn assert_all_whole(tasks: Vec<tokio::task::JoinHandle<bool>>) {
    for t in tasks {
        assert!(t.await.unwrap(), "a stream was aborted");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_agent_takes_no_new_requests_finishes_its_streams_and_exits() {
    let mut bed = testbed(BINARY, 2).await;
    let running = start_streams(&bed, 0, 8).await;
    bed.site.workers[0].agent.signal(Signal::Term);
    let before = bed.engine(0).history().runs.len();
    let admin = bench::deploy::admin_addr(bed.site.workers[0].upstream.agent);
    wait_until_unhealthy(admin).await;
    let late = bed.engine(0).history().runs.len();
    for n in 0..10 {
        assert!(is_complete(
            &bed.client(1).send(reply(&format!("new {n}"), 3)).await
        ));
    }
    assert_eq!(
        bed.engine(0).history().runs.len(),
        late,
        "new requests after it left"
    );
    assert!(late >= before);
    assert_all_whole(running).await;
    assert!(bed.site.workers[0].agent.wait().await.unwrap().success());
}

async fn wait_until_unhealthy(admin: std::net::SocketAddr) {
    let pool = net::Pool::new(admin, Duration::from_secs(5));
    let wait = async {
        loop {
            let req = hyper::Request::builder().uri("/health").header("host", "t");
            let req = req.body(net::empty()).unwrap();
            match pool.call(req, 1024, Duration::from_secs(5)).await {
                Ok((status, _)) if status.is_success() => tokio::time::sleep(POLL_INTERVAL).await,
                _ => return,
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("the health check fails");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_whose_host_leaves_drains_by_itself() {
    let mut bed = testbed(BINARY, 2).await;
    let running = start_streams(&bed, 0, 6).await;
    let host = bed.site.workers[1].upstream.host.clone();
    bed.site.hosts.set(&host, HostState::Leaving);
    assert_all_whole(running).await;
    assert!(bed.site.workers[1].agent.wait().await.unwrap().success());
    let before = bed.engine(1).history().runs.len();
    assert!(is_complete(&bed.client(0).send(reply("after", 3)).await));
    assert_eq!(bed.engine(1).history().runs.len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_entry_finishes_its_streams_and_exits() {
    let mut bed = testbed(BINARY, 2).await;
    let running = start_streams(&bed, 0, 6).await;
    bed.site.entries[0].process.signal(Signal::Term);
    assert_all_whole(running).await;
    assert!(bed.site.entries[0].process.wait().await.unwrap().success());
    assert!(is_complete(
        &bed.client(1).send(reply("by the other", 3)).await
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_killed_agent_resume_elsewhere() {
    let mut bed = testbed(BINARY, 3).await;
    let running = start_streams(&bed, 0, 9).await;
    bed.site.workers[0].agent.kill().await.unwrap();
    assert_all_whole(running).await;
    bed.site.restart_agent(0).unwrap();
    bed.site.wait_ready().await.unwrap();
    assert!(is_complete(&bed.client(0).send(reply("after", 3)).await));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_paused_agent_resume_elsewhere() {
    let bed = bed_with_short_idle().await;
    let running = start_streams(&bed, 0, 6).await;
    bed.site.workers[0].agent.signal(Signal::Pause);
    assert_all_whole(running).await;
    assert!(is_complete(
        &bed.client(0).send(reply("meanwhile", 3)).await
    ));
    bed.site.workers[0].agent.signal(Signal::Resume);
    assert!(is_complete(&bed.client(1).send(reply("after", 3)).await));
}

async fn bed_with_short_idle() -> Testbed {
    testbed_with(BINARY, 3, |o| {
        o.limits = o.limits.replace('}', ", idle_timeout: 1s}");
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_agent_for_a_slot_exits_at_once_with_1() {
    let bed = testbed(BINARY, 1).await;
    let settings = bed.site.dir().join("agent-dossier-1.yaml");
    let binary = PathBuf::from(BINARY);
    // This holds even while the first is paused, as the kernel keeps its address bound.
    bed.site.workers[0].agent.signal(Signal::Pause);
    let mut second = Proc::start(&binary, "agent", "second", &settings).unwrap();
    assert_eq!(second.wait().await.unwrap().code(), Some(1));
    bed.site.workers[0].agent.signal(Signal::Resume);
    assert!(is_complete(
        &bed.client(0).send(reply("the first serves", 3)).await
    ));
    let orders = bed.engine(0).history().orders;
    assert!(orders.iter().all(|o| !o.conflicting && !o.stale_effective));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_restarted_while_the_table_is_down_serves_once_it_is_back() {
    let mut bed = testbed(BINARY, 1).await;
    bed.site.table.injector().set(Faults {
        down: true,
        ..Faults::default()
    });
    bed.site.entries[0].process.kill().await.unwrap();
    bed.site.restart_entry(0).unwrap();
    assert!(
        is_complete(&bed.client(1).send(lookup("/status/1")).await),
        "the other entry keeps serving"
    );
    bed.site.table.injector().set(Faults::default());
    bed.site.wait_ready().await.unwrap();
    assert!(is_complete(&bed.client(0).send(lookup("/status/2")).await));
    assert!(is_complete(&bed.client(0).send(notice("n", "x")).await));
}

/// Guards against an agent that waits forever for a paused peer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_agent_exits_while_a_peer_is_paused() {
    let mut bed = testbed_with(BINARY, 2, |o| {
        o.limits = o.limits.replace('}', ", drain_bound: 2s}");
    })
    .await;
    for entry in 0..2 {
        assert!(is_complete(&bed.client(entry).send(reply("warm", 3)).await));
    }
    bed.site.entries[1].process.signal(Signal::Pause);
    for worker in 0..2 {
        assert!(
            bed.site.workers[worker]
                .agent
                .stop()
                .await
                .unwrap()
                .success()
        );
    }
    bed.site.entries[1].process.signal(Signal::Resume);
}

/// Guards against a call that waits for its claim and starts seconds after its upstream has begun
/// to leave. Here the claim's answer is lost, and the row can only be read back long after the
/// agent was told to stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_claim_starts_no_call_on_a_leaving_upstream() {
    let mut bed = testbed(BINARY, 1).await;
    let plain = bed
        .site
        .workers
        .iter()
        .position(|w| w.upstream.name == "portaal-1")
        .unwrap();
    let lost = Faults {
        delay_ms: 800,
        lose_answers: 1,
        lose_about: "key/late".into(),
        ..Faults::default()
    };
    bed.site.table.injector().set(lost);
    let caller = bed.client(0);
    let late = tokio::spawn(async move { caller.send(notice("late", "x")).await });
    let table = bed.site.table.clone();
    let claimed = || {
        let written = table.history().written;
        written.iter().any(|r| r.key.ends_with("key/late"))
    };
    wait_until("the claim", claimed).await;
    let cut = Faults {
        hang: true,
        ..Faults::default()
    };
    bed.site.table.injector().set(cut);
    bed.site.workers[plain].agent.signal(Signal::Term);
    let signalled_ms = now_ms();
    wait_until("the bound", || {
        now_ms() > signalled_ms + MAX_LEAVING_DELAY_MS
    })
    .await;
    bed.site.table.injector().set(Faults::default());
    let sent = late.await.unwrap();
    let not_run = matches!(
        sent.result,
        CallResult::Refused {
            outcome: Outcome::NotRun,
            ..
        }
    );
    assert!(not_run, "{:?}", sent.result);
    assert_eq!(bed.run_count("late"), 0);
    assert!(
        bed.site.workers[plain]
            .agent
            .wait()
            .await
            .unwrap()
            .success()
    );
}
