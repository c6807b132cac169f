//! A small site of real processes for tests, on addresses of its own. What fails
//! here fails the test, so these functions panic.

use crate::caller::{Caller, Got, Sent};
use crate::deploy::{Deployment, free_net};
use crate::mix::{Ask, What};
use crate::site::{Options, Site, UpstreamStandin, Worker};
use fakes::engine::{FakeEngine, Rates};
use fakes::plain::FakePlainService;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Bound of all waits for a condition.
pub const BOUND: Duration = Duration::from_secs(60);
/// Time between looks at a condition.
pub const LOOK: Duration = Duration::from_millis(20);
/// The service with engines.
pub const MODEL: &str = "taalmodel-dossier";
/// The plain service.
pub const PLAIN: &str = "ledenportaal";

/// A site, with the lock on its addresses.
pub struct Bed {
    /// The site.
    pub site: Site,
    _lock: TcpListener,
}

/// A site of two entries and so many workers of each service.
pub async fn bed(binary: &str, workers: usize) -> Bed {
    bed_with(binary, workers, |_| {}).await
}

/// The same with other options.
pub async fn bed_with(binary: &str, workers: usize, change: impl FnOnce(&mut Options)) -> Bed {
    let (net, lock) = free_net().unwrap();
    let mut options = Options::new(PathBuf::from(binary), Deployment::Sleutelbos);
    options.net = net;
    options.entries = 2;
    options.workers = workers;
    let step = Duration::from_millis(2);
    options.rates = Rates {
        step_time: step,
        change_time: Duration::from_millis(50),
        ..options.rates
    };
    options.host_lag = Duration::from_millis(10);
    options.limits = "{record_flush: 200ms, doc_poll: 500ms, host_poll: 100ms, linger: 100ms, \
                      lease: 1s, read_timeout: 2s}"
        .to_owned();
    change(&mut options);
    Bed {
        site: Site::start(Deployment::Sleutelbos, options).await.unwrap(),
        _lock: lock,
    }
}

impl Bed {
    /// A caller of an entry.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.site.entries[entry].addr)
    }

    /// The engine of a worker.
    pub fn engine(&self, at: usize) -> Arc<FakeEngine> {
        match &self.site.workers[at].standin {
            UpstreamStandin::Engine(e) => e.clone(),
            UpstreamStandin::Plain(_) => panic!("worker {at} is plain"),
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
    pub fn plains(&self) -> Vec<Arc<FakePlainService>> {
        let plain = |w: &Worker| match &w.standin {
            UpstreamStandin::Engine(_) => None,
            UpstreamStandin::Plain(p) => Some(p.clone()),
        };
        self.site.workers.iter().filter_map(plain).collect()
    }

    /// Runs of all plain services with a key.
    pub fn runs_of(&self, key: &str) -> usize {
        let runs = |p: Arc<FakePlainService>| p.history().iter().filter(|r| r.key == key).count();
        self.plains().into_iter().map(runs).sum()
    }
}

/// A streamed completion.
pub fn reply(prompt: &str, tokens: u32) -> Ask {
    let prompt = prompt.to_owned();
    let what = What::Completion {
        prompt,
        tokens,
        chat: false,
        stream: true,
    };
    Ask {
        service: MODEL,
        class: "reply",
        tenant: "ann".into(),
        what,
    }
}

/// A notice: non-idempotent.
pub fn notice(key: &str, body: &str) -> Ask {
    let (path, body) = ("/notices".to_owned(), body.to_owned());
    let what = What::Plain {
        method: "POST",
        path,
        body,
        key: Some(key.to_owned()),
    };
    Ask {
        service: PLAIN,
        class: "notice",
        tenant: "ann".into(),
        what,
    }
}

/// A lookup: idempotent.
pub fn lookup(path: &str) -> Ask {
    let what = What::Plain {
        method: "GET",
        path: path.into(),
        body: String::new(),
        key: None,
    };
    Ask {
        service: PLAIN,
        class: "lookup",
        tenant: "ann".into(),
        what,
    }
}

/// Whether the whole answer came.
pub fn is_whole(sent: &Sent) -> bool {
    matches!(sent.got, Got::Whole { .. })
}

/// Waits for a condition.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::time::timeout(BOUND, wait)
        .await
        .unwrap_or_else(|_| panic!("{what} doesn't come"));
}
