//! Planner: for each service with engines, one entry process holds a lease and writes the
//! desired state of each engine.
//!
//! An order is a transaction conditional on the versions of the lease row and of the engine's
//! desired row that the planner read. The transaction of a planner that lost its lease while it
//! was paused or partitioned is refused, independent of clocks.

pub mod lease;
pub mod planner;
pub mod policy;

pub use lease::{LeaseManager, LeaseState};
pub use planner::{DUTY, Planner};
