//! A lease has at most one holder, and orders without the lease are refused.

use fakes::serve::FakeServer;
use fakes::table::FakeTable;
use fakes::{Faults, RunningServer, start};
use plan::lease::{LeaseManager, LeaseState};
use plan::planner::order_txn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::rows::{Desired, Lease, decode};
use store::{HttpPlatform, Row, Table, WriteError};
use wire::{Model, Role};

const STALE: Duration = Duration::from_millis(40);
const KEY: &str = "lease/plan/s";

async fn start_table() -> (Arc<FakeTable>, HttpPlatform, RunningServer) {
    let table = Arc::<FakeTable>::default();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let running = start(any, table.clone()).await.unwrap();
    let timeout = Duration::from_millis(300);
    let a = running.addr;
    let platform = conf::Platform {
        table: a,
        objects: a,
        hosts: a,
        timeout,
    };
    (table, HttpPlatform::new(&platform), running)
}

async fn row(table: &HttpPlatform) -> Option<Row> {
    table
        .read(vec![KEY.to_owned()])
        .await
        .unwrap()
        .into_iter()
        .next()
}

fn lease_manager(name: &str) -> LeaseManager {
    LeaseManager::new(KEY.to_owned(), name.to_owned(), STALE)
}

fn held(k: &LeaseManager) -> Option<(u64, u64)> {
    match k.state() {
        LeaseState::Held { lease, version } => Some((lease.epoch, *version)),
        LeaseState::NotHeld => None,
    }
}

#[tokio::test]
async fn only_one_of_two_concurrent_acquisitions_succeeds() {
    let (_standin, table, _running) = start_table().await;
    let (mut a, mut b) = (lease_manager("a"), lease_manager("b"));
    let now = Instant::now();
    assert!(a.can_acquire(None, now) && b.can_acquire(None, now));
    tokio::join!(a.acquire(&table, None), b.acquire(&table, None));
    assert!(held(&a).is_some() != held(&b).is_some());
}

#[tokio::test]
async fn a_lease_is_taken_over_only_after_it_went_stale_on_the_local_clock() {
    let (_standin, table, _running) = start_table().await;
    let (mut a, mut b) = (lease_manager("a"), lease_manager("b"));
    a.acquire(&table, None).await;
    let t0 = Instant::now();
    let observed = row(&table).await;
    assert!(!b.can_acquire(observed.as_ref(), t0));
    a.renew(&table).await;
    let renewed = row(&table).await;
    assert!(
        !b.can_acquire(renewed.as_ref(), t0 + STALE * 2),
        "the row has changed"
    );
    assert!(b.can_acquire(renewed.as_ref(), t0 + STALE * 4));
    b.acquire(&table, renewed.as_ref()).await;
    assert_eq!(held(&b).unwrap().0, 2);
}

/// The previous holder was paused while another process acquired the lease, and then writes an
/// order without knowing of the loss.
#[tokio::test]
async fn an_order_under_a_lost_lease_is_refused() {
    let (_standin, table, _running) = start_table().await;
    let (mut a, mut b) = (lease_manager("a"), lease_manager("b"));
    a.acquire(&table, None).await;
    let (_, version_a) = held(&a).unwrap();
    let observed = row(&table).await;
    b.acquire(&table, observed.as_ref()).await;
    assert!(held(&b).is_some());
    let desired = Desired {
        role: Role::Mixed,
        model: Model::plain("m", 1),
        epoch: 1,
        order: 1,
        why: String::new(),
    };
    let order = |version| order_txn((KEY, version), ("desired/s/u", 0), &desired);
    let late = table.commit(&order(version_a)).await;
    assert!(matches!(late, Err(WriteError::Refused(_))), "{late:?}");
    assert!(
        table
            .read(vec!["desired/s/u".to_owned()])
            .await
            .unwrap()
            .is_empty()
    );
    let (_, version_b) = held(&b).unwrap();
    assert!(table.commit(&order(version_b)).await.is_ok());
    a.renew(&table).await;
    assert_eq!(held(&a), None);
}

#[tokio::test]
async fn a_write_with_a_lost_response_is_resolved_and_an_outage_keeps_the_lease() {
    let (standin, table, _running) = start_table().await;
    let mut a = lease_manager("a");
    standin.injector().set(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    a.acquire(&table, None).await;
    assert!(held(&a).is_some());
    standin.injector().set(Faults {
        down: true,
        ..Faults::default()
    });
    let before = held(&a);
    a.renew(&table).await;
    assert_eq!(held(&a), before);
    standin.injector().set(Faults::default());
    a.renew(&table).await;
    assert!(held(&a).unwrap().1 > before.unwrap().1);
}

#[tokio::test]
async fn epochs_increase_after_a_lease_is_released() {
    let (_standin, table, _running) = start_table().await;
    let mut last = 0;
    for name in ["a", "b", "c"] {
        let mut k = lease_manager(name);
        let observed = row(&table).await;
        assert!(k.can_acquire(observed.as_ref(), Instant::now()));
        k.acquire(&table, observed.as_ref()).await;
        let (epoch, _) = held(&k).unwrap();
        assert!(epoch > last);
        last = epoch;
        k.release(&table).await;
        let lease: Lease = decode(&row(&table).await.unwrap().value).unwrap();
        assert_eq!(lease.epoch, epoch);
    }
}
