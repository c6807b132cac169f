//! RequestKind tests and the bench share: a whole system of real processes on loopback
//! addresses with stand-ins around it, clients that check what they get, and a
//! judge that compares the clients' histories with the stand-ins'.

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
pub mod schedule;
pub mod scrape;
pub mod site;
pub mod slopes;
pub mod testbed;
pub mod up;
pub mod usage;
