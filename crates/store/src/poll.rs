//! Keeping a process's documents and host list up to date.

use crate::docs::{DocBook, Offered};
use crate::retry::around;
use crate::rows::doc_key;
use crate::table::{HostState, Hosts, Table};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use wire::DocText;

/// Shortest time between two looks, however many peers speak of a new version.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Reads each document again and again: every `every`, and at once when a peer
/// speaks of a version that isn't in force here. Ends with its task.
pub async fn poll_docs<T: Table>(table: T, book: Arc<DocBook>, every: Duration) {
    let keys: Vec<String> = book.services().iter().map(|s| doc_key(s)).collect();
    let mut changed = book.watch();
    loop {
        // An outage isn't an error here: what is in force stays in force.
        if let Ok(rows) = table.read(keys.clone()).await {
            for row in rows {
                let Some(service) = row.key.strip_prefix("doc/") else { continue };
                let text =
                    DocText { service: service.into(), version: row.version, text: row.value };
                if book.offer(&text) == Offered::Invalid {
                    log::warn!("document {service} version {} is not valid", text.version);
                }
            }
        }
        tokio::time::sleep(MIN_PAUSE).await;
        wait_for_need(&book, &mut changed, around(every)).await;
    }
}

async fn wait_for_need(book: &DocBook, changed: &mut watch::Receiver<u64>, longest: Duration) {
    let need = async {
        loop {
            if book.services().iter().any(|s| book.behind(s).is_some()) {
                return;
            }
            // The sender lives in `book`, which outlives this.
            let _ = changed.changed().await;
        }
    };
    let _ = tokio::time::timeout(longest, need).await;
}

/// Hosts that the platform's list calls leaving, as this process last saw it.
#[derive(Debug, Default)]
pub struct LeavingHosts {
    names: Mutex<Vec<String>>,
}

impl LeavingHosts {
    /// Whether a host is leaving.
    pub fn contains(&self, host: &str) -> bool {
        let names = self.names.lock().expect("no panic while locked");
        names.binary_search_by(|n| n.as_str().cmp(host)).is_ok()
    }

    /// The leaving hosts, sorted.
    pub fn names(&self) -> Vec<String> {
        self.names.lock().expect("no panic while locked").clone()
    }
}

/// Reads the host list again and again into `leaving`. Ends with its task.
pub async fn poll_hosts<H: Hosts>(hosts: H, leaving: Arc<LeavingHosts>, every: Duration) {
    let mut have = 0;
    loop {
        if let Ok(list) = hosts.hosts(have).await {
            have = list.version;
            if let Some(hosts) = list.hosts {
                let gone = hosts.into_iter().filter(|h| h.state == HostState::Leaving);
                let mut names: Vec<String> = gone.map(|h| h.name).collect();
                names.sort_unstable();
                *leaving.names.lock().expect("no panic while locked") = names;
            }
        }
        tokio::time::sleep(around(every)).await;
    }
}
