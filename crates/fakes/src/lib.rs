//! Stand-ins for the platform and the upstreams.
//!
//! Each is a small HTTP server, started in a test or as a process. All take
//! faults by `POST /faults` (see [`Faults`]) and keep a history by
//! `GET /history`, so that a run can be judged by what the stand-ins saw and
//! not by what the product says of itself.
//!
//! The rates of the engine are assumed: the users' engine figures aren't known.
//! Nothing in the product depends on them.

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
