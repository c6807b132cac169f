//! The commands that run the processes `entry`, `agent` and `gateway`.

use super::settings;
use crate::exit::Exit;
use conf::Settings;
use net::Stop;
use node::StartError;
use platform::HostSettings;
use std::path::Path;
use tokio::signal::unix::{SignalKind, signal};

/// Signals that stop a gateway gracefully. SIGHUP makes it reload its settings.
const GATEWAY_STOP_SIGNALS: [SignalKind; 2] = [SignalKind::terminate(), SignalKind::interrupt()];
/// Signals that stop an entry or an agent gracefully. They don't reload settings, and without a
/// handler SIGHUP would kill them and abort their requests.
const STOP_SIGNALS: [SignalKind; 3] = [
    SignalKind::terminate(),
    SignalKind::interrupt(),
    SignalKind::hangup(),
];

/// Runs an entry.
pub async fn entry(path: &Path) -> Exit {
    let settings = match init_from_settings(path) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    finish(entry::run(settings, stop_on_signals(&STOP_SIGNALS)).await)
}

/// Runs an agent.
pub async fn agent(path: &Path) -> Exit {
    let settings = match init_from_settings(path) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    finish(agent::run(settings, stop_on_signals(&STOP_SIGNALS)).await)
}

/// Runs a gateway.
pub async fn gateway() -> Exit {
    let read =
        platform::settings::path().and_then(|path| Ok((HostSettings::read(path.clone())?, path)));
    let (host, path) = match read {
        Ok(read) => read,
        Err(e) => {
            eprintln!("{e}");
            return Exit::Usage;
        }
    };
    observe::init(&host.name);
    let ended = gateway::run(path, host, stop_on_signals(&GATEWAY_STOP_SIGNALS)).await;
    observe::flush();
    match ended {
        Ok(()) => Exit::Done,
        Err(e) => {
            eprintln!("{e}");
            Exit::Refused
        }
    }
}

fn init_from_settings(path: &Path) -> Result<Settings, Exit> {
    let settings = settings(path)?;
    observe::init(&settings.name);
    Ok(settings)
}

fn finish(ended: Result<(), StartError>) -> Exit {
    observe::flush();
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

/// Returns a stop that the first of these signals triggers. Later signals have no effect.
fn stop_on_signals(kinds: &[SignalKind]) -> Stop {
    let stop = Stop::default();
    for kind in kinds.iter().copied() {
        let mut signal = signal(kind).expect("handlers for these signals can be installed");
        let stop = stop.clone();
        tokio::spawn(async move {
            signal.recv().await;
            stop.stop();
        });
    }
    stop
}
