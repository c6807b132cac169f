//! Series of overlapping restarts, under which streams must go on.
//!
//! The store stays available, as only it keeps the records of streams if all processes are
//! replaced.

use crate::cluster::Cluster;
use crate::fault::{FaultLog, clear_faults, restart_ended};
use crate::stops::{ScheduledSignal, millis, signals};
use bench::procs::Signal;
use std::io;
use std::time::{Duration, Instant};

/// Interval between checks for signals that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the start of the load to the first series, in milliseconds. Streams have begun by
/// then.
const FIRST_SERIES_MS: std::ops::Range<u64> = 2000..3500;
/// Longest time between two stops of a series, in milliseconds.
const MAX_STOP_GAP_MS: u64 = 1500;
/// Longest time between the first and the last stop of a series, in milliseconds. The last process
/// gets its signal before the first has ended.
const MAX_SERIES_MS: u64 = 5000;
/// Time from a series' last signal to the next series, in milliseconds. By then all of its
/// processes may have restarted, or none.
const SERIES_GAP_MS: std::ops::Range<u64> = 1000..12_000;
/// One in so many starting processes is told to stop soon after its start.
const STOP_AT_START_ONE_IN: u32 = 6;
/// Longest time from the start of a process to such a stop, in milliseconds.
const MAX_STOP_AFTER_START_MS: u64 = 1500;
/// Time between two kills of all processes in a series, in milliseconds.
const SECOND_KILL_MS: std::ops::Range<u64> = 1000..3000;
/// Longest time for which processes stay down after all were killed, in milliseconds.
const MAX_DOWN_MS: u64 = 2500;
/// One in so many checks also makes a change that isn't a restart.
const SIDE_CHANGE_ONE_IN: u32 = 12;
/// Number of upstreams of a version that removals leave, with exceptions.
const MIN_WORKERS_PER_VERSION: usize = 2;
/// One in so many removals may leave a single upstream of a version.
const LEAVE_SINGLE_ONE_IN: u32 = 6;

/// Kind of a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Series {
    /// All processes are told to stop, one shortly after the other.
    Staggered,
    /// All processes are told to stop at the same moment.
    AtOnce,
    /// As [`Series::Staggered`], but one of the processes is killed instead.
    StaggeredWithKill,
    /// All processes are killed at the same moment.
    AllKilled,
    /// All processes are killed at the same moment, and again soon after.
    AllKilledTwice,
    /// As [`Series::Staggered`], but all processes are killed meanwhile.
    StaggeredWithAllKilled,
}

/// Kinds of series that a run makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeriesSet {
    /// Mostly planned stops, the series that seeds of earlier runs draw.
    Stops,
    /// Mostly kills of all processes.
    Kills,
}

impl Series {
    fn draw(set: SeriesSet, rng: &mut fastrand::Rng, gateways: usize) -> Self {
        match set {
            SeriesSet::Stops => Self::draw_stops(rng, gateways),
            SeriesSet::Kills => match rng.u32(..10) {
                0..3 => Self::AllKilled,
                3..6 => Self::AllKilledTwice,
                6..9 => Self::StaggeredWithAllKilled,
                _ => Self::draw_stops(rng, gateways),
            },
        }
    }

    fn draw_stops(rng: &mut fastrand::Rng, gateways: usize) -> Self {
        match rng.u32(..10) {
            0..4 => Self::Staggered,
            4..7 => Self::AtOnce,
            7..9 if gateways > 1 => Self::StaggeredWithKill,
            7..9 => Self::AtOnce,
            _ => Self::AllKilled,
        }
    }

    /// Draws when all processes are killed in a series that begins at `now`.
    fn kills(self, rng: &mut fastrand::Rng, now: Instant) -> Vec<Instant> {
        match self {
            Self::Staggered | Self::AtOnce | Self::StaggeredWithKill => Vec::new(),
            Self::AllKilled => vec![now],
            Self::AllKilledTwice => vec![now, now + millis(rng, SECOND_KILL_MS)],
            Self::StaggeredWithAllKilled => vec![now + millis(rng, 0..MAX_SERIES_MS)],
        }
    }

