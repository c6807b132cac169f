//! Fake servers that replace the platform's services and the upstreams in tests and benchmarks.
//!
//! Each is a small HTTP server that runs in a test or in a process of its own. All accept
//! faults to inject by `POST /faults` (see [`Faults`]) and return what they received by
//! `GET /history`, so that a test can check what the servers saw instead of what the product
//! reports about itself.
//!
//! The engine's rates are assumptions, as the figures of the users' engines aren't known.
//! The product doesn't depend on them.

pub mod answer;
pub mod clock;
pub mod engine;
pub mod fault;
pub mod hosts;
pub mod objects;
pub mod plain;
pub mod serve;
pub mod table;

pub use fault::{FaultInjector, Faults};
pub use serve::{RunningServer, start};
