//! Tests which ends of answers count as whole, without a network.

use gateway::completeness::{BodyMonitor, BreakOff, Completeness, Framing, MAX_EVENT_BYTES};
use gateway::events::EventSplitter;
use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const ALL_FRAMINGS: [Framing; 4] = [
    Framing::Empty,
    Framing::Length,
    Framing::Chunks,
    Framing::Connection,
];

fn runner() -> TestRunner {
    runner_with(2000)
}

fn runner_with(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(61),
        ..Config::default()
    })
}

fn monitor(framing: Framing) -> BodyMonitor {
    BodyMonitor::new(framing, true, StatusCode::OK, &HeaderMap::new())
}

/// Lines of an event or a group of comments, without its blank line.
fn block() -> impl Strategy<Value = (bool, Vec<String>)> {
    let field = "(id|data|event|x)(: ?[a-z:]{0,5})?".boxed();
    let comment = ":[a-z ]{0,5}".boxed();
    let comments = proptest::collection::vec(comment.clone(), 1..3);
    let event = (proptest::collection::vec(comment, 0..2), field, 0..3usize);
    prop_oneof![
        1 => comments.prop_map(|lines| (false, lines)),
        4 => event.prop_map(|(mut lines, field, more)| {
            lines.extend(std::iter::repeat_n(field, more + 1));
            (true, lines)
        }),
    ]
}

/// Guards against a cut being missed, or a whole stream being broken off: streams of drawn events,
/// comments and line ends are cut at each place, and arrive in chunks of drawn sizes.
#[test]
fn a_stream_is_whole_exactly_if_it_ends_between_events() {
    let blocks = proptest::collection::vec(block(), 0..5);
    let line_end = prop_oneof![Just("\n"), Just("\r\n"), Just("\r")];
    let chunk_lens = proptest::collection::vec(1usize..9, 1..9);
    runner()
        .run(
            &(blocks, line_end, chunk_lens),
            |(blocks, line_end, chunk_lens)| {
                let mut text = String::new();
                // Ends at which no event is open, with the number of events before.
                let mut whole_ends = vec![(0, 0)];
                let mut events = 0;
                for (is_event, lines) in &blocks {
                    for line in lines {
                        text += line;
                        text += line_end;
                        if line.starts_with(':') && !has_field_before(lines, line) {
                            whole_ends.push((text.len(), events));
                        }
                    }
                    text += line_end;
                    events += usize::from(*is_event);
                    whole_ends.push((text.len(), events));
                }
                for end in 0..=text.len() {
                    // Until the first CRLF, a line feed after a carriage return isn't expected.
                    let is_in_first_crlf =
                        text[end..].starts_with('\n') && text.find("\r\n") == end.checked_sub(1);
                    if is_in_first_crlf {
                        continue;
                    }
                    let found = whole_ends.iter().rev().find(|(at, _)| *at == end);
                    check_cut(&text[..end], found.map(|(_, events)| *events), &chunk_lens)?;
                }
                Ok(())
            },
        )
        .unwrap();
}

/// Whether a field precedes the first line that equals `line`.
fn has_field_before(lines: &[String], line: &str) -> bool {
    lines
        .iter()
        .take_while(|l| *l != line)
        .any(|l| !l.starts_with(':'))
}

fn check_cut(text: &str, events: Option<usize>, chunk_lens: &[usize]) -> Result<(), TestCaseError> {
    for framing in ALL_FRAMINGS {
        let mut monitor = monitor(framing);
        let mut splitter = EventSplitter::after(None);
        let mut relayed = Vec::new();
        let mut rest = text.as_bytes();
        for len in chunk_lens.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, later) = rest.split_at((*len).min(rest.len()));
            monitor.push(chunk).unwrap();
            relayed.extend_from_slice(&splitter.push(chunk).unwrap());
            rest = later;
        }
        let expected = match (events, framing) {
            (None, _) => Completeness::BrokenOff(BreakOff::InsideEvent),
            (Some(0), Framing::Connection) => Completeness::BrokenOff(BreakOff::NoEvent),
            (Some(_), Framing::Connection) => Completeness::Unconfirmed,
            (Some(_), _) => Completeness::Whole,
        };
        prop_assert_eq!(monitor.completeness(), expected, "{:?} {:?}", framing, text);
        prop_assert_eq!(splitter.is_mid_event(), events.is_none());
        relayed.extend_from_slice(&splitter.take_rest());
        prop_assert_eq!(&relayed[..], text.as_bytes());
    }
    Ok(())
}

