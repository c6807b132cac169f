//! What an agent is and knows.

use crate::admission::Admission;
use crate::claims::Claims;
use crate::exits::UpstreamExits;
use crate::prefixes::CachedPrefixes;
use crate::rates::Rates;
use conf::settings::UpstreamSettings;
use conf::{Doc, Upstream};
use engine::Client;
use net::Pool;
use node::Node;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use store::InForce;
use wire::{AgentState, AgentStatus, Model, Reason, Role};

/// How long after an agent began to stop an admitted call may still begin.
const MAX_START_DELAY: Duration = Duration::from_secs(1);

/// An agent.
#[derive(Debug)]
pub struct Agent {
    /// What every process has.
    pub node: Arc<Node>,
    /// The service.
    pub service: String,
    /// The upstream's name.
    pub upstream: String,
    /// The upstream as a model engine.
    pub engine: Client,
    /// The upstream as a plain service.
    pub plain: Pool,
    /// Who runs, waits, is refused.
    pub admission: Arc<Admission>,
    /// Claims of non-idempotent calls.
    pub claims: Arc<Claims>,
    /// Learned rates.
    pub rates: Rates,
    /// Prefixes that the engine has cached.
    pub prefixes: CachedPrefixes,
    /// Ends of the upstream.
    pub exits: UpstreamExits,
    stopping_since: OnceLock<Instant>,
    upstream_state: Mutex<UpstreamState>,
}

/// The upstream, as the agent last saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamState {
    /// Whether it may be given work.
    pub usable: bool,
    /// Its role.
    pub role: Role,
    /// What it serves.
    pub model: Option<Model>,
    /// What it last did wrong.
    pub fault: Option<String>,
}

impl Agent {
    /// An agent that has yet to see its document and upstream.
    pub fn new(node: Arc<Node>, service: String, upstream: &UpstreamSettings) -> Arc<Self> {
        let timeout = node.settings.platform.timeout;
        let claims = Claims::start(node.platform.clone(), node.id.clone());
        let state = UpstreamState {
            usable: false,
            role: Role::Mixed,
            model: None,
            fault: None,
        };
        Arc::new(Self {
            engine: Client::new(upstream.address, timeout),
            plain: Pool::new(upstream.address, timeout),
            upstream: upstream.name.clone(),
            admission: Admission::new(),
            claims,
            rates: Rates::default(),
            prefixes: CachedPrefixes::default(),
            exits: UpstreamExits::default(),
            stopping_since: OnceLock::new(),
            upstream_state: Mutex::new(state),
            service,
            node,
        })
    }

    /// The document in force.
    pub fn doc(&self) -> Option<InForce> {
        self.node.documents.get(&self.service)
    }

    /// This agent's upstream in a document.
    pub fn upstream_in<'a>(&self, doc: &'a Doc) -> Option<&'a Upstream> {
        Some(doc.upstream(doc.upstream_named(&self.upstream)?))
    }

    /// Takes nothing new from now on, for good.
    pub fn begin_stop(&self) {
        // A second call changes nothing: it left when it first did.
        let _ = self.stopping_since.set(Instant::now());
        self.admission.close(Reason::Leaving);
    }

    /// Whether this process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Whether a call that was admitted before this process began to stop may
    /// still begin at the upstream. It may not once the upstream has been
    /// leaving for a while, however long its claim took.
    pub fn may_start_call(&self) -> bool {
        self.stopping_since
            .get()
            .is_none_or(|at| at.elapsed() < MAX_START_DELAY)
    }

    /// The upstream as last seen.
    pub fn upstream_state(&self) -> UpstreamState {
        self.upstream_state
            .lock()
            .expect("no panic while locked")
            .clone()
    }

    /// Notes how the upstream stands, and opens or closes admission with it.
    pub fn set_upstream_state(&self, state: UpstreamState) {
        let usable = state.usable;
        *self.upstream_state.lock().expect("no panic while locked") = state;
        if usable {
            self.admission.open();
        } else {
            self.admission.close(Reason::NotReady);
        }
        // Looked at last: `leave` may have come between, and must win.
        if self.is_stopping() {
            self.admission.close(Reason::Leaving);
        }
    }

    /// Whether it takes work.
    pub fn state(&self) -> AgentState {
        if self.is_stopping() || self.node.leaving.contains(&self.node.settings.host) {
            return AgentState::Leaving;
        }
        let in_doc = self
            .doc()
            .is_some_and(|d| self.upstream_in(&d.doc).is_some());
        let usable = self
            .upstream_state
            .lock()
            .expect("no panic while locked")
            .usable;
        if in_doc && usable {
            AgentState::Ready
        } else {
            AgentState::Starting
        }
    }

    /// Whether it takes work.
    pub fn is_ready(&self) -> bool {
        self.state() == AgentState::Ready
    }

    /// Its status, for the operators' commands.
    pub fn status(&self) -> AgentStatus {
        let (waiting, running) = self.admission.counts();
        let up = self.upstream_state();
        AgentStatus {
            upstream: self.upstream.clone(),
            state: self.state(),
            role: up.role,
            model: up.model,
            doc_version: self.node.documents.version(&self.service),
            waiting,
            running,
            fault: up.fault,
        }
    }
}
