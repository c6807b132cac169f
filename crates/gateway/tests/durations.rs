//! How long answers are taken to last at most, from those that were seen.

use gateway::fleet::durations::Durations;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Answers of a length, of which one took 800 ms and the others 100.
fn seen(tokens: u32, count: u32) -> Durations {
    let mut durations = Durations::default();
    durations.note(tokens, ms(800));
    for _ in 1..count {
        durations.note(tokens, ms(100));
    }
    durations
}

#[test]
fn the_slowest_of_the_latest_counts_with_a_margin() {
    let mut durations = seen(100, 40);
    let longest = durations.longest(100);
    assert!((ms(900)..ms(1200)).contains(&longest), "{longest:?}");
    // Long after it, the slow one counts no more.
    for _ in 0..500 {
        durations.note(100, ms(100));
    }
    assert!(durations.longest(100) < ms(200));
}

#[test]
fn without_enough_answers_a_long_one_is_taken_to_last_long() {
    let nothing = Durations::default();
    assert!(nothing.longest(10) < nothing.longest(100));
    assert!(nothing.longest(5000) > Duration::from_secs(60));
    assert!(seen(100, 3).longest(100) > ms(1200));
    // Slower than the start value as it may be, what was seen counts.
    let mut slow = Durations::default();
    slow.note(1, Duration::from_secs(30));
    assert!(slow.longest(1) >= Duration::from_secs(30));
}

#[test]
fn rare_lengths_are_bounded_by_those_next_to_them() {
    let known = seen(100, 40);
    let own = known.longest(100);
    assert_eq!(known.longest(200), own * 2, "twice as long at the most");
    assert_eq!(known.longest(30), own, "a shorter one takes no longer");
    assert!(known.longest(10_000) > own * 50);
}

#[test]
fn plain_answers_and_others_tell_nothing_of_each_other() {
    let prompts = seen(100, 40);
    assert!(prompts.longest(0) >= Duration::from_secs(1));
    let plain = seen(0, 40);
    assert!((ms(900)..ms(1200)).contains(&plain.longest(0)));
    assert!(plain.longest(100) > Duration::from_secs(2));
}
