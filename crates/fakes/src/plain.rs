//! A fake plain service that records each call it runs.

use crate::answer::plain_digest;
use crate::clock::now_ms;
use crate::fault::FaultInjector;
use crate::serve::{Call, FakeServer, json};
use hyper::{Response, StatusCode};
use net::Body;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Largest number of runs in the history.
const MAX_HISTORY: usize = 200_000;

/// A call that the service ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The caller's idempotency key, or an empty string.
    pub key: String,
    /// The id that the system gave the request.
    pub request: String,
    /// Method and path.
    pub call: String,
    /// Digest of method, path and body.
    pub digest: String,
    /// Arrival time by [`crate::clock::now_ms`].
    pub at_ms: u64,
}

/// The body of the service's answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// Digest of method, path and body.
    pub digest: String,
}

/// A plain service whose calls take a fixed time.
#[derive(Debug)]
pub struct FakePlainService {
    injector: FaultInjector,
    work_time: Duration,
    runs: Mutex<Vec<Run>>,
}

impl FakePlainService {
    /// Creates a service that takes `work_time` for each call.
    pub fn new(work_time: Duration) -> Self {
        Self {
            injector: FaultInjector::default(),
            work_time,
            runs: Mutex::default(),
        }
    }

    /// Returns the runs so far, in order of arrival.
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
        let mut res = json(&PlainAnswer { digest });
        if let Ok(status) = StatusCode::from_u16(self.injector.get().run_status) {
            *res.status_mut() = status;
        }
        res
    }
}
