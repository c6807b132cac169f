//! Makes decided reports known to other processes, over HTTP on the port for peers.
//!
//! A report is stored before it is sent, but a store that is restored from a copy may lose it. If its
//! process is lost too, another one would decide the window again, with other counts. A report is
//! therefore announced to processes that may take over, and a process that takes over in a new era
//! asks all others what they know.

use super::message::LastDecision;
use super::transfer::call;
use crate::monotonic;
use crate::state::Gateway;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use net::{Body, empty, full};
use observe::{Event, emit};
use platform::usage::UsageReport;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Path of requests about the last report that a process knows.
pub const PATH: &str = "/usage/decided";
/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Number of processes to which a report is announced, so that one of them may be lost as well.
const RECEIVERS: usize = 2;
/// Maximum size of a report: one of 28,000 tenants has about 600 KB.
const MAX_BYTES: usize = 8 << 20;
/// Maximum number of processes that are asked at once.
const MAX_CONCURRENT: usize = 64;
/// Number of times that a process which doesn't answer is asked.
const ATTEMPTS: u32 = 2;
/// Maximum number of processes without an answer that are logged.
const MAX_SILENT_LOGGED: usize = 12;

/// Result of announcing a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announced {
    /// Another process knows the report now.
    Confirmed,
    /// No other process runs, as far as this one knows.
    Alone,
    /// No process has confirmed it.
    Unconfirmed,
}

/// What all processes know of reports that the store may have lost.
#[derive(Debug)]
pub struct Survey {
    /// Whether all processes have answered that may have decided a report of the surveyed windows.
    pub is_complete: bool,
    /// The last report that is known.
    pub report: Option<UsageReport>,
}

/// Announces a report to the first live processes, which take over if this one is lost.
pub async fn announce(gateway: &Arc<Gateway>, report: &UsageReport) -> Announced {
    let to: Vec<IpAddr> = {
        let peers = gateway.peers();
        let live = peers.live(monotonic::now()).map(|(peer, _)| peer.ip);
        live.take(RECEIVERS).collect()
    };
    if to.is_empty() {
        return Announced::Alone;
    }
    let calls = to.into_iter().map(|ip| {
        let (gateway, report) = (gateway.clone(), report.clone());
        async move {
            let is_recorded = call::<bool>(&gateway, ip, Method::PUT, PATH, &report, TIMEOUT).await;
            (ip, is_recorded)
        }
    });
    let mut result = Announced::Unconfirmed;
    for (ip, is_recorded) in calls.collect::<JoinSet<_>>().join_all().await {
        let why = match is_recorded {
            Ok(true) => {
                result = Announced::Confirmed;
                continue;
            }
            Ok(false) => "it is stopping, or knows a later report".to_owned(),
            Err(why) => why,
        };
        let peer = ip.to_string();
        emit(&Event::UsageNotSent { peer, why });
    }
    result
}

/// Announces the last known report, as this process exits and may be the only one that knows it.
pub async fn hand_over(gateway: &Arc<Gateway>) {
    if let Some(report) = gateway.usage.decided() {
        announce(gateway, &report).await;
    }
}

/// Asks all processes for the last report that they know. Windows that ended at `since` or later may
/// have been decided unknown to this process.
pub async fn survey(gateway: &Arc<Gateway>, since: Instant) -> Survey {
    let (mut silent, is_membership_known) = {
        let peers = gateway.peers();
        (peers.addresses(), peers.is_membership_known())
    };
    let asked = silent.len();
    let mut answers: Vec<(IpAddr, LastDecision)> = Vec::new();
    for _ in 0..ATTEMPTS {
        for some in std::mem::take(&mut silent).chunks(MAX_CONCURRENT) {
            let calls = some.iter().copied().map(|ip| {
                let gateway = gateway.clone();
                async move {
                    let answer = call(&gateway, ip, Method::GET, PATH, &(), TIMEOUT);
                    (ip, answer.await)
                }
            });
            for (ip, answer) in calls.collect::<JoinSet<_>>().join_all().await {
                match answer {
                    Ok(answer) => answers.push((ip, answer)),
                    Err(_) => silent.push(ip),
                }
            }
        }
    }
    let now = monotonic::now();
    let was_running = |answer: &LastDecision| {
        let started_at = now.checked_sub(Duration::from_millis(answer.running_ms));
        started_at.is_none_or(|at| at <= since)
    };
    let restarted = answers.iter().filter(|(_, answer)| !was_running(answer));
    let restarted = restarted.count() + usize::from(gateway.usage.started_at > since);
    let mut is_complete = is_membership_known && silent.is_empty() && restarted == 0;
    let mut report = gateway.usage.decided();
    let known = gateway.usage.last_decided();
    let latest = answers.iter().max_by_key(|(_, answer)| answer.report);
    if let Some((ip, _)) = latest.filter(|(_, answer)| answer.report > known) {
        match call(gateway, *ip, Method::POST, PATH, &(), TIMEOUT).await {
            Ok(Some(latest)) => report = Some(latest),
            Ok(None) | Err(_) => is_complete = false,
        }
    }
    silent.truncate(MAX_SILENT_LOGGED);
    emit(&Event::UsageSurveyed {
        asked,
        restarted,
        silent: silent.iter().map(IpAddr::to_string).collect(),
        window: report.as_ref().map(|report| report.window),
        is_complete,
    });
    Survey {
        is_complete,
        report,
    }
}

/// Handles a request of another process.
pub async fn handle_request(gateway: &Gateway, req: Request<Incoming>) -> Response<Body> {
    let method = req.method().clone();
    let body = Limited::new(req.into_body(), MAX_BYTES).collect().await;
    let usage = &gateway.usage;
    let answer = match (method, body) {
        (Method::GET, _) => Some(wire::encode_compact(&LastDecision {
            running_ms: monotonic::elapsed(usage.started_at).as_millis() as u64,
            report: usage.last_decided(),
        })),
        (Method::POST, _) => Some(wire::encode_compact(&usage.decided())),
        (Method::PUT, Ok(body)) => wire::decode::<UsageReport>(&body.to_bytes()).map(|report| {
            // A process that exits would soon forget it.
            let is_recorded = !gateway.stop.is_stopped() && usage.record_decided(&report);
            wire::encode_compact(&is_recorded)
        }),
        _ => None,
    };
    match answer {
        Some(body) => Response::new(full(body)),
        None => {
            let mut res = Response::new(empty());
            *res.status_mut() = StatusCode::BAD_REQUEST;
            res
        }
    }
}
