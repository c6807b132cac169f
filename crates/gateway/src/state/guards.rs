//! Guards that count a request until they are dropped.

use super::Gateway;
use crate::fleet::UpstreamKey;
use crate::monotonic;
use crate::queue;
use std::sync::Arc;
use std::time::Instant;

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub struct RunningGuard(Arc<Gateway>);

impl RunningGuard {
    pub(super) fn new(gateway: Arc<Gateway>) -> Self {
        Self(gateway)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// Counts a request in the load of an upstream until it is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    gateway: Arc<Gateway>,
    key: UpstreamKey,
    tokens: u32,
    is_waiting: bool,
    is_long: bool,
    since: Instant,
}

impl LoadGuard {
    pub(super) fn new(gateway: Arc<Gateway>, key: UpstreamKey, tokens: u32, is_long: bool) -> Self {
        Self {
            gateway,
            key,
            tokens,
            is_waiting: true,
            is_long,
            since: monotonic::now(),
        }
    }

    /// Records that the first byte has arrived, which means that the prompt has been processed.
    pub fn first_byte_received(&mut self) {
        if !std::mem::take(&mut self.is_waiting) {
            return;
        }
        if let Some(upstream) = self.gateway.fleet().get_mut(self.key) {
            upstream.waiting = upstream.waiting.saturating_sub(1);
            upstream.tokens = upstream.tokens.saturating_sub(self.tokens);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let was_answered = !self.is_waiting;
        self.first_byte_received();
        let plain_service = {
            let mut fleet = self.gateway.fleet();
            let Some(upstream) = fleet.get_mut(self.key) else {
                return;
            };
            upstream.running = upstream.running.saturating_sub(1);
            upstream.streams = upstream.streams.saturating_sub(u32::from(self.is_long));
            let service = upstream.service;
            Some(service).filter(|service| fleet.info(*service).engine.is_none())
        };
        let Some(service) = plain_service else {
            return;
        };
        if was_answered {
            let took = monotonic::elapsed(self.since);
            self.gateway.queues.record_service_time(service, took);
        }
        queue::check(&self.gateway, service);
    }
}
