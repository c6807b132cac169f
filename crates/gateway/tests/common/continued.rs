//! Begins streams, restarts hosts, and continues the streams.

use super::join_all;
use super::versions::{Bed, EVENTS_BEFORE_BREAK, ONCE};
use std::time::Duration;

/// Number of streams that a test begins and continues.
pub const STREAMS: usize = 24;
/// Time between two stop signals of a series. All four hosts get theirs before the first one ends,
/// as a host without requests takes 2.3 s to stop.
pub const STOP_GAP: Duration = Duration::from_millis(500);
/// Two upstreams of each of two versions.
pub const TWO_VERSIONS: [&str; 4] = ["v1", "v1", "v1.1", "v1.1"];
/// Two upstreams of one version.
pub const ONE_VERSION: [&str; 2] = ["v1", "v1"];

/// Deadline of the streams, longer than any test takes.
pub const DEADLINE_MS: u64 = 60_000;

/// Begins the streams at all hosts in turn.
pub async fn begin(bed: &mut Bed) {
    bed.deadline_ms = DEADLINE_MS;
    for n in 0..STREAMS {
        begin_one(bed, n % bed.hosts.len(), n).await;
    }
}

/// Begins stream `n` at a host.
pub async fn begin_one(bed: &Bed, host: usize, n: usize) {
    let part = bed.send(host, ONCE, &format!("begun-{n}"), "").await;
    assert_eq!(part.events() as u64, EVENTS_BEFORE_BREAK, "{part:?}");
}

/// Continues the streams at all hosts in turn, and begins a new one beside each. Returns how many
/// went on. `is_named` is false if the clients don't name the attempts that began the streams.
pub async fn count_resumed(bed: &Bed, is_named: bool) -> usize {
    let mut resumed = 0;
    for n in 0..STREAMS {
        resumed += usize::from(goes_on(bed, n % bed.hosts.len(), n, is_named).await);
    }
    resumed
}

/// The same at the given hosts, for clients that name the attempts.
pub async fn count_resumed_at(bed: &Bed, hosts: &[usize]) -> usize {
    let mut resumed = 0;
    for n in 0..STREAMS {
        resumed += usize::from(goes_on(bed, hosts[n % hosts.len()], n, true).await);
    }
    resumed
}

/// Continues stream `n` at a host, and begins a new one beside it. Returns whether it went on.
pub async fn goes_on(bed: &Bed, host: usize, n: usize, is_named: bool) -> bool {
    let (begun, next) = (format!("begun-{n}"), format!("next-{n}"));
    let rest = match is_named {
        true => bed.resume(host, &next, &begun).await,
        false => {
            let after = format!("last-event-id: {EVENTS_BEFORE_BREAK}\r\n");
            bed.send(host, ONCE, &next, &after).await
        }
    };
    match rest.status {
        200 => assert!(rest.is_whole(), "{rest:?}"),
        _ => assert!(rest.text.contains("not_run"), "{rest:?}"),
    }
    assert_eq!(
        bed.versions_of(&[&begun, &next]).len(),
        1,
        "a stream over two versions"
    );
    let new = bed.send(host, ONCE, &format!("new-{n}"), "").await;
    assert_eq!(new.events() as u64, EVENTS_BEFORE_BREAK, "{new:?}");
    rest.is_whole()
}

/// Tells hosts to stop, with a gap between two signals, and starts each again as it has ended.
pub async fn restart_in_series(bed: &mut Bed, hosts: std::ops::Range<usize>, gap: Duration) {
    let restarts = bed.hosts[hosts]
        .iter_mut()
        .enumerate()
        .map(async |(n, host)| {
            tokio::time::sleep(gap * n as u32).await;
            host.stop();
            host.restart().await;
        });
    join_all(restarts).await;
}
