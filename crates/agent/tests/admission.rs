//! Tests of admission: order, limits and refusals, and that no slot is lost.

use agent::admission::{Admission, ClassUsage, PickInput, SlotRequest, TenantUsage, Waiter, pick};
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

fn slot_request<'a>(class: &'a Class, tenant: &'a str, cost: Cost) -> SlotRequest<'a> {
    SlotRequest {
        class,
        tenant,
        limits: LIMITS,
        cost,
        deadline: Instant::now() + SOON,
        must_end_by: None,
    }
}

fn cost(ms: f64) -> Cost {
    Cost {
        first_byte_ms: ms,
        total_ms: ms,
    }
}

async fn wait_for_queue(a: &Arc<Admission>, waiting: u32) {
    while a.counts().0 != waiting {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn the_most_urgent_request_runs_first_within_the_slots() {
    let a = Admission::new();
    a.set_slots(1);
    let (urgent, calm) = (class("urgent", 0, 10), class("calm", 5, 10));
    let first = a.admit(slot_request(&calm, "t", cost(1.0))).await.unwrap();
    let (tx, mut order) = tokio::sync::mpsc::unbounded_channel();
    for (i, c) in [calm.clone(), urgent.clone(), calm, urgent]
        .into_iter()
        .enumerate()
    {
        let (waiting, a, tx) = (a.clone(), a.clone(), tx.clone());
        tokio::spawn(async move {
            let slot = a.admit(slot_request(&c, "t", cost(1.0))).await.unwrap();
            tx.send(c.name.clone()).unwrap();
            drop(slot);
        });
        wait_for_queue(&waiting, i as u32 + 1).await;
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
async fn requests_over_a_class_or_tenant_limit_are_refused_immediately() {
    let a = Admission::new();
    a.set_slots(0);
    let c = class("c", 0, 2);
    let waiting: Vec<_> = (0..2)
        .map(|_| {
            let (a, c) = (a.clone(), c.clone());
            tokio::spawn(async move { a.admit(slot_request(&c, "t", cost(1.0))).await.map(drop) })
        })
        .collect();
    wait_for_queue(&a, 2).await;
    let refusal = a.admit(slot_request(&c, "t", cost(1.0))).await.unwrap_err();
    assert_eq!(refusal.reason, Reason::QueueFull);
    assert!(refusal.retry_ms.is_some());
    let none = TenantLimits {
        queue: 0,
        running: 0,
    };
    let wide = class("wide", 0, 10);
    let full = SlotRequest {
        limits: none,
        ..slot_request(&wide, "t", cost(1.0))
    };
    assert_eq!(a.admit(full).await.unwrap_err().reason, Reason::TenantLimit);
    a.close(Reason::Leaving);
    for w in waiting {
        let refusal = w.await.unwrap().unwrap_err();
        assert_eq!(refusal.reason, Reason::Leaving);
        assert!(refusal.retry_ms.is_some());
    }
    assert_eq!(
        a.admit(slot_request(&c, "t", cost(1.0)))
            .await
            .unwrap_err()
            .reason,
        Reason::Leaving
    );
}

#[tokio::test]
async fn a_request_that_cannot_meet_its_deadline_is_refused_unless_nothing_runs() {
    let a = Admission::new();
    a.set_slots(1);
    let c = class("c", 0, 10);
    let hopeless = || SlotRequest {
        deadline: Instant::now() + Duration::from_secs(1),
        ..slot_request(&c, "t", cost(9e6))
    };
    let slot = a.admit(hopeless()).await.unwrap();
    let refusal = a.admit(hopeless()).await.unwrap_err();
    assert_eq!(refusal.reason, Reason::DeadlineUnreachable);
    drop(slot);
    assert!(a.admit(hopeless()).await.is_ok());
}

#[tokio::test]
async fn what_its_entry_cannot_end_is_refused_also_with_nothing_running() {
    let a = Admission::new();
    a.set_slots(1);
    let c = class("c", 0, 10);
    let ends_soon = |cost| SlotRequest {
        must_end_by: Some(Instant::now() + Duration::from_secs(20)),
        ..slot_request(&c, "t", cost)
    };
    let long = a.admit(ends_soon(cost(9e6))).await.unwrap_err();
    assert_eq!(long.reason, Reason::Leaving);
    assert!(long.retry_ms.is_some());
    // Unknown cost, first with a deadline after the end of the entry, then with one before it.
    let unknown = a.admit(ends_soon(cost(0.0))).await.unwrap_err();
    assert_eq!(unknown.reason, Reason::Leaving);
    let bounded = SlotRequest {
        deadline: Instant::now() + Duration::from_secs(10),
        ..ends_soon(cost(0.0))
    };
    let slot = a.admit(bounded).await.unwrap();
    drop(slot);
    let slot = a.admit(ends_soon(cost(10.0))).await.unwrap();
    // A waiting request is checked again when a slot becomes free.
    let waiter = {
        let (a, c) = (a.clone(), c.clone());
        tokio::spawn(async move {
            let must_end_by = Some(Instant::now() + Duration::from_millis(200));
            let slot_request = SlotRequest {
                must_end_by,
                ..slot_request(&c, "t", cost(100.0))
            };
            a.admit(slot_request).await.map(drop)
        })
    };
    wait_for_queue(&a, 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(slot);
    let late = waiter.await.unwrap().unwrap_err();
    assert_eq!(late.reason, Reason::Leaving);
    assert_eq!(a.counts(), (0, 0));
}

#[tokio::test]
async fn a_cancelled_or_timed_out_wait_frees_its_place() {
    let a = Admission::new();
    a.set_slots(1);
    let c = class("c", 0, 10);
    let held = a.admit(slot_request(&c, "t", cost(0.0))).await.unwrap();
    let waiter = {
        let (a, c) = (a.clone(), c.clone());
        tokio::spawn(async move { a.admit(slot_request(&c, "t", cost(0.0))).await.map(drop) })
    };
    wait_for_queue(&a, 1).await;
    waiter.abort();
    wait_for_queue(&a, 0).await;
    let soon = SlotRequest {
        deadline: Instant::now() + Duration::from_millis(5),
        ..slot_request(&c, "t", cost(0.0))
    };
    assert_eq!(
        a.admit(soon).await.unwrap_err().reason,
        Reason::DeadlinePassed
    );
    drop(held);
    assert_eq!(a.counts(), (0, 0));
}

/// A wait that is cancelled while its slot is being delivered must not lose the slot.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_slot_is_lost_when_waits_are_cancelled_concurrently() {
    let a = Admission::new();
    a.set_slots(2);
    let mut tasks = Vec::new();
    for i in 0..400u64 {
        let a = a.clone();
        tasks.push(tokio::spawn(async move {
            let c = class("c", (i % 3) as u32, 1000);
            let deadline = Instant::now() + Duration::from_micros(i * 37 % 3000);
            let slot_request = SlotRequest {
                deadline,
                ..slot_request(&c, "t", cost(0.0))
            };
            if let Ok(slot) = a.admit(slot_request).await {
                tokio::task::yield_now().await;
                drop(slot);
            }
        }));
    }
    for (i, t) in tasks.iter().enumerate() {
        if i % 5 == 0 {
            t.abort();
        }
    }
    for t in tasks {
        // Some tasks were aborted on purpose.
        let _ = t.await;
    }
    assert_eq!(a.counts(), (0, 0));
    let c = class("c", 0, 10);
    let two_slots = (
        a.admit(slot_request(&c, "t", cost(0.0))).await,
        a.admit(slot_request(&c, "t", cost(0.0))).await,
    );
    assert!(two_slots.0.is_ok() && two_slots.1.is_ok());
}

/// Reference implementation of the selection rule: sorts all waiters and takes the first.
fn pick_by_sorting(p: &PickInput<'_>) -> Option<u64> {
    let free = |w: &&Waiter| p.tenants[w.tenant].running < p.tenants[w.tenant].limit;
    let mut all: Vec<&Waiter> = p.waiters.iter().filter(free).collect();
    all.sort_by(|a, b| {
        let key = |w: &Waiter| {
            let c = &p.classes[w.class];
            let share_slots = ((c.share * f64::from(p.slots)).floor() as u32).max(1);
            let overdue = p.now - w.queued_at > w.starvation_bound && c.running < share_slots;
            let served_ms = p.tenants[w.tenant].served_ms;
            let rest = (w.urgency, f64::from(c.running) / c.share, served_ms);
            (!overdue, if overdue { (0, 0.0, 0.0) } else { rest }, w.id)
        };
        key(a).partial_cmp(&key(b)).unwrap()
    });
    all.first().map(|w| w.id)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn pick_matches_an_implementation_by_sorting(
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
            .map(|(id, (class, tenant, urgency, queued_at, bound))| Waiter {
                id: id as u64,
                class,
                tenant,
                urgency,
                queued_at: start + Duration::from_secs(queued_at),
                starvation_bound: Duration::from_secs(bound),
            })
            .collect();
        let classes: Vec<ClassUsage> = classes
            .into_iter()
            .map(|(share, running)| ClassUsage {
                name: String::new(),
                share: f64::from(share) / 100.0,
                waiting: 0,
                running,
            })
            .collect();
        let tenants: Vec<TenantUsage> = tenants
            .into_iter()
            .map(|(running, limit, served_ms)| TenantUsage {
                name: String::new(),
                waiting: 0,
                running,
                limit,
                served_ms: f64::from(served_ms),
            })
            .collect();
        let p = PickInput { waiters: &waiters, classes: &classes, tenants: &tenants, slots, now };
        prop_assert_eq!(pick(&p).map(|at| waiters[at].id), pick_by_sorting(&p));
    }
}
