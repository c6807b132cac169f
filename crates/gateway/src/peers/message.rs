//! What processes tell each other in datagrams.

use serde::{Deserialize, Serialize};

/// Whom a datagram speaks for, and to whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum Scope {
    /// For its sender alone, to each of few peers.
    Direct,
    /// For its sender and those that report to it, to the peer that it reports to.
    Up,
    /// For all others of the system, to a peer that reports to its sender.
    Down,
    /// For its sender and those that report to it, to the root of another
    /// availability zone.
    Across,
    /// For nobody: whether the peer is there, which it answers.
    Hello,
    /// For nobody: the sender is there.
    HelloReply,
}

impl From<Scope> for u8 {
    fn from(scope: Scope) -> Self {
        match scope {
            Scope::Direct => 0,
            Scope::Up => 1,
            Scope::Down => 2,
            Scope::Across => 3,
            Scope::Hello => 4,
            Scope::HelloReply => 5,
        }
    }
}

impl TryFrom<u8> for Scope {
    type Error = String;

    fn try_from(code: u8) -> Result<Self, Self::Error> {
        match code {
            0 => Ok(Self::Direct),
            1 => Ok(Self::Up),
            2 => Ok(Self::Down),
            3 => Ok(Self::Across),
            4 => Ok(Self::Hello),
            5 => Ok(Self::HelloReply),
            other => Err(format!("no scope has the code {other}")),
        }
    }
}

/// What a process tells a peer. It says everything anew, so a lost one does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Drawn at each start of a process, so that a new one's count is not taken
    /// for an old one's.
    pub start: u32,
    /// Counts the datagrams of a start; an older one that comes late is dropped.
    pub number: u64,
    /// Whom it speaks for.
    pub scope: Scope,
    /// Hash of the sender's availability zone.
    pub zone: u32,
    /// Processes that it speaks for.
    pub processes: u32,
    /// Version of the configuration in force at the sender.
    pub config: u64,
    /// The store's version up to which the sender knows the processes of the system; 0 if it
    /// doesn't know all of them.
    pub members: u64,
    /// The store's version at the sender's last read of the registry.
    pub registry: u64,
    /// Age of that read, in milliseconds. While nothing changes the version stays
    /// the same, so the version alone doesn't tell a new read from an old one: 31
    /// processes made 1,800 calls to the store in a minute without it, 700 with it.
    pub registry_ms: u32,
    /// The store's clock at that read, in milliseconds: tells a later read from the same one
    /// that was told by another way.
    pub registry_at_ms: u64,
    /// Hash of what the sender made of the registry; see
    /// [`crate::fleet::Fleet::view`].
    pub view: u64,
    /// Load at each upstream where there is any, of those that it speaks for, sorted
    /// by upstream.
    pub loads: Vec<Load>,
    /// Engines that were ordered to change their stage and are away.
    pub changing: Vec<StageChange>,
    /// Prompt parts that an engine was lately sent for the first time.
    pub placements: Vec<Placement>,
    /// What was lately learned of work under which upstreams end.
    pub crashes: Vec<CrashReport>,
}

/// What a process has learned of work under which upstreams end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the work, its upper and lower half.
    pub work: [u64; 2],
    /// Tag of the upstream that ended under it; none if it had a whole answer.
    pub upstream: Option<u32>,
    /// How long ago, in milliseconds.
    pub ago_ms: u32,
    /// Of an end: whether it came under a trial. Processes of an earlier version don't say.
    #[serde(default)]
    pub in_trial: bool,
}

/// An engine that is away for a change of its stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageChange {
    /// Tag of the engine.
    pub upstream: u32,
    /// For how much longer it is away, in milliseconds.
    pub left_ms: u32,
}

/// A prompt part that an engine was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Tag of the engine.
    pub upstream: u32,
    /// Id of the part.
    pub part: u64,
    /// Its length.
    pub tokens: u32,
}

/// Load at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tag of the upstream; see [`crate::fleet::Upstream::tag`].
    pub upstream: u32,
    /// Requests whose first byte hasn't come yet.
    pub waiting: u16,
    /// Uncached tokens of those that wait.
    pub tokens: u32,
    /// Requests that run there.
    pub running: u16,
    /// Of these, long answers.
    pub streams: u16,
}

impl Scope {
    /// Whether it speaks for any process.
    pub fn has_load(self) -> bool {
        !matches!(self, Self::Hello | Self::HelloReply)
    }
}

impl Load {
    fn add(&mut self, other: &Self) {
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.running = self.running.saturating_add(other.running);
        self.streams = self.streams.saturating_add(other.streams);
    }
}

/// Adds up loads by upstream.
pub fn sum_by_upstream<'a>(loads: impl Iterator<Item = &'a Load>) -> Vec<Load> {
    let mut all: Vec<Load> = loads.copied().collect();
    all.sort_unstable_by_key(|load| load.upstream);
    all.dedup_by(|next, sum| {
        let is_same = next.upstream == sum.upstream;
        if is_same {
            sum.add(next);
        }
        is_same
    });
    all
}
