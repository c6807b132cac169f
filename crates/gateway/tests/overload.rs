//! Tests that an overloaded plain service serves as much as its upstreams can, and all callers.
//!
//! Guards against this failure: upstreams for 40 requests a second were called by 60 callers that
//! waited as Retry-After said. Each rejection by a full upstream counted as a failure of it, so that
//! hosts suspended all upstreams at once: half of the slots were idle, and of callers with longer
//! requests some were never served. Urgent requests were served no more often than others.

#[expect(dead_code, reason = "each test file uses some of them")]
mod common;

use common::crashing::System;
use common::{exchange, request, status};
use standin::Capacity;
use standin::fixture::route;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SLOTS: usize = 2;
const QUEUE: usize = 4;
const WORKERS: usize = 2;
const HOSTS: usize = 3;
const SERVICE_TIME: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(800);
/// Time for which callers send requests.
const RUN_TIME: Duration = Duration::from_secs(12);

/// How a caller chooses hosts and handles rejections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Behavior {
    path: &'static str,
    /// The host that it always calls; `None` if it draws one for each request.
    host: Option<usize>,
    /// Whether it retries at once instead of waiting as told.
    is_hasty: bool,
}

const OBEDIENT: Behavior = Behavior {
    path: "/plain/",
    host: None,
    is_hasty: false,
};

/// Starts hosts, and workers with few slots that are registered with their number of slots.
async fn start() -> Arc<System> {
    let mut urgent = route("urgent", "non_idempotent", 1);
    urgent["Priority"] = 0.into();
    let plain = route("plain", "non_idempotent", 1);
    let mut later = route("later", "non_idempotent", 1);
    later["Priority"] = 2.into();
    let routes = serde_json::json!([urgent, plain, later]);
    let system = System::start_limited(HOSTS, WORKERS, SLOTS, SERVICE_TIME, &routes).await;
    for worker in system.workers() {
        worker.set_capacity(Capacity::new(SLOTS, QUEUE));
    }
    Arc::new(system)
}

/// Sends requests one after another until `end`; returns how many were served.
async fn call(system: Arc<System>, behavior: Behavior, caller: usize, end: Instant) -> usize {
    let mut served = 0;
    for n in 0.. {
        if Instant::now() >= end {
            return served;
        }
        let host = behavior.host.unwrap_or_else(|| fastrand::usize(..HOSTS));
        let body = format!("caller {caller}");
        let text = request("POST", behavior.path, &format!("{caller}-{n}"), "", &body);
        let deadline = format!("deadline-ms: {}", DEADLINE.as_millis());
        let text = text.replace("deadline-ms: 4000", &deadline);
        let answer = exchange(system.hosts[host].callers, &text).await;
        let status = status(&answer);
        if status == 200 {
            served += 1;
            continue;
        }
        assert!(status == 503 || status == 504, "{answer}");
        if behavior.is_hasty {
            tokio::time::sleep(Duration::from_millis(5)).await;
        } else {
            tokio::time::sleep(retry_after(&answer)).await;
        }
    }
    unreachable!("the range has no end")
}

/// Time after which a rejected caller may return.
fn retry_after(answer: &str) -> Duration {
    let text = answer.to_ascii_lowercase();
    let value = text.lines().find_map(|l| l.strip_prefix("retry-after: "));
    let seconds = value.and_then(|v| v.trim().parse::<f64>().ok());
    Duration::from_secs_f64(seconds.unwrap_or(0.3))
}

/// Lets callers send requests at once; returns how many of each were served.
async fn run(behaviors: &[Behavior]) -> Vec<usize> {
    let system = start().await;
    let end = Instant::now() + RUN_TIME;
    let callers = behaviors.iter().enumerate();
    let callers: Vec<_> = callers
        .map(|(at, behavior)| tokio::spawn(call(system.clone(), *behavior, at, end)))
        .collect();
    let mut served = Vec::new();
    for caller in callers {
        served.push(caller.await.unwrap());
    }
    println!("served {served:?}, {} in all", total(&served));
    served
}

fn total(served: &[usize]) -> usize {
    served.iter().sum()
}

fn median(served: &[usize]) -> usize {
    let mut sorted = served.to_vec();
    sorted.sort_unstable();
    sorted[sorted.len() / 2]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_overloaded_service_serves_as_much_as_one_at_its_limit() {
    let at_limit = total(&run(&[OBEDIENT; 12]).await);
    let overloaded = total(&run(&[OBEDIENT; 60]).await);
    assert!(
        overloaded * 10 >= at_limit * 9,
        "{overloaded} served in an overload, {at_limit} at the limit"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_caller_of_an_overloaded_service_is_served_under_half_of_the_median() {
    let served = run(&[OBEDIENT; 60]).await;
    let least = served.iter().min().unwrap();
    assert!(least * 2 >= median(&served), "{served:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn urgent_requests_are_served_first_at_an_overloaded_service() {
    let urgent = Behavior {
        path: "/urgent/",
        ..OBEDIENT
    };
    let later = Behavior {
        path: "/later/",
        ..OBEDIENT
    };
    let mut behaviors = vec![urgent; 30];
    behaviors.extend([later; 30]);
    let served = run(&behaviors).await;
    let (urgent, later) = served.split_at(30);
    assert!(total(urgent) >= 2 * total(later), "{served:?}");
    // The others keep a quarter of the service.
    assert!(total(later) * 5 >= total(&served), "{served:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_a_busier_host_are_served_as_often_as_others() {
    let at_one_host = Behavior {
        host: Some(0),
        ..OBEDIENT
    };
    let mut behaviors = vec![at_one_host; 30];
    behaviors.extend([OBEDIENT; 30]);
    let served = run(&behaviors).await;
    let (at_one, drawn) = served.split_at(30);
    assert!(2 * total(at_one) >= total(drawn), "{served:?}");
    assert!(2 * total(drawn) >= total(at_one), "{served:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_retry_at_once_gain_nothing() {
    let hasty = Behavior {
        is_hasty: true,
        ..OBEDIENT
    };
    let mut behaviors = vec![hasty; 12];
    behaviors.extend([OBEDIENT; 48]);
    let served = run(&behaviors).await;
    let (hasty, obedient) = served.split_at(12);
    assert!(median(hasty) * 2 <= median(obedient) * 3, "{served:?}");
}
