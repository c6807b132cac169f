//! State of all upstreams and services, as known to this process.
//!
//! Upstreams are added from the registry and stored in an arena. A key contains a generation, so
//! the key of a removed upstream finds nothing. Besides the registry entry, the state has what
//! this process observed: its own requests, times to first bytes, failures, and which prompt
//! parts were sent where.

pub mod cache;
pub mod durations;
pub mod latency;
mod merge;
pub mod named_limit;
mod placements;
pub mod saturation;
mod starts;
pub mod stated;
mod upstream;

pub use merge::MergeOutcome;
pub use saturation::PlainCapacity;
pub use upstream::{AtLimit, PeerLoad, Upstream};

use crate::monotonic;
use crate::peers::{Placement, StageChange};
use durations::{DurationSnapshot, Durations};
use latency::{Backlog, LatencyModel, Task};

use origins::{NameHash, ServiceVersion, VERSION_LIFETIME, VersionHistory};
use platform::{Engine, Instance, Scaling, Service, Start};
use starts::StartHistory;
use stated::Statements;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Timeout for connecting to an upstream. A connection within a region takes a few milliseconds.
/// An unreachable host never answers, and there must be time left to try another.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Fixed part of the time to transfer a KV cache between engines.
const TRANSFER_SETUP_MS: f64 = 5.0;
/// Index of a service. Services are never removed, so a key remains valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceKey(u16);

/// Index and generation of an upstream in the arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamKey {
    index: u32,
    generation: u32,
}

/// State of a service.
#[derive(Debug)]
pub struct ServiceInfo {
    /// Name of the service.
    pub name: String,
    /// Parameters of its engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Bounds on the number of its upstreams; `None` if the number is not managed here.
    pub scaling: Option<Scaling>,
    /// Latency models of its upstreams, indexed by [`Task`].
    latency_models: [LatencyModel; 3],
    /// Durations of its answers.
    durations: Durations,
    /// Software versions whose upstreams have left.
    former_versions: VersionHistory,
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
    /// Indexes of arena slots without an upstream.
    free_slots: Vec<u32>,
    /// Keys by the hash of the upstream's id, sorted. Each heartbeat in the registry causes a
    /// lookup.
    by_hash: Vec<(u64, UpstreamKey)>,
    /// Keys by the tag of the upstream's start, sorted. Each datagram from a peer causes lookups.
    by_tag: Vec<(u32, UpstreamKey)>,
    /// Known starts per id, to detect entries of replaced ones.
    starts: StartHistory,
    /// Sum of the hashes of all registry entries. Upstreams are added in different orders by
    /// different processes, and a sum doesn't depend on the order.
    view: u64,
    /// Whether engines that are added from now on have just started, with empty caches.
    new_caches_empty: bool,
    /// Prompt parts that this process was the first to send to an engine, as far as it knows,
    /// with the times.
    placements: VecDeque<(Instant, Placement)>,
    /// Statements of removed upstreams by the tag of their start, oldest first.
    former: VecDeque<(u32, Statements)>,
    /// Tags of the starts of removed upstreams, oldest first.
    removed: VecDeque<u32>,
    /// Former versions of services that are not interned yet, with the times at which their
    /// upstreams left.
    former_of_unknown_services: Vec<(ServiceVersion, Instant)>,
}

impl Fleet {
    /// Returns the key of a service, and adds the service if it is new.
    pub fn intern_service(&mut self, name: &str) -> ServiceKey {
        let known = self.services.iter().position(|s| s.name == name);
        let at = known.unwrap_or_else(|| {
            self.add_service(name);
            self.services.len() - 1
        });
        ServiceKey(at as u16)
    }

    fn add_service(&mut self, name: &str) {
        let mut info = ServiceInfo::new(name);
        let (service, now) = (info.name_hash(), monotonic::now());
        self.former_of_unknown_services.retain(|(of, left_at)| {
            if of.service == service {
                info.former_versions
                    .record_left_at(of.version, *left_at, now);
            }
            of.service != service
        });
        self.services.push(info);
    }

