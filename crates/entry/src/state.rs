//! Shared state of an entry.

use crate::crashes::Crashes;
use crate::health::AgentHealth;
use crate::peers::Peers;
use node::Node;
use resilience::RetryBudget;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Retries allowed per request. The limit keeps retries from worsening an overload.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Additional retries allowed per window, so that a few requests can be retried even at low load.
const RETRIES_PER_WINDOW: f64 = 50.0;
/// Window for both limits: the time within which a failing upstream is suspended.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// State of an entry.
#[derive(Debug)]
pub struct Entry {
    /// State common to all processes.
    pub node: Arc<Node>,
    /// Connections to agents.
    pub peers: Peers,
    /// Agents that failed recently.
    pub health: AgentHealth,
    /// Work during which upstreams crashed.
    pub crashes: Crashes,
    retry_budget: Mutex<RetryBudget>,
}

impl Entry {
    /// Creates an entry without documents.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let timeout = node.settings.limits.probe_timeout;
        Arc::new(Self {
            peers: Peers::new(timeout, node.peer_bytes.clone()),
            crashes: Crashes::new(node.platform.clone(), node.settings.name.clone()),
            node,
            health: AgentHealth::default(),
            retry_budget: Mutex::new(RetryBudget::new(
                RETRIES_PER_REQUEST,
                RETRIES_PER_WINDOW,
                RETRY_WINDOW,
                1,
            )),
        })
    }

    /// Adds a request to the retry budget.
    pub fn earn_retry(&self) {
        let mut retry_budget = self.retry_budget.lock().expect("no panic while locked");
        retry_budget.record_request(Instant::now());
    }

    /// Takes a retry from the budget. Returns whether there was one.
    pub fn spend_retry(&self) -> bool {
        let mut retry_budget = self.retry_budget.lock().expect("no panic while locked");
        retry_budget.try_retry(Instant::now())
    }

    /// Whether the entry accepts requests: it isn't stopping and has a document for each of its
    /// services.
    pub fn is_ready(&self) -> bool {
        let documents = &self.node.documents;
        !self.node.stop.is_stopped()
            && documents
                .services()
                .iter()
                .all(|s| documents.version(s) > 0)
    }
}
