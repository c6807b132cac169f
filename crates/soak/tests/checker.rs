//! Histories with a violation of any guarantee are rejected.

use soak::checker::{
    ClientRequest, Departure, RequestEnd, RequestKind, Verdict, WorkerRun, check_history,
};
use soak::continuation::{Continuation, Continuations, Count, Lifetimes, Outcome};
use soak::disruption::{
    Delivery, Disruption, EndCounts, PlannedStop, STOP_GRACE, StopCounts, Timeline,
};
use soak::keys::{Key, Keys, check_usage};
use std::time::{Duration, Instant};

fn request(id: &str, kind: RequestKind, status: u16, body: &str) -> ClientRequest {
    ClientRequest {
        id: id.into(),
        kind,
        end: RequestEnd::Whole(status, body.into()),
        delivery: delivery(),
        key: Key::Permanent(0),
    }
}

/// A delivery that no stop affects.
fn delivery() -> Delivery {
    Delivery {
        gateway: 0,
        sent: None,
        ended: Instant::now(),
        answer_started: true,
        deadline: Duration::from_secs(4),
    }
}

fn run(id: &str) -> WorkerRun {
    WorkerRun {
        id: id.into(),
        resumed_after: None,
        by_script: false,
        tenant: Some(Key::Permanent(0).tenant()),
        shows_key: false,
    }
}

const STREAM: &str = "id: 1\nid: 2\nid: 3\nid: 4\n";

fn good() -> (Vec<ClientRequest>, Vec<WorkerRun>) {
    let requests = vec![
        request("a", RequestKind::Idempotent, 200, "a"),
        request("b", RequestKind::NonIdempotent, 200, "b"),
        request("c", RequestKind::NonIdempotent, 503, "{}"),
        request("d", RequestKind::Resumable, 200, STREAM),
        ClientRequest {
            id: "e".into(),
            kind: RequestKind::NonIdempotent,
            end: RequestEnd::Broken,
            delivery: delivery(),
            key: Key::Permanent(0),
        },
    ];
    (
        requests,
        vec![run("a"), run("a"), run("b"), run("d"), run("e")],
    )
}

#[test]
fn a_good_history_is_clean() {
    let (requests, runs) = good();
    assert!(
        check_history(
            &requests,
            &runs,
            &[],
            &Timeline::default(),
            &Keys::default()
        )
        .is_clean()
    );
}

#[test]
fn each_violation_is_counted() {
    let none = Verdict::default();
    let cases = [
        (
            request("x", RequestKind::NonIdempotent, 200, "y"),
            vec![run("x")],
            Verdict { mixed: 1, ..none },
        ),
        (
            request("x", RequestKind::Idempotent, 200, "xx"),
            vec![run("x")],
            Verdict { mixed: 1, ..none },
        ),
        (
            request("x", RequestKind::NonIdempotent, 200, "x"),
            vec![run("x"), run("x")],
            Verdict { twice: 1, ..none },
        ),
        (
            request("x", RequestKind::NonIdempotent, 503, ""),
            vec![run("x")],
            Verdict {
                refused_but_ran: 1,
                ..none
            },
        ),
        (
            request("x", RequestKind::Idempotent, 400, "{}"),
            vec![],
            Verdict {
                held_wrongly: 1,
                ..none
            },
        ),
        (
            request("x", RequestKind::NonIdempotent, 200, "x"),
            vec![run("x"), run("?")],
            Verdict { unasked: 1, ..none },
        ),
        (
            request("x", RequestKind::Resumable, 200, "id: 1\nid: 3\nid: 4\n"),
            vec![run("x")],
            Verdict {
                disordered: 1,
                ..none
            },
        ),
        (
            request(
                "x",
                RequestKind::Resumable,
                200,
                "id: 1\nid: 2\nid: 2\nid: 3\nid: 4\n",
            ),
            vec![run("x")],
            Verdict {
                disordered: 1,
                ..none
            },
        ),
        (
            request("x", RequestKind::Resumable, 200, "id: 1\nid: 2\n"),
            vec![run("x")],
            Verdict {
                disordered: 1,
                ..none
            },
        ),
    ];
    let stream = |body| request("x", RequestKind::Stream, 200, body);
    let cases = cases.into_iter().chain([
        (
            stream("id: 1\nid: 3\nid: 4\n"),
            vec![run("x")],
            Verdict {
                disordered: 1,
                ..none
            },
        ),
        (
            stream(STREAM),
            vec![run("x"), run("x")],
            Verdict { twice: 1, ..none },
        ),
        (
            request("x", RequestKind::Stream, 503, ""),
            vec![run("x")],
            Verdict {
                refused_but_ran: 1,
                ..none
            },
        ),
    ]);
    for (bad, runs, expected) in cases {
        let (mut requests, mut all) = good();
        requests.push(bad.clone());
        all.extend(runs);
        assert_eq!(
            check_history(&requests, &all, &[], &Timeline::default(), &Keys::default()),
            expected,
            "{bad:?}"
        );
    }
    let (requests, runs) = good();
    let late = Departure {
        late_requests: 2,
        since: Instant::now(),
    };
    assert_eq!(
        check_history(
            &requests,
            &runs,
            &[late],
            &Timeline::default(),
            &Keys::default()
        )
        .late_at_leaving,
        2
    );
}

