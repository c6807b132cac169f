//! Ends and trials in the store.
//!
//! What has come twice is written, so that it reaches hosts that hear no peer and outlasts
//! all processes; what was answered since, or is too old, is removed.

use super::{Shared, StoreClock, take, tell};
use crate::follow::{Client, Dependency, held_for, wait_until_reader};
use crate::state::Gateway;
use observe::{Event, emit};
use platform::store::MAX_ENTRIES;
use platform::{CrashChange, CrashKey, CrashRow, CrashRowKind, Cursor, StoreError, TrialWrite};
use resilience::Fingerprint;
use resilience::crashes::{
    BLOCK_THRESHOLD, CrashRecord, Observation, RECORD_THRESHOLD, RETENTION, STORED_TRIALS, Source,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the store may hold a read: as long as it allows, as rows are rare. A connection
/// that has gone silent shows only after that.
const WAIT: Duration = Duration::from_secs(30);
/// The same for a host that hears no peer, to which nobody else tells anything.
const WAIT_ALONE: Duration = Duration::from_secs(2);
/// Longest wait for an answer besides, and for a write.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait of a request for its trial: its client waits meanwhile.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait after the start before the first read, of which chance draws a part: hosts
/// that start together read other tables first. With it what is kept is known within the
/// 3 s in which bounds don't count yet.
const FIRST_READ_WITHIN: Duration = Duration::from_millis(1200);
/// Pause after a read that told of changes, and between two writes: rows come several at
/// once.
const PAUSE: Duration = Duration::from_millis(250);
/// How long the host that saw an end has to write it. Then the first of the processes do,
/// as it may be gone: what two or three hosts saw each would else be lost with one of them.
const LEFT_TO_OWNER: Duration = Duration::from_millis(700);
const WRITERS: u32 = 2;
/// Rows that one call writes or removes.
const MAX_AT_ONCE: usize = 32;
/// Ends whose rows one call removes, with those of their work's trials: the store takes no
/// more entries in one.
const MAX_ENDS_AT_ONCE: usize = MAX_ENTRIES / (1 + STORED_TRIALS);
/// Rows from which on only ends of work that is held back are written: a table of them is
/// read in two pages.
const MAX_ROWS: usize = 256;

/// Follows the rows until the process ends.
pub async fn follow(gateway: Arc<Gateway>) {
    tokio::time::sleep(FIRST_READ_WITHIN.mul_f64(fastrand::f64())).await;
    gateway
        .startup_load
        .finished(gateway.host().is_first_start)
        .await;
    let mut client = Client::new(&gateway);
    let mut dependency = Dependency::new("store/crashes");
    let mut from = Cursor::Start;
    // Pages of the table while it is read in full.
    let mut pages = Vec::new();
    loop {
        let is_whole = !matches!(from, Cursor::Since(_));
        let is_initial = is_whole && !gateway.startup_load.has_loaded();
        wait_until_reader(&gateway, is_initial).await;
        let longest = match hears_nobody(&gateway) {
            true => WAIT_ALONE,
            false => WAIT,
        };
        let wait = held_for(&from, longest);
        let timeout = wait + ANSWER_TIMEOUT;
        match client.store().crashes(&from, wait, timeout).await {
            Ok(change) => {
                dependency.good();
                for why in change.malformed {
                    let what = "crashes";
                    emit(&Event::Undecodable { what, why });
                }
                gateway.crashes.set_clock(change.now_ms);
                // Rows that came due before the first read wait for its clock.
                gateway.crashes.to_write.notify_one();
                pages.extend(change.items);
                from = change.next;
                if matches!(from, Cursor::NextPage { .. }) {
                    continue;
                }
                let changes = std::mem::take(&mut pages);
                let has_changes = !changes.is_empty();
                merge(&gateway, &changes, is_whole);
                if has_changes {
                    remove_old(&gateway, &mut client, &changes).await;
                    tokio::time::sleep(PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                from = Cursor::Start;
                pages.clear();
            }
            Err(e) => {
                dependency.bad(&e);
                dependency.pause(&gateway).await;
            }
        }
    }
}

/// Takes what a read tells. A whole one also tells by absence.
fn merge(gateway: &Gateway, changes: &[CrashChange], is_whole: bool) {
    if is_whole {
        let is_there = |record: &CrashRecord| {
            let key = end_key(record);
            changes
                .iter()
                .any(|c| matches!(c, CrashChange::Written(row) if row.key == key))
        };
        let recorded = gateway.crashes.lock().recorded();
        for record in recorded.iter().filter(|record| !is_there(record)) {
            forget(gateway, record.fingerprint, record.upstream);
        }
    }
    for change in changes {
        match change {
            CrashChange::Written(row) => learn(gateway, row),
            CrashChange::Removed(key) => unlearn(gateway, *key),
        }
    }
}

fn unlearn(gateway: &Gateway, key: CrashKey) {
    let work = Fingerprint(key.fingerprint);
    match key.kind {
        CrashRowKind::End(upstream) => forget(gateway, work, upstream),
        CrashRowKind::Trial(number) => {
            let mut crashes = gateway.crashes.lock();
            crashes.trial_returned(work, number as usize);
        }
    }
}

fn forget(gateway: &Gateway, work: Fingerprint, upstream: u32) {
    let change = gateway.crashes.lock().remove_crash(work, upstream);
    tell(work, change, Source::Store);
}

fn learn(gateway: &Gateway, row: &CrashRow) {
    let Some(clock) = gateway.crashes.clock() else {
        return;
    };
    if is_old(row, clock) {
        return;
    }
    let work = Fingerprint(row.key.fingerprint);
    // A host that has started since can't name a time before its clock began; that the row
    // is still to be kept is all that matters then.
    let now = Instant::now();
    let at = clock.instant(row.at_ms).unwrap_or(now);
    match row.key.kind {
        CrashRowKind::End(upstream) => {
            let word = Observation::Crash {
                fingerprint: work,
                upstream,
                at,
                in_trial: row.in_trial,
            };
            take(gateway, word, Source::Store, false);
        }
        CrashRowKind::Trial(number) => {
            let number = number as usize;
            gateway.crashes.lock().trial_taken(work, number, at);
        }
    }
}

fn is_old(row: &CrashRow, clock: StoreClock) -> bool {
    let age_ms = clock.at_ms(Instant::now()).saturating_sub(row.at_ms);
    Duration::from_millis(age_ms) >= RETENTION
}

/// Removes rows that are too old. The first of the processes does it for all.
async fn remove_old(gateway: &Gateway, client: &mut Client, changes: &[CrashChange]) {
    let Some(clock) = gateway.crashes.clock().filter(|_| gateway.rank() == 0) else {
        return;
    };
    let rows = changes.iter().filter_map(|change| match change {
        CrashChange::Written(row) => Some(row),
        CrashChange::Removed(_) => None,
    });
    let old = rows.filter(|row| is_old(row, clock)).map(|row| row.key);
    let old: Vec<CrashKey> = old.take(MAX_AT_ONCE).collect();
    if old.is_empty() {
        return;
    }
    if let Err(e) = client.store().remove_crashes(&old, ANSWER_TIMEOUT).await {
        not_written(old.len(), &e);
    }
}

/// Writes what the store is to keep, and removes what it needn't, until the process ends.
pub async fn write(gateway: Arc<Gateway>) {
    let mut client = Client::new(&gateway);
    let mut dependency = Dependency::new("store/crashes");
    loop {
        // Looked at from time to time too, for ends that others should have written.
        let changed = gateway.crashes.to_write.notified();
        let _ = tokio::time::timeout(LEFT_TO_OWNER, changed).await;
        if gateway.crashes.lock().is_empty() {
            continue;
        }
        loop {
            match write_once(&gateway, &mut client).await {
                Ok(true) => {
                    dependency.good();
                    tokio::time::sleep(PAUSE).await;
                }
                Ok(false) => break,
                Err(e) => {
                    dependency.bad(&e);
                    dependency.pause(&gateway).await;
                }
            }
        }
    }
}

/// Writes or removes some rows; says whether there were any.
async fn write_once(gateway: &Gateway, client: &mut Client) -> Result<bool, StoreError> {
    let Some(clock) = gateway.crashes.clock() else {
        // Nothing was read yet; the first read has it tried again.
        return Ok(false);
    };
    let ends = to_record(gateway);
    if !ends.is_empty() {
        let host = gateway.host().name.clone();
        let row = |record: &CrashRecord| CrashRow {
            key: end_key(record),
            host: host.clone(),
            at_ms: clock.at_ms(record.at),
            in_trial: record.in_trial,
        };
        let rows: Vec<CrashRow> = ends.iter().map(row).collect();
        client.store().write_crashes(&rows, ANSWER_TIMEOUT).await?;
        set_recorded(&gateway.crashes, &ends, true);
        return Ok(true);
    }
    let answered = to_remove(gateway);
    if answered.is_empty() {
        return Ok(false);
    }
    let keys: Vec<CrashKey> = answered.iter().flat_map(keys_of).collect();
    client.store().remove_crashes(&keys, ANSWER_TIMEOUT).await?;
    set_recorded(&gateway.crashes, &answered, false);
    Ok(true)
}

fn set_recorded(crashes: &Shared, records: &[CrashRecord], is_recorded: bool) {
    let mut crashes = crashes.lock();
    for record in records {
        crashes.set_recorded(record, is_recorded);
    }
}

/// Whether this host hears no peer, though there are some: it has only the store to tell
/// them, and to hear of them.
fn hears_nobody(gateway: &Gateway) -> bool {
    let peers = gateway.peers();
    !peers.is_empty() && peers.live(Instant::now()).next().is_none()
}

/// The ends that are to be written now: the first end of any work by a host that hears no
/// peer.
fn to_record(gateway: &Gateway) -> Vec<CrashRecord> {
    let (hears_nobody, others) = (hears_nobody(gateway), left_by_others(gateway));
    let crashes = gateway.crashes.lock();
    let from_ends = match crashes.recorded().len() {
        rows if rows >= MAX_ROWS => BLOCK_THRESHOLD,
        _ if hears_nobody => 1,
        _ => RECORD_THRESHOLD,
    };
    crashes.unrecorded(from_ends, others, MAX_AT_ONCE)
}

/// The ends whose rows are to be removed now.
fn to_remove(gateway: &Gateway) -> Vec<CrashRecord> {
    let others = left_by_others(gateway);
    gateway
        .crashes
        .lock()
        .obsolete_records(others, MAX_ENDS_AT_ONCE)
}

/// Before when what others saw is this host's to write; none if it writes its own only.
fn left_by_others(gateway: &Gateway) -> Option<Instant> {
    let is_writer = gateway.rank() < WRITERS;
    Instant::now()
        .checked_sub(LEFT_TO_OWNER)
        .filter(|_| is_writer)
}

fn end_key(record: &CrashRecord) -> CrashKey {
    CrashKey {
        fingerprint: record.fingerprint.0,
        kind: CrashRowKind::End(record.upstream),
    }
}

/// The rows that go with an end: its own, and those of the work's trials.
fn keys_of(record: &CrashRecord) -> Vec<CrashKey> {
    let trials = (0..STORED_TRIALS).map(|number| trial_key(record.fingerprint, number));
    std::iter::once(end_key(record)).chain(trials).collect()
}

fn trial_key(work: Fingerprint, number: usize) -> CrashKey {
    CrashKey {
        fingerprint: work.0,
        kind: CrashRowKind::Trial(number as u32),
    }
}

/// Takes a trial of held work for all hosts; says whether it is this host's. The store tells
/// whose it is; while it doesn't answer, the first of the processes takes them, and those that
/// have no row.
pub async fn take_trial(gateway: &Arc<Gateway>, work: Fingerprint, number: usize) -> bool {
    let Some(clock) = gateway.crashes.clock() else {
        return false;
    };
    let is_first = gateway.rank() == 0;
    let (is_ours, outcome) = match number < STORED_TRIALS {
        true => match write_trial(gateway, clock, work, number).await {
            Ok(TrialWrite::Taken) => (true, "taken".to_owned()),
            Ok(TrialWrite::Refused) => {
                // Its row says when, but may be read only later.
                trial_taken(gateway, work, number);
                (false, "another host has taken it".to_owned())
            }
            // Its row may be written now or later, and then counts as a trial.
            Err(e) if is_first => (true, format!("taken without the store: {e}")),
            Err(e) => (false, e.to_string()),
        },
        false if is_first => (true, "taken without a row".to_owned()),
        false => (false, "left to the first host".to_owned()),
    };
    emit(&Event::WorkTried {
        work: work.to_string(),
        trial: number + 1,
        outcome,
    });
    if is_ours {
        trial_taken(gateway, work, number);
    }
    is_ours
}

fn trial_taken(gateway: &Gateway, work: Fingerprint, number: usize) {
    let mut crashes = gateway.crashes.lock();
    crashes.trial_taken(work, number, Instant::now());
}

/// Writes a trial's row, unless another host has.
async fn write_trial(
    gateway: &Arc<Gateway>,
    clock: StoreClock,
    work: Fingerprint,
    number: usize,
) -> Result<TrialWrite, StoreError> {
    let row = CrashRow {
        key: trial_key(work, number),
        host: gateway.host().name.clone(),
        at_ms: clock.at_ms(Instant::now()),
        in_trial: false,
    };
    let mut client = Client::new(gateway);
    client.store().take_trial(&row, TRIAL_TIMEOUT).await
}

/// Gives back a trial that reached no upstream.
pub fn return_trial(gateway: &Arc<Gateway>, work: Fingerprint, number: usize) {
    gateway.crashes.lock().trial_returned(work, number);
    let gateway = gateway.clone();
    tokio::spawn(async move {
        let mut client = Client::new(&gateway);
        let key = [trial_key(work, number)];
        if let Err(e) = client.store().remove_crashes(&key, ANSWER_TIMEOUT).await {
            not_written(key.len(), &e);
        }
    });
}

fn not_written(rows: usize, e: &StoreError) {
    emit(&Event::CrashRowsNotWritten {
        rows,
        why: e.to_string(),
    });
}
