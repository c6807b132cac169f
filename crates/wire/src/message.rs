//! Messages between entries and agents.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifier of a caller's request, chosen randomly by the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl RequestId {
    /// Parses the output of `Display`.
    pub fn parse(s: &str) -> Option<Self> {
        (s.len() == 32).then_some(())?;
        u128::from_str_radix(s, 16).ok().map(Self)
    }
}

/// The outcome of a request, which is all that a caller may rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete response was sent.
    Answered,
    /// No upstream has run the request, and none will.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// Why a request wasn't answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request itself is malformed.
    BadRequest,
    /// The body or the head is over its limit.
    TooLarge,
    /// The caller took too long to send the request.
    SlowRequest,
    /// There is no such service.
    UnknownService,
    /// There is no such class in the service's document.
    UnknownClass,
    /// The class's queue is full.
    QueueFull,
    /// The tenant's limit is reached.
    TenantLimit,
    /// The expected wait is longer than the deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request was waiting.
    DeadlinePassed,
    /// The process is stopping or its host is leaving.
    Leaving,
    /// The agent has no document in force, or its upstream isn't ready.
    NotReady,
    /// No upstream could be reached.
    NoUpstream,
    /// The claim of a non-idempotent call can't be written to the platform.
    ClaimUnavailable,
    /// The idempotency key was used before, and the response isn't known.
    KeyInUse,
    /// The upstream's response broke off or was invalid.
    UpstreamBroken,
    /// The upstream exited while it was running the request.
    UpstreamEnded,
    /// The request crashes upstreams, as a trial has confirmed, and isn't sent to any upstream any
    /// more.
    CrashesUpstreams,
    /// Upstreams crashed while running the request, maybe by chance. A trial will show whether it
    /// causes that.
    CrashSuspected,
    /// The connection to the agent was lost.
    PeerLost,
    /// The caller closed the connection.
    CallerGone,
    /// The process reached its stop deadline while the request was running.
    ProcessEnds,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::SlowRequest => "slow-request",
            Self::UnknownService => "unknown-service",
            Self::UnknownClass => "unknown-class",
            Self::QueueFull => "queue-full",
            Self::TenantLimit => "tenant-limit",
            Self::DeadlineUnreachable => "deadline-unreachable",
            Self::DeadlinePassed => "deadline-passed",
            Self::Leaving => "leaving",
            Self::NotReady => "not-ready",
            Self::NoUpstream => "no-upstream",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::KeyInUse => "key-in-use",
            Self::UpstreamBroken => "upstream-broken",
            Self::UpstreamEnded => "upstream-ended",
            Self::CrashesUpstreams => "crashes-upstreams",
            Self::CrashSuspected => "crash-suspected",
            Self::PeerLost => "peer-lost",
            Self::CallerGone => "caller-gone",
            Self::ProcessEnds => "process-ends",
        })
    }
}

/// An agent's reply for a request that it doesn't answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// [`Outcome::NotRun`] or [`Outcome::Unknown`].
    pub outcome: Outcome,
    /// The reason.
    pub reason: Reason,
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that no upstream has seen.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_ms: None,
        }
    }

    /// Creates a refusal of a request that an upstream may have seen.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_ms: None,
        }
    }

    /// Sets the time after which a retry may succeed, in milliseconds.
    pub fn retry_in(mut self, ms: u64) -> Self {
        self.retry_ms = Some(ms);
        self
    }
}

/// Role of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Both prefill and decode.
    Mixed,
    /// Processes prompts and exports the KV cache.
    Prefill,
    /// Imports the KV cache and generates output.
    Decode,
}

/// A model with its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name in the weight store.
    pub name: String,
    /// The model's version.
    pub version: u32,
    /// Names of the adapters that are loaded with it, sorted.
    pub adapters: Vec<String>,
}

impl Model {
    /// Creates a model without adapters.
    pub fn plain(name: &str, version: u32) -> Self {
        Self {
            name: name.to_owned(),
            version,
            adapters: Vec::new(),
        }
    }
}

impl fmt::Display for Model {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.version)?;
        self.adapters.iter().try_for_each(|a| write!(f, "+{a}"))
    }
}

/// Context of one attempt, sent by the entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestContext {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Whether all earlier attempts had the outcome [`Outcome::NotRun`].
    pub none_has_run: bool,
    /// The service.
    pub service: String,
    /// The tenant.
    pub tenant: String,
    /// Name of the class in the document.
    pub class: String,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Time left until the entry's stop deadline, in milliseconds, if it is stopping. A call that
    /// would take longer must not be started.
    #[serde(default)]
    pub ends_ms: Option<u64>,
    /// Version of the document that the entry uses.
    pub doc_version: u64,
    /// Name of the entry, for records.
    pub entry: String,
}

/// The call to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A completion by a model engine.
    Completion(Completion),
    /// A call to a plain service.
    Plain(PlainCall),
}

/// A completion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// The prompt, with the chat turns joined.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Number of tokens that earlier attempts already sent to the caller.
    pub resume_from: u32,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlainCall {
    /// The HTTP method.
    pub method: String,
    /// Path and query, without the service's name.
    pub path: String,
    /// The content type, if there is one.
    pub content_type: Option<String>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The caller's idempotency key, if there is one.
    pub key: Option<String>,
}

/// Asks an agent for its state, when an upstream is chosen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// The service.
    pub service: String,
    /// Name of the class.
    pub class: String,
    /// Length of the prompt in bytes.
    pub prompt_len: u64,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Version of the document that the entry uses.
    pub doc_version: u64,
}

/// Whether an agent accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AgentState {
    /// It has no document yet, or its upstream isn't ready.
    Starting,
    /// It accepts work.
    Ready,
    /// It finishes running requests and accepts no new ones.
    Leaving,
}

/// State of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// Whether it accepts work.
    pub state: AgentState,
    /// Expected time to the first byte of the answer, in milliseconds.
    pub wait_ms: u64,
    /// Running and waiting requests, in thousandths of the slots.
    pub load: u32,
    /// The engine's role; `Mixed` for plain services.
    pub role: Role,
    /// Version of the document that the agent uses.
    pub doc_version: u64,
}

/// A committed document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocText {
    /// The service.
    pub service: String,
    /// Version assigned by the table service.
    pub version: u64,
    /// The text.
    pub text: String,
}

/// Status of an agent, for the operators' commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The upstream's name.
    pub upstream: String,
    /// Whether it accepts work.
    pub state: AgentState,
    /// The engine's role.
    pub role: Role,
    /// The loaded model.
    pub model: Option<Model>,
    /// Version of the document in force.
    pub doc_version: u64,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// The upstream's last error, if it isn't ready.
    pub fault: Option<String>,
}
