//! Requests under which upstreams crash, counted by all entries together.
//!
//! What is counted and when work is held back is decided in [`resilience::crashes`]. Entries
//! don't talk to each other: each writes the ends that its own requests saw as rows, and
//! reads all such rows, so that what one has seen the others, and later ones, know.

use observe::log_line::now_ms;
use observe::{Event, emit};
use resilience::crashes::{
    Change, Confidence, CrashRecord, Observation, RETENTION, STORED_TRIALS, Source,
};
use resilience::{Fingerprint, Verdict};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::retry::around;
use store::rows::{CRASH_PREFIX, Crash, CrashKey, crash_key, decode, encode, trial_key};
use store::{HttpPlatform, Put, Row, Table, Txn, WriteError};
use tokio::sync::Notify;
use wire::Call;

/// Time between two reads of the rows: all entries know of a third end within the 3 s that
/// they are given, for one read a second and entry.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Rows that one read takes, and that one write has at most.
const MAX_ROWS: u32 = 512;
const MAX_AT_ONCE: usize = 32;
/// Ends from which on an entry writes them: the rows are all that others hear.
const RECORD_FROM: usize = 1;

/// Work under which upstreams end.
#[derive(Debug)]
pub struct Crashes {
    platform: HttpPlatform,
    /// The entry's name, in rows.
    entry: String,
    known: Mutex<resilience::CrashTracker>,
    to_write: Notify,
}

/// How work may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// As any other.
    Usual,
    /// Once, as this trial.
    Trial(usize),
    /// Not at all.
    Held(Confidence),
}

/// Hashes what a request asks for and who asks. Where its answer goes on is none of it.
pub fn fingerprint(service: &str, tenant: &str, call: &Call) -> Fingerprint {
    let [head, path, body] = match call {
        Call::Completion(c) => [&b"completion"[..], b"", c.prompt.as_bytes()],
        Call::Plain(p) => [p.method.as_bytes(), p.path.as_bytes(), &p.body],
    };
    Fingerprint::of([service.as_bytes(), tenant.as_bytes(), head, path, body])
}

/// Tells the end of the agent of an upstream from other ends.
pub fn agent_end(upstream: &str) -> u32 {
    Fingerprint::of([&b"agent"[..], upstream.as_bytes()]).0 as u32
}

