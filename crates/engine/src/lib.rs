//! Client of a model engine.
//!
//! [`protocol`] holds the engine's messages: the common completion API with
//! server-sent events, and the engine's own calls for its state and orders.
//! [`client`] speaks them. Another kind of engine is another pair of these.

pub mod client;
pub mod protocol;
pub mod sse;

pub use client::{Client, CompletionEvent, CompletionStream, EngineError};
pub use protocol::{CacheEvents, EngineState, Load, Order, OrderAnswer};
