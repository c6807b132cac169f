//! Versions of a service that were in service recently.

use crate::{MAX_STREAM_LIFETIME, NameHash};
use std::time::{Duration, Instant};

/// Longest time for which an upstream begins streams after its entry was removed, at hosts that
/// don't know of that.
pub const MAX_LINGER: Duration = Duration::from_secs(60);
/// Time after which a former version has no stream left.
pub const VERSION_LIFETIME: Duration = MAX_STREAM_LIFETIME.saturating_add(MAX_LINGER);

/// Versions whose last upstream has left, with the time.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Sorted by version.
    former: Vec<(NameHash, Instant)>,
}

impl VersionHistory {
    /// Records that an upstream of a version has left.
    pub fn record_left(&mut self, version: NameHash, now: Instant) {
        self.record_left_at(version, now, now);
    }

    /// Records that an upstream of a version left at `left_at`.
    pub fn record_left_at(&mut self, version: NameHash, left_at: Instant, now: Instant) {
        self.former
            .retain(|(_, at)| now.saturating_duration_since(*at) < VERSION_LIFETIME);
        match self.former.binary_search_by_key(&version, |(v, _)| *v) {
            Ok(at) => self.former[at].1 = self.former[at].1.max(left_at),
            Err(at) => self.former.insert(at, (version, left_at)),
        }
    }

    /// Versions whose last upstreams left within [`VERSION_LIFETIME`], with the times.
    pub fn former(&self, now: Instant) -> impl Iterator<Item = (NameHash, Instant)> {
        let is_recent = move |at: Instant| now.saturating_duration_since(at) < VERSION_LIFETIME;
        let former = self.former.iter().copied();
        former.filter(move |(_, at)| is_recent(*at))
    }

    /// The only version that streams can be of. `None` if there was another one within
    /// [`VERSION_LIFETIME`], which must have been known all that time.
    pub fn only_version(
        &self,
        mut present: impl Iterator<Item = NameHash>,
        now: Instant,
    ) -> Option<NameHash> {
        let first = present.next()?;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < VERSION_LIFETIME;
        let had_other = self
            .former
            .iter()
            .any(|(version, at)| *version != first && is_recent(*at));
        let is_only = present.all(|version| version == first) && !had_other;
        is_only.then_some(first)
    }
}
