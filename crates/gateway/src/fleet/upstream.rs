//! One upstream, as this process believes it to be.

use super::cache::CacheEstimate;
use super::latency::{Backlog, Slowdown};
use super::{ServiceKey, id_hash, tag_of};
use crate::peers::Load;
use net::Pool;
use platform::{Instance, Stage};
use resilience::Health;
use std::time::{Duration, Instant};

/// How long after this process has read an engine's new stage its peers have read
/// it too: they hear of a new version at once, and ask each 0.2 s.
const REGISTRY_PROPAGATION: Duration = Duration::from_millis(500);

/// Time without an answer after which an upstream where requests wait may be cut off.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// One start of an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// As it registered itself.
    pub instance: Instance,
    /// Its service.
    pub service: ServiceKey,
    /// Connections to it.
    pub pool: Pool,
    /// Hash of its id alone, for the choice of homes: an upstream that starts again
    /// keeps its homes, so that no other engine's prompts move.
    pub hash: u64,
    /// Tag of its start.
    tag: u32,
    /// Requests of this process that run there.
    pub running: u32,
    /// Of these, those whose first byte hasn't come yet.
    pub waiting: u32,
    /// Uncached tokens of those that wait.
    pub tokens: u32,
    /// The same for all other processes of the system, as they last said.
    pub peer_load: PeerLoad,
    /// Of the running requests, those that stream long answers.
    pub streams: u32,
    /// When the latest request was sent that it has answered: it lived then.
    pub alive_at: Option<Instant>,
    /// What came of the last requests.
    pub health: Health,
    /// How much slower it is than its kind.
    pub slowdown: Slowdown,
    /// Until when it is taken to be away for a change of its stage, and the stage
    /// that it was ordered to have, if this process ordered it.
    change: Option<StageChange>,
    /// When this process last read a new stage of it.
    stage_changed_at: Option<Instant>,
    /// Prompt parts that it is taken to hold.
    pub(super) cache: CacheEstimate,
    /// Whether this process has known it since it was empty.
    pub(super) is_cache_known: bool,
}

/// A change of an engine's stage that is going on.
#[derive(Debug, Clone, Copy)]
struct StageChange {
    until: Instant,
    ordered: Option<Stage>,
}

/// Load at an upstream that comes from other processes of the system, summed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests whose first byte hasn't come yet.
    pub waiting: u32,
    /// Uncached tokens of those that wait.
    pub tokens: u32,
    /// Requests that run.
    pub running: u32,
    /// Of these, long answers that are being streamed.
    pub streams: u32,
}

impl PeerLoad {
    /// Adds what a process says of its load.
    pub fn add(&mut self, load: &Load) {
        // A peer may say anything.
        self.waiting = self.waiting.saturating_add(u32::from(load.waiting));
        self.tokens = self.tokens.saturating_add(load.tokens);
        self.running = self.running.saturating_add(u32::from(load.running));
        self.streams = self.streams.saturating_add(u32::from(load.streams));
    }

    /// Takes off what the process said before.
    pub fn subtract(&mut self, load: &Load) {
        self.waiting = self.waiting.saturating_sub(u32::from(load.waiting));
        self.tokens = self.tokens.saturating_sub(load.tokens);
        self.running = self.running.saturating_sub(u32::from(load.running));
        self.streams = self.streams.saturating_sub(u32::from(load.streams));
    }
}

