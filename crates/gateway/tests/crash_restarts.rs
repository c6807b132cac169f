//! Tests that requests that crash upstreams are blocked while hosts restart in overlapping
//! series or all at once.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::crashing::{CRASH_MARKER, DETECTION_TIME, System};
use common::versions::Host;
use common::{address, exchange, host, join_all, request, wait_for};
use std::time::Duration;

/// Number of hosts.
const HOSTS: usize = 4;
/// Time between two stop signals of a series. All hosts are signalled before the first one exits,
/// as an idle host takes 2.3 s to stop.
const STOP_GAP: Duration = Duration::from_millis(500);
/// Time after which hosts no longer repeat the report of a crash.
const REPORT_TIME: Duration = Duration::from_millis(4500);
/// Maximum number of sends by all hosts together from 3 s after the third crash on.
const MAX_LATER_SENDS: u64 = 3;

struct Fleet {
    system: System,
    hosts: Vec<Host>,
}

impl Fleet {
    async fn start() -> Self {
        let system = System::start(0, 16).await;
        let mut hosts = Vec::new();
        for _ in 0..HOSTS {
            let host = Host::start(host(address(), system.store.addr));
            host.wait_ready().await;
            hosts.push(host);
        }
        wait_for("rows of all hosts", || async {
            system.store.keys("processes").len() >= HOSTS
        })
        .await;
        tokio::time::sleep(STOP_GAP).await;
        Self { system, hosts }
    }

    /// Sends the request that crashes workers to a host.
    async fn send(&self, id: usize) {
        let text = request("POST", "/unsafe/", &format!("id-{id}"), "", CRASH_MARKER);
        exchange(self.hosts[id % HOSTS].callers, &text).await;
    }

    /// Sends the request until one more worker has crashed, and waits until no host repeats the
    /// report.
    async fn crash_once(&self, id: usize) {
        let before = self.system.crash_count();
        self.send(id).await;
        assert_eq!(self.system.crash_count(), before + 1);
        tokio::time::sleep(REPORT_TIME).await;
    }

    /// Tells the hosts to stop, with a gap between two signals, and starts each again once it has
    /// exited.
    async fn restart_in_series(&mut self, gap: Duration) {
        let restarts = self.hosts.iter_mut().enumerate().map(async |(n, host)| {
            tokio::time::sleep(gap * n as u32).await;
            host.stop();
            host.restart().await;
        });
        join_all(restarts).await;
    }

    /// Number of workers that 24 more requests crash after hosts had time to detect that the
    /// request crashes workers.
    async fn later_crashes(&self) -> u64 {
        tokio::time::sleep(DETECTION_TIME).await;
        let before = self.system.crash_count();
        for id in 0..24 {
            self.send(id).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        self.system.crash_count() - before
    }
}

/// Crashes a worker, restarts the hosts, crashes another one, restarts the hosts, and crashes a
/// third one.
async fn run_series(gap: Duration) {
    let mut fleet = Fleet::start().await;
    for id in 0..2 {
        fleet.crash_once(id).await;
        fleet.restart_in_series(gap).await;
    }
    fleet.crash_once(2).await;
    let later = fleet.later_crashes().await;
    assert!(later <= MAX_LATER_SENDS, "{later} more workers crashed");
}

/// Guards against the count of a request's crashes being reset by a series of restarts in which
/// each host is told to stop before the former one has exited: all processes that know of a single
/// crash are replaced.
#[tokio::test]
async fn crashes_are_counted_over_overlapping_series_of_restarts() {
    run_series(STOP_GAP).await;
}

/// Guards against the same where all hosts are told to stop at once.
#[tokio::test]
async fn crashes_are_counted_over_restarts_of_all_hosts_at_once() {
    run_series(Duration::ZERO).await;
}