/// Seconds after the signal of the stop in the cases below.
type AfterSignal = f64;

/// Time from the creation of a case to the signal, longer than any case takes, in seconds.
const FAR: f64 = 30.0;

struct StopCase {
    signal: Instant,
}

impl StopCase {
    fn at(&self, s: AfterSignal) -> Instant {
        let since = self.signal - Duration::from_secs_f64(FAR);
        since + Duration::from_secs_f64(FAR + s)
    }

    /// A request that was sent and ended at the given times.
    fn cut(&self, end: RequestEnd, sent: AfterSignal, ended: AfterSignal) -> ClientRequest {
        ClientRequest {
            id: "x".into(),
            kind: RequestKind::NonIdempotent,
            end,
            delivery: Delivery {
                gateway: 0,
                sent: Some(self.at(sent)),
                ended: self.at(ended),
                answer_started: true,
                deadline: Duration::from_secs(4),
            },
            key: Key::Permanent(0),
        }
    }

    fn disruption(
        &self,
        gateway: Option<usize>,
        from: AfterSignal,
        until: AfterSignal,
    ) -> Disruption {
        Disruption {
            gateway,
            from: self.at(from),
            until: Some(self.at(until)),
        }
    }

    /// Counts the request if a stop cut it. The process ends at the end of its grace period.
    fn count_cut(
        &self,
        request: &ClientRequest,
        runs: &[WorkerRun],
        disruptions: Vec<Disruption>,
    ) -> usize {
        let stop = PlannedStop {
            gateway: 0,
            signal: self.signal,
            until: Some(self.signal + STOP_GRACE),
        };
        let timeline = Timeline {
            stops: vec![stop],
            disruptions,
        };
        check_history(
            std::slice::from_ref(request),
            runs,
            &[],
            &timeline,
            &Keys::default(),
        )
        .cut_by_stop
    }
}

