//! Kills all hosts of a fleet in virtual time, with 4 to 629 hosts, while two versions serve: the
//! streams go on by the rows that the checkpoint writers write to the store.

#[path = "checkpoints/fleet.rs"]
mod fleet;
#[path = "checkpoints/store.rs"]
mod store;

use fleet::{DEADLINE, Fleet, MAX_ROW_RECORDS, Settings, TakenUp};
use origins::NameHash;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Age at the kill from which on streams are to be found.
const FOUND_AGE: Duration = Duration::from_secs(1);
/// Number of calls of all hosts in a second that isn't reached.
const MAX_CALLS: usize = 4;
/// Sizes of fleets.
const SIZES: [usize; 4] = [4, 30, 300, 629];
/// Seed of the drawn series.
const SEED: u64 = 7301;
/// Size from which on a fleet is large, and which share of the kinds of series is played there.
const LARGE_FLEET: usize = 300;
const LARGE_FLEET_ONE_IN: usize = 4;
/// Number of drawn series of each kind.
const DRAWN_CASES: u32 = 7;
/// Largest number of streams a second.
const MAX_RATE: u64 = 34;
/// Ages at the kill by which the share of streams that is found is counted, and the number of
/// streams of each age.
const AGES: [Duration; 5] = [
    Duration::from_millis(2000),
    Duration::from_millis(1000),
    Duration::from_millis(750),
    Duration::from_millis(500),
    Duration::from_millis(250),
];
const STREAMS_PER_AGE: usize = 3;

/// What happens before all hosts are killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// Nothing.
    Calm,
    /// All hosts are killed twice.
    Twice,
    /// One or both writers are killed before.
    WritersFirst,
    /// The store answers slowly.
    SlowStore,
    /// The store doesn't answer before the kill.
    SilentStore,
    /// The store is replaced by an older copy.
    RestoredStore,
    /// Hosts restart, some by kills.
    Restarts,
    /// Hosts are replaced by others.
    Replacements,
    /// The upstreams of the second version leave.
    VersionLeaves,
}

const KINDS: [Kind; 9] = [
    Kind::Calm,
    Kind::Twice,
    Kind::WritersFirst,
    Kind::SlowStore,
    Kind::SilentStore,
    Kind::RestoredStore,
    Kind::Restarts,
    Kind::Replacements,
    Kind::VersionLeaves,
];

impl Kind {
    /// Whether only the streams that a finished write contained are to be found.
    fn loses_writes(self) -> bool {
        matches!(self, Self::SilentStore | Self::RestoredStore)
    }
}

/// A series of events.
#[derive(Debug, Clone, Copy)]
struct Series {
    kind: Kind,
    settings: Settings,
    /// Time before the events, in milliseconds.
    before_ms: u64,
    /// Time between the events, in milliseconds; a fraction of the longest one.
    gap: f64,
    /// Number of writers that are killed, or of hosts that restart or are replaced.
    count: usize,
}

/// Results of a number of series.
#[derive(Debug, Default)]
struct Results {
    taken_up: Vec<TakenUp>,
    max_calls: usize,
    calls: usize,
    time: Duration,
    max_records: usize,
    records: usize,
    ended_in_rows: usize,
    /// Numbers of streams that were reported, and of datagrams for that.
    streams: usize,
    datagrams: usize,
}

fn fraction_ms(gap: f64, ms: std::ops::Range<u64>) -> Duration {
    let length = (ms.end - ms.start) as f64 * gap;
    Duration::from_millis(ms.start + length as u64)
}

