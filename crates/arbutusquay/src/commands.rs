//! The commands of the binary, and what they share.

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

/// Reads a file. Prints the error if that fails.
fn read(path: &Path) -> Result<String, Exit> {
    std::fs::read_to_string(path).map_err(|e| {
        eprintln!("{}: {e}", path.display());
        Exit::Usage
    })
}

/// Reads a settings file. Prints its errors if it is invalid.
fn settings(path: &Path) -> Result<Settings, Exit> {
    Settings::parse(&read(path)?).map_err(|errors| {
        print_errors(path, &errors);
        Exit::Usage
    })
}

/// Creates a client for the platform that a settings file names.
fn platform(path: &Path) -> Result<HttpPlatform, Exit> {
    Ok(HttpPlatform::new(&settings(path)?.platform))
}

fn print_errors(path: &Path, errors: &conf::ParseErrors) {
    for error in errors.all() {
        eprintln!("{}:{error}", path.display());
    }
}

/// Prints an error of a call to the platform.
fn report_unreachable(e: &store::Error) -> Exit {
    eprintln!("{e}");
    Exit::Unreachable
}
