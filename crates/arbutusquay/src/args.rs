//! The command line.

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
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// The entry process.
    Entry(EntryArgs),
    /// The agent process.
    Agent(AgentArgs),
    /// The gateway process.
    Gateway(GatewayArgs),
    /// Checks a document.
    Check(CheckArgs),
    /// Applies a document.
    Apply(ApplyArgs),
    /// Shows a document.
    Show(ShowArgs),
    /// Shows the system's status.
    Status(StatusArgs),
    /// Prints a service's report.
    Report(ReportArgs),
    /// Prints a request's way through the logs.
    Explain(ExplainArgs),
}

/// run an entry: take callers' requests and choose an upstream for each
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryArgs {
    /// settings file of this process
    #[argh(option)]
    pub settings: PathBuf,
}

/// run an agent: the one way to its upstream
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct AgentArgs {
    /// settings file of this process
    #[argh(option)]
    pub settings: PathBuf,
}

/// run a gateway on the users' platform: take clients' requests and pass each
/// straight to an upstream. The platform's variable names the settings file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArgs {}

/// check a document and print all its faults with line and column; changes nothing
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// put a document in force, if nobody has changed it since it was read. The
/// version that was read stands in the file's line `# version: N`, as `show`
/// writes it, or is given by --over; a service's first document goes over 0
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// the document
    #[argh(positional)]
    pub file: PathBuf,
    /// settings file, for the platform's addresses
    #[argh(option)]
    pub settings: PathBuf,
    /// version that was read, in place of the file's line
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

/// print documents in force, upstreams and their roles, leaving hosts, and who plans
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

/// print who was served, refused, delayed and unknown, and why
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// the service
    #[argh(option)]
    pub service: String,
    /// only requests that ended in the last so-long, such as 30m or 24h
    #[argh(option)]
    pub since: Option<String>,
    /// settings file, for the platform's addresses
    #[argh(option)]
    pub settings: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// print a request's way through the logs of several processes, in order of time,
/// with what they believed of its upstreams and of their dependencies meanwhile; or
/// what became of a window of usage
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request's id, or window:NUMBER
    #[argh(positional)]
    pub id: String,
    /// files with the processes' logs
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Reads the command line. Help ends with 0, wrong usage with 2.
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
