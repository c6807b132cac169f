//! Computes the orders to write from the document and the known state of the engines.

use conf::{Doc, Kind};
use std::net::SocketAddr;
use store::rows::Desired;
use wire::{AgentState, AgentStatus, Model, Role};

/// One in this many engines of a service, but at least one, may change at the same time.
const CHANGING_DIVISOR: usize = 4;

/// State of an engine, as known to the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Name of the upstream.
    pub name: String,
    /// Address of its agent.
    pub agent: SocketAddr,
    /// Last order that was written; `None` if there is none.
    pub desired: Option<Desired>,
    /// Version of the row of the desired state; 0 if there is none.
    pub version: u64,
    /// Status that its agent reported; `None` if it didn't respond.
    pub status: Option<AgentStatus>,
}

/// An order to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewOrder {
    /// Index of the engine in the list passed to [`new_orders`].
    pub engine: usize,
    /// Desired state of the engine.
    pub desired: Desired,
}

/// Returns the orders to write now, with the epoch of the lease.
///
/// Engines without an order get one immediately. A model change is rolled out gradually: only a
/// fraction of the engines may be changing at a time, and others follow when those serve again.
pub fn new_orders(doc: &Doc, engines: &[Engine], epoch: u64) -> Vec<NewOrder> {
    let Some(model) = desired_model(doc) else {
        return Vec::new();
    };
    let mut orders = Vec::new();
    let mut available = (engines.len() / CHANGING_DIVISOR).max(1);
    available = available.saturating_sub(engines.iter().filter(|e| is_changing(e)).count());
    for (engine, e) in engines.iter().enumerate() {
        let why = match &e.desired {
            None => "first order".to_owned(),
            Some(previous) if previous.model == model => continue,
            Some(_) if available == 0 => continue,
            Some(previous) => {
                available -= 1;
                format!("document wants {model} in place of {}", previous.model)
            }
        };
        let desired = Desired {
            role: e.desired.as_ref().map_or(Role::Mixed, |d| d.role),
            model: model.clone(),
            epoch,
            order: e.desired.as_ref().map_or(0, |d| d.order) + 1,
            why,
        };
        orders.push(NewOrder { engine, desired });
    }
    orders
}

/// The model that the document specifies; `None` if the service has no engines.
fn desired_model(doc: &Doc) -> Option<Model> {
    let Kind::Engine(model) = &doc.kind else {
        return None;
    };
    Some(Model {
        name: model.name.clone(),
        version: model.version,
        adapters: model.adapters.clone(),
    })
}

/// Whether the last order of any engine differs from the document. If not, there are no orders
/// to write, and the agents need not be queried.
pub fn has_changes(doc: &Doc, engines: &[Engine]) -> bool {
    let Some(model) = desired_model(doc) else {
        return false;
    };
    let is_current = |desired: &Desired| desired.model == model;
    engines
        .iter()
        .any(|e| !e.desired.as_ref().is_some_and(is_current))
}

/// Whether an engine has an order and doesn't serve as ordered yet. An engine whose agent doesn't
/// respond counts as changing, as its state is unknown.
fn is_changing(e: &Engine) -> bool {
    let Some(desired) = &e.desired else {
        return false;
    };
    let serves = |s: &AgentStatus| {
        let loaded = s.model.as_ref() == Some(&desired.model);
        s.state == AgentState::Ready && s.role == desired.role && loaded
    };
    !e.status.as_ref().is_some_and(serves)
}
