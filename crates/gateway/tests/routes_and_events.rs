//! Tests the route table and the event splitter against simple reference versions.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{configuration, route, runner};
use gateway::events::EventSplitter;
use gateway::fleet::Fleet;
use gateway::routes::RouteTable;
use platform::Route;
use proptest::prelude::*;

#[test]
fn the_route_table_finds_the_same_route_as_a_linear_scan() {
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
            let table = RouteTable::new(configuration(all), &mut Fleet::default(), None);
            let found = table.find(&host, &path).map(|t| t.route.name.clone());
            prop_assert_eq!(found, expected);
            Ok(())
        })
        .unwrap();
}

#[test]
fn events_are_split_the_same_way_for_any_chunk_sizes() {
    let chunk_lens = proptest::collection::vec(1usize..9, 1..60);
    runner()
        .run(
            &(1u64..8, chunk_lens, any::<bool>()),
            |(count, chunk_lens, is_truncated)| {
                let event = |n| format!("id: {n}\ndata: x{n}\n\n");
                let complete: String = (1..=count).map(event).collect();
                let mut text = complete.clone();
                if is_truncated {
                    text.push_str("id: 99\ndata: to");
                }
                let mut splitter = EventSplitter::after(None);
                let mut out = Vec::new();
                let mut rest = text.as_bytes();
                for len in chunk_lens.iter().cycle() {
                    let at = (*len).min(rest.len());
                    out.extend_from_slice(&splitter.push(&rest[..at]).unwrap());
                    rest = &rest[at..];
                    if rest.is_empty() {
                        break;
                    }
                }
                prop_assert_eq!(out, complete.into_bytes());
                prop_assert_eq!(splitter.last_id(), Some(count));
                prop_assert_eq!(splitter.is_mid_event(), is_truncated);
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn events_that_were_already_relayed_are_skipped_and_a_gap_is_an_error() {
    let mut splitter = EventSplitter::after(Some(2));
    let out = splitter
        .push(b"id: 1\nx\n\nid: 2\nx\n\nid: 3\ny\n\n")
        .unwrap();
    assert_eq!(&out[..], b"id: 3\ny\n\n");
    assert!(splitter.push(b"id: 5\nz\n\n").is_err());
}

#[test]
fn events_of_a_chunk_with_a_gap_are_not_counted_as_relayed() {
    let mut splitter = EventSplitter::after(Some(2));
    assert!(splitter.push(b"id: 3\n\nid: 4\n\nid: 6\n\n").is_err());
    // None of them was relayed, so the stream resumes after event 2.
    assert_eq!(splitter.last_id(), Some(2));
}
