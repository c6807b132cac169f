//! Client of a model engine.
//!
//! [`dialect`] holds the engine's messages: the common completion API with
//! server-sent events, and the engine's own calls for its state and orders.
//! [`client`] speaks them. Another kind of engine is another pair of these.

pub mod client;
pub mod dialect;
pub mod sse;

pub use client::{Client, EngineError, Stream, Token};
pub use dialect::{CacheEvents, EngineState, Load, Order, OrderAnswer};
