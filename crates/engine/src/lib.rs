//! Client of a model engine.
//!
//! [`protocol`] contains the engine's messages: the common completion API with server-sent events,
//! and the engine's own API for state and orders. [`client`] is the HTTP client. Another kind of
//! engine needs its own pair of these modules.

pub mod client;
pub mod protocol;
pub mod sse;

pub use client::{Client, CompletionEvent, CompletionStream, EngineError};
pub use protocol::{CacheEvents, EngineState, Load, Order, OrderAnswer};
