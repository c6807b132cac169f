//! Watches the demand, and gives orders where another division serves it better.
//!
//! Each process watches; the first of those that are alive decides. An order's
//! outcome is what the registry shows later: an answer that is lost, or an order
//! that is carried out late, changes nothing of that.

use super::{Demand, Division, EngineUse, Wanted};
use crate::duty::lease::Held;
use crate::duty::take_lease;
use crate::fleet::{Fleet, ServiceKey, Upstream, UpstreamKey};
use crate::follow::Client;
use crate::peers::exchange;
use crate::state::Gateway;
use hyper::StatusCode;
use net::{Body, CallError, Pool};
use observe::{Event, emit};
use platform::{Duty, EngineReport, OrderAnswer, Stage, StageOrder, Start};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two looks at the engines' use: a prompt is read for some 100 ms
/// where reading binds.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Longest wait for an engine's answer.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer of an engine to a report or an order.
const MAX_ANSWER: usize = 64 << 10;
/// How much longer than a change of stage takes its engine gets no request, unless
/// the registry shows the new stage: running answers end first, and the registry
/// lags by a heartbeat and a read.
const CHANGE_MARGIN: Duration = Duration::from_secs(5);
/// Pause after orders, besides the change itself, in which the new division shows.
const SETTLE: Duration = Duration::from_secs(3);

/// An engine that should change its stage.
#[derive(Debug, Clone)]
struct Target {
    key: UpstreamKey,
    instance: String,
    addr: SocketAddr,
    start: Option<Start>,
}

/// A service whose engines are watched.
#[derive(Debug)]
struct Watched {
    service: ServiceKey,
    demand: Demand,
    /// No decision before this time.
    rests_until: Instant,
}

/// Watches all services with engines until the process ends.
pub async fn follow(gateway: Arc<Gateway>) {
    let mut client = Client::new(&gateway);
    let mut all: Vec<Watched> = Vec::new();
    let mut last = Instant::now();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let now = Instant::now();
        look(&gateway, &mut all, now - last);
        last = now;
        if gateway.rank() != 0 || !gateway.is_ready() {
            continue;
        }
        for watched in &mut all {
            if now >= watched.rests_until {
                let pause = decide(&gateway, &mut client, watched).await;
                watched.rests_until = Instant::now() + pause;
            }
        }
    }
}

/// Takes the use of all engines.
fn look(gateway: &Gateway, all: &mut Vec<Watched>, since: Duration) {
    let fleet = gateway.fleet();
    for service in fleet.engine_services() {
        let at = all.binary_search_by_key(&service, |w| w.service);
        let at = at.unwrap_or_else(|at| {
            let watched = Watched {
                service,
                demand: Demand::default(),
                rests_until: Instant::now(),
            };
            all.insert(at, watched);
            at
        });
        let engines = engines(&fleet, service);
        all[at]
            .demand
            .sample(engines.map(|(_, u)| use_of(u)), since);
    }
}

/// Engines of a service that divide its work.
fn engines(fleet: &Fleet, service: ServiceKey) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
    let all = fleet.iter();
    all.filter(move |(_, u)| {
        let divides = matches!(u.instance.stage, Some(Stage::Prefill | Stage::Decode));
        u.service == service && u.is_open() && divides
    })
}

fn use_of(upstream: &Upstream) -> EngineUse {
    EngineUse {
        reads_only: upstream.reads_only(),
        is_reading: upstream.reading_tokens() > 0,
        generating: match upstream.reads_only() {
            true => 0,
            false => upstream.all_running() - upstream.all_waiting().min(upstream.all_running()),
        },
    }
}

/// Looks whether another division is better, and orders it. Gives the time until
/// the next look.
async fn decide(gateway: &Arc<Gateway>, client: &mut Client, watched: &Watched) -> Duration {
    let service = watched.service;
    let now = Instant::now();
    let (wanted, division, change) = {
        let fleet = gateway.fleet();
        if engines(&fleet, service).any(|(_, u)| u.is_changing(now)) {
            return LOOK_EVERY;
        }
        let division = division(&fleet, service);
        let is_first_start = gateway.host().is_first_start;
        let wanted = watched.demand.wanted(division, is_first_start);
        let change = fleet.info(service).engine.map(|e| e.stage_change);
        (wanted, division, change.unwrap_or_default())
    };
    let Some(wanted) = wanted else {
        return LOOK_EVERY;
    };
    let held = match take_lease(gateway, client, Duty::Orders).await {
        Ok(held) => held,
        Err(pause) => return pause,
    };
    tell(gateway, watched, division, wanted, held);
    let targets = pick(&gateway.fleet(), service, wanted);
    let away = change + CHANGE_MARGIN;
    for target in &targets {
        if let Some(upstream) = gateway.fleet().get_mut(target.key) {
            upstream.set_changing(now + away, wanted.stage);
        }
    }
    // Peers hear of it first, so that they send no request that would be refused.
    tokio::time::sleep(exchange::time_to_tell(gateway)).await;
    for target in &targets {
        let may_run = order(gateway, target, wanted.stage, held).await;
        if let Some(upstream) = gateway.fleet().get_mut(target.key).filter(|_| !may_run) {
            upstream.clear_changing();
        }
    }
    change + SETTLE
}

fn division(fleet: &Fleet, service: ServiceKey) -> Division {
    let (mut readers, mut generators) = (0, 0);
    for (_, upstream) in engines(fleet, service) {
        match upstream.reads_only() {
            true => readers += 1,
            false => generators += 1,
        }
    }
    let slots = fleet.info(service).engine.map_or(1, |e| e.slots);
    Division {
        readers,
        generators,
        slots,
    }
}

fn tell(gateway: &Gateway, watched: &Watched, now: Division, wanted: Wanted, held: Held) {
    let fleet = gateway.fleet();
    emit(&Event::DivisionWanted {
        service: &fleet.info(watched.service).name,
        basis: wanted.basis.name(),
        readers: now.readers,
        generators: now.generators,
        changes: wanted.changes,
        reading: watched.demand.reading,
        generating: watched.demand.generating,
        peak: watched.demand.peak,
        token: held.token,
    });
}

/// The engines that change: from the zone that has the most like them, and there
/// those with the least to do, so that each zone keeps some of each.
fn pick(fleet: &Fleet, service: ServiceKey, wanted: Wanted) -> Vec<Target> {
    let to_read = wanted.stage == Stage::Prefill;
    let fit = engines(fleet, service).filter(|(_, u)| u.reads_only() != to_read);
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

/// Gives one engine its order; says whether it may be carried out.
async fn order(gateway: &Arc<Gateway>, target: &Target, stage: Stage, held: Held) -> bool {
    let pool = Pool::new(target.addr, ENGINE_TIMEOUT).metered(&gateway.upstream_bytes);
    let report = match report(&pool).await {
        Ok(report) => report,
        Err(why) => return told(target, stage, held, None, &why, false),
    };
    if target.start.is_some() && report.start != target.start {
        // Its counts are of the one start, what the registry says is of the other.
        return told(target, stage, held, Some(report), "another start", false);
    }
    if report.is_busy {
        return told(target, stage, held, Some(report), "busy", false);
    }
    if report.stage == Some(stage) {
        return told(target, stage, held, Some(report), "has it", true);
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
        return told(target, stage, held, Some(report), "can't be built", false);
    };
    if !held.is_valid(Instant::now()) {
        return told(target, stage, held, Some(report), "lease is over", false);
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
    told(target, stage, held, Some(report), &outcome, may_run)
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

/// Logs what came of an order; gives whether it may be carried out.
fn told(
    target: &Target,
    stage: Stage,
    held: Held,
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
