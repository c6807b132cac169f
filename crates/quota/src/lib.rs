//! Distributed rate limiting for a fleet of hosts, without I/O.
//!
//! Each of N hosts owns a share of 1/N of every limit. A host leases its share to one grantor
//! at a time, and the grantor pools the shares leased to it ([`pool`]). A share is in only one
//! pool at a time, so all pools together stay within the limit when hosts are partitioned,
//! killed, started or paused. The exception is a host that restarts: its share may be in two
//! pools for up to one lease. [`lending`] decides which host leases its share to which grantor.

pub mod lending;
pub mod pool;
pub mod return_times;

pub use lending::{Collect, Lending};
pub use pool::{Cost, Limit, LimitKey, Pool, Refused, TenantId};
pub use return_times::ReturnTimes;
