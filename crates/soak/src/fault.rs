//! Injects the faults of a schedule, which may overlap.

use crate::checker::{Departure, PIECES};
use crate::cluster::Cluster;
use crate::crashing;
use crate::keys::TENANTS;
use crate::schedule::{Schedule, Step};
use crate::statements;
use bench::procs::Signal;
use bench::relay::Link;
use serde::{Deserialize, Serialize};
use standin::fixture::DRAIN_BOUND;
use standin::{Action, CloudMode, StoreMode};
use std::io;
use std::time::{Duration, Instant};

/// Time after a worker's notice from which on it must get no new request: the bound, and a margin
/// for a busy machine.
const DRAIN_GRACE: Duration = DRAIN_BOUND.saturating_add(Duration::from_millis(500));
/// One in so many drawn notices is given, as each needs a time without faults.
const LEAVE_ONE_IN: u32 = 3;
/// Time without any fault before and during a notice, which the guarantee requires.
const QUIET_TIME: Duration = Duration::from_secs(4);

/// Longest check whether all gateways serve, before ended processes are started again.
const READY_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A process is killed.
    Kill,
    /// A process is told to stop.
    Stop,
    /// A process is paused or resumed.
    Pause,
    /// A process is told to reload its settings.
    Hangup,
    /// The store refuses calls, doesn't answer, or serves again.
    Store,
    /// The link between a process and the store changes.
    StoreLink,
    /// The link to a worker changes.
    WorkerLink,
    /// A worker misbehaves for some requests.
    Answers,
    /// The configuration changes.
    Config,
    /// A worker is added or removed.
    Scale,
    /// A worker leaves while there are no other faults.
    Leave,
    /// The store drops its history of changes.
    Forget,
    /// The store is away for a moment and is restored from a copy.
    Restore,
    /// A request that crashes workers is sent.
    Deadly,
    /// Another writer overwrites a worker's row with an unreadable one.
    BadRow,
    /// A tenant's revocable key is revoked or restored.
    Key,
    /// The platform refuses usage reports, doesn't answer them, or serves again.
    Cloud,
    /// A worker states in its answers that it leaves, its limit, or that it wants a pause, or no
    /// longer does.
    Statement,
    /// A worker sends unframed streams, some of which it cuts.
    Unframed,
}

/// Kinds of faults that a random schedule draws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultSet {
    /// The kinds that seeds of earlier runs draw.
    Common,
    /// Those, and faults of streams.
    WithStreams,
}

impl FaultSet {
    fn kinds(self) -> &'static [Fault] {
        match self {
            Self::Common => &ALL_FAULTS[..COMMON_FAULTS],
            Self::WithStreams => &ALL_FAULTS,
        }
    }
}

impl Fault {
    /// Draws a fault and the pause before it in milliseconds.
    pub fn draw(set: FaultSet, rng: &mut fastrand::Rng) -> (u64, Self) {
        let pause_ms = rng.u64(50..700);
        let kinds = set.kinds();
        (pause_ms, kinds[rng.usize(..kinds.len())])
    }
}

/// Number of faults in [`ALL_FAULTS`] that [`FaultSet::Common`] has.
const COMMON_FAULTS: usize = 19;

const ALL_FAULTS: [Fault; 22] = [
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
    Fault::Restore,
    Fault::Deadly,
    Fault::BadRow,
    Fault::Key,
    Fault::Cloud,
    // Drawn twice as often, as each worker can state three things.
    Fault::Statement,
    Fault::Statement,
    Fault::Unframed,
    Fault::Unframed,
    Fault::Unframed,
];

/// The faults that were injected.
#[derive(Debug, Default)]
pub struct FaultLog {
    /// Number of faults.
    pub faults: usize,
    /// Workers that left, with the requests that they got too late.
    pub departures: Vec<Departure>,
    /// The steps of the schedule, in order.
    pub steps: Vec<Step>,
}

