//! Settings of a process and documents of a service.
//!
//! Both are YAML. Both are read by the same strict reader, which collects every
//! fault with its line and column before it gives up, so that an operator mends
//! a file in one go.

pub mod doc;
pub mod error;
pub mod settings;
pub mod yaml;

pub use doc::{Class, ClassId, Doc, Kind, Model, Route, TenantLimits, Upstream, UpstreamId};
pub use error::{ParseError, ParseErrors};
pub use settings::{Limits, Platform, Settings};