    /// Sets a service's parameters from the configuration.
    pub fn configure(&mut self, service: &Service) {
        let key = self.intern_service(&service.name);
        let info = &mut self.services[usize::from(key.0)];
        info.engine = service.engine;
        info.scaling = service.scaling;
    }

    /// Returns the state of a service.
    pub fn info(&self, key: ServiceKey) -> &ServiceInfo {
        &self.services[usize::from(key.0)]
    }

    /// Latency model of a service's upstreams for a task.
    pub fn latency_model_mut(&mut self, key: ServiceKey, task: Task) -> &mut LatencyModel {
        &mut self.services[usize::from(key.0)].latency_models[task as usize]
    }

    /// Durations of a service's answers.
    pub fn durations_mut(&mut self, key: ServiceKey) -> &mut Durations {
        &mut self.services[usize::from(key.0)].durations
    }

    /// Durations of answers, for other processes.
    pub fn duration_snapshots(&self, now: Instant) -> Vec<DurationSnapshot> {
        let services = self.services.iter();
        let snapshots = services.filter_map(|s| s.durations.snapshot(&s.name, now));
        snapshots.collect()
    }

    /// Merges durations that another process observed. Unknown services are ignored.
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

    /// Returns an upstream, unless it was removed.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        let slot = self.arena.get(key.index as usize)?;
        let is_same = slot.generation == key.generation;
        slot.upstream.as_ref().filter(|_| is_same)
    }

    /// Returns an upstream mutably, unless it was removed.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        let slot = self.arena.get_mut(key.index as usize)?;
        let is_same = slot.generation == key.generation;
        slot.upstream.as_mut().filter(|_| is_same)
    }

    /// Iterates over all upstreams and their keys.
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

    /// Finds an upstream by its id.
    pub fn find(&self, id: &str) -> Option<UpstreamKey> {
        self.key_of(id_hash(id))
    }

    /// Whether the id now belongs to a later start than the one with the given key.
    pub fn has_restarted(&self, key: UpstreamKey, id: &str) -> bool {
        self.find(id).is_some_and(|now| now != key)
    }

    fn key_of(&self, hash: u64) -> Option<UpstreamKey> {
        let at = self.by_hash.binary_search_by_key(&hash, |(h, _)| *h);
        at.ok().map(|at| self.by_hash[at].1)
    }

    /// Estimated time to the first byte of a request that is sent to an upstream now, in
    /// milliseconds.
    pub fn estimate_ms(&self, upstream: &Upstream, task: Task, uncached: u32) -> f64 {
        let model = self.info(upstream.service).latency_model(task);
        model.estimate(upstream.backlog(uncached)) * upstream.slowdown.factor()
    }

    /// Records the measured time to the first byte of a request, in milliseconds, and the backlog
    /// when it was sent.
    pub fn record_first_byte(&mut self, key: UpstreamKey, task: Task, backlog: Backlog, ms: f64) {
        let Some(upstream) = self.get(key) else {
            return;
        };
        let (service, slowdown) = (upstream.service, upstream.slowdown.factor());
        let model = self.latency_model_mut(service, task);
        let estimate = model.estimate(backlog);
        model.add_sample(backlog, ms / slowdown);
        if let Some(upstream) = self.get_mut(key) {
            upstream.slowdown.add_sample(ms, estimate);
        }
    }

    /// Treats engines that are added from now on as newly started, with empty caches. This holds
    /// once the registry has been read, and from the beginning if the whole system starts.
    pub fn assume_empty_caches(&mut self) {
        self.new_caches_empty = true;
    }

    /// Services whose upstreams are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = ServiceKey> {
        let all = self.services.iter().enumerate();
        all.filter(|(_, s)| s.engine.is_some())
            .map(|(at, _)| ServiceKey(at as u16))
    }

    /// Services whose number of upstreams is managed here, with the bounds.
    pub fn scaled_services(&self) -> Vec<(ServiceKey, Scaling)> {
        let all = self.services.iter().enumerate();
        all.filter_map(|(at, s)| Some((ServiceKey(at as u16), s.scaling?)))
            .collect()
    }

    /// Engines that are unavailable because of an ordered stage change.
    pub fn changing(&self, now: Instant) -> Vec<StageChange> {
        let changing = self.iter().filter_map(|(_, u)| {
            Some(StageChange {
                upstream: u.tag(),
                left_ms: u.change_remaining(now)?.as_millis() as u32,
            })
        });
        changing.collect()
    }

    /// Estimated time to the first byte at an idle upstream without a slowdown, in milliseconds.
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

    /// Estimated time to transfer the KV cache of a number of tokens between two engines, in
    /// milliseconds.
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

    /// The only software version of a service for longer than any stream lasts, if it is known;
    /// see [`VersionHistory::only_version`].
    pub fn only_version(&self, service: ServiceKey, now: Instant) -> Option<NameHash> {
        let of_service = self.iter().filter(|(_, u)| u.service == service);
        let present = of_service.map(|(_, u)| u.version());
        self.info(service)
            .former_versions
            .only_version(present, now)
    }

    /// Versions of all registered upstreams, sorted and without duplicates.
    pub fn present_versions(&self) -> Vec<ServiceVersion> {
        let versions = self.iter().map(|(_, u)| ServiceVersion {
            service: self.info(u.service).name_hash(),
            version: u.version(),
        });
        let mut versions: Vec<ServiceVersion> = versions.collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Services that may have open streams of more than one version, sorted.
    pub fn services_with_several_versions(&self, now: Instant) -> Vec<NameHash> {
        let mut versions = self.present_versions();
        versions.extend(self.former_versions(now).into_iter().map(|(of, _)| of));
        versions.sort_unstable();
        versions.dedup();
        let by_service = versions.chunk_by(|a, b| a.service == b.service);
        let several = by_service.filter(|versions| versions.len() > 1);
        several.map(|versions| versions[0].service).collect()
    }

    /// Versions whose upstreams left within [`VERSION_LIFETIME`], with the times at which they left.
    pub fn former_versions(&self, now: Instant) -> Vec<(ServiceVersion, Instant)> {
        let known = self.services.iter().flat_map(|info| {
            let service = info.name_hash();
            let former = info.former_versions.former(now);
            former.map(move |(version, at)| (ServiceVersion { service, version }, at))
        });
        let unknown = self.former_of_unknown_services.iter().copied();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < VERSION_LIFETIME;
        known
            .chain(unknown)
            .filter(|(_, at)| is_recent(*at))
            .collect()
    }

    /// Records that upstreams of a version left at `left_at`, as reported by another process.
    pub fn record_left(&mut self, of: ServiceVersion, left_at: Instant, now: Instant) {
        let mut services = self.services.iter_mut();
        match services.find(|info| info.name_hash() == of.service) {
            Some(info) => info
                .former_versions
                .record_left_at(of.version, left_at, now),
            None => self.former_of_unknown_services.push((of, left_at)),
        }
    }

    /// Name of a software version of a service, if an upstream has it.
    pub fn version_name(&self, service: ServiceKey, version: NameHash) -> Option<&str> {
        let mut of_service = self.iter().filter(|(_, u)| u.service == service);
        let found = of_service.find(|(_, u)| u.version() == version);
        found.and_then(|(_, u)| u.instance.software_version.as_deref())
    }

    /// Finds an upstream by the tag of its start.
    pub fn get_mut_by_tag(&mut self, tag: u32) -> Option<&mut Upstream> {
        self.get_mut(self.key_of_tag(tag)?)
    }

    /// Whether the upstream start with this tag is current.
    pub fn has_start(&self, tag: u32) -> bool {
        self.key_of_tag(tag).is_some()
    }

    fn key_of_tag(&self, tag: u32) -> Option<UpstreamKey> {
        let at = self.by_tag.binary_search_by_key(&tag, |(t, _)| *t);
        at.ok().map(|at| self.by_tag[at].1)
    }

    /// Capacity of a plain service's upstreams. Without any that is available nothing is limited, so
    /// that no request waits for one.
    pub fn plain_capacity(&mut self, service: ServiceKey, now: Instant) -> PlainCapacity {
        let mut capacity = PlainCapacity::default();
        let mut limit = None;
        let mut is_unlimited = false;
        let slots = self
            .arena
            .iter_mut()
            .filter_map(|slot| slot.upstream.as_mut());
        for upstream in slots.filter(|u| u.service == service) {
            if !upstream.is_open() || upstream.is_suspended(now) || upstream.is_paused(now) {
                continue;
            }
            capacity.running += upstream.running;
            capacity.peer_demand += upstream.peer_load.demand();
            let running = upstream.all_running();
            let Some(max) = upstream.saturation.limit(upstream.instance.slots, now) else {
                is_unlimited = true;
                continue;
            };
            *limit.get_or_insert(0) += max;
            if running >= max {
                upstream.saturation.record_full(now);
            } else if !upstream.saturation.is_rejecting(now) {
                capacity.free += max - running;
            }
        }
        capacity.limit = limit.filter(|_| !is_unlimited);
        capacity
    }

    /// Sets the number of this process's requests that wait for an upstream of a plain service, for
    /// the reports to peers.
    pub fn set_queued(&mut self, service: ServiceKey, count: usize) {
        let all = self
            .arena
            .iter_mut()
            .filter_map(|slot| slot.upstream.as_mut());
        let of_service = all.filter(|u| u.service == service);
        let (mut open, leaving): (Vec<_>, Vec<_>) = of_service.partition(|u| u.is_open());
        let upstreams = open.len().max(1);
        for (at, upstream) in open.iter_mut().enumerate() {
            let part = (count + upstreams - 1 - at) / upstreams;
            upstream.queued = u32::try_from(part).unwrap_or(u32::MAX);
        }
        leaving.into_iter().for_each(|upstream| upstream.queued = 0);
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.by_hash.len()
    }

    /// Whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.by_hash.is_empty()
    }

    /// Hash of the registry entries of all upstreams. Processes with equal hashes have the same
    /// information.
    pub fn view(&self) -> u64 {
        self.view
    }
}

