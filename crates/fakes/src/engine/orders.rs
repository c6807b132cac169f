//! Orders to the fake engine, and the history that tests check.

use super::batch::Batch;
use super::cache::PrefixCache;
use crate::clock::now_ms;
use engine::protocol::{EngineState, Order, OrderAnswer};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};
use wire::Role;

/// Largest number of orders, and of completions, in the history.
const MAX_HISTORY: usize = 100_000;

/// An order that the engine received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderSeen {
    /// The order.
    pub order: Order,
    /// The engine's answer.
    pub answer: OrderAnswer,
    /// Whether a different change was in progress.
    pub conflicting: bool,
    /// Whether the engine carried out the order though it had accepted a higher fencing number.
    pub stale_effective: bool,
    /// Number of streams that the change aborted.
    pub cut: u64,
    /// Arrival time by [`crate::clock::now_ms`].
    pub at_ms: u64,
}

/// A completion that the engine accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRun {
    /// The request's id with the number of the attempt.
    pub id: String,
    /// Arrival time by [`crate::clock::now_ms`].
    pub at_ms: u64,
}

/// The orders and completions that an engine received.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHistory {
    /// Orders, in order of arrival.
    pub orders: Vec<OrderSeen>,
    /// Completions that it accepted, in order of arrival.
    pub runs: Vec<EngineRun>,
}

/// The state that orders change.
#[derive(Debug)]
pub struct Orders {
    fencing: bool,
    change_time: Duration,
    state: EngineState,
    pending: Option<(Instant, Order)>,
    history: EngineHistory,
}

impl Orders {
    /// Creates the state of an engine without a model.
    pub fn new(fencing: bool, change_time: Duration) -> Self {
        let state = EngineState {
            role: Role::Mixed,
            model: None,
            fence: 0,
            changing: false,
            incarnation: 1,
        };
        Self {
            fencing,
            change_time,
            state,
            pending: None,
            history: EngineHistory::default(),
        }
    }

    /// Returns the state, after completing a change that is due.
    pub fn state(&mut self) -> EngineState {
        if let Some((at, order)) = &self.pending
            && Instant::now() >= *at
        {
            self.state.role = order.role;
            self.state.model = Some(order.model.clone());
            self.state.changing = false;
            self.pending = None;
        }
        self.state.clone()
    }

    /// Returns whether the engine serves a model now.
    pub fn serves(&mut self, model: &str) -> bool {
        let state = self.state();
        !state.changing && state.model.is_some_and(|m| m.name == model)
    }

    /// Returns the history.
    pub fn history(&self) -> EngineHistory {
        self.history.clone()
    }

    /// Records an accepted completion.
    pub fn record_run(&mut self, id: &str) {
        if self.history.runs.len() < MAX_HISTORY {
            self.history.runs.push(EngineRun {
                id: id.to_owned(),
                at_ms: now_ms(),
            });
        }
    }

    /// Starts the change that an order asks for, or refuses the order as stale. With `crash`, the
    /// engine crashes during the change.
    pub fn apply(
        &mut self,
        order: &Order,
        batch: &mut Batch,
        cache: &mut PrefixCache,
        crash: bool,
    ) -> OrderAnswer {
        let state = self.state();
        let repeated = order.fence == state.fence;
        if repeated && self.pending.as_ref().is_some_and(|(_, o)| o == order) {
            return OrderAnswer::Taken;
        }
        let stale = order.fence < state.fence;
        if stale && self.fencing {
            self.record(order, OrderAnswer::Stale, false, false, 0);
            return OrderAnswer::Stale;
        }
        let conflicting = self.pending.as_ref().is_some_and(|(_, o)| o != order);
        let cut = batch.abort();
        self.record(order, OrderAnswer::Taken, conflicting, stale, cut);
        self.state.fence = order.fence;
        if crash {
            self.crash(cache);
            return OrderAnswer::Taken;
        }
        if self.state.model.as_ref() != Some(&order.model) {
            cache.clear();
        }
        self.state.changing = true;
        self.pending = Some((Instant::now() + self.change_time, order.clone()));
        OrderAnswer::Taken
    }

    /// Restarts the engine without a model. The history of orders stays.
    fn crash(&mut self, cache: &mut PrefixCache) {
        cache.clear();
        self.pending = None;
        self.state.changing = false;
        self.state.model = None;
        self.state.fence = 0;
        self.state.incarnation += 1;
    }

    fn record(
        &mut self,
        order: &Order,
        answer: OrderAnswer,
        conflicting: bool,
        stale_effective: bool,
        cut: u64,
    ) {
        if self.history.orders.len() < MAX_HISTORY {
            let order = order.clone();
            let seen = OrderSeen {
                order,
                answer,
                conflicting,
                stale_effective,
                cut,
                at_ms: now_ms(),
            };
            self.history.orders.push(seen);
        }
    }
}
