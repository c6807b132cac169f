//! Who is served by tenant, without a network: a large tenant's burst before full engines.

#[expect(dead_code, reason = "each test file uses some of them")]
mod fixtures;

use fixtures::{gateway_with, train_latency_model};
use gateway::choose::{Choice, Requirements, choose};
use gateway::fleet::latency::Task;
use gateway::state::{Gateway, LoadGuard};
use platform::{PromptPart, Stage};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Part of all requests' share of served ones that each tenant's must reach.
const MIN_RELATIVE_SHARE: f64 = 0.25;
/// Requests in all, and how many of them run on until an engine is through with one.
const REQUESTS: u64 = 4000;
const MAX_RUNNING: usize = 60;

/// Sends a prompt with a part of its own; none if it is refused.
fn send(gateway: &Arc<Gateway>, id: u64) -> Option<LoadGuard> {
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = [part(1, 6300), part(1000 + id, 2900)];
    let service = gateway.fleet().intern_service("s");
    let requirements = Requirements {
        service,
        parts: &parts,
        prompt_tokens: 9200,
        max_output_tokens: 2,
        latency_target: Duration::from_millis(120),
        is_resumed: false,
        is_isolated: false,
        tried: &[],
    };
    match choose(gateway, &requirements) {
        Choice::Send(plan) => Some(gateway.add_load(plan.key, plan.inputs.uncached, plan.is_long)),
        Choice::Busy(..) | Choice::NoUpstream => None,
    }
}

/// A tenant with nine tenths of the requests, in bursts that are more than the engines, and
/// twenty small ones: admission knows no tenant, so each is refused about as often.
#[test]
fn the_burst_of_a_large_tenant_does_not_starve_small_ones() {
    let gateway = gateway_with(&[Stage::Decode; 6]);
    train_latency_model(&gateway, Task::Generate, 300.0);
    let mut running: VecDeque<LoadGuard> = VecDeque::new();
    let (mut sent, mut served) = ([0u64; 2], [0u64; 2]);
    for id in 0..REQUESTS {
        let is_small = usize::from(id % 10 == 7);
        sent[is_small] += 1;
        if let Some(load) = send(&gateway, id) {
            served[is_small] += 1;
            running.push_back(load);
        }
        // In the bursts nothing ends between two requests.
        let is_burst = (id / 200) % 2 == 0;
        if running.len() > MAX_RUNNING || !is_burst {
            running.pop_front();
        }
    }
    let share = |served: u64, sent: u64| served as f64 / sent as f64;
    let all = share(served[0] + served[1], sent[0] + sent[1]);
    assert!(all < 0.9, "nothing binds: {all}");
    let small = share(served[1], sent[1]);
    assert!(
        small >= all * MIN_RELATIVE_SHARE,
        "{small} of the small ones, {all} of all"
    );
}
