//! The processes `entry` and `agent`.

use super::settings;
use crate::exit::Exit;
use conf::Settings;
use net::Stop;
use node::StartError;
use std::path::Path;
use tokio::signal::unix::{SignalKind, signal};

/// Runs an entry.
pub async fn entry(path: &Path) -> Exit {
    let settings = match start(path) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    end(entry::run(settings, stop_on_signal()).await)
}

/// Runs an agent.
pub async fn agent(path: &Path) -> Exit {
    let settings = match start(path) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    end(agent::run(settings, stop_on_signal()).await)
}

fn start(path: &Path) -> Result<Settings, Exit> {
    let settings = settings(path)?;
    observe::init(&settings.name);
    Ok(settings)
}

fn end(ended: Result<(), StartError>) -> Exit {
    match ended {
        Ok(()) => Exit::Done,
        Err(e @ StartError::Bind(..)) => {
            eprintln!("{e}");
            Exit::Refused
        }
        Err(e @ StartError::Settings(_)) => {
            eprintln!("{e}");
            Exit::Usage
        }
    }
}

/// A stop that SIGTERM and SIGINT give.
fn stop_on_signal() -> Stop {
    let stop = Stop::default();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signal = signal(kind).expect("a handler for a plain signal can be set");
        let stop = stop.clone();
        tokio::spawn(async move {
            signal.recv().await;
            stop.stop();
        });
    }
    stop
}
