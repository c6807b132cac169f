//! Tests since when a process has known all upstreams.

use gateway::state::{CoveredSince, RegistryCoverage};
use std::time::{Duration, Instant};

const MINUTE: Duration = Duration::from_secs(60);

/// Guards against a view with gaps, or one that has just begun, being taken for whole.
#[test]
fn a_view_is_whole_from_its_first_read_or_the_last_gap_on() {
    let t0 = Instant::now();
    let at = |s| t0 + Duration::from_secs(s);
    let mut coverage = RegistryCoverage::default();
    assert!(!coverage.covers(Duration::ZERO, at(0)));
    for s in 0..=60 {
        coverage.record_read(at(s), s % 3 == 0);
        assert_eq!(coverage.covers(MINUTE, at(s)), s == 60);
    }
    assert_eq!(coverage.own_read_at(), Some(at(60)));
    coverage.record_read(at(64), false);
    assert!(!coverage.covers(MINUTE, at(64)));
    assert!(coverage.covers(Duration::from_secs(5), at(69)));
}

/// Guards against streams being rejected in a system that has just started for the first time, and
/// against that lasting over a gap or a restore of the store.
#[test]
fn nothing_was_before_the_first_start() {
    let t0 = Instant::now();
    let at = |s| t0 + Duration::from_secs(s);
    let mut coverage = RegistryCoverage::default();
    coverage.record_read(at(0), true);
    assert!(!coverage.covers(MINUTE, at(0)));
    assert!(coverage.extend(CoveredSince::Read(at(0)), CoveredSince::SystemStart));
    coverage.record_read(at(3), true);
    assert!(coverage.covers(MINUTE, at(3)));
    let mut with_gap = coverage;
    with_gap.record_read(at(7), true);
    assert!(!with_gap.covers(MINUTE, at(7)));
    coverage.record_restore();
    assert!(!coverage.covers(MINUTE, at(4)));
    coverage.record_read(at(4), true);
    assert!(!coverage.covers(MINUTE, at(4)));
    assert!(coverage.covers(MINUTE, at(64)));
}
