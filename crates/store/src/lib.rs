//! Clients of the platform: table service, object store and host list.
//!
//! The rest of the system uses only the traits. [`http`] implements them for one platform; another
//! platform needs another such module. The errors distinguish a refused call, an unavailable
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
