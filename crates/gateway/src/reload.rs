//! Takes new settings: after SIGHUP, and when the file changes without one.

use crate::state::Gateway;
use observe::{Event, emit};
use platform::HostSettings;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Time between looks at the file. Changes come a few times a day and take
/// effect within seconds; a look is one small read.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Follows the settings file until the process ends.
pub async fn follow_settings(gateway: Arc<Gateway>, path: PathBuf) {
    let mut hangup = signal(SignalKind::hangup()).expect("a handler for a plain signal can be set");
    loop {
        let is_told = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(LOOK_EVERY) => false,
        };
        look(&gateway, &path, is_told);
    }
}

/// Reads the file; new settings are used, ones that are wrong are not.
fn look(gateway: &Gateway, path: &Path, is_told: bool) {
    let why = if is_told { "signal" } else { "file changed" };
    let error = match HostSettings::read(path.to_owned()) {
        Ok(host) if host == *gateway.host() => {
            if !is_told {
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
