//! Planned stops in series that overlap, with changes beside them that excuse nothing.

use crate::fault::{Done, calm, mode, revive};
use crate::scene::Scene;
use bench::procs::Signal;
use bench::relay::Link;
use std::io;
use std::time::{Duration, Instant};

/// Pause between two looks at what is due.
const BEAT: Duration = Duration::from_millis(50);
/// Longest time between the stops of two processes of a series: three are told long
/// before the first of them has ended.
const MAX_GAP_MS: u64 = 2500;
/// Longest time from a series' last signal to the next series, in which all may have
/// ended or none.
const MAX_REST_MS: u64 = 11_000;
/// Of the looks, one in so many changes something beside the stops.
const ASIDE_ONE_IN: u32 = 12;
/// Of the processes that start, one in so many is told to stop at once.
const STOP_AT_START_ONE_IN: u32 = 6;
/// Longest time from a start to such a stop.
const MAX_START_MS: u64 = 1500;

/// A signal that is to come.
#[derive(Debug, Clone, Copy)]
struct Due {
    at: Instant,
    gateway: usize,
    signal: Signal,
}

/// Stops processes until a time.
pub async fn run(scene: &mut Scene, seed: u64, until: Instant) -> io::Result<Done> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut done = Done::default();
    let mut due = Vec::new();
    let mut next = Instant::now() + millis(&mut rng, 500..2500);
    while Instant::now() < until {
        tokio::time::sleep(BEAT).await;
        for started in revive(scene)? {
            if rng.u32(..STOP_AT_START_ONE_IN) == 0 {
                let at = Instant::now() + millis(&mut rng, 0..MAX_START_MS);
                due.push(Due::new(at, started, Signal::Term));
            }
        }
        if Instant::now() >= next {
            let series = series(&mut rng, scene.gateways.len());
            let last = series.iter().map(|d| d.at).max();
            next = last.unwrap_or(next) + millis(&mut rng, 0..MAX_REST_MS);
            due.extend(series);
        }
        for late in due.extract_if(.., |d| d.at <= Instant::now()) {
            scene.signal(late.gateway, late.signal);
            done.faults += 1;
        }
        if rng.u32(..ASIDE_ONE_IN) == 0 {
            aside(scene, &mut rng).await?;
            done.faults += 1;
        }
    }
    for left in due {
        // What is paused is told to go on by the calm.
        scene.signal(left.gateway, left.signal);
    }
    calm(scene).await?;
    Ok(done)
}

impl Due {
    fn new(at: Instant, gateway: usize, signal: Signal) -> Self {
        Self {
            at,
            gateway,
            signal,
        }
    }
}

fn millis(rng: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

/// The signals of one series: each process is told to stop, in some order.
fn series(rng: &mut fastrand::Rng, gateways: usize) -> Vec<Due> {
    let mut order: Vec<usize> = (0..gateways).collect();
    rng.shuffle(&mut order);
    let gap = millis(rng, 0..MAX_GAP_MS);
    let mut at = Instant::now();
    let mut all = Vec::new();
    for gateway in order {
        all.extend(signals(rng, at, gateway));
        at += gap;
    }
    all
}

/// The signals by which one process is stopped.
fn signals(rng: &mut fastrand::Rng, at: Instant, gateway: usize) -> Vec<Due> {
    let due = |at, signal| Due::new(at, gateway, signal);
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

/// Changes something that must not cut an answer, but for a kill.
async fn aside(scene: &mut Scene, rng: &mut fastrand::Rng) -> io::Result<()> {
    let gateway = rng.usize(..scene.gateways.len());
    let worker = rng.usize(..scene.upstreams.len());
    match rng.u32(..16) {
        0..4 => scene.change_config(),
        4..6 => scene.signal(gateway, Signal::Hangup),
        6 if scene.upstreams.len() > 2 => scene.retire(worker),
        6..8 => scene.add_worker().await?,
        8..10 => scene.set_store(mode(rng)),
        10 => scene.set_store_link(gateway, Link::Stalled),
        11..14 => scene.set_store_link(gateway, Link::Open),
        14 => scene.store.forget_history(),
        _ if rng.u32(..4) == 0 => scene.signal(gateway, Signal::Kill),
        _ => {}
    }
    Ok(())
}
