//! Messages of an engine's HTTP API.

use serde::{Deserialize, Serialize};
use wire::{Model, Role};

/// Path for completions.
pub const PATH_COMPLETIONS: &str = "/v1/completions";
/// Path of the engine's state.
pub const PATH_STATE: &str = "/engine/state";
/// Path of the engine's load report, which lags behind the actual load.
pub const PATH_LOAD: &str = "/engine/load";
/// Path of cache events. The query is the last event number seen.
pub const PATH_CACHE_EVENTS: &str = "/engine/cache-events";
/// Path for orders.
pub const PATH_ORDER: &str = "/engine/order";
/// Path for cancelling a completion. The query is the request's id.
pub const PATH_CANCEL: &str = "/engine/cancel";
/// Path for exporting KV cache.
pub const PATH_EXPORT: &str = "/engine/kv/export";
/// Path for importing KV cache.
pub const PATH_IMPORT: &str = "/engine/kv/import";

/// Request for a completion, which is always streamed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionBody {
    /// Id that each chunk must contain.
    pub request_id: String,
    /// The model's name.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens, including resumed ones.
    pub max_tokens: u32,
    /// Lower values run first.
    pub priority: u32,
    /// Number of tokens that were already generated, by this engine or another.
    pub resume_from: u32,
    /// Always true.
    pub stream: bool,
}

/// A chunk of a completion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the request.
    pub id: String,
    /// Always exactly one choice.
    pub choices: Vec<Choice>,
    /// Token count so far. Engines send it in each chunk on request.
    pub usage: Usage,
}

/// A choice of a chunk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The new text: one token.
    pub text: String,
    /// Reason why the completion ended, in its last chunk.
    pub finish_reason: Option<String>,
}

/// Token counts of a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens so far, including resumed ones.
    pub completion_tokens: u32,
}

/// An engine's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Role of the engine.
    pub role: Role,
    /// The loaded model.
    pub model: Option<Model>,
    /// The highest order number accepted, as a fencing token.
    pub fence: u64,
    /// Whether a change is in progress.
    pub changing: bool,
    /// Incremented with each start of the engine.
    pub incarnation: u64,
}

/// An engine's load report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Prompt tokens that are still to be processed.
    pub prefill_tokens: u64,
}

/// An order to change the role or the model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token.
    pub fence: u64,
    /// The desired role.
    pub role: Role,
    /// The model to load.
    pub model: Model,
}

/// Response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAnswer {
    /// The change has begun or was already made.
    Taken,
    /// The fencing token is older than another one.
    Stale,
}

/// Changes of an engine's prefix cache. Event numbers may be missing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number of the last event.
    pub last: u64,
    /// Prefixes that were added or removed.
    pub events: Vec<CacheEvent>,
}

/// A change of a prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added; otherwise it was removed.
    pub added: bool,
}

/// KV cache that is transferred between engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlob {
    /// Hashes of the prefixes in it, shortest first.
    pub prefixes: Vec<u64>,
}
