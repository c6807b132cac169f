//! The planner's duty: for each service with engines, one entry process holds a
//! lease and writes what is desired of each engine.
//!
//! An order is a transaction that depends on the lease's row and on the desired
//! row as the planner read them. A planner that has lost its lease, paused or
//! cut off as it may be, fails that condition; no clock decides.

pub mod lease;
pub mod planner;
pub mod policy;

pub use lease::{LeaseManager, LeaseState};
pub use planner::{DUTY, Planner};
