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
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between looks during a change.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest that a change may take before it counts as failed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long an engine must have stood still before an order, if another one may
/// still be on its way to it.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Tries of one order before the engine counts as broken.
const MAX_ORDER_ATTEMPTS: u32 = 3;

/// Tends the upstream until the process ends.
pub async fn reconcile(agent: Arc<Agent>, mut desired: watch::Receiver<Vec<Row>>) {
    let mut attempts = OrderAttempts {
        order: 0,
        count: 0,
        // An agent before this one may have left an order on its way.
        may_be_in_flight: true,
    };
    let mut changed = agent.node.documents.watch();
    let mut events = 0;
    loop {
        if let Some(doc) = agent.doc() {
            let slots = agent.upstream_in(&doc.doc).map_or(0, |u| u.slots);
            agent.admission.set_slots(slots);
            if doc.doc.is_engine() {
                let row = desired.borrow_and_update().first().cloned();
                reconcile_engine(&agent, &doc, row, &mut attempts).await;
                events = apply_cache_events(&agent, events).await;
            } else {
                set_upstream_state(&agent, true, None, None);
            }
        }
        // Whichever comes first makes the next look.
        tokio::select! {
            () = tokio::time::sleep(around(POLL_INTERVAL)) => {}
            _ = desired.changed() => {}
            _ = changed.changed() => {}
        }
    }
}

/// Counts the tries of one order.
struct OrderAttempts {
    order: u64,
    count: u32,
    /// Whether an order may still be on its way to the engine.
    may_be_in_flight: bool,
}

impl OrderAttempts {
    /// Whether another try of an order may be made.
    fn may_try(&mut self, order: u64) -> bool {
        if self.order != order {
            self.order = order;
            self.count = 0;
        }
        self.count < MAX_ORDER_ATTEMPTS
    }
}

async fn reconcile_engine(
    agent: &Agent,
    doc: &InForce,
    row: Option<Row>,
    attempts: &mut OrderAttempts,
) {
    let Some(desired) = row.and_then(|r| decode::<Desired>(&r.value)) else {
        set_upstream_state(agent, false, None, Some("no order yet".into()));
        return;
    };
    let state = match agent.engine.state().await {
        Ok(state) => state,
        Err(e) => {
            set_unusable(agent, e.to_string());
            return;
        }
    };
    if is_as_desired(&state, &desired) {
        attempts.count = 0;
        set_upstream_state(agent, true, Some(&state), None);
        return;
    }
    if !attempts.may_try(desired.order) {
        set_unusable(
            agent,
            format!("order {} failed {MAX_ORDER_ATTEMPTS} times", desired.order),
        );
        return;
    }
    // Nothing is cut off: what runs ends first. Past the bound the change waits
    // for the next look, and the engine still takes nothing new.
    set_upstream_state(
        agent,
        false,
        None,
        Some(format!("draining for order {}", desired.order)),
    );
    if !wait_until_drained(agent, doc.doc.drain_bound).await {
        set_unusable(agent, "requests still run past the drain bound".into());
        return;
    }
    attempts.count += 1;
    if let Err(why) = apply_order(agent, &desired, &mut attempts.may_be_in_flight).await {
        set_unusable(agent, why);
    } else {
        emit(&Event::OrderDone {
            upstream: &agent.upstream,
            order: desired.order,
        });
    }
}

/// Makes a drained engine as desired.
async fn apply_order(
    agent: &Agent,
    desired: &Desired,
    may_be_in_flight: &mut bool,
) -> Result<(), String> {
    let mut state = wait_until_stable(agent).await?;
    if *may_be_in_flight {
        state = wait_until_settled(agent, state).await?;
        *may_be_in_flight = false;
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
    *may_be_in_flight = true;
    agent
        .engine
        .order(&order)
        .await
        .map_err(|e| e.to_string())?;
    *may_be_in_flight = false;
    let state = wait_until_stable(agent).await?;
    if is_as_desired(&state, desired) {
        Ok(())
    } else {
        Err("engine isn't as ordered".into())
    }
}

/// Waits until the engine has stood still for [`SETTLE`].
async fn wait_until_settled(agent: &Agent, first: EngineState) -> Result<EngineState, String> {
    let mut unchanged = (first, Instant::now());
    while unchanged.1.elapsed() < SETTLE_TIME {
        tokio::time::sleep(CHANGE_POLL_INTERVAL).await;
        let state = wait_until_stable(agent).await?;
        if state != unchanged.0 {
            unchanged = (state, Instant::now());
        }
    }
    Ok(unchanged.0)
}

fn is_as_desired(state: &EngineState, desired: &Desired) -> bool {
    !state.changing && state.role == desired.role && state.model.as_ref() == Some(&desired.model)
}

async fn wait_until_drained(agent: &Agent, bound: Duration) -> bool {
    let until = Instant::now() + bound;
    while agent.admission.counts().1 > 0 {
        if Instant::now() >= until {
            return false;
        }
        tokio::time::sleep(CHANGE_POLL_INTERVAL).await;
    }
    true
}

/// Waits until no change is under way at the engine.
async fn wait_until_stable(agent: &Agent) -> Result<EngineState, String> {
    let until = Instant::now() + CHANGE_TIMEOUT;
    loop {
        let state = agent.engine.state().await.map_err(|e| e.to_string())?;
        if !state.changing {
            return Ok(state);
        }
        if Instant::now() >= until {
            return Err("the change takes too long".into());
        }
        tokio::time::sleep(CHANGE_POLL_INTERVAL).await;
    }
}

async fn apply_cache_events(agent: &Agent, after: u64) -> u64 {
    // Without events the agent's own view of the cache stands.
    let Ok(events) = agent.engine.cache_events(after).await else {
        return after;
    };
    agent.prefixes.apply(&events);
    events.last
}

fn set_unusable(agent: &Agent, why: String) {
    if agent.upstream_state().fault.as_ref() != Some(&why) {
        emit(&Event::UpstreamBroken {
            upstream: &agent.upstream,
            why: why.clone(),
        });
    }
    set_upstream_state(agent, false, None, Some(why));
}

fn set_upstream_state(
    agent: &Agent,
    usable: bool,
    state: Option<&EngineState>,
    fault: Option<String>,
) {
    agent.set_upstream_state(UpstreamState {
        usable,
        role: state.map_or(Role::Mixed, |s| s.role),
        model: state.and_then(|s| s.model.clone()),
        fault,
    });
}