#[test]
fn answers_cut_by_a_stop_are_counted() {
    let stop = StopCase {
        signal: Instant::now() + Duration::from_secs_f64(FAR),
    };
    let answer = |status| RequestEnd::Whole(status, "{}".into());
    let runs = [run("x")];
    // Cut when the process ends, and before that.
    let late = stop.cut(RequestEnd::Broken, 3.985, 7.455);
    assert_eq!(stop.count_cut(&late, &runs, vec![]), 1, "cut late");
    let early = stop.cut(RequestEnd::Broken, 1.0, 2.4);
    assert_eq!(stop.count_cut(&early, &runs, vec![]), 1, "cut early");
    let before = stop.cut(RequestEnd::Broken, -0.5, 2.4);
    assert_eq!(
        stop.count_cut(&before, &runs, vec![]),
        1,
        "accepted before it"
    );
    for status in [502, 504] {
        let answered = stop.cut(answer(status), 5.5, 7.4);
        assert_eq!(stop.count_cut(&answered, &runs, vec![]), 1, "{status}");
        assert_eq!(
            stop.count_cut(&answered, &[], vec![]),
            1,
            "{status} without a run"
        );
    }
    let mut silent = late.clone();
    silent.delivery.answer_started = false;
    assert_eq!(
        stop.count_cut(&silent, &runs, vec![]),
        1,
        "no byte of an answer"
    );
    let mut begun = silent.clone();
    begun.delivery.answer_started = true;
    assert_eq!(stop.count_cut(&begun, &[], vec![]), 1, "no run was seen");
    // Disruptions that ended long before, or that affect another process.
    let others = vec![
        stop.disruption(Some(1), -1.0, 8.0),
        stop.disruption(Some(0), -9.0, -5.0),
        stop.disruption(None, -1.0, 0.5),
        stop.disruption(None, 7.6, 8.0),
    ];
    assert_eq!(stop.count_cut(&late, &runs, others), 1, "other faults");
}

#[test]
fn answers_that_a_stop_may_cut_or_did_not_cut_are_not_counted() {
    let stop = StopCase {
        signal: Instant::now() + Duration::from_secs_f64(FAR),
    };
    let answer = |status| RequestEnd::Whole(status, "{}".into());
    let runs = [run("x")];
    let cut = stop.cut(RequestEnd::Broken, 3.985, 7.455);
    for status in [200, 503, 429, 408, 404, 500] {
        let whole = stop.cut(answer(status), 5.5, 7.4);
        assert_eq!(stop.count_cut(&whole, &[], vec![]), 0, "{status}");
    }
    let early = stop.cut(RequestEnd::Broken, 2.9, 6.7);
    assert_eq!(
        stop.count_cut(&early, &runs, vec![]),
        0,
        "can't be finished"
    );
    let over = stop.cut(answer(504), 1.0, 5.0);
    assert_eq!(stop.count_cut(&over, &runs, vec![]), 0, "its own deadline");
    let ended = stop.cut(RequestEnd::Broken, -2.0, -0.1);
    assert_eq!(stop.count_cut(&ended, &runs, vec![]), 0, "before the stop");
    let next = stop.cut(RequestEnd::Broken, 8.1, 9.0);
    assert_eq!(stop.count_cut(&next, &runs, vec![]), 0, "the next process");
    let mut other = cut.clone();
    other.delivery.gateway = 1;
    assert_eq!(stop.count_cut(&other, &runs, vec![]), 0, "another process");
    let mut unread = cut.clone();
    unread.delivery.answer_started = false;
    assert_eq!(stop.count_cut(&unread, &[], vec![]), 0, "never read");
    let broken = [WorkerRun {
        by_script: true,
        ..run("x")
    }];
    assert_eq!(stop.count_cut(&cut, &broken, vec![]), 0, "broken upstream");
    let excuses = [
        (
            "paused before the signal",
            stop.disruption(Some(0), -2.0, -1.0),
        ),
        ("killed", stop.disruption(Some(0), 7.0, 8.0)),
        ("a bad link just before it", stop.disruption(None, 0.0, 2.0)),
        ("a bad link", stop.disruption(None, 5.0, 6.0)),
    ];
    for (why, disruption) in excuses {
        assert_eq!(stop.count_cut(&cut, &runs, vec![disruption]), 0, "{why}");
    }
}

