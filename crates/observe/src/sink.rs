//! Where log lines go: a bounded buffer that a thread writes to stdout.
//!
//! A request never waits for a reader of the log. Lines over the rate, or over
//! the buffer when nobody reads, are dropped and counted by kind; the counts
//! are logged once there is room again.

use std::io::Write;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Most bytes that wait for the writer: about a second of lines at the highest
/// rate, so that a reader that is slow for a moment loses nothing.
const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// Lines a second that are kept in the long run. An entry at its share of the
/// load writes about 100; at ten times that it stays whole.
const LINES_PER_S: f64 = 1000.0;
/// Lines that may come at once.
const MAX_BURST_LINES: f64 = 2000.0;
/// Time over which lines are gathered for one write: wake-ups and system calls
/// cost more than the lines themselves.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Lines of one kind that were dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dropped {
    /// Name of the event.
    pub kind: &'static str,
    /// How many.
    pub count: u64,
}

#[derive(Debug)]
struct State {
    buffer: Vec<u8>,
    /// Whether the writer holds bytes that it hasn't written yet.
    is_writing: bool,
    tokens: f64,
    last_refill: Option<Instant>,
    dropped: Vec<Dropped>,
}

/// A buffer of whole lines, bounded in size and in rate.
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

    /// Takes room for a line of a kind at a time; counts it as dropped if there
    /// is none.
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

    /// The lines dropped since the last call, if there is room to say so.
    pub fn take_dropped(&self) -> Vec<Dropped> {
        let mut state = self.lock();
        if state.dropped.is_empty() || state.buffer.len() >= MAX_BUFFERED_BYTES {
            return Vec::new();
        }
        std::mem::take(&mut state.dropped)
    }

    /// Bytes that wait for the writer.
    pub fn buffered_bytes(&self) -> usize {
        self.lock().buffer.len()
    }

    /// Adds bytes for the writer.
    pub fn push(&self, bytes: &[u8]) {
        let mut state = self.lock();
        let was_empty = state.buffer.is_empty();
        state.buffer.extend_from_slice(bytes);
        if was_empty {
            self.changed.notify_all();
        }
    }

    /// Writes what comes until the process ends. A failed write loses its lines:
    /// there is nowhere left to say so.
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

    /// Waits until all lines are written, for at most a time.
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

/// The writing end of a sink, as simplelog takes it.
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
