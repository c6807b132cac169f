//! What operators see of a process: JSON log lines and prometheus metrics.

pub mod event;
pub mod metrics;
pub mod sink;

pub use event::{Event, emit, flush, init};
pub use metrics::{Labels, Metrics, Seconds};
