//! Who the peers are: a row in the store for each process.

use crate::follow::{Client, Dependency, held_for};
use crate::peers::zone_hash;
use crate::state::Gateway;
use observe::{Event, emit};
use platform::{Feed, Process, StoreError};
use std::sync::Arc;
use std::time::Duration;

/// How long the store may hold a read. Members change a few times a day, and a
/// newcomer makes itself known by its datagrams, so this is as long as the store
/// allows.
const WAIT: Duration = Duration::from_secs(30);
/// Pause after a read that told of changes. When all processes start together,
/// each row that is written would else wake each of them.
const PAUSE: Duration = Duration::from_secs(3);
/// Longest wait for an answer besides.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Writes this process's row, and follows the others' until the process ends.
pub async fn follow(gateway: Arc<Gateway>) {
    let mut client = Client::new(&gateway);
    let mut dependency = Dependency::new("store/processes");
    let mut from = Feed::Start;
    let mut is_written = false;
    loop {
        // Written after the first read, which tells whether it stands there already: a
        // write wakes all that wait for changes.
        let is_read = matches!(from, Feed::Since(_));
        if is_read && !is_written {
            let host = gateway.host();
            let store = client.store();
            let row = store.add_process(&host.name, host.ip, &host.zone, ANSWER_TIMEOUT);
            match row.await {
                Ok(()) => is_written = true,
                Err(e) => {
                    dependency.bad(&e);
                    dependency.pause(&gateway).await;
                    continue;
                }
            }
        }
        let wait = held_for(&from, WAIT);
        let timeout = wait + ANSWER_TIMEOUT;
        match client.store().processes(&from, wait, timeout).await {
            Ok(change) => {
                dependency.good();
                for why in change.malformed {
                    let what = "processes";
                    emit(&Event::Undecodable { what, why });
                }
                from = change.next;
                is_written |= change.items.contains(&own_row(&gateway));
                let has_changes = !change.items.is_empty();
                merge(&gateway, change.items);
                let is_whole = matches!(from, Feed::Since(_));
                if is_whole && !is_read {
                    let has_others = !gateway.peers().is_empty();
                    gateway.quotas.set_new_host(has_others && !is_written);
                }
                if is_whole {
                    gateway.peers().set_listed();
                }
                if has_changes && is_read {
                    tokio::time::sleep(PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => from = Feed::Start,
            Err(e) => {
                dependency.bad(&e);
                dependency.pause(&gateway).await;
            }
        }
    }
}

/// The row of this process.
fn own_row(gateway: &Gateway) -> Process {
    let host = gateway.host();
    Process::Started {
        host: host.name.clone(),
        ip: host.ip,
        zone: host.zone.clone(),
    }
}

fn merge(gateway: &Gateway, changes: Vec<Process>) {
    let own = gateway.host();
    let mut peers = gateway.peers();
    let mut fleet = gateway.fleet();
    for change in changes {
        match change {
            Process::Started { ip, .. } if ip == own.ip => {}
            Process::Started { host, ip, zone } => peers.add(&host, ip, zone_hash(&zone)),
            Process::Stopped { host } => peers.remove(&host, &mut fleet),
        }
    }
}

/// Removes this process's row. If that fails, peers go on sending datagrams to
/// nobody until a process on this host writes the row anew.
pub async fn leave(gateway: &Arc<Gateway>) {
    let host = gateway.host();
    let mut client = Client::new(gateway);
    let left = client.store().remove_process(&host.name, ANSWER_TIMEOUT);
    if let Err(e) = left.await {
        emit(&Event::DependencyLost {
            dependency: "store/processes",
            why: e.to_string(),
        });
    }
}