    /// Draws the signals of a series that begins at `now`, except for kills of all processes.
    fn signals(
        self,
        rng: &mut fastrand::Rng,
        gateways: usize,
        now: Instant,
    ) -> Vec<ScheduledSignal> {
        let mut order: Vec<usize> = (0..gateways).collect();
        rng.shuffle(&mut order);
        let gap = match self {
            Self::Staggered | Self::StaggeredWithKill | Self::StaggeredWithAllKilled => {
                let max = MAX_STOP_GAP_MS.min(MAX_SERIES_MS / gateways as u64);
                millis(rng, 0..max)
            }
            Self::AtOnce => Duration::ZERO,
            Self::AllKilled | Self::AllKilledTwice => return Vec::new(),
        };
        let mut all = Vec::new();
        if self == Self::StaggeredWithKill
            && let Some(killed) = order.pop()
        {
            let at = now + gap.mul_f64(rng.f64() * gateways as f64);
            all.push(ScheduledSignal::new(at, killed, Signal::Kill));
        }
        for (n, gateway) in order.into_iter().enumerate() {
            let at = now + gap * n as u32;
            match self {
                Self::AtOnce => all.push(ScheduledSignal::new(at, gateway, Signal::Term)),
                _ => all.extend(signals(rng, at, gateway)),
            }
        }
        all
    }
}

/// Runs series of restarts until `until`, then clears all faults.
pub async fn run(
    cluster: &mut Cluster,
    set: SeriesSet,
    seed: u64,
    until: Instant,
) -> io::Result<FaultLog> {
    let mut rng = fastrand::Rng::with_seed(seed);
    // The other draws depend on timing, which must not change the series of a seed.
    let mut series_rng = rng.fork();
    let mut done = FaultLog::default();
    let mut due: Vec<ScheduledSignal> = Vec::new();
    let mut kills: Vec<Instant> = Vec::new();
    let mut down_until = Instant::now();
    let mut next = Instant::now() + millis(&mut series_rng, FIRST_SERIES_MS);
    while Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
        let started = match Instant::now() < down_until {
            true => Vec::new(),
            false => restart_ended(cluster)?,
        };
        for started in started {
            if rng.u32(..STOP_AT_START_ONE_IN) == 0 {
                let at = Instant::now() + millis(&mut rng, 0..MAX_STOP_AFTER_START_MS);
                due.push(ScheduledSignal::new(at, started, Signal::Term));
            }
        }
        let now = Instant::now();
        if now >= next {
            let gateways = cluster.gateways.len();
            let series = Series::draw(set, &mut series_rng, gateways);
            println!("{series:?}");
            let series_kills = series.kills(&mut series_rng, now);
            let signals = series.signals(&mut series_rng, gateways, now);
            let times = signals.iter().map(|s| s.at).chain(series_kills.clone());
            next = times.max().unwrap_or(now) + millis(&mut series_rng, SERIES_GAP_MS);
            due.extend(signals);
            kills.extend(series_kills);
        }
        for _ in kills.extract_if(.., |at| *at <= now) {
            cluster.kill_all();
            done.faults += cluster.gateways.len();
            if set == SeriesSet::Kills {
                down_until = now + millis(&mut rng, 0..MAX_DOWN_MS);
            }
        }
        for signal in due.extract_if(.., |d| d.at <= now) {
            cluster.signal(signal.gateway, signal.signal);
            done.faults += 1;
        }
        if rng.u32(..SIDE_CHANGE_ONE_IN) == 0 {
            change_aside(cluster, &mut rng).await?;
            done.faults += 1;
        }
    }
    for signal in due {
        // Paused processes are resumed by `clear_faults`.
        cluster.signal(signal.gateway, signal.signal);
    }
    clear_faults(cluster).await?;
    Ok(done)
}

/// Reloads settings, changes the configuration, or adds or removes a worker.
async fn change_aside(cluster: &mut Cluster, rng: &mut fastrand::Rng) -> io::Result<()> {
    let gateway = rng.usize(..cluster.gateways.len());
    let worker = rng.usize(..cluster.upstreams.len());
    match rng.u32(..8) {
        0..3 => cluster.change_config(),
        3..6 => cluster.signal(gateway, Signal::Hangup),
        6 => {
            let version = cluster.upstreams[worker].version;
            let all = cluster.upstreams.iter();
            let count = all.filter(|u| u.version == version).count();
            let may_leave_single = rng.u32(..LEAVE_SINGLE_ONE_IN) == 0 && count > 1;
            if count > MIN_WORKERS_PER_VERSION || may_leave_single {
                cluster.retire(worker);
            }
        }
        _ => cluster.add_worker().await?,
    }
    Ok(())
}
