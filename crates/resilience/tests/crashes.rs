//! Which work is held back: the patterns of crashes, without a network.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use resilience::crashes::{
    Change, Crashes, LIMIT, Proof, RECORD_FROM, Record, Source, TRIALS, Word,
};
use resilience::{Fingerprint, Verdict};
use std::time::{Duration, Instant};

const WORK: Fingerprint = Fingerprint(7);
const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

fn end(work: Fingerprint, upstream: u32, at: Instant) -> Word {
    Word::End {
        work,
        upstream,
        at,
        in_trial: false,
    }
}

/// An upstream's end under a trial.
fn end_in_trial(work: Fingerprint, upstream: u32, at: Instant) -> Word {
    Word::End {
        work,
        upstream,
        at,
        in_trial: true,
    }
}

/// Notes ends of upstreams with these tags, as this host saw them.
fn see(crashes: &mut Crashes, upstreams: &[u32], now: Instant) -> Change {
    let ends = upstreams.iter().map(|u| end(WORK, *u, now));
    let changes = ends.map(|word| crashes.take(word, Source::Own, true, now));
    changes.last().expect("some upstreams")
}

fn answer(crashes: &mut Crashes, now: Instant) -> Change {
    let word = Word::Answer {
        work: WORK,
        at: now,
    };
    crashes.take(word, Source::Own, true, now)
}

#[test]
fn an_end_counts_once_for_each_start_whoever_saw_it() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    assert_eq!(see(&mut crashes, &[1, 2], now), Change::Counted(2));
    for source in [Source::Own, Source::Peer, Source::Store] {
        let again = crashes.take(end(WORK, 2, now + MS), source, true, now + MS);
        assert_eq!(again, Change::Same);
    }
    assert_eq!(crashes.verdict(WORK, now), Verdict::Suspect);
    assert_eq!(see(&mut crashes, &[3], now), Change::HeldBack(LIMIT));
    assert_eq!(crashes.verdict(WORK, now), Verdict::Trial(0, Proof::Open));
    assert_eq!(crashes.verdict(Fingerprint(8), now), Verdict::Free);
}

#[test]
fn work_that_is_answered_between_is_never_held_back() {
    let (mut crashes, mut now) = (Crashes::default(), Instant::now());
    for n in 0..100 {
        see(&mut crashes, &[2 * n, 2 * n + 1], now);
        assert_eq!(crashes.verdict(WORK, now), Verdict::Suspect);
        now += MS;
        assert_eq!(answer(&mut crashes, now), Change::Cleared);
        assert_eq!(crashes.verdict(WORK, now), Verdict::Free);
        now += MS;
    }
}

#[test]
fn a_word_that_comes_again_after_the_answer_makes_no_suspect() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1, 2, 3], now);
    answer(&mut crashes, now + 5 * MS);
    for n in 1..=3 {
        // Its age was measured anew on the way, so it looks later than the answer.
        let late = end(WORK, n, now + 9 * MS);
        crashes.take(late, Source::Peer, true, now + 20 * MS);
    }
    assert_eq!(crashes.verdict(WORK, now + 20 * MS), Verdict::Free);
    crashes.expire(now + 9 * S);
    assert_eq!(crashes.len(), 1);
    crashes.expire(now + 11 * S);
    assert!(crashes.is_empty());
}

#[test]
fn ends_of_what_was_answered_are_told_no_more() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1], now);
    assert_eq!(crashes.news(now).len(), 1);
    answer(&mut crashes, now + MS);
    // Seen only now, as it took a while to tell that the upstream had ended.
    see(&mut crashes, &[2], now);
    for ms in [2, 600, 1200, 2500, 4500] {
        let words = crashes.news(now + ms * MS);
        assert!(
            !words.iter().any(|w| matches!(w, Word::End { .. })),
            "{words:?}"
        );
    }
}

#[test]
fn held_work_is_tried_three_times_ever_later_by_all_together() {
    let (mut crashes, start) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1, 2, 3], start);
    let mut trials = Vec::new();
    for second in 0..1800 {
        let now = start + second * S;
        if let Verdict::Trial(number, _) = crashes.verdict(WORK, now) {
            assert_eq!(number, trials.len());
            crashes.ask_trial(WORK, now);
            // Nobody else asks meanwhile; one that can't be taken is asked for again.
            assert!(matches!(crashes.verdict(WORK, now), Verdict::Held(_)));
            assert!(matches!(crashes.verdict(WORK, now + S), Verdict::Trial(..)));
            crashes.trial_taken(WORK, number, now);
            let end = end_in_trial(WORK, 100 + second, now + MS);
            crashes.take(end, Source::Own, true, now + MS);
            let proof = match number {
                0 => Proof::Open,
                _ => Proof::Proven,
            };
            assert_eq!(crashes.verdict(WORK, now + MS), Verdict::Held(proof));
            trials.push(second);
        }
    }
    assert_eq!(trials.len(), 3);
    assert_eq!(trials[0], 0);
    assert!(trials[1] <= 3 && trials[2] >= 60);
}

