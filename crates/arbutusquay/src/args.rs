//! Command-line arguments.

use crate::exit::Exit;
use argh::{EarlyExit, FromArgs};
use std::path::PathBuf;

/// Serves language-model services on a fixed fleet of engines.
///
/// Exit codes: 0 done; 1 refused by the system (a conflict, not accepted);
/// 2 wrong usage, or an invalid document or settings file; 3 platform
/// unreachable, or outcome unknown.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands of the binary.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs an entry.
    Entry(EntryArgs),
    /// Runs an agent.
    Agent(AgentArgs),
    /// Runs a gateway.
    Gateway(GatewayArgs),
    /// Checks a document.
    Check(CheckArgs),
    /// Puts a document in force.
    Apply(ApplyArgs),
    /// Prints the document of a service.
    Show(ShowArgs),
    /// Prints the system's status.
    Status(StatusArgs),
    /// Prints a service's report.
    Report(ReportArgs),
    /// Prints the log lines about a request.
    Explain(ExplainArgs),
}

/// run an entry, which accepts callers' requests and routes each to an upstream
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryArgs {
    /// settings file of this process
    #[argh(option)]
    pub settings: PathBuf,
}

/// run an agent, through which all requests to its upstream pass
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct AgentArgs {
    /// settings file of this process
    #[argh(option)]
    pub settings: PathBuf,
}

/// run a gateway on the users' platform, which accepts clients' requests and passes each
/// directly to an upstream. An environment variable of the platform names the settings file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArgs {}

/// check a document and print all its faults with line and column, without applying it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// put a document in force, unless it was changed since it was read. The version that was
/// read is given by the line `# version: N` in the file, as `show` writes it, or by --over.
/// Use 0 for a service's first document
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// the document
    #[argh(positional)]
    pub file: PathBuf,
    /// settings file, for the platform's addresses
    #[argh(option)]
    pub settings: PathBuf,
    /// version that was read, instead of the file's version line
    #[argh(option)]
    pub over: Option<u64>,
}

/// print the document of a service, with its version, ready to be edited and applied
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// the service
    #[argh(positional)]
    pub service: String,
    /// settings file, for the platform's addresses
    #[argh(option)]
    pub settings: PathBuf,
}

/// print documents in force, upstreams and their roles, leaving hosts, and the current planner
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// settings file, for the platform's addresses and the services
    #[argh(option)]
    pub settings: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// print how many requests were served, refused, delayed or had an unknown outcome, and why
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// the service
    #[argh(option)]
    pub service: String,
    /// include only requests that ended within this duration before now, such as 30m or 24h
    #[argh(option)]
    pub since: Option<String>,
    /// settings file, for the platform's addresses
    #[argh(option)]
    pub settings: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// print the log lines of several processes about a request, in order of time, with what these
/// processes logged about its upstreams and their dependencies meanwhile; or the log lines about
/// a usage window
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request's id, or window:NUMBER
    #[argh(positional)]
    pub id: String,
    /// log files of the processes
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Parses the command line. The exit code is 0 after help and 2 after wrong usage.
pub fn parse() -> Result<Args, Exit> {
    let args: Vec<String> = std::env::args().collect();
    let rest: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    match Args::from_args(&["arbutusquay"], &rest) {
        Ok(args) => Ok(args),
        Err(EarlyExit {
            output,
            status: Ok(()),
        }) => {
            println!("{output}");
            Err(Exit::Done)
        }
        Err(EarlyExit {
            output,
            status: Err(()),
        }) => {
            eprintln!("{output}");
            Err(Exit::Usage)
        }
    }
}
