//! State of one upstream, as known to this process.

use super::cache::CacheEstimate;
use super::latency::{Backlog, Slowdown};
use super::saturation::Saturation;
use super::stated::Statements;
use super::{ServiceKey, id_hash, tag_of, version_of};
use crate::monotonic;
use crate::peers::Load;
use net::Pool;
use origins::NameHash;
use platform::header::RequestRate;
use platform::{Instance, Stage};
use resilience::Health;
use std::time::{Duration, Instant};

/// Time after which peers have also read an engine's new stage: they are notified of a new
/// registry version at once, and poll every 0.2 s.
const REGISTRY_PROPAGATION: Duration = Duration::from_millis(500);

/// Time without an answer after which an upstream with waiting requests may be unreachable.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Time after a pause in which an upstream's slots are filled gradually.
const PAUSE_RAMP: Duration = Duration::from_secs(1);

/// State of one start of an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Registry entry.
    pub instance: Instance,
    /// Service that it belongs to.
    pub service: ServiceKey,
    /// Connection pool.
    pub pool: Pool,
    /// Hash of the id without the start, for the choice of homes. An upstream keeps its homes
    /// across restarts, so that prompts of other engines don't move.
    pub hash: u64,
    /// Tag of the start.
    tag: u32,
    /// Version of its software, which identifies it between processes.
    version: NameHash,
    /// Running requests of this process.
    pub running: u32,
    /// Running requests of this process without a first byte.
    pub waiting: u32,
    /// Uncached tokens of the waiting requests.
    pub tokens: u32,
    /// Load from all other processes of the system, as last reported.
    pub peer_load: PeerLoad,
    /// Long answers that are streamed to clients of this process.
    pub streams: u32,
    /// Time at which the latest request that was answered was sent, and so the upstream was
    /// alive.
    pub alive_at: Option<Instant>,
    /// Health, based on recent requests.
    pub health: Health,
    /// Its recent rejections, if it belongs to a plain service.
    pub saturation: Saturation,
    /// Requests of this process that wait for an upstream of its service, divided among these.
    pub queued: u32,
    /// Slowdown relative to the service's model.
    pub slowdown: Slowdown,
    /// What it states of itself in its answers.
    pub stated: Statements,
    /// Latest refusal of a request because of its limit.
    at_limit: Option<AtLimit>,
    /// Stage change in progress.
    change: Option<StageChange>,
    /// Time at which this process last read a new stage of the engine.
    stage_changed_at: Option<Instant>,
    /// Prompt parts that are assumed to be cached.
    pub(super) cache: CacheEstimate,
    /// Whether the cache was empty when this process began to track it.
    pub(super) is_cache_known: bool,
}

/// A stage change in progress: the time until which the engine is unavailable, and the new stage
/// if this process ordered the change.
#[derive(Debug, Clone, Copy)]
struct StageChange {
    until: Instant,
    ordered: Option<Stage>,
}

/// A refusal of a request because of an upstream's limit.
#[derive(Debug, Clone, Copy)]
pub struct AtLimit {
    /// Rank of the request; more urgent ones may still be sent.
    pub rank: u32,
    /// The limit. The refusal doesn't hold for another one.
    pub rate: RequestRate,
    /// Time until which no other request asks.
    pub until: Instant,
    /// Time at which there is room, if no other request takes it.
    pub room_at: Instant,
}

/// Total load of an upstream from other processes of the system.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests without a first byte.
    pub waiting: u32,
    /// Uncached tokens of the waiting requests.
    pub tokens: u32,
    /// Running requests.
    pub running: u32,
    /// Long answers that are being streamed.
    pub streams: u32,
}

impl PeerLoad {
    /// Requests that run or wait, if the upstream belongs to a plain service: those that wait at
    /// their hosts are reported as waiting.
    pub fn demand(&self) -> u32 {
        self.running.max(self.waiting)
    }

    /// Adds the load that a process reported.
    pub fn add(&mut self, load: &Load) {
        // Saturates, as a peer may send any value.
        self.waiting = self.waiting.saturating_add(u32::from(load.waiting));
        self.tokens = self.tokens.saturating_add(load.tokens);
        self.running = self.running.saturating_add(u32::from(load.running));
        self.streams = self.streams.saturating_add(u32::from(load.streams));
    }

