//! Faults that can be injected into a fake server.

use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Faults to inject. Counts go down by one with each use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before each call, in milliseconds.
    pub delay_ms: u64,
    /// Calls are refused with 503 and have no effect.
    pub down: bool,
    /// Calls get no answer and have no effect, as during a network partition.
    pub hang: bool,
    /// Number of calls that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Only calls whose body contains this text lose their answer; empty means all calls. Tests
    /// use it to leave polls and lease renewals alone.
    pub lose_about: String,
    /// Number of calls that are answered with bytes that violate the protocol.
    pub nonsense: u32,
    /// Number of streams that break before their end.
    pub break_streams: u32,
    /// Number of chunks that carry the id of another request.
    pub cross_chunks: u32,
    /// Number of chunks that are sent twice.
    pub double_chunks: u32,
    /// Number of streams whose last chunk is sent twice.
    pub double_last: u32,
    /// Number of orders during which the engine crashes.
    pub crash_in_order: u32,
    /// Status of a plain service's answers to calls that it has run; 0 means 200.
    pub run_status: u16,
    /// A call whose body contains this text crashes the server: the call gets no answer, and
    /// connections are refused for [`CRASH_DOWNTIME`]. Empty means no call.
    pub crash_about: String,
}

/// How long a server refuses connections after a crash.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(600);

/// Injects faults into one server.
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

    /// Returns the faults in force.
    pub fn get(&self) -> Faults {
        self.faults.lock().expect("no panic while locked").clone()
    }

    /// Decrements a count of the faults. Returns whether any was left.
    pub fn consume(&self, count: fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock().expect("no panic while locked");
        let n = count(&mut faults);
        let used = *n > 0;
        *n -= u32::from(used);
        used
    }

    /// Returns whether to drop the answer to a call with this body. Decrements the count if so.
    pub fn loses_answer(&self, body: &[u8]) -> bool {
        let pattern = self.get().lose_about;
        let is_match = String::from_utf8_lossy(body).contains(&pattern);
        is_match && self.consume(|f| &mut f.lose_answers)
    }

    /// Returns whether a call with this body crashes the server. Triggers the crash if so.
    pub fn triggers_crash(&self, body: &[u8]) -> bool {
        let pattern = self.get().crash_about;
        let is_match = !pattern.is_empty() && String::from_utf8_lossy(body).contains(&pattern);
        if is_match {
            self.crash_count.fetch_add(1, Ordering::Relaxed);
            self.crash_signal.notify_one();
        }
        is_match
    }

    /// Waits for the next crash.
    pub async fn wait_for_crash(&self) {
        self.crash_signal.notified().await;
    }

    /// Returns the number of crashes.
    pub fn crash_count(&self) -> u32 {
        self.crash_count.load(Ordering::Relaxed)
    }

    /// Applies delays and hangs. Returns false if the call must be refused.
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

/// Interval between checks for the end of a hang.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);
