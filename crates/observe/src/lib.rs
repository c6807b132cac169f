//! What operators see of a process: JSON log lines and prometheus metrics.

pub mod event;
pub mod log_line;
pub mod metrics;
pub mod sink;

pub use event::{ConfigContext, Event};
pub use log_line::{emit, flush, init};
pub use metrics::{Labels, Latency, Metrics};
