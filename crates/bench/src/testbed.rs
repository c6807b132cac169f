//! A small site of real processes for tests, in a loopback subnet of its own.
//!
//! Failures fail the test, so these functions panic.

use crate::client::{Call, CallResult, Client};
use crate::deploy::{Deployment, reserve_subnet};
use crate::mix::{ClientRequest, RequestKind};
use crate::site::{Options, Site, UpstreamStandin, Worker};
use fakes::engine::{FakeEngine, Rates};
use fakes::plain::FakePlainService;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for waiting for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Name of the engine service.
pub const ENGINE_SERVICE: &str = "taalmodel-dossier";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "ledenportaal";

/// A site, with the reservation of its subnet.
pub struct Testbed {
    /// The site.
    pub site: Site,
    _lock: TcpListener,
}

/// Starts a site with two entries and at most `workers` workers per service.
pub async fn testbed(binary: &str, workers: usize) -> Testbed {
    testbed_with(binary, workers, |_| {}).await
}

/// Starts such a site with changed options.
pub async fn testbed_with(
    binary: &str,
    workers: usize,
    configure: impl FnOnce(&mut Options),
) -> Testbed {
    let (subnet, lock) = reserve_subnet().unwrap();
    let mut options = Options::new(PathBuf::from(binary), Deployment::Sleutelbos);
    options.subnet = subnet;
    options.entries = 2;
    options.workers = workers;
    let step = Duration::from_millis(2);
    options.rates = Rates {
        step_time: step,
        change_time: Duration::from_millis(50),
        ..options.rates
    };
    options.host_list_lag = Duration::from_millis(10);
    options.limits = "{record_flush: 200ms, doc_poll: 500ms, host_poll: 100ms, linger: 100ms, \
                      lease: 1s, read_timeout: 2s}"
        .to_owned();
    configure(&mut options);
    Testbed {
        site: Site::start(Deployment::Sleutelbos, options).await.unwrap(),
        _lock: lock,
    }
}

impl Testbed {
    /// Creates a client of an entry.
    pub fn client(&self, entry: usize) -> Client {
        Client::new(self.site.entries[entry].addr)
    }

    /// Engine of a worker.
    pub fn engine(&self, at: usize) -> Arc<FakeEngine> {
        match &self.site.workers[at].standin {
            UpstreamStandin::Engine(e) => e.clone(),
            UpstreamStandin::Plain(_) => panic!("worker {at} is a plain service"),
        }
    }

    /// All engines.
    pub fn engines(&self) -> Vec<Arc<FakeEngine>> {
        let engine = |w: &Worker| match &w.standin {
            UpstreamStandin::Engine(e) => Some(e.clone()),
            UpstreamStandin::Plain(_) => None,
        };
        self.site.workers.iter().filter_map(engine).collect()
    }

    /// All plain services.
    pub fn plain_services(&self) -> Vec<Arc<FakePlainService>> {
        let plain = |w: &Worker| match &w.standin {
            UpstreamStandin::Engine(_) => None,
            UpstreamStandin::Plain(p) => Some(p.clone()),
        };
        self.site.workers.iter().filter_map(plain).collect()
    }

    /// Number of runs with an idempotency key at all plain services.
    pub fn run_count(&self, key: &str) -> usize {
        let runs = |p: Arc<FakePlainService>| p.history().iter().filter(|r| r.key == key).count();
        self.plain_services().into_iter().map(runs).sum()
    }
}

/// A streamed completion of class `reply`.
pub fn reply(prompt: &str, tokens: u32) -> ClientRequest {
    let prompt = prompt.to_owned();
    let kind = RequestKind::Completion {
        prompt,
        tokens,
        chat: false,
        stream: true,
    };
    ClientRequest {
        service: ENGINE_SERVICE,
        class: "reply",
        tenant: "ann".into(),
        kind,
    }
}

/// A non-idempotent request of class `notice`.
pub fn notice(key: &str, body: &str) -> ClientRequest {
    let (path, body) = ("/notices".to_owned(), body.to_owned());
    let kind = RequestKind::Plain {
        method: "POST",
        path,
        body,
        key: Some(key.to_owned()),
    };
    ClientRequest {
        service: PLAIN_SERVICE,
        class: "notice",
        tenant: "ann".into(),
        kind,
    }
}

/// An idempotent request of class `lookup`.
pub fn lookup(path: &str) -> ClientRequest {
    let kind = RequestKind::Plain {
        method: "GET",
        path: path.into(),
        body: String::new(),
        key: None,
    };
    ClientRequest {
        service: PLAIN_SERVICE,
        class: "lookup",
        tenant: "ann".into(),
        kind,
    }
}

/// Whether the complete answer was received.
pub fn is_complete(call: &Call) -> bool {
    matches!(call.result, CallResult::Complete { .. })
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}
