//! Order of the requests that wait for an overloaded service, and which of them are rejected.
//!
//! Requests go by priority, and within a priority by turn ([`Turns`]). [`Queue`] decides who is sent
//! next, and who can't be served in time.

mod queue;
mod returns;
mod service_time;
mod turns;

pub use queue::{Entry, Late, Queue, Ticket, Waiting};
pub use returns::Returns;
pub use service_time::ServiceTime;
pub use turns::{Turn, Turns};