/// A request with a revocable key, sent `after` seconds after `start`.
fn revocable_request(after: f64, start: Instant) -> ClientRequest {
    let mut request = request("s", RequestKind::Idempotent, 200, "s");
    request.key = Key::Revocable(1);
    request.delivery.sent = Some(start + Duration::from_secs_f64(after));
    request.delivery.ended = start + Duration::from_secs_f64(after + 0.1);
    request
}

fn run_for(id: &str, key: Key) -> WorkerRun {
    WorkerRun {
        tenant: Some(key.tenant()),
        ..run(id)
    }
}

#[test]
fn a_revoked_key_runs_nothing_after_the_bound() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs_f64(s);
    let late = |sent, keys: &Keys, timeline: &Timeline| {
        let requests = [revocable_request(sent, start)];
        check_history(
            &requests,
            &[run_for("s", Key::Revocable(1))],
            &[],
            timeline,
            keys,
        )
        .ran_without_key
    };
    let mut keys = Keys::default();
    keys.toggle(1, at(10.0));
    keys.toggle(1, at(30.0));
    let undisturbed = Timeline::default();
    for (sent, expected) in [(9.0, 0), (12.0, 0), (13.0, 1), (29.0, 1), (30.5, 0)] {
        assert_eq!(late(sent, &keys, &undisturbed), expected, "sent at {sent}");
    }
    // A gateway that lost only the store learns of the revocation from its peers. It may not learn
    // of it if another gateway lost the store too, or if the store serves no gateway.
    keys.record_store(Some(0), false, at(9.0));
    assert_eq!(late(20.0, &keys, &undisturbed), 1);
    keys.record_store(Some(1), false, at(15.0));
    assert_eq!(late(20.0, &keys, &undisturbed), 0);
    let mut keys = Keys::default();
    keys.toggle(1, at(10.0));
    keys.record_store(None, false, at(11.0));
    keys.record_store(None, true, at(14.0));
    assert_eq!(late(20.0, &keys, &undisturbed), 0);
    assert_eq!(late(21.5, &keys, &undisturbed), 1);
}

#[test]
fn a_wrong_tenant_an_exposed_key_and_a_denied_key_are_found() {
    let keys = Keys::default();
    let timeline = Timeline::default();
    let plain = [request("a", RequestKind::Idempotent, 200, "a")];
    let found = |run: WorkerRun| check_history(&plain, &[run], &[], &timeline, &keys).told_wrongly;
    assert_eq!(found(run("a")), 0);
    assert_eq!(found(run_for("a", Key::Permanent(1))), 1);
    assert_eq!(
        found(WorkerRun {
            shows_key: true,
            ..run("a")
        }),
        1
    );
    let denied = [request("a", RequestKind::Idempotent, 401, "{}")];
    assert_eq!(check_history(&denied, &[], &[], &timeline, &keys).denied, 1);
}

fn report(window: u64, last: u64, holder: &str, token: u64, after: f64) -> standin::CloudCall {
    let body = serde_json::json!({"WindowId": window, "Counts": {"last": last}});
    standin::CloudCall {
        at: fixed_instant() + Duration::from_secs_f64(after),
        path: "/usage".into(),
        holder: holder.into(),
        token,
        text: body.to_string(),
        body,
    }
}

/// Returns the same instant at each call.
fn fixed_instant() -> Instant {
    static AT: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *AT.get_or_init(Instant::now)
}

#[test]
fn conflicting_badly_fenced_and_inaccurate_reports_are_found() {
    let good = [
        report(1, 40, "a", 1, 0.0),
        report(1, 40, "a", 1, 0.1),
        report(2, 58, "b", 2, 3.0),
    ];
    let found = check_usage(&good, 100);
    assert_eq!(found, soak::keys::UsageViolations::default());
    assert_eq!(check_usage(&good, 120).usage_off, 1);
    assert_eq!(check_usage(&good, 90).usage_off, 1);
    let differs = [report(1, 40, "a", 1, 0.0), report(1, 41, "a", 1, 1.0)];
    assert_eq!(check_usage(&differs, 40).reported_twice, 1);
    let falls = [report(1, 40, "a", 2, 0.0), report(2, 0, "a", 1, 1.0)];
    assert_eq!(check_usage(&falls, 40).badly_fenced, 1);
    let shared = [report(1, 40, "a", 2, 0.0), report(2, 0, "b", 2, 9.0)];
    assert_eq!(check_usage(&shared, 40).badly_fenced, 1);
    let early = [report(1, 40, "a", 1, 0.0), report(2, 0, "b", 2, 0.2)];
    assert_eq!(check_usage(&early, 40).badly_fenced, 1);
}

