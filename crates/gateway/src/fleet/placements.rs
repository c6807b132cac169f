//! Tracks which prompt parts were sent to which engines, by this process and its peers.

use super::{Fleet, Upstream, UpstreamKey};
use crate::peers::Placement;
use platform::PromptPart;
use std::time::{Duration, Instant};

/// Maximum number of placements in one datagram.
const MAX_PLACEMENTS_PER_DATAGRAM: usize = 64;

impl Fleet {
    /// Number of prompt tokens that an engine has to prefill. An engine that is older than this
    /// process is assumed to have cached the shared parts of which it is the home.
    pub fn uncached(&self, upstream: &Upstream, parts: &[PromptPart], is_home: bool) -> u32 {
        let Some((own, shared)) = parts.split_last() else {
            return 0;
        };
        if is_home && !upstream.is_cache_known {
            return own.tokens;
        }
        own.tokens + upstream.cache.missing_tokens(shared)
    }

    /// Records that a prompt is sent to an engine for prefill.
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

    /// Merges placements that a peer reported. With `forward`, those that are new here are
    /// reported on to other processes, as the peer did not send them to all.
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

    /// Placements that were added within the given time, newest first.
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

    /// Cache size of an engine in tokens; `None` if the upstream is not an engine.
    fn cache_capacity(&self, key: UpstreamKey) -> Option<u32> {
        let service = self.get(key)?.service;
        self.info(service).engine.map(|e| e.cache_tokens)
    }
}
