//! Tests how evenly tenants are served during a large tenant's burst on full engines, without a
//! network.

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

/// Minimum fraction of the small tenants' requests that must be served, relative to that of all
/// requests.
const MIN_RELATIVE_SHARE: f64 = 0.25;
/// Number of requests, and maximum number of them that run at once.
const REQUESTS: u64 = 4000;
const MAX_RUNNING: usize = 60;

/// Sends a prompt with an own part; returns `None` if it is refused.
fn send(gateway: &Arc<Gateway>, id: u64) -> Option<LoadGuard> {
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = [part(1, 6300), part(1000 + id, 2900)];
    let service = gateway.fleet().intern_service("s");
    let requirements = Requirements {
        rank: 0,
        service,
        parts: &parts,
        prompt_tokens: 9200,
        max_output_tokens: 2,
        latency_target: Duration::from_millis(120),
        is_resumed: false,
        is_isolated: false,
        version: None,
        tried: &[],
        has_permit: false,
    };
    match choose(gateway, &requirements) {
        Choice::Send(plan) => Some(gateway.add_load(plan.key, plan.inputs.uncached, plan.is_long)),
        Choice::Full | Choice::Busy(..) | Choice::Later(..) | Choice::NoUpstream => None,
    }
}

/// One tenant sends nine tenths of the requests, in bursts that exceed the engines' capacity, and
/// twenty small tenants send the rest. Admission doesn't distinguish tenants, so each is refused
/// about as often.
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
        // During a burst, no request ends between two others.
        let is_burst = (id / 200) % 2 == 0;
        if running.len() > MAX_RUNNING || !is_burst {
            running.pop_front();
        }
    }
    let share = |served: u64, sent: u64| served as f64 / sent as f64;
    let all = share(served[0] + served[1], sent[0] + sent[1]);
    assert!(all < 0.9, "the engines are not full: {all} served");
    let small = share(served[1], sent[1]);
    assert!(
        small >= all * MIN_RELATIVE_SHARE,
        "served: {small} of the small tenants' requests, {all} of all"
    );
}
