//! Tests that only an upstream whose process has ended counts as crashed.
//!
//! Guards against this failure: three upstreams broke the connection of each request for 6 s, and
//! then answered again. No process had ended, but one of them had no open connection and no other
//! request at the time, which counted as a crash. The request was refused with 400 for an hour.

#[expect(dead_code, reason = "each test file uses some of them")]
mod common;

use common::crashing::{CRASH_MARKER, DETECTION_TIME, System};
use common::{request, status};
use standin::Action;
use std::time::{Duration, Instant};

/// Time for which the upstreams break connections, and the interval between two requests.
const BROKEN_FOR: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a sound request is served again, from the moment at which upstreams answer.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Ways of breaking a connection: without an answer, within the head, with a reset, and within the
/// body.
fn ways_of_breaking() -> [Action; 4] {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: ";
    [
        Action::Close,
        Action::Raw(head.into()),
        Action::CloseDelimitedReset("part".into()),
        Action::Truncated("part of an answer".into()),
    ]
}

/// Sends one request again and again while upstreams break its connections and afterwards. Returns
/// the statuses of its answers from [`RECOVERY_TIME`] after the upstreams answer again.
async fn statuses_after_breaks(path: &str, way: Action) -> Vec<u16> {
    let system = System::start(3, 3).await;
    system.set_default_act(&way);
    let started_at = Instant::now();
    let mut statuses = Vec::new();
    for id in 0.. {
        let elapsed = started_at.elapsed();
        if elapsed >= BROKEN_FOR {
            system.set_default_act(&Action::Serve(3));
        }
        let status = system.send(path, id, "sound").await;
        assert_ne!(status, 400, "{path} {way:?} at {elapsed:?}");
        if elapsed >= BROKEN_FOR + RECOVERY_TIME {
            statuses.push(status);
        }
        if statuses.len() == 8 {
            return statuses;
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    unreachable!("the range has no end")
}

#[tokio::test]
async fn a_request_whose_connections_broke_is_served_again() {
    let paths = ["/unsafe/", "/safe/", "/stream/", "/resumable/"];
    let cells = paths.into_iter().flat_map(|path| {
        let ways = ways_of_breaking().into_iter();
        ways.map(move |way| (path, tokio::spawn(statuses_after_breaks(path, way))))
    });
    for (path, cell) in cells.collect::<Vec<_>>() {
        let statuses = cell.await.unwrap();
        assert!(statuses.iter().all(|s| *s == 200), "{path}: {statuses:?}");
    }
}

/// An upstream that is back under its address before it can be asked whether it has ended.
#[tokio::test]
async fn a_request_that_crashes_upstreams_is_blocked_although_they_restart_at_once() {
    let system = System::start_with_downtime(3, 8, Duration::from_millis(10)).await;
    let mut id = 0;
    while system.crash_count() < 5 {
        system.send("/unsafe/", id, CRASH_MARKER).await;
        id += 1;
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    tokio::time::sleep(DETECTION_TIME).await;
    let before = system.crash_count();
    for id in id..id + 24 {
        system.send("/unsafe/", id, CRASH_MARKER).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let later = system.crash_count() - before;
    assert!(later <= 3, "{later} more workers crashed");
    let host = &system.hosts[0];
    let text = request("POST", "/safe/", "other", "", "other");
    assert_eq!(status(&common::exchange(host.callers, &text).await), 200);
}
