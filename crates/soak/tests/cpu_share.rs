//! Processes with a share of a core, limited by pauses in turns.

use bench::procs::{Signal, build_binary};
use soak::cluster::{Cluster, Setup};
use soak::fault::recover;
use std::time::{Duration, Instant};

/// Far longer than a process takes to stop or start.
const BOUND: Duration = Duration::from_secs(30);
/// Many times a turn.
const WATCHED: Duration = Duration::from_secs(1);
/// Interval at which the state of a process is read.
const READ_INTERVAL: Duration = Duration::from_millis(1);

/// Returns how often the first gateway's process was seen paused, and how often not.
async fn watch(cluster: &Cluster) -> (usize, usize) {
    let id = cluster.gateways[0].proc.id().unwrap();
    let (mut paused, mut others) = (0, 0);
    let until = Instant::now() + WATCHED;
    while Instant::now() < until {
        let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
        let (_, state) = text.rsplit_once(") ").unwrap();
        match state.starts_with('T') {
            true => paused += 1,
            false => others += 1,
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
    (paused, others)
}

/// Guards against turns that resume a process which a fault has paused, that end with such a pause
/// or with a restart, and that count as a fault and so excuse cut answers.
#[tokio::test(flavor = "multi_thread")]
async fn turns_leave_pauses_of_faults_alone_and_excuse_nothing() {
    let net = (std::process::id() % 100 + 130) as u8;
    let dir = std::env::temp_dir().join(format!("soak-cpu-share-{net}"));
    std::fs::create_dir_all(&dir).unwrap();
    let binary = build_binary().await.unwrap();
    let setup = Setup {
        gateways: 1,
        cpu_share: Some(0.5),
        ..Setup::default()
    };
    let mut cluster = Cluster::start_with(net, &binary, &dir, setup)
        .await
        .unwrap();
    assert!(cluster.all_serve(BOUND).await, "it starts");
    let (paused, others) = watch(&cluster).await;
    assert!(paused > 0 && others > 0, "{paused} {others}");
    assert!(cluster.timeline.disruptions.is_empty());

    cluster.signal(0, Signal::Pause);
    // A stop takes effect a moment after its signal.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (_, others) = watch(&cluster).await;
    assert_eq!(others, 0, "the fault's pause lasts");
    cluster.signal(0, Signal::Resume);
    let (paused, others) = watch(&cluster).await;
    assert!(paused > 0 && others > 0, "{paused} {others}");

    let first = cluster.gateways[0].proc.id();
    cluster.signal(0, Signal::Term);
    let until = Instant::now() + BOUND;
    while !cluster.gateways[0].proc.has_ended() {
        assert!(Instant::now() < until, "it ends");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(recover(&mut cluster, BOUND).await.unwrap());
    assert_ne!(cluster.gateways[0].proc.id(), first);
    let (paused, others) = watch(&cluster).await;
    assert!(paused > 0 && others > 0, "{paused} {others}");
    assert_eq!(cluster.timeline.disruptions.len(), 1);
}
