//! A bounded buffer for log lines that a thread writes to stdout.
//!
//! Requests never wait for the reader of the log. Lines over the rate limit, or over the buffer
//! size when nobody reads, are dropped and counted by kind. The counts are logged once there is
//! room again.

use std::io::Write;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Maximum size of the buffer. It holds about one second of lines at the maximum rate, so that no
/// lines are lost when the reader is slow for a moment.
const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// Sustained rate limit. An entry with its share of the load writes about 100 lines per second, so
/// ten times the load still fits.
const LINES_PER_S: f64 = 1000.0;
/// Maximum number of lines in a burst.
const MAX_BURST_LINES: f64 = 2000.0;
/// Time for which lines are collected before a write. Wake-ups and system calls cost more than the
/// lines themselves.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of dropped lines of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dropped {
    /// Name of the event.
    pub kind: &'static str,
    /// Number of lines.
    pub count: u64,
}

#[derive(Debug)]
struct State {
    buffer: Vec<u8>,
    /// Whether the writer thread has bytes that it hasn't written yet.
    is_writing: bool,
    tokens: f64,
    last_refill: Option<Instant>,
    dropped: Vec<Dropped>,
}

/// A buffer of complete lines with a limited size and rate.
#[derive(Debug)]
pub struct Sink {
    state: Mutex<State>,
    changed: Condvar,
}

impl Default for Sink {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                buffer: Vec::new(),
                is_writing: false,
                tokens: MAX_BURST_LINES,
                last_refill: None,
                dropped: Vec::new(),
            }),
            changed: Condvar::new(),
        }
    }
}

impl Sink {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Checks whether a line may be added, and takes a token for it. Otherwise the line is counted
    /// as dropped.
    pub fn admit(&self, kind: &'static str, now: Instant) -> bool {
        let mut state = self.lock();
        state.refill(now);
        let has_room = state.tokens >= 1.0 && state.buffer.len() < MAX_BUFFERED_BYTES;
        if has_room {
            state.tokens -= 1.0;
        } else {
            state.count_dropped(kind);
        }
        has_room
    }

    /// Returns the lines dropped since the last call. Returns nothing while the buffer is full,
    /// because the counts couldn't be logged.
    pub fn take_dropped(&self) -> Vec<Dropped> {
        let mut state = self.lock();
        if state.dropped.is_empty() || state.buffer.len() >= MAX_BUFFERED_BYTES {
            return Vec::new();
        }
        std::mem::take(&mut state.dropped)
    }

    /// Bytes in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.lock().buffer.len()
    }

    /// Adds bytes to the buffer.
    pub fn push(&self, bytes: &[u8]) {
        let mut state = self.lock();
        let was_empty = state.buffer.is_empty();
        state.buffer.extend_from_slice(bytes);
        if was_empty {
            self.changed.notify_all();
        }
    }

    /// Writes the buffer to `out` until the process exits. Lines are lost if a write fails, and
    /// there is nowhere to report that.
    pub fn write_to(&self, out: &mut impl Write) {
        let mut buf = Vec::new();
        loop {
            let mut state = self.lock();
            while state.buffer.is_empty() {
                state = self.changed.wait(state).expect("no panic while locked");
            }
            drop(state);
            std::thread::sleep(WRITE_INTERVAL);
            let mut state = self.lock();
            std::mem::swap(&mut buf, &mut state.buffer);
            state.is_writing = true;
            drop(state);
            let _ = out.write_all(&buf).and_then(|()| out.flush());
            buf.clear();
            self.lock().is_writing = false;
            self.changed.notify_all();
        }
    }

    /// Waits until all lines are written, for at most `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        while !state.buffer.is_empty() || state.is_writing {
            let Some(left) = deadline.checked_duration_since(Instant::now()) else {
                return;
            };
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no panic while locked").0;
        }
    }
}

impl State {
    fn refill(&mut self, now: Instant) {
        let previous = self.last_refill.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(previous).as_secs_f64();
        self.tokens = (self.tokens + elapsed * LINES_PER_S).min(MAX_BURST_LINES);
    }

    fn count_dropped(&mut self, kind: &'static str) {
        match self.dropped.binary_search_by_key(&kind, |d| d.kind) {
            Ok(at) => self.dropped[at].count += 1,
            Err(at) => self.dropped.insert(at, Dropped { kind, count: 1 }),
        }
    }
}

/// Implements [`Write`] for a sink, as simplelog needs it.
#[derive(Debug, Clone, Copy)]
pub struct SinkWriter(pub &'static Sink);

impl Write for SinkWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.push(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
