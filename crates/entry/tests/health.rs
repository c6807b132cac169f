//! Agents that failed are left out, for longer each time, and come back.

use entry::health::AgentHealth;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longer than the first time for which an agent is left out.
const FIRST_IS_OVER: Duration = Duration::from_millis(501);

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn an_agent_that_failed_is_left_out_and_others_are_not() {
    let health = AgentHealth::default();
    let now = Instant::now();
    health.failed(addr(1), now);
    assert!(health.is_suspended(addr(1), now));
    assert!(!health.is_suspended(addr(2), now));
    assert!(!health.is_suspended(addr(1), now + FIRST_IS_OVER));
}

#[test]
fn it_is_left_out_for_longer_if_it_fails_again_and_not_once_it_is_sound() {
    let health = AgentHealth::default();
    let now = Instant::now();
    health.failed(addr(1), now);
    // A probe that was in flight fails too, which changes nothing.
    health.failed(addr(1), now);
    let again = now + FIRST_IS_OVER;
    assert!(!health.is_suspended(addr(1), again));
    health.failed(addr(1), again);
    assert!(health.is_suspended(addr(1), again + FIRST_IS_OVER));
    assert!(!health.is_suspended(addr(1), again + FIRST_IS_OVER * 2));
    for _ in 0..10 {
        health.succeeded(addr(1));
    }
    let later = again + FIRST_IS_OVER * 4;
    health.failed(addr(1), later);
    assert!(!health.is_suspended(addr(1), later + FIRST_IS_OVER));
}

#[test]
fn an_agent_that_no_document_names_is_forgotten() {
    let health = AgentHealth::default();
    let now = Instant::now();
    health.failed(addr(1), now);
    health.failed(addr(2), now);
    health.keep_only(&[addr(2)]);
    assert!(!health.is_suspended(addr(1), now));
    assert!(health.is_suspended(addr(2), now));
}