    /// Subtracts the load that a process reported before.
    pub fn subtract(&mut self, load: &Load) {
        self.waiting = self.waiting.saturating_sub(u32::from(load.waiting));
        self.tokens = self.tokens.saturating_sub(load.tokens);
        self.running = self.running.saturating_sub(u32::from(load.running));
        self.streams = self.streams.saturating_sub(u32::from(load.streams));
    }
}

impl Upstream {
    /// Creates the state for a registry entry. `is_cache_known` is true if the upstream has just
    /// started with an empty cache.
    pub(super) fn new(
        service: ServiceKey,
        instance: Instance,
        pool: Pool,
        is_cache_known: bool,
    ) -> Self {
        Self {
            service,
            pool,
            hash: id_hash(&instance.id),
            tag: tag_of(&instance),
            version: version_of(&instance),
            running: 0,
            waiting: 0,
            tokens: 0,
            peer_load: PeerLoad::default(),
            streams: 0,
            alive_at: None,
            health: Health::default(),
            saturation: Saturation::default(),
            queued: 0,
            slowdown: Slowdown::default(),
            stated: Statements::default(),
            at_limit: None,
            change: None,
            stage_changed_at: None,
            cache: CacheEstimate::default(),
            is_cache_known,
            instance,
        }
    }

    /// Records that this process orders a stage change. The engine gets no requests until the
    /// given time or until the registry shows the new stage.
    pub fn set_changing(&mut self, until: Instant, stage: Stage) {
        let ordered = Some(stage);
        self.change = Some(StageChange { until, ordered });
    }

    /// Records that the stage change is cancelled.
    pub fn clear_changing(&mut self) {
        self.change = None;
    }

    /// Remaining time for which the engine is unavailable because of a stage change.
    pub fn change_remaining(&self, now: Instant) -> Option<Duration> {
        let change = self.change.filter(|c| now < c.until)?;
        Some(change.until - now)
    }

    /// Tag of the start, which identifies it between processes.
    pub fn tag(&self) -> u32 {
        self.tag
    }

    /// Version of its software. An upstream that states none has a version of its own.
    pub fn version(&self) -> NameHash {
        self.version
    }

    /// Whether it can receive new requests, regardless of its health.
    pub fn is_open(&self) -> bool {
        !self.instance.is_draining && !self.stated.is_leaving
    }

    /// Whether it is unavailable because of a stage change.
    pub fn is_changing(&self, now: Instant) -> bool {
        self.change_remaining(now).is_some()
    }

    /// Records that the upstream asked this process for a pause; the end of a longer one holds.
    pub fn set_paused(&mut self, pause: Duration, now: Instant) {
        let until = now + pause;
        self.stated.paused_until = self.stated.paused_until.max(Some(until));
    }

