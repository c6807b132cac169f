//! Leases and orders: one holder at a time, and no effect without the lease.

use fakes::serve::Standin;
use fakes::table::TableStandin;
use fakes::{Faults, Running, start};
use plan::duty::order_txn;
use plan::lease::{Keeper, Standing};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::rows::{Desired, Lease, decode};
use store::{HttpPlatform, Row, Table, WriteError};
use wire::{Model, Role};

const STALE: Duration = Duration::from_millis(40);
const KEY: &str = "lease/plan/s";

async fn bed() -> (Arc<TableStandin>, HttpPlatform, Running) {
    let table = Arc::<TableStandin>::default();
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

fn keeper(name: &str) -> Keeper {
    Keeper::new(KEY.to_owned(), name.to_owned(), STALE)
}

fn holding(k: &Keeper) -> Option<(u64, u64)> {
    match k.standing() {
        Standing::Holding { lease, version } => Some((lease.epoch, *version)),
        Standing::Watching => None,
    }
}

#[tokio::test]
async fn of_two_that_take_at_once_one_has_it() {
    let (_standin, table, _running) = bed().await;
    let (mut a, mut b) = (keeper("a"), keeper("b"));
    let now = Instant::now();
    assert!(a.may_take(None, now) && b.may_take(None, now));
    tokio::join!(a.take(&table, None), b.take(&table, None));
    assert!(holding(&a).is_some() != holding(&b).is_some());
}

#[tokio::test]
async fn a_lease_is_taken_over_only_after_it_stood_still_on_our_own_clock() {
    let (_standin, table, _running) = bed().await;
    let (mut a, mut b) = (keeper("a"), keeper("b"));
    a.take(&table, None).await;
    let t0 = Instant::now();
    let seen = row(&table).await;
    assert!(!b.may_take(seen.as_ref(), t0));
    a.renew(&table).await;
    let renewed = row(&table).await;
    assert!(
        !b.may_take(renewed.as_ref(), t0 + STALE * 2),
        "the row has moved"
    );
    assert!(b.may_take(renewed.as_ref(), t0 + STALE * 4));
    b.take(&table, renewed.as_ref()).await;
    assert_eq!(holding(&b).unwrap().0, 2);
}

/// The heart of it: the old holder was paused, knows nothing, and writes.
#[tokio::test]
async fn an_order_under_a_lost_lease_changes_nothing() {
    let (_standin, table, _running) = bed().await;
    let (mut a, mut b) = (keeper("a"), keeper("b"));
    a.take(&table, None).await;
    let (_, version_a) = holding(&a).unwrap();
    let seen = row(&table).await;
    b.take(&table, seen.as_ref()).await;
    assert!(holding(&b).is_some());
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
    let (_, version_b) = holding(&b).unwrap();
    assert!(table.commit(&order(version_b)).await.is_ok());
    a.renew(&table).await;
    assert_eq!(holding(&a), None);
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_settled_and_an_outage_changes_nothing() {
    let (standin, table, _running) = bed().await;
    let mut a = keeper("a");
    standin.gate().set(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    a.take(&table, None).await;
    assert!(holding(&a).is_some());
    standin.gate().set(Faults {
        down: true,
        ..Faults::default()
    });
    let before = holding(&a);
    a.renew(&table).await;
    assert_eq!(holding(&a), before);
    standin.gate().set(Faults::default());
    a.renew(&table).await;
    assert!(holding(&a).unwrap().1 > before.unwrap().1);
}

#[tokio::test]
async fn epochs_rise_even_over_a_lease_that_was_given_up() {
    let (_standin, table, _running) = bed().await;
    let mut last = 0;
    for name in ["a", "b", "c"] {
        let mut k = keeper(name);
        let seen = row(&table).await;
        assert!(k.may_take(seen.as_ref(), Instant::now()));
        k.take(&table, seen.as_ref()).await;
        let (epoch, _) = holding(&k).unwrap();
        assert!(epoch > last);
        last = epoch;
        k.give_up(&table).await;
        let lease: Lease = decode(&row(&table).await.unwrap().value).unwrap();
        assert_eq!(lease.epoch, epoch);
    }
}
