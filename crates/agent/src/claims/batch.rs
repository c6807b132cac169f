//! Writes claims and their final states in batches.

use super::{ClaimJob, ClaimResult, ClaimUpdate, HeldClaim};
use observe::{Event, emit};
use std::time::Duration;
use store::retry::Backoff;
use store::rows::{Claim, ClaimState, decode, encode};
use store::{Conflict, Row, Table, Token, Txn, WriteError};
use tokio::sync::mpsc;

/// Time for which the first claim of a batch waits for others.
const CLAIM_BATCH_DELAY: Duration = Duration::from_millis(2);
/// Time for which the first final state of a batch waits for others.
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of claims in a transaction.
const MAX_BATCH_SIZE: usize = 128;
/// Maximum number of reads after a write with an unknown outcome.
const MAX_READ_BACKS: u32 = 3;
/// Initial and maximum delay between retries.
const RETRY_INITIAL: Duration = Duration::from_millis(20);
const RETRY_MAX: Duration = Duration::from_secs(5);
/// Maximum number of attempts to write a final state. After that the key stays held.
const MAX_FINISH_ATTEMPTS: u32 = 20;

/// Collects claims and commits them in batches.
pub struct Batcher<T> {
    pub table: T,
    pub updates: mpsc::Sender<ClaimUpdate>,
}

/// A claim to be written and the required version of its row: 0 for a new key, or the version of a
/// released row.
struct PendingClaim {
    job: ClaimJob,
    expected_version: u64,
}

impl<T: Table + Clone + Send + Sync + 'static> Batcher<T> {
    /// Runs until the channel is closed.
    pub async fn run(self, mut rx: mpsc::Receiver<ClaimJob>) {
        let mut pending: Vec<PendingClaim> = Vec::new();
        loop {
            if pending.is_empty() {
                let Some(job) = rx.recv().await else { return };
                pending.push(PendingClaim {
                    job,
                    expected_version: 0,
                });
                fill_batch(&mut rx, &mut pending).await;
            }
            let (batch, deferred) = split_duplicates(pending);
            pending = deferred;
            pending.extend(self.commit(batch).await);
        }
    }

    /// Commits a batch and returns the claims that have to be retried.
    async fn commit(&self, batch: Vec<PendingClaim>) -> Vec<PendingClaim> {
        let mut txn = Txn::new();
        for item in &batch {
            txn = txn
                .check(&item.job.key, item.expected_version)
                .put(&item.job.key, encode(&item.job.claim));
        }
        match self.table.commit(&txn).await {
            Ok(version) => {
                for item in batch {
                    report_won(item, version);
                }
                Vec::new()
            }
            Err(WriteError::Refused(conflicts)) => resolve_conflicts(batch, &conflicts),
            Err(WriteError::Unavailable(_)) => {
                for item in batch {
                    reply(item, ClaimResult::Unavailable);
                }
                Vec::new()
            }
            Err(WriteError::Unknown(_)) => {
                self.resolve_unknown(batch, txn.token).await;
                Vec::new()
            }
        }
    }

    /// Resolves a write whose outcome is unknown. Transactions are atomic: if any row has the token
    /// of this one, all of it was committed.
    async fn resolve_unknown(&self, batch: Vec<PendingClaim>, token: Token) {
        let keys: Vec<String> = batch.iter().map(|item| item.job.key.clone()).collect();
        let mut backoff = Backoff::new(RETRY_INITIAL, RETRY_MAX);
        for _ in 0..MAX_READ_BACKS {
            if let Ok(rows) = self.table.read(keys.clone()).await
                && let Some(row) = rows.iter().find(|r| r.token == token)
            {
                let version = row.version;
                for item in batch {
                    report_won(item, version);
                }
                return;
            }
            // A missing row is inconclusive, since the write may still be applied.
            tokio::time::sleep(backoff.next_delay()).await;
        }
        for item in batch {
            self.give_up(item);
        }
    }

    fn give_up(&self, item: PendingClaim) {
        let claim = item.job.claim.clone();
        let tenant = item.job.key.split('/').nth(2).unwrap_or("");
        emit(&Event::ClaimGivenUp {
            request: claim.request.to_string(),
            tenant,
        });
        let key = item.job.key.clone();
        // If the channel is full and the write was applied, the key stays held, which is safe.
        let _ = self.updates.try_send(ClaimUpdate::Release {
            key,
            claim,
            expected_version: item.expected_version,
        });
        reply(item, ClaimResult::Unavailable);
    }
}

async fn fill_batch(rx: &mut mpsc::Receiver<ClaimJob>, batch: &mut Vec<PendingClaim>) {
    let until = tokio::time::Instant::now() + CLAIM_BATCH_DELAY;
    while batch.len() < MAX_BATCH_SIZE {
        let Ok(Some(job)) = tokio::time::timeout_at(until, rx.recv()).await else {
            return;
        };
        batch.push(PendingClaim {
            job,
            expected_version: 0,
        });
    }
}

/// Separates claims whose key is already in the batch, as a transaction can write a key only once.
fn split_duplicates(pending: Vec<PendingClaim>) -> (Vec<PendingClaim>, Vec<PendingClaim>) {
    let mut keys: Vec<String> = Vec::new();
    let (mut batch, mut deferred) = (Vec::new(), Vec::new());
    for item in pending {
        match keys.binary_search(&item.job.key) {
            Ok(_) => deferred.push(item),
            Err(at) => {
                keys.insert(at, item.job.key.clone());
                batch.push(item);
            }
        }
    }
    (batch, deferred)
}

