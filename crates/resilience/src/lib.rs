//! What keeps failures from spreading: the retry budget, and the health of
//! upstreams as their requests show it.

pub mod budget;
pub mod crashes;
pub mod fingerprint;
pub mod health;

pub use budget::RetryBudget;
pub use crashes::{CrashTracker, Verdict};
pub use fingerprint::Fingerprint;
pub use health::{Health, Suspension};