/// Guards against events without an end, and against a limit that depends on how the body is split
/// or counts earlier events.
#[test]
fn only_incomplete_events_above_the_limit_are_malformed() {
    let starts = prop_oneof![
        Just(""),
        Just("data: "),
        Just(": "),
        Just("id: 1\ndata: a\n\n")
    ];
    let lines = prop_oneof![Just("x"), Just("x\ndata: "), Just("x\n: ")];
    let cases = (starts, lines, 1..100_000usize, 0..3usize);
    // Each case reads megabytes.
    runner_with(60)
        .run(&cases, |(start, piece, chunk_len, whole_events)| {
            let mut monitor = monitor(Framing::Chunks);
            let whole = format!("data: {}\n\n", "y".repeat(MAX_EVENT_BYTES as usize - 8));
            for _ in 0..whole_events {
                for chunk in whole.as_bytes().chunks(chunk_len) {
                    prop_assert!(monitor.push(chunk).is_ok());
                }
            }
            let endless = format!("{start}{}", piece.repeat(2 * MAX_EVENT_BYTES as usize));
            let event_start = start.find("\n\n").map_or(0, |at| at + 2);
            let mut sent = 0;
            for chunk in endless.as_bytes().chunks(chunk_len) {
                sent += chunk.len();
                let is_over = sent > MAX_EVENT_BYTES as usize + event_start;
                prop_assert_eq!(
                    monitor.push(chunk).is_err(),
                    is_over,
                    "after {} bytes",
                    sent
                );
                if is_over {
                    break;
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against errors, plain answers and other content being taken for events.
#[test]
fn answers_that_do_not_consist_of_events_may_end_anywhere() {
    let typed = |value| HeaderMap::from_iter([(CONTENT_TYPE, HeaderValue::from_static(value))]);
    let none = HeaderMap::new();
    let cases = [
        (false, StatusCode::OK, typed("text/event-stream"), false),
        (
            true,
            StatusCode::INTERNAL_SERVER_ERROR,
            typed("text/event-stream"),
            false,
        ),
        (true, StatusCode::OK, typed("application/json"), false),
        (true, StatusCode::OK, typed("text/event-stream"), true),
        (
            true,
            StatusCode::OK,
            typed("Text/Event-Stream; charset=utf-8"),
            true,
        ),
        (true, StatusCode::OK, none, true),
    ];
    for (is_stream, status, headers, consists_of_events) in cases {
        for framing in ALL_FRAMINGS {
            let mut monitor = BodyMonitor::new(framing, is_stream, status, &headers);
            monitor.push(b"data: x").unwrap();
            let is_cut = matches!(monitor.completeness(), Completeness::BrokenOff(_));
            assert_eq!(is_cut, consists_of_events, "{status} {headers:?}");
            assert_eq!(
                monitor.is_inside_event(),
                consists_of_events.then_some(true)
            );
        }
    }
}

/// Guards against a body that ends with its connection being taken for one that names its end.
#[test]
fn the_framing_follows_from_the_headers() {
    let cases = [
        (vec![], Framing::Connection),
        (vec![(CONTENT_LENGTH, "5")], Framing::Length),
        (vec![(TRANSFER_ENCODING, "chunked")], Framing::Chunks),
        (vec![(TRANSFER_ENCODING, "gzip, Chunked")], Framing::Chunks),
        (vec![(TRANSFER_ENCODING, "gzip")], Framing::Connection),
        (
            vec![(TRANSFER_ENCODING, "gzip"), (CONTENT_LENGTH, "5")],
            Framing::Connection,
        ),
    ];
    for (headers, framing) in cases {
        let headers = headers
            .into_iter()
            .map(|(k, v)| (k, HeaderValue::from_static(v)));
        let headers = HeaderMap::from_iter(headers);
        assert_eq!(Framing::from_headers(&headers), framing, "{headers:?}");
    }
}