#[test]
fn a_trial_that_is_answered_frees_the_work_and_one_at_another_host_counts() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1, 2, 3, 4, 5], now);
    assert_eq!(crashes.verdict(WORK, now), Verdict::Trial(0, Proof::Open));
    crashes.trial_taken(WORK, 0, now + 100 * MS);
    let held = Verdict::Held(Proof::Open);
    assert_eq!(crashes.verdict(WORK, now + S), held);
    assert_eq!(answer(&mut crashes, now + 7 * S), Change::Cleared);
    assert_eq!(crashes.verdict(WORK, now + 8 * S), Verdict::Free);
}

#[test]
fn a_trial_that_reached_no_upstream_is_due_again() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1, 2, 3], now);
    let now = now + 100 * MS;
    crashes.ask_trial(WORK, now);
    crashes.trial_taken(WORK, 0, now);
    crashes.trial_returned(WORK, 0);
    assert_eq!(crashes.verdict(WORK, now), Verdict::Held(Proof::Open));
    let later = now + S;
    assert_eq!(crashes.verdict(WORK, later), Verdict::Trial(0, Proof::Open));
    // What another host returned late changes nothing of a later one.
    crashes.trial_taken(WORK, 0, later);
    crashes.trial_taken(WORK, 1, later);
    crashes.trial_returned(WORK, 0);
    assert_eq!(crashes.verdict(WORK, later + S), Verdict::Held(Proof::Open));
    assert_eq!(
        crashes.verdict(WORK, later + 2 * S),
        Verdict::Trial(2, Proof::Open)
    );
}

/// Takes the trial that is due, under which an upstream ends.
fn trial_ends(crashes: &mut Crashes, upstream: u32, now: Instant) {
    let Verdict::Trial(number, _) = crashes.verdict(WORK, now) else {
        panic!("no trial is due");
    };
    crashes.trial_taken(WORK, number, now);
    let end = end_in_trial(WORK, upstream, now + MS);
    crashes.take(end, Source::Own, true, now + MS);
}

#[test]
fn ends_outside_of_trials_prove_nothing() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1, 2, 3], now);
    for number in 0..3 {
        crashes.trial_taken(WORK, number, now + S);
    }
    // At a host that knew of nothing, and sent it as any other.
    let word = end(WORK, 4, now + 2 * S);
    crashes.take(word, Source::Peer, true, now + 2 * S);
    assert_eq!(
        crashes.verdict(WORK, now + 2 * S),
        Verdict::Held(Proof::Open)
    );
}

#[test]
fn trials_at_which_other_guilty_work_was_prove_nothing() {
    let (mut crashes, mut now) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1, 2, 3], now);
    let other = Fingerprint(8);
    for upstream in [11, 12] {
        now += 2 * S;
        trial_ends(&mut crashes, upstream, now);
        crashes.take(end(other, upstream, now), Source::Peer, true, now);
    }
    let held = |crashes: &Crashes, proof| {
        assert_eq!(crashes.verdict(WORK, now + MS), Verdict::Held(proof));
    };
    held(&crashes, Proof::Open);
    // Once the other is answered it did nothing.
    let answer = Word::Answer {
        work: other,
        at: now + MS,
    };
    crashes.take(answer, Source::Peer, true, now + MS);
    held(&crashes, Proof::Proven);
}

#[test]
fn others_that_were_there_by_chance_excuse_nothing() {
    let (mut crashes, mut now) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1, 2, 3], now);
    for upstream in [11, 12] {
        now += 2 * S;
        trial_ends(&mut crashes, upstream, now);
        let beside = Fingerprint(100 + u128::from(upstream));
        crashes.take(end(beside, upstream, now), Source::Peer, true, now);
    }
    assert_eq!(
        crashes.verdict(WORK, now + MS),
        Verdict::Held(Proof::Proven)
    );
}

/// However upstreams fail to answer, it is tried again: within seconds at first, and never
/// later than a minute.
#[test]
fn a_trial_without_an_end_and_an_answer_is_followed_by_another() {
    let (mut crashes, start) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1, 2, 3], start);
    let mut trials = Vec::new();
    for second in 0..600 {
        let now = start + second * S;
        if let Verdict::Trial(number, proof) = crashes.verdict(WORK, now) {
            assert_eq!(proof, Proof::Open);
            crashes.ask_trial(WORK, now);
            crashes.trial_taken(WORK, number, now);
            trials.push(second);
        }
    }
    assert!(trials.len() > TRIALS, "{trials:?}");
    assert!(trials[3] <= 10, "{trials:?}");
    let longest = trials.windows(2).map(|two| two[1] - two[0]).max();
    assert!(longest <= Some(60), "{trials:?}");
}

