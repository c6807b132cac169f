//! Writing claims, many in one transaction.

use super::{After, Claimed, Held, Job};
use observe::{Event, emit};
use std::time::Duration;
use store::retry::Backoff;
use store::rows::{Claim, ClaimState, decode, encode};
use store::{Conflict, Row, Table, Token, Txn, WriteError};
use tokio::sync::mpsc;

/// Time that the first claim of a batch waits for others.
const GATHER: Duration = Duration::from_millis(2);
/// Time that the first end of a batch waits for others.
const CLOSE_GATHER: Duration = Duration::from_millis(10);
/// Most claims in one transaction.
const MAX_BATCH: usize = 128;
/// Looks at rows after a write whose outcome is unknown.
const LOOKS: u32 = 3;
/// First and longest wait between tries.
const RETRY_FIRST: Duration = Duration::from_millis(20);
const RETRY_MOST: Duration = Duration::from_secs(5);
/// Tries to write how a call ended, before its key is left held.
const CLOSE_TRIES: u32 = 20;

/// Takes jobs and commits them together.
pub struct Batcher<T> {
    pub table: T,
    pub after: mpsc::Sender<After>,
}

/// A job, and the version that its row must have: 0 for a new key, another for
/// a key that was released.
struct Try {
    job: Job,
    over: u64,
}

impl<T: Table + Clone + Send + Sync + 'static> Batcher<T> {
    /// Runs until the channel closes.
    pub async fn run(self, mut rx: mpsc::Receiver<Job>) {
        let mut left: Vec<Try> = Vec::new();
        loop {
            if left.is_empty() {
                let Some(job) = rx.recv().await else { return };
                left.push(Try { job, over: 0 });
                gather(&mut rx, &mut left).await;
            }
            let (now, later) = split(left);
            left = later;
            left.extend(self.commit(now).await);
        }
    }

    /// Commits a batch; gives the jobs that need another try.
    async fn commit(&self, batch: Vec<Try>) -> Vec<Try> {
        let mut txn = Txn::new();
        for t in &batch {
            txn = txn
                .check(&t.job.key, t.over)
                .put(&t.job.key, encode(&t.job.claim));
        }
        match self.table.commit(&txn).await {
            Ok(version) => {
                for t in batch {
                    won(t, version);
                }
                Vec::new()
            }
            Err(WriteError::Refused(conflicts)) => sort_out(batch, &conflicts),
            Err(WriteError::Unavailable(_)) => {
                for t in batch {
                    answer(t, Claimed::Unavailable);
                }
                Vec::new()
            }
            Err(WriteError::Unknown(_)) => {
                self.settle(batch, txn.token).await;
                Vec::new()
            }
        }
    }

    /// Settles a write whose outcome is unknown. The transaction is whole or
    /// not at all: a row with our token means that all of it took effect.
    async fn settle(&self, batch: Vec<Try>, token: Token) {
        let keys: Vec<String> = batch.iter().map(|t| t.job.key.clone()).collect();
        let mut backoff = Backoff::new(RETRY_FIRST, RETRY_MOST);
        for _ in 0..LOOKS {
            if let Ok(rows) = self.table.read(keys.clone()).await
                && let Some(row) = rows.iter().find(|r| r.token == token)
            {
                let version = row.version;
                for t in batch {
                    won(t, version);
                }
                return;
            }
            // An absent row proves nothing: the write may yet take effect.
            tokio::time::sleep(backoff.wait()).await;
        }
        for t in batch {
            self.give_up(t);
        }
    }

    fn give_up(&self, t: Try) {
        let claim = t.job.claim.clone();
        let tenant = t.job.key.split('/').nth(2).unwrap_or("");
        emit(&Event::ClaimGivenUp {
            request: claim.request.to_string(),
            tenant,
        });
        let key = t.job.key.clone();
        // With no room the key stays held if the write took effect, which is safe.
        let _ = self.after.try_send(After::Release {
            key,
            claim,
            over: t.over,
        });
        answer(t, Claimed::Unavailable);
    }
}

async fn gather(rx: &mut mpsc::Receiver<Job>, batch: &mut Vec<Try>) {
    let until = tokio::time::Instant::now() + GATHER;
    while batch.len() < MAX_BATCH {
        let Ok(Some(job)) = tokio::time::timeout_at(until, rx.recv()).await else {
            return;
        };
        batch.push(Try { job, over: 0 });
    }
}

/// Splits off what can't share a transaction: a key that is in it already.
fn split(tries: Vec<Try>) -> (Vec<Try>, Vec<Try>) {
    let mut keys: Vec<String> = Vec::new();
    let (mut now, mut later) = (Vec::new(), Vec::new());
    for t in tries {
        match keys.binary_search(&t.job.key) {
            Ok(_) => later.push(t),
            Err(at) => {
                keys.insert(at, t.job.key.clone());
                now.push(t);
            }
        }
    }
    (now, later)
}