impl Series {
    /// Plays the events. Returns the streams that were taken up after the last kill.
    fn play(&self, fleet: &mut Fleet) -> Vec<TakenUp> {
        if self.kind == Kind::SlowStore {
            fleet.store.latency_ms = 100..300;
        }
        fleet.wait(Duration::from_millis(self.before_ms));
        let hosts = self.settings.hosts;
        match self.kind {
            Kind::Calm | Kind::SlowStore | Kind::RestoredStore => {}
            Kind::Twice => {
                fleet.kill_all();
                let mut taken_up = fleet.restart_and_take_up_all();
                fleet.wait(fraction_ms(self.gap, 300..3000));
                fleet.kill_all();
                taken_up.extend(fleet.restart_and_take_up_all());
                return taken_up;
            }
            Kind::WritersFirst => {
                fleet.kill_writers(1 + self.count % 2);
                fleet.wait(fraction_ms(self.gap, 0..500));
            }
            Kind::SilentStore => {
                let silence = fraction_ms(self.gap, 100..2000);
                fleet.store.silent_until = Some(fleet.now + silence);
                fleet.wait(silence);
            }
            Kind::Restarts => {
                for n in 0..self.count {
                    match n % 2 {
                        0 => fleet.stop((self.settings.seed as usize + n) % hosts),
                        _ => fleet.kill((self.settings.seed as usize + n) % hosts),
                    }
                    fleet.wait(fraction_ms(self.gap, 0..1500));
                }
            }
            Kind::Replacements => {
                for n in 0..self.count {
                    fleet.replace((self.settings.seed as usize + n) % hosts);
                    fleet.wait(fraction_ms(self.gap, 0..1500));
                }
            }
            Kind::VersionLeaves => {
                fleet.versions = vec![NameHash(1)];
                fleet.wait(fraction_ms(self.gap, 0..4000));
            }
        }
        fleet.kill_all();
        if self.kind == Kind::RestoredStore {
            fleet.restore_store(Duration::from_secs(2));
        }
        fleet.restart_and_take_up_all()
    }
}

impl Results {
    fn add(&mut self, fleet: &Fleet, taken_up: &[TakenUp]) {
        self.taken_up.extend_from_slice(taken_up);
        self.max_calls = self.max_calls.max(max_per_second(&fleet.calls));
        self.calls += fleet.calls.len();
        self.time += fleet.age();
        self.max_records = self.max_records.max(fleet.max_records);
        self.records += fleet.records;
        self.ended_in_rows += fleet.ended_in_rows;
        self.streams += fleet.stream_count();
        self.datagrams += fleet.datagrams;
    }

    /// Numbers of streams that were found and of all, of those with a property.
    fn found(&self, is_counted: impl Fn(&TakenUp) -> bool) -> (usize, usize) {
        let counted = self.taken_up.iter().filter(|t| is_counted(t));
        let found = counted.clone().filter(|t| t.is_found);
        (found.count(), counted.count())
    }
}

/// Largest number of calls in a second.
fn max_per_second(calls: &[Instant]) -> usize {
    let in_second = |first: usize| {
        let end = calls[first] + Duration::from_secs(1);
        calls.partition_point(|at| *at < end) - first
    };
    (0..calls.len()).map(in_second).max().unwrap_or(0)
}

fn series(kind: Kind, hosts: impl Strategy<Value = usize>) -> impl Strategy<Value = Series> {
    let loss = prop_oneof![Just(0u32), Just(100), Just(20)];
    let numbers = (hosts, 3..=MAX_RATE, loss, any::<u64>());
    (numbers, 3000..6000u64, 0.0..1.0, 1..4usize).prop_map(
        move |((hosts, rate, loss_one_in, seed), before_ms, gap, count)| Series {
            kind,
            settings: Settings {
                hosts,
                rate,
                loss_one_in,
                has_two_versions: true,
                seed,
            },
            before_ms,
            gap,
            count,
        },
    )
}

/// Plays a series, and checks what holds for each.
fn run(series: &Series, results: &mut Results) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(series.settings);
    let taken_up = series.play(&mut fleet);
    results.add(&fleet, &taken_up);
    let is_kept = |t: &TakenUp| t.is_found || !t.was_written;
    prop_assert!(taken_up.iter().all(is_kept), "a written stream is lost");
    let max_calls = max_per_second(&fleet.calls);
    prop_assert!(max_calls < MAX_CALLS, "{max_calls} calls in a second");
    let records = fleet.max_records;
    prop_assert!(records <= MAX_ROW_RECORDS, "{records} records");
    if series.kind == Kind::Calm && series.settings.loss_one_in == 0 {
        prop_assert_eq!(fleet.ended_in_rows, 0, "ended streams in rows");
    }
    Ok(())
}

/// Checks the share of the streams that were found, and prints all results.
fn check(kind: Kind, results: &Results) {
    let (found, all) = results.found(|t| t.age > FOUND_AGE);
    let mean = results.calls as f64 / results.time.as_secs_f64();
    println!(
        "{kind:?}: {found} of {all} streams older than 1 s, {} calls in a second, mean {mean:.2}, \
         {} records in a row, {} of {} records ended",
        results.max_calls, results.max_records, results.ended_in_rows, results.records
    );
    assert!(all > 0);
    assert!(mean < MAX_CALLS as f64);
    assert!(results.ended_in_rows * 100 <= results.records);
    if !kind.loses_writes() {
        assert!(found * 10 >= all * 9, "{kind:?}: {found} of {all}");
    }
}

