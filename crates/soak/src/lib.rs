//! A fault soak: gateways as real processes before stand-ins, faults from outside
//! them, and promises checked from what clients and workers see.

pub mod client;
pub mod cut;
pub mod deadly;
pub mod fault;
pub mod judge;
pub mod keys;
pub mod scene;
pub mod schedule;
pub mod stops;
