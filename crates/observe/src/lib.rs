//! JSON log lines and Prometheus metrics of a process.

pub mod event;
pub mod log_line;
pub mod metrics;
pub mod sink;

pub use event::{
    BoundContext, ConfigContext, Event, OverloadContext, StreamContext, StreamSearchAnswer,
    SuspectContext,
};
pub use log_line::{emit, flush, init};
pub use metrics::{Labels, Latency, Metrics};
