//! Faults, drawn by a seed, in series and overlapping.

use crate::deadly;
use crate::judge::{Left, PIECES};
use crate::keys::TENANTS;
use crate::scene::Scene;
use crate::schedule::{Schedule, Step};
use bench::procs::Signal;
use bench::relay::Link;
use serde::{Deserialize, Serialize};
use standin::fixture::DRAIN_BOUND;
use standin::{Act, CloudMode, Mode};
use std::io;
use std::time::{Duration, Instant};

/// Time after a worker's notice past which a new request breaks the promise: the
/// bound, and room for a busy machine.
const LEAVE_BOUND: Duration = DRAIN_BOUND.saturating_add(Duration::from_millis(500));
/// Of the notices that are drawn, one in so many is given: each needs calm.
const LEAVE_ONE_IN: u32 = 3;
/// Time without any fault before and during a notice, so that the promise holds.
const CALM: Duration = Duration::from_secs(4);

/// Longest look at whether all serve, before processes that ended are started anew.
const LOOK: Duration = Duration::from_millis(250);

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A process is killed.
    Kill,
    /// A process is told to stop.
    Stop,
    /// A process is paused, or goes on.
    Pause,
    /// A process is told to read its settings again.
    Hangup,
    /// The store refuses, is silent, or serves again.
    Store,
    /// The link between a process and the store changes.
    StoreLink,
    /// The link to a worker changes.
    WorkerLink,
    /// A worker answers wrongly for some requests.
    Answers,
    /// The configuration changes.
    Config,
    /// A worker comes or goes.
    Scale,
    /// A worker leaves in calm.
    Leave,
    /// The store forgets its history.
    Forget,
    /// A request that crashes workers comes.
    Deadly,
    /// Another writer spoils a worker's row.
    BadRow,
    /// A tenant's second key is taken away, or given back.
    Key,
    /// The platform's calls are refused or not answered, or are again.
    Cloud,
}

impl Fault {
    /// Draws one, with the pause before it in milliseconds.
    pub fn draw(rng: &mut fastrand::Rng) -> (u64, Self) {
        let pause_ms = rng.u64(50..700);
        (pause_ms, ALL[rng.usize(..ALL.len())])
    }
}

const ALL: [Fault; 16] = [
    Fault::Kill,
    Fault::Stop,
    Fault::Pause,
    Fault::Hangup,
    Fault::Store,
    Fault::StoreLink,
    Fault::WorkerLink,
    Fault::Answers,
    Fault::Config,
    Fault::Scale,
    Fault::Leave,
    Fault::Forget,
    Fault::Deadly,
    Fault::BadRow,
    Fault::Key,
    Fault::Cloud,
];

/// Counts of what was done.
#[derive(Debug, Default)]
pub struct Done {
    /// Faults.
    pub faults: usize,
    /// Workers that left in calm, and what they got after their time.
    pub left: Vec<Left>,
    /// What was done, one after another.
    pub steps: Vec<Step>,
}

/// Does faults until a time.
pub async fn run(scene: &mut Scene, mut schedule: Schedule, until: Instant) -> io::Result<Done> {
    let mut done = Done::default();
    while Instant::now() < until {
        let Some((step, mut rng)) = schedule.next_step() else {
            break;
        };
        done.steps.push(step);
        tokio::time::sleep(Duration::from_millis(step.pause_ms)).await;
        revive(scene)?;
        let is_left_out = step.fault == Fault::Leave && rng.u32(..LEAVE_ONE_IN) > 0;
        if !is_left_out {
            done.faults += 1;
            act(scene, step.fault, &mut rng, &mut done).await?;
        }
        schedule.drew(rng);
    }
    Ok(done)
}

/// Starts processes anew that have ended, as the platform does; gives their numbers.
pub(crate) fn revive(scene: &mut Scene) -> io::Result<Vec<usize>> {
    scene.end_grace();
    let mut started = Vec::new();
    for n in 0..scene.gateways.len() {
        if scene.gateways[n].proc.has_ended() {
            scene.restart(n)?;
            started.push(n);
        }
    }
    Ok(started)
}