/// Guards against counting requests that clients abandon as failures of the process.
#[test]
fn an_answer_that_its_client_abandons_is_not_cut_by_a_stop() {
    let stop = StopCase {
        signal: Instant::now() + Duration::from_secs_f64(FAR),
    };
    let runs = [run("x")];
    let broken = stop.cut(RequestEnd::Broken, 3.985, 7.455);
    assert_eq!(stop.count_cut(&broken, &runs, vec![]), 1);
    let abandoned = stop.cut(RequestEnd::Abandoned, 3.985, 7.455);
    assert_eq!(stop.count_cut(&abandoned, &runs, vec![]), 0);
}

/// Guards against judging a cut answer by the default deadline instead of the request's own.
#[test]
fn a_cut_answer_is_excused_only_by_the_deadline_of_its_request() {
    let stop = StopCase {
        signal: Instant::now() + Duration::from_secs_f64(FAR),
    };
    let runs = [run("x")];
    let mut cut = stop.cut(RequestEnd::Broken, 3.1, 7.7);
    assert_eq!(stop.count_cut(&cut, &runs, vec![]), 0);
    cut.delivery.deadline = Duration::from_secs(12);
    assert_eq!(stop.count_cut(&cut, &runs, vec![]), 1);
}

/// Guards against counting a request in the wrong period of a stop, or despite its deadline.
#[test]
fn requests_to_a_stopping_process_are_counted_by_when_they_were_sent() {
    let stop = StopCase {
        signal: Instant::now() + Duration::from_secs_f64(FAR),
    };
    let whole = |status| RequestEnd::Whole(status, "x".into());
    let mut unread = stop.cut(RequestEnd::Broken, 4.0, 4.1);
    unread.id = "unread".into();
    unread.delivery.answer_started = false;
    let requests = [
        stop.cut(whole(200), -1.0, 1.0),
        stop.cut(RequestEnd::Broken, 2.9, 6.7),
        stop.cut(RequestEnd::Broken, 2.9, 6.95),
        stop.cut(whole(200), 3.1, 4.0),
        stop.cut(whole(503), 3.1, 3.2),
        stop.cut(whole(504), 4.0, 7.5),
        stop.cut(RequestEnd::Broken, 4.0, 7.7),
        unread,
        stop.cut(RequestEnd::Abandoned, 4.0, 4.5),
        stop.cut(whole(429), 4.0, 4.1),
    ];
    let timeline = Timeline {
        stops: vec![PlannedStop {
            gateway: 0,
            signal: stop.signal,
            until: None,
        }],
        disruptions: vec![],
    };
    let single = EndCounts {
        sent: 1,
        ..EndCounts::default()
    };
    let expected = StopCounts {
        running: EndCounts {
            served: 1,
            ..single
        },
        early: EndCounts { cut: 1, ..single },
        late: EndCounts {
            sent: 7,
            served: 1,
            rejected: 1,
            failed: 1,
            cut: 1,
            unread: 1,
            abandoned: 1,
            other: 1,
        },
    };
    let counts = StopCounts::count(&requests, &[&run("x")], &timeline);
    assert_eq!(counts, expected);
}

/// Seconds after the start of the streams in the cases below.
type AfterStart = f64;

struct StreamCase {
    begun: Instant,
    lifetimes: Lifetimes,
}

