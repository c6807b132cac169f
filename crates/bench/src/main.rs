//! Command line of the bench: the demo, a system for manual tests, and measurements.

use argh::FromArgs;
use bench::load::LoadOptions;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Demo, load tool and measurements of arbutusquay, on loopback addresses only.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(DemoArgs),
    Up(UpArgs),
    Load(LoadArgs),
    Slopes(SlopesArgs),
    Faults(FaultsArgs),
    Capacity(CapacityArgs),
    Inforce(InforceArgs),
    Outage(OutageArgs),
    Gateway(GatewayArgs),
    Recover(RecoverArgs),
    Restore(RestoreArgs),
    Keys(KeysArgs),
    Takeups(TakeupsArgs),
}

/// run both deployments under a mixed load, kill and drain agents, and check the answers
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {}

/// measure how long many gateways take to serve again after all of them were killed
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "recover")]
struct RecoverArgs {
    /// number of gateways; the default is 190
    #[argh(option, default = "190")]
    hosts: usize,
    /// number of upstreams in the registry; the default is 3,000
    #[argh(option, default = "3000")]
    upstreams: usize,
}

/// count the calls that hosts make to the store after it is restored from a copy
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "restore")]
struct RestoreArgs {
    /// number of hosts; the default is 30
    #[argh(option, default = "30")]
    hosts: usize,
    /// restore from a copy that was made before the hosts started
    #[argh(switch)]
    starts: bool,
}

/// count streams that clients took up again after all hosts were killed, in a log of all hosts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "takeups")]
struct TakeupsArgs {
    /// log of all hosts, a line an event: time in seconds, host, event in JSON
    #[argh(positional)]
    log: PathBuf,
    /// times of the kills in seconds, separated by commas
    #[argh(option, from_str_fn(parse_times))]
    kills: Times,
}

/// Times in seconds.
#[derive(Debug)]
struct Times(Vec<f64>);

fn parse_times(text: &str) -> Result<Times, String> {
    let times: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
    times.map(Times).map_err(|e| e.to_string())
}

/// measure the cost of API keys of tenants in a gateway
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
struct KeysArgs {
    /// number of tenants, with two keys each; the default is 28,000
    #[argh(option, default = "28_000")]
    tenants: usize,
}

/// measure the cost of a gateway per request, compared to direct requests to its worker
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
struct GatewayArgs {
    /// number of requests of each kind (default 10000)
    #[argh(option, default = "10_000")]
    requests: usize,
    /// bytes of each request body (default 608)
    #[argh(option, default = "608")]
    body: usize,
    /// make an upstream end during another request first, so that each request is looked up
    #[argh(switch)]
    suspect: bool,
    /// number of parts of each request's prompt (default 0)
    #[argh(option, default = "0")]
    parts: usize,
}

impl GatewayArgs {
    fn load(&self) -> bench::gateway::Load {
        bench::gateway::Load {
            requests: self.requests,
            body: "x".repeat(self.body),
            parts: self.parts,
        }
    }
}

/// run both deployments until Ctrl-C, and print example commands
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "up")]
struct UpArgs {}

/// measure throughput, token times, and the latency added to that of a direct engine call
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// requests per second through the entry; the same number goes directly to engines (default
    /// 20)
    #[argh(option, default = "20")]
    rate: u32,
    /// duration in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u32,
    /// tokens per answer (default 60)
    #[argh(option, default = "60")]
    tokens: u32,
    /// bytes per prompt (default 400)
    #[argh(option, default = "400")]
    prompt: usize,
    /// start a system with one entry, instead of using that of `up`
    #[argh(switch)]
    start: bool,
    /// duration of an engine step in milliseconds, with --start (default 5)
    #[argh(option, default = "5")]
    step_ms: u64,
}

/// measure the cost of each role as a function of the system's size, and print the slopes as JSON
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopesArgs {
    /// measure only this variable: agents, entries, requests, tenants, documents or changes
    #[argh(option)]
    only: Option<String>,
    /// seconds per measurement (default 8)
    #[argh(option, default = "8")]
    seconds: u32,
}

/// run a mixed load under random faults and check the history; a seed determines the schedule
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
struct FaultsArgs {
    /// seed of the schedule and the request mix
    #[argh(option)]
    seed: u64,
    /// duration of the faults in seconds (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
}

/// recompute the rows of the capacity page from docs/slopes.json, and print them as a table
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityArgs {}

/// measure the time from apply until a document is in force in every process
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "inforce")]
struct InforceArgs {
    /// number of changes (default 20)
    #[argh(option, default = "20")]
    changes: u32,
}

/// measure the answers before, during and after an outage of the platform's stores
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "outage")]
struct OutageArgs {
    /// duration of the outage in seconds (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args.command).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command; returns false if a guarantee or the measurement failed.
async fn run(command: Command) -> io::Result<bool> {
    match command {
        Command::Demo(_) => {
            let verdict = bench::demo::run().await?;
            println!("{}", serde_json::to_string(&verdict)?);
            Ok(verdict.violations() == 0)
        }
        Command::Up(_) => {
            bench::up::run().await?;
            Ok(true)
        }
        Command::Slopes(a) => {
            let slopes = bench::slopes::run(a.only.as_deref(), a.seconds).await?;
            println!("{}", serde_json::to_string_pretty(&slopes)?);
            Ok(true)
        }
        Command::Faults(a) => {
            let verdict = bench::faults::run(a.seed, a.seconds).await?;
            println!("{}", serde_json::to_string(&verdict)?);
            Ok(verdict.violations() == 0)
        }
        Command::Recover(a) => {
            let measured = bench::recover::run(a.hosts, a.upstreams).await?;
            for figures in &measured {
                println!("{}", serde_json::to_string(figures)?);
            }
            Ok(measured.iter().all(|figures| figures.served == a.hosts))
        }
        Command::Restore(a) => {
            let figures = bench::restore::run(a.hosts, a.starts).await?;
            println!("{}", serde_json::to_string(&figures)?);
            Ok(figures.rows_after >= figures.rows_before)
        }
        Command::Gateway(a) => {
            for figures in bench::gateway::run(&a.load(), a.suspect).await? {
                println!("{}", serde_json::to_string(&figures)?);
            }
            Ok(true)
        }
        Command::Keys(a) => {
            let measured = bench::keys::run(a.tenants)?;
            println!("{}", serde_json::to_string(&measured)?);
            Ok(true)
        }
        Command::Takeups(a) => {
            let log = std::fs::read(&a.log)?;
            let events = bench::takeups::read(&String::from_utf8_lossy(&log));
            for counts in bench::takeups::count(&events, &a.kills.0) {
                println!("{}", serde_json::to_string(&counts)?);
            }
            Ok(true)
        }
        Command::Capacity(_) => bench::capacity::update_page().map(|()| true),
        Command::Inforce(a) => {
            let measured = bench::inforce::run(a.changes).await?;
            println!("{}", serde_json::to_string(&measured)?);
            Ok(true)
        }
        Command::Outage(a) => {
            let measured = bench::outage::run(a.seconds).await?;
            println!("{}", serde_json::to_string(&measured)?);
            Ok(measured.lost_records == 0)
        }
        Command::Load(a) => {
            let options = LoadOptions {
                rate: a.rate,
                seconds: a.seconds,
                tokens: a.tokens,
                prompt: a.prompt,
                step_ms: a.step_ms,
                start: a.start,
            };
            let measured = bench::load::run(&options).await?;
            println!("{}", serde_json::to_string(&measured)?);
            Ok(measured.through.failed == 0)
        }
    }
}
