//! Writing claims, many in one transaction.

use super::{ClaimJob, ClaimResult, ClaimUpdate, HeldClaim};
use observe::{Event, emit};
use std::time::Duration;
use store::retry::Backoff;
use store::rows::{Claim, ClaimState, decode, encode};
use store::{Conflict, Row, Table, Token, Txn, WriteError};
use tokio::sync::mpsc;

/// Time that the first claim of a batch waits for others.
const CLAIM_BATCH_DELAY: Duration = Duration::from_millis(2);
/// Time that the first end of a batch waits for others.
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(10);
/// Most claims in one transaction.
const MAX_BATCH_SIZE: usize = 128;
/// Looks at rows after a write whose outcome is unknown.
const MAX_READ_BACKS: u32 = 3;
/// First and longest wait between tries.
const RETRY_INITIAL: Duration = Duration::from_millis(20);
const RETRY_MAX: Duration = Duration::from_secs(5);
/// Tries to write how a call ended, before its key is left held.
const MAX_FINISH_ATTEMPTS: u32 = 20;

/// Takes jobs and commits them together.
pub struct Batcher<T> {
    pub table: T,
    pub updates: mpsc::Sender<ClaimUpdate>,
}

/// A job, and the version that its row must have: 0 for a new key, another for
/// a key that was released.
struct PendingClaim {
    job: ClaimJob,
    expected_version: u64,
}

impl<T: Table + Clone + Send + Sync + 'static> Batcher<T> {
    /// Runs until the channel closes.
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

    /// Commits a batch; gives the jobs that need another try.
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

    /// Settles a write whose outcome is unknown. The transaction is whole or
    /// not at all: a row with our token means that all of it took effect.
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
            // An absent row proves nothing: the write may yet take effect.
            tokio::time::sleep(backoff.wait()).await;
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
        // With no room the key stays held if the write took effect, which is safe.
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

/// Splits off what can't share a transaction: a key that is in it already.
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

/// After a refusal: answers the jobs whose key is taken, and gives the others
/// for another try.
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
    /// The key may be claimed over the row of this version.
    Free(u64),
    Taken(ClaimResult),
}

/// What a row that is already there means for a job.
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
        // An earlier try of the same request that came back as not run never
        // runs: its agent has given it up for good.
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
    // A call that was dropped meanwhile has nobody to tell; a claim that it won
    // stays held, which is safe.
    let _ = item.job.reply.send(claimed);
}

/// Writes how calls ended and releases what was given up, in the background.
/// Ends share transactions: nobody waits for them but a repeat of the key.
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
                // The waiter may have given up.
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
            // These were written by this very write before its answer was lost,
            // or belong to another by now; the rest goes again without them.
            Err(WriteError::Refused(conflicts)) => {
                finished.retain(|(held, _)| conflicts.iter().all(|c| c.key != held.key));
            }
            Err(WriteError::Unavailable(_) | WriteError::Unknown(_)) => {
                tokio::time::sleep(backoff.wait()).await;
            }
        }
    }
}

/// Marks a claim released that may or may not have been written, until it is
/// certain that it is or never will be.
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
                tokio::time::sleep(backoff.wait()).await;
            }
        }
    }
}

/// Whether a row is the claim that was given up, still held.
fn is_same_claim(row: &Row, claim: &Claim) -> bool {
    decode::<Claim>(&row.value).is_some_and(|old| old == *claim)
}
