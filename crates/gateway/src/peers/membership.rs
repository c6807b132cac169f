//! Who the peers are: a row in the store for each process.

use crate::follow::{Client, Dependency, pause};
use crate::state::Gateway;
use observe::{Event, emit};
use platform::{Feed, Process, StoreError};
use std::sync::Arc;
use std::time::Duration;

/// How long the store may hold a read. Members change a few times a day, and a
/// newcomer makes itself known by its datagrams, so this may be long.
const WAIT: Duration = Duration::from_secs(10);
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
        if !is_written {
            let host = gateway.host();
            let store = client.store();
            match store.add_process(&host.name, host.ip, ANSWER_TIMEOUT).await {
                Ok(()) => is_written = true,
                Err(e) => {
                    dependency.bad(&e);
                    pause().await;
                    continue;
                }
            }
        }
        match client
            .store()
            .processes(&from, WAIT, WAIT + ANSWER_TIMEOUT)
            .await
        {
            Ok(change) => {
                dependency.good();
                for why in change.malformed {
                    let what = "processes";
                    emit(&Event::Undecodable { what, why });
                }
                from = change.next;
                if !change.items.is_empty() {
                    merge(&gateway, change.items);
                    tokio::time::sleep(PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => from = Feed::Start,
            Err(e) => {
                dependency.bad(&e);
                pause().await;
            }
        }
    }
}

fn merge(gateway: &Gateway, changes: Vec<Process>) {
    let own = gateway.host();
    let mut peers = gateway.peers();
    let mut fleet = gateway.fleet();
    for change in changes {
        match change {
            Process::Started { ip, .. } if ip == own.ip => {}
            Process::Started { host, ip } => peers.add(&host, ip),
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
