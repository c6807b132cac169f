//! An engine's messages.

use serde::{Deserialize, Serialize};
use wire::{Model, Role};

/// Path of a completion.
pub const PATH_COMPLETIONS: &str = "/v1/completions";
/// Path of the engine's state.
pub const PATH_STATE: &str = "/engine/state";
/// Path of the engine's load report, which lags.
pub const PATH_LOAD: &str = "/engine/load";
/// Path of cache events; the last number seen is the query.
pub const PATH_CACHE_EVENTS: &str = "/engine/cache-events";
/// Path of an order.
pub const PATH_ORDER: &str = "/engine/order";
/// Path of a cancel; the request's id is the query.
pub const PATH_CANCEL: &str = "/engine/cancel";
/// Path of an export of KV cache.
pub const PATH_EXPORT: &str = "/engine/kv/export";
/// Path of an import of KV cache.
pub const PATH_IMPORT: &str = "/engine/kv/import";

/// A request for a completion, always streamed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionBody {
    /// Id that each chunk must carry.
    pub request_id: String,
    /// The model's name.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens, resumed ones included.
    pub max_tokens: u32,
    /// Lower numbers run first.
    pub priority: u32,
    /// Tokens that were generated before, by this engine or another.
    pub resume_from: u32,
    /// Always true.
    pub stream: bool,
}

/// A chunk of a completion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request's id.
    pub id: String,
    /// Always one choice.
    pub choices: Vec<Choice>,
    /// Count so far; engines give it in each chunk when asked to.
    pub usage: Usage,
}

/// A choice of a chunk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The new text: one token.
    pub text: String,
    /// Why the completion ended, in its last chunk.
    pub finish_reason: Option<String>,
}

/// Counts of a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens so far, resumed ones included.
    pub completion_tokens: u32,
}

/// An engine's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The role.
    pub role: Role,
    /// What is loaded.
    pub model: Option<Model>,
    /// The highest order number that it has taken.
    pub fence: u64,
    /// Whether a change is under way.
    pub changing: bool,
    /// Rises with each start of the engine.
    pub incarnation: u64,
}

/// An engine's load report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Prompt tokens still to be read.
    pub prefill_tokens: u64,
}

/// A change that an engine is told to make.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number.
    pub fence: u64,
    /// The role.
    pub role: Role,
    /// What to load.
    pub model: Model,
}

/// What an engine says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAnswer {
    /// The change has begun, or was made before.
    Taken,
    /// The fencing number is old.
    Stale,
}

/// Changes of an engine's prefix cache; numbers may be missing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number of the last event.
    pub last: u64,
    /// Prefixes that came in or went out.
    pub events: Vec<CacheEvent>,
}

/// A change of a prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it came in; else it went out.
    pub added: bool,
}

/// KV cache on its way between engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlob {
    /// Prefixes that it covers, shortest first.
    pub prefixes: Vec<u64>,
}
