//! Follows the list of processes in the store, which has a row for each process.

use crate::follow::cursor::{RESTORE_READ_SPREAD, TableCursor};
use crate::follow::{Dependency, StoreClient, hold_time, wait_until_feed_reader};
use crate::monotonic;
use crate::peers::{startup_load, zone_hash};
use crate::state::Gateway;
use observe::{Event, emit};
use platform::{Cursor, ProcessChange, StoreError};
use std::sync::Arc;
use std::time::Duration;

/// Time for which the store may hold a read. Members change a few times a day, and a new process
/// becomes known by its datagrams, so this is the maximum that the store allows.
const HOLD_TIME: Duration = Duration::from_secs(30);
/// Pause after a read with changes. Otherwise, when all processes start together, each written row
/// would wake each process.
const PAUSE_AFTER_CHANGE: Duration = Duration::from_secs(3);
/// Pause per known peer, as more processes start and stop in a larger fleet.
const PAUSE_PER_PEER: Duration = Duration::from_millis(30);
/// Time over which processes spread the writes of their rows at the first start of the system, as
/// the store accepts 200 writes per second to a table.
const FIRST_START_WRITE_SPREAD: Duration = Duration::from_millis(3200);
/// Time over which they then spread their first reads.
const FIRST_START_READ_SPREAD: Duration = Duration::from_millis(800);
/// Time per peer over which processes that don't read the table spread the writes of their rows
/// after the store was restored.
const RESTORE_WRITE_SPREAD_PER_PEER: Duration = Duration::from_millis(10);
/// Number of processes that remove rows of stopped ones after the store was restored.
const CLEANUP_PROCESSES: u32 = 2;
/// Time allowed for the store's answer, in addition to the time for which it holds a read.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Writes this process's row, and follows the other rows until the process ends.
pub async fn follow(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    let mut dependency = Dependency::new("store/processes");
    let mut cursor = TableCursor::new("processes");
    // Era of the store in which this process's row was found or written.
    let mut row_era = None;
    // Whether the table is read in full since the store was restored.
    let mut is_restored = false;
    if gateway.is_first_start() {
        // All rows are written before the first read, so that one read finds all of them.
        let read_at = monotonic::now()
            + FIRST_START_WRITE_SPREAD
            + FIRST_START_READ_SPREAD.mul_f64(fastrand::f64());
        tokio::time::sleep(FIRST_START_WRITE_SPREAD.mul_f64(fastrand::f64())).await;
        row_era = write_row(&gateway, &mut client, &mut dependency).await;
        tokio::time::sleep_until(read_at.into()).await;
    }
    loop {
        // The row is written after the first read, which shows whether it already exists: a write
        // wakes all readers that wait for changes. A process that doesn't read the table writes
        // its row again after a restore, if it is absent.
        let is_read = !cursor.is_whole_read();
        let known_era = gateway.store_era.current();
        let is_lost = row_era.is_some_and(|era| era < known_era);
        let is_stopping = gateway.stop.is_stopped();
        if is_read && !is_stopping && (row_era.is_none() || is_lost && !gateway.is_feed_reader()) {
            if is_lost {
                let peers = gateway.peers().len() as u32;
                let spread = RESTORE_WRITE_SPREAD_PER_PEER * peers;
                tokio::time::sleep(spread.mul_f64(fastrand::f64())).await;
            }
            row_era = write_row(&gateway, &mut client, &mut dependency).await;
            if row_era.is_none() {
                continue;
            }
        }
        tokio::select! {
            () = wait_until_feed_reader(&gateway, !is_read) => {}
            () = gateway.store_era.later_than(known_era) => continue,
        }
        // A held read would show only later that the store is back.
        let wait = match dependency.has_failed() {
            true => Duration::ZERO,
            false => hold_time(cursor.from(), HOLD_TIME),
        };
        let timeout = wait + ANSWER_TIMEOUT;
        cursor.begin_read(&gateway).await;
        let read = client.store().processes(cursor.from(), wait, timeout);
        match cursor.run(&gateway, read).await {
            Ok(change) => {
                dependency.record_success();
                gateway.crashes.set_clock(change.now_ms);
                for why in change.malformed {
                    let what = "processes";
                    emit(&Event::Undecodable { what, why });
                }
                let is_first = *cursor.from() == Cursor::Start;
                cursor.advance(change.next);
                let mut listed_at = None;
                for item in &change.items {
                    match item {
                        ProcessChange::Stopped { host } if *host == gateway.host().name => {
                            row_era = None;
                        }
                        item if *item == own_row(&gateway) => {
                            row_era = Some(change.position.era);
                            listed_at = Some(change.position);
                        }
                        ProcessChange::Started { .. } | ProcessChange::Stopped { .. } => {}
                    }
                }
                let has_changes = !change.items.is_empty();
                let former = match is_restored {
                    true => former_processes(&gateway, &change.items),
                    false => Vec::new(),
                };
                merge(&gateway, change.items);
                if let Some(position) = listed_at {
                    gateway.quotas.set_listed_at(position);
                }
                remove_rows(&gateway, &mut client, &former).await;
                let has_more_pages = is_first && cursor.has_more_pages();
                if has_more_pages
                    && gateway.config_version() == 0
                    && startup_load::load_snapshot(&gateway).await
                {
                    cursor.advance(Cursor::Since(gateway.members_position()));
                }
                gateway.startup_load.finish();
                let is_whole = !cursor.is_whole_read();
                if is_whole && !is_read {
                    let has_others = !gateway.peers().is_empty();
                    if !std::mem::take(&mut is_restored) {
                        gateway.quotas.set_new_host(has_others && row_era.is_none());
                    }
                }
                if let Cursor::Since(position) = cursor.from() {
                    gateway.set_members_position(*position);
                    gateway.peers().set_membership_known(monotonic::now());
                }
                if has_changes && is_read {
                    let pause = pause_for(gateway.peers().len());
                    let restored = gateway.store_era.later_than(known_era);
                    // A restore ends the pause.
                    let _ = tokio::time::timeout(pause, restored).await;
                }
            }
            Err(StoreError::HistoryGone) => cursor.restart_after_lost_history().await,
            Err(StoreError::EraChanged) => {
                // Processes whose rows are lost may be unknown for a while, as in an outage.
                gateway.peers().record_store_call(false, monotonic::now());
                if row_era.is_some_and(|era| era < gateway.store_era.current()) {
                    row_era = None;
                }
                is_restored = true;
                cursor.restart_after_restore(RESTORE_READ_SPREAD).await;
            }
            Err(e) => {
                cursor.record_failure();
                gateway.startup_load.finish();
                dependency.record_failure(&e);
                gateway.peers().record_store_call(false, monotonic::now());
                dependency.pause(&gateway).await;
            }
        }
    }
}