/// Work that ends each upstream, and whose every trial meets other such work.
#[test]
fn however_often_trials_prove_nothing_three_late_ones_end_an_upstream_at_most() {
    let (mut crashes, start) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1, 2, 3], start);
    let mut late = 0;
    for tenth in 0..36_000u32 {
        let now = start + tenth * 100 * MS;
        let Verdict::Trial(..) = crashes.verdict(WORK, now) else {
            continue;
        };
        let upstream = 100 + tenth;
        trial_ends(&mut crashes, upstream, now);
        for work in [50, 51] {
            let beside = end(Fingerprint(work), upstream, now);
            crashes.take(beside, Source::Peer, true, now);
        }
        late += usize::from(now > start + 3 * S);
    }
    assert_eq!(late, 3);
}

#[test]
fn an_answer_outlasts_rows_that_are_read_after_it() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    // A host that has just started hears it from a peer before it reads the rows.
    let word = Word::Answer {
        work: WORK,
        at: now,
    };
    crashes.take(word, Source::Peer, true, now);
    for upstream in 1..=3 {
        let row = end(WORK, upstream, now - S);
        crashes.take(row, Source::Store, false, now + 5 * S);
    }
    assert_eq!(crashes.verdict(WORK, now + 5 * S), Verdict::Free);
}

#[test]
fn an_answer_is_told_as_long_as_rows_from_before_it_are_kept() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    for upstream in 1..=3 {
        let row = end(WORK, upstream, now);
        crashes.take(row, Source::Store, false, now);
    }
    answer(&mut crashes, now + MS);
    for second in 10..100 {
        let words = crashes.news(now + second * S);
        let is_told = words.iter().any(|word| matches!(word, Word::Answer { .. }));
        assert!(is_told, "not told after {second} s");
    }
    let records = crashes.recorded();
    for record in &records {
        crashes.set_recorded(record, false);
    }
    assert_eq!(crashes.news(now + 101 * S), []);
}

#[test]
fn rows_that_a_host_should_have_removed_are_removed_by_others() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    for upstream in 1..=3 {
        let row = end(WORK, upstream, now);
        crashes.take(row, Source::Store, false, now);
    }
    let word = Word::Answer {
        work: WORK,
        at: now + MS,
    };
    crashes.take(word, Source::Peer, true, now + MS);
    assert_eq!(crashes.to_remove(None, 9), []);
    assert_eq!(crashes.to_remove(Some(now), 9), []);
    assert_eq!(crashes.to_remove(Some(now + S), 9).len(), 3);
}

#[test]
fn what_came_twice_is_recorded_and_what_was_answered_is_removed() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1], now);
    assert_eq!(crashes.to_record(RECORD_FROM, None, 9), []);
    assert_eq!(crashes.to_record(1, None, 9).len(), 1);
    see(&mut crashes, &[2], now);
    // What a peer saw the peer writes, unless it had time to and didn't.
    crashes.take(end(WORK, 3, now), Source::Peer, true, now);
    assert_eq!(crashes.to_record(RECORD_FROM, Some(now + MS), 9).len(), 3);
    let due = crashes.to_record(RECORD_FROM, None, 9);
    let upstreams: Vec<u32> = due.iter().map(|r| r.upstream).collect();
    assert_eq!(upstreams, [1, 2]);
    for record in &due {
        crashes.set_recorded(record, true);
    }
    assert_eq!(crashes.to_record(RECORD_FROM, None, 9), []);
    assert_eq!(crashes.to_remove(None, 9), []);
    answer(&mut crashes, now + MS);
    assert_eq!(crashes.to_remove(None, 9), due);
}

#[test]
fn rows_that_are_gone_free_the_work() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    for upstream in 1..=3 {
        crashes.take(end(WORK, upstream, now), Source::Store, false, now);
    }
    assert_eq!(crashes.recorded().len(), 3);
    let gone: Vec<Change> = (1..=3).map(|u| crashes.forget(WORK, u)).collect();
    assert_eq!(gone, [Change::Same, Change::Same, Change::Cleared]);
    assert_eq!(crashes.verdict(WORK, now), Verdict::Free);
}

