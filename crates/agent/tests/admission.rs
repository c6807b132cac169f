//! Admission: order, limits, refusal, and that no slot is ever lost.

use agent::admission::{Admission, Ask, ClassUse, Pick, TenantUse, Waiter, pick};
use agent::rates::Cost;
use conf::{Class, TenantLimits};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::Reason;

fn class(name: &str, urgency: u32, queue: u32) -> Class {
    Class {
        name: name.to_owned(),
        urgency,
        deadline: Duration::from_secs(30),
        idempotent: true,
        share: 0.5,
        starvation_bound: Duration::from_secs(3600),
        queue,
        routes: Vec::new(),
    }
}

const LIMITS: TenantLimits = TenantLimits {
    queue: 100,
    running: 100,
};
const SOON: Duration = Duration::from_secs(60);

fn ask<'a>(class: &'a Class, tenant: &'a str, cost: Cost) -> Ask<'a> {
    Ask {
        class,
        tenant,
        limits: LIMITS,
        cost,
        deadline: Instant::now() + SOON,
        end: None,
    }
}

fn cost(ms: f64) -> Cost {
    Cost {
        first_ms: ms,
        total_ms: ms,
    }
}

async fn settle(a: &Arc<Admission>, waiting: u32) {
    while a.counts().0 != waiting {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn the_most_urgent_goes_first_and_slots_are_bounded() {
    let a = Admission::new();
    a.set_slots(1);
    let (urgent, calm) = (class("urgent", 0, 10), class("calm", 5, 10));
    let first = a.admit(ask(&calm, "t", cost(1.0))).await.unwrap();
    let (tx, mut order) = tokio::sync::mpsc::unbounded_channel();
    for (i, c) in [calm.clone(), urgent.clone(), calm, urgent]
        .into_iter()
        .enumerate()
    {
        let (waiting, a, tx) = (a.clone(), a.clone(), tx.clone());
        tokio::spawn(async move {
            let ticket = a.admit(ask(&c, "t", cost(1.0))).await.unwrap();
            tx.send(c.name.clone()).unwrap();
            drop(ticket);
        });
        settle(&waiting, i as u32 + 1).await;
    }
    assert_eq!(a.counts(), (4, 1));
    drop((first, tx));
    let mut got = Vec::new();
    while let Some(name) = order.recv().await {
        got.push(name);
    }
    assert_eq!(got, ["urgent", "urgent", "calm", "calm"]);
    assert_eq!(a.counts(), (0, 0));
}

#[tokio::test]
async fn a_full_queue_and_a_full_tenant_are_refused_at_once() {
    let a = Admission::new();
    a.set_slots(0);
    let c = class("c", 0, 2);
    let waiting: Vec<_> = (0..2)
        .map(|_| {
            let (a, c) = (a.clone(), c.clone());
            tokio::spawn(async move { a.admit(ask(&c, "t", cost(1.0))).await.map(drop) })
        })
        .collect();
    settle(&a, 2).await;
    let refusal = a.admit(ask(&c, "t", cost(1.0))).await.unwrap_err();
    assert_eq!(refusal.reason, Reason::QueueFull);
    assert!(refusal.retry_ms.is_some());
    let none = TenantLimits {
        queue: 0,
        running: 0,
    };
    let wide = class("wide", 0, 10);
    let full = Ask {
        limits: none,
        ..ask(&wide, "t", cost(1.0))
    };
    assert_eq!(a.admit(full).await.unwrap_err().reason, Reason::TenantLimit);
    a.close(Reason::Leaving);
    for w in waiting {
        let refusal = w.await.unwrap().unwrap_err();
        assert_eq!(refusal.reason, Reason::Leaving);
        assert!(refusal.retry_ms.is_some());
    }
    assert_eq!(
        a.admit(ask(&c, "t", cost(1.0))).await.unwrap_err().reason,
        Reason::Leaving
    );
}

#[tokio::test]
async fn what_cannot_begin_in_time_is_refused_at_once_but_one_may_always_try() {
    let a = Admission::new();
    a.set_slots(1);
    let c = class("c", 0, 10);
    let hopeless = || Ask {
        deadline: Instant::now() + Duration::from_secs(1),
        ..ask(&c, "t", cost(9e6))
    };
    let ticket = a.admit(hopeless()).await.unwrap();
    let refusal = a.admit(hopeless()).await.unwrap_err();
    assert_eq!(refusal.reason, Reason::DeadlineUnreachable);
    drop(ticket);
    assert!(a.admit(hopeless()).await.is_ok());
}

#[tokio::test]
async fn what_its_entry_cannot_end_is_refused_also_with_nothing_running() {
    let a = Admission::new();
    a.set_slots(1);
    let c = class("c", 0, 10);
    let ends_soon = |cost| Ask {
        end: Some(Instant::now() + Duration::from_secs(20)),
        ..ask(&c, "t", cost)
    };
    let long = a.admit(ends_soon(cost(9e6))).await.unwrap_err();
    assert_eq!(long.reason, Reason::Leaving);
    assert!(long.retry_ms.is_some());
    // Of unknown cost, with a deadline past the end; then with one before it.
    let unknown = a.admit(ends_soon(cost(0.0))).await.unwrap_err();
    assert_eq!(unknown.reason, Reason::Leaving);
    let bounded = Ask {
        deadline: Instant::now() + Duration::from_secs(10),
        ..ends_soon(cost(0.0))
    };
    let ticket = a.admit(bounded).await.unwrap();
    drop(ticket);
    let ticket = a.admit(ends_soon(cost(10.0))).await.unwrap();
    // What waits is looked at again as its turn comes.
    let waiter = {
        let (a, c) = (a.clone(), c.clone());
        tokio::spawn(async move {
            let end = Some(Instant::now() + Duration::from_millis(200));
            let ask = Ask {
                end,
                ..ask(&c, "t", cost(100.0))
            };
            a.admit(ask).await.map(drop)
        })
    };
    settle(&a, 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(ticket);
    let late = waiter.await.unwrap().unwrap_err();
    assert_eq!(late.reason, Reason::Leaving);
    assert_eq!(a.counts(), (0, 0));
}

#[tokio::test]
async fn a_wait_that_is_dropped_or_times_out_leaves_no_trace() {
    let a = Admission::new();
    a.set_slots(1);
    let c = class("c", 0, 10);
    let held = a.admit(ask(&c, "t", cost(0.0))).await.unwrap();
    let waiter = {
        let (a, c) = (a.clone(), c.clone());
        tokio::spawn(async move { a.admit(ask(&c, "t", cost(0.0))).await.map(drop) })
    };
    settle(&a, 1).await;
    waiter.abort();
    settle(&a, 0).await;
    let soon = Ask {
        deadline: Instant::now() + Duration::from_millis(5),
        ..ask(&c, "t", cost(0.0))
    };
    assert_eq!(
        a.admit(soon).await.unwrap_err().reason,
        Reason::DeadlinePassed
    );
    drop(held);
    assert_eq!(a.counts(), (0, 0));
}

/// Waits that are dropped while their slot is on its way lose no slot.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_slot_is_lost_under_races() {
    let a = Admission::new();
    a.set_slots(2);
    let mut tasks = Vec::new();
    for i in 0..400u64 {
        let a = a.clone();
        tasks.push(tokio::spawn(async move {
            let c = class("c", (i % 3) as u32, 1000);
            let deadline = Instant::now() + Duration::from_micros(i * 37 % 3000);
            let ask = Ask {
                deadline,
                ..ask(&c, "t", cost(0.0))
            };
            if let Ok(ticket) = a.admit(ask).await {
                tokio::task::yield_now().await;
                drop(ticket);
            }
        }));
    }
    for (i, t) in tasks.iter().enumerate() {
        if i % 5 == 0 {
            t.abort();
        }
    }
    for t in tasks {
        // Some were aborted on purpose.
        let _ = t.await;
    }
    assert_eq!(a.counts(), (0, 0));
    let c = class("c", 0, 10);
    let both = (
        a.admit(ask(&c, "t", cost(0.0))).await,
        a.admit(ask(&c, "t", cost(0.0))).await,
    );
    assert!(both.0.is_ok() && both.1.is_ok());
}

/// The rule, written as plainly as can be: sort all, take the first.
fn naive(p: &Pick<'_>) -> Option<u64> {
    let free = |w: &&Waiter| p.tenants[w.tenant].running < p.tenants[w.tenant].limit;
    let mut all: Vec<&Waiter> = p.waiters.iter().filter(free).collect();
    all.sort_by(|a, b| {
        let key = |w: &Waiter| {
            let c = &p.classes[w.class];
            let room = ((c.share * f64::from(p.slots)).floor() as u32).max(1);
            let overdue = p.now - w.since > w.starvation_bound && c.running < room;
            let given = p.tenants[w.tenant].given;
            let rest = (w.urgency, f64::from(c.running) / c.share, given);
            (!overdue, if overdue { (0, 0.0, 0.0) } else { rest }, w.id)
        };
        key(a).partial_cmp(&key(b)).unwrap()
    });
    all.first().map(|w| w.id)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn the_choice_is_that_of_the_naive_rule(
        waiters in prop::collection::vec((0usize..3, 0usize..4, 0u32..3, 0u64..100, 0u64..100), 0..12),
        classes in prop::collection::vec((1u32..100, 0u32..6), 3),
        tenants in prop::collection::vec((0u32..3, 0u32..4, 0u32..5), 4),
        slots in 0u32..9,
    ) {
        let start = Instant::now();
        let now = start + Duration::from_secs(100);
        let waiters: Vec<Waiter> = waiters
            .into_iter()
            .enumerate()
            .map(|(id, (class, tenant, urgency, since, bound))| Waiter {
                id: id as u64,
                class,
                tenant,
                urgency,
                since: start + Duration::from_secs(since),
                starvation_bound: Duration::from_secs(bound),
            })
            .collect();
        let classes: Vec<ClassUse> = classes
            .into_iter()
            .map(|(share, running)| ClassUse {
                name: String::new(),
                share: f64::from(share) / 100.0,
                waiting: 0,
                running,
            })
            .collect();
        let tenants: Vec<TenantUse> = tenants
            .into_iter()
            .map(|(running, limit, given)| TenantUse {
                name: String::new(),
                waiting: 0,
                running,
                limit,
                given: f64::from(given),
            })
            .collect();
        let p = Pick { waiters: &waiters, classes: &classes, tenants: &tenants, slots, now };
        prop_assert_eq!(pick(&p).map(|at| waiters[at].id), naive(&p));
    }
}
