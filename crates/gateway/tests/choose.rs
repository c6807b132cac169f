//! Tests the choice of an upstream, and the latency estimates that it is based on.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{gateway_with, instance, runner, train_latency_model};
use gateway::choose::{Choice, PREFILL_WEIGHT, Requirements, choose};
use gateway::fleet::latency::{Backlog, LatencyModel, Slowdown, Task};
use gateway::fleet::{Fleet, MergeOutcome};
use gateway::state::Gateway;
use net::Meter;
use platform::{PromptPart, Stage};
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn the_latency_model_learns_the_speed_of_engines() {
    let mut model = LatencyModel::for_task(Task::Generate);
    let true_ms = |b: Backlog| 12.0 + 7.0 * b.prompts + 0.002 * b.tokens + 40.0 * b.slot_turnovers;
    for n in 0..2000u32 {
        let backlog = Backlog {
            prompts: f64::from(n % 7),
            tokens: f64::from((n * 997) % 30_000),
            slot_turnovers: f64::from(n % 3) / 2.0,
        };
        // One sample in five takes a little longer, and one in five a little less.
        let noise = [0.0, 3.0, 0.0, -3.0, 0.0][(n % 5) as usize];
        model.add_sample(backlog, true_ms(backlog) + noise);
    }
    for (prompts, tokens, slot_turnovers) in
        [(0.0, 500.0, 0.0), (2.0, 9000.0, 1.0), (6.0, 25_000.0, 0.5)]
    {
        let backlog = Backlog {
            prompts,
            tokens,
            slot_turnovers,
        };
        let estimate = model.estimate(backlog);
        assert!(
            (estimate - true_ms(backlog)).abs() < 2.0,
            "{backlog:?}: {estimate}"
        );
    }
}

#[test]
fn a_slow_upstream_is_detected_and_a_single_late_answer_is_not_enough() {
    let mut slowdown = Slowdown::default();
    slowdown.add_sample(5000.0, 20.0);
    assert!(slowdown.factor() < 1.5, "{}", slowdown.factor());
    for _ in 0..60 {
        slowdown.add_sample(100.0, 20.0);
    }
    assert!(
        (4.0..6.0).contains(&slowdown.factor()),
        "{}",
        slowdown.factor()
    );
}

/// Guards against this failure: an engine was slow for a while, and each prompt whose home it is was
/// refused from then on, as only an answer could have corrected the estimate.
#[tokio::test(start_paused = true)]
async fn an_engine_that_was_slow_gets_prompts_again() {
    let gateway = gateway_with(&[Stage::Decode; 3]);
    let home = choose_instance(&gateway, 7).expect("an idle engine");
    {
        let mut fleet = gateway.fleet();
        let key = fleet.find(&home).unwrap();
        let upstream = fleet.get_mut(key).unwrap();
        for _ in 0..100 {
            upstream.slowdown.add_sample(2000.0, 20.0);
        }
    }
    assert_eq!(choose_instance(&gateway, 7), None);
    tokio::time::advance(Duration::from_secs(10)).await;
    assert_eq!(choose_instance(&gateway, 7), Some(home));
}

/// Guards against requests that wait in vain while long answers run at upstreams that leave.
#[test]
fn requests_at_leaving_upstreams_take_no_share_of_the_others() {
    let (mut fleet, meter) = (Fleet::default(), Meter::default());
    let now = std::time::Instant::now();
    for n in 0..2 {
        fleet.merge(instance(n, Stage::Decode), &meter);
    }
    let leaving = fleet.find("i-0").unwrap();
    fleet.get_mut(leaving).unwrap().running = 100;
    let mut row = instance(0, Stage::Decode);
    row.is_draining = true;
    fleet.merge(row, &meter);
    let other = fleet.find("i-1").unwrap();
    fleet.get_mut(other).unwrap().saturation.record_full(now);
    let service = fleet.get(other).unwrap().service;
    let capacity = fleet.plain_capacity(service, now);
    assert!(capacity.has_room(capacity.share(1), 0), "{capacity:?}");
}