impl Crashes {
    /// None known yet.
    pub fn new(platform: HttpPlatform, entry: String) -> Self {
        Self {
            platform,
            entry,
            known: Mutex::default(),
            to_write: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, resilience::CrashTracker> {
        self.known.lock().expect("no panic while locked")
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Notes that an upstream ended under work, and whether that was a trial.
    pub fn ended(&self, work: Fingerprint, end: u32, in_trial: bool) {
        let at = Instant::now();
        let word = Observation::Crash {
            fingerprint: work,
            upstream: end,
            at,
            in_trial,
        };
        self.take(word, Source::Local);
    }

    /// Notes that work has had its whole answer.
    pub fn answered(&self, work: Fingerprint) {
        let at = Instant::now();
        self.take(
            Observation::Answer {
                fingerprint: work,
                at,
            },
            Source::Local,
        );
    }

    fn take(&self, word: Observation, source: Source) {
        let change = self.lock().apply(word, source, false, Instant::now());
        tell(word.fingerprint(), change);
        if change != Change::Unchanged && source == Source::Local {
            self.to_write.notify_one();
        }
    }

    /// Whether and how work may be sent to an upstream now.
    pub async fn admit(&self, work: Fingerprint) -> Admission {
        let now = Instant::now();
        let verdict = {
            let mut known = self.lock();
            let verdict = known.verdict(work, now);
            if let Verdict::Trial(..) = verdict {
                known.trial_requested(work, now);
            }
            verdict
        };
        match verdict {
            Verdict::Allowed | Verdict::Suspected => Admission::Usual,
            Verdict::Blocked(proof) => Admission::Held(proof),
            Verdict::Trial(number, proof) => match self.take_trial(work, number).await {
                true => Admission::Trial(number),
                false => Admission::Held(proof),
            },
        }
    }

    /// Gives back a trial that reached no upstream.
    pub fn return_trial(&self, work: Fingerprint, number: usize) {
        self.lock().trial_returned(work, number);
        let (platform, key) = (self.platform.clone(), trial_key(work.0, number));
        tokio::spawn(async move {
            let mut txn = Txn::new();
            txn.puts.push(Put { key, value: None });
            if let Err(e) = platform.commit(&txn).await {
                not_written(&txn, &e);
            }
        });
    }

    /// Takes a trial for all entries; says whether it is this one's.
    async fn take_trial(&self, work: Fingerprint, number: usize) -> bool {
        let written = match number < STORED_TRIALS {
            true => self.write_trial(work, number).await,
            // Each entry takes one of these a minute.
            false => Ok(()),
        };
        let outcome = match &written {
            Ok(()) => "taken".to_owned(),
            Err(e) => e.to_string(),
        };
        emit(&Event::WorkTried {
            work: work.to_string(),
            trial: number + 1,
            outcome,
        });
        if matches!(written, Ok(()) | Err(WriteError::Refused(_))) {
            self.lock().trial_taken(work, number, Instant::now());
        }
        written.is_ok()
    }

    async fn write_trial(&self, work: Fingerprint, number: usize) -> Result<(), WriteError> {
        let key = trial_key(work.0, number);
        let txn = Txn::new().check(key.clone(), 0);
        let txn = txn.put(key, self.row(now_ms(), false));
        self.platform.commit(&txn).await.map(|_| ())
    }

    fn row(&self, at_ms: u64, in_trial: bool) -> String {
        encode(&Crash {
            entry: self.entry.clone(),
            at_ms,
            in_trial,
        })
    }

    /// Writes what this entry saw and reads what all saw, until the process ends. An outage
    /// isn't an error: what is known stays, and what is due is written later.
    pub async fn share(&self) {
        loop {
            self.write().await;
            self.read().await;
            self.lock().expire(Instant::now());
            tokio::select! {
                () = self.to_write.notified() => {}
                () = tokio::time::sleep(around(LOOK_EVERY)) => {}
            }
        }
    }

    async fn write(&self) {
        let (due, answered) = {
            let known = self.lock();
            let due = known.unrecorded(RECORD_FROM, None, MAX_AT_ONCE);
            (due, known.obsolete_records(None, MAX_AT_ONCE))
        };
        if due.is_empty() && answered.is_empty() {
            return;
        }
        let mut txn = Txn::new();
        for record in &due {
            let ago = record.at.elapsed().as_millis() as u64;
            let row = self.row(now_ms().saturating_sub(ago), record.in_trial);
            txn = txn.put(crash_key(record.fingerprint.0, record.upstream), row);
        }
        for record in &answered {
            txn.puts.extend(removals(record));
        }
        if let Err(e) = self.platform.commit(&txn).await {
            not_written(&txn, &e);
            return;
        }
        let mut known = self.lock();
        due.iter()
            .for_each(|record| known.set_recorded(record, true));
        answered
            .iter()
            .for_each(|record| known.set_recorded(record, false));
    }

    async fn read(&self) {
        let scanned = self
            .platform
            .scan(CRASH_PREFIX.into(), String::new(), MAX_ROWS);
        let Ok(rows) = scanned.await else {
            return;
        };
        let recorded = self.lock().recorded();
        let is_there = |record: &&CrashRecord| {
            let key = crash_key(record.fingerprint.0, record.upstream);
            rows.iter().any(|row| row.key == key)
        };
        for gone in recorded.iter().filter(|record| !is_there(record)) {
            let change = self.lock().remove_crash(gone.fingerprint, gone.upstream);
            tell(gone.fingerprint, change);
        }
        let old: Vec<String> = rows.iter().filter_map(|row| self.learn(row)).collect();
        self.remove(old).await;
    }

    /// Removes rows that are too old.
    async fn remove(&self, keys: Vec<String>) {
        if keys.is_empty() {
            return;
        }
        let mut txn = Txn::new();
        let keys = keys.into_iter().take(MAX_AT_ONCE);
        txn.puts.extend(keys.map(|key| Put { key, value: None }));
        if let Err(e) = self.platform.commit(&txn).await {
            not_written(&txn, &e);
        }
    }

    /// Takes what a row tells; gives its key if it is too old.
    fn learn(&self, row: &Row) -> Option<String> {
        let (Some(key), Some(crash)) = (CrashKey::parse(&row.key), decode::<Crash>(&row.value))
        else {
            emit(&Event::Undecodable {
                what: "row of a crash",
                why: row.key.clone(),
            });
            return None;
        };
        let age = Duration::from_millis(now_ms().saturating_sub(crash.at_ms));
        if age >= RETENTION {
            return Some(row.key.clone());
        }
        let now = Instant::now();
        let at = now.checked_sub(age).unwrap_or(now);
        match key {
            CrashKey::End { work, end } => {
                let word = Observation::Crash {
                    fingerprint: Fingerprint(work),
                    upstream: end,
                    at,
                    in_trial: crash.in_trial,
                };
                self.take(word, Source::Store);
            }
            CrashKey::Trial { work, number } => {
                self.lock().trial_taken(Fingerprint(work), number, at);
            }
        }
        None
    }
}

fn not_written(txn: &Txn, e: &WriteError) {
    emit(&Event::CrashRowsNotWritten {
        rows: txn.puts.len(),
        why: e.to_string(),
    });
}

/// Removes the row of an end, and those of the work's trials.
fn removals(record: &CrashRecord) -> Vec<Put> {
    let trials = (0..STORED_TRIALS).map(|number| trial_key(record.fingerprint.0, number));
    let keys = std::iter::once(crash_key(record.fingerprint.0, record.upstream)).chain(trials);
    keys.map(|key| Put { key, value: None }).collect()
}

fn tell(work: Fingerprint, change: Change) {
    let work = work.to_string();
    let source = "entries";
    match change {
        Change::Unchanged | Change::Counted(_) => {}
        Change::Blocked(ends) => emit(&Event::WorkHeldBack { work, ends, source }),
        Change::Cleared => emit(&Event::WorkReleased { work, source }),
    }
}
