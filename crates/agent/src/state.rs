//! Shared state of an agent.

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

/// Time after the begin of a stop during which an admitted call may still be started.
const MAX_START_DELAY: Duration = Duration::from_secs(1);

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    /// State common to all processes.
    pub node: Arc<Node>,
    /// Name of the service.
    pub service: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Client for the upstream as a model engine.
    pub engine: Client,
    /// Connections to the upstream as a plain service.
    pub plain: Pool,
    /// Queue and slots of the upstream.
    pub admission: Arc<Admission>,
    /// Claims of non-idempotent calls.
    pub claims: Arc<Claims>,
    /// Estimated speed of the upstream.
    pub rates: Rates,
    /// Prefixes that are probably in the engine's cache.
    pub prefixes: CachedPrefixes,
    /// Observed exits of the upstream process.
    pub exits: UpstreamExits,
    stopping_since: OnceLock<Instant>,
    upstream_state: Mutex<UpstreamState>,
}

/// Last known state of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamState {
    /// Whether requests may be sent to it.
    pub usable: bool,
    /// Role of the engine.
    pub role: Role,
    /// Model loaded by the engine.
    pub model: Option<Model>,
    /// Last error.
    pub fault: Option<String>,
}

impl Agent {
    /// Creates an agent without a document; its upstream is unusable until it has been checked.
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

    /// The upstream of this agent in a document, if it is listed there.
    pub fn upstream_in<'a>(&self, doc: &'a Doc) -> Option<&'a Upstream> {
        Some(doc.upstream(doc.upstream_by_name(&self.upstream)?))
    }

    /// Stops admitting requests, permanently.
    pub fn begin_stop(&self) {
        // Later calls have no effect: the time of the first one is kept.
        let _ = self.stopping_since.set(Instant::now());
        self.admission.close(Reason::Leaving);
    }

    /// Whether this process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Whether a call that was admitted before the stop may still be started at the upstream. This
    /// is no longer allowed some time after the stop began, however long its claim took.
    pub fn may_start_call(&self) -> bool {
        self.stopping_since
            .get()
            .is_none_or(|at| at.elapsed() < MAX_START_DELAY)
    }

    /// Last known state of the upstream.
    pub fn upstream_state(&self) -> UpstreamState {
        self.upstream_state
            .lock()
            .expect("no panic while locked")
            .clone()
    }

    /// Updates the state of the upstream, and opens or closes admission accordingly.
    pub fn set_upstream_state(&self, state: UpstreamState) {
        let usable = state.usable;
        *self.upstream_state.lock().expect("no panic while locked") = state;
        if usable {
            self.admission.open();
        } else {
            self.admission.close(Reason::NotReady);
        }
        // Checked last, as [`Self::begin_stop`] may have been called in the meantime and takes
        // precedence.
        if self.is_stopping() {
            self.admission.close(Reason::Leaving);
        }
    }

    /// State of the agent, as reported to entries and operators.
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

    /// Whether the agent accepts requests.
    pub fn is_ready(&self) -> bool {
        self.state() == AgentState::Ready
    }

    /// Status for operator commands.
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
