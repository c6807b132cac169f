//! What an entry is and knows.

use crate::crashes::Crashes;
use crate::health::AgentHealth;
use crate::peers::Peers;
use node::Node;
use resilience::RetryBudget;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Retries that each request earns, so that an overload isn't made worse by them.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Retries that each window allows besides: a few requests must be able to go
/// elsewhere however little load there is.
const RETRY_ALLOWANCE: f64 = 50.0;
/// Window over which both count: the time in which a failing upstream is left out.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// What every process has.
    pub node: Arc<Node>,
    /// Connections to agents.
    pub peers: Peers,
    /// Agents that failed of late.
    pub health: AgentHealth,
    /// Work under which upstreams end.
    pub crashes: Crashes,
    budget: Mutex<RetryBudget>,
}

impl Entry {
    /// An entry that has yet to see its documents.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let timeout = node.settings.limits.probe_timeout;
        Arc::new(Self {
            peers: Peers::new(timeout, node.peer_bytes.clone()),
            crashes: Crashes::new(node.platform.clone(), node.settings.name.clone()),
            node,
            health: AgentHealth::default(),
            budget: Mutex::new(RetryBudget::new(
                RETRIES_PER_REQUEST,
                RETRY_ALLOWANCE,
                RETRY_WINDOW,
                1,
            )),
        })
    }

    /// Notes a request, which earns a part of a retry.
    pub fn earn_retry(&self) {
        let mut budget = self.budget.lock().expect("no panic while locked");
        budget.record_request(Instant::now());
    }

    /// Takes a retry, if there is one.
    pub fn spend_retry(&self) -> bool {
        let mut budget = self.budget.lock().expect("no panic while locked");
        budget.try_retry(Instant::now())
    }

    /// Whether it takes requests: it isn't stopping, and has a document for
    /// each of its services.
    pub fn is_ready(&self) -> bool {
        let documents = &self.node.documents;
        !self.node.stop.is_stopped()
            && documents
                .services()
                .iter()
                .all(|s| documents.version(s) > 0)
    }
}
