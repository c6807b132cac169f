//! What is wanted of the engines, as a function of what is known.

use conf::{Doc, Kind};
use std::net::SocketAddr;
use store::rows::Want;
use wire::{AgentState, AgentStatus, Role};

/// Part of a service's engines that may be in a planned change at once.
const PART_IN_CHANGE: usize = 4;

/// An engine, as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The upstream's name.
    pub name: String,
    /// Where its agent listens.
    pub agent: SocketAddr,
    /// What was wanted of it last, with the row's version; 0 if there is none.
    pub want: Option<Want>,
    /// Version of the want row.
    pub version: u64,
    /// What its agent says, if it answered.
    pub status: Option<AgentStatus>,
}

/// An order to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewOrder {
    /// Place of the engine among those that were given.
    pub engine: usize,
    /// What is wanted.
    pub want: Want,
}

/// Gives the orders to write now, under a lease of this epoch.
///
/// An engine with no order gets its first at once. A change of model goes
/// through the engines a bounded part at a time, and the next part waits until
/// the changed ones serve again.
pub fn orders(doc: &Doc, engines: &[Engine], epoch: u64) -> Vec<NewOrder> {
    let Kind::Engine(model) = &doc.kind else {
        return Vec::new();
    };
    let mut out = Vec::new();
    let mut room = (engines.len() / PART_IN_CHANGE).max(1);
    room = room.saturating_sub(engines.iter().filter(|e| in_change(e)).count());
    for (engine, e) in engines.iter().enumerate() {
        let why = match &e.want {
            None => "first order".to_owned(),
            Some(w) if w.model == model.name && w.model_version == model.version => continue,
            Some(w) => {
                if room == 0 {
                    continue;
                }
                room -= 1;
                format!(
                    "document wants {}@{} in place of {}@{}",
                    model.name, model.version, w.model, w.model_version
                )
            }
        };
        let role = e.want.as_ref().map_or(Role::Mixed, |w| w.role);
        let order = e.want.as_ref().map_or(0, |w| w.order) + 1;
        let model_version = model.version;
        let model = model.name.clone();
        out.push(NewOrder {
            engine,
            want: Want {
                role,
                model,
                model_version,
                epoch,
                order,
                why,
            },
        });
    }
    out
}

/// Whether any engine is wanted otherwise than the document says. If not, there
/// is nothing to order, and nobody needs to be asked.
pub fn any_to_change(doc: &Doc, engines: &[Engine]) -> bool {
    let Kind::Engine(model) = &doc.kind else {
        return false;
    };
    let fits = |w: &Want| w.model == model.name && w.model_version == model.version;
    engines.iter().any(|e| !e.want.as_ref().is_some_and(fits))
}

/// Whether an engine was ordered to change and doesn't serve as wanted yet. One
/// whose agent doesn't answer counts: nobody knows when it serves again.
fn in_change(e: &Engine) -> bool {
    let Some(want) = &e.want else { return false };
    let model = format!("{}@{}", want.model, want.model_version);
    let serves = |s: &AgentStatus| {
        s.state == AgentState::Ready && s.role == want.role && s.model.as_ref() == Some(&model)
    };
    !e.status.as_ref().is_some_and(serves)
}
