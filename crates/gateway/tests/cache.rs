//! Tests the estimate of what engines have cached, and the choice of engines that follows from it.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{gateway_with, runner, train_latency_model};
use gateway::choose::{Choice, Plan, Requirements, choose};
use gateway::fleet::cache::CacheEstimate;
use gateway::fleet::latency::Task;
use gateway::peers::Placement;
use gateway::state::{Gateway, LoadGuard};
use platform::{PromptPart, Stage};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn a_part_is_cached_only_if_all_parts_before_it_are() {
    let mut cache = CacheEstimate::default();
    let now = Instant::now();
    assert!(cache.record(part(2, 300), 10_000, now));
    assert_eq!(cache.missing_tokens(&[part(1, 100), part(2, 300)]), 400);
    assert!(cache.record(part(1, 100), 10_000, now));
    assert!(!cache.record(part(1, 100), 10_000, now));
    assert_eq!(cache.missing_tokens(&[part(1, 100), part(2, 300)]), 0);
    assert_eq!(cache.missing_tokens(&[part(1, 100), part(3, 70)]), 70);
}

#[test]
fn the_least_recently_used_parts_are_evicted_at_the_size_limit() {
    let sends = proptest::collection::vec((0u64..30, 1u32..400), 1..200);
    runner()
        .run(&sends, |sends| {
            let mut cache = CacheEstimate::default();
            let since = Instant::now();
            // A simple reference cache: parts in order of use, the most recent last.
            let mut naive: Vec<PromptPart> = Vec::new();
            for (n, (id, tokens)) in sends.into_iter().enumerate() {
                let known = naive.iter().position(|p| p.id == id);
                let sent = known.map_or(part(id, tokens), |at| naive.remove(at));
                naive.push(sent);
                while naive.iter().map(|p| p.tokens).sum::<u32>() > 1000 && naive.len() > 1 {
                    naive.remove(0);
                }
                cache.record(sent, 2000, since + Duration::from_millis(n as u64));
                for id in 0..30 {
                    let is_held = cache.missing_tokens(&[part(id, 1)]) == 0;
                    prop_assert_eq!(is_held, naive.iter().any(|p| p.id == id), "part {}", id);
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Returns the engine for a prompt, and the number of tokens that it has to prefill.
fn choose_instance(gateway: &Gateway, parts: &[PromptPart]) -> Option<(String, u32)> {
    plan_for(gateway, parts).map(|plan| (plan.instance, plan.inputs.uncached))
}

/// Returns the plan for a prompt with shared and own tokens and a latency target of 0.8 s.
fn plan_for(gateway: &Gateway, parts: &[PromptPart]) -> Option<Box<Plan>> {
    let service = gateway.fleet().intern_service("s");
    let requirements = Requirements {
        rank: 0,
        service,
        parts,
        prompt_tokens: parts.iter().map(|p| p.tokens).sum(),
        max_output_tokens: 60,
        latency_target: Duration::from_millis(800),
        is_resumed: false,
        is_isolated: false,
        version: None,
        tried: &[],
        has_permit: false,
    };
    match choose(gateway, &requirements) {
        Choice::Send(plan) => Some(plan),
        Choice::Full | Choice::Busy(..) | Choice::Later(..) | Choice::NoUpstream => None,
    }
}

/// Returns a gateway with eight prefill-only engines and four generators that have just started.
fn gateway_with_new_engines() -> Arc<Gateway> {
    let gateway = gateway_with(&[]);
    gateway.fleet().assume_empty_caches();
    for n in 0..12u8 {
        let stage = if n < 8 { Stage::Prefill } else { Stage::Decode };
        let instance = fixtures::instance(n, stage);
        gateway.fleet().merge(instance, &net::Meter::default());
    }
    train_latency_model(&gateway, Task::Prefill, 37.0);
    gateway
}

fn add_load(gateway: &Arc<Gateway>, id: &str, tokens: u32) -> LoadGuard {
    let key = gateway.fleet().find(id).unwrap();
    gateway.add_load(key, tokens, false)
}

/// Uses histories of 13,300 shared and 3,720 own tokens. With 45 such histories on eight
/// prefill-only engines, one engine often has a queue while most have none.
#[test]
fn a_prompt_whose_home_has_a_queue_is_prefilled_at_its_second_home() {
    let gateway = gateway_with_new_engines();
    let prompt = [part(7, 13_300), part(1 << 40, 3_720)];
    let (home, uncached) = choose_instance(&gateway, &prompt).unwrap();
    assert_eq!(uncached, 17_020, "nothing is cached at the start");
    let key = gateway.fleet().find(&home).unwrap();
    gateway.fleet().record_parts(key, &prompt, Instant::now());
    assert_eq!(
        choose_instance(&gateway, &prompt),
        Some((home.clone(), 3_720))
    );
    // Waiting for a short queue is faster than prefilling the shared part again.
    let short = add_load(&gateway, &home, 300);
    assert_eq!(
        choose_instance(&gateway, &prompt),
        Some((home.clone(), 3_720))
    );
    let long = add_load(&gateway, &home, 12_000);
    // It fetches the shared part from the home in about 10 ms instead of prefilling it in 360 ms.
    let (second, uncached) = choose_instance(&gateway, &prompt).unwrap();
    assert_ne!(second, home);
    assert_eq!(uncached, 3_720);
    let from = plan_for(&gateway, &prompt).unwrap().fetch_from;
    let home_addr = gateway.fleet().get(key).unwrap().instance.addr;
    assert_eq!(from, Some(home_addr));
    drop((short, long));
    assert_eq!(choose_instance(&gateway, &prompt), Some((home, 3_720)));
}

/// Generators hold all their slots, so a prompt that is prefilled sooner waits for a slot all the
/// same.
#[test]
fn the_second_home_is_not_used_while_generators_are_the_bottleneck() {
    let gateway = gateway_with_new_engines();
    let prompt = [part(7, 3_000), part(1 << 40, 3_000)];
    let (home, _) = choose_instance(&gateway, &prompt).unwrap();
    let key = gateway.fleet().find(&home).unwrap();
    gateway.fleet().record_parts(key, &prompt, Instant::now());
    let mut busy = Vec::new();
    for n in 8..12 {
        for _ in 0..48 {
            let mut load = add_load(&gateway, &format!("i-{n}"), 0);
            load.first_byte_received();
            busy.push(load);
        }
    }
    // A queue of 60 ms, which is less than the time until a slot is free.
    let _queue = add_load(&gateway, &home, 2_200);
    assert_eq!(choose_instance(&gateway, &prompt).map(|s| s.0), Some(home));
}

/// A prompt of the largest tenth of a class, whose own prefill takes longer than the target.
#[test]
fn a_prompt_too_large_for_its_target_is_prefilled_where_there_is_no_queue() {
    let gateway = gateway_with_new_engines();
    let prompt = [part(7, 1_000), part(1 << 40, 50_000)];
    let (home, _) = choose_instance(&gateway, &prompt).unwrap();
    let queues: Vec<_> = (0..8)
        .map(|n| add_load(&gateway, &format!("i-{n}"), 10_000))
        .collect();
    assert_eq!(
        choose_instance(&gateway, &prompt),
        None,
        "{home} and all other engines have queues"
    );
    drop(queues);
    assert!(choose_instance(&gateway, &prompt).is_some());
}

#[test]
fn placements_are_merged_and_a_new_start_or_stage_clears_the_cache() {
    let (a, b) = (gateway_with_new_engines(), gateway_with_new_engines());
    let prompt = [part(7, 900), part(1 << 40, 100)];
    let (home, _) = choose_instance(&a, &prompt).unwrap();
    let now = Instant::now();
    let key = a.fleet().find(&home).unwrap();
    a.fleet().record_parts(key, &prompt, now);
    let placements: Vec<Placement> = a.fleet().recent_placements(Duration::from_secs(1), now);
    assert_eq!(placements.len(), 1);
    b.fleet().merge_placements(&placements, false, now);
    assert_eq!(choose_instance(&b, &prompt), Some((home.clone(), 100)));
    // Old placements aren't sent again.
    let later = now + Duration::from_secs(2);
    assert!(
        a.fleet()
            .recent_placements(Duration::from_secs(1), later)
            .is_empty()
    );
    let n: u8 = home.strip_prefix("i-").unwrap().parse().unwrap();
    for (row, stage) in [(2, Stage::Decode), (3, Stage::Prefill)] {
        let instance = platform::Instance {
            row: fixtures::at(row),
            ..fixtures::instance(n, stage)
        };
        b.fleet().merge(instance, &net::Meter::default());
    }
    assert_eq!(choose_instance(&b, &prompt), Some((home, 1000)));
}

/// A process that restarts in a running system assumes that homes have cached their parts.
#[test]
fn engines_started_before_this_process_are_assumed_to_cache_their_home_parts() {
    let gateway = gateway_with(&[Stage::Prefill, Stage::Prefill, Stage::Decode]);
    let prompt = [part(7, 900), part(1 << 40, 100)];
    assert_eq!(choose_instance(&gateway, &prompt).map(|s| s.1), Some(100));
}