async fn act(
    scene: &mut Scene,
    fault: Fault,
    rng: &mut fastrand::Rng,
    done: &mut Done,
) -> io::Result<()> {
    let gateway = rng.usize(..scene.gateways.len());
    let worker = rng.usize(..scene.upstreams.len());
    match fault {
        Fault::Kill => scene.signal(gateway, Signal::Kill),
        Fault::Stop => scene.signal(gateway, Signal::Term),
        // A process that is paused when it is told to stop hears of it when it goes on.
        Fault::Pause if rng.bool() => scene.signal(gateway, Signal::Pause),
        Fault::Pause => scene.signal(gateway, Signal::Resume),
        Fault::Hangup => scene.signal(gateway, Signal::Hangup),
        Fault::Store => scene.set_store(mode(rng)),
        Fault::StoreLink => scene.set_store_link(gateway, link(rng)),
        Fault::WorkerLink => scene.set_worker_link(worker, link(rng)),
        Fault::Answers => {
            let acts: Vec<Act> = (0..rng.usize(1..6)).map(|_| answer(rng)).collect();
            scene.upstreams[worker].worker.script(acts);
        }
        Fault::Config => scene.change_config(),
        Fault::Scale if scene.upstreams.len() > 2 && rng.bool() => scene.retire(worker),
        Fault::Scale => scene.add_worker().await?,
        Fault::Forget => scene.store.forget_history(),
        Fault::Leave => leave(scene, worker, done).await?,
        Fault::Deadly => deadly::begin(scene, rng),
        Fault::BadRow => scene.spoil_row(worker, rng),
        Fault::Key => scene.toggle_key(rng.usize(..TENANTS)),
        Fault::Cloud => scene.cloud.set_mode(cloud_mode(rng)),
    }
    Ok(())
}

pub(crate) fn mode(rng: &mut fastrand::Rng) -> Mode {
    match rng.u32(..5) {
        0 => Mode::Refuse(503),
        1 => Mode::Refuse(429),
        2 => Mode::Silent,
        _ => Mode::Serve,
    }
}

fn cloud_mode(rng: &mut fastrand::Rng) -> CloudMode {
    match rng.u32(..6) {
        0 => CloudMode::Refuse(429),
        1 => CloudMode::Refuse(503),
        2 => CloudMode::Silent,
        3 => CloudMode::TakeSilently,
        _ => CloudMode::Serve,
    }
}

fn link(rng: &mut fastrand::Rng) -> Link {
    match rng.u32(..6) {
        0 => Link::Stalled,
        1 => Link::ResponsesStalled,
        2 => Link::Slow(Duration::from_millis(rng.u64(5..80))),
        3 => Link::Broken,
        _ => Link::Open,
    }
}

fn answer(rng: &mut fastrand::Rng) -> Act {
    let after = rng.u64(1..PIECES);
    match rng.u32(..10) {
        0 => Act::Close,
        1 => Act::Reject(503),
        2 => Act::Truncated("torn".into()),
        3 => Act::ForeignId("foreign".into()),
        4 => Act::Garbage,
        5 => Act::UnframedReset("torn".into()),
        6 => Act::Hang,
        7 => Act::Answer(500, "failed".into()),
        8 => Act::After(
            Duration::from_millis(rng.u64(10..900)),
            Box::new(Act::Close),
        ),
        _ => Act::BreakOnce {
            after,
            last: PIECES,
            again: rng.u64(..=after),
        },
    }
}

/// Ends all faults.
pub async fn calm(scene: &mut Scene) -> io::Result<()> {
    scene.set_store(Mode::Serve);
    scene.cloud.set_mode(CloudMode::Serve);
    for n in 0..scene.gateways.len() {
        scene.signal(n, Signal::Resume);
        scene.set_store_link(n, Link::Open);
    }
    for n in 0..scene.upstreams.len() {
        scene.set_worker_link(n, Link::Open);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    revive(scene)?;
    Ok(())
}

/// Waits until all gateways serve, at most for a time; says whether they do. As on
/// the platform, a process that ends meanwhile is started anew: one that was told
/// to stop just before the calm ends seconds after it.
pub async fn recover(scene: &mut Scene, bound: Duration) -> io::Result<bool> {
    let until = Instant::now() + bound;
    while Instant::now() < until {
        revive(scene)?;
        if scene.all_serve(LOOK).await {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Lets a worker leave in calm, and counts what it gets after its time.
async fn leave(scene: &mut Scene, n: usize, done: &mut Done) -> io::Result<()> {
    if scene.upstreams.len() <= 2 {
        return Ok(());
    }
    calm(scene).await?;
    tokio::time::sleep(CALM).await;
    revive(scene)?;
    if !scene.all_serve(CALM).await {
        return Ok(());
    }
    scene.register(&scene.upstreams[n], "draining");
    tokio::time::sleep(LEAVE_BOUND).await;
    let since = Instant::now();
    let before = scene.upstreams[n].worker.seen().len();
    tokio::time::sleep(CALM).await;
    let late = scene.upstreams[n].worker.seen().len() - before;
    done.left.push(Left { late, since });
    scene.retire(n);
    Ok(())
}
