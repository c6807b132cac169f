//! A fault soak: gateways as real processes before stand-ins, faults from outside
//! them, and promises checked from what clients and workers see.

pub mod checker;
pub mod client;
pub mod cluster;
pub mod crashing;
pub mod disruption;
pub mod fault;
pub mod keys;
pub mod schedule;
pub mod stops;
