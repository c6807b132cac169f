//! Takes what the registry says of upstreams.
//!
//! Of two rows of an id the store's version says which is newer, never the start: an
//! upstream's clock may jump back between two starts.

use super::{ArenaSlot, CONNECT_TIMEOUT, Fleet, Upstream, UpstreamKey, id_hash};
use net::{Meter, Pool};
use platform::{Instance, Start};

/// What the registry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// An upstream is new, and may get requests.
    Added(UpstreamKey),
    /// An upstream has started again under its id; all that was known of the start before
    /// is dropped.
    Restarted {
        /// The new start.
        key: UpstreamKey,
        /// The one before, if it was known.
        before: Option<Start>,
    },
    /// An upstream that was known says that it will stop.
    Draining(UpstreamKey),
    /// An engine that was known does something else with prompts.
    StageChanged(UpstreamKey),
    /// Something else changed.
    Changed,
    /// Nothing changed.
    Unchanged,
    /// The row is of a start that was replaced by another, and changes nothing.
    StaleStart,
    /// The row tells no start, though others of its id did: it names no upstream.
    MissingStart,
}

impl Fleet {
    /// Takes an upstream's entry from the registry.
    pub fn merge(&mut self, instance: Instance, meter: &Meter) -> MergeOutcome {
        let id = id_hash(&instance.id);
        let known = self.key_of(id);
        if known.is_some_and(|key| self.is_known_newer(key, &instance)) {
            return MergeOutcome::Unchanged;
        }
        match instance.start {
            None if self.starts.is_known(id) => return MergeOutcome::MissingStart,
            Some(start) if self.starts.is_replaced(id, start) => return MergeOutcome::StaleStart,
            Some(start) => self.starts.record(id, start),
            None => {}
        }
        let Some(key) = known else {
            return MergeOutcome::Added(self.add(instance, meter, self.new_caches_empty));
        };
        let before = self.get(key).and_then(|u| u.instance.start);
        if instance.start == before {
            return self.update(key, instance, meter);
        }
        self.remove(key);
        let key = self.add(instance, meter, true);
        MergeOutcome::Restarted { key, before }
    }

    /// Whether a row isn't newer than what is known of its id. That its start drains
    /// counts from whichever row: none calls it back within one start, so all processes
    /// come to the same, in whatever order they read.
    fn is_known_newer(&self, key: UpstreamKey, row: &Instance) -> bool {
        let Some(Upstream { instance, .. }) = self.get(key) else {
            return false;
        };
        let drains_only_there = row.is_draining && !instance.is_draining;
        let tells_draining = row.start == instance.start && drains_only_there;
        row.row <= instance.row && !tells_draining
    }

    /// Takes a row of the start that is known.
    fn update(&mut self, key: UpstreamKey, instance: Instance, meter: &Meter) -> MergeOutcome {
        let service = self.intern_service(&instance.service);
        let Some(known) = self.get_mut(key) else {
            return MergeOutcome::Unchanged;
        };
        let starts_draining = instance.is_draining && !known.instance.is_draining;
        if instance.row <= known.instance.row {
            let before = instance_hash(&known.instance);
            known.instance.is_draining = true;
            let after = instance_hash(&known.instance);
            self.view = self.view.wrapping_sub(before).wrapping_add(after);
            return MergeOutcome::Draining(key);
        }
        let instance = Instance {
            // A registration that arrives late must not call a leaving one back.
            is_draining: instance.is_draining || known.instance.is_draining,
            ..instance
        };
        let is_restaged = instance.stage != known.instance.stage;
        if is_restaged {
            known.handle_stage_change(instance.stage);
        }
        if instance.addr != known.instance.addr {
            known.pool.close_idle();
            known.pool = Pool::new(instance.addr, CONNECT_TIMEOUT).metered(meter);
        }
        known.service = service;
        let is_changed = !is_equal_except_row(&instance, &known.instance);
        let before = instance_hash(&known.instance);
        known.instance = instance;
        let after = instance_hash(&known.instance);
        self.view = self.view.wrapping_sub(before).wrapping_add(after);
        match (starts_draining, is_restaged, is_changed) {
            (true, ..) => MergeOutcome::Draining(key),
            (false, true, _) => MergeOutcome::StageChanged(key),
            (false, false, true) => MergeOutcome::Changed,
            (false, false, false) => MergeOutcome::Unchanged,
        }
    }

    fn add(&mut self, instance: Instance, meter: &Meter, has_just_started: bool) -> UpstreamKey {
        let service = self.intern_service(&instance.service);
        self.view = self.view.wrapping_add(instance_hash(&instance));
        let pool = Pool::new(instance.addr, CONNECT_TIMEOUT).metered(meter);
        let upstream = Upstream::new(service, instance, pool, has_just_started);
        let (hash, tag) = (upstream.hash, upstream.tag());
        let index = self.free_slots.pop().unwrap_or_else(|| {
            self.arena.push(ArenaSlot {
                generation: 0,
                upstream: None,
            });
            self.arena.len() as u32 - 1
        });
        let slot = &mut self.arena[index as usize];
        slot.generation += 1;
        slot.upstream = Some(upstream);
        let key = UpstreamKey {
            index,
            generation: slot.generation,
        };
        let at = self.by_hash.partition_point(|(h, _)| *h < hash);
        self.by_hash.insert(at, (hash, key));
        let at = self.by_tag.partition_point(|(t, _)| *t < tag);
        self.by_tag.insert(at, (tag, key));
        key
    }

    /// Forgets an upstream that is gone from the registry.
    pub fn remove(&mut self, key: UpstreamKey) -> Option<Upstream> {
        let hash = self.get(key)?.hash;
        if let Ok(at) = self.by_hash.binary_search_by_key(&hash, |(h, _)| *h) {
            self.by_hash.remove(at);
        }
        // Two upstreams may have one tag, so the key decides.
        self.by_tag.retain(|(_, tagged)| *tagged != key);
        self.free_slots.push(key.index);
        let removed = self.arena[key.index as usize].upstream.take()?;
        removed.pool.close_idle();
        self.view = self.view.wrapping_sub(instance_hash(&removed.instance));
        Some(removed)
    }
}

/// Whether two rows of a start say the same.
fn is_equal_except_row(a: &Instance, b: &Instance) -> bool {
    let row = a.row;
    *a == Instance { row, ..b.clone() }
}

/// Hash of what the registry says of an upstream, as far as requests depend on it. The
/// row's version is none of it: it rises with each heartbeat, which peers aren't told.
fn instance_hash(instance: &Instance) -> u64 {
    let Instance {
        id, service, addr, ..
    } = instance;
    let (stage, is_draining) = (instance.stage, instance.is_draining);
    let start = instance.start;
    let text = format!("{id} {start:?} {service} {addr} {stage:?} {is_draining}");
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
