//! What is desired of the engines, as a function of what is known.

use conf::{Doc, Kind};
use std::net::SocketAddr;
use store::rows::Desired;
use wire::{AgentState, AgentStatus, Model, Role};

/// Part of a service's engines that may be in a planned change at once.
const CHANGING_DIVISOR: usize = 4;

/// An engine, as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The upstream's name.
    pub name: String,
    /// Where its agent listens.
    pub agent: SocketAddr,
    /// What was desired of it last, with the row's version; 0 if there is none.
    pub desired: Option<Desired>,
    /// Version of the row of the desired state.
    pub version: u64,
    /// What its agent says, if it answered.
    pub status: Option<AgentStatus>,
}

/// An order to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewOrder {
    /// Place of the engine among those that were given.
    pub engine: usize,
    /// What is desired.
    pub desired: Desired,
}

/// Gives the orders to write now, under a lease of this epoch.
///
/// An engine with no order gets its first at once. A change of model goes
/// through the engines a bounded part at a time, and the next part waits until
/// the changed ones serve again.
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

/// The model that the document desired_rows; none if the service has no engines.
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

/// Whether any engine is desired otherwise than the document says. If not, there
/// is nothing to order, and nobody needs to be asked.
pub fn has_changes(doc: &Doc, engines: &[Engine]) -> bool {
    let Some(model) = desired_model(doc) else {
        return false;
    };
    let is_current = |desired: &Desired| desired.model == model;
    engines
        .iter()
        .any(|e| !e.desired.as_ref().is_some_and(is_current))
}

/// Whether an engine was ordered to change and doesn't serve as desired yet. One
/// whose agent doesn't answer counts: nobody knows when it serves again.
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
