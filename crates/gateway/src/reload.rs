//! Reloads the settings on SIGHUP, and when the file changes.

use crate::state::Gateway;
use observe::{Event, emit};
use platform::HostSettings;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::Signal;

/// Interval between checks of the file. Changes occur a few times a day and should take effect
/// within seconds; a check is one small read.
const CHECK_EVERY: Duration = Duration::from_secs(2);

/// Watches the settings file until the process ends.
pub async fn follow_settings(gateway: Arc<Gateway>, path: PathBuf, mut hangup: Signal) {
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(CHECK_EVERY) => false,
        };
        reload(&gateway, &path, is_signalled);
    }
}

/// Reads the file and applies new settings; invalid ones are ignored and logged.
fn reload(gateway: &Gateway, path: &Path, is_signalled: bool) {
    let why = if is_signalled {
        "signal"
    } else {
        "file changed"
    };
    let error = match HostSettings::read(path.to_owned()) {
        Ok(host) if host == *gateway.host() => {
            if !is_signalled {
                return;
            }
            None
        }
        Ok(host) => {
            gateway.set_host(host);
            None
        }
        Err(e) => Some(e.to_string()),
    };
    emit(&Event::Reloaded { why, error });
}
