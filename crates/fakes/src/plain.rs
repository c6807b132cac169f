//! A plain service, which counts the runs of each call.

use crate::answer::plain_digest;
use crate::clock::now_ms;
use crate::fault::FaultInjector;
use crate::serve::{Call, FakeServer, json};
use hyper::Response;
use net::Body;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Most runs that the history keeps.
const MAX_HISTORY: usize = 200_000;

/// One run, as the service saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The caller's key, or an empty text.
    pub key: String,
    /// The request's id as the system gave it.
    pub request: String,
    /// Method and path.
    pub call: String,
    /// Digest of method, path and body.
    pub digest: String,
    /// When it came, by [`crate::clock::now_ms`].
    pub at_ms: u64,
}

/// What the service answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// Digest of method, path and body.
    pub digest: String,
}

/// The stand-in.
#[derive(Debug)]
pub struct FakePlainService {
    injector: FaultInjector,
    work_time: Duration,
    runs: Mutex<Vec<Run>>,
}

impl FakePlainService {
    /// A service that takes `work` for each call.
    pub fn new(work_time: Duration) -> Self {
        Self {
            injector: FaultInjector::default(),
            work_time,
            runs: Mutex::default(),
        }
    }

    /// The runs so far, in order.
    pub fn history(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic while locked").clone()
    }
}

impl FakeServer for FakePlainService {
    fn injector(&self) -> &FaultInjector {
        &self.injector
    }

    async fn answer(self: Arc<Self>, call: Call) -> Response<Body> {
        if call.path == "/history" {
            return json(&*self.runs.lock().expect("no panic while locked"));
        }
        let target = if call.query.is_empty() {
            call.path.clone()
        } else {
            format!("{}?{}", call.path, call.query)
        };
        let digest = plain_digest(call.method.as_str(), &target, &call.body);
        let run = Run {
            key: call.header("idempotency-key").to_owned(),
            request: call.header("x-request-id").to_owned(),
            call: format!("{} {target}", call.method),
            digest: digest.clone(),
            at_ms: now_ms(),
        };
        {
            let mut runs = self.runs.lock().expect("no panic while locked");
            if runs.len() < MAX_HISTORY {
                runs.push(run);
            }
        }
        tokio::time::sleep(self.work_time).await;
        json(&PlainAnswer { digest })
    }
}
