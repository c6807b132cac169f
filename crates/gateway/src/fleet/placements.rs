//! Which prompt parts engines were sent, by this process and by its peers.

use super::{Fleet, Upstream, UpstreamKey};
use crate::peers::Placement;
use platform::PromptPart;
use std::time::{Duration, Instant};

/// Most placements that one datagram tells of.
const MAX_PLACEMENTS_PER_DATAGRAM: usize = 64;

impl Fleet {
    /// Tokens of a prompt that an engine has to read. An engine that has run since
    /// before this process is taken to hold the shared parts whose home it is.
    pub fn uncached(&self, upstream: &Upstream, parts: &[PromptPart], is_home: bool) -> u32 {
        let Some((own, shared)) = parts.split_last() else {
            return 0;
        };
        if is_home && !upstream.is_cache_known {
            return own.tokens;
        }
        own.tokens + upstream.cache.missing_tokens(shared)
    }

    /// Notes that a prompt is sent to an engine to be read.
    pub fn record_parts(&mut self, key: UpstreamKey, parts: &[PromptPart], now: Instant) {
        let Some((_, shared)) = parts.split_last() else {
            return;
        };
        let Some(memory) = self.cache_capacity(key) else {
            return;
        };
        let Some(upstream) = self.get_mut(key) else {
            return;
        };
        let tag = upstream.tag();
        let mut new = Vec::new();
        for part in shared {
            if upstream.cache.record(*part, memory, now) {
                new.push(Placement {
                    upstream: tag,
                    part: part.id,
                    tokens: part.tokens,
                });
            }
        }
        self.placements.extend(new.into_iter().map(|p| (now, p)));
    }

    /// Takes a peer's word of parts that were sent somewhere. Those that are new here
    /// are told on, if the peer didn't tell all processes itself.
    pub fn merge_placements(&mut self, placements: &[Placement], forward: bool, now: Instant) {
        for placement in placements {
            if self.merge_placement(placement, now) && forward {
                self.placements.push_back((now, *placement));
            }
        }
    }

    fn merge_placement(&mut self, placement: &Placement, now: Instant) -> bool {
        let Some(key) = self.key_of_tag(placement.upstream) else {
            return false;
        };
        let Some(memory) = self.cache_capacity(key) else {
            return false;
        };
        let part = PromptPart {
            id: placement.part,
            tokens: placement.tokens,
        };
        let upstream = self.get_mut(key);
        upstream.is_some_and(|u| u.cache.record(part, memory, now))
    }

    /// Parts that this process has first sent somewhere within a time.
    pub fn recent_placements(&mut self, within: Duration, now: Instant) -> Vec<Placement> {
        while let Some((at, _)) = self.placements.front() {
            if now.saturating_duration_since(*at) <= within {
                break;
            }
            self.placements.pop_front();
        }
        let newest = self
            .placements
            .iter()
            .rev()
            .take(MAX_PLACEMENTS_PER_DATAGRAM);
        newest.map(|(_, p)| *p).collect()
    }

    /// Tokens that an engine's memory holds; none if it isn't an engine.
    fn cache_capacity(&self, key: UpstreamKey) -> Option<u32> {
        let service = self.get(key)?.service;
        self.info(service).engine.map(|e| e.cache_tokens)
    }
}
