//! What was running when an upstream crashed, and what of it may be the cause.

use crate::Fingerprint;
use std::sync::Arc;

/// Maximum number of parts of a prompt that are examined. Further ones are ignored, which bounds
/// the work for a request.
pub const MAX_PARTS: usize = 64;

/// A possible cause of crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A whole request.
    Request(Fingerprint),
    /// A part of a prompt, whatever else the request holds.
    Part(u64),
}

impl From<Fingerprint> for Subject {
    fn from(fingerprint: Fingerprint) -> Self {
        Self::Request(fingerprint)
    }
}

/// A request that was sent to an upstream, with the parts of its prompt that other requests may
/// have too. Each of them is a possible cause if the upstream crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Ids of the parts, in order.
    pub parts: Arc<[u64]>,
}

impl Run {
    /// A request with these shared parts.
    pub fn new(request: Fingerprint, parts: impl IntoIterator<Item = u64>) -> Self {
        Self {
            request,
            parts: parts.into_iter().take(MAX_PARTS).collect(),
        }
    }

    /// The request and each of its parts.
    pub fn subjects(&self) -> impl Iterator<Item = Subject> {
        let parts = self.parts.iter().copied().map(Subject::Part);
        std::iter::once(Subject::Request(self.request)).chain(parts)
    }

    /// Whether the run is of this request or has this part.
    pub(super) fn contains(&self, subject: Subject) -> bool {
        match subject {
            Subject::Request(fingerprint) => self.request == fingerprint,
            Subject::Part(id) => self.parts.contains(&id),
        }
    }

    /// The same request with only those parts that satisfy a condition.
    pub(super) fn with_parts(&self, keep: impl Fn(u64) -> bool) -> Self {
        Self::new(
            self.request,
            self.parts.iter().copied().filter(|id| keep(*id)),
        )
    }
}

/// A request without parts.
impl From<Fingerprint> for Run {
    fn from(request: Fingerprint) -> Self {
        Self::new(request, [])
    }
}
