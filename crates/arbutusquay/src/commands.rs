//! The commands.

pub mod apply;
pub mod check;
pub mod explain;
pub mod process;
pub mod report;
pub mod show;
pub mod status;

use crate::exit::Exit;
use conf::Settings;
use std::path::Path;
use store::HttpPlatform;

/// Reads a file, or says why not.
fn read(path: &Path) -> Result<String, Exit> {
    std::fs::read_to_string(path).map_err(|e| {
        eprintln!("{}: {e}", path.display());
        Exit::Usage
    })
}

/// Reads a settings file, or prints its faults.
fn settings(path: &Path) -> Result<Settings, Exit> {
    Settings::parse(&read(path)?).map_err(|faults| {
        print_faults(path, &faults);
        Exit::Usage
    })
}

/// Reads a settings file for the platform's clients.
fn platform(path: &Path) -> Result<HttpPlatform, Exit> {
    Ok(HttpPlatform::new(&settings(path)?.platform))
}

fn print_faults(path: &Path, faults: &conf::Faults) {
    for fault in faults.all() {
        eprintln!("{}:{fault}", path.display());
    }
}

/// Says that the platform wasn't reached.
fn report_unreachable(e: &store::Error) -> Exit {
    eprintln!("{e}");
    Exit::Unreachable
}