impl StreamCase {
    /// Three gateways and two upstreams of each of two versions, all started 10 s before the
    /// streams.
    fn new() -> Self {
        let mut case = Self {
            begun: Instant::now() + Duration::from_secs_f64(FAR),
            lifetimes: Lifetimes::default(),
        };
        let from = case.at(-10.0);
        for gateway in 0..3 {
            case.lifetimes.start_process(gateway, from);
        }
        for (id, version) in [("a", "v1"), ("b", "v1"), ("c", "v1.1"), ("d", "v1.1")] {
            case.lifetimes.add_upstream(id, version, from);
        }
        case
    }

    fn at(&self, s: AfterStart) -> Instant {
        self.begun - Duration::from_secs_f64(FAR) + Duration::from_secs_f64(FAR + s)
    }

    /// A stream that its client continues from 10 s to 12 s after its start, with 18 s left.
    fn stream(&self, rest: &Outcome, new: &Outcome) -> Continuation {
        Continuation {
            id: "s".into(),
            version: "v1".into(),
            begun: self.begun,
            deadline: self.at(30.0),
            is_named: true,
            from: self.at(10.0),
            to: self.at(12.0),
            rest: rest.clone(),
            new: new.clone(),
        }
    }

    /// `on` streams that go on and `off` that don't, beside new streams that all begin.
    fn streams(&self, on: usize, off: usize) -> Vec<Continuation> {
        let failed = failed();
        let on = std::iter::repeat_n(&Outcome::Began, on);
        let off = std::iter::repeat_n(&failed, off);
        on.chain(off)
            .map(|rest| self.stream(rest, &Outcome::Began))
            .collect()
    }

    fn count(&self, streams: &[Continuation]) -> Continuations {
        Continuations::count(streams, &self.lifetimes)
    }
}

fn failed() -> Outcome {
    Outcome::Failed(vec!["503 stream_unknown".into()])
}

/// Guards against streams that became unknown without a violation: most of those that clients
/// continued didn't go on while new ones began.
#[test]
fn streams_that_go_on_less_than_half_as_often_as_new_ones_begin_are_found() {
    let case = StreamCase::new();
    for (on, off, lost) in [
        (24, 0, 0),
        (12, 12, 0),
        (11, 13, 13),
        (0, 24, 24),
        (0, 7, 0),
    ] {
        let found = case.count(&case.streams(on, off));
        assert_eq!(found.lost(), lost, "{on} of {}", on + off);
        let expected = Count {
            continued: on + off,
            went_on: on,
            began: on + off,
        };
        assert_eq!(found.counted, expected);
    }
    // If few new streams begin, few need to go on.
    let mut streams = case.streams(5, 5);
    streams.extend(vec![case.stream(&failed(), &failed()); 20]);
    assert_eq!(case.count(&streams).lost(), 0, "5 of 30, 10 new ones");
    streams.extend(case.streams(0, 1));
    assert_eq!(case.count(&streams).lost(), 26, "5 of 31, 11 new ones");
}

/// Guards against streams that are lost with the processes of their start and concealed by many
/// others that went on.
#[test]
fn streams_lost_with_all_processes_of_their_start_are_found_among_others() {
    let mut case = StreamCase::new();
    let mut streams = case.streams(0, 8);
    for stream in &mut streams {
        stream.from = case.at(20.0);
        stream.to = case.at(21.0);
    }
    streams.extend(case.streams(100, 0));
    assert_eq!(case.count(&streams).lost(), 0);
    for gateway in 0..2 {
        let at = case.at(5.0);
        case.lifetimes.start_process(gateway, at);
    }
    assert_eq!(case.count(&streams).lost(), 0, "one process remains");
    let last = case.at(15.0);
    case.lifetimes.start_process(2, last);
    let found = case.count(&streams);
    assert_eq!(found.replaced.continued, 8);
    assert_eq!(found.lost(), 8, "all processes have been replaced");
    // A process that starts later and has ended doesn't count as one that ran then.
    let at = case.at(16.0);
    case.lifetimes.start_process(0, at);
    assert_eq!(case.count(&streams).lost(), 8);
}

