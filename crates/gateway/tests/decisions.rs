//! Routes, events, budgets and health, against naive versions of themselves.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{configuration, route, runner};
use gateway::budget::Budget;
use gateway::events::EventCutter;
use gateway::fleet::Fleet;
use gateway::fleet::health::Health;
use gateway::routes::RouteTable;
use platform::Route;
use proptest::prelude::*;
use std::time::{Duration, Instant};

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
