//! Keeping the engine as its row of the desired state says.
//!
//! The agent takes orders from its row of the desired state and from nowhere else, and runs one
//! at a time: drain, look at the engine until no change is under way, give the
//! order with its number as the fencing number, and wait until the engine is as
//! desired. An engine that fails this a few times is reported as broken, and
//! stays so until there is another order or it comes right by itself.
//!
//! An order whose answer never came may still lie in a socket's buffer, also one
//! of an agent that was killed in this slot before. So no order is given until
//! the engine has answered and stood still for [`SETTLE`] since such a moment.

use crate::state::{Agent, UpstreamState};
use engine::{EngineState, Order};
use observe::{Event, emit};
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::retry::around;
use store::rows::{Desired, decode};
use store::{InForce, Row};
use tokio::sync::watch;
use wire::Role;

/// Time between looks at an upstream that is as desired.
const LOOK: Duration = Duration::from_millis(500);
/// Time between looks during a change.
const CHANGE_LOOK: Duration = Duration::from_millis(20);
/// Longest that a change may take before it counts as failed.
const CHANGE_BOUND: Duration = Duration::from_secs(60);
/// How long an engine must have stood still before an order, if another one may
/// still be on its way to it.
const SETTLE: Duration = Duration::from_secs(1);
/// Tries of one order before the engine counts as broken.
const TRIES: u32 = 3;

/// Tends the upstream until the process ends.
pub async fn tend(agent: Arc<Agent>, mut desired: watch::Receiver<Vec<Row>>) {
    let mut tries = Tries {
        order: 0,
        made: 0,
        // An agent before this one may have left an order on its way.
        astray: true,
    };
    let mut changed = agent.node.documents.watch();
    let mut events = 0;
    loop {
        if let Some(doc) = agent.doc() {
            let slots = agent.me(&doc.doc).map_or(0, |u| u.slots);
            agent.admission.set_slots(slots);
            if doc.doc.is_engine() {
                let row = desired.borrow_and_update().first().cloned();
                tend_engine(&agent, &doc, row, &mut tries).await;
                events = read_events(&agent, events).await;
            } else {
                set(&agent, true, None, None);
            }
        }
        // Whichever comes first makes the next look.
        tokio::select! {
            () = tokio::time::sleep(around(LOOK)) => {}
            _ = desired.changed() => {}
            _ = changed.changed() => {}
        }
    }
}

/// Counts the tries of one order.
struct Tries {
    order: u64,
    made: u32,
    /// Whether an order may still be on its way to the engine.
    astray: bool,
}

impl Tries {
    /// Whether another try of an order may be made.
    fn may(&mut self, order: u64) -> bool {
        if self.order != order {
            self.order = order;
            self.made = 0;
        }
        self.made < TRIES
    }
}

async fn tend_engine(agent: &Agent, doc: &InForce, row: Option<Row>, tries: &mut Tries) {
    let Some(desired) = row.and_then(|r| decode::<Desired>(&r.value)) else {
        set(agent, false, None, Some("no order yet".into()));
        return;
    };
    let state = match agent.engine.state().await {
        Ok(state) => state,
        Err(e) => {
            unusable(agent, e.to_string());
            return;
        }
    };
    if is_as_desired(&state, &desired) {
        tries.made = 0;
        set(agent, true, Some(&state), None);
        return;
    }
    if !tries.may(desired.order) {
        unusable(
            agent,
            format!("order {} failed {TRIES} times", desired.order),
        );
        return;
    }
    // Nothing is cut off: what runs ends first. Past the bound the change waits
    // for the next look, and the engine still takes nothing new.
    set(
        agent,
        false,
        None,
        Some(format!("draining for order {}", desired.order)),
    );
    if !drained(agent, doc.doc.drain_bound).await {
        unusable(agent, "requests still run past the drain bound".into());
        return;
    }
    tries.made += 1;
    if let Err(why) = change(agent, &desired, &mut tries.astray).await {
        unusable(agent, why);
    } else {
        emit(&Event::OrderDone {
            upstream: &agent.upstream,
            order: desired.order,
        });
    }
}

/// Makes a drained engine as desired.
async fn change(agent: &Agent, desired: &Desired, astray: &mut bool) -> Result<(), String> {
    let mut state = quiet(agent).await?;
    if *astray {
        state = settled(agent, state).await?;
        *astray = false;
    }
    if is_as_desired(&state, desired) {
        return Ok(());
    }
    let order = Order {
        fence: desired.order,
        role: desired.role,
        model: desired.model.clone(),
    };
    emit(&Event::OrderGiven {
        upstream: &agent.upstream,
        order: desired.order,
    });
    agent.prefixes.clear();
    // Until the engine has answered, the order may be anywhere.
    *astray = true;
    agent
        .engine
        .order(&order)
        .await
        .map_err(|e| e.to_string())?;
    *astray = false;
    let state = quiet(agent).await?;
    if is_as_desired(&state, desired) {
        Ok(())
    } else {
        Err("engine isn't as ordered".into())
    }
}

/// Waits until the engine has stood still for [`SETTLE`].
async fn settled(agent: &Agent, first: EngineState) -> Result<EngineState, String> {
    let mut still = (first, Instant::now());
    while still.1.elapsed() < SETTLE {
        tokio::time::sleep(CHANGE_LOOK).await;
        let state = quiet(agent).await?;
        if state != still.0 {
            still = (state, Instant::now());
        }
    }
    Ok(still.0)
}

fn is_as_desired(state: &EngineState, desired: &Desired) -> bool {
    !state.changing && state.role == desired.role && state.model.as_ref() == Some(&desired.model)
}

async fn drained(agent: &Agent, bound: Duration) -> bool {
    let until = Instant::now() + bound;
    while agent.admission.counts().1 > 0 {
        if Instant::now() >= until {
            return false;
        }
        tokio::time::sleep(CHANGE_LOOK).await;
    }
    true
}

/// Waits until no change is under way at the engine.
async fn quiet(agent: &Agent) -> Result<EngineState, String> {
    let until = Instant::now() + CHANGE_BOUND;
    loop {
        let state = agent.engine.state().await.map_err(|e| e.to_string())?;
        if !state.changing {
            return Ok(state);
        }
        if Instant::now() >= until {
            return Err("the change takes too long".into());
        }
        tokio::time::sleep(CHANGE_LOOK).await;
    }
}

async fn read_events(agent: &Agent, after: u64) -> u64 {
    // Without events the agent's own view of the cache stands.
    let Ok(events) = agent.engine.cache_events(after).await else {
        return after;
    };
    agent.prefixes.apply(&events);
    events.last
}

fn unusable(agent: &Agent, why: String) {
    if agent.upstream_state().fault.as_ref() != Some(&why) {
        emit(&Event::UpstreamBroken {
            upstream: &agent.upstream,
            why: why.clone(),
        });
    }
    set(agent, false, None, Some(why));
}

fn set(agent: &Agent, usable: bool, state: Option<&EngineState>, fault: Option<String>) {
    agent.set_upstream(UpstreamState {
        usable,
        role: state.map_or(Role::Mixed, |s| s.role),
        model: state.and_then(|s| s.model.clone()),
        fault,
    });
}
