//! What this process believes of the upstreams.
//!
//! Upstreams come from the registry and stand in an arena under small keys; a
//! key of an upstream that is gone finds nothing. Beside what the registry says
//! stands what this process has seen itself: its own requests there, how long
//! first bytes take, failures, and which prompt parts were sent there.

pub mod cache;
pub mod durations;
pub mod latency;
mod merge;
mod placements;
mod starts;
mod upstream;

pub use merge::MergeOutcome;
pub use upstream::{PeerLoad, Upstream};

use crate::peers::{Changing, Placement};
use durations::{DurationSnapshot, Durations};
use latency::{Backlog, LatencyModel, Task};
use platform::{Engine, Scaling, Service, Start};
use starts::StartHistory;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Longest wait for a connection to an upstream. Within a region a connection
/// takes a few milliseconds; a host that is cut off never answers, and the
/// request must still reach another in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that a move of memory between engines takes besides its bytes.
const TRANSFER_SETUP_MS: f64 = 5.0;
/// A service by its place in the fleet's list. Services are never forgotten, so
/// a key stays valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceKey(u16);

/// An upstream by its place in the arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamKey {
    index: u32,
    generation: u32,
}

/// What is known of a service as a whole.
#[derive(Debug)]
pub struct ServiceInfo {
    /// Its name.
    pub name: String,
    /// Figures of its engines; none for a plain service.
    pub engine: Option<Engine>,
    /// Bounds on the number of its upstreams, if that is ours to choose.
    pub scaling: Option<Scaling>,
    /// Measured speeds of its upstreams, by task.
    latency_models: [LatencyModel; 3],
    /// How long its answers take.
    durations: Durations,
}

#[derive(Debug)]
struct ArenaSlot {
    generation: u32,
    upstream: Option<Upstream>,
}

/// All upstreams and services.
#[derive(Debug, Default)]
pub struct Fleet {
    services: Vec<ServiceInfo>,
    arena: Vec<ArenaSlot>,
    /// Slots without an upstream.
    free_slots: Vec<u32>,
    /// Keys by the hash of the upstream's id, sorted: each heartbeat in the registry
    /// looks one up.
    by_hash: Vec<(u64, UpstreamKey)>,
    /// Keys by the tag of the upstream's start, sorted: each datagram of a peer looks
    /// some up.
    by_tag: Vec<(u32, UpstreamKey)>,
    /// Starts of ids, to tell one that was replaced.
    starts: StartHistory,
    /// Sum of the hashes of what the registry says of each upstream. The order in
    /// which upstreams came differs between processes; a sum doesn't depend on it.
    view: u64,
    /// Whether engines that are added now have just started.
    new_caches_empty: bool,
    /// Parts that this process was the first to send somewhere, as far as it knows,
    /// with the time.
    placements: VecDeque<(Instant, Placement)>,
}

impl Fleet {
    /// The key of a service; one that is new gets a key.
    pub fn intern_service(&mut self, name: &str) -> ServiceKey {
        let known = self.services.iter().position(|s| s.name == name);
        let at = known.unwrap_or_else(|| {
            self.services.push(ServiceInfo::new(name));
            self.services.len() - 1
        });
        ServiceKey(at as u16)
    }

    /// Takes a service's figures from the configuration.
    pub fn configure(&mut self, service: &Service) {
        let key = self.intern_service(&service.name);
        let info = &mut self.services[usize::from(key.0)];
        info.engine = service.engine;
        info.scaling = service.scaling;
    }

    /// A service by its key.
    pub fn info(&self, key: ServiceKey) -> &ServiceInfo {
        &self.services[usize::from(key.0)]
    }

    /// The measured speed of a service's upstreams at a task.
    pub fn latency_model_mut(&mut self, key: ServiceKey, task: Task) -> &mut LatencyModel {
        &mut self.services[usize::from(key.0)].latency_models[task as usize]
    }

    /// How long a service's answers take.
    pub fn durations_mut(&mut self, key: ServiceKey) -> &mut Durations {
        &mut self.services[usize::from(key.0)].durations
    }

    /// What another process may take of how long answers take.
    pub fn duration_snapshots(&self, now: Instant) -> Vec<DurationSnapshot> {
        let services = self.services.iter();
        let snapshots = services.filter_map(|s| s.durations.snapshot(&s.name, now));
        snapshots.collect()
    }

    /// Takes what another process has seen of how long answers take, of services that are
    /// known here.
    pub fn merge_durations(&mut self, all: &[DurationSnapshot], now: Instant) {
        for snapshot in all {
            let known = self
                .services
                .iter_mut()
                .find(|s| s.name == snapshot.service);
            if let Some(service) = known {
                service.durations.merge(snapshot, now);
            }
        }
    }

