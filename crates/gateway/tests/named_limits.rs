//! Tests which limit of an upstream hosts believe in, without a network.

use gateway::fleet::named_limit::{LimitVersion, NamedLimit};
use platform::header::RequestRate;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use std::time::{Duration, Instant};

const LOW: Option<RequestRate> = Some(RequestRate(1200));
const HIGH: Option<RequestRate> = Some(RequestRate(24_700));

/// An answer without a limit that was sent before the upstream named one ended the limit.
#[test]
fn an_answer_that_was_overtaken_does_not_end_a_limit() {
    let start = Instant::now();
    let ms = |n| start + Duration::from_millis(n);
    let mut limit = NamedLimit::default();
    assert!(limit.record_answer(LOW, ms(10), ms(20)));
    assert!(
        !limit.record_answer(None, ms(5), ms(30)),
        "sent before the change"
    );
    assert_eq!(limit.rate(), LOW);
    assert!(limit.record_answer(None, ms(25), ms(40)));
    assert!(
        !limit.record_answer(LOW, ms(24), ms(50)),
        "sent before the end"
    );
    assert_eq!(limit.rate(), None);
}

/// A peer that still knows an old limit must not bring it back, and learns of the end again.
#[test]
fn a_peer_with_an_old_version_does_not_bring_a_limit_back() {
    let start = Instant::now();
    let late = start + Duration::from_secs(60);
    let (mut host, mut old) = (NamedLimit::default(), NamedLimit::default());
    host.record_answer(LOW, start, start);
    old.merge(host.advertised_version(start).unwrap(), start);
    host.record_answer(None, late, late);
    let much_later = late + Duration::from_secs(60);
    assert!(host.advertised_version(much_later).is_none());
    host.merge(old.advertised_version(much_later).unwrap(), much_later);
    assert_eq!(host.rate(), None);
    let end = host.advertised_version(much_later).unwrap();
    assert!(old.merge(end, much_later));
    assert_eq!(old.rate(), None);
}

/// What happens at one of the hosts.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The upstream answers a request that was sent a number of milliseconds ago.
    Answer { host: usize, ago_ms: u64 },
    /// A datagram from one host arrives at another.
    Datagram { from: usize, to: usize },
    /// The upstream changes its limit.
    Change(Option<RequestRate>),
    /// A host starts again and knows nothing.
    Restart { host: usize },
}

fn step(hosts: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..hosts, 0u64..40).prop_map(|(host, ago_ms)| Step::Answer { host, ago_ms }),
        4 => (0..hosts, 0..hosts).prop_map(|(from, to)| Step::Datagram { from, to }),
        1 => prop::sample::select(vec![None, LOW, HIGH]).prop_map(Step::Change),
        1 => (0..hosts).prop_map(|host| Step::Restart { host }),
    ]
}

/// Hosts that heard of changes in different orders, late or not at all disagreed for good.
#[test]
fn hosts_agree_on_the_last_limit_whatever_they_heard_before() {
    const HOSTS: usize = 12;
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Cases::with_cases(400), rng);
    runner
        .run(&vec(step(HOSTS), 0..120), |steps| {
            let start = Instant::now();
            let mut hosts: Vec<NamedLimit> = (0..HOSTS).map(|_| NamedLimit::default()).collect();
            // Limits of the upstream, with the times from which it named them.
            let mut named = vec![(start, None)];
            let mut now = start + Duration::from_secs(1);
            for step in steps {
                now += Duration::from_millis(10);
                match step {
                    Step::Answer { host, ago_ms } => {
                        let sent = now - Duration::from_millis(ago_ms);
                        let at_that_time = named.iter().rfind(|(at, _)| *at <= sent);
                        let rate = at_that_time.and_then(|(_, rate)| *rate);
                        hosts[host].record_answer(rate, sent, now);
                    }
                    Step::Datagram { from, to } => send(&mut hosts, from, to, now),
                    Step::Change(rate) => named.push((now, rate)),
                    Step::Restart { host } => hosts[host] = NamedLimit::default(),
                }
            }
            // All hosts get an answer to a later request, and hear each other.
            let last = named.last().and_then(|(_, rate)| *rate);
            for _ in 0..3 {
                now += Duration::from_millis(10);
                for host in &mut hosts {
                    host.record_answer(last, now, now);
                }
                for from in 0..HOSTS {
                    for to in 0..HOSTS {
                        send(&mut hosts, from, to, now);
                    }
                }
                now += Duration::from_millis(10);
            }
            prop_assert!(hosts.iter().all(|h| h.rate() == last));
            Ok(())
        })
        .unwrap();
}

fn send(hosts: &mut [NamedLimit], from: usize, to: usize, now: Instant) {
    if let Some(version) = hosts[from].advertised_version(now) {
        hosts[to].merge(version, now);
    }
}

/// Of two changes with the same number, hosts keep the lower limit until the next answer.
#[test]
fn the_lower_of_two_equal_versions_holds() {
    let now = Instant::now();
    let version = |rate| LimitVersion { version: 1, rate };
    for order in [[Some(1200), None], [None, Some(1200)]] {
        let mut limit = NamedLimit::default();
        for rate in order {
            limit.merge(version(rate), now);
        }
        assert_eq!(limit.rate(), LOW);
    }
}
