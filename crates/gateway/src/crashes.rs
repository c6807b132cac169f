//! Requests under which upstreams crash: who saw what, who is told, what is sent.
//!
//! A connection that breaks under a request tells that its upstream may have ended
//! ([`broken`]). What is counted and when work is held back is decided in
//! [`resilience::crashes`]; here it is fed and asked: by this host's own requests
//! ([`admit`]), by the words of peers, and by rows in the store ([`rows`]), which reach hosts
//! that hear no peer and outlast all processes.

mod admit;
pub mod broken;
mod fingerprint;
pub mod rows;
pub mod unanswered;

pub use admit::{Admission, admit, end_trial};
pub use fingerprint::fingerprint;

use crate::peers::{Beat, CrashWord, Scope};
use crate::serve::Call;
use crate::state::Gateway;
use observe::{Event, emit};
use resilience::crashes::{Change, Observation, Source};
use resilience::{CrashTracker, Fingerprint};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What this process knows of work under which upstreams end.
#[derive(Debug, Default)]
pub struct Shared {
    known: Mutex<CrashTracker>,
    clock: Mutex<Option<StoreClock>>,
    /// Given when there may be rows to write or to remove.
    to_write: Notify,
    room: unanswered::Room,
}

/// The store's steady clock, as it was at a read.
#[derive(Debug, Clone, Copy)]
struct StoreClock {
    now_ms: u64,
    read_at: Instant,
}

impl StoreClock {
    /// What it shows when this host's clock shows a time.
    fn at_ms(self, at: Instant) -> u64 {
        let after = at.saturating_duration_since(self.read_at).as_millis() as u64;
        let before = self.read_at.saturating_duration_since(at).as_millis() as u64;
        self.now_ms.saturating_add(after).saturating_sub(before)
    }

    /// What this host's clock showed at a time of it; none if that was before it started.
    fn instant(self, at_ms: u64) -> Option<Instant> {
        let ago = Duration::from_millis(self.now_ms.saturating_sub(at_ms));
        self.read_at.checked_sub(ago)
    }
}

impl Shared {
    /// What is known. Never held across an await.
    pub fn lock(&self) -> MutexGuard<'_, CrashTracker> {
        self.known.lock().expect("no panic while locked")
    }

    fn clock(&self) -> Option<StoreClock> {
        *self.clock.lock().expect("no panic while locked")
    }

    /// Records the current time of the store's clock.
    pub fn set_clock(&self, now_ms: u64) {
        let read_at = Instant::now();
        *self.clock.lock().expect("no panic while locked") = Some(StoreClock { now_ms, read_at });
    }
}

/// Takes a word, logs what it changes, and has it written where the store is to keep it.
fn take(gateway: &Gateway, word: Observation, source: Source, tells_on: bool) -> Change {
    let change = gateway
        .crashes
        .lock()
        .apply(word, source, tells_on, Instant::now());
    tell(word.fingerprint(), change, source);
    if change != Change::Unchanged {
        gateway.crashes.to_write.notify_one();
    }
    change
}

/// Logs what has become of work.
fn tell(work: Fingerprint, change: Change, source: Source) {
    let work = work.to_string();
    let source = source_name(source);
    match change {
        Change::Unchanged | Change::Counted(_) => {}
        Change::Blocked(ends) => emit(&Event::WorkHeldBack { work, ends, source }),
        Change::Cleared => emit(&Event::WorkReleased { work, source }),
    }
}

fn source_name(source: Source) -> &'static str {
    match source {
        Source::Local => "own requests",
        Source::Peer => "peer",
        Source::Store => "store",
    }
}

/// Notes that a request has had its whole answer.
pub fn answered(call: &Call) {
    let gateway = &call.gateway;
    if gateway.crashes.lock().is_empty() {
        return;
    }
    let word = Observation::Answer {
        fingerprint: call.fingerprint(),
        at: Instant::now(),
    };
    take(gateway, word, Source::Local, true);
}

/// Takes what a peer has learned. Where processes form trees it is told on.
pub fn hear(gateway: &Gateway, beat: &Beat, now: Instant) {
    for word in &beat.crashes {
        // One from before this host's clock began is too old to matter.
        if let Some(word) = from_peer(word, now) {
            take(gateway, word, Source::Peer, beat.scope != Scope::Direct);
        }
    }
}

/// What peers are to be told now.
pub fn news(gateway: &Gateway, now: Instant) -> Vec<CrashWord> {
    let words = gateway.crashes.lock().due_observations(now);
    words.iter().map(|word| to_peer(word, now)).collect()
}

/// Upstream ends that are recorded in the store, for a peer that is starting.
pub fn recorded(gateway: &Gateway, now: Instant) -> Vec<CrashWord> {
    let recorded = gateway.crashes.lock().recorded();
    let words = recorded.iter().map(|r| Observation::Crash {
        fingerprint: r.fingerprint,
        upstream: r.upstream,
        at: r.at,
        in_trial: r.in_trial,
    });
    words.map(|word| to_peer(&word, now)).collect()
}

/// Applies the recorded upstream ends received from a peer.
pub fn take_recorded(gateway: &Gateway, words: &[CrashWord], now: Instant) {
    for word in words {
        if let Some(word) = from_peer(word, now) {
            take(gateway, word, Source::Peer, false);
        }
    }
}

fn to_peer(word: &Observation, now: Instant) -> CrashWord {
    let (at, upstream, in_trial) = match *word {
        Observation::Crash {
            upstream,
            at,
            in_trial,
            ..
        } => (at, Some(upstream), in_trial),
        Observation::Answer { at, .. } => (at, None, false),
    };
    let Fingerprint(work) = word.fingerprint();
    let ago = now.saturating_duration_since(at).as_millis();
    CrashWord {
        work: [(work >> 64) as u64, work as u64],
        upstream,
        ago_ms: u32::try_from(ago).unwrap_or(u32::MAX),
        in_trial,
    }
}

fn from_peer(word: &CrashWord, now: Instant) -> Option<Observation> {
    let [high, low] = word.work.map(u128::from);
    let work = Fingerprint(high << 64 | low);
    let at = now.checked_sub(Duration::from_millis(word.ago_ms.into()))?;
    Some(match word.upstream {
        Some(upstream) => Observation::Crash {
            fingerprint: work,
            upstream,
            at,
            in_trial: word.in_trial,
        },
        None => Observation::Answer {
            fingerprint: work,
            at,
        },
    })
}
