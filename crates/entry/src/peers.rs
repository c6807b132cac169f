//! Connections to agents, kept open between requests.
//!
//! There are two per agent: a metered one for control messages and one for requests, so that
//! sending a long prompt doesn't delay probes.

use net::{Meter, Peer};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

/// Time after which unused connections to an agent are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks for unused connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// The connections to one agent.
#[derive(Debug, Clone)]
pub struct AgentConnections {
    /// For probes and documents.
    pub control: Peer,
    /// For requests.
    pub data: Peer,
    last_used: Arc<Mutex<Instant>>,
}

impl AgentConnections {
    fn touch(&self) {
        *self.last_used.lock().expect("no panic while locked") = Instant::now();
    }

    fn idle_for(&self, now: Instant) -> Duration {
        let last_used = *self.last_used.lock().expect("no panic while locked");
        now.saturating_duration_since(last_used)
    }

    fn addr(&self) -> SocketAddr {
        self.control.addr()
    }
}

/// Connections to agents, opened on first use and sorted by address.
#[derive(Debug)]
pub struct Peers {
    timeout: Duration,
    meter: Meter,
    connections: RwLock<Vec<AgentConnections>>,
}

impl Peers {
    /// Creates an empty set. `timeout` limits connecting, and `meter` counts the bytes of control
    /// connections.
    pub fn new(timeout: Duration, meter: Meter) -> Self {
        Self {
            timeout,
            meter,
            connections: RwLock::default(),
        }
    }

    /// Returns the connections to the agent at an address.
    pub fn get(&self, addr: SocketAddr) -> AgentConnections {
        {
            let connections = self.connections.read().expect("no panic while locked");
            if let Ok(at) = connections.binary_search_by_key(&addr, AgentConnections::addr) {
                connections[at].touch();
                return connections[at].clone();
            }
        }
        let mut connections = self.connections.write().expect("no panic while locked");
        match connections.binary_search_by_key(&addr, AgentConnections::addr) {
            Ok(at) => connections[at].clone(),
            Err(at) => {
                let new_connections = AgentConnections {
                    control: Peer::new(addr, self.timeout).metered(&self.meter),
                    data: Peer::new(addr, self.timeout),
                    last_used: Arc::new(Mutex::new(Instant::now())),
                };
                connections.insert(at, new_connections.clone());
                new_connections
            }
        }
    }

    /// Closes unused connections periodically. A running request keeps its connection open until it
    /// ends.
    pub async fn close_idle(&self) {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            let now = Instant::now();
            let mut connections = self.connections.write().expect("no panic while locked");
            connections.retain(|l| l.idle_for(now) < IDLE_TIMEOUT);
        }
    }

    /// Closes connections to agents that are no longer listed in any document.
    pub fn keep_only(&self, listed: &[SocketAddr]) {
        let mut connections = self.connections.write().expect("no panic while locked");
        connections.retain(|l| listed.binary_search(&l.addr()).is_ok());
    }
}