#[test]
fn streams_that_nothing_can_know_are_not_held_against_the_bound() {
    let case = StreamCase::new();
    let all_lost = || case.streams(0, 24);
    let changed = |change: &dyn Fn(&mut Continuation)| {
        let mut streams = all_lost();
        streams.iter_mut().for_each(change);
        case.count(&streams)
    };
    let unnamed = changed(&|s| s.is_named = false);
    assert_eq!((unnamed.unnamed, unnamed.lost()), (24, 0));
    let late = changed(&|s| s.to = s.deadline);
    assert_eq!((late.past_deadline, late.lost()), (24, 0));
    let other = changed(&|s| s.version = "v2".into());
    assert_eq!((other.few_upstreams, other.lost()), (24, 0));

    // An upstream that leaves while clients try, or before; one of another version.
    for (id, at, few) in [
        ("a", 11.0, true),
        ("a", 9.0, true),
        ("a", 13.0, false),
        ("c", 9.0, false),
    ] {
        let mut case = StreamCase::new();
        let at = case.at(at);
        case.lifetimes.remove_upstream(id, at);
        let found = case.count(&case.streams(0, 24));
        assert_eq!(found.few_upstreams > 0, few, "{id}");
        assert_eq!(found.lost() == 0, few, "{id}");
    }
    // Upstreams that have just been registered don't count.
    let mut case = StreamCase::new();
    let (gone, at) = (case.at(5.0), case.at(9.0));
    case.lifetimes.remove_upstream("a", gone);
    case.lifetimes.add_upstream("e", "v1", at);
    assert_eq!(case.count(&case.streams(0, 24)).few_upstreams, 24);

    // Kills of all processes, some before a stream is old enough to be stored.
    for (kills, excluded) in [
        (&[-1.0][..], 0),
        (&[0.9], 24),
        (&[1.1], 0),
        (&[11.0], 0),
        (&[13.0], 0),
        (&[3.0, 0.9], 24),
    ] {
        let mut case = StreamCase::new();
        case.lifetimes.all_killed = kills.iter().map(|at| case.at(*at)).collect();
        let found = case.count(&case.streams(0, 24));
        assert_eq!(found.just_begun, excluded, "killed at {kills:?}");
        assert_eq!(found.lost() == 0, excluded > 0, "killed at {kills:?}");
    }
}

/// Guards against streams that are lost when all processes are killed at the same moment and are
/// concealed by others that went on, and against the reverse.
#[test]
fn streams_lost_when_all_processes_were_killed_are_found_among_others() {
    let mut case = StreamCase::new();
    case.lifetimes.all_killed.push(case.at(15.0));
    let killed = |case: &StreamCase, on, off| {
        let mut streams = case.streams(on, off);
        for stream in &mut streams {
            stream.from = case.at(20.0);
            stream.to = case.at(21.0);
        }
        streams
    };
    let mut streams = killed(&case, 3, 5);
    streams.extend(case.streams(100, 0));
    let found = case.count(&streams);
    assert_eq!((found.killed.continued, found.lost()), (8, 5));
    assert_eq!(found.killed.share(), Some(0.375));
    let mut streams = killed(&case, 100, 0);
    streams.extend(case.streams(3, 5));
    let found = case.count(&streams);
    assert_eq!((found.counted.continued, found.lost()), (8, 5));
    assert_eq!(found.killed.share(), Some(1.0));
    let found = case.count(&killed(&case, 4, 4));
    assert_eq!((found.killed.share(), found.lost()), (Some(0.5), 0));
    let found = case.count(&killed(&case, 0, 7));
    assert_eq!((found.killed.share(), found.lost()), (None, 0));
}