/// Tag of an upstream's start: half of the hash of its id, start and software version. Peers identify upstreams by
/// it, so that loads reported for an earlier start are ignored. Of 600 upstreams, two share a tag
/// in one of 24,000 fleets, and their loads would then be mixed up.
///
/// The start is part of the hashed text and not the seed: a seed would only be added to the
/// hashed bytes of a short id, and two ids that differ in one bit would have the same tag if
/// their starts also differ in that bit.
fn tag_of(instance: &Instance) -> u32 {
    let start = instance.start.map_or(0, |Start(ms)| ms);
    let version = instance.software_version.as_deref().unwrap_or_default();
    let parts = [
        instance.id.as_bytes(),
        &start.to_le_bytes(),
        version.as_bytes(),
    ];
    (xxhash_rust::xxh3::xxh3_64(&parts.concat()) >> 32) as u32
}

/// Hash of an upstream's software version. One that states none has a version of its own, as it
/// isn't known to be the same as any other.
pub(crate) fn version_of(instance: &Instance) -> NameHash {
    match &instance.software_version {
        Some(version) => NameHash::of(version),
        None => NameHash::of(&format!("unknown version of {}", tag_of(instance))),
    }
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
            former_versions: VersionHistory::default(),
        }
    }

    /// Hash of the name, which identifies the service between processes.
    pub fn name_hash(&self) -> NameHash {
        NameHash::of(&self.name)
    }

    /// Durations of the service's answers.
    pub fn durations(&self) -> &Durations {
        &self.durations
    }

    /// Latency model of the service's upstreams for a task.
    pub fn latency_model(&self, task: Task) -> &LatencyModel {
        &self.latency_models[task as usize]
    }
}
