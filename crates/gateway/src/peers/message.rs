//! Datagrams between the processes of the system.

use crate::fleet::named_limit::LimitVersion;
use platform::Position;
use serde::{Deserialize, Serialize};

/// The processes that a datagram covers, and its recipient.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum Scope {
    /// The sender alone; sent to each peer of a full mesh.
    Direct,
    /// The sender and all processes below it in the tree; sent to its parent.
    Up,
    /// All processes except the recipient's subtree; sent to a child.
    Down,
    /// The sender and all processes below it; sent to a root, or possible root, of another
    /// availability zone.
    Across,
    /// No process; asks for a `HelloReply`.
    Hello,
    /// No process; shows that the sender is running.
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
            other => Err(format!("unknown scope code {other}")),
        }
    }
}

/// Status that a process sends to a peer. It is complete each time, so lost datagrams do no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Random number of the process's start, so that the datagrams of different starts aren't mixed
    /// up.
    pub start: u32,
    /// Sequence number of the datagram since the start; late older datagrams are dropped.
    pub number: u64,
    /// Processes that the status covers.
    pub scope: Scope,
    /// Hash of the sender's availability zone.
    pub zone: u32,
    /// Number of processes that the status covers.
    pub processes: u32,
    /// Version of the configuration in force at the sender.
    pub config: u64,
    /// Latest era of the store that the sender knows.
    pub era: u64,
    /// The store's position up to which the sender knows the processes of the system.
    pub members: Position,
    /// The store's position at the sender's last read of the registry.
    pub registry: Position,
    /// Age of that read, in milliseconds. The position stays the same while nothing changes, so it
    /// alone doesn't show a newer read: without the age 31 processes made 1,800 calls to the store
    /// per minute, with it 700.
    pub registry_ms: u32,
    /// The store's clock at that read, in milliseconds. Distinguishes a later read from the same
    /// read received by another path.
    pub registry_at_ms: u64,
    /// Hash of the registry at the sender; see [`crate::fleet::Fleet::view`].
    pub view: u64,
    /// Load of the covered processes at each upstream, without those that have none, sorted by
    /// upstream.
    pub loads: Vec<Load>,
    /// Engines that are unavailable during an ordered change of stage.
    pub changing: Vec<StageChange>,
    /// Prompt parts that were recently sent to an engine for the first time.
    pub placements: Vec<Placement>,
    /// Recent reports of requests that crash upstreams.
    pub crashes: Vec<CrashReport>,
    /// What upstreams state of themselves, sorted by upstream. Processes of earlier versions don't
    /// send it, and can decode a datagram only without it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub statements: Vec<UpstreamStatement>,
}

/// What an upstream states of itself in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatement {
    /// Tag of the upstream.
    pub upstream: u32,
    /// Whether it will stop.
    pub is_leaving: bool,
    /// The limit on requests that it names or has ended.
    pub limit: LimitVersion,
}

/// Report that an upstream crashed while running a request, or that the request was answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request, upper half first. Zero in a report of answered parts alone.
    pub work: [u64; 2],
    /// Tag of the crashed upstream; `None` if the request was answered completely.
    pub upstream: Option<u32>,
    /// Time since the event, in milliseconds.
    pub ago_ms: u32,
    /// Whether the crash occurred in a trial of the request. Processes of earlier versions don't
    /// send it.
    #[serde(default)]
    pub in_trial: bool,
    /// Ids of the parts of its prompt except the last. Processes of earlier versions don't send
    /// them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<u64>,
}

/// An engine that is unavailable during a change of its stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageChange {
    /// Tag of the engine.
    pub upstream: u32,
    /// Remaining time of the change, in milliseconds.
    pub left_ms: u32,
}

/// A prompt part that was sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Tag of the engine.
    pub upstream: u32,
    /// Id of the part.
    pub part: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Load at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tag of the upstream; see [`crate::fleet::Upstream::tag`].
    pub upstream: u32,
    /// Requests that wait for their first byte.
    pub waiting: u16,
    /// Uncached prompt tokens of the waiting requests.
    pub tokens: u32,
    /// Requests that run at the upstream.
    pub running: u16,
    /// Running requests with long answers.
    pub streams: u16,
}

impl Scope {
    /// Whether it covers any process.
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

/// Sums loads by upstream.
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
