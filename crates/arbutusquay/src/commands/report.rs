//! `report`: prints the outcomes of a service's requests.

use super::{platform, report_unreachable};
use crate::args::ReportArgs;
use crate::exit::Exit;
use conf::yaml::parse_duration;
use observe::log_line::now_ms;
use records::read_report;

/// Prints a service's report.
pub async fn run(args: &ReportArgs) -> Exit {
    let since_ms = match args.since.as_deref().map(parse_duration) {
        None => 0,
        Some(Some(d)) => now_ms().saturating_sub(d.as_millis() as u64),
        Some(None) => {
            eprintln!("--since takes a duration with a unit, such as 30m or 24h");
            return Exit::Usage;
        }
    };
    let objects = match platform(&args.settings) {
        Ok(objects) => objects,
        Err(exit) => return exit,
    };
    match read_report(&objects, &args.service, since_ms).await {
        Ok(report) if args.json => {
            let text = serde_json::to_string(&report).expect("reports always encode");
            println!("{text}");
            Exit::Done
        }
        Ok(report) => {
            print!("{report}");
            Exit::Done
        }
        Err(e) => report_unreachable(&e),
    }
}
