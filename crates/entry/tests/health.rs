//! Tests that failed agents are suspended, for longer after repeated failures, and used again
//! later.

use entry::health::AgentHealth;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Slightly longer than the first suspension.
const AFTER_FIRST_SUSPENSION: Duration = Duration::from_millis(501);

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn a_failed_agent_is_suspended_and_others_are_not() {
    let health = AgentHealth::default();
    let now = Instant::now();
    health.failed(addr(1), now);
    assert!(health.is_suspended(addr(1), now));
    assert!(!health.is_suspended(addr(2), now));
    assert!(!health.is_suspended(addr(1), now + AFTER_FIRST_SUSPENSION));
}

#[test]
fn suspension_grows_with_repeated_failures_and_resets_after_successes() {
    let health = AgentHealth::default();
    let now = Instant::now();
    health.failed(addr(1), now);
    // A probe that was in flight fails as well, which changes nothing.
    health.failed(addr(1), now);
    let again = now + AFTER_FIRST_SUSPENSION;
    assert!(!health.is_suspended(addr(1), again));
    health.failed(addr(1), again);
    assert!(health.is_suspended(addr(1), again + AFTER_FIRST_SUSPENSION));
    assert!(!health.is_suspended(addr(1), again + AFTER_FIRST_SUSPENSION * 2));
    for _ in 0..10 {
        health.succeeded(addr(1));
    }
    let later = again + AFTER_FIRST_SUSPENSION * 4;
    health.failed(addr(1), later);
    assert!(!health.is_suspended(addr(1), later + AFTER_FIRST_SUSPENSION));
}

#[test]
fn agents_that_no_document_lists_are_removed() {
    let health = AgentHealth::default();
    let now = Instant::now();
    health.failed(addr(1), now);
    health.failed(addr(2), now);
    health.keep_only(&[addr(2)]);
    assert!(!health.is_suspended(addr(1), now));
    assert!(health.is_suspended(addr(2), now));
}
