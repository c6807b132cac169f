//! Tests attempts that are abandoned for another one, as their first byte takes too long.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::crashing::System;
use standin::{Action, fixture};
use std::time::{Duration, Instant};

/// Time until hosts that are new to the fleet may use their shares of limits.
const JOIN_TIME: Duration = Duration::from_millis(6500);
/// Longer than the timeout for a first byte, and shorter than the one of a request.
const SLOW_ANSWER: Duration = Duration::from_millis(2500);

/// Guards against failing a request that its upstream would answer: it is abandoned there, although
/// all other upstreams are at their limits.
#[tokio::test]
async fn a_slow_request_is_not_abandoned_while_no_other_upstream_has_room() {
    let system = System::start(1, 2).await;
    tokio::time::sleep(JOIN_TIME).await;
    let limited = Action::WithHeaders(fixture::request_limit_header("0.1"), Box::new(Action::Echo));
    system.workers()[1].set_default_action(limited);
    let send = async |id: String| {
        let req = fixture::request("GET", "/safe/", &id, "", "");
        common::status(&common::exchange(system.hosts[0].callers, &req).await)
    };
    // The limit is named and used up.
    for n in 0..40 {
        assert_eq!(send(format!("fill-{n}")).await, 200);
    }
    let before = system.workers()[1].requests().len();
    assert!(before > 0);
    let slow = Action::Delayed(SLOW_ANSWER, Box::new(Action::Echo));
    system.workers()[0].set_default_action(slow);
    let since = Instant::now();
    assert_eq!(
        send("slow".into()).await,
        200,
        "after {:?}",
        since.elapsed()
    );
    assert_eq!(system.workers()[1].requests().len(), before);
}
