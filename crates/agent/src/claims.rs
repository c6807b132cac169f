//! Claims of non-idempotent calls.
//!
//! Before the first byte of such a call goes upstream, a row for its key is
//! committed, and only who inserted the row runs the call. Many claims share
//! one transaction. A write whose outcome is unknown is read back; if even that
//! can't be told, the claim is given up, the call isn't run, and the row is
//! marked released later, so that the key isn't blocked for good. Marking it
//! also shuts out the lost write itself: a claim is only inserted where there
//! is no row, and from then on there is one.

mod batch;

use batch::Batcher;
use std::sync::Arc;
use std::time::Duration;
use store::Table;
use store::rows::{Claim, ClaimState, KeptAnswer};
use tokio::sync::{mpsc, oneshot};

/// Jobs that may wait for the next transaction.
const MAX_QUEUED_CLAIMS: usize = 4096;
/// Answers and releases that may wait to be written. Past this an answer isn't
/// kept and a key stays held, which is safe.
const MAX_QUEUED_UPDATES: usize = 4096;

/// What came of claiming a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key is ours: run the call.
    Won(HeldClaim),
    /// The key's call was answered before.
    Kept(KeptAnswer),
    /// The key was used before, and its answer can't be told.
    InUse,
    /// The key was used before for a different call.
    OtherCall,
    /// It couldn't be claimed; nothing was or will be run by it.
    Unavailable,
}

/// A claim that this agent holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldClaim {
    /// The row's key.
    pub key: String,
    /// The row's version.
    pub version: u64,
    /// The row.
    pub claim: Claim,
}

/// A claim to be made.
#[derive(Debug)]
pub struct ClaimJob {
    /// The row's key.
    pub key: String,
    /// The row, in state held.
    pub claim: Claim,
    /// Whether every earlier try of the same request came back as not run.
    pub none_has_run: bool,
    reply: oneshot::Sender<ClaimResult>,
}

/// What is to be written once a claim has served.
#[derive(Debug)]
enum ClaimUpdate {
    /// The call's end.
    Finish(HeldClaim, ClaimState),
    /// A claim whose write's outcome is unknown, to be released.
    Release {
        key: String,
        claim: Claim,
        /// Version of the row that the claim was to be written over.
        expected_version: u64,
    },
    /// Answers when all before it were tried.
    Flush(oneshot::Sender<()>),
}

/// Claims of one agent. Closing the channels ends the tasks.
#[derive(Debug)]
pub struct Claims {
    agent: String,
    jobs: mpsc::Sender<ClaimJob>,
    updates: mpsc::Sender<ClaimUpdate>,
}

impl Claims {
    /// Starts the tasks that write claims.
    pub fn start<T>(table: T, agent: String) -> Arc<Self>
    where
        T: Table + Clone + Send + Sync + 'static,
    {
        let (jobs, jobs_rx) = mpsc::channel(MAX_QUEUED_CLAIMS);
        let (updates, updates_rx) = mpsc::channel(MAX_QUEUED_UPDATES);
        let batcher = Batcher {
            table: table.clone(),
            updates: updates.clone(),
        };
        tokio::spawn(batcher.run(jobs_rx));
        tokio::spawn(batch::write_updates(table, updates_rx));
        Arc::new(Self {
            agent,
            jobs,
            updates,
        })
    }

    /// The agent's name in claims.
    pub fn agent(&self) -> &str {
        &self.agent
    }

    /// Claims a key.
    pub async fn claim(&self, key: String, claim: Claim, none_has_run: bool) -> ClaimResult {
        let (reply, rx) = oneshot::channel();
        let job = ClaimJob {
            key,
            claim,
            none_has_run,
            reply,
        };
        if self.jobs.try_send(job).is_err() {
            return ClaimResult::Unavailable;
        }
        // The batcher answers each job; it only ends with the process.
        rx.await.unwrap_or(ClaimResult::Unavailable)
    }

    /// Writes how a claimed call ended, after the caller has its answer.
    pub fn finish(&self, held: HeldClaim, state: ClaimState) {
        // With no room the key stays held: a repeat is told `unknown`, which is true.
        let _ = self.updates.try_send(ClaimUpdate::Finish(held, state));
    }

    /// Waits until all that was closed so far was tried, for at most `within`.
    pub async fn flush(&self, within: Duration) {
        let (tx, rx) = oneshot::channel();
        let wait = async {
            if self.updates.send(ClaimUpdate::Flush(tx)).await.is_ok() {
                // The writer answers or ends; both end the wait.
                let _ = rx.await;
            }
        };
        // Past the bound the keys stay held, which is safe.
        let _ = tokio::time::timeout(within, wait).await;
    }
}
