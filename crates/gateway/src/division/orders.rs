//! Observes the demand, and orders engines to change their stage if another division is better.
//!
//! All processes observe, but only the first live one decides. Whether an order was carried out
//! is read from the registry, so lost answers and late execution do no harm.

use super::{Demand, Division, EngineUse, WantedChange};
use crate::duty::lease::HeldLease;
use crate::duty::take_lease;
use crate::fleet::{Fleet, ServiceKey, Upstream, UpstreamKey};
use crate::follow::StoreClient;
use crate::monotonic;
use crate::peers::exchange;
use crate::state::Gateway;
use hyper::StatusCode;
use net::{Body, CallError, Pool};
use observe::{Event, emit};
use platform::{Duty, EngineReport, OrderAnswer, Stage, StageOrder, Start};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between samples of the engines' use. When prefill is the bottleneck, a prompt takes
/// about 100 ms.
const SAMPLE_EVERY: Duration = Duration::from_millis(50);
/// Timeout of a call to an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of an engine's answer to a report request or an order, in bytes.
const MAX_ANSWER: usize = 64 << 10;
/// Time for which a changing engine gets no requests beyond the duration of the stage change,
/// unless the registry shows the new stage. Running answers end first, and the registry lags by a
/// heartbeat and a read.
const CHANGE_MARGIN: Duration = Duration::from_secs(5);
/// Pause after a stage change until the effect of the new division shows.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// An engine that is to change its stage.
#[derive(Debug, Clone)]
struct Target {
    key: UpstreamKey,
    instance: String,
    addr: SocketAddr,
    start: Option<Start>,
}

/// A service whose demand is observed.
#[derive(Debug)]
struct WatchedService {
    service: ServiceKey,
    demand: Demand,
    /// Time before which no decision is made.
    paused_until: Instant,
}

/// Observes all services with engines until the process ends.
pub async fn run(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    let mut all: Vec<WatchedService> = Vec::new();
    let mut last = monotonic::now();
    loop {
        tokio::time::sleep(SAMPLE_EVERY).await;
        let now = monotonic::now();
        sample_demand(&gateway, &mut all, now - last);
        last = now;
        if gateway.rank() != 0 || !gateway.is_ready() {
            continue;
        }
        for watched in &mut all {
            if now >= watched.paused_until {
                let pause = decide_and_order(&gateway, &mut client, watched).await;
                watched.paused_until = monotonic::now() + pause;
            }
        }
    }
}

/// Adds a sample of the use of all engines.
fn sample_demand(gateway: &Gateway, all: &mut Vec<WatchedService>, since: Duration) {
    let fleet = gateway.fleet();
    for service in fleet.engine_services() {
        let at = all.binary_search_by_key(&service, |w| w.service);
        let at = at.unwrap_or_else(|at| {
            let watched = WatchedService {
                service,
                demand: Demand::default(),
                paused_until: monotonic::now(),
            };
            all.insert(at, watched);
            at
        });
        let engines = engines(&fleet, service);
        all[at]
            .demand
            .sample(engines.map(|(_, u)| engine_use(u)), since);
    }
}

/// Engines of a service with a prefill or decode stage.
fn engines(fleet: &Fleet, service: ServiceKey) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
    let all = fleet.iter();
    all.filter(move |(_, u)| {
        let divides = matches!(u.instance.stage, Some(Stage::Prefill | Stage::Decode));
        u.service == service && u.is_open() && divides
    })
}

fn engine_use(upstream: &Upstream) -> EngineUse {
    EngineUse {
        is_prefill_only: upstream.is_prefill_only(),
        is_prefilling: upstream.all_waiting_tokens() > 0,
        generating: match upstream.is_prefill_only() {
            true => 0,
            false => upstream.all_running() - upstream.all_waiting().min(upstream.all_running()),
        },
    }
}

/// Checks whether another division is better, and orders the change. Returns the time until the
/// next check.
async fn decide_and_order(
    gateway: &Arc<Gateway>,
    client: &mut StoreClient,
    watched: &WatchedService,
) -> Duration {
    let service = watched.service;
    let now = monotonic::now();
    let (wanted, division, change) = {
        let fleet = gateway.fleet();
        if engines(&fleet, service).any(|(_, u)| u.is_changing(now)) {
            return SAMPLE_EVERY;
        }
        let division = division(&fleet, service);
        let is_first_start = gateway.is_first_start();
        let wanted = watched.demand.wanted_change(division, is_first_start);
        let change = fleet.info(service).engine.map(|e| e.stage_change);
        (wanted, division, change.unwrap_or_default())
    };
    let Some(wanted) = wanted else {
        return SAMPLE_EVERY;
    };
    let held = match take_lease(gateway, client, Duty::Orders).await {
        Ok(held) => held,
        Err(pause) => return pause,
    };
    log_wanted(gateway, watched, division, wanted, held);
    let targets = pick_engines(&gateway.fleet(), service, wanted);
    let unavailable_for = change + CHANGE_MARGIN;
    for target in &targets {
        if let Some(upstream) = gateway.fleet().get_mut(target.key) {
            upstream.set_changing(now + unavailable_for, wanted.stage);
        }
    }
    // Peers are notified first, so that they send no requests that would be refused.
    tokio::time::sleep(exchange::propagation_time(gateway)).await;
    for target in &targets {
        let may_run = send_order(gateway, target, wanted.stage, held).await;
        if let Some(upstream) = gateway.fleet().get_mut(target.key).filter(|_| !may_run) {
            upstream.clear_changing();
        }
    }
    change + SETTLE_TIME
}