/// Injects faults until `until` or the end of the schedule.
pub async fn run(
    cluster: &mut Cluster,
    mut schedule: Schedule,
    until: Instant,
) -> io::Result<FaultLog> {
    let mut done = FaultLog::default();
    while Instant::now() < until {
        let Some((step, mut rng)) = schedule.next_step() else {
            break;
        };
        done.steps.push(step);
        tokio::time::sleep(Duration::from_millis(step.pause_ms)).await;
        restart_ended(cluster)?;
        let is_skipped = step.fault == Fault::Leave && rng.u32(..LEAVE_ONE_IN) > 0;
        if !is_skipped {
            done.faults += 1;
            inject(cluster, step.fault, &mut rng, &mut done).await?;
        }
        schedule.advance(rng);
    }
    Ok(done)
}

/// Starts ended processes again, as the platform does. Returns their numbers.
pub(crate) fn restart_ended(cluster: &mut Cluster) -> io::Result<Vec<usize>> {
    cluster.kill_overdue();
    let mut started = Vec::new();
    for n in 0..cluster.gateways.len() {
        if cluster.gateways[n].proc.has_ended() {
            cluster.restart(n)?;
            started.push(n);
        }
    }
    Ok(started)
}

async fn inject(
    cluster: &mut Cluster,
    fault: Fault,
    rng: &mut fastrand::Rng,
    done: &mut FaultLog,
) -> io::Result<()> {
    let gateway = rng.usize(..cluster.gateways.len());
    let worker = rng.usize(..cluster.upstreams.len());
    match fault {
        Fault::Kill => cluster.signal(gateway, Signal::Kill),
        Fault::Stop => cluster.signal(gateway, Signal::Term),
        // A paused process handles the signal to stop when it resumes.
        Fault::Pause if rng.bool() => cluster.signal(gateway, Signal::Pause),
        Fault::Pause => cluster.signal(gateway, Signal::Resume),
        Fault::Hangup => cluster.signal(gateway, Signal::Hangup),
        Fault::Store => cluster.set_store(random_store_mode(rng)),
        Fault::StoreLink => cluster.set_store_link(gateway, random_link(rng)),
        Fault::WorkerLink => cluster.set_worker_link(worker, random_link(rng)),
        Fault::Answers => {
            let acts: Vec<Action> = (0..rng.usize(1..6)).map(|_| random_act(rng)).collect();
            cluster.upstreams[worker].worker.script(acts);
        }
        Fault::Config => cluster.change_config(),
        Fault::Scale if cluster.upstreams.len() > 2 && rng.bool() => cluster.retire(worker),
        Fault::Scale => cluster.add_worker().await?,
        Fault::Forget => cluster.store.forget_history(),
        Fault::Leave => drain_worker(cluster, worker, rng, done).await?,
        Fault::Restore => cluster.restore_store(rng).await,
        Fault::Deadly => crashing::begin(cluster, rng),
        Fault::BadRow => cluster.corrupt_row(worker, rng),
        Fault::Key => cluster.toggle_key(rng.usize(..TENANTS)),
        Fault::Statement => statements::change(cluster, worker, rng).await?,
        Fault::Unframed => {
            let actions: Vec<Action> = (0..rng.usize(1..6)).map(|_| unframed(rng)).collect();
            cluster.upstreams[worker].worker.script(actions);
        }
        Fault::Cloud => cluster.cloud.set_mode(random_cloud_mode(rng)),
    }
    Ok(())
}

pub(crate) fn random_store_mode(rng: &mut fastrand::Rng) -> StoreMode {
    match rng.u32(..5) {
        0 => StoreMode::Refuse(503),
        1 => StoreMode::Refuse(429),
        2 => StoreMode::Silent,
        _ => StoreMode::Serve,
    }
}

fn random_cloud_mode(rng: &mut fastrand::Rng) -> CloudMode {
    match rng.u32(..6) {
        0 => CloudMode::Refuse(429),
        1 => CloudMode::Refuse(503),
        2 => CloudMode::Silent,
        3 => CloudMode::TakeSilently,
        _ => CloudMode::Serve,
    }
}

