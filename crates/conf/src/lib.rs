//! Settings of a process and documents of a service.
//!
//! Both are YAML files read by the same strict parser. It collects all errors with line and column,
//! so that an operator can fix a file in one go.

pub mod doc;
pub mod error;
pub mod settings;
pub mod yaml;

pub use doc::{Class, ClassId, Doc, Kind, Model, Route, TenantLimits, Upstream, UpstreamId};
pub use error::{ParseError, ParseErrors};
pub use settings::{Limits, Platform, Settings};
