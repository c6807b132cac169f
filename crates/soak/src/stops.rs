//! Series of overlapping planned stops, with other changes that must not cut any answer.

use crate::client::SLOWDOWN_AFTER;
use crate::cluster::Cluster;
use crate::fault::{FaultLog, clear_faults, random_store_mode, restart_ended};
use bench::procs::Signal;
use bench::relay::Link;
use std::io;
use std::time::{Duration, Instant};

/// Interval between checks for signals that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between the stops of two processes of a series. All three get their signals long
/// before the first of them has ended.
const MAX_STOP_GAP_MS: u64 = 2500;
/// Longest time from the first to the last stop of a series if answers slow down.
const MAX_SLOWDOWN_SERIES_MS: u64 = 5000;
/// Longest time from a series' last signal to the next series if answers slow down.
const MAX_SLOWDOWN_SERIES_GAP_MS: u64 = 5000;
/// One in so many series stops all processes at once if answers slow down.
const SIMULTANEOUS_ONE_IN: u32 = 3;
/// Longest time from a series' last signal to the next series. By then all of its processes may
/// have ended, or none.
const MAX_SERIES_GAP_MS: u64 = 11_000;
/// One in so many checks also makes a change that isn't a stop.
const SIDE_CHANGE_ONE_IN: u32 = 12;
/// One in so many starting processes is told to stop soon after its start.
const STOP_AT_START_ONE_IN: u32 = 6;
/// Longest time from the start of a process to such a stop.
const MAX_STOP_AFTER_START_MS: u64 = 1500;

/// A signal to send at a later time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScheduledSignal {
    pub(crate) at: Instant,
    pub(crate) gateway: usize,
    pub(crate) signal: Signal,
}

/// Runs series of planned stops until `until`, then clears all faults.
pub async fn run(cluster: &mut Cluster, seed: u64, until: Instant) -> io::Result<FaultLog> {
    let mut rng = fastrand::Rng::with_seed(seed);
    // The other draws depend on timing, which must not change the series of a seed.
    let mut series_rng = rng.fork();
    let mut done = FaultLog::default();
    let mut due = Vec::new();
    let mut next = Instant::now() + millis(&mut series_rng, 500..2500);
    if cluster.setup.has_slowdown {
        next += SLOWDOWN_AFTER;
    }
    while Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
        for started in restart_ended(cluster)? {
            if rng.u32(..STOP_AT_START_ONE_IN) == 0 {
                let at = Instant::now() + millis(&mut rng, 0..MAX_STOP_AFTER_START_MS);
                due.push(ScheduledSignal::new(at, started, Signal::Term));
            }
        }
        if Instant::now() >= next {
            let series = series(&mut series_rng, cluster);
            let last = series.iter().map(|d| d.at).max();
            let max_gap_ms = match cluster.setup.has_slowdown {
                true => MAX_SLOWDOWN_SERIES_GAP_MS,
                false => MAX_SERIES_GAP_MS,
            };
            next = last.unwrap_or(next) + millis(&mut series_rng, 0..max_gap_ms);
            due.extend(series);
        }
        for signal in due.extract_if(.., |d| d.at <= Instant::now()) {
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

impl ScheduledSignal {
    pub(crate) fn new(at: Instant, gateway: usize, signal: Signal) -> Self {
        Self {
            at,
            gateway,
            signal,
        }
    }
}

pub(crate) fn millis(rng: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

/// Draws the signals of one series, which stops all processes in a random order.
fn series(rng: &mut fastrand::Rng, cluster: &Cluster) -> Vec<ScheduledSignal> {
    let gateways = cluster.gateways.len();
    let mut order: Vec<usize> = (0..gateways).collect();
    rng.shuffle(&mut order);
    let gap = match cluster.setup.has_slowdown {
        true if rng.u32(..SIMULTANEOUS_ONE_IN) == 0 => Duration::ZERO,
        true => {
            let max = MAX_STOP_GAP_MS.min(MAX_SLOWDOWN_SERIES_MS / gateways as u64);
            millis(rng, 0..max)
        }
        false => millis(rng, 0..MAX_STOP_GAP_MS),
    };
    let mut at = Instant::now();
    let mut all = Vec::new();
    for gateway in order {
        all.extend(signals(rng, at, gateway));
        at += gap;
    }
    all
}

/// Draws the signals that stop one process.
pub(crate) fn signals(
    rng: &mut fastrand::Rng,
    at: Instant,
    gateway: usize,
) -> Vec<ScheduledSignal> {
    let due = |at, signal| ScheduledSignal::new(at, gateway, signal);
    match rng.u32(..8) {
        0 => vec![
            due(at, Signal::Term),
            due(at + millis(rng, 0..6000), Signal::Term),
        ],
        1 => vec![
            due(at, Signal::Hangup),
            due(at + millis(rng, 0..50), Signal::Term),
        ],
        2 => vec![
            due(at, Signal::Pause),
            due(at + millis(rng, 0..300), Signal::Term),
            due(at + millis(rng, 300..1500), Signal::Resume),
        ],
        3 => {
            let on = at + millis(rng, 0..800);
            vec![
                due(at, Signal::Pause),
                due(on, Signal::Resume),
                due(on + millis(rng, 0..20), Signal::Term),
            ]
        }
        _ => vec![due(at, Signal::Term)],
    }
}

/// Makes a change that must not cut an answer, except for a kill.
async fn change_aside(cluster: &mut Cluster, rng: &mut fastrand::Rng) -> io::Result<()> {
    let gateway = rng.usize(..cluster.gateways.len());
    let worker = rng.usize(..cluster.upstreams.len());
    match rng.u32(..16) {
        0..4 => cluster.change_config(),
        4..6 => cluster.signal(gateway, Signal::Hangup),
        6 if cluster.upstreams.len() > 2 => cluster.retire(worker),
        6..8 => cluster.add_worker().await?,
        8..10 => cluster.set_store(random_store_mode(rng)),
        10 => cluster.set_store_link(gateway, Link::Stalled),
        11..14 => cluster.set_store_link(gateway, Link::Open),
        14 => cluster.store.forget_history(),
        _ if rng.u32(..4) == 0 => cluster.signal(gateway, Signal::Kill),
        _ => {}
    }
    Ok(())
}
