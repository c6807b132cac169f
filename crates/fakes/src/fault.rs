//! Faults that a stand-in can be told to show.

use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Faults in force. A count is used up, one for each call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Each call waits so long before it begins, in milliseconds.
    pub delay_ms: u64,
    /// Calls are refused with 503 before they have an effect.
    pub down: bool,
    /// Calls get no answer and have no effect, as behind a cut.
    pub hang: bool,
    /// So many calls take effect, and their answers are lost.
    pub lose_answers: u32,
    /// Only answers to calls whose body has this text are lost; empty means all.
    /// Polls and renewals go on beside what a test is about.
    pub lose_about: String,
    /// So many calls are answered with bytes that aren't the protocol.
    pub nonsense: u32,
    /// So many streams end without their end.
    pub break_streams: u32,
    /// So many chunks carry the id of another request.
    pub cross_chunks: u32,
    /// So many chunks are sent twice.
    pub double_chunks: u32,
    /// So many streams' last chunks are sent twice.
    pub double_last: u32,
    /// The next order breaks the engine in the middle of the change.
    pub crash_in_order: u32,
    /// A call whose body has this text crashes the stand-in: it gets no answer, and for
    /// [`CRASH_DOWNTIME`] no connection is taken. Empty means none.
    pub crash_about: String,
}

/// How long a stand-in that crashed takes no connection.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(600);

/// The faults of one stand-in.
#[derive(Debug, Default)]
pub struct FaultInjector {
    faults: Mutex<Faults>,
    crash_signal: Notify,
    crash_count: AtomicU32,
}

impl FaultInjector {
    /// Replaces the faults in force.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock().expect("no panic while locked") = faults;
    }

    /// The faults in force.
    pub fn get(&self) -> Faults {
        self.faults.lock().expect("no panic while locked").clone()
    }

    /// Uses up one of a count, if any is left.
    pub fn consume(&self, count: fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock().expect("no panic while locked");
        let n = count(&mut faults);
        let used = *n > 0;
        *n -= u32::from(used);
        used
    }

    /// Whether the answer to a call with this body is to be lost.
    pub fn loses_answer(&self, body: &[u8]) -> bool {
        let pattern = self.get().lose_about;
        let is_match = String::from_utf8_lossy(body).contains(&pattern);
        is_match && self.consume(|f| &mut f.lose_answers)
    }

    /// Whether a call with this body crashes the stand-in; it does so from then on.
    pub fn triggers_crash(&self, body: &[u8]) -> bool {
        let pattern = self.get().crash_about;
        let is_match = !pattern.is_empty() && String::from_utf8_lossy(body).contains(&pattern);
        if is_match {
            self.crash_count.fetch_add(1, Ordering::Relaxed);
            self.crash_signal.notify_one();
        }
        is_match
    }

    /// Waits until the stand-in crashes.
    pub async fn wait_for_crash(&self) {
        self.crash_signal.notified().await;
    }

    /// How often it crashed.
    pub fn crash_count(&self) -> u32 {
        self.crash_count.load(Ordering::Relaxed)
    }

    /// Waits as the faults say. Gives false if the call must be refused.
    pub async fn admit(&self) -> bool {
        let f = self.get();
        if f.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(f.delay_ms)).await;
        }
        while self.get().hang {
            tokio::time::sleep(HANG_POLL_INTERVAL).await;
        }
        !self.get().down
    }
}

/// Time between looks at whether a hang is over.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);
