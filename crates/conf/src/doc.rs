//! The document of a service.
//!
//! Each document belongs to one team. It lists the classes of work with their urgency, what may not
//! be repeated, the share of the fleet that the service may expect, and the upstreams. Operators
//! control the system only by editing documents.

mod read;

use crate::error::ParseErrors;
use crate::yaml;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum urgency value. 0 is the most urgent.
pub const MAX_URGENCY: u32 = 9;

/// Index of a class in its document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u8);

/// Index of an upstream in its document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u16);

/// Kind of the service's upstreams.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// Model engines that all serve one model.
    Engine(Model),
    /// Plain HTTP services.
    Plain,
}

/// The model that the engines of a service should serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Name in the weight store.
    pub name: String,
    /// The model's version.
    pub version: u32,
    /// Adapters to load with it, sorted.
    pub adapters: Vec<String>,
}

/// A valid document.
#[derive(Debug, Clone, PartialEq)]
pub struct Doc {
    /// Name of the service, which is the first segment of its callers' paths.
    pub service: String,
    /// Kind of the upstreams.
    pub kind: Kind,
    /// Fraction of the fleet that the service may expect.
    pub share: f64,
    /// Weight of avoiding role changes, from 0 (only goodput counts) to 1.
    pub calm: f64,
    /// Whether the engines reject an old fencing token.
    pub fencing: bool,
    /// Maximum time that a planned change waits for running requests.
    pub drain_bound: Duration,
    /// Classes in the order of the file. The first one is the default.
    pub classes: Vec<Class>,
    /// Limits per tenant at each upstream.
    pub tenants: TenantLimits,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<Upstream>,
}

/// A class of work.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Urgency from 0, served first, to [`MAX_URGENCY`].
    pub urgency: u32,
    /// Maximum time from receipt at the entry to the first byte of the response.
    pub deadline: Duration,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Fraction of the service's slots that the class may expect.
    pub share: f64,
    /// Maximum time for which more urgent work may delay a waiting request.
    pub starvation_bound: Duration,
    /// Maximum number of requests waiting at one upstream.
    pub queue: u32,
    /// Routes of a plain service that always belong to this class.
    pub routes: Vec<Route>,
}

/// A method and a path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The method, in upper case.
    pub method: String,
    /// Path prefix, without the service's name.
    pub path: String,
}

/// Limits per tenant at each upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantLimits {
    /// Maximum number of waiting requests.
    pub queue: u32,
    /// Maximum number of running requests.
    pub running: u32,
}

/// An upstream and its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// The upstream's name.
    pub name: String,
    /// Host on which it runs.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address where its agent listens for peers.
    pub agent: SocketAddr,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
}

impl Doc {
    /// Parses and validates a document. The error contains all problems found.
    pub fn parse(text: &str) -> Result<Self, ParseErrors> {
        yaml::load(text, read::doc)
    }

    /// Finds a class by name.
    pub fn class_by_name(&self, name: &str) -> Option<ClassId> {
        let at = self.classes.iter().position(|c| c.name == name)?;
        Some(ClassId(at as u8))
    }

    /// Finds the class that has a route for a method and path.
    pub fn class_by_route(&self, method: &str, path: &str) -> Option<ClassId> {
        let owns = |r: &Route| r.method == method && path.starts_with(r.path.as_str());
        let at = self
            .classes
            .iter()
            .position(|c| c.routes.iter().any(owns))?;
        Some(ClassId(at as u8))
    }

    /// Returns the class with an index of this document.
    pub fn class(&self, id: ClassId) -> &Class {
        &self.classes[usize::from(id.0)]
    }

    /// Returns the upstream with an index of this document.
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

    /// Indexes of all upstreams.
    pub fn upstream_ids(&self) -> impl Iterator<Item = UpstreamId> + use<> {
        (0..self.upstreams.len() as u16).map(UpstreamId)
    }

    /// Whether the upstreams are model engines.
    pub fn is_engine(&self) -> bool {
        matches!(self.kind, Kind::Engine(_))
    }
}
