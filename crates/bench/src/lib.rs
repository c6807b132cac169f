//! Test and measurement support for the whole system on loopback addresses.
//!
//! The system's processes run against stand-ins for the platform and the upstreams. Clients
//! verify the responses they receive, and the records of clients and stand-ins are compared
//! afterwards.

pub mod capacity;
pub mod check;
pub mod client;
pub mod demo;
pub mod deploy;
pub mod driver;
pub mod edit;
pub mod faults;
pub mod gateway;
pub mod gather;
pub mod inforce;
pub mod judge;
pub mod keys;
pub mod load;
pub mod mix;
pub mod outage;
pub mod probe;
pub mod procs;
pub mod recover;
pub mod relay;
pub mod restore;
pub mod schedule;
pub mod scrape;
pub mod site;
pub mod slopes;
pub mod takeups;
pub mod testbed;
pub mod up;
pub mod usage;