#[test]
fn the_fleet_index_finds_the_same_upstreams_as_a_linear_scan() {
    let steps = proptest::collection::vec((0u8..20, any::<bool>()), 1..80);
    runner()
        .run(&steps, |steps| {
            let (mut fleet, meter) = (Fleet::default(), Meter::default());
            let mut known: Vec<u8> = Vec::new();
            for (n, is_there) in steps {
                known.retain(|k| *k != n);
                if is_there {
                    known.push(n);
                    fleet.merge(instance(n, Stage::Decode), &meter);
                } else if let Some(key) = fleet.find(&format!("i-{n}")) {
                    prop_assert!(fleet.remove(key).is_some());
                }
                prop_assert_eq!(fleet.len(), known.len());
                for n in 0..20u8 {
                    let id = format!("i-{n}");
                    let found = fleet.find(&id).and_then(|key| fleet.get(key));
                    let found = found.map(|u| u.instance.id.clone());
                    prop_assert_eq!(found, known.contains(&n).then_some(id));
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_key_of_a_removed_upstream_finds_nothing() {
    let mut fleet = Fleet::default();
    let meter = Meter::default();
    let MergeOutcome::Added(key) = fleet.merge(instance(1, Stage::Decode), &meter) else {
        panic!("the upstream should be new");
    };
    assert!(fleet.remove(key).is_some());
    let MergeOutcome::Added(next) = fleet.merge(instance(2, Stage::Decode), &meter) else {
        panic!("the upstream should be new");
    };
    assert!(fleet.get(key).is_none());
    assert!(fleet.remove(key).is_none());
    assert_eq!(fleet.get(next).unwrap().instance.id, "i-2");
}

fn choose_instance(gateway: &Gateway, part: u64) -> Option<String> {
    choose_instance_for(gateway, part, false)
}

fn choose_instance_for(gateway: &Gateway, part: u64, is_resumed: bool) -> Option<String> {
    let parts = [
        PromptPart {
            id: 1,
            tokens: 2500,
        },
        PromptPart {
            id: part,
            tokens: 3700,
        },
        PromptPart {
            id: part << 32,
            tokens: 2900,
        },
    ];
    let service = gateway.fleet().intern_service("s");
    let requirements = Requirements {
        rank: 0,
        service,
        parts: &parts,
        prompt_tokens: 9100,
        max_output_tokens: 64,
        latency_target: Duration::from_millis(120),
        is_resumed,
        is_isolated: false,
        version: None,
        tried: &[],
        has_permit: false,
    };
    match choose(gateway, &requirements) {
        Choice::Send(plan) => Some(plan.instance),
        Choice::Full | Choice::Busy(..) | Choice::Later(..) | Choice::NoUpstream => None,
    }
}

#[test]
fn all_processes_agree_on_homes_and_few_move_when_one_leaves() {
    use Stage::{Decode, Prefill};
    let stages = [
        Prefill, Prefill, Decode, Decode, Decode, Decode, Decode, Decode, Decode,
    ];
    let (a, b) = (gateway_with(&stages), gateway_with(&stages));
    let homes: Vec<_> = (2..1002)
        .map(|part| choose_instance(&a, part).unwrap())
        .collect();
    let others: Vec<_> = (2..1002)
        .map(|part| choose_instance(&b, part).unwrap())
        .collect();
    assert_eq!(homes, others);
    // Two prefill-only engines, by their weight, and seven others share 1,000 parts.
    let weights = 2.0 * PREFILL_WEIGHT + 7.0;
    let homes_at = |id: &str| homes.iter().filter(|h| *h == id).count();
    for n in 0..9 {
        let weight = if n < 2 { PREFILL_WEIGHT } else { 1.0 };
        let expected = 1000.0 * weight / weights;
        let share = homes_at(&format!("i-{n}")) as f64 / expected;
        assert!((0.7..1.3).contains(&share), "i-{n}: {share}");
    }
    let mut leaving = instance(4, Decode);
    leaving.is_draining = true;
    a.fleet().merge(leaving, &Meter::default());
    for (part, before) in (2..1002).zip(&homes) {
        let after = choose_instance(&a, part).unwrap();
        assert!(after != "i-4");
        assert!(
            before == "i-4" || *before == after,
            "only parts of i-4 move"
        );
    }
}

#[test]
fn a_prompt_whose_home_is_overloaded_is_refused() {
    let gateway = gateway_with(&[Stage::Decode]);
    train_latency_model(&gateway, Task::Generate, 300.0);
    assert!(choose_instance(&gateway, 7).is_some());
    let key = gateway.fleet().find("i-0").unwrap();
    let loads: Vec<_> = (0..8).map(|_| gateway.add_load(key, 5000, false)).collect();
    assert!(choose_instance(&gateway, 7).is_none());
    // A resumed stream is accepted up to a higher bound.
    assert!(choose_instance_for(&gateway, 7, true).is_some());
    let more: Vec<_> = (0..40)
        .map(|_| gateway.add_load(key, 5000, false))
        .collect();
    assert!(choose_instance_for(&gateway, 7, true).is_none());
    drop(more);
    drop(loads);
    assert!(choose_instance(&gateway, 7).is_some());
}

#[test]
fn a_prompt_whose_home_has_no_free_slot_is_refused() {
    let gateway = gateway_with(&[Stage::Decode]);
    let key = gateway.fleet().find("i-0").unwrap();
    // Seven long answers and one short one hold all slots, and have nothing to prefill.
    let mut loads: Vec<_> = (0..8).map(|n| gateway.add_load(key, 0, n > 0)).collect();
    for load in &mut loads {
        load.first_byte_received();
    }
    let backlog = gateway.fleet().get(key).unwrap().backlog(0);
    assert!((backlog.slot_turnovers - 1.0).abs() < 1e-9, "{backlog:?}");
    let more: Vec<_> = (0..2).map(|_| gateway.add_load(key, 0, false)).collect();
    assert!(choose_instance(&gateway, 7).is_none());
    drop(more);
    drop(loads);
    assert!(choose_instance(&gateway, 7).is_some());
}
