//! Idempotency claims of non-idempotent calls.
//!
//! Before a call is sent to the upstream, a row for its idempotency key is committed, and only the
//! agent that inserted the row runs the call. Claims are written in batches, one transaction each.
//! If the outcome of a write is unknown, the rows are read back. If the outcome is still unknown
//! after that, the claim is given up and the call isn't run. The row is later marked as released so
//! that the key doesn't stay blocked. The release also invalidates the original write should it
//! arrive late: a claim is only inserted if there is no row, and after the release there is one.

mod batch;

use batch::Batcher;
use std::sync::Arc;
use std::time::Duration;
use store::Table;
use store::rows::{Claim, ClaimState, KeptAnswer};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of claims waiting for the next transaction.
const MAX_QUEUED_CLAIMS: usize = 4096;
/// Maximum number of final states and releases waiting to be written. Beyond this the response
/// isn't stored and the key stays held, which is safe.
const MAX_QUEUED_UPDATES: usize = 4096;

/// Result of claiming a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The agent holds the key and must run the call.
    Won(HeldClaim),
    /// The call was answered before; contains the stored response.
    Kept(KeptAnswer),
    /// The key was used before, and the response isn't available.
    InUse,
    /// The key was used before for a different call.
    OtherCall,
    /// The key couldn't be claimed; the call hasn't run and won't be run by this attempt.
    Unavailable,
}

/// A claim held by this agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldClaim {
    /// Key of the row.
    pub key: String,
    /// Version of the row.
    pub version: u64,
    /// Value of the row.
    pub claim: Claim,
}

/// A request to claim a key.
#[derive(Debug)]
pub struct ClaimJob {
    /// Key of the row.
    pub key: String,
    /// Value of the row, in state `Held`.
    pub claim: Claim,
    /// Whether all earlier attempts of this request were reported as not run.
    pub none_has_run: bool,
    reply: oneshot::Sender<ClaimResult>,
}

/// A write that follows a claim.
#[derive(Debug)]
enum ClaimUpdate {
    /// Stores the final state of a call.
    Finish(HeldClaim, ClaimState),
    /// Releases a claim whose write had an unknown outcome.
    Release {
        key: String,
        claim: Claim,
        /// Row version that the claim was conditional on.
        expected_version: u64,
    },
    /// Replies once all earlier updates have been attempted.
    Flush(oneshot::Sender<()>),
}

/// Writes the claims of one agent. Its tasks end when the channels are closed.
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

    /// Name of the agent, as stored in claims.
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
        // The batcher replies to every job and only ends with the process.
        rx.await.unwrap_or(ClaimResult::Unavailable)
    }

    /// Stores the final state of a claimed call in the background.
    pub fn finish(&self, held: HeldClaim, state: ClaimState) {
        // If the channel is full the key stays held, and repeats are answered with `unknown`, which
        // is correct.
        let _ = self.updates.try_send(ClaimUpdate::Finish(held, state));
    }

    /// Waits until all updates queued so far have been attempted, for at most `within`.
    pub async fn flush(&self, within: Duration) {
        let (tx, rx) = oneshot::channel();
        let wait = async {
            if self.updates.send(ClaimUpdate::Flush(tx)).await.is_ok() {
                // The writer replies or exits; either ends the wait.
                let _ = rx.await;
            }
        };
        // After the timeout, keys that weren't written stay held, which is safe.
        let _ = tokio::time::timeout(within, wait).await;
    }
}
