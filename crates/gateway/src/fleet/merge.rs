//! Applies registry entries to the fleet.
//!
//! The newer of two rows with the same id is determined by its position in the store and not by
//! the start, as an upstream's clock may jump back between two starts.

use super::{ArenaSlot, CONNECT_TIMEOUT, Fleet, Upstream, UpstreamKey, id_hash, tag_of};
use crate::monotonic;
use net::{Meter, Pool};
use platform::{Instance, Start};

/// Maximum number of removed starts that are remembered.
const MAX_REMOVED: usize = 1024;

/// Effect of a registry entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// A new upstream, which can receive requests.
    Added(UpstreamKey),
    /// The upstream has restarted under its id. The state of the earlier start was dropped.
    Restarted {
        /// Key of the new start.
        key: UpstreamKey,
        /// The earlier start, if known.
        before: Option<Start>,
        /// Tag of the earlier start if it had another software version.
        replaced: Option<u32>,
    },
    /// The upstream will stop.
    Draining(UpstreamKey),
    /// The engine has changed its stage.
    StageChanged(UpstreamKey),
    /// Other fields changed.
    Changed,
    /// Nothing changed.
    Unchanged,
    /// The row belongs to a start that was replaced, and is ignored.
    StaleStart,
    /// The row has no start although earlier rows of its id had one, and is ignored.
    MissingStart,
}

impl Fleet {
    /// Applies an upstream's registry entry.
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
        let is_same_version =
            |known: &Upstream| known.instance.software_version == instance.software_version;
        if instance.start == before && self.get(key).is_some_and(is_same_version) {
            return self.update(key, instance, meter);
        }
        let former = self.get(key).map(|known| (known.tag(), known.version()));
        self.remove(key);
        let key = self.add(instance, meter, true);
        let replaced = former.filter(|(_, version)| {
            let new = self.get(key).map(Upstream::version);
            new != Some(*version)
        });
        MergeOutcome::Restarted {
            key,
            before,
            replaced: replaced.map(|(tag, _)| tag),
        }
    }

    /// Whether a row is not newer than the known one. A row that reports the known start as
    /// draining is always applied: draining is never revoked within a start, so all processes
    /// reach the same state in whatever order they read.
    fn is_known_newer(&self, key: UpstreamKey, row: &Instance) -> bool {
        let Some(Upstream { instance, .. }) = self.get(key) else {
            return false;
        };
        let drains_only_there = row.is_draining && !instance.is_draining;
        let tells_draining = row.start == instance.start && drains_only_there;
        row.row <= instance.row && !tells_draining
    }

    /// Applies a row of the start that is known.
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
            // A late registration must not revoke draining.
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
        let mut upstream = Upstream::new(service, instance, pool, has_just_started);
        upstream.stated = self.take_statements(upstream.tag());
        self.removed.retain(|tag| *tag != upstream.tag());
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

    /// Whether this start of an upstream was removed, and hasn't been added again since.
    pub fn was_removed(&self, instance: &Instance) -> bool {
        let tag = tag_of(instance);
        self.removed.contains(&tag)
    }

    /// Removes an upstream that is no longer in the registry.
    pub fn remove(&mut self, key: UpstreamKey) -> Option<Upstream> {
        let hash = self.get(key)?.hash;
        if let Ok(at) = self.by_hash.binary_search_by_key(&hash, |(h, _)| *h) {
            self.by_hash.remove(at);
        }
        // Two upstreams may share a tag, so entries are compared by key.
        self.by_tag.retain(|(_, tagged)| *tagged != key);
        self.free_slots.push(key.index);
        let mut removed = self.arena[key.index as usize].upstream.take()?;
        if self.removed.len() >= MAX_REMOVED {
            self.removed.pop_front();
        }
        self.removed.push_back(removed.tag());
        self.keep_statements(&mut removed);
        let service = &mut self.services[usize::from(removed.service.0)];
        let now = monotonic::now();
        service.former_versions.record_left(removed.version(), now);
        removed.pool.close_idle();
        self.view = self.view.wrapping_sub(instance_hash(&removed.instance));
        Some(removed)
    }
}

/// Whether two rows are equal apart from their positions.
fn is_equal_except_row(a: &Instance, b: &Instance) -> bool {
    let row = a.row;
    *a == Instance { row, ..b.clone() }
}

/// Hash of the fields of a registry entry that matter for requests. The position is excluded: it changes with each heartbeat, about which peers are not notified.
fn instance_hash(instance: &Instance) -> u64 {
    let Instance {
        id, service, addr, ..
    } = instance;
    let (stage, is_draining) = (instance.stage, instance.is_draining);
    let start = instance.start;
    let version = &instance.software_version;
    let text = format!("{id} {start:?} {service} {addr} {stage:?} {is_draining} {version:?}");
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
