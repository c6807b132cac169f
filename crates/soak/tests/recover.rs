//! The soak itself must restart processes that end, as the platform does.

use bench::procs::{Signal, build_binary};
use soak::cluster::Cluster;
use soak::fault::recover;
use std::time::Duration;

/// Far longer than a process takes to stop or start.
const BOUND: Duration = Duration::from_secs(30);

/// Guards against a process that is told to stop just before the faults end. It exits normally
/// two seconds later. The soak didn't restart it and counted it as not recovered (seed 74).
#[tokio::test]
async fn a_process_that_ends_after_the_faults_is_restarted() {
    let net = (std::process::id() % 100 + 20) as u8;
    let dir = std::env::temp_dir().join(format!("soak-recover-{net}"));
    std::fs::create_dir_all(&dir).unwrap();
    let binary = build_binary().await.unwrap();
    let mut cluster = Cluster::start(net, &binary, &dir, false, false)
        .await
        .unwrap();
    assert!(cluster.all_serve(BOUND).await, "all start");
    let first = cluster.gateways[0].proc.id();
    cluster.gateways[0].proc.signal(Signal::Term);
    let until = std::time::Instant::now() + BOUND;
    while !cluster.gateways[0].proc.has_ended() {
        assert!(std::time::Instant::now() < until, "it ends");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(recover(&mut cluster, BOUND).await.unwrap());
    assert_ne!(cluster.gateways[0].proc.id(), first);
}
