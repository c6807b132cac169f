//! Crashes and trials in the store.
//!
//! A request's crashes are written from the second one on, and those that a part of prompts explains
//! once it is blocked, so that they reach hosts without a live peer and survive restarts of all
//! processes. Each has one row, which names the parts that may have caused it. Rows of requests and
//! parts that were answered later, and old rows, are removed.

use super::{SharedCrashes, apply, log_change, update_parts};
use crate::follow::cursor::{RESTORE_READ_SPREAD, TableCursor};
use crate::follow::{Dependency, StoreClient, hold_time, wait_until, wait_until_feed_reader};
use crate::monotonic;
use crate::state::Gateway;
use crate::store_clock::StoreClock;
use observe::{Event, emit};
use platform::store::MAX_ENTRIES;
use platform::{
    CrashChange, CrashKey, CrashRow, CrashRowKind, CrashSubject, StoreError, TrialWrite,
};
use resilience::Fingerprint;
use resilience::crashes::{
    BLOCK_THRESHOLD, CrashRecord, Observation, RECORD_THRESHOLD, RETENTION, Run, STORED_TRIALS,
    Source, Subject,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which the store may hold a read: the maximum that it allows, as rows are rare. A dead
/// connection is noticed only after this time.
const HOLD_TIME: Duration = Duration::from_secs(30);
/// The same for a host without a live peer, which learns of crashes only from the store.
const HOLD_TIME_ISOLATED: Duration = Duration::from_secs(2);
/// Time allowed for the store's answer, in addition to the time for which it holds a read.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for taking a trial, as a request and its client wait for it.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum of the random delay before the first read, as hosts that start together read other
/// tables first. It is short enough for the rows to be known within the first 3 s after a start, in
/// which bounds don't apply yet.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(1200);
/// Pause after a read with changes and between two writes, as rows are written several at a time.
const PAUSE: Duration = Duration::from_millis(250);
/// Time in which the host that saw a crash writes its row. After that the processes of the lowest
/// ranks write it, as that host may be gone: two or three crashes seen by different hosts would
/// otherwise be lost with one of these hosts.
const TAKEOVER_AFTER: Duration = Duration::from_millis(700);
const TAKEOVER_WRITERS: u32 = 2;
/// Maximum number of rows written or removed per call.
const MAX_ROWS_PER_CALL: usize = 32;
/// Maximum number of crashes per removal, as each removes its own row and those of the trials of the
/// request and of a part.
const MAX_CRASHES_PER_CALL: usize = MAX_ENTRIES / (1 + 2 * STORED_TRIALS);
/// Number of rows from which on only crashes of blocked requests are written. A table of this size
/// is read in two pages.
const MAX_SUSPECT_ROWS: usize = 256;

/// Follows the rows in the store until the process ends.
pub async fn follow(gateway: Arc<Gateway>) {
    tokio::time::sleep(FIRST_READ_SPREAD.mul_f64(fastrand::f64())).await;
    gateway
        .startup_load
        .finished(gateway.is_first_start())
        .await;
    let mut client = StoreClient::new(&gateway);
    let mut dependency = Dependency::new("store/crashes");
    let mut cursor = TableCursor::new("crashes");
    // Pages of a full read of the table.
    let mut pages = Vec::new();
    // Whether the table is read in full since the store was restored.
    let mut is_restored = false;
    loop {
        let is_full_read = cursor.is_whole_read();
        let is_initial = is_full_read && !gateway.startup_load.has_loaded();
        wait_until_feed_reader(&gateway, is_initial).await;
        let is_isolated = has_no_live_peer(&gateway);
        let max_hold_time = match is_isolated {
            true => HOLD_TIME_ISOLATED,
            false => HOLD_TIME,
        };
        let wait = hold_time(cursor.from(), max_hold_time);
        let timeout = wait + ANSWER_TIMEOUT;
        cursor.begin_read(&gateway).await;
        let read = client.store().crashes(cursor.from(), wait, timeout);
        let read = tokio::select! {
            read = cursor.run(&gateway, read) => read,
            // Its crashes come from the store alone then, and the connection may be broken.
            () = wait_until(&gateway, has_no_live_peer), if !is_isolated && !is_full_read => {
                cursor.record_role_change();
                continue;
            }
        };
        match read {
            Ok(change) => {
                dependency.record_success();
                for why in change.malformed {
                    let what = "crashes";
                    emit(&Event::Undecodable { what, why });
                }
                gateway.crashes.set_clock(change.now_ms);
                // Rows that were due before the first read need the store's clock.
                gateway.crashes.write_pending.notify_one();
                pages.extend(change.items);
                cursor.advance(change.next);
                if cursor.has_more_pages() {
                    continue;
                }
                let changes = std::mem::take(&mut pages);
                let has_changes = !changes.is_empty();
                if is_full_read {
                    let is_lost = std::mem::take(&mut is_restored);
                    compare_recorded(&gateway, &changes, is_lost);
                }
                merge(&gateway, &changes);
                if has_changes {
                    remove_expired(&gateway, &mut client, &changes).await;
                    tokio::time::sleep(PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                cursor.restart_after_lost_history().await;
                pages.clear();
            }
            Err(StoreError::EraChanged) => {
                is_restored = true;
                cursor.restart_after_restore(RESTORE_READ_SPREAD).await;
                pages.clear();
            }
            Err(e) => {
                cursor.record_failure();
                dependency.record_failure(&e);
                dependency.pause(&gateway).await;
            }
        }
    }
}

/// Handles recorded crashes without a row in a full read. They are forgotten, as their rows were
/// removed, or are to be written again if the store was restored and has lost them.
fn compare_recorded(gateway: &Gateway, rows: &[CrashChange], is_restored: bool) {
    let is_present = |record: &CrashRecord| {
        let key = crash_key(record);
        let mut rows = rows.iter();
        rows.any(|c| matches!(c, CrashChange::Written(row) if row.key == key))
    };
    let mut absent = gateway.crashes.lock().recorded();
    absent.retain(|record| !is_present(record));
    if is_restored {
        set_recorded(&gateway.crashes, &absent, false);
        gateway.crashes.write_pending.notify_one();
        return;
    }
    for record in &absent {
        forget_crash(gateway, record.run.request, record.upstream);
    }
}

/// Applies the changes of a read.
fn merge(gateway: &Gateway, changes: &[CrashChange]) {
    for change in changes {
        match change {
            CrashChange::Written(row) => apply_written(gateway, row),
            CrashChange::Removed(key) => apply_removed(gateway, *key),
        }
    }
}

fn apply_removed(gateway: &Gateway, key: CrashKey) {
    match (key.kind, from_row_subject(key.subject)) {
        (CrashRowKind::End(upstream), Subject::Request(fingerprint)) => {
            forget_crash(gateway, fingerprint, upstream);
        }
        // Ends have rows of requests only.
        (CrashRowKind::End(_), Subject::Part(_)) => {}
        (CrashRowKind::Trial(number), subject) => {
            let mut crashes = gateway.crashes.lock();
            crashes.trial_returned(subject, number as usize);
        }
    }
}

fn forget_crash(gateway: &Gateway, fingerprint: Fingerprint, upstream: u32) {
    let change = gateway.crashes.lock().remove_crash(fingerprint, upstream);
    log_change(fingerprint, change, Source::Store);
    update_parts(gateway);
}

fn apply_written(gateway: &Gateway, row: &CrashRow) {
    let Some(clock) = gateway.crashes.clock() else {
        return;
    };
    if is_expired(row, clock) {
        return;
    }
    // On a host that has started since, the time may be before the start of its clock. Only the
    // fact that the row hasn't expired matters then.
    let now = monotonic::now();
    let at = clock.to_instant(row.at_ms).unwrap_or(now);
    match (row.key.kind, from_row_subject(row.key.subject)) {
        (CrashRowKind::End(upstream), Subject::Request(fingerprint)) => {
            let observation = Observation::Crash {
                run: Run::new(fingerprint, row.parts.iter().copied()),
                upstream,
                at,
                in_trial: row.in_trial,
            };
            apply(gateway, observation, Source::Store, false);
        }
        (CrashRowKind::End(_), Subject::Part(_)) => {}
        (CrashRowKind::Trial(number), subject) => {
            let number = number as usize;
            gateway.crashes.lock().trial_taken(subject, number, at);
        }
    }
}

/// The subject of a row.
fn from_row_subject(subject: CrashSubject) -> Subject {
    match subject {
        CrashSubject::Request(hash) => Subject::Request(Fingerprint(hash)),
        CrashSubject::Part(id) => Subject::Part(id),
    }
}

/// Names a subject in a row's key.
fn to_row_subject(subject: Subject) -> CrashSubject {
    match subject {
        Subject::Request(Fingerprint(hash)) => CrashSubject::Request(hash),
        Subject::Part(id) => CrashSubject::Part(id),
    }
}

fn is_expired(row: &CrashRow, clock: StoreClock) -> bool {
    let age_ms = clock
        .to_store_ms(monotonic::now())
        .saturating_sub(row.at_ms);
    Duration::from_millis(age_ms) >= RETENTION
}

/// Removes expired rows. Only the process of rank 0 does so.
async fn remove_expired(gateway: &Gateway, client: &mut StoreClient, changes: &[CrashChange]) {
    let Some(clock) = gateway.crashes.clock().filter(|_| gateway.rank() == 0) else {
        return;
    };
    let rows = changes.iter().filter_map(|change| match change {
        CrashChange::Written(row) => Some(row),
        CrashChange::Removed(_) => None,
    });
    let expired = rows.filter(|row| is_expired(row, clock)).map(|row| row.key);
    let expired: Vec<CrashKey> = expired.take(MAX_ROWS_PER_CALL).collect();
    if expired.is_empty() {
        return;
    }
    if let Err(e) = client
        .store()
        .remove_crashes(&expired, ANSWER_TIMEOUT)
        .await
    {
        log_write_failure(expired.len(), &e);
    }
}

/// Writes rows of new crashes and removes rows that are no longer needed, until the process ends.
pub async fn write(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    let mut dependency = Dependency::new("store/crashes");
    loop {
        // Also checks periodically for crashes that other hosts should have written.
        let changed = gateway.crashes.write_pending.notified();
        let _ = tokio::time::timeout(TAKEOVER_AFTER, changed).await;
        if gateway.crashes.lock().is_empty() {
            continue;
        }
        loop {
            match write_once(&gateway, &mut client).await {
                Ok(true) => {
                    dependency.record_success();
                    tokio::time::sleep(PAUSE).await;
                }
                Ok(false) => break,
                Err(e) => {
                    dependency.record_failure(&e);
                    dependency.pause(&gateway).await;
                }
            }
        }
    }
}

/// Writes or removes a batch of rows; returns whether there were any.
async fn write_once(gateway: &Gateway, client: &mut StoreClient) -> Result<bool, StoreError> {
    let Some(clock) = gateway.crashes.clock() else {
        // The first read of the table notifies the writer again.
        return Ok(false);
    };
    let records = crashes_to_write(gateway);
    if !records.is_empty() {
        let host = gateway.host().name.clone();
        let row = |record: &CrashRecord| CrashRow {
            key: crash_key(record),
            host: host.clone(),
            at_ms: clock.to_store_ms(record.at),
            in_trial: record.in_trial,
            parts: record.run.parts.to_vec(),
        };
        let rows: Vec<CrashRow> = records.iter().map(row).collect();
        client.store().write_crashes(&rows, ANSWER_TIMEOUT).await?;
        set_recorded(&gateway.crashes, &records, true);
        return Ok(true);
    }
    let answered = crashes_to_remove(gateway);
    if answered.is_empty() {
        return Ok(false);
    }
    let keys: Vec<CrashKey> = answered.iter().flat_map(crash_and_trial_keys).collect();
    client.store().remove_crashes(&keys, ANSWER_TIMEOUT).await?;
    set_recorded(&gateway.crashes, &answered, false);
    Ok(true)
}

fn set_recorded(crashes: &SharedCrashes, records: &[CrashRecord], is_recorded: bool) {
    let mut crashes = crashes.lock();
    for record in records {
        crashes.set_recorded(record, is_recorded);
    }
}

/// Whether there are peers but none is live. Crash reports can then be exchanged only by the store.
fn has_no_live_peer(gateway: &Gateway) -> bool {
    let peers = gateway.peers();
    !peers.is_empty() && peers.live(monotonic::now()).next().is_none()
}

/// Crashes to write now. A host that has no live peer or is stopping writes from the first crash of
/// a request, as all peers that know of it may be stopping as well.
fn crashes_to_write(gateway: &Gateway) -> Vec<CrashRecord> {
    let (has_no_live_peer, takeover_before) = (has_no_live_peer(gateway), takeover_before(gateway));
    let is_stopping = gateway.stop.is_stopped();
    let crashes = gateway.crashes.lock();
    let min_crashes = match crashes.recorded().len() {
        rows if rows >= MAX_SUSPECT_ROWS => BLOCK_THRESHOLD,
        _ if has_no_live_peer || is_stopping => 1,
        _ => RECORD_THRESHOLD,
    };
    crashes.unrecorded(min_crashes, takeover_before, MAX_ROWS_PER_CALL)
}

/// Crashes whose rows to remove now.
fn crashes_to_remove(gateway: &Gateway) -> Vec<CrashRecord> {
    let takeover_before = takeover_before(gateway);
    gateway
        .crashes
        .lock()
        .obsolete_records(takeover_before, MAX_CRASHES_PER_CALL)
}

/// Time before which this host handles rows that other hosts left; `None` if it handles only its
/// own.
fn takeover_before(gateway: &Gateway) -> Option<Instant> {
    let is_writer = gateway.rank() < TAKEOVER_WRITERS;
    monotonic::now()
        .checked_sub(TAKEOVER_AFTER)
        .filter(|_| is_writer)
}

fn crash_key(record: &CrashRecord) -> CrashKey {
    CrashKey {
        subject: to_row_subject(record.run.request.into()),
        kind: CrashRowKind::End(record.upstream),
    }
}

/// Keys of a crash's row and of the rows of the trials of the request and its parts.
fn crash_and_trial_keys(record: &CrashRecord) -> Vec<CrashKey> {
    let subjects = record.run.subjects();
    let trials = subjects.flat_map(|s| (0..STORED_TRIALS).map(move |number| trial_key(s, number)));
    std::iter::once(crash_key(record)).chain(trials).collect()
}

fn trial_key(subject: Subject, number: usize) -> CrashKey {
    CrashKey {
        subject: to_row_subject(subject),
        kind: CrashRowKind::Trial(number as u32),
    }
}

/// Name of a subject in the log.
fn subject_name(subject: Subject) -> String {
    match subject {
        Subject::Request(fingerprint) => fingerprint.to_string(),
        Subject::Part(id) => format!("part {id:x}"),
    }
}

/// Reserves a trial of a blocked request or part among all hosts; returns whether this host may run it. The
/// store decides between hosts. If it doesn't answer, or if the trial has no row, the process of
/// rank 0 takes the trial.
pub async fn take_trial(gateway: &Arc<Gateway>, subject: Subject, number: usize) -> bool {
    let Some(clock) = gateway.crashes.clock() else {
        return false;
    };
    let is_first = gateway.rank() == 0;
    let (is_ours, outcome) = match number < STORED_TRIALS {
        true => match write_trial(gateway, clock, subject, number).await {
            Ok(TrialWrite::Taken) => (true, "taken".to_owned()),
            Ok(TrialWrite::Refused) => {
                // The row has the exact time, but may be read only later.
                trial_taken(gateway, subject, number);
                (false, "another host has taken it".to_owned())
            }
            // The row may be written now or later, and then counts as a trial.
            Err(e) if is_first => (true, format!("taken without the store: {e}")),
            Err(e) => (false, e.to_string()),
        },
        false if is_first => (true, "taken without a row".to_owned()),
        false => (false, "left to the first host".to_owned()),
    };
    emit(&Event::WorkTried {
        work: subject_name(subject),
        trial: number + 1,
        outcome,
    });
    if is_ours {
        trial_taken(gateway, subject, number);
    }
    is_ours
}

fn trial_taken(gateway: &Gateway, subject: Subject, number: usize) {
    let mut crashes = gateway.crashes.lock();
    crashes.trial_taken(subject, number, monotonic::now());
}

/// Writes a trial's row unless another host has done so.
async fn write_trial(
    gateway: &Arc<Gateway>,
    clock: StoreClock,
    subject: Subject,
    number: usize,
) -> Result<TrialWrite, StoreError> {
    let row = CrashRow {
        key: trial_key(subject, number),
        host: gateway.host().name.clone(),
        at_ms: clock.to_store_ms(monotonic::now()),
        in_trial: false,
        parts: Vec::new(),
    };
    let mut client = StoreClient::new(gateway);
    client.store().take_trial(&row, TRIAL_TIMEOUT).await
}

/// Returns a trial that reached no upstream.
pub fn return_trial(gateway: &Arc<Gateway>, subject: Subject, number: usize) {
    gateway.crashes.lock().trial_returned(subject, number);
    let gateway = gateway.clone();
    tokio::spawn(async move {
        let mut client = StoreClient::new(&gateway);
        let key = [trial_key(subject, number)];
        if let Err(e) = client.store().remove_crashes(&key, ANSWER_TIMEOUT).await {
            log_write_failure(key.len(), &e);
        }
    });
}

fn log_write_failure(rows: usize, e: &StoreError) {
    emit(&Event::CrashRowsNotWritten {
        rows,
        why: e.to_string(),
    });
}
