//! A soak test: gateways run as real processes with a simulated platform and simulated
//! workers, faults are injected from outside, and the guarantees are checked against what
//! clients and workers observed.

pub mod checker;
pub mod client;
pub mod cluster;
pub mod continuation;
pub mod crashing;
pub mod disruption;
pub mod fault;
pub mod keys;
pub mod parts;
pub mod process;
pub mod restarts;
pub mod schedule;
pub mod statements;
pub mod stops;
pub mod streams;
