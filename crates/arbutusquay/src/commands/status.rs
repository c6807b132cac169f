//! `status`: prints documents in force, upstreams and their roles, leaving hosts and planners.

use super::{report_unreachable, settings};
use crate::args::StatusArgs;
use crate::exit::Exit;
use conf::{Doc, Settings};
use hyper::Method;
use net::Peer;
use plan::DUTY;
use serde::Serialize;
use std::fmt;
use std::time::Duration;
use store::rows::{Desired, Lease, decode, desired_key, doc_key, lease_key};
use store::{Error, HostState, Hosts, HttpPlatform, Row, Table};
use wire::{AgentState, AgentStatus, PATH_STATUS};

/// Longest wait for an agent's status.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Largest status of an agent, in bytes.
const MAX_STATUS: usize = 64 << 10;

/// Status of the system.
#[derive(Debug, Serialize)]
struct Status {
    services: Vec<ServiceStatus>,
    leaving_hosts: Vec<String>,
}

/// Status of a service.
#[derive(Debug, Serialize)]
struct ServiceStatus {
    service: String,
    version: Option<u64>,
    planner: Option<String>,
    epoch: Option<u64>,
    upstreams: Vec<UpstreamStatus>,
}

/// Status of an upstream.
#[derive(Debug, Serialize)]
struct UpstreamStatus {
    name: String,
    zone: String,
    desired: Option<Desired>,
    agent: Option<AgentStatus>,
}

/// Prints the status.
pub async fn run(args: &StatusArgs) -> Exit {
    let settings = match settings(&args.settings) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    match collect(&settings).await {
        Ok(status) if args.json => {
            let text = serde_json::to_string(&status).expect("a status always encodes");
            println!("{text}");
            Exit::Done
        }
        Ok(status) => {
            print!("{status}");
            Exit::Done
        }
        Err(e) => report_unreachable(&e),
    }
}

async fn collect(settings: &Settings) -> Result<Status, Error> {
    let platform = HttpPlatform::new(&settings.platform);
    let mut services = Vec::new();
    for service in &settings.services {
        services.push(service_status(&platform, service).await?);
    }
    // The host list is a separate service. If it fails, the rest of the status is still printed.
    let hosts = platform
        .hosts(0)
        .await
        .ok()
        .and_then(|l| l.hosts)
        .unwrap_or_default();
    let leaving = hosts.into_iter().filter(|h| h.state == HostState::Leaving);
    Ok(Status {
        services,
        leaving_hosts: leaving.map(|h| h.name).collect(),
    })
}

async fn service_status(table: &HttpPlatform, service: &str) -> Result<ServiceStatus, Error> {
    let lease = lease_key(DUTY, service);
    let rows = table.read(vec![doc_key(service), lease.clone()]).await?;
    let find = |key: &str| rows.iter().find(|r| r.key == key);
    let row = find(&doc_key(service));
    let lease = find(&lease).and_then(|r| decode::<Lease>(&r.value));
    let doc = row.and_then(|r| Doc::parse(&r.value).ok());
    let upstreams = match &doc {
        Some(doc) => upstreams(table, doc).await?,
        None => Vec::new(),
    };
    Ok(ServiceStatus {
        service: service.to_owned(),
        version: row.map(|r| r.version),
        planner: lease.as_ref().map(|l| l.holder.clone()),
        epoch: lease.map(|l| l.epoch),
        upstreams,
    })
}

async fn upstreams(table: &HttpPlatform, doc: &Doc) -> Result<Vec<UpstreamStatus>, Error> {
    let key = |name: &str| desired_key(&doc.service, name);
    let desired_rows = table
        .read(doc.upstreams.iter().map(|u| key(&u.name)).collect())
        .await?;
    let requests: Vec<_> = doc
        .upstreams
        .iter()
        .map(|u| tokio::spawn(agent_status(u.agent)))
        .collect();
    let mut out = Vec::new();
    for (u, request) in doc.upstreams.iter().zip(requests) {
        let desired = |r: &&Row| r.key == key(&u.name);
        out.push(UpstreamStatus {
            name: u.name.clone(),
            zone: u.zone.clone(),
            desired: desired_rows
                .iter()
                .find(desired)
                .and_then(|r| decode(&r.value)),
            agent: request.await.ok().flatten(),
        });
    }
    Ok(out)
}

async fn agent_status(addr: std::net::SocketAddr) -> Option<AgentStatus> {
    let peer = Peer::new(addr, TIMEOUT);
    let answer = peer
        .call(Method::GET, PATH_STATUS, Vec::new(), MAX_STATUS, TIMEOUT)
        .await;
    wire::decode(&answer.ok()?.1)
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for s in &self.services {
            let version = s.version.map_or("none".to_owned(), |v| v.to_string());
            write!(f, "service {}: document version {version}", s.service)?;
            match (&s.planner, s.epoch) {
                (Some(p), Some(e)) if !p.is_empty() => writeln!(f, ", planner {p} (epoch {e})")?,
                _ => writeln!(f, ", no planner")?,
            }
            for u in &s.upstreams {
                writeln!(f, "  {u}")?;
            }
        }
        writeln!(f, "leaving hosts: {}", self.leaving_hosts.join(", "))
    }
}

impl fmt::Display for UpstreamStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<16} {:<14} ", self.name, self.zone)?;
        let Some(a) = &self.agent else {
            return write!(f, "agent doesn't answer");
        };
        let state = match a.state {
            AgentState::Starting => "starting",
            AgentState::Ready => "ready",
            AgentState::Leaving => "leaving",
        };
        let model = a.model.as_ref().map_or("-".to_owned(), |m| m.to_string());
        let role = format!("{:?}", a.role).to_lowercase();
        write!(
            f,
            "{state:<9} {role:<8} {model:<18} document {:<6} ",
            a.doc_version
        )?;
        write!(f, "waiting {:<4} running {:<4}", a.waiting, a.running)?;
        if let Some(desired) = &self.desired {
            write!(f, " order {} ({})", desired.order, desired.why)?;
        }
        match &a.fault {
            Some(fault) => write!(f, " fault: {fault}"),
            None => Ok(()),
        }
    }
}
