//! Kept connections to agents, sorted by address.
//!
//! Each agent has two: one for control, which is counted, and one for requests,
//! so that a long prompt on its way holds back no probe.

use net::{Meter, Peer};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

/// How long the connections to an agent are kept without use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between looks for connections without use.
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

/// The connections to all agents that were needed so far.
#[derive(Debug)]
pub struct Peers {
    timeout: Duration,
    meter: Meter,
    connections: RwLock<Vec<AgentConnections>>,
}

impl Peers {
    /// No connections yet; `timeout` bounds opening one, `meter` counts control.
    pub fn new(timeout: Duration, meter: Meter) -> Self {
        Self {
            timeout,
            meter,
            connections: RwLock::default(),
        }
    }

    /// The connections to the agent at an address.
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

    /// Closes connections without use, again and again. A request that runs on
    /// one keeps it open to its end.
    pub async fn close_idle(&self) {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            let now = Instant::now();
            let mut connections = self.connections.write().expect("no panic while locked");
            connections.retain(|l| l.idle_for(now) < IDLE_TIMEOUT);
        }
    }

    /// Closes connections to agents that no document names any more.
    pub fn keep_only(&self, listed: &[SocketAddr]) {
        let mut connections = self.connections.write().expect("no panic while locked");
        connections.retain(|l| listed.binary_search(&l.addr()).is_ok());
    }
}
