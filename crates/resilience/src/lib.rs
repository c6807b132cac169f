//! Containment of failures: retry budgets, health of upstreams, and detection of requests that
//! crash upstreams.

pub mod budget;
pub mod crashes;
pub mod fingerprint;
pub mod health;

pub use budget::RetryBudget;
pub use crashes::{CrashTracker, Verdict};
pub use fingerprint::Fingerprint;
pub use health::{Health, Suspension};