/// Handles conflicts: replies to claims whose key is taken, and returns the others for a retry.
fn resolve_conflicts(batch: Vec<PendingClaim>, conflicts: &[Conflict]) -> Vec<PendingClaim> {
    let mut again = Vec::new();
    for mut item in batch {
        let Some(conflict) = conflicts.iter().find(|c| c.key == item.job.key) else {
            again.push(item);
            continue;
        };
        match inspect_row(&item.job, conflict.row.as_ref()) {
            Resolution::Free(version) => {
                item.expected_version = version;
                again.push(item);
            }
            Resolution::Taken(claimed) => reply(item, claimed),
        }
    }
    again
}

#[derive(Debug, PartialEq, Eq)]
enum Resolution {
    /// The key can be claimed if its row still has this version; 0 means no row.
    Free(u64),
    Taken(ClaimResult),
}

/// Decides what an existing row means for a claim.
fn inspect_row(job: &ClaimJob, row: Option<&Row>) -> Resolution {
    let Some(row) = row else {
        return Resolution::Free(0);
    };
    let Some(old) = decode::<Claim>(&row.value) else {
        return Resolution::Taken(ClaimResult::InUse);
    };
    if old.state == ClaimState::Released {
        return Resolution::Free(row.version);
    }
    if old.digest != job.claim.digest {
        return Resolution::Taken(ClaimResult::OtherCall);
    }
    match old.state {
        ClaimState::Answered(kept) => Resolution::Taken(ClaimResult::Kept(kept)),
        // An earlier attempt of the same request that was reported as not run will never run, as
        // its agent has given it up.
        ClaimState::Held
            if job.none_has_run
                && old.request == job.claim.request
                && old.attempt < job.claim.attempt =>
        {
            Resolution::Free(row.version)
        }
        _ => Resolution::Taken(ClaimResult::InUse),
    }
}

fn report_won(item: PendingClaim, version: u64) {
    let held = HeldClaim {
        key: item.job.key.clone(),
        version,
        claim: item.job.claim.clone(),
    };
    reply(item, ClaimResult::Won(held));
}

fn reply(item: PendingClaim, claimed: ClaimResult) {
    // The send fails if the call was cancelled. If its claim was won, the key stays held, which is
    // safe.
    let _ = item.job.reply.send(claimed);
}

/// Writes final states and releases in the background. Final states are batched, as only repeats of
/// the same key wait for them.
pub async fn write_updates<T: Table>(table: T, mut rx: mpsc::Receiver<ClaimUpdate>) {
    while let Some(first) = rx.recv().await {
        let mut finished = Vec::new();
        let mut others = Vec::new();
        add_update(first, &mut finished, &mut others);
        let until = tokio::time::Instant::now() + UPDATE_BATCH_DELAY;
        while !finished.is_empty() && others.is_empty() && finished.len() < MAX_BATCH_SIZE {
            let Ok(Some(next)) = tokio::time::timeout_at(until, rx.recv()).await else {
                break;
            };
            add_update(next, &mut finished, &mut others);
        }
        finish_all(&table, finished).await;
        for other in others {
            match other {
                ClaimUpdate::Finish(..) => {}
                ClaimUpdate::Release {
                    key,
                    claim,
                    expected_version,
                } => release(&table, &key, claim, expected_version).await,
                // The send fails if the waiter has timed out.
                ClaimUpdate::Flush(tx) => drop(tx.send(())),
            }
        }
    }
}

fn add_update(
    update: ClaimUpdate,
    finished: &mut Vec<(HeldClaim, ClaimState)>,
    others: &mut Vec<ClaimUpdate>,
) {
    match update {
        ClaimUpdate::Finish(held, state) => finished.push((held, state)),
        other => others.push(other),
    }
}

async fn finish_all<T: Table>(table: &T, mut finished: Vec<(HeldClaim, ClaimState)>) {
    let mut backoff = Backoff::new(RETRY_INITIAL, RETRY_MAX);
    for _ in 0..MAX_FINISH_ATTEMPTS {
        if finished.is_empty() {
            return;
        }
        let mut txn = Txn::new();
        for (held, state) in &finished {
            let claim = Claim {
                state: state.clone(),
                ..held.claim.clone()
            };
            txn = txn
                .check(&held.key, held.version)
                .put(&held.key, encode(&claim));
        }
        match table.commit(&txn).await {
            Ok(_) => return,
            // Conflicting rows were either written by this transaction before its response was
            // lost, or have been taken over by another request. The rest is retried without them.
            Err(WriteError::Refused(conflicts)) => {
                finished.retain(|(held, _)| conflicts.iter().all(|c| c.key != held.key));
            }
            Err(WriteError::Unavailable(_) | WriteError::Unknown(_)) => {
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Marks a claim with an unknown outcome as released. Retries until the claim is released or can no
/// longer be written.
async fn release<T: Table>(table: &T, key: &str, claim: Claim, mut expected_version: u64) {
    let released = encode(&Claim {
        state: ClaimState::Released,
        ..claim.clone()
    });
    let mut backoff = Backoff::new(RETRY_INITIAL, RETRY_MAX);
    loop {
        let txn = Txn::new()
            .check(key, expected_version)
            .put(key, released.clone());
        match table.commit(&txn).await {
            Ok(_) => return,
            Err(WriteError::Refused(conflicts)) => {
                match conflicts.first().and_then(|c| c.row.as_ref()) {
                    Some(row) if is_same_claim(row, &claim) => expected_version = row.version,
                    Some(_) => return,
                    None => expected_version = 0,
                }
            }
            Err(WriteError::Unavailable(_) | WriteError::Unknown(_)) => {
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Whether a row still contains the claim that was given up.
fn is_same_claim(row: &Row, claim: &Claim) -> bool {
    decode::<Claim>(&row.value).is_some_and(|old| old == *claim)
}
