//! Kept connections to agents, sorted by address.
//!
//! Each agent has two: one for control, which is counted, and one for requests,
//! so that a long prompt on its way holds back no probe.

use net::{Meter, Peer};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

/// How long the connections to an agent are kept without use.
const KEEP_IDLE: Duration = Duration::from_secs(60);
/// Time between looks for connections without use.
const IDLE_LOOK: Duration = Duration::from_secs(10);

/// The connections to one agent.
#[derive(Debug, Clone)]
pub struct Link {
    /// For probes and documents.
    pub control: Peer,
    /// For requests.
    pub data: Peer,
    used: Arc<Mutex<Instant>>,
}

impl Link {
    fn touch(&self) {
        *self.used.lock().expect("no panic while locked") = Instant::now();
    }

    fn idle_for(&self, now: Instant) -> Duration {
        let used = *self.used.lock().expect("no panic while locked");
        now.saturating_duration_since(used)
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
    links: RwLock<Vec<Link>>,
}

impl Peers {
    /// No connections yet; `timeout` bounds opening one, `meter` counts control.
    pub fn new(timeout: Duration, meter: Meter) -> Self {
        Self {
            timeout,
            meter,
            links: RwLock::default(),
        }
    }

    /// The connections to the agent at an address.
    pub fn get(&self, addr: SocketAddr) -> Link {
        {
            let links = self.links.read().expect("no panic while locked");
            if let Ok(at) = links.binary_search_by_key(&addr, Link::addr) {
                links[at].touch();
                return links[at].clone();
            }
        }
        let mut links = self.links.write().expect("no panic while locked");
        match links.binary_search_by_key(&addr, Link::addr) {
            Ok(at) => links[at].clone(),
            Err(at) => {
                let link = Link {
                    control: Peer::new(addr, self.timeout).metered(&self.meter),
                    data: Peer::new(addr, self.timeout),
                    used: Arc::new(Mutex::new(Instant::now())),
                };
                links.insert(at, link.clone());
                link
            }
        }
    }

    /// Closes connections without use, again and again. A request that runs on
    /// one keeps it open to its end.
    pub async fn close_idle(&self) {
        loop {
            tokio::time::sleep(IDLE_LOOK).await;
            let now = Instant::now();
            let mut links = self.links.write().expect("no panic while locked");
            links.retain(|l| l.idle_for(now) < KEEP_IDLE);
        }
    }

    /// Closes connections to agents that no document names any more.
    pub fn keep_only(&self, named: &[SocketAddr]) {
        let mut links = self.links.write().expect("no panic while locked");
        links.retain(|l| named.binary_search(&l.addr()).is_ok());
    }
}
