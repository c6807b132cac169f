//! A history with each broken promise is rejected.

use soak::cut::{GRACE, Record, Stopped, Trouble, Way};
use soak::judge::{Asked, End, Kind, Left, Ran, Verdict, judge};
use soak::keys::{Key, Keys, judge_usage};
use std::time::{Duration, Instant};

fn asked(id: &str, kind: Kind, status: u16, body: &str) -> Asked {
    Asked {
        id: id.into(),
        kind,
        end: End::Whole(status, body.into()),
        way: way(),
        key: Key::Own(0),
    }
}

/// A way that no stop has to do with.
fn way() -> Way {
    Way {
        gateway: 0,
        sent: None,
        ended: Instant::now(),
        has_begun: true,
    }
}

fn ran(id: &str) -> Ran {
    Ran {
        id: id.into(),
        resumed_after: None,
        by_script: false,
        tenant: Some(Key::Own(0).tenant()),
        shows_key: false,
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
            way: way(),
            key: Key::Own(0),
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
    assert!(judge(&asked, &ran, &[], &Record::default(), &Keys::default()).is_clean());
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
            asked("x", Kind::Idempotent, 400, "{}"),
            vec![],
            Verdict {
                held_wrongly: 1,
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
    let stream = |body| asked("x", Kind::Stream, 200, body);
    let cases = cases.into_iter().chain([
        (
            stream("id: 1\nid: 3\nid: 4\n"),
            vec![ran("x")],
            Verdict {
                disordered: 1,
                ..none
            },
        ),
        (
            stream(STREAM),
            vec![ran("x"), ran("x")],
            Verdict { twice: 1, ..none },
        ),
        (
            asked("x", Kind::Stream, 503, ""),
            vec![ran("x")],
            Verdict {
                refused_but_ran: 1,
                ..none
            },
        ),
    ]);
    for (bad, runs, expected) in cases {
        let (mut asked, mut all) = good();
        asked.push(bad.clone());
        all.extend(runs);
        assert_eq!(
            judge(&asked, &all, &[], &Record::default(), &Keys::default()),
            expected,
            "{bad:?}"
        );
    }
    let (asked, ran) = good();
    let late = Left {
        late: 2,
        since: Instant::now(),
    };
    assert_eq!(
        judge(&asked, &ran, &[late], &Record::default(), &Keys::default()).late_at_leaving,
        2
    );
}

/// Seconds after the signal of the stop that the cases below have.
type AfterSignal = f64;

/// Long before and after all of a case, in seconds.
const FAR: f64 = 30.0;

struct Stopping {
    signal: Instant,
}

impl Stopping {
    fn at(&self, s: AfterSignal) -> Instant {
        let since = self.signal - Duration::from_secs_f64(FAR);
        since + Duration::from_secs_f64(FAR + s)
    }

    /// A request that a worker ran, under the times of the recorded one.
    fn cut(&self, end: End, sent: AfterSignal, ended: AfterSignal) -> Asked {
        Asked {
            id: "x".into(),
            kind: Kind::NonIdempotent,
            end,
            way: Way {
                gateway: 0,
                sent: Some(self.at(sent)),
                ended: self.at(ended),
                has_begun: true,
            },
            key: Key::Own(0),
        }
    }

    fn trouble(&self, gateway: Option<usize>, from: AfterSignal, until: AfterSignal) -> Trouble {
        Trouble {
            gateway,
            from: self.at(from),
            until: Some(self.at(until)),
        }
    }

    /// Counts of what was cut, with a process that is stopped and ends in its grace.
    fn judged(&self, asked: &Asked, ran: &[Ran], troubles: Vec<Trouble>) -> usize {
        let stop = Stopped {
            gateway: 0,
            signal: self.signal,
            until: Some(self.signal + GRACE),
        };
        let record = Record {
            stops: vec![stop],
            troubles,
        };
        judge(
            std::slice::from_ref(asked),
            ran,
            &[],
            &record,
            &Keys::default(),
        )
        .cut_by_stop
    }
}

#[test]
fn what_a_stop_cuts_is_counted() {
    let stop = Stopping {
        signal: Instant::now() + Duration::from_secs_f64(FAR),
    };
    let own = |status| End::Whole(status, "{}".into());
    let ran = [ran("x")];
    // As in the incident, at the process's end and before it.
    let late = stop.cut(End::Broken, 3.985, 7.455);
    assert_eq!(stop.judged(&late, &ran, vec![]), 1, "broken off late");
    let early = stop.cut(End::Broken, 1.0, 2.4);
    assert_eq!(stop.judged(&early, &ran, vec![]), 1, "broken off early");
    let before = stop.cut(End::Broken, -0.5, 2.4);
    assert_eq!(stop.judged(&before, &ran, vec![]), 1, "taken before it");
    for status in [502, 504] {
        let own = stop.cut(own(status), 5.5, 7.4);
        assert_eq!(stop.judged(&own, &ran, vec![]), 1, "{status}");
        assert_eq!(stop.judged(&own, &[], vec![]), 1, "{status} without a run");
    }
    let mut silent = late.clone();
    silent.way.has_begun = false;
    assert_eq!(
        stop.judged(&silent, &ran, vec![]),
        1,
        "no byte of an answer"
    );
    let mut begun = silent.clone();
    begun.way.has_begun = true;
    assert_eq!(stop.judged(&begun, &[], vec![]), 1, "no run was seen");
    // Faults that have long been over, or aren't this process's.
    let others = vec![
        stop.trouble(Some(1), -1.0, 8.0),
        stop.trouble(Some(0), -9.0, -5.0),
        stop.trouble(None, -1.0, 0.5),
        stop.trouble(None, 7.6, 8.0),
    ];
    assert_eq!(stop.judged(&late, &ran, others), 1, "other faults");
}

#[test]
fn what_a_stop_may_cut_or_didnt_cut_is_not_counted() {
    let stop = Stopping {
        signal: Instant::now() + Duration::from_secs_f64(FAR),
    };
    let own = |status| End::Whole(status, "{}".into());
    let done = [ran("x")];
    let cut = stop.cut(End::Broken, 3.985, 7.455);
    for status in [200, 503, 429, 408, 404, 500] {
        let whole = stop.cut(own(status), 5.5, 7.4);
        assert_eq!(stop.judged(&whole, &[], vec![]), 0, "{status}");
    }
    let early = stop.cut(End::Broken, 2.9, 6.7);
    assert_eq!(stop.judged(&early, &done, vec![]), 0, "can't be ended");
    let over = stop.cut(own(504), 1.0, 5.0);
    assert_eq!(stop.judged(&over, &done, vec![]), 0, "its own deadline");
    let ended = stop.cut(End::Broken, -2.0, -0.1);
    assert_eq!(stop.judged(&ended, &done, vec![]), 0, "before the stop");
    let next = stop.cut(End::Broken, 8.1, 9.0);
    assert_eq!(stop.judged(&next, &done, vec![]), 0, "the next process");
    let mut other = cut.clone();
    other.way.gateway = 1;
    assert_eq!(stop.judged(&other, &done, vec![]), 0, "another process");
    let mut unread = cut.clone();
    unread.way.has_begun = false;
    assert_eq!(stop.judged(&unread, &[], vec![]), 0, "never read");
    let broken = [Ran {
        by_script: true,
        ..ran("x")
    }];
    assert_eq!(stop.judged(&cut, &broken, vec![]), 0, "broken upstream");
    let excuses = [
        (
            "paused before the signal",
            stop.trouble(Some(0), -2.0, -1.0),
        ),
        ("killed", stop.trouble(Some(0), 7.0, 8.0)),
        ("a bad link just before it", stop.trouble(None, 0.0, 2.0)),
        ("a bad link", stop.trouble(None, 5.0, 6.0)),
    ];
    for (why, trouble) in excuses {
        assert_eq!(stop.judged(&cut, &done, vec![trouble]), 0, "{why}");
    }
}

/// A request with a tenant's second key, sent so many seconds after a time.
fn second(after: f64, begins: Instant) -> Asked {
    let mut asked = asked("s", Kind::Idempotent, 200, "s");
    asked.key = Key::Second(1);
    asked.way.sent = Some(begins + Duration::from_secs_f64(after));
    asked.way.ended = begins + Duration::from_secs_f64(after + 0.1);
    asked
}

fn ran_for(id: &str, key: Key) -> Ran {
    Ran {
        tenant: Some(key.tenant()),
        ..ran(id)
    }
}

#[test]
fn a_key_that_was_taken_away_runs_nothing_after_the_bound() {
    let begins = Instant::now();
    let at = |s| begins + Duration::from_secs_f64(s);
    let late = |sent, keys: &Keys, record: &Record| {
        let asked = [second(sent, begins)];
        judge(&asked, &[ran_for("s", Key::Second(1))], &[], record, keys).ran_without_key
    };
    let mut keys = Keys::default();
    keys.toggle(1, at(10.0));
    keys.toggle(1, at(30.0));
    let calm = Record::default();
    for (sent, expected) in [(9.0, 0), (12.0, 0), (13.0, 1), (29.0, 1), (30.5, 0)] {
        assert_eq!(late(sent, &keys, &calm), expected, "sent at {sent}");
    }
    // Cut off from the store alone, its peers tell it; with another that is cut off too,
    // or while the store serves nobody, it may not know.
    keys.note_store(Some(0), false, at(9.0));
    assert_eq!(late(20.0, &keys, &calm), 1);
    keys.note_store(Some(1), false, at(15.0));
    assert_eq!(late(20.0, &keys, &calm), 0);
    let mut keys = Keys::default();
    keys.toggle(1, at(10.0));
    keys.note_store(None, false, at(11.0));
    keys.note_store(None, true, at(14.0));
    assert_eq!(late(20.0, &keys, &calm), 0);
    assert_eq!(late(21.5, &keys, &calm), 1);
}

#[test]
fn a_wrong_tenant_a_shown_key_and_a_denied_one_are_found() {
    let keys = Keys::default();
    let record = Record::default();
    let plain = [asked("a", Kind::Idempotent, 200, "a")];
    let found = |ran: Ran| judge(&plain, &[ran], &[], &record, &keys).told_wrongly;
    assert_eq!(found(ran("a")), 0);
    assert_eq!(found(ran_for("a", Key::Own(1))), 1);
    assert_eq!(
        found(Ran {
            shows_key: true,
            ..ran("a")
        }),
        1
    );
    let denied = [asked("a", Kind::Idempotent, 401, "{}")];
    assert_eq!(judge(&denied, &[], &[], &record, &keys).denied, 1);
}

fn report(window: u64, last: u64, holder: &str, token: u64, after: f64) -> standin::CloudCall {
    let body = serde_json::json!({"WindowId": window, "Counts": {"last": last}});
    standin::CloudCall {
        at: far() + Duration::from_secs_f64(after),
        path: "/usage".into(),
        holder: holder.into(),
        token,
        text: body.to_string(),
        body,
    }
}

/// One instant, the same at each call.
fn far() -> Instant {
    static AT: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *AT.get_or_init(Instant::now)
}

#[test]
fn reports_that_differ_alternate_or_are_off_are_found() {
    let good = [
        report(1, 40, "a", 1, 0.0),
        report(1, 40, "a", 1, 0.1),
        report(2, 58, "b", 2, 3.0),
    ];
    let found = judge_usage(&good, 100);
    assert_eq!(found, soak::keys::UsageFaults::default());
    assert_eq!(judge_usage(&good, 120).usage_off, 1);
    assert_eq!(judge_usage(&good, 90).usage_off, 1);
    let differs = [report(1, 40, "a", 1, 0.0), report(1, 41, "a", 1, 1.0)];
    assert_eq!(judge_usage(&differs, 40).reported_twice, 1);
    let falls = [report(1, 40, "a", 2, 0.0), report(2, 0, "a", 1, 1.0)];
    assert_eq!(judge_usage(&falls, 40).badly_fenced, 1);
    let shared = [report(1, 40, "a", 2, 0.0), report(2, 0, "b", 2, 9.0)];
    assert_eq!(judge_usage(&shared, 40).badly_fenced, 1);
    let early = [report(1, 40, "a", 1, 0.0), report(2, 0, "b", 2, 0.2)];
    assert_eq!(judge_usage(&early, 40).badly_fenced, 1);
}