fn random_link(rng: &mut fastrand::Rng) -> Link {
    match rng.u32(..6) {
        0 => Link::Stalled,
        1 => Link::ResponsesStalled,
        2 => Link::Slow(Duration::from_millis(rng.u64(5..80))),
        3 => Link::Broken,
        _ => Link::Open,
    }
}

fn random_act(rng: &mut fastrand::Rng) -> Action {
    let after = rng.u64(1..PIECES);
    match rng.u32(..10) {
        0 => Action::Close,
        1 => Action::Reject(503),
        2 => Action::Truncated("torn".into()),
        3 => Action::ForeignId("foreign".into()),
        4 => Action::Garbage,
        5 => Action::CloseDelimitedReset("torn".into()),
        6 => Action::Hang,
        7 => Action::Answer(500, "failed".into()),
        8 => Action::Delayed(
            Duration::from_millis(rng.u64(10..900)),
            Box::new(Action::Close),
        ),
        _ => Action::BreakOnce {
            after,
            last: PIECES,
            repeated: rng.u64(..=after),
        },
    }
}

fn unframed(rng: &mut fastrand::Rng) -> Action {
    match rng.u32(..3) {
        0 => Action::ServeUnframed(PIECES),
        _ => Action::CutUnframed(rng.u64(..PIECES)),
    }
}

/// Ends all faults and restarts ended processes.
pub async fn clear_faults(cluster: &mut Cluster) -> io::Result<()> {
    statements::clear(cluster);
    cluster.set_store(StoreMode::Serve);
    cluster.cloud.set_mode(CloudMode::Serve);
    for n in 0..cluster.gateways.len() {
        cluster.signal(n, Signal::Resume);
        cluster.set_store_link(n, Link::Open);
    }
    for n in 0..cluster.upstreams.len() {
        cluster.set_worker_link(n, Link::Open);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    restart_ended(cluster)?;
    Ok(())
}

/// Waits up to `bound` until processes that were told to stop have ended, and starts them again.
pub async fn finish_stops(cluster: &mut Cluster, bound: Duration) -> io::Result<()> {
    let until = Instant::now() + bound;
    while cluster.is_any_stopping() && Instant::now() < until {
        restart_ended(cluster)?;
        tokio::time::sleep(READY_CHECK_TIMEOUT).await;
    }
    Ok(())
}

/// Waits up to `bound` until all gateways serve. Returns whether they do. As on the platform, a
/// process that ends meanwhile is started again: one that was told to stop just before the faults
/// ended exits seconds later.
pub async fn recover(cluster: &mut Cluster, bound: Duration) -> io::Result<bool> {
    let until = Instant::now() + bound;
    while Instant::now() < until {
        restart_ended(cluster)?;
        if cluster.all_serve(READY_CHECK_TIMEOUT).await {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Lets a worker leave while there are no faults, and counts the requests that it gets too late.
/// Half of the times the store is restored some seconds before.
async fn drain_worker(
    cluster: &mut Cluster,
    n: usize,
    rng: &mut fastrand::Rng,
    done: &mut FaultLog,
) -> io::Result<()> {
    if cluster.upstreams.len() <= 2 {
        return Ok(());
    }
    let id = cluster.upstreams[n].id.clone();
    clear_faults(cluster).await?;
    // Ending the faults removes workers that have said that they leave.
    let Some(n) = cluster.upstreams.iter().position(|u| u.id == id) else {
        return Ok(());
    };
    if rng.bool() {
        cluster.restore_store(rng).await;
    }
    tokio::time::sleep(QUIET_TIME).await;
    restart_ended(cluster)?;
    if !cluster.all_serve(QUIET_TIME).await {
        return Ok(());
    }
    cluster.register(&cluster.upstreams[n], "draining");
    tokio::time::sleep(DRAIN_GRACE).await;
    let since = Instant::now();
    let before = cluster.upstreams[n].worker.requests().len();
    tokio::time::sleep(QUIET_TIME).await;
    let late_requests = cluster.upstreams[n].worker.requests().len() - before;
    done.departures.push(Departure {
        late_requests,
        since,
    });
    cluster.retire(n);
    Ok(())
}