/// Guards against streams being unknown after a kill of all hosts, and against more calls than the
/// store is to carry out, in drawn series.
#[test]
fn most_streams_go_on_after_all_hosts_were_killed() {
    for kind in KINDS {
        let mut runner = TestRunner::new(Config {
            cases: DRAWN_CASES,
            failure_persistence: None,
            rng_seed: RngSeed::Fixed(SEED),
            ..Config::default()
        });
        let results = RefCell::new(Results::default());
        let hosts = prop_oneof![Just(SIZES[0]), 4..60usize, Just(SIZES[1])];
        runner
            .run(&series(kind, hosts), |series| {
                run(&series, &mut results.borrow_mut())
            })
            .unwrap();
        check(kind, &results.into_inner());
    }
}

/// Guards against the same in kept series. Large fleets take long, so each kind is played in some
/// sizes only.
#[test]
fn most_streams_go_on_at_each_size() {
    for (of_kind, kind) in KINDS.into_iter().enumerate() {
        for (n, hosts) in SIZES.into_iter().enumerate() {
            if hosts >= LARGE_FLEET && of_kind % LARGE_FLEET_ONE_IN != n % LARGE_FLEET_ONE_IN {
                continue;
            }
            let mut results = Results::default();
            let series = Series {
                kind,
                settings: Settings {
                    hosts,
                    rate: MAX_RATE,
                    loss_one_in: 100,
                    has_two_versions: true,
                    seed: SEED + n as u64,
                },
                before_ms: 3500,
                gap: 0.3,
                count: 2,
            };
            run(&series, &mut results).unwrap();
            print!("{hosts} hosts, ");
            check(kind, &results);
        }
    }
}

/// Guards against a longer time until streams are stored. Prints the share that is found by age.
#[test]
fn share_of_streams_that_is_found_by_age() {
    for (hosts, runs) in SIZES.into_iter().zip([40u64, 20, 2, 1]) {
        let mut results = Results::default();
        for n in 0..runs {
            let mut fleet = Fleet::new(Settings {
                hosts,
                rate: MAX_RATE,
                loss_one_in: 100,
                has_two_versions: true,
                seed: SEED + n,
            });
            // Kills at times that are spread evenly over the interval between two writes.
            fleet.wait(Duration::from_millis(2000 + 1000 * n / runs));
            for (at, age) in AGES.into_iter().enumerate() {
                for _ in 0..STREAMS_PER_AGE {
                    fleet.begin();
                }
                let next = AGES.get(at + 1).copied().unwrap_or(Duration::ZERO);
                fleet.wait(age - next);
            }
            fleet.kill_all();
            let taken_up = fleet.restart_and_take_up_all();
            results.add(&fleet, &taken_up);
        }
        for age in AGES {
            let (found, all) = results.found(|t| t.age == age);
            println!("{hosts} hosts: {found} of {all} streams found that were {age:?} old");
            assert!(age < FOUND_AGE || found * 10 >= all * 9, "{found} of {all}");
        }
        println!(
            "{hosts} hosts: {} datagrams for {} streams",
            results.datagrams, results.streams
        );
    }
}

/// Guards against rows that exceed their maximum at the highest rate.
#[test]
fn rows_hold_all_streams_of_the_highest_rate() {
    let mut fleet = Fleet::new(Settings {
        hosts: SIZES[1],
        rate: MAX_RATE,
        loss_one_in: 0,
        has_two_versions: true,
        seed: SEED,
    });
    fleet.wait(DEADLINE * 2);
    println!(
        "{} records in a row at most, {:.0} on average",
        fleet.max_records,
        fleet.records as f64 / fleet.calls.len() as f64
    );
    assert!(
        fleet.max_records <= MAX_ROW_RECORDS,
        "{}",
        fleet.max_records
    );
    assert_eq!(fleet.ended_in_rows, 0);
}

/// Guards against calls and datagrams while a single version serves.
#[test]
fn nothing_is_stored_while_a_single_version_serves() {
    for hosts in [SIZES[0], SIZES[1]] {
        let mut fleet = Fleet::new(Settings {
            hosts,
            rate: MAX_RATE,
            loss_one_in: 20,
            has_two_versions: false,
            seed: SEED,
        });
        fleet.wait(DEADLINE);
        assert_eq!((fleet.calls.len(), fleet.datagrams), (0, 0));
    }
}
