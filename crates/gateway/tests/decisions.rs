//! The parts that decide, against naive versions of themselves.

use gateway::budget::Budget;
use gateway::choose::{Choice, Need, PREFILL_WEIGHT, choose};
use gateway::events::EventCutter;
use gateway::fleet::health::Health;
use gateway::fleet::speed::{Slowdown, Speed, Work};
use gateway::fleet::{Fleet, Merged};
use gateway::peers::{Beat, Load, Peers};
use gateway::routes::RouteTable;
use gateway::state::Gateway;
use net::{Meter, Stop};
use platform::{
    Config, Engine, Instance, Limits, PromptPart, Route, RouteKind, Service, Share, Stage,
};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// A runner with a fixed seed: the same cases each time.
fn runner() -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(Cases::with_cases(300), rng)
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(120),
        max_attempts: 2,
        shares: vec![Share {
            service: "s".into(),
            weight: 1,
        }],
    }
}

fn configuration(routes: Vec<Route>) -> Config {
    Config {
        version: 1,
        routes,
        services: vec![Service {
            name: "s".into(),
            engine: Some(Engine { slots: 8 }),
        }],
        limits: Limits {
            head_bytes: 16384,
            body_bytes: 65536,
            idle_timeout: Duration::from_secs(15),
        },
    }
}

fn instance(n: u8, stage: Stage) -> Instance {
    Instance {
        id: format!("i-{n}"),
        service: "s".into(),
        addr: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, n)), 1),
        zone: "z".into(),
        slots: 8,
        is_draining: false,
        stage: Some(stage),
    }
}

#[test]
fn a_route_is_found_as_by_looking_at_all() {
    let segment = "[ab]{1,2}";
    let prefix = proptest::collection::vec(segment, 0..3)
        .prop_map(|s| s.iter().fold("/".to_owned(), |p, s| format!("{p}{s}/")));
    let routes = proptest::collection::vec(("[xy]", prefix), 0..12);
    let path = proptest::collection::vec(segment, 0..5)
        .prop_map(|s| s.iter().fold(String::new(), |p, s| format!("{p}/{s}")));
    runner()
        .run(&(routes, "[xy]", path), |(routes, host, path)| {
            let mut all: Vec<Route> = Vec::new();
            for (n, (host, prefix)) in routes.iter().enumerate() {
                if !all
                    .iter()
                    .any(|r| r.host == *host && r.path_prefix == *prefix)
                {
                    all.push(route(&n.to_string(), host, prefix));
                }
            }
            let matching = all
                .iter()
                .filter(|r| r.host == host && path.starts_with(&r.path_prefix));
            let expected = matching
                .max_by_key(|r| r.path_prefix.len())
                .map(|r| r.name.clone());
            let table = RouteTable::new(configuration(all), &mut Fleet::default());
            let found = table.find(&host, &path).map(|t| t.route.name.clone());
            prop_assert_eq!(found, expected);
            Ok(())
        })
        .unwrap();
}

#[test]
fn events_are_cut_alike_however_the_bytes_come() {
    let cuts = proptest::collection::vec(1usize..9, 1..60);
    runner()
        .run(&(1u64..8, cuts, any::<bool>()), |(count, cuts, torn)| {
            let event = |n| format!("id: {n}\ndata: x{n}\n\n");
            let whole: String = (1..=count).map(event).collect();
            let mut text = whole.clone();
            if torn {
                text.push_str("id: 99\ndata: to");
            }
            let mut cutter = EventCutter::after(None);
            let mut out = Vec::new();
            let mut rest = text.as_bytes();
            for cut in cuts.iter().cycle() {
                let at = (*cut).min(rest.len());
                out.extend_from_slice(&cutter.push(&rest[..at]).unwrap());
                rest = &rest[at..];
                if rest.is_empty() {
                    break;
                }
            }
            prop_assert_eq!(out, whole.into_bytes());
            prop_assert_eq!(cutter.last_id(), Some(count));
            prop_assert_eq!(cutter.is_mid_event(), torn);
            Ok(())
        })
        .unwrap();
}

