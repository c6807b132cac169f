//! Reconciles the engine with its row of the desired state.
//!
//! Orders come only from that row and are applied one at a time: drain, wait until no change is in
//! progress, send the order with its number as the fencing token, and wait until the engine has the
//! desired state. After a few failed attempts the engine is reported as broken. This is cleared by
//! a new order, or when the engine reaches the desired state by itself.
//!
//! An order that got no response may still be in a socket buffer, even if it was sent by an earlier
//! agent that was killed. After such an order, or after a start, no order is sent until the engine
//! has responded and its state hasn't changed for [`SETTLE_TIME`].

use crate::state::{Agent, UpstreamState};
use engine::{EngineState, Order};
use observe::{Event, emit};
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::retry::jittered_interval;
use store::rows::{Desired, decode};
use store::{InForce, Row};
use tokio::sync::watch;
use wire::Role;

/// Poll interval for an upstream in its desired state.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Poll interval during a change.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum duration of a change before it counts as failed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without a state change before an order may be sent, if an earlier one may still be in
/// flight.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Maximum number of attempts of an order before the engine is reported as broken.
const MAX_ORDER_ATTEMPTS: u32 = 3;

/// Reconciles the upstream until the process exits.
pub async fn reconcile(agent: Arc<Agent>, mut desired: watch::Receiver<Vec<Row>>) {
    let mut attempts = OrderAttempts {
        order: 0,
        count: 0,
        // An earlier agent may have left an order in flight.
        may_be_in_flight: true,
    };
    let mut changed = agent.node.documents.subscribe();
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
        // Reconciles after the poll interval, or earlier if the row or a document has changed.
        tokio::select! {
            () = tokio::time::sleep(jittered_interval(POLL_INTERVAL)) => {}
            _ = desired.changed() => {}
            _ = changed.changed() => {}
        }
    }
}

/// Counts the attempts of one order.
struct OrderAttempts {
    order: u64,
    count: u32,
    /// Whether an order may still be on its way to the engine.
    may_be_in_flight: bool,
}

impl OrderAttempts {
    /// Whether the order may be attempted again.
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
        set_upstream_state(agent, false, None, Some("no order received yet".into()));
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
    // Running requests are not interrupted. If they exceed the drain bound, the change is retried
    // at the next poll and the upstream stays closed to new requests.
    set_upstream_state(
        agent,
        false,
        None,
        Some(format!("draining for order {}", desired.order)),
    );
    if !wait_until_drained(agent, doc.doc.drain_bound).await {
        set_unusable(
            agent,
            "requests are still running after the drain bound".into(),
        );
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

/// Brings a drained engine into the desired state.
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
    // Until the engine has responded, the order may be in flight.
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
        Err("the engine's state differs from the order".into())
    }
}

/// Waits until the state of the engine hasn't changed for [`SETTLE_TIME`].
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

/// Waits until no change is in progress at the engine.
async fn wait_until_stable(agent: &Agent) -> Result<EngineState, String> {
    let until = Instant::now() + CHANGE_TIMEOUT;
    loop {
        let state = agent.engine.state().await.map_err(|e| e.to_string())?;
        if !state.changing {
            return Ok(state);
        }
        if Instant::now() >= until {
            return Err("the engine's change timed out".into());
        }
        tokio::time::sleep(CHANGE_POLL_INTERVAL).await;
    }
}

async fn apply_cache_events(agent: &Agent, after: u64) -> u64 {
    // Without events, the prefixes recorded by the agent remain in use.
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
