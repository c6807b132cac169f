//! `demo`: both deployments under a mixed load, with an agent killed and another drained.

use crate::caller::{Caller, Sent};
use crate::check::History;
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

/// Requests a second of each deployment.
const RATE: u32 = 40;
/// How long the load goes on.
const LENGTH: Duration = Duration::from_secs(14);
/// Seed of the mix.
const SEED: u64 = 1;

/// Runs the demo; gives the verdict over both deployments.
pub async fn run() -> io::Result<Verdict> {
    let binary = build_binary().await?;
    let mut parts = JoinSet::new();
    for deployment in ALL {
        let options = Options::new(binary.clone(), deployment);
        parts.spawn(one(deployment, options));
    }
    let mut verdict = Verdict::default();
    while let Some(part) = parts.join_next().await {
        verdict.add(&part.map_err(io::Error::other)??);
    }
    Ok(verdict)
}

async fn one(deployment: Deployment, options: Options) -> io::Result<Verdict> {
    let mut site = Site::start(deployment, options).await?;
    println!(
        "{}: {} processes ready",
        deployment.name(),
        site.workers.len() + site.entries.len()
    );
    let callers = tokio::spawn(load(deployment, site.entry_addrs(), RATE, LENGTH, SEED));
    disturb(&mut site).await?;
    let sent = callers.await.map_err(io::Error::other)?;
    let status = site.command(&["status"]).await?;
    println!("{}{}", status.stdout, status.stderr);
    site.stop().await?;
    let mut history = History {
        sent,
        ..History::default()
    };
    read_standins(&site, &mut history);
    let mut verdict = judge(&history, &site.docs);
    verdict.lost_records = print_reports(&site, verdict.requests).await?;
    Ok(verdict)
}

/// Kills an agent and starts it again, and drains another.
async fn disturb(site: &mut Site) -> io::Result<()> {
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
    tokio::time::sleep(LENGTH / 5).await;
    println!("killing {}", site.workers[killed].agent.name);
    site.workers[killed].agent.kill().await?;
    tokio::time::sleep(LENGTH / 10).await;
    println!("restarting {}", site.workers[killed].agent.name);
    site.restart_agent(killed)?;
    tokio::time::sleep(LENGTH / 10).await;
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

/// An open load: requests begin at their time whatever becomes of those before.
pub async fn load(
    deployment: Deployment,
    entries: Vec<SocketAddr>,
    rate: u32,
    length: Duration,
    seed: u64,
) -> Vec<Sent> {
    let callers: Vec<Caller> = entries.into_iter().map(Caller::new).collect();
    let mut mix = Mix::new(deployment, seed);
    let mut clock = tokio::time::interval(Duration::from_secs(1) / rate);
    let mut calls = JoinSet::new();
    let until = tokio::time::Instant::now() + length;
    let mut n = 0;
    while clock.tick().await < until {
        let caller = callers[n % callers.len()].clone();
        n += 1;
        let ask = mix.draw();
        calls.spawn(async move { caller.send(ask).await });
    }
    let mut sent = Vec::new();
    while let Some(call) = calls.join_next().await {
        // A caller that panicked is a fault of the bench, and would be a missing request.
        sent.push(call.expect("callers don't panic"));
    }
    sent
}

/// Prints the services' reports; gives the requests that no report has.
async fn print_reports(site: &Site, sent: u64) -> io::Result<u64> {
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
    Ok(sent.saturating_sub(reported))
}
