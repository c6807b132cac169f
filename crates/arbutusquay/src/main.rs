//! arbutusquay: serves language-model services on a fixed fleet of engines.
//!
//! One binary runs the processes `entry`, `agent` and `gateway`, and the operator commands.

mod args;
mod commands;
mod exit;

use args::{Command, parse};
use exit::Exit;
use std::process::ExitCode;
use tokio::runtime::Builder;

fn main() -> ExitCode {
    let args = match parse() {
        Ok(args) => args,
        Err(exit) => return exit.into(),
    };
    let runtime = match runtime(&args.command).enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("can't start the runtime: {e}");
            return Exit::Unreachable.into();
        }
    };
    runtime.block_on(run(args.command)).into()
}

/// Chooses the runtime of a command. A gateway gets a fraction of one core, on which several
/// threads would only alternate and wake each other.
fn runtime(command: &Command) -> Builder {
    match command {
        Command::Gateway(_) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    }
}

async fn run(command: Command) -> Exit {
    match command {
        Command::Entry(a) => commands::process::entry(&a.settings).await,
        Command::Agent(a) => commands::process::agent(&a.settings).await,
        Command::Gateway(_) => commands::process::gateway().await,
        Command::Check(a) => commands::check::run(&a.file),
        Command::Apply(a) => commands::apply::run(&a).await,
        Command::Show(a) => commands::show::run(&a).await,
        Command::Status(a) => commands::status::run(&a).await,
        Command::Report(a) => commands::report::run(&a).await,
        Command::Explain(a) => commands::explain::run(&a),
    }
}
