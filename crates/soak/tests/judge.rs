//! A history with each broken promise is rejected.

use soak::judge::{Asked, End, Kind, Left, Ran, Verdict, judge};
use std::time::Instant;

fn asked(id: &str, kind: Kind, status: u16, body: &str) -> Asked {
    Asked {
        id: id.into(),
        kind,
        end: End::Whole(status, body.into()),
    }
}

fn ran(id: &str) -> Ran {
    Ran {
        id: id.into(),
        resumed_after: None,
    }
}

const STREAM: &str = "id: 1\nid: 2\nid: 3\nid: 4\n";

fn good() -> (Vec<Asked>, Vec<Ran>) {
    let asked = vec![
        asked("a", Kind::Idempotent, 200, "a"),
        asked("b", Kind::NonIdempotent, 200, "b"),
        asked("c", Kind::NonIdempotent, 503, "{}"),
        asked("d", Kind::Resumable, 200, STREAM),
        Asked {
            id: "e".into(),
            kind: Kind::NonIdempotent,
            end: End::Broken,
        },
    ];
    (
        asked,
        vec![ran("a"), ran("a"), ran("b"), ran("d"), ran("e")],
    )
}

#[test]
fn a_good_history_is_clean() {
    let (asked, ran) = good();
    assert!(judge(&asked, &ran, &[]).is_clean());
}

#[test]
fn each_broken_promise_is_counted() {
    let none = Verdict::default();
    let cases = [
        (
            asked("x", Kind::NonIdempotent, 200, "y"),
            vec![ran("x")],
            Verdict { mixed: 1, ..none },
        ),
        (
            asked("x", Kind::Idempotent, 200, "xx"),
            vec![ran("x")],
            Verdict { mixed: 1, ..none },
        ),
        (
            asked("x", Kind::NonIdempotent, 200, "x"),
            vec![ran("x"), ran("x")],
            Verdict { twice: 1, ..none },
        ),
        (
            asked("x", Kind::NonIdempotent, 503, ""),
            vec![ran("x")],
            Verdict {
                refused_but_ran: 1,
                ..none
            },
        ),
        (
            asked("x", Kind::NonIdempotent, 200, "x"),
            vec![ran("x"), ran("?")],
            Verdict { unasked: 1, ..none },
        ),
        (
            asked("x", Kind::Resumable, 200, "id: 1\nid: 3\nid: 4\n"),
            vec![ran("x")],
            Verdict {
                disordered: 1,
                ..none
            },
        ),
        (
            asked(
                "x",
                Kind::Resumable,
                200,
                "id: 1\nid: 2\nid: 2\nid: 3\nid: 4\n",
            ),
            vec![ran("x")],
            Verdict {
                disordered: 1,
                ..none
            },
        ),
        (
            asked("x", Kind::Resumable, 200, "id: 1\nid: 2\n"),
            vec![ran("x")],
            Verdict {
                disordered: 1,
                ..none
            },
        ),
    ];
    for (bad, runs, expected) in cases {
        let (mut asked, mut all) = good();
        asked.push(bad.clone());
        all.extend(runs);
        assert_eq!(judge(&asked, &all, &[]), expected, "{bad:?}");
    }
    let (asked, ran) = good();
    let late = Left {
        late: 2,
        since: Instant::now(),
    };
    assert_eq!(judge(&asked, &ran, &[late]).late_at_leaving, 2);
}
