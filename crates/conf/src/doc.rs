//! The document of a service.
//!
//! A team owns one document. It says which classes of work there are, how
//! urgent each is, what may not be repeated, how much of the fleet the service
//! may expect, and which upstreams serve it. Operators drive the system by
//! editing it and by nothing else.

mod read;

use crate::error::ParseErrors;
use crate::yaml;
use std::net::SocketAddr;
use std::time::Duration;

/// Urgencies go from 0, served first, to this.
pub const MAX_URGENCY: u32 = 9;

/// Key of a class in its document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u8);

/// Key of an upstream in its document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u16);

/// What stands behind the service's agents.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// Model engines, all serving one model.
    Engine(Model),
    /// Plain HTTP services.
    Plain,
}

/// The model that the engines of a service should serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// The model's name in the weight store.
    pub name: String,
    /// The model's version.
    pub version: u32,
    /// Adapters to be loaded with it, sorted.
    pub adapters: Vec<String>,
}

/// A document, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Doc {
    /// The service's name, the first part of its callers' path.
    pub service: String,
    /// What stands behind the agents.
    pub kind: Kind,
    /// Fraction of the fleet that the service may expect.
    pub share: f64,
    /// Weight of few role changes (1) against goodput (0).
    pub calm: f64,
    /// Whether the engines refuse an old fencing number.
    pub fencing: bool,
    /// How long a planned change waits for running requests.
    pub drain_bound: Duration,
    /// Classes, in the order of the file. The first is the default.
    pub classes: Vec<Class>,
    /// Limits that hold for each tenant at each upstream.
    pub tenants: TenantLimits,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<Upstream>,
}

/// A class of work.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// 0 is served first, [`MAX_URGENCY`] last.
    pub urgency: u32,
    /// Time for the answer's start, from the entry's receipt.
    pub deadline: Duration,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Fraction of the service's slots that the class may expect.
    pub share: f64,
    /// Longest that more urgent work may hold back a waiting request.
    pub starvation_bound: Duration,
    /// Most requests that wait at one upstream.
    pub queue: u32,
    /// Calls of a plain service that always belong to this class.
    pub routes: Vec<Route>,
}

/// A method and a path's beginning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The method, in capitals.
    pub method: String,
    /// How the path begins, after the service's name.
    pub path: String,
}

/// Limits for each tenant at each upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantLimits {
    /// Most requests that wait.
    pub queue: u32,
    /// Most requests that run.
    pub running: u32,
}

/// An upstream and the agent before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// The upstream's name.
    pub name: String,
    /// The host it runs on.
    pub host: String,
    /// The host's availability zone.
    pub zone: String,
    /// Where its agent listens for peers.
    pub agent: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
}

impl Doc {
    /// Reads and checks a document's text; all faults come at once.
    pub fn parse(text: &str) -> Result<Self, ParseErrors> {
        yaml::load(text, read::doc)
    }

    /// Finds a class by name.
    pub fn class_by_name(&self, name: &str) -> Option<ClassId> {
        let at = self.classes.iter().position(|c| c.name == name)?;
        Some(ClassId(at as u8))
    }

    /// Finds the class that owns a call by its method and path.
    pub fn class_by_route(&self, method: &str, path: &str) -> Option<ClassId> {
        let owns = |r: &Route| r.method == method && path.starts_with(r.path.as_str());
        let at = self
            .classes
            .iter()
            .position(|c| c.routes.iter().any(owns))?;
        Some(ClassId(at as u8))
    }

    /// The class of a key of this document.
    pub fn class(&self, id: ClassId) -> &Class {
        &self.classes[usize::from(id.0)]
    }

    /// The upstream of a key of this document.
    pub fn upstream(&self, id: UpstreamId) -> &Upstream {
        &self.upstreams[usize::from(id.0)]
    }

    /// Finds an upstream by name.
    pub fn upstream_by_name(&self, name: &str) -> Option<UpstreamId> {
        let at = self
            .upstreams
            .binary_search_by(|u| u.name.as_str().cmp(name))
            .ok()?;
        Some(UpstreamId(at as u16))
    }

    /// Keys of all upstreams.
    pub fn upstream_ids(&self) -> impl Iterator<Item = UpstreamId> + use<> {
        (0..self.upstreams.len() as u16).map(UpstreamId)
    }

    /// Whether model engines stand behind the service.
    pub fn is_engine(&self) -> bool {
        matches!(self.kind, Kind::Engine(_))
    }
}