    /// An upstream, if it is still known.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        let slot = self.arena.get(key.index as usize)?;
        let is_same = slot.generation == key.generation;
        slot.upstream.as_ref().filter(|_| is_same)
    }

    /// An upstream for changes, if it is still known.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        let slot = self.arena.get_mut(key.index as usize)?;
        let is_same = slot.generation == key.generation;
        slot.upstream.as_mut().filter(|_| is_same)
    }

    /// All upstreams with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let arena = self.arena.iter().enumerate();
        arena.filter_map(|(index, slot)| {
            let key = UpstreamKey {
                index: index as u32,
                generation: slot.generation,
            };
            slot.upstream.as_ref().map(|u| (key, u))
        })
    }

    /// The upstream with an id.
    pub fn find(&self, id: &str) -> Option<UpstreamKey> {
        self.key_of(id_hash(id))
    }

    /// Whether an id stands for another start now than the one with a key.
    pub fn has_restarted(&self, key: UpstreamKey, id: &str) -> bool {
        self.find(id).is_some_and(|now| now != key)
    }

    fn key_of(&self, hash: u64) -> Option<UpstreamKey> {
        let at = self.by_hash.binary_search_by_key(&hash, |(h, _)| *h);
        at.ok().map(|at| self.by_hash[at].1)
    }

    /// Estimated time to the first byte of a request that an upstream is sent now,
    /// in milliseconds.
    pub fn estimate_ms(&self, upstream: &Upstream, task: Task, uncached: u32) -> f64 {
        let model = self.info(upstream.service).latency_model(task);
        model.estimate(upstream.backlog(uncached)) * upstream.slowdown.factor()
    }

    /// Notes that engines which are added from now on have just started: so it is
    /// once the registry was read, and all along when the whole system starts.
    pub fn assume_empty_caches(&mut self) {
        self.new_caches_empty = true;
    }

    /// Services whose upstreams are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = ServiceKey> {
        let all = self.services.iter().enumerate();
        all.filter(|(_, s)| s.engine.is_some())
            .map(|(at, _)| ServiceKey(at as u16))
    }

    /// Services whose number of upstreams is ours to choose, with its bounds.
    pub fn scaled_services(&self) -> Vec<(ServiceKey, Scaling)> {
        let all = self.services.iter().enumerate();
        all.filter_map(|(at, s)| Some((ServiceKey(at as u16), s.scaling?)))
            .collect()
    }

    /// Engines that are away for a change that was ordered.
    pub fn changing(&self, now: Instant) -> Vec<Changing> {
        let changing = self.iter().filter_map(|(_, u)| {
            Some(Changing {
                upstream: u.tag(),
                left_ms: u.change_remaining(now)?.as_millis() as u32,
            })
        });
        changing.collect()
    }

    /// Estimated time to the first byte at an idle upstream that is as fast as its
    /// kind, in milliseconds.
    pub fn idle_estimate_ms(&self, upstream: &Upstream, task: Task, uncached: u32) -> f64 {
        let backlog = Backlog {
            prompts: 0.0,
            tokens: f64::from(uncached),
            slot_turnovers: 0.0,
        };
        self.info(upstream.service)
            .latency_model(task)
            .estimate(backlog)
    }

    /// Time in which so many tokens move from one engine's memory to another's.
    pub fn transfer_ms(&self, from: &Upstream, to: &Upstream, tokens: u32) -> f64 {
        let Some(engine) = self.info(from.service).engine else {
            return 0.0;
        };
        let bits = f64::from(tokens) * engine.token_bytes * 8.0;
        let ms = bits / engine.link_mbps.max(1.0) / 1000.0;
        match from.instance.zone == to.instance.zone {
            true => TRANSFER_SETUP_MS + ms,
            false => TRANSFER_SETUP_MS + 2.0 * ms,
        }
    }

    /// The upstream with a tag, for changes.
    pub fn get_mut_by_tag(&mut self, tag: u32) -> Option<&mut Upstream> {
        self.get_mut(self.key_of_tag(tag)?)
    }

    fn key_of_tag(&self, tag: u32) -> Option<UpstreamKey> {
        let at = self.by_tag.binary_search_by_key(&tag, |(t, _)| *t);
        at.ok().map(|at| self.by_tag[at].1)
    }

    /// Upstreams that are known.
    pub fn len(&self) -> usize {
        self.by_hash.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.by_hash.is_empty()
    }

    /// Hash of all that the registry says of upstreams. Two processes with the
    /// same hash know the same.
    pub fn view(&self) -> u64 {
        self.view
    }
}

/// Part of the hash of an upstream's id and start by which processes tell of it, so that
/// what a peer says of an earlier start counts for none. Among 600 upstreams two have the
/// same once in 24,000 fleets; their loads would be mixed up then.
///
/// The start is hashed along with the id: as a seed of the hash it would only be added to
/// what is hashed of a short id, and two ids that differ in a bit would have the same tag
/// once their starts differ in that bit too.
fn tag_of(id: &str, start: Option<Start>) -> u32 {
    let start = start.map_or(0, |Start(ms)| ms);
    let text = [id.as_bytes(), &start.to_le_bytes()].concat();
    (xxhash_rust::xxh3::xxh3_64(&text) >> 32) as u32
}

/// Hash of an upstream's id.
fn id_hash(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

impl ServiceInfo {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            engine: None,
            scaling: None,
            latency_models: [Task::Generate, Task::Prefill, Task::Decode]
                .map(LatencyModel::for_task),
            durations: Durations::default(),
        }
    }

    /// How long the service's answers take.
    pub fn durations(&self) -> &Durations {
        &self.durations
    }

    /// The measured speed of the service's upstreams at a task.
    pub fn latency_model(&self, task: Task) -> &LatencyModel {
        &self.latency_models[task as usize]
    }
}