/// Half of a large fleet ends at once, and each host saw a hundred requests there: what is
/// remembered, told and written stays within bounds, and what is held back stays so.
#[test]
fn a_flood_of_suspects_stays_within_bounds() {
    let (mut crashes, mut now) = (Crashes::default(), Instant::now());
    see(&mut crashes, &[1, 2, 3], now);
    let mut told = 0;
    for n in 0..20_000u32 {
        if n % 50 == 0 {
            now += 10 * MS;
            let words = crashes.news(now);
            assert!(words.len() <= 16);
            told += words.len();
        }
        let work = Fingerprint(1000 + u128::from(n));
        crashes.take(end(work, n % 300, now), Source::Own, true, now);
    }
    assert_eq!(crashes.len(), 1024);
    assert_eq!(crashes.counted(WORK), LIMIT);
    assert!(told <= 64 * 5, "{told} words in 4 s");
    assert!(crashes.to_record(RECORD_FROM, None, 1000).len() <= 3);
}

#[test]
fn what_matters_more_is_told_first_several_times() {
    let (mut crashes, now) = (Crashes::default(), Instant::now());
    for n in 0..40 {
        crashes.take(end(Fingerprint(100 + n), 9, now), Source::Own, true, now);
    }
    see(&mut crashes, &[1, 2, 3], now);
    let mut times = 0;
    for tenth in 0..60 {
        let words = crashes.news(now + tenth * 100 * MS);
        times += words.iter().filter(|word| word.work() == WORK).count();
        if tenth == 0 {
            assert!(words[..3].iter().all(|word| word.work() == WORK));
        }
    }
    assert_eq!(times, 3 * 8);
}

/// One thing that happens to the hosts of a system.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A host sees an upstream end under the work.
    End(usize),
    /// All hosts tell each other; so many of ten datagrams are lost.
    Tell(u32),
    /// A host starts again and reads the rows.
    Restart(usize),
}

const HOSTS: usize = 4;

/// Whatever hosts see, lose and forget: each that may send the work has seen fewer ends than
/// the limit, or was told of them too late. Once words have had time to come, none may.
#[test]
fn all_hosts_hold_it_back_soon_after_the_third_end() {
    let step = prop_oneof![
        3 => (0..HOSTS).prop_map(Step::End),
        3 => (0u32..9).prop_map(Step::Tell),
        1 => (0..HOSTS).prop_map(Step::Restart),
    ];
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(300), rng);
    let seeds = (proptest::collection::vec(step, 1..40), any::<u64>());
    let run = runner.run(&seeds, |(steps, seed)| {
        play(&steps, seed);
        Ok(())
    });
    run.unwrap();
}

fn play(steps: &[Step], seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut hosts: Vec<Crashes> = (0..HOSTS).map(|_| Crashes::default()).collect();
    let mut rows: Vec<Record> = Vec::new();
    let (mut now, mut ends, mut lost) = (Instant::now(), 0, 0);
    for step in steps {
        now += 20 * MS;
        match step {
            Step::End(host) => {
                ends += 1;
                crashes_take(&mut hosts[*host], ends, now);
            }
            Step::Tell(loss) => tell(&mut hosts, *loss, &mut rng, now),
            Step::Restart(host) => {
                // What it alone had seen, and not yet written, is lost with it.
                lost += hosts[*host].to_record(1, None, 99).len();
                hosts[*host] = Crashes::default();
            }
        }
        write(&mut hosts, &mut rows, now);
    }
    for _ in 0..60 {
        now += 100 * MS;
        tell(&mut hosts, 3, &mut rng, now);
        write(&mut hosts, &mut rows, now);
    }
    if ends as usize >= LIMIT + lost {
        for host in &hosts {
            assert_ne!(host.verdict(WORK, now), Verdict::Suspect);
            assert_ne!(host.verdict(WORK, now), Verdict::Free);
        }
    }
}

fn crashes_take(host: &mut Crashes, upstream: u32, now: Instant) {
    host.take(end(WORK, upstream, now), Source::Own, true, now);
}

fn tell(hosts: &mut [Crashes], loss: u32, rng: &mut fastrand::Rng, now: Instant) {
    for from in 0..hosts.len() {
        for word in hosts[from].news(now) {
            for (to, host) in hosts.iter_mut().enumerate() {
                if to != from && rng.u32(..10) >= loss {
                    host.take(word, Source::Peer, false, now);
                }
            }
        }
    }
}

/// Writes what is due, and lets all hosts read it.
fn write(hosts: &mut [Crashes], rows: &mut Vec<Record>, now: Instant) {
    for host in hosts.iter_mut() {
        let due = host.to_record(RECORD_FROM, None, 99);
        for record in &due {
            host.set_recorded(record, true);
        }
        rows.extend(due);
    }
    for host in hosts {
        for row in rows.iter() {
            host.take(
                end(row.work, row.upstream, row.at),
                Source::Store,
                false,
                now,
            );
        }
    }
}
