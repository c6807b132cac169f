//! `demo`: runs both deployments under a mixed load while agents are killed and drained.

use crate::check::History;
use crate::client::{Call, Client};
use crate::deploy::{ALL, Deployment};
use crate::gather::read_standins;
use crate::judge::{Verdict, judge};
use crate::mix::Mix;
use crate::procs::build_binary;
use crate::site::{Options, Site, UpstreamStandin};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

/// Request rate per deployment.
const REQUESTS_PER_S: u32 = 40;
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(14);
/// Seed of the request mix.
const MIX_SEED: u64 = 1;

/// Runs the demo and returns the verdict for both deployments together.
pub async fn run() -> io::Result<Verdict> {
    let binary = build_binary().await?;
    let mut parts = JoinSet::new();
    for deployment in ALL {
        let options = Options::new(binary.clone(), deployment);
        parts.spawn(run_deployment(deployment, options));
    }
    let mut verdict = Verdict::default();
    while let Some(part) = parts.join_next().await {
        verdict.add(&part.map_err(io::Error::other)??);
    }
    Ok(verdict)
}

async fn run_deployment(deployment: Deployment, options: Options) -> io::Result<Verdict> {
    let mut site = Site::start(deployment, options).await?;
    println!(
        "{}: {} processes ready",
        deployment.name(),
        site.workers.len() + site.entries.len()
    );
    let clients = tokio::spawn(run_load(
        deployment,
        site.entry_addrs(),
        REQUESTS_PER_S,
        LOAD_DURATION,
        MIX_SEED,
    ));
    inject_faults(&mut site).await?;
    let calls = clients.await.map_err(io::Error::other)?;
    let status = site.command(&["status"]).await?;
    println!("{}{}", status.stdout, status.stderr);
    site.stop().await?;
    let mut history = History {
        calls,
        ..History::default()
    };
    read_standins(&site, &mut history);
    let mut verdict = judge(&history, &site.docs);
    verdict.lost_records = print_reports(&site, verdict.requests).await?;
    Ok(verdict)
}

/// Kills and restarts an agent, and drains another.
async fn inject_faults(site: &mut Site) -> io::Result<()> {
    let engine = |w: &crate::site::Worker| matches!(w.standin, UpstreamStandin::Engine(_));
    let engines: Vec<usize> = (0..site.workers.len())
        .filter(|i| engine(&site.workers[*i]))
        .collect();
    let plains: Vec<usize> = (0..site.workers.len())
        .filter(|i| !engines.contains(i))
        .collect();
    let (Some(&killed), Some(&drained)) = (engines.first(), engines.last()) else {
        return Ok(());
    };
    tokio::time::sleep(LOAD_DURATION / 5).await;
    println!("killing {}", site.workers[killed].agent.name);
    site.workers[killed].agent.kill().await?;
    tokio::time::sleep(LOAD_DURATION / 10).await;
    println!("restarting {}", site.workers[killed].agent.name);
    site.restart_agent(killed)?;
    tokio::time::sleep(LOAD_DURATION / 10).await;
    println!("draining {}", site.workers[drained].agent.name);
    site.workers[drained].agent.stop().await?;
    println!("{} has ended", site.workers[drained].agent.name);
    if let Some(&plain) = plains.first() {
        println!("killing and restarting {}", site.workers[plain].agent.name);
        site.workers[plain].agent.kill().await?;
        site.restart_agent(plain)?;
    }
    Ok(())
}

/// Generates an open-loop load: requests start on schedule whether or not earlier ones have
/// ended.
pub async fn run_load(
    deployment: Deployment,
    entries: Vec<SocketAddr>,
    rate: u32,
    length: Duration,
    seed: u64,
) -> Vec<Call> {
    let clients: Vec<Client> = entries.into_iter().map(Client::new).collect();
    let mut mix = Mix::new(deployment, seed);
    let mut clock = tokio::time::interval(Duration::from_secs(1) / rate);
    let mut tasks = JoinSet::new();
    let until = tokio::time::Instant::now() + length;
    let mut n = 0;
    while clock.tick().await < until {
        let client = clients[n % clients.len()].clone();
        n += 1;
        let request = mix.next_request();
        tasks.spawn(async move { client.send(request).await });
    }
    let mut calls = Vec::new();
    while let Some(call) = tasks.join_next().await {
        // A panic in a client is a bug in the bench and would hide a request.
        calls.push(call.expect("client tasks don't panic"));
    }
    calls
}

/// Prints the reports of all services; returns the number of requests that are in no report.
async fn print_reports(site: &Site, calls: u64) -> io::Result<u64> {
    let mut reported = 0;
    for doc in &site.docs {
        let table = site.command(&["report", "--service", &doc.service]).await?;
        println!("{}{}", table.stdout, table.stderr);
        let json = site
            .command(&["report", "--service", &doc.service, "--json"])
            .await?;
        let report: serde_json::Value = serde_json::from_str(&json.stdout)?;
        reported += report["all"]["requests"].as_u64().unwrap_or(0);
    }
    Ok(calls.saturating_sub(reported))
}
