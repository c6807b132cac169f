//! Tests that a common request that crashes nothing isn't confirmed as crashing, although it runs
//! while others crash their upstreams.
//!
//! Guards against this failure: a request that every client sends was running when four others
//! crashed three upstreams, and was blocked. For 13 s no host served it; then two hosts refused it
//! 88 times as confirmed, though nothing was wrong with it.
//!
//! Its first trial ran on an upstream that another such request crashed 0.1 s later. Its second
//! trial got no first byte, which was neither a crash nor an answer, and wasn't repeated for a
//! minute. A host that had just started and knew of no trial then took a crash 6 s later as the
//! confirmation. A host that got an answer at last had lost the store and couldn't remove the crash
//! rows, so a host that started afterwards read them and refused the request again.

#[expect(dead_code, reason = "each test file uses some of them")]
mod common;

use common::crashing::{CRASH_MARKER, System};
use common::wait_for;
use standin::{Action, StoreMode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Body and path of the common request.
const COMMON: &str = "common";
const PATH: &str = "/unsafe/";
/// Time within which a common request must be served again, and a host that has just started must
/// know that: a few seconds, with a margin for a busy machine.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time after which hosts have sent a new observation to their peers for the last time.
const RESEND_TIME: Duration = Duration::from_secs(5);

/// Time after its start within which a host has read the crash rows.
const FIRST_READ_TIME: Duration = Duration::from_millis(1600);

/// Hosts with three workers that don't answer until they are told to, and the requests to them.
struct Scenario {
    system: Arc<System>,
    next_round: usize,
}

impl Scenario {
    async fn start(hosts: usize) -> Self {
        let system = Arc::new(System::start(hosts, 3).await);
        system.set_default_act(&Action::Hang);
        Self {
            system,
            next_round: 0,
        }
    }

    /// Sends the common request to a host.
    fn send(&mut self, host: usize) -> JoinHandle<u16> {
        let id = self.next_round * self.system.hosts.len() + host;
        self.next_round += 1;
        let system = self.system.clone();
        tokio::spawn(async move { system.send(PATH, id, COMMON).await })
    }

    /// Crashes the three workers with three other requests, the busier ones last.
    async fn crash_all_workers(&self) {
        let before = self.system.crash_count();
        for other in 0..3 {
            let body = format!("{CRASH_MARKER} {other}");
            let mut id = 1;
            while self.system.crash_count() < before + 1 + other {
                self.system.send(PATH, id, &body).await;
                id += self.system.hosts.len();
            }
        }
    }

    /// Lets the common request run on each worker when that crashes, until it is blocked.
    async fn block_common_request(&mut self) {
        let running: Vec<_> = (0..3).map(|_| self.send(0)).collect();
        let system = self.system.clone();
        wait_for("the request on each worker", || async {
            system.times_sent(COMMON) == running.len()
        })
        .await;
        self.crash_all_workers().await;
        for call in running {
            assert_eq!(call.await.unwrap(), 502);
        }
        wait_for("the request to be blocked", || async {
            let answer = system.exchange(PATH, 100_000, COMMON).await;
            answer.contains("crash") || answer.contains("no_upstream")
        })
        .await;
    }

    /// Sends the common request to all hosts until one of them starts a trial, and returns that
    /// call. No host may refuse the request as confirmed meanwhile.
    async fn wait_for_trial(&mut self) -> JoinHandle<u16> {
        let deadline = Instant::now() + RECOVERY_TIME;
        let system = self.system.clone();
        loop {
            assert!(
                Instant::now() < deadline,
                "no trial within {RECOVERY_TIME:?}"
            );
            for host in 0..system.hosts.len() {
                let before = system.times_sent(COMMON);
                let mut call = self.send(host);
                let is_tried = async || system.times_sent(COMMON) > before;
                tokio::select! {
                    status = &mut call => assert_eq!(status.unwrap(), 503),
                    () = wait_for("an answer or a trial", is_tried) => return call,
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Lets the workers answer, and sends the common request to all hosts until each has served it.
    /// None may refuse it as confirmed.
    async fn assert_served_by_all(&mut self) {
        self.system.set_default_act(&Action::Echo);
        let deadline = Instant::now() + RECOVERY_TIME;
        for host in 0..self.system.hosts.len() {
            loop {
                let status = self.send(host).await.unwrap();
                assert_ne!(status, 400, "host {host}");
                if status == 200 {
                    break;
                }
                assert!(Instant::now() < deadline, "host {host} answers {status}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

#[tokio::test]
async fn a_trial_during_another_requests_crash_confirms_nothing() {
    let mut scenario = Scenario::start(3).await;
    scenario.block_common_request().await;
    for _ in 0..2 {
        let trial = scenario.wait_for_trial().await;
        scenario.crash_all_workers().await;
        assert_eq!(trial.await.unwrap(), 502);
    }
    scenario.assert_served_by_all().await;
}

#[tokio::test]
async fn a_trial_without_an_answer_is_repeated() {
    let mut scenario = Scenario::start(2).await;
    scenario.block_common_request().await;
    for _ in 0..2 {
        scenario.wait_for_trial().await;
    }
    scenario.assert_served_by_all().await;
}

/// Guards against a removal that never succeeds: a call that removed the rows of 32 crashes and of
/// their trials had more entries than the store accepts, so it was refused each time.
#[tokio::test]
async fn rows_of_many_answered_requests_are_removed() {
    let system = Arc::new(System::start(1, 3).await);
    let bodies: Vec<String> = (0..20).map(|n| format!("{COMMON} {n}")).collect();
    for body in &bodies {
        for upstream in 1..=2 {
            system.put_crash_row(PATH, body, upstream);
        }
    }
    // Without an answer, the rows remain.
    tokio::time::sleep(RESEND_TIME).await;
    assert_eq!(system.store.keys("crashes").len(), 40);
    let send = |body: String| {
        let system = system.clone();
        tokio::spawn(async move { system.send(PATH, 0, &body).await })
    };
    for call in bodies.into_iter().map(send).collect::<Vec<_>>() {
        assert_eq!(call.await.unwrap(), 200);
    }
    wait_for("the removal of all rows", || async {
        system.store.keys("crashes").is_empty()
    })
    .await;
}

/// The upstream stops responding when it crashes: its connections stay open, and it is registered
/// with a new start seconds later.
#[tokio::test]
async fn trials_whose_upstream_restarts_without_closing_connections_count_as_crashes() {
    let mut scenario = Scenario::start(2).await;
    scenario.block_common_request().await;
    for start in 1..=2 {
        scenario.wait_for_trial().await;
        scenario.system.register_restarted(start);
    }
    let system = scenario.system.clone();
    wait_for("the confirmation", || async {
        system.send(PATH, 1_000_000, COMMON).await == 400
    })
    .await;
}

#[tokio::test]
async fn an_answer_is_resent_while_its_crash_rows_cannot_be_removed() {
    let mut scenario = Scenario::start(2).await;
    scenario.block_common_request().await;
    let store = scenario.system.store.clone();
    wait_for("crash rows", || async { store.keys("crashes").len() >= 3 }).await;
    store.set_mode(StoreMode::RefuseWritesTo("crashes"));
    scenario.assert_served_by_all().await;
    // By then, the answer has been sent to peers for the last time.
    tokio::time::sleep(RESEND_TIME).await;
    let mut system = Arc::into_inner(scenario.system).expect("no call is running");
    system.add_host(7002).await;
    scenario.system = Arc::new(system);
    tokio::time::sleep(FIRST_READ_TIME).await;
    scenario.assert_served_by_all().await;
}