/// After a refusal: answers the jobs whose key is taken, and gives the others
/// for another try.
fn sort_out(batch: Vec<Try>, conflicts: &[Conflict]) -> Vec<Try> {
    let mut again = Vec::new();
    for mut t in batch {
        let Some(conflict) = conflicts.iter().find(|c| c.key == t.job.key) else {
            again.push(t);
            continue;
        };
        match judge(&t.job, conflict.row.as_ref()) {
            Judged::Free(version) => {
                t.over = version;
                again.push(t);
            }
            Judged::Taken(claimed) => answer(t, claimed),
        }
    }
    again
}

#[derive(Debug, PartialEq, Eq)]
enum Judged {
    /// The key may be claimed over the row of this version.
    Free(u64),
    Taken(Claimed),
}

/// What a row that is already there means for a job.
fn judge(job: &Job, row: Option<&Row>) -> Judged {
    let Some(row) = row else {
        return Judged::Free(0);
    };
    let Some(old) = decode::<Claim>(&row.value) else {
        return Judged::Taken(Claimed::InUse);
    };
    if old.state == ClaimState::Released {
        return Judged::Free(row.version);
    }
    if old.digest != job.claim.digest {
        return Judged::Taken(Claimed::OtherCall);
    }
    match old.state {
        ClaimState::Answered(kept) => Judged::Taken(Claimed::Kept(kept)),
        // An earlier try of the same request that came back as not run never
        // runs: its agent has given it up for good.
        ClaimState::Held
            if job.none_has_run
                && old.request == job.claim.request
                && old.attempt < job.claim.attempt =>
        {
            Judged::Free(row.version)
        }
        _ => Judged::Taken(Claimed::InUse),
    }
}

fn won(t: Try, version: u64) {
    let held = Held {
        key: t.job.key.clone(),
        version,
        claim: t.job.claim.clone(),
    };
    answer(t, Claimed::Won(held));
}

fn answer(t: Try, claimed: Claimed) {
    // A call that was dropped meanwhile has nobody to tell; a claim that it won
    // stays held, which is safe.
    let _ = t.job.reply.send(claimed);
}

/// Writes how calls ended and releases what was given up, in the background.
/// Ends share transactions: nobody waits for them but a repeat of the key.
pub async fn write_after<T: Table>(table: T, mut rx: mpsc::Receiver<After>) {
    while let Some(first) = rx.recv().await {
        let mut closes = Vec::new();
        let mut others = Vec::new();
        sort_in(first, &mut closes, &mut others);
        let until = tokio::time::Instant::now() + CLOSE_GATHER;
        while !closes.is_empty() && others.is_empty() && closes.len() < MAX_BATCH {
            let Ok(Some(next)) = tokio::time::timeout_at(until, rx.recv()).await else {
                break;
            };
            sort_in(next, &mut closes, &mut others);
        }
        close_all(&table, closes).await;
        for other in others {
            match other {
                After::Close(..) => {}
                After::Release { key, claim, over } => release(&table, &key, claim, over).await,
                // The waiter may have given up.
                After::Settled(tx) => drop(tx.send(())),
            }
        }
    }
}

fn sort_in(after: After, closes: &mut Vec<(Held, ClaimState)>, others: &mut Vec<After>) {
    match after {
        After::Close(held, state) => closes.push((held, state)),
        other => others.push(other),
    }
}

async fn close_all<T: Table>(table: &T, mut closes: Vec<(Held, ClaimState)>) {
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_MOST);
    for _ in 0..CLOSE_TRIES {
        if closes.is_empty() {
            return;
        }
        let mut txn = Txn::new();
        for (held, state) in &closes {
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
                closes.retain(|(held, _)| conflicts.iter().all(|c| c.key != held.key));
            }
            Err(WriteError::Unavailable(_) | WriteError::Unknown(_)) => {
                tokio::time::sleep(backoff.wait()).await;
            }
        }
    }
}

/// Marks a claim released that may or may not have been written, until it is
/// certain that it is or never will be.
async fn release<T: Table>(table: &T, key: &str, claim: Claim, mut over: u64) {
    let released = encode(&Claim {
        state: ClaimState::Released,
        ..claim.clone()
    });
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_MOST);
    loop {
        let txn = Txn::new().check(key, over).put(key, released.clone());
        match table.commit(&txn).await {
            Ok(_) => return,
            Err(WriteError::Refused(conflicts)) => {
                match conflicts.first().and_then(|c| c.row.as_ref()) {
                    Some(row) if is_ours(row, &claim) => over = row.version,
                    Some(_) => return,
                    None => over = 0,
                }
            }
            Err(WriteError::Unavailable(_) | WriteError::Unknown(_)) => {
                tokio::time::sleep(backoff.wait()).await;
            }
        }
    }
}

/// Whether a row is the claim that was given up, still held.
fn is_ours(row: &Row, claim: &Claim) -> bool {
    decode::<Claim>(&row.value).is_some_and(|old| old == *claim)
}
