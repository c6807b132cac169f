//! A fake model engine.
//!
//! It supports continuous batching, chunked prefill between decode steps, a prefix cache of
//! limited size, priorities, resuming and cancelling streams, and export and import of KV
//! cache. Its load reports lag, its cache events are late and have gaps, and it can be told to
//! ignore the fencing numbers of orders. All rates are assumptions.

mod batch;
mod cache;
mod orders;

use crate::fault::FaultInjector;
use crate::serve::{Call, FakeServer, json, status};
use batch::Batch;
use cache::PrefixCache;
use engine::protocol::{
    CompletionBody, KvBlob, PATH_CACHE_EVENTS, PATH_CANCEL, PATH_COMPLETIONS, PATH_EXPORT,
    PATH_IMPORT, PATH_LOAD, PATH_ORDER, PATH_STATE,
};
use hyper::{Response, StatusCode};
use net::Body;
use orders::Orders;
pub use orders::{EngineHistory, EngineRun, OrderSeen};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Rates and sizes of the engine, all of them assumptions.
#[derive(Debug, Clone)]
pub struct Rates {
    /// Duration of one decode step.
    pub step_time: Duration,
    /// Prompt tokens processed in one step, over all requests.
    pub prefill_per_step: u32,
    /// Requests that run concurrently.
    pub max_running: usize,
    /// Prefixes that fit in the cache.
    pub cache_capacity: usize,
    /// Duration of a change of role or model.
    pub change_time: Duration,
    /// Delay of load reports and cache events.
    pub report_lag: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub fencing: bool,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            step_time: Duration::from_millis(10),
            prefill_per_step: 200,
            max_running: 32,
            cache_capacity: 4096,
            change_time: Duration::from_millis(300),
            report_lag: Duration::from_millis(500),
            fencing: true,
        }
    }
}

/// Prompt bytes per token. This is an assumption.
pub const BYTES_PER_TOKEN: usize = 4;

/// A fake engine that serves completions and carries out orders.
#[derive(Debug)]
pub struct FakeEngine {
    injector: FaultInjector,
    rates: Rates,
    inner: Mutex<Inner>,
    work_arrived: tokio::sync::Notify,
}

#[derive(Debug)]
struct Inner {
    batch: Batch,
    cache: PrefixCache,
    orders: Orders,
}

impl FakeEngine {
    /// Creates an engine without a model. Its steps run until it is dropped.
    pub fn new(rates: Rates) -> Arc<Self> {
        let inner = Inner {
            batch: Batch::new(rates.max_running, rates.report_lag),
            cache: PrefixCache::new(rates.cache_capacity, rates.report_lag),
            orders: Orders::new(rates.fencing, rates.change_time),
        };
        let this = Arc::new(Self {
            injector: FaultInjector::default(),
            rates,
            inner: Mutex::new(inner),
            work_arrived: tokio::sync::Notify::new(),
        });
        tokio::spawn(Self::run_steps(Arc::downgrade(&this)));
        this
    }

    /// Returns the orders and completions that the engine received.
    pub fn history(&self) -> EngineHistory {
        self.lock().orders.history()
    }

    /// Returns the number of waiting and running requests.
    pub fn open_requests(&self) -> usize {
        self.lock().batch.open_requests()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while locked")
    }

    async fn run_steps(this: std::sync::Weak<Self>) {
        let Some(step) = this.upgrade().map(|e| e.rates.step_time) else {
            return;
        };
        let mut interval = tokio::time::interval(step);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let Some(engine) = this.upgrade() else { return };
            engine.step();
            if engine.lock().batch.is_idle() {
                // The wait is bounded so that the task ends after the engine is dropped.
                let _ = tokio::time::timeout(IDLE_WAIT, engine.work_arrived.notified()).await;
            }
        }
    }

    fn step(&self) {
        let mut inner = self.lock();
        let Inner { batch, cache, .. } = &mut *inner;
        batch.step(self.rates.prefill_per_step, cache, &self.injector);
    }

    fn complete(&self, call: &Call) -> Response<Body> {
        let Some(body) = call.json::<CompletionBody>() else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut inner = self.lock();
        if !inner.orders.serves(&body.model) {
            return status(StatusCode::CONFLICT);
        }
        let Inner {
            batch,
            cache,
            orders,
        } = &mut *inner;
        orders.record_run(&body.request_id);
        let answer = batch.add(body, cache);
        drop(inner);
        self.work_arrived.notify_one();
        answer
    }

    fn order(&self, call: &Call) -> Response<Body> {
        let Some(order) = call.json() else {
            return status(StatusCode::BAD_REQUEST);
        };
        let crash = self.injector.consume(|f| &mut f.crash_in_order);
        let mut inner = self.lock();
        let Inner {
            batch,
            cache,
            orders,
        } = &mut *inner;
        let answer = orders.apply(&order, batch, cache, crash);
        json(&answer)
    }
}

/// Longest sleep of an idle engine.
const IDLE_WAIT: Duration = Duration::from_secs(1);

impl FakeServer for FakeEngine {
    fn injector(&self) -> &FaultInjector {
        &self.injector
    }

    async fn answer(self: Arc<Self>, call: Call) -> Response<Body> {
        match call.path.as_str() {
            PATH_COMPLETIONS => self.complete(&call),
            PATH_STATE => json(&self.lock().orders.state()),
            PATH_LOAD => json(&self.lock().batch.report()),
            PATH_CACHE_EVENTS => json(&self.lock().cache.events(call.query.parse().unwrap_or(0))),
            PATH_ORDER => self.order(&call),
            PATH_CANCEL => {
                self.lock().batch.cancel(&call.query);
                status(StatusCode::OK)
            }
            PATH_EXPORT => {
                let blob = self.lock().cache.export(&call.body);
                json(&blob)
            }
            PATH_IMPORT => {
                let Some(blob) = call.json::<KvBlob>() else {
                    return status(StatusCode::BAD_REQUEST);
                };
                self.lock().cache.import(&blob);
                status(StatusCode::OK)
            }
            "/history" => json(&self.lock().orders.history()),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}