fn division(fleet: &Fleet, service: ServiceKey) -> Division {
    let (mut prefill_engines, mut generators) = (0, 0);
    for (_, upstream) in engines(fleet, service) {
        match upstream.is_prefill_only() {
            true => prefill_engines += 1,
            false => generators += 1,
        }
    }
    let slots = fleet.info(service).engine.map_or(1, |e| e.slots);
    Division {
        prefill_engines,
        generators,
        slots,
    }
}

fn log_wanted(
    gateway: &Gateway,
    watched: &WatchedService,
    now: Division,
    wanted: WantedChange,
    held: HeldLease,
) {
    let fleet = gateway.fleet();
    emit(&Event::DivisionWanted {
        service: &fleet.info(watched.service).name,
        basis: wanted.basis.name(),
        readers: now.prefill_engines,
        generators: now.generators,
        changes: wanted.changes,
        reading: watched.demand.prefilling,
        generating: watched.demand.generating,
        peak: watched.demand.peak,
        token: held.token,
    });
}

/// Selects the engines to change: from the zone with the most candidates, and there those with
/// the least load, so that each zone keeps engines of both kinds.
fn pick_engines(fleet: &Fleet, service: ServiceKey, wanted: WantedChange) -> Vec<Target> {
    let to_read = wanted.stage == Stage::Prefill;
    let fit = engines(fleet, service).filter(|(_, u)| u.is_prefill_only() != to_read);
    let mut left: Vec<(UpstreamKey, &Upstream)> = fit.collect();
    left.sort_by_key(|(_, u)| (u.all_running(), u.hash));
    let mut out = Vec::new();
    for _ in 0..wanted.changes {
        let count = |zone: &str| left.iter().filter(|(_, u)| u.instance.zone == zone).count();
        let counts: Vec<usize> = left.iter().map(|(_, u)| count(&u.instance.zone)).collect();
        let Some(most) = counts.iter().max() else {
            break;
        };
        let Some(at) = counts.iter().position(|c| c == most) else {
            break;
        };
        let (key, upstream) = left.remove(at);
        out.push(Target {
            key,
            instance: upstream.instance.id.clone(),
            addr: upstream.instance.addr,
            start: upstream.instance.start,
        });
    }
    out
}

/// Sends an order to one engine. Returns whether it may be carried out.
async fn send_order(
    gateway: &Arc<Gateway>,
    target: &Target,
    stage: Stage,
    held: HeldLease,
) -> bool {
    let pool = Pool::new(target.addr, ENGINE_TIMEOUT).metered(&gateway.upstream_bytes);
    let report = match report(&pool).await {
        Ok(report) => report,
        Err(why) => return log_order(target, stage, held, None, &why, false),
    };
    if target.start.is_some() && report.start != target.start {
        // The report's order count belongs to another start than the registry entry.
        return log_order(target, stage, held, Some(report), "another start", false);
    }
    if report.is_busy {
        return log_order(target, stage, held, Some(report), "busy", false);
    }
    if report.stage == Some(stage) {
        return log_order(target, stage, held, Some(report), "has it", true);
    }
    let holder = gateway.host().ip.to_string();
    let order = StageOrder {
        instance: &target.instance,
        stage,
        holder: &holder,
        token: held.token,
        after_orders: report.orders,
    };
    let Some(req) = order.request(target.addr) else {
        return log_order(target, stage, held, Some(report), "can't be built", false);
    };
    if !held.is_valid(monotonic::now()) {
        return log_order(target, stage, held, Some(report), "lease is over", false);
    }
    let (outcome, may_run) = match call(&pool, req).await {
        Ok((status, _)) => match OrderAnswer::from_status(status) {
            OrderAnswer::Accepted => ("accepted".to_owned(), true),
            OrderAnswer::AlreadyInStage => ("has it".to_owned(), true),
            OrderAnswer::Conflict => ("conflict".to_owned(), false),
            OrderAnswer::Fenced => ("newer token seen".to_owned(), false),
            OrderAnswer::OtherInstance => ("other instance".to_owned(), false),
            OrderAnswer::Unknown(status) => (format!("unknown: status {status}"), true),
        },
        Err(CallError::NotSent(why)) => (format!("not sent: {why}"), false),
        Err(CallError::MaybeSent(why)) => (format!("unknown: {why}"), true),
    };
    log_order(target, stage, held, Some(report), &outcome, may_run)
}

async fn report(pool: &Pool) -> Result<EngineReport, String> {
    let req = EngineReport::request(pool.addr()).ok_or("report can't be built")?;
    match call(pool, req).await {
        Ok((StatusCode::OK, body)) => {
            EngineReport::parse(&body).map_err(|e| format!("report: {e}"))
        }
        Ok((status, _)) => Err(format!("report: status {status}")),
        Err(e) => Err(format!("report: {e}")),
    }
}

async fn call(
    pool: &Pool,
    req: hyper::Request<Body>,
) -> Result<(StatusCode, bytes::Bytes), CallError> {
    pool.call(req, MAX_ANSWER, ENGINE_TIMEOUT).await
}

/// Logs the outcome of an order. Returns `may_run`.
fn log_order(
    target: &Target,
    stage: Stage,
    held: HeldLease,
    report: Option<EngineReport>,
    outcome: &str,
    may_run: bool,
) -> bool {
    emit(&Event::StageOrdered {
        upstream: &target.instance,
        stage: stage.name(),
        token: held.token,
        after_orders: report.map(|r| r.orders),
        outcome,
        may_run,
    });
    may_run
}