impl Upstream {
    /// An upstream that the registry tells of. `is_known_from_start` says that it has
    /// just started.
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
            tag: tag_of(&instance.id, instance.start),
            running: 0,
            waiting: 0,
            tokens: 0,
            peer_load: PeerLoad::default(),
            streams: 0,
            alive_at: None,
            health: Health::default(),
            slowdown: Slowdown::default(),
            change: None,
            stage_changed_at: None,
            cache: CacheEstimate::default(),
            is_cache_known,
            instance,
        }
    }

    /// Notes that this process orders it to change its stage: it gets no request
    /// until a time, unless the registry shows the new stage before.
    pub fn set_changing(&mut self, until: Instant, stage: Stage) {
        let ordered = Some(stage);
        self.change = Some(StageChange { until, ordered });
    }

    /// Notes that it doesn't change its stage after all.
    pub fn clear_changing(&mut self) {
        self.change = None;
    }

    /// For how much longer it is away for a change of its stage; none if it isn't.
    pub fn change_remaining(&self, now: Instant) -> Option<Duration> {
        let change = self.change.filter(|c| now < c.until)?;
        Some(change.until - now)
    }

    /// By what processes tell of this start of it.
    pub fn tag(&self) -> u32 {
        self.tag
    }

    /// Whether it may get new requests, its health aside.
    pub fn is_open(&self) -> bool {
        !self.instance.is_draining
    }

    /// Whether it is away for a change of its stage.
    pub fn is_changing(&self, now: Instant) -> bool {
        self.change_remaining(now).is_some()
    }

    /// Takes a peer's word that it is away until a time. Just after its new stage was
    /// read, peers that haven't read it yet still say so.
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

    /// Takes the stage that the registry shows. An ordered change is over, but for
    /// the time in which the others read the registry.
    pub(super) fn handle_stage_change(&mut self, stage: Option<Stage>) {
        let now = Instant::now();
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

    /// Whether it only reads prompts.
    pub fn is_prefill_only(&self) -> bool {
        self.instance.stage == Some(Stage::Prefill)
    }

    /// Requests that wait there for their first byte, of all processes.
    pub fn all_waiting(&self) -> u32 {
        self.waiting.saturating_add(self.peer_load.waiting)
    }

    /// Uncached tokens that wait there, of all processes.
    pub fn all_waiting_tokens(&self) -> u32 {
        self.tokens.saturating_add(self.peer_load.tokens)
    }

    /// What it has to do until the first byte of a prompt that is sent now.
    pub fn backlog(&self, uncached: u32) -> Backlog {
        let tokens = self.all_waiting_tokens().saturating_add(uncached);
        Backlog {
            prompts: f64::from(self.all_waiting()),
            tokens: f64::from(tokens),
            slot_turnovers: self.slot_turnovers(),
        }
    }

    /// How often the slots that long answers leave change hands until one is free
    /// for a request that is sent now. Engines that only read prompts hold no slot
    /// after that, so the prompts ahead say it all.
    ///
    /// On a loaded day the work that waits explains 0.22 of the variance of first
    /// bytes at generating engines, with the turns 0.39; estimates with them earn
    /// 0.003 to 0.02 more of what is owed (one run a site).
    fn slot_turnovers(&self) -> f64 {
        if self.is_prefill_only() {
            return 0.0;
        }
        let slots = self.instance.slots;
        let excess = self.all_running().saturating_add(1).saturating_sub(slots);
        let available = slots.saturating_sub(self.all_streams()).max(1);
        f64::from(excess) / f64::from(available)
    }

    /// Whether requests of this process wait there, and none that was sent lately was
    /// answered.
    pub fn is_silent(&self, now: Instant) -> bool {
        let is_long_ago = |at: Instant| now.saturating_duration_since(at) >= SILENT_AFTER;
        self.waiting > 0 && self.alive_at.is_none_or(is_long_ago)
    }

    /// Requests that run there, of all processes.
    pub fn all_running(&self) -> u32 {
        self.running.saturating_add(self.peer_load.running)
    }

    /// Long answers that are streamed there, to clients of all processes.
    pub fn all_streams(&self) -> u32 {
        self.streams.saturating_add(self.peer_load.streams)
    }

    /// What this process says of its load there; none if there is none.
    pub fn load(&self) -> Option<Load> {
        (self.running > 0).then(|| Load {
            upstream: self.tag(),
            tokens: self.tokens,
            waiting: saturate_u16(self.waiting),
            running: saturate_u16(self.running),
            streams: saturate_u16(self.streams),
        })
    }

    /// What the upstream is called in logs when it does something with prompts.
    pub fn stage_name(&self) -> Option<&'static str> {
        self.instance.stage.map(Stage::name)
    }

    /// Whether its last requests failed so often that it gets none for a while.
    pub fn is_suspended(&self, now: Instant) -> bool {
        self.health.is_suspended(now)
    }
}

/// A count as it is told to peers; none of ours comes near the bound.
fn saturate_u16(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
