//! Clients of the platform: table service, object store, host list.
//!
//! The traits are what the rest of the system knows. [`http`] is the one module
//! that speaks a platform's dialect; another platform is another such module.
//! Each call ends in an [`Error`] that tells apart a refusal, an unreachable
//! service, and a write that may or may not have taken effect.

pub mod docs;
pub mod http;
pub mod poll;
pub mod retry;
pub mod rows;
pub mod table;

pub use docs::{Documents, InForce};
pub use http::HttpPlatform;
pub use table::{
    Check, Conflict, Error, Host, HostList, HostState, Hosts, Objects, Put, Row, Table, Token, Txn,
    WriteError,
};
