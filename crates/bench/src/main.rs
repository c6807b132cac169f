//! The bench: demo, a system to try, and measurements.

use argh::FromArgs;
use std::io;
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
}

/// run both deployments under a mixed load, kill and drain agents, and judge what callers got
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {}

/// run both deployments until Ctrl-C, and print lines to try
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "up")]
struct UpArgs {}

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

/// Runs a command; gives whether what must hold held.
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
    }
}
