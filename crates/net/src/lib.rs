//! HTTP servers and connections for all processes.
//!
//! Built on hyper. Adds exclusive binding, one task per connection, graceful shutdown, a persistent
//! HTTP/2 connection to each peer, and a small pool of HTTP/1 connections.

pub mod body;
pub mod budget;
pub mod client;
pub mod error;
pub mod h1;
mod informational;
pub mod meter;
pub mod peer;
pub mod server;

pub use body::{Body, BodySender, empty, full, stream};
pub use budget::BufferBudget;
pub use client::{Listener, probe};
pub use error::CallError;
pub use h1::Pool;
pub use meter::Meter;
pub use peer::Peer;
pub use server::{HeadLimits, Protocol, Server, Stop, bind};
