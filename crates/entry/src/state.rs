//! What an entry is and knows.

use crate::budget::Budget;
use crate::health::Health;
use crate::peers::Peers;
use node::Node;
use std::sync::Arc;

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// What every process has.
    pub node: Arc<Node>,
    /// Connections to agents.
    pub peers: Peers,
    /// Agents that failed of late.
    pub health: Health,
    /// Retries that may be made.
    pub budget: Budget,
}

impl Entry {
    /// An entry that has yet to see its documents.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let timeout = node.settings.limits.probe_timeout;
        Arc::new(Self {
            peers: Peers::new(timeout, node.peer_bytes.clone()),
            node,
            health: Health::default(),
            budget: Budget::default(),
        })
    }

    /// Whether it takes requests: it isn't stopping, and has a document for
    /// each of its services.
    pub fn is_ready(&self) -> bool {
        let book = &self.node.book;
        !self.node.stop.is_stopped() && book.services().iter().all(|s| book.version(s) > 0)
    }
}
