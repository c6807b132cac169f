//! Orders to the engine stand-in, and the history by which they are judged.

use super::batch::Batch;
use super::cache::PrefixCache;
use crate::clock::now_ms;
use engine::dialect::{EngineState, Order, OrderAnswer};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};
use wire::Role;

/// Most orders that the history keeps.
const MAX_HISTORY: usize = 100_000;

/// An order as the engine saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderSeen {
    /// The order.
    pub order: Order,
    /// What the engine said.
    pub answer: OrderAnswer,
    /// A different change was under way.
    pub conflicting: bool,
    /// The engine had taken a higher number before, and still did this one.
    pub stale_effective: bool,
    /// Streams that the change broke off.
    pub cut: u64,
    /// When it came, by [`crate::clock::now_ms`].
    pub at_ms: u64,
}

/// A completion as the engine saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRun {
    /// The request's id with the number of the try.
    pub id: String,
    /// When it came, by [`crate::clock::now_ms`].
    pub at_ms: u64,
}

/// What an engine saw.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHistory {
    /// Orders, in order of arrival.
    pub orders: Vec<OrderSeen>,
    /// Completions that it took.
    pub runs: Vec<EngineRun>,
}

/// The engine's state as far as orders change it.
#[derive(Debug)]
pub struct Orders {
    fencing: bool,
    change_time: Duration,
    state: EngineState,
    pending: Option<(Instant, Order)>,
    history: EngineHistory,
}

impl Orders {
    /// An engine with nothing loaded.
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

    /// The state, once a change whose time has come is done.
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

    /// Whether the engine serves a model now.
    pub fn serves(&mut self, model: &str) -> bool {
        let state = self.state();
        !state.changing && state.model.is_some_and(|m| m.name == model)
    }

    /// The history.
    pub fn history(&self) -> EngineHistory {
        self.history.clone()
    }

    /// Notes a completion that was taken.
    pub fn record_run(&mut self, id: &str) {
        if self.history.runs.len() < MAX_HISTORY {
            self.history.runs.push(EngineRun {
                id: id.to_owned(),
                at_ms: now_ms(),
            });
        }
    }

    /// Takes an order.
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

    /// The engine starts anew with nothing loaded; its orders' history stays.
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