    /// Time until which this process sends nothing, as the upstream asked for a pause.
    pub fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.stated.paused_until.filter(|until| now < *until)
    }

    /// Whether it gets no request from this process because of a pause. Just after the pause, its
    /// slots are filled gradually, as it would otherwise get all waiting requests at once.
    pub fn is_paused(&self, now: Instant) -> bool {
        let Some(until) = self.stated.paused_until else {
            return false;
        };
        let since_end = now.saturating_duration_since(until).as_secs_f64();
        let usable = f64::from(self.instance.slots) * since_end / PAUSE_RAMP.as_secs_f64();
        let is_ramping = since_end < PAUSE_RAMP.as_secs_f64();
        now < until || (is_ramping && f64::from(self.running) >= usable.max(1.0))
    }

    /// Records that the limit has no room for a request.
    pub fn set_at_limit(&mut self, refusal: AtLimit) {
        self.at_limit = Some(refusal);
    }

    /// Whether its limit has no room for a request of a rank, as far as is known.
    pub fn is_at_limit(&self, rank: u32, now: Instant) -> bool {
        let limit = self.stated.limit.rate();
        let refusal = self.at_limit.filter(|refusal| limit == Some(refusal.rate));
        refusal.is_some_and(|refusal| now < refusal.until && refusal.rank <= rank)
    }

    /// Time at which the limit has room again, according to the latest refusal.
    pub fn room_at(&self) -> Option<Instant> {
        self.at_limit.map(|refusal| refusal.room_at)
    }

    /// Records a peer's report that the engine is unavailable until the given time. Reports are
    /// ignored just after the new stage was read, as peers may not have read it yet.
    pub fn set_changing_by_peer(&mut self, until: Instant, now: Instant) {
        let is_over = self
            .stage_changed_at
            .is_some_and(|at| now < at + REGISTRY_PROPAGATION * 2);
        if is_over {
            return;
        }
        if self.change.is_none_or(|c| c.ordered.is_none()) {
            let ordered = None;
            self.change = Some(StageChange { until, ordered });
        }
    }

    /// Applies a new stage from the registry. An ordered change then ends as soon as the other
    /// processes have read the registry too.
    pub(super) fn handle_stage_change(&mut self, stage: Option<Stage>) {
        let now = monotonic::now();
        self.stage_changed_at = Some(now);
        self.cache.clear();
        self.is_cache_known = true;
        self.slowdown = Slowdown::default();
        if let Some(change) = &mut self.change
            && (change.ordered.is_none() || change.ordered == stage)
        {
            change.until = change.until.min(now + REGISTRY_PROPAGATION);
        }
    }

    /// Whether it is an engine that only prefills prompts.
    pub fn is_prefill_only(&self) -> bool {
        self.instance.stage == Some(Stage::Prefill)
    }

    /// Requests of all processes that wait for their first byte.
    pub fn all_waiting(&self) -> u32 {
        self.waiting.saturating_add(self.peer_load.waiting)
    }

    /// Uncached tokens of the waiting requests of all processes.
    pub fn all_waiting_tokens(&self) -> u32 {
        self.tokens.saturating_add(self.peer_load.tokens)
    }

    /// Backlog that precedes the first byte of a prompt sent now.
    pub fn backlog(&self, uncached: u32) -> Backlog {
        let tokens = self.all_waiting_tokens().saturating_add(uncached);
        Backlog {
            prompts: f64::from(self.all_waiting()),
            tokens: f64::from(tokens),
            slot_turnovers: self.slot_turnovers(),
        }
    }

    /// How many times the slots without long answers have to become free until one is available
    /// for a request sent now. Prefill-only engines hold no slot after the prefill, so their
    /// queued prompts are sufficient.
    ///
    /// Under load, the waiting work explains 0.22 of the variance of the time to the first byte
    /// at generating engines, and 0.39 together with the slot turnovers.
    fn slot_turnovers(&self) -> f64 {
        if self.is_prefill_only() {
            return 0.0;
        }
        let slots = self.instance.slots;
        let excess = self.all_running().saturating_add(1).saturating_sub(slots);
        let available = slots.saturating_sub(self.all_streams()).max(1);
        f64::from(excess) / f64::from(available)
    }

    /// Whether requests of this process wait and none of those sent recently was answered.
    pub fn is_silent(&self, now: Instant) -> bool {
        let is_long_ago = |at: Instant| now.saturating_duration_since(at) >= SILENT_AFTER;
        self.waiting > 0 && self.alive_at.is_none_or(is_long_ago)
    }

    /// Whether it has a free slot, and no request waits there for its first byte.
    pub fn is_idle(&self) -> bool {
        self.all_waiting() == 0 && self.all_running() < self.instance.slots
    }

    /// Running requests of all processes.
    pub fn all_running(&self) -> u32 {
        self.running.saturating_add(self.peer_load.running)
    }

    /// Long answers that are streamed to clients of all processes.
    pub fn all_streams(&self) -> u32 {
        self.streams.saturating_add(self.peer_load.streams)
    }

    /// This process's load on the upstream for its peers; `None` if there is none.
    pub fn load(&self) -> Option<Load> {
        (self.running > 0 || self.queued > 0).then(|| Load {
            upstream: self.tag(),
            tokens: self.tokens,
            waiting: saturate_u16(self.waiting.saturating_add(self.queued)),
            running: saturate_u16(self.running),
            streams: saturate_u16(self.streams),
        })
    }

    /// Name of the engine's stage in logs; `None` for a plain service.
    pub fn stage_name(&self) -> Option<&'static str> {
        self.instance.stage.map(Stage::name)
    }

    /// Whether it has as many requests as it may get, or has just rejected one.
    pub fn is_full(&self, now: Instant) -> bool {
        let limit = self.saturation.limit(self.instance.slots, now);
        self.saturation.is_rejecting(now) || limit.is_some_and(|limit| self.all_running() >= limit)
    }

    /// Whether the number of its requests is limited, as it has rejected some.
    pub fn is_limited(&self, now: Instant) -> bool {
        self.saturation.limit(self.instance.slots, now).is_some()
    }

    /// Whether it gets no requests for a while because recent ones failed.
    pub fn is_suspended(&self, now: Instant) -> bool {
        self.health.is_suspended(now)
    }
}

/// Converts a count for peers; the saturation is never reached in practice.
fn saturate_u16(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