/// Writes this process's row unless it is in the store; returns the era in which it is, or `None`
/// after an error.
async fn write_row(
    gateway: &Arc<Gateway>,
    client: &mut StoreClient,
    dependency: &mut Dependency,
) -> Option<u64> {
    let era = gateway.store_era.current();
    let host = gateway.host();
    let store = client.store();
    let row = store.add_process_if_absent(&host.name, host.ip, &host.zone, ANSWER_TIMEOUT);
    match row.await {
        Ok(is_new) => {
            if !is_new {
                gateway.quotas.set_new_host(false);
            }
            // No era is known before the first answer.
            Some(match era {
                0 => gateway.store_era.current(),
                era => era,
            })
        }
        Err(e) => {
            dependency.record_failure(&e);
            dependency.pause(gateway).await;
            None
        }
    }
}

/// Processes that were removed from the list before the store was restored, and that the copy still
/// lists.
fn former_processes(gateway: &Gateway, changes: &[ProcessChange]) -> Vec<String> {
    let peers = gateway.peers();
    let listed = changes.iter().filter_map(|change| match change {
        ProcessChange::Started { host, ip, .. } => Some((host, *ip)),
        ProcessChange::Stopped { .. } => None,
    });
    let former = listed.filter(|(host, ip)| peers.was_unlisted(host) && !peers.knows(*ip));
    former.map(|(host, _)| host.clone()).collect()
}

/// Removes the rows of processes that have stopped. Few processes do so.
async fn remove_rows(gateway: &Gateway, client: &mut StoreClient, hosts: &[String]) {
    if gateway.rank() >= CLEANUP_PROCESSES {
        return;
    }
    for host in hosts {
        let removed = client.store().remove_process(host, ANSWER_TIMEOUT).await;
        if let Err(e) = removed {
            emit(&Event::DependencyLost {
                dependency: "store/processes",
                why: e.to_string(),
            });
        }
    }
}

/// Pause after a read with changes, by the number of known peers.
fn pause_for(peers: usize) -> Duration {
    PAUSE_AFTER_CHANGE.max(PAUSE_PER_PEER * peers as u32)
}

/// The row of this process.
fn own_row(gateway: &Gateway) -> ProcessChange {
    let host = gateway.host();
    ProcessChange::Started {
        host: host.name.clone(),
        ip: host.ip,
        zone: host.zone.clone(),
    }
}

fn merge(gateway: &Gateway, changes: Vec<ProcessChange>) {
    let own = gateway.host();
    let mut peers = gateway.peers();
    let mut fleet = gateway.fleet();
    for change in changes {
        match change {
            ProcessChange::Started { ip, .. } if ip == own.ip => {}
            ProcessChange::Started { host, ip, zone } => peers.add(&host, ip, zone_hash(&zone)),
            ProcessChange::Stopped { host } => peers.remove(&host, &mut fleet),
        }
    }
}

/// Removes this process's row. If that fails, peers continue to send datagrams to this host until a
/// process there writes the row again.
pub async fn leave(gateway: &Arc<Gateway>) {
    let host = gateway.host();
    let mut client = StoreClient::new(gateway);
    let left = client.store().remove_process(&host.name, ANSWER_TIMEOUT);
    if let Err(e) = left.await {
        emit(&Event::DependencyLost {
            dependency: "store/processes",
            why: e.to_string(),
        });
    }
}