#[test]
fn events_that_were_passed_on_are_left_out_and_a_gap_is_seen() {
    let mut cutter = EventCutter::after(Some(2));
    let out = cutter
        .push(b"id: 1\nx\n\nid: 2\nx\n\nid: 3\ny\n\n")
        .unwrap();
    assert_eq!(&out[..], b"id: 3\ny\n\n");
    assert!(cutter.push(b"id: 5\nz\n\n").is_err());
}

#[test]
fn the_budget_keeps_to_its_share_over_any_window() {
    let steps = proptest::collection::vec((0u64..400, any::<bool>()), 1..400);
    runner()
        .run(&(steps, 1u32..6), |(steps, processes)| {
            let window = Duration::from_secs(10);
            let mut budget = Budget::new(0.2, 54.0, window, processes);
            let start = Instant::now();
            let mut at = Duration::ZERO;
            let mut requests: Vec<Duration> = Vec::new();
            let mut retries: Vec<Duration> = Vec::new();
            for (pause, is_retry) in steps {
                at += Duration::from_millis(pause);
                if !is_retry {
                    budget.earn(start + at);
                    requests.push(at);
                } else if budget.spend(start + at) {
                    retries.push(at);
                }
                let from = at.saturating_sub(window);
                let recent = retries.iter().filter(|t| **t >= from).count() as f64;
                // Requests count in the window or the one before it.
                let from = at.saturating_sub(window * 2);
                let earned = requests.iter().filter(|t| **t >= from).count() as f64;
                let bound = 0.2 * earned + 54.0 / f64::from(processes);
                prop_assert!(recent <= bound, "{recent} retries, {bound} allowed");
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_worker_that_fails_is_suspended_longer_each_time_and_a_sound_one_never() {
    let start = Instant::now();
    let mut health = Health::default();
    let mut pauses = Vec::new();
    let mut now = start;
    for _ in 0..12 {
        if let Some(s) = health.failed(0.25, now) {
            pauses.push(s.pause);
            assert!(health.is_suspended(now));
            now += s.pause;
            assert!(!health.is_suspended(now));
        }
    }
    assert!(pauses.len() >= 4, "{pauses:?}");
    assert!(pauses.windows(2).all(|p| p[1] >= p[0]), "{pauses:?}");
    assert_eq!(*pauses.last().unwrap(), Duration::from_secs(4));

    // One in seven answers says that the worker failed; that is its usual way.
    let mut health = Health::default();
    for n in 0..5000 {
        if n % 7 == 0 {
            assert!(health.failed(0.06, start).is_none());
        } else {
            health.succeeded();
        }
    }
}

#[test]
fn the_speed_of_engines_is_learned() {
    let mut speed = Speed::decode();
    let truth = |w: Work| 12.0 + 7.0 * w.prompts + 0.002 * w.tokens;
    for n in 0..2000u32 {
        let work = Work {
            prompts: f64::from(n % 7),
            tokens: f64::from((n * 997) % 30_000),
        };
        // Every fifth takes a little longer, every fifth a little less.
        let off = [0.0, 3.0, 0.0, -3.0, 0.0][(n % 5) as usize];
        speed.sample(work, truth(work) + off);
    }
    for (prompts, tokens) in [(0.0, 500.0), (2.0, 9000.0), (6.0, 25_000.0)] {
        let work = Work { prompts, tokens };
        let estimate = speed.estimate(work);
        assert!((estimate - truth(work)).abs() < 2.0, "{work:?}: {estimate}");
    }
}

#[test]
fn a_slow_upstream_shows_and_one_late_answer_does_not() {
    let mut slowdown = Slowdown::default();
    slowdown.sample(5000.0, 20.0);
    assert!(slowdown.factor() < 1.5, "{}", slowdown.factor());
    for _ in 0..60 {
        slowdown.sample(100.0, 20.0);
    }
    assert!(
        (4.0..6.0).contains(&slowdown.factor()),
        "{}",
        slowdown.factor()
    );
}

#[test]
fn a_key_of_a_removed_upstream_finds_nothing() {
    let mut fleet = Fleet::default();
    let meter = Meter::default();
    let Merged::Added(key) = fleet.merge(instance(1, Stage::Decode), &meter) else {
        panic!("it is new");
    };
    assert!(fleet.remove(key).is_some());
    let Merged::Added(next) = fleet.merge(instance(2, Stage::Decode), &meter) else {
        panic!("it is new");
    };
    assert!(fleet.get(key).is_none());
    assert!(fleet.remove(key).is_none());
    assert_eq!(fleet.get(next).unwrap().instance.id, "i-2");
}

fn beat(start: u64, number: u64, loads: &[(u64, u32)]) -> Beat {
    Beat {
        start,
        number,
        config: 0,
        registry: 0,
        view: 0,
        loads: loads
            .iter()
            .map(|(upstream, tokens)| Load {
                upstream: *upstream,
                waiting: 1,
                tokens: *tokens,
                running: 1,
                streams: 0,
            })
            .collect(),
    }
}

#[test]
fn many_peers_that_speak_seldom_count_as_alive() {
    let mut fleet = Fleet::default();
    let mut peers = Peers::default();
    let start = Instant::now();
    let ip = |n: u16| IpAddr::V4(Ipv4Addr::new(10, 1, (n >> 8) as u8, n as u8));
    // 300 processes, each heard every 1.2 s, one after the other.
    let pause = gateway::peers::exchange::SEND_EVERY_PER_PEER;
    for round in 0..3u64 {
        for n in 0..300u16 {
            let now = start + pause * (round as u32 * 300 + u32::from(n));
            peers.hear(ip(n), beat(1, round, &[]), &mut fleet, now);
            peers.expire(&mut fleet, now);
            let expected = if round == 0 { usize::from(n) + 1 } else { 300 };
            assert_eq!(peers.live(now).count(), expected);
        }
    }
    let later = start + pause * 900 + Duration::from_secs(10);
    peers.expire(&mut fleet, later);
    assert_eq!(peers.live(later).count(), 0);
}

/// Number, time and loads of what a peer last said.
type Word = (u64, Instant, Vec<(u64, u32)>);

#[test]
fn peers_loads_add_up_as_by_summing_their_last_words() {
    let word = (
        0u8..3,
        0u64..3,
        proptest::collection::vec((0usize..3, 0u32..1000), 0..3),
        0u64..900,
    );
    let words = proptest::collection::vec(word, 1..60);
    runner()
        .run(&words, |words| {
            let mut fleet = Fleet::default();
            let meter = Meter::default();
            for n in 0..3 {
                fleet.merge(instance(n, Stage::Decode), &meter);
            }
            let hashes: Vec<u64> = fleet.iter().map(|(_, u)| u.hash).collect();
            let mut peers = Peers::default();
            let mut now = Instant::now();
            let mut last: Vec<Option<Word>> = vec![None; 3];
            for (n, (peer, number, loads, pause)) in words.into_iter().enumerate() {
                now += Duration::from_millis(pause);
                let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, peer));
                let number = n as u64 + number;
                let loads: Vec<_> = loads.iter().map(|(at, t)| (hashes[*at], *t)).collect();
                let is_new = peers.hear(ip, beat(1, number, &loads), &mut fleet, now);
                let known = &mut last[usize::from(peer)];
                if known.as_ref().is_none_or(|(k, ..)| *k < number) {
                    prop_assert!(is_new);
                    *known = Some((number, now, loads));
                }
                peers.expire(&mut fleet, now);
                for known in &mut last {
                    let is_silent = known.as_ref().is_some_and(|(_, at, _)| {
                        now.saturating_duration_since(*at) >= gateway::peers::SILENT
                    });
                    if is_silent {
                        *known = None;
                    }
                }
                for (_, upstream) in fleet.iter() {
                    let words = last.iter().flatten().flat_map(|(_, _, loads)| loads);
                    let sum: u32 = words
                        .filter(|(h, _)| *h == upstream.hash)
                        .map(|(_, t)| t)
                        .sum();
                    prop_assert_eq!(upstream.others.tokens, sum);
                }
            }
            Ok(())
        })
        .unwrap();
}

fn gateway_with(stages: &[Stage]) -> std::sync::Arc<Gateway> {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let host = platform::Host {
        name: "edge".into(),
        zone: "z".into(),
        ip,
        callers: None,
        ready: None,
        peer_port: 1,
        store: SocketAddr::new(ip, 1),
        stop_grace: Duration::from_secs(8),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 50.0,
    };
    let gateway = Gateway::new(host, Stop::default());
    let table = RouteTable::new(configuration(Vec::new()), &mut gateway.fleet());
    gateway.set_routes(table);
    for (n, stage) in stages.iter().enumerate() {
        gateway
            .fleet()
            .merge(instance(n as u8, *stage), &Meter::default());
    }
    gateway
}

fn chosen(gateway: &Gateway, part: u64) -> Option<String> {
    chosen_if(gateway, part, false)
}

fn chosen_if(gateway: &Gateway, part: u64, is_rest: bool) -> Option<String> {
    let parts = [
        PromptPart {
            id: 1,
            tokens: 2500,
        },
        PromptPart {
            id: part,
            tokens: 3700,
        },
        PromptPart {
            id: part << 32,
            tokens: 2900,
        },
    ];
    let service = gateway.fleet().service("s");
    let need = Need {
        service,
        parts: &parts,
        prompt_tokens: 9100,
        max_output_tokens: 64,
        target: Duration::from_millis(120),
        is_rest,
        may_split: true,
        tried: &[],
    };
    match choose(gateway, &need) {
        Choice::Send(plan) => Some(plan.instance),
        Choice::Busy(..) | Choice::NoUpstream => None,
    }
}

#[test]
fn all_processes_agree_on_homes_and_few_move_when_one_leaves() {
    use Stage::{Decode, Prefill};
    let stages = [
        Prefill, Prefill, Decode, Decode, Decode, Decode, Decode, Decode, Decode,
    ];
    let (a, b) = (gateway_with(&stages), gateway_with(&stages));
    let homes: Vec<_> = (2..1002).map(|part| chosen(&a, part).unwrap()).collect();
    let others: Vec<_> = (2..1002).map(|part| chosen(&b, part).unwrap()).collect();
    assert_eq!(homes, others);
    // Two that only read, by their weight, and seven others share 1,000 parts.
    let weights = 2.0 * PREFILL_WEIGHT + 7.0;
    let count = |id: &str| homes.iter().filter(|h| *h == id).count();
    for n in 0..9 {
        let weight = if n < 2 { PREFILL_WEIGHT } else { 1.0 };
        let expected = 1000.0 * weight / weights;
        let share = count(&format!("i-{n}")) as f64 / expected;
        assert!((0.7..1.3).contains(&share), "i-{n}: {share}");
    }
    let mut leaving = instance(4, Decode);
    leaving.is_draining = true;
    a.fleet().merge(leaving, &Meter::default());
    for (part, before) in (2..1002).zip(&homes) {
        let after = chosen(&a, part).unwrap();
        assert!(after != "i-4");
        assert!(
            before == "i-4" || *before == after,
            "only its own parts move"
        );
    }
}

#[test]
fn a_prompt_whose_home_has_too_much_to_do_is_refused() {
    let gateway = gateway_with(&[Stage::Decode]);
    assert!(chosen(&gateway, 7).is_some());
    let key = gateway.fleet().find("i-0").unwrap();
    let placed: Vec<_> = (0..8).map(|_| gateway.place(key, 5000, false)).collect();
    assert!(chosen(&gateway, 7).is_none());
    // The rest of a broken stream is taken up to a larger bound.
    assert!(chosen_if(&gateway, 7, true).is_some());
    let more: Vec<_> = (0..40).map(|_| gateway.place(key, 5000, false)).collect();
    assert!(chosen_if(&gateway, 7, true).is_none());
    drop(more);
    drop(placed);
    assert!(chosen(&gateway, 7).is_some());
}
